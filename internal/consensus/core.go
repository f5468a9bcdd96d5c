package consensus

import (
	"math/rand/v2"
	"slices"
)

// Config holds the parameters of a Core.
type Config struct {
	// ID identifies this replica in its group.
	ID string
	// ElectionTicks is the minimum election timeout. The timeout is chosen at random between it and
	// twice its value.
	ElectionTicks int
	// HeartbeatTicks is the heartbeat interval.
	HeartbeatTicks int
	Random         *rand.Rand
}

const (
	// maxAppendBytes limits the entries of one message; a larger entry is sent alone.
	maxAppendBytes = 1 << 20
	// maxInflightAppends limits the unacknowledged Append messages per follower.
	maxInflightAppends = 64
)

// Core is the Raft state machine of one replica. It is not safe for concurrent use.
type Core struct {
	config Config

	term   uint64
	vote   string
	role   Role
	leader string
	log    *log

	// members are those after the latest membership change in the log, committed or not.
	members  Members
	progress map[string]*progress
	votes    map[string]bool
	// unresponsive lists the voters that did not respond to this leader before its latest quorum check.
	unresponsive []string

	electionElapsed  int
	heartbeatElapsed int
	electionTimeout  int
	transferTarget   string
	transferElapsed  int

	messages []Message
	// appendPending is set while appended entries have not been sent to the other replicas.
	appendPending    bool
	savedState       HardState
	receivedSnapshot *Snapshot
}

// New returns a Core with the given persisted state. A replica that is being added to an existing
// group starts with zero values and receives its state from the leader.
func New(config Config, state HardState, snapshot Snapshot, entries []Entry) *Core {
	core := &Core{
		config:     config,
		term:       max(state.Term, snapshot.Term),
		vote:       state.Vote,
		log:        newLog(snapshot, entries),
		savedState: state,
	}
	core.log.committed = max(snapshot.Index, min(state.Commit, core.log.lastIndex()))
	core.refreshMembers()
	core.becomeFollower(core.term, "")
	return core
}

// ID returns the ID of this replica.
func (c *Core) ID() string { return c.config.ID }

// Term returns the current term.
func (c *Core) Term() uint64 { return c.term }

// Role returns the current role.
func (c *Core) Role() Role { return c.role }

// LeaderID returns the leader of the current term, or "" if it is unknown.
func (c *Core) LeaderID() string { return c.leader }

// Members returns the members after the latest membership change in the log, committed or not.
func (c *Core) Members() Members { return c.members }

// Committed returns the highest committed index.
func (c *Core) Committed() uint64 { return c.log.committed }

// Applied returns the highest index returned in Ready.Committed.
func (c *Core) Applied() uint64 { return c.log.applied }

// FirstIndex returns the index after the last compacted entry.
func (c *Core) FirstIndex() uint64 { return c.log.snapshotIndex + 1 }

// Transferring reports whether a leadership transfer to another voter is in progress.
func (c *Core) Transferring() bool { return c.transferTarget != "" }

// SnapshotMetadata returns a snapshot of the applied state without Data, which the host adds.
func (c *Core) SnapshotMetadata() Snapshot {
	term, _ := c.log.term(c.log.applied)
	return Snapshot{Index: c.log.applied, Term: term, Members: c.log.members(c.log.applied).Clone()}
}

// Compact discards the log entries up to index. They must be applied and covered by a stored snapshot.
func (c *Core) Compact(index uint64) { c.log.compact(min(index, c.log.applied)) }

// Tick advances the election and heartbeat timers by one tick.
func (c *Core) Tick() {
	if c.role == Leader {
		c.tickLeader()
		return
	}
	c.electionElapsed++
	if c.electionElapsed >= c.electionTimeout {
		c.Campaign()
	}
}

func (c *Core) tickLeader() {
	c.electionElapsed++
	c.heartbeatElapsed++
	if c.electionElapsed >= c.config.ElectionTicks {
		c.electionElapsed = 0
		if !c.checkQuorum() {
			c.becomeFollower(c.term, "")
			return
		}
	}
	if c.transferTarget != "" {
		c.transferElapsed++
		if c.transferElapsed >= c.config.ElectionTicks {
			c.transferTarget = ""
		}
	}
	if c.heartbeatElapsed >= c.config.HeartbeatTicks {
		c.heartbeatElapsed = 0
		c.broadcastHeartbeat()
	}
}

// checkQuorum reports whether a majority responded since the previous check, and starts a new period.
func (c *Core) checkQuorum() bool {
	c.unresponsive = nil
	for _, id := range c.members.Voters {
		if peer := c.progress[id]; id != c.config.ID && (peer == nil || !peer.active) {
			c.unresponsive = append(c.unresponsive, id)
		}
	}
	for _, peer := range c.progress {
		peer.active = false
	}
	return len(c.members.Voters)-len(c.unresponsive) >= c.members.quorum()
}

// UnresponsiveVoters returns the voters that did not respond to this leader between its last two
// quorum checks, which are ElectionTicks apart. A new leader returns all other voters.
func (c *Core) UnresponsiveVoters() []string { return c.unresponsive }

// Propose appends a command. It is committed when Ready returns an entry with this index and term.
// Errors: *ErrNotLeader, *ErrTransferring.
func (c *Core) Propose(data []byte) (index, term uint64, err error) {
	if c.role != Leader {
		return 0, 0, &ErrNotLeader{Leader: c.leader}
	}
	if c.transferTarget != "" {
		return 0, 0, &ErrTransferring{Target: c.transferTarget}
	}
	index = c.appendEntry(Entry{Kind: EntryCommand, Data: data})
	return index, c.term, nil
}

// ProposeMembers appends a membership change. It may add, promote or remove one voter, and change any
// number of learners. Errors: *ErrNotLeader, *ErrMembersChange.
func (c *Core) ProposeMembers(members Members) (index, term uint64, err error) {
	if c.role != Leader {
		return 0, 0, &ErrNotLeader{Leader: c.leader}
	}
	if c.log.membersPending() {
		return 0, 0, &ErrMembersChange{Reason: "a previous change is not committed yet"}
	}
	if committedTerm, _ := c.log.term(c.log.committed); committedTerm != c.term {
		return 0, 0, &ErrMembersChange{Reason: "the leader has not committed an entry of its term yet"}
	}
	if voterDifference(c.members, members) > 1 {
		return 0, 0, &ErrMembersChange{Reason: "more than one voter changes"}
	}
	if len(members.Voters) == 0 {
		return 0, 0, &ErrMembersChange{Reason: "the change leaves no voters"}
	}
	next := members.Clone()
	index = c.appendEntry(Entry{Kind: EntryMembers, Members: &next})
	return index, c.term, nil
}

// voterDifference returns the number of voters that are in only one of the two sets of members.
func voterDifference(before, after Members) int {
	difference := 0
	for _, id := range before.Voters {
		if !after.IsVoter(id) {
			difference++
		}
	}
	for _, id := range after.Voters {
		if !before.IsVoter(id) {
			difference++
		}
	}
	return difference
}

// TransferLeadership starts a transfer of leadership to a voter. It completes when the log of the
// voter is up to date, and is abandoned after ElectionTicks.
// Errors: *ErrNotLeader, *ErrMembersChange.
func (c *Core) TransferLeadership(target string) error {
	if c.role != Leader {
		return &ErrNotLeader{Leader: c.leader}
	}
	if !c.members.IsVoter(target) || target == c.config.ID {
		return &ErrMembersChange{Reason: target + " is not another voter"}
	}
	c.transferTarget, c.transferElapsed = target, 0
	c.continueTransfer(target)
	return nil
}

// continueTransfer makes the target start an election if its log is up to date; otherwise it sends the
// missing entries.
func (c *Core) continueTransfer(target string) {
	peer := c.progress[target]
	if peer != nil && peer.match == c.log.lastIndex() {
		c.send(Message{Kind: TimeoutNow, To: target})
		return
	}
	c.sendAppend(target)
}

// appendEntry appends an entry of the current term to the log. Ready replicates it, together with the other entries that were
// appended since the previous Ready.
func (c *Core) appendEntry(entry Entry) uint64 {
	entry.Index = c.log.lastIndex() + 1
	entry.Term = c.term
	c.log.append(entry)
	if entry.Kind == EntryMembers {
		c.refreshMembers()
	}
	if own := c.progress[c.config.ID]; own != nil {
		own.match, own.next = entry.Index, entry.Index+1
	}
	c.advanceCommit()
	c.appendPending = true
	return entry.Index
}

// refreshMembers adopts the latest membership change in the log. A change takes effect when it is appended, not when
// it is committed.
func (c *Core) refreshMembers() {
	c.members = c.log.members(c.log.lastIndex())
	if c.role != Leader {
		return
	}
	for _, id := range c.members.All() {
		if c.progress[id] == nil {
			// Probing sends a message at once, which makes the host of a new replica start it.
			c.progress[id] = &progress{next: c.log.lastIndex() + 1, probing: id != c.config.ID, active: true}
		}
	}
	for id := range c.progress {
		if !c.members.Contains(id) && id != c.config.ID {
			delete(c.progress, id)
		}
	}
}

// Ready returns and clears the pending work. The host must finish it before it calls Ready again.
func (c *Core) Ready() Ready {
	if c.appendPending && c.role == Leader {
		c.broadcastAppend()
	}
	c.appendPending = false
	ready := Ready{Messages: c.messages, Snapshot: c.receivedSnapshot}
	c.messages, c.receivedSnapshot = nil, nil
	state := HardState{Term: c.term, Vote: c.vote, Commit: c.log.committed}
	if state != c.savedState {
		ready.State, ready.StateChanged = state, true
		c.savedState = state
	}
	first := max(c.log.unstable, c.log.snapshotIndex+1)
	ready.Entries = slices.Clone(c.log.slice(first, c.log.lastIndex()))
	c.log.unstable = c.log.lastIndex() + 1
	ready.Committed = slices.Clone(c.log.slice(c.log.applied+1, c.log.committed))
	c.log.applied = c.log.committed
	return ready
}

func (c *Core) send(message Message) {
	message.From = c.config.ID
	if message.Term == 0 {
		message.Term = c.term
	}
	c.messages = append(c.messages, message)
}

func (c *Core) resetTimers() {
	c.electionElapsed, c.heartbeatElapsed = 0, 0
	c.electionTimeout = c.config.ElectionTicks + c.config.Random.IntN(c.config.ElectionTicks)
}

func (c *Core) becomeFollower(term uint64, leader string) {
	if term != c.term {
		c.term, c.vote = term, ""
	}
	c.role, c.leader = Follower, leader
	c.progress, c.votes, c.transferTarget = nil, nil, ""
	c.resetTimers()
}

func (c *Core) becomeLeader() {
	c.role, c.leader = Leader, c.config.ID
	c.progress = make(map[string]*progress)
	c.transferTarget = ""
	c.unresponsive = slices.DeleteFunc(slices.Clone(c.members.Voters), func(id string) bool { return id == c.config.ID })
	c.resetTimers()
	c.refreshMembers()
	c.appendEntry(Entry{Kind: EntryNoOp})
}
