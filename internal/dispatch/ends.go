package dispatch

import (
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/fatal"
)

// endProof is how the end of an engine was proved.
type endProof string

const (
	// proofRefused means that nothing listens at the engine's address, proofReplaced that another engine does.
	proofRefused  endProof = "refused"
	proofReplaced endProof = "replaced"
	// proofRemoved means that the engine's record was removed though it did not drain.
	proofRemoved endProof = "removed"
	// proofRestarted means that the engine started again under its ID though it did not drain.
	proofRestarted endProof = "restarted"
	// proofReborn means that the engine told a probe a later start than the one of its record.
	proofReborn endProof = "reborn"
	// proofReported means that another gateway reported the end.
	proofReported endProof = "reported"
	// proofReportedUnnamed is the same without the life that has ended: it may be an earlier one.
	proofReportedUnnamed endProof = "reported_unnamed"
)

// isOwn reports whether only this gateway knows the proof.
func (p endProof) isOwn() bool { return p == proofRefused || p == proofReplaced || p == proofReborn }

// Ends returns the tracker of the engines that ended.
func (r *Registry) Ends() *fatal.Tracker { return r.ends }

// engineEnded records that an engine has ended.
func (r *Registry) engineEnded(now time.Time, engine *Engine, proof endProof) {
	r.mutex.Lock()
	id, service, started := engine.ID(), engine.specification.Service, engine.specification.StartedMillis
	if started > 0 && (proof == proofRefused || proof == proofReborn || proof == proofReported) {
		engine.lifeEndedAt = now
	}
	r.mutex.Unlock()
	requests, isNew := r.ends.EngineEnded(now, id, service, proof == proofRemoved || proof == proofRestarted)
	if isNew {
		r.logger.Emit(events.EngineEnded, events.F("engine", id), events.F("service", service), events.F("proof", string(proof)),
			events.F("requests", requests))
	}
	news := EndNews{}
	if isNew && proof.isOwn() {
		news.Engine, news.StartedMillis = id, started
	}
	r.shareEnds(now, news)
}

// engineAccepted records that an engine accepted a connection at a time. Where records don't state starts, that counts as a sign of life:
// nothing would ever show that the engine has started again.
func (r *Registry) engineAccepted(at time.Time, engine *Engine) {
	r.mutex.Lock()
	statesStart := engine.format >= startFormat
	r.mutex.Unlock()
	if !statesStart {
		r.ends.EngineAlive(at, engine.ID())
	}
}

// EndNews is what other gateways have to know of ends of engines.
type EndNews struct {
	// Engine is the ID of an engine that has ended; empty if there is none. StartedMillis is the start of the life that has ended; see
	// EngineSpecification.
	Engine        string
	StartedMillis int64
	// Reports are interrupted runs, Withdrawn the names of earlier reports that don't count any more.
	Reports   []fatal.Report
	Withdrawn []string
}

// RunNews is what other nodes have to know of the runs of a request.
type RunNews struct {
	Content fatal.Key
	// Reports are all known interrupted runs of it.
	Reports []fatal.Report
	// Begun and Finished are the names of runs that begin and that have finished; empty if there is none. Completed is set if the engine has
	// completed the latter.
	Begun     string
	Finished  string
	Completed bool
	// MayBeLate is set if no other call waits for the news, as far as it is known.
	MayBeLate bool
}

// shareEnds sends news, with all reports that are due.
func (r *Registry) shareEnds(now time.Time, news EndNews) {
	reports, withdrawn := r.ends.Unshared(now)
	news.Reports = reports
	news.Withdrawn = append(news.Withdrawn, withdrawn...)
	if news.Engine != "" || len(news.Reports) > 0 || len(news.Withdrawn) > 0 {
		r.share(news)
	}
}

// engine returns the engine with an ID; nil if it is not known.
func (r *Registry) engine(id string) *Engine {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.byID[id]
}

// ShareEnds sets the function that sends news of ends to other gateways. It must not block, and must be set before any call is
// dispatched.
func (r *Registry) ShareEnds(share func(EndNews)) { r.share = share }

// ExchangeRuns sets the function that tells other nodes of the runs of a request, applies the reports that they have of it and whether it was
// completed, and returns the names of the runs that they have begun and not finished. heard is false if there are others and none has answered. It must
// return soon, and must be set before any call is dispatched.
func (r *Registry) ExchangeRuns(exchange func(context.Context, RunNews) (open []string, heard bool)) {
	r.exchange = exchange
}

// VouchRuns sets the function that asks the nodes which have begun runs of a content, and returns the names of those that are not known to be in
// progress or finished. It must return soon, and must be set before any call is dispatched.
func (r *Registry) VouchRuns(unvouched func(ctx context.Context, content fatal.Key, open []string) []string) {
	r.unvouched = unvouched
}

// CatchUp sets the function that is called before each run, and hears of ends that this gateway has missed while its process was paused. It must
// be set before any call is dispatched.
func (r *Registry) CatchUp(catchUp func(context.Context)) { r.catchUp = catchUp }

// ApplyReport records a run that was interrupted at another gateway.
func (r *Registry) ApplyReport(report fatal.Report) {
	r.ends.Apply(time.Now(), report)
	if r.onReport != nil {
		r.onReport(report.Key())
	}
}

// ApplyEnd records that a life of an engine has ended, as another gateway found out. startedMillis is 0 if that is a build that does not
// tell which.
func (r *Registry) ApplyEnd(id string, startedMillis int64) {
	r.mutex.Lock()
	engine := r.byID[id]
	isOther := engine != nil && startedMillis > 0 && engine.specification.StartedMillis != startedMillis
	r.mutex.Unlock()
	if engine == nil || isOther {
		return
	}
	proof := proofReported
	if startedMillis == 0 {
		proof = proofReportedUnnamed
	}
	r.engineEnded(time.Now(), engine, proof)
}

// interruption is how a run was interrupted.
type interruption int

const (
	notInterrupted interruption = iota
	// silence means that the engine did not answer in time.
	silence
	// disconnection means that the connection was closed or reset.
	disconnection
)

// interruptionOf returns how an attempt was interrupted.
func interruptionOf(ctx context.Context, outcome attemptOutcome, err error) interruption {
	var callerGone *ErrCallerGone
	var withdrawn *ErrWithdrawn
	switch {
	case outcome != unknown && outcome != delivered, ctx.Err() != nil, errors.As(err, &callerGone), errors.As(err, &withdrawn):
		return notInterrupted
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return disconnection
	case errors.Is(err, net.ErrClosed), errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return silence
	}
	return notInterrupted
}

// quietTime is how long an engine may have sent nothing when its caller leaves to be taken for alive.
const quietTime = 400 * time.Millisecond

// recordInterruption records that a run of the call was interrupted or left, if it was.
func (d *Dispatcher) recordInterruption(ctx context.Context, call *Call, engine *Engine, sentAt time.Time, outcome attemptOutcome, err error) {
	found := interruptionOf(ctx, outcome, err)
	abandoned := wasAbandoned(ctx, outcome, err)
	if found == notInterrupted && !abandoned {
		return
	}
	now := time.Now()
	broken := fatal.Run{
		Engine: engine.ID(), Service: call.Placement.Service, Software: call.Trace.Software, StartedMillis: call.startedMillis,
		SentAt: sentAt, BrokenAt: now, Silent: call.heardAt.Before(sentAt),
	}
	if found != disconnection {
		broken.MayRunUntil = mayRunUntil(ctx, now)
	}
	var withdrawn *ErrWithdrawn
	if abandoned && !errors.As(err, &withdrawn) {
		call.left = true
		if now.Sub(call.heardAt) < quietTime || now.Sub(sentAt) < quietTime {
			d.registry.ends.Left(now, call.tracked(), broken)
			return
		}
	}
	call.interrupted, call.brokenSentAt, call.brokenAt, call.unprobed = true, sentAt, now, engine
	d.registry.ends.Interrupted(now, call.tracked(), broken)
	d.applyNews(call.fingerprint())
	if found == disconnection {
		d.registry.shareEnds(now, EndNews{})
		d.finishRun(ctx, call, false)
	}
}

// recall finds out whether engines have ended under runs of a request that this gateway has left.
func (d *Dispatcher) recall(key fatal.Key) {
	now := time.Now()
	for _, id := range d.registry.ends.Recall(now, key) {
		if engine := d.registry.engine(id); engine != nil {
			go d.probeUntilDecided(engine, interruptedRun{brokenAt: now})
		}
	}
}

// mayRunUntil returns until when an engine may go on with a run that its gateway has left.
func mayRunUntil(ctx context.Context, now time.Time) time.Time {
	if deadline, limited := ctx.Deadline(); limited && deadline.After(now) {
		return deadline
	}
	return now.Add(engineWaitTimeout)
}

// wasAbandoned reports whether the caller left, its time was over, or the gateway canceled the call while an engine ran it.
func wasAbandoned(ctx context.Context, outcome attemptOutcome, err error) bool {
	var callerGone *ErrCallerGone
	var withdrawn *ErrWithdrawn
	return (outcome == unknown || outcome == delivered) && (ctx.Err() != nil || errors.As(err, &callerGone) || errors.As(err, &withdrawn))
}

// recordEnd records that the engine of an attempt has ended, or that it was alive, if the attempt's outcome shows that. An engine that responds was
// alive when the request was sent; the response may have been under way when it ended.
func (d *Dispatcher) recordEnd(call *Call, engine *Engine, sentAt time.Time, outcome attemptOutcome) {
	switch outcome {
	case succeeded, refused:
		if !call.connectedAt.IsZero() && !d.registry.ends.Empty() {
			d.registry.ends.EngineLived(call.connectedAt, sentAt, engine.ID())
			d.registry.engineAccepted(call.connectedAt, engine)
			d.registry.shareEnds(time.Now(), EndNews{})
		}
		return
	case gone:
		d.engineRefused(engine)
	case misdirected:
		d.registry.engineEnded(time.Now(), engine, proofReplaced)
	default:
		return
	}
	if call.unprobed == engine {
		call.unprobed = nil
	}
}

// endedEnough reports whether so many engines have ended under the request of a call that it is not sent again.
func (d *Dispatcher) endedEnough(call *Call) bool {
	return call.interrupted && fatal.Decide(d.registry.ends.Count(time.Now(), call.fingerprint()), 0) == fatal.Refuse
}

// isolatedEnds is from how many ends of engines under a call on it is isolated: the next one may show that the request is fatal.
const isolatedEnds = 2

// isolate sets whether the next attempt of the call is isolated.
func (d *Dispatcher) isolate(call *Call) {
	if call.Placement.Isolated || d.registry.ends.Empty() {
		return
	}
	count := d.registry.ends.Count(time.Now(), call.fingerprint())
	call.Placement.Isolated = count.Ended+count.Undecided >= isolatedEnds
}

// finishCall records the end of a call. Other nodes know of the ends under a call that failed before its caller does.
func (d *Dispatcher) finishCall(ctx context.Context, call *Call, err error) {
	now := time.Now()
	var withdrawn []string
	if call.interrupted || !d.registry.ends.Empty() {
		call.Trace.Ends = d.registry.ends.Count(now, call.fingerprint()).Ended
	}
	// An engine that fails a run itself has not completed it: the request may still end engines.
	completed := err == nil && call.status < http.StatusInternalServerError
	if completed {
		withdrawn = d.registry.ends.Completed(call.fingerprint())
		d.registry.ends.Sound(now, call.fingerprint())
	}
	if err != nil && call.interrupted && !call.left {
		d.tell(ctx, call, "")
		return
	}
	d.registry.shareEnds(now, EndNews{Withdrawn: withdrawn})
	d.finishRun(ctx, call, completed)
}

// fingerprint returns the key of the call's content. It may be called concurrently.
func (c *Call) fingerprint() fatal.Key {
	c.contentOnce.Do(func() {
		if c.Content != nil {
			c.contentKey = c.Content()
			return
		}
		c.contentKey = fatal.KeyOf(c.Request.Body, c.Request.Method, c.Request.Host, c.Request.Target)
	})
	return c.contentKey
}

// tracked returns what the tracker of engines' ends needs to know of the call.
func (c *Call) tracked() fatal.Call {
	return fatal.Call{Key: c.fingerprint(), Request: c.ID}
}

// Interrupted reports whether a run of the call was interrupted, and if so returns the key of its content.
func (c *Call) Interrupted() (fatal.Key, bool) {
	if !c.interrupted {
		return "", false
	}
	return c.fingerprint(), true
}
