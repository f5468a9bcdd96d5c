package modelload

import (
	"encoding/json"
	"strings"
	"sync"

	"github.com/mountstile/mountstile/internal/membership"
	"github.com/mountstile/mountstile/internal/resource"
)

// recordPrefix starts the keys of membership records that tell an engine's model. Their versions are
// fencing tokens, so that a deposed leader's word never replaces its successor's.
const recordPrefix = "model/"

// mostSubsets bounds the cached lists of engines.
const mostSubsets = 1024

// modelRecord is such a record's value. Model is empty while the engine loads.
type modelRecord struct {
	Model string `json:"model"`
}

func recordKey(pool, engine string) string { return recordPrefix + pool + "/" + engine }

// View knows which engines have which model. It is safe for concurrent use.
type View struct {
	mutex  sync.Mutex
	models map[string]string
	// subsets caches the engines of a model, for the pools of the configuration in force.
	subsets map[subsetKey][]resource.Engine
	changed chan struct{}
}

type subsetKey struct {
	pool  *resource.Pool
	model string
}

// NewView returns a View that follows the members' records.
func NewView(members *membership.Manager) *View {
	view := &View{models: make(map[string]string), subsets: make(map[subsetKey][]resource.Engine), changed: make(chan struct{})}
	members.Subscribe(view.heard)
	return view
}

func (v *View) heard(change membership.Change) {
	if change.Record == nil || !strings.HasPrefix(change.Record.Key, recordPrefix) {
		return
	}
	var value modelRecord
	if json.Unmarshal(change.Record.Value, &value) != nil {
		return
	}
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.models[strings.TrimPrefix(change.Record.Key, recordPrefix)] = value.Model
	clear(v.subsets)
	close(v.changed)
	v.changed = make(chan struct{})
}

// Changed is closed with the next change of any engine's model.
func (v *View) Changed() <-chan struct{} {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.changed
}

// Engines returns the engines of a pool that have loaded a model. The slice must not be changed.
func (v *View) Engines(name string, pool *resource.Pool, model string) []resource.Engine {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	key := subsetKey{pool: pool, model: model}
	if known, cached := v.subsets[key]; cached {
		return known
	}
	var subset []resource.Engine
	for _, engine := range pool.Engines {
		if v.models[name+"/"+engine.Name] == model {
			subset = append(subset, engine)
		}
	}
	if len(v.subsets) >= mostSubsets {
		// Most are of configurations that are no longer in force.
		clear(v.subsets)
	}
	v.subsets[key] = subset
	return subset
}

// Model returns what an engine has loaded; it is empty while the engine loads.
func (v *View) Model(pool, engine string) string {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.models[pool+"/"+engine]
}
