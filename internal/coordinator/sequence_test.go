package coordinator

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/consensus"
	"github.com/mountstile/mountstile/internal/program"
)

func secondCall(key program.Key) BeginRequest {
	return BeginRequest{
		Partition: 1, Execution: "x",
		Admit: program.Admit{CallID: "call", Program: key, Service: "s", Gateway: "g", Sequence: 2, Limits: program.Limits{TokenBudget: 1, CallBudget: 1}},
	}
}

// TestSequenceGapIsNotReportedByFormerLeader takes the leadership from a node on which a call waits for its predecessor. Only the
// new leader can tell whether the predecessor arrives, so the call must be sent there.
func TestSequenceGapIsNotReportedByFormerLeader(t *testing.T) {
	server := newLeadingServer(t)
	ctx, cancel := context.WithCancel(t.Context())
	result := make(chan error, 1)
	go func() {
		_, err := server.begin(ctx, secondCall(program.Key{Tenant: "t", Path: "p"}))
		result <- err
	}()
	defer cancel()
	// The heartbeats of the new leader keep this node from a campaign.
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case err := <-result:
			failure := apierr.From(err, apierr.Ran)
			assert.Equal(t, failure.Code, apierr.NotLeader)
			assert.Equal(t, failure.Leader, "new")
			assert.Equal(t, failure.Outcome, apierr.NotRun)
			return
		case <-ticker.C:
			assert.NilError(t, server.options.Host.Do(ctx, 1, func(core *consensus.Core) {
				core.Step(consensus.Message{Kind: consensus.Heartbeat, From: "new", To: "n", Term: max(core.Term(), 50)})
			}))
		}
	}
}

// TestCallWaitsBehindWaitingPredecessor checks that a call is not refused while its predecessor waits at the same node, and is
// refused together with it if the call before both does not arrive.
func TestCallWaitsBehindWaitingPredecessor(t *testing.T) {
	server := newLeadingServer(t)
	key := program.Key{Tenant: "t", Path: "p"}
	done := server.admissions.add(key, 1)
	result := make(chan error, 1)
	go func() {
		_, err := server.begin(t.Context(), secondCall(key))
		result <- err
	}()
	select {
	case err := <-result:
		t.Fatalf("the call was refused: %v", err)
	case <-time.After(sequenceGapTimeout + sequenceGapTimeout/2):
	}
	done()
	failure := apierr.From(<-result, apierr.Ran)
	assert.Equal(t, failure.Code, apierr.SequenceGap)
	assert.Equal(t, failure.Outcome, apierr.NotRun)
	assert.Assert(t, failure.RetryAfter > 0)
	assert.Equal(t, len(server.admissions.programs), 0)
}
