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

// Engines implements fatal.Fleet.
func (r *Registry) Engines(service string) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.services[service])
}

// Serves implements fatal.Fleet.
func (r *Registry) Serves(service, software string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, engine := range r.services[service] {
		if engine.specification.Software == software {
			return true
		}
	}
	return false
}

// engineEnded records that an engine has ended.
func (r *Registry) engineEnded(now time.Time, engine *Engine, proof endProof) {
	r.mutex.Lock()
	id, service, started := engine.ID(), engine.specification.Service, engine.specification.StartedMillis
	if started > 0 && (proof == proofRefused || proof == proofReborn || proof == proofReported) {
		engine.lifeEndedAt = now
	}
	r.mutex.Unlock()
	requests, isNew := r.proveEnd(now, id, service, proof)
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

func (r *Registry) proveEnd(now time.Time, id, service string, proof endProof) (requests []string, isNew bool) {
	switch proof {
	case proofRestarted:
		return r.ends.EngineRestarted(now, id, service, false)
	case proofReborn:
		return r.ends.EngineRestarted(now, id, service, true)
	}
	return r.ends.EngineEnded(now, id, service, proof == proofRemoved)
}

// engineAccepted records that an engine accepted a connection at a time. Where records don't state starts, that counts as a sign of life:
// nothing would ever show that the engine has started again.
func (r *Registry) engineAccepted(at time.Time, engine *Engine) {
	r.mutex.Lock()
	statesStart := engine.format >= startFormat
	r.mutex.Unlock()
	if statesStart {
		r.ends.EngineAccepted(at, engine.ID())
		return
	}
	r.ends.EngineAlive(at, engine.ID())
}

// EndNews is what other gateways have to know of ends of engines.
type EndNews struct {
	// Engine is the ID of an engine that has ended; empty if there is none. StartedMillis is the start of the life that has ended; see
	// EngineSpecification.
	Engine        string
	StartedMillis int64
	// Reports are ends of engines under requests, Withdrawn the names of earlier reports that don't count any more.
	Reports   []fatal.Report
	Withdrawn []string
}

// RunNews is what other nodes have to know of the runs of a request.
type RunNews struct {
	Content fatal.Key
	// Reports are all known ends of engines under it.
	Reports []fatal.Report
	// Begun and Finished are the names of runs that begin and that have finished; empty if there is none.
	Begun    string
	Finished string
	// Lasting are the runs in progress at this node.
	Lasting fatal.Lasting
}

// RunFindings are what other nodes tell of the runs of a request: the names of those that they have begun and not finished, and those
// that are in progress.
type RunFindings struct {
	Open    []string
	Lasting fatal.Lasting
}

// shareEnds sends news, with all reports that are due.
func (r *Registry) shareEnds(now time.Time, news EndNews) {
	reports, replaced := r.ends.Unshared(now)
	news.Reports = reports
	news.Withdrawn = append(news.Withdrawn, replaced...)
	if news.Engine != "" || len(news.Reports) > 0 || len(news.Withdrawn) > 0 {
		r.share(news)
	}
}

// ShareEnds sets the function that sends news of ends to other gateways. It must not block, and must be set before any call is
// dispatched.
func (r *Registry) ShareEnds(share func(EndNews)) { r.share = share }

// ExchangeRuns sets the function that tells other nodes of the runs of a request, applies the ends that they report of it, and returns what
// else they tell. It must return soon, and must be set before any call is dispatched.
func (r *Registry) ExchangeRuns(exchange func(context.Context, RunNews) RunFindings) {
	r.exchange = exchange
}

// ApplyReport records that an engine ended under a request at another gateway.
func (r *Registry) ApplyReport(report fatal.Report) { r.ends.Apply(time.Now(), report) }

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

// leaving reports whether an engine ends as planned.
func (r *Registry) leaving(engine *Engine) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return engine.specification.Draining
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
	case errors.Is(err, net.ErrClosed), errors.Is(err, context.DeadlineExceeded):
		return silence
	}
	return notInterrupted
}

// recordInterruption records that a run of the call was interrupted, if it was. An engine that leaves as planned tells nothing of
// the requests that it runs.
func (d *Dispatcher) recordInterruption(ctx context.Context, call *Call, engine *Engine, sentAt time.Time, outcome attemptOutcome, err error) {
	if outcome == succeeded || outcome == refused {
		return
	}
	if d.registry.leaving(engine) {
		return
	}
	now := time.Now()
	interrupted := fatal.Run{Engine: engine.ID(), Service: call.Placement.Service, Software: call.Trace.Software, SentAt: sentAt, BrokenAt: now}
	found := interruptionOf(ctx, outcome, err)
	if found == notInterrupted {
		if wasAbandoned(ctx, outcome, err) {
			d.registry.ends.Abandoned(call.tracked(), interrupted)
		}
		return
	}
	first := !call.interrupted
	call.interrupted, call.brokenAt = true, now
	d.registry.ends.Interrupted(now, call.tracked(), interrupted, first)
	time.AfterFunc(sweepDelay, func() { d.registry.ends.Sweep(time.Now()) })
	if found == disconnection {
		call.unprobed = engine
		d.announceRun(ctx, call)
	}
}

// sweepDelay is how long after an interruption those are forgotten that no end explains.
const sweepDelay = 3 * time.Second

// wasAbandoned reports whether the caller left, or its time was over, while an engine ran the call.
func wasAbandoned(ctx context.Context, outcome attemptOutcome, err error) bool {
	var callerGone *ErrCallerGone
	return (outcome == unknown || outcome == delivered) && (ctx.Err() != nil || errors.As(err, &callerGone))
}

// recordEnd records that the engine of an attempt has ended, or that it was alive, if the attempt's outcome shows that.
func (d *Dispatcher) recordEnd(call *Call, engine *Engine, outcome attemptOutcome) {
	switch outcome {
	case succeeded, refused:
		if !call.connectedAt.IsZero() && !d.registry.ends.Empty() {
			d.registry.ends.EngineLived(call.connectedAt, time.Now(), engine.ID())
			d.registry.engineAccepted(call.connectedAt, engine)
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

// EndsEngines reports whether the request of a call ends the engines that run it. content is called only if there may be any such
// request.
func (d *Dispatcher) EndsEngines(callID string, content func() fatal.Key) bool {
	if d.registry.ends.Empty() {
		return false
	}
	now := time.Now()
	isFatal, _ := d.judge(now, fatal.Call{Key: content(), Request: callID, BeganAt: now})
	return isFatal
}

// judge reports whether the request of a call ends the engines that run it. If that can't be told yet, it returns how long to withhold
// the call before it is judged again.
func (d *Dispatcher) judge(now time.Time, call fatal.Call) (isFatal bool, withhold time.Duration) {
	verdict := d.registry.ends.Judge(now, call)
	if verdict.New {
		d.logger.Emit(events.RequestFatal, events.F("request", call.Request), events.F("content", string(call.Key)), events.F("engines", verdict.Engines),
			events.F("chance", verdict.Chance))
	}
	return verdict.Fatal, verdict.Withhold
}

// isolatedEnds is from how many ends of engines under a call on it is isolated: the next one may show that the request is fatal.
const isolatedEnds = 2

// isolate sets whether the next attempt of the call is isolated.
func (d *Dispatcher) isolate(call *Call) {
	if call.Placement.Isolated || d.registry.ends.Empty() {
		return
	}
	ends, _ := d.registry.ends.Ends(time.Now(), call.tracked())
	call.Placement.Isolated = ends >= isolatedEnds
}

// finishCall records the end of a call that was interrupted, or whose content other calls with an interruption had. Other nodes know of
// the ends under a call that failed before its caller does.
func (d *Dispatcher) finishCall(ctx context.Context, call *Call, err error) {
	now := time.Now()
	if err == nil && call.status < http.StatusInternalServerError {
		d.registry.ends.Sound(now, call.fingerprint(), call.Trace.Software)
	}
	if !call.interrupted && d.registry.ends.Empty() {
		return
	}
	call.Trace.Ends, _ = d.registry.ends.Ends(now, call.tracked())
	var withdrawn []string
	switch {
	case err == nil:
		withdrawn = d.registry.ends.Completed(call.fingerprint())
	case call.interrupted:
		d.registry.ends.Failed(call.tracked())
	}
	d.registry.shareEnds(now, EndNews{Withdrawn: withdrawn})
	if err != nil && call.interrupted {
		d.tell(ctx, call, "")
		return
	}
	d.finishRun(ctx, call)
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
	return fatal.Call{Key: c.fingerprint(), Request: c.ID, BeganAt: c.beganAt}
}

// Interrupted reports whether a run of the call was interrupted, and if so returns the key of its content.
func (c *Call) Interrupted() (fatal.Key, bool) {
	if !c.interrupted {
		return "", false
	}
	return c.fingerprint(), true
}
