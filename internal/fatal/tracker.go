package fatal

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// retention is how long interrupted runs of a request are remembered.
	retention = 10 * time.Minute
	// endRetention is how long ends of engines are remembered.
	endRetention = time.Minute
	// maxRequests and maxRunsPerRequest bound the memory; the oldest are dropped.
	maxRequests       = 1024
	maxRunsPerRequest = 16
	// maxLoggedRequests bounds the request IDs that EngineEnded returns.
	maxLoggedRequests = 16
	// decisionTime is how long it may take to find out whether an engine survived. A run that is undecided for longer counts as an end.
	decisionTime = 2 * time.Second
	// minLife is the least time between two ends of an engine that starts again.
	minLife = 40 * time.Millisecond
	// sameEndTolerance is how far apart calls may notice the same end of an engine that ran them at the same time. endNewsTolerance is how long before
	// the interruption of a run the end of its engine may have become known.
	sameEndTolerance = 150 * time.Millisecond
	endNewsTolerance = 500 * time.Millisecond
)

// Call is a caller's attempt at a request.
type Call struct {
	// Key is that of the request's content, Request the ID of the attempt.
	Key     Key
	Request string
}

// Run is a run of a request that was interrupted, or that was left.
type Run struct {
	// Engine is the engine's ID, Service its service, Software the version of its software.
	Engine   string
	Service  string
	Software string
	// StartedMillis is when the engine had started, as a Unix time by its own clock and as far as it was known when the request was sent; 0 if
	// it was not. Two of them differ if the engine has started again.
	StartedMillis int64
	// SentAt is when the request was sent to the engine, BrokenAt when the run was interrupted or left.
	SentAt   time.Time
	BrokenAt time.Time
	// Silent is set if nothing came from the engine during the run.
	Silent bool
	// MayRunUntil is until when the engine may go on with a run that was left; zero if the engine has interrupted it.
	MayRunUntil time.Time
}

// run is a Run of a call at this gateway or another one.
type run struct {
	Run
	// request is the ID of the call; empty if the call ran at another gateway. call is a hash of that ID.
	request string
	call    uint32
	// endedAt is when it was proved that the engine ended; zero while it is undecided.
	endedAt time.Time
	// report is the name of the report that shares this run; empty while it isn't shared. foreign is set if another gateway reported it.
	report  string
	foreign bool
}

// request holds the interrupted runs of one request, oldest first.
type request struct {
	runs   []run
	seenAt time.Time
	// refused is set once Refused was called for it, sound if it was completed lately, here or at a gateway that reported a run of it.
	refused, sound bool
}

// engineEnd is the last end of one engine.
type engineEnd struct {
	service string
	at      time.Time
}

// Tracker records the ends of engines and the requests that they interrupted. All methods may be called concurrently.
type Tracker struct {
	mutex    sync.Mutex
	requests map[Key]*request
	// ends are the last ends of engines, by the engine's ID.
	ends map[string]engineEnd
	// pending are the requests with undecided runs at an engine, by the engine's ID.
	pending map[string]keySet
	// changed are the requests that Unshared has to look at, retracted the names of reports whose engines turned out to have survived.
	changed   keySet
	retracted []string
	// left are the last runs that engines may go on with, oldest first.
	left  []leftRun
	sound soundRequests
}

type keySet map[Key]struct{}

// NewTracker returns an empty Tracker.
func NewTracker() *Tracker {
	return &Tracker{requests: make(map[Key]*request), ends: make(map[string]engineEnd), pending: make(map[string]keySet), changed: make(keySet)}
}

// Empty reports whether no interrupted run is known.
func (t *Tracker) Empty() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.requests) == 0
}

// Known reports whether any run of a request is known that may have ended its engine.
func (t *Tracker) Known(key Key) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.requests[key] != nil
}

// Undecided reports whether it is not known whether an engine has ended under a run of this gateway.
func (t *Tracker) Undecided(engine string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for key := range t.pending[engine] {
		for _, interrupted := range t.requests[key].runs {
			if interrupted.undecidedAt(engine) && !interrupted.foreign {
				return true
			}
		}
	}
	return false
}

// UndecidedEngines returns the engines of which it is not known whether they have ended under a request.
func (t *Tracker) UndecidedEngines(key Key) (engines []string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.requests[key]
	if known == nil {
		return nil
	}
	for _, interrupted := range known.runs {
		if !interrupted.ended() && !slices.Contains(engines, interrupted.Engine) {
			engines = append(engines, interrupted.Engine)
		}
	}
	return engines
}

// Interrupted records a run that was interrupted. It counts as an end of its engine until it is shown that the engine survived.
func (t *Tracker) Interrupted(now time.Time, call Call, interrupted Run) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	added := run{Run: interrupted, request: call.Request, call: callHash(call.Request)}
	if t.endedSince(interrupted) {
		added.endedAt = now
	}
	t.addRun(now, call.Key, added)
}

// EndedSince reports whether an engine is known to have ended after a time, or shortly before.
func (t *Tracker) EndedSince(engine string, since time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	end, found := t.ends[engine]
	return found && end.at.After(since.Add(-endNewsTolerance))
}

// endedSince reports whether the engine of a run is known to have ended since the run was sent: news of that may come before the gateway notices
// the interruption. The caller holds the mutex.
func (t *Tracker) endedSince(interrupted Run) bool {
	end, found := t.ends[interrupted.Engine]
	return found && !end.at.Before(interrupted.SentAt)
}

// Completed records that a run of the request was completed by its engine. It returns the names of the reports that share its runs
// and have to be withdrawn.
func (t *Tracker) Completed(key Key) (withdrawn []string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.left = slices.DeleteFunc(t.left, func(left leftRun) bool { return left.key == key })
	known := t.requests[key]
	if known == nil {
		return nil
	}
	t.forget(key)
	for _, interrupted := range known.runs {
		if interrupted.report != "" {
			withdrawn = append(withdrawn, interrupted.report)
		}
	}
	return withdrawn
}

// Sound records that a run of the request was completed without a failure of its engine.
func (t *Tracker) Sound(now time.Time, key Key) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.sound.add(now, key)
}

// Count returns how many engines have ended under a request, over all its calls, and how many may have.
func (t *Tracker) Count(now time.Time, key Key) (count Count) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.requests[key]
	if known == nil {
		return Count{Sound: t.sound.has(now, key)}
	}
	count.Sound = known.sound
	for _, end := range t.distinctEnds(now, key) {
		if end.decidedAt(now) {
			count.Ended++
		} else {
			count.Undecided++
		}
	}
	return count
}

// Refused records that a request is not sent again, and returns the engines that ended under it, oldest first. isNew is set if it was not
// recorded before.
func (t *Tracker) Refused(now time.Time, key Key) (engines []string, isNew bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, end := range t.distinctEnds(now, key) {
		if end.ended() {
			engines = append(engines, end.Engine)
		}
	}
	if known := t.requests[key]; known != nil {
		isNew = !known.refused
		known.refused = true
	}
	return engines, isNew
}

// distinctEnds returns one run of a request for each end of an engine that is proved or possible. The caller holds the mutex.
func (t *Tracker) distinctEnds(now time.Time, key Key) (distinct []run) {
	known := t.requests[key]
	if known == nil {
		return nil
	}
	sorted := slices.Clone(known.runs)
	slices.SortStableFunc(sorted, func(a, b run) int { return a.BrokenAt.Compare(b.BrokenAt) })
	for _, candidate := range sorted {
		index := slices.IndexFunc(distinct, func(earlier run) bool {
			return candidate.sharesEnd(earlier) || candidate.repeatsEnd(now, earlier)
		})
		switch {
		case now.Sub(candidate.BrokenAt) > retention:
		case index < 0:
			distinct = append(distinct, candidate)
		case !distinct[index].ended():
			distinct[index].endedAt = candidate.endedAt
		}
	}
	return distinct
}

// decidedAt reports whether a run counts as an end of its engine: that is proved, or nothing has refuted it for decisionTime.
func (r run) decidedAt(now time.Time) bool { return r.ended() || now.Sub(r.BrokenAt) > decisionTime }

// sharesEnd reports whether one end of an engine interrupted both this run and an earlier one. That is so for runs at the same time, unless they were
// in different lives of the engine. The start that was known when a run was sent does not show that it shared the life of an earlier one, which may have
// ended unnoticed.
func (r run) sharesEnd(earlier run) bool {
	apart := r.BrokenAt.Sub(earlier.BrokenAt).Abs()
	overlap := r.call != earlier.call && r.SentAt.Before(earlier.BrokenAt) && earlier.SentAt.Before(r.BrokenAt)
	return r.mayShareLife(earlier) && (apart < minLife || (overlap && apart < sameEndTolerance))
}

// repeatsEnd reports whether this run tells of no other end than an earlier one, since nothing was answered to it: its engine may have been
// unreachable. While it is undecided why the engine, or the link, broke the run off, the engine may as well have started in between.
func (r run) repeatsEnd(now time.Time, earlier run) bool {
	mayBeNewLife := r.MayRunUntil.IsZero() && !r.decidedAt(now)
	endedBetween := earlier.ended() && !earlier.endedAt.After(r.SentAt)
	return r.mayShareLife(earlier) && r.Silent && !mayBeNewLife && !endedBetween && !r.outlasts(earlier)
}

// outlasts reports whether this run was broken off long after the end of an earlier one was proved: a request that waits behind a listening socket that
// outlives its process runs in the next life.
func (r run) outlasts(earlier run) bool {
	return r.MayRunUntil.IsZero() && earlier.ended() && r.BrokenAt.Sub(earlier.endedAt) > sameEndTolerance
}

// mayShareLife reports whether two runs may have been in the same life of an engine.
func (r run) mayShareLife(other run) bool {
	bothStarts := min(r.StartedMillis, other.StartedMillis) > 0
	return r.Engine == other.Engine && (!bothStarts || r.StartedMillis == other.StartedMillis)
}

// addRun adds a run to a request. The caller holds the mutex.
func (t *Tracker) addRun(now time.Time, key Key, added run) {
	known := t.request(now, key)
	known.runs = append(known.runs, added)
	if len(known.runs) > maxRunsPerRequest {
		oldest := known.runs[0]
		known.runs = slices.Delete(known.runs, 0, 1)
		if !known.isUndecidedAt(oldest.Engine) {
			t.removePending(oldest.Engine, key)
		}
	}
	t.changed[key] = struct{}{}
	if added.ended() {
		return
	}
	if t.pending[added.Engine] == nil {
		t.pending[added.Engine] = make(keySet)
	}
	t.pending[added.Engine][key] = struct{}{}
}

// request returns the state of a request, which it creates if necessary. The caller holds the mutex.
func (t *Tracker) request(now time.Time, key Key) *request {
	known := t.requests[key]
	if known == nil {
		t.expire(now)
		known = &request{sound: t.sound.has(now, key)}
		t.requests[key] = known
	}
	known.seenAt = now
	return known
}

// expire drops what is too old, and the oldest request if there are too many. The caller holds the mutex.
func (t *Tracker) expire(now time.Time) {
	var oldest Key
	for key, known := range t.requests {
		switch {
		case now.Sub(known.seenAt) > retention:
			t.forget(key)
		case oldest == "" || known.seenAt.Before(t.requests[oldest].seenAt):
			oldest = key
		}
	}
	if len(t.requests) >= maxRequests {
		t.forget(oldest)
	}
	for engine, end := range t.ends {
		if now.Sub(end.at) > endRetention {
			delete(t.ends, engine)
		}
	}
}

// forget drops a request. The caller holds the mutex.
func (t *Tracker) forget(key Key) {
	known := t.requests[key]
	if known == nil {
		return
	}
	delete(t.requests, key)
	delete(t.changed, key)
	for _, interrupted := range known.runs {
		t.removePending(interrupted.Engine, key)
	}
}

// removePending removes a request from those with undecided runs at an engine. The caller holds the mutex.
func (t *Tracker) removePending(engine string, key Key) {
	delete(t.pending[engine], key)
	if len(t.pending[engine]) == 0 {
		delete(t.pending, engine)
	}
}

// ended reports whether it is proved that the engine ended.
func (r run) ended() bool { return !r.endedAt.IsZero() }

// undecidedAt reports whether the run was interrupted at an engine of which it is not known yet whether it ended.
func (r run) undecidedAt(engine string) bool { return r.Engine == engine && !r.ended() }

// isUndecidedAt reports whether a run of the request is undecided at an engine.
func (r *request) isUndecidedAt(engine string) bool {
	return slices.ContainsFunc(r.runs, func(interrupted run) bool { return interrupted.undecidedAt(engine) })
}

// dropRuns forgets some runs of a request, and the request if it has no others. It returns the names of their reports. The caller holds the
// mutex.
func (t *Tracker) dropRuns(key Key, drop func(run) bool) (reports []string) {
	known := t.requests[key]
	var dropped []run
	known.runs = slices.DeleteFunc(known.runs, func(interrupted run) bool {
		if drop(interrupted) {
			dropped = append(dropped, interrupted)
			return true
		}
		return false
	})
	for _, interrupted := range dropped {
		if !known.isUndecidedAt(interrupted.Engine) {
			t.removePending(interrupted.Engine, key)
		}
		if interrupted.report != "" {
			reports = append(reports, interrupted.report)
		}
	}
	if len(known.runs) == 0 {
		t.forget(key)
	}
	return reports
}

// Calm returns how long ago the last engine of a service ended other than under a request.
func (t *Tracker) Calm(now time.Time, key Key, service string) time.Duration {
	calm := endRetention
	t.eachOtherEnd(key, service, func(at time.Time) { calm = min(calm, now.Sub(at)) })
	return calm
}

// Storm returns how many engines of a service have ended within a time other than under a request.
func (t *Tracker) Storm(now time.Time, key Key, service string, within time.Duration) (ends int) {
	t.eachOtherEnd(key, service, func(at time.Time) {
		if now.Sub(at) <= within {
			ends++
		}
	})
	return ends
}

// eachOtherEnd calls visit with the last end of each engine of a service that did not run a request.
func (t *Tracker) eachOtherEnd(key Key, service string, visit func(at time.Time)) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.requests[key]
	for engine, end := range t.ends {
		if end.service == service && (known == nil || !known.ranOn(engine)) {
			visit(end.at)
		}
	}
}

// ranOn reports whether any run of the request was at an engine.
func (r *request) ranOn(engine string) bool {
	return slices.ContainsFunc(r.runs, func(candidate run) bool { return candidate.Engine == engine })
}

// callHash returns a hash of a call's ID, which only has to differ between calls with the same content.
func callHash(request string) uint32 { return uint32(xxhash.Sum64String(request)) }
