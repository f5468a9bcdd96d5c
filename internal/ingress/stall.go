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

// stallTimer abandons an attempt whose stream brings no event for too long, whatever other bytes it brings. It does nothing on
// routes that can't be resumed, where a retry is not possible.
type stallTimer struct {
	timer *time.Timer
	// expiresAt is when the timer fires unless it is paused; remaining is the time left while it is paused.
	expiresAt time.Time
	remaining time.Duration
	mutex     sync.Mutex
	stopped   bool
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
	stall.expiresAt = time.Now().Add(timeout)
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
		t.remaining = time.Until(t.expiresAt)
	}
}

// resume continues after pause; after progress the whole time is available again.
func (t *stallTimer) resume(progressed bool) {
	if t.timer == nil {
		return
	}
	if progressed {
		t.remaining = nextEventTimeout
	}
	t.expiresAt = time.Now().Add(t.remaining)
	t.timer.Reset(t.remaining)
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
