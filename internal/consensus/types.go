// Package consensus replicates a log over a small group: terms, pre-vote, majority commit,
// pipelined replication, leadership transfer, snapshots, learners, and changes of the group through
// its own log. Core is a pure state machine: messages, ticks and proposals go in, messages and
// entries come out; it has no clock, no I/O and no goroutine, so that it can be simulated.
//
// The algorithm is Raft (Ongaro and Ousterhout, "In Search of an Understandable Consensus
// Algorithm", 2014; Ongaro's thesis for pre-vote, transfer and single-server changes).
package consensus

import "slices"

// EntryKind tells who interprets an entry.
type EntryKind uint8

const (
	// EntryCommand is data of the state machine.
	EntryCommand EntryKind = iota
	// EntryMembers replaces the group's members.
	EntryMembers
	// EntryNoOp is what a new leader appends to commit the entries of earlier terms.
	EntryNoOp
)

// Entry is one slot of the log.
type Entry struct {
	Index   uint64    `json:"i"`
	Term    uint64    `json:"t"`
	Kind    EntryKind `json:"k,omitempty"`
	Data    []byte    `json:"d,omitempty"`
	Members *Members  `json:"m,omitempty"`
}

// Members is who holds a replica.
type Members struct {
	Voters   []string `json:"v"`
	Learners []string `json:"l,omitempty"`
}

// IsVoter reports whether id votes.
func (m Members) IsVoter(id string) bool { return slices.Contains(m.Voters, id) }

// Contains reports whether id is a voter or a learner.
func (m Members) Contains(id string) bool {
	return m.IsVoter(id) || slices.Contains(m.Learners, id)
}

// All returns voters and learners.
func (m Members) All() []string { return append(slices.Clone(m.Voters), m.Learners...) }

// Clone returns a copy that shares nothing.
func (m Members) Clone() Members {
	return Members{Voters: slices.Clone(m.Voters), Learners: slices.Clone(m.Learners)}
}

// quorum is the size of a majority of the voters.
func (m Members) quorum() int { return len(m.Voters)/2 + 1 }

// HardState must be on stable storage before messages that follow from it are sent.
type HardState struct {
	Term   uint64 `json:"term"`
	Vote   string `json:"vote,omitempty"`
	Commit uint64 `json:"commit"`
}

// Snapshot is the state after applying the log up to Index.
type Snapshot struct {
	Index   uint64  `json:"i"`
	Term    uint64  `json:"t"`
	Members Members `json:"m"`
	Data    []byte  `json:"d,omitempty"`
}

// MessageKind is the kind of a Message.
type MessageKind uint8

// The message kinds.
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

// Message travels between the cores of a group.
type Message struct {
	Kind MessageKind `json:"k"`
	From string      `json:"f"`
	To   string      `json:"o"`
	Term uint64      `json:"t"`
	// Index and LogTerm are the entry before Entries, the voter's last entry, or what a response
	// acknowledges.
	Index   uint64  `json:"i,omitempty"`
	LogTerm uint64  `json:"lt,omitempty"`
	Commit  uint64  `json:"c,omitempty"`
	Entries []Entry `json:"e,omitempty"`
	Reject  bool    `json:"rj,omitempty"`
	// Hint is the last index at which the rejecting follower may agree.
	Hint uint64 `json:"h,omitempty"`
	// Transfer marks a vote that the leader itself asked for; it overrides the leader's lease.
	Transfer bool `json:"tr,omitempty"`
	// Snapshot of an InstallSnapshot is filled in by the host, which owns the state machine.
	Snapshot *Snapshot `json:"s,omitempty"`
}

// Ready is what the host must do now, in this order: persist State, Snapshot and Entries; restore
// Snapshot; apply Committed; send Messages.
type Ready struct {
	State        HardState
	StateChanged bool
	Snapshot     *Snapshot
	// Entries replace the stored log from their first index on.
	Entries   []Entry
	Committed []Entry
	Messages  []Message
}

// Empty reports that there is nothing to do.
func (r Ready) Empty() bool {
	return !r.StateChanged && r.Snapshot == nil && len(r.Entries) == 0 && len(r.Committed) == 0 && len(r.Messages) == 0
}

// Role is what a core is at present.
type Role uint8

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String names the role.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// ErrNotLeader refuses a proposal; Leader is the present leader if known.
type ErrNotLeader struct{ Leader string }

// Error implements error.
func (e *ErrNotLeader) Error() string {
	return "not the leader of the group; the leader is " + e.Leader
}

// ErrTransferring refuses a proposal while leadership moves.
type ErrTransferring struct{ Target string }

// Error implements error.
func (e *ErrTransferring) Error() string { return "leadership is moving to " + e.Target }

// ErrMembersChange refuses a change of the group.
type ErrMembersChange struct{ Reason string }

// Error implements error.
func (e *ErrMembersChange) Error() string { return "change of the group refused: " + e.Reason }
