package configuration_test

import (
	"math/rand/v2"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/configuration"
	"github.com/mountstile/mountstile/internal/resource"
)

// TestRevisionNeverDecreases installs revisions concurrently and in random order. The revision in force,
// those passed to subscribers and the one on disk must never decrease.
func TestRevisionNeverDecreases(t *testing.T) {
	const revisions, installers = 40, 6
	cluster := newTestCluster(t)
	folder := t.TempDir()
	manager := cluster.node("a", "z1", folder)
	var observed []uint64
	manager.Subscribe(func(snapshot *configuration.Snapshot) {
		// Subscribers are called one at a time, so observed needs no lock.
		observed = append(observed, snapshot.Revision())
		cluster.seeds = nil
		restarted := cluster.node("restarted", "z1", folder)
		assert.Check(t, restarted.Current().Revision() >= snapshot.Revision(), "the revision on disk is older than the one in force")
	})
	var installing sync.WaitGroup
	for range installers {
		installing.Go(func() {
			last := uint64(0)
			for _, index := range rand.Perm(revisions) {
				document := configuration.Document{Revision: uint64(index + 1), Resources: []resource.Resource{
					{Kind: resource.KindTenant, Name: "guest", Tenant: &resource.Tenant{Weight: float64(index + 1)}},
				}}
				assert.Check(t, manager.Install(document) == nil)
				now := manager.Current()
				assert.Check(t, now.Revision() >= max(last, document.Revision))
				tenant, known := now.Set.Tenant("guest")
				assert.Check(t, known && tenant.Weight == float64(now.Revision()), "the resources belong to another revision")
				last = now.Revision()
			}
		})
	}
	installing.Wait()
	assert.Equal(t, manager.Current().Revision(), uint64(revisions))
	for index := 1; index < len(observed); index++ {
		assert.Assert(t, observed[index] > observed[index-1], "%v", observed)
	}
}
