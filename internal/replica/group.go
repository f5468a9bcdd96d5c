// Package replica hosts this node's replicas of consensus groups: it gives each core a clock,
// storage, the network and a state machine.
package replica

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/consensus"
	"github.com/mountstile/mountstile/internal/events"
)

// StateMachine is what a group replicates. Apply must depend on nothing but its arguments and the
// state. Calls come one at a time.
type StateMachine interface {
	// Apply executes a command; the result goes to the proposer.
	Apply(index uint64, command []byte) any
	Snapshot() ([]byte, error)
	Restore(data []byte) error
}

const (
	electionTicks  = 5
	heartbeatTicks = 2
	mailboxSize    = 1024
	// batchEvents bounds how many events share one write to storage.
	batchEvents = 128
	// compactAfter is how many applied entries are kept before a snapshot replaces them.
	compactAfter = 4096
	// keepEntries stay in the log after a snapshot, for followers that lag a little.
	keepEntries = 512
)

type event struct {
	message  *consensus.Message
	proposal *proposal
	action   func(*consensus.Core)
	// refused hears, if there is one, why an action is not run.
	refused chan error
	retire  *retirement
	tick    bool
}

// retirement asks a replica to end if the group has gone on without it.
type retirement struct {
	changedAt uint64
	// ended gets whether it has.
	ended chan bool
}

type proposal struct {
	command []byte
	result  chan proposalResult
}

type proposalResult struct {
	value any
	err   error
}

type waiter struct {
	term   uint64
	result chan proposalResult
}

// Status is a picture of one group for operators and routing.
type Status struct {
	Group     uint32            `json:"group"`
	Term      uint64            `json:"term"`
	Role      string            `json:"role"`
	Leader    string            `json:"leader,omitempty"`
	Members   consensus.Members `json:"members"`
	Committed uint64            `json:"committed"`
	Applied   uint64            `json:"applied"`
	// MembersIndex orders changes of the group.
	MembersIndex uint64 `json:"members_index"`
	IsLeader     bool   `json:"is_leader"`
	// UnresponsiveVoters are the voters that a leader has not heard for half a second.
	UnresponsiveVoters []string `json:"silent,omitempty"`
	Failed             string   `json:"failed,omitempty"`
}

// group runs one replica on one goroutine.
type group struct {
	id      uint32
	host    *Host
	core    *consensus.Core
	machine StateMachine
	mailbox chan event
	stop    chan struct{}
	stopped chan struct{}
	once    sync.Once

	waiters      map[uint64]waiter
	membersIndex uint64
	wasLeader    bool
	failure      error
	// retired tells that the replica takes part in nothing any more, because its data is about to be removed.
	retired bool
	status  atomic.Pointer[Status]
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
		mailbox:      make(chan event, mailboxSize),
		stop:         make(chan struct{}),
		stopped:      make(chan struct{}),
		waiters:      make(map[uint64]waiter),
		membersIndex: stored.Snapshot.Index,
	}
	created.publishStatus()
	return created, nil
}

func (g *group) run() {
	defer close(g.stopped)
	defer g.failWaiters(apierr.New(apierr.PartitionUnavailable, apierr.OutcomeUnknown, "the replica stopped"))
	for {
		select {
		case <-g.stop:
			return
		case first := <-g.mailbox:
			g.handle(first)
			g.drain()
			g.process()
		}
	}
}

// drain takes what has queued up meanwhile, so that it shares one write to storage.
func (g *group) drain() {
	for range batchEvents {
		select {
		case next := <-g.mailbox:
			g.handle(next)
		default:
			return
		}
	}
}

func (g *group) handle(next event) {
	if next.retire != nil {
		g.retired = g.retired || g.outlived(next.retire.changedAt)
		next.retire.ended <- g.retired
		return
	}
	if g.retired {
		if next.proposal != nil {
			next.proposal.result <- proposalResult{err: g.notLeader()}
		}
		return
	}
	if g.failure != nil {
		g.refuse(next)
		return
	}
	switch {
	case next.tick:
		g.core.Tick()
	case next.message != nil:
		g.core.Step(*next.message)
	case next.proposal != nil:
		g.propose(*next.proposal)
	case next.action != nil:
		next.action(g.core)
	}
}

// refuse answers whoever waits for an event of a replica that has failed.
func (g *group) refuse(next event) {
	if next.proposal != nil {
		next.proposal.result <- proposalResult{err: g.failure}
	}
	if next.refused != nil {
		next.refused <- g.failure
	}
}

// outlived reports whether the group has gone on without this replica since a change that it has not committed. Whoever
// leads sends to members alone, so a replica that hears a leader is a member or about to be.
func (g *group) outlived(changedAt uint64) bool {
	heard := g.failure == nil && g.core.LeaderID() != ""
	return !heard && g.core.Committed() < changedAt
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
	refusal := apierr.New(apierr.NotLeader, apierr.NotRun, "this node does not lead partition %d", g.id)
	refusal.Leader = g.core.LeaderID()
	return refusal
}

// process does what the core asks for, in the order that Ready prescribes.
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

// persist writes to storage. A replica that can't write must not answer: it stops taking part.
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
	g.failure = apierr.New(apierr.PartitionUnavailable, apierr.OutcomeUnknown, "this replica has failed: %s", err)
	// Whoever hears of the failure finds it in the status, so that comes first.
	g.publishStatus()
	g.failWaiters(g.failure)
}

func (g *group) restore(snapshot consensus.Snapshot) {
	if err := g.machine.Restore(snapshot.Data); err != nil {
		g.fail(err)
		return
	}
	g.membersIndex = snapshot.Index
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
		g.answerWaiter(entry, value)
	}
}

func (g *group) answerWaiter(entry consensus.Entry, value any) {
	waiting, exists := g.waiters[entry.Index]
	if !exists {
		return
	}
	delete(g.waiters, entry.Index)
	if waiting.term != entry.Term {
		waiting.result <- proposalResult{err: errSuperseded()}
		return
	}
	waiting.result <- proposalResult{value: value}
}

func errSuperseded() error {
	return apierr.New(apierr.NotLeader, apierr.OutcomeUnknown, "another leader's entry took the place of the proposal")
}

func (g *group) failWaiters(err error) {
	for index, waiting := range g.waiters {
		delete(g.waiters, index)
		waiting.result <- proposalResult{err: err}
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

// publishStatus also tells about changes of leadership; a former leader's proposals are answered.
func (g *group) publishStatus() {
	leads := g.core.Role() == consensus.Leader
	status := &Status{
		Group:              g.id,
		Term:               g.core.Term(),
		Role:               g.core.Role().String(),
		Leader:             g.core.LeaderID(),
		Members:            g.core.Members().Clone(),
		Committed:          g.core.Committed(),
		Applied:            g.core.Applied(),
		MembersIndex:       g.membersIndex,
		IsLeader:           leads,
		UnresponsiveVoters: g.core.UnresponsiveVoters(),
	}
	if g.failure != nil {
		status.Failed = g.failure.Error()
	}
	previous := g.status.Swap(status)
	if g.wasLeader && !leads {
		g.failWaiters(errSuperseded())
	}
	if leads && !g.wasLeader {
		g.host.options.Logger.Emit(events.GroupLeader, events.F("partition", g.id), events.F("term", status.Term))
	}
	g.wasLeader = leads
	if previous != nil && (previous.IsLeader != leads || previous.MembersIndex != status.MembersIndex) {
		g.host.changed(g.committedStatus(*status))
	}
}

// committedStatus gives the members as of MembersIndex: a later change in the log may still be dropped by another leader, and
// the replica that it removes must not hear of it before.
func (g *group) committedStatus(status Status) Status {
	status.Members = g.core.SnapshotMetadata().Members
	return status
}

// compact replaces old entries by a snapshot.
func (g *group) compact() {
	if g.failure != nil || g.core.Applied() < g.core.FirstIndex()+compactAfter {
		return
	}
	if _, volatile := g.host.options.Storage.(MemoryStorage); volatile {
		g.core.Compact(g.core.Applied() - keepEntries)
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

func (g *group) post(ctx context.Context, next event) error {
	select {
	case g.mailbox <- next:
		return nil
	case <-g.stop:
		return apierr.New(apierr.PartitionUnavailable, apierr.NotRun, "the replica stopped")
	case <-ctx.Done():
		return apierr.New(apierr.PartitionUnavailable, apierr.NotRun, "%s", ctx.Err())
	}
}

// retire makes the replica take part in nothing any more if the group has gone on without it, and reports whether it has.
func (g *group) retire(changedAt uint64) bool {
	request := &retirement{changedAt: changedAt, ended: make(chan bool, 1)}
	if err := g.post(context.Background(), event{retire: request}); err != nil {
		return false
	}
	select {
	case ended := <-request.ended:
		return ended
	case <-g.stopped:
		return false
	}
}

// offer queues an event unless the mailbox is full; messages and ticks may be lost.
func (g *group) offer(next event) {
	select {
	case g.mailbox <- next:
	default:
	}
}

func (g *group) close() {
	g.once.Do(func() { close(g.stop) })
	<-g.stopped
}
