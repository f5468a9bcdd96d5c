package gateway

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	pauseBeat = 100 * time.Millisecond
	// pauseLimit is the gap between beats that counts as a pause of the process. It is far below
	// the time after which others take over from a silent node.
	pauseLimit = time.Second
)

// PauseDetector notices that the process did not run for a while, so that nothing is sent on the
// strength of a permission from before the pause.
type PauseDetector struct {
	last atomic.Int64
	// resumed is when the latest pause ended; start is the origin of both.
	resumed atomic.Int64
	start   time.Time
}

// NewPauseDetector returns a PauseDetector; Run must be running.
func NewPauseDetector() *PauseDetector { return &PauseDetector{start: time.Now()} }

// Run beats until the context ends.
func (p *PauseDetector) Run(ctx context.Context) {
	ticker := time.NewTicker(pauseBeat)
	defer ticker.Stop()
	p.last.Store(int64(time.Since(p.start)))
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.beat()
		}
	}
}

func (p *PauseDetector) beat() {
	now := time.Since(p.start)
	previous := time.Duration(p.last.Swap(int64(now)))
	if now-previous > pauseLimit {
		p.resumed.Store(int64(now))
	}
}

// PausedSince reports whether the process was paused after the given moment.
func (p *PauseDetector) PausedSince(moment time.Time) bool {
	p.beat()
	return time.Duration(p.resumed.Load()) > moment.Sub(p.start)
}
