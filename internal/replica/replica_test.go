package replica

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"go.etcd.io/bbolt"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/consensus"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/transport"
)

const testTimeout = 60 * time.Second

// appendMachine is a state machine that concatenates its commands.
type appendMachine struct {
	mutex   sync.Mutex
	content []byte
}

func (m *appendMachine) Apply(_ uint64, command []byte) any {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.content = append(m.content, command...)
	return len(m.content)
}

func (m *appendMachine) Snapshot() ([]byte, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return bytes.Clone(m.content), nil
}

func (m *appendMachine) Restore(data []byte) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.content = bytes.Clone(data)
	return nil
}

func (m *appendMachine) size() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return len(m.content)
}

// testCluster is a set of hosts that can reach each other.
type testCluster struct {
	t         *testing.T
	addresses map[string]string
	machines  map[string]*appendMachine
}

func (c *testCluster) start(id string, storage Storage) (*Host, func()) {
	c.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(c.t, err)
	c.addresses[id] = listener.Addr().String()
	network := transport.New(transport.Options{Cluster: "c", NodeID: id, Address: c.addresses[id], Logger: events.Discard()})
	host := NewHost(Options{
		ReplicaID: id, Transport: network, Storage: storage, Logger: events.Discard(),
		Address: func(replicaID string) (string, bool) { address, known := c.addresses[replicaID]; return address, known },
		NewMachine: func(uint32) StateMachine {
			machine := &appendMachine{}
			c.machines[id] = machine
			return machine
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() { _ = network.Serve(listener) })
	tasks.Go(func() { _ = host.Run(ctx) })
	stop := sync.OnceFunc(func() {
		cancel()
		network.Close()
		tasks.Wait()
	})
	c.t.Cleanup(stop)
	return host, stop
}

func newTestCluster(t *testing.T) *testCluster {
	return &testCluster{t: t, addresses: make(map[string]string), machines: make(map[string]*appendMachine)}
}

// propose retries a command until the host is the leader.
func (c *testCluster) propose(host *Host, command []byte) {
	c.t.Helper()
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		if _, err := host.Propose(context.Background(), 1, command); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(testTimeout))
}

// A new replica receives a snapshot of several parts.
func TestLargeSnapshotReachesNewReplica(t *testing.T) {
	cluster := newTestCluster(t)
	first, _ := cluster.start("a", MemoryStorage{})
	assert.NilError(t, first.Start(1, &consensus.Members{Voters: []string{"a"}}))
	random := rand.New(rand.NewPCG(1, 1))
	large := make([]byte, 2*snapshotPartBytes+12345)
	for index := range large {
		large[index] = byte(random.IntN(256))
	}
	cluster.propose(first, large)
	second, _ := cluster.start("b", MemoryStorage{})
	var proposed error
	assert.NilError(t, first.Do(t.Context(), 1, func(core *consensus.Core) {
		_, _, proposed = core.ProposeMembers(consensus.Members{Voters: []string{"a"}, Learners: []string{"b"}})
	}))
	assert.NilError(t, proposed)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if status, known := second.Status(1); known && status.Applied > 1 && cluster.machines["b"].size() == len(large) {
			return poll.Success()
		}
		return poll.Continue("the new replica has not received the state")
	}, poll.WithTimeout(testTimeout))
	assert.Assert(t, bytes.Equal(cluster.machines["b"].content, large))
}

func TestAssemblerIgnoresOrderAndInvalidParts(t *testing.T) {
	message := consensus.Message{From: "a", Term: 3, Snapshot: &consensus.Snapshot{Index: 9, Data: bytes.Repeat([]byte("x"), 2*snapshotPartBytes+1)}}
	parts := splitSnapshot(1, message)
	assert.Equal(t, len(parts), 3)
	assembler := newAssembler()
	for _, invalid := range []snapshotPart{{}, {Message: message, Part: 5, Parts: 3}, {Message: message, Part: -1, Parts: 3}, {Message: message, Part: 0, Parts: maxSnapshotParts + 1}} {
		_, complete := assembler.add(invalid)
		assert.Assert(t, !complete)
	}
	for _, number := range []int{2, 0, 2, 0} {
		_, complete := assembler.add(parts[number])
		assert.Assert(t, !complete)
	}
	assembled, complete := assembler.add(parts[1])
	assert.Assert(t, complete)
	assert.Assert(t, bytes.Equal(assembled.Snapshot.Data, message.Snapshot.Data))
}

// Committed commands survive a restart with the same data folder.
func TestDiskStorageKeepsCommittedCommands(t *testing.T) {
	cluster := newTestCluster(t)
	folder := t.TempDir()
	disk, err := OpenDiskStorage(folder)
	assert.NilError(t, err)
	host, stop := cluster.start("a", disk)
	assert.NilError(t, host.Start(1, &consensus.Members{Voters: []string{"a"}}))
	for range 50 {
		cluster.propose(host, []byte("ten bytes."))
	}
	_, err = OpenDiskStorage(folder)
	assert.Assert(t, err != nil, "the data folder was opened twice")
	stop()
	assert.NilError(t, disk.Close())
	disk, err = OpenDiskStorage(folder)
	assert.NilError(t, err)
	restarted, _ := cluster.start("a", disk)
	cluster.propose(restarted, []byte("more"))
	assert.Equal(t, cluster.machines["a"].size(), 504)
}

// A flipped bit in a stored value is detected by its checksum.
func TestDiskStorageDetectsCorruption(t *testing.T) {
	folder := t.TempDir()
	disk, err := OpenDiskStorage(folder)
	assert.NilError(t, err)
	assert.NilError(t, disk.Save(1, &consensus.HardState{Term: 3, Vote: "b"}, nil, []consensus.Entry{{Index: 1, Term: 3, Data: []byte("x")}}))
	assert.NilError(t, disk.Close())
	database, err := bbolt.Open(filepath.Join(folder, diskFileName), diskFileMode, nil)
	assert.NilError(t, err)
	assert.NilError(t, database.Update(func(transaction *bbolt.Tx) error {
		bucket := transaction.Bucket(groupKey(1))
		value := bytes.Clone(bucket.Get(stateKey))
		value[len(value)-3] ^= 1
		return bucket.Put(stateKey, value)
	}))
	assert.NilError(t, database.Close())
	disk, err = OpenDiskStorage(folder)
	assert.NilError(t, err)
	defer func() { _ = disk.Close() }()
	_, err = disk.Load(1)
	var corrupt *ErrCorrupt
	assert.Assert(t, errors.As(err, &corrupt), "%v", err)
}

// failingStorage is a storage whose writes fail after a number of successful ones.
type failingStorage struct {
	MemoryStorage
	mutex     sync.Mutex
	remaining int
}

func (f *failingStorage) Save(uint32, *consensus.HardState, *consensus.Snapshot, []consensus.Entry) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.remaining--
	if f.remaining < 0 {
		return os.ErrInvalid
	}
	return nil
}

// The status of a failed replica shows the failure before any of its proposals fails.
func TestStatusShowsFailureBeforeProposalsFail(t *testing.T) {
	cluster := newTestCluster(t)
	host, _ := cluster.start("a", &failingStorage{remaining: 6})
	failing, err := newGroup(host, 7, &appendMachine{}, StoredGroup{})
	assert.NilError(t, err)
	// The second result is received after the status is checked, so fail has not returned at that point.
	result := make(chan proposalResult)
	failing.waiters[1] = waiter{result: result}
	failing.waiters[2] = waiter{result: result}
	go failing.fail(os.ErrInvalid)
	assert.Assert(t, apierr.Is((<-result).err, apierr.PartitionUnavailable))
	assert.Assert(t, failing.status.Load().Failed != "")
	<-result
}

// A replica that cannot write must not acknowledge a command.
func TestFailedWriteStopsReplica(t *testing.T) {
	cluster := newTestCluster(t)
	host, _ := cluster.start("a", &failingStorage{remaining: 6})
	assert.NilError(t, host.Start(1, &consensus.Members{Voters: []string{"a"}}))
	acknowledged := 0
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		_, err := host.Propose(context.Background(), 1, []byte("x"))
		switch {
		case err == nil:
			acknowledged++
			return poll.Continue("acknowledged")
		case apierr.Is(err, apierr.PartitionUnavailable):
			return poll.Success()
		}
		return poll.Continue("%v", err)
	}, poll.WithTimeout(testTimeout), poll.WithDelay(time.Millisecond))
	assert.Assert(t, acknowledged <= cluster.machines["a"].size())
	status, _ := host.Status(1)
	assert.Assert(t, status.Failed != "")
}

// Do must return an error for a failed replica; otherwise it would block the repair of all groups.
func TestDoReturnsAfterFailure(t *testing.T) {
	cluster := newTestCluster(t)
	host, _ := cluster.start("a", &failingStorage{remaining: 6})
	assert.NilError(t, host.Start(1, &consensus.Members{Voters: []string{"a"}}))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		_, err := host.Propose(context.Background(), 1, []byte("x"))
		if apierr.Is(err, apierr.PartitionUnavailable) {
			return poll.Success()
		}
		return poll.Continue("%v", err)
	}, poll.WithTimeout(testTimeout), poll.WithDelay(time.Millisecond))
	result := make(chan error, 1)
	go func() { result <- host.Do(context.Background(), 1, func(*consensus.Core) {}) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		select {
		case err := <-result:
			assert.Check(t, apierr.Is(err, apierr.PartitionUnavailable), "%v", err)
			return poll.Success()
		default:
			return poll.Continue("Do has not returned")
		}
	}, poll.WithTimeout(testTimeout/6))
}

// An uncommitted membership change must not be reported: another leader may discard it, but other nodes
// would remove the replicas that it excludes.
func TestUncommittedMembersAreNotReported(t *testing.T) {
	cluster := newTestCluster(t)
	host, _ := cluster.start("a", MemoryStorage{})
	var reported []Status
	host.options.OnStatusChange = func(status Status) { reported = append(reported, status) }
	committed := consensus.Members{Voters: []string{"a", "b", "c", "d"}}
	pending := consensus.Members{Voters: []string{"a", "b", "c"}}
	leader, err := newGroup(host, 7, &appendMachine{}, StoredGroup{
		State:    consensus.HardState{Term: 1, Commit: 4},
		Snapshot: consensus.Snapshot{Index: 4, Term: 1, Members: committed},
		Entries:  []consensus.Entry{{Index: 5, Term: 1, Kind: consensus.EntryMembers, Members: &pending}},
	})
	assert.NilError(t, err)
	leader.handle(event{action: func(core *consensus.Core) { core.Campaign() }})
	leader.handle(event{message: &consensus.Message{Kind: consensus.PreVoteResponse, From: "b", To: "a", Term: 2}})
	leader.handle(event{message: &consensus.Message{Kind: consensus.VoteResponse, From: "b", To: "a", Term: 2}})
	leader.process()
	assert.Equal(t, len(reported), 1)
	assert.Assert(t, reported[0].IsLeader)
	assert.DeepEqual(t, reported[0].Members, committed)
	leader.handle(event{message: &consensus.Message{Kind: consensus.AppendResponse, From: "b", To: "a", Term: 2, Index: 6}})
	leader.process()
	assert.Equal(t, len(reported), 2)
	assert.Equal(t, reported[1].MembersIndex, uint64(5))
	assert.DeepEqual(t, reported[1].Members, pending)
}

// A leader whose goroutine gets no processor for a while must not take the ticks of that time for silence of its followers, whose
// responses are queued behind them.
func TestLateLeaderCountsQueuedResponses(t *testing.T) {
	cluster := newTestCluster(t)
	host, _ := cluster.start("a", MemoryStorage{})
	leader, err := newGroup(host, 7, &appendMachine{}, StoredGroup{
		State:    consensus.HardState{Term: 1, Commit: 4},
		Snapshot: consensus.Snapshot{Index: 4, Term: 1, Members: consensus.Members{Voters: []string{"a", "b"}}},
	})
	assert.NilError(t, err)
	leader.handle(event{action: func(core *consensus.Core) { core.Campaign() }})
	leader.handle(event{message: &consensus.Message{Kind: consensus.PreVoteResponse, From: "b", To: "a", Term: 2}})
	leader.handle(event{message: &consensus.Message{Kind: consensus.VoteResponse, From: "b", To: "a", Term: 2}})
	leader.process()
	for range 2 * electionTicks {
		leader.addTick()
	}
	leader.tryEnqueue(event{message: &consensus.Message{Kind: consensus.HeartbeatResponse, From: "b", To: "a", Term: 2}})
	go leader.run()
	defer leader.close()
	// A first action waits for the queued events, a second one for the tick.
	for range 2 {
		handled := make(chan struct{})
		assert.NilError(t, leader.enqueue(t.Context(), event{action: func(*consensus.Core) { close(handled) }}))
		<-handled
	}
	assert.Assert(t, leader.status.Load().IsLeader)
}
