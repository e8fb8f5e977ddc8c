package relay

import (
	"context"
	"errors"

	"github.com/parsleydeal/parsleydeal/catalog"
)

// recordOutcome counts an attempt's outcome for the comparison of versions.
func (s *Server) recordOutcome(x *exchange, a *attempt, r result) {
	o, running := x.view.Upgrade(x.service)
	bad := r == failed || r == broken
	// An attempt that was cancelled at the request's deadline is not counted: it may have had
	// little time left, whatever its version.
	if errors.Is(a.cause, context.DeadlineExceeded) {
		return
	}
	c := outcome{service: x.service, route: x.route.Name, target: running && a.endpoint.Version == o.Target, bad: bad}
	if a.timeToFirstByte > 0 && !c.target {
		s.latency.addFirstByte(x.route.Name, a.plan.model(), a.timeToFirstByte)
	}
	s.gradeLatency(x, a, &c)
	s.counts.record(c)
}

// gradeLatency compares the latency of an answer with the latencies of the old version. Answers of
// endpoints in a cold start are left out: these are slow whatever their version, and new versions
// start cold.
func (s *Server) gradeLatency(x *exchange, a *attempt, c *outcome) {
	if x.view.Fleet().Cold(a.endpoint, a.startedAt) {
		return
	}
	k, sample, ok := a.latencySample()
	if !ok {
		return
	}
	factor := 1.0
	if !k.delay && x.view.Rule(x.service, s.cfg.Clock.Now()).Share > earlyShare {
		factor = loadedFactor
	}
	c.slow, c.timed = s.latency.grade(k, a.outstanding, sample, factor)
	c.delay = k.delay
	if !c.target {
		s.latency.addSample(k, a.outstanding, sample)
	}
}

// latencySample returns the latency in milliseconds that is compared between versions. For a
// stream it is the mean gap between events. If there are fewer than minGapEvents events, as in a
// dropped answer, it is the first-byte delay: how much later than predicted the first byte
// arrived. For routes of other kinds it is the time to the first byte, which depends less on the
// request than for streams.
func (a *attempt) latencySample() (k latencyKey, sample float64, ok bool) {
	x := a.exchange
	switch {
	case a.timeToFirstByte == 0:
		return k, 0, false
	case x.route.Kind != catalog.Streaming:
		return latencyKey{route: x.route.Name, model: a.plan.model()}, float64(a.timeToFirstByte), true
	case a.events >= minGapEvents:
		return latencyKey{model: a.plan.model()}, float64(a.lastEventAt-a.firstEventAt) / float64(a.events-1), true
	}
	return latencyKey{model: a.plan.model(), delay: true}, float64(a.timeToFirstByte - a.expectedFirstByte), true
}
