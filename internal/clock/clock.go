// Package clock abstracts time, so that code that waits can run in real time or, in simulations, in virtual time.
package clock

import (
	"context"
	"sync"
	"time"
)

// Sleep waits in real time until duration has passed or ctx is done.
func Sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Clock returns the time and creates signals.
type Clock interface {
	Now() time.Time
	NewSignal() Signal
}

// Signal is a one-shot event with at most one waiter.
type Signal interface {
	// Fire wakes the waiter; later calls of Wait return at once. It never blocks, and may be called repeatedly.
	Fire()
	// Wait returns true once the signal has fired, and false if limit passes or ctx is done first.
	Wait(ctx context.Context, limit time.Duration) bool
}

// Real is the system clock.
type Real struct{}

// Now implements Clock.
func (Real) Now() time.Time { return time.Now() }

// NewSignal implements Clock.
func (Real) NewSignal() Signal { return &realSignal{fired: make(chan struct{})} }

type realSignal struct {
	once  sync.Once
	fired chan struct{}
}

func (s *realSignal) Fire() { s.once.Do(func() { close(s.fired) }) }

func (s *realSignal) Wait(ctx context.Context, limit time.Duration) bool {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-s.fired:
	case <-timer.C:
	case <-ctx.Done():
	}
	select {
	case <-s.fired:
		return true
	default:
		return false
	}
}
