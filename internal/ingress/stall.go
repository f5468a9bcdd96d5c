package ingress

import (
	"sync"
	"time"
)

const (
	// firstEventStall and eventStall are how long a resumable stream may be silent before it is asked
	// for again: before its first event it may stand in the engine's line, after it the engine has
	// either lost the answer or stands still.
	firstEventStall = 1500 * time.Millisecond
	eventStall      = 700 * time.Millisecond
)

// stallWatch abandons an attempt whose stream is silent for too long. On routes that can't be
// resumed it does nothing: there, silence gives no reason to end an answer.
type stallWatch struct {
	timer *time.Timer
	mutex sync.Mutex
	ended bool
}

func (s *stream) watchStall() *stallWatch {
	watch := &stallWatch{}
	if !s.request.route.Repeatable() {
		return watch
	}
	attempt := s.attempt
	limit := firstEventStall
	if s.request.sent {
		limit = eventStall
	}
	watch.timer = time.AfterFunc(limit, func() {
		watch.mutex.Lock()
		defer watch.mutex.Unlock()
		if !watch.ended {
			attempt.Abort()
		}
	})
	return watch
}

// pause stops the clock while it is not the engine that is waited for.
func (w *stallWatch) pause() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

func (w *stallWatch) heard() {
	if w.timer != nil {
		w.timer.Reset(eventStall)
	}
}

func (w *stallWatch) stop() {
	if w.timer == nil {
		return
	}
	w.timer.Stop()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.ended = true
}
