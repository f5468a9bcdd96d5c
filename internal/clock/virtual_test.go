package clock

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var origin = time.Unix(1000, 0)

// TestVirtualOrder: tasks run in the order of their wake-ups, and the time moves only between them.
func TestVirtualOrder(t *testing.T) {
	virtual := NewVirtual(origin)
	var log []string
	note := func(what string) { log = append(log, fmt.Sprintf("%s at %s", what, virtual.Now().Sub(origin))) }
	virtual.Run(func() {
		signal := virtual.NewSignal()
		virtual.Go(func() {
			virtual.Sleep(2 * time.Second)
			note("fire")
			signal.Fire()
			signal.Fire()
		})
		virtual.Parallel(
			func() { virtual.Sleep(3 * time.Second); note("slow") },
			func() { virtual.Sleep(time.Second); note("fast") },
			func() { assert.Check(t, signal.Wait(context.Background(), time.Minute)); note("woken") },
		)
		note("all done")
		assert.Check(t, signal.Wait(context.Background(), time.Second), "a late waiter passes at once")
		assert.Check(t, !virtual.NewSignal().Wait(context.Background(), time.Second))
		note("gave up")
	})
	assert.DeepEqual(t, log, []string{"fast at 1s", "fire at 2s", "woken at 2s", "slow at 3s", "all done at 3s", "gave up at 4s"})
}

// TestVirtualEnds though a task waits for a signal that nobody fires, and though signals that fired
// in time leave their timers behind.
func TestVirtualEnds(t *testing.T) {
	virtual := NewVirtual(origin)
	reached := false
	virtual.Run(func() {
		signal := virtual.NewSignal()
		virtual.Go(signal.Fire)
		assert.Check(t, signal.Wait(context.Background(), Forever))
		reached = true
	})
	assert.Assert(t, reached)
	assert.Equal(t, virtual.Now(), origin, "a cancelled timer does not move the time")
}

// TestRealSignal wakes, passes late waiters, and gives up.
func TestRealSignal(t *testing.T) {
	signal := Real{}.NewSignal()
	go signal.Fire()
	assert.Assert(t, signal.Wait(t.Context(), time.Minute))
	assert.Assert(t, signal.Wait(t.Context(), 0))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.Assert(t, !Real{}.NewSignal().Wait(ctx, time.Minute))
}
