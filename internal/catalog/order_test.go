package catalog

import (
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/transport"
)

// changeRecorder records the revisions that are passed to OnChange.
type changeRecorder struct {
	mutex sync.Mutex
	byKey map[string][]int64
	// entered is closed when OnChange is called for blockedKey; the call returns when release is closed.
	entered, release chan struct{}
}

const blockedKey = "engine/blocked"

func (r *changeRecorder) onChange(changed Entry) {
	if changed.Key == blockedKey {
		close(r.entered)
		<-r.release
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.byKey[changed.Key] = append(r.byKey[changed.Key], changed.Revision)
}

func (r *changeRecorder) revisions(key string) []int64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]int64(nil), r.byKey[key]...)
}

func newRecordedManager(t *testing.T) (*Manager, *changeRecorder) {
	t.Helper()
	recorder := &changeRecorder{byKey: make(map[string][]int64), entered: make(chan struct{}), release: make(chan struct{})}
	network := transport.New(transport.Options{Cluster: "test", NodeID: "n", Logger: events.Discard()})
	t.Cleanup(network.Close)
	return NewManager(Options{OnChange: recorder.onChange}, network, events.Discard()), recorder
}

// OnChange must not be called for an older version after a newer one, even if the goroutine that merged the older one
// is delayed before it calls OnChange.
func TestOnChangeSkipsSupersededVersion(t *testing.T) {
	const key = "configuration/current"
	for name, newer := range map[string]Entry{"a change": entry(key, 6, "six"), "a removal": entry(key, 6, "")} {
		t.Run(name, func(t *testing.T) {
			manager, recorder := newRecordedManager(t)
			var updates sync.WaitGroup
			updates.Go(func() { manager.Apply([]Entry{entry(blockedKey, 1, "x"), entry(key, 5, "five")}) })
			<-recorder.entered
			applied := make(chan struct{})
			updates.Go(func() {
				defer close(applied)
				manager.Apply([]Entry{newer})
			})
			eventually(t, "the newer version is merged", func() bool {
				manager.mutex.Lock()
				defer manager.mutex.Unlock()
				return manager.state.Revision(key) == 6
			})
			select {
			case <-applied:
			case <-time.After(200 * time.Millisecond):
				// The second update waits for the first.
			}
			close(recorder.release)
			updates.Wait()
			recorded := recorder.revisions(key)
			assert.Equal(t, recorded[len(recorded)-1], int64(6), "%v", recorded)
		})
	}
}

// With concurrent updates, the revisions passed to OnChange must be strictly increasing and end with the newest.
func TestOnChangeOrderWithConcurrentUpdates(t *testing.T) {
	const versions, keys, updaters = 200, 5, 8
	manager, recorder := newRecordedManager(t)
	var updates sync.WaitGroup
	for updater := range updaters {
		updates.Go(func() {
			for version := 1 + updater%2; version <= versions; version += 1 + updater%3 {
				var batch []Entry
				for key := range keys {
					batch = append(batch, entry(Key(EngineKind, strconv.Itoa(key)), int64(version), "v"))
				}
				manager.Apply(batch)
			}
		})
	}
	updates.Go(func() { manager.ApplyListing(EngineKind, nil, versions/2) })
	updates.Wait()
	for key := range keys {
		recorded := recorder.revisions(Key(EngineKind, strconv.Itoa(key)))
		for index := 1; index < len(recorded); index++ {
			assert.Assert(t, recorded[index] > recorded[index-1], "%d after %d", recorded[index], recorded[index-1])
		}
		assert.Equal(t, recorded[len(recorded)-1], int64(versions))
	}
}
