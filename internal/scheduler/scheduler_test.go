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

// fakeReserver is a Reserver for tests that records the engines for which it was called.
type fakeReserver struct {
	free map[string]bool
	// grantsAfterWait are the engines that grant a slot only to requests that may wait.
	grantsAfterWait map[string]bool
	loads           []owner.Load
	unreachable     map[string]bool
	requested       []string
}

func (r *fakeReserver) Reserve(_ context.Context, engine resource.Engine, request owner.ReserveRequest) (owner.ReserveResponse, error) {
	r.requested = append(r.requested, engine.Name)
	if r.unreachable[engine.Name] {
		return owner.ReserveResponse{}, apierr.New(apierr.PeerUnreachable, apierr.NotRun, "the owner is unreachable")
	}
	granted := r.free[engine.Name] || request.WaitMillis > 0 && r.grantsAfterWait[engine.Name]
	return owner.ReserveResponse{Granted: granted, Loads: r.loads, RetryAfter: 700}, nil
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

// TestCallKeepsItsSoftwareVersion checks that the rest of an answer is placed only at engines of the version that began it, also
// if these are few in a large pool, and at once fails if there is none.
func TestCallKeepsItsSoftwareVersion(t *testing.T) {
	pool := poolOf(200)
	free := make(map[string]bool)
	for index := range pool.Engines {
		pool.Engines[index].Software = "v2"
		free[pool.Engines[index].Name] = true
	}
	pool.Engines[70].Software, pool.Engines[71].Software = "v1", ""
	rules := compile(t, resource.Policy{})
	place := func(software string) (Decision, error) {
		call := Call{ID: "c", Software: &software, MaxWait: time.Second}
		return newScheduler(&fakeReserver{free: free}).Place(t.Context(), call, pool, rules)
	}
	for software, name := range map[string]string{"v1": "e71", "": "e72"} {
		decision, err := place(software)
		assert.NilError(t, err)
		assert.Equal(t, decision.Engine.Name, name)
	}
	_, err := place("v3")
	assert.Assert(t, apierr.Is(err, apierr.NoEngine), "%v", err)
	assert.Equal(t, len(pool.Engines), 200)
}

func TestPlace(t *testing.T) {
	cases := map[string]struct {
		fakeReserver fakeReserver
		source       resource.Policy
		call         Call
		pool         *resource.Pool
		engine       string
		code         apierr.Code
	}{
		"the warm engine if it has a free slot": {
			fakeReserver: fakeReserver{free: map[string]bool{"e1": true, "e2": true, "e3": true}}, call: Call{WarmEngine: "e2", MaxWait: time.Minute}, engine: "e2"},
		"another engine if the warm one is full": {
			fakeReserver: fakeReserver{free: map[string]bool{"e3": true}}, call: Call{WarmEngine: "e2", MaxWait: time.Minute}, engine: "e3"},
		"the warm engine's queue though others have free slots": {
			fakeReserver: fakeReserver{free: map[string]bool{"e1": true, "e3": true}, grantsAfterWait: map[string]bool{"e2": true}}, call: Call{WarmEngine: "e2", MaxWait: time.Minute}, engine: "e2"},
		"no queueing at the warm engine without patience": {
			fakeReserver: fakeReserver{free: map[string]bool{"e1": true}, grantsAfterWait: map[string]bool{"e2": true}}, source: resource.Policy{Patience: "0.0"}, call: Call{WarmEngine: "e2", MaxWait: time.Minute}, engine: "e1"},
		"a failing patience policy only prevents queueing": {
			fakeReserver: fakeReserver{free: map[string]bool{"e1": true}, grantsAfterWait: map[string]bool{"e2": true}}, source: resource.Policy{Patience: "1.0 / engine.load"}, call: Call{WarmEngine: "e2", MaxWait: time.Minute}, engine: "e1"},
		"a queue if all engines are full": {
			fakeReserver: fakeReserver{grantsAfterWait: map[string]bool{"e1": true, "e2": true, "e3": true}}, call: Call{MaxWait: time.Second}, engine: "any"},
		"overloaded if the queues are too long": {
			fakeReserver: fakeReserver{}, call: Call{MaxWait: time.Second}, code: apierr.Overloaded},
		"overloaded at once if the call may not wait": {
			fakeReserver: fakeReserver{grantsAfterWait: map[string]bool{"e1": true}}, code: apierr.Overloaded},
		"no engine on which the call has failed": {
			fakeReserver: fakeReserver{free: map[string]bool{"e1": true, "e2": true}}, call: Call{Avoid: []string{"e1"}, WarmEngine: "e1"}, pool: poolOf(2), engine: "e2"},
		"no draining engine": {
			fakeReserver: fakeReserver{free: map[string]bool{"e1": true}}, pool: &resource.Pool{Engines: []resource.Engine{{Name: "e1", Slots: 1, Draining: true}}}, code: apierr.NoEngine},
		"no engine passes the filter": {
			fakeReserver: fakeReserver{free: map[string]bool{"e1": true}}, source: resource.Policy{Filter: `engine.name == "x"`}, code: apierr.NoEngine},
		"a failing score excludes all engines": {
			fakeReserver: fakeReserver{free: map[string]bool{"e1": true}}, source: resource.Policy{Score: "1.0 / engine.load"}, code: apierr.NoEngine},
		"not admitted by the policy": {
			fakeReserver: fakeReserver{free: map[string]bool{"e1": true}}, source: resource.Policy{Admit: "false"}, code: apierr.LimitExceeded},
		"the owner is unreachable": {
			fakeReserver: fakeReserver{unreachable: map[string]bool{"e1": true}}, call: Call{MaxWait: time.Second}, pool: poolOf(1), code: apierr.NoEngine},
	}
	for name, item := range cases {
		t.Run(name, func(t *testing.T) {
			if item.pool == nil {
				item.pool = poolOf(3)
			}
			decision, err := newScheduler(&item.fakeReserver).Place(t.Context(), item.call, item.pool, compile(t, item.source))
			if item.code != "" {
				assert.Assert(t, apierr.Is(err, item.code), "%v", err)
				failure := apierr.From(err, apierr.Ran)
				assert.Equal(t, failure.Outcome, apierr.NotRun)
				assert.Assert(t, failure.RetryAfter > 0, "the error has a retry delay")
				return
			}
			assert.NilError(t, err)
			assert.Assert(t, item.engine == "any" || decision.Engine.Name == item.engine, decision.Engine.Name)
		})
	}
}

// TestReportedLoadsAreUsed checks that the loads in a response decide the next placement without another request.
func TestReportedLoadsAreUsed(t *testing.T) {
	reserver := &fakeReserver{free: map[string]bool{"e1": true, "e2": true}, loads: []owner.Load{{Engine: "e1", Running: 4, Slots: 4}, {Engine: "e2", Slots: 4}}}
	scheduler := newScheduler(reserver)
	rules := compile(t, resource.Policy{})
	_, err := scheduler.Place(t.Context(), Call{}, poolOf(2), rules)
	assert.NilError(t, err)
	for range 5 {
		reserver.requested = nil
		decision, err := scheduler.Place(t.Context(), Call{}, poolOf(2), rules)
		assert.NilError(t, err)
		assert.Equal(t, decision.Engine.Name, "e2")
		assert.DeepEqual(t, reserver.requested, []string{"e2"})
	}
	reserver.loads = []owner.Load{{Engine: "e2", BreakerOpen: true}}
	_, err = scheduler.Place(t.Context(), Call{}, poolOf(2), rules)
	assert.NilError(t, err)
	decision, err := scheduler.Place(t.Context(), Call{}, poolOf(2), rules)
	assert.NilError(t, err)
	assert.Equal(t, decision.Engine.Name, "e1", "an engine with an open breaker is excluded")
}

// TestCandidatesAreBounded checks that the sample does not grow with the pool, and contains the warm engine.
func TestCandidatesAreBounded(t *testing.T) {
	pool := poolOf(700)
	scheduler := newScheduler(&fakeReserver{})
	for range 20 {
		candidates := scheduler.candidates(Call{WarmEngine: "e412"}, pool)
		assert.Equal(t, len(candidates), maxCandidates)
		assert.Equal(t, candidates[0].Engine.Name, "e412")
	}
}

// TestOtherWaits checks that excluded candidates do not count, and a candidate does not count for itself.
func TestOtherWaits(t *testing.T) {
	candidates := []Candidate{
		{Load: owner.Load{WaitMillis: 300}}, {Load: owner.Load{WaitMillis: 100}},
		{Load: owner.Load{WaitMillis: 200}}, {Load: owner.Load{WaitMillis: 0}, Reason: reasonBreakerOpen},
	}
	setOtherWaits(candidates)
	for index, expected := range []int{100, 200, 100} {
		assert.Equal(t, candidates[index].OtherWait, time.Duration(expected)*time.Millisecond)
	}
	alone := candidates[:1]
	alone[0].OtherWait = 0
	setOtherWaits(alone)
	assert.Equal(t, alone[0].OtherWait, time.Duration(0))
}

// TestSlowness checks the multiple of the median, and that it is 1 with too few samples.
func TestSlowness(t *testing.T) {
	candidates := []Candidate{{Load: owner.Load{StepMicros: 10000}}, {Load: owner.Load{StepMicros: 12000}}, {Load: owner.Load{StepMicros: 48000}}, {}}
	setSlowness(candidates)
	assert.Equal(t, candidates[2].Slowness, 4.0)
	assert.Equal(t, candidates[3].Slowness, 1.0)
	setSlowness(candidates[1:])
	assert.Equal(t, candidates[2].Slowness, 1.0)
}

// TestRoundRobinPolicy checks that a score of engine.unused_seconds chooses all engines in turn.
func TestRoundRobinPolicy(t *testing.T) {
	reserver := &fakeReserver{free: map[string]bool{"e1": true, "e2": true, "e3": true}}
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
