package modelload

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/engine"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/membership"
	"github.com/mountstile/mountstile/internal/resource"
)

// newTestView knows pool "pool" whose engines e1 and e2 have model "a".
func newTestView() (*View, *resource.Pool) {
	view := &View{models: make(map[string]string), refuted: make(map[string]time.Time), subsets: make(map[subsetKey][]resource.Engine), changed: make(chan struct{})}
	hear(view, "e1", `{"model":"a"}`)
	hear(view, "e2", `{"model":"a"}`)
	return view, &resource.Pool{Engines: []resource.Engine{{Name: "e1"}, {Name: "e2"}}}
}

func hear(view *View, name, value string) {
	view.heard(membership.Change{Record: &membership.Record{Key: recordKey("pool", name), Value: []byte(value)}})
}

func closed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}

// TestRefutedEngineIsOutOfUse: an engine that lacks the model of its record counts as without any until
// there is a new record, or the time is over; those that wait for a change hear of it once.
func TestRefutedEngineIsOutOfUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		view, pool := newTestView()
		assert.Equal(t, len(view.Engines("pool", pool, "a")), 2)
		changed := view.Changed()
		assert.Assert(t, view.MarkNotLoaded("pool", "e1", "a"))
		assert.Assert(t, closed(changed))
		assert.DeepEqual(t, view.Engines("pool", pool, "a"), []resource.Engine{{Name: "e2"}})
		assert.Equal(t, view.Model("pool", "e1"), "")
		assert.DeepEqual(t, view.NotLoaded("pool"), []string{"e1"})

		changed = view.Changed()
		assert.Assert(t, !view.MarkNotLoaded("pool", "e1", "a"), "a second refusal tells nothing new")
		assert.Assert(t, !view.MarkNotLoaded("pool", "e2", "b"), "the record does not tell that model")
		assert.Assert(t, !closed(changed))

		hear(view, "e1", `{"model":"a"}`)
		assert.Equal(t, len(view.Engines("pool", pool, "a")), 2)
		assert.Equal(t, len(view.NotLoaded("pool")), 0)

		view.MarkNotLoaded("pool", "e2", "a")
		time.Sleep(refutedFor - time.Millisecond)
		assert.DeepEqual(t, view.Engines("pool", pool, "a"), []resource.Engine{{Name: "e1"}})
		time.Sleep(time.Millisecond)
		assert.Equal(t, len(view.Engines("pool", pool, "a")), 2)
		assert.Equal(t, len(view.NotLoaded("pool")), 0)
	})
}

// askedEngines counts how often each engine was asked; each has model "b".
type askedEngines map[string]int

func (a askedEngines) Order(context.Context, engine.Target, engine.Order) error { return nil }

func (a askedEngines) ModelState(_ context.Context, target engine.Target) (engine.ModelState, error) {
	a[target.Name]++
	return engine.ModelState{Token: 1, Model: "b"}, nil
}

// TestRefutedEngineIsAskedAnew: who decides asks an engine for its model as soon as a node reports that it
// lacks what its record tells, once for each report, and no other engine.
func TestRefutedEngineIsAskedAnew(t *testing.T) {
	asked := make(askedEngines)
	manager := &Manager{options: Options{Loader: asked, Logger: events.Discard()}, reports: newDemandTable()}
	control := newController(manager, "pool", 1, 1)
	targets := []resource.Engine{{Name: "e1"}}
	ask := func(after time.Duration) {
		control.ask(t.Context(), targets, manager.reports.refuted("pool"), start.Add(after))
	}
	ask(0)
	ask(time.Second)
	assert.Equal(t, asked["e1"], 1)

	report := demandReport{PoolDemand: PoolDemand{Pool: "pool"}, Node: "n1", Refuted: []string{"e1"}, IntervalMillis: 1000}
	manager.reports.note(report, start.Add(2*time.Second))
	targets = append(targets, resource.Engine{Name: "e2"})
	ask(3 * time.Second)
	ask(4 * time.Second)
	assert.DeepEqual(t, asked, askedEngines{"e1": 2, "e2": 1})
}
