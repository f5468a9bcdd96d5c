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

const patience = 60 * time.Second

// journal is a state machine that keeps its commands.
type journal struct {
	mutex   sync.Mutex
	content []byte
}

func (j *journal) Apply(_ uint64, command []byte) any {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.content = append(j.content, command...)
	return len(j.content)
}

func (j *journal) Snapshot() ([]byte, error) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return bytes.Clone(j.content), nil
}

func (j *journal) Restore(data []byte) error {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.content = bytes.Clone(data)
	return nil
}

func (j *journal) size() int {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return len(j.content)
}

// site is a set of hosts that reach each other.
type site struct {
	t         *testing.T
	addresses map[string]string
	machines  map[string]*journal
}

func (s *site) start(id string, storage Storage) (*Host, func()) {
	s.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(s.t, err)
	s.addresses[id] = listener.Addr().String()
	network := transport.New(transport.Options{Cluster: "c", NodeID: id, Address: s.addresses[id], Logger: events.Discard()})
	host := NewHost(Options{
		ReplicaID: id, Transport: network, Storage: storage, Logger: events.Discard(),
		Address: func(replicaID string) (string, bool) { address, known := s.addresses[replicaID]; return address, known },
		NewMachine: func(uint32) StateMachine {
			machine := &journal{}
			s.machines[id] = machine
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
	s.t.Cleanup(stop)
	return host, stop
}

func newSite(t *testing.T) *site {
	return &site{t: t, addresses: make(map[string]string), machines: make(map[string]*journal)}
}

// propose repeats a command until the host leads.
func (s *site) propose(host *Host, command []byte) {
	s.t.Helper()
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		if _, err := host.Propose(context.Background(), 1, command); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(patience))
}

// TestLargeStateReachesANewReplica sends a snapshot of several parts.
func TestLargeStateReachesANewReplica(t *testing.T) {
	here := newSite(t)
	first, _ := here.start("a", MemoryStorage{})
	assert.NilError(t, first.Start(1, &consensus.Members{Voters: []string{"a"}}))
	random := rand.New(rand.NewPCG(1, 1))
	large := make([]byte, 2*partBytes+12345)
	for index := range large {
		large[index] = byte(random.IntN(256))
	}
	here.propose(first, large)
	second, _ := here.start("b", MemoryStorage{})
	var proposed error
	assert.NilError(t, first.Do(t.Context(), 1, func(core *consensus.Core) {
		_, _, proposed = core.ProposeMembers(consensus.Members{Voters: []string{"a"}, Learners: []string{"b"}})
	}))
	assert.NilError(t, proposed)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if status, known := second.Status(1); known && status.Applied > 1 && here.machines["b"].size() == len(large) {
			return poll.Success()
		}
		return poll.Continue("the replica has not got the state")
	}, poll.WithTimeout(patience))
	assert.Assert(t, bytes.Equal(here.machines["b"].content, large))
}

func TestPartsInAnyOrderAndBadParts(t *testing.T) {
	message := consensus.Message{From: "a", Term: 3, Snapshot: &consensus.Snapshot{Index: 9, Data: bytes.Repeat([]byte("x"), 2*partBytes+1)}}
	parts := splitSnapshot(1, message)
	assert.Equal(t, len(parts), 3)
	assembler := newAssembler()
	for _, bad := range []snapshotPart{{}, {Message: message, Part: 5, Parts: 3}, {Message: message, Part: -1, Parts: 3}, {Message: message, Part: 0, Parts: maxParts + 1}} {
		_, whole := assembler.add(bad)
		assert.Assert(t, !whole)
	}
	for _, number := range []int{2, 0, 2, 0} {
		_, whole := assembler.add(parts[number])
		assert.Assert(t, !whole)
	}
	complete, whole := assembler.add(parts[1])
	assert.Assert(t, whole)
	assert.Assert(t, bytes.Equal(complete.Snapshot.Data, message.Snapshot.Data))
}

// TestDiskKeepsWhatWasCommitted closes a host and opens its folder again.
func TestDiskKeepsWhatWasCommitted(t *testing.T) {
	here := newSite(t)
	folder := t.TempDir()
	disk, err := OpenDiskStorage(folder)
	assert.NilError(t, err)
	host, stop := here.start("a", disk)
	assert.NilError(t, host.Start(1, &consensus.Members{Voters: []string{"a"}}))
	for range 50 {
		here.propose(host, []byte("ten bytes."))
	}
	_, err = OpenDiskStorage(folder)
	assert.Assert(t, err != nil, "a second process can't share the folder")
	stop()
	assert.NilError(t, disk.Close())
	disk, err = OpenDiskStorage(folder)
	assert.NilError(t, err)
	again, _ := here.start("a", disk)
	here.propose(again, []byte("more"))
	assert.Equal(t, here.machines["a"].size(), 504)
}

// TestDamagedDataIsNoticed flips a byte of a stored value.
func TestDamagedDataIsNoticed(t *testing.T) {
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

// fullDisk fails every write after a number of them.
type fullDisk struct {
	MemoryStorage
	mutex sync.Mutex
	left  int
}

func (f *fullDisk) Save(uint32, *consensus.HardState, *consensus.Snapshot, []consensus.Entry) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.left--
	if f.left < 0 {
		return os.ErrInvalid
	}
	return nil
}

// Whoever learns from its proposal that a replica has failed finds that in the replica's status.
func TestFailureIsInTheStatusBeforeProposalsEnd(t *testing.T) {
	here := newSite(t)
	host, _ := here.start("a", &fullDisk{left: 6})
	failing, err := newGroup(host, 7, &journal{}, StoredGroup{})
	assert.NilError(t, err)
	// Nobody takes the second result before the status was looked at, so that what comes after both has not come.
	result := make(chan proposalResult)
	failing.waiters[1] = waiter{result: result}
	failing.waiters[2] = waiter{result: result}
	go failing.fail(os.ErrInvalid)
	assert.Assert(t, apierr.Is((<-result).err, apierr.PartitionUnavailable))
	assert.Assert(t, failing.status.Load().Failed != "")
	<-result
}

// TestFullDiskStopsAnswering: a replica that can't write must not acknowledge.
func TestFullDiskStopsAnswering(t *testing.T) {
	here := newSite(t)
	host, _ := here.start("a", &fullDisk{left: 6})
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
	}, poll.WithTimeout(patience), poll.WithDelay(time.Millisecond))
	assert.Assert(t, acknowledged <= here.machines["a"].size())
	status, _ := host.Status(1)
	assert.Assert(t, status.Failed != "")
}

// A replica that has failed runs no action any more; whoever asks for one must hear that, because the repair of all groups waits
// for the answer.
func TestAnActionOfAFailedReplicaEnds(t *testing.T) {
	here := newSite(t)
	host, _ := here.start("a", &fullDisk{left: 6})
	assert.NilError(t, host.Start(1, &consensus.Members{Voters: []string{"a"}}))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		_, err := host.Propose(context.Background(), 1, []byte("x"))
		if apierr.Is(err, apierr.PartitionUnavailable) {
			return poll.Success()
		}
		return poll.Continue("%v", err)
	}, poll.WithTimeout(patience), poll.WithDelay(time.Millisecond))
	ended := make(chan error, 1)
	go func() { ended <- host.Do(context.Background(), 1, func(*consensus.Core) {}) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		select {
		case err := <-ended:
			assert.Check(t, apierr.Is(err, apierr.PartitionUnavailable), "%v", err)
			return poll.Success()
		default:
			return poll.Continue("the action has not ended")
		}
	}, poll.WithTimeout(patience/6))
}

// Other nodes act on the members that a leader reports, and a replica that they lack is dropped. A change that is in the
// log alone may never be: another leader may drop the entry.
func TestAnUncommittedChangeIsNotReported(t *testing.T) {
	here := newSite(t)
	host, _ := here.start("a", MemoryStorage{})
	var reported []Status
	host.options.OnStatusChange = func(status Status) { reported = append(reported, status) }
	committed := consensus.Members{Voters: []string{"a", "b", "c", "d"}}
	pending := consensus.Members{Voters: []string{"a", "b", "c"}}
	leading, err := newGroup(host, 7, &journal{}, StoredGroup{
		State:    consensus.HardState{Term: 1, Commit: 4},
		Snapshot: consensus.Snapshot{Index: 4, Term: 1, Members: committed},
		Entries:  []consensus.Entry{{Index: 5, Term: 1, Kind: consensus.EntryMembers, Members: &pending}},
	})
	assert.NilError(t, err)
	leading.handle(event{action: func(core *consensus.Core) { core.Campaign() }})
	leading.handle(event{message: &consensus.Message{Kind: consensus.PreVoteResponse, From: "b", To: "a", Term: 2}})
	leading.handle(event{message: &consensus.Message{Kind: consensus.VoteResponse, From: "b", To: "a", Term: 2}})
	leading.process()
	assert.Equal(t, len(reported), 1)
	assert.Assert(t, reported[0].IsLeader)
	assert.DeepEqual(t, reported[0].Members, committed)
	leading.handle(event{message: &consensus.Message{Kind: consensus.AppendResponse, From: "b", To: "a", Term: 2, Index: 6}})
	leading.process()
	assert.Equal(t, len(reported), 2)
	assert.Equal(t, reported[1].MembersIndex, uint64(5))
	assert.DeepEqual(t, reported[1].Members, pending)
}
