package dispatch

import "sync"

const (
	// retryShare is how many retries each call earns; retryBurst is how many may be saved up.
	retryShare = 0.25
	retryBurst = 20.0
)

// retryBudget keeps retries from multiplying the load when most calls fail.
type retryBudget struct {
	mutex sync.Mutex
	saved float64
}

func newRetryBudget() *retryBudget { return &retryBudget{saved: retryBurst} }

func (b *retryBudget) earn() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.saved = min(b.saved+retryShare, retryBurst)
}

func (b *retryBudget) spend() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
