package owner

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/clock"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/resource"
)

// QueuesOptions configure Queues.
type QueuesOptions struct {
	Clock clock.Clock
	// Find returns an engine as configured now.
	FindEngine func(name string) (resource.Engine, bool)
	// Gone reports whether a gateway is known to be lost.
	GatewayLost func(gateway string) bool
	Logger      *events.Logger
}

// Queues keeps the engines that this node was asked about, and the calls that wait for them. It is
// safe for concurrent use.
type Queues struct {
	options QueuesOptions

	mutex   sync.Mutex
	engines map[string]*engineState
}

// NewQueues returns Queues without engines; each appears with the first reservation.
func NewQueues(options QueuesOptions) *Queues {
	return &Queues{options: options, engines: make(map[string]*engineState)}
}

// Reconfigure takes over slots and draining; they hold with the next reservation.
func (q *Queues) Reconfigure() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	now := q.options.Clock.Now()
	for name, state := range q.engines {
		engine, exists := q.options.FindEngine(name)
		state.slots, state.draining = engine.Slots, engine.Draining || !exists
		q.serve(state, now)
	}
}

func (q *Queues) state(name string) (*engineState, error) {
	if known := q.engines[name]; known != nil {
		return known, nil
	}
	engine, exists := q.options.FindEngine(name)
	if !exists {
		return nil, apierr.New(apierr.NotFound, apierr.NotRun, "no pool has an engine %q", name)
	}
	created := newEngineState(name)
	created.slots, created.draining = engine.Slots, engine.Draining
	q.engines[name] = created
	return created, nil
}

// Reserve grants a place, or puts the call in line for up to WaitMillis.
func (q *Queues) Reserve(ctx context.Context, request ReserveRequest) (ReserveResponse, error) {
	item, response, err := q.enter(request)
	if err != nil || item == nil {
		return response, err
	}
	item.granted.Wait(ctx, time.Duration(request.WaitMillis)*time.Millisecond)
	response = q.leave(item, ctx.Err() != nil)
	response.Queued = true
	return response, nil
}

// enter grants at once, refuses, or returns the place in line.
func (q *Queues) enter(request ReserveRequest) (*waiting, ReserveResponse, error) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	state, err := q.state(request.Engine)
	if err != nil {
		return nil, ReserveResponse{}, err
	}
	now := q.options.Clock.Now()
	if !state.arrives(request.Ticket) {
		return nil, q.response(false), nil
	}
	if len(state.line) == 0 && len(state.running) < state.capacity(now) {
		state.grant(request, now)
		return nil, q.response(true), nil
	}
	wait := time.Duration(request.WaitMillis) * time.Millisecond
	expected := state.expectedWait(now)
	if wait == 0 || state.draining || expected > wait {
		refusal := q.response(false)
		refusal.Overloaded = expected > wait && wait > 0
		refusal.RetryAfter = max(expected-wait, minRetryAfter).Milliseconds()
		return nil, refusal, nil
	}
	item := &waiting{request: request, since: now, granted: q.options.Clock.NewSignal()}
	state.line = append(state.line, item)
	return item, ReserveResponse{}, nil
}

// leave ends the wait. A place that was granted to a call that has gone goes to the next.
func (q *Queues) leave(item *waiting, abandoned bool) ReserveResponse {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	state := q.engines[item.request.Engine]
	granted := item.finished
	if !granted {
		state.remove(item)
		refusal := q.response(false)
		refusal.RetryAfter = max(state.expectedWait(q.options.Clock.Now()), minRetryAfter).Milliseconds()
		refusal.Overloaded = true
		return refusal
	}
	if abandoned {
		delete(state.running, item.request.CallID)
		q.serve(state, q.options.Clock.Now())
	}
	return q.response(!abandoned)
}

func (q *Queues) response(granted bool) ReserveResponse {
	return ReserveResponse{Granted: granted, Loads: q.loads()}
}

func (q *Queues) loads() []Load {
	now := q.options.Clock.Now()
	loads := make([]Load, 0, len(q.engines))
	for _, state := range q.engines {
		loads = append(loads, state.load(now))
	}
	return loads
}

// Loads returns the state of all engines that this node was asked about.
func (q *Queues) Loads() []Load {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.loads()
}

// Release gives a place back and serves the line.
func (q *Queues) Release(request ReleaseRequest) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	state := q.engines[request.Engine]
	if state == nil {
		return
	}
	now := q.options.Clock.Now()
	if request.Ticket != 0 {
		state.withdraw(request.Ticket, now)
		q.serve(state, now)
		return
	}
	wasFailing := state.failures >= breakerFailures
	opened, known := state.finish(request, now)
	if !known {
		return
	}
	if opened {
		q.options.Logger.Emit(events.EngineBreakerOpen, events.F("engine", state.name), events.F("seconds", state.openFor.Seconds()))
	} else if wasFailing && state.failures == 0 {
		q.options.Logger.Emit(events.EngineBreakerClosed, events.F("engine", state.name))
	}
	q.serve(state, now)
}

// serve grants free places to the line.
func (q *Queues) serve(state *engineState, now time.Time) {
	for len(state.running) < state.capacity(now) {
		item := state.next(now)
		if item == nil {
			return
		}
		state.grant(item.request, now)
		item.finished = true
		item.granted.Fire()
	}
}

// Sweep frees the places of gateways that died and of calls past their time.
func (q *Queues) Sweep() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	now := q.options.Clock.Now()
	// In the order of their names, so that an experiment is the same each time.
	for _, name := range slices.Sorted(maps.Keys(q.engines)) {
		state := q.engines[name]
		for callID, held := range state.running {
			if now.After(held.expires) || q.options.GatewayLost(held.request.Gateway) {
				delete(state.running, callID)
			}
		}
		q.serve(state, now)
		state.forget(now)
		if len(state.running) == 0 && len(state.line) == 0 && state.failures == 0 && state.draining {
			delete(q.engines, name)
		}
	}
}
