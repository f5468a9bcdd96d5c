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

// A snapshot that arrives after later entries must not discard them, because the leader has counted
// their acknowledgements.
func TestSnapshotKeepsAcknowledgedEntries(t *testing.T) {
	entries := []Entry{{Index: 2, Term: 2}, {Index: 3, Term: 2}, {Index: 4, Term: 2}}
	follower := newTestCore("b", Snapshot{Index: 1, Term: 1, Members: threeVoters()}, entries)
	delayed := &Snapshot{Index: 3, Term: 2, Members: threeVoters()}
	follower.Step(Message{Kind: InstallSnapshot, From: "a", To: "b", Term: 2, Snapshot: delayed})
	ready := follower.Ready()
	assert.Assert(t, ready.Snapshot == nil)
	assert.Equal(t, follower.log.lastIndex(), uint64(4))
	assert.Equal(t, follower.Committed(), uint64(3))
}

func newTestLeader(t *testing.T) *Core {
	t.Helper()
	leader := newTestCore("a", Snapshot{Index: 1, Term: 1, Members: threeVoters()}, nil)
	leader.Campaign()
	leader.Step(Message{Kind: PreVoteResponse, From: "b", To: "a", Term: 3})
	leader.Step(Message{Kind: VoteResponse, From: "b", To: "a", Term: 3})
	assert.Equal(t, leader.Role(), Leader)
	leader.Ready()
	return leader
}

// Duplicates of a rejection must cause one probe only; otherwise probes and rejections multiply without
// end.
func TestDuplicateRejectionsDoNotMultiply(t *testing.T) {
	leader := newTestLeader(t)
	// An acknowledgement ends the initial probing.
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

// An entry of an earlier term must not be committed by counting its replicas (Raft, section 5.4.2).
func TestCommitNeedsEntryOfCurrentTerm(t *testing.T) {
	leader := newTestCore("a", Snapshot{Index: 1, Term: 1, Members: threeVoters()}, []Entry{{Index: 2, Term: 2}})
	leader.Campaign()
	leader.Step(Message{Kind: PreVoteResponse, From: "b", To: "a", Term: 3})
	leader.Step(Message{Kind: VoteResponse, From: "b", To: "a", Term: 3})
	leader.Step(Message{Kind: AppendResponse, From: "b", To: "a", Term: 3, Index: 2})
	assert.Equal(t, leader.Committed(), uint64(1))
	leader.Step(Message{Kind: AppendResponse, From: "b", To: "a", Term: 3, Index: 3})
	assert.Equal(t, leader.Committed(), uint64(3))
}

// Changes that could allow two disjoint majorities are rejected.
func TestMembersChangeOneVoterAtATime(t *testing.T) {
	leader := newTestLeader(t)
	_, _, err := leader.ProposeMembers(Members{Voters: []string{"a", "b", "c", "d"}})
	assert.ErrorContains(t, err, "has not committed an entry of its term")
	leader.Step(Message{Kind: AppendResponse, From: "b", To: "a", Term: 3, Index: 2})
	_, _, err = leader.ProposeMembers(Members{Voters: []string{"a", "d", "e"}})
	assert.ErrorContains(t, err, "more than one voter changes")
	_, _, err = leader.ProposeMembers(Members{Voters: []string{"a", "b", "c", "d"}})
	assert.NilError(t, err)
	_, _, err = leader.ProposeMembers(Members{Voters: []string{"a", "b", "c", "d", "e"}})
	assert.ErrorContains(t, err, "not committed yet")
}

// A follower with an active leader ignores vote requests of other candidates.
func TestLeaderLeaseBlocksOtherCandidates(t *testing.T) {
	follower := newTestCore("b", Snapshot{Index: 1, Term: 1, Members: threeVoters()}, nil)
	follower.Step(Message{Kind: Heartbeat, From: "a", To: "b", Term: 2})
	follower.Ready()
	follower.Step(Message{Kind: PreVote, From: "c", To: "b", Term: 3, Index: 9, LogTerm: 2})
	follower.Step(Message{Kind: Vote, From: "c", To: "b", Term: 3, Index: 9, LogTerm: 2})
	assert.Equal(t, len(follower.Ready().Messages), 0)
	assert.Equal(t, follower.Term(), uint64(2))
}

// Entries that are appended between two calls of Ready are sent to a follower in one message; a message for each entry would make
// the messages, responses and writes of a loaded leader grow with its proposals.
func TestAppendedEntriesShareOneMessage(t *testing.T) {
	leader := newTestLeader(t)
	leader.Step(Message{Kind: AppendResponse, From: "b", To: "a", Term: 3, Index: 2})
	leader.Ready()
	for range 20 {
		_, _, err := leader.Propose([]byte("x"))
		assert.NilError(t, err)
	}
	messages := leader.Ready().Messages
	assert.Equal(t, len(messages), 1)
	assert.Equal(t, messages[0].To, "b")
	assert.Equal(t, len(messages[0].Entries), 20)
}
