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

// town is a small site: a store, endpoints and entries in this process.
type town struct {
	t         *testing.T
	store     *standin.Store
	endpoints map[string]*standin.Endpoint
	version   int
	routes    []map[string]any
	keys      []string
	// grace is the entries' time to stop.
	grace clock.Millis
	lease clock.Millis
	// cold is how many requests a second an endpoint of the pool takes.
	cold int
}

// entryAt is one entry of a town.
type entryAt struct {
	*direct
	door    *standin.Handler
	base    string
	signals chan os.Signal
	done    chan error
	log     *lines
}

// lines keeps what an entry writes.
type lines struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lines) Write(p []byte) (n int, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

func newTown(t *testing.T) *town {
	t.Helper()
	return &town{
		t: t, store: standin.NewStore(), endpoints: make(map[string]*standin.Endpoint), keys: []string{"key-1"}, grace: 8 * clock.Second, lease: 5 * clock.Second, cold: 5000,
		routes: []map[string]any{
			{"name": "r-chat", "host": "h.example", "pathPrefix": "/chat/", "kind": "streaming", "timeoutMs": 5000, "targetLatencyMs": 600, "targetGapMs": 300, "sizes": []string{"small", "large"}, "service": "pool", "maxAttempts": 3, "sticky": true, "resumable": true},
			{"name": "r-read", "host": "h.example", "pathPrefix": "/read/", "kind": "idempotent", "timeoutMs": 1500, "targetLatencyMs": 150, "service": "app", "maxAttempts": 2},
			{"name": "r-fee", "host": "h.example", "pathPrefix": "/fee/", "kind": "non_idempotent", "timeoutMs": 1500, "targetLatencyMs": 150, "service": "app", "maxAttempts": 1},
		},
	}
}

// publish writes the configuration as the operator does.
func (w *town) publish() {
	w.version++
	c := map[string]any{
		"version": w.version, "routes": w.routes,
		"services": []map[string]any{{"name": "pool", "maxConnections": 100, "coldPerS": w.cold, "engine": map[string]any{"slots": 64}}, {"name": "app", "maxConnections": 100}},
		"limits":   map[string]any{"maxHeaderBytes": 4096, "maxBodyBytes": 10000, "headerTimeoutMs": 1000, "idleTimeoutMs": 5000},
		"tenants":  []map[string]any{{"name": "org-1", "apiKeys": w.keys}},
	}
	data, err := json.Marshal(c)
	if err != nil {
		w.t.Fatal(err)
	}
	w.store.Put("keyed.op", "config", data)
}

// endpoint starts an endpoint and announces it.
func (w *town) endpoint(name, service, version string, act func(r *http.Request) standin.Reply) *standin.Endpoint {
	w.t.Helper()
	e, err := standin.StartEndpoint(name, act)
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(e.Close)
	w.endpoints[name] = e
	w.store.Put("keyed.servers", name, e.Registration(service, "a", version, "ready", 1))
	return e
}

// entry starts an entry and waits until it is ready.
func (w *town) entry(name string) *entryAt {
	w.t.Helper()
	e := w.start(name)
	w.eventually(3*time.Second, "entry "+name+" is ready", func() bool { ready, _ := e.ready(); return ready })
	return e
}

func (w *town) start(name string) *entryAt {
	w.t.Helper()
	door := w.store.Handler()
	srv := httptest.NewServer(door)
	w.t.Cleanup(func() { srv.CloseClientConnections(); srv.Close() })
	s := settings.Default()
	s.VM, s.Zone, s.Region, s.Peer = name, "a", "r", address.FreeAddress()
	s.Entry.Callers = address.FreeAddress()
	s.Direct.Store, s.Direct.Ready = strings.TrimPrefix(srv.URL, "http://"), address.FreeAddress()
	s.Direct.Grace, s.Direct.KeyLease, s.Direct.RetryRatio, s.Direct.RetrySlack, s.Direct.Exposure = w.grace, w.lease, 1, 1000, 0.2
	e := &entryAt{door: door, base: "http://" + s.Entry.Callers, signals: make(chan os.Signal, 1), done: make(chan error, 1), log: &lines{}}
	var err error
	if e.direct, err = newDirect("", s, e.log); err != nil {
		w.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	w.t.Cleanup(func() {
		cancel()
		if w.t.Failed() {
			w.t.Logf("log of %s:\n%s", name, e.log)
		}
	})
	go e.book.Run(ctx)
	go func() {
		err := e.serve(ctx, e.signals)
		if err != nil {
			e.direct.log.Error("Entry ended", "error", err)
		}
		e.done <- err
	}()
	return e
}

func (w *town) eventually(d time.Duration, what string, ok func() bool) {
	w.t.Helper()
	for end := time.Now().Add(d); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			w.t.Fatalf("not in %s: %s", d, what)
		}
	}
}

// reply is an answer as a caller sees it.
type reply struct {
	status int
	body   string
	header http.Header
	// err says that the answer is not whole.
	err error
}

var number struct {
	mu sync.Mutex
	n  int
}

func nextID() string {
	number.mu.Lock()
	defer number.mu.Unlock()
	number.n++
	return "req-" + strconv.Itoa(number.n)
}

func (e *entryAt) request(method, path, body string, change ...func(*http.Request)) *http.Request {
	r, err := http.NewRequest(method, e.base+path, strings.NewReader(body))
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

func (e *entryAt) do(r *http.Request) (out reply) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, body: string(data), header: resp.Header, err: err}
}

func (e *entryAt) send(method, path, body string, change ...func(*http.Request)) reply {
	return e.do(e.request(method, path, body, change...))
}

func session(name string) func(*http.Request) {
	return func(r *http.Request) { r.Header.Set("Session", name) }
}

func always(a standin.Reply) func(*http.Request) standin.Reply {
	if a.BreakAfter == 0 {
		a.BreakAfter = -1
	}
	return func(*http.Request) standin.Reply { return a }
}

// pieces is the body of a whole stream of n events.
func pieces(body string, n int) bool {
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
