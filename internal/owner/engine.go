// Package owner keeps the exact load of the engines that this node owns: the calls that run, the queue, and a circuit
// breaker. Placement reserves a slot at the owner before a call is sent to an engine. Two nodes that own an engine at the same
// time may overload it briefly, but do no other harm.
package owner

import (
	"maps"
	"time"

	"github.com/mountstile/mountstile/internal/clock"
)

// Load is an engine's state at its owner, which every ReserveResponse carries.
type Load struct {
	Engine  string `json:"e"`
	Running int    `json:"r"`
	Waiting int    `json:"w"`
	Slots   int    `json:"s"`
	// WaitMillis is the expected queue time of a new call.
	WaitMillis int64 `json:"t,omitempty"`
	// StepMicros is the average time per token; 0 if no call has reported one within stepTTL.
	StepMicros int64 `json:"p,omitempty"`
	// BreakerOpen is set while the circuit breaker rejects calls.
	BreakerOpen bool `json:"o,omitempty"`
	// Draining engines get no new calls.
	Draining bool `json:"d,omitempty"`
}

const (
	// breakerFailures is the number of consecutive failures that opens the breaker.
	breakerFailures = 3
	breakerMinOpen  = time.Second
	breakerMaxOpen  = 30 * time.Second
	// slowStartDivisor sets the capacity of a recovered engine to slots/slowStartDivisor; each success adds a slot.
	slowStartDivisor = 4
	// serviceTimeSmoothing is the weight of the newest sample in the moving average of service times.
	serviceTimeSmoothing = 0.1
	// stepTTL is how long a step time is reported after the latest sample. An engine that is avoided as slow gives no samples, and
	// is tried again afterwards.
	stepTTL = 10 * time.Second
	// stepSmoothing is the weight of the newest sample in the moving average of step times.
	stepSmoothing = 0.3
	// agingPerSecond is added to the rank of a queued call each second, so that no call starves.
	agingPerSecond = 1.0
	// cancellationTTL is how long a cancellation that arrived before its request is kept.
	cancellationTTL = 30 * time.Second
)

// waiter is a queued call.
type waiter struct {
	request  ReserveRequest
	queuedAt time.Time
	// granted is fired when the call gets a slot or is cancelled; hasSlot is set only if it gets a slot.
	granted clock.Signal
	hasSlot bool
}

type reservation struct {
	request   ReserveRequest
	startedAt time.Time
	expires   time.Time
}

// engineState holds the running calls, the queue and the breaker of one engine. The mutex of Queues guards it.
type engineState struct {
	name           string
	slots          int
	draining       bool
	running        map[string]reservation
	queue          []*waiter
	failures       int
	openUntil      time.Time
	openDuration   time.Duration
	slowStartLimit int
	serviceTime    time.Duration
	// stepMicros is the moving average of the calls' step times; stepAt is the time of the latest sample.
	stepMicros float64
	stepAt     time.Time
	// cancelled holds the times of cancellations whose requests have not arrived, by ticket.
	cancelled map[uint64]time.Time
}

func newEngineState(name string) *engineState {
	return &engineState{name: name, running: make(map[string]reservation), cancelled: make(map[uint64]time.Time)}
}

func (e *engineState) load(now time.Time) Load {
	load := Load{
		Engine:      e.name,
		Running:     len(e.running),
		Waiting:     len(e.queue),
		Slots:       e.slots,
		BreakerOpen: now.Before(e.openUntil),
		Draining:    e.draining,
	}
	if now.Sub(e.stepAt) < stepTTL {
		load.StepMicros = int64(e.stepMicros)
	}
	if len(e.queue) > 0 || len(e.running) >= e.capacity(now) {
		load.WaitMillis = e.expectedWait(now).Milliseconds()
	}
	return load
}

// capacity returns how many calls may run now.
func (e *engineState) capacity(now time.Time) int {
	switch {
	case e.draining || now.Before(e.openUntil):
		return 0
	case e.failures >= breakerFailures:
		// The breaker is half open: one trial call decides whether it closes.
		return 1
	case e.slowStartLimit > 0:
		return min(e.slowStartLimit, e.slots)
	default:
		return e.slots
	}
}

// grant gives a slot to a request, whether or not there is capacity.
func (e *engineState) grant(request ReserveRequest, now time.Time) {
	e.running[request.CallID] = reservation{request: request, startedAt: now, expires: now.Add(request.expiry())}
}

// finish ends a reservation and records its outcome. It reports whether the breaker has opened, and whether the reservation
// existed.
func (e *engineState) finish(request ReleaseRequest, now time.Time) (opened, known bool) {
	held, known := e.running[request.CallID]
	if !known {
		return false, false
	}
	delete(e.running, request.CallID)
	if request.Unused {
		return false, true
	}
	e.recordStep(request.StepMicros, now)
	if request.Failed {
		return e.recordFailure(now), true
	}
	e.recordSuccess(now.Sub(held.startedAt))
	return false, true
}

// recordStep adds a sample to the average time per token. After stepTTL without samples the average starts again from the new
// sample.
func (e *engineState) recordStep(micros int64, now time.Time) {
	if micros <= 0 {
		return
	}
	if now.Sub(e.stepAt) >= stepTTL {
		e.stepMicros = float64(micros)
	}
	e.stepMicros += stepSmoothing * (float64(micros) - e.stepMicros)
	e.stepAt = now
}

// recordFailure reports whether the failure has opened the breaker.
func (e *engineState) recordFailure(now time.Time) bool {
	e.failures++
	if e.failures < breakerFailures {
		return false
	}
	e.openDuration = min(max(breakerMinOpen, e.openDuration*2), breakerMaxOpen)
	e.openUntil = now.Add(e.openDuration)
	e.slowStartLimit = max(1, e.slots/slowStartDivisor)
	return true
}

func (e *engineState) recordSuccess(took time.Duration) {
	e.failures, e.openDuration = 0, 0
	if e.slowStartLimit > 0 {
		e.slowStartLimit++
		if e.slowStartLimit >= e.slots {
			e.slowStartLimit = 0
		}
	}
	if e.serviceTime == 0 {
		e.serviceTime = took
		return
	}
	e.serviceTime += time.Duration(serviceTimeSmoothing * float64(took-e.serviceTime))
}

// expectedWait estimates the queue time of a new call: the time until the breaker admits calls, plus the time that the calls
// ahead in the queue take.
func (e *engineState) expectedWait(now time.Time) time.Duration {
	if e.slots == 0 {
		return 0
	}
	breakerWait := max(0, e.openUntil.Sub(now))
	return breakerWait + e.serviceTime*time.Duration(len(e.queue)+1)/time.Duration(e.slots)
}

// next removes and returns the call to run next: the call with the highest rank after aging, among those of the tenant with
// the smallest weighted share of the engine.
func (e *engineState) next(now time.Time) *waiter {
	shares := e.shares()
	best := -1
	for position := range e.queue {
		if best < 0 || e.precedes(e.queue[position], e.queue[best], shares, now) {
			best = position
		}
	}
	if best < 0 {
		return nil
	}
	chosen := e.queue[best]
	e.queue = append(e.queue[:best], e.queue[best+1:]...)
	return chosen
}

// shares returns each tenant's running calls divided by its weight.
func (e *engineState) shares() map[string]float64 {
	shares := make(map[string]float64)
	for _, held := range e.running {
		shares[held.request.Tenant] += 1 / max(held.request.Weight, 0.001)
	}
	return shares
}

func (e *engineState) precedes(a, b *waiter, shares map[string]float64, now time.Time) bool {
	if shareA, shareB := shares[a.request.Tenant], shares[b.request.Tenant]; shareA != shareB {
		return shareA < shareB
	}
	return a.rank(now) > b.rank(now)
}

func (w *waiter) rank(now time.Time) float64 {
	return w.request.Rank + agingPerSecond*now.Sub(w.queuedAt).Seconds()
}

// cancel removes a request from the queue or frees its slot. A cancellation may overtake its request, which is then refused
// when it arrives.
func (e *engineState) cancel(ticket uint64, now time.Time) {
	for _, queued := range e.queue {
		if queued.request.Ticket == ticket {
			e.remove(queued)
			queued.granted.Fire()
			return
		}
	}
	for callID, held := range e.running {
		if held.request.Ticket == ticket {
			delete(e.running, callID)
			return
		}
	}
	e.cancelled[ticket] = now
}

// accept returns false if the request was cancelled before it arrived, and removes the cancellation.
func (e *engineState) accept(ticket uint64) bool {
	_, found := e.cancelled[ticket]
	delete(e.cancelled, ticket)
	return !found
}

// dropCancellations removes expired cancellations. Their requests had ended before the cancellations arrived, or never arrive.
func (e *engineState) dropCancellations(now time.Time) {
	maps.DeleteFunc(e.cancelled, func(_ uint64, at time.Time) bool { return now.Sub(at) > cancellationTTL })
}

func (e *engineState) remove(target *waiter) {
	for position, queued := range e.queue {
		if queued == target {
			e.queue = append(e.queue[:position], e.queue[position+1:]...)
			return
		}
	}
}
