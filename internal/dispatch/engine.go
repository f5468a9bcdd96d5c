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
	// drainingAt is when it said that it drains; zero before.
	drainingAt time.Time
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

// outage is a time in which the store was not heard of.
type outage struct{ since, until time.Time }

// covers tells whether a record that went at a time may have run out for the outage alone.
func (o outage) covers(removedAt time.Time) bool {
	return !o.until.IsZero() && removedAt.After(o.since) && removedAt.Before(o.until.Add(lapseNoticed))
}

// update takes a newer record. An engine that once said that it drains does not take that back: a
// record without that word is a late one. One that comes back after an outage is trusted at once.
func (e *Engine) update(now time.Time, specification EngineSpecification, revision int64, last outage) {
	specification.Draining = specification.Draining || e.specification.Draining
	if !e.specification.Draining {
		e.drainingAt = drainingSince(now, specification)
	}
	e.specification = specification
	e.revision = revision
	if !e.removedAt.IsZero() && !last.covers(e.removedAt) {
		e.returnedAt = now
	}
	e.removedAt = time.Time{}
}

// trusted tells whether the record has stood long enough since it came back.
func (e *Engine) trusted(now time.Time) bool {
	return e.returnedAt.IsZero() || now.Sub(e.returnedAt) > returnTrust
}

// recorded tells whether the engine has a record, or may have lost it only to an outage of the store. Without that, a third
// of 45 engines stood idle in a burst for 5 s after an outage of 2.5 s.
func (e *Engine) recorded(now time.Time, last outage) bool {
	return e.removedAt.IsZero() || (last.covers(e.removedAt) && now.Before(last.until.Add(lapsedGrace)))
}

// drainingSince is when an engine began to drain whose record is read now; zero if it doesn't drain.
func drainingSince(now time.Time, specification EngineSpecification) time.Time {
	if !specification.Draining {
		return time.Time{}
	}
	return now
}

// presence is whether a stream that was on an engine may be asked for there again.
type presence int

const (
	// present engines are there, or have been leaving for a short while only.
	present presence = iota
	// draining engines said so too long ago: what reaches them now counts as sent to an engine that left.
	draining
	// absent engines have no record any more.
	absent
)

func (e *Engine) presence(now time.Time, last outage) presence {
	switch {
	case !e.recorded(now, last) && now.Sub(e.removedAt) > removedGrace:
		return absent
	case !e.drainingAt.IsZero() && now.Sub(e.drainingAt) > drainingGrace:
		return draining
	}
	return present
}

// usable tells whether new work may go to the engine at all.
func (e *Engine) usable(now time.Time, last outage) bool {
	return e.recorded(now, last) && e.trusted(now) && !e.specification.Draining && e.breaker.allows(now) && !now.Before(e.fullUntil)
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
