package fatal

import (
	"slices"
	"time"
)

const (
	// repeatedProof is how long after an end another proof at an engine without interrupted runs tells of the same end.
	repeatedProof = 2 * time.Second
	// maxLapse is how long after the end of an engine its record may be removed.
	maxLapse = 1200 * time.Millisecond
	// maxLeft bounds the runs that engines may go on with, maxLeftTime for how long they are remembered.
	maxLeft     = 1024
	maxLeftTime = 10 * time.Second
)

// leftRun is a run that the gateway has left, at an engine that was alive then.
type leftRun struct {
	run
	key Key
}

// EngineEnded records that an engine has ended, or has started again. late means that the end may have been up to maxLapse before. It
// returns the requests that are known to have run there, and whether the end was not known yet.
func (t *Tracker) EngineEnded(now time.Time, engine, service string, late bool) (requests []string, isNew bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for key := range t.pending[engine] {
		requests = append(requests, t.requests[key].endUndecided(now, engine)...)
		t.changed[key] = struct{}{}
	}
	delete(t.pending, engine)
	requests = append(requests, t.claimLeft(now, engine, late)...)
	requests = requests[:min(len(requests), maxLoggedRequests)]
	last, found := t.ends[engine]
	isNew = len(requests) > 0 || !found || now.Sub(last.at) > repeatedProof
	if isNew {
		t.expire(now)
		t.ends[engine] = engineEnd{service: service, at: now}
	}
	return requests, isNew
}

// endUndecided marks the undecided runs at an engine as ended and returns their calls.
func (r *request) endUndecided(now time.Time, engine string) (calls []string) {
	for index := range r.runs {
		if !r.runs[index].undecidedAt(engine) {
			continue
		}
		r.runs[index].endedAt = now
		if !r.runs[index].foreign {
			calls = append(calls, r.runs[index].request)
		}
	}
	return calls
}

// EngineAlive records that an engine was alive at a time, and had not started again since: runs of this gateway that were interrupted there
// before did not end it.
func (t *Tracker) EngineAlive(at time.Time, engine string) { t.EngineLived(time.Time{}, at, engine) }

// EngineLived records that the same life of an engine lasted from one time to another: runs of this gateway that were sent and interrupted there in
// between did not end it. An interruption may be noticed long after the end of an engine, in its next life. When other gateways sent theirs is not known
// exactly.
func (t *Tracker) EngineLived(from, until time.Time, engine string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.dropSurvived(until, engine, func(interrupted run) bool {
		return !interrupted.foreign && interrupted.BrokenAt.Before(until) && interrupted.SentAt.After(from)
	})
}

// LifeLasts records that the life of an engine that began at startedMillis lasted at a time: no run in it has ended it, whichever gateway
// reported it.
func (t *Tracker) LifeLasts(at time.Time, engine string, startedMillis int64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.dropSurvived(at, engine, func(interrupted run) bool {
		return startedMillis > 0 && interrupted.StartedMillis == startedMillis && (interrupted.foreign || interrupted.BrokenAt.Before(at))
	})
}

// dropSurvived forgets the undecided runs at an engine that it has survived until a time. The caller holds the mutex.
func (t *Tracker) dropSurvived(until time.Time, engine string, hasSurvived func(run) bool) {
	for key := range t.pending[engine] {
		suspect := t.requests[key].isSuspect()
		reports := t.dropRuns(key, func(interrupted run) bool {
			survived := interrupted.undecidedAt(engine) && hasSurvived(interrupted)
			if !survived || !interrupted.MayRunUntil.After(until) {
				return survived
			}
			if !suspect {
				t.leave(key, interrupted)
			}
			return !suspect
		})
		t.retracted = append(t.retracted, reports...)
	}
}

// isSuspect reports whether any run of the request was interrupted by its engine, or is known to have ended it.
func (r *request) isSuspect() bool {
	return slices.ContainsFunc(r.runs, func(interrupted run) bool { return interrupted.ended() || interrupted.MayRunUntil.IsZero() })
}

// Recall returns the engines that may go on with runs of a request under which an engine has ended, or may have. These runs are undecided from
// now on.
func (t *Tracker) Recall(now time.Time, key Key) (engines []string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if known := t.requests[key]; known == nil || !known.isSuspect() {
		return nil
	}
	var recalled []run
	t.left = slices.DeleteFunc(t.left, func(left leftRun) bool {
		if left.key != key {
			return false
		}
		if left.MayRunUntil.After(now) {
			recalled = append(recalled, left.run)
		}
		return true
	})
	for _, left := range recalled {
		t.addRun(now, key, left)
		engines = append(engines, left.Engine)
	}
	return engines
}

// Left records that the gateway has left a run at an engine that was alive: an end of the engine while it may go on with the run counts.
func (t *Tracker) Left(now time.Time, call Call, left Run) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	found := run{Run: left, request: call.Request, call: callHash(call.Request)}
	if t.endedSince(left) {
		found.endedAt = now
		t.addRun(now, call.Key, found)
		return
	}
	t.leave(call.Key, found)
}

// leave remembers a run that its engine may go on with. The caller holds the mutex.
func (t *Tracker) leave(key Key, left run) {
	left.report = ""
	if latest := left.BrokenAt.Add(maxLeftTime); left.MayRunUntil.After(latest) {
		left.MayRunUntil = latest
	}
	if len(t.left) >= maxLeft {
		t.left = slices.Delete(t.left, 0, 1)
	}
	t.left = append(t.left, leftRun{key: key, run: left})
}

// claimLeft records the end of an engine for the runs that it went on with. The caller holds the mutex.
func (t *Tracker) claimLeft(now time.Time, engine string, late bool) (requests []string) {
	latest := now
	if late {
		latest = now.Add(-maxLapse)
	}
	kept := t.left[:0]
	for _, left := range t.left {
		switch {
		case left.Engine == engine && !left.MayRunUntil.Before(latest):
			left.endedAt, left.BrokenAt = now, now
			t.addRun(now, left.key, left.run)
			requests = append(requests, left.request)
		case left.MayRunUntil.After(now.Add(-maxLapse)):
			kept = append(kept, left)
		}
	}
	t.left = kept
	return requests
}
