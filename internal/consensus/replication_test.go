package consensus

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

func newTestCore(id string, snapshot Snapshot, entries []Entry) *Core {
	config := Config{ID: id, ElectionTicks: 10, HeartbeatTicks: 2, Random: rand.New(rand.NewPCG(1, 1))}
	return New(config, HardState{Term: 2, Commit: snapshot.Index}, snapshot, entries)
}

func threeVoters() Members { return Members{Voters: []string{"a", "b", "c"}} }

// TestSnapshotKeepsAcknowledgedEntries: a snapshot that was sent before later entries, and came
// after them, dropped entries that the leader had counted (simulation seed 27).
func TestSnapshotKeepsAcknowledgedEntries(t *testing.T) {
	entries := []Entry{{Index: 2, Term: 2}, {Index: 3, Term: 2}, {Index: 4, Term: 2}}
	follower := newTestCore("b", Snapshot{Index: 1, Term: 1, Members: threeVoters()}, entries)
	late := &Snapshot{Index: 3, Term: 2, Members: threeVoters()}
	follower.Step(Message{Kind: InstallSnapshot, From: "a", To: "b", Term: 2, Snapshot: late})
	ready := follower.Ready()
	assert.Assert(t, ready.Snapshot == nil)
	assert.Equal(t, follower.log.lastIndex(), uint64(4))
	assert.Equal(t, follower.Committed(), uint64(3))
}

func leaderOf(t *testing.T) *Core {
	t.Helper()
	leader := newTestCore("a", Snapshot{Index: 1, Term: 1, Members: threeVoters()}, nil)
	leader.Campaign()
	leader.Step(Message{Kind: PreVoteResponse, From: "b", To: "a", Term: 3})
	leader.Step(Message{Kind: VoteResponse, From: "b", To: "a", Term: 3})
	assert.Equal(t, leader.Role(), Leader)
	leader.Ready()
	return leader
}

// TestDuplicateRejectionsDoNotMultiply: each copy of a rejection caused a new probe, and each probe
// a new rejection, so that duplicated messages grew without end.
func TestDuplicateRejectionsDoNotMultiply(t *testing.T) {
	leader := leaderOf(t)
	// An acknowledgement ends the probing with which a leader begins.
	leader.Step(Message{Kind: AppendResponse, From: "b", To: "a", Term: 3, Index: 2})
	for range 20 {
		_, _, err := leader.Propose([]byte("x"))
		assert.NilError(t, err)
	}
	leader.Ready()
	rejection := Message{Kind: AppendResponse, From: "b", To: "a", Term: 3, Index: 10, Reject: true, Hint: 4}
	sent := 0
	for range 50 {
		leader.Step(rejection)
		sent += len(leader.Ready().Messages)
	}
	assert.Equal(t, sent, 1)
}

// TestCommitNeedsAnEntryOfTheTerm: an entry of an earlier term is not committed by counting
// replicas (Raft, section 5.4.2).
func TestCommitNeedsAnEntryOfTheTerm(t *testing.T) {
	leader := newTestCore("a", Snapshot{Index: 1, Term: 1, Members: threeVoters()}, []Entry{{Index: 2, Term: 2}})
	leader.Campaign()
	leader.Step(Message{Kind: PreVoteResponse, From: "b", To: "a", Term: 3})
	leader.Step(Message{Kind: VoteResponse, From: "b", To: "a", Term: 3})
	leader.Step(Message{Kind: AppendResponse, From: "b", To: "a", Term: 3, Index: 2})
	assert.Equal(t, leader.Committed(), uint64(1))
	leader.Step(Message{Kind: AppendResponse, From: "b", To: "a", Term: 3, Index: 3})
	assert.Equal(t, leader.Committed(), uint64(3))
}

// TestMembersChangeOneVoterAtATime refuses what could make two majorities.
func TestMembersChangeOneVoterAtATime(t *testing.T) {
	leader := leaderOf(t)
	_, _, err := leader.ProposeMembers(Members{Voters: []string{"a", "b", "c", "d"}})
	assert.ErrorContains(t, err, "committed nothing in its term")
	leader.Step(Message{Kind: AppendResponse, From: "b", To: "a", Term: 3, Index: 2})
	_, _, err = leader.ProposeMembers(Members{Voters: []string{"a", "d", "e"}})
	assert.ErrorContains(t, err, "more than one voter")
	_, _, err = leader.ProposeMembers(Members{Voters: []string{"a", "b", "c", "d"}})
	assert.NilError(t, err)
	_, _, err = leader.ProposeMembers(Members{Voters: []string{"a", "b", "c", "d", "e"}})
	assert.ErrorContains(t, err, "not committed yet")
}

// TestLeaseRefusesOtherCandidates: a follower that hears its leader does not help another one.
func TestLeaseRefusesOtherCandidates(t *testing.T) {
	follower := newTestCore("b", Snapshot{Index: 1, Term: 1, Members: threeVoters()}, nil)
	follower.Step(Message{Kind: Heartbeat, From: "a", To: "b", Term: 2})
	follower.Ready()
	follower.Step(Message{Kind: PreVote, From: "c", To: "b", Term: 3, Index: 9, LogTerm: 2})
	follower.Step(Message{Kind: Vote, From: "c", To: "b", Term: 3, Index: 9, LogTerm: 2})
	assert.Equal(t, len(follower.Ready().Messages), 0)
	assert.Equal(t, follower.Term(), uint64(2))
}
