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

// Entries that a gateway publishes at one replica reach the gateways that follow another one.
func TestPublishedEntriesReachAllNodes(t *testing.T) {
	one := startReplica(t, true, nil, func() []transport.Peer { return nil })
	other := startReplica(t, true, nil, func() []transport.Peer { return peersAt(one.address) })
	publisher := startNode(t, false, func() []transport.Peer { return peersAt(one.address) })
	reader := startNode(t, false, func() []transport.Peer { return peersAt(other.address) })
	published := FatalRequest("key/1", []byte(`{"e":"e1"}`))
	assert.NilError(t, publisher.manager.Publish(context.Background(), peersAt(one.address), []Entry{published}))
	assert.Equal(t, publisher.revision(published.Key), int64(1))
	eventually(t, "the entry reaches the reader", func() bool { return reader.revision(published.Key) == 1 })
	assert.NilError(t, publisher.manager.Publish(context.Background(), peersAt(one.address), []Entry{Withdrawn("key/1")}))
	eventually(t, "the withdrawal reaches the reader", func() bool {
		_, found := reader.manager.Get(published.Key)
		return !found
	})
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
