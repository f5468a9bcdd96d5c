package dispatch

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/mountstile/mountstile/internal/clock"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/fatal"
)

const (
	// maxEnds is how many engines may end under a request before it must be judged: further runs are admitted only while the ends that are
	// known, those that are likely and the runs in progress at other nodes are fewer.
	maxEnds = 3
	// newsDelay is how long after an interruption a call waits for other nodes' news of ends that came at the same time.
	newsDelay = 30 * time.Millisecond
	// proofTime is how long a call waits, in total, until it is known whether the engines of its interruptions have ended.
	proofTime = 500 * time.Millisecond
	// turnTimeout bounds the wait for runs of the same content at other nodes, turnInterval is the mean time between two looks.
	turnTimeout  = 300 * time.Millisecond
	turnInterval = 20 * time.Millisecond
	// calmTime is for how long no other engine must have ended before the run that decides whether a request ends its engines. A random
	// time of up to calmJitter is added, so that several such requests don't decide at once. calmTimeout bounds the wait.
	calmTime    = 100 * time.Millisecond
	calmJitter  = 100 * time.Millisecond
	calmTimeout = 600 * time.Millisecond
)

// admit decides whether a call may be sent to an engine, and reports whether it ends the engines that run it. A call with whose content no
// run was interrupted is admitted at once. All others tell the other nodes that a run begins and hear what these know, so that the order in
// which calls come, and the gateways that they reach, make no difference.
func (d *Dispatcher) admit(ctx context.Context, call *Call) (isFatal bool) {
	ends := d.registry.ends
	if ends.Empty() || !ends.Known(call.fingerprint()) {
		return false
	}
	if call.interrupted {
		clock.Sleep(ctx, time.Until(call.brokenAt.Add(newsDelay)))
	}
	startedAt := time.Now()
	d.awaitCalm(ctx, call)
	for ctx.Err() == nil {
		open := d.tell(ctx, call, newRunName())
		ended, possible := ends.Risk(time.Now(), call.fingerprint(), proofTime)
		decision := d.decide(call, ended, possible, len(open), time.Since(startedAt))
		if decision.admitted {
			return false
		}
		// Other nodes must not wait for a run that is not sent.
		d.finishRun(ctx, call)
		if decision.isFatal {
			return true
		}
		d.logger.Emit(events.RunHeld, events.F("request", call.ID), events.F("content", string(call.fingerprint())), events.F("ended", ended),
			events.F("possible", possible), events.F("open", len(open)), events.F("millis", decision.wait.Milliseconds()))
		if possible > 0 {
			call.awaitedProof += decision.wait
		}
		clock.Sleep(ctx, decision.wait)
	}
	return false
}

// awaitCalm waits until other engines have stopped ending, if the next end would decide whether the request of a call ends its engines: a
// request that meets many ends would be taken for one that causes them. Content that others run at the same time is not held up.
func (d *Dispatcher) awaitCalm(ctx context.Context, call *Call) {
	ends, key := d.registry.ends, call.fingerprint()
	needed := calmTime + rand.N(calmJitter)
	for deadline := time.Now().Add(calmTimeout); time.Now().Before(deadline) && ctx.Err() == nil; {
		now := time.Now()
		ended, possible := ends.Risk(now, key, proofTime)
		calm := ends.Calm(now, key, call.Placement.Service)
		if ended+possible != maxEnds-1 || calm >= needed || ends.Shared(now, call.tracked()) {
			return
		}
		clock.Sleep(ctx, min(needed-calm, turnInterval))
	}
}

// admission is a decision about the next run of a call: it is admitted, fatal, or has to wait.
type admission struct {
	admitted, isFatal bool
	wait              time.Duration
}

// decide decides from the ends that are known, those that are likely, and the runs in progress at other nodes.
func (d *Dispatcher) decide(call *Call, ended, possible, open int, waited time.Duration) admission {
	pause := turnInterval/2 + rand.N(turnInterval)
	switch {
	case ended >= maxEnds:
		isFatal, withhold := d.judge(time.Now(), call.tracked())
		judged := ended <= call.judgedEnds
		if withhold == 0 {
			call.judgedEnds = ended
		}
		return admission{isFatal: isFatal, admitted: !isFatal && (withhold == 0 || judged), wait: withhold}
	case ended+possible == 0, ended+possible+open < maxEnds:
		return admission{admitted: true}
	case ended+possible >= maxEnds && call.awaitedProof < proofTime:
		return admission{wait: pause}
	case ended+possible < maxEnds && waited < turnTimeout && !d.registry.ends.Shared(time.Now(), call.tracked()):
		return admission{wait: pause}
	}
	return admission{admitted: true}
}

// tell tells other nodes of the runs of the call's content and returns the names of those that they have begun. begun is the name of the
// run that the call begins; empty if none.
func (d *Dispatcher) tell(ctx context.Context, call *Call, begun string) (open []string) {
	ends, key, now := d.registry.ends, call.fingerprint(), time.Now()
	d.registry.shareEnds(now, EndNews{})
	found := d.registry.exchange(ctx, RunNews{
		Content: key, Reports: ends.Reports(now, key), Begun: begun, Finished: call.openRun, Lasting: ends.Lasting(now, key),
	})
	call.openRun = begun
	ends.LastingElsewhere(time.Now(), key, found.Lasting)
	return found.Open
}

// announceRun tells other nodes, without a wait, that a run of the call was interrupted of which it is not known yet whether it ended its engine,
// unless they know of the run.
func (d *Dispatcher) announceRun(ctx context.Context, call *Call) {
	if call.openRun != "" || !d.registry.ends.Known(call.fingerprint()) {
		return
	}
	call.openRun = newRunName()
	go d.registry.exchange(context.WithoutCancel(ctx), RunNews{Content: call.fingerprint(), Begun: call.openRun})
}

// finishRun tells other nodes, without a wait, that the run that the call has begun is not in progress any more.
func (d *Dispatcher) finishRun(ctx context.Context, call *Call) {
	if call.openRun == "" {
		return
	}
	now := time.Now()
	news := RunNews{Content: call.fingerprint(), Finished: call.openRun, Lasting: d.registry.ends.Lasting(now, call.fingerprint())}
	call.openRun = ""
	go d.registry.exchange(context.WithoutCancel(ctx), news)
}

// newRunName returns a unique name.
func newRunName() string { return strconv.FormatUint(rand.Uint64(), 36) }

// knownFatal reports whether the request of a call is known to end its engines, without a wait.
func (d *Dispatcher) knownFatal(call *Call) bool {
	if !call.interrupted {
		return false
	}
	isFatal, _ := d.judge(time.Now(), call.tracked())
	return isFatal
}

// runningCalls are the calls that an engine runs. The zero value is ready for use.
type runningCalls struct {
	mutex sync.Mutex
	calls map[*Call]time.Time
}

func (r *runningCalls) add(call *Call, sentAt time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.calls == nil {
		r.calls = make(map[*Call]time.Time)
	}
	r.calls[call] = sentAt
}

func (r *runningCalls) remove(call *Call) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.calls, call)
}

// sentAt returns when the runs of a request were sent, without those of one call.
func (r *runningCalls) sentAt(key fatal.Key, except string) (times []time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for call, sentAt := range r.calls {
		if call.ID != except && call.fingerprint() == key {
			times = append(times, sentAt)
		}
	}
	return times
}
