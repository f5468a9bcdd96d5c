package modelload

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mountstile/mountstile/internal/engine"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/membership"
	"github.com/mountstile/mountstile/internal/resource"
)

const (
	// pollInterval is the interval at which the model state of an engine that is not loading is polled.
	pollInterval     = 15 * time.Second
	engineTimeout    = 2 * time.Second
	maxParallelPolls = 16
	// sequenceBits is the number of token bits for the sequence within a term; the term is above them.
	sequenceBits = 24
)

// controller assigns models to the engines of one pool while this node leads the pool's partition, for one term. It is
// used by the goroutine of Manager.Run only.
type controller struct {
	manager   *Manager
	pool      string
	partition uint32
	term      uint64
	sequence  uint64
	// tokenFloor is above 0 if engines have seen higher tokens than this term gives, because the partition's terms
	// started over; see raiseTokenFloor.
	tokenFloor uint64
	engines    map[string]*trackedEngine
	demand     map[string]float64
	decayedAt  time.Time
}

// trackedEngine is the last known state of an engine.
type trackedEngine struct {
	state      engine.ModelState
	polledAt   time.Time
	modelSince time.Time
	reachable  bool
	// published is the membership record that this controller last set for the engine, or nil.
	published *modelRecord
}

func newController(manager *Manager, pool string, partition uint32, term uint64) *controller {
	return &controller{manager: manager, pool: pool, partition: partition, term: term, engines: make(map[string]*trackedEngine), demand: make(map[string]float64)}
}

// nextToken returns a new fencing token. Tokens of a later term are higher.
func (c *controller) nextToken() uint64 {
	c.sequence++
	return c.latestToken()
}

func (c *controller) latestToken() uint64 { return c.tokenFloor + c.term<<sequenceBits + c.sequence }

// highestEngineToken returns the highest token that any engine has reported.
func (c *controller) highestEngineToken() uint64 {
	var highest uint64
	for _, tracked := range c.engines {
		highest = max(highest, tracked.state.Token)
	}
	return highest
}

// step polls the engines, publishes changed records and orders the loads of a new plan.
func (c *controller) step(ctx context.Context, pool *resource.Pool, targets []resource.Engine, models []string, reports *demandTable) {
	now := time.Now()
	c.updateDemand(reports.sum(c.pool, now), now)
	c.pollEngines(ctx, targets, reports.notLoaded(c.pool), now)
	if highest := c.highestEngineToken(); highest > c.latestToken() && !c.raiseTokenFloor(ctx, highest) {
		return
	}
	for _, target := range targets {
		c.publishRecord(target.Name)
	}
	input := PlanInput{Demand: make(map[string]float64), AtOnce: pool.Loading.AtOnce, Hold: seconds(pool.Loading.HoldSeconds), Now: now}
	for _, model := range models {
		input.Demand[model] = c.demand[model]
	}
	byName := make(map[string]resource.Engine)
	for _, target := range targets {
		byName[target.Name] = target
		if tracked := c.engines[target.Name]; tracked.reachable && !target.Draining {
			input.Engines = append(input.Engines, tracked.plannerState(target))
		}
	}
	for _, assignment := range Plan(input) {
		if !c.orderLoad(ctx, pool, byName[assignment.Engine], assignment.Model) {
			return
		}
	}
}

func (e *trackedEngine) plannerState(target resource.Engine) EngineState {
	state := EngineState{Name: target.Name, Slots: target.Slots, Model: e.state.Model, Since: e.modelSince}
	if e.state.Loading != "" {
		state.Model, state.Loading = e.state.Loading, true
	}
	return state
}

// updateDemand raises the demand to the reported values immediately and lets it decay exponentially.
func (c *controller) updateDemand(demand map[string]float64, now time.Time) {
	decay := 0.0
	if !c.decayedAt.IsZero() {
		decay = decayFactor(now.Sub(c.decayedAt))
	}
	c.decayedAt = now
	for model := range c.demand {
		c.demand[model] *= decay
	}
	for model, calls := range demand {
		c.demand[model] = max(c.demand[model], calls)
	}
}

// pollEngines polls the state of engines that are new, loading, unreachable or due, and of those reported as not having
// their model loaded since the last poll.
func (c *controller) pollEngines(ctx context.Context, targets []resource.Engine, notLoaded map[string]time.Time, now time.Time) {
	var tasks sync.WaitGroup
	slots := make(chan struct{}, maxParallelPolls)
	for _, target := range targets {
		tracked := c.engines[target.Name]
		if tracked == nil {
			tracked = &trackedEngine{}
			c.engines[target.Name] = tracked
		}
		isFresh := now.Sub(tracked.polledAt) < pollInterval && !notLoaded[target.Name].After(tracked.polledAt)
		if tracked.reachable && tracked.state.Loading == "" && isFresh {
			continue
		}
		slots <- struct{}{}
		tasks.Go(func() {
			defer func() { <-slots }()
			c.pollEngine(ctx, target, tracked, now)
		})
	}
	tasks.Wait()
}

func (c *controller) pollEngine(ctx context.Context, target resource.Engine, tracked *trackedEngine, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	state, err := c.manager.options.Loader.ModelState(ctx, engine.Target{Name: target.Name, URL: target.URL, Pool: c.pool})
	tracked.polledAt = now
	tracked.reachable = err == nil
	if err != nil {
		return
	}
	if state.Model != tracked.state.Model {
		tracked.modelSince = now
		if state.Model != "" {
			c.manager.options.Logger.Emit(events.ModelLoaded, events.F("pool", c.pool), events.F("engine", target.Name), events.F("model", state.Model))
		}
	}
	tracked.state = state
}

// publishRecord sets the membership record of an engine's model if it has changed.
func (c *controller) publishRecord(name string) {
	tracked := c.engines[name]
	if !tracked.reachable || tracked.state.Token == 0 {
		return
	}
	value := modelRecord{Model: tracked.state.Model}
	if tracked.state.Loading != "" {
		value.Model = ""
	}
	if tracked.published != nil && *tracked.published == value {
		return
	}
	tracked.published = &value
	// Encoding a struct with one string field can't fail.
	encoded, _ := json.Marshal(value)
	c.manager.options.Membership.SetRecord(membership.Record{Key: recordKey(c.pool, name), Version: c.nextToken(), Value: encoded})
}

// orderLoad publishes that an engine is loading, so that it gets no calls, and orders it to load a model. It returns
// false if this node may no longer be the leader.
func (c *controller) orderLoad(ctx context.Context, pool *resource.Pool, target resource.Engine, model string) bool {
	tracked := c.engines[target.Name]
	previous := tracked.state
	tracked.state.Loading, tracked.state.Token = model, c.nextToken()
	c.publishRecord(target.Name)
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	err := c.manager.options.Loader.Order(ctx, engine.Target{Name: target.Name, URL: target.URL, Pool: c.pool}, engine.Order{Token: tracked.state.Token, Model: model, WeightStore: pool.Loading.WeightStore})
	var fenced *engine.ErrFenced
	switch {
	case err == nil:
		c.manager.options.Logger.Emit(events.ModelOrdered, events.F("pool", c.pool), events.F("engine", target.Name), events.F("from", previous.Model), events.F("model", model), events.F("token", tracked.state.Token))
		return true
	case errors.As(err, &fenced):
		tracked.state = fenced.State
		c.manager.options.Logger.Emit(events.OrderFenced, events.F("pool", c.pool), events.F("engine", target.Name), events.F("seen", fenced.State.Token))
		c.raiseTokenFloor(ctx, fenced.State.Token)
		return false
	default:
		// The engine may have accepted the order, so its state has to be polled before it is used again.
		tracked.reachable = false
		c.manager.options.Logger.Emit(events.OrderFailed, events.F("pool", c.pool), events.F("engine", target.Name), events.F("error", err))
		return true
	}
}

// raiseTokenFloor makes later tokens higher than one that an engine has seen, but only after a commit in this term. The
// commit proves that the token isn't from a later leader, since a majority has not moved on to its term; it is from
// a former cluster, or from a partition that lost its terms together with all replicas. It returns false if the
// commit fails, as this node may no longer be the leader.
func (c *controller) raiseTokenFloor(ctx context.Context, seen uint64) bool {
	if c.manager.options.ConfirmLeadership(ctx, c.partition) != nil {
		return false
	}
	c.tokenFloor = max(c.tokenFloor, seen)
	for _, tracked := range c.engines {
		tracked.published = nil
	}
	return true
}
