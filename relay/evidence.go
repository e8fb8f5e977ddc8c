package relay

import (
	"context"
	"errors"

	"github.com/parsleydeal/parsleydeal/catalog"
	"github.com/parsleydeal/parsleydeal/upgrade"
)

// recordOutcome counts an attempt's outcome for the comparison of versions.
func (s *Server) recordOutcome(x *exchange, a *attempt, r result) {
	a.recordLatency()
	bad := r == failed || r == broken
	// An attempt that was cancelled at the request's deadline is not counted: it may have had
	// little time left, whatever its version.
	if errors.Is(a.cause, context.DeadlineExceeded) {
		return
	}
	c := outcome{service: x.service, route: x.route.Name, bad: bad}
	c.order, c.target = a.versionUnderUpgrade()
	if a.timeToFirstByte > 0 && !c.target {
		s.latency.addFirstByte(x.route.Name, a.plan.model(), a.timeToFirstByte)
	}
	s.counts.record(c)
}

// versionUnderUpgrade returns the number of the running order for the service, noOrder if there is
// none, and whether the endpoint has the new version.
func (a *attempt) versionUnderUpgrade() (order int64, target bool) {
	o, running := a.exchange.view.Upgrade(a.exchange.service)
	if !running {
		return noOrder, false
	}
	return o.Number, a.endpoint.Version == o.Target
}

// recordLatency records the latency of an answer for the comparison of versions, once. Answers of
// endpoints in a cold start are left out: these are slow whatever their version, and new versions
// start cold.
func (a *attempt) recordLatency() {
	if a.latencyRecorded {
		return
	}
	x := a.exchange
	k, sample, ok := a.latencySample()
	if !ok {
		return
	}
	a.latencyRecorded = true
	order, target := a.versionUnderUpgrade()
	cold := x.view.Fleet().Cold(a.endpoint, a.startedAt)
	if target {
		x.server.cfg.Log.Info("Latency of new version was measured", "request", x.req.ID, "endpoint", a.endpoint.ID, "route", k.Route, "model", k.Model,
			"delay", k.Delay, "millis", int64(sample), "load", a.outstanding, "events", a.events, "cold", cold, "order", order)
	}
	if !cold {
		x.server.counts.recordLatency(x.service, order, upgrade.LatencyBucket{LatencyKey: k, Target: target, Index: upgrade.BucketIndex(sample)})
	}
}

// latencySample returns the latency in milliseconds that is compared between versions. For a
// stream it is the mean gap between events. If there are fewer than minGapEvents events, as in a
// dropped answer, it is the first-byte delay: how much later than predicted the first byte
// arrived. For routes of other kinds it is the time to the first byte, which depends less on the
// request than for streams.
func (a *attempt) latencySample() (k upgrade.LatencyKey, sample float64, ok bool) {
	x := a.exchange
	k = upgrade.LatencyKey{Route: x.route.Name, Model: a.plan.model(), Class: upgrade.LoadClass(a.outstanding)}
	switch {
	case a.timeToFirstByte == 0:
		return k, 0, false
	case x.route.Kind != catalog.Streaming:
		return k, float64(a.timeToFirstByte), true
	case a.events >= minGapEvents:
		k.Shared = true
		return k, float64(a.lastEventAt-a.firstEventAt) / float64(a.events-1), true
	}
	k.Shared, k.Delay = true, true
	return k, float64(a.timeToFirstByte - a.expectedFirstByte), true
}
