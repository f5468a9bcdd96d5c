// Package simulate is a deterministic simulation of the replicas of one partition, with gateways and an
// engine, in virtual time. The network drops, delays, reorders and duplicates messages; replicas pause,
// crash and restart. Invariants are checked after each step. A run depends only on its Options.
package simulate

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/mountstile/mountstile/internal/consensus"
	"github.com/mountstile/mountstile/internal/program"
)

// Faults selects the kinds of fault that a run injects.
type Faults struct {
	Drop      bool
	Delay     bool
	Duplicate bool
	Partition bool
	Pause     bool
	Crash     bool
	// Transfer transfers leadership; Members changes the group's members.
	Transfer bool
	Members  bool
	// Compact replaces old log entries by snapshots.
	Compact bool
}

// AllFaults enables every kind of fault.
func AllFaults() Faults {
	return Faults{Drop: true, Delay: true, Duplicate: true, Partition: true, Pause: true, Crash: true, Transfer: true, Members: true, Compact: true}
}

// Options determine a run.
type Options struct {
	Seed   uint64
	Steps  int
	Nodes  int
	Faults Faults
	// Defects are for tests of the invariant checks.
	Defects Defects
}

// Defects selects defects to inject into the simulated system.
type Defects struct {
	// SendBeforeCommit makes gateways send requests before the dispatch is committed.
	SendBeforeCommit bool
	// LoseHardState makes replicas restart without their hard state.
	LoseHardState bool
}

// Violation reports that an invariant did not hold.
type Violation struct {
	Seed    uint64
	Step    int
	Message string
}

// Error implements error.
func (v *Violation) Error() string {
	return fmt.Sprintf("seed %d, step %d: %s", v.Seed, v.Step, v.Message)
}

// Report holds the counters of a run. Commits is the highest applied log index, Unknown the number of calls
// without a known outcome, and MemberSteps the number of proposed changes of the group's members.
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
	dropProbability      = 0.05
	duplicateProbability = 0.03
	// Delays, intervals and durations are in steps; each step is one tick.
	maxDelay       = 8
	faultInterval  = 40
	maxFaultSteps  = 120
	electionTicks  = 10
	heartbeatTicks = 2

	compactionEntries = 40
	clients           = 4
	programs          = 3
	tokenBudget       = 4000
)

// simulation is the state of a run.
type simulation struct {
	options Options
	random  *rand.Rand
	step    int
	report  Report

	replicas []*replica
	network  []*envelope
	// order is the number of messages sent so far.
	order int
	// blocked holds the step until which messages from one replica to another are dropped.
	blocked map[[2]string]int

	clients []*client
	engine  *ledger
	// leaders holds the leader of each term; applied the fingerprint of each applied entry by index.
	leaders map[uint64]string
	applied map[uint64]string
	// failure is the first violation.
	failure string
}

type envelope struct {
	message consensus.Message
	// due is the step of delivery; order breaks ties between messages due in the same step.
	due   int
	order int
}

// replica is one replica with its storage.
type replica struct {
	id      string
	core    *consensus.Core
	machine *program.Machine
	// state, snapshot and entries survive a crash.
	state    consensus.HardState
	snapshot consensus.Snapshot
	entries  []consensus.Entry
	// pausedUntil and downUntil are steps.
	pausedUntil int
	downUntil   int
	// waiters holds the clients that wait for results, by log index.
	waiters map[uint64]waiter
}

type waiter struct {
	term     uint64
	client   *client
	proposal int
}

// Run runs a simulation to its end or to the first violation, which it returns as a *Violation.
func Run(options Options) (Report, error) {
	sim := newSimulation(options)
	for sim.step = 1; sim.step <= options.Steps && sim.failure == ""; sim.step++ {
		sim.advance()
	}
	if sim.failure == "" {
		sim.settle()
	}
	sim.report.Steps = sim.step
	if sim.failure != "" {
		return sim.report, &Violation{Seed: options.Seed, Step: sim.step, Message: sim.failure}
	}
	return sim.report, nil
}

func newSimulation(options Options) *simulation {
	sim := &simulation{
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
		node := &replica{
			id:       id,
			state:    consensus.HardState{Term: 1, Commit: 1},
			snapshot: consensus.Snapshot{Index: 1, Term: 1, Members: members.Clone()},
		}
		sim.replicas = append(sim.replicas, node)
		sim.start(node)
	}
	for number := range clients {
		sim.clients = append(sim.clients, newClient(sim, number))
	}
	return sim
}

// start starts a replica from its storage.
func (s *simulation) start(node *replica) {
	state := node.state
	if s.options.Defects.LoseHardState && s.step > 0 {
		state = consensus.HardState{Term: node.snapshot.Term}
	}
	node.machine = program.NewMachine()
	if err := node.machine.Restore(node.snapshot.Data); err != nil {
		s.fail("restoring %s: %s", node.id, err)
	}
	node.waiters = make(map[uint64]waiter)
	node.core = consensus.New(consensus.Config{
		ID:             node.id,
		ElectionTicks:  electionTicks,
		HeartbeatTicks: heartbeatTicks,
		Random:         rand.New(rand.NewPCG(s.random.Uint64(), 1)),
	}, state, node.snapshot, slices.Clone(node.entries))
}

// fail records the first violation.
func (s *simulation) fail(format string, args ...any) {
	if s.failure == "" {
		s.failure = fmt.Sprintf(format, args...)
	}
}

func (s *simulation) running(node *replica) bool {
	return s.step >= node.pausedUntil && s.step >= node.downUntil
}

// advance runs one step: faults, message delivery, ticks, clients and checks.
func (s *simulation) advance() {
	if s.step%faultInterval == 0 {
		s.injectFault()
	}
	s.deliver()
	for _, node := range s.replicas {
		if s.step == node.downUntil {
			s.start(node)
		}
		if s.running(node) {
			node.core.Tick()
			s.process(node)
		}
	}
	for _, client := range s.clients {
		client.advance()
	}
	s.check()
}

// deliver delivers the messages that are due; random delays reorder them.
func (s *simulation) deliver() {
	var due []*envelope
	s.network = slices.DeleteFunc(s.network, func(queued *envelope) bool {
		if queued.due > s.step {
			return false
		}
		due = append(due, queued)
		return true
	})
	slices.SortFunc(due, func(a, b *envelope) int {
		if order := cmp.Compare(a.due, b.due); order != 0 {
			return order
		}
		return cmp.Compare(a.order, b.order)
	})
	for _, queued := range due {
		node := s.find(queued.message.To)
		switch {
		case node == nil || s.step < node.downUntil:
			s.report.Dropped++
		case s.step < node.pausedUntil:
			// A paused replica gets its messages when it resumes.
			queued.due = node.pausedUntil
			s.network = append(s.network, queued)
		default:
			node.core.Step(queued.message)
			s.process(node)
		}
	}
}

func (s *simulation) find(id string) *replica {
	for _, node := range s.replicas {
		if node.id == id {
			return node
		}
	}
	return nil
}

// process handles the core's pending work in the order that consensus.Ready requires.
func (s *simulation) process(node *replica) {
	for {
		ready := node.core.Ready()
		if ready.Empty() {
			return
		}
		s.persist(node, ready)
		if ready.Snapshot != nil {
			if err := node.machine.Restore(ready.Snapshot.Data); err != nil {
				s.fail("restoring a snapshot on %s: %s", node.id, err)
			}
		}
		for _, entry := range ready.Committed {
			s.apply(node, entry)
		}
		for _, message := range ready.Messages {
			s.send(node, message)
		}
		s.compact(node)
	}
}

func (s *simulation) persist(node *replica, ready consensus.Ready) {
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

// apply applies an entry and checks that all replicas apply the same entry at an index.
func (s *simulation) apply(node *replica, entry consensus.Entry) {
	fingerprint := fmt.Sprintf("%d/%d/%s", entry.Term, entry.Kind, entry.Data)
	if earlier, exists := s.applied[entry.Index]; exists && earlier != fingerprint {
		s.fail("replicas applied different entries at index %d", entry.Index)
	}
	s.applied[entry.Index] = fingerprint
	s.report.Commits = max(s.report.Commits, entry.Index)
	var result program.Result
	if entry.Kind == consensus.EntryCommand {
		result, _ = node.machine.Apply(entry.Index, entry.Data).(program.Result)
	}
	pending, exists := node.waiters[entry.Index]
	if !exists {
		return
	}
	delete(node.waiters, entry.Index)
	if pending.term == entry.Term {
		pending.client.handleResult(pending.proposal, result)
	}
}

func (s *simulation) send(node *replica, message consensus.Message) {
	if message.Kind == consensus.InstallSnapshot {
		snapshot := node.core.SnapshotMetadata()
		data, err := node.machine.Snapshot()
		if err != nil {
			s.fail("making a snapshot: %s", err)
		}
		snapshot.Data = data
		message.Snapshot = &snapshot
	}
	if s.blocked[[2]string{message.From, message.To}] > s.step || s.options.Faults.Drop && s.random.Float64() < dropProbability {
		s.report.Dropped++
		return
	}
	s.enqueue(message)
	if s.options.Faults.Duplicate && s.random.Float64() < duplicateProbability {
		s.enqueue(message)
	}
}

func (s *simulation) enqueue(message consensus.Message) {
	delay := 1
	if s.options.Faults.Delay {
		delay += s.random.IntN(maxDelay)
	}
	s.order++
	s.network = append(s.network, &envelope{message: message, due: s.step + delay, order: s.order})
}

// compact replaces a replica's applied log entries by a snapshot.
func (s *simulation) compact(node *replica) {
	if !s.options.Faults.Compact || node.core.Applied() < node.core.FirstIndex()+compactionEntries {
		return
	}
	snapshot := node.core.SnapshotMetadata()
	data, err := node.machine.Snapshot()
	if err != nil {
		s.fail("making a snapshot: %s", err)
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

// leader returns the running leader of the highest term, or nil.
func (s *simulation) leader() *replica {
	var highest *replica
	for _, node := range s.replicas {
		if s.running(node) && node.core.Role() == consensus.Leader && (highest == nil || node.core.Term() > highest.core.Term()) {
			highest = node
		}
	}
	return highest
}

// Add returns the field-wise sum of r and other.
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
