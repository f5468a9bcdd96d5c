package scheduler

import (
	"slices"
	"time"

	"github.com/mountstile/mountstile/internal/owner"
	"github.com/mountstile/mountstile/internal/resource"
)

// candidates is the short list: the program's engine, then others drawn at random, so that the cost
// of a decision does not grow with the pool.
func (s *Scheduler) candidates(call Call, pool *resource.Pool) []Candidate {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.now()
	result := make([]Candidate, 0, min(shortlist, len(pool.Engines)))
	for _, index := range s.chooseIndexes(call.WarmEngine, pool.Engines) {
		candidate := Candidate{Engine: pool.Engines[index], Load: s.loadOf(pool.Engines[index], now), Unused: s.unused(pool.Engines[index].Name, now)}
		candidate.Reason = unusable(candidate, call)
		result = append(result, candidate)
	}
	compareWaits(result)
	compareSteps(result)
	return result
}

// leastSteps is how many engines' step times make a median that one can be slower than.
const leastSteps = 3

// compareSteps tells each candidate how much slower it is than most.
func compareSteps(candidates []Candidate) {
	var steps []int64
	for index := range candidates {
		candidates[index].Slowness = 1
		if step := candidates[index].Load.StepMicros; step > 0 {
			steps = append(steps, step)
		}
	}
	if len(steps) < leastSteps {
		return
	}
	slices.Sort(steps)
	median := float64(steps[len(steps)/2])
	for index, candidate := range candidates {
		if candidate.Load.StepMicros > 0 {
			candidates[index].Slowness = float64(candidate.Load.StepMicros) / median
		}
	}
}

// compareWaits tells each candidate the shortest wait among the others.
func compareWaits(candidates []Candidate) {
	shortest, second := -1, -1
	for index, candidate := range candidates {
		switch {
		case candidate.Reason != "":
		case shortest < 0 || candidate.wait() < candidates[shortest].wait():
			shortest, second = index, shortest
		case second < 0 || candidate.wait() < candidates[second].wait():
			second = index
		}
	}
	for index := range candidates {
		other := shortest
		if index == shortest {
			other = second
		}
		if other >= 0 {
			candidates[index].OtherWait = candidates[other].wait()
		}
	}
}

func (s *Scheduler) chooseIndexes(warmEngine string, engines []resource.Engine) []int {
	if len(engines) <= shortlist {
		all := make([]int, len(engines))
		for index := range engines {
			all[index] = index
		}
		return all
	}
	chosen := make([]int, 0, shortlist)
	if last := slices.IndexFunc(engines, func(engine resource.Engine) bool { return engine.Name == warmEngine }); last >= 0 {
		chosen = append(chosen, last)
	}
	for len(chosen) < shortlist {
		if index := s.draw(len(engines)); !slices.Contains(chosen, index) {
			chosen = append(chosen, index)
		}
	}
	return chosen
}

func (s *Scheduler) loadOf(engine resource.Engine, now time.Time) owner.Load {
	known, exists := s.loads[engine.Name]
	if !exists || now.Sub(known.at) > loadTTL {
		return owner.Load{Engine: engine.Name, Slots: engine.Slots}
	}
	return known.load
}

// neverChosen stands for an engine that was not chosen yet.
const neverChosen = time.Hour

func (s *Scheduler) unused(name string, now time.Time) time.Duration {
	if at, known := s.chosen[name]; known {
		return now.Sub(at)
	}
	return neverChosen
}
