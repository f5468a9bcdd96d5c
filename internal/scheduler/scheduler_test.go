package scheduler

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/clock"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/owner"
	"github.com/mountstile/mountstile/internal/policy"
	"github.com/mountstile/mountstile/internal/resource"
)

// owners answers reservations from a table and records who was asked.
type owners struct {
	free map[string]bool
	// waits are the engines that grant a place after a wait.
	waits   map[string]bool
	loads   []owner.Load
	missing map[string]bool
	asked   []string
}

func (o *owners) Reserve(_ context.Context, engine resource.Engine, request owner.ReserveRequest) (owner.ReserveResponse, error) {
	o.asked = append(o.asked, engine.Name)
	if o.missing[engine.Name] {
		return owner.ReserveResponse{}, apierr.New(apierr.PeerUnreachable, apierr.NotRun, "gone")
	}
	granted := o.free[engine.Name] || request.WaitMillis > 0 && o.waits[engine.Name]
	return owner.ReserveResponse{Granted: granted, Loads: o.loads, RetryAfter: 700}, nil
}

func newScheduler(reserver Reserver) *Scheduler {
	return New(Options{Zone: "z", Reserver: reserver, Clock: clock.Real{}, Logger: events.Discard()})
}

func poolOf(count int) *resource.Pool {
	pool := &resource.Pool{}
	for number := range count {
		pool.Engines = append(pool.Engines, resource.Engine{Name: fmt.Sprintf("e%d", number+1), Slots: 4})
	}
	return pool
}

func compile(t *testing.T, source resource.Policy) *policy.Policy {
	t.Helper()
	rules, err := policy.Compile(source)
	assert.NilError(t, err)
	return rules
}

func TestPlace(t *testing.T) {
	cases := map[string]struct {
		owners owners
		source resource.Policy
		call   Call
		pool   *resource.Pool
		engine string
		code   apierr.Code
	}{
		"the program's engine if it has room": {
			owners: owners{free: map[string]bool{"e1": true, "e2": true, "e3": true}}, call: Call{WarmEngine: "e2", MaxWait: time.Minute}, engine: "e2"},
		"another one if it is full": {
			owners: owners{free: map[string]bool{"e3": true}}, call: Call{WarmEngine: "e2", MaxWait: time.Minute}, engine: "e3"},
		"in the program's engine's line though others have room": {
			owners: owners{free: map[string]bool{"e1": true, "e3": true}, waits: map[string]bool{"e2": true}}, call: Call{WarmEngine: "e2", MaxWait: time.Minute}, engine: "e2"},
		"not in that line without patience": {
			owners: owners{free: map[string]bool{"e1": true}, waits: map[string]bool{"e2": true}}, source: resource.Policy{Patience: "0.0"}, call: Call{WarmEngine: "e2", MaxWait: time.Minute}, engine: "e1"},
		"a failing patience costs the line and nothing else": {
			owners: owners{free: map[string]bool{"e1": true}, waits: map[string]bool{"e2": true}}, source: resource.Policy{Patience: "1.0 / engine.load"}, call: Call{WarmEngine: "e2", MaxWait: time.Minute}, engine: "e1"},
		"in line if all are full": {
			owners: owners{waits: map[string]bool{"e1": true, "e2": true, "e3": true}}, call: Call{MaxWait: time.Second}, engine: "any"},
		"overloaded if the lines are too long": {
			owners: owners{}, call: Call{MaxWait: time.Second}, code: apierr.Overloaded},
		"overloaded at once without a wait": {
			owners: owners{waits: map[string]bool{"e1": true}}, code: apierr.Overloaded},
		"not where the call has failed": {
			owners: owners{free: map[string]bool{"e1": true, "e2": true}}, call: Call{Avoid: []string{"e1"}, WarmEngine: "e1"}, pool: poolOf(2), engine: "e2"},
		"not on a draining engine": {
			owners: owners{free: map[string]bool{"e1": true}}, pool: &resource.Pool{Engines: []resource.Engine{{Name: "e1", Slots: 1, Draining: true}}}, code: apierr.NoEngine},
		"no engine passes the filter": {
			owners: owners{free: map[string]bool{"e1": true}}, source: resource.Policy{Filter: `engine.name == "x"`}, code: apierr.NoEngine},
		"a failing score leaves all out": {
			owners: owners{free: map[string]bool{"e1": true}}, source: resource.Policy{Score: "1.0 / engine.load"}, code: apierr.NoEngine},
		"not admitted": {
			owners: owners{free: map[string]bool{"e1": true}}, source: resource.Policy{Admit: "false"}, code: apierr.LimitExceeded},
		"the owner can't be reached": {
			owners: owners{missing: map[string]bool{"e1": true}}, call: Call{MaxWait: time.Second}, pool: poolOf(1), code: apierr.NoEngine},
	}
	for name, item := range cases {
		t.Run(name, func(t *testing.T) {
			if item.pool == nil {
				item.pool = poolOf(3)
			}
			decision, err := newScheduler(&item.owners).Place(t.Context(), item.call, item.pool, compile(t, item.source))
			if item.code != "" {
				assert.Assert(t, apierr.Is(err, item.code), "%v", err)
				failure := apierr.From(err, apierr.Ran)
				assert.Equal(t, failure.Outcome, apierr.NotRun)
				assert.Assert(t, failure.RetryAfter > 0, "the caller is told when to come back")
				return
			}
			assert.NilError(t, err)
			assert.Assert(t, item.engine == "any" || decision.Engine.Name == item.engine, decision.Engine.Name)
		})
	}
}

// TestLoadsTravelWithAnswers: what an owner told decides the next call without asking.
func TestLoadsTravelWithAnswers(t *testing.T) {
	reserver := &owners{free: map[string]bool{"e1": true, "e2": true}, loads: []owner.Load{{Engine: "e1", Running: 4, Slots: 4}, {Engine: "e2", Slots: 4}}}
	scheduler := newScheduler(reserver)
	rules := compile(t, resource.Policy{})
	_, err := scheduler.Place(t.Context(), Call{}, poolOf(2), rules)
	assert.NilError(t, err)
	for range 5 {
		reserver.asked = nil
		decision, err := scheduler.Place(t.Context(), Call{}, poolOf(2), rules)
		assert.NilError(t, err)
		assert.Equal(t, decision.Engine.Name, "e2")
		assert.DeepEqual(t, reserver.asked, []string{"e2"})
	}
	reserver.loads = []owner.Load{{Engine: "e2", BreakerOpen: true}}
	_, err = scheduler.Place(t.Context(), Call{}, poolOf(2), rules)
	assert.NilError(t, err)
	decision, err := scheduler.Place(t.Context(), Call{}, poolOf(2), rules)
	assert.NilError(t, err)
	assert.Equal(t, decision.Engine.Name, "e1", "an open breaker keeps the engine out")
}

// TestShortListDoesNotGrowWithThePool and keeps the program's engine in it.
func TestShortListDoesNotGrowWithThePool(t *testing.T) {
	pool := poolOf(700)
	scheduler := newScheduler(&owners{})
	for range 20 {
		candidates := scheduler.candidates(Call{WarmEngine: "e412"}, pool)
		assert.Equal(t, len(candidates), shortlist)
		assert.Equal(t, candidates[0].Engine.Name, "e412")
	}
}

// TestWaitsAreCompared: each candidate knows the shortest wait among the others that may serve.
func TestWaitsAreCompared(t *testing.T) {
	candidates := []Candidate{
		{Load: owner.Load{WaitMillis: 300}}, {Load: owner.Load{WaitMillis: 100}},
		{Load: owner.Load{WaitMillis: 200}}, {Load: owner.Load{WaitMillis: 0}, Reason: reasonOpen},
	}
	compareWaits(candidates)
	for index, expected := range []int{100, 200, 100} {
		assert.Equal(t, candidates[index].OtherWait, time.Duration(expected)*time.Millisecond)
	}
	alone := candidates[:1]
	alone[0].OtherWait = 0
	compareWaits(alone)
	assert.Equal(t, alone[0].OtherWait, time.Duration(0))
}

// TestSlownessIsRelative to the median, and unknown without enough to compare with.
func TestSlownessIsRelative(t *testing.T) {
	candidates := []Candidate{{Load: owner.Load{StepMicros: 10000}}, {Load: owner.Load{StepMicros: 12000}}, {Load: owner.Load{StepMicros: 48000}}, {}}
	compareSteps(candidates)
	assert.Equal(t, candidates[2].Slowness, 4.0)
	assert.Equal(t, candidates[3].Slowness, 1.0)
	compareSteps(candidates[1:])
	assert.Equal(t, candidates[2].Slowness, 1.0)
}

// TestRoundRobinIsAPolicy: least recently chosen first visits all in turn.
func TestRoundRobinIsAPolicy(t *testing.T) {
	reserver := &owners{free: map[string]bool{"e1": true, "e2": true, "e3": true}}
	scheduler := newScheduler(reserver)
	rules := compile(t, resource.Policy{Score: "engine.unused_seconds"})
	counts := make(map[string]int)
	for range 30 {
		decision, err := scheduler.Place(t.Context(), Call{}, poolOf(3), rules)
		assert.NilError(t, err)
		counts[decision.Engine.Name]++
	}
	assert.DeepEqual(t, counts, map[string]int{"e1": 10, "e2": 10, "e3": 10})
}
