package dispatch

import (
	"context"
	"encoding/json"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/mountstile/mountstile/internal/catalog"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/fatal"
	"github.com/mountstile/mountstile/internal/load"
	"github.com/mountstile/mountstile/internal/membudget"
	"github.com/mountstile/mountstile/internal/upstream"
)

const (
	// returnedTrustDelay is how long an engine whose record reappeared after its removal is used only as a fallback: if
	// the record is a delayed one of an engine that has left, it expires within this time for lack of heartbeats.
	returnedTrustDelay = 5 * time.Second
	// outageGrace is how long after an outage of the store an engine whose record expired in it may be used. The
	// platform restores the records of running engines within 2 s; the rest allows for their propagation.
	outageGrace = 2200 * time.Millisecond
	// outageExpiryDelay is how long after an outage the records that expired in it may be removed. A later removal
	// means that the engine left.
	outageExpiryDelay = 500 * time.Millisecond
	// removedGrace is how long an engine without a record may be used as a fallback.
	removedGrace = 1200 * time.Millisecond
	// drainingGrace is how long a stream may be resumed at an engine that began to drain. The platform
	// accepts requests that reach the engine within 2 s; the difference is left for the time in transit.
	drainingGrace = 1200 * time.Millisecond
	// removedRetention is how long an engine without a record is kept.
	removedRetention = 30 * time.Second
	// SoftwareRetention is how long a version of a service's software is known after its last engine was dropped.
	SoftwareRetention = 10 * time.Minute
	// fullBackoff is how long an engine that refused a call for lack of capacity gets no calls of this gateway.
	fullBackoff = 150 * time.Millisecond
	// pinnedFullBackoff replaces fullBackoff for streams that no other engine can continue.
	pinnedFullBackoff = 50 * time.Millisecond
	// defaultConnections is the connection limit of services without a configured one.
	defaultConnections = 16
)

// Registry holds the engines of all services. It is updated from their records in the catalog and from the
// outcomes of calls to them. All methods may be called concurrently.
type Registry struct {
	zone   string
	dial   func(ctx context.Context, address string) (net.Conn, error)
	memory *membudget.Budget
	logger *events.Logger

	mutex     sync.Mutex
	services  map[string]map[string]*Engine
	byID      map[string]*Engine
	limits    map[string]int
	baselines map[string]*latencyBaseline
	// waiting counts the pinned calls that wait for an engine, by the software that they wait for.
	waiting map[softwareKey]int
	// left holds when engines of a software version were last known, for those that were dropped or replaced since.
	left map[softwareKey]time.Time
	// unknownLeftAt is the last time that the removal of an engine came whose record had never come.
	unknownLeftAt time.Time
	// outage is the most recent outage of the store.
	outage outage
	// others holds the calls in flight of other gateways.
	others *load.View
	// ends records the ends of engines. It calls the registry: it must not be called with the mutex held.
	ends *fatal.Tracker
	// share sends news of ends to other gateways. It must not block.
	share func(EndNews)
	// exchange tells other nodes of the runs of a request; see ExchangeRuns.
	exchange func(context.Context, RunNews) (open []string, heard bool)
	// unvouched returns the runs for which nobody vouches; see VouchRuns.
	unvouched func(ctx context.Context, content fatal.Key, open []string) []string
	// catchUp hears of ends that this gateway has missed while its process was paused, if it was.
	catchUp func(context.Context)
	// onReport is called with the request of a run that was interrupted at another gateway; nil for none.
	onReport func(fatal.Key)
}

// NewRegistry returns an empty Registry for a gateway in zone.
func NewRegistry(zone string, dial func(ctx context.Context, address string) (net.Conn, error), logger *events.Logger) *Registry {
	registry := &Registry{
		zone:      zone,
		dial:      dial,
		logger:    logger,
		services:  make(map[string]map[string]*Engine),
		byID:      make(map[string]*Engine),
		limits:    make(map[string]int),
		baselines: make(map[string]*latencyBaseline),
		waiting:   make(map[softwareKey]int),
		left:      make(map[softwareKey]time.Time),
		others:    load.NewView(),
		share:     func(EndNews) {},
		exchange:  func(context.Context, RunNews) ([]string, bool) { return nil, true },
		unvouched: func(_ context.Context, _ fatal.Key, open []string) []string { return open },
		catchUp:   func(context.Context) {},
	}
	registry.ends = fatal.NewTracker()
	return registry
}

// SetMemory sets the budget for responses' heads. It must be called before Apply.
func (r *Registry) SetMemory(memory *membudget.Budget) { r.memory = memory }

// Apply updates the registry from an engine's changed catalog entry. Entries may arrive out of order.
func (r *Registry) Apply(entry catalog.Entry) {
	_, id := catalog.SplitKey(entry.Key)
	now := time.Now()
	if entry.Removed() {
		r.applyRemoval(now, id, entry.Revision)
		return
	}
	var specification EngineSpecification
	// The build before passes records on that it did not check.
	if json.Unmarshal(entry.Value, &specification) != nil || specification.ID != id || specification.Validate() != nil {
		return
	}
	if ended := r.applyRecord(now, id, specification, entry); ended != nil {
		r.engineEnded(now, ended, proofRestarted)
	}
}

// applyRecord applies an engine's record. It returns the engine's earlier life if the record shows that it ended unplanned.
func (r *Registry) applyRecord(now time.Time, id string, specification EngineSpecification, entry catalog.Entry) (ended *Engine) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.dropRemoved(now)
	engine := r.byID[id]
	switch {
	case engine == nil:
		r.add(specification, entry.Revision)
	case engine.revision > entry.Revision || (engine.revision == entry.Revision && engine.format >= entry.Format):
		return nil
	case specification.life(engine.specification, engine.format) != sameLife:
		// Nothing that is known of an earlier life applies: neither its breaker nor its connections nor that it drained.
		r.drop(engine)
		r.add(specification, entry.Revision)
		if specification.life(engine.specification, engine.format) == earlierLife {
			// If the record is a delayed one, the engine's next one replaces it.
			r.byID[id].returnedAt = now
		} else if !engine.specification.Draining && engine.removedAt.IsZero() && engine.returnedAt.IsZero() && engine.probedStart != specification.StartedMillis {
			ended = engine
		}
		r.logger.Emit(events.EngineRestarted, events.F("engine", id), events.F("started_before", engine.specification.StartedMillis),
			events.F("started", specification.StartedMillis), events.F("software_before", engine.specification.Software), events.F("software", specification.Software))
	case engine.specification.Address != specification.Address || engine.specification.Service != specification.Service:
		// State such as the breaker doesn't apply to the new address, and the old service must not use the engine.
		r.drop(engine)
		r.add(specification, entry.Revision)
	default:
		// An entry of the same revision in a later format tells more of the same software.
		if engine.revision < entry.Revision && engine.specification.Software != specification.Software {
			r.noteLeft(now, engine)
		}
		engine.update(now, specification, entry.Revision, r.outage)
	}
	r.byID[id].format = entry.Format
	r.logger.Emit(events.EngineChanged, events.F("engine", id), events.F("service", specification.Service),
		events.F("address", specification.Address), events.F("software", specification.Software), events.F("draining", specification.Draining),
		events.F("revision", entry.Revision))
	return ended
}

func (r *Registry) add(specification EngineSpecification, revision int64) {
	limit := r.limits[specification.Service]
	if limit == 0 {
		limit = defaultConnections
	}
	engine := &Engine{drainingAt: drainingSince(time.Now(), specification), specification: specification, loadKey: load.KeyOf(specification.ID), revision: revision, pool: upstream.NewPool(specification.Address, limit, r.dial)}
	engine.pool.SetMemory(r.memory)
	r.byID[specification.ID] = engine
	members := r.services[specification.Service]
	if members == nil {
		members = make(map[string]*Engine)
		r.services[specification.Service] = members
	}
	members[specification.ID] = engine
}

func (r *Registry) applyRemoval(now time.Time, id string, revision int64) {
	r.mutex.Lock()
	r.dropRemoved(now)
	removed := r.remove(now, id, revision)
	leaving := removed != nil && removed.specification.Draining
	r.mutex.Unlock()
	if removed != nil && !leaving {
		r.engineEnded(now, removed, proofRemoved)
	}
}

// remove marks an engine as removed. It returns nil if that is not news.
func (r *Registry) remove(now time.Time, id string, revision int64) *Engine {
	engine := r.byID[id]
	if engine == nil {
		r.unknownLeftAt = now
	}
	if engine == nil || !engine.removedAt.IsZero() || engine.revision >= revision {
		return nil
	}
	engine.removedAt = now
	engine.revision = revision
	r.logger.Emit(events.EngineGone, events.F("engine", id), events.F("revision", revision))
	return engine
}

func (r *Registry) dropRemoved(now time.Time) {
	for _, engine := range r.byID {
		if engine.removedAt.IsZero() || engine.inFlight > 0 || now.Sub(engine.removedAt) < removedRetention {
			continue
		}
		r.drop(engine)
	}
}

// drop deletes an engine. Calls in flight are not interrupted.
func (r *Registry) drop(engine *Engine) {
	engine.replaced = true
	engine.pool.Close()
	r.noteLeft(time.Now(), engine)
	delete(r.byID, engine.ID())
	delete(r.services[engine.specification.Service], engine.ID())
}

// SetConnectionLimit sets the limit of this gateway's connections to each engine of a service.
func (r *Registry) SetConnectionLimit(service string, limit int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.limits[service] == limit {
		return
	}
	r.limits[service] = limit
	for _, engine := range r.services[service] {
		engine.pool.SetLimit(limit)
	}
}

// Count returns the number of engines of a service that have a record and are not draining.
func (r *Registry) Count(service string) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	count := 0
	for _, engine := range r.services[service] {
		if engine.removedAt.IsZero() && !engine.specification.Draining {
			count++
		}
	}
	return count
}

// SoftwareVersions returns the versions of the software of a service's engines, draining and recently removed ones included.
func (r *Registry) SoftwareVersions(service string) []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var versions []string
	for _, engine := range r.services[service] {
		if !slices.Contains(versions, engine.specification.Software) {
			versions = append(versions, engine.specification.Software)
		}
	}
	return versions
}

// SoftwareVersionsSince is like SoftwareVersions, but includes the versions of all engines that were known at since or later.
// Versions that left more than SoftwareRetention ago may be missing.
func (r *Registry) SoftwareVersionsSince(service string, since time.Time) []string {
	versions := r.SoftwareVersions(service)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for key, leftAt := range r.left {
		if key.service == service && !leftAt.Before(since) && !slices.Contains(versions, key.software) {
			versions = append(versions, key.software)
		}
	}
	return versions
}

// UnknownEngineLeft reports whether an engine left since then whose software version is not known.
func (r *Registry) UnknownEngineLeft(since time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return !r.unknownLeftAt.Before(since)
}

// noteLeft records the software version of an engine that is dropped or has other software now.
func (r *Registry) noteLeft(now time.Time, engine *Engine) {
	r.left[softwareKey{engine.specification.Service, engine.specification.Software}] = now
	for key, leftAt := range r.left {
		if now.Sub(leftAt) > SoftwareRetention {
			delete(r.left, key)
		}
	}
}

// LikelySoftware returns the version of the software of most engines of a service that may get new work.
func (r *Registry) LikelySoftware(service string) string {
	now := time.Now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	counts := make(map[string]int)
	likely := ""
	for _, engine := range r.services[service] {
		if !engine.usable(now, r.outage) {
			continue
		}
		software := engine.specification.Software
		counts[software]++
		if counts[software] > counts[likely] || (counts[software] == counts[likely] && software > likely) {
			likely = software
		}
	}
	return likely
}

// RecordOutage records that the store was unavailable from since until now. Records removed in that time may have
// expired only because engines could not renew them.
func (r *Registry) RecordOutage(since time.Time) {
	now := time.Now()
	r.mutex.Lock()
	r.outage = outage{since: since, until: now}
	r.mutex.Unlock()
	r.logger.Emit(events.StoreOutageEnded, events.F("millis", now.Sub(since).Milliseconds()))
}

// Report implements turnstore.LoadExchange. It returns this gateway's calls in flight.
func (r *Registry) Report() load.Counts {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var counts load.Counts
	for _, engine := range r.byID {
		if engine.inFlight > 0 {
			counts = append(counts, load.Count{Engine: engine.loadKey, Calls: engine.inFlight})
		}
	}
	return counts.Busiest()
}

// Take implements turnstore.LoadExchange. It replaces the calls in flight of other gateways.
func (r *Registry) Take(now time.Time, others load.Counts) { r.others.Take(now, others) }

// acquire counts another call in flight at the engine that ran a stream, if the engine is still present. An engine that was
// restarted with other software counts as absent.
func (r *Registry) acquire(engine *Engine, placement Placement, trace *Trace) presence {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := time.Now()
	if !placement.allowsEngine(now, engine) {
		return absent
	}
	found := engine.presence(now, r.outage)
	if found == present {
		trace.Engine = engine.ID()
		trace.Software = engine.specification.Software
		engine.inFlight++
		engine.addIsolated(placement.Isolated, 1)
	}
	return found
}

// softwareKey identifies a version of a service's software.
type softwareKey struct{ service, software string }

// beginWait notes that a pinned call waits for an engine. New calls leave the engines of its version to it meanwhile, as long as
// there are others.
func (r *Registry) beginWait(placement Placement) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.waiting[softwareKey{placement.Service, placement.Software}]++
}

// endWait undoes beginWait.
func (r *Registry) endWait(placement Placement) {
	key := softwareKey{placement.Service, placement.Software}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.waiting[key]--; r.waiting[key] == 0 {
		delete(r.waiting, key)
	}
}

// release undoes choose or acquire at the end of an attempt.
func (r *Registry) release(engine *Engine, isolated bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	engine.inFlight--
	engine.addIsolated(isolated, -1)
}

func (r *Registry) markFull(engine *Engine) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	engine.fullUntil = time.Now().Add(fullBackoff)
}

// markMisdirected opens the breaker of an engine whose address now belongs to another engine.
func (r *Registry) markMisdirected(engine *Engine) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	engine.breaker.failed(time.Now(), true)
}

func (r *Registry) succeeded(engine *Engine) {
	r.mutex.Lock()
	closed := engine.breaker.succeeded(time.Now())
	r.mutex.Unlock()
	if closed {
		r.logger.Emit(events.EngineBreakerClosed, events.F("engine", engine.ID()))
	}
}

// failed records a failure of an engine. openAtOnce opens its breaker regardless of earlier outcomes.
func (r *Registry) failed(engine *Engine, openAtOnce bool, cause error) {
	r.mutex.Lock()
	opened := engine.breaker.failed(time.Now(), openAtOnce)
	openFor := engine.breaker.openFor
	r.mutex.Unlock()
	if opened {
		r.logger.Emit(events.EngineBreakerOpen, events.F("engine", engine.ID()), events.F("error", cause),
			events.F("for_millis", openFor.Milliseconds()))
	}
}

// Observe records the duration of a step at an engine: the response of a route, or the gap between two events.
func (r *Registry) Observe(engine *Engine, step string, duration time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	baseline := r.baselines[step]
	if baseline == nil {
		baseline = &latencyBaseline{}
		r.baselines[step] = baseline
	}
	engine.latencyRatio.add(time.Now(), baseline.ratio(duration))
}

// HasEngines reports whether any engine is known, with or without a current record.
func (r *Registry) HasEngines() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.byID) > 0
}
