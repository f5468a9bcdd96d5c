package catalog

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/transport"
)

// receivedBytes returns the number of bytes received in messages of a kind.
func (n *testNode) receivedBytes(kind string) int64 {
	return n.network.Traffic().ByKind()[kind].ReceivedBytes
}

// A large value must be transferred only once, however many peers announce it.
func TestLargeValueIsFetchedOnce(t *testing.T) {
	none := func() []transport.Peer { return nil }
	first := startNode(t, true, none)
	second := startNode(t, true, func() []transport.Peer { return peersAt(first.address) })
	third := startNode(t, true, func() []transport.Peer { return peersAt(first.address) })
	follower := startNodeWith(t, func(options *Options) {
		options.Peers = func() []transport.Peer { return peersAt(first.address, second.address, third.address) }
		options.MinFreshPeers = func() int { return 3 }
	})
	eventually(t, "all three are followed", func() bool {
		return first.source.active() && follower.follows(first.address) && follower.follows(second.address) && follower.follows(third.address)
	})
	const versions, size = 5, 100 << 10
	for version := range versions {
		revision := int64(version + 1)
		first.source.change(entry("configuration/current", revision, fmt.Sprint(version)+strings.Repeat("r", size)))
		eventually(t, "the version arrives", func() bool { return follower.revision("configuration/current") == revision })
	}
	got := follower.receivedBytes(followKind) + follower.receivedBytes(fetchKind)
	assert.Assert(t, got < (versions+1)*size, "received %d bytes for %d versions of %d bytes", got, versions, size)
	stored, found := follower.manager.Get("configuration/current")
	assert.Assert(t, found && len(stored.Value) > size)
	first.source.change(entry("configuration/current", versions+1, ""))
	eventually(t, "the removal arrives", func() bool {
		_, found := follower.manager.Get("configuration/current")
		return !found
	})
}

// While an announced value can't be fetched, the follower must not record the peer's position and sync time: it
// would skip the value and appear fresh.
func TestFailedFetchIsRetried(t *testing.T) {
	none := func() []transport.Peer { return nil }
	peer := startNode(t, true, none)
	for range maxConcurrentFetches {
		peer.manager.fetchSlots <- struct{}{}
	}
	eventually(t, "the peer's source runs", peer.source.active)
	peer.source.change(entry("configuration/current", 5, strings.Repeat("r", 2*largeValueBytes)))
	follower := startNode(t, false, func() []transport.Peer { return peersAt(peer.address) })
	eventually(t, "the follower reads the store because it is not fresh", follower.source.active)
	assert.Equal(t, follower.revision("configuration/current"), int64(0))
	for range maxConcurrentFetches {
		<-peer.manager.fetchSlots
	}
	eventually(t, "the value arrives", func() bool { return follower.revision("configuration/current") == 5 })
}

// A peer that announces a large value and then does not serve it, since it was paused or is gone, does not delay it beyond the bound.
func TestLargeValueIsFetchedFromAnotherPeer(t *testing.T) {
	none := func() []transport.Peer { return nil }
	first := startNode(t, true, none)
	second := startNode(t, true, func() []transport.Peer { return peersAt(first.address) })
	eventually(t, "the second peer follows", func() bool { return first.source.active() && second.follows(first.address) })
	const key = "configuration/current"
	follower := startNodeWith(t, func(options *Options) {
		options.Peers = func() []transport.Peer { return peersAt(first.address, second.address) }
		options.MinFreshPeers = func() int { return 2 }
	})
	eventually(t, "both are followed", func() bool { return follower.follows(first.address) && follower.follows(second.address) })
	first.source.change(entry(key, 1, strings.Repeat("r", 2*largeValueBytes)))
	eventually(t, "the version arrives", func() bool { return follower.revision(key) == 1 && second.revision(key) == 1 })

	// The follower has begun to fetch the value from a peer that does not respond when the other one announces it.
	wanted := announcement{Key: key, Revision: 2}
	silent := startNode(t, false, none)
	for range maxConcurrentFetches {
		silent.manager.fetchSlots <- struct{}{}
	}
	go func() {
		_ = follower.manager.fetchAnnounced(t.Context(), peersAt(silent.address)[0], []announcement{wanted})
	}()
	eventually(t, "the fetch is in progress", func() bool { return silent.receivedBytes(fetchKind) > 0 })
	changedAt := time.Now()
	first.source.change(entry(key, 2, strings.Repeat("s", 2*largeValueBytes)))
	eventually(t, "the next version arrives", func() bool { return follower.revision(key) == 2 })
	took := time.Since(changedAt)
	assert.Assert(t, took < defaultPropagationBound/2, "%v", took)
}
