package dispatch

import (
	"context"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mountstile/mountstile/internal/clock"
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
	// proofReported means that another gateway reported the end.
	proofReported endProof = "reported"
)

const (
	// probeDelay is how long after an interruption the engine is probed. A process that ends may close its connections shortly
	// before its listener.
	probeDelay = 5 * time.Millisecond
	// probeTimeout bounds a probe.
	probeTimeout = 250 * time.Millisecond
)

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
	id, service := engine.ID(), engine.specification.Service
	r.mutex.Unlock()
	requests, isNew := r.ends.EngineEnded(now, id, service, proof == proofRemoved)
	if isNew {
		r.logger.Emit(events.EngineEnded, events.F("engine", id), events.F("service", service), events.F("proof", string(proof)),
			events.F("requests", requests))
	}
}

// ApplyReport records that an engine ended under a request at another gateway.
func (r *Registry) ApplyReport(report fatal.Report) {
	now := time.Now()
	r.ends.Apply(now, report)
	r.mutex.Lock()
	engine := r.byID[report.Engine()]
	r.mutex.Unlock()
	if engine != nil {
		r.engineEnded(now, engine, proofReported)
	}
}

// leaving reports whether an engine ends as planned.
func (r *Registry) leaving(engine *Engine) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return engine.specification.Draining || !engine.removedAt.IsZero()
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
	found := interruptionOf(ctx, outcome, err)
	if found == notInterrupted || d.registry.leaving(engine) {
		return
	}
	now := time.Now()
	first := !call.interrupted
	call.interrupted = true
	d.registry.ends.Interrupted(now, call.fingerprint(), fatal.Run{
		Request: call.ID, Engine: engine.ID(), Service: call.Placement.Service, Software: call.Trace.Software, SentAt: sentAt, BrokenAt: now,
	}, first)
	if found == disconnection {
		call.unprobed = engine
	}
}

// recordEnd records that the engine of an attempt has ended, if its outcome shows that.
func (d *Dispatcher) recordEnd(call *Call, engine *Engine, outcome attemptOutcome) {
	switch outcome {
	case gone:
		d.registry.engineEnded(time.Now(), engine, proofRefused)
	case misdirected:
		d.registry.engineEnded(time.Now(), engine, proofReplaced)
	default:
		return
	}
	if call.unprobed == engine {
		call.unprobed = nil
	}
}

// probe finds out whether the engine of the call's last interruption has ended.
func (d *Dispatcher) probe(ctx context.Context, engine *Engine) {
	probeContext, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	clock.Sleep(probeContext, probeDelay)
	if err := engine.pool.Probe(probeContext); errors.Is(err, syscall.ECONNREFUSED) {
		d.registry.engineEnded(time.Now(), engine, proofRefused)
	}
}

// startProbe probes the engine of the call's last interruption, unless the call is resumed there, which shows the same.
func (d *Dispatcher) startProbe(ctx context.Context, call *Call, progress *progress) {
	engine := call.unprobed
	if engine == nil || progress.resumeOn == engine {
		return
	}
	call.unprobed = nil
	go d.probe(context.WithoutCancel(ctx), engine)
}

// finishCall records the end of a call that was interrupted, or whose content other calls with an interruption had.
func (d *Dispatcher) finishCall(call *Call, err error) {
	if !call.interrupted && d.registry.ends.Empty() {
		return
	}
	key := call.fingerprint()
	if err == nil {
		d.registry.ends.Completed(key)
	}
	call.Trace.Ends, _ = d.registry.ends.Ends(time.Now(), key)
	if call.interrupted {
		d.registry.ends.Failed(key)
	}
	if engine := call.unprobed; engine != nil {
		go d.probe(context.Background(), engine)
	}
}

// fingerprint returns the key of the call's content.
func (c *Call) fingerprint() fatal.Key {
	switch {
	case c.contentKey != "":
	case c.Content != nil:
		c.contentKey = c.Content()
	default:
		c.contentKey = fatal.KeyOf(c.Request.Body, c.Request.Method, c.Request.Host, c.Request.Target)
	}
	return c.contentKey
}

// Interrupted reports whether a run of the call was interrupted, and if so returns the key of its content.
func (c *Call) Interrupted() (fatal.Key, bool) {
	if !c.interrupted {
		return "", false
	}
	return c.fingerprint(), true
}
