package scheduler

import (
	"slices"
	"time"

	"github.com/mountstile/mountstile/internal/owner"
	"github.com/mountstile/mountstile/internal/resource"
)

// candidates returns at most maxCandidates engines: the call's warm engine and a random sample of the others, so that
// the cost of a decision does not grow with the pool.
func (s *Scheduler) candidates(call Call, pool *resource.Pool) []Candidate {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.now()
	result := make([]Candidate, 0, min(maxCandidates, len(pool.Engines)))
	for _, index := range s.sampleIndexes(call.WarmEngine, pool.Engines) {
		candidate := Candidate{Engine: pool.Engines[index], Load: s.loadOf(pool.Engines[index], now), Unused: s.sinceLastChosen(pool.Engines[index].Name, now)}
		candidate.Reason = exclusionReason(candidate, call)
		result = append(result, candidate)
	}
	setOtherWaits(result)
	setSlowness(result)
	return result
}

// minStepSamples is the minimum number of known step times for a median.
const minStepSamples = 3

// setSlowness sets Slowness to the step time as a multiple of the candidates' median.
func setSlowness(candidates []Candidate) {
	var steps []int64
	for index := range candidates {
		candidates[index].Slowness = 1
		if step := candidates[index].Load.StepMicros; step > 0 {
			steps = append(steps, step)
		}
	}
	if len(steps) < minStepSamples {
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

// setOtherWaits sets OtherWait to the shortest wait among the other candidates without a Reason.
func setOtherWaits(candidates []Candidate) {
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

// sampleIndexes returns the indexes of the candidates: of all engines, or of a sample with the warm engine first if there are
// more than maxCandidates. The caller holds the mutex.
func (s *Scheduler) sampleIndexes(warmEngine string, engines []resource.Engine) []int {
	if len(engines) <= maxCandidates {
		all := make([]int, len(engines))
		for index := range engines {
			all[index] = index
		}
		return all
	}
	chosen := make([]int, 0, maxCandidates)
	if warm := slices.IndexFunc(engines, func(engine resource.Engine) bool { return engine.Name == warmEngine }); warm >= 0 {
		chosen = append(chosen, warm)
	}
	for len(chosen) < maxCandidates {
		if index := s.randomInt(len(engines)); !slices.Contains(chosen, index) {
			chosen = append(chosen, index)
		}
	}
	return chosen
}

// loadOf returns the last load that the engine's owner reported, or an idle one if there is none within loadTTL.
// The caller holds the mutex.
func (s *Scheduler) loadOf(engine resource.Engine, now time.Time) owner.Load {
	cached, exists := s.loads[engine.Name]
	if !exists || now.Sub(cached.receivedAt) > loadTTL {
		return owner.Load{Engine: engine.Name, Slots: engine.Slots}
	}
	return cached.load
}

// unusedIfNeverChosen is the Unused time of an engine that was never chosen.
const unusedIfNeverChosen = time.Hour

func (s *Scheduler) sinceLastChosen(name string, now time.Time) time.Duration {
	if chosenAt, known := s.lastChosen[name]; known {
		return now.Sub(chosenAt)
	}
	return unusedIfNeverChosen
}
