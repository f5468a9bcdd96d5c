package dispatch

import (
	"context"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mountstile/mountstile/internal/clock"
	"github.com/mountstile/mountstile/internal/fatal"
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
	// reprobeInterval is the time between later probes of an engine of which it is not decided which life goes on. maxReprobes bounds those
	// after an interruption.
	reprobeInterval = time.Second
	maxReprobes     = 10
	// decideInterval is the least time between two probes of an engine for calls that wait for a decision.
	decideInterval = 200 * time.Millisecond
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
	broken := interruptedRun{sentAt: call.brokenSentAt, brokenAt: call.brokenAt}
	go func() {
		result <- d.probe(context.WithoutCancel(ctx), engine, broken)
		d.registry.shareEnds(time.Now(), EndNews{})
		d.probeAgain(engine, broken, maxReprobes)
	}()
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

// interruptedRun tells when a run that is not in progress any more was sent, zero if that is not known, and when its end was noticed, which may be
// long after an end of its engine.
type interruptedRun struct{ sentAt, brokenAt time.Time }

// probe finds out whether an engine has ended under a run, and reports whether it has. A connection that is refused proves that; one over which the
// engine had responded, that was opened before the run was sent and is still open, proves that it has not. Otherwise the engine's start decides, for a
// listening socket may outlive its process.
func (d *Dispatcher) probe(ctx context.Context, engine *Engine, broken interruptedRun) (ended bool) {
	probeContext, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	clock.Sleep(probeContext, probeDelay)
	confirmed := 0
	for number := range maxProbes {
		if !d.registry.ends.Undecided(engine.ID()) {
			return d.registry.ends.EndedSince(engine.ID(), broken.brokenAt)
		}
		probedAt := time.Now()
		found := d.probeOnce(probeContext, engine, broken.sentAt)
		switch found {
		case engineGone:
			d.engineRefused(engine)
			return true
		case engineReborn:
			d.registry.engineEnded(probedAt, engine, proofReborn)
			return true
		case engineSurvives, engineSame, engineAnswers:
			confirmed++
		case engineCuts:
			if number == maxProbes-1 || probeContext.Err() != nil {
				// A process that ends has closed its listener by now.
				d.registry.engineAccepted(probedAt, engine)
			}
		}
		if confirmed == minConfirmations {
			d.noteAlive(engine, found, broken, probedAt)
			return false
		}
		clock.Sleep(probeContext, probeInterval)
	}
	return false
}

// noteAlive records that an engine was found alive by a probe.
func (d *Dispatcher) noteAlive(engine *Engine, found probeResult, broken interruptedRun, probedAt time.Time) {
	switch found {
	case engineSurvives:
		d.registry.ends.EngineLived(broken.sentAt.Add(-time.Nanosecond), probedAt, engine.ID())
	case engineAnswers:
		d.registry.engineAccepted(probedAt, engine)
	case engineSame:
		// askStart has recorded which life lasts.
	}
}

// probeUntilDecided probes an engine at once, and then as probeAgain does.
func (d *Dispatcher) probeUntilDecided(engine *Engine, broken interruptedRun) {
	d.probe(context.Background(), engine, broken)
	d.registry.shareEnds(time.Now(), EndNews{})
	d.probeAgain(engine, broken, maxReprobes)
}

// probeAgain probes an engine now and then until it is decided whether it has ended under the runs that were interrupted there.
func (d *Dispatcher) probeAgain(engine *Engine, broken interruptedRun, times int) {
	if times == 0 || !d.registry.ends.Undecided(engine.ID()) {
		return
	}
	time.AfterFunc(reprobeInterval, func() {
		d.probe(context.Background(), engine, broken)
		d.registry.shareEnds(time.Now(), EndNews{})
		d.probeAgain(engine, broken, times-1)
	})
}

// decideInterruptions finds out whether engines have survived the interrupted runs of a request, at whichever gateway these were: that one may have
// ended. Each engine is asked once in decideInterval.
func (d *Dispatcher) decideInterruptions(ctx context.Context, key fatal.Key) {
	probeContext, cancel := context.WithTimeout(ctx, proveTimeout)
	defer cancel()
	var probes sync.WaitGroup
	now := time.Now()
	for _, id := range d.registry.ends.UndecidedEngines(key) {
		engine := d.registry.engine(id)
		if engine == nil || !d.registry.mayDecide(now, engine) {
			continue
		}
		probes.Go(func() {
			switch d.askStart(probeContext, engine) {
			case engineGone:
				d.engineRefused(engine)
			case engineReborn:
				d.registry.engineEnded(now, engine, proofReborn)
			}
		})
	}
	probes.Wait()
	d.registry.shareEnds(time.Now(), EndNews{})
}

// mayDecide reports whether an engine has not been asked for its start in decideInterval, and notes that it is.
func (r *Registry) mayDecide(now time.Time, engine *Engine) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if now.Sub(engine.decidedAt) < decideInterval {
		return false
	}
	engine.decidedAt = now
	return true
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
	// engineSurvives means that a connection is open that was before the time in question, engineSame that the engine tells the start that is known, and engineAnswers
	// that some life goes on.
	engineSurvives
	engineSame
	engineAnswers
)

func (d *Dispatcher) probeOnce(ctx context.Context, engine *Engine, since time.Time) probeResult {
	liveness, err := engine.pool.Probe(ctx, since)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return engineGone
	case liveness == upstream.Surviving:
		return engineSurvives
	case liveness != upstream.Accepting:
		return probeFailed
	}
	return d.askStart(ctx, engine)
}

// askStart asks an engine for its start.
func (d *Dispatcher) askStart(ctx context.Context, engine *Engine) probeResult {
	reporter, ok := d.protocol.(StartReporter)
	if !ok {
		return engineAnswers
	}
	askedAt := time.Now()
	started, err := requestStart(ctx, reporter, engine)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return engineGone
	case err != nil:
		return engineCuts
	case started == 0:
		return engineAnswers
	}
	d.registry.ends.LifeLasts(askedAt, engine.ID(), started)
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

// knownStart returns the newest start that is known of an engine; 0 if none is.
func (r *Registry) knownStart(engine *Engine) (startedMillis int64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return max(engine.specification.StartedMillis, engine.probedStart)
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
