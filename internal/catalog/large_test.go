package catalog

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func (n *testNode) received(kind string) int64 {
	return n.network.Traffic().ByKind()[kind].ReceivedBytes
}

// A large value crosses the network once, however many peers announce it.
func TestLargeValueIsFetchedOnce(t *testing.T) {
	none := func() []string { return nil }
	first := startNode(t, true, none)
	second := startNode(t, true, func() []string { return []string{first.address} })
	third := startNode(t, true, func() []string { return []string{first.address} })
	follower := startNodeWith(t, func(options *Options) {
		options.Peers = func() []string { return []string{first.address, second.address, third.address} }
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
	got := follower.received(followKind) + follower.received(fetchKind)
	assert.Assert(t, got < (versions+1)*size, "%d bytes for %d versions of %d", got, versions, size)
	held, found := follower.manager.Get("configuration/current")
	assert.Assert(t, found && len(held.Value) > size)
	first.source.change(entry("configuration/current", versions+1, ""))
	eventually(t, "a removal needs no fetch", func() bool {
		_, found := follower.manager.Get("configuration/current")
		return !found
	})
}

// While a large value can't be fetched, the peer's position and contact don't count: the follower would take itself
// for fresh without it.
func TestAnnouncedValueThatDoesNotComeIsAskedForAgain(t *testing.T) {
	none := func() []string { return nil }
	peer := startNode(t, true, none)
	for range fetchesServed {
		peer.manager.fetchPlaces <- struct{}{}
	}
	eventually(t, "its source runs", peer.source.active)
	peer.source.change(entry("configuration/current", 5, strings.Repeat("r", 2*largeBytes)))
	follower := startNode(t, false, func() []string { return []string{peer.address} })
	eventually(t, "the follower knows that it is not fresh", follower.source.active)
	assert.Equal(t, follower.revision("configuration/current"), int64(0))
	for range fetchesServed {
		<-peer.manager.fetchPlaces
	}
	eventually(t, "the value arrives", func() bool { return follower.revision("configuration/current") == 5 })
}
