package entry

import (
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/limit"
	"github.com/parsleydeal/parsleydeal/refusal"
)

// The refusal of a request that did not run must have a retry delay, or all clients would retry at
// once. A request that ran must not get one, or a retry would be billed a second time.
func TestRetryAfterOnlyIfNotRun(t *testing.T) {
	is := is.New(t)
	lost := refusal.New(refusal.EndpointLost, "gone")
	r, _ := refusal.As(withDefaultRetryAfter(lost))
	is.Equal(r.RetryAfter(), startingRetry)
	r, _ = refusal.As(withDefaultRetryAfter(lost.WithRun(refusal.Ran)))
	is.Equal(r.RetryAfter(), 0*startingRetry)
	r, _ = refusal.As(withDefaultRetryAfter(lost.WithRetryAfter(7)))
	is.Equal(int(r.RetryAfter()), 7)
}

// An engine fails after it has started an answer. This does not reflect on the pool's capacity and
// must not narrow the queue's window as a refusal for lack of capacity does.
func TestOnlySaturationNarrowsWindow(t *testing.T) {
	is := is.New(t)
	is.Equal(outcomeOf(nil), limit.Served)
	is.Equal(outcomeOf(refusal.New(refusal.Saturated, "full")), limit.Refused)
	is.Equal(outcomeOf(refusal.New(refusal.EngineFailed, "broke").WithRun(refusal.Unknown)), limit.Neutral)
}

// One of four endpoints has not started and refuses at once, so it appears to be the least loaded. If
// each refusal took from the retry budget, callers would get 503 after ten of them although three
// endpoints are idle.
func TestNotStartedEndpointsUseNoRetryBudget(t *testing.T) {
	is := is.New(t)
	e := &Entry{retries: limit.NewRetryBudget()}
	starting := refusal.New(refusal.Starting, "endpoint has no tables yet")
	for range 50 {
		is.True(e.mayRetry(starting))
	}
	is.True(e.retries.TryRetry()) // the budget is unused
	is.True(notStarted(starting))
	is.True(!notStarted(refusal.New(refusal.Saturated, "full")))
	is.True(!notStarted(starting.WithRun(refusal.Unknown)))
}
