package dispatch

import (
	"math"
	"time"
)

const (
	// failureHalfLife is how fast failures and successes are forgotten.
	failureHalfLife = 3 * time.Second
	// breakerFailures and breakerShare are the weight and the share of recent failures that open a
	// breaker. Engines that lose a few answers in a hundred stay in use.
	breakerFailures = 2.5
	breakerShare    = 0.4
	breakerFirst    = 500 * time.Millisecond
	breakerLongest  = 4 * time.Second
)

// breaker keeps work from an engine that fails. It opens by what the traffic shows, and lets one
// request through once its time is over.
type breaker struct {
	failures  float64
	successes float64
	updatedAt time.Time
	openUntil time.Time
	openFor   time.Duration
	// trial is when the one request of a breaker whose time is over was let through.
	trial time.Time
}

func (b *breaker) decay(now time.Time) {
	if !b.updatedAt.IsZero() {
		factor := math.Exp2(-float64(now.Sub(b.updatedAt)) / float64(failureHalfLife))
		b.failures *= factor
		b.successes *= factor
	}
	b.updatedAt = now
}

// allows reports whether a request may be sent. After the open time only one is let through until
// its outcome is known, or failureHalfLife has passed.
func (b *breaker) allows(now time.Time) bool {
	if b.openFor == 0 {
		return true
	}
	if now.Before(b.openUntil) {
		return false
	}
	return b.trial.IsZero() || now.Sub(b.trial) > failureHalfLife
}

func (b *breaker) sent(now time.Time) {
	if b.openFor > 0 {
		b.trial = now
	}
}

// succeeded reports whether the breaker closed by it.
func (b *breaker) succeeded(now time.Time) bool {
	b.decay(now)
	b.successes++
	closed := b.openFor > 0
	if closed {
		b.failures = 0
	}
	b.openFor = 0
	b.trial = time.Time{}
	return closed
}

// failed reports whether the breaker opened by it. A severe failure opens it at once.
func (b *breaker) failed(now time.Time, severe bool) bool {
	b.decay(now)
	b.failures++
	tooMany := b.failures >= breakerFailures && b.failures >= breakerShare*(b.failures+b.successes)
	if !severe && !tooMany && b.openFor == 0 {
		return false
	}
	b.openFor = min(max(b.openFor*2, breakerFirst), breakerLongest)
	b.openUntil = now.Add(b.openFor)
	b.trial = time.Time{}
	return true
}
