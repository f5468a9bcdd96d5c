package fatal

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// proofWindow is how long after an interruption a proof of the engine's end counts for it. Engines that end silently lose
	// their records about a second later.
	proofWindow = 2 * time.Second
	// retention is how long ends under a request are remembered.
	retention = 10 * time.Minute
	// endRetention is how long ends of engines are remembered.
	endRetention = time.Minute
	// maxRequests and maxRunsPerRequest bound the memory; the oldest are dropped.
	maxRequests       = 1024
	maxRunsPerRequest = 16
	// maxLoggedRequests bounds the request IDs that EngineEnded returns.
	maxLoggedRequests = 16
	// maxAbandoned bounds the runs that callers have left, abandonWindow is how long after that their engine may end under them.
	maxAbandoned  = 256
	abandonWindow = 300 * time.Millisecond
)

// Call is a caller's attempt at a request.
type Call struct {
	// Key is that of the request's content, Request the ID of the attempt.
	Key     Key
	Request string
	BeganAt time.Time
}

// Run is a run of a request that was interrupted.
type Run struct {
	// Engine is the engine's ID, Service its service, Software the version of its software.
	Engine   string
	Service  string
	Software string
	// SentAt is when the request was sent to the engine, BrokenAt when the run was interrupted.
	SentAt   time.Time
	BrokenAt time.Time
}

// run is a Run of a call at this gateway or another one.
type run struct {
	Run
	// request is the ID of the call; empty if the call ran at another gateway. call is a hash of that ID.
	request string
	call    uint32
	beganAt time.Time
	// callFailed is set once the call has ended without an answer.
	callFailed bool
	// ended is set once it is proved that the engine ended.
	ended bool
	// accepted is set if the engine accepted a connection after the interruption: either it lives or it has started again.
	accepted bool
	// report is the name of the report that shares this end; empty while it isn't shared. open is set if it was shared while the
	// call was in progress.
	report string
	open   bool
	// chance is the probability of the end that another gateway reported; 0 for runs of this gateway.
	chance float64
}

// Fleet is what is known of the engines.
type Fleet interface {
	// Engines returns the number of engines of a service that are present or recently were.
	Engines(service string) int
	// Serves reports whether any of them has this version of its software.
	Serves(service, software string) bool
}

// request holds the interrupted runs of one request, oldest first.
type request struct {
	runs []run
	// calls counts the calls with this content that were interrupted and are still in progress at this gateway.
	calls  int
	seenAt time.Time
	// fatal is set once the request was found to be fatal, here or at another gateway.
	fatal bool
	// elsewhere are the runs in progress at other gateways, as they were reported at elsewhereAt.
	elsewhere   Lasting
	elsewhereAt time.Time
}

// engineEnd is the end of one engine.
type engineEnd struct {
	service string
	at      time.Time
	// late is set if only the removal of the engine's record shows the end, which happened up to maxLapse before.
	late bool
}

// Tracker records the ends of engines and the requests that they interrupted. All methods may be called concurrently.
type Tracker struct {
	fleet Fleet
	// observe returns when the runs of a request that are in progress at this gateway were sent, without those of one call.
	observe  func(key Key, except string) []time.Time
	mutex    sync.Mutex
	requests map[Key]*request
	// ends are the last ends of engines, by the engine's ID.
	ends map[string]engineEnd
	// pending are the requests with runs at an engine that may be pending (see pendingAt), by the engine's ID.
	pending map[string]keySet
	// changed are the requests that Unshared has to look at.
	changed keySet
	// abandoned are the last runs that callers have left, oldest first.
	abandoned []abandonedRun
	sound     soundRequests
}

// abandonedRun is a run that its caller has left.
type abandonedRun struct {
	run
	key Key
}

type keySet map[Key]struct{}

// NewTracker returns an empty Tracker.
func NewTracker(fleet Fleet) *Tracker {
	return &Tracker{
		fleet: fleet, requests: make(map[Key]*request), ends: make(map[string]engineEnd),
		pending: make(map[string]keySet), changed: make(keySet),
		observe: func(Key, string) []time.Time { return nil },
	}
}

// ObserveRuns sets the function that returns when the runs of a request that are in progress at this gateway were sent, without those of
// one call. It is called with the Tracker locked, and must be set before any other method is called.
func (t *Tracker) ObserveRuns(observe func(key Key, except string) []time.Time) { t.observe = observe }

// Lasting are runs of a request that are in progress: their number, for how long in total, and the longest.
type Lasting struct {
	Count          int
	Total, Longest time.Duration
}

func (l Lasting) add(other Lasting) Lasting {
	return Lasting{Count: l.Count + other.Count, Total: l.Total + other.Total, Longest: max(l.Longest, other.Longest)}
}

// Lasting returns the runs of a request that are in progress at this gateway.
func (t *Tracker) Lasting(now time.Time, key Key) Lasting {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.lasting(now, key, "")
}

// lasting returns the runs of a request that are in progress at this gateway, without those of one call.
func (t *Tracker) lasting(now time.Time, key Key, except string) Lasting {
	var sum Lasting
	for _, sentAt := range t.observe(key, except) {
		duration := max(now.Sub(sentAt), 0)
		sum = sum.add(Lasting{Count: 1, Total: duration, Longest: duration})
	}
	return sum
}

// LastingElsewhere records the runs of a request that are in progress at other gateways.
func (t *Tracker) LastingElsewhere(now time.Time, key Key, runs Lasting) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if known := t.requests[key]; known != nil {
		known.elsewhere, known.elsewhereAt = runs, now
	}
}

// Empty reports whether no request is known, so that no request can be fatal.
func (t *Tracker) Empty() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.requests) == 0
}

// Known reports whether any run of a request is known that may have ended its engine.
func (t *Tracker) Known(key Key) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.requests[key]
	return known != nil && len(known.runs) > 0
}

// Interrupted records a run that was interrupted. first is set for the first one of a call, which must be followed by a call of
// Completed or Failed when the call ends.
func (t *Tracker) Interrupted(now time.Time, call Call, interrupted Run, first bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if first && !t.sound.has(now, soundKey{call.Key, interrupted.Software}) {
		t.request(now, call.Key).calls++
	}
	ended := t.endedSince(now, interrupted)
	t.addRun(now, call.Key, run{Run: interrupted, request: call.Request, call: callHash(call.Request), beganAt: call.BeganAt, ended: ended})
}

// endedSince reports whether the engine of a run is known to have ended since the run was sent: news of that may come before the gateway notices
// the interruption. The caller holds the mutex.
func (t *Tracker) endedSince(now time.Time, interrupted Run) bool {
	end, found := t.ends[interrupted.Engine]
	return found && !end.at.Before(interrupted.SentAt) && now.Sub(end.at) <= proofWindow
}

// Sound records that a run of a request was completed by an engine with a version of the software: engines of that version that end under other
// runs of the request don't end because of it.
func (t *Tracker) Sound(now time.Time, key Key, software string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.sound.add(now, soundKey{key, software})
}

// Sweep forgets interruptions that are too old to be explained by an end of their engine.
func (t *Tracker) Sweep(now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for engine, keys := range t.pending {
		for key := range keys {
			known := t.requests[key]
			known.dropPending(engine, now.Add(-proofWindow))
			if !known.isPendingAt(engine) {
				t.removePending(engine, key)
			}
			t.dropIfIdle(key, known)
		}
	}
}

// Completed records that a run of the request was completed by its engine. It returns the names of the reports that share its ends
// and have to be withdrawn.
func (t *Tracker) Completed(key Key) (withdrawn []string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
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

// Failed records that a call that was interrupted has ended and was not completed.
func (t *Tracker) Failed(call Call) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.requests[call.Key]
	if known == nil {
		return
	}
	known.calls = max(known.calls-1, 0)
	for index := range known.runs {
		if known.runs[index].call == callHash(call.Request) {
			known.runs[index].callFailed = true
		}
	}
	t.changed[call.Key] = struct{}{}
	t.dropIfIdle(call.Key, known)
}

// addRun adds a run to a request. The caller holds the mutex.
func (t *Tracker) addRun(now time.Time, key Key, added run) {
	if t.sound.has(now, soundKey{key, added.Software}) {
		return
	}
	known := t.request(now, key)
	known.runs = append(known.runs, added)
	if len(known.runs) > maxRunsPerRequest {
		known.runs = slices.Delete(known.runs, 0, 1)
	}
	if added.ended {
		t.changed[key] = struct{}{}
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
		known = &request{}
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
		case known.calls > 0:
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

// dropIfIdle forgets a request without interrupted runs and calls in progress. The caller holds the mutex.
func (t *Tracker) dropIfIdle(key Key, known *request) {
	if len(known.runs) == 0 && known.calls == 0 {
		t.forget(key)
	}
}

// forget drops a request. The caller holds the mutex.
func (t *Tracker) forget(key Key) {
	delete(t.requests, key)
	delete(t.changed, key)
	for engine := range t.pending {
		t.removePending(engine, key)
	}
}

// removePending removes a request from those with pending runs at an engine. The caller holds the mutex.
func (t *Tracker) removePending(engine string, key Key) {
	delete(t.pending[engine], key)
	if len(t.pending[engine]) == 0 {
		delete(t.pending, engine)
	}
}

// pendingAt reports whether the run was interrupted at an engine of which it is not known yet whether it ended.
func (r run) pendingAt(engine string) bool { return r.Engine == engine && !r.ended }

// isPendingAt reports whether a run of the request is pending at an engine.
func (r *request) isPendingAt(engine string) bool {
	return slices.ContainsFunc(r.runs, func(interrupted run) bool { return interrupted.pendingAt(engine) })
}

// dropPending forgets the runs at an engine that were interrupted before a time and not proved to have ended it.
func (r *request) dropPending(engine string, before time.Time) {
	r.runs = slices.DeleteFunc(r.runs, func(interrupted run) bool {
		return interrupted.pendingAt(engine) && interrupted.BrokenAt.Before(before)
	})
}

// Ends returns how many engines have ended under the request of a call, over all its calls, and how many interruptions of the call may
// turn out to be such ends.
func (t *Tracker) Ends(now time.Time, call Call) (ended, unexplained int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.requests[call.Key]
	if known == nil {
		return 0, 0
	}
	own := callHash(call.Request)
	unexplained = known.countPending(now.Add(-proofWindow), func(interrupted run) bool { return interrupted.call == own })
	return len(t.endedRuns(now, known.runs)), unexplained
}

// Risk returns how many engines have ended under a request, and how many may have: those whose runs were interrupted at this gateway not
// longer ago than a time, and that were not seen alive.
func (t *Tracker) Risk(now time.Time, key Key, proofTime time.Duration) (ended, possible int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.requests[key]
	if known == nil {
		return 0, 0
	}
	possible = known.countPending(now.Add(-proofTime), func(run) bool { return true })
	return len(t.endedRuns(now, known.runs)), possible
}

// countPending counts the runs that were interrupted after a time and may have ended their engines.
func (r *request) countPending(after time.Time, counts func(run) bool) int {
	count := 0
	for _, interrupted := range r.runs {
		if !interrupted.ended && interrupted.BrokenAt.After(after) && counts(interrupted) {
			count++
		}
	}
	return count
}

// callHash returns a hash of a call's ID, which only has to differ between calls with the same content.
func callHash(request string) uint32 { return uint32(xxhash.Sum64String(request)) }
