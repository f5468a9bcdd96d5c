package catalog

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/transport"
)

// listingSource is a Source without engines that responds only while reachable.
type listingSource struct {
	reachable atomic.Bool
	listings  atomic.Int64
}

func (s *listingSource) Run(ctx context.Context, sink Sink) {
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for listed := false; ; {
		if s.reachable.Load() {
			if !listed {
				s.listings.Add(1)
				sink.ApplyListing(EngineKind, nil, 12)
				listed = true
			}
			sink.Synced()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// A node that was partitioned for longer than tombstones are kept must list the store even if its peers are fresh, since they
// can't report removals any more. After a shorter partition it must not.
func TestStoreIsListedAfterMissedTombstones(t *testing.T) {
	for name, missed := range map[string]bool{"long partition": true, "short partition": false} {
		t.Run(name, func(t *testing.T) {
			reader := startNode(t, true, func() []transport.Peer { return nil })
			eventually(t, "the reader's source runs", reader.source.active)
			var partitioned atomic.Bool
			store := &listingSource{}
			follower := startNodeWith(t, func(options *Options) {
				options.Source = store
				options.Peers = func() []transport.Peer {
					if partitioned.Load() {
						return nil
					}
					return peersAt(reader.address)
				}
			})
			reader.source.change(entry("engine/e1", 9, "here"))
			eventually(t, "the follower has the engine", func() bool { return follower.revision("engine/e1") == 9 })

			partitioned.Store(true)
			eventually(t, "the follower has no peers", func() bool {
				follower.manager.mutex.Lock()
				defer follower.manager.mutex.Unlock()
				return len(follower.manager.followers) == 0
			})
			reader.source.change(entry("engine/e1", 11, ""), entry("engine/e2", 10, "another"))
			if missed {
				reader.manager.expireTombstones()
				follower.manager.expireTombstones()
			}
			partitioned.Store(false)
			eventually(t, "the follower has the new engine", func() bool { return follower.revision("engine/e2") == 10 })
			follower.waitForSourceToStop(2 * time.Second)
			store.reachable.Store(true)
			eventually(t, "the engine is removed", func() bool {
				_, found := follower.manager.Get("engine/e1")
				return !found
			})
			eventually(t, "the follower stops reading the store", func() bool { return !follower.readsStore() })
			if !missed {
				assert.Equal(t, store.listings.Load(), int64(0))
			}
		})
	}
}

func (n *testNode) readsStore() bool {
	n.manager.mutex.Lock()
	defer n.manager.mutex.Unlock()
	return n.manager.sourceActive
}

// waitForSourceToStop waits until the node does not read the store, or until the timeout.
func (n *testNode) waitForSourceToStop(timeout time.Duration) {
	deadline := time.NewTimer(timeout)
	defer deadline.Stop()
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for n.readsStore() {
		select {
		case <-ticker.C:
		case <-deadline.C:
			return
		}
	}
}

// expireTombstones drops the manager's tombstones and makes its last response older than their TTL.
func (m *Manager) expireTombstones() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.state.Expire(time.Now().Add(2 * tombstoneTTL))
	m.lastResponseAt = m.lastResponseAt.Add(-2 * tombstoneTTL)
}
