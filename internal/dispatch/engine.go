package dispatch

import (
	"time"

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
	pool          *upstream.Pool
	inFlight      int
	// removedAt is when its record went; zero while there is one.
	removedAt time.Time
	breaker   breaker
	pace      pace
	// fullUntil is until when it counts as full, for it said so.
	fullUntil time.Time
}

// ID is the engine's own name; a restarted engine has another one.
func (e *Engine) ID() string { return e.specification.ID }

// Address is where the engine listens.
func (e *Engine) Address() string { return e.specification.Address }

// Zone is where the engine runs.
func (e *Engine) Zone() string { return e.specification.Zone }

// usable tells whether new work may go to the engine at all.
func (e *Engine) usable(now time.Time) bool {
	return e.removedAt.IsZero() && !e.specification.Draining && e.breaker.allows(now) && !now.Before(e.fullUntil)
}

// lastResort tells whether an engine whose record has just gone may still be used. When the store
// comes back after an outage, the records of all engines may have run out, and return with their
// next heartbeat.
func (e *Engine) lastResort(now time.Time) bool {
	return !e.removedAt.IsZero() && !e.specification.Draining && now.Sub(e.removedAt) < removedGrace && e.breaker.allows(now)
}
