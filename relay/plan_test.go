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

// Under load the smallest model's answer has low confidence, but the larger model's would arrive too
// late to be of full use: the prompt is long and takes most of the remaining time to process, or
// other prompts are queued at the endpoint. Guards against dropping the small model's answer then, because the
// larger model's mean time to the first byte is short over all prompts of the route. For a short
// prompt at an idle endpoint the same answer must be dropped.
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
			a := smallModelAttempt(x.tokens)
			if x.waiting > 0 {
				e := a.exchange.view.Fleet().Find("i-1")
				a.exchange.server.selector.Begin(e, placement.Query{Model: "large", Blocks: []placement.Block{{ID: "other", Tokens: x.waiting}}, FullMesh: true, Now: 1000})
			}
			is.Equal(a.isPoor(45), x.drops)
		})
	}
}

// smallModelAttempt returns an attempt at the smaller of two models, whose answer to a prompt of
// the given length has arrived.
func smallModelAttempt(promptTokens int) *attempt {
	c := clock.New(func() clock.Millis { return 1000 })
	route := &catalog.Route{Name: "r", Kind: catalog.Idempotent, Timeout: 8000, LatencyTarget: 1500, MaxAttempts: 3, Models: []string{"small", "large"}, Targets: []catalog.Target{{Service: "app", Weight: 1}}}
	endpoint := &fleet.Endpoint{ID: "i-1", Service: "app", Address: "10.0.0.1:1", Version: "v1", Slots: 24}
	view := viewOf(route, []fleet.Change{{ID: "i-1", Endpoint: endpoint}})
	server := New(Config{Clock: c, Log: log.New(io.Discard), View: func() *site.View { return view }, Pool: upstream.NewPool(c), RetryRatio: 1, RetrySlack: 100, RetryWindow: 1000})
	return &attempt{plan: plan{models: []string{"small", "large"}}, exchange: &exchange{
		server: server, view: view, startedAt: 900, deadline: 8900, route: route, service: "app",
		req: &Request{ID: "r-1", AnyModel: true, Blocks: []placement.Block{{ID: "own", Tokens: promptTokens}}},
	}}
}

// An endpoint loses an answer whose first byte was expected soon. The failure was that the request
// waited there for as long as the route's longest prompts take, because the timeout depended on the
// route alone and not on the time predicted for this request.
func TestFirstByteTimeoutFollowsPredictionError(t *testing.T) {
	is := is.New(t)
	l := newLatencyTracker()
	r := &catalog.Route{Name: "r", LatencyTarget: 2000}
	l.addFirstByte(r.Name, "m", 400)
	typical := l.typicalTimeout(r, "m")
	is.Equal(typical, clock.Millis(1600))
	is.Equal(l.timeoutFor(r, "m", 100), typical) // too few samples
	for i := range 2 * maxSamples {
		l.addError(r, "m", clock.Millis(i%2*150))
	}
	is.Equal(l.timeoutFor(r, "m", 100), clock.Millis(400))
	is.Equal(l.timeoutFor(r, "m", 5000), typical)
	l = newLatencyTracker()
	l.addFirstByte(r.Name, "m", 400)
	for range maxSamples {
		l.addError(r, "m", -300)
	}
	is.Equal(l.timeoutFor(r, "m", 0), minFirstByteTimeout)
}

// If each entry kept as many idle connections as the limit allows one entry alone, all entries
// together would use up the endpoints' connection limit.
func TestIdleConnectionsAreDividedAmongEntries(t *testing.T) {
	is := is.New(t)
	s := site.NewState(site.Self{Name: "e"}, 0)
	config := configOf(&catalog.Route{}, catalog.Service{Name: "app", MaxConnections: 220}, catalog.Service{Name: "free"})
	site.Reduce(s, site.OperatorRead{Now: 1, Full: true, Update: site.OperatorUpdate{Config: config}})
	addresses := make(map[string]string)
	for i := range 26 {
		addresses[string(rune('a'+i))] = "x"
	}
	site.Reduce(s, site.EntriesRead{Now: 1, Addresses: addresses})
	v := s.View()
	server := New(Config{Clock: clock.Boot(), View: s.View})
	is.Equal(server.maxIdle(v, "app"), 4)
	is.True(server.maxIdle(v, "app")*v.Entries() <= 110)
	is.Equal(server.maxIdle(v, "free"), defaultMaxIdle)
	is.Equal(server.maxIdle(v, "gone"), defaultMaxIdle)
}
