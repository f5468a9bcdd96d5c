package replica

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/consensus"
)

// TestFateOfProposalsAfterLeadershipLoss lets a leader lose its leadership with two pending proposals, of which the next leader has
// received the first. The proposers must learn from the log which command was applied.
func TestFateOfProposalsAfterLeadershipLoss(t *testing.T) {
	cluster := newTestCluster(t)
	host, _ := cluster.start("a", MemoryStorage{})
	leader, err := newGroup(host, 7, &appendMachine{}, StoredGroup{
		State:    consensus.HardState{Term: 1, Commit: 4},
		Snapshot: consensus.Snapshot{Index: 4, Term: 1, Members: consensus.Members{Voters: []string{"a", "b", "c"}}},
	})
	assert.NilError(t, err)
	leader.handle(event{action: func(core *consensus.Core) { core.Campaign() }})
	leader.handle(event{message: &consensus.Message{Kind: consensus.PreVoteResponse, From: "b", To: "a", Term: 2}})
	leader.handle(event{message: &consensus.Message{Kind: consensus.VoteResponse, From: "b", To: "a", Term: 2}})
	leader.process()
	propose := func(command string) chan proposalResult {
		result := make(chan proposalResult, 1)
		leader.handle(event{proposal: &proposal{command: []byte(command), result: result}})
		leader.process()
		return result
	}
	// Entry 5 is the no-op of term 2.
	kept, dropped := propose("kept"), propose("dropped")
	leader.handle(event{message: &consensus.Message{Kind: consensus.Heartbeat, From: "b", To: "a", Term: 3}})
	leader.process()
	applied := func(result chan proposalResult) <-chan bool {
		err := (<-result).err
		assert.Equal(t, apierr.From(err, apierr.Ran).Code, apierr.NotLeader)
		assert.Equal(t, apierr.From(err, apierr.Ran).Outcome, apierr.OutcomeUnknown)
		var lost *ErrLeadershipLost
		assert.Assert(t, errors.As(err, &lost))
		return lost.Applied()
	}
	keptApplied, droppedApplied := applied(kept), applied(dropped)
	assert.Equal(t, len(keptApplied)+len(droppedApplied), 0)
	leader.handle(event{message: &consensus.Message{
		Kind: consensus.Append, From: "b", To: "a", Term: 3, Index: 6, LogTerm: 2, Commit: 7,
		Entries: []consensus.Entry{{Index: 7, Term: 3, Kind: consensus.EntryNoOp}},
	}})
	leader.process()
	assert.Assert(t, <-keptApplied)
	assert.Assert(t, !<-droppedApplied)
	assert.Equal(t, len(leader.fates), 0)
}

// TestFatesExcludedByLaterTerm checks which commands an applied entry decides.
func TestFatesExcludedByLaterTerm(t *testing.T) {
	pending := make(fates)
	before, same, after, newer := pending.add(4, 2), pending.add(5, 2), pending.add(9, 2), pending.add(10, 4)
	pending.resolve(consensus.Entry{Index: 5, Term: 3})
	assert.Equal(t, len(before), 0)
	assert.Assert(t, !<-same)
	assert.Assert(t, !<-after)
	assert.Equal(t, len(newer), 0)
	pending.forget(4)
	_, known := <-before
	assert.Assert(t, !known)
	assert.Equal(t, len(pending), 1)
}
