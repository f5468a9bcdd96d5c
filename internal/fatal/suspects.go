package fatal

import (
	"slices"
	"time"
)

// Several requests may be fatal at the same time, and others meet them at one engine after the other. What follows tells which ends other
// requests explain.

// unexplained returns the runs of a request whose engines did not end under another one that is known to be fatal.
func (t *Tracker) unexplained(known *request, sequence []run) []run {
	var rest []run
	for _, ended := range sequence {
		if known.fatal || !t.explained(ended.Engine, ended.BrokenAt) {
			rest = append(rest, ended)
		}
	}
	return rest
}

// explained reports whether an engine that ended at a time did so under a request that is known to be fatal.
func (t *Tracker) explained(engine string, at time.Time) bool {
	for _, known := range t.requests {
		if known.fatal && ranAt(known.runs, engine, at) {
			return true
		}
	}
	return false
}

// covered reports whether all engines that ended under a request did so under others that may be fatal, too, one of which explains an
// end that the request does not. Most likely the request met fatal ones each time.
func (t *Tracker) covered(known *request, sequence []run) bool {
	explainsMore := false
	for _, ended := range sequence {
		others := t.suspectsAt(ended.Engine, ended.BrokenAt, known)
		if len(others) == 0 {
			return false
		}
		for _, other := range others {
			explainsMore = explainsMore || t.explainsAlone(other) > 0
		}
	}
	return explainsMore
}

// outweighed reports whether all engines that ended under a request also ended under another one that may be fatal, whose runs there
// were shorter in total. One of the two explains these ends, and a fatal request tends to end its engine sooner than another event does.
func (t *Tracker) outweighed(key Key, sequence []run) bool {
	for otherKey, other := range t.requests {
		if otherKey == key {
			continue
		}
		own, others, shared := sharedExposure(sequence, other.suspectedRuns())
		if shared == len(sequence) && (others < own || (others == own && otherKey < key)) {
			return true
		}
	}
	return false
}

// sharedExposure returns how many engines ended under the runs of both requests, and how long these runs took in total.
func sharedExposure(runs, others []run) (own, other time.Duration, shared int) {
	for _, ended := range runs {
		index := slices.IndexFunc(others, func(cause run) bool { return cause.explains(ended.Engine, ended.BrokenAt) })
		if index >= 0 {
			shared++
			own += ended.exposure()
			other += others[index].exposure()
		}
	}
	return own, other, shared
}

// explainsAlone returns how many engines have ended under a request and no other one that may be fatal.
func (t *Tracker) explainsAlone(known *request) int {
	count := 0
	for _, ended := range known.suspectedRuns() {
		if ended.ended && len(t.suspectsAt(ended.Engine, ended.BrokenAt, known)) == 0 {
			count++
		}
	}
	return count
}

// probablyExplained reports whether an engine that ended at a time did so under a request that is known to be fatal or explains
// minUnexplained ends alone.
func (t *Tracker) probablyExplained(engine string, at time.Time) bool {
	return slices.ContainsFunc(t.suspectsAt(engine, at, nil), func(known *request) bool {
		return known.fatal || t.explainsAlone(known) >= minUnexplained
	})
}

// suspectsAt returns the requests that may be fatal, except one, under which an engine ended at a time.
func (t *Tracker) suspectsAt(engine string, at time.Time, except *request) []*request {
	var suspects []*request
	for _, known := range t.requests {
		if known != except && ranAt(known.suspectedRuns(), engine, at) {
			suspects = append(suspects, known)
		}
	}
	return suspects
}

// suspectedRuns returns the runs for which the request may be fatal: all if it is known to be, otherwise those of calls under which
// enough engines ended.
func (r *request) suspectedRuns() []run {
	if r.fatal {
		return r.runs
	}
	ends := make(map[uint32]int)
	for _, candidate := range r.runs {
		if candidate.ended {
			ends[candidate.call]++
		}
	}
	var suspected []run
	for _, candidate := range r.runs {
		if ends[candidate.call] >= minEnds {
			suspected = append(suspected, candidate)
		}
	}
	return suspected
}

// ranAt reports whether an engine ended at a time under one of the runs.
func ranAt(runs []run, engine string, at time.Time) bool {
	return slices.ContainsFunc(runs, func(cause run) bool { return cause.explains(engine, at) })
}

// explains reports whether an engine that ended at a time did so under the run. An engine that starts again may end under another one soon.
func (r run) explains(engine string, at time.Time) bool {
	if !r.ended || r.Engine != engine {
		return false
	}
	early, late := r.BrokenAt.Sub(at), at.Sub(r.BrokenAt)
	return late < minLife && early < sameEndTolerance && at.After(r.SentAt.Add(-minLife))
}
