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

// QueuesOptions configures Queues.
type QueuesOptions struct {
	Clock clock.Clock
	// FindEngine returns an engine of the current configuration.
	FindEngine func(name string) (resource.Engine, bool)
	// GatewayLost reports whether a gateway is known to have failed or left, so that its reservations can be freed.
	GatewayLost func(gateway string) bool
	Logger      *events.Logger
}

// Queues holds the running and queued calls of the engines for which this node has received reservation requests. It is safe for
// concurrent use.
type Queues struct {
	options QueuesOptions

	mutex   sync.Mutex
	engines map[string]*engineState
}

// NewQueues returns Queues without engines; an engine is added by its first reservation request.
func NewQueues(options QueuesOptions) *Queues {
	return &Queues{options: options, engines: make(map[string]*engineState)}
}

// Reconfigure updates the engines' slots and draining from the configuration. An engine that is no longer configured drains.
func (q *Queues) Reconfigure() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	now := q.options.Clock.Now()
	for name, state := range q.engines {
		engine, exists := q.options.FindEngine(name)
		state.slots, state.draining = engine.Slots, engine.Draining || !exists
		q.grantQueued(state, now)
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

// Reserve grants a slot, or queues the call for up to WaitMillis.
func (q *Queues) Reserve(ctx context.Context, request ReserveRequest) (ReserveResponse, error) {
	queued, response, err := q.tryReserve(request)
	if err != nil || queued == nil {
		return response, err
	}
	queued.granted.Wait(ctx, time.Duration(request.WaitMillis)*time.Millisecond)
	response = q.endWait(queued, ctx.Err() != nil)
	response.Queued = true
	return response, nil
}

// tryReserve grants or refuses a request at once, or queues it and returns the waiter.
func (q *Queues) tryReserve(request ReserveRequest) (*waiter, ReserveResponse, error) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	state, err := q.state(request.Engine)
	if err != nil {
		return nil, ReserveResponse{}, err
	}
	now := q.options.Clock.Now()
	if !state.accept(request.Ticket) {
		return nil, q.response(false), nil
	}
	// A call whose dispatch got lost is placed again while its first reservation still stands: it takes over that slot.
	capacity := state.capacity(now)
	_, holdsSlot := state.running[request.CallID]
	if holdsSlot && capacity > 0 || len(state.queue) == 0 && len(state.running) < capacity {
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
	queued := &waiter{request: request, queuedAt: now, granted: q.options.Clock.NewSignal()}
	state.queue = append(state.queue, queued)
	return queued, ReserveResponse{}, nil
}

// endWait removes the waiter if it has no slot yet. A slot granted to a cancelled request goes to the next call.
func (q *Queues) endWait(queued *waiter, cancelled bool) ReserveResponse {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	state := q.engines[queued.request.Engine]
	granted := queued.hasSlot
	if !granted {
		state.remove(queued)
		refusal := q.response(false)
		refusal.RetryAfter = max(state.expectedWait(q.options.Clock.Now()), minRetryAfter).Milliseconds()
		refusal.Overloaded = true
		return refusal
	}
	if cancelled {
		delete(state.running, queued.request.CallID)
		q.grantQueued(state, q.options.Clock.Now())
	}
	return q.response(!cancelled)
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

// Loads returns the loads of all engines in Queues.
func (q *Queues) Loads() []Load {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.loads()
}

// Release frees a slot or cancels a request, and grants free slots to queued calls.
func (q *Queues) Release(request ReleaseRequest) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	state := q.engines[request.Engine]
	if state == nil {
		return
	}
	now := q.options.Clock.Now()
	if request.Ticket != 0 {
		state.cancel(request.Ticket, now)
		q.grantQueued(state, now)
		return
	}
	wasFailing := state.failures >= breakerFailures
	opened, known := state.finish(request, now)
	if !known {
		return
	}
	if opened {
		q.options.Logger.Emit(events.EngineBreakerOpen, events.F("engine", state.name), events.F("seconds", state.openDuration.Seconds()))
	} else if wasFailing && state.failures == 0 {
		q.options.Logger.Emit(events.EngineBreakerClosed, events.F("engine", state.name))
	}
	q.grantQueued(state, now)
}

// grantQueued grants free slots to queued calls.
func (q *Queues) grantQueued(state *engineState, now time.Time) {
	for len(state.running) < state.capacity(now) {
		queued := state.next(now)
		if queued == nil {
			return
		}
		state.grant(queued.request, now)
		queued.hasSlot = true
		queued.granted.Fire()
	}
}

// Sweep frees the slots of lost gateways and of expired reservations.
func (q *Queues) Sweep() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	now := q.options.Clock.Now()
	// Sorted, so that simulations are deterministic.
	for _, name := range slices.Sorted(maps.Keys(q.engines)) {
		state := q.engines[name]
		for callID, held := range state.running {
			if now.After(held.expires) || q.options.GatewayLost(held.request.Gateway) {
				delete(state.running, callID)
			}
		}
		q.grantQueued(state, now)
		state.dropCancellations(now)
		if len(state.running) == 0 && len(state.queue) == 0 && state.failures == 0 && state.draining {
			delete(q.engines, name)
		}
	}
}
