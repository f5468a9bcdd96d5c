package configuration_test

import (
	"math/rand/v2"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/configuration"
	"github.com/mountstile/mountstile/internal/resource"
)

// TestRevisionInForceOnlyRises installs revisions from many sides at once, in any order: what is in force, what subscribers hear, and
// what a restart finds on disk never falls.
func TestRevisionInForceOnlyRises(t *testing.T) {
	const revisions, sides = 40, 6
	here := newSite(t)
	folder := t.TempDir()
	manager := here.node("a", "z1", folder)
	var heard []uint64
	manager.Subscribe(func(snapshot *configuration.Snapshot) {
		// Installations are one at a time, and so are calls of this.
		heard = append(heard, snapshot.Revision())
		here.seeds = nil
		restarted := here.node("restarted", "z1", folder)
		assert.Check(t, restarted.Current().Revision() >= snapshot.Revision(), "the disk is behind what is in force")
	})
	var installing sync.WaitGroup
	for range sides {
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
				assert.Check(t, known && tenant.Weight == float64(now.Revision()), "the resources are of another revision")
				last = now.Revision()
			}
		})
	}
	installing.Wait()
	assert.Equal(t, manager.Current().Revision(), uint64(revisions))
	for index := 1; index < len(heard); index++ {
		assert.Assert(t, heard[index] > heard[index-1], "%v", heard)
	}
}
