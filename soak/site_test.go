package soak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/parsleydeal/parsleydeal/platform/standin"
	address "github.com/parsleydeal/parsleydeal/standin"
)

// Sizes of a small site.
const (
	entryCount = 3
	poolCount  = 4
	appCount   = 3
	// lease is how long a key may be used after it was taken away.
	lease = 3 * time.Second
	grace = 5 * time.Second
)

// process is one entry, run as a program of its own.
type process struct {
	name     string
	base     string
	ready    string
	settings string
	log      *os.File
	// store is the process's own way to the store.
	store *proxy
	door  *standin.Handler
	mu    sync.Mutex
	cmd   *exec.Cmd
	// ended is closed when the process that runs now has ended.
	ended chan struct{}
	// meant is true while an end of the process is this soak's doing.
	meant bool
	// calmSince is when the last fault that touches the process was over, and
	// leavingSince when it got SIGTERM; zero while it did not.
	calmSince    time.Time
	leavingSince time.Time
}

// endpoint is a stand-in endpoint behind a proxy.
type endpoint struct {
	*standin.Endpoint
	name    string
	service string
	zone    string
	proxy   *proxy
	mu      sync.Mutex
	fault   func() standin.Reply
	// sequence grows with each announcement.
	sequence int
	version  string
}

func (e *endpoint) set(f func() standin.Reply) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = f
}

func (e *endpoint) act(r *http.Request) standin.Reply {
	e.mu.Lock()
	f := e.fault
	e.mu.Unlock()
	a := standin.Reply{BreakAfter: -1}
	if f != nil {
		a = f()
	}
	if strings.HasPrefix(r.URL.Path, "/chat/") {
		a.Events, a.EventDelay, a.Confidence = streamEvents, 15*time.Millisecond, 90
	}
	return a
}

// streamEvents is the length of every stream.
const streamEvents = 8

// site is everything that a seed runs on.
type site struct {
	t         *testing.T
	dir       string
	store     *standin.Store
	entries   []*process
	endpoints []*endpoint
	mu        sync.Mutex
	version   int
	// keys holds the keys in force, taken when one was taken away.
	keys  []string
	taken map[string]time.Time
	nextK int
	// last runs when all else of the site has ended.
	last func()
}

func newSite(t *testing.T, program string) *site {
	t.Helper()
	s := &site{t: t, dir: t.TempDir(), store: standin.NewStore(), taken: make(map[string]time.Time), last: func() {}}
	t.Cleanup(func() { s.last() })
	for range 3 {
		s.addKey()
	}
	for i := range poolCount {
		s.addEndpoint(fmt.Sprintf("i-pool-%d", i), "pool", "v1", zoneOf(i))
	}
	for i := range appCount {
		s.addEndpoint(fmt.Sprintf("i-app-%d", i), "app", "v1", zoneOf(i))
	}
	s.publish()
	for i := range entryCount {
		s.addEntry(fmt.Sprintf("entry-%d", i), program)
	}
	go s.heartbeats()
	return s
}

func zoneOf(i int) string { return [...]string{"a", "b"}[i%2] }

func (s *site) addKey() {
	s.nextK++
	s.keys = append(s.keys, fmt.Sprintf("key-%d", s.nextK))
}

func (s *site) addEndpoint(name, service, version, zone string) *endpoint {
	e := &endpoint{name: name, service: service, zone: zone, version: version}
	inner, err := standin.StartEndpoint(name, e.act)
	if err != nil {
		s.t.Fatal(err)
	}
	e.Endpoint = inner
	if e.proxy, err = newProxy(inner.Address()); err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { e.proxy.close(); inner.Close() })
	s.mu.Lock()
	s.endpoints = append(s.endpoints, e)
	s.mu.Unlock()
	s.announce(e, "ready")
	return e
}

// announce writes an endpoint's entry with its proxy's address.
func (s *site) announce(e *endpoint, state string) {
	e.mu.Lock()
	e.sequence++
	text := string(e.Registration(e.service, e.zone, e.version, state, e.sequence))
	e.mu.Unlock()
	s.store.Put("keyed.servers", e.name, []byte(strings.Replace(text, e.Address(), e.proxy.address(), 1)))
}

func (s *site) all() []*endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*endpoint(nil), s.endpoints...)
}

func (s *site) heartbeats() {
	for s.t.Context().Err() == nil {
		time.Sleep(400 * time.Millisecond)
		for _, e := range s.all() {
			s.announce(e, "ready")
		}
	}
}

func (s *site) publish() {
	s.version++
	c := map[string]any{
		"version": s.version,
		"routes": []map[string]any{
			{"name": "r-chat", "host": "h.example", "pathPrefix": "/chat/", "kind": "streaming", "timeoutMs": 4000, "targetLatencyMs": 400, "targetGapMs": 300, "sizes": []string{"small", "large"}, "service": "pool", "maxAttempts": 3, "resumable": true},
			{"name": "r-read", "host": "h.example", "pathPrefix": "/read/", "kind": "idempotent", "timeoutMs": 2000, "targetLatencyMs": 150, "service": "app", "maxAttempts": 2},
			{"name": "r-fee", "host": "h.example", "pathPrefix": "/fee/", "kind": "non_idempotent", "timeoutMs": 2000, "targetLatencyMs": 150, "service": "app", "maxAttempts": 1},
		},
		"services": []map[string]any{{"name": "pool", "coldPerS": 500, "engine": map[string]any{"slots": 64}}, {"name": "app"}},
		"tenants":  []map[string]any{{"name": "org", "apiKeys": s.keys}},
	}
	data, err := json.Marshal(c)
	if err != nil {
		s.t.Fatal(err)
	}
	s.store.Put("keyed.op", "config", data)
}

func (s *site) addEntry(name, program string) {
	p := &process{name: name, door: s.store.Handler()}
	srv := httptest.NewServer(p.door)
	s.t.Cleanup(func() { srv.CloseClientConnections(); srv.Close() })
	var err error
	if p.store, err = newProxy(strings.TrimPrefix(srv.URL, "http://")); err != nil {
		s.t.Fatal(err)
	}
	callers, ready := address.FreeAddress(), address.FreeAddress()
	p.base, p.ready = "http://"+callers, "http://"+ready+"/readyz"
	p.settings = filepath.Join(s.dir, name+".toml")
	text := fmt.Sprintf("vm=%q\nzone=\"a\"\nregion=\"r\"\npeer=%q\n[entry]\ncallers=%q\n[direct]\nstore=%q\nready=%q\ngrace=%q\nkey-lease=%q\nretry-ratio=1\nretry-slack=1000\nexposure=0.3\n",
		name, address.FreeAddress(), callers, p.store.address(), ready, grace, lease)
	if err = os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	if p.log, err = os.Create(filepath.Join(s.dir, name+".log")); err != nil {
		s.t.Fatal(err)
	}
	s.entries = append(s.entries, p)
	s.start(p, program)
	s.t.Cleanup(func() {
		p.mu.Lock()
		p.meant = true
		cmd, ended := p.cmd, p.ended
		p.mu.Unlock()
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		<-ended
		p.store.close()
	})
}

// start runs the program; an end that this soak did not cause fails the seed.
func (s *site) start(p *process, program string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := exec.Command(program, "--settings", p.settings)
	cmd.Stdout, cmd.Stderr = p.log, p.log
	if err := cmd.Start(); err != nil {
		s.t.Errorf("start of %s: %v", p.name, err)
		return
	}
	ended := make(chan struct{})
	p.cmd, p.ended, p.meant, p.leavingSince = cmd, ended, false, time.Time{}
	p.calmSince = time.Now()
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		meant := p.meant
		p.mu.Unlock()
		if !meant {
			s.t.Errorf("%s ended by itself: %v", p.name, err)
		}
		close(ended)
	}()
}

// signal sends a signal to the process that runs now.
func (p *process) signal(sig syscall.Signal, meant bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.meant = p.meant || meant
	_ = p.cmd.Process.Signal(sig)
}

// disturbed notes a fault that touches the process now.
func (p *process) disturbed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calmSince = time.Now()
}

func (p *process) isReady() bool {
	c := http.Client{Timeout: 300 * time.Millisecond}
	resp, err := c.Get(p.ready)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
