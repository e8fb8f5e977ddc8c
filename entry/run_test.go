package entry

import (
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/limit"
	"github.com/parsleydeal/parsleydeal/refusal"
)

// A request that did not run is refused without a time to come back: clients
// would ask again at once, all together. One that ran must not be told to come
// again, or it would be paid for twice.
func TestRetryAfterOnlyIfNotRun(t *testing.T) {
	is := is.New(t)
	lost := refusal.New(refusal.EndpointLost, "gone")
	r, _ := refusal.As(comeBack(lost))
	is.Equal(r.RetryAfter(), startingRetry)
	r, _ = refusal.As(comeBack(lost.WithRun(refusal.Ran)))
	is.Equal(r.RetryAfter(), 0*startingRetry)
	r, _ = refusal.As(comeBack(lost.WithRetryAfter(7)))
	is.Equal(int(r.RetryAfter()), 7)
}

// An engine fails an answer that had begun. That says nothing of the pool's
// room, and must not narrow the window as a refusal for want of room does.
func TestOnlySaturationNarrowsWindow(t *testing.T) {
	is := is.New(t)
	is.Equal(outcomeOf(nil), limit.Served)
	is.Equal(outcomeOf(refusal.New(refusal.Saturated, "full")), limit.Refused)
	is.Equal(outcomeOf(refusal.New(refusal.EngineFailed, "broke").WithRun(refusal.Unknown)), limit.Neutral)
}

// One of four endpoints has not started yet and refuses at once, which makes it look
// the emptiest. Each refusal was paid for from the retry budget: after ten of them
// callers got 503 though three endpoints were idle.
func TestNotStartedEndpointsUseNoRetryBudget(t *testing.T) {
	is := is.New(t)
	e := &Entry{retries: limit.NewRetryBudget()}
	starting := refusal.New(refusal.Starting, "endpoint has no tables yet")
	for range 50 {
		is.True(e.mayTryAgain(starting))
	}
	is.True(e.retries.TryRetry()) // nothing of the budget was spent
	is.True(unready(starting))
	is.True(!unready(refusal.New(refusal.Saturated, "full")))
	is.True(!unready(starting.WithRun(refusal.Unknown)))
}
