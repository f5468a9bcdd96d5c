package turnstore

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/conversation"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/transport"
)

// A client that loses all replicas notices it after a few opens, then rejects opens quickly, and detects by itself when
// the replicas are back.
func TestClientDetectsLostReplicas(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3)
	client := c.newClient()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go client.ProbeLostShards(ctx)
	assert.NilError(t, c.reserve(client, "one", 100, 1))
	assert.Assert(t, client.Reachable() && client.ShardHealthy(OpenParams{}))
	for _, m := range c.machines {
		c.links.set(m.address, true)
	}
	assert.Assert(t, apierr.Is(c.reserve(client, "first", 100, 1), apierr.TurnsUnavailable))
	assert.Assert(t, !client.ShardHealthy(OpenParams{}), "one failed open must make the shard unhealthy")
	eventually(t, "the client detects the loss", func() bool {
		return apierr.Is(c.reserve(client, "two", 100, 1), apierr.TurnsUnavailable) && !client.Reachable()
	})
	startedAt := time.Now()
	assert.Assert(t, apierr.Is(c.reserve(client, "three", 100, 1), apierr.TurnsUnavailable))
	assert.Assert(t, time.Since(startedAt) < openTimeout/2)
	for _, m := range c.machines {
		c.links.set(m.address, false)
	}
	eventually(t, "the client detects the recovery", client.Reachable)
	assert.NilError(t, c.reserve(client, "four", 100, 1))
	assert.Assert(t, client.ShardHealthy(OpenParams{}))
}

// A gateway that is cut off from all replicas continues through another gateway and stays ready.
func TestClientRelaysAroundPartition(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	relay := transport.New(transport.Options{
		Cluster: "test", NodeID: "relay", Address: listener.Addr().String(), Relays: true, Logger: events.Discard(), Dial: c.links.dialFrom("relay"),
	})
	t.Cleanup(relay.Close)
	go func() { _ = relay.Serve(listener) }()
	neighbor := NewClient(ClientOptions{CacheBytes: 1 << 20}, relay, events.Discard())
	c.store.listen(neighbor.ApplySet)
	eventually(t, "the relay reaches the replicas", func() bool { return neighbor.Ready(t.Context()) })

	const self = "the gateway that is cut off"
	cutDial := c.links.dialFrom(self)
	network := transport.New(transport.Options{Cluster: "test", NodeID: self, Logger: events.Discard(), Dial: func(ctx context.Context, address string) (net.Conn, error) {
		if address == listener.Addr().String() {
			return (&net.Dialer{}).DialContext(ctx, "tcp", address)
		}
		return cutDial(ctx, address)
	}})
	t.Cleanup(network.Close)
	client := NewClient(ClientOptions{CacheBytes: 1 << 20}, network, events.Discard())
	c.store.listen(client.ApplySet)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go network.RefreshRelays(ctx, func() []transport.Peer {
		return []transport.Peer{{Address: c.machines[0].address}, {Address: c.machines[1].address}}
	})
	eventually(t, "turns can be opened before the partition", func() bool { return c.reserve(client, "before", 1000, 1) == nil })
	eventually(t, "the relay is known", func() bool { return network.Relays() == 1 })

	c.links.set(self, true)
	for turn := range 5 {
		assert.NilError(t, c.reserve(client, fmt.Sprint(turn), 1000, 1))
	}
	assert.Assert(t, client.Reachable())
	assert.NilError(t, client.Put(ctx, "program", []conversation.Record{{Turn: &conversation.Turn{ID: "a", Program: "program", Text: []byte("a;"), RetentionMillis: 60_000}}}))
	opened, err := c.readAs("program", "a")
	assert.NilError(t, err)
	assert.Equal(t, string(opened.Prefix), "a;")
}

// An open before any replica set is known fails within its timeout.
func TestOpenFailsWithoutReplicaSet(t *testing.T) {
	t.Parallel()
	network := transport.New(transport.Options{Cluster: "test", NodeID: "client", Logger: events.Discard()})
	t.Cleanup(network.Close)
	client := NewClient(ClientOptions{}, network, events.Discard())
	startedAt := time.Now()
	_, err := client.Open(t.Context(), OpenParams{Turn: "a", Program: "program", Budget: 10, Most: 1})
	assert.Assert(t, apierr.Is(err, apierr.TurnsUnavailable), "%v", err)
	assert.Equal(t, apierr.From(err, apierr.OutcomeUnknown).Outcome, apierr.NotRun)
	took := time.Since(startedAt)
	assert.Assert(t, took >= openTimeout && took < 2*openTimeout, "failed after %s", took)
}
