// Package limit keeps load in bounds at an entry: a budget of retries, and a
// queue that shares what a pool can take fairly among organisations.
package limit

import "sync"

const (
	// retryRatio is how many retries a request earns.
	retryRatio = 0.1
	// retryBurst is how many may be saved up, so that a site with little traffic
	// can leave a lost endpoint too.
	retryBurst = 10.0
)

// RetryBudget is the budget of one entry. When a pool runs dry every attempt fails
// and asks for another one; without a budget the load on what is left would
// multiply by the attempts allowed (a retry storm), and the pool could not come
// back. Over n requests there are at most n*ratio + burst retries.
type RetryBudget struct {
	mu sync.Mutex
	// tokens is between 0 and burst.
	tokens float64
	ratio  float64
	burst  float64
}

// NewRetryBudget makes a full budget with the usual bounds.
func NewRetryBudget() *RetryBudget { return NewRetryBudgetWith(retryRatio, retryBurst) }

// NewRetryBudgetWith makes a full budget in which a request earns a part of a retry
// and at most burst retries are saved up.
func NewRetryBudgetWith(ratio, burst float64) *RetryBudget {
	return &RetryBudget{tokens: burst, ratio: ratio, burst: burst}
}

// RecordRequest counts a request.
func (r *RetryBudget) RecordRequest() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens = min(r.tokens+r.ratio, r.burst)
}

// TryRetry reports whether one more attempt is allowed.
func (r *RetryBudget) TryRetry() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}
