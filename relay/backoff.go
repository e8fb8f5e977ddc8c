package relay

import (
	"github.com/parsleydeal/parsleydeal/catalog"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/refusal"
)

const (
	// leastBack and mostBack bound when a refused caller may come back. What the
	// refusal waits for, a place at an endpoint or an endpoint's end of cold
	// start, changes within about a second.
	leastBack = 250 * clock.Millis(1)
	mostBack  = clock.Second
	// leftPart is the most of its time that a caller can be asked to wait, so that
	// enough is left for the answer.
	leftPart = 0.3
)

// retryAfter is when the caller may come back; 0 when that makes no difference.
// Callers that were refused together are spread over the span by their numbers,
// or they would come back together.
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
	draw := 0.5
	if x.req != nil {
		draw = catalog.Fraction(catalog.HashOf(x.req.ID + "/back"))
	}
	back := leastBack + clock.Millis(draw*float64(mostBack-leastBack))
	if x.deadline > 0 {
		back = min(back, clock.Millis(leftPart*float64(max(x.left(), 0))))
	}
	return max(back, 1)
}
