package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/platform/standin"
	"github.com/parsleydeal/parsleydeal/settings"
	address "github.com/parsleydeal/parsleydeal/standin"
)

// testSite is a small site within this process: a store, endpoints and entries.
type testSite struct {
	t         *testing.T
	store     *standin.Store
	endpoints map[string]*standin.Endpoint
	version   int
	routes    []map[string]any
	keys      []string
	// stopGrace is how long entries may take to stop.
	stopGrace clock.Millis
	keyLease  clock.Millis
	// coldPerSecond is how many requests per second an endpoint of the service
	// "pool" accepts during cold start.
	coldPerSecond int
	// neighbours are the addresses in the settings of entries. peerPort is the port on which all
	// entries receive reports, each at an IP address of its own; empty for the same IP address and any
	// port.
	neighbours []string
	peerPort   string
	started    int
}

// testEntry is one entry of a test site.
type testEntry struct {
	*direct
	storeHandler *standin.Handler
	baseURL      string
	signals      chan os.Signal
	done         chan error
	log          *logBuffer
}

// logBuffer stores the log lines of an entry.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (n int, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

func newTestSite(t *testing.T) *testSite {
	t.Helper()
	return &testSite{
		t: t, store: standin.NewStore(), endpoints: make(map[string]*standin.Endpoint), keys: []string{"key-1"}, stopGrace: 8 * clock.Second, keyLease: 5 * clock.Second, coldPerSecond: 5000,
		routes: []map[string]any{
			{"name": "r-chat", "host": "h.example", "pathPrefix": "/chat/", "kind": "streaming", "timeoutMs": 5000, "targetLatencyMs": 600, "targetGapMs": 300, "sizes": []string{"small", "large"}, "service": "pool", "maxAttempts": 3, "sticky": true, "resumable": true},
			{"name": "r-read", "host": "h.example", "pathPrefix": "/read/", "kind": "idempotent", "timeoutMs": 1500, "targetLatencyMs": 150, "service": "app", "maxAttempts": 2},
			{"name": "r-fee", "host": "h.example", "pathPrefix": "/fee/", "kind": "non_idempotent", "timeoutMs": 1500, "targetLatencyMs": 150, "service": "app", "maxAttempts": 1},
		},
	}
}

// publish writes the next version of the configuration to the store, as operators do.
func (ts *testSite) publish() {
	ts.version++
	c := map[string]any{
		"version": ts.version, "routes": ts.routes,
		"services": []map[string]any{{"name": "pool", "maxConnections": 100, "coldPerS": ts.coldPerSecond, "engine": map[string]any{"slots": 64}}, {"name": "app", "maxConnections": 100}},
		"limits":   map[string]any{"maxHeaderBytes": 4096, "maxBodyBytes": 10000, "headerTimeoutMs": 1000, "idleTimeoutMs": 5000},
		"tenants":  []map[string]any{{"name": "org-1", "apiKeys": ts.keys}},
	}
	data, err := json.Marshal(c)
	if err != nil {
		ts.t.Fatal(err)
	}
	ts.store.Put("keyed.op", "config", data)
}

// endpoint starts an endpoint and registers it in the store.
func (ts *testSite) endpoint(name, service, version string, respond func(r *http.Request) standin.Reply) *standin.Endpoint {
	ts.t.Helper()
	e, err := standin.StartEndpoint(name, respond)
	if err != nil {
		ts.t.Fatal(err)
	}
	ts.t.Cleanup(e.Close)
	ts.endpoints[name] = e
	ts.store.Put("keyed.servers", name, e.Registration(service, "a", version, "ready", 1))
	return e
}

// entry starts an entry and waits until it is ready.
func (ts *testSite) entry(name string) *testEntry {
	ts.t.Helper()
	e := ts.startEntry(name)
	ts.eventually(3*time.Second, "entry "+name+" is ready", func() bool { ready, _ := e.ready(); return ready })
	return e
}

func (ts *testSite) startEntry(name string) *testEntry {
	ts.t.Helper()
	storeHandler := ts.store.Handler()
	srv := httptest.NewServer(storeHandler)
	ts.t.Cleanup(func() { srv.CloseClientConnections(); srv.Close() })
	s := settings.Default()
	s.VM, s.Zone, s.Region, s.Peer = name, "a", "r", address.FreeAddress()
	s.Direct.Neighbours = ts.neighbours
	if ts.peerPort != "" {
		ts.started++
		s.Peer = fmt.Sprintf("127.0.1.%d:%s", ts.started, ts.peerPort)
	}
	s.Entry.Callers = address.FreeAddress()
	s.Direct.Store, s.Direct.Ready = strings.TrimPrefix(srv.URL, "http://"), address.FreeAddress()
	s.Direct.Grace, s.Direct.KeyLease, s.Direct.RetryRatio, s.Direct.RetrySlack, s.Direct.Exposure = ts.stopGrace, ts.keyLease, 1, 1000, 0.2
	e := &testEntry{storeHandler: storeHandler, baseURL: "http://" + s.Entry.Callers, signals: make(chan os.Signal, 1), done: make(chan error, 1), log: &logBuffer{}}
	var err error
	if e.direct, err = newDirect("", s, e.log); err != nil {
		ts.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ts.t.Cleanup(func() {
		cancel()
		if ts.t.Failed() {
			ts.t.Logf("log of %s:\n%s", name, e.log)
		}
	})
	go e.logWriter.Run(ctx)
	go func() {
		err := e.serve(ctx, e.signals)
		if err != nil {
			e.direct.log.Error("Entry ended", "error", err)
		}
		e.done <- err
	}()
	return e
}

func (ts *testSite) eventually(d time.Duration, what string, ok func() bool) {
	ts.t.Helper()
	for end := time.Now().Add(d); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			ts.t.Fatalf("not in %s: %s", d, what)
		}
	}
}

// response is an answer as received by a caller.
type response struct {
	status int
	body   string
	header http.Header
	// err is set if the answer is missing or incomplete.
	err error
}

var requestCounter struct {
	mu sync.Mutex
	n  int
}

func nextID() string {
	requestCounter.mu.Lock()
	defer requestCounter.mu.Unlock()
	requestCounter.n++
	return "req-" + strconv.Itoa(requestCounter.n)
}

func (e *testEntry) request(method, path, body string, change ...func(*http.Request)) *http.Request {
	r, err := http.NewRequest(method, e.baseURL+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	r.Host = "h.example"
	r.Header.Set("Request-Id", nextID())
	r.Header.Set("Api-Key", "key-1")
	if strings.HasPrefix(path, "/chat/") {
		r.Header.Set("Model", "*")
		r.Header.Set("Prompt-Prefix", "aa:100,bb:200,cc:50")
	}
	for _, f := range change {
		f(r)
	}
	return r
}

func (e *testEntry) do(r *http.Request) (out response) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(r)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, body: string(data), header: resp.Header, err: err}
}

func (e *testEntry) send(method, path, body string, change ...func(*http.Request)) response {
	return e.do(e.request(method, path, body, change...))
}

func session(name string) func(*http.Request) {
	return func(r *http.Request) { r.Header.Set("Session", name) }
}

func always(reply standin.Reply) func(*http.Request) standin.Reply {
	if reply.BreakAfter == 0 {
		reply.BreakAfter = -1
	}
	return func(*http.Request) standin.Reply { return reply }
}

// hasEvents reports whether body is a complete stream of n events, each once and in order.
func hasEvents(body string, n int) bool {
	want := make([]string, 0, n)
	for i := 1; i <= n; i++ {
		want = append(want, fmt.Sprintf("id: %d", i))
	}
	var got []string
	for line := range strings.SplitSeq(body, "\n") {
		if strings.HasPrefix(line, "id:") {
			got = append(got, line)
		}
	}
	return strings.Join(got, ",") == strings.Join(want, ",")
}
