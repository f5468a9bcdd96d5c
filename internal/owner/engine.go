// Package owner keeps the exact load of the engines that this node owns: who runs there, who waits
// and in what order, and whether the engine works. Placement asks the owner before it sends; two
// owners at once may overload an engine for a moment, and nothing worse.
package owner

import (
	"maps"
	"time"

	"github.com/mountstile/mountstile/internal/clock"
)

// Load is an engine's state as its owner knows it; it travels with every answer.
type Load struct {
	Engine  string `json:"e"`
	Running int    `json:"r"`
	Waiting int    `json:"w"`
	Slots   int    `json:"s"`
	// WaitMillis is how long a call that comes now would stand in line.
	WaitMillis int64 `json:"t,omitempty"`
	// StepMicros is how long the engine takes from one token to the next; 0 if not known lately.
	StepMicros int64 `json:"p,omitempty"`
	// Open tells that the circuit breaker keeps work away.
	BreakerOpen bool `json:"o,omitempty"`
	// Draining engines get no new work.
	Draining bool `json:"d,omitempty"`
}

const (
	// breakerFailures in a row open the breaker.
	breakerFailures = 3
	breakerMinOpen  = time.Second
	breakerMaxOpen  = 30 * time.Second
	// slowStartFraction of the slots is open to a recovered engine at first; each success adds one.
	slowStartFraction = 4
	// serviceTimeWeight is the share of the newest sample in the average service time.
	serviceTimeWeight = 0.1
	// stepTime is how long a step time is believed: an engine that is avoided for being slow gets
	// calls again after it.
	stepTime = 10 * time.Second
	// stepWeight is the share of the newest step time in the average.
	stepWeight = 0.3
	// ageingPerSecond raises the rank of a waiting call, so that none starves.
	ageingPerSecond = 1.0
	// withdrawalKept is for how long a withdrawal waits for its request.
	withdrawalKept = 30 * time.Second
)

// waiting is a call in the line.
type waiting struct {
	request  ReserveRequest
	since    time.Time
	granted  clock.Signal
	finished bool
}

type reservation struct {
	request ReserveRequest
	since   time.Time
	expires time.Time
}

// engineState is one engine's line. Owner's mutex guards it.
type engineState struct {
	name        string
	slots       int
	draining    bool
	running     map[string]reservation
	line        []*waiting
	failures    int
	openUntil   time.Time
	openFor     time.Duration
	startLimit  int
	serviceTime time.Duration
	// stepMicros averages the calls' step times; stepAt is when the latest came.
	stepMicros float64
	stepAt     time.Time
	// withdrawn is when requests were withdrawn that are not here.
	withdrawn map[uint64]time.Time
}

func newEngineState(name string) *engineState {
	return &engineState{name: name, running: make(map[string]reservation), withdrawn: make(map[uint64]time.Time)}
}

func (e *engineState) load(now time.Time) Load {
	load := Load{
		Engine:      e.name,
		Running:     len(e.running),
		Waiting:     len(e.line),
		Slots:       e.slots,
		BreakerOpen: now.Before(e.openUntil),
		Draining:    e.draining,
	}
	if now.Sub(e.stepAt) < stepTime {
		load.StepMicros = int64(e.stepMicros)
	}
	if len(e.line) > 0 || len(e.running) >= e.capacity(now) {
		load.WaitMillis = e.expectedWait(now).Milliseconds()
	}
	return load
}

// capacity is how many calls may run now.
func (e *engineState) capacity(now time.Time) int {
	switch {
	case e.draining || now.Before(e.openUntil):
		return 0
	case e.failures >= breakerFailures:
		// The breaker is half open: one call finds out.
		return 1
	case e.startLimit > 0:
		return min(e.startLimit, e.slots)
	default:
		return e.slots
	}
}

func (e *engineState) grant(request ReserveRequest, now time.Time) {
	e.running[request.CallID] = reservation{request: request, since: now, expires: now.Add(request.expiry())}
}

// finish ends a reservation and learns from it.
func (e *engineState) finish(request ReleaseRequest, now time.Time) (changed, known bool) {
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
	e.recordSuccess(now.Sub(held.since))
	return false, true
}

// recordStep learns how fast the engine generates.
func (e *engineState) recordStep(micros int64, now time.Time) {
	if micros <= 0 {
		return
	}
	if now.Sub(e.stepAt) >= stepTime {
		e.stepMicros = float64(micros)
	}
	e.stepMicros += stepWeight * (float64(micros) - e.stepMicros)
	e.stepAt = now
}

// recordFailure reports whether the breaker has just opened.
func (e *engineState) recordFailure(now time.Time) bool {
	e.failures++
	if e.failures < breakerFailures {
		return false
	}
	e.openFor = min(max(breakerMinOpen, e.openFor*2), breakerMaxOpen)
	e.openUntil = now.Add(e.openFor)
	e.startLimit = max(1, e.slots/slowStartFraction)
	return true
}

func (e *engineState) recordSuccess(took time.Duration) {
	e.failures, e.openFor = 0, 0
	if e.startLimit > 0 {
		e.startLimit++
		if e.startLimit >= e.slots {
			e.startLimit = 0
		}
	}
	if e.serviceTime == 0 {
		e.serviceTime = took
		return
	}
	e.serviceTime += time.Duration(serviceTimeWeight * float64(took-e.serviceTime))
}

// expectedWait estimates how long a call at the end of the line would wait: until the breaker lets
// calls through, and then for those before it.
func (e *engineState) expectedWait(now time.Time) time.Duration {
	if e.slots == 0 {
		return 0
	}
	closed := max(0, e.openUntil.Sub(now))
	return closed + e.serviceTime*time.Duration(len(e.line)+1)/time.Duration(e.slots)
}

// next takes the waiting call that goes first: of the tenant that has least of the engine for its
// weight, the one with the highest rank, raised by its age.
func (e *engineState) next(now time.Time) *waiting {
	shares := e.shares()
	best := -1
	for position := range e.line {
		if best < 0 || e.goesBefore(e.line[position], e.line[best], shares, now) {
			best = position
		}
	}
	if best < 0 {
		return nil
	}
	chosen := e.line[best]
	e.line = append(e.line[:best], e.line[best+1:]...)
	return chosen
}

// shares is what each tenant runs here, divided by its weight.
func (e *engineState) shares() map[string]float64 {
	shares := make(map[string]float64)
	for _, held := range e.running {
		shares[held.request.Tenant] += 1 / max(held.request.Weight, 0.001)
	}
	return shares
}

func (e *engineState) goesBefore(a, b *waiting, shares map[string]float64, now time.Time) bool {
	if shareA, shareB := shares[a.request.Tenant], shares[b.request.Tenant]; shareA != shareB {
		return shareA < shareB
	}
	return a.rank(now) > b.rank(now)
}

func (w *waiting) rank(now time.Time) float64 {
	return w.request.Rank + ageingPerSecond*now.Sub(w.since).Seconds()
}

// withdraw takes back a request for a place. One that did not come yet is refused when it does: a
// withdrawal may overtake it.
func (e *engineState) withdraw(ticket uint64, now time.Time) {
	for _, item := range e.line {
		if item.request.Ticket == ticket {
			e.remove(item)
			item.granted.Fire()
			return
		}
	}
	for callID, held := range e.running {
		if held.request.Ticket == ticket {
			delete(e.running, callID)
			return
		}
	}
	e.withdrawn[ticket] = now
}

// arrives reports whether a request still stands, or was withdrawn before it came.
func (e *engineState) arrives(ticket uint64) bool {
	_, gone := e.withdrawn[ticket]
	delete(e.withdrawn, ticket)
	return !gone
}

// forget drops withdrawals whose requests came and went before them.
func (e *engineState) forget(now time.Time) {
	maps.DeleteFunc(e.withdrawn, func(_ uint64, at time.Time) bool { return now.Sub(at) > withdrawalKept })
}

func (e *engineState) remove(target *waiting) {
	for position, item := range e.line {
		if item == target {
			e.line = append(e.line[:position], e.line[position+1:]...)
			return
		}
	}
}
