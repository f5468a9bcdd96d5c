// Package replica runs this node's replicas of consensus groups. It connects each consensus core to a
// clock, storage, the transport and a state machine.
package replica

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/consensus"
	"github.com/mountstile/mountstile/internal/events"
)

// StateMachine is the replicated state of a group. Apply must be deterministic: its effect may depend
// only on its arguments and the current state. Calls are not concurrent.
type StateMachine interface {
	// Apply executes a command and returns the result for the proposer.
	Apply(index uint64, command []byte) any
	Snapshot() ([]byte, error)
	Restore(data []byte) error
}

const (
	electionTicks  = 5
	heartbeatTicks = 2
	queueSize      = 1024
	// maxBatchEvents limits the number of events that share one write to storage.
	maxBatchEvents = 128
	// compactionThreshold is the number of applied entries in the log that triggers a compaction.
	compactionThreshold = 4096
	// retainedEntries is the number of applied entries that a compaction keeps with MemoryStorage, so
	// that followers that lag a little need no snapshot.
	retainedEntries = 512
)

// event is an item of a group's queue. Exactly one of message, proposal, action and retire is set.
type event struct {
	message  *consensus.Message
	proposal *proposal
	action   func(*consensus.Core)
	// actionFailed, if not nil, receives the error if the action is not run.
	actionFailed chan error
	retire       *retireRequest
}

// retireRequest makes a replica stop taking part in its group if it is obsolete.
type retireRequest struct {
	// changedAt is the log index of the membership change that removed the replica.
	changedAt uint64
	// obsolete receives whether the replica is obsolete, and therefore retired.
	obsolete chan bool
}

type proposal struct {
	command []byte
	result  chan proposalResult
}

type proposalResult struct {
	value any
	err   error
}

// waiter is the proposer of an entry that is not applied yet.
type waiter struct {
	term   uint64
	result chan proposalResult
}

// Status is a snapshot of a replica's view of its group, for operators and routing.
type Status struct {
	Group     uint32            `json:"group"`
	Term      uint64            `json:"term"`
	Role      string            `json:"role"`
	Leader    string            `json:"leader,omitempty"`
	Members   consensus.Members `json:"members"`
	Committed uint64            `json:"committed"`
	Applied   uint64            `json:"applied"`
	// MembersIndex is the log index of the latest applied membership change, or of the snapshot that
	// contains it. It orders the memberships of a group.
	MembersIndex uint64 `json:"members_index"`
	IsLeader     bool   `json:"is_leader"`
	// UnresponsiveVoters lists the voters that did not respond to the leader between its last two
	// quorum checks.
	UnresponsiveVoters []string `json:"silent,omitempty"`
	// Failed is the error that stopped the replica, or empty.
	Failed string `json:"failed,omitempty"`
}

// group runs one replica on its own goroutine.
type group struct {
	id      uint32
	host    *Host
	core    *consensus.Core
	machine StateMachine
	queue   chan event
	// ticks holds at most one tick. A group that is late must not count the time in which it handled no messages as time in which
	// the other replicas were silent.
	ticks   chan struct{}
	stop    chan struct{}
	stopped chan struct{}
	// closeOnce guards the closing of stop.
	closeOnce sync.Once

	waiters      map[uint64]waiter
	fates        fates
	membersIndex uint64
	wasLeader    bool
	failure      error
	// retired is set when the data of the replica is about to be removed. A retired replica ignores
	// messages and rejects proposals.
	retired bool
	status  atomic.Pointer[Status]

	leaderMutex sync.Mutex
	// leaderChange is closed when the status shows another leader or a failure.
	leaderChange chan struct{}
}

func newGroup(host *Host, id uint32, machine StateMachine, stored StoredGroup) (*group, error) {
	if len(stored.Snapshot.Data) > 0 {
		if err := machine.Restore(stored.Snapshot.Data); err != nil {
			return nil, err
		}
	}
	config := consensus.Config{
		ID:             host.options.ReplicaID,
		ElectionTicks:  electionTicks,
		HeartbeatTicks: heartbeatTicks,
		Random:         rand.New(rand.NewPCG(rand.Uint64(), uint64(id))),
	}
	created := &group{
		id:           id,
		host:         host,
		core:         consensus.New(config, stored.State, stored.Snapshot, stored.Entries),
		machine:      machine,
		queue:        make(chan event, queueSize),
		ticks:        make(chan struct{}, 1),
		stop:         make(chan struct{}),
		stopped:      make(chan struct{}),
		waiters:      make(map[uint64]waiter),
		fates:        make(fates),
		membersIndex: stored.Snapshot.Index,
		leaderChange: make(chan struct{}),
	}
	created.publishStatus()
	return created, nil
}

func (g *group) run() {
	defer close(g.stopped)
	defer g.fates.forget(math.MaxUint64)
	defer g.failWaiters(apierr.New(apierr.PartitionUnavailable, apierr.OutcomeUnknown, "the replica stopped before it applied the command"))
	for {
		select {
		case <-g.stop:
			return
		case first := <-g.queue:
			g.handle(first)
			g.drain()
			g.process()
		case <-g.ticks:
			// Messages that have arrived before the tick count before it.
			g.drain()
			g.tick()
			g.process()
		}
	}
}

// drain handles the events that are already queued, so that they share one write to storage.
func (g *group) drain() {
	for range maxBatchEvents {
		select {
		case next := <-g.queue:
			g.handle(next)
		default:
			return
		}
	}
}

func (g *group) handle(next event) {
	if next.retire != nil {
		g.retired = g.retired || g.isObsolete(next.retire.changedAt)
		next.retire.obsolete <- g.retired
		return
	}
	if g.retired {
		if next.proposal != nil {
			next.proposal.result <- proposalResult{err: g.notLeader()}
		}
		return
	}
	if g.failure != nil {
		g.rejectFailed(next)
		return
	}
	switch {
	case next.message != nil:
		g.core.Step(*next.message)
	case next.proposal != nil:
		g.propose(*next.proposal)
	case next.action != nil:
		next.action(g.core)
	}
}

// tick advances the timers of the core.
func (g *group) tick() {
	if !g.retired && g.failure == nil {
		g.core.Tick()
	}
}

// addTick queues a tick unless one is queued already.
func (g *group) addTick() {
	select {
	case g.ticks <- struct{}{}:
	default:
	}
}

// rejectFailed returns the failure of the replica to the caller that waits for the event.
func (g *group) rejectFailed(next event) {
	if next.proposal != nil {
		next.proposal.result <- proposalResult{err: g.failure}
	}
	if next.actionFailed != nil {
		next.actionFailed <- g.failure
	}
}

// isObsolete reports whether this replica has no leader and has not committed the entry at changedAt.
// Leaders send to members only, so a replica with a leader is a member or is being added.
func (g *group) isObsolete(changedAt uint64) bool {
	hasLeader := g.failure == nil && g.core.LeaderID() != ""
	return !hasLeader && g.core.Committed() < changedAt
}

func (g *group) propose(request proposal) {
	index, term, err := g.core.Propose(request.command)
	if err != nil {
		request.result <- proposalResult{err: g.notLeader()}
		return
	}
	g.waiters[index] = waiter{term: term, result: request.result}
}

func (g *group) notLeader() error {
	failure := apierr.New(apierr.NotLeader, apierr.NotRun, "this node does not lead partition %d", g.id)
	failure.Leader = g.core.LeaderID()
	return failure
}

// process executes the pending work of the core in the order that Ready requires.
func (g *group) process() {
	for g.failure == nil {
		ready := g.core.Ready()
		if ready.Empty() {
			break
		}
		if !g.persist(ready) {
			return
		}
		if ready.Snapshot != nil {
			g.restore(*ready.Snapshot)
		}
		g.apply(ready.Committed)
		g.send(ready.Messages)
	}
	g.publishStatus()
	g.compact()
}

// persist writes to storage. A replica that cannot write must not respond to others, so it fails.
func (g *group) persist(ready consensus.Ready) bool {
	if !ready.StateChanged && ready.Snapshot == nil && len(ready.Entries) == 0 {
		return true
	}
	var state *consensus.HardState
	if ready.StateChanged {
		state = &ready.State
	}
	err := g.host.options.Storage.Save(g.id, state, ready.Snapshot, ready.Entries)
	if err != nil {
		g.fail(err)
		return false
	}
	return true
}

func (g *group) fail(err error) {
	g.host.options.Logger.Emit(events.StorageFailed, events.F("partition", g.id), events.F("error", err))
	g.failure = apierr.New(apierr.PartitionUnavailable, apierr.OutcomeUnknown, "replica failed: %s", err)
	// Publish the status first: a caller that gets the error must find the failure in it.
	g.publishStatus()
	g.failWaiters(g.failure)
}

func (g *group) restore(snapshot consensus.Snapshot) {
	if err := g.machine.Restore(snapshot.Data); err != nil {
		g.fail(err)
		return
	}
	g.membersIndex = snapshot.Index
	g.fates.forget(snapshot.Index)
}

func (g *group) apply(entries []consensus.Entry) {
	for _, entry := range entries {
		var value any
		switch entry.Kind {
		case consensus.EntryCommand:
			value = g.machine.Apply(entry.Index, entry.Data)
		case consensus.EntryMembers:
			g.membersIndex = entry.Index
		}
		g.resolveWaiter(entry, value)
		g.fates.resolve(entry)
	}
}

// resolveWaiter returns the result of an applied entry to its proposer. If the entry at the index of the
// proposal is of another term, the proposal was superseded.
func (g *group) resolveWaiter(entry consensus.Entry, value any) {
	pending, exists := g.waiters[entry.Index]
	if !exists {
		return
	}
	delete(g.waiters, entry.Index)
	if pending.term != entry.Term {
		pending.result <- proposalResult{err: errSuperseded()}
		return
	}
	pending.result <- proposalResult{value: value}
}

func errSuperseded() error {
	return apierr.New(apierr.NotLeader, apierr.NotRun, "another command was committed in place of the proposal")
}

// loseLeadership fails the pending proposals. Their fate is known once the next leader has committed an entry.
func (g *group) loseLeadership() {
	for index, pending := range g.waiters {
		delete(g.waiters, index)
		pending.result <- proposalResult{err: newErrLeadershipLost(g.fates.add(index, pending.term))}
	}
}

func (g *group) failWaiters(err error) {
	for index, pending := range g.waiters {
		delete(g.waiters, index)
		pending.result <- proposalResult{err: err}
	}
}

func (g *group) send(messages []consensus.Message) {
	for _, message := range messages {
		if message.Kind == consensus.InstallSnapshot {
			snapshot := g.core.SnapshotMetadata()
			data, err := g.machine.Snapshot()
			if err != nil {
				g.fail(err)
				return
			}
			snapshot.Data = data
			message.Snapshot = &snapshot
		}
		g.host.send(g.id, message)
	}
}

// publishStatus updates the status, reports changes of leadership and members, and fails the pending
// proposals when leadership is lost.
func (g *group) publishStatus() {
	isLeader := g.core.Role() == consensus.Leader
	status := &Status{
		Group:              g.id,
		Term:               g.core.Term(),
		Role:               g.core.Role().String(),
		Leader:             g.core.LeaderID(),
		Members:            g.core.Members().Clone(),
		Committed:          g.core.Committed(),
		Applied:            g.core.Applied(),
		MembersIndex:       g.membersIndex,
		IsLeader:           isLeader,
		UnresponsiveVoters: g.core.UnresponsiveVoters(),
	}
	if g.failure != nil {
		status.Failed = g.failure.Error()
	}
	previous := g.status.Swap(status)
	if previous != nil && (previous.Leader != status.Leader || previous.Failed != status.Failed) {
		g.announceLeader()
	}
	if g.wasLeader && !isLeader {
		g.loseLeadership()
	}
	if isLeader && !g.wasLeader {
		g.host.options.Logger.Emit(events.GroupLeader, events.F("partition", g.id), events.F("term", status.Term))
	}
	g.wasLeader = isLeader
	if previous != nil && (previous.IsLeader != isLeader || previous.MembersIndex != status.MembersIndex) {
		g.host.reportStatus(g.committedStatus(*status))
	}
}

// leaderChanged returns a channel that is closed when the status next shows another leader or a failure.
func (g *group) leaderChanged() <-chan struct{} {
	g.leaderMutex.Lock()
	defer g.leaderMutex.Unlock()
	return g.leaderChange
}

func (g *group) announceLeader() {
	g.leaderMutex.Lock()
	defer g.leaderMutex.Unlock()
	close(g.leaderChange)
	g.leaderChange = make(chan struct{})
}

// committedStatus returns status with the committed members. Another leader may still discard an
// uncommitted change, so the replica that it removes must not be removed yet.
func (g *group) committedStatus(status Status) Status {
	status.Members = g.core.SnapshotMetadata().Members
	return status
}

// compact discards applied entries of a long log. It saves a snapshot first unless the storage is volatile.
func (g *group) compact() {
	if g.failure != nil || g.core.Applied() < g.core.FirstIndex()+compactionThreshold {
		return
	}
	if _, volatile := g.host.options.Storage.(MemoryStorage); volatile {
		g.core.Compact(g.core.Applied() - retainedEntries)
		return
	}
	snapshot := g.core.SnapshotMetadata()
	data, err := g.machine.Snapshot()
	if err == nil {
		snapshot.Data = data
		err = g.host.options.Storage.Save(g.id, nil, &snapshot, nil)
	}
	if err != nil {
		g.fail(err)
		return
	}
	g.core.Compact(snapshot.Index)
}

// enqueue queues an event, waiting for space if the queue is full.
func (g *group) enqueue(ctx context.Context, next event) error {
	select {
	case g.queue <- next:
		return nil
	case <-g.stop:
		return apierr.New(apierr.PartitionUnavailable, apierr.NotRun, "the replica stopped before it accepted the request")
	case <-ctx.Done():
		return apierr.New(apierr.PartitionUnavailable, apierr.NotRun, "queueing the request at the replica: %s", ctx.Err())
	}
}

// retire retires the replica if it is obsolete, and reports whether it is retired.
func (g *group) retire(changedAt uint64) bool {
	request := &retireRequest{changedAt: changedAt, obsolete: make(chan bool, 1)}
	if err := g.enqueue(context.Background(), event{retire: request}); err != nil {
		return false
	}
	select {
	case obsolete := <-request.obsolete:
		return obsolete
	case <-g.stopped:
		return false
	}
}

// tryEnqueue queues an event, or drops it if the queue is full. It is for events that may be lost.
func (g *group) tryEnqueue(next event) {
	select {
	case g.queue <- next:
	default:
	}
}

func (g *group) close() {
	g.closeOnce.Do(func() { close(g.stop) })
	<-g.stopped
}
