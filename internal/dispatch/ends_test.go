package dispatch

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

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
		"refused":  func(d *Dispatcher, call *Call) { d.recordEnd(call, d.registry.byID["e0"], gone) },
		"replaced": func(d *Dispatcher, call *Call) { d.recordEnd(call, d.registry.byID["e0"], misdirected) },
		"removed":  func(d *Dispatcher, _ *Call) { applyEngine(t, d.registry, "e0", 10, false) },
		"reported": func(d *Dispatcher, _ *Call) { d.registry.ApplyEnd("e0", 0) },
	} {
		dispatcher, call := interruptedCall(t, registryOf(t, "a", "a", "a"), "e0")
		ended, unexplained := dispatcher.registry.ends.Ends(time.Now(), call.tracked())
		assert.DeepEqual(t, []int{ended, unexplained}, []int{0, 1})
		dispatcher.recordEnd(call, dispatcher.registry.byID["e1"], gone)
		dispatcher.recordEnd(call, dispatcher.registry.byID["e1"], refused)
		dispatcher.registry.ApplyEnd("unknown", 0)
		prove(dispatcher, call)
		ended, unexplained = dispatcher.registry.ends.Ends(time.Now(), call.tracked())
		assert.DeepEqual(t, []int{ended, unexplained}, []int{1, 0})
		assert.Equal(t, len(call.Trace.Engine), 0, name)
	}
}

// A release ends engines as planned; the streams that they cut are not to blame.
func TestPlannedEndsAreNotHeldAgainstRequests(t *testing.T) {
	registry := registryOf(t, "a", "a", "a")
	registry.byID["e0"].specification.Draining = true
	dispatcher, call := interruptedCall(t, registry, "e0")
	dispatcher.recordEnd(call, registry.byID["e0"], gone)
	ended, unexplained := registry.ends.Ends(time.Now(), call.tracked())
	assert.DeepEqual(t, []int{ended, unexplained}, []int{0, 0})
	assert.Assert(t, !call.interrupted)
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

// Before a call runs, content is asked for only if any request is known under which an engine may have ended; after it, once, to know that
// the request is sound.
func TestContentIsNotComputedWhileNoEngineEnds(t *testing.T) {
	registry := registryOf(t, "a", "a", "a")
	dispatcher := New(registry, nil, events.Discard())
	computed := 0
	content := func() fatal.Key {
		computed++
		return "k"
	}
	call := &Call{ID: "c", Content: content}
	assert.Assert(t, !dispatcher.EndsEngines("c", content))
	assert.Assert(t, !dispatcher.admit(t.Context(), call))
	registry.engineEnded(time.Now(), registry.byID["e0"], proofRefused)
	assert.Assert(t, !dispatcher.EndsEngines("c", content))
	assert.Assert(t, !dispatcher.admit(t.Context(), call))
	dispatcher.finishCall(t.Context(), call, errInvalid)
	assert.Equal(t, computed, 0)
	dispatcher.finishCall(t.Context(), call, nil)
	assert.Equal(t, computed, 1)
}

// News of ends is shared once and as soon as they are proved here: a gateway that waits until the call has failed may end before that.
func TestEndsAreShared(t *testing.T) {
	registry := registryOf(t, "a", "a", "a")
	var shared []EndNews
	registry.ShareEnds(func(news EndNews) { shared = append(shared, news) })
	dispatcher, call := interruptedCall(t, registry, "e0")
	dispatcher.recordEnd(call, dispatcher.registry.byID["e0"], gone)
	dispatcher.recordEnd(call, dispatcher.registry.byID["e0"], gone)
	assert.Equal(t, len(shared), 1)
	assert.Equal(t, shared[0].Engine, "e0")
	first := shared[0].Reports[0]
	assert.Equal(t, first.Engine(), "e0")
	registry.ApplyEnd("e1", 0)
	assert.Equal(t, len(shared), 1, "an end that was reported is reported again")
	// Builds that count an end only once its call has failed get another report then.
	dispatcher.finishCall(t.Context(), call, errInvalid)
	assert.Equal(t, len(shared), 2)
	assert.Equal(t, shared[1].Reports[0].Engine(), "e0")
	assert.DeepEqual(t, shared[1].Withdrawn, []string{first.Name()})
	dispatcher.finishCall(t.Context(), &Call{ID: "again", Request: call.Request}, nil)
	assert.DeepEqual(t, shared[2].Withdrawn, []string{shared[1].Reports[0].Name()})
}
