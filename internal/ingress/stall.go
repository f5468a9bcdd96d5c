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
	// maxEventTime is how long a resumable stream may go without a whole event while parts of one arrive. Callers give up
	// a stream that pauses for 2 s.
	maxEventTime = 1600 * time.Millisecond
)

// stallTimer abandons an attempt whose stream brings no event for too long, whatever other bytes it brings. It does nothing on
// routes that can't be resumed, where a retry is not possible.
type stallTimer struct {
	timer *time.Timer
	// expiresAt is when the timer fires unless it is paused; remaining is the time left while it is paused.
	expiresAt time.Time
	remaining time.Duration
	// progressedAt is when the last event arrived, or the attempt began.
	progressedAt time.Time
	pausedAt     time.Time
	mutex        sync.Mutex
	stopped      bool
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
	stall.progressedAt = time.Now()
	stall.expiresAt = stall.progressedAt.Add(timeout)
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
		t.pausedAt = time.Now()
		t.remaining = t.expiresAt.Sub(t.pausedAt)
	}
}

// resume continues after pause. After progress the whole time is available again; after a part of an event as well, but not
// beyond maxEventTime.
func (t *stallTimer) resume(progressed, partly bool) {
	if t.timer == nil {
		return
	}
	now := time.Now()
	t.progressedAt = t.progressedAt.Add(now.Sub(t.pausedAt))
	switch {
	case progressed:
		t.progressedAt = now
		t.remaining = nextEventTimeout
	case partly:
		t.remaining = max(t.remaining, min(nextEventTimeout, t.progressedAt.Add(maxEventTime).Sub(now)))
	}
	t.expiresAt = now.Add(t.remaining)
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
