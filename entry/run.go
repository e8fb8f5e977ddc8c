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
	// maxMoves bounds how often a request is moved to another version because a gate received a
	// hold or withdrawal before this entry did.
	maxMoves = 2
)

// run serves a request within its deadline. No other layer retries. The function emit gets the
// pieces of the answer in order, and the last one only once the bill is safe.
func (e *Entry) run(ctx context.Context, req *requestState, emit func(*wire.Piece) error) (err error) {
	ctx, cancel := context.WithTimeout(ctx, req.deadline.Duration())
	defer cancel()
	defer func() { err = withDefaultRetryAfter(req.overallRefusal(err)) }()
	e.retries.RecordRequest()
	e.lossRetries.RecordRequest(e.node.Clock().Now())
	if req.service != "" {
		return e.runAttempts(ctx, req, emit)
	}
	for range maxMoves + 1 {
		err = e.runPlans(ctx, req, emit)
		if !e.needsOtherVersion(req, err) || !e.retries.TryRetry() {
			return err
		}
		if err = e.choose(req); err != nil {
			return err
		}
	}
	return err
}

// runPlans tries the request's plans, all of which meet the quality target, until one finds an
// endpoint.
func (e *Entry) runPlans(ctx context.Context, req *requestState, emit func(*wire.Piece) error) (err error) {
	for i, p := range req.plans {
		req.trial = p.Trial
		if err = e.setVersion(req, p.First); err != nil {
			return err
		}
		if p.Cascade() {
			err = e.cascade(ctx, req, p, emit)
		} else {
			err = e.runAttempts(ctx, req, emit)
		}
		if err == nil || i == len(req.plans)-1 || !noCapacity(err) || !e.retries.TryRetry() {
			return err
		}
	}
	return err
}

// noCapacity reports whether a request did not run because no endpoint of its version has room for
// it now, so that the next plan may be tried.
func noCapacity(err error) bool {
	r, ok := refusal.As(err)
	return ok && r.Run() == refusal.NotRun && (r.Code() == refusal.NoEndpoint || r.Code() == refusal.Saturated)
}

// setVersion sets the version of the request and its session.
func (e *Entry) setVersion(req *requestState, version string) (err error) {
	req.version = version
	if req.session.Version == version && req.token != "" {
		return nil
	}
	req.session.Version = version
	req.token, err = e.sessions.Sign(req.session)
	return err
}

// runAttempts waits in the queue and then runs attempts on the request's version until one returns a
// complete answer.
func (e *Entry) runAttempts(ctx context.Context, req *requestState, emit func(*wire.Piece) error) (err error) {
	queue := e.queues.For(req.target())
	if err = queue.Acquire(ctx, e.queueItem(ctx, req)); err != nil {
		return err
	}
	defer func() { queue.Release(outcomeOf(err)) }()
	req.restart()
	avoid := make(map[string]bool)
	// saturated holds the endpoints that refused only for lack of capacity.
	saturated := make(map[string]bool)
	err = refusal.New(refusal.NoEndpoint, "no endpoint can take the request").WithRetryAfter(startingRetry)
	for i := range maxAttempts {
		vm, ok := choice.SelectEndpoint(req.view, e.inflight, e.affinity, e.endpointQuery(req, avoid))
		if !ok && len(saturated) > 0 {
			// A saturated endpoint is tried again when no other is left: if one of two was full
			// and the other then fell silent, the first has had seconds to free capacity.
			maps.DeleteFunc(avoid, func(id string, _ bool) bool { return saturated[id] })
			clear(saturated)
			vm, ok = choice.SelectEndpoint(req.view, e.inflight, e.affinity, e.endpointQuery(req, avoid))
		}
		if !ok || i > 0 && !e.mayRetry(err) {
			e.node.Log().Info("No further attempt", "request", req.id, "attempts", req.attempts, "endpoint-left", ok, "error", logbook.Text(err))
			return req.overallRefusal(err)
		}
		avoid[vm.ID] = true
		delete(saturated, vm.ID)
		if err := e.setSessionVM(req, vm.ID); err != nil {
			return err
		}
		obs := e.observe(req, vm.ID)
		received := false
		err = e.attempt(ctx, req, vm, func(p *wire.Piece) error {
			if !received {
				received = true
				queue.Accepted()
			}
			obs.recordPiece(p)
			return emit(p)
		})
		obs.end(err)
		if outcomeOf(err) == limit.Refused {
			saturated[vm.ID] = true
		}
		if err != nil {
			e.node.Log().Info("Attempt did not answer", "request", req.id, "endpoint", vm.ID, "attempt", req.attempts, "version", req.version, "revision", req.view.Revision(), "error", logbook.Text(err))
		}
		if notReached(err) || notStarted(err) {
			e.inflight.RecordUnreachable(vm.ID, e.node.Clock().Now())
		}
		if err == nil {
			return nil
		}
		if versionRefused(err) || !req.prepareRetry(err) {
			e.node.Log().Info("Request cannot be retried on another endpoint", "request", req.id, "attempts", req.attempts, "taken", req.progress.HasOutput(), "error", logbook.Text(err))
			return req.overallRefusal(err)
		}
	}
	return req.overallRefusal(err)
}

// mayRetry takes one attempt from the retry budget. Attempts that did not reach their endpoint, or
// found it not started, do not count: they caused no load, and an unreachable VM must not use up
// the budget before it is removed from the VM list.
//
// An endpoint that falls silent loses all its requests at once, more than the regular budget ever
// holds: when one of two endpoints froze, 18 requests of 36 callers got 502. This happens only once
// per endpoint, as it gets no new requests afterwards, so these attempts have a separate budget.
func (e *Entry) mayRetry(cause error) bool {
	return notReached(cause) || notStarted(cause) || e.retries.TryRetry() || endpointLost(cause) && e.lossRetries.TryRetry(e.node.Clock().Now())
}

// endpointLost reports whether an attempt ended because its endpoint disconnected or fell silent.
func endpointLost(err error) bool {
	r, ok := refusal.As(err)
	return ok && r.Code() == refusal.EndpointLost
}

const (
	// lossRetryWindow, lossRetryRatio and lossRetrySlack bound the attempts after lost endpoints.
	// In each window there may be one for every second request, as when one endpoint of two is
	// lost, plus lossRetrySlack for times of little traffic.
	lossRetryWindow = 10 * clock.Second
	lossRetryRatio  = 0.5
	lossRetrySlack  = 10.0
)

// endpointQuery returns the query that selects an endpoint for the request.
func (e *Entry) endpointQuery(req *requestState, avoid map[string]bool) choice.Query {
	return choice.Query{
		Pools: req.pools(), Avoid: avoid, Seed: xxhash.Sum64String(req.id), Now: e.node.Clock().Now(),
		SessionVM: req.preferredEndpoint(), Prefix: req.prefix,
	}
}

// setSessionVM records the endpoint that gets the request as the VM of its session.
func (e *Entry) setSessionVM(req *requestState, vm string) (err error) {
	if req.service != "" || req.session.SessionVM == vm {
		return nil
	}
	if req.cacheFrom == "" && req.pinned && req.sessionMoved == "" {
		req.cacheFrom = req.session.SessionVM
	}
	req.session.SessionVM = vm
	req.token, err = e.sessions.Sign(req.session)
	return err
}

// notStarted reports whether an endpoint refused an attempt because it has not started. Such an
// endpoint is avoided like an unreachable one: it refuses faster than others answer, and so looks
// the least loaded. One of four endpoints got 15 attempts in 0.4 s in this way, which used up the
// retry budget, and callers were refused although the other three endpoints were idle.
func notStarted(err error) bool {
	r, ok := refusal.As(err)
	return ok && r.Code() == refusal.Starting && r.Run() == refusal.NotRun
}

// notReached reports whether an attempt failed before it reached its endpoint.
func notReached(err error) bool {
	r, ok := refusal.As(err)
	return ok && r.Code() == refusal.EndpointLost && r.Run() == refusal.NotRun
}

// queueItem describes the request to its queue.
func (e *Entry) queueItem(ctx context.Context, req *requestState) limit.Item {
	return limit.Item{
		ID: req.queueID, Organisation: req.organisation, Weight: req.view.Tables().Organisations[req.organisation].Weight,
		Priority: req.priority, Deadline: e.node.Clock().Now() + remaining(ctx),
	}
}

// outcomeOf returns what a request's result shows about the capacity of its pool.
func outcomeOf(err error) limit.Outcome {
	if err == nil {
		return limit.Served
	}
	if r, ok := refusal.As(err); ok && r.Run() == refusal.NotRun && r.Code() == refusal.Saturated {
		return limit.Refused
	}
	return limit.Neutral
}

// withDefaultRetryAfter sets the default retry delay on the refusal of a request that did not run.
func withDefaultRetryAfter(err error) error {
	r, ok := refusal.As(err)
	if !ok || r.Run() != refusal.NotRun || r.RetryAfter() > 0 {
		return err
	}
	return r.WithRetryAfter(startingRetry)
}

// needsOtherVersion reports whether a gate refused the request's version because of a hold or
// withdrawal that this entry had not received when it chose the version and has received by now.
func (e *Entry) needsOtherVersion(req *requestState, err error) bool {
	if r, ok := refusal.As(err); !ok || r.Run() != refusal.NotRun || !versionRefused(err) {
		return false
	}
	req.view = e.node.View()
	return moveReason(req, req.version) != ""
}

// versionRefused reports whether a gate refused the version itself, as every other gate would.
func versionRefused(err error) bool {
	r, ok := refusal.As(err)
	return ok && (r.Code() == refusal.Held || r.Code() == refusal.Withdrawn)
}

// ratingCount returns the number of ratings of the request's version.
func (r *requestState) ratingCount() int64 {
	return r.view.Quality().Sum(quality.Key{Route: r.routeName, Version: r.version}).Ratings
}
