package dispatch

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/mountstile/mountstile/internal/catalog"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/load"
	"github.com/mountstile/mountstile/internal/upstream"
)

const (
	// returnTrust is how long a record that came back after it went is not trusted: a late record of an
	// engine that has left is removed for its silence within this time.
	returnTrust = 5 * time.Second
	// lapsedGrace is how long after an outage of the store an engine may be without a record that went with it. The
	// platform's promise is that records of engines that live are back within 2 s; the rest is for the news to come.
	lapsedGrace = 2200 * time.Millisecond
	// lapseNoticed is how long after an outage records go that ran out in it. One that goes later says that its engine
	// left.
	lapseNoticed = 500 * time.Millisecond
	// removedGrace is how long an engine without a record may be used when there is no other.
	removedGrace = 1200 * time.Millisecond
	// drainingGrace is how long a stream may still be asked for at an engine that said that it drains. The platform allows two
	// seconds from then on, of which the way there takes a part.
	drainingGrace = 1200 * time.Millisecond
	// forgottenAfter is when an engine without a record is dropped.
	forgottenAfter = 30 * time.Second
	// fullFor is how long an engine that said it is full gets no more work from here.
	fullFor = 150 * time.Millisecond
	// defaultConnections is the limit for services that name none.
	defaultConnections = 16
)

// Registry knows the engines of all services, from their records in the catalog and from the
// traffic that they serve. All methods may be called concurrently.
type Registry struct {
	zone   string
	dial   func(ctx context.Context, address string) (net.Conn, error)
	logger *events.Logger

	mutex        sync.Mutex
	services     map[string]map[string]*Engine
	byID         map[string]*Engine
	limits       map[string]int
	expectations map[string]*expectation
	// outage is the last one of the store.
	outage outage
	// others are the calls of other gateways.
	others *load.View
}

// NewRegistry returns a Registry for a node in zone.
func NewRegistry(zone string, dial func(ctx context.Context, address string) (net.Conn, error), logger *events.Logger) *Registry {
	return &Registry{
		zone:         zone,
		dial:         dial,
		logger:       logger,
		services:     make(map[string]map[string]*Engine),
		byID:         make(map[string]*Engine),
		limits:       make(map[string]int),
		expectations: make(map[string]*expectation),
		others:       load.NewView(),
	}
}

// Apply takes a changed engine entry of the catalog.
func (r *Registry) Apply(entry catalog.Entry) {
	_, id := catalog.SplitKey(entry.Key)
	now := time.Now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.forget(now)
	if entry.Removed() {
		r.remove(now, id, entry.Revision)
		return
	}
	var specification EngineSpecification
	if json.Unmarshal(entry.Value, &specification) != nil || specification.ID != id {
		return
	}
	known := r.byID[id]
	switch {
	case known == nil:
		r.add(specification, entry.Revision)
	case known.revision >= entry.Revision:
		return
	case known.specification.Address != specification.Address || known.specification.Service != specification.Service:
		// What is known of the engine there says nothing of it here, and the service that it left must not use it.
		r.drop(known)
		r.add(specification, entry.Revision)
	default:
		known.update(now, specification, entry.Revision, r.outage)
	}
	r.logger.Emit(events.EngineChanged, events.F("engine", id), events.F("service", specification.Service),
		events.F("address", specification.Address), events.F("draining", specification.Draining),
		events.F("revision", entry.Revision))
}

func (r *Registry) add(specification EngineSpecification, revision int64) {
	limit := r.limits[specification.Service]
	if limit == 0 {
		limit = defaultConnections
	}
	created := &Engine{drainingAt: drainingSince(time.Now(), specification), specification: specification, loadKey: load.KeyOf(specification.ID), revision: revision, pool: upstream.NewPool(specification.Address, limit, r.dial)}
	r.byID[specification.ID] = created
	members := r.services[specification.Service]
	if members == nil {
		members = make(map[string]*Engine)
		r.services[specification.Service] = members
	}
	members[specification.ID] = created
}

func (r *Registry) remove(now time.Time, id string, revision int64) {
	known := r.byID[id]
	if known == nil || !known.removedAt.IsZero() || known.revision >= revision {
		return
	}
	known.removedAt = now
	known.revision = revision
	r.logger.Emit(events.EngineGone, events.F("engine", id), events.F("revision", revision))
}

func (r *Registry) forget(now time.Time) {
	for _, known := range r.byID {
		if known.removedAt.IsZero() || known.inFlight > 0 || now.Sub(known.removedAt) < forgottenAfter {
			continue
		}
		r.drop(known)
	}
}

// drop forgets an engine. Calls that are under way there end as they would.
func (r *Registry) drop(known *Engine) {
	known.pool.Close()
	delete(r.byID, known.ID())
	delete(r.services[known.specification.Service], known.ID())
}

// SetConnectionLimit bounds the connections of this node to each engine of a service.
func (r *Registry) SetConnectionLimit(service string, limit int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.limits[service] == limit {
		return
	}
	r.limits[service] = limit
	for _, known := range r.services[service] {
		known.pool.SetLimit(limit)
	}
}

// Count returns how many engines of a service have a record and do not drain.
func (r *Registry) Count(service string) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	count := 0
	for _, known := range r.services[service] {
		if known.removedAt.IsZero() && !known.specification.Draining {
			count++
		}
	}
	return count
}

// RecordOutage learns that the store was out until now. Records that went since then may have run out only because
// engines could not renew them.
func (r *Registry) RecordOutage(since time.Time) {
	now := time.Now()
	r.mutex.Lock()
	r.outage = outage{since: since, until: now}
	r.mutex.Unlock()
	r.logger.Emit(events.StoreOutageEnded, events.F("millis", now.Sub(since).Milliseconds()))
}

// Report implements turnstore.LoadExchange: the calls of this gateway that are in flight.
func (r *Registry) Report() load.Counts {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var sheet load.Counts
	for _, known := range r.byID {
		if known.inFlight > 0 {
			sheet = append(sheet, load.Count{Engine: known.loadKey, Calls: known.inFlight})
		}
	}
	return sheet.Busiest()
}

// Take implements turnstore.LoadExchange.
func (r *Registry) Take(now time.Time, others load.Counts) { r.others.Take(now, others) }

// use counts another attempt at an engine that a stream was on, if it may still be sent there.
func (r *Registry) use(engine *Engine) presence {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	found := engine.presence(time.Now(), r.outage)
	if found == present {
		engine.inFlight++
	}
	return found
}

// release ends a use of an engine.
func (r *Registry) release(engine *Engine) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	engine.inFlight--
}

func (r *Registry) markFull(engine *Engine) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	engine.fullUntil = time.Now().Add(fullFor)
}

// markGone keeps work from an engine that said it is another one, or that leaves.
func (r *Registry) markGone(engine *Engine) {
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

func (r *Registry) failed(engine *Engine, severe bool, cause error) {
	r.mutex.Lock()
	opened := engine.breaker.failed(time.Now(), severe)
	openFor := engine.breaker.openFor
	r.mutex.Unlock()
	if opened {
		r.logger.Emit(events.EngineBreakerOpen, events.F("engine", engine.ID()), events.F("error", cause),
			events.F("for_millis", openFor.Milliseconds()))
	}
}

// Observe takes the time of a step (an answer of a route, a pause between events) at an engine.
func (r *Registry) Observe(engine *Engine, step string, duration time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	usual := r.expectations[step]
	if usual == nil {
		usual = &expectation{}
		r.expectations[step] = usual
	}
	engine.pace.add(time.Now(), usual.ratio(duration))
}

// Any tells whether any engine is known.
func (r *Registry) HasEngines() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.byID) > 0
}
