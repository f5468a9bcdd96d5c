// Package simulate runs replicas of one partition, gateways and an engine in virtual time, with a
// network that drops, delays, reorders and duplicates, and with nodes that pause, crash and come
// back. After each step it checks what must always hold. A run is a function of its seed and
// faults alone.
package simulate

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/mountstile/mountstile/internal/consensus"
	"github.com/mountstile/mountstile/internal/program"
)

// Faults are the kinds of failure that a run may show.
type Faults struct {
	Drop      bool
	Delay     bool
	Duplicate bool
	Partition bool
	Pause     bool
	Crash     bool
	// Transfer moves leadership; Members changes the group.
	Transfer bool
	Members  bool
	Compact  bool
}

// AllFaults returns every kind.
func AllFaults() Faults {
	return Faults{Drop: true, Delay: true, Duplicate: true, Partition: true, Pause: true, Crash: true, Transfer: true, Members: true, Compact: true}
}

// Options shape a run.
type Options struct {
	Seed   uint64
	Steps  int
	Nodes  int
	Faults Faults
	// Sabotage breaks the product on purpose; tests use it to see that the checks can fail.
	Sabotage Sabotage
}

// Sabotage is a deliberate defect.
type Sabotage struct {
	// SendBeforeCommit lets gateways send before the dispatch is committed.
	SendBeforeCommit bool
	// ForgetVotes makes restarted replicas forget their hard state.
	ForgetVotes bool
}

// Violation is a broken promise.
type Violation struct {
	Seed uint64
	Step int
	What string
}

// Error implements error.
func (v *Violation) Error() string {
	return fmt.Sprintf("seed %d, step %d: %s", v.Seed, v.Step, v.What)
}

// Report counts what a run did.
type Report struct {
	Steps       int
	Commits     uint64
	Elections   int
	Calls       int
	Completed   int
	Unknown     int
	NotRun      int
	Dropped     int
	Crashes     int
	Pauses      int
	Partitions  int
	Transfers   int
	MemberSteps int
}

const (
	dropChance      = 0.05
	duplicateChance = 0.03
	maxDelay        = 8
	faultEvery      = 40
	longestFault    = 120
	electionTicks   = 10
	heartbeatTicks  = 2
	compactAfter    = 40
	clients         = 4
	programs        = 3
	tokenBudget     = 4000
)

// World is a simulated partition.
type World struct {
	options Options
	random  *rand.Rand
	step    int
	report  Report

	replicas []*replicaNode
	network  []*envelope
	order    int
	blocked  map[[2]string]int

	clients []*client
	engine  *ledger
	leaders map[uint64]string
	applied map[uint64]string
	failure string
}

type envelope struct {
	message consensus.Message
	due     int
	order   int
}

// replicaNode is one node with its storage.
type replicaNode struct {
	id      string
	core    *consensus.Core
	machine *program.Machine
	// stored is what survives a crash.
	state    consensus.HardState
	snapshot consensus.Snapshot
	entries  []consensus.Entry
	// pausedUntil and downUntil are steps.
	pausedUntil int
	downUntil   int
	waiters     map[uint64]waiter
}

type waiter struct {
	term   uint64
	client *client
	ticket int
}

// Run plays one seed to its end or its first violation.
func Run(options Options) (Report, error) {
	world := newWorld(options)
	for world.step = 1; world.step <= options.Steps && world.failure == ""; world.step++ {
		world.advance()
	}
	if world.failure == "" {
		world.settle()
	}
	world.report.Steps = world.step
	if world.failure != "" {
		return world.report, &Violation{Seed: options.Seed, Step: world.step, What: world.failure}
	}
	return world.report, nil
}

func newWorld(options Options) *World {
	world := &World{
		options: options,
		random:  rand.New(rand.NewPCG(options.Seed, 0x6d6f756e74)),
		blocked: make(map[[2]string]int),
		engine:  newLedger(),
		leaders: make(map[uint64]string),
		applied: make(map[uint64]string),
	}
	members := consensus.Members{}
	for number := range options.Nodes {
		members.Voters = append(members.Voters, fmt.Sprintf("r%d", number+1))
	}
	for _, id := range members.Voters {
		node := &replicaNode{
			id:       id,
			state:    consensus.HardState{Term: 1, Commit: 1},
			snapshot: consensus.Snapshot{Index: 1, Term: 1, Members: members.Clone()},
		}
		world.replicas = append(world.replicas, node)
		world.boot(node)
	}
	for number := range clients {
		world.clients = append(world.clients, newClient(world, number))
	}
	return world
}

// boot starts a replica from what its storage holds.
func (w *World) boot(node *replicaNode) {
	state := node.state
	if w.options.Sabotage.ForgetVotes && w.step > 0 {
		state = consensus.HardState{Term: node.snapshot.Term}
	}
	node.machine = program.NewMachine()
	if err := node.machine.Restore(node.snapshot.Data); err != nil {
		w.fail("restoring %s: %s", node.id, err)
	}
	node.waiters = make(map[uint64]waiter)
	node.core = consensus.New(consensus.Config{
		ID:             node.id,
		ElectionTicks:  electionTicks,
		HeartbeatTicks: heartbeatTicks,
		Random:         rand.New(rand.NewPCG(w.random.Uint64(), 1)),
	}, state, node.snapshot, slices.Clone(node.entries))
}

func (w *World) fail(format string, args ...any) {
	if w.failure == "" {
		w.failure = fmt.Sprintf(format, args...)
	}
}

func (w *World) running(node *replicaNode) bool {
	return w.step >= node.pausedUntil && w.step >= node.downUntil
}

// advance plays one step: faults, deliveries, clocks, clients, checks.
func (w *World) advance() {
	if w.step%faultEvery == 0 {
		w.injectFault()
	}
	w.deliver()
	for _, node := range w.replicas {
		if w.step == node.downUntil {
			w.boot(node)
		}
		if w.running(node) {
			node.core.Tick()
			w.process(node)
		}
	}
	for _, item := range w.clients {
		item.advance()
	}
	w.check()
}

// deliver hands over the messages that are due, in an order that delays have shuffled.
func (w *World) deliver() {
	var due []*envelope
	w.network = slices.DeleteFunc(w.network, func(item *envelope) bool {
		if item.due > w.step {
			return false
		}
		due = append(due, item)
		return true
	})
	slices.SortFunc(due, func(a, b *envelope) int {
		if order := cmp.Compare(a.due, b.due); order != 0 {
			return order
		}
		return cmp.Compare(a.order, b.order)
	})
	for _, item := range due {
		node := w.find(item.message.To)
		switch {
		case node == nil || w.step < node.downUntil:
			w.report.Dropped++
		case w.step < node.pausedUntil:
			// A paused process gets its messages when it wakes.
			item.due = node.pausedUntil
			w.network = append(w.network, item)
		default:
			node.core.Step(item.message)
			w.process(node)
		}
	}
}

func (w *World) find(id string) *replicaNode {
	for _, node := range w.replicas {
		if node.id == id {
			return node
		}
	}
	return nil
}

// process does what the core asks for, in the order that Ready prescribes.
func (w *World) process(node *replicaNode) {
	for {
		ready := node.core.Ready()
		if ready.Empty() {
			return
		}
		w.persist(node, ready)
		if ready.Snapshot != nil {
			if err := node.machine.Restore(ready.Snapshot.Data); err != nil {
				w.fail("restoring a snapshot on %s: %s", node.id, err)
			}
		}
		for _, entry := range ready.Committed {
			w.apply(node, entry)
		}
		for _, message := range ready.Messages {
			w.send(node, message)
		}
		w.compact(node)
	}
}

func (w *World) persist(node *replicaNode, ready consensus.Ready) {
	if ready.StateChanged {
		node.state = ready.State
	}
	if ready.Snapshot != nil {
		node.snapshot, node.entries = *ready.Snapshot, nil
	}
	if len(ready.Entries) > 0 {
		first := ready.Entries[0].Index
		keep, _ := slices.BinarySearchFunc(node.entries, first, func(entry consensus.Entry, index uint64) int { return cmp.Compare(entry.Index, index) })
		node.entries = append(node.entries[:keep], ready.Entries...)
	}
}

// apply executes an entry; all replicas must see the same one at each index.
func (w *World) apply(node *replicaNode, entry consensus.Entry) {
	fingerprint := fmt.Sprintf("%d/%d/%s", entry.Term, entry.Kind, entry.Data)
	if known, exists := w.applied[entry.Index]; exists && known != fingerprint {
		w.fail("replicas applied different entries at index %d", entry.Index)
	}
	w.applied[entry.Index] = fingerprint
	w.report.Commits = max(w.report.Commits, entry.Index)
	var result program.Result
	if entry.Kind == consensus.EntryCommand {
		result, _ = node.machine.Apply(entry.Index, entry.Data).(program.Result)
	}
	waiting, exists := node.waiters[entry.Index]
	if !exists {
		return
	}
	delete(node.waiters, entry.Index)
	if waiting.term == entry.Term {
		waiting.client.answered(waiting.ticket, result)
	}
}

func (w *World) send(node *replicaNode, message consensus.Message) {
	if message.Kind == consensus.InstallSnapshot {
		snapshot := node.core.SnapshotMetadata()
		data, err := node.machine.Snapshot()
		if err != nil {
			w.fail("making a snapshot: %s", err)
		}
		snapshot.Data = data
		message.Snapshot = &snapshot
	}
	if w.blocked[[2]string{message.From, message.To}] > w.step || w.options.Faults.Drop && w.random.Float64() < dropChance {
		w.report.Dropped++
		return
	}
	w.post(message)
	if w.options.Faults.Duplicate && w.random.Float64() < duplicateChance {
		w.post(message)
	}
}

func (w *World) post(message consensus.Message) {
	delay := 1
	if w.options.Faults.Delay {
		delay += w.random.IntN(maxDelay)
	}
	w.order++
	w.network = append(w.network, &envelope{message: message, due: w.step + delay, order: w.order})
}

// compact replaces a replica's old entries by a snapshot.
func (w *World) compact(node *replicaNode) {
	if !w.options.Faults.Compact || node.core.Applied() < node.core.FirstIndex()+compactAfter {
		return
	}
	snapshot := node.core.SnapshotMetadata()
	data, err := node.machine.Snapshot()
	if err != nil {
		w.fail("making a snapshot: %s", err)
		return
	}
	snapshot.Data = data
	node.snapshot = snapshot
	keep := slices.IndexFunc(node.entries, func(entry consensus.Entry) bool { return entry.Index > snapshot.Index })
	if keep < 0 {
		keep = len(node.entries)
	}
	node.entries = slices.Clone(node.entries[keep:])
	node.core.Compact(snapshot.Index)
}

// leader returns the running replica that leads with the highest term.
func (w *World) leader() *replicaNode {
	var best *replicaNode
	for _, node := range w.replicas {
		if w.running(node) && node.core.Role() == consensus.Leader && (best == nil || node.core.Term() > best.core.Term()) {
			best = node
		}
	}
	return best
}

// Add returns the sum of two reports.
func (r Report) Add(other Report) Report {
	return Report{
		Steps:       r.Steps + other.Steps,
		Commits:     r.Commits + other.Commits,
		Elections:   r.Elections + other.Elections,
		Calls:       r.Calls + other.Calls,
		Completed:   r.Completed + other.Completed,
		Unknown:     r.Unknown + other.Unknown,
		NotRun:      r.NotRun + other.NotRun,
		Dropped:     r.Dropped + other.Dropped,
		Crashes:     r.Crashes + other.Crashes,
		Pauses:      r.Pauses + other.Pauses,
		Partitions:  r.Partitions + other.Partitions,
		Transfers:   r.Transfers + other.Transfers,
		MemberSteps: r.MemberSteps + other.MemberSteps,
	}
}
