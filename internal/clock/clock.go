// Package clock lets code that waits run in real time or, in an experiment, in virtual time.
package clock

import (
	"context"
	"sync"
	"time"
)

// Sleep waits in real time until duration is over or the context ends.
func Sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Clock tells the time and makes what can be waited for.
type Clock interface {
	Now() time.Time
	NewSignal() Signal
}

// Signal wakes at most one waiter, at most once.
type Signal interface {
	// Fire wakes the waiter, or lets one that comes later pass at once. It never blocks.
	Fire()
	// Wait returns true once the signal has fired, and false when limit is over or the context ends.
	Wait(ctx context.Context, limit time.Duration) bool
}

// Real is the machine's clock.
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
