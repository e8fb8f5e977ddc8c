package relay

import (
	"io"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/catalog"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/fleet"
	"github.com/parsleydeal/parsleydeal/placement"
	"github.com/parsleydeal/parsleydeal/site"
	"github.com/parsleydeal/parsleydeal/upstream"
)

// Under load the smallest model's answer to a long prompt has little confidence. The
// route's usual first byte at the largest model was short, by its other prompts; this
// one takes most of the time that is left to read, and prompts wait where it would go.
// Its answer was dropped, and the better one came too late to be of full use. For a
// short prompt at an idle endpoint the same answer is dropped.
func TestAnswersAreKeptWhenLargerModelWouldBeLate(t *testing.T) {
	for _, x := range []struct {
		name    string
		tokens  int
		waiting int
		drops   bool
	}{
		{"short prompt, idle endpoint", 500, 0, true},
		{"long prompt", 60000, 0, false},
		{"long queue", 500, 60000, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			is := is.New(t)
			a := smallAnswer(x.tokens)
			if x.waiting > 0 {
				e := a.exchange.view.Fleet().Find("i-1")
				a.exchange.server.board.Begin(e, placement.Query{Model: "large", Blocks: []placement.Block{{ID: "other", Tokens: x.waiting}}, FullMesh: true, Now: 1000})
			}
			is.Equal(a.poor(45), x.drops)
		})
	}
}

// smallAnswer is an attempt at the smallest of two models, whose answer has come.
func smallAnswer(tokens int) *attempt {
	c := clock.New(func() clock.Millis { return 1000 })
	route := &catalog.Route{Name: "r", Kind: catalog.Idempotent, Timeout: 8000, LatencyTarget: 1500, MaxAttempts: 3, Models: []string{"small", "large"}, Targets: []catalog.Target{{Service: "app", Weight: 1}}}
	endpoint := &fleet.Endpoint{ID: "i-1", Service: "app", Address: "10.0.0.1:1", Version: "v1", Slots: 24}
	view := viewOf(route, []fleet.Change{{ID: "i-1", Endpoint: endpoint}})
	server := New(Config{Clock: c, Log: log.New(io.Discard), View: func() *site.View { return view }, Pool: upstream.NewPool(c), RetryRatio: 1, RetrySlack: 100, RetryWindow: 1000})
	return &attempt{plan: plan{models: []string{"small", "large"}}, exchange: &exchange{
		server: server, view: view, startedAt: 900, deadline: 8900, route: route, service: "app",
		req: &Request{ID: "r-1", AnyModel: true, Blocks: []placement.Block{{ID: "own", Tokens: tokens}}},
	}}
}

// An endpoint loses an answer that was expected at once, and its request waits for as long as
// the route's longest prompts take.
func TestFirstByteTimeoutFollowsPredictionError(t *testing.T) {
	is := is.New(t)
	p := newPace()
	r := &catalog.Route{Name: "r", LatencyTarget: 2000}
	p.add(r.Name, "m", 400)
	usual := p.patience(r, "m")
	is.Equal(usual, clock.Millis(1600))
	is.Equal(p.patienceFor(r, "m", 100), usual) // too little is known
	for i := range 2 * spansKept {
		p.miss(r, "m", clock.Millis(i%2*150))
	}
	is.Equal(p.patienceFor(r, "m", 100), clock.Millis(400))
	is.Equal(p.patienceFor(r, "m", 5000), usual)
	p = newPace()
	p.add(r.Name, "m", 400)
	for range spansKept {
		p.miss(r, "m", -300)
	}
	is.Equal(p.patienceFor(r, "m", 0), leastPatience)
}

// Entries that each keep what one may keep fill the endpoints' bound together.
func TestIdleConnectionsAreDividedAmongEntries(t *testing.T) {
	is := is.New(t)
	s := site.NewState(site.Self{Name: "e"}, 0)
	services := map[string]catalog.Service{"app": {Name: "app", MaxConnections: 220}, "free": {Name: "free"}}
	site.Reduce(s, site.OperatorRead{Now: 1, Full: true, Update: site.OperatorUpdate{Config: (&catalog.Config{Version: 1, Services: services}).Index()}})
	addresses := make(map[string]string)
	for i := range 26 {
		addresses[string(rune('a'+i))] = "x"
	}
	site.Reduce(s, site.EntriesRead{Now: 1, Addresses: addresses})
	v := s.View()
	server := New(Config{Clock: clock.Boot(), View: s.View})
	is.Equal(server.mostIdle(v, "app"), 4)
	is.True(server.mostIdle(v, "app")*v.Entries() <= 110)
	is.Equal(server.mostIdle(v, "free"), defaultIdle)
	is.Equal(server.mostIdle(v, "gone"), defaultIdle)
}
