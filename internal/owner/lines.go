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

// LinesOptions configure Lines.
type LinesOptions struct {
	Clock clock.Clock
	// Find returns an engine as configured now.
	Find func(name string) (resource.Engine, bool)
	// Gone reports whether a gateway is known to be lost.
	Gone   func(gateway string) bool
	Logger *events.Logger
}

// Lines keeps the engines that this node was asked about, and the calls that wait for them. It is
// safe for concurrent use.
type Lines struct {
	options LinesOptions

	mutex   sync.Mutex
	engines map[string]*engineState
}

// NewLines returns Lines without engines; each appears with the first reservation.
func NewLines(options LinesOptions) *Lines {
	return &Lines{options: options, engines: make(map[string]*engineState)}
}

// Reconfigure takes over slots and draining; they hold with the next reservation.
func (l *Lines) Reconfigure() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.options.Clock.Now()
	for name, state := range l.engines {
		engine, exists := l.options.Find(name)
		state.slots, state.draining = engine.Slots, engine.Draining || !exists
		l.serve(state, now)
	}
}

func (l *Lines) state(name string) (*engineState, error) {
	if known := l.engines[name]; known != nil {
		return known, nil
	}
	engine, exists := l.options.Find(name)
	if !exists {
		return nil, apierr.New(apierr.NotFound, apierr.NotRun, "no pool has an engine %q", name)
	}
	created := newEngineState(name)
	created.slots, created.draining = engine.Slots, engine.Draining
	l.engines[name] = created
	return created, nil
}

// Reserve grants a place, or puts the call in line for up to WaitMillis.
func (l *Lines) Reserve(ctx context.Context, request ReserveRequest) (ReserveResponse, error) {
	item, response, err := l.enter(request)
	if err != nil || item == nil {
		return response, err
	}
	item.granted.Wait(ctx, time.Duration(request.WaitMillis)*time.Millisecond)
	response = l.leave(item, ctx.Err() != nil)
	response.Queued = true
	return response, nil
}

// enter grants at once, refuses, or returns the place in line.
func (l *Lines) enter(request ReserveRequest) (*waiting, ReserveResponse, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	state, err := l.state(request.Engine)
	if err != nil {
		return nil, ReserveResponse{}, err
	}
	now := l.options.Clock.Now()
	if !state.arrives(request.Ticket) {
		return nil, l.response(false), nil
	}
	if len(state.line) == 0 && len(state.running) < state.capacity(now) {
		state.grant(request, now)
		return nil, l.response(true), nil
	}
	wait := time.Duration(request.WaitMillis) * time.Millisecond
	expected := state.expectedWait(now)
	if wait == 0 || state.draining || expected > wait {
		refusal := l.response(false)
		refusal.Overloaded = expected > wait && wait > 0
		refusal.RetryAfter = max(expected-wait, minRetryAfter).Milliseconds()
		return nil, refusal, nil
	}
	item := &waiting{request: request, since: now, granted: l.options.Clock.NewSignal()}
	state.line = append(state.line, item)
	return item, ReserveResponse{}, nil
}

// leave ends the wait. A place that was granted to a call that has gone goes to the next.
func (l *Lines) leave(item *waiting, abandoned bool) ReserveResponse {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	state := l.engines[item.request.Engine]
	granted := item.finished
	if !granted {
		state.remove(item)
		refusal := l.response(false)
		refusal.RetryAfter = max(state.expectedWait(l.options.Clock.Now()), minRetryAfter).Milliseconds()
		refusal.Overloaded = true
		return refusal
	}
	if abandoned {
		delete(state.running, item.request.CallID)
		l.serve(state, l.options.Clock.Now())
	}
	return l.response(!abandoned)
}

func (l *Lines) response(granted bool) ReserveResponse {
	return ReserveResponse{Granted: granted, Loads: l.loads()}
}

func (l *Lines) loads() []Load {
	now := l.options.Clock.Now()
	loads := make([]Load, 0, len(l.engines))
	for _, state := range l.engines {
		loads = append(loads, state.load(now))
	}
	return loads
}

// Loads returns the state of all engines that this node was asked about.
func (l *Lines) Loads() []Load {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.loads()
}

// Release gives a place back and serves the line.
func (l *Lines) Release(request ReleaseRequest) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	state := l.engines[request.Engine]
	if state == nil {
		return
	}
	now := l.options.Clock.Now()
	if request.Ticket != 0 {
		state.withdraw(request.Ticket, now)
		l.serve(state, now)
		return
	}
	wasFailing := state.failures >= breakerFailures
	opened, known := state.finish(request, now)
	if !known {
		return
	}
	if opened {
		l.options.Logger.Emit(events.EngineBreakerOpen, events.F("engine", state.name), events.F("seconds", state.openFor.Seconds()))
	} else if wasFailing && state.failures == 0 {
		l.options.Logger.Emit(events.EngineBreakerClosed, events.F("engine", state.name))
	}
	l.serve(state, now)
}

// serve grants free places to the line.
func (l *Lines) serve(state *engineState, now time.Time) {
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
func (l *Lines) Sweep() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.options.Clock.Now()
	// In the order of their names, so that an experiment is the same each time.
	for _, name := range slices.Sorted(maps.Keys(l.engines)) {
		state := l.engines[name]
		for callID, held := range state.running {
			if now.After(held.expires) || l.options.Gone(held.request.Gateway) {
				delete(state.running, callID)
			}
		}
		l.serve(state, now)
		state.forget(now)
		if len(state.running) == 0 && len(state.line) == 0 && state.failures == 0 && state.draining {
			delete(l.engines, name)
		}
	}
}
