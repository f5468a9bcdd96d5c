package owner

import (
	"context"
	"sync"
	"time"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/configuration"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/membership"
	"github.com/mountstile/mountstile/internal/resource"
	"github.com/mountstile/mountstile/internal/transport"
)

const (
	reserveKind = "reserve"
	releaseKind = "release"

	sweepInterval = 500 * time.Millisecond
	// reservationGrace is how long a reservation outlives its call's deadline.
	reservationGrace = 5 * time.Second
	minRetryAfter    = 100 * time.Millisecond
)

// ReserveRequest asks for a place on an engine.
type ReserveRequest struct {
	Engine  string  `json:"engine"`
	CallID  string  `json:"call"`
	Tenant  string  `json:"tenant"`
	Weight  float64 `json:"weight"`
	Gateway string  `json:"gateway"`
	Rank    float64 `json:"rank"`
	// WaitMillis is how long the call may stand in line; 0 means that it may not.
	WaitMillis int64 `json:"wait_ms,omitempty"`
	// CallMillis is how long the call may run.
	CallMillis int64 `json:"call_ms"`
}

func (r ReserveRequest) expiry() time.Duration {
	return time.Duration(r.CallMillis)*time.Millisecond + reservationGrace
}

// ReserveResponse tells whether the place was granted, and the load of all engines of the owner.
type ReserveResponse struct {
	Granted bool `json:"granted"`
	// Overloaded means that the line is so long that waiting would be in vain.
	Overloaded bool   `json:"overloaded,omitempty"`
	RetryAfter int64  `json:"retry_after_ms,omitempty"`
	Loads      []Load `json:"loads"`
}

// ReleaseRequest gives a place back.
type ReleaseRequest struct {
	Engine string `json:"engine"`
	CallID string `json:"call"`
	// Failed tells that the engine did not do its work.
	Failed bool `json:"failed,omitempty"`
}

// Owner holds the lines of the engines that other nodes ask this one about.
type Owner struct {
	membership *membership.Manager
	config     *configuration.Manager
	logger     *events.Logger

	mutex   sync.Mutex
	engines map[string]*engineState
}

// New returns an Owner and registers its messages.
func New(network *transport.Transport, members *membership.Manager, config *configuration.Manager, logger *events.Logger) *Owner {
	owner := &Owner{membership: members, config: config, logger: logger, engines: make(map[string]*engineState)}
	transport.Handle(network, reserveKind, func(ctx context.Context, _ transport.Peer, request ReserveRequest) (ReserveResponse, error) {
		return owner.Reserve(ctx, request)
	})
	transport.HandleOneWay(network, releaseKind, func(_ transport.Peer, request ReleaseRequest) { owner.Release(request) })
	config.Subscribe(owner.configure)
	return owner
}

// configure takes over slots and draining; it is in force with the next reservation.
func (o *Owner) configure(snapshot *configuration.Snapshot) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	configured := make(map[string]resource.Engine)
	for _, item := range snapshot.Set.List() {
		if item.Pool == nil {
			continue
		}
		for _, engine := range item.Pool.Engines {
			configured[engine.Name] = engine
		}
	}
	for name, state := range o.engines {
		engine, exists := configured[name]
		state.slots, state.draining = engine.Slots, engine.Draining || !exists
		o.serve(state, time.Now())
	}
}

func (o *Owner) state(name string) (*engineState, error) {
	if known := o.engines[name]; known != nil {
		return known, nil
	}
	for _, item := range o.config.Current().Set.List() {
		if item.Pool == nil {
			continue
		}
		for _, engine := range item.Pool.Engines {
			if engine.Name == name {
				created := newEngineState(name)
				created.slots, created.draining = engine.Slots, engine.Draining
				o.engines[name] = created
				return created, nil
			}
		}
	}
	return nil, apierr.New(apierr.NotFound, apierr.NotRun, "no pool has an engine %q", name)
}

// Reserve grants a place, or puts the call in line for up to WaitMillis.
func (o *Owner) Reserve(ctx context.Context, request ReserveRequest) (ReserveResponse, error) {
	item, response, err := o.enter(request)
	if err != nil || item == nil {
		return response, err
	}
	timer := time.NewTimer(time.Duration(request.WaitMillis) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-item.granted:
	case <-timer.C:
	case <-ctx.Done():
	}
	return o.leave(item, ctx.Err() != nil), nil
}

// enter grants at once, refuses, or returns the place in line.
func (o *Owner) enter(request ReserveRequest) (*waiting, ReserveResponse, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	state, err := o.state(request.Engine)
	if err != nil {
		return nil, ReserveResponse{}, err
	}
	now := time.Now()
	if len(state.line) == 0 && len(state.running) < state.capacity(now) {
		state.grant(request, now)
		return nil, o.response(true), nil
	}
	wait := time.Duration(request.WaitMillis) * time.Millisecond
	expected := state.expectedWait()
	if wait == 0 || state.draining || expected > wait {
		refusal := o.response(false)
		refusal.Overloaded = expected > wait && wait > 0
		refusal.RetryAfter = max(expected-wait, minRetryAfter).Milliseconds()
		return nil, refusal, nil
	}
	item := &waiting{request: request, since: now, granted: make(chan struct{})}
	state.line = append(state.line, item)
	return item, ReserveResponse{}, nil
}

// leave ends the wait. A place that was granted to a call that has gone goes to the next.
func (o *Owner) leave(item *waiting, abandoned bool) ReserveResponse {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	state := o.engines[item.request.Engine]
	granted := item.finished
	if !granted {
		state.remove(item)
		refusal := o.response(false)
		refusal.RetryAfter = max(state.expectedWait(), minRetryAfter).Milliseconds()
		refusal.Overloaded = true
		return refusal
	}
	if abandoned {
		delete(state.running, item.request.CallID)
		o.serve(state, time.Now())
	}
	return o.response(!abandoned)
}

func (o *Owner) response(granted bool) ReserveResponse {
	return ReserveResponse{Granted: granted, Loads: o.loads()}
}

func (o *Owner) loads() []Load {
	now := time.Now()
	loads := make([]Load, 0, len(o.engines))
	for _, state := range o.engines {
		loads = append(loads, state.load(now))
	}
	return loads
}

// Loads returns the state of all engines that this node was asked about.
func (o *Owner) Loads() []Load {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.loads()
}

// Release gives a place back and serves the line.
func (o *Owner) Release(request ReleaseRequest) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	state := o.engines[request.Engine]
	if state == nil {
		return
	}
	now := time.Now()
	wasFailing := state.failures >= breakerFailures
	opened, known := state.finish(request.CallID, request.Failed, now)
	if !known {
		return
	}
	if opened {
		o.logger.Emit(events.EngineBreakerOpen, events.F("engine", state.name), events.F("seconds", state.openFor.Seconds()))
	} else if wasFailing && state.failures == 0 {
		o.logger.Emit(events.EngineBreakerClosed, events.F("engine", state.name))
	}
	o.serve(state, now)
}

// serve grants free places to the line.
func (o *Owner) serve(state *engineState, now time.Time) {
	for len(state.running) < state.capacity(now) {
		item := state.next(now)
		if item == nil {
			return
		}
		state.grant(item.request, now)
		item.finished = true
		close(item.granted)
	}
}

// Run frees the places of gateways that died and of calls past their time, until the context ends.
func (o *Owner) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			o.sweep(now)
		}
	}
}

func (o *Owner) sweep(now time.Time) {
	view := o.membership.View()
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for name, state := range o.engines {
		for callID, held := range state.running {
			gateway, known := view.Get(held.request.Gateway)
			if now.After(held.expires) || known && !gateway.Usable() {
				delete(state.running, callID)
			}
		}
		o.serve(state, now)
		if len(state.running) == 0 && len(state.line) == 0 && state.failures == 0 && state.draining {
			delete(o.engines, name)
		}
	}
}

// Ask reserves at the owner on another node.
func Ask(ctx context.Context, network *transport.Transport, address string, request ReserveRequest) (ReserveResponse, error) {
	return transport.Call[ReserveResponse](ctx, network, address, reserveKind, request)
}

// Tell releases at the owner on another node. A lost message is made good by the reservation's
// expiry.
func Tell(network *transport.Transport, address string, request ReleaseRequest) {
	network.Send(address, releaseKind, request)
}
