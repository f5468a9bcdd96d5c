package ingress

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/catalog"
	"github.com/mountstile/mountstile/internal/routing"
)

func specificationOf(version int64) routing.Specification {
	return routing.Specification{
		Version:  version,
		Services: []routing.ServiceSpecification{{Name: "models", MaxConnections: 400}},
		Routes: []routing.RouteSpecification{{
			Name: "route", Host: "h", Prefix: fmt.Sprintf("/v%d/", version), Kind: routing.Safe, TimeoutMillis: 2000, Attempts: 1,
			Targets: []routing.TargetSpecification{{Service: "models", Weight: 1}},
		}},
	}
}

func entryOf(t *testing.T, version int64) catalog.Entry {
	t.Helper()
	encoded, err := json.Marshal(specificationOf(version))
	assert.NilError(t, err)
	return catalog.Entry{Key: catalog.Key(catalog.ConfigurationKind, "current"), Revision: version, Value: encoded}
}

// Peers deliver versions concurrently, in any order and repeatedly. The version that requests see
// must never decrease.
func TestInstalledVersionOnlyIncreases(t *testing.T) {
	const versions, peers, readers = 60, 6, 4
	cluster := newUnconfiguredCluster(t)
	var entries []catalog.Entry
	for version := range int64(versions) {
		entries = append(entries, entryOf(t, version+1))
	}
	cluster.node.apply(entries[0])
	var applying, reading sync.WaitGroup
	var done atomic.Bool
	for range readers {
		reading.Go(func() {
			for last := int64(0); !done.Load(); {
				current := cluster.node.table.Load().Version()
				if !assert.Check(t, current >= last, "%d after %d", current, last) {
					return
				}
				last = current
			}
		})
	}
	for range peers {
		applying.Go(func() {
			for _, index := range rand.Perm(versions) {
				cluster.node.apply(entries[index])
			}
		})
	}
	applying.Wait()
	done.Store(true)
	reading.Wait()
	assert.Equal(t, cluster.node.table.Load().Version(), int64(versions))
}

// Older versions with any revision, removals and invalid entries don't replace the installed
// version, also on open connections.
func TestOlderVersionIsNotInstalled(t *testing.T) {
	cluster := newTestCluster(t)
	cluster.engine("e1", func(call *engineCall) { call.reply(http.StatusOK, "fine") })
	cluster.node.apply(catalog.Entry{Key: entryOf(t, 7).Key, Revision: 100, Value: entryOf(t, 7).Value})
	assert.Equal(t, cluster.send("/v7/x", "r1", "b").status, http.StatusOK)
	older := map[string]catalog.Entry{
		"lower revision":  {Key: entryOf(t, 6).Key, Revision: 99, Value: entryOf(t, 6).Value},
		"higher revision": {Key: entryOf(t, 6).Key, Revision: 101, Value: entryOf(t, 6).Value},
		"removal":         {Key: entryOf(t, 6).Key, Revision: 102},
		"invalid JSON":    {Key: entryOf(t, 6).Key, Revision: 103, Value: json.RawMessage("{")},
	}
	for name, entry := range older {
		t.Run(name, func(t *testing.T) {
			cluster.node.apply(entry)
			assert.Equal(t, cluster.send("/v7/x", "a-"+strings.ReplaceAll(name, " ", "-"), "b").status, http.StatusOK)
			assert.Equal(t, cluster.send("/v6/x", "b-"+strings.ReplaceAll(name, " ", "-"), "b").status, http.StatusNotFound)
		})
	}
}
