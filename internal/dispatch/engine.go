package dispatch

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mountstile/mountstile/internal/load"
	"github.com/mountstile/mountstile/internal/upstream"
)

// EngineFormat is the catalog.Entry.Format of the specifications that this build translates: 1 added Software, 2 StartedMillis.
const EngineFormat = 2

// startFormat is the first format whose specifications state StartedMillis if the record does.
const startFormat = 2

// EngineSpecification is an engine's record in the catalog.
type EngineSpecification struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Software is the version of the engine's software; empty if the engine doesn't state one. Streams of different
	// versions can't be joined.
	Software string `json:"software,omitempty"`
	Slots    int    `json:"slots"`
	// Draining engines get no new work.
	Draining bool `json:"draining,omitempty"`
	// StartedMillis is when the engine started, in Unix milliseconds by its own clock. An engine that starts again under its ID
	// has another one. It is 0 if the engine doesn't state it, or if an older build translated the record.
	StartedMillis int64 `json:"started_ms,omitempty"`
}

const (
	// maxSlots and maxZoneBytes bound what a specification may state.
	maxSlots     = 1 << 16
	maxZoneBytes = 256
	maxPort      = 1<<16 - 1
)

// ErrSpecification means that a specification names no engine that can be used.
type ErrSpecification struct{ ID, Reason string }

// Error implements error.
func (e *ErrSpecification) Error() string {
	return fmt.Sprintf("engine %.128q: %.256s", e.ID, e.Reason)
}

// Validate checks that calls can be sent to the engine. The error is an *ErrSpecification.
func (s EngineSpecification) Validate() error {
	invalid := func(format string, args ...any) error {
		return errors.WithStack(&ErrSpecification{ID: s.ID, Reason: fmt.Sprintf(format, args...)})
	}
	host, port, err := net.SplitHostPort(s.Address)
	number, portErr := strconv.Atoi(port)
	switch {
	case s.Service == "":
		return invalid("it belongs to no service")
	case err != nil || host == "" || strings.ContainsAny(host, " \t\r\n"):
		return invalid("address %q is not a host and a port", s.Address)
	case portErr != nil || number < 1 || number > maxPort:
		return invalid("port %q is not between 1 and %d", port, maxPort)
	case s.Slots < 0 || s.Slots > maxSlots:
		return invalid("%d slots are not between 0 and %d", s.Slots, maxSlots)
	case len(s.Zone) > maxZoneBytes:
		return invalid("the zone has %d bytes, more than %d", len(s.Zone), maxZoneBytes)
	}
	return nil
}

// life tells how the life of an engine that a record describes relates to the known one.
type life int

const (
	sameLife life = iota
	newerLife
	// earlierLife records were delayed, or the engine's clock was set back before it started again.
	earlierLife
)

// life compares the start of a record that is newer in the store. A record without a start is taken for one of the known life. A start where
// none was known is that of a newer life, unless the known record was translated by a build that left it out.
func (s EngineSpecification) life(known EngineSpecification, knownFormat int) life {
	switch {
	case s.StartedMillis == known.StartedMillis, s.StartedMillis == 0:
		return sameLife
	case known.StartedMillis == 0 && knownFormat < startFormat:
		return sameLife
	case s.StartedMillis > known.StartedMillis:
		return newerLife
	}
	return earlierLife
}

// Engine is the state that this gateway keeps of one engine. The Registry's mutex guards its fields.
type Engine struct {
	specification EngineSpecification
	loadKey       load.Key
	// revision is the revision of the last applied record; records may arrive out of order.
	revision int64
	// decidedAt is when the engine was last asked for its start by a call that waits for a decision.
	decidedAt time.Time
	// format is the catalog.Entry.Format of that record.
	format   int
	pool     *upstream.Pool
	inFlight int
	// isolated is how many of the calls in flight are isolated; see Placement.
	isolated int
	// removedAt is when the record was removed; zero while it exists. returnedAt is when it reappeared.
	removedAt  time.Time
	returnedAt time.Time
	// drainingAt is when the engine began to drain; zero before.
	drainingAt time.Time
	// replaced is set when the engine isn't part of the registry any more.
	replaced     bool
	breaker      breaker
	latencyRatio latencyRatio
	// probedStart is the start of the newest life that a probe has met; 0 if none has.
	probedStart int64
	// lifeEndedAt is when it was found that the life that the record describes has ended; zero unless it was. Whatever answers at the
	// address since may have other software.
	lifeEndedAt time.Time
	// fullUntil is when an engine that refused a call gets calls again.
	fullUntil time.Time
}

// ID returns the engine's identifier. A restarted engine may have the same one.
func (e *Engine) ID() string { return e.specification.ID }

// Address returns the host and port where the engine listens.
func (e *Engine) Address() string { return e.specification.Address }

// Zone returns the availability zone in which the engine runs.
func (e *Engine) Zone() string { return e.specification.Zone }

// addIsolated adds to the number of isolated calls in flight if the call is isolated.
func (e *Engine) addIsolated(isolated bool, count int) {
	if isolated {
		e.isolated += count
	}
}

// outage is a period in which the store was unavailable.
type outage struct{ since, until time.Time }

// covers reports whether a record removed at a time may have expired only because of the outage.
func (o outage) covers(removedAt time.Time) bool {
	return !o.until.IsZero() && removedAt.After(o.since) && removedAt.Before(o.until.Add(outageExpiryDelay))
}

// update applies a newer record. A draining engine stays draining: a record without
// the flag is a delayed one.
// An engine whose record reappears after an outage is trusted at once.
func (e *Engine) update(now time.Time, specification EngineSpecification, revision int64, last outage) {
	specification.Draining = specification.Draining || e.specification.Draining
	specification.StartedMillis = max(specification.StartedMillis, e.specification.StartedMillis)
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

// trusted reports whether a record that reappeared has existed for long enough.
func (e *Engine) trusted(now time.Time) bool {
	return e.returnedAt.IsZero() || now.Sub(e.returnedAt) > returnedTrustDelay
}

// recorded reports whether the engine has a record, or may have lost it only to an outage of the store. Otherwise
// engines would stay idle after an outage until their next heartbeat: after one of 2.5 s, a third of 45 engines were idle
// for 5 s in a burst.
func (e *Engine) recorded(now time.Time, last outage) bool {
	return e.removedAt.IsZero() || (last.covers(e.removedAt) && now.Before(last.until.Add(outageGrace)))
}

// drainingSince returns now for the record of a draining engine, and the zero time otherwise.
func drainingSince(now time.Time, specification EngineSpecification) time.Time {
	if !specification.Draining {
		return time.Time{}
	}
	return now
}

// presence tells whether a stream may be resumed at the engine that ran it.
type presence int

const (
	// present engines are running, or began to leave at most a grace period ago.
	present presence = iota
	// draining engines began to drain more than drainingGrace ago. The platform treats a request to them like one to an
	// engine that left.
	draining
	// absent engines have no record any more.
	absent
)

func (e *Engine) presence(now time.Time, last outage) presence {
	switch {
	case e.replaced, !e.recorded(now, last) && now.Sub(e.removedAt) > removedGrace:
		return absent
	case !e.drainingAt.IsZero() && now.Sub(e.drainingAt) > drainingGrace:
		return draining
	}
	return present
}

// unknownLifeTTL is how long an engine whose known life has ended counts as one of another life, unless its record or a probe decides before.
const unknownLifeTTL = 30 * time.Second

// softwareUnknown reports whether the engine may run other software than its record states.
func (e *Engine) softwareUnknown(now time.Time) bool {
	return !e.lifeEndedAt.IsZero() && now.Sub(e.lifeEndedAt) < unknownLifeTTL
}

// usable reports whether the engine may get new work.
func (e *Engine) usable(now time.Time, last outage) bool {
	return e.recorded(now, last) && e.trusted(now) && !e.specification.Draining && e.breaker.allows(now) && !now.Before(e.fullUntil)
}

// mayContinue reports whether the engine may get the rest of a stream that no usable engine can continue.
func (e *Engine) mayContinue(now time.Time, last outage) bool {
	return e.presence(now, last) == present && !now.Before(e.fullUntil.Add(pinnedFullBackoff-fullBackoff))
}

// usableAsFallback reports whether the engine may be used although its record was recently removed or has
// recently reappeared. After an outage of the store, the records of all engines may have expired; they reappear
// with the engines' next heartbeats.
func (e *Engine) usableAsFallback(now time.Time) bool {
	if e.specification.Draining || !e.breaker.allows(now) || now.Before(e.fullUntil) {
		return false
	}
	return e.removedAt.IsZero() || now.Sub(e.removedAt) < removedGrace
}
