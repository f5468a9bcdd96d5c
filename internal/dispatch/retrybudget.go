package dispatch

import "sync"

const (
	// retriesPerCall is the fraction of a retry that each call earns; maxSavedRetries caps the balance.
	retriesPerCall  = 0.25
	maxSavedRetries = 20.0
)

// retryBudget limits retries to a fraction of the calls, so that they don't multiply the load when most calls fail.
type retryBudget struct {
	mutex   sync.Mutex
	balance float64
}

func newRetryBudget() *retryBudget { return &retryBudget{balance: maxSavedRetries} }

func (b *retryBudget) earn() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.balance = min(b.balance+retriesPerCall, maxSavedRetries)
}

// refund returns retries that were spent.
func (b *retryBudget) refund(count int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.balance = min(b.balance+float64(count), maxSavedRetries)
}

func (b *retryBudget) spend() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
