package clock

import (
	"context"
	"sync/atomic"
	"time"
)

const pauseCheckInterval = 100 * time.Millisecond

// PauseDetector detects pauses of the process, so that it does not act after a pause on the basis of what it has heard before.
// It is safe for concurrent use.
type PauseDetector struct {
	// threshold is the time between checks that counts as a pause.
	threshold time.Duration
	// lastCheck is when the latest check ran, in nanoseconds since start.
	lastCheck atomic.Int64
	// resumedAt is when the latest pause ended, in nanoseconds since start.
	resumedAt atomic.Int64
	start     time.Time
}

// NewPauseDetector returns a PauseDetector. It detects pauses only while Run runs. threshold is the time without a check that counts as a
// pause, and must exceed the 100 ms between two checks.
func NewPauseDetector(threshold time.Duration) *PauseDetector {
	return &PauseDetector{threshold: threshold, start: time.Now()}
}

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

// check records a pause if the time since the previous check exceeds the threshold.
func (p *PauseDetector) check() {
	now := time.Since(p.start)
	previous := time.Duration(p.lastCheck.Swap(int64(now)))
	if now-previous > p.threshold {
		p.resumedAt.Store(int64(now))
	}
}

// PausedSince reports whether the process was paused after a point in time.
func (p *PauseDetector) PausedSince(since time.Time) bool {
	p.check()
	return time.Duration(p.resumedAt.Load()) > since.Sub(p.start)
}
