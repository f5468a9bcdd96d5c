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

// orderRecorder hears changes as a subscriber does that takes each for the newest.
type orderRecorder struct {
	mutex sync.Mutex
	heard map[string][]int64
	// entered is closed when the change of heldKey is heard, which then waits for release.
	entered, release chan struct{}
}

const heldKey = "engine/held"

func (r *orderRecorder) onChange(changed Entry) {
	if changed.Key == heldKey {
		close(r.entered)
		<-r.release
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.heard[changed.Key] = append(r.heard[changed.Key], changed.Revision)
}

func (r *orderRecorder) revisions(key string) []int64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]int64(nil), r.heard[key]...)
}

func newRecorded(t *testing.T) (*Manager, *orderRecorder) {
	t.Helper()
	recorder := &orderRecorder{heard: make(map[string][]int64), entered: make(chan struct{}), release: make(chan struct{})}
	network := transport.New(transport.Options{Cluster: "test", NodeID: "n", Logger: events.Discard()})
	t.Cleanup(network.Close)
	return NewManager(Options{OnChange: recorder.onChange}, network, events.Discard()), recorder
}

// A subscriber hears no older version after a newer one, though two feeds bring them at once and the first is held up between
// merging its version and telling of it.
func TestSubscriberHearsNoOlderVersionAfterANewerOne(t *testing.T) {
	const key = "configuration/current"
	for name, newer := range map[string]Entry{"a change": entry(key, 6, "six"), "a removal": entry(key, 6, "")} {
		t.Run(name, func(t *testing.T) {
			manager, recorder := newRecorded(t)
			var feeds sync.WaitGroup
			feeds.Go(func() { manager.Apply([]Entry{entry(heldKey, 1, "x"), entry(key, 5, "five")}) })
			<-recorder.entered
			told := make(chan struct{})
			feeds.Go(func() {
				defer close(told)
				manager.Apply([]Entry{newer})
			})
			eventually(t, "the newer version is merged", func() bool {
				manager.mutex.Lock()
				defer manager.mutex.Unlock()
				return manager.state.Revision(key) == 6
			})
			select {
			case <-told:
			case <-time.After(200 * time.Millisecond):
				// The second feed waits for the first.
			}
			close(recorder.release)
			feeds.Wait()
			heard := recorder.revisions(key)
			assert.Equal(t, heard[len(heard)-1], int64(6), "%v", heard)
		})
	}
}

// Many feeds at once, each with some of the versions: what a subscriber hears of an entry only rises, and ends with the newest.
func TestVersionsOnlyRiseWhateverTheFeeds(t *testing.T) {
	const versions, keys, feedsAtOnce = 200, 5, 8
	manager, recorder := newRecorded(t)
	var feeds sync.WaitGroup
	for feed := range feedsAtOnce {
		feeds.Go(func() {
			for version := 1 + feed%2; version <= versions; version += 1 + feed%3 {
				var batch []Entry
				for key := range keys {
					batch = append(batch, entry(Key(EngineKind, strconv.Itoa(key)), int64(version), "v"))
				}
				manager.Apply(batch)
			}
		})
	}
	feeds.Go(func() { manager.ApplyListing(EngineKind, nil, versions/2) })
	feeds.Wait()
	for key := range keys {
		heard := recorder.revisions(Key(EngineKind, strconv.Itoa(key)))
		for index := 1; index < len(heard); index++ {
			assert.Assert(t, heard[index] > heard[index-1], "%d after %d", heard[index], heard[index-1])
		}
		assert.Equal(t, heard[len(heard)-1], int64(versions))
	}
}
