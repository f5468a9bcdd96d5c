package dispatch

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/fatal"
)

// reportOfEnd returns a report of an end under a content at another gateway.
func reportOfEnd(t *testing.T, key fatal.Key, engine string) fatal.Report {
	t.Helper()
	report, err := fatal.DecodeReport(string(key)+"/"+engine, fmt.Appendf(nil, `{"e":%q,"s":"s","d":20000,"b":20000,"c":%d}`, engine, len(engine)))
	assert.NilError(t, err)
	return report
}

// endedCall returns a call whose run at an engine was interrupted by its end.
func endedCall(t *testing.T, registry *Registry, engine string) (*Dispatcher, *Call) {
	t.Helper()
	dispatcher, call := interruptedCall(t, registry, engine)
	call.beganAt = time.Now().Add(-20 * time.Millisecond)
	dispatcher.recordEnd(call, registry.byID[engine], gone)
	return dispatcher, call
}

// A call with whose content no run was interrupted waits for nothing and tells nobody.
func TestOrdinaryCallsAreAdmittedWithoutMessages(t *testing.T) {
	registry := registryOf(t, "a", "a", "a")
	registry.ExchangeRuns(func(context.Context, RunNews) RunFindings {
		t.Error("a message was sent")
		return RunFindings{}
	})
	dispatcher := New(registry, nil, events.Discard())
	assert.Assert(t, !dispatcher.admit(t.Context(), &Call{ID: "c", Placement: Placement{Service: "s"}}))
	registry.engineEnded(time.Now(), registry.byID["e0"], proofRefused)
	assert.Assert(t, !dispatcher.admit(t.Context(), &Call{ID: "c", Placement: Placement{Service: "s"}}))
}

// A call that met one end is stopped if other gateways tell of two more under its content, which came at the same time.
func TestEndsAtOtherGatewaysStopACall(t *testing.T) {
	registry := registryOf(t, "a", "a", "a", "a")
	dispatcher, call := endedCall(t, registry, "e0")
	told := make(chan RunNews, 10)
	registry.ExchangeRuns(func(_ context.Context, news RunNews) RunFindings {
		told <- news
		for _, engine := range []string{"e1", "e02"} {
			registry.ApplyReport(reportOfEnd(t, news.Content, engine))
		}
		return RunFindings{}
	})
	assert.Assert(t, dispatcher.admit(t.Context(), call))
	begun := <-told
	assert.Equal(t, len(begun.Reports), 1)
	assert.Equal(t, begun.Reports[0].Engine(), "e0")
	assert.Assert(t, begun.Begun != "")
	assert.Equal(t, (<-told).Finished, begun.Begun, "other nodes wait for a run that is not sent")
}

// A run that another node has begun and that may bring the third end is waited for, for a while.
func TestCallWaitsForRunsAtOtherNodes(t *testing.T) {
	for _, finishes := range []bool{true, false} {
		registry := registryOf(t, "a", "a", "a", "a")
		dispatcher, call := endedCall(t, registry, "e0")
		registry.ApplyReport(reportOfEnd(t, call.fingerprint(), "e1"))
		startedAt := time.Now()
		registry.ExchangeRuns(func(_ context.Context, news RunNews) RunFindings {
			if finishes && time.Since(startedAt) > turnTimeout/2 {
				return RunFindings{}
			}
			return RunFindings{Open: []string{"elsewhere"}}
		})
		assert.Assert(t, !dispatcher.admit(t.Context(), call))
		waited := time.Since(startedAt)
		assert.Assert(t, waited > turnTimeout/2, "%s", waited)
		assert.Assert(t, finishes || waited >= turnTimeout, "%s", waited)
		assert.Assert(t, waited < turnTimeout+calmTimeout, "%s", waited)
	}
}

// While an interruption may turn out to be the third end, a call waits for the proof, and goes on if none comes.
func TestCallWaitsForTheProofOfAnEnd(t *testing.T) {
	for _, proved := range []bool{true, false} {
		registry := registryOf(t, "a", "a", "a", "a")
		dispatcher, call := endedCall(t, registry, "e0")
		registry.ApplyReport(reportOfEnd(t, call.fingerprint(), "e1"))
		dispatcher.recordInterruption(t.Context(), call, registry.byID["e2"], time.Now().Add(-20*time.Millisecond), unknown, ResponseError(false, syscall.ECONNRESET))
		startedAt := time.Now()
		time.AfterFunc(proofTime/4, func() {
			if proved {
				registry.engineEnded(time.Now(), registry.byID["e2"], proofRefused)
			}
		})
		assert.Equal(t, dispatcher.admit(t.Context(), call), proved)
		assert.Assert(t, time.Since(startedAt) >= proofTime/4)
		assert.Assert(t, proved || time.Since(startedAt) < proofTime+calmTimeout)
	}
}

// A call that may decide whether its request is fatal waits until other engines have stopped ending, for a while.
func TestDecidingRunWaitsUntilOtherEnginesHaveStoppedEnding(t *testing.T) {
	registry := registryOf(t, "a", "a", "a", "a")
	dispatcher, call := endedCall(t, registry, "e0")
	registry.ApplyReport(reportOfEnd(t, call.fingerprint(), "e1"))
	registry.engineEnded(time.Now(), registry.byID["e2"], proofRefused)
	startedAt := time.Now()
	assert.Assert(t, !dispatcher.admit(t.Context(), call))
	waited := time.Since(startedAt)
	assert.Assert(t, waited >= calmTime && waited < calmTimeout, "%s", waited)
}

// Ends under a call that fails are told before its caller hears of the failure.
func TestEndsAreToldBeforeTheCallFails(t *testing.T) {
	registry := registryOf(t, "a", "a", "a")
	dispatcher, call := endedCall(t, registry, "e0")
	var told RunNews
	registry.ExchangeRuns(func(_ context.Context, news RunNews) RunFindings {
		told = news
		return RunFindings{}
	})
	call.openRun = "run"
	dispatcher.finishCall(t.Context(), call, errInvalid)
	assert.Equal(t, len(told.Reports), 1)
	assert.Equal(t, told.Finished, "run")
}
