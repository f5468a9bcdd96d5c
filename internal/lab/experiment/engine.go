package experiment

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/mountstile/mountstile/internal/clock"
	"github.com/mountstile/mountstile/internal/emulator"
	"github.com/mountstile/mountstile/internal/engine"
)

// simulatedEngine runs the emulator's model in virtual time.
type simulatedEngine struct {
	clock  *clock.Virtual
	config emulator.Config
	model  *emulator.Model
	jobs   map[string]*simulatedJob
	wake   clock.Signal
	down   bool
	hung   bool
	// factor multiplies the time of a step.
	factor float64
	// retired is the accounting of caches that were lost with the engine.
	retired emulator.CacheStats
}

// simulatedJob is one request at an engine.
type simulatedJob struct {
	first     clock.Signal
	done      clock.Signal
	generated int
	cached    int
	lost      bool
	pace      engine.StepTimer
}

func newSimulatedEngine(virtual *clock.Virtual, config emulator.Config) *simulatedEngine {
	return &simulatedEngine{clock: virtual, config: config, model: emulator.NewModel(config), jobs: make(map[string]*simulatedJob), wake: virtual.NewSignal(), factor: 1}
}

// run steps the model until nothing is left to do for good.
func (e *simulatedEngine) run() {
	for {
		if e.down || e.hung || !e.model.Busy() {
			e.wake = e.clock.NewSignal()
			if !e.wake.Wait(context.Background(), clock.Forever) {
				return
			}
			continue
		}
		model := e.model
		took, progress := model.Step()
		e.clock.Sleep(time.Duration(float64(took) * e.factor))
		if model != e.model {
			// The engine died during the step.
			continue
		}
		for _, item := range progress {
			e.deliver(item)
		}
	}
}

func (e *simulatedEngine) deliver(item emulator.Progress) {
	job := e.jobs[item.ID]
	if job == nil {
		return
	}
	job.generated, job.cached = item.Token, item.Cached
	job.pace.RecordChunk(e.clock.Now())
	job.first.Fire()
	if item.Done {
		delete(e.jobs, item.ID)
		job.done.Fire()
	}
}

// submit starts a request; false means that the engine can't be reached.
func (e *simulatedEngine) submit(request emulator.Request) (*simulatedJob, bool) {
	if e.down {
		return nil, false
	}
	job := &simulatedJob{first: e.clock.NewSignal(), done: e.clock.NewSignal()}
	e.jobs[request.ID] = job
	e.model.Submit(request)
	e.wake.Fire()
	return job, true
}

// abandon cancels a request whose caller has given the engine up.
func (e *simulatedEngine) abandon(id string) {
	delete(e.jobs, id)
	e.model.Cancel(id)
}

func (e *simulatedEngine) strike(disturbance Fault) {
	switch disturbance.Kind {
	case Kill:
		e.fail()
	case Hang:
		e.hung = true
	case Slow:
		e.factor = disturbance.Factor
	}
}

// fail loses the engine with its cache and all that runs on it.
func (e *simulatedEngine) fail() {
	e.down = true
	e.retired = e.retired.Add(e.model.Cache())
	e.model = emulator.NewModel(e.config)
	// In the order of their names, so that a run is the same each time.
	for _, id := range slices.Sorted(maps.Keys(e.jobs)) {
		job := e.jobs[id]
		job.lost = true
		job.first.Fire()
		job.done.Fire()
	}
	e.jobs = make(map[string]*simulatedJob)
}

func (e *simulatedEngine) recover() {
	e.down, e.hung, e.factor = false, false, 1
	e.wake.Fire()
}

// cache is the accounting over the engine's whole life.
func (e *simulatedEngine) cache() emulator.CacheStats { return e.retired.Add(e.model.Cache()) }
