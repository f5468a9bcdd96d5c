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

// recordPrefix starts the keys of membership records that tell an engine's model. Their versions are
// fencing tokens, so that a deposed leader's word never replaces its successor's.
const recordPrefix = "model/"

// refutedFor is how long an engine's own word stands against its record, unless a new record comes. Then
// whoever decides has asked all engines anew, and one that was refuted by mistake is used again.
const refutedFor = askInterval

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
	// refuted are the engines that lacked the model of their record, and until when they count as
	// without any.
	refuted map[string]time.Time
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
	view := &View{models: make(map[string]string), refuted: make(map[string]time.Time), subsets: make(map[subsetKey][]resource.Engine), changed: make(chan struct{})}
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
	key := strings.TrimPrefix(change.Record.Key, recordPrefix)
	v.models[key] = value.Model
	delete(v.refuted, key)
	v.change()
}

// change tells that another set of engines has some model. The mutex is held.
func (v *View) change() {
	clear(v.subsets)
	close(v.changed)
	v.changed = make(chan struct{})
}

// MarkNotLoaded takes an engine out of use that has refused a call, for it lacks the model of its record. An order's
// record is lost when the node that gave it dies before it has told the others; calls that go on to that
// engine would be refused until another node decides. It returns false if the engine counts as without that
// model anyway.
func (v *View) MarkNotLoaded(pool, engine, model string) bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	key := pool + "/" + engine
	if v.believed(key, time.Now()) != model {
		return false
	}
	v.refuted[key] = time.Now().Add(refutedFor)
	v.change()
	return true
}

// NotLoaded lists the engines of a pool that were taken out of use so, and have no new record yet.
func (v *View) NotLoaded(pool string) []string {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.forgiveRefuted(time.Now())
	var engines []string
	for key := range v.refuted {
		if engine, found := strings.CutPrefix(key, pool+"/"); found {
			engines = append(engines, engine)
		}
	}
	slices.Sort(engines)
	return engines
}

// believed is the model of an engine's record unless the engine has refuted it. The mutex is held.
func (v *View) believed(key string, now time.Time) string {
	if now.Before(v.refuted[key]) {
		return ""
	}
	return v.models[key]
}

// forgiveRefuted lets engines be used again whose time is over. The mutex is held.
func (v *View) forgiveRefuted(now time.Time) {
	for key, until := range v.refuted {
		if !now.Before(until) {
			delete(v.refuted, key)
			clear(v.subsets)
		}
	}
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
	now := time.Now()
	v.forgiveRefuted(now)
	key := subsetKey{pool: pool, model: model}
	if known, cached := v.subsets[key]; cached {
		return known
	}
	var subset []resource.Engine
	for _, engine := range pool.Engines {
		if v.believed(name+"/"+engine.Name, now) == model {
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

// Model returns what an engine has loaded; it is empty while the engine loads, or if it lacks what its
// record tells.
func (v *View) Model(pool, engine string) string {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.believed(pool+"/"+engine, time.Now())
}
