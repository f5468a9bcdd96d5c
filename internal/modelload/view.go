package modelload

import (
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/mountstile/mountstile/internal/membership"
	"github.com/mountstile/mountstile/internal/resource"
)

// recordPrefix is the key prefix of membership records that hold an engine's model. Their versions are fencing tokens,
// so that a former leader's record never replaces one of its successor.
const recordPrefix = "model/"

// notLoadedTTL is how long an engine marked as not loaded stays unused unless a new record arrives. After that time the
// pool's leader has polled all engines again, so an engine that was marked by mistake can be used again.
const notLoadedTTL = pollInterval

// maxCachedSubsets bounds View.subsets.
const maxCachedSubsets = 1024

// modelRecord is the value of the membership record with an engine's model. Model is empty while the engine is loading.
type modelRecord struct {
	Model string `json:"model"`
}

func recordKey(pool, engine string) string { return recordPrefix + pool + "/" + engine }

// View holds the model that each engine has loaded, as distributed by membership records. It is safe for concurrent use.
type View struct {
	mutex  sync.Mutex
	models map[string]string
	// notLoaded holds the engines found not to have loaded the model in their record, and until when they are treated
	// as having no model.
	notLoaded map[string]time.Time
	// subsets caches the results of Engines. It is cleared whenever models or notLoaded change.
	subsets map[subsetKey][]resource.Engine
	changed chan struct{}
}

type subsetKey struct {
	pool  *resource.Pool
	model string
}

// NewView returns a View that follows the membership records.
func NewView(members *membership.Manager) *View {
	view := &View{models: make(map[string]string), notLoaded: make(map[string]time.Time), subsets: make(map[subsetKey][]resource.Engine), changed: make(chan struct{})}
	members.Subscribe(view.applyChange)
	return view
}

func (v *View) applyChange(update membership.Change) {
	if update.Record == nil || !strings.HasPrefix(update.Record.Key, recordPrefix) {
		return
	}
	var value modelRecord
	if json.Unmarshal(update.Record.Value, &value) != nil {
		return
	}
	v.mutex.Lock()
	defer v.mutex.Unlock()
	key := strings.TrimPrefix(update.Record.Key, recordPrefix)
	v.models[key] = value.Model
	delete(v.notLoaded, key)
	v.update()
}

// update clears the cache and closes the channel returned by Changed. The caller holds the mutex.
func (v *View) update() {
	clear(v.subsets)
	close(v.changed)
	v.changed = make(chan struct{})
}

// MarkNotLoaded takes an engine out of use after it refused a call because it has not loaded the model in its record.
// The record is stale if the node that ordered another model failed before it distributed the new record; without the
// mark, calls would be sent to the engine and refused until a new leader polls it. MarkNotLoaded returns false if
// the engine is already considered not to have the model.
func (v *View) MarkNotLoaded(pool, engine, model string) bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	key := pool + "/" + engine
	if v.effectiveModel(key, time.Now()) != model {
		return false
	}
	v.notLoaded[key] = time.Now().Add(notLoadedTTL)
	v.update()
	return true
}

// NotLoaded returns the sorted names of a pool's engines that are marked by MarkNotLoaded.
func (v *View) NotLoaded(pool string) []string {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.expireNotLoaded(time.Now())
	var engines []string
	for key := range v.notLoaded {
		if engine, found := strings.CutPrefix(key, pool+"/"); found {
			engines = append(engines, engine)
		}
	}
	slices.Sort(engines)
	return engines
}

// effectiveModel returns the model in an engine's record, or "" if the engine is marked as not loaded. The caller holds
// the mutex.
func (v *View) effectiveModel(key string, now time.Time) string {
	if now.Before(v.notLoaded[key]) {
		return ""
	}
	return v.models[key]
}

// expireNotLoaded removes marks that have expired. The caller holds the mutex.
func (v *View) expireNotLoaded(now time.Time) {
	for key, until := range v.notLoaded {
		if !now.Before(until) {
			delete(v.notLoaded, key)
			clear(v.subsets)
		}
	}
}

// Changed returns a channel that is closed at the next change of any engine's model.
func (v *View) Changed() <-chan struct{} {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.changed
}

// Engines returns the engines of a pool that have loaded a model. The slice must not be changed.
func (v *View) Engines(poolName string, pool *resource.Pool, model string) []resource.Engine {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	now := time.Now()
	v.expireNotLoaded(now)
	key := subsetKey{pool: pool, model: model}
	if known, cached := v.subsets[key]; cached {
		return known
	}
	var subset []resource.Engine
	for _, engine := range pool.Engines {
		if v.effectiveModel(poolName+"/"+engine.Name, now) == model {
			subset = append(subset, engine)
		}
	}
	if len(v.subsets) >= maxCachedSubsets {
		// Most entries belong to pools of earlier configurations.
		clear(v.subsets)
	}
	v.subsets[key] = subset
	return subset
}

// Model returns the model that an engine has loaded; empty while it is loading or marked as not loaded.
func (v *View) Model(pool, engine string) string {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.effectiveModel(pool+"/"+engine, time.Now())
}
