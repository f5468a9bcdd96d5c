package control

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mountstile/mountstile/internal/configuration"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/membership"
	"github.com/mountstile/mountstile/internal/owner"
	"github.com/mountstile/mountstile/internal/resource"
	"github.com/mountstile/mountstile/internal/transport"
)

const testTimeout = 60 * time.Second

// member is a node that runs only transport and membership.
type member struct {
	network *transport.Transport
	members *membership.Manager
	address string
}

// startMember starts a node, which ends with the test. It calls register before the node serves, to add its message handlers.
func startMember(t *testing.T, id string, register func(*member), seeds ...string) *member {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	started := &member{address: listener.Addr().String()}
	started.network = transport.New(transport.Options{Cluster: "c", NodeID: id, Address: started.address, Logger: events.Discard()})
	self := membership.Member{ID: id, ReplicaID: id, Address: started.address, Status: membership.Alive, StartedAt: 1}
	started.members = membership.NewManager(self, seeds, membership.DefaultOptions(), started.network, events.Discard())
	register(started)
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		started.network.Close()
		tasks.Wait()
	})
	tasks.Go(func() { _ = started.network.Serve(listener) })
	tasks.Go(func() { started.members.Run(ctx) })
	return started
}

// TestReserveSkipsOwnerWithoutConfiguration checks that the next node in rank reserves a slot if the owner is a member that has no
// configuration yet and so doesn't know the engine. Otherwise the call would fail.
func TestReserveSkipsOwnerWithoutConfiguration(t *testing.T) {
	second := startMember(t, "second", func(node *member) {
		transport.Handle(node.network, "reserve", func(context.Context, transport.Peer, owner.ReserveRequest) (owner.ReserveResponse, error) {
			return owner.ReserveResponse{Granted: true}, nil
		})
	})
	plane := &Plane{}
	first := startMember(t, "first", func(node *member) {
		config, err := configuration.NewManager(configuration.Options{Membership: node.members, Transport: node.network, Logger: events.Discard()})
		assert.NilError(t, err)
		plane.Membership, plane.Transport, plane.Config = node.members, node.network, config
		plane.options.Self = node.members.View().Self
		plane.Owner = owner.New(node.network, node.members, config, events.Discard())
	}, second.address)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(first.members.View().Eligible()) == 2 {
			return poll.Success()
		}
		return poll.Continue("waiting for both members")
	}, poll.WithTimeout(testTimeout))
	var engine resource.Engine
	for number := 0; engine.Name == "" || plane.EngineOwners(engine)[0].ID != "first"; number++ {
		engine.Name = fmt.Sprintf("m%d", number)
	}
	response, err := plane.Reserve(t.Context(), engine, owner.ReserveRequest{Engine: engine.Name, CallID: "call", CallMillis: 1000})
	assert.NilError(t, err)
	assert.Assert(t, response.Granted)
}
