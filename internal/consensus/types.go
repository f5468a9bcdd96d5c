// Package consensus implements the Raft consensus algorithm: elections with pre-vote, pipelined log
// replication, leadership transfer, snapshots, learners and single-server membership changes.
//
// Core is a deterministic state machine without a clock, I/O or goroutines, so that it can be
// simulated: its inputs are messages, ticks and proposals, its output is Ready.
//
// References: Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014;
// Ongaro's thesis for pre-vote, leadership transfer and membership changes.
package consensus

import "slices"

// EntryKind is the type of a log entry.
type EntryKind uint8

const (
	// EntryCommand carries a command for the state machine.
	EntryCommand EntryKind = iota
	// EntryMembers replaces the members of the group.
	EntryMembers
	// EntryNoOp is appended by a new leader to commit the entries of earlier terms.
	EntryNoOp
)

// Entry is one log entry.
type Entry struct {
	Index   uint64    `json:"i"`
	Term    uint64    `json:"t"`
	Kind    EntryKind `json:"k,omitempty"`
	Data    []byte    `json:"d,omitempty"`
	Members *Members  `json:"m,omitempty"`
}

// Members lists the replicas of a group.
type Members struct {
	Voters   []string `json:"v"`
	Learners []string `json:"l,omitempty"`
}

// IsVoter reports whether id is a voter.
func (m Members) IsVoter(id string) bool { return slices.Contains(m.Voters, id) }

// Contains reports whether id is a voter or a learner.
func (m Members) Contains(id string) bool {
	return m.IsVoter(id) || slices.Contains(m.Learners, id)
}

// All returns the voters followed by the learners.
func (m Members) All() []string { return append(slices.Clone(m.Voters), m.Learners...) }

// Clone returns a deep copy.
func (m Members) Clone() Members {
	return Members{Voters: slices.Clone(m.Voters), Learners: slices.Clone(m.Learners)}
}

// quorum returns the number of voters that form a majority.
func (m Members) quorum() int { return len(m.Voters)/2 + 1 }

// HardState is the persistent state of a replica. It must be on stable storage before messages that
// depend on it are sent.
type HardState struct {
	Term   uint64 `json:"term"`
	Vote   string `json:"vote,omitempty"`
	Commit uint64 `json:"commit"`
}

// Snapshot is the state of the state machine after applying the log up to and including Index.
type Snapshot struct {
	Index   uint64  `json:"i"`
	Term    uint64  `json:"t"`
	Members Members `json:"m"`
	Data    []byte  `json:"d,omitempty"`
}

// MessageKind is the type of a Message.
type MessageKind uint8

// Message kinds.
const (
	PreVote MessageKind = iota + 1
	PreVoteResponse
	Vote
	VoteResponse
	Append
	AppendResponse
	Heartbeat
	HeartbeatResponse
	InstallSnapshot
	TimeoutNow
)

// Message is sent from one replica of a group to another.
type Message struct {
	Kind MessageKind `json:"k"`
	From string      `json:"f"`
	To   string      `json:"o"`
	Term uint64      `json:"t"`
	// Index and LogTerm identify the entry preceding Entries in an Append, or the candidate's last
	// entry in a vote request. In an AppendResponse, Index is the highest acknowledged index, or the
	// index that was rejected.
	Index   uint64  `json:"i,omitempty"`
	LogTerm uint64  `json:"lt,omitempty"`
	Commit  uint64  `json:"c,omitempty"`
	Entries []Entry `json:"e,omitempty"`
	Reject  bool    `json:"rj,omitempty"`
	// Hint is the highest index at which the rejecting follower's log may match the leader's.
	Hint uint64 `json:"h,omitempty"`
	// Transfer marks a vote request of a leadership transfer; it overrides the leader's lease.
	Transfer bool `json:"tr,omitempty"`
	// Snapshot is set in InstallSnapshot only; the host fills it in from its state machine.
	Snapshot *Snapshot `json:"s,omitempty"`
}

// Ready lists the work that the host must do, in this order: persist State, Snapshot and Entries;
// restore Snapshot; apply Committed; send Messages.
type Ready struct {
	State        HardState
	StateChanged bool
	Snapshot     *Snapshot
	// Entries replace the stored log from the index of the first one.
	Entries   []Entry
	Committed []Entry
	Messages  []Message
}

// Empty reports whether there is nothing to do.
func (r Ready) Empty() bool {
	return !r.StateChanged && r.Snapshot == nil && len(r.Entries) == 0 && len(r.Committed) == 0 && len(r.Messages) == 0
}

// Role is a replica's role in the current term.
type Role uint8

// Roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String implements fmt.Stringer.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// ErrNotLeader is returned by operations that need the leader. Leader is the current leader, or empty
// if it is unknown.
type ErrNotLeader struct{ Leader string }

// Error implements error.
func (e *ErrNotLeader) Error() string {
	return "not the leader of the group; current leader: " + e.Leader
}

// ErrTransferring is returned for a proposal during a leadership transfer.
type ErrTransferring struct{ Target string }

// Error implements error.
func (e *ErrTransferring) Error() string { return "leadership transfer in progress to " + e.Target }

// ErrMembersChange is returned for a membership change or leadership transfer that is not allowed.
type ErrMembersChange struct{ Reason string }

// Error implements error.
func (e *ErrMembersChange) Error() string { return "membership change rejected: " + e.Reason }
