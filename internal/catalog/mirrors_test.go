package catalog

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/transport"
)

func (n *testNode) follows(address string) bool {
	n.manager.mutex.Lock()
	defer n.manager.mutex.Unlock()
	return n.manager.followers[address] != nil
}

// Gateways follow a mirror in their zone instead of the reader of the store, and the reader again after the mirror is
// lost.
func TestFollowersAreReferredToMirror(t *testing.T) {
	none := func() []transport.Peer { return nil }
	reader := startNode(t, true, none)
	readers := func() []transport.Peer { return peersAt(reader.address) }
	mirror := startNodeWith(t, func(options *Options) {
		options.FollowAll = true
		options.Peers = readers
		options.Self.Zone = "near"
		options.IsMirror = func() bool { return true }
	})
	gateway := startNodeWith(t, func(options *Options) {
		options.Peers = readers
		options.Self.Zone = "near"
	})
	distant := startNodeWith(t, func(options *Options) {
		options.Peers = readers
		options.Self.Zone = "far"
	})
	eventually(t, "the gateway follows only the mirror", func() bool {
		return reader.source.active() && gateway.follows(mirror.address) && !gateway.follows(reader.address)
	})
	reader.source.change(entry("configuration/current", 5, "five"))
	eventually(t, "the change arrives through the mirror", func() bool { return gateway.revision("configuration/current") == 5 })
	assert.Assert(t, !distant.follows(mirror.address), "a gateway in another zone follows the mirror")

	mirror.stop()
	mirror.network.Close()
	reader.source.change(entry("configuration/current", 6, "six"))
	eventually(t, "the reader is followed again", func() bool { return gateway.revision("configuration/current") == 6 })
	eventually(t, "the referral expires", func() bool { return !gateway.follows(mirror.address) })
}

// Followers are spread over the mirrors in their zone, and only those of a lost mirror are reassigned.
func TestMirrorAssignment(t *testing.T) {
	now := time.Now()
	known := newMirrors()
	const mirrorCount, followerCount = 4, 200
	for index := range mirrorCount {
		known.markSeen(now, Endpoint{Address: fmt.Sprint("mirror-", index), Zone: "near"}, "")
	}
	known.markSeen(now, Endpoint{Address: "other", Zone: "far"}, "")
	chosen := make(map[string]transport.Peer)
	counts := make(map[transport.Peer]int)
	for index := range followerCount {
		follower := fmt.Sprint("gateway-", index)
		mirrors := known.choose(now, "near", follower, 1)
		assert.Equal(t, len(mirrors), 1)
		chosen[follower] = mirrors[0]
		counts[mirrors[0]]++
	}
	assert.Equal(t, len(counts), mirrorCount)
	for mirror, count := range counts {
		assert.Assert(t, count > followerCount/mirrorCount/2, "%s has %d followers", mirror, count)
	}
	later := now.Add(mirrorTTL + time.Second)
	for index := range mirrorCount - 1 {
		known.markSeen(later, Endpoint{Address: fmt.Sprint("mirror-", index), Zone: "near"}, "")
	}
	for follower, before := range chosen {
		mirrors := known.choose(later, "near", follower, 2)
		assert.Equal(t, len(mirrors), 2)
		if before.Address != fmt.Sprint("mirror-", mirrorCount-1) {
			assert.Equal(t, mirrors[0], before)
		}
	}
	assert.Equal(t, len(known.choose(later, "far", "gateway-1", 1)), 0, "an expired mirror was chosen")
}

func TestReferralsExpire(t *testing.T) {
	now := time.Now()
	var received referrals
	received.update(now, nil, 2)
	assert.Equal(t, len(received.valid(now)), 0)
	received.update(now, peersAt("first"), 2)
	received.update(now.Add(time.Second), peersAt("second", "third"), 2)
	assert.DeepEqual(t, received.valid(now.Add(time.Second)), peersAt("first", "second"))
	later := now.Add(time.Second + referralTTL)
	assert.DeepEqual(t, received.valid(later), peersAt("second"))
	received.update(later, peersAt("third"), 2)
	assert.DeepEqual(t, received.valid(later), peersAt("second", "third"))
}

// While a peer sends a long listing page by page, its followers must neither request it from other peers nor read
// the store.
func TestTransferringPeerCountsAsFresh(t *testing.T) {
	manager := &Manager{followers: make(map[string]*follower), options: Options{StaleAfter: time.Second}}
	peers := peersAt("a", "b", "c")
	now := time.Now()
	manager.lastFreshAt = now.Add(-time.Minute)
	manager.followers["a"] = &follower{lastPageAt: now.Add(-maxPageGap / 2)}
	manager.updateFollowCount(now, peers)
	assert.Equal(t, manager.followCount, 1)
	manager.updateFollowCount(now.Add(maxPageGap+time.Millisecond), peers)
	assert.Equal(t, manager.followCount, len(peers)+1, "the transfer has stalled")
}

// Enough peers are followed to have the required number of fresh ones, or all while there are fewer. A count above the
// number of peers means that the store is read.
func TestFollowCount(t *testing.T) {
	manager := &Manager{followers: make(map[string]*follower), options: Options{StaleAfter: time.Second, MinFreshPeers: func() int { return 2 }}}
	peers := peersAt("a", "b", "c", "d")
	now := time.Now()
	manager.lastFreshAt = now.Add(startupDelay)
	manager.updateFollowCount(now, peers)
	assert.Equal(t, manager.followCount, 2)
	manager.followers["a"] = &follower{syncedAt: now}
	manager.followers["b"] = &follower{syncedAt: now.Add(-2 * time.Second)}
	manager.updateFollowCount(now, peers)
	assert.Equal(t, manager.followCount, 4, "one fresh peer is not enough")
	manager.followers["c"] = &follower{syncedAt: now}
	manager.updateFollowCount(now, peers)
	assert.Equal(t, manager.followCount, 3)
	manager.updateFollowCount(now.Add(950*time.Millisecond), peers)
	now = now.Add(1010 * time.Millisecond)
	manager.updateFollowCount(now, peers)
	assert.Equal(t, manager.followCount, 4, "no peer is fresh")
	manager.updateFollowCount(now.Add(2*sourceDelay), peers)
	assert.Equal(t, manager.followCount, 5, "the store is read")
}

// A node without a fresh peer reads the store right after the startup delay, since it can't serve until then.
func TestStoreIsReadAfterStartupDelay(t *testing.T) {
	manager := &Manager{followers: make(map[string]*follower), options: Options{StaleAfter: time.Second, MinFreshPeers: func() int { return 2 }}}
	peers := peersAt("a", "b", "c")
	now := time.Now()
	manager.lastFreshAt = now.Add(startupDelay)
	manager.sourceJitter = sourceDelay
	manager.updateFollowCount(now, peers)
	assert.Equal(t, manager.followCount, 2)
	manager.updateFollowCount(now.Add(startupDelay+time.Millisecond), peers)
	assert.Equal(t, manager.followCount, 4)
}

// At the first start of the system, a node waits for a replica instead of reading the store; later it does not wait.
func TestFirstStartWaitsForReplicas(t *testing.T) {
	var reachable atomic.Bool
	replica := startNode(t, true, func() []transport.Peer { return nil })
	start := func(first bool) *testNode {
		return startNodeWith(t, func(options *Options) {
			options.FirstStart = first
			options.Peers = func() []transport.Peer {
				if reachable.Load() {
					return peersAt(replica.address)
				}
				return nil
			}
		})
	}
	first, later := start(true), start(false)
	eventually(t, "the later node reads the store", later.source.active)
	reachable.Store(true)
	eventually(t, "both follow the replica", func() bool {
		return !later.source.active() && first.manager.Age() < time.Second && later.manager.Age() < time.Second
	})
	assert.Equal(t, first.source.startCount(), 0)
	assert.Equal(t, later.source.startCount(), 1)
}

// Followers of a replica that has lost the store without having noticed must still receive changes.
func TestChangeArrivesDespitePartitionedReplica(t *testing.T) {
	none := func() []transport.Peer { return nil }
	partitioned := startNode(t, true, none)
	reader := startNode(t, true, none)
	follower := startNodeWith(t, func(options *Options) {
		options.Peers = func() []transport.Peer { return peersAt(partitioned.address, reader.address) }
		options.MinFreshPeers = func() int { return 2 }
	})
	eventually(t, "both are followed", func() bool {
		return reader.source.active() && follower.follows(partitioned.address) && follower.follows(reader.address)
	})
	reader.source.change(entry("configuration/current", 5, "five"))
	// The partitioned peer stays fresh in this test: a node that follows only this peer would never receive the
	// change, since it would neither follow the other peer nor read the store.
	eventually(t, "the change arrives", func() bool { return follower.revision("configuration/current") == 5 })
	assert.Assert(t, !follower.source.active(), "the follower reads the store")
}

// If all peers silently lose the store, their followers must read it themselves soon after the catalog is stale.
func TestStoreIsReadSoonAfterPeersBecomeStale(t *testing.T) {
	none := func() []transport.Peer { return nil }
	peer := startNode(t, true, none)
	follower := startNode(t, false, func() []transport.Peer { return peersAt(peer.address) })
	eventually(t, "the peer is fresh", func() bool { return !follower.source.active() && follower.manager.Age() < time.Second })
	peer.source.disconnect()
	lostAt := time.Now()
	eventually(t, "the follower reads the store", follower.source.active)
	limit := time.Second + 2*sourceDelay + 8*reconcileInterval
	assert.Assert(t, time.Since(lostAt) < limit, "it took %s", time.Since(lostAt))
}

// fakePeer records the follow requests that it receives.
type fakePeer struct{ requests chan followRequest }

type errPeerBusy struct{}

// Error implements error.
func (errPeerBusy) Error() string { return "busy" }

// After a failed request, following must resume at the last position instead of transferring everything again.
func TestFollowResumesAfterFailure(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	peer := fakePeer{requests: make(chan followRequest, 100)}
	network := transport.New(transport.Options{Cluster: "test", NodeID: "peer", Address: listener.Addr().String(), Logger: events.Discard()})
	t.Cleanup(network.Close)
	count := 0
	transport.Handle(network, followKind, func(_ context.Context, _ transport.Peer, request followRequest) (followResponse, error) {
		count++
		peer.requests <- request
		if count > 1 {
			return followResponse{}, errPeerBusy{}
		}
		return followResponse{Identity: 7, Sequence: 30, Entries: []Entry{entry("engine/e", 3, "here")}}, nil
	})
	go func() { _ = network.Serve(listener) }()
	startNode(t, false, func() []transport.Peer { return peersAt(listener.Addr().String()) })
	assert.Equal(t, (<-peer.requests).After, uint64(0))
	for range 3 {
		request := <-peer.requests
		assert.Equal(t, request.After, uint64(30))
		assert.Equal(t, request.Identity, uint64(7))
	}
}

// OnOutageEnd is called after an outage of the store, but not after gaps shorter than StaleAfter.
func TestOnOutageEnd(t *testing.T) {
	var outages []time.Time
	manager := &Manager{synced: make(chan struct{}), options: Options{
		StaleAfter: time.Second, OnOutageEnd: func(since time.Time) { outages = append(outages, since) },
	}}
	now := time.Now()
	manager.recordSync(now)
	manager.recordSync(now.Add(900 * time.Millisecond))
	assert.Equal(t, len(outages), 0)
	manager.recordSync(now.Add(4 * time.Second))
	assert.DeepEqual(t, outages, []time.Time{now.Add(900 * time.Millisecond)})
}

// A gap in the contact with the store ends the time for which all entries were seen.
func TestInSyncSinceTheLastGap(t *testing.T) {
	manager := &Manager{options: Options{StaleAfter: time.Minute}, synced: make(chan struct{})}
	assert.Assert(t, manager.InSyncSince().IsZero())
	now := time.Now()
	for _, age := range []time.Duration{10 * time.Minute, 8 * time.Minute, 7*time.Minute + 30*time.Second} {
		manager.recordSync(now.Add(-age))
	}
	assert.Assert(t, manager.InSyncSince().IsZero(), "out of sync")
	for _, age := range []time.Duration{40 * time.Second, 20 * time.Second} {
		manager.recordSync(now.Add(-age))
	}
	assert.Assert(t, manager.InSyncSince().Equal(now.Add(-40*time.Second)))
}

// A gap too short to hide an entry for long leaves the history complete, though the catalog was stale meanwhile.
func TestInSyncSinceIgnoresShortGaps(t *testing.T) {
	manager := &Manager{options: Options{StaleAfter: time.Second}, synced: make(chan struct{})}
	now := time.Now()
	for _, age := range []time.Duration{20 * time.Second, 12 * time.Second, 8 * time.Second, 4 * time.Second} {
		manager.recordSync(now.Add(-age))
	}
	assert.Assert(t, manager.InSyncSince().IsZero(), "out of sync")
	manager.recordSync(now)
	assert.Assert(t, manager.InSyncSince().Equal(now.Add(-12*time.Second)))
}
