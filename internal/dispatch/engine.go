package dispatch

import (
	"time"

	"github.com/mountstile/mountstile/internal/load"
	"github.com/mountstile/mountstile/internal/upstream"
)

// EngineSpecification is one engine as its record tells it.
type EngineSpecification struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Slots   int    `json:"slots"`
	// Draining engines get no new work.
	Draining bool `json:"draining,omitempty"`
}

// Engine is what this node knows of one engine. Its fields are guarded by the Registry's mutex.
type Engine struct {
	specification EngineSpecification
	loadKey       load.Key
	// revision is that of the record which was applied last: records may be heard out of order.
	revision int64
	pool     *upstream.Pool
	inFlight int
	// removedAt is when its record went; zero while there is one. returnedAt is when it came back.
	removedAt  time.Time
	returnedAt time.Time
	breaker    breaker
	pace       pace
	// fullUntil is until when it counts as full, for it said so.
	fullUntil time.Time
}

// ID is the engine's own name; a restarted engine has another one.
func (e *Engine) ID() string { return e.specification.ID }

// Address is where the engine listens.
func (e *Engine) Address() string { return e.specification.Address }

// Zone is where the engine runs.
func (e *Engine) Zone() string { return e.specification.Zone }

// update takes a newer record. An engine that once said that it drains does not take that back: a
// record without that word is a late one.
func (e *Engine) update(now time.Time, specification EngineSpecification, revision int64) {
	specification.Draining = specification.Draining || e.specification.Draining
	e.specification = specification
	e.revision = revision
	if !e.removedAt.IsZero() {
		e.returnedAt = now
	}
	e.removedAt = time.Time{}
}

// trusted tells whether the record has stood long enough since it came back.
func (e *Engine) trusted(now time.Time) bool {
	return e.returnedAt.IsZero() || now.Sub(e.returnedAt) > returnTrust
}

// usable tells whether new work may go to the engine at all.
func (e *Engine) usable(now time.Time) bool {
	return e.removedAt.IsZero() && e.trusted(now) && !e.specification.Draining && e.breaker.allows(now) && !now.Before(e.fullUntil)
}

// lastResort tells whether an engine may be used if no other is usable, whose record has just gone, or
// came back a short while ago. When the store comes back after an outage, the records of all engines
// may have run out, and return with their next heartbeat.
func (e *Engine) lastResort(now time.Time) bool {
	if e.specification.Draining || !e.breaker.allows(now) || now.Before(e.fullUntil) {
		return false
	}
	return e.removedAt.IsZero() || now.Sub(e.removedAt) < removedGrace
}
