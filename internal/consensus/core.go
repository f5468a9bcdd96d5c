package consensus

import (
	"math/rand/v2"
	"slices"
)

// Config configures a Core.
type Config struct {
	// ID is this replica.
	ID string
	// ElectionTicks is the shortest time without a leader before a campaign; the actual one is
	// drawn between it and twice it.
	ElectionTicks int
	// HeartbeatTicks is the time between heartbeats.
	HeartbeatTicks int
	Random         *rand.Rand
}

const (
	// maxAppendBytes bounds the entries of one message; one larger entry still goes alone.
	maxAppendBytes = 1 << 20
	// maxInflight bounds the unacknowledged messages to one follower.
	maxInflight = 64
)

// Core is one replica's part of the protocol. It is not safe for concurrent use.
type Core struct {
	config Config

	term   uint64
	vote   string
	role   Role
	leader string
	log    *log

	// members is the group as of the last entry of the log, committed or not.
	members  Members
	progress map[string]*progress
	votes    map[string]bool
	// silent are the voters that a leader did not hear in the latest full check of its quorum.
	silent []string

	electionElapsed  int
	heartbeatElapsed int
	electionTimeout  int
	transferTarget   string
	transferElapsed  int

	messages   []Message
	savedState HardState
	received   *Snapshot
}

// New returns a Core with what storage holds. A replica that is to be added to an existing group
// starts with zero values and learns the rest from the leader.
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

// ID returns this replica's identity.
func (c *Core) ID() string { return c.config.ID }

// Term returns the current term.
func (c *Core) Term() uint64 { return c.term }

// Role returns the current role.
func (c *Core) Role() Role { return c.role }

// LeaderID returns the known leader of the current term, or "".
func (c *Core) LeaderID() string { return c.leader }

// Members returns the group as of the last entry.
func (c *Core) Members() Members { return c.members }

// Committed returns the highest committed index.
func (c *Core) Committed() uint64 { return c.log.committed }

// Applied returns the highest index handed out in Ready.Committed.
func (c *Core) Applied() uint64 { return c.log.applied }

// FirstIndex returns the lowest index that the log still holds.
func (c *Core) FirstIndex() uint64 { return c.log.snapshotIndex + 1 }

// Transferring reports whether leadership is moving away.
func (c *Core) Transferring() bool { return c.transferTarget != "" }

// SnapshotMetadata describes the applied state, for the host to fill with data.
func (c *Core) SnapshotMetadata() Snapshot {
	term, _ := c.log.term(c.log.applied)
	return Snapshot{Index: c.log.applied, Term: term, Members: c.log.members(c.log.applied).Clone()}
}

// Compact drops log entries up to index, which must be applied and covered by a stored snapshot.
func (c *Core) Compact(index uint64) { c.log.compact(min(index, c.log.applied)) }

// Tick advances the clock by one tick.
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
		if !c.heardQuorum() {
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

// heardQuorum reports whether a majority answered since the last check.
func (c *Core) heardQuorum() bool {
	c.silent = nil
	for _, id := range c.members.Voters {
		if peer := c.progress[id]; id != c.config.ID && (peer == nil || !peer.active) {
			c.silent = append(c.silent, id)
		}
	}
	for _, peer := range c.progress {
		peer.active = false
	}
	return len(c.members.Voters)-len(c.silent) >= c.members.quorum()
}

// UnresponsiveVoters returns the voters that this leader did not hear between its last two checks, which are
// ElectionTicks apart. A new leader has heard none yet.
func (c *Core) UnresponsiveVoters() []string { return c.silent }

// Propose appends a command; it is committed when it comes out of Ready with the same term.
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

// ProposeMembers appends a change of the group: one voter added, removed or replaced by its
// promotion, or any change of learners. Errors: *ErrNotLeader, *ErrMembersChange.
func (c *Core) ProposeMembers(members Members) (index, term uint64, err error) {
	if c.role != Leader {
		return 0, 0, &ErrNotLeader{Leader: c.leader}
	}
	if c.log.membersPending() {
		return 0, 0, &ErrMembersChange{Reason: "an earlier change is not committed yet"}
	}
	if committedTerm, _ := c.log.term(c.log.committed); committedTerm != c.term {
		return 0, 0, &ErrMembersChange{Reason: "the leader has committed nothing in its term yet"}
	}
	if voterDifference(c.members, members) > 1 {
		return 0, 0, &ErrMembersChange{Reason: "more than one voter would change at once"}
	}
	if len(members.Voters) == 0 {
		return 0, 0, &ErrMembersChange{Reason: "no voter would be left"}
	}
	next := members.Clone()
	index = c.appendEntry(Entry{Kind: EntryMembers, Members: &next})
	return index, c.term, nil
}

// voterDifference counts the voters that are in one of the groups only.
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

// TransferLeadership moves leadership to a voter once it has the whole log.
func (c *Core) TransferLeadership(target string) error {
	if c.role != Leader {
		return &ErrNotLeader{Leader: c.leader}
	}
	if !c.members.IsVoter(target) || target == c.config.ID {
		return &ErrMembersChange{Reason: target + " is not another voter"}
	}
	c.transferTarget, c.transferElapsed = target, 0
	c.finishTransfer(target)
	return nil
}

func (c *Core) finishTransfer(target string) {
	peer := c.progress[target]
	if peer != nil && peer.match == c.log.lastIndex() {
		c.send(Message{Kind: TimeoutNow, To: target})
		return
	}
	c.sendAppend(target)
}

// appendEntry puts an entry of this term at the end of the log.
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
	c.broadcastAppend()
	return entry.Index
}

// refreshMembers follows the last members entry; it takes effect as soon as it is in the log.
func (c *Core) refreshMembers() {
	c.members = c.log.members(c.log.lastIndex())
	if c.role != Leader {
		return
	}
	for _, id := range c.members.All() {
		if c.progress[id] == nil {
			// Probing sends a message at once: it is what makes a new replica start.
			c.progress[id] = &progress{next: c.log.lastIndex() + 1, probing: id != c.config.ID, active: true}
		}
	}
	for id := range c.progress {
		if !c.members.Contains(id) && id != c.config.ID {
			delete(c.progress, id)
		}
	}
}

// Ready takes what the host must do. Everything in it counts as done with the next call.
func (c *Core) Ready() Ready {
	ready := Ready{Messages: c.messages, Snapshot: c.received}
	c.messages, c.received = nil, nil
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
	c.silent = slices.DeleteFunc(slices.Clone(c.members.Voters), func(id string) bool { return id == c.config.ID })
	c.resetTimers()
	c.refreshMembers()
	c.appendEntry(Entry{Kind: EntryNoOp})
}
