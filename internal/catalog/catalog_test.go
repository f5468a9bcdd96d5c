package catalog

import (
	"context"
	"encoding/json"
	"net"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
	"pgregory.net/rapid"

	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/transport"
)

func entry(key string, revision int64, value string) Entry {
	made := Entry{Key: key, Revision: revision}
	if value != "" {
		made.Value = json.RawMessage(strconv.Quote(value))
	}
	return made
}

// The newest version must win whatever the order and the number of merges.
func TestMergeIsCommutativeAndIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := NewState()
		newest := make(map[string]Entry)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			revision := rapid.Int64Range(1, 15).Draw(t, "revision")
			key := Key(EngineKind, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"))
			value := ""
			if revision%3 != 0 {
				value = strconv.FormatInt(revision, 10)
			}
			merged := entry(key, revision, value)
			state.Merge(time.Now(), merged)
			if revision > newest[key].Revision {
				newest[key] = merged
			}
		}
		for key, want := range newest {
			got, found := state.Get(key)
			assert.Equal(t, found, !want.Removed())
			if found {
				assert.Equal(t, got.Revision, want.Revision)
			}
		}
	})
}

// A value that an earlier build translated is replaced by that of a later one, but never the other way round, and a removed entry
// stays removed.
func TestMergeTakesTheValueOfTheLaterBuild(t *testing.T) {
	key := Key(EngineKind, "a")
	earlier, later := entry(key, 3, "earlier"), entry(key, 3, "later")
	later.Format = 1
	for _, order := range [][]Entry{{earlier, later}, {later, earlier}, {later, earlier, later}} {
		state := NewState()
		for _, merged := range order {
			state.Merge(time.Now(), merged)
		}
		latest, _ := state.Get(key)
		assert.Equal(t, string(latest.Value), `"later"`)
		assert.Assert(t, state.Merge(time.Now(), entry(key, 4, "changed")))
	}
	state := NewState()
	state.Merge(time.Now(), entry(key, 3, ""))
	assert.Assert(t, !state.Merge(time.Now(), later))
}

func TestRemoveMissing(t *testing.T) {
	state := NewState()
	now := time.Now()
	state.Merge(now, entry("engine/a", 3, "a"))
	state.Merge(now, entry("engine/b", 9, "newer than the listing"))
	state.Merge(now, entry("configuration/current", 2, "c"))
	removed := state.RemoveMissing(now, EngineKind, map[string]bool{}, 7)
	assert.Equal(t, len(removed), 1)
	_, found := state.Get("engine/a")
	assert.Assert(t, !found)
	_, found = state.Get("engine/b")
	assert.Assert(t, found, "a listing that is older than the entry must not remove it")
	_, found = state.Get("configuration/current")
	assert.Assert(t, found)
	assert.Assert(t, !state.Merge(now, entry("engine/a", 5, "old")), "an old version must not replace a tombstone")
	state.Expire(now.Add(2 * tombstoneTTL))
	left, _ := state.Since(0, 100)
	assert.Equal(t, len(left), 2)
}

// Paging through changes must yield the newest version of each entry, even if entries change between pages.
func TestSincePaging(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state, follower := NewState(), NewState()
		now := time.Now()
		var after uint64
		revision := int64(0)
		page := func() bool {
			limit := rapid.IntRange(1, 5).Draw(t, "limit")
			entries, reached := state.Since(after, limit)
			if len(entries) > limit {
				t.Fatalf("%d entries in a page of %d", len(entries), limit)
			}
			for _, changed := range entries {
				follower.Merge(now, changed)
			}
			more := reached < state.Sequence()
			after = reached
			return more
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			for range rapid.IntRange(0, 20).Draw(t, "changes") {
				revision++
				state.Merge(now, entry(Key(EngineKind, strconv.Itoa(rapid.IntRange(0, 9).Draw(t, "engine"))), revision, "value"))
			}
			page()
		}
		for page() {
		}
		for key, stored := range state.entries {
			got, found := follower.Get(key)
			if !found || got.Revision != stored.entry.Revision {
				t.Fatalf("%s is at revision %d instead of %d", key, got.Revision, stored.entry.Revision)
			}
		}
		if len(state.changes) > 2*len(state.entries)+maxStaleChanges {
			t.Fatalf("%d changes are kept for %d entries", len(state.changes), len(state.entries))
		}
	})
}

// fakeSource is a Source whose changes are made by the test.
type fakeSource struct {
	mutex        sync.Mutex
	sink         Sink
	starts       int
	running      bool
	disconnected bool
}

// disconnect stops all reports to the sink, as a network partition does.
func (s *fakeSource) disconnect() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.disconnected = true
}

func (s *fakeSource) connected() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return !s.disconnected
}

func (s *fakeSource) Run(ctx context.Context, sink Sink) {
	s.mutex.Lock()
	s.sink = sink
	s.running = true
	s.starts++
	s.mutex.Unlock()
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for {
		if s.connected() {
			sink.Synced()
		}
		select {
		case <-ctx.Done():
			s.mutex.Lock()
			s.running = false
			s.mutex.Unlock()
			return
		case <-ticker.C:
		}
	}
}

func (s *fakeSource) active() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.running
}

// startCount returns how often the source was started.
func (s *fakeSource) startCount() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.starts
}

func (s *fakeSource) change(entries ...Entry) {
	s.mutex.Lock()
	sink := s.sink
	s.mutex.Unlock()
	sink.Apply(entries)
}

type testNode struct {
	manager *Manager
	network *transport.Transport
	address string
	source  *fakeSource
	stop    context.CancelFunc

	mutex sync.Mutex
	// revisions are the last revisions passed to OnChange, by key.
	revisions map[string]int64
}

func (n *testNode) onChange(changed Entry) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.revisions[changed.Key] = changed.Revision
}

func (n *testNode) revision(key string) int64 {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.revisions[key]
}

// peersAt returns peers of which only the addresses are known.
func peersAt(addresses ...string) []transport.Peer {
	var peers []transport.Peer
	for _, address := range addresses {
		peers = append(peers, transport.Peer{Address: address})
	}
	return peers
}

func startNode(t *testing.T, followAll bool, peers func() []transport.Peer) *testNode {
	t.Helper()
	return startReplica(t, followAll, func() bool { return followAll }, peers)
}

func startReplica(t *testing.T, followAll bool, readsStore func() bool, peers func() []transport.Peer) *testNode {
	t.Helper()
	return startNodeWith(t, func(options *Options) {
		options.Peers = peers
		options.FollowAll = followAll
		options.ReadsStore = readsStore
	})
}

// startNodeWith starts a node with options that the test can change.
func startNodeWith(t *testing.T, configure func(*Options)) *testNode {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	node := &testNode{address: listener.Addr().String(), source: &fakeSource{}, revisions: make(map[string]int64)}
	node.network = transport.New(transport.Options{Cluster: "test", NodeID: node.address, Address: node.address, Logger: events.Discard()})
	options := Options{
		Self: Endpoint{Address: node.address}, Source: node.source, StaleAfter: time.Second, OnChange: node.onChange,
	}
	configure(&options)
	node.manager = NewManager(options, node.network, events.Discard())
	ctx, stop := context.WithCancel(context.Background())
	node.stop = stop
	go func() { _ = node.network.Serve(listener) }()
	go node.manager.Run(ctx)
	t.Cleanup(func() {
		stop()
		node.network.Close()
	})
	return node
}

func eventually(t testing.TB, condition string, check func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if check() {
			return poll.Success()
		}
		return poll.Continue("%s", condition)
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))
}

// A follower gets changes from the first fresh peer, and reads the store only after all peers are lost.
func TestFollowerReadsStoreOnlyWithoutPeers(t *testing.T) {
	none := func() []transport.Peer { return nil }
	first := startNode(t, true, none)
	second := startNode(t, true, func() []transport.Peer { return peersAt(first.address) })
	follower := startNode(t, false, func() []transport.Peer { return peersAt(first.address, second.address) })
	eventually(t, "both sources run", func() bool { return first.source.active() && second.source.active() })
	first.source.change(entry("configuration/current", 5, "five"))
	eventually(t, "the change arrives", func() bool { return follower.revision("configuration/current") == 5 })
	eventually(t, "the peer is fresh", func() bool { return !follower.source.active() && follower.manager.Age() < time.Second })

	first.stop()
	first.network.Close()
	second.source.change(entry("configuration/current", 6, "six"))
	eventually(t, "the other peer is followed", func() bool { return follower.revision("configuration/current") == 6 })

	second.stop()
	second.network.Close()
	eventually(t, "the store is read", follower.source.active)
	follower.source.change(entry("configuration/current", 7, "seven"))
	eventually(t, "its change arrives", func() bool { return follower.revision("configuration/current") == 7 })
	follower.source.change(entry("configuration/current", 4, "four"))
	assert.Equal(t, follower.revision("configuration/current"), int64(7))
}

func TestChangesPassThroughFollower(t *testing.T) {
	none := func() []transport.Peer { return nil }
	reader := startNode(t, true, none)
	eventually(t, "its source runs", reader.source.active)
	relay := startNode(t, true, func() []transport.Peer { return peersAt(reader.address) })
	follower := startNode(t, false, func() []transport.Peer { return peersAt(relay.address) })
	reader.source.change(entry("engine/e1", 9, "here"))
	eventually(t, "the change passes through the relay", func() bool { return follower.revision("engine/e1") == 9 })
	reader.source.change(entry("engine/e1", 11, ""))
	eventually(t, "the removal passes through the relay", func() bool {
		_, found := follower.manager.Get("engine/e1")
		return !found
	})
}

// A replica that need not read the store does so only after all readers are lost.
func TestReplicaReadsStoreOnlyWithoutReaders(t *testing.T) {
	none := func() []transport.Peer { return nil }
	var addresses []string
	var readers []*testNode
	for range 3 {
		reader := startNode(t, true, none)
		readers = append(readers, reader)
		addresses = append(addresses, reader.address)
	}
	replica := startReplica(t, true, func() bool { return false }, func() []transport.Peer { return peersAt(addresses...) })
	eventually(t, "the sources run", func() bool {
		return readers[0].source.active() && readers[1].source.active() && readers[2].source.active()
	})
	readers[1].source.change(entry("configuration/current", 3, "three"))
	eventually(t, "the change arrives", func() bool { return replica.revision("configuration/current") == 3 })
	eventually(t, "the replica stops reading the store", func() bool { return !replica.source.active() })
	for _, reader := range readers {
		reader.stop()
		reader.network.Close()
	}
	eventually(t, "the replica reads the store itself", replica.source.active)
}
