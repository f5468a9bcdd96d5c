package dispatch

import (
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/fatal"
)

// interruptedCall is a call of which a run at an engine was interrupted by a reset.
func interruptedCall(t *testing.T, registry *Registry, engine string) (*Dispatcher, *Call) {
	t.Helper()
	dispatcher := New(registry, nil, events.Discard())
	call := &Call{ID: "c", Placement: Placement{Service: "s"}}
	sentAt := time.Now().Add(-20 * time.Millisecond)
	dispatcher.recordInterruption(context.Background(), call, registry.byID[engine], sentAt, unknown, ResponseError(false, syscall.ECONNRESET))
	return dispatcher, call
}

func TestEndsOfEnginesAreProved(t *testing.T) {
	for name, prove := range map[string]func(dispatcher *Dispatcher, call *Call){
		"refused":  func(d *Dispatcher, call *Call) { d.recordEnd(call, d.registry.byID["e0"], time.Now(), gone) },
		"replaced": func(d *Dispatcher, call *Call) { d.recordEnd(call, d.registry.byID["e0"], time.Now(), misdirected) },
		"removed":  func(d *Dispatcher, _ *Call) { applyEngine(t, d.registry, "e0", 10, false) },
		"reported": func(d *Dispatcher, _ *Call) { d.registry.ApplyEnd("e0", 0) },
	} {
		dispatcher, call := interruptedCall(t, registryOf(t, "a", "a", "a"), "e0")
		assertEnds(t, dispatcher, call, fatal.Count{Undecided: 1})
		dispatcher.recordEnd(call, dispatcher.registry.byID["e1"], time.Now(), gone)
		dispatcher.recordEnd(call, dispatcher.registry.byID["e1"], time.Now(), refused)
		dispatcher.registry.ApplyEnd("unknown", 0)
		prove(dispatcher, call)
		assertEnds(t, dispatcher, call, fatal.Count{Ended: 1})
		assert.Equal(t, len(call.Trace.Engine), 0, name)
	}
}

func assertEnds(t *testing.T, dispatcher *Dispatcher, call *Call, expected fatal.Count) {
	t.Helper()
	assert.DeepEqual(t, dispatcher.registry.ends.Count(time.Now(), call.fingerprint()), expected)
}

// A response that was under way when its engine ended does not show that the engine has survived; one to a later request does.
func TestResponseUnderWayIsNoSignOfLife(t *testing.T) {
	for _, later := range []bool{false, true} {
		dispatcher, call := interruptedCall(t, registryOf(t, "a", "a", "a"), "e0")
		other := &Call{ID: "other", connectedAt: call.brokenAt.Add(-time.Second)}
		sentAt := call.brokenAt.Add(-time.Millisecond)
		if later {
			sentAt = call.brokenAt.Add(time.Millisecond)
		}
		dispatcher.registry.byID["e0"].format = EngineFormat
		dispatcher.recordEnd(other, dispatcher.registry.byID["e0"], sentAt, succeeded)
		assert.Equal(t, dispatcher.registry.ends.Empty(), later)
	}
}

// An engine that leaves may end under a request, too, before it has drained.
func TestEndsOfDrainingEnginesCount(t *testing.T) {
	registry := registryOf(t, "a", "a", "a")
	registry.byID["e0"].specification.Draining = true
	dispatcher, call := interruptedCall(t, registry, "e0")
	dispatcher.recordEnd(call, registry.byID["e0"], time.Now(), gone)
	assertEnds(t, dispatcher, call, fatal.Count{Ended: 1})
}

// A run that its engine fails itself, as with a 504 at its deadline, does not show that the request ends no engines.
func TestFailuresOfEnginesDoNotClearEnds(t *testing.T) {
	for _, row := range []struct {
		status int
		ended  int
	}{{http.StatusOK, 0}, {http.StatusNotFound, 0}, {http.StatusInternalServerError, 1}, {http.StatusGatewayTimeout, 1}} {
		registry := registryOf(t, "a", "a", "a")
		dispatcher, call := interruptedCall(t, registry, "e0")
		registry.engineEnded(time.Now(), registry.byID["e0"], proofRefused)
		call.status = row.status
		dispatcher.finishCall(t.Context(), call, nil)
		assert.Equal(t, registry.ends.Count(time.Now(), call.fingerprint()).Ended, row.ended, row.status)
	}
}

// An engine that says nothing while its caller leaves may have ended; one that just did has not, but may end under the run later.
func TestEnginesOfCallersThatLeft(t *testing.T) {
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	for _, heard := range []bool{false, true} {
		registry := registryOf(t, "a", "a", "a")
		dispatcher := New(registry, nil, events.Discard())
		call := &Call{ID: "c", Placement: Placement{Service: "s"}}
		if heard {
			call.heardAt = time.Now()
		}
		dispatcher.recordInterruption(canceled, call, registry.byID["e0"], time.Now().Add(-2*quietTime), unknown, context.Canceled)
		assert.Equal(t, call.interrupted, !heard)
		assert.Equal(t, registry.ends.Empty(), heard)
		registry.engineEnded(time.Now(), registry.byID["e0"], proofRefused)
		assertEnds(t, dispatcher, call, fatal.Count{Ended: 1})
	}
}

func TestInterruptions(t *testing.T) {
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	for _, row := range []struct {
		ctx      context.Context
		outcome  attemptOutcome
		err      error
		expected interruption
	}{
		{context.Background(), unknown, ResponseError(false, io.ErrUnexpectedEOF), disconnection},
		{context.Background(), unknown, &net.OpError{Op: "read", Err: syscall.ECONNRESET}, disconnection},
		{context.Background(), delivered, ResponseError(true, io.EOF), disconnection},
		{context.Background(), unknown, &net.OpError{Op: "read", Err: net.ErrClosed}, silence},
		{context.Background(), unknown, errors.WithStack(context.DeadlineExceeded), silence},
		{context.Background(), unknown, errInvalid, notInterrupted},
		{context.Background(), unknown, MismatchError(false, errInvalid), notInterrupted},
		{context.Background(), delivered, CallerGone(syscall.EPIPE), notInterrupted},
		{context.Background(), delivered, Withdrawn(io.EOF), notInterrupted},
		{context.Background(), gone, syscall.ECONNREFUSED, notInterrupted},
		{context.Background(), succeeded, nil, notInterrupted},
		{canceled, unknown, io.EOF, notInterrupted},
	} {
		assert.Equal(t, interruptionOf(row.ctx, row.outcome, row.err), row.expected, "%s %v", row.outcome, row.err)
	}
}

// The key of the content, a hash of the body, is computed once in a call.
func TestContentIsComputedOnce(t *testing.T) {
	registry := registryOf(t, "a", "a", "a")
	dispatcher := New(registry, nil, events.Discard())
	computed := 0
	call := &Call{ID: "c", Content: func() fatal.Key {
		computed++
		return "k"
	}}
	for range 2 {
		assert.Equal(t, admitted(t, dispatcher, call), apierr.Code(""))
		assert.Assert(t, dispatcher.mayBegin(call))
		dispatcher.finishCall(t.Context(), call, errInvalid)
		registry.engineEnded(time.Now(), registry.byID["e0"], proofRefused)
	}
	assert.Equal(t, computed, 1)
}

// News of interruptions and of ends is shared once and at once: a gateway that waits until the call has failed may end before that.
func TestEndsAreShared(t *testing.T) {
	registry := registryOf(t, "a", "a", "a")
	var shared []EndNews
	registry.ShareEnds(func(news EndNews) { shared = append(shared, news) })
	dispatcher, call := interruptedCall(t, registry, "e0")
	assert.Equal(t, len(shared), 1)
	first := shared[0].Reports[0]
	assert.Equal(t, first.Engine(), "e0")
	assert.Equal(t, shared[0].Engine, "")
	dispatcher.recordEnd(call, dispatcher.registry.byID["e0"], time.Now(), gone)
	dispatcher.recordEnd(call, dispatcher.registry.byID["e0"], time.Now(), gone)
	assert.Equal(t, len(shared), 2)
	assert.Equal(t, shared[1].Engine, "e0")
	registry.ApplyEnd("e1", 0)
	dispatcher.finishCall(t.Context(), call, errInvalid)
	assert.Equal(t, len(shared), 2, "an end that was reported is reported again")
	dispatcher.finishCall(t.Context(), &Call{ID: "again", Request: call.Request}, nil)
	assert.DeepEqual(t, shared[2].Withdrawn, []string{first.Name()})
}

// Other gateways hear that an engine has survived an interruption.
func TestSurvivalIsShared(t *testing.T) {
	registry := registryOf(t, "a", "a", "a")
	var shared []EndNews
	registry.ShareEnds(func(news EndNews) { shared = append(shared, news) })
	interruptedCall(t, registry, "e0")
	registry.ends.EngineAlive(time.Now().Add(time.Millisecond), "e0")
	registry.shareEnds(time.Now(), EndNews{})
	assert.DeepEqual(t, shared[1].Withdrawn, []string{shared[0].Reports[0].Name()})
}

// An engine that tells the start that is known has survived the runs in that life only: it may have started again before the end of a run was noticed.
func TestKnownStartDoesNotShowThatEarlierLivesLast(t *testing.T) {
	registry := NewRegistry("a", noDial, events.Discard())
	applyLife(t, registry, 1, EngineFormat, startedAt(6, false))
	dispatcher := New(registry, nil, events.Discard())
	now := time.Now()
	registry.ends.Interrupted(now, fatal.Call{Key: "k"}, fatal.Run{Engine: "e0", StartedMillis: 5, SentAt: now, BrokenAt: now})
	dispatcher.noteAlive(registry.engine("e0"), engineSame, interruptedRun{sentAt: now, brokenAt: now}, now.Add(time.Millisecond))
	assert.Equal(t, registry.ends.Count(now, "k"), fatal.Count{Undecided: 1})
}
