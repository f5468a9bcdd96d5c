package clock

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var origin = time.Unix(1000, 0)

// TestVirtualOrder checks that tasks run in the order of their timers and signals, at the expected times.
func TestVirtualOrder(t *testing.T) {
	virtual := NewVirtual(origin)
	var log []string
	record := func(event string) { log = append(log, fmt.Sprintf("%s at %s", event, virtual.Now().Sub(origin))) }
	virtual.Run(func() {
		signal := virtual.NewSignal()
		virtual.Go(func() {
			virtual.Sleep(2 * time.Second)
			record("fire")
			signal.Fire()
			signal.Fire()
		})
		virtual.Parallel(
			func() { virtual.Sleep(3 * time.Second); record("slow") },
			func() { virtual.Sleep(time.Second); record("fast") },
			func() { assert.Check(t, signal.Wait(context.Background(), time.Minute)); record("woken") },
		)
		record("all done")
		assert.Check(t, signal.Wait(context.Background(), time.Second), "a wait after Fire must return true")
		assert.Check(t, !virtual.NewSignal().Wait(context.Background(), time.Second))
		record("gave up")
	})
	assert.DeepEqual(t, log, []string{"fast at 1s", "fire at 2s", "woken at 2s", "slow at 3s", "all done at 3s", "gave up at 4s"})
}

// TestCancelledTimerDoesNotAdvanceTime checks that the cancelled timer of a signal that fired does not advance the time.
func TestCancelledTimerDoesNotAdvanceTime(t *testing.T) {
	virtual := NewVirtual(origin)
	reached := false
	virtual.Run(func() {
		signal := virtual.NewSignal()
		virtual.Go(signal.Fire)
		assert.Check(t, signal.Wait(context.Background(), Forever))
		reached = true
	})
	assert.Assert(t, reached)
	assert.Equal(t, virtual.Now(), origin, "a cancelled timer must not advance the time")
}

// TestRealSignal checks that Wait returns true after Fire, before and after waiting, and false once the context
// is cancelled.
func TestRealSignal(t *testing.T) {
	signal := Real{}.NewSignal()
	go signal.Fire()
	assert.Assert(t, signal.Wait(t.Context(), time.Minute))
	assert.Assert(t, signal.Wait(t.Context(), 0))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.Assert(t, !Real{}.NewSignal().Wait(ctx, time.Minute))
}
