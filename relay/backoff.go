package relay

import (
	"github.com/parsleydeal/parsleydeal/catalog"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/refusal"
)

const (
	// minRetryAfter and maxRetryAfter bound the retry delay of a refused caller. The usual reasons
	// for a refusal, full endpoints and cold starts, end within about a second.
	minRetryAfter = 250 * clock.Millis(1)
	maxRetryAfter = clock.Second
	// maxWaitRatio is the largest fraction of the remaining time that a caller may be asked to
	// wait, so that enough is left for the answer.
	maxWaitRatio = 0.3
)

// retryAfter returns the delay after which the caller may retry; 0 for a refusal that gets no
// Retry-After header. Delays are spread by the hash of the request ID, so that callers refused at
// the same time do not retry at the same time.
func retryAfter(r *refusal.Refusal, x *exchange) clock.Millis {
	if r.Run() != refusal.NotRun {
		return 0
	}
	switch r.RetrySafeStatus() {
	case 429, 503:
	default:
		return 0
	}
	if r.RetryAfter() > 0 {
		return r.RetryAfter()
	}
	fraction := 0.5
	if x.req != nil {
		fraction = catalog.Fraction(catalog.HashOf(x.req.ID + "/back"))
	}
	delay := minRetryAfter + clock.Millis(fraction*float64(maxRetryAfter-minRetryAfter))
	if x.deadline > 0 {
		delay = min(delay, clock.Millis(maxWaitRatio*float64(max(x.remaining(), 0))))
	}
	return max(delay, 1)
}
