package gateway

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	pauseCheckInterval = 100 * time.Millisecond
	// pauseThreshold is the time between checks that counts as a pause of the process. It is far below the time after which other
	// nodes take over from an unresponsive one.
	pauseThreshold = time.Second
)

// PauseDetector detects pauses of the process, so that an attempt is not sent after a pause on the basis of a response that
// was received before the pause. It is safe for concurrent use.
type PauseDetector struct {
	// lastCheck is when the latest check ran, in nanoseconds since start.
	lastCheck atomic.Int64
	// resumedAt is when the latest pause ended, in nanoseconds since start.
	resumedAt atomic.Int64
	start     time.Time
}

// NewPauseDetector returns a PauseDetector. It detects pauses only while Run runs.
func NewPauseDetector() *PauseDetector { return &PauseDetector{start: time.Now()} }

// Run checks for pauses every pauseCheckInterval until the context ends.
func (p *PauseDetector) Run(ctx context.Context) {
	ticker := time.NewTicker(pauseCheckInterval)
	defer ticker.Stop()
	p.lastCheck.Store(int64(time.Since(p.start)))
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.check()
		}
	}
}

// check records a pause if the time since the previous check exceeds pauseThreshold.
func (p *PauseDetector) check() {
	now := time.Since(p.start)
	previous := time.Duration(p.lastCheck.Swap(int64(now)))
	if now-previous > pauseThreshold {
		p.resumedAt.Store(int64(now))
	}
}

// PausedSince reports whether the process was paused after a point in time.
func (p *PauseDetector) PausedSince(since time.Time) bool {
	p.check()
	return time.Duration(p.resumedAt.Load()) > since.Sub(p.start)
}
