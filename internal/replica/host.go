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
	messageKind   = "raft"
	heartbeatKind = "beat"
	// tickInterval is the tick of all groups, and the interval at which heartbeats are sent in batches.
	tickInterval = 100 * time.Millisecond
)

// Options holds the parameters of a Host.
type Options struct {
	// ReplicaID identifies this node in its groups. It must be as durable as Storage.
	ReplicaID string
	Transport *transport.Transport
	Storage   Storage
	// Address returns the current address of a replica, or false if it is unknown.
	Address func(replicaID string) (string, bool)
	// NewMachine returns a new state machine for a group.
	NewMachine func(group uint32) StateMachine
	// OnStatusChange is called when leadership or the committed members change, with the committed
	// members in the status. It must not block. It may be nil.
	OnStatusChange func(Status)
	Logger         *events.Logger
}

// Host runs the replicas of this node.
type Host struct {
	options Options

	mutex  sync.RWMutex
	groups map[uint32]*group
	closed bool

	heartbeatMutex sync.Mutex
	// heartbeats holds the heartbeats to send with the next tick, by receiving replica.
	heartbeats map[string][]heartbeat
	assembler  *assembler
}

// groupMessage is the wire format of a consensus message.
type groupMessage struct {
	Group   uint32            `json:"g"`
	Message consensus.Message `json:"m"`
}

// heartbeat is the compact wire format of a heartbeat or heartbeat response. Heartbeats of all groups
// between two nodes are sent in one message per tick.
type heartbeat struct {
	Group    uint32 `json:"g"`
	Term     uint64 `json:"t"`
	Commit   uint64 `json:"c,omitempty"`
	Response bool   `json:"r,omitempty"`
}

type heartbeatMessage struct {
	From       string      `json:"f"`
	To         string      `json:"o"`
	Heartbeats []heartbeat `json:"b"`
}

// NewHost returns a Host and registers its transport handlers. Run starts the stored groups.
func NewHost(options Options) *Host {
	host := &Host{options: options, groups: make(map[uint32]*group), heartbeats: make(map[string][]heartbeat), assembler: newAssembler()}
	transport.HandleOneWay(options.Transport, messageKind, func(_ transport.Peer, message groupMessage) {
		host.receive(message.Group, message.Message)
	})
	transport.HandleOneWay(options.Transport, heartbeatKind, host.receiveHeartbeats)
	transport.HandleOneWay(options.Transport, snapshotPartKind, func(_ transport.Peer, part snapshotPart) {
		if message, complete := host.assembler.add(part); complete {
			host.receive(part.Group, message)
		}
	})
	return host
}

// Run starts the stored groups and drives all groups until ctx is done, then stops them.
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
				running.addTick()
			}
			h.flushHeartbeats()
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

// Start starts a replica unless it runs already. If bootstrap is not nil, a replica without stored state
// starts as one of the initial members of the group; otherwise it waits for a leader to send it the state.
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
		// All initial members start from the same snapshot, so that their logs match without a leader.
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

// RemoveObsolete stops a replica and removes its data if it is obsolete: it has no leader, and
// it has not committed the membership change at index changedAt. The check runs on the goroutine of the
// replica, so that it sees every entry that the replica has acknowledged: a leader that is adding the replica
// would wait forever if acknowledged entries were removed. Errors are those of the storage.
func (h *Host) RemoveObsolete(id uint32, changedAt uint64) error {
	running := h.get(id)
	if running == nil || !running.retire(changedAt) {
		return nil
	}
	running.close()
	err := h.options.Storage.Remove(id)
	// Keep the group registered until its data is removed, so that a message cannot start it again from
	// that data.
	h.mutex.Lock()
	delete(h.groups, id)
	h.mutex.Unlock()
	h.options.Logger.Emit(events.GroupRemoved, events.F("partition", id))
	return err
}

// Propose replicates a command and returns the result of the state machine. After an error with outcome
// NotRun the command is not in any log; after OutcomeUnknown it may still be applied.
func (h *Host) Propose(ctx context.Context, id uint32, command []byte) (any, error) {
	running := h.get(id)
	if running == nil {
		return nil, apierr.New(apierr.NotLeader, apierr.NotRun, "this node holds no replica of partition %d", id)
	}
	request := &proposal{command: command, result: make(chan proposalResult, 1)}
	if err := running.enqueue(ctx, event{proposal: request}); err != nil {
		return nil, err
	}
	select {
	case result := <-request.result:
		return result.value, result.err
	case <-running.stopped:
		return nil, apierr.New(apierr.PartitionUnavailable, apierr.OutcomeUnknown, "the replica stopped before it returned the result of the command")
	case <-ctx.Done():
		return nil, apierr.New(apierr.PartitionUnavailable, apierr.OutcomeUnknown, "waiting for the command to be applied: %s", ctx.Err())
	}
}

// Do runs an action on the core of a group, on the goroutine of the group. If the replica has failed, the
// action is not run and the error is the failure. Once the action is queued, Do waits for it even if ctx is done, because
// the action may use variables of the caller.
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
	actionFailed := make(chan error, 1)
	if err := running.enqueue(ctx, event{action: wrapped, actionFailed: actionFailed}); err != nil {
		return err
	}
	select {
	case <-done:
		return nil
	case err := <-actionFailed:
		return err
	case <-running.stopped:
		return apierr.New(apierr.PartitionUnavailable, apierr.NotRun, "the replica stopped before it ran the action")
	}
}

// Status returns the status of one group, or false if this node has no replica of it.
func (h *Host) Status(id uint32) (Status, bool) {
	running := h.get(id)
	if running == nil {
		return Status{}, false
	}
	return *running.status.Load(), true
}

// AwaitLeader returns the status of a group once the replica knows the leader or has failed, or else when ctx is done. It returns
// false if this node has no replica of the group.
func (h *Host) AwaitLeader(ctx context.Context, id uint32) (Status, bool) {
	running := h.get(id)
	if running == nil {
		return Status{}, false
	}
	for {
		changed := running.leaderChanged()
		status := *running.status.Load()
		if status.Leader != "" || status.Failed != "" {
			return status, true
		}
		select {
		case <-changed:
		case <-running.stopped:
			return status, true
		case <-ctx.Done():
			return status, true
		}
	}
}

// Statuses returns the status of all groups, ordered by group.
func (h *Host) Statuses() []Status {
	var result []Status
	for _, running := range h.list() {
		result = append(result, *running.status.Load())
	}
	slices.SortFunc(result, func(a, b Status) int { return int(a.Group) - int(b.Group) })
	return result
}

// PeerDown reports that a replica has failed or left, so that the groups that it leads elect a new leader
// before the election timeout.
func (h *Host) PeerDown(replicaID string) {
	for _, running := range h.list() {
		running.tryEnqueue(event{action: func(core *consensus.Core) { core.LeaderDown(replicaID) }})
	}
}

func (h *Host) reportStatus(status Status) {
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
		running.tryEnqueue(event{message: &message})
	}
}

// startsReplica reports whether a message is sent by leaders only, which implies that this node is a
// member of the group.
func startsReplica(kind consensus.MessageKind) bool {
	return kind == consensus.Append || kind == consensus.InstallSnapshot || kind == consensus.Heartbeat
}

func (h *Host) send(id uint32, message consensus.Message) {
	if message.Kind == consensus.Heartbeat || message.Kind == consensus.HeartbeatResponse {
		h.queueHeartbeat(id, message)
		return
	}
	address, known := h.options.Address(message.To)
	if !known {
		return
	}
	// Messages name the receiving replica themselves.
	to := transport.Peer{Address: address}
	if message.Kind == consensus.InstallSnapshot {
		for _, part := range splitSnapshot(id, message) {
			h.options.Transport.Send(to, snapshotPartKind, part)
		}
		return
	}
	h.options.Transport.Send(to, messageKind, groupMessage{Group: id, Message: message})
}

func (h *Host) queueHeartbeat(id uint32, message consensus.Message) {
	h.heartbeatMutex.Lock()
	defer h.heartbeatMutex.Unlock()
	h.heartbeats[message.To] = append(h.heartbeats[message.To], heartbeat{
		Group:    id,
		Term:     message.Term,
		Commit:   message.Commit,
		Response: message.Kind == consensus.HeartbeatResponse,
	})
}

func (h *Host) flushHeartbeats() {
	h.heartbeatMutex.Lock()
	pending := h.heartbeats
	h.heartbeats = make(map[string][]heartbeat)
	h.heartbeatMutex.Unlock()
	for replicaID, heartbeats := range pending {
		if address, known := h.options.Address(replicaID); known {
			h.options.Transport.Send(transport.Peer{Address: address}, heartbeatKind, heartbeatMessage{From: h.options.ReplicaID, To: replicaID, Heartbeats: heartbeats})
		}
	}
}

func (h *Host) receiveHeartbeats(_ transport.Peer, message heartbeatMessage) {
	for _, item := range message.Heartbeats {
		kind := consensus.Heartbeat
		if item.Response {
			kind = consensus.HeartbeatResponse
		}
		h.receive(item.Group, consensus.Message{Kind: kind, From: message.From, To: message.To, Term: item.Term, Commit: item.Commit})
	}
}
