package dispatch

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/mountstile/mountstile/internal/clock"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/fatal"
)

const (
	// newsDelay is how long after an interruption a call waits for other nodes' news of ends that came at the same time.
	newsDelay = 30 * time.Millisecond
	// holdTimeout bounds the wait until it is known whether the next run of a call may begin. minHoldPause and maxHoldPause bound the mean
	// time between two looks, which doubles with each.
	holdTimeout = time.Second
	// livingTimeout bounds the wait for other runs of the same content that are in progress.
	livingTimeout = 5 * time.Second
	minHoldPause  = 20 * time.Millisecond
	maxHoldPause  = 160 * time.Millisecond
	// calmTime is for how long no other engine must have ended before the last run that a request may have, and before its second one in a
	// storm: stormEnds other engines have ended within stormTime. A random time of up to calmJitter is added, so that requests that met the same
	// ends don't go on at once. calmTimeout bounds the wait.
	calmTime    = 100 * time.Millisecond
	calmJitter  = 100 * time.Millisecond
	calmTimeout = time.Second
	stormEnds   = 3
	stormTime   = 500 * time.Millisecond
)

// admit waits until the next run of a call may begin. The error tells why it may not. Each call announces its run to other nodes before it begins
// and hears what these know, so that the order in which calls come, the gateways that they reach, and those that end make no difference.
func (d *Dispatcher) admit(ctx context.Context, call *Call, progress *progress) (err error) {
	d.registry.catchUp(ctx)
	ends, key := d.registry.ends, call.fingerprint()
	startedAt := time.Now()
	switch {
	case ends.Known(key):
		if call.interrupted {
			clock.Sleep(ctx, time.Until(call.brokenAt.Add(newsDelay)))
			startedAt = time.Now()
		}
		d.awaitCalm(ctx, call)
	case call.openRun.Load() != nil:
		// The last run was not interrupted, and its announcement holds for the next one.
		return nil
	}
	// Others must not wait for runs that are not sent, so that most calls that wait announce theirs again only once there may be room.
	defer func() {
		if err != nil {
			d.finishRun(ctx, call, false)
		}
	}()
	name, told := newRunName(), ""
	for pause := minHoldPause; !expired(ctx); pause = min(2*pause, maxHoldPause) {
		open, heard := d.announce(ctx, call, name)
		// Of calls that announce runs at the same time, the last one to be heard sees all others only if it looks once more.
		confirmed := told == name || len(open) == 0
		told = name
		count := ends.Count(time.Now(), key)
		if count.Ended+count.Undecided >= fatal.MaxEnds {
			d.decideInterruptions(ctx, key)
			count = ends.Count(time.Now(), key)
		}
		call.contended = call.contended || len(open) > 0 || count.Ended+count.Undecided > 0
		decision := fatal.Decide(count, len(open))
		if decision == fatal.Admit && !heard && count.Ended+count.Undecided > 0 {
			// Others may know of more.
			decision = fatal.Wait
		}
		held := time.Since(startedAt)
		if decision != fatal.Admit || count.Ended+count.Undecided > 0 {
			d.logDecision(call, decision, count, len(open), heard, held)
		}
		switch {
		case decision == fatal.Admit && name != "" && (confirmed || count.Sound):
			call.untold.Store(!heard)
			return nil
		case decision == fatal.Admit && name != "":
			continue
		case decision == fatal.Admit:
			name = newRunName()
			continue
		case name != "" && heard && fatal.Decide(count, countBefore(open, name)) == fatal.Admit:
			// Of calls that come at the same time, the others make room for this one.
			pause = minHoldPause
		default:
			d.finishRun(ctx, call, false)
			name = ""
		}
		switch {
		case decision == fatal.Refuse, held >= holdTimeout && fatal.Decide(count, 0) == fatal.Refuse:
			return d.refuse(call, progress)
		case held >= holdTimeout && !d.mayWaitOn(ctx, key, count, open, held):
			return progress.undecidedError()
		}
		clock.Sleep(ctx, pause/2+rand.N(pause))
	}
	return progress.noEngineError(ctx)
}

// mayWaitOn reports whether a call may wait on for other runs of its content: as much of its time is left as it has waited, few enough engines have
// ended under it, and the gateways that have begun these runs still have them in progress. One that completes lets all other calls begin.
func (d *Dispatcher) mayWaitOn(ctx context.Context, key fatal.Key, count fatal.Count, open []string, held time.Duration) bool {
	deadline, limited := ctx.Deadline()
	if held >= livingTimeout || (limited && time.Until(deadline) < held) || fatal.Decide(count, 0) != fatal.Admit {
		return false
	}
	return fatal.Decide(count, len(d.registry.unvouched(ctx, key, open))) == fatal.Admit
}

// logDecision logs a decision about the next run of a call.
func (d *Dispatcher) logDecision(call *Call, decision fatal.Decision, count fatal.Count, open int, heard bool, held time.Duration) {
	event := events.RunHeld
	if decision == fatal.Admit {
		event = events.RunAdmitted
	}
	d.logger.Emit(event, events.F("request", call.ID), events.F("content", string(call.fingerprint())), events.F("ended", count.Ended),
		events.F("possible", count.Undecided), events.F("open", open), events.F("heard", heard), events.F("held_millis", held.Milliseconds()))
}

// refuse returns the error of a call whose request is not sent again.
func (d *Dispatcher) refuse(call *Call, progress *progress) error {
	if engines, isNew := d.registry.ends.Refused(time.Now(), call.fingerprint()); isNew {
		d.logger.Emit(events.RequestFatal, events.F("request", call.ID), events.F("content", string(call.fingerprint())), events.F("engines", engines))
	}
	return progress.endsEnginesError(call)
}

// awaitCalm waits until other engines have stopped ending, if the request of a call may have one more run only, or met a storm of ends.
func (d *Dispatcher) awaitCalm(ctx context.Context, call *Call) {
	ends, key, service := d.registry.ends, call.fingerprint(), call.Placement.Service
	needed := calmTime + rand.N(calmJitter)
	for deadline := time.Now().Add(calmTimeout); time.Now().Before(deadline) && ctx.Err() == nil; {
		now := time.Now()
		count := ends.Count(now, key)
		isLast := count.Ended+count.Undecided == fatal.MaxEnds-1
		calm := ends.Calm(now, key, service)
		if calm >= needed || !(isLast || ends.Storm(now, key, service, stormTime) >= stormEnds) {
			return
		}
		clock.Sleep(ctx, min(needed-calm, minHoldPause))
	}
}

// mayBegin reports whether a run that was admitted may still begin, by what is known here.
func (d *Dispatcher) mayBegin(call *Call) bool {
	ends := d.registry.ends
	if ends.Empty() || !ends.Known(call.fingerprint()) {
		return true
	}
	return call.openRun.Load() != nil && fatal.Decide(ends.Count(time.Now(), call.fingerprint()), 0) == fatal.Admit
}

// announce tells other nodes of the run that a call begins, as tell does. Without a name it only looks whether one may begin; calls of the same content
// that look at the same time share the answer.
func (d *Dispatcher) announce(ctx context.Context, call *Call, name string) (open []string, heard bool) {
	if name != "" || call.openRun.Load() != nil {
		return d.tell(ctx, call, name)
	}
	type look struct {
		open  []string
		heard bool
	}
	// The first one may be canceled. The function returns no error.
	shared, _, _ := d.looks.Do(string(call.fingerprint()), func() (any, error) {
		open, heard := d.tell(context.WithoutCancel(ctx), call, "")
		return look{open, heard}, nil
	})
	found := shared.(look)
	return slices.Clone(found.open), found.heard
}

// tell tells other nodes of the runs of the call's content and returns the names of those that they have begun, and whether others were heard.
// begun is the name of the run that the call begins; empty if none.
func (d *Dispatcher) tell(ctx context.Context, call *Call, begun string) (open []string, heard bool) {
	key, now := call.fingerprint(), time.Now()
	d.registry.shareEnds(now, EndNews{})
	finished := call.takeOpenRun()
	if finished == begun {
		finished = ""
	}
	if begun != "" {
		call.openRun.Store(&begun)
	}
	return d.registry.exchange(ctx, RunNews{Content: key, Reports: d.registry.ends.Reports(now, key), Begun: begun, Finished: finished})
}

// applyNews follows news of a run that was interrupted, here or at another gateway: it tells other nodes of the runs of the content that are in progress
// here, unless they know of them. If too many engines have ended, it cancels those that no engine has answered yet, since they may not have begun.
func (d *Dispatcher) applyNews(key fatal.Key) {
	d.recall(key)
	if fatal.Decide(d.registry.ends.Count(time.Now(), key), 0) == fatal.Refuse {
		d.running.cancelUnanswered(key)
	}
	for _, name := range d.running.nameRuns(key) {
		go d.registry.exchange(context.Background(), RunNews{Content: key, Begun: name})
	}
}

// finishRun tells other nodes, without a wait, that the run that the call has begun is not in progress any more, and how it was interrupted.
func (d *Dispatcher) finishRun(ctx context.Context, call *Call, completed bool) {
	finished := call.takeOpenRun()
	if finished == "" {
		return
	}
	key := call.fingerprint()
	reports := d.registry.ends.Reports(time.Now(), key)
	news := RunNews{Content: key, Reports: reports, Finished: finished, Completed: completed, MayBeLate: !call.contended && len(reports) == 0}
	go d.registry.exchange(context.WithoutCancel(ctx), news)
}

// takeOpenRun returns the name under which other nodes know the run in progress, and clears it; empty if they don't.
func (c *Call) takeOpenRun() string {
	if name := c.openRun.Swap(nil); name != nil {
		return *name
	}
	return ""
}

// countBefore returns how many of the names of open runs precede a name. All calls that announce runs at the same time see the same order.
func countBefore(open []string, name string) (count int) {
	for _, other := range open {
		if other < name {
			count++
		}
	}
	return count
}

// newRunName returns a unique name.
func newRunName() string { return strconv.FormatUint(rand.Uint64(), 36) }

// RunLives reports whether the run of a content with a name is in progress here, or about to be sent.
func (d *Dispatcher) RunLives(key fatal.Key, name string) bool {
	return slices.ContainsFunc(d.announced.withContent(key), func(call *Call) bool {
		known := call.openRun.Load()
		return known != nil && *known == name
	})
}

// runningCalls are calls in progress. The zero value is ready for use.
type runningCalls struct {
	mutex sync.Mutex
	calls map[*Call]struct{}
}

func (r *runningCalls) add(call *Call) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.calls == nil {
		r.calls = make(map[*Call]struct{})
	}
	r.calls[call] = struct{}{}
}

func (r *runningCalls) remove(call *Call) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.calls, call)
}

// withContent returns the calls with a content.
func (r *runningCalls) withContent(key fatal.Key) (calls []*Call) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for call := range r.calls {
		if call.fingerprint() == key {
			calls = append(calls, call)
		}
	}
	return calls
}

// cancelUnanswered cancels the attempts at a content whose engines have not answered yet.
func (r *runningCalls) cancelUnanswered(key fatal.Key) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for call := range r.calls {
		if !call.answered.Load() && call.fingerprint() == key {
			call.cancel()
		}
	}
}

// nameRuns returns the names of the runs of a content of which other nodes may not know. It names those that have no name yet.
func (r *runningCalls) nameRuns(key fatal.Key) (names []string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for call := range r.calls {
		if call.fingerprint() != key {
			continue
		}
		name := newRunName()
		if call.openRun.CompareAndSwap(nil, &name) {
			names = append(names, name)
		} else if known := call.openRun.Load(); known != nil && call.untold.CompareAndSwap(true, false) {
			names = append(names, *known)
		}
	}
	return names
}
