package relay

import (
	"context"
	"errors"

	"github.com/parsleydeal/parsleydeal/catalog"
)

// count takes an attempt into the evidence on versions.
func (s *Server) count(x *exchange, a *attempt, r result) {
	o, running := x.view.Upgrade(x.service)
	bad := r == failed || r == broken
	// Only the time that was left can be cut short by the deadline.
	if errors.Is(a.cause, context.DeadlineExceeded) {
		return
	}
	c := outcome{service: x.service, route: x.route.Name, target: running && a.endpoint.Version == o.Target, bad: bad}
	if a.firstAfter > 0 && !c.target {
		s.pace.add(x.route.Name, a.plan.model(), a.firstAfter)
	}
	s.time(x, a, &c)
	s.tally.count(c)
}

// time judges how fast an answer was. An endpoint in cold start is slow whatever
// its version: its answers say nothing of that, and new versions start cold.
func (s *Server) time(x *exchange, a *attempt, c *outcome) {
	if x.view.Fleet().Cold(a.endpoint, a.startedAt) {
		return
	}
	k, span, ok := a.span()
	if !ok {
		return
	}
	factor := 1.0
	if !k.delay && x.view.Rule(x.service, s.cfg.Clock.Now()).Share > earlyShare {
		factor = loadedFactor
	}
	c.slow, c.timed = s.pace.grade(k, a.held, span, factor)
	c.delay = k.delay
	if !c.target {
		s.pace.addSpan(k, a.held, span)
	}
}

// span is what tells an answer's pace: for a stream the span between its events, or how much
// later than expected its first byte came where it was dropped before them; for another one
// the time to its first byte, which depends less on what was asked there.
func (a *attempt) span() (k paceKey, span float64, ok bool) {
	x := a.exchange
	switch {
	case a.firstAfter == 0:
		return k, 0, false
	case x.route.Kind != catalog.Streaming:
		return paceKey{route: x.route.Name, model: a.plan.model()}, float64(a.firstAfter), true
	case a.events >= gapEvents:
		return paceKey{model: a.plan.model()}, float64(a.lastAt-a.openedAt) / float64(a.events-1), true
	}
	return paceKey{model: a.plan.model(), delay: true}, float64(a.firstAfter - a.expected), true
}
