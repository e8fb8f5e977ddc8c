package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/parsleydeal/parsleydeal/platform/standin"
	address "github.com/parsleydeal/parsleydeal/standin"
)

// Parameters of the site.
const (
	entryCount = 3
	poolCount  = 4
	appCount   = 3
	// keyLease is how long an entry may still accept a key after it was revoked.
	keyLease  = 3 * time.Second
	stopGrace = 5 * time.Second
)

// process is an entry run as a separate process.
type process struct {
	name     string
	base     string
	ready    string
	settings string
	log      *os.File
	// env is added to the environment of the process.
	env []string
	// storeProxy carries the process's connections to the store.
	storeProxy   *proxy
	storeHandler *standin.Handler
	mu           sync.Mutex
	cmd          *exec.Cmd
	// ended is closed when the current process has ended.
	ended chan struct{}
	// exitExpected is true once the test has sent a signal that ends the process.
	exitExpected bool
	// undisturbedSince is when the last fault affected the process, or when the process started if
	// that is later.
	undisturbedSince time.Time
	// leavingSince is when the process was sent SIGTERM; it is zero before that.
	leavingSince time.Time
}

// agedCopy is a copy of the store with the time at which it was taken.
type agedCopy struct {
	at time.Time
	*standin.Copy
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
	// resumedStatus is the status with which it answers resumed streams; 0 if it continues them.
	resumedStatus int
	// sequence is the number of registrations so far.
	sequence int
	version  string
	// events is the number of events in its streams.
	events int
	// gone is true once the endpoint has crashed.
	gone bool
}

func (e *endpoint) setFault(f func() standin.Reply) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = f
}

func (e *endpoint) refuseResumed(status int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.resumedStatus = status
}

func (e *endpoint) reply(r *http.Request) standin.Reply {
	e.mu.Lock()
	f, resumedStatus := e.fault, e.resumedStatus
	e.mu.Unlock()
	if resumedStatus != 0 && r.Header.Get("Last-Event-Id") != "" {
		return standin.Reply{Status: resumedStatus, BreakAfter: -1}
	}
	reply := standin.Reply{BreakAfter: -1}
	if f != nil {
		reply = f()
	}
	if strings.HasPrefix(r.Header.Get("Request-Id"), leavingPrefix) {
		reply.Delay += leavingWork
	}
	if strings.HasPrefix(r.URL.Path, "/chat/") {
		reply.Events, reply.EventDelay, reply.Confidence = e.events, 15*time.Millisecond, 90
		if prefix := r.Header.Get("Prompt-Prefix"); strings.Contains(prefix, crashBlock+":") || strings.Contains(prefix, lonePrefix) {
			reply.CrashAfter, reply.Ending = crashDelay, nil
		}
	}
	return reply
}

// streamEvents is the number of events in a stream.
const streamEvents = 8

// site is the store, the entries and the endpoints of one seed's run.
type site struct {
	// keyLease is how long the entries use a key after the configuration was confirmed.
	keyLease  time.Duration
	t         *testing.T
	dir       string
	store     *standin.Store
	entries   []*process
	endpoints []*endpoint
	mu        sync.Mutex
	version   int
	// keys holds the valid keys, and revokedAt the time when each revoked key was removed.
	keys      []string
	revokedAt map[string]time.Time
	lastKey   int
	// crashes holds when endpoints crashed.
	crashes []time.Time
	// copies are the last ones of the store, from the oldest on.
	copies []agedCopy
	// finalCleanup runs after all other cleanups of the site.
	finalCleanup func()
}

func newSite(t *testing.T, program string) *site { return newSiteWithLease(t, program, keyLease) }

func newSiteWithLease(t *testing.T, program string, lease time.Duration) *site {
	t.Helper()
	s := &site{keyLease: lease, t: t, dir: t.TempDir(), store: standin.NewStore(), revokedAt: make(map[string]time.Time), finalCleanup: func() {}}
	t.Cleanup(func() { s.finalCleanup() })
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
	s.copies = []agedCopy{{time.Now(), s.store.Copy()}}
	go s.copyStore()
	return s
}

func zoneOf(i int) string { return [...]string{"a", "b"}[i%2] }

func (s *site) addKey() {
	s.lastKey++
	s.keys = append(s.keys, fmt.Sprintf("key-%d", s.lastKey))
}

func (s *site) addEndpoint(name, service, version, zone string) *endpoint {
	e := &endpoint{name: name, service: service, zone: zone, version: version, events: streamEvents}
	inner, err := standin.StartEndpoint(name, e.reply)
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
	s.register(e, "ready")
	go s.replaceCrashed(e)
	return e
}

// register writes a registration of an endpoint to the store, with the address of the endpoint's
// proxy.
func (s *site) register(e *endpoint, state string) {
	e.mu.Lock()
	if e.gone {
		e.mu.Unlock()
		return
	}
	e.sequence++
	text := string(e.Registration(e.service, e.zone, e.version, state, e.sequence))
	e.mu.Unlock()
	s.store.Put("keyed.servers", e.name, []byte(strings.Replace(text, e.Address(), e.proxy.address(), 1)))
}

func (s *site) allEndpoints() []*endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*endpoint(nil), s.endpoints...)
}

func (s *site) heartbeats() {
	for s.t.Context().Err() == nil {
		time.Sleep(400 * time.Millisecond)
		for _, e := range s.allEndpoints() {
			s.register(e, "ready")
		}
	}
}

// copyStore takes a copy of the store every 100 ms and keeps the last ones.
func (s *site) copyStore() {
	const kept = 20
	for s.t.Context().Err() == nil {
		s.mu.Lock()
		s.copies = append(s.copies[max(len(s.copies)-kept, 0):], agedCopy{time.Now(), s.store.Copy()})
		s.mu.Unlock()
		time.Sleep(100 * time.Millisecond)
	}
}

// copyOfAge returns the newest copy that is at least as old as d, or the oldest one.
func (s *site) copyOfAge(d time.Duration) *standin.Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range slices.Backward(s.copies) {
		if time.Since(c.at) >= d {
			return c.Copy
		}
	}
	return s.copies[0].Copy
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
	p := &process{name: name, storeHandler: s.store.Handler()}
	srv := httptest.NewServer(p.storeHandler)
	s.t.Cleanup(func() { srv.CloseClientConnections(); srv.Close() })
	var err error
	if p.storeProxy, err = newProxy(strings.TrimPrefix(srv.URL, "http://")); err != nil {
		s.t.Fatal(err)
	}
	callers, ready := address.FreeAddress(), address.FreeAddress()
	p.base, p.ready = "http://"+callers, "http://"+ready+"/readyz"
	p.settings = filepath.Join(s.dir, name+".toml")
	text := fmt.Sprintf("vm=%q\nzone=\"a\"\nregion=\"r\"\npeer=%q\n[entry]\ncallers=%q\n[direct]\nstore=%q\nready=%q\ngrace=%q\nkey-lease=%q\nretry-ratio=1\nretry-slack=1000\nexposure=0.3\n",
		name, address.FreeAddress(), callers, p.storeProxy.address(), ready, stopGrace, s.keyLease)
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
		p.exitExpected = true
		cmd, ended := p.cmd, p.ended
		p.mu.Unlock()
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		<-ended
		p.storeProxy.close()
	})
}

// start starts a process. If the process ends before the test has made it end, the test fails.
func (s *site) start(p *process, program string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := exec.Command(program, "--settings", p.settings)
	cmd.Env = append(os.Environ(), p.env...)
	cmd.Stdout, cmd.Stderr = p.log, p.log
	if err := cmd.Start(); err != nil {
		s.t.Errorf("start of %s: %v", p.name, err)
		return
	}
	ended := make(chan struct{})
	p.cmd, p.ended, p.exitExpected, p.leavingSince = cmd, ended, false, time.Time{}
	p.undisturbedSince = time.Now()
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		expected := p.exitExpected
		p.mu.Unlock()
		if !expected {
			s.t.Errorf("%s ended unexpectedly: %v", p.name, err)
		}
		close(ended)
	}()
}

// signal sends a signal to the current process. ends is true if the signal makes the process end.
func (p *process) signal(sig syscall.Signal, ends bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.exitExpected = p.exitExpected || ends
	_ = p.cmd.Process.Signal(sig)
}

// waitStopped waits until the current process has stopped after a SIGSTOP.
func (p *process) waitStopped(t *testing.T) {
	t.Helper()
	p.mu.Lock()
	pid := p.cmd.Process.Pid
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	if err := address.WaitStopped(ctx, pid); err != nil {
		t.Fatal(err)
	}
}

// recordDisturbance records that a fault is affecting the process now.
func (p *process) recordDisturbance() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.undisturbedSince = time.Now()
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
