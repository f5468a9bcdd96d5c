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
	testTimeout = 60 * time.Second
	testGroup   = 7
	// selfID is the node under test. leaderID is the leader of its group, which only sends messages.
	selfID   = "self"
	leaderID = "leader"
	// changedAt is the log index of the membership change.
	changedAt = 5
)

// noopMachine is a state machine without state.
type noopMachine struct{}

func (noopMachine) Apply(uint64, []byte) any  { return nil }
func (noopMachine) Snapshot() ([]byte, error) { return nil, nil }
func (noopMachine) Restore([]byte) error      { return nil }

// follower is a node with a replica that receives messages from a simulated leader.
type follower struct {
	t       *testing.T
	manager *Manager
	host    *replica.Host
	leader  *transport.Transport
	address string
}

// groupMessage is the wire format of a consensus message.
type groupMessage struct {
	Group   uint32            `json:"g"`
	Message consensus.Message `json:"m"`
}

func newFollower(t *testing.T) *follower {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	created := &follower{t: t, address: listener.Addr().String()}
	network := transport.New(transport.Options{Cluster: "c", NodeID: selfID, Address: created.address, Logger: events.Discard()})
	created.leader = transport.New(transport.Options{Cluster: "c", NodeID: leaderID, Address: "127.0.0.1:1", Logger: events.Discard()})
	created.host = replica.NewHost(replica.Options{
		ReplicaID: selfID, Transport: network, Storage: replica.MemoryStorage{}, Logger: events.Discard(),
		Address:    func(string) (string, bool) { return "", false },
		NewMachine: func(uint32) replica.StateMachine { return noopMachine{} },
	})
	self := membership.Member{ID: selfID, ReplicaID: selfID, Address: created.address, Status: membership.Alive}
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

// replicate sends a log that ends with a membership change at changedAt, and waits until it is applied.
func (f *follower) replicate(members consensus.Members) replica.Status {
	f.t.Helper()
	message := consensus.Message{Kind: consensus.Append, From: leaderID, To: selfID, Term: 1, Commit: changedAt}
	for index := uint64(1); index < changedAt; index++ {
		message.Entries = append(message.Entries, consensus.Entry{Index: index, Term: 1})
	}
	message.Entries = append(message.Entries, consensus.Entry{Index: changedAt, Term: 1, Kind: consensus.EntryMembers, Members: &members})
	f.waitFor("the log to be applied", func() bool {
		f.leader.Send(transport.Peer{Address: f.address}, "raft", groupMessage{Group: testGroup, Message: message})
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
	}, poll.WithTimeout(testTimeout), poll.WithDelay(10*time.Millisecond))
}

// setKnownMembers sets the members of the group as known from gossip.
func (f *follower) setKnownMembers(version uint64, voters ...string) {
	f.manager.members[testGroup] = membersRecord{version: version, Members: consensus.Members{Voters: voters}}
}

// A replica that is being added must keep the entries that it has acknowledged, even before it receives
// the entry that adds it. Otherwise the leader would promote a replica without these entries, and a group
// with a failed voter would have no majority.
func TestReplicaBeingAddedKeepsAcknowledgedEntries(t *testing.T) {
	node := newFollower(t)
	status := node.replicate(consensus.Members{Voters: []string{leaderID, "b", "c"}})
	node.setKnownMembers(changedAt, leaderID, "b", "c")
	node.manager.removeObsolete(status)
	assert.Equal(t, node.status().Applied, uint64(changedAt))
	node.waitFor("the leader to time out", func() bool { return node.status().Leader == "" })
	node.manager.removeObsolete(node.status())
	assert.Equal(t, node.status().Applied, uint64(changedAt))
}

// An outdated status must not remove a replica that has acknowledged entries since.
func TestOutdatedStatusRemovesNoReplica(t *testing.T) {
	node := newFollower(t)
	node.replicate(consensus.Members{Voters: []string{leaderID, "b", selfID}})
	node.setKnownMembers(changedAt, leaderID, "b", "c")
	node.manager.removeObsolete(replica.Status{Group: testGroup})
	assert.Equal(t, node.status().Applied, uint64(changedAt))
}

// A replica that its group has removed is deleted once it has no leader.
func TestObsoleteReplicaIsRemoved(t *testing.T) {
	node := newFollower(t)
	status := node.replicate(consensus.Members{Voters: []string{leaderID, "b", selfID}})
	node.setKnownMembers(changedAt, leaderID, "b", selfID)
	node.manager.removeObsolete(status)
	assert.Equal(t, node.status().Applied, uint64(changedAt), "a member was removed")
	node.setKnownMembers(changedAt+1, leaderID, "b", "c")
	node.waitFor("the replica to be removed", func() bool {
		node.manager.removeObsolete(node.status())
		_, known := node.host.Status(testGroup)
		return !known
	})
}
