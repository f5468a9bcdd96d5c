// Package limit enforces tenants' limits on services, and limits retries.
package limit

import "sync"

// RetryBudget is a token bucket that limits retries to a ratio of the successes, so that they don't multiply the load in
// an outage. The zero value allows none; use NewRetryBudget. All methods may be called concurrently.
type RetryBudget struct {
	mutex  sync.Mutex
	ratio  float64
	burst  float64
	tokens float64
}

// NewRetryBudget returns a RetryBudget that allows ratio retries for each success, and burst retries without any.
func NewRetryBudget(ratio, burst float64) *RetryBudget {
	return &RetryBudget{ratio: ratio, burst: burst, tokens: burst}
}

// Success records a success, which earns ratio retries.
func (b *RetryBudget) Success() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tokens = min(b.burst, b.tokens+b.ratio)
}

// Take spends one retry and reports whether one was available.
func (b *RetryBudget) Take() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
