package ingress

import (
	"sync"
	"time"
)

const (
	// firstEventTimeout and nextEventTimeout are how long a resumable stream may be silent before
	// it is retried. Before its first event the call may be queued at the engine; silence after an
	// event means that the engine has lost the call or hangs.
	firstEventTimeout = 1500 * time.Millisecond
	nextEventTimeout  = 700 * time.Millisecond
)

// stallTimer abandons an attempt whose stream is silent for too long. It does nothing on routes
// that can't be resumed, where a retry is not possible.
type stallTimer struct {
	timer   *time.Timer
	mutex   sync.Mutex
	stopped bool
}

func (s *stream) startStallTimer() *stallTimer {
	stall := &stallTimer{}
	if !s.request.route.Repeatable() {
		return stall
	}
	attempt := s.attempt
	timeout := firstEventTimeout
	if s.request.headSent {
		timeout = nextEventTimeout
	}
	stall.timer = time.AfterFunc(timeout, func() {
		stall.mutex.Lock()
		defer stall.mutex.Unlock()
		if !stall.stopped {
			attempt.Abort()
		}
	})
	return stall
}

// pause stops the timer while the gateway is not waiting for the engine.
func (t *stallTimer) pause() {
	if t.timer != nil {
		t.timer.Stop()
	}
}

// reset restarts the timer after received bytes.
func (t *stallTimer) reset() {
	if t.timer != nil {
		t.timer.Reset(nextEventTimeout)
	}
}

// stop ends the timer; the attempt is not abandoned after it has returned.
func (t *stallTimer) stop() {
	if t.timer == nil {
		return
	}
	t.timer.Stop()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.stopped = true
}
