package relay

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/catalog"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/fleet"
	"github.com/parsleydeal/parsleydeal/placement"
	"github.com/parsleydeal/parsleydeal/platform/standin"
	"github.com/parsleydeal/parsleydeal/refusal"
	"github.com/parsleydeal/parsleydeal/site"
	"github.com/parsleydeal/parsleydeal/upstream"
)

// viewOf returns the view of an entry with one route and some endpoints of the service app.
func viewOf(route *catalog.Route, changes []fleet.Change) *site.View {
	s := site.NewState(site.Self{Name: "e"}, 0)
	config := configOf(route, catalog.Service{Name: "app"})
	site.Reduce(s, site.VerdictsRead{Now: 1})
	site.Reduce(s, site.OperatorRead{Now: 1, Full: true, Update: site.OperatorUpdate{Config: config}})
	site.Reduce(s, site.EndpointsRead{Now: 1, Full: true, Changes: changes})
	return s.View()
}

// serverOn returns a server that has run for some time and sends plain HTTP to the endpoints of a view.
func serverOn(c clock.Clock, view *site.View) *Server {
	s := New(Config{
		Clock: c, Log: log.New(io.Discard), View: func() *site.View { return view }, Pool: upstream.NewPool(c), RetryRatio: 1, RetrySlack: 100, RetryWindow: 1000,
		Dialect: Dialect{
			Call: func(req *Request, params AttemptParams, _ []byte) upstream.Call {
				return upstream.Call{Address: params.Address, Method: "GET", Target: "/x", Host: "h", Header: http.Header{"Request-Id": {req.ID}}}
			},
			Head: func(status int, h http.Header) Head {
				return Head{Status: status, Signed: true, Confidence: -1, Header: h}
			},
		},
	})
	s.startedAt -= entriesSettleTime
	return s
}

// slotsOf returns the registration of an endpoint of the service app with four slots.
func slotsOf(id, address string) fleet.Change {
	return fleet.Change{ID: id, Endpoint: &fleet.Endpoint{ID: id, Service: "app", Address: address, Version: "v1", Slots: 4}}
}

// A request's endpoint fails just after the request's deadline by the process's clock, but before
// the deadline timer fires. There must be no further attempt: it would open a connection or start
// the request in vain.
func TestNoAttemptWithoutTimeRemaining(t *testing.T) {
	for _, kind := range []catalog.Kind{catalog.Idempotent, catalog.NonIdempotent} {
		t.Run(fmt.Sprint(kind), func(t *testing.T) { runOutOfTime(t, kind) })
	}
}

// runOutOfTime lets the deadline pass while the first endpoint drops its answer. The caller must
// get the refusal for a passed deadline, not the one for a failed endpoint.
func runOutOfTime(t *testing.T, kind catalog.Kind) {
	t.Helper()
	is := is.New(t)
	var now atomic.Int64
	now.Store(1000)
	c := clock.New(func() clock.Millis { return clock.Millis(now.Load()) })
	route := &catalog.Route{Name: "r", Kind: kind, Timeout: 500, LatencyTarget: 100, MaxAttempts: 5, Targets: []catalog.Target{{Service: "app", Weight: 1}}}
	var changes []fleet.Change
	for i := range 4 {
		name := fmt.Sprintf("i-%d", i)
		e, err := standin.StartEndpoint(name, func(*http.Request) standin.Reply {
			now.Store(1501)
			return standin.Reply{DropAnswer: true}
		})
		is.NoErr(err)
		defer e.Close()
		changes = append(changes, slotsOf(name, e.Address()))
	}
	view := viewOf(route, changes)
	server := serverOn(c, view)
	x := &exchange{
		server: server, view: view, w: httptest.NewRecorder(), r: httptest.NewRequest(http.MethodGet, "/x", nil), startedAt: 1000, deadline: 1500,
		req: &Request{ID: "r-1", Method: http.MethodGet}, route: route, service: "app",
	}
	err := x.run(context.Background())
	r, ok := refusal.As(err)
	is.True(ok)
	is.Equal(r.Code(), refusal.DeadlinePassed)
	is.Equal(r.RetrySafeStatus(), http.StatusGatewayTimeout)
	is.Equal(x.sends, 1)
}

// One endpoint is slow and the other one full. The failure was that the request left the slow one
// after the typical timeout, found no room, and failed at once, a moment before the answer would
// have arrived. It must stay at its endpoint until another one would answer in time.
func TestRequestStaysWhenNoOtherEndpointHasRoom(t *testing.T) {
	for _, full := range []bool{true, false} {
		t.Run(fmt.Sprintf("other full %t", full), func(t *testing.T) { leaveSlowEndpoint(t, full) })
	}
}

func leaveSlowEndpoint(t *testing.T, otherFull bool) {
	t.Helper()
	is := is.New(t)
	c := clock.Boot()
	slow, err := standin.StartEndpoint("i-slow", func(*http.Request) standin.Reply { return standin.Reply{Delay: 900 * time.Millisecond} })
	is.NoErr(err)
	defer slow.Close()
	other, err := standin.StartEndpoint("i-other", nil)
	is.NoErr(err)
	defer other.Close()
	route := &catalog.Route{Name: "r", Kind: catalog.Idempotent, Timeout: 3000, LatencyTarget: 500, MaxAttempts: 3, Targets: []catalog.Target{{Service: "app", Weight: 1}}}
	view := viewOf(route, []fleet.Change{
		slotsOf("i-slow", slow.Address()),
		slotsOf("i-other", other.Address()),
	})
	server := serverOn(c, view)
	server.selector.RecordLoad("i-other", 100, 4, c.Now())
	w := httptest.NewRecorder()
	x := &exchange{
		server: server, view: view, w: w, r: httptest.NewRequest(http.MethodGet, "/x", nil), startedAt: c.Now(), deadline: c.Now() + 3000,
		req: &Request{ID: "r-1", Method: http.MethodGet}, route: route, service: "app",
	}
	go func() {
		time.Sleep(50 * time.Millisecond)
		if !otherFull {
			server.selector.RecordLoad("i-other", 0, 4, c.Now()+10000) // much later, so that it replaces the earlier report
		}
	}()
	is.NoErr(x.run(context.Background()))
	is.Equal(w.Code, http.StatusOK)
	is.Equal(x.sends, map[bool]int{true: 1, false: 2}[otherFull])
}

// A request took half a second at its entry, but only a few milliseconds at its endpoint. The log
// line must show which phase took the rest: reading the caller's body, the wait until the first
// attempt, or getting a connection.
func TestRequestLogHasPhaseDurations(t *testing.T) {
	is := is.New(t)
	out := &bytes.Buffer{}
	s := site.NewState(site.Self{Name: "e"}, 0)
	server := New(Config{Clock: clock.New(func() clock.Millis { return 2000 }), Log: log.New(out), View: s.View})
	x := &exchange{server: server, view: s.View(), r: httptest.NewRequest(http.MethodGet, "/x", nil), startedAt: 1500, bodyTook: 120, firstAttemptAt: 1630, connectTook: 240}
	x.logRequest(nil, 500, false)
	is.True(strings.Contains(out.String(), "took=500ms body=120ms placed=130ms connect=240ms"))
}

// An endpoint lost an answer while the others were busy. The failure was that the request was sent
// there again until the caller's time was up, because the endpoint seemed to have no load. A late
// answer of another endpoint would have been better.
func TestSilentEndpointIsNotRetried(t *testing.T) {
	is := is.New(t)
	c := clock.Boot()
	silent, err := standin.StartEndpoint("i-silent", func(*http.Request) standin.Reply { return standin.Reply{Delay: 20 * time.Second} })
	is.NoErr(err)
	defer silent.Close()
	busy, err := standin.StartEndpoint("i-busy", func(*http.Request) standin.Reply { return standin.Reply{Events: 2, BreakAfter: -1} })
	is.NoErr(err)
	defer busy.Close()
	route := &catalog.Route{Name: "r", Kind: catalog.Streaming, Resumable: true, Timeout: 5000, LatencyTarget: 300, MaxAttempts: 3, Targets: []catalog.Target{{Service: "app", Weight: 1}}}
	view := viewOf(route, []fleet.Change{
		slotsOf("i-silent", silent.Address()),
		slotsOf("i-busy", busy.Address()),
	})
	server := serverOn(c, view)
	server.selector.RecordQueueLength("i-busy", 20, c.Now()+1000) // the report stays valid for a while
	x := &exchange{
		server: server, view: view, w: httptest.NewRecorder(), r: httptest.NewRequest(http.MethodGet, "/x", nil), startedAt: c.Now(), deadline: c.Now() + 5000,
		req: &Request{ID: "r-1", Method: http.MethodGet, Model: "m", Blocks: []placement.Block{{ID: "own", Tokens: 900}}}, route: route, service: "app",
	}
	is.NoErr(x.run(context.Background()))
	is.Equal(x.endpoint, "i-busy")
	is.Equal(x.sends, 2)
	is.True(silent.Received() == 1)
	is.True(c.Since(x.startedAt) < clock.Second) // it does not wait until the other endpoint is idle
}

// Most endpoints crash at the same moment and refuse connections. The failure was that a request
// was refused after five of them although nothing had been sent and others were running.
func TestRequestFindsRunningEndpointAmongCrashedOnes(t *testing.T) {
	is := is.New(t)
	c := clock.Boot()
	running, err := standin.StartEndpoint("i-running", func(*http.Request) standin.Reply { return standin.Reply{} })
	is.NoErr(err)
	defer running.Close()
	var changes []fleet.Change
	for i := range 12 {
		crashed, err := standin.StartEndpoint("crashed", nil)
		is.NoErr(err)
		changes = append(changes, slotsOf(fmt.Sprint("i-", i), crashed.Address()))
		crashed.Close()
		awaitRefusal(crashed.Address())
	}
	route := &catalog.Route{Name: "r", Kind: catalog.NonIdempotent, Timeout: 5000, MaxAttempts: 1, Targets: []catalog.Target{{Service: "app", Weight: 1}}}
	view := viewOf(route, append(changes, slotsOf("i-running", running.Address())))
	server := serverOn(c, view)
	server.cfg.RetrySlack = float64(view.Entries()) / retrySlackFraction // one retry
	server.selector.RecordLoad("i-running", 3, 4, c.Now())               // it looks busier than those that crashed
	x := &exchange{
		server: server, view: view, w: httptest.NewRecorder(), r: httptest.NewRequest(http.MethodGet, "/x", nil), startedAt: c.Now(), deadline: c.Now() + 5000,
		req: &Request{ID: "r-1", Method: http.MethodGet}, route: route, service: "app",
	}
	is.NoErr(x.run(context.Background()))
	is.Equal(x.endpoint, "i-running")
	is.Equal(running.Received(), 1)
	is.True(x.unsent > 0)
	is.True(x.budget().TryRetry(c.Now())) // nothing that was sent needed it
}

// An entry gets its first request before it knows how many others there are, and assumes many. Guards
// against its retry budget staying at that share for as long as it runs.
func TestRetryBudgetFollowsEntries(t *testing.T) {
	is := is.New(t)
	server := serverOn(clock.Boot(), nil)
	server.cfg.RetrySlack = 2 / retrySlackFraction
	is.True(!server.budget("app", 8).TryOptional(1000))
	is.True(server.budget("app", 1).TryOptional(1000))
	is.True(!server.budget("app", 8).TryOptional(1000))
}

// An entry is killed after it has used its share of a cold endpoint, and starts again. Guards against
// its new process using the share once more within the same second.
func TestRestartedEntryWaitsForColdShare(t *testing.T) {
	is := is.New(t)
	now := 10 * clock.Second
	c := clock.New(func() clock.Millis { return now })
	route := &catalog.Route{Name: "r", Targets: []catalog.Target{{Service: "app", Weight: 1}}}
	cold := slotsOf("i-cold", "10.0.0.1:1")
	cold.Endpoint.Slots, cold.Endpoint.ColdUntil = 64, clock.Minute
	s := site.NewState(site.Self{Name: "e"}, 0)
	config := configOf(route, catalog.Service{Name: "app", ColdPerSecond: 16})
	site.Reduce(s, site.VerdictsRead{Now: now})
	site.Reduce(s, site.OperatorRead{Now: now, SentAt: now, Full: true, Update: site.OperatorUpdate{Config: config}})
	site.Reduce(s, site.EndpointsRead{Now: now, SentAt: now, Full: true, Changes: []fleet.Change{cold}})
	sent := func(server *Server) (n int) {
		server.cfg.ColdOverage = 1.5
		q := placement.Query{Service: "app", Rule: s.View().Rule("app", now), Bounds: server.bounds(s.View(), "app"), Now: now}
		for e, _ := server.selector.Select(s.View().Fleet(), q); e != nil; e, _ = server.selector.Select(s.View().Fleet(), q) {
			n++
		}
		return n
	}
	server := serverOn(c, s.View())
	now += 2 * clock.Second
	is.Equal(sent(server), 3) // an eighth of 24
	now += 400
	restarted := serverOn(c, s.View())
	restarted.startedAt = now
	is.Equal(sent(restarted), 0)
	now += placement.SendWindow
	is.Equal(sent(restarted), 3)
}

// awaitRefusal waits until an address refuses connections: a server that is closed while it starts
// may still hold its listener for a moment.
func awaitRefusal(address string) {
	for {
		c, err := net.Dial("tcp4", address)
		if err != nil {
			return
		}
		_ = c.Close()
	}
}
