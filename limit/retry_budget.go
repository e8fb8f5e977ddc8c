// Package limit bounds the load that an entry puts on pools: retry budgets, and a queue that
// shares the capacity of a pool fairly among organisations.
package limit

import "sync"

const (
	// retryRatio is how many retries each request adds to the budget.
	retryRatio = 0.1
	// retryBurst is the maximum budget, in retries, and also the initial one. It lets a site with
	// little traffic move requests away from an unreachable endpoint too.
	retryBurst = 10.0
)

// RetryBudget bounds the retries of one entry. When a pool is saturated, every attempt fails and
// would be retried; without a budget the load on the remaining capacity would be multiplied by
// the number of allowed attempts (a retry storm), and the pool could not recover. Over n
// requests there are at most n*ratio + burst retries. It is safe for concurrent use.
type RetryBudget struct {
	mu sync.Mutex
	// tokens is the number of retries left, between 0 and burst.
	tokens float64
	ratio  float64
	burst  float64
}

// NewRetryBudget returns a full budget with the default ratio and burst.
func NewRetryBudget() *RetryBudget { return NewRetryBudgetWith(retryRatio, retryBurst) }

// NewRetryBudgetWith returns a full budget to which each request adds ratio retries, up to
// burst.
func NewRetryBudgetWith(ratio, burst float64) *RetryBudget {
	return &RetryBudget{tokens: burst, ratio: ratio, burst: burst}
}

// RecordRequest adds the ratio of one request to the budget, up to the burst.
func (r *RetryBudget) RecordRequest() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens = min(r.tokens+r.ratio, r.burst)
}

// TryRetry takes one retry from the budget and reports whether it was available.
func (r *RetryBudget) TryRetry() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}
