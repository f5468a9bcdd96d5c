package fatal

import (
	"slices"
	"time"
)

const (
	// minEnds is how many engines must have ended under a fatal request. maxEnds is how many are enough whatever else happened.
	minEnds = 3
	maxEnds = 8
	// maxChance is the greatest probability of the ends under a fatal request if chance caused them.
	maxChance = 1e-3
	// baseRate is the assumed rate at which an engine ends by itself, per second, when no other engine does.
	baseRate = 0.001
	// rateWindow is the time before and after an end in which ends of other engines count for the rate.
	rateWindow = 250 * time.Millisecond
	// maxLapse is how long after the end of an engine its record may be removed.
	maxLapse = 1200 * time.Millisecond
	// minExposure is the shortest duration that a run counts with.
	minExposure = time.Millisecond
	// overlapTolerance is how much two runs may seem to overlap though one followed the other: reports arrive with a delay.
	overlapTolerance = 30 * time.Millisecond
)

// IsFatal reports whether a request ends the engines that run it.
func (t *Tracker) IsFatal(now time.Time, key Key) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.requests[key]
	if known == nil {
		return false
	}
	sequence := t.sequential(now, known.runs)
	if len(sequence) < minEnds {
		return false
	}
	chance := 1.0
	for _, ended := range sequence {
		chance *= t.chance(now, ended, sequence)
	}
	return chance < maxChance || len(sequence) >= maxEnds
}

// sequential returns the runs that ended their engines and of which each began after the one before was interrupted. Several
// callers may send the same content at once, and a failure of a rack then ends several engines under it. Ends at a version of the
// software that is not in use any more don't count.
func (t *Tracker) sequential(now time.Time, runs []run) []run {
	var ended []run
	for _, candidate := range runs {
		if candidate.ended && now.Sub(candidate.BrokenAt) <= retention && t.fleet.Serves(candidate.Service, candidate.Software) {
			ended = append(ended, candidate)
		}
	}
	slices.SortStableFunc(ended, func(a, b run) int { return a.BrokenAt.Compare(b.BrokenAt) })
	var sequence []run
	for _, candidate := range ended {
		if len(sequence) == 0 || !candidate.SentAt.Add(overlapTolerance).Before(sequence[len(sequence)-1].BrokenAt) {
			sequence = append(sequence, candidate)
		}
	}
	return sequence
}

// chance returns the probability that the engine of a run ended by itself during the run, from the rate at which engines of its
// service that did not run the request ended around that time.
func (t *Tracker) chance(now time.Time, ended run, sequence []run) float64 {
	others := 0
	for engine, end := range t.ends {
		under := slices.ContainsFunc(sequence, func(candidate run) bool { return candidate.Engine == engine })
		if !under && end.service == ended.Service && end.near(ended.BrokenAt) {
			others++
		}
	}
	observed := rateWindow + min(max(now.Sub(ended.BrokenAt), 0), rateWindow)
	engines := max(t.fleet.Engines(ended.Service), 1)
	rate := max(float64(others)/(float64(engines)*observed.Seconds()), baseRate)
	exposure := max(ended.BrokenAt.Sub(ended.SentAt), minExposure)
	return min(max(rate*exposure.Seconds(), ended.chance), 1)
}

// near reports whether the end may have happened around a time.
func (e engineEnd) near(at time.Time) bool {
	latest := at.Add(rateWindow)
	if e.late {
		latest = latest.Add(maxLapse)
	}
	return !e.at.Before(at.Add(-rateWindow)) && !e.at.After(latest)
}
