package replica

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/consensus"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/transport"
)

const (
	messageKind = "raft"
	beatKind    = "beat"
	// tickInterval drives elections and heartbeats of all groups, and paces the batches of beats.
	tickInterval = 100 * time.Millisecond
)

// Options configure a Host.
type Options struct {
	// ReplicaID is this node's identity in its groups; it must be as durable as Storage.
	ReplicaID string
	Transport *transport.Transport
	Storage   Storage
	// Address finds where a replica runs now.
	Address func(replicaID string) (string, bool)
	// NewMachine makes the state machine of a group.
	NewMachine func(group uint32) StateMachine
	// OnStatusChange hears of changes of leadership and of members, with the members that are committed. It must not block.
	OnStatusChange func(Status)
	Logger         *events.Logger
}

// Host runs the replicas of this node.
type Host struct {
	options Options

	mutex  sync.RWMutex
	groups map[uint32]*group
	closed bool

	beatMutex sync.Mutex
	beats     map[string][]beat
	assembler *assembler
}

// groupMessage is a consensus message and the group that it is for.
type groupMessage struct {
	Group   uint32            `json:"g"`
	Message consensus.Message `json:"m"`
}

// beat is a heartbeat or its answer in short form. The beats of all groups between two nodes
// share one message a tick.
type beat struct {
	Group    uint32 `json:"g"`
	Term     uint64 `json:"t"`
	Commit   uint64 `json:"c,omitempty"`
	Response bool   `json:"r,omitempty"`
}

type beatMessage struct {
	From  string `json:"f"`
	To    string `json:"o"`
	Beats []beat `json:"b"`
}

// NewHost returns a Host with the groups that storage holds, not running yet.
func NewHost(options Options) *Host {
	host := &Host{options: options, groups: make(map[uint32]*group), beats: make(map[string][]beat), assembler: newAssembler()}
	transport.HandleOneWay(options.Transport, messageKind, func(_ transport.Peer, message groupMessage) {
		host.receive(message.Group, message.Message)
	})
	transport.HandleOneWay(options.Transport, beatKind, host.receiveBeats)
	transport.HandleOneWay(options.Transport, partKind, func(_ transport.Peer, piece snapshotPart) {
		if message, whole := host.assembler.add(piece); whole {
			host.receive(piece.Group, message)
		}
	})
	return host
}

// Run restarts stored groups and drives all groups until the context ends.
func (h *Host) Run(ctx context.Context) error {
	stored, err := h.options.Storage.Groups()
	if err != nil {
		return err
	}
	for _, id := range stored {
		if err := h.Start(id, nil); err != nil {
			return err
		}
	}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	defer h.close()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			for _, running := range h.list() {
				running.offer(event{tick: true})
			}
			h.flushBeats()
		}
	}
}

func (h *Host) close() {
	h.mutex.Lock()
	h.closed = true
	h.mutex.Unlock()
	for _, running := range h.list() {
		running.close()
	}
}

func (h *Host) list() []*group {
	h.mutex.RLock()
	defer h.mutex.RUnlock()
	return slices.Collect(maps.Values(h.groups))
}

func (h *Host) get(id uint32) *group {
	h.mutex.RLock()
	defer h.mutex.RUnlock()
	return h.groups[id]
}

// Start runs a replica. With bootstrap, a replica that holds nothing yet starts as one of the
// group's first members; without, it waits for a leader to send it the state.
func (h *Host) Start(id uint32, bootstrap *consensus.Members) error {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.groups[id] != nil || h.closed {
		return nil
	}
	stored, err := h.options.Storage.Load(id)
	if err != nil {
		return err
	}
	if bootstrap != nil && stored.Snapshot.Index == 0 && len(stored.Entries) == 0 {
		// All first members start from the same snapshot, so that they agree without a leader.
		stored.State = consensus.HardState{Term: 1, Commit: 1}
		stored.Snapshot = consensus.Snapshot{Index: 1, Term: 1, Members: bootstrap.Clone()}
		if err := h.options.Storage.Save(id, &stored.State, &stored.Snapshot, nil); err != nil {
			return err
		}
	}
	created, err := newGroup(h, id, h.options.NewMachine(id), stored)
	if err != nil {
		return err
	}
	h.groups[id] = created
	h.options.Logger.Emit(events.GroupStarted, events.F("partition", id))
	go created.run()
	return nil
}

// RemoveObsolete ends a replica and forgets its data, if the group has gone on without it: no leader sends to it, and it has not
// committed the group's change of that index. The replica itself decides, after all that it has acknowledged: a leader that is
// adding it counts on that, and would wait without end for one that forgot. The failure is of the storage.
func (h *Host) RemoveObsolete(id uint32, changedAt uint64) error {
	running := h.get(id)
	if running == nil || !running.retire(changedAt) {
		return nil
	}
	running.close()
	err := h.options.Storage.Remove(id)
	// The group is known until its data is gone, so that a message for it can't start it with what is about to be removed.
	h.mutex.Lock()
	delete(h.groups, id)
	h.mutex.Unlock()
	h.options.Logger.Emit(events.GroupRemoved, events.F("partition", id))
	return err
}

// Propose replicates a command and returns the state machine's result. A failure with outcome
// NotRun means that the command is in no log; after OutcomeUnknown it may still be applied.
func (h *Host) Propose(ctx context.Context, id uint32, command []byte) (any, error) {
	running := h.get(id)
	if running == nil {
		return nil, apierr.New(apierr.NotLeader, apierr.NotRun, "this node holds no replica of partition %d", id)
	}
	request := &proposal{command: command, result: make(chan proposalResult, 1)}
	if err := running.post(ctx, event{proposal: request}); err != nil {
		return nil, err
	}
	select {
	case result := <-request.result:
		return result.value, result.err
	case <-running.stopped:
		return nil, apierr.New(apierr.PartitionUnavailable, apierr.OutcomeUnknown, "the replica stopped")
	case <-ctx.Done():
		return nil, apierr.New(apierr.PartitionUnavailable, apierr.OutcomeUnknown, "no majority answered: %s", ctx.Err())
	}
}

// Do runs an action on a group's core, on its own goroutine. A replica that has failed runs none; the failure says why.
func (h *Host) Do(ctx context.Context, id uint32, action func(*consensus.Core)) error {
	running := h.get(id)
	if running == nil {
		return apierr.New(apierr.NotFound, apierr.NotRun, "this node holds no replica of partition %d", id)
	}
	done := make(chan struct{})
	wrapped := func(core *consensus.Core) {
		action(core)
		close(done)
	}
	refused := make(chan error, 1)
	if err := running.post(ctx, event{action: wrapped, refused: refused}); err != nil {
		return err
	}
	select {
	case <-done:
		return nil
	case err := <-refused:
		return err
	case <-running.stopped:
		return apierr.New(apierr.PartitionUnavailable, apierr.NotRun, "the replica stopped")
	}
}

// Status returns a picture of one group.
func (h *Host) Status(id uint32) (Status, bool) {
	running := h.get(id)
	if running == nil {
		return Status{}, false
	}
	return *running.status.Load(), true
}

// Statuses returns a picture of all groups, by number.
func (h *Host) Statuses() []Status {
	var result []Status
	for _, running := range h.list() {
		result = append(result, *running.status.Load())
	}
	slices.SortFunc(result, func(a, b Status) int { return int(a.Group) - int(b.Group) })
	return result
}

// PeerDown makes the groups that the replica leads elect another leader without waiting.
func (h *Host) PeerDown(replicaID string) {
	for _, running := range h.list() {
		running.offer(event{action: func(core *consensus.Core) { core.LeaderDown(replicaID) }})
	}
}

func (h *Host) changed(status Status) {
	if h.options.OnStatusChange != nil {
		h.options.OnStatusChange(status)
	}
}

func (h *Host) receive(id uint32, message consensus.Message) {
	if message.To != h.options.ReplicaID {
		return
	}
	running := h.get(id)
	if running == nil && startsReplica(message.Kind) {
		if err := h.Start(id, nil); err != nil {
			h.options.Logger.Emit(events.StorageFailed, events.F("partition", id), events.F("error", err))
			return
		}
		running = h.get(id)
	}
	if running != nil {
		running.offer(event{message: &message})
	}
}

// startsReplica reports whether a message shows that a leader counts on this node.
func startsReplica(kind consensus.MessageKind) bool {
	return kind == consensus.Append || kind == consensus.InstallSnapshot || kind == consensus.Heartbeat
}

func (h *Host) send(id uint32, message consensus.Message) {
	if message.Kind == consensus.Heartbeat || message.Kind == consensus.HeartbeatResponse {
		h.queueBeat(id, message)
		return
	}
	address, known := h.options.Address(message.To)
	if !known {
		return
	}
	if message.Kind == consensus.InstallSnapshot {
		for _, piece := range splitSnapshot(id, message) {
			h.options.Transport.Send(address, partKind, piece)
		}
		return
	}
	h.options.Transport.Send(address, messageKind, groupMessage{Group: id, Message: message})
}

func (h *Host) queueBeat(id uint32, message consensus.Message) {
	h.beatMutex.Lock()
	defer h.beatMutex.Unlock()
	h.beats[message.To] = append(h.beats[message.To], beat{
		Group:    id,
		Term:     message.Term,
		Commit:   message.Commit,
		Response: message.Kind == consensus.HeartbeatResponse,
	})
}

func (h *Host) flushBeats() {
	h.beatMutex.Lock()
	pending := h.beats
	h.beats = make(map[string][]beat)
	h.beatMutex.Unlock()
	for replicaID, beats := range pending {
		if address, known := h.options.Address(replicaID); known {
			h.options.Transport.Send(address, beatKind, beatMessage{From: h.options.ReplicaID, To: replicaID, Beats: beats})
		}
	}
}

func (h *Host) receiveBeats(_ transport.Peer, message beatMessage) {
	for _, item := range message.Beats {
		kind := consensus.Heartbeat
		if item.Response {
			kind = consensus.HeartbeatResponse
		}
		h.receive(item.Group, consensus.Message{Kind: kind, From: message.From, To: message.To, Term: item.Term, Commit: item.Commit})
	}
}
