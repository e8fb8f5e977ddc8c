package relay

import (
	"context"
	"maps"

	"github.com/parsleydeal/parsleydeal/catalog"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/decision"
	"github.com/parsleydeal/parsleydeal/fleet"
	"github.com/parsleydeal/parsleydeal/logbook"
	"github.com/parsleydeal/parsleydeal/placement"
	"github.com/parsleydeal/parsleydeal/refusal"
	"github.com/parsleydeal/parsleydeal/site"
)

const (
	// maxRefusals is how many attempts a request may make in addition to the route's maximum, if
	// endpoints refuse it without running it.
	maxRefusals = 2
	// maxUnsent is how many attempts may fail before anything is sent. Nothing of these reaches an
	// endpoint, so that they do not count as attempts. When four of five endpoints have just
	// crashed, all but one of a hundred requests find a running one within as many.
	maxUnsent = 24
)

// minRemaining is the remaining time below which no attempt is made; it is less than a round trip
// to an endpoint. Without it a request whose time is up would be sent to one endpoint after
// another, and each would start it in vain.
const minRemaining = 10 * clock.Millis(1)

// result is the outcome of one attempt.
type result int

// The results of an attempt.
const (
	// done means that the caller has the complete answer.
	done result = iota
	// poor means that an answer was dropped because of its low confidence; none of it was sent to
	// the caller.
	poor
	// notRun means that the endpoint never ran the request.
	notRun
	// failed means that the attempt may have run and nothing was sent to the caller.
	failed
	// broken means that the attempt failed after its stream to the caller had started.
	broken
	// ended means that the caller takes no more of the answer, so that no other attempt can help.
	ended
)

// run makes attempts until the caller has the complete answer, or until the request's time,
// attempts or retry budget are used up. No other layer retries requests.
func (x *exchange) run(ctx context.Context) (err error) {
	x.tried, x.silentEndpoints, x.keys = make(map[string]bool), make(map[string]bool), keysOf(x.req)
	defer x.returnUnusedRetry()
	defer x.dropFallback()
	defer x.endTest()
	x.position = positionAfter(x.req.LastEventID)
	p := x.plan()
	var failure *bufferedAnswer
	for {
		if x.remaining() < minRemaining {
			return x.giveUp(failure, x.correctRunState(x.deadlineError(err)))
		}
		if err = x.checkAllowed(); err != nil {
			return x.giveUp(failure, x.correctRunState(err))
		}
		if err = x.awaitAdmission(ctx); err != nil {
			return x.giveUp(failure, x.correctRunState(err))
		}
		e, reason := x.selectEndpoint(p)
		if reason != placement.Selected {
			return x.giveUp(failure, x.correctRunState(x.placementError(p, reason)))
		}
		x.tried[e.ID] = true
		a := &attempt{exchange: x, plan: p, endpoint: e}
		var r result
		r, err = a.run(ctx)
		if a.failureAnswer != nil {
			failure = a.failureAnswer
		}
		if a.silent {
			x.silentEndpoints[e.ID] = true
		}
		a.checkCrash(ctx, r)
		x.recordAttempt(a, r)
		x.retry = x.decideRetry(ctx, a, r)
		x.logAttempt(a, r, err)
		switch {
		case r == done, r == ended:
			return x.correctRunState(err)
		case ctx.Err() != nil, x.remaining() < minRemaining:
			return x.giveUp(failure, x.correctRunState(x.deadlineError(err)))
		case x.retry == noRetry, x.retry == retryDenied:
			return x.giveUp(failure, x.correctRunState(err))
		case r == poor:
			p = p.escalate()
			clear(x.tried)
			x.tried[e.ID] = true
		}
	}
}

// selectEndpoint selects an endpoint for the next attempt. An endpoint that was tried is selected
// again if no other one has room, because its refusal may have been temporary. An endpoint that
// was silent is selected again only as the last resort: it seems to have no load only because it
// answers no requests. A request under which an endpoint crashed is kept apart from others like it, if there is room.
func (x *exchange) selectEndpoint(p plan) (e *fleet.Endpoint, reason placement.Reason) {
	q := x.query(p)
	apart := x.server.quarantine.Apart(x.keys, q.Now)
	if len(apart) > 0 {
		maps.Copy(apart, x.tried)
		q.Avoid = apart
	}
	e, reason = x.server.selector.Select(x.view.Fleet(), q)
	if len(x.tried)+len(apart) == 0 {
		return e, reason
	}
	for _, avoid := range []map[string]bool{x.tried, x.silentEndpoints, nil} {
		if e != nil {
			return e, reason
		}
		q := x.retryQuery(p)
		q.Avoid = avoid
		e, reason = x.server.selector.Select(x.view.Fleet(), q)
	}
	return e, reason
}

// retryQuery returns the query for a further attempt. It accepts any endpoint that can answer
// before the deadline: a late answer is still of use to a caller that has waited, and no faster
// endpoint is available.
func (x *exchange) retryQuery(p plan) placement.Query {
	q := x.query(p)
	if q.FirstByteBudget > 0 {
		q.FirstByteBudget = max(x.remaining(), 1)
	}
	return q
}

// query returns the query for an endpoint with the plan's current model.
func (x *exchange) query(p plan) placement.Query {
	s := x.server
	now := s.cfg.Clock.Now()
	rule := x.view.Rule(x.service, now)
	version := rule.Version(catalog.Fraction(x.session), s.sessions.version(x.session, x.service, now, x.view))
	return placement.Query{
		Service: x.service, Version: version, Rule: rule, Zone: s.cfg.Zone, Avoid: x.tried, Model: p.model(),
		Blocks: x.req.Blocks, Bytes: len(x.req.body), Bounds: s.bounds(x.view, x.service), FullMesh: x.view.FullMesh(), FirstByteBudget: x.firstByteBudget(now), Rendezvous: x.tested, Now: now,
	}
}

// firstByteBudget returns the longest predicted time to the first byte that is acceptable at an
// endpoint; 0 means no limit. There is no limit once part of the answer was sent to the caller.
func (x *exchange) firstByteBudget(now clock.Millis) clock.Millis {
	if x.written || x.route.LatencyTarget <= 0 || x.server.cfg.Strategies.Disabled(decision.LatePrompts) {
		return 0
	}
	return placement.FirstByteBudget(x.route.LatencyTarget, now-x.arrivedAt())
}

// placementError returns the refusal of a request that no endpoint can take.
func (x *exchange) placementError(p plan, reason placement.Reason) error {
	if reason == placement.Full {
		q := x.query(p)
		q.Avoid = nil
		return refusal.New(refusal.Saturated, "all endpoints are full: "+x.server.selector.CountObstacles(x.view.Fleet(), q).String())
	}
	return refusal.New(refusal.NoEndpoint, "no endpoint may get the request")
}

// deadlineError returns the refusal of a request whose deadline passed or whose caller closed the
// connection.
func (x *exchange) deadlineError(err error) error {
	if x.hasLeft() {
		return errLeft()
	}
	if x.endsWithServer() {
		x.server.countStopped("ended")
		return refusal.New(refusal.Leaving, "entry stops: "+messageOf(err)).WithRetryAfter(leavingRetryAfter)
	}
	return refusal.New(refusal.DeadlinePassed, "time is up: "+messageOf(err))
}

func messageOf(err error) string {
	if err == nil {
		return "no answer"
	}
	return err.Error()
}

// correctRunState corrects the run state of a refusal: once an attempt may have run, a later
// refusal does not prove that the request did not run.
func (x *exchange) correctRunState(err error) error {
	r, ok := refusal.As(err)
	if ok && r.Run() == refusal.NotRun && x.runs > 0 {
		return r.WithRun(refusal.Unknown)
	}
	return err
}

// bufferedAnswer is the full answer of an endpoint.
type bufferedAnswer struct {
	head Head
	body []byte
}

// giveUp ends a request with the answer that was kept for this case, if there is one, or else with the
// failure response that an endpoint sent, or else with err.
func (x *exchange) giveUp(failure *bufferedAnswer, err error) error {
	if x.hasLeft() {
		return err
	}
	if f := x.takeFallback(); f != nil {
		return x.correctRunState(f.deliver())
	}
	if failure == nil || x.written {
		return err
	}
	return x.deliver(failure)
}

// bounds returns how many requests per second all entries may send to one endpoint of a service.
// For an endpoint in a cold start this is the configured rate times ColdOverage; ColdSlack is left
// for requests that are delayed in transit. The bound exceeds the rate because all entries seldom
// use their shares in the same second: shares that add up to the rate itself would leave half of
// it unused.
func (s *Server) bounds(v *site.View, service string) placement.Bounds {
	b := placement.Bounds{Shares: v.Shares()}
	if c, ok := v.Config().Service(service); ok && c.ColdPerSecond > 0 {
		b.Cold, b.Warm = c.ColdPerSecond*s.cfg.ColdOverage, c.ColdPerSecond*s.cfg.ColdOverage+s.cfg.ColdSlack
		// The process before this one on the VM may have used its share of the window.
		b.NoCold = s.cfg.Clock.Since(s.startedAt) < placement.SendWindow
	}
	return b
}

// recordAttempt updates the state of the endpoint and the counts of its version.
func (x *exchange) recordAttempt(a *attempt, r result) {
	s := x.server
	now := s.cfg.Clock.Now()
	x.endpoint, x.version, x.model = a.endpoint.ID, a.endpoint.Version, a.plan.model()
	x.recordEnd(a, r)
	// Neither a caller that left nor the end of this process tells anything of the endpoint.
	cutShort := x.hasLeft() || x.endsWithServer()
	switch {
	case cutShort, a.abandoned, a.delayed:
	case r == done || r == poor:
		s.selector.RecordOutcome(a.endpoint.ID, false, now)
	case a.status == 0 && r == notRun, a.wrongEndpoint, a.tooLong:
		s.selector.RecordUnreachable(a.endpoint.ID, now)
	case a.silent && !s.selector.ActiveSince(a.endpoint.ID, a.startedAt):
		s.selector.RecordUnreachable(a.endpoint.ID, now)
	case a.silent:
		// The endpoint answers other requests, so it is slow but reachable; the next requests get
		// a longer timeout.
		s.latency.addFirstByte(x.route.Name, a.plan.model(), now-a.startedAt)
		s.latency.addError(x.route, a.plan.model(), now-a.startedAt-a.expectedFirstByte)
		s.selector.RecordOutcome(a.endpoint.ID, true, now)
	default:
		s.selector.RecordOutcome(a.endpoint.ID, true, now)
	}
	if !cutShort && !a.delayed && r != notRun {
		s.recordOutcome(x, a, r)
	}
}

// logAttempt logs an attempt that did not produce the answer, and whether another one follows.
func (x *exchange) logAttempt(a *attempt, r result, err error) {
	if r == done {
		return
	}
	s := x.server
	now := s.cfg.Clock.Now()
	used, limit := x.budget().State(now)
	s.countUnanswered(a, r)
	s.cfg.Log.Info("Attempt did not answer", "request", x.req.ID, "route", x.route.Name, "organisation", x.organisation, "blocks", listed(x.keys.Shared()), "key", x.keyOf(r), "endpoint", a.endpoint.ID, "address", a.endpoint.Address, "zone", a.endpoint.Zone,
		"version", a.endpoint.Version, "model", a.plan.model(), "result", r, "phase", a.phase(now), "status", a.status, "confidence", a.confidence, "silent", a.silent, "delayed", a.delayed, "too-long", a.tooLong, "framing", a.framing, "events", a.events,
		"after", now-a.startedAt, "expected", a.expectedFirstByte, "first", a.timeToFirstByte, "left", x.remaining(),
		"retry", x.retry, "retries-used", used, "retries-allowed", int(limit), "error", logbook.Text(err))
}

// keyOf returns the key of the request, which its repeats have too, if its attempt may have crashed the endpoint.
func (x *exchange) keyOf(r result) string {
	if r != failed && r != broken {
		return ""
	}
	return x.keys.Request()
}

// String returns the name of the result for logs.
func (r result) String() string {
	return [...]string{"done", "poor", "not-run", "failed", "broken", "ended"}[r]
}
