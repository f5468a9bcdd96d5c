package configuration_test

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/configstore/etcdgateway"
	"github.com/mountstile/mountstile/internal/configuration"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/membership"
	"github.com/mountstile/mountstile/internal/policy"
	"github.com/mountstile/mountstile/internal/resource"
	"github.com/mountstile/mountstile/internal/standin/storeserver"
	"github.com/mountstile/mountstile/internal/transport"
)

const pollTimeout = 30 * time.Second

// testCluster is a store and the nodes that use it.
type testCluster struct {
	t     *testing.T
	store *storeserver.Server
	url   string
	seeds []string
}

func newTestCluster(t *testing.T) *testCluster {
	t.Helper()
	t.Parallel()
	store := storeserver.New()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	return &testCluster{t: t, store: store, url: server.URL}
}

// node starts a Manager in a zone; folder is its data folder, or empty.
func (c *testCluster) node(name, zone, folder string) *configuration.Manager {
	c.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(c.t, err)
	address := listener.Addr().String()
	network := transport.New(transport.Options{Cluster: "c", NodeID: name, Address: address, Logger: events.Discard()})
	self := membership.Member{ID: name, ReplicaID: name, Address: address, Zone: zone, Region: "r"}
	members := membership.NewManager(self, c.seeds, membership.DefaultOptions(), network, events.Discard())
	manager, err := configuration.NewManager(configuration.Options{
		Store: etcdgateway.New(c.url, time.Second), Membership: members, Transport: network,
		Logger: events.Discard(), DataFolder: folder, Check: policy.Check,
	})
	assert.NilError(c.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() { _ = network.Serve(listener) })
	tasks.Go(func() { members.Run(ctx) })
	tasks.Go(func() { manager.Run(ctx) })
	c.t.Cleanup(func() {
		cancel()
		network.Close()
		tasks.Wait()
	})
	c.seeds = append(c.seeds, address)
	return manager
}

func change(id string, base uint64, weight float64) configuration.Change {
	return configuration.Change{ChangeID: id, Author: "test", Base: base, Upserts: []resource.Resource{
		{Kind: resource.KindTenant, Name: "guest", Tenant: &resource.Tenant{Weight: weight}},
	}}
}

func (c *testCluster) waitRevision(manager *configuration.Manager, revision uint64) {
	c.t.Helper()
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		if manager.Current().Revision() >= revision {
			return poll.Success()
		}
		return poll.Continue("at revision %d", manager.Current().Revision())
	}, poll.WithTimeout(pollTimeout))
}

func TestChangeReachesAllNodesAndOlderRevisionIsIgnored(t *testing.T) {
	cluster := newTestCluster(t)
	nodes := []*configuration.Manager{cluster.node("a", "z1", ""), cluster.node("b", "z2", ""), cluster.node("d", "z3", "")}
	for number := range 5 {
		document, err := nodes[number%3].Publish(t.Context(), change(fmt.Sprint(number), 0, float64(number+1)))
		assert.NilError(t, err)
		for _, manager := range nodes {
			cluster.waitRevision(manager, document.Revision)
		}
	}
	old := nodes[0].Current().Document
	old.Revision = 2
	assert.NilError(t, nodes[0].Install(old))
	assert.Equal(t, nodes[0].Current().Revision(), uint64(5))
}

// TestLostResponseIsResolved drops the responses of transactions that took effect. Publish must find
// its change in the store.
func TestLostResponseIsResolved(t *testing.T) {
	cluster := newTestCluster(t)
	manager := cluster.node("a", "z1", "")
	cluster.store.SetFaults(storeserver.Faults{LoseAnswers: true})
	document, err := manager.Publish(t.Context(), change("mine", 0, 1))
	assert.NilError(t, err)
	assert.Equal(t, document.ChangeID, "mine")
	assert.Equal(t, manager.Current().Revision(), uint64(1))
	again, err := manager.Publish(t.Context(), change("next", 0, 2))
	assert.NilError(t, err)
	assert.Equal(t, again.Revision, uint64(2))
}

func TestConflictingChangeIsRejected(t *testing.T) {
	cluster := newTestCluster(t)
	manager := cluster.node("a", "z1", "")
	first, err := manager.Publish(t.Context(), change("1", 0, 1))
	assert.NilError(t, err)
	_, err = manager.Publish(t.Context(), change("2", first.Revision, 2))
	assert.NilError(t, err)
	_, err = manager.Publish(t.Context(), change("3", first.Revision, 3))
	assert.Assert(t, apierr.Is(err, apierr.RevisionConflict), "%v", err)
	tenant, _ := manager.Current().Set.Tenant("guest")
	assert.Equal(t, tenant.Weight, 2.0)
}

// TestConcurrentPublishersLoseNoChange publishes changes without a base concurrently. Every accepted change
// must be in the result.
func TestConcurrentPublishersLoseNoChange(t *testing.T) {
	cluster := newTestCluster(t)
	nodes := []*configuration.Manager{cluster.node("a", "z1", ""), cluster.node("b", "z2", "")}
	var tasks sync.WaitGroup
	failures := make([]error, 8)
	for number := range failures {
		tasks.Go(func() {
			update := change(fmt.Sprint("race-", number), 0, 1)
			update.Upserts[0].Name = fmt.Sprintf("guest-%d", number)
			_, failures[number] = nodes[number%2].Publish(context.Background(), update)
		})
	}
	tasks.Wait()
	accepted := 0
	for _, err := range failures {
		if err == nil {
			accepted++
			continue
		}
		assert.Assert(t, apierr.Is(err, apierr.RevisionConflict), "%v", err)
	}
	for _, manager := range nodes {
		cluster.waitRevision(manager, uint64(accepted))
		assert.Equal(t, len(manager.Current().Set.List()), accepted)
	}
}

// TestStoreFailures checks that publishing fails with StoreUnavailable and the installed revision stays.
func TestStoreFailures(t *testing.T) {
	failures := map[string]storeserver.Faults{
		"down":         {Down: true},
		"too slow":     {DelayMillis: 3000},
		"rate-limited": {RequestsPerSecond: 0.0001},
	}
	for name, faults := range failures {
		t.Run(name, func(t *testing.T) {
			cluster := newTestCluster(t)
			manager := cluster.node("a", "z1", "")
			_, err := manager.Publish(t.Context(), change("1", 0, 1))
			assert.NilError(t, err)
			cluster.store.SetFaults(faults)
			// The rate limit allows an initial burst.
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				_, err = manager.Publish(t.Context(), change("2", 1, 2))
				if err != nil {
					return poll.Success()
				}
				return poll.Continue("published")
			}, poll.WithTimeout(pollTimeout))
			assert.Assert(t, apierr.Is(err, apierr.StoreUnavailable), "%v", err)
			assert.Assert(t, manager.Current().Revision() >= 1)
		})
	}
}

// TestDroppedWatchEventsAndCompaction checks that polling finds changes that the watch missed.
func TestDroppedWatchEventsAndCompaction(t *testing.T) {
	cluster := newTestCluster(t)
	reader := cluster.node("a", "z1", "")
	cluster.seeds = nil
	// The publisher has no seeds, so the reader can get the change only from the store.
	publisher := cluster.node("b", "z9", "")
	cluster.store.SetFaults(storeserver.Faults{DropEvents: true})
	cluster.store.Compact()
	document, err := publisher.Publish(t.Context(), change("1", 0, 1))
	assert.NilError(t, err)
	cluster.waitRevision(reader, document.Revision)
}

// TestRestartWithoutStore checks that a node starting while the store is down gets the revision from disk or
// from peers.
func TestRestartWithoutStore(t *testing.T) {
	cluster := newTestCluster(t)
	folder := t.TempDir()
	first := cluster.node("a", "z1", folder)
	document, err := first.Publish(t.Context(), change("1", 0, 1))
	assert.NilError(t, err)
	cluster.store.SetFaults(storeserver.Faults{Down: true})
	peers := cluster.seeds
	cluster.seeds = nil
	fromDisk := cluster.node("b", "z2", folder)
	assert.Equal(t, fromDisk.Current().Revision(), document.Revision)
	cluster.seeds = peers
	fromPeers := cluster.node("d", "z3", "")
	cluster.waitRevision(fromPeers, document.Revision)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if fromPeers.Ready() {
			return poll.Success()
		}
		return poll.Continue("not ready")
	}, poll.WithTimeout(pollTimeout))
}

// TestRolledBackStore checks that a store restored to an older state accepts no changes and does not
// revert the installed revision.
func TestRolledBackStore(t *testing.T) {
	cluster := newTestCluster(t)
	manager := cluster.node("a", "z1", "")
	_, err := manager.Publish(t.Context(), change("1", 0, 1))
	assert.NilError(t, err)
	old := cluster.store.Revision()
	document, err := manager.Publish(t.Context(), change("2", 0, 2))
	assert.NilError(t, err)
	cluster.store.Rollback(old)
	_, err = manager.Publish(t.Context(), change("3", 0, 3))
	assert.Assert(t, apierr.Is(err, apierr.StoreUnavailable), "%v", err)
	assert.Equal(t, manager.Current().Revision(), document.Revision)
}

// TestInvalidPolicyIsNotPublished checks that a policy that does not compile is rejected.
func TestInvalidPolicyIsNotPublished(t *testing.T) {
	cluster := newTestCluster(t)
	manager := cluster.node("a", "z1", "")
	_, err := manager.Publish(t.Context(), configuration.Change{ChangeID: "1", Upserts: []resource.Resource{
		{Kind: resource.KindPolicy, Name: "broken", Policy: &resource.Policy{Score: "engine.lod"}},
	}})
	assert.ErrorContains(t, err, "score")
	assert.Equal(t, manager.Current().Revision(), uint64(0))
}

// TestInvalidPolicyIsRejectedWithoutStore checks that the author of a policy that does not compile is told so although the store
// can't be reached.
func TestInvalidPolicyIsRejectedWithoutStore(t *testing.T) {
	cluster := newTestCluster(t)
	stopped := httptest.NewServer(cluster.store)
	stopped.Close()
	cluster.url = stopped.URL
	manager := cluster.node("a", "z1", "")
	_, err := manager.Publish(t.Context(), configuration.Change{ChangeID: "1", Upserts: []resource.Resource{
		{Kind: resource.KindPolicy, Name: "broken", Policy: &resource.Policy{Score: "engine.lod"}},
	}})
	assert.ErrorContains(t, err, "score")
}
