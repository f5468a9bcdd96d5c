package fatal

import (
	"slices"
	"time"
)

// EngineEnded records that an engine has ended. late means that the end may have been up to maxLapse before. It returns the
// requests that are known to have run there, and whether the end was not known yet.
func (t *Tracker) EngineEnded(now time.Time, engine, service string, late bool) (requests []string, isNew bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	requests = t.provePending(now, engine, (*request).proveEnd)
	return t.noteEnd(now, engine, service, late, requests)
}

// EngineRestarted is like EngineEnded for an engine that has started again under its ID, also if it accepted connections since. probed is set
// if a probe that followed each interruption shows that: all that are pending then belong to the life that has ended. Otherwise one end
// explains one of them.
func (t *Tracker) EngineRestarted(now time.Time, engine, service string, probed bool) (requests []string, isNew bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	requests = t.provePending(now, engine, func(known *request, now time.Time, engine string) []string {
		return known.proveRestart(now, engine, probed)
	})
	t.keepPending(engine)
	return t.noteEnd(now, engine, service, true, requests)
}

// provePending proves the end of an engine for all requests with pending runs there, and returns their calls. The caller holds the mutex.
func (t *Tracker) provePending(now time.Time, engine string, prove func(*request, time.Time, string) []string) (requests []string) {
	for key := range t.pending[engine] {
		known := t.requests[key]
		requests = append(requests, prove(known, now, engine)...)
		t.changed[key] = struct{}{}
		t.dropIfIdle(key, known)
	}
	delete(t.pending, engine)
	return requests
}

// keepPending indexes the requests with runs that are still pending at an engine. The caller holds the mutex.
func (t *Tracker) keepPending(engine string) {
	for key, known := range t.requests {
		if known.isPendingAt(engine) {
			if t.pending[engine] == nil {
				t.pending[engine] = make(keySet)
			}
			t.pending[engine][key] = struct{}{}
		}
	}
}

// noteEnd records the end of an engine. It returns the requests that it ran, a bounded number of them, and whether the end was not known
// yet. The caller holds the mutex.
func (t *Tracker) noteEnd(now time.Time, engine, service string, late bool, proved []string) (requests []string, isNew bool) {
	requests = append(proved, t.claimAbandoned(now, engine, late)...)
	requests = requests[:min(len(requests), maxLoggedRequests)]
	last, found := t.ends[engine]
	isNew = len(requests) > 0 || !found || now.Sub(last.at) > proofWindow
	if isNew {
		t.expire(now)
		t.ends[engine] = engineEnd{service: service, at: now, late: late}
	}
	return requests, isNew
}

// EngineAccepted records that an engine accepted a connection at a time. If it ended under the runs that were interrupted there before, it
// has started again.
func (t *Tracker) EngineAccepted(at time.Time, engine string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for key := range t.pending[engine] {
		known := t.requests[key]
		for index := range known.runs {
			interrupted := &known.runs[index]
			interrupted.accepted = interrupted.accepted || (interrupted.pendingAt(engine) && interrupted.BrokenAt.Before(at))
		}
	}
}

// EngineAlive records that an engine was alive at a time, and had not started again since: runs that were interrupted there before did not
// end it.
func (t *Tracker) EngineAlive(at time.Time, engine string) { t.EngineLived(time.Time{}, at, engine) }

// EngineLived records that the same life of an engine lasted from one time to another: runs that were interrupted there in between did not
// end it.
func (t *Tracker) EngineLived(from, until time.Time, engine string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for key := range t.pending[engine] {
		known := t.requests[key]
		known.runs = slices.DeleteFunc(known.runs, func(interrupted run) bool {
			return interrupted.pendingAt(engine) && interrupted.BrokenAt.Before(until) && interrupted.BrokenAt.After(from)
		})
		if !known.isPendingAt(engine) {
			t.removePending(engine, key)
		}
		t.dropIfIdle(key, known)
	}
}

// proveRestart records that an engine has ended and started again, and returns the calls whose runs that explains.
func (r *request) proveRestart(now time.Time, engine string, probed bool) (calls []string) {
	r.dropPending(engine, now.Add(-proofWindow))
	if probed {
		return r.endPending(engine)
	}
	counted := make(map[uint32]bool)
	for index := range r.runs {
		interrupted := &r.runs[index]
		if interrupted.pendingAt(engine) && !counted[interrupted.call] {
			counted[interrupted.call] = true
			interrupted.ended = true
			calls = append(calls, interrupted.request)
		}
	}
	return calls
}

// proveEnd records that an engine has ended, and returns the calls whose runs that explains. A run does not count if the engine has run
// the request again after it, or accepted connections.
func (r *request) proveEnd(now time.Time, engine string) (calls []string) {
	r.runs = slices.DeleteFunc(r.runs, func(interrupted run) bool { return interrupted.pendingAt(engine) && interrupted.accepted })
	var lastSentAt time.Time
	for _, interrupted := range r.runs {
		if interrupted.pendingAt(engine) && interrupted.SentAt.After(lastSentAt) {
			lastSentAt = interrupted.SentAt
		}
	}
	r.dropPending(engine, lastSentAt)
	r.dropPending(engine, now.Add(-proofWindow))
	return r.endPending(engine)
}

// endPending marks the pending runs at an engine as ended and returns their calls.
func (r *request) endPending(engine string) (calls []string) {
	for index := range r.runs {
		if r.runs[index].pendingAt(engine) {
			r.runs[index].ended = true
			calls = append(calls, r.runs[index].request)
		}
	}
	return calls
}

// Abandoned records that a caller has left a run: an engine that ends shortly afterwards may have ended under it. Nothing else needs to be
// recorded of the call.
func (t *Tracker) Abandoned(call Call, left Run) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.endedSince(left.BrokenAt, left) {
		t.addRun(left.BrokenAt, call.Key, run{Run: left, request: call.Request, call: callHash(call.Request), beganAt: call.BeganAt, callFailed: true, ended: true})
		return
	}
	if len(t.abandoned) >= maxAbandoned {
		t.abandoned = slices.Delete(t.abandoned, 0, 1)
	}
	t.abandoned = append(t.abandoned, abandonedRun{key: call.Key, run: run{
		Run: left, request: call.Request, call: callHash(call.Request), beganAt: call.BeganAt, callFailed: true, ended: true,
	}})
}

// claimAbandoned records the end of an engine for the runs there that callers have just left. The caller holds the mutex.
func (t *Tracker) claimAbandoned(now time.Time, engine string, late bool) (requests []string) {
	window := abandonWindow
	if late {
		window += maxLapse
	}
	kept := t.abandoned[:0]
	for _, left := range t.abandoned {
		switch {
		case now.Sub(left.BrokenAt) > abandonWindow+maxLapse:
		case left.Engine != engine || now.Sub(left.BrokenAt) > window:
			kept = append(kept, left)
		default:
			t.addRun(now, left.key, left.run)
			requests = append(requests, left.request)
		}
	}
	t.abandoned = kept
	return requests
}
