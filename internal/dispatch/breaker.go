package dispatch

import (
	"math"
	"time"
)

const (
	// failureHalfLife is the half-life of the counts of failures and successes.
	failureHalfLife = 3 * time.Second
	// A breaker opens once the decayed count of failures reaches breakerMinFailures and their share of all
	// outcomes reaches breakerFailureRatio. An engine that fails a few percent of its calls stays in use.
	breakerMinFailures  = 2.5
	breakerFailureRatio = 0.4
	breakerMinOpen      = 500 * time.Millisecond
	breakerMaxOpen      = 4 * time.Second
)

// breaker is a circuit breaker for one engine. It opens on the failures of regular traffic, stays open for an
// exponentially growing time, and then lets a single probe through.
type breaker struct {
	// failures and successes are decayed counts as of updatedAt.
	failures  float64
	successes float64
	updatedAt time.Time
	openUntil time.Time
	// openFor is the length of the last open time; 0 while the breaker is closed.
	openFor time.Duration
	// probedAt is when the probe was sent; zero if none is under way.
	probedAt time.Time
}

func (b *breaker) decay(now time.Time) {
	if !b.updatedAt.IsZero() {
		factor := math.Exp2(-float64(now.Sub(b.updatedAt)) / float64(failureHalfLife))
		b.failures *= factor
		b.successes *= factor
	}
	b.updatedAt = now
}

// allows reports whether a request may be sent. Once the open time is over, only one probe is allowed until
// its outcome is recorded or failureHalfLife has passed.
func (b *breaker) allows(now time.Time) bool {
	if b.openFor == 0 {
		return true
	}
	if now.Before(b.openUntil) {
		return false
	}
	return b.probedAt.IsZero() || now.Sub(b.probedAt) > failureHalfLife
}

// recordSent records that a request was sent. On a breaker that is not closed, that request is the probe.
func (b *breaker) recordSent(now time.Time) {
	if b.openFor > 0 {
		b.probedAt = now
	}
}

// succeeded records a success and reports whether it closed the breaker.
func (b *breaker) succeeded(now time.Time) bool {
	b.decay(now)
	b.successes++
	closed := b.openFor > 0
	if closed {
		b.failures = 0
	}
	b.openFor = 0
	b.probedAt = time.Time{}
	return closed
}

// failed records a failure and reports whether the breaker is open after it. With openAtOnce a single failure
// opens it.
func (b *breaker) failed(now time.Time, openAtOnce bool) bool {
	b.decay(now)
	b.failures++
	tooMany := b.failures >= breakerMinFailures && b.failures >= breakerFailureRatio*(b.failures+b.successes)
	if !openAtOnce && !tooMany && b.openFor == 0 {
		return false
	}
	b.openFor = min(max(b.openFor*2, breakerMinOpen), breakerMaxOpen)
	b.openUntil = now.Add(b.openFor)
	b.probedAt = time.Time{}
	return true
}
