package owner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/clock"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/resource"
)

var start = time.Unix(1000, 0)

func newEngine(slots int) *engineState {
	state := newEngineState("e")
	state.slots = slots
	return state
}

func (e *engineState) enqueue(callID, tenant string, weight, rank float64, queuedAt time.Time) {
	e.queue = append(e.queue, &waiter{request: ReserveRequest{CallID: callID, Tenant: tenant, Weight: weight, Rank: rank}, queuedAt: queuedAt, granted: clock.Real{}.NewSignal()})
}

func TestQueueOrder(t *testing.T) {
	state := newEngine(1)
	state.enqueue("low", "t", 1, 0, start)
	state.enqueue("high", "t", 1, 5, start)
	assert.Equal(t, state.next(start).request.CallID, "high")
	state.enqueue("late", "t", 1, 5, start.Add(10*time.Second))
	assert.Equal(t, state.next(start.Add(10*time.Second)).request.CallID, "low", "aging outweighs the initial rank")
}

// TestQueueSharesByWeight checks that slots are shared by weight when two tenants have long queues.
func TestQueueSharesByWeight(t *testing.T) {
	state := newEngine(9)
	for range 20 {
		state.enqueue("greedy", "greedy", 1, 100, start)
		state.enqueue("heavy", "heavy", 2, 0, start)
	}
	counts := make(map[string]int)
	for number := range 9 {
		chosen := state.next(start)
		chosen.request.CallID = string(rune('a' + number))
		counts[chosen.request.Tenant]++
		state.grant(chosen.request, start)
	}
	assert.DeepEqual(t, counts, map[string]int{"greedy": 3, "heavy": 6})
}

// TestCancellationInAnyOrder checks that a request cancelled in the queue, after its grant, or before its arrival holds no slot,
// and that another request of the same call keeps its slot.
func TestCancellationInAnyOrder(t *testing.T) {
	queues := NewQueues(QueuesOptions{
		Clock:       clock.Real{},
		FindEngine:  func(name string) (resource.Engine, bool) { return resource.Engine{Name: name, Slots: 1}, true },
		GatewayLost: func(string) bool { return false },
		Logger:      events.Discard(),
	})
	reserve := func(call string, ticket uint64, wait time.Duration) chan bool {
		granted := make(chan bool, 1)
		waiting, response, err := queues.tryReserve(ReserveRequest{Engine: "e", CallID: call, Ticket: ticket, WaitMillis: wait.Milliseconds(), CallMillis: 1000})
		assert.NilError(t, err)
		if waiting == nil {
			granted <- response.Granted
			return granted
		}
		go func() {
			waiting.granted.Wait(t.Context(), wait)
			granted <- queues.endWait(waiting, false).Granted
		}()
		return granted
	}
	cancel := func(ticket uint64) { queues.Release(ReleaseRequest{Engine: "e", Ticket: ticket}) }
	assert.Assert(t, <-reserve("first", 1, 0))
	queued := reserve("second", 2, time.Hour)
	cancel(2)
	assert.Assert(t, !<-queued)
	cancel(3)
	assert.Assert(t, !<-reserve("third", 3, time.Hour), "the cancellation arrived before its request")
	next := reserve("fourth", 4, time.Hour)
	cancel(1)
	assert.Assert(t, <-next, "the slot of a cancelled request goes to the next")
	cancel(5)
	assert.Assert(t, !<-reserve("fourth", 5, 0))
	assert.Equal(t, queues.Loads()[0].Running, 1, "the call's other request keeps its slot")
}

// TestCallTakesOverItsSlot checks that a call that is placed again while its first reservation stands gets that slot, though the
// engine is full, and that the cancellation of the first reservation doesn't free it.
func TestCallTakesOverItsSlot(t *testing.T) {
	queues := NewQueues(QueuesOptions{
		Clock:       clock.Real{},
		FindEngine:  func(name string) (resource.Engine, bool) { return resource.Engine{Name: name, Slots: 2}, true },
		GatewayLost: func(string) bool { return false },
		Logger:      events.Discard(),
	})
	reserve := func(call string, ticket uint64) bool {
		response, err := queues.Reserve(t.Context(), ReserveRequest{Engine: "e", CallID: call, Ticket: ticket, CallMillis: 1000})
		assert.NilError(t, err)
		return response.Granted
	}
	assert.Assert(t, reserve("a", 1) && reserve("b", 2))
	assert.Assert(t, !reserve("c", 3), "the engine is full")
	assert.Assert(t, reserve("a", 4), "the call did not get its own slot")
	queues.Release(ReleaseRequest{Engine: "e", CallID: "a", Ticket: 1})
	assert.Assert(t, !reserve("c", 5), "the slot was freed by the cancellation of the first reservation")
	queues.Release(ReleaseRequest{Engine: "e", CallID: "a", Ticket: 4})
	assert.Assert(t, reserve("c", 6))
}

// TestIdleSharesAreUsed checks that a single tenant gets all slots, whatever its weight.
func TestIdleSharesAreUsed(t *testing.T) {
	state := newEngine(4)
	for range 6 {
		state.enqueue("x", "light", 0.1, 0, start)
	}
	for number := range 4 {
		chosen := state.next(start)
		chosen.request.CallID = string(rune('a' + number))
		state.grant(chosen.request, start)
	}
	assert.Equal(t, len(state.running), 4)
}

func TestBreakerOpensAndSlowStarts(t *testing.T) {
	state := newEngine(8)
	now := start
	fail := func() {
		state.grant(ReserveRequest{CallID: "c", CallMillis: 1000}, now)
		state.finish(ReleaseRequest{CallID: "c", Failed: true}, now)
	}
	for range breakerFailures {
		assert.Equal(t, state.capacity(now), 8)
		fail()
	}
	assert.Equal(t, state.capacity(now), 0)
	now = now.Add(breakerMinOpen)
	assert.Equal(t, state.capacity(now), 1, "one trial call")
	fail()
	assert.Equal(t, state.capacity(now.Add(breakerMinOpen)), 0, "the breaker stays open for longer the second time")
	now = now.Add(2 * breakerMinOpen)
	state.grant(ReserveRequest{CallID: "c", CallMillis: 1000}, now)
	state.finish(ReleaseRequest{CallID: "c"}, now)
	assert.Equal(t, state.capacity(now), 8/slowStartDivisor+1)
	for range 8 {
		state.grant(ReserveRequest{CallID: "c", CallMillis: 1000}, now)
		state.finish(ReleaseRequest{CallID: "c"}, now)
	}
	assert.Equal(t, state.capacity(now), 8)
}

func TestDrainingEngineHasNoCapacity(t *testing.T) {
	state := newEngine(4)
	state.draining = true
	assert.Equal(t, state.capacity(start), 0)
}

func TestExpectedWaitGrowsWithQueue(t *testing.T) {
	state := newEngine(2)
	state.recordSuccess(10 * time.Second)
	assert.Equal(t, state.expectedWait(start), 5*time.Second)
	state.enqueue("a", "t", 1, 0, start)
	assert.Equal(t, state.expectedWait(start), 10*time.Second)
}

// TestStepTimeAverageExpires checks that an engine without calls does not keep its step time.
func TestStepTimeAverageExpires(t *testing.T) {
	state := newEngine(1)
	finish := func(micros int64, now time.Time) {
		state.grant(ReserveRequest{CallID: "c"}, now)
		state.finish(ReleaseRequest{CallID: "c", StepMicros: micros}, now)
	}
	finish(10000, start)
	finish(20000, start)
	finish(0, start.Add(time.Second))
	assert.Equal(t, state.load(start.Add(time.Second)).StepMicros, int64(13000))
	assert.Equal(t, state.load(start.Add(stepTTL)).StepMicros, int64(0))
	finish(40000, start.Add(2*stepTTL))
	assert.Equal(t, state.load(start.Add(2*stepTTL)).StepMicros, int64(40000))
}

// TestOpenBreakerRefusesShortWaits checks that a call is refused at once if the breaker stays open for longer than it may wait,
// and is queued otherwise.
func TestOpenBreakerRefusesShortWaits(t *testing.T) {
	now := start
	queues := NewQueues(QueuesOptions{
		Clock:       clock.NewVirtual(now),
		FindEngine:  func(name string) (resource.Engine, bool) { return resource.Engine{Name: name, Slots: 1}, true },
		GatewayLost: func(string) bool { return false },
		Logger:      events.Discard(),
	})
	for _, id := range []string{"a", "b", "c"} {
		_, response, err := queues.tryReserve(ReserveRequest{Engine: "e", CallID: id})
		assert.NilError(t, err)
		assert.Assert(t, response.Granted)
		queues.Release(ReleaseRequest{Engine: "e", CallID: id, Failed: true})
	}
	waiting, response, err := queues.tryReserve(ReserveRequest{Engine: "e", CallID: "hasty", WaitMillis: 500})
	assert.NilError(t, err)
	assert.Assert(t, waiting == nil && !response.Granted)
	assert.Assert(t, response.Loads[0].BreakerOpen && response.Loads[0].WaitMillis == breakerMinOpen.Milliseconds())
	waiting, _, err = queues.tryReserve(ReserveRequest{Engine: "e", CallID: "patient", WaitMillis: 5000})
	assert.NilError(t, err)
	assert.Assert(t, waiting != nil)
}
