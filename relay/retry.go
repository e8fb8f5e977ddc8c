package relay

import (
	"context"
	"fmt"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/limit"
)

// retryOutcome is whether another attempt follows one that did not produce the answer.
type retryOutcome int

// The outcomes.
const (
	// noRetry means that no other attempt can help, or that the route or the time allows none.
	noRetry retryOutcome = iota
	// retryGranted means that the retry budget had room for the attempt, which is counted.
	retryGranted
	// retryDenied means that the retry budget was used up.
	retryDenied
	// retryUncounted means that the attempt is made and need not be counted: nothing of the last one
	// was sent.
	retryUncounted
)

// String returns the name of the outcome for logs and metrics.
func (o retryOutcome) String() string {
	return [...]string{"none", "granted", "denied", "uncounted"}[o]
}

// decideRetry decides whether another attempt follows one that ended with r, and counts it. For a poor
// answer it was counted when the answer was judged.
func (x *exchange) decideRetry(ctx context.Context, a *attempt, r result) retryOutcome {
	switch {
	case r == done, r == ended, ctx.Err() != nil, x.remaining() < minRemaining:
		return noRetry
	case r == poor:
		return retryGranted
	case !x.mayRetry(r), x.callerLeft(leftBeforeRetry):
		return noRetry
	case a.unsent:
		x.server.countRetry(x.service, reasonUnsent, retryUncounted)
		return retryUncounted
	}
	return x.takeRetry(a.retryReason(r))
}

// takeRetry counts a retry for the given reason against the budget, if it has room.
func (x *exchange) takeRetry(reason string) (o retryOutcome) {
	now := x.server.cfg.Clock.Now()
	try := x.budget().TryRetry
	if reason == reasonEscalated {
		try = x.budget().TryOptional
	}
	o = retryDenied
	if try(now) {
		o, x.unusedRetryAt = retryGranted, now
	}
	x.server.countRetry(x.service, reason, o)
	return o
}

// returnUnusedRetry takes back the last retry if nothing of its attempt was sent.
func (x *exchange) returnUnusedRetry() {
	if x.unusedRetryAt > 0 {
		x.budget().Return(x.unusedRetryAt, x.server.cfg.Clock.Now())
	}
}

// Reasons for a retry, for metrics.
const (
	reasonEscalated = "escalated"
	reasonRefused   = "refused"
	reasonSilent    = "silent"
	reasonFailed    = "failed"
	reasonUnsent    = "unsent"
)

// retryReason returns why an attempt that ended with r needs another one.
func (a *attempt) retryReason(r result) string {
	switch {
	case r == notRun:
		return reasonRefused
	case a.silent:
		return reasonSilent
	}
	return reasonFailed
}

// countRetry counts the decision about a retry for metrics.
func (s *Server) countRetry(service, reason string, o retryOutcome) {
	s.metrics.GetOrCreateCounter(fmt.Sprintf("parsleydeal_retries_total{service=%q,reason=%q,outcome=%q}", service, reason, o)).Inc()
}

// mayRetry reports whether the request may have another attempt.
func (x *exchange) mayRetry(r result) bool {
	if r == notRun {
		return x.sends-x.unsent < x.route.MaxAttempts+maxRefusals && x.unsent < maxUnsent
	}
	return x.mayRepeat()
}

// mayRepeat reports whether an attempt in flight may be repeated elsewhere, so that it can be
// abandoned.
func (x *exchange) mayRepeat() bool { return x.mayRepeatAfter(0) }

// mayRepeatAfter is like mayRepeat, but assumes that the given number of further attempts have run.
func (x *exchange) mayRepeatAfter(more int) bool {
	return x.route.Repeatable() && !x.position.unnumbered && x.runs+more < x.route.MaxAttempts
}

// budget returns the retry budget of the request's service.
func (x *exchange) budget() *limit.Share { return x.server.budget(x.service, x.view.Entries()) }

const (
	// retryRatioFraction is the fraction of the ratio that this process uses. The traffic of an entry
	// may move to another one, so that the sum of what all entries allow themselves exceeds what the
	// requests of any one window allow.
	retryRatioFraction = 0.85
	// retrySlackFraction is the fraction of the slack that the entries divide. A restarted entry
	// forgets the part that it has used.
	retrySlackFraction = 0.5
	// entriesSettleTime is how long after its start an entry may know too few others, if they
	// started together. It uses no slack meanwhile unless it is the first.
	entriesSettleTime = 2 * clock.Second
)

// budget returns the retry budget of a service. Its slack follows the number of entries.
func (s *Server) budget(service string, entries int) *limit.Share {
	s.mu.Lock()
	defer s.mu.Unlock()
	slack := s.cfg.RetrySlack * retrySlackFraction / float64(entries)
	if entries > 1 && s.cfg.Clock.Since(s.startedAt) < entriesSettleTime {
		slack = 0
	}
	b, ok := s.budgets[service]
	if !ok {
		b = limit.NewShare(s.cfg.RetryWindow, s.cfg.RetryRatio*retryRatioFraction, slack)
		s.budgets[service] = b
	}
	b.SetSlack(slack)
	return b
}
