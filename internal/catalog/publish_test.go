package catalog

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/transport"
)

// Ends of engines that a gateway publishes at one replica reach the gateways that follow another one.
func TestPublishedEntriesReachAllNodes(t *testing.T) {
	one := startReplica(t, true, nil, func() []transport.Peer { return nil })
	other := startReplica(t, true, nil, func() []transport.Peer { return peersAt(one.address) })
	publisher := startNode(t, false, func() []transport.Peer { return peersAt(one.address) })
	reader := startNode(t, false, func() []transport.Peer { return peersAt(other.address) })
	first := publisher.manager.EngineEnd("e1", 1)
	assert.NilError(t, publisher.manager.Publish(context.Background(), peersAt(one.address), []Entry{first}))
	assert.Equal(t, publisher.revision(first.Key), int64(1))
	eventually(t, "the end reaches the reader", func() bool { return reader.revision(first.Key) == 1 })
	assert.NilError(t, publisher.manager.Publish(context.Background(), peersAt(one.address), []Entry{publisher.manager.EngineEnd("e1", 2)}))
	eventually(t, "the next end reaches the reader", func() bool { return reader.revision(first.Key) == 2 })
}

// Interrupted runs that a gateway publishes, and their withdrawal, reach the gateways that have a run of the same content, or have left one, and others
// when they are about to begin one.
func TestPublishedRunsReachTheNodesThatRunTheContent(t *testing.T) {
	replica := startReplica(t, true, nil, func() []transport.Peer { return nil })
	replicas := peersAt(replica.address)
	follow := func() []transport.Peer { return replicas }
	publisher, runs, left, other := startNode(t, false, follow), startNode(t, false, follow), startNode(t, false, follow), startNode(t, false, follow)
	for _, gateway := range []*testNode{left, runs, publisher} {
		gateway.manager.Exchange(t.Context(), replicas, Evidence{Content: "key", Begun: "a"})
	}
	left.manager.Exchange(t.Context(), replicas, Evidence{Content: "key", Finished: "a"})
	published := FatalRequest("key/1", []byte(`{"e":"e1"}`))
	assert.NilError(t, publisher.manager.Publish(t.Context(), replicas, []Entry{published}))
	publisher.manager.Exchange(t.Context(), replicas, Evidence{Content: "key", Finished: "a", Entries: []Entry{published}})
	for _, gateway := range []*testNode{runs, left} {
		eventually(t, "the entry reaches the gateway", func() bool { return gateway.revision(published.Key) == 1 })
	}
	assert.Equal(t, other.revision(published.Key), int64(0))
	other.manager.Exchange(t.Context(), replicas, Evidence{Content: "key", Begun: "a"})
	assert.Equal(t, other.revision(published.Key), int64(1))

	assert.NilError(t, publisher.manager.Publish(t.Context(), replicas, []Entry{Withdrawn("key/1")}))
	for _, gateway := range []*testNode{runs, left} {
		eventually(t, "the withdrawal reaches the gateway", func() bool { return gateway.revision(published.Key) == withdrawnRevision })
	}
	other.manager.Exchange(t.Context(), replicas, Evidence{Content: "key", Begun: "b"})
	assert.Equal(t, other.revision(published.Key), int64(withdrawnRevision))
}

// One peer that takes the entries is enough.
func TestPublishSurvivesALostPeer(t *testing.T) {
	one := startReplica(t, true, nil, func() []transport.Peer { return nil })
	publisher := startNode(t, false, func() []transport.Peer { return peersAt(one.address) })
	entries := []Entry{FatalRequest("key/1", []byte("1"))}
	assert.NilError(t, publisher.manager.Publish(context.Background(), peersAt("127.0.0.1:1", one.address), entries))
	assert.Assert(t, publisher.manager.Publish(context.Background(), peersAt("127.0.0.1:1"), entries) != nil)
}

// Nodes that publish the same end of an engine at once publish the same entry; the next end is another one.
func TestEndsOfAnEngineHaveRisingRevisions(t *testing.T) {
	node := startNode(t, false, func() []transport.Peer { return nil })
	first := node.manager.EngineEnd("e1", 0)
	assert.DeepEqual(t, node.manager.EngineEnd("e1", 0), first)
	node.manager.Apply([]Entry{first})
	assert.Equal(t, node.manager.EngineEnd("e1", 0).Revision, first.Revision+1)
	assert.Equal(t, node.manager.EngineEnd("e2", 0).Revision, first.Revision)
}

// A node can't publish entries of the kinds that come from the store, nor large ones.
func TestOnlyEndsOfEnginesCanBePublished(t *testing.T) {
	replica := startReplica(t, true, nil, func() []transport.Peer { return nil })
	publisher := startNode(t, false, func() []transport.Peer { return nil })
	for _, rejected := range []Entry{
		entry(Key(ConfigurationKind, "current"), 1, "x"), entry(Key(EngineKind, "e"), 1, "x"), entry(FatalRequestKind+"/", 1, "x"),
		entry(Key(FatalRequestKind, "k"), 7, "x"), entry(Key(FatalRequestKind, "k"), withdrawnRevision, "x"), entry(Key(EngineEndKind, "e"), 1, ""),
		entry(Key(EngineEndKind, "e"), 0, "x"), FatalRequest("k", []byte(`"`+strings.Repeat("x", maxPublishedBytes)+`"`)), FatalRequest(strings.Repeat("k", maxPublishedBytes), []byte("1")),
	} {
		_, err := transport.Call[publishResponse](context.Background(), publisher.network, peersAt(replica.address)[0], publishKind, publishRequest{Entries: []Entry{rejected}})
		assert.Assert(t, err != nil, "%+v", rejected)
		assert.Equal(t, replica.revision(rejected.Key), int64(0), "%+v", rejected)
	}
}

// Published entries expire without a tombstone, and their number is bounded.
func TestPublishedEntriesExpire(t *testing.T) {
	state := NewState()
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for number := range maxPublished + 10 {
		state.Merge(now, FatalRequest(fmt.Sprint("k/", number), []byte("1")))
	}
	assert.Equal(t, len(state.entries), maxPublished)
	assert.Assert(t, state.Merge(now, entry(Key(EngineKind, "e"), 1, "x")))
	assert.Assert(t, state.Merge(now, Withdrawn("k/1")))
	state.Expire(now.Add(withdrawnTTL + time.Second))
	assert.Equal(t, len(state.entries), maxPublished)
	assert.Assert(t, state.Merge(now, FatalRequest("one/more", []byte("1"))), "withdrawn entries leave room for others")
	state.Expire(now.Add(publishedTTL + time.Second))
	assert.Equal(t, len(state.entries), 1)
	assert.Assert(t, state.Merge(now, FatalRequest("k/1", []byte("1"))))
}
