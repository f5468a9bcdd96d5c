package catalog

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// listingSource is a store that shows no engine. It answers once it can be reached.
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

// A node that was cut off from everybody for longer than removals are remembered can't hear of them from its peers. It lists
// the store once, though peers are fresh; one that was cut off for less does not.
func TestNodeThatMissedRemovalsListsTheStore(t *testing.T) {
	for name, missed := range map[string]bool{"for long": true, "for a while": false} {
		t.Run(name, func(t *testing.T) {
			reader := startNode(t, true, func() []string { return nil })
			eventually(t, "the reader's source runs", reader.source.active)
			var cut atomic.Bool
			store := &listingSource{}
			follower := startNodeWith(t, func(options *Options) {
				options.Source = store
				options.Peers = func() []string {
					if cut.Load() {
						return nil
					}
					return []string{reader.address}
				}
			})
			reader.source.change(entry("engine/e1", 9, "here"))
			eventually(t, "the follower knows it", func() bool { return follower.revision("engine/e1") == 9 })

			cut.Store(true)
			eventually(t, "the follower follows nobody", func() bool {
				follower.manager.mutex.Lock()
				defer follower.manager.mutex.Unlock()
				return len(follower.manager.followers) == 0
			})
			reader.source.change(entry("engine/e1", 11, ""), entry("engine/e2", 10, "another"))
			if missed {
				reader.manager.passRemovalTime()
				follower.manager.passRemovalTime()
			}
			cut.Store(false)
			eventually(t, "the follower has the news", func() bool { return follower.revision("engine/e2") == 10 })
			follower.waitForSourceToStop(2 * time.Second)
			store.reachable.Store(true)
			eventually(t, "the engine is gone", func() bool {
				_, found := follower.manager.Get("engine/e1")
				return !found
			})
			eventually(t, "the store is left to others again", func() bool { return !follower.readsStore() })
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

// waitForSourceToStop waits until the node leaves the store to others, or keeps to it for so long.
func (n *testNode) waitForSourceToStop(longest time.Duration) {
	deadline := time.NewTimer(longest)
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

// passRemovalTime makes the manager's past older than removals are remembered.
func (m *Manager) passRemovalTime() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.state.Forget(time.Now().Add(2 * removedFor))
	m.heardAt = m.heardAt.Add(-2 * removedFor)
}
