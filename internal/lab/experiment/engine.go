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

// simulatedEngine runs the emulator's engine model in virtual time.
type simulatedEngine struct {
	clock   *clock.Virtual
	config  emulator.Config
	model   *emulator.Model
	jobs    map[string]*simulatedJob
	wake    clock.Signal
	down    bool
	hanging bool
	// stepFactor multiplies the time of a step.
	stepFactor float64
	// statsBeforeCrash sums the statistics of the caches that were lost in crashes.
	statsBeforeCrash emulator.CacheStats
}

// simulatedJob is a request at an engine. Its first token fires the signal first, and its last token the
// signal done; a crash of the engine fires both.
type simulatedJob struct {
	first     clock.Signal
	done      clock.Signal
	generated int
	cached    int
	lost      bool
	stepTimer engine.StepTimer
}

func newSimulatedEngine(virtual *clock.Virtual, config emulator.Config) *simulatedEngine {
	return &simulatedEngine{clock: virtual, config: config, model: emulator.NewModel(config), jobs: make(map[string]*simulatedJob), wake: virtual.NewSignal(), stepFactor: 1}
}

// run steps the model while it has requests, and otherwise waits for the next one. It returns at the end of the
// simulation, when no task is left that could submit one.
func (e *simulatedEngine) run() {
	for {
		if e.down || e.hanging || !e.model.Busy() {
			e.wake = e.clock.NewSignal()
			if !e.wake.Wait(context.Background(), clock.Forever) {
				return
			}
			continue
		}
		model := e.model
		duration, progress := model.Step()
		e.clock.Sleep(time.Duration(float64(duration) * e.stepFactor))
		if model != e.model {
			// The engine crashed during the step.
			continue
		}
		for _, item := range progress {
			e.recordProgress(item)
		}
	}
}

func (e *simulatedEngine) recordProgress(item emulator.Progress) {
	job := e.jobs[item.ID]
	if job == nil {
		return
	}
	job.generated, job.cached = item.Token, item.Cached
	job.stepTimer.RecordChunk(e.clock.Now())
	job.first.Fire()
	if item.Done {
		delete(e.jobs, item.ID)
		job.done.Fire()
	}
}

// submit starts a request. It returns false if the engine is down.
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

// cancel removes a request whose caller no longer waits for it.
func (e *simulatedEngine) cancel(id string) {
	delete(e.jobs, id)
	e.model.Cancel(id)
}

func (e *simulatedEngine) applyFault(fault Fault) {
	switch fault.Kind {
	case Kill:
		e.crash()
	case Hang:
		e.hanging = true
	case Slow:
		e.stepFactor = fault.Factor
	}
}

// crash drops the engine's cache and fails its running requests.
func (e *simulatedEngine) crash() {
	e.down = true
	e.statsBeforeCrash = e.statsBeforeCrash.Add(e.model.Cache())
	e.model = emulator.NewModel(e.config)
	// A fixed order keeps the simulation deterministic.
	for _, id := range slices.Sorted(maps.Keys(e.jobs)) {
		job := e.jobs[id]
		job.lost = true
		job.first.Fire()
		job.done.Fire()
	}
	e.jobs = make(map[string]*simulatedJob)
}

func (e *simulatedEngine) recover() {
	e.down, e.hanging, e.stepFactor = false, false, 1
	e.wake.Fire()
}

// cacheStats returns the cache statistics since the start, including those before crashes.
func (e *simulatedEngine) cacheStats() emulator.CacheStats {
	return e.statsBeforeCrash.Add(e.model.Cache())
}
