package ingress

import (
	"time"

	"github.com/mountstile/mountstile/internal/apierr"
)

const (
	// drainDelay is how long a stopping gateway accepts new connections, until the platform has seen that it is not ready.
	drainDelay = 3200 * time.Millisecond
	// lateDelay is how long a stopping gateway takes requests that may outlast it: callers can't know yet that it stops, and most take a fraction of
	// their time limit.
	lateDelay = 2800 * time.Millisecond
	// drainMargin is the part of the grace period that is left when remaining requests are abandoned.
	drainMargin = 700 * time.Millisecond
	// stoppingRetryAfter is the Retry-After of requests that a stopping gateway refuses: others serve them at once.
	stoppingRetryAfter = 50 * time.Millisecond
)

// drain is the schedule of a stop.
type drain struct {
	// lateAt is from when requests are refused that may not end in time, closeAt when the gateway stops accepting connections, and abandonAt when requests
	// are abandoned.
	lateAt, closeAt, abandonAt time.Time
}

// newDrain returns the schedule of a stop that begins at a time and has to end within grace.
func newDrain(now time.Time, grace time.Duration) drain {
	return drain{
		lateAt: now.Add(min(lateDelay, grace/2)), closeAt: now.Add(min(drainDelay, grace/2)), abandonAt: now.Add(grace - drainMargin),
	}
}

// refuses reports whether a request with a deadline is refused at a time.
func (d drain) refuses(now, deadline time.Time) bool {
	return now.After(d.lateAt) && deadline.After(d.abandonAt)
}

// checkDrain refuses a request that may not end before its gateway does.
func (r *request) checkDrain() error {
	current := r.server.draining.Load()
	if current == nil || !current.refuses(time.Now(), r.deadline()) {
		return nil
	}
	return apierr.New(apierr.Stopping, apierr.NotRun, "the gateway stops before the time limit of the request").WithRetryAfter(stoppingRetryAfter)
}
