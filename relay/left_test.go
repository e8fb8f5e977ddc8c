package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/parsleydeal/parsleydeal/caller"
	"github.com/parsleydeal/parsleydeal/catalog"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/fleet"
	"github.com/parsleydeal/parsleydeal/placement"
	"github.com/parsleydeal/parsleydeal/platform/standin"
	"github.com/parsleydeal/parsleydeal/quarantine"
	"github.com/parsleydeal/parsleydeal/site"
	"github.com/parsleydeal/parsleydeal/upstream"
	"pgregory.net/rapid"
)

// Callers leave while their requests are stalled at a drawn step, and others stay. Guards against requests that reach
// endpoints after their callers left, and against callers that stay and are not served.
func TestCallersThatLeaveAtAnyStepProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &stalledSite{
			step: rapid.SampledFrom([]string{"unread", "start", "confirmation", "test", "dial", "retry", "larger-model", "work"}).Draw(t, "step"),
			kind: rapid.SampledFrom([]catalog.Kind{catalog.Streaming, catalog.Idempotent, catalog.NonIdempotent}).Draw(t, "kind"),
			body: rapid.SampledFrom([]string{"none", "length", "chunks"}).Draw(t, "body"),
			warm: rapid.Bool().Draw(t, "connections at hand"), behind: rapid.SampledFrom([]string{"", "G", "\r\n", "GET /next HTTP/1.1\r\nHost: h\r\n\r\n"}).Draw(t, "behind"),
		}
		if s.step == "larger-model" && s.kind == catalog.NonIdempotent {
			s.kind = catalog.Idempotent
		}
		s.callers = make([]*stalledCaller, rapid.IntRange(1, 4).Draw(t, "callers"))
		for i := range s.callers {
			s.callers[i] = &stalledCaller{id: fmt.Sprint("r-", i), reached: make(chan struct{}), cancelled: make(chan struct{}), leaves: rapid.Bool().Draw(t, "leaves")}
		}
		if faults := s.play(); len(faults) > 0 {
			t.Fatal(strings.Join(faults, "\n"))
		}
	})
}

// stalledCaller is a caller whose request is stalled.
type stalledCaller struct {
	id     string
	leaves bool
	conn   net.Conn
	// entryConn is the entry's end of the connection.
	entryConn atomic.Pointer[caller.Conn]
	// reached is closed when the request is stalled.
	reached chan struct{}
	once    sync.Once
	// cancelled is closed when the endpoint that works on the request knows that nobody waits for it.
	cancelled chan struct{}
}

// stalledSite is an entry whose requests are stalled at one step until they are released.
type stalledSite struct {
	step, body string
	// behind is what callers send behind their requests.
	behind     string
	kind       catalog.Kind
	warm       bool
	callers    []*stalledCaller
	released   chan struct{}
	isReleased atomic.Bool
	mu         sync.Mutex
	// arrivals counts the arrivals of each request at endpoints, late those after the release.
	arrivals, late map[string]int
	view           atomic.Pointer[site.View]
	handled        sync.WaitGroup
}

// stall holds a request until all are released.
func (s *stalledSite) stall(id string) {
	for _, c := range s.callers {
		if c.id == id {
			c.once.Do(func() { close(c.reached) })
			<-s.released
		}
	}
}

// arrived notes that a request has arrived at the entry, and stalls it there if that is the step.
func (s *stalledSite) arrived(r *http.Request) {
	id := r.Header.Get("Request-Id")
	for _, c := range s.callers {
		if c.id != id {
			continue
		}
		c.entryConn.Store(caller.Of(r.Context()))
		if s.step != "retry" && s.step != "larger-model" && s.step != "work" {
			c.once.Do(func() { close(c.reached) })
		}
	}
	if s.step == "unread" {
		s.stall(id)
	}
}

// respond answers a request at an endpoint, after the stall if that is between two attempts.
func (s *stalledSite) respond(r *http.Request) standin.Reply {
	id := r.Header.Get("Request-Id")
	s.mu.Lock()
	s.arrivals[id]++
	first := s.arrivals[id] == 1
	if s.isReleased.Load() {
		s.late[id]++
	}
	s.mu.Unlock()
	reply := standin.Reply{Confidence: 90, BreakAfter: -1}
	if s.kind == catalog.Streaming {
		reply.Events = 3
	}
	if first && s.step == "work" {
		s.work(r)
	}
	if first && s.step == "retry" {
		s.stall(id)
		return standin.Reply{NotRun: true}
	}
	if first && s.step == "larger-model" {
		s.stall(id)
		reply.Confidence = 5
	}
	return reply
}

// work works on a request at an endpoint until all are released or its connection is closed.
func (s *stalledSite) work(r *http.Request) {
	for _, c := range s.callers {
		if c.id != r.Header.Get("Request-Id") {
			continue
		}
		c.once.Do(func() { close(c.reached) })
		select {
		case <-r.Context().Done():
			close(c.cancelled)
		case <-s.released:
		}
	}
}

// newServer returns the entry's server, before endpoints that answer with respond.
func (s *stalledSite) newServer(endpoints []*standin.Endpoint) *Server {
	route := &catalog.Route{Name: "r", Kind: s.kind, Resumable: true, Timeout: 5000, LatencyTarget: 3000, MaxAttempts: 3, Models: []string{"small", "large"}, Targets: []catalog.Target{{Service: "app", Weight: 1}}}
	var changes []fleet.Change
	for _, e := range endpoints {
		changes = append(changes, slotsOf(e.Name, e.Address()))
	}
	boot := clock.Boot()
	// The configuration of the view was confirmed at 0.
	c := clock.New(func() clock.Millis { return boot.Now() + clock.Minute })
	server := serverOn(c, viewOf(route, changes))
	s.view.Store(server.cfg.View())
	server.cfg.View, server.cfg.Log = s.view.Load, log.New(io.Discard)
	server.cfg.Dialect = Dialect{Read: readStalled, Call: replayCall, Head: replayHead, SetRefusalHeaders: func(http.Header, string) {}}
	known := s.view.Load()
	switch s.step {
	case "start":
		server.startedAt = c.Now()
		started := make(chan struct{})
		server.cfg.Started = started
		s.view.Store(site.NewState(site.Self{Name: "e"}, 0).View())
		go func() {
			<-s.released
			s.view.Store(known)
			close(started)
		}()
	case "confirmation":
		s.view.Store(viewOf(&catalog.Route{Name: "other", Host: "other", Timeout: 5000}, changes))
		server.cfg.Confirm = func(context.Context, clock.Millis) error {
			<-s.released
			s.view.Store(known)
			return nil
		}
	case "test":
		now, block := c.Now(), keysOf(&Request{Blocks: []placement.Block{{ID: "shared"}, {ID: "own"}}})
		crashed := quarantine.Incarnation{Endpoint: "i-crashed", Number: 1}
		server.quarantine.Sent(server.quarantine.Begin(crashed, block, false, now-1), now-1)
		server.quarantine.Crashed(crashed, now)
		server.quarantine.Admit("tester", block, true, now)
		go func() {
			<-s.released
			server.quarantine.Release("tester", block)
		}()
	case "dial":
		server.cfg.Pool = upstream.NewPoolWith(c, func(ctx context.Context, network, address string) (net.Conn, error) {
			<-s.released
			var d net.Dialer
			return d.DialContext(ctx, network, address)
		})
	}
	return server
}

func readStalled(r *http.Request) (*Request, error) {
	return &Request{
		ID: r.Header.Get("Request-Id"), Method: r.Method, Path: r.URL.Path, Target: "/x", Host: "h", Header: r.Header, AnyModel: true, CallerTimeout: 5 * clock.Second,
		Blocks: []placement.Block{{ID: "shared", Tokens: 10}, {ID: r.Header.Get("Request-Id"), Tokens: 10}},
	}, nil
}

// send sends a caller's request over a connection of its own.
func (s *stalledSite) send(c *stalledCaller, address string) (err error) {
	if c.conn, err = net.Dial("tcp4", address); err != nil {
		return err
	}
	request := map[string]string{
		"none": "GET /x HTTP/1.1\r\n%s\r\n", "length": "POST /x HTTP/1.1\r\nContent-Length: 4\r\n%s\r\nbody", "chunks": "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n%s\r\n4\r\nbody\r\n0\r\n\r\n",
	}[s.body]
	_, err = fmt.Fprintf(c.conn, request, "Host: h\r\nRequest-Id: "+c.id+"\r\n")
	return err
}

// play has callers leave while their requests are stalled, and returns what went wrong.
func (s *stalledSite) play() (faults []string) {
	failf := func(format string, a ...any) {
		s.mu.Lock()
		defer s.mu.Unlock()
		faults = append(faults, fmt.Sprintf(format, a...))
	}
	s.released, s.arrivals, s.late = make(chan struct{}), make(map[string]int), make(map[string]int)
	var endpoints []*standin.Endpoint
	for i := range 3 {
		e, err := standin.StartEndpoint(fmt.Sprint("i-", i), s.respond)
		if err != nil {
			return []string{err.Error()}
		}
		defer e.Close()
		endpoints = append(endpoints, e)
	}
	server := s.newServer(endpoints)
	if s.warm && s.step != "dial" {
		s.keepConnections(server, endpoints)
	}
	front := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/next" {
			return // of a caller that has left
		}
		defer s.handled.Done()
		s.arrived(r)
		server.ServeHTTP(w, r)
	}))
	front.Config.ConnContext = caller.WithConn
	front.Config.Handler = new(caller.Watcher).Handler(front.Config.Handler)
	front.Start()
	defer front.Close()
	s.handled.Add(len(s.callers))
	for _, c := range s.callers {
		if err := s.send(c, front.Listener.Addr().String()); err != nil {
			return []string{err.Error()}
		}
	}
	s.leave(failf)
	s.isReleased.Store(true)
	close(s.released)
	var stayed sync.WaitGroup
	for _, c := range s.callers {
		if !c.leaves {
			stayed.Go(func() { s.readAnswer(c, failf) })
		}
	}
	stayed.Wait()
	s.handled.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.callers {
		if n := s.late[c.id]; c.leaves && n > 0 {
			faults = append(faults, fmt.Sprintf("%s reached endpoints %d times after its caller left", c.id, n))
		}
	}
	return faults
}

// leave waits until all requests are stalled and has some callers leave; it returns once the kernel of the entry
// knows.
func (s *stalledSite) leave(failf func(string, ...any)) {
	for _, c := range s.callers {
		select {
		case <-c.reached:
		case <-time.After(time.Second):
			failf("%s was not stalled", c.id)
		}
		if !c.leaves {
			continue
		}
		if s.behind != "" {
			_, _ = io.WriteString(c.conn, s.behind)
			time.Sleep(behindPause)
		}
		_ = c.conn.Close()
	}
	for _, c := range s.callers {
		for n := 0; c.leaves && !c.entryConn.Load().Left(); n++ {
			if time.Sleep(100 * time.Microsecond); n == 10000 {
				failf("the entry's kernel does not know that the caller of %s left", c.id)
				break
			}
		}
	}
	for _, c := range s.callers {
		if !c.leaves || s.step != "work" {
			continue
		}
		select {
		case <-c.cancelled:
		case <-time.After(goneTime):
			failf("an endpoint works on %s, whose caller has left", c.id)
		}
	}
}

const (
	// behindPause is how long a caller waits after it has sent more behind its request: the entry has read that by then.
	behindPause = 5 * time.Millisecond
	// goneTime is how long after a close an endpoint may still work on the request.
	goneTime = 500 * time.Millisecond
)

func (s *stalledSite) readAnswer(c *stalledCaller, failf func(string, ...any)) {
	defer c.conn.Close()
	_ = c.conn.SetReadDeadline(time.Now().Add(6 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c.conn), nil)
	if err != nil {
		failf("%s stayed and got %v", c.id, err)
		return
	}
	defer resp.Body.Close()
	if _, err = io.ReadAll(resp.Body); err != nil || resp.StatusCode != http.StatusOK {
		failf("%s stayed and got %d %v", c.id, resp.StatusCode, err)
	}
}

// keepConnections has the entry keep idle connections to all endpoints.
func (s *stalledSite) keepConnections(server *Server, endpoints []*standin.Endpoint) {
	var all sync.WaitGroup
	for _, e := range endpoints {
		for i := range len(s.callers) {
			all.Go(func() {
				a, err := server.cfg.Pool.Do(context.Background(), upstream.Call{
					Address: e.Address(), Method: http.MethodGet, Target: "/x", Host: "h", Header: http.Header{"Request-Id": {fmt.Sprint("warm-", i)}}, MaxIdle: 8,
					FirstByteTimeout: func(clock.Millis) clock.Millis { return clock.Second },
				})
				if err == nil {
					_, _ = io.Copy(io.Discard, a)
					a.Close()
				}
			})
		}
	}
	all.Wait()
}
