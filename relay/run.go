package relay

import (
	"context"

	"github.com/parsleydeal/parsleydeal/catalog"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/decision"
	"github.com/parsleydeal/parsleydeal/fleet"
	"github.com/parsleydeal/parsleydeal/limit"
	"github.com/parsleydeal/parsleydeal/logbook"
	"github.com/parsleydeal/parsleydeal/placement"
	"github.com/parsleydeal/parsleydeal/refusal"
	"github.com/parsleydeal/parsleydeal/site"
)

// maxRefused bounds the endpoints that may refuse a request without running it
// before it is given up, beside the attempts that ran.
const maxRefused = 2

// leastLeft is the time without which no attempt is made: less than the way there
// and back. When its time was up a request would else be sent to endpoint after
// endpoint, each of which would begin it in vain.
const leastLeft = 10 * clock.Millis(1)

// result is what became of one attempt.
type result int

// The results.
const (
	// done means that the caller has its whole answer.
	done result = iota
	// poor means that an answer was dropped because the model thought little of
	// it; nothing of it reached the caller.
	poor
	// notRun means that the endpoint never ran the request.
	notRun
	// failed means that the attempt may have run and the caller has nothing of it.
	failed
	// broken means that the caller has a part of a stream.
	broken
	// ended means that no other attempt can help.
	ended
)

// run makes attempts until the caller has a whole answer, or until the request's
// time, attempts or budget are used up. No other layer repeats anything.
func (x *exchange) run(ctx context.Context) (err error) {
	x.tried, x.silentAt = make(map[string]bool), make(map[string]bool)
	p := x.plan()
	var kept *held
	for {
		if x.left() < leastLeft {
			return x.giveUp(kept, x.markRun(x.overdue(err)))
		}
		if err = x.checkAllowed(); err != nil {
			return x.giveUp(kept, x.markRun(err))
		}
		e, why := x.pick(p)
		if why != placement.Selected {
			return x.giveUp(kept, x.markRun(x.unplaced(p, why)))
		}
		x.tried[e.ID] = true
		a := &attempt{exchange: x, plan: p, endpoint: e}
		var r result
		r, err = a.run(ctx)
		if a.kept != nil {
			kept = a.kept
		}
		if a.silent {
			x.silentAt[e.ID] = true
		}
		x.note(a, r, err)
		switch {
		case r == done, r == ended:
			return x.markRun(err)
		case ctx.Err() != nil, x.left() < leastLeft:
			return x.giveUp(kept, x.markRun(x.overdue(err)))
		case r == poor:
			p = p.next()
			clear(x.tried)
			x.tried[e.ID] = true
		case !x.mayGoOn(r):
			return x.giveUp(kept, x.markRun(err))
		}
		if !x.budget().TryRetry(x.server.cfg.Clock.Now()) && r != notRun {
			return x.giveUp(kept, x.markRun(err))
		}
	}
}

// mayGoOn reports whether the request may have another attempt.
func (x *exchange) mayGoOn(r result) bool {
	if r == notRun {
		return x.sends < x.route.MaxAttempts+maxRefused
	}
	return x.route.Repeatable() && x.runs < x.route.MaxAttempts
}

// mayRepeat reports whether an attempt that is under way could be made again
// elsewhere, so that it need not be waited for until the end.
func (x *exchange) mayRepeat() bool { return x.mayRepeatAfter(0) }

// mayRepeatAfter is mayRepeat when some more attempts will have run by then.
func (x *exchange) mayRepeatAfter(more int) bool {
	return x.route.Repeatable() && x.runs+more < x.route.MaxAttempts
}

// pick chooses an endpoint for the request's next attempt. One that was tried may have
// been refusing for a moment only, and gets it again where no other has room; one that
// was silent only where there is nothing else: nothing seems to run there, since nobody
// has had an answer.
func (x *exchange) pick(p plan) (e *fleet.Endpoint, why placement.Reason) {
	e, why = x.server.board.Select(x.view.Fleet(), x.query(p))
	if len(x.tried) == 0 {
		return e, why
	}
	for _, avoid := range []map[string]bool{x.tried, x.silentAt, nil} {
		if e != nil {
			return e, why
		}
		q := x.queryAgain(p)
		q.Avoid = avoid
		e, why = x.server.board.Select(x.view.Fleet(), q)
	}
	return e, why
}

// queryAgain asks for an endpoint for another attempt. A late answer is still of use to a
// caller who has waited, and there is nobody to turn away to.
func (x *exchange) queryAgain(p plan) placement.Query {
	q := x.query(p)
	if q.FirstByteBudget > 0 {
		q.FirstByteBudget = max(x.left(), 1)
	}
	return q
}

// query asks for an endpoint for the model that a plan names now.
func (x *exchange) query(p plan) placement.Query {
	s := x.server
	now := s.cfg.Clock.Now()
	rule := x.view.Rule(x.service, now)
	version := rule.Version(catalog.Fraction(x.session), s.sessions.version(x.session, x.service, now, x.view))
	return placement.Query{
		Service: x.service, Version: version, Rule: rule, Zone: s.cfg.Zone, Avoid: x.tried, Model: p.model(),
		Blocks: x.req.Blocks, Bytes: len(x.req.body), Bounds: s.bounds(x.view, x.service), FullMesh: x.view.FullMesh(), FirstByteBudget: x.patience(now), Now: now,
	}
}

// patience is how long an endpoint may be expected to take for the first byte; 0
// for any time, once the caller has a part of its answer.
func (x *exchange) patience(now clock.Millis) clock.Millis {
	if x.written || x.route.LatencyTarget <= 0 || x.server.cfg.Strategies.Disabled(decision.LatePrompts) {
		return 0
	}
	return placement.FirstByteBudget(x.route.LatencyTarget, now-x.startedAt)
}

// unplaced refuses a request for which there is no endpoint.
func (x *exchange) unplaced(p plan, why placement.Reason) error {
	if why == placement.Full {
		q := x.query(p)
		q.Avoid = nil
		return refusal.New(refusal.Saturated, "all endpoints are full: "+x.server.board.CountObstacles(x.view.Fleet(), q).String())
	}
	return refusal.New(refusal.NoEndpoint, "no endpoint may get the request")
}

// overdue names the end of a request whose time is up or whose caller left.
func (x *exchange) overdue(err error) error {
	if x.r.Context().Err() != nil {
		return refusal.New(refusal.Cancelled, errGone.Error()).WithRun(refusal.Unknown)
	}
	return refusal.New(refusal.DeadlinePassed, "time is up: "+messageOf(err))
}

func messageOf(err error) string {
	if err == nil {
		return "no answer"
	}
	return err.Error()
}

// markRun corrects a refusal's word on whether the request ran: once an attempt
// may have run, later refusals do not make it unrun.
func (x *exchange) markRun(err error) error {
	r, ok := refusal.As(err)
	if ok && r.Run() == refusal.NotRun && x.runs > 0 {
		return r.WithRun(refusal.Unknown)
	}
	return err
}

// held is a whole answer of an endpoint that reports a failure. It is handed on
// when no other attempt brings a better one.
type held struct {
	head Head
	body []byte
}

// giveUp ends a request with a failure that an endpoint reported, if there is one,
// or with an error.
func (x *exchange) giveUp(kept *held, err error) error {
	if kept == nil || x.written || x.r.Context().Err() != nil {
		return err
	}
	return x.deliver(kept)
}

// budget is the retry budget of the request's service.
func (x *exchange) budget() *limit.Share { return x.server.budget(x.service, x.view.Entries()) }

// Parts of the bounds on retries that this process uses. Other entries may have
// more of the traffic in one window than in the next.
const (
	ratioPart = 0.8
	slackPart = 0.5
)

func (s *Server) budget(service string, entries int) *limit.Share {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.budgets[service]
	if !ok {
		b = limit.NewShare(s.cfg.RetryWindow, s.cfg.RetryRatio*ratioPart, s.cfg.RetrySlack*slackPart/float64(entries))
		s.budgets[service] = b
	}
	return b
}

// bounds is what one endpoint of a service takes in a second. In a cold start that is
// the overage that operators allow without its slack, which is left for requests that
// were held up on their way. All entries seldom use their shares in the same second, so
// that shares which add up to the rate itself would leave half of it unused.
func (s *Server) bounds(v *site.View, service string) placement.Bounds {
	b := placement.Bounds{Shares: v.Shares()}
	if c, ok := v.Config().Services[service]; ok && c.ColdPerSecond > 0 {
		b.Cold, b.Warm = c.ColdPerSecond*s.cfg.ColdOverage, c.ColdPerSecond*s.cfg.ColdOverage+s.cfg.ColdSlack
	}
	return b
}

// note takes an attempt's end into what is known of endpoints and versions, and
// logs the ones that did not bring the answer.
func (x *exchange) note(a *attempt, r result, err error) {
	s := x.server
	now := s.cfg.Clock.Now()
	x.endpoint, x.version, x.model = a.endpoint.ID, a.endpoint.Version, a.plan.model()
	callerLeft := x.r.Context().Err() != nil
	switch {
	case callerLeft:
	case r == done || r == poor:
		s.board.RecordOutcome(a.endpoint.ID, false, now)
	case a.status == 0 && r == notRun, a.elsewhere:
		s.board.RecordUnreachable(a.endpoint.ID, now)
	case a.silent && !s.board.ActiveSince(a.endpoint.ID, a.startedAt):
		s.board.RecordUnreachable(a.endpoint.ID, now)
	case a.silent:
		// It answers others, so that it is slow and not gone; the next requests
		// wait longer.
		s.pace.add(x.route.Name, a.plan.model(), now-a.startedAt)
		s.pace.miss(x.route, a.plan.model(), now-a.startedAt-a.expected)
		s.board.RecordOutcome(a.endpoint.ID, true, now)
	default:
		s.board.RecordOutcome(a.endpoint.ID, true, now)
	}
	if !callerLeft && r != notRun {
		s.count(x, a, r)
	}
	if r != done {
		s.cfg.Log.Info("Attempt did not answer", "request", x.req.ID, "endpoint", a.endpoint.ID, "address", a.endpoint.Address, "zone", a.endpoint.Zone,
			"version", a.endpoint.Version, "model", a.plan.model(), "result", r, "status", a.status, "confidence", a.confidence, "silent", a.silent,
			"after", now-a.startedAt, "expected", a.expected, "first", a.firstAfter, "left", x.left(), "error", logbook.Text(err))
	}
}

// String names the result for logs.
func (r result) String() string {
	return [...]string{"done", "poor", "not-run", "failed", "broken", "ended"}[r]
}
