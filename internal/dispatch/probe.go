package dispatch

import (
	"context"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mountstile/mountstile/internal/clock"
	"github.com/mountstile/mountstile/internal/upstream"
)

const (
	// probeDelay is how long after an interruption the engine is probed. A process that ends may close its connections shortly
	// before its listener.
	probeDelay = 5 * time.Millisecond
	// probeInterval is the time between two probes, maxProbes bounds those after an interruption. minConfirmations of them must show that
	// the engine lives: a process that ends closes its connections and its listener one after the other.
	probeInterval    = 15 * time.Millisecond
	maxProbes        = 4
	minConfirmations = 2
	// probeTimeout bounds a probe, proveTimeout how long a call waits for it.
	probeTimeout = 250 * time.Millisecond
	proveTimeout = 80 * time.Millisecond
	// reprobeInterval is the time between probes of an engine whose known life seems to have ended.
	reprobeInterval = time.Second
	// maxStartBytes bounds a response that tells when an engine started.
	maxStartBytes = 64 << 10
)

// prove probes the engine of the call's last interruption, and reports whether it was found soon that it has ended.
func (d *Dispatcher) prove(ctx context.Context, call *Call, outcome attemptOutcome) (ended bool) {
	engine := call.unprobed
	if engine == nil {
		return false
	}
	call.unprobed = nil
	result := make(chan bool, 1)
	brokenAt := call.brokenAt
	go func() { result <- d.probe(context.WithoutCancel(ctx), engine, brokenAt) }()
	if outcome == delivered {
		return false
	}
	timer := time.NewTimer(proveTimeout)
	defer timer.Stop()
	select {
	case ended = <-result:
	case <-timer.C:
	case <-ctx.Done():
	}
	return ended
}

// probe finds out whether an engine has ended since a time, and reports whether it has. A connection that is refused proves that; one over which
// the engine had responded, and that is still open, proves that it has not. Otherwise the engine's start decides, for a listening socket may
// outlive its process.
func (d *Dispatcher) probe(ctx context.Context, engine *Engine, since time.Time) (ended bool) {
	probeContext, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	clock.Sleep(probeContext, probeDelay)
	confirmed := 0
	for number := range maxProbes {
		probedAt := time.Now()
		found := d.probeOnce(probeContext, engine, since)
		switch found {
		case engineGone:
			d.engineRefused(engine)
			return true
		case engineReborn:
			d.registry.engineEnded(probedAt, engine, proofReborn)
			return true
		case engineSame, engineAnswers:
			confirmed++
		case engineCuts:
			if number == maxProbes-1 || probeContext.Err() != nil {
				// A process that ends has closed its listener by now.
				d.registry.engineAccepted(probedAt, engine)
			}
		}
		if confirmed == minConfirmations && found == engineSame {
			d.registry.ends.EngineAlive(probedAt, engine.ID())
			return false
		}
		if confirmed == minConfirmations {
			d.registry.engineAccepted(probedAt, engine)
			return false
		}
		clock.Sleep(probeContext, probeInterval)
	}
	return false
}

// engineRefused records that an engine refused a connection.
func (d *Dispatcher) engineRefused(engine *Engine) {
	d.registry.engineEnded(time.Now(), engine, proofRefused)
	time.AfterFunc(reprobeInterval, func() { d.reprobe(engine) })
}

// reprobe asks an engine whose known life seems to have ended for its start until that is decided: one that refuses connections for a while
// would not get streams again otherwise.
func (d *Dispatcher) reprobe(engine *Engine) {
	d.registry.mutex.Lock()
	decided := engine.replaced || !engine.removedAt.IsZero() || !engine.softwareUnknown(time.Now())
	d.registry.mutex.Unlock()
	if decided {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	if d.probeOnce(ctx, engine, time.Now()) != engineReborn {
		time.AfterFunc(reprobeInterval, func() { d.reprobe(engine) })
	}
}

// probeResult is what one probe tells of an engine.
type probeResult int

const (
	// probeFailed tells nothing. engineCuts means that the connection was accepted and then cut, as by a process that ends or a faulty link, or
	// that there is no response.
	probeFailed probeResult = iota
	engineCuts
	// engineGone means that nothing listens, engineReborn that the engine has started again.
	engineGone
	engineReborn
	// engineSame means that the same life goes on, engineAnswers that some life does.
	engineSame
	engineAnswers
)

func (d *Dispatcher) probeOnce(ctx context.Context, engine *Engine, since time.Time) probeResult {
	liveness, err := engine.pool.Probe(ctx, since)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return engineGone
	case liveness == upstream.Surviving:
		return engineSame
	case liveness != upstream.Accepting:
		return probeFailed
	}
	reporter, ok := d.protocol.(StartReporter)
	if !ok {
		return engineAnswers
	}
	started, err := requestStart(ctx, reporter, engine)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return engineGone
	case err != nil:
		return engineCuts
	case started == 0:
		return engineAnswers
	}
	return map[life]probeResult{sameLife: engineSame, newerLife: engineReborn, earlierLife: engineAnswers}[d.registry.noteStart(engine, started)]
}

func requestStart(ctx context.Context, reporter StartReporter, engine *Engine) (startedMillis int64, err error) {
	method, target := reporter.StartRequest()
	exchange, err := engine.pool.Send(ctx, &upstream.Request{Method: method, Target: target, Host: engine.Address(), Header: make(http.Header)})
	if err != nil {
		return 0, err
	}
	defer exchange.Abort()
	body, err := io.ReadAll(io.LimitReader(exchange.Response().Body, maxStartBytes))
	if err != nil {
		return 0, err
	}
	if len(body) < maxStartBytes {
		exchange.Finish()
	}
	return reporter.StartedMillis(exchange.Response().StatusCode, body), nil
}

// noteStart compares a start that an engine tells with the newest one that is known of it, and remembers it. An engine whose record states no
// start is taken for one of an unknown life.
func (r *Registry) noteStart(engine *Engine, startedMillis int64) life {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := max(engine.specification.StartedMillis, engine.probedStart)
	switch {
	case known == 0 || startedMillis < known:
		return earlierLife
	case startedMillis == known:
		if engine.specification.StartedMillis == known {
			// The refusal that seemed to show its end was a passing one.
			engine.lifeEndedAt = time.Time{}
		}
		return sameLife
	}
	engine.probedStart = startedMillis
	return newerLife
}
