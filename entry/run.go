package entry

import (
	"context"
	"maps"

	"github.com/cespare/xxhash/v2"
	"github.com/parsleydeal/parsleydeal/choice"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/limit"
	"github.com/parsleydeal/parsleydeal/logbook"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/quality"
	"github.com/parsleydeal/parsleydeal/refusal"
)

const (
	// maxAttempts bounds the attempts of one request on one version.
	maxAttempts = 4
	// maxMoves bounds how often a request gets another version because a gate
	// knew of a hold or withdrawal first.
	maxMoves = 2
)

// run serves a request under its deadline. This is the only layer that retries.
// Emit gets the pieces of the answer in order; the last one only when the bill
// is safe.
func (e *Entry) run(ctx context.Context, req *work, emit func(*wire.Piece) error) (err error) {
	ctx, cancel := context.WithTimeout(ctx, req.deadline.Duration())
	defer cancel()
	defer func() { err = comeBack(req.truth(err)) }()
	e.retries.RecordRequest()
	e.losses.RecordRequest(e.node.Clock().Now())
	if req.service != "" {
		return e.tries(ctx, req, emit)
	}
	for range maxMoves + 1 {
		err = e.runPlans(ctx, req, emit)
		if !e.lostVersion(req, err) || !e.retries.TryRetry() {
			return err
		}
		if err = e.choose(req); err != nil {
			return err
		}
	}
	return err
}

// runPlans goes through the request's plans, all of which meet the quality
// target, until one finds an endpoint.
func (e *Entry) runPlans(ctx context.Context, req *work, emit func(*wire.Piece) error) (err error) {
	for i, p := range req.plans {
		req.trial = p.Trial
		if err = e.adopt(req, p.First); err != nil {
			return err
		}
		if p.Cascade() {
			err = e.cascade(ctx, req, p, emit)
		} else {
			err = e.tries(ctx, req, emit)
		}
		if err == nil || i == len(req.plans)-1 || !full(err) || !e.retries.TryRetry() {
			return err
		}
	}
	return err
}

// full reports whether a request did not run because no endpoint of its version
// can take it now, so that the next plan may.
func full(err error) bool {
	r, ok := refusal.As(err)
	return ok && r.Run() == refusal.NotRun && (r.Code() == refusal.NoEndpoint || r.Code() == refusal.Saturated)
}

// adopt makes a version the request's and the session's.
func (e *Entry) adopt(req *work, version string) (err error) {
	req.version = version
	if req.session.Version == version && req.token != "" {
		return nil
	}
	req.session.Version = version
	req.token, err = e.sessions.Sign(req.session)
	return err
}

// tries waits for a place and makes attempts on the request's version until one
// gives a whole answer.
func (e *Entry) tries(ctx context.Context, req *work, emit func(*wire.Piece) error) (err error) {
	queue := e.queues.For(req.target())
	if err = queue.Acquire(ctx, e.item(ctx, req)); err != nil {
		return err
	}
	defer func() { queue.Release(outcomeOf(err)) }()
	req.begin()
	avoid := make(map[string]bool)
	// full holds the endpoints that refused only because they had no room then.
	full := make(map[string]bool)
	err = refusal.New(refusal.NoEndpoint, "no endpoint can take the request").WithRetryAfter(startingRetry)
	for i := range maxAttempts {
		vm, ok := choice.SelectEndpoint(req.view, e.inflight, e.affinity, e.query(req, avoid))
		if !ok && len(full) > 0 {
			// Of two endpoints one was full and the other then fell silent: the first
			// has had seconds to make room.
			maps.DeleteFunc(avoid, func(id string, _ bool) bool { return full[id] })
			clear(full)
			vm, ok = choice.SelectEndpoint(req.view, e.inflight, e.affinity, e.query(req, avoid))
		}
		if !ok || i > 0 && !e.mayTryAgain(err) {
			e.node.Log().Info("No further attempt", "request", req.id, "attempts", req.attempts, "endpoint-left", ok, "error", logbook.Text(err))
			return req.truth(err)
		}
		avoid[vm.ID] = true
		delete(full, vm.ID)
		if err := e.settleHome(req, vm.ID); err != nil {
			return err
		}
		seen := e.observe(req, vm.ID)
		taken := false
		err = e.attempt(ctx, req, vm, func(p *wire.Piece) error {
			if !taken {
				taken = true
				queue.Accepted()
			}
			seen.piece(p)
			return emit(p)
		})
		seen.end(err)
		if outcomeOf(err) == limit.Refused {
			full[vm.ID] = true
		}
		if err != nil {
			e.node.Log().Info("Attempt did not answer", "request", req.id, "endpoint", vm.ID, "attempt", req.attempts, "version", req.version, "revision", req.view.Revision(), "error", logbook.Text(err))
		}
		if unreached(err) || unready(err) {
			e.inflight.RecordUnreachable(vm.ID, e.node.Clock().Now())
		}
		if err == nil {
			return nil
		}
		if versionRefused(err) || !req.goOn(err) {
			e.node.Log().Info("Request cannot go on elsewhere", "request", req.id, "attempts", req.attempts, "taken", req.progress.Taken(), "error", logbook.Text(err))
			return req.truth(err)
		}
	}
	return req.truth(err)
}

// mayTryAgain asks the retry budget, but for an attempt that never reached its
// endpoint or found it not started: that put no load on any, and a lost VM must not
// use up the budget before the list drops it.
//
// An endpoint that falls silent loses all that it holds at once, more than the
// usual budget ever saves up: 18 requests of 36 callers got 502 where one of two
// endpoints froze. That happens once an endpoint, which gets nothing new after
// it, so that such attempts have a budget of their own.
func (e *Entry) mayTryAgain(cause error) bool {
	return unreached(cause) || unready(cause) || e.retries.TryRetry() || endpointLost(cause) && e.losses.TryRetry(e.node.Clock().Now())
}

// endpointLost reports whether an attempt ended with its endpoint's connection or
// silence.
func endpointLost(err error) bool {
	r, ok := refusal.As(err)
	return ok && r.Code() == refusal.EndpointLost
}

const (
	// lossSpan, lossRatio and lossSlack bound the attempts after lost endpoints:
	// in each span half of its requests, as when one endpoint of two is
	// lost, and a few more where there is little traffic.
	lossSpan  = 10 * clock.Second
	lossRatio = 0.5
	lossSlack = 10.0
)

// query asks for an endpoint for the request.
func (e *Entry) query(req *work, avoid map[string]bool) choice.Query {
	return choice.Query{
		Pools: req.pools(), Avoid: avoid, Seed: xxhash.Sum64String(req.id), Now: e.node.Clock().Now(),
		SessionVM: req.home(), Prefix: req.prefix,
	}
}

// settleHome makes the endpoint that gets the request the session's home.
func (e *Entry) settleHome(req *work, vm string) (err error) {
	if req.service != "" || req.session.SessionVM == vm {
		return nil
	}
	if req.cacheFrom == "" && req.pinned && req.moved == "" {
		req.cacheFrom = req.session.SessionVM
	}
	req.session.SessionVM = vm
	req.token, err = e.sessions.Sign(req.session)
	return err
}

// unready reports whether an endpoint refused an attempt because it has not started.
// It refuses faster than the others answer, so that it looks the emptiest: one of four
// got 15 attempts in 0.4 s, which used up the retry budget, and callers were refused
// though three endpoints were idle. It is left alone like a lost one.
func unready(err error) bool {
	r, ok := refusal.As(err)
	return ok && r.Code() == refusal.Starting && r.Run() == refusal.NotRun
}

// unreached reports whether an attempt failed before it reached its endpoint.
func unreached(err error) bool {
	r, ok := refusal.As(err)
	return ok && r.Code() == refusal.EndpointLost && r.Run() == refusal.NotRun
}

// item describes the request to its queue.
func (e *Entry) item(ctx context.Context, req *work) limit.Item {
	return limit.Item{
		ID: req.ticket, Organisation: req.organisation, Weight: req.view.Tables().Organisations[req.organisation].Weight,
		Priority: req.priority, Deadline: e.node.Clock().Now() + remaining(ctx),
	}
}

// outcomeOf says what the end of a request tells of its pool's room.
func outcomeOf(err error) limit.Outcome {
	if err == nil {
		return limit.Served
	}
	if r, ok := refusal.As(err); ok && r.Run() == refusal.NotRun && r.Code() == refusal.Saturated {
		return limit.Refused
	}
	return limit.Neutral
}

// comeBack tells the caller of a request that did not run when to come again.
func comeBack(err error) error {
	r, ok := refusal.As(err)
	if !ok || r.Run() != refusal.NotRun || r.RetryAfter() > 0 {
		return err
	}
	return r.WithRetryAfter(startingRetry)
}

// lostVersion reports whether a gate refused the request's version, knowing of
// a hold or withdrawal that this entry had not heard of when it chose, and this
// entry knows of it now.
func (e *Entry) lostVersion(req *work, err error) bool {
	if r, ok := refusal.As(err); !ok || r.Run() != refusal.NotRun || !versionRefused(err) {
		return false
	}
	req.view = e.node.View()
	return movedBecause(req, req.version) != ""
}

// versionRefused reports whether a gate refused the version itself; all others
// would do the same.
func versionRefused(err error) bool {
	r, ok := refusal.As(err)
	return ok && (r.Code() == refusal.Held || r.Code() == refusal.Withdrawn)
}

// ratingsOf returns how many ratings the request's version has.
func (r *work) ratingsOf() int64 {
	return r.view.Quality().Sum(quality.Key{Route: r.routeName, Version: r.version}).Ratings
}
