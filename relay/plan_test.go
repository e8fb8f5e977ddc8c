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
func TestAnswersAreKeptWhenTheLargerModelWouldBeLate(t *testing.T) {
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
				a.exchange.server.board.Begin(e, placement.Query{Model: "large", Parts: []placement.Part{{ID: "other", Tokens: x.waiting}}, AllTold: true, Now: 1000})
			}
			is.Equal(a.poor(45), x.drops)
		})
	}
}

// smallAnswer is an attempt at the smallest of two models, whose answer has come.
func smallAnswer(tokens int) *attempt {
	c := clock.New(func() clock.Millis { return 1000 })
	route := &catalog.Route{Name: "r", Kind: catalog.Idempotent, Timeout: 8000, Aim: 1500, MaxAttempts: 3, Models: []string{"small", "large"}, Targets: []catalog.Target{{Service: "app", Weight: 1}}}
	endpoint := &fleet.Endpoint{ID: "i-1", Service: "app", Address: "10.0.0.1:1", Version: "v1", Slots: 24}
	view := viewOf(route, []fleet.Change{{ID: "i-1", Endpoint: endpoint}})
	server := New(Config{Clock: c, Log: log.New(io.Discard), View: func() *site.View { return view }, Pool: upstream.NewPool(c), RetryRatio: 1, RetrySlack: 100, RetrySpan: 1000})
	return &attempt{plan: plan{models: []string{"small", "large"}}, exchange: &exchange{
		server: server, view: view, startedAt: 900, deadline: 8900, route: route, service: "app",
		req: &Request{ID: "r-1", AnyModel: true, Parts: []placement.Part{{ID: "own", Tokens: tokens}}},
	}}
}
