package partition

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mountstile/mountstile/internal/consensus"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/membership"
	"github.com/mountstile/mountstile/internal/replica"
	"github.com/mountstile/mountstile/internal/transport"
)

const (
	patience = 60 * time.Second
	// testGroup is the partition of these tests; here is the node that runs, and distant its leader, of
	// which there is nothing but its messages.
	testGroup = 7
	here      = "here"
	distant   = "distant"
	// changedAt is where the log of the leader says that the group is distant and two others.
	changedAt = 5
)

// idle is a state machine without state.
type idle struct{}

func (idle) Apply(uint64, []byte) any  { return nil }
func (idle) Snapshot() ([]byte, error) { return nil, nil }
func (idle) Restore([]byte) error      { return nil }

// follower is a node whose replica hears a distant leader.
type follower struct {
	t       *testing.T
	manager *Manager
	host    *replica.Host
	leader  *transport.Transport
	address string
}

// groupMessage is the wire form of what a leader sends.
type groupMessage struct {
	Group   uint32            `json:"g"`
	Message consensus.Message `json:"m"`
}

func newFollower(t *testing.T) *follower {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	created := &follower{t: t, address: listener.Addr().String()}
	network := transport.New(transport.Options{Cluster: "c", NodeID: here, Address: created.address, Logger: events.Discard()})
	created.leader = transport.New(transport.Options{Cluster: "c", NodeID: distant, Address: "127.0.0.1:1", Logger: events.Discard()})
	created.host = replica.NewHost(replica.Options{
		ReplicaID: here, Transport: network, Storage: replica.MemoryStorage{}, Logger: events.Discard(),
		Address:    func(string) (string, bool) { return "", false },
		NewMachine: func(uint32) replica.StateMachine { return idle{} },
	})
	self := membership.Member{ID: here, ReplicaID: here, Address: created.address, Status: membership.Alive}
	members := membership.NewManager(self, nil, membership.DefaultOptions(), network, events.Discard())
	created.manager = NewManager(Options{Membership: members, Host: created.host, Logger: events.Discard()})
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() { _ = network.Serve(listener) })
	tasks.Go(func() { _ = created.host.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		created.leader.Close()
		network.Close()
		tasks.Wait()
	})
	return created
}

// feed lets the leader send a log that ends with a group at changedAt, and waits until it is applied here.
func (f *follower) feed(members consensus.Members) replica.Status {
	f.t.Helper()
	message := consensus.Message{Kind: consensus.Append, From: distant, To: here, Term: 1, Commit: changedAt}
	for index := uint64(1); index < changedAt; index++ {
		message.Entries = append(message.Entries, consensus.Entry{Index: index, Term: 1})
	}
	message.Entries = append(message.Entries, consensus.Entry{Index: changedAt, Term: 1, Kind: consensus.EntryMembers, Members: &members})
	f.waitFor("the log to be applied", func() bool {
		f.leader.Send(f.address, "raft", groupMessage{Group: testGroup, Message: message})
		status, known := f.host.Status(testGroup)
		return known && status.Applied == changedAt
	})
	return f.status()
}

func (f *follower) status() replica.Status {
	status, _ := f.host.Status(testGroup)
	return status
}

func (f *follower) waitFor(what string, done func() bool) {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		if done() {
			return poll.Success()
		}
		return poll.Continue("waiting for %s", what)
	}, poll.WithTimeout(patience), poll.WithDelay(10*time.Millisecond))
}

// told gives the manager the group as membership spreads it.
func (f *follower) told(version uint64, voters ...string) {
	f.manager.members[testGroup] = membersRecord{version: version, Members: consensus.Members{Voters: voters}}
}

// A leader counts on what a replica acknowledged, also before the entry that adds the replica is here. If the replica forgot it,
// the leader would promote one that can't acknowledge any more, and a group with a lost voter would have no majority.
func TestAReplicaThatIsBeingAddedKeepsWhatItAcknowledged(t *testing.T) {
	node := newFollower(t)
	status := node.feed(consensus.Members{Voters: []string{distant, "b", "c"}})
	node.told(changedAt, distant, "b", "c")
	node.manager.dropRemoved(status)
	assert.Equal(t, node.status().Applied, uint64(changedAt))
	node.waitFor("the leader to be silent", func() bool { return node.status().Leader == "" })
	node.manager.dropRemoved(node.status())
	assert.Equal(t, node.status().Applied, uint64(changedAt))
}

// The picture of a group may be older than what its replica acknowledged since.
func TestAnOldPictureDropsNoReplica(t *testing.T) {
	node := newFollower(t)
	node.feed(consensus.Members{Voters: []string{distant, "b", here}})
	node.told(changedAt, distant, "b", "c")
	node.manager.dropRemoved(replica.Status{Group: testGroup})
	assert.Equal(t, node.status().Applied, uint64(changedAt))
}

// A replica that its group has gone on without is dropped once no leader sends to it any more.
func TestARemovedReplicaIsDropped(t *testing.T) {
	node := newFollower(t)
	status := node.feed(consensus.Members{Voters: []string{distant, "b", here}})
	node.told(changedAt, distant, "b", here)
	node.manager.dropRemoved(status)
	assert.Equal(t, node.status().Applied, uint64(changedAt), "it is a member")
	node.told(changedAt+1, distant, "b", "c")
	node.waitFor("the replica to be dropped", func() bool {
		node.manager.dropRemoved(node.status())
		_, known := node.host.Status(testGroup)
		return !known
	})
}
