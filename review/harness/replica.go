package harness

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Replica is a stand-in of a replica, which registers itself in the store.
type Replica struct {
	ID      string
	Service string
	Zone    string
	Version string
	site    *Site
	address string
	handle  http.HandlerFunc
	mu      sync.Mutex
	state   string
	count   int
	gone    bool
}

// StartReplica starts a replica and registers it. handle gets the requests that name this replica; it runs them.
func (s *Site) StartReplica(id, service, zone, version string, handle http.HandlerFunc) (p *Replica, err error) {
	p = &Replica{ID: id, Service: service, Zone: zone, Version: version, site: s, handle: handle, state: "ready"}
	if p.address, err = s.Serve(p); err != nil {
		return nil, err
	}
	p.Register("ready")
	return p, nil
}

// Register writes the replica's entry to the store.
func (p *Replica) Register(state string) { p.register(state, 0) }

// Beat writes the replica's entry again, unless it is gone.
func (p *Replica) Beat() {
	p.mu.Lock()
	state, gone := p.state, p.gone
	p.mu.Unlock()
	if !gone {
		p.register(state, 0)
	}
}

// TurnCold says that the replica is cold for some time.
func (p *Replica) TurnCold(d time.Duration) { p.register("ready", d) }

// Leave removes the replica's entry without reporting that it drains. It goes on serving.
func (p *Replica) Leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gone = true
	p.site.Store.Put("keyed.servers", p.ID, nil)
}

func (p *Replica) register(state string, cold time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.count++
	p.state = state
	p.site.Store.Put("keyed.servers", p.ID, fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":%q,"version":%q,"slots":64,"state":%q,"coldRemainingMs":%d,"sequence":%d,"born":1764860000000}`,
		p.Service, p.address, p.Zone, p.Version, state, cold.Milliseconds(), p.count))
}

// ServeHTTP answers 421 to a request that names another replica, and hands on all others.
func (p *Replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Expect-Replica"); expected != "" && expected != p.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Replica-Load", "1,0,64")
	p.handle(w, r)
}

// Sign marks an answer as the replica's own.
func (p *Replica) Sign(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Response-Signature", "sig."+p.ID+"."+r.Header.Get("Request-Id"))
}

// Limits returns the limits of a configuration.
func Limits() map[string]any {
	return map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
}
