package fatal

import (
	"math"
	"slices"
	"time"
)

const (
	// minEnds is how many engines must have ended under a fatal request, minUnexplained how many of these not under another one that
	// is known to be fatal. certainEnds is how many of the latter are enough whatever else happened.
	minEnds        = 3
	minUnexplained = 2
	certainEnds    = 8
	// The geometric mean of the probabilities that the engines ended by themselves decides: a request is fatal below certainChance.
	// Below doubtfulChance it is so if no other engine ends until withholdTime after its last run, nor has ended since shortly before
	// that run, which is withholdTime below likelyChance and rateWindow above. If others have ended, it is judged again after each
	// withholdTime until maxWithholdTime: these may have ended under other fatal requests, under which fewer than minEnds engines have
	// ended until then.
	certainChance   = 0.02
	likelyChance    = 0.05
	doubtfulChance  = 0.25
	withholdTime    = 100 * time.Millisecond
	maxWithholdTime = 3 * withholdTime
	// baseRate is the assumed rate at which an engine ends by itself, per second, when no other engine does.
	baseRate = 0.001
	// rateWindow is the time before and after an end in which ends of other engines count for the rate.
	rateWindow = 250 * time.Millisecond
	// maxLapse is how long after the end of an engine its record may be removed.
	maxLapse = 1200 * time.Millisecond
	// minExposure is the shortest duration that a run counts with: a run may begin at an engine that has just ended.
	minExposure = 10 * time.Millisecond
	// minLastingRatio is by how much a run must outlast those whose engines ended to show that the request does not always end them.
	minLastingRatio = 1.25
	// minSharedChance is the probability of as many ends under shared content above which it only met them.
	minSharedChance = 0.05
	// minLife is the least time between two ends of an engine that starts again.
	minLife = 40 * time.Millisecond
	// sameEndTolerance is how far apart two runs may be interrupted by the same end of an engine.
	sameEndTolerance = 500 * time.Millisecond
)

// Verdict tells whether a request ends the engines that run it, and why.
type Verdict struct {
	Fatal bool
	// New is set if the request was not known to be fatal before.
	New bool
	// Engines are those that ended under the request, Chance is the probability that they all ended by themselves.
	Engines []string
	Chance  float64
	// Withhold is how long the request should be withheld before it is judged again; 0 if that would tell nothing.
	Withhold time.Duration
}

// Judge returns whether the request of a call ends the engines that run it.
func (t *Tracker) Judge(now time.Time, call Call) Verdict {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.requests[call.Key]
	if known == nil {
		return Verdict{}
	}
	sequence := t.endedRuns(now, known.runs)
	unexplained := t.unexplained(known, sequence)
	verdict := Verdict{Chance: 1}
	for _, ended := range sequence {
		verdict.Engines = append(verdict.Engines, ended.Engine)
	}
	for _, ended := range unexplained {
		verdict.Chance *= t.chance(now, ended, sequence)
	}
	if len(sequence) < minEnds || len(unexplained) < minUnexplained {
		return verdict
	}
	if !known.fatal && (t.covered(known, sequence) || t.outweighed(call.Key, sequence)) {
		return verdict
	}
	mean := math.Pow(verdict.Chance, 1/float64(max(len(unexplained), minEnds)))
	withheld := now.Sub(lastOf(sequence).BrokenAt)
	switch {
	case !known.fatal && t.isShared(now, call, known, sequence):
	case mean < certainChance, len(unexplained) >= certainEnds:
		verdict.Fatal = true
	case mean >= doubtfulChance:
	case known.fatal:
		verdict.Fatal = true
	case withheld < withholdTime:
		verdict.Withhold = withholdTime - withheld
	case !t.othersEnded(sequence, lookBack(mean)):
		verdict.Fatal = true
	case withheld < maxWithholdTime:
		verdict.Withhold = min(withholdTime, maxWithholdTime-withheld)
	}
	verdict.New = verdict.Fatal && !known.fatal
	if verdict.New {
		known.fatal = true
		t.changed[call.Key] = struct{}{}
	}
	return verdict
}

// endedRuns returns the runs that ended their engines, of all calls of a request, oldest first and one for each end. Ends at a version of the
// software that is not in use any more don't count.
func (t *Tracker) endedRuns(now time.Time, runs []run) (ended []run) {
	for _, candidate := range runs {
		if candidate.ended && now.Sub(candidate.BrokenAt) <= retention && t.fleet.Serves(candidate.Service, candidate.Software) {
			ended = append(ended, candidate)
		}
	}
	slices.SortStableFunc(ended, func(a, b run) int { return a.BrokenAt.Compare(b.BrokenAt) })
	distinct := ended[:0]
	for _, candidate := range ended {
		if !slices.ContainsFunc(distinct, candidate.sharesEnd) {
			distinct = append(distinct, candidate)
		}
	}
	return distinct
}

// sharesEnd reports whether one end of an engine interrupted both runs.
func (r run) sharesEnd(other run) bool {
	apart := r.BrokenAt.Sub(other.BrokenAt).Abs()
	overlap := r.call != other.call && r.SentAt.Before(other.BrokenAt) && other.SentAt.Before(r.BrokenAt)
	return r.Engine == other.Engine && (apart < minLife || (overlap && apart < sameEndTolerance))
}

// isShared reports whether other runs of a request are in progress, one of them for longer than most of those whose engines ended, and no more
// engines have ended than any request would meet that runs for as long in total: each end within that time may have come to each engine. A
// request that ends its engines ends them sooner.
func (t *Tracker) isShared(now time.Time, call Call, known *request, ended []run) bool {
	lasting := t.lasting(now, call.Key, call.Request).add(known.lastingElsewhere(now))
	if lasting.Count == 0 || len(ended) == 0 {
		return false
	}
	exposures := make([]time.Duration, 0, len(ended))
	first, exposure := now.Add(-lasting.Longest), lasting.Total
	for _, run := range ended {
		exposures = append(exposures, run.exposure())
		exposure += run.exposure()
		first = earlier(first, run.SentAt)
	}
	slices.Sort(exposures)
	if float64(lasting.Longest) < minLastingRatio*float64(exposures[len(exposures)/2]) {
		return false
	}
	rate := float64(t.endsSince(first, ended[0].Service)) / float64(max(t.fleet.Engines(ended[0].Service), 1)) / max(now.Sub(first), minExposure).Seconds()
	return poissonTail(len(ended), rate*exposure.Seconds()) >= minSharedChance
}

// lastingTTL is how long a report of runs in progress at other nodes is used.
const lastingTTL = 300 * time.Millisecond

func (r *request) lastingElsewhere(now time.Time) Lasting {
	if now.Sub(r.elsewhereAt) > lastingTTL {
		return Lasting{}
	}
	return r.elsewhere
}

// Shared reports whether the engines that ended under the request of a call are explained by its other runs that go on: it is popular and
// met them.
func (t *Tracker) Shared(now time.Time, call Call) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.requests[call.Key]
	return known != nil && t.isShared(now, call, known, t.endedRuns(now, known.runs))
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// endsSince returns how many engines of a service have ended since a time.
func (t *Tracker) endsSince(since time.Time, service string) int {
	count := 0
	for _, end := range t.ends {
		if end.service == service && !end.at.Before(since) {
			count++
		}
	}
	return count
}

// poissonTail returns the probability of count events or more where mean are expected.
func poissonTail(count int, mean float64) float64 {
	term, below := math.Exp(-mean), 0.0
	for number := range count {
		below += term
		term *= mean / float64(number+1)
	}
	return 1 - below
}

// lastOf returns the run that was interrupted last.
func lastOf(runs []run) run {
	return slices.MaxFunc(runs, func(a, b run) int { return a.BrokenAt.Compare(b.BrokenAt) })
}

// exposure returns how long a run took, or minExposure.
func (r run) exposure() time.Duration { return max(r.BrokenAt.Sub(r.SentAt), minExposure) }

// Calm returns how long ago the last engine of a service ended, other than under a request or under one that is known to be fatal.
func (t *Tracker) Calm(now time.Time, key Key, service string) time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var own []run
	if known := t.requests[key]; known != nil {
		own = known.runs
	}
	calm := endRetention
	for engine, end := range t.ends {
		if end.service == service && !ranOn(own, engine) && !t.explained(engine, end.at) {
			calm = min(calm, now.Sub(end.at))
		}
	}
	return calm
}

// lookBack returns for how long before the last run of a request no other engine may have ended.
func lookBack(meanChance float64) time.Duration {
	if meanChance < likelyChance {
		return withholdTime
	}
	return rateWindow
}

// othersEnded reports whether engines of the service that did not run a request have ended since some time before its last run. Those
// that ended under another request that probably is fatal don't count.
func (t *Tracker) othersEnded(sequence []run, before time.Duration) bool {
	last := lastOf(sequence)
	for engine, end := range t.ends {
		isRecent := end.service == last.Service && end.at.After(last.SentAt.Add(-before))
		if isRecent && !ranOn(sequence, engine) && !t.probablyExplained(engine, end.at) {
			return true
		}
	}
	return false
}

// ranOn reports whether any of the runs was at an engine.
func ranOn(runs []run, engine string) bool {
	return slices.ContainsFunc(runs, func(candidate run) bool { return candidate.Engine == engine })
}

// chance returns the probability that the engine of a run ended by itself during the run, from the rate at which engines of its
// service that did not run the request ended around that time. Those that ended under requests known to be fatal don't count.
func (t *Tracker) chance(now time.Time, ended run, sequence []run) float64 {
	others, down := 0, 0
	for engine, end := range t.ends {
		if end.service != ended.Service || !end.near(ended.BrokenAt) {
			continue
		}
		down++
		if !ranOn(sequence, engine) && !t.explained(engine, end.at) {
			others++
		}
	}
	observed := rateWindow + min(max(now.Sub(ended.BrokenAt), 0), rateWindow)
	up := max(t.fleet.Engines(ended.Service)-down, 1)
	rate := max(float64(others)/(float64(up)*observed.Seconds()), baseRate)
	return min(max(rate*ended.exposure().Seconds(), ended.chance), 1)
}

// near reports whether the end may have happened around a time.
func (e engineEnd) near(at time.Time) bool {
	latest := at.Add(rateWindow)
	if e.late {
		latest = latest.Add(maxLapse)
	}
	return !e.at.Before(at.Add(-rateWindow)) && !e.at.After(latest)
}
