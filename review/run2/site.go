package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/parsleydeal/parsleydeal/platform/standin"
	loopback "github.com/parsleydeal/parsleydeal/standin"
)

const (
	// program is the deployed command without its settings.
	program = "target/parsleydeal-entry"
	// heartbeat is the interval at which replicas register again.
	heartbeat = 1200 * time.Millisecond
	// drain is how long a replica serves after it was registered as draining.
	drain = 2 * time.Second
	// inTouch is the stability window of the rules.
	inTouch = 3 * time.Second
	// host is the host of all routes, and key the key of their tenant.
	host = "desk.example"
	key  = "k1n9f0qz77ab"
)

// site is a small deployment.
type site struct {
	rec     *record
	dir     string
	store   *standin.Store
	srv     *httptest.Server
	ctx     context.Context
	cancel  context.CancelFunc
	entries []*entry
	mu      sync.Mutex
	servers []*server
	once    sync.Once
}

func newSite(rec *record) (*site, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	s := &site{rec: rec, dir: dir, store: standin.NewStore()}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.srv = httptest.NewServer(s.store.Handler())
	go s.beat()
	return s, nil
}

// close ends all processes of the site.
func (s *site) close() {
	s.once.Do(func() {
		s.cancel()
		for _, e := range s.entries {
			e.end()
		}
		for _, r := range s.allServers() {
			r.Close()
		}
		s.srv.CloseClientConnections()
		s.srv.Close()
		_ = os.RemoveAll(s.dir)
	})
}

// entry is one entry process.
type entry struct {
	name    string
	zone    string
	callers string
	ready   string
	// settings is the path of the settings file.
	settings string
	log      *os.File
	mu       sync.Mutex
	cmd      *exec.Cmd
	// ended is closed when the process has ended.
	ended chan struct{}
}

// startEntry starts an entry with the settings that the template of the deploy file gives.
func (s *site) startEntry(name, zone string) (err error) {
	e := &entry{name: name, zone: zone, callers: loopback.FreeAddress(), ready: loopback.FreeAddress()}
	text := fmt.Sprintf(`vm = %q
zone = %q
region = "home"
peer = %q
operators = %q

[entry]
callers = %q

[direct]
store = %q
ready = %q
memory = 284
grace = "8s"
strict-keys = true
key-lease = "5000ms"
retry-ratio = 0.9
retry-slack = 54
retry-span = "10s"
exposure = 0.15
cold-overage = 1.5
cold-slack = 5
session-life = "5s"
`, name, zone, loopback.FreeAddress(), loopback.FreeAddress(), e.callers, strings.TrimPrefix(s.srv.URL, "http://"), e.ready)
	e.settings = filepath.Join(s.dir, name+".toml")
	if err = os.WriteFile(e.settings, []byte(text), 0o600); err != nil {
		return err
	}
	if e.log, err = os.Create(filepath.Join(s.dir, name+".log")); err != nil {
		return err
	}
	s.entries = append(s.entries, e)
	return e.start()
}

// start starts the process with the deployed command.
func (e *entry) start() error {
	cmd := exec.Command(program, "--settings", e.settings)
	cmd.Stdout, cmd.Stderr = e.log, e.log
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cmd, e.ended = cmd, ended
	return nil
}

// process returns the current process, and a channel that is closed when it has ended.
func (e *entry) process() (p *os.Process, ended chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cmd == nil {
		ended = make(chan struct{})
		close(ended)
		return nil, ended
	}
	return e.cmd.Process, e.ended
}

func (e *entry) signal(sig syscall.Signal) {
	if p, _ := e.process(); p != nil {
		_ = p.Signal(sig)
	}
}

func (e *entry) end() {
	e.signal(syscall.SIGCONT)
	e.signal(syscall.SIGKILL)
	_, ended := e.process()
	<-ended
	_ = e.log.Close()
}

// awaitReady waits until all entries say that they are ready.
func (s *site) awaitReady() error {
	c := http.Client{Timeout: 300 * time.Millisecond}
	for range 200 {
		ready := 0
		for _, e := range s.entries {
			resp, err := c.Get("http://" + e.ready + "/readyz")
			if err != nil {
				continue
			}
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(s.entries) {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errNotReady
}

// lines writes the lines of the entries' logs that contain one of the given texts into the record.
func (s *site) lines(texts ...string) {
	for _, e := range s.entries {
		data, err := os.ReadFile(e.log.Name())
		if err != nil {
			continue
		}
		for line := range strings.SplitSeq(string(data), "\n") {
			for _, text := range texts {
				if strings.Contains(line, text) {
					s.rec.printf("log of %s: %s", e.name, line)
					break
				}
			}
		}
	}
}

// publish writes the operator's configuration.
func (s *site) publish(c map[string]any) {
	data, _ := json.Marshal(c)
	s.store.Put("keyed.op", "config", data)
}

// limits are what clients may send.
func limits() map[string]any {
	return map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
}

// server is a replica.
type server struct {
	*standin.Endpoint
	id       string
	service  string
	zone     string
	version  string
	mu       sync.Mutex
	state    string
	sequence int
	// coldUntil is when the replica is warm.
	coldUntil time.Time
}

// addServer starts a warm replica and registers it.
func (s *site) addServer(id, service, zone, version string, respond func(r *http.Request) standin.Reply) (*server, error) {
	return s.addColdServer(id, service, zone, version, 0, respond)
}

// addColdServer starts a replica that is cold for a time and registers it.
func (s *site) addColdServer(id, service, zone, version string, cold time.Duration, respond func(r *http.Request) standin.Reply) (*server, error) {
	e, err := standin.StartEndpoint(id, respond)
	if err != nil {
		return nil, err
	}
	r := &server{Endpoint: e, id: id, service: service, zone: zone, version: version, state: "ready", coldUntil: time.Now().Add(cold)}
	s.mu.Lock()
	s.servers = append(s.servers, r)
	s.mu.Unlock()
	s.register(r)
	return r, nil
}

func (s *site) allServers() []*server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*server(nil), s.servers...)
}

// register writes a replica's entry, unless it has left.
func (s *site) register(r *server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state == "" {
		return
	}
	r.sequence++
	text := string(r.Registration(r.service, r.zone, r.version, r.state, r.sequence))
	if left := time.Until(r.coldUntil).Milliseconds(); left > 0 {
		text = strings.Replace(text, `"coldRemainingMs":0`, fmt.Sprintf(`"coldRemainingMs":%d`, left), 1)
	}
	s.store.Put("keyed.servers", r.id, []byte(text))
}

// setState changes the state that a replica registers; with an empty one its entry is removed.
func (s *site) setState(r *server, state string) {
	r.mu.Lock()
	r.state = state
	r.mu.Unlock()
	if state == "" {
		s.store.Put("keyed.servers", r.id, nil)
		return
	}
	s.register(r)
}

// beat registers all replicas again at the interval of their heartbeats.
func (s *site) beat() {
	for s.pause(heartbeat) {
		for _, r := range s.allServers() {
			s.register(r)
		}
	}
}

// pause waits and reports false if the site was closed meanwhile.
func (s *site) pause(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-s.ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// result is what a client got.
type result struct {
	id        string
	entry     *entry
	sentAt    time.Time
	status    int
	signature string
	body      string
	err       error
}

// send sends one request of a client on a connection of its own.
func (s *site) send(e *entry, method, path, id string, timeout time.Duration, header map[string]string) result {
	r := result{id: id, entry: e, sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(s.ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+e.callers+path, http.NoBody)
	if err != nil {
		r.err = err
		return r
	}
	req.Host, req.Close = host, true
	req.Header.Set("Request-Id", id)
	req.Header.Set("Api-Key", key)
	req.Header.Set("Request-Timeout-Ms", fmt.Sprint(timeout.Milliseconds()))
	for name, value := range header {
		req.Header.Set(name, value)
	}
	c := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := c.Do(req)
	if err != nil {
		r.err = err
		return r
	}
	defer resp.Body.Close()
	r.status, r.signature = resp.StatusCode, resp.Header.Get("Response-Signature")
	data, err := io.ReadAll(resp.Body)
	r.body, r.err = string(data), err
	return r
}
