package modelload

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/engine"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/membership"
	"github.com/mountstile/mountstile/internal/resource"
)

// newTestView returns a View of pool "pool" in which engines e1 and e2 have loaded model "a".
func newTestView() (*View, *resource.Pool) {
	view := &View{models: make(map[string]string), notLoaded: make(map[string]time.Time), subsets: make(map[subsetKey][]resource.Engine), changed: make(chan struct{})}
	setModel(view, "e1", `{"model":"a"}`)
	setModel(view, "e2", `{"model":"a"}`)
	return view, &resource.Pool{Engines: []resource.Engine{{Name: "e1"}, {Name: "e2"}}}
}

func setModel(view *View, name, value string) {
	view.applyChange(membership.Change{Record: &membership.Record{Key: recordKey("pool", name), Value: []byte(value)}})
}

func isClosed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}

// TestNotLoadedEngineIsNotUsed checks that an engine marked as not loaded is not used until a new record arrives or the mark
// expires, and that waiters for a change are notified once.
func TestNotLoadedEngineIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		view, pool := newTestView()
		assert.Equal(t, len(view.Engines("pool", pool, "a")), 2)
		changed := view.Changed()
		assert.Assert(t, view.MarkNotLoaded("pool", "e1", "a"))
		assert.Assert(t, isClosed(changed))
		assert.DeepEqual(t, view.Engines("pool", pool, "a"), []resource.Engine{{Name: "e2"}})
		assert.Equal(t, view.Model("pool", "e1"), "")
		assert.DeepEqual(t, view.NotLoaded("pool"), []string{"e1"})

		changed = view.Changed()
		assert.Assert(t, !view.MarkNotLoaded("pool", "e1", "a"), "marked an engine that is marked already")
		assert.Assert(t, !view.MarkNotLoaded("pool", "e2", "b"), "marked an engine for a model that is not in its record")
		assert.Assert(t, !isClosed(changed))

		setModel(view, "e1", `{"model":"a"}`)
		assert.Equal(t, len(view.Engines("pool", pool, "a")), 2)
		assert.Equal(t, len(view.NotLoaded("pool")), 0)

		view.MarkNotLoaded("pool", "e2", "a")
		time.Sleep(notLoadedTTL - time.Millisecond)
		assert.DeepEqual(t, view.Engines("pool", pool, "a"), []resource.Engine{{Name: "e1"}})
		time.Sleep(time.Millisecond)
		assert.Equal(t, len(view.Engines("pool", pool, "a")), 2)
		assert.Equal(t, len(view.NotLoaded("pool")), 0)
	})
}

// pollCounter is a Loader that counts the polls of each engine; all engines have loaded model "b".
type pollCounter struct {
	// mutex guards polls: engines are polled in parallel.
	mutex sync.Mutex
	polls map[string]int
}

func (p *pollCounter) Order(context.Context, engine.Target, engine.Order) error { return nil }

func (p *pollCounter) ModelState(_ context.Context, target engine.Target) (engine.ModelState, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.polls[target.Name]++
	return engine.ModelState{Token: 1, Model: "b"}, nil
}

// TestNotLoadedEngineIsPolledAgain checks that a report that an engine has not loaded its model causes one early poll of that
// engine and of no other.
func TestNotLoadedEngineIsPolledAgain(t *testing.T) {
	counter := &pollCounter{polls: make(map[string]int)}
	manager := &Manager{options: Options{Loader: counter, Logger: events.Discard()}, reports: newDemandTable()}
	ctrl := newController(manager, "pool", 1, 1)
	targets := []resource.Engine{{Name: "e1"}}
	pollEngines := func(after time.Duration) {
		ctrl.pollEngines(t.Context(), targets, manager.reports.notLoaded("pool"), start.Add(after))
	}
	pollEngines(0)
	pollEngines(time.Second)
	assert.Equal(t, counter.polls["e1"], 1)

	report := demandReport{PoolDemand: PoolDemand{Pool: "pool"}, Node: "n1", NotLoaded: []string{"e1"}, IntervalMillis: 1000}
	manager.reports.add(report, start.Add(2*time.Second))
	targets = append(targets, resource.Engine{Name: "e2"})
	pollEngines(3 * time.Second)
	pollEngines(4 * time.Second)
	assert.DeepEqual(t, counter.polls, map[string]int{"e1": 2, "e2": 1})
}
