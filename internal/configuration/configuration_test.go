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

const patience = 30 * time.Second

// site is a store and the nodes that use it.
type site struct {
	t     *testing.T
	store *storeserver.Server
	url   string
	seeds []string
}

func newSite(t *testing.T) *site {
	t.Helper()
	t.Parallel()
	store := storeserver.New()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	return &site{t: t, store: store, url: server.URL}
}

// node starts a Manager in a zone, with or without a folder.
func (s *site) node(name, zone, folder string) *configuration.Manager {
	s.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(s.t, err)
	address := listener.Addr().String()
	network := transport.New(transport.Options{Cluster: "c", NodeID: name, Address: address, Logger: events.Discard()})
	self := membership.Member{ID: name, ReplicaID: name, Address: address, Zone: zone, Region: "r"}
	members := membership.NewManager(self, s.seeds, membership.DefaultOptions(), network, events.Discard())
	manager, err := configuration.NewManager(configuration.Options{
		Store: etcdgateway.New(s.url, time.Second), Membership: members, Transport: network,
		Logger: events.Discard(), DataFolder: folder, Check: policy.Check,
	})
	assert.NilError(s.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() { _ = network.Serve(listener) })
	tasks.Go(func() { members.Run(ctx) })
	tasks.Go(func() { manager.Run(ctx) })
	s.t.Cleanup(func() {
		cancel()
		network.Close()
		tasks.Wait()
	})
	s.seeds = append(s.seeds, address)
	return manager
}

func change(id string, base uint64, weight float64) configuration.Change {
	return configuration.Change{ChangeID: id, Author: "test", Base: base, Upserts: []resource.Resource{
		{Kind: resource.KindTenant, Name: "guest", Tenant: &resource.Tenant{Weight: weight}},
	}}
}

func (s *site) waitRevision(manager *configuration.Manager, revision uint64) {
	s.t.Helper()
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		if manager.Current().Revision() >= revision {
			return poll.Success()
		}
		return poll.Continue("at revision %d", manager.Current().Revision())
	}, poll.WithTimeout(patience))
}

func TestChangeReachesAllNodesAndOlderNeverReturns(t *testing.T) {
	here := newSite(t)
	nodes := []*configuration.Manager{here.node("a", "z1", ""), here.node("b", "z2", ""), here.node("d", "z3", "")}
	for number := range 5 {
		document, err := nodes[number%3].Publish(t.Context(), change(fmt.Sprint(number), 0, float64(number+1)))
		assert.NilError(t, err)
		for _, manager := range nodes {
			here.waitRevision(manager, document.Revision)
		}
	}
	old := nodes[0].Current().Document
	old.Revision = 2
	assert.NilError(t, nodes[0].Install(old))
	assert.Equal(t, nodes[0].Current().Revision(), uint64(5))
}

// TestLostAnswerIsResolvedToTheTruth loses the answers of transactions that took effect.
func TestLostAnswerIsResolvedToTheTruth(t *testing.T) {
	here := newSite(t)
	manager := here.node("a", "z1", "")
	here.store.SetFaults(storeserver.Faults{LoseAnswers: true})
	document, err := manager.Publish(t.Context(), change("mine", 0, 1))
	assert.NilError(t, err)
	assert.Equal(t, document.ChangeID, "mine")
	assert.Equal(t, manager.Current().Revision(), uint64(1))
	again, err := manager.Publish(t.Context(), change("next", 0, 2))
	assert.NilError(t, err)
	assert.Equal(t, again.Revision, uint64(2))
}

func TestConflictIsTypedAndLosesNothing(t *testing.T) {
	here := newSite(t)
	manager := here.node("a", "z1", "")
	first, err := manager.Publish(t.Context(), change("1", 0, 1))
	assert.NilError(t, err)
	_, err = manager.Publish(t.Context(), change("2", first.Revision, 2))
	assert.NilError(t, err)
	_, err = manager.Publish(t.Context(), change("3", first.Revision, 3))
	assert.Assert(t, apierr.Is(err, apierr.RevisionConflict), "%v", err)
	tenant, _ := manager.Current().Set.Tenant("guest")
	assert.Equal(t, tenant.Weight, 2.0)
}

// TestRacingPublishersAllCount lets publishers without a base race: none is lost.
func TestRacingPublishersAllCount(t *testing.T) {
	here := newSite(t)
	nodes := []*configuration.Manager{here.node("a", "z1", ""), here.node("b", "z2", "")}
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
		here.waitRevision(manager, uint64(accepted))
		assert.Equal(t, len(manager.Current().Set.List()), accepted)
	}
}

// TestStoreFailures: publishing fails clearly, and what is in force stays.
func TestStoreFailures(t *testing.T) {
	failures := map[string]storeserver.Faults{
		"down":         {Down: true},
		"too slow":     {DelayMillis: 3000},
		"rate-limited": {RequestsPerSecond: 0.0001},
	}
	for name, faults := range failures {
		t.Run(name, func(t *testing.T) {
			here := newSite(t)
			manager := here.node("a", "z1", "")
			_, err := manager.Publish(t.Context(), change("1", 0, 1))
			assert.NilError(t, err)
			here.store.SetFaults(faults)
			// A limit lets a first burst through.
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				_, err = manager.Publish(t.Context(), change("2", 1, 2))
				if err != nil {
					return poll.Success()
				}
				return poll.Continue("published")
			}, poll.WithTimeout(patience))
			assert.Assert(t, apierr.Is(err, apierr.StoreUnavailable), "%v", err)
			assert.Assert(t, manager.Current().Revision() >= 1)
		})
	}
}

// TestDroppedWatchEventsAndCompaction: polling finds what the watch has lost.
func TestDroppedWatchEventsAndCompaction(t *testing.T) {
	here := newSite(t)
	reader := here.node("a", "z1", "")
	here.seeds = nil
	// A publisher that shares only the store with the reader.
	publisher := here.node("b", "z9", "")
	here.store.SetFaults(storeserver.Faults{DropEvents: true})
	here.store.Compact()
	document, err := publisher.Publish(t.Context(), change("1", 0, 1))
	assert.NilError(t, err)
	here.waitRevision(reader, document.Revision)
}

// TestRestartKnowsTheRevision from the disk, and from peers, with the store down.
func TestRestartKnowsTheRevision(t *testing.T) {
	here := newSite(t)
	folder := t.TempDir()
	first := here.node("a", "z1", folder)
	document, err := first.Publish(t.Context(), change("1", 0, 1))
	assert.NilError(t, err)
	here.store.SetFaults(storeserver.Faults{Down: true})
	peers := here.seeds
	here.seeds = nil
	withDisk := here.node("b", "z2", folder)
	assert.Equal(t, withDisk.Current().Revision(), document.Revision)
	here.seeds = peers
	withPeers := here.node("d", "z3", "")
	here.waitRevision(withPeers, document.Revision)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if withPeers.Ready() {
			return poll.Success()
		}
		return poll.Continue("not ready")
	}, poll.WithTimeout(patience))
}

// TestRolledBackStoreChangesNothing restores an old state of the store.
func TestRolledBackStoreChangesNothing(t *testing.T) {
	here := newSite(t)
	manager := here.node("a", "z1", "")
	_, err := manager.Publish(t.Context(), change("1", 0, 1))
	assert.NilError(t, err)
	old := here.store.Revision()
	document, err := manager.Publish(t.Context(), change("2", 0, 2))
	assert.NilError(t, err)
	here.store.Rollback(old)
	_, err = manager.Publish(t.Context(), change("3", 0, 3))
	assert.Assert(t, apierr.Is(err, apierr.StoreUnavailable), "%v", err)
	assert.Equal(t, manager.Current().Revision(), document.Revision)
}

// TestUnusableRevisionIsNotInstalled: a policy that does not compile is refused at publishing.
func TestUnusableRevisionIsNotInstalled(t *testing.T) {
	here := newSite(t)
	manager := here.node("a", "z1", "")
	_, err := manager.Publish(t.Context(), configuration.Change{ChangeID: "1", Upserts: []resource.Resource{
		{Kind: resource.KindPolicy, Name: "broken", Policy: &resource.Policy{Score: "engine.lod"}},
	}})
	assert.ErrorContains(t, err, "score")
	assert.Equal(t, manager.Current().Revision(), uint64(0))
}
