package turnstore

import (
	"context"
	"sync"
	"time"

	"github.com/mountstile/mountstile/internal/events"
)

const (
	// lostAfterFailures is how many openings in a row must have met too few replicas before these count as out
	// of reach. One alone may have met a replica that is just being replaced.
	lostAfterFailures = 2
	// lostOpenTimeout bounds an opening while they do: the caller is better off at another gateway.
	lostOpenTimeout = 150 * time.Millisecond
	// reachInterval is how often replicas that are out of reach are tried.
	reachInterval = 200 * time.Millisecond
	reachTimeout  = 800 * time.Millisecond
)

// reach is whether enough replicas answer this node, as its own openings show.
type reach struct {
	logger *events.Logger

	mutex    sync.Mutex
	failures int
	lostAt   time.Time
}

// reached notes that enough replicas have answered.
func (r *reach) reached() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.failures = 0
	if !r.lostAt.IsZero() {
		r.logger.Emit(events.ReplicasRegained, events.F("lost_for_millis", time.Since(r.lostAt).Milliseconds()))
		r.lostAt = time.Time{}
	}
}

// failed notes that too few have.
func (r *reach) failed(cause error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.failures++
	if r.failures >= lostAfterFailures && r.lostAt.IsZero() {
		r.lostAt = time.Now()
		r.logger.Emit(events.ReplicasLost, events.F("failures", r.failures), events.F("error", cause))
	}
}

func (r *reach) failing() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.failures > 0 || !r.lostAt.IsZero()
}

func (r *reach) lost() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return !r.lostAt.IsZero()
}

// Reachable tells whether enough replicas answer. While they don't, turns are refused soon.
func (c *Client) Reachable() bool { return !c.reach.lost() }

// Steady tells whether the last opening met enough replicas, or there was none yet.
func (c *Client) Steady() bool { return !c.reach.failing() }

// WatchReach tries replicas that are out of reach until the context ends.
func (c *Client) WatchReach(ctx context.Context) {
	ticker := time.NewTicker(reachInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if c.Reachable() {
			continue
		}
		askContext, cancel := context.WithTimeout(ctx, reachTimeout)
		if c.Ready(askContext) {
			c.reach.reached()
		}
		cancel()
	}
}
