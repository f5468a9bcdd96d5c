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
	// askInterval is how often an engine that is not loading is asked for its model.
	askInterval = 15 * time.Second
	askTimeout  = 2 * time.Second
	askParallel = 16
	// sequenceBits is how many orders one leader can give in its term.
	sequenceBits = 24
)

// controller decides for one pool while this node leads the pool's partition, in one term. Only
// Manager's loop uses it.
type controller struct {
	manager   *Manager
	pool      string
	partition uint32
	term      uint64
	sequence  uint64
	// floor is the highest token of an earlier life of the partition, which engines have seen.
	floor   uint64
	engines map[string]*knownEngine
	demand  map[string]float64
	decayed time.Time
}

// knownEngine is what an engine said last.
type knownEngine struct {
	state   engine.ModelState
	asked   time.Time
	since   time.Time
	reached bool
	// recorded is what this controller told the members, once it did.
	recorded *modelRecord
}

func newController(manager *Manager, pool string, partition uint32, term uint64) *controller {
	return &controller{manager: manager, pool: pool, partition: partition, term: term, engines: make(map[string]*knownEngine), demand: make(map[string]float64)}
}

// token returns the next fencing token. Tokens of a later term are higher.
func (c *controller) token() uint64 {
	c.sequence++
	return c.latestToken()
}

func (c *controller) latestToken() uint64 { return c.floor + c.term<<sequenceBits + c.sequence }

// highestSeen is the highest token that any engine has seen.
func (c *controller) highestSeen() uint64 {
	var highest uint64
	for _, known := range c.engines {
		highest = max(highest, known.state.Token)
	}
	return highest
}

// step asks engines, tells the members what changed, and gives orders.
func (c *controller) step(ctx context.Context, pool *resource.Pool, targets []resource.Engine, models []string, reports *demandTable) {
	now := time.Now()
	c.smooth(reports.sum(c.pool, now), now)
	c.ask(ctx, targets, reports.refuted(c.pool), now)
	if highest := c.highestSeen(); highest > c.latestToken() && !c.raiseFloor(ctx, highest) {
		return
	}
	for _, target := range targets {
		c.record(target.Name)
	}
	input := PlanInput{Demand: make(map[string]float64), AtOnce: pool.Loading.AtOnce, Hold: seconds(pool.Loading.HoldSeconds), Now: now}
	for _, model := range models {
		input.Demand[model] = c.demand[model]
	}
	byName := make(map[string]resource.Engine)
	for _, target := range targets {
		byName[target.Name] = target
		if known := c.engines[target.Name]; known.reached && !target.Draining {
			input.Engines = append(input.Engines, known.planned(target))
		}
	}
	for _, assignment := range Plan(input) {
		if !c.order(ctx, pool, byName[assignment.Engine], assignment.Model) {
			return
		}
	}
}

func (k *knownEngine) planned(target resource.Engine) EngineState {
	state := EngineState{Name: target.Name, Slots: target.Slots, Model: k.state.Model, Since: k.since}
	if k.state.Loading != "" {
		state.Model, state.Loading = k.state.Loading, true
	}
	return state
}

// smooth lets demand grow at once and shrink slowly.
func (c *controller) smooth(demand map[string]float64, now time.Time) {
	remaining := 0.0
	if !c.decayed.IsZero() {
		remaining = halved(now.Sub(c.decayed))
	}
	c.decayed = now
	for model := range c.demand {
		c.demand[model] *= remaining
	}
	for model, calls := range demand {
		c.demand[model] = max(c.demand[model], calls)
	}
}

// ask learns the state of engines that load, that were not asked for a while, or are new, and of those that
// were refuted since they were asked.
func (c *controller) ask(ctx context.Context, targets []resource.Engine, refuted map[string]time.Time, now time.Time) {
	var tasks sync.WaitGroup
	slots := make(chan struct{}, askParallel)
	for _, target := range targets {
		known := c.engines[target.Name]
		if known == nil {
			known = &knownEngine{}
			c.engines[target.Name] = known
		}
		current := now.Sub(known.asked) < askInterval && !refuted[target.Name].After(known.asked)
		if known.reached && known.state.Loading == "" && current {
			continue
		}
		slots <- struct{}{}
		tasks.Go(func() {
			defer func() { <-slots }()
			c.askOne(ctx, target, known, now)
		})
	}
	tasks.Wait()
}

func (c *controller) askOne(ctx context.Context, target resource.Engine, known *knownEngine, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	state, err := c.manager.options.Loader.ModelState(ctx, engine.Target{Name: target.Name, URL: target.URL, Pool: c.pool})
	known.asked = now
	known.reached = err == nil
	if err != nil {
		return
	}
	if state.Model != known.state.Model {
		known.since = now
		if state.Model != "" {
			c.manager.options.Logger.Emit(events.ModelLoaded, events.F("pool", c.pool), events.F("engine", target.Name), events.F("model", state.Model))
		}
	}
	known.state = state
}

// record tells the members an engine's model if they were told another one.
func (c *controller) record(name string) {
	known := c.engines[name]
	if !known.reached || known.state.Token == 0 {
		return
	}
	value := modelRecord{Model: known.state.Model}
	if known.state.Loading != "" {
		value.Model = ""
	}
	if known.recorded != nil && *known.recorded == value {
		return
	}
	known.recorded = &value
	// A struct of one string always encodes.
	encoded, _ := json.Marshal(value)
	c.manager.options.Membership.SetRecord(membership.Record{Key: recordKey(c.pool, name), Version: c.token(), Value: encoded})
}

// order takes an engine out of use and makes it load a model. It returns false if this node may
// have been deposed.
func (c *controller) order(ctx context.Context, pool *resource.Pool, target resource.Engine, model string) bool {
	known := c.engines[target.Name]
	previous := known.state
	known.state.Loading, known.state.Token = model, c.token()
	c.record(target.Name)
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	err := c.manager.options.Loader.Order(ctx, engine.Target{Name: target.Name, URL: target.URL, Pool: c.pool}, engine.Order{Token: known.state.Token, Model: model, WeightStore: pool.Loading.WeightStore})
	var fenced *engine.ErrFenced
	switch {
	case err == nil:
		c.manager.options.Logger.Emit(events.ModelOrdered, events.F("pool", c.pool), events.F("engine", target.Name), events.F("from", previous.Model), events.F("model", model), events.F("token", known.state.Token))
		return true
	case errors.As(err, &fenced):
		known.state = fenced.State
		c.manager.options.Logger.Emit(events.OrderFenced, events.F("pool", c.pool), events.F("engine", target.Name), events.F("seen", fenced.State.Token))
		c.raiseFloor(ctx, fenced.State.Token)
		return false
	default:
		// The order may hold or not: the engine is asked before it is used again.
		known.reached = false
		c.manager.options.Logger.Emit(events.OrderFailed, events.F("pool", c.pool), events.F("engine", target.Name), events.F("error", err))
		return true
	}
}

// raiseFloor goes above a token that an engine has seen, but only after a commit in this term: then
// the token is not a successor's, whose voters would not have let the commit pass, but of a cluster that
// is gone, or of a partition whose terms were lost with all its replicas. It returns false if the commit
// fails: this node may have been deposed.
func (c *controller) raiseFloor(ctx context.Context, seen uint64) bool {
	if c.manager.options.ConfirmLeadership(ctx, c.partition) != nil {
		return false
	}
	c.floor = max(c.floor, seen)
	for _, known := range c.engines {
		known.recorded = nil
	}
	return true
}
