// Package limit keeps outages and greedy tenants from multiplying load.
package limit

import "sync"

// RetryBudget allows retries as a share of recent successes, so that an outage can't multiply
// load. The zero value allows none; use NewRetryBudget.
type RetryBudget struct {
	mutex  sync.Mutex
	ratio  float64
	most   float64
	tokens float64
}

// NewRetryBudget allows ratio retries for each success, and most in a row.
func NewRetryBudget(ratio, most float64) *RetryBudget {
	return &RetryBudget{ratio: ratio, most: most, tokens: most}
}

// Success earns a share of a retry.
func (b *RetryBudget) Success() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tokens = min(b.most, b.tokens+b.ratio)
}

// Take spends one retry, if there is one.
func (b *RetryBudget) Take() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
