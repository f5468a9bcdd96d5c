package ingress

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/dispatch"
	"github.com/mountstile/mountstile/internal/routing"
	"github.com/mountstile/mountstile/internal/turnstore"
)

// runAheadDelay is how long the reservation of a turn's tokens may take before the turn is sent to
// an engine in parallel. It is longer than a reservation takes while replicas are up: 2 to 6 ms, in bursts up to 20.
const runAheadDelay = 50 * time.Millisecond

// reservation is the pending reservation of a turn's tokens. Its fields may be read once done is
// closed.
type reservation struct {
	done   chan struct{}
	opened *turnstore.OpenedTurn
	err    error
	// originErr is why the origin of a stream that the caller resumes could not be read, though the turn may run.
	originErr error
	// duration is how long the reservation took.
	duration time.Duration
}

// reserve starts the reservation for a turn. If it fails, cancelCause is called with the error
// before done is closed.
func (r *request) reserve(ctx context.Context, opening turnstore.OpenParams, cancelCause context.CancelCauseFunc) *reservation {
	pending := &reservation{done: make(chan struct{})}
	startedAt := time.Now()
	go func() {
		pending.opened, pending.err = r.server.options.Turns.Open(ctx, opening)
		pending.duration = time.Since(startedAt)
		if pending.err != nil && !r.needsTurnStore() {
			pending.opened, pending.err, pending.originErr = &turnstore.OpenedTurn{}, nil, pending.err
		}
		if pending.err != nil {
			cancelCause(pending.err)
		}
		close(pending.done)
	}()
	return pending
}

// needsTurnStore reports whether the turn can't run unless its tokens are reserved and its previous turns are found.
func (r *request) needsTurnStore() bool { return r.caller.Budget != NoBudget || r.route.StoreTurns() }

// openTurn reserves the budget, looks up the previous turns, and records or reads the origin of a
// resumable stream. If this takes longer than runAheadDelay, as after replicas lost power, a repeatable
// turn runs in parallel with its reservation. Its events are buffered until the reservation succeeds, so
// that the delays of engines and replicas overlap.
func (r *request) openTurn(ctx context.Context, cancelCause context.CancelCauseFunc) error {
	if r.route.Kind() != routing.Stream {
		return nil
	}
	opening := turnstore.OpenParams{
		Turn: r.caller.ID, Program: r.caller.Program, Budget: r.caller.Budget, Most: r.caller.Most, Stream: r.streamParams(),
	}
	if opening.Stream.Begins() {
		r.origin = r.server.options.Turns.Origin(opening)
	}
	if !r.needsTurnStore() && !opening.Stream.Resumed() {
		return nil
	}
	if r.route.StoreTurns() {
		opening.Previous = r.caller.Previous
	}
	r.reservation = r.reserve(ctx, opening, cancelCause)
	runAhead := time.NewTimer(runAheadDelay)
	defer runAhead.Stop()
	if r.canRunAhead(opening) {
		select {
		case <-r.reservation.done:
		case <-runAhead.C:
			r.runAhead = true
			return nil
		}
	}
	return r.awaitReservation()
}

// canRunAhead reports whether the turn may be sent to an engine before its budget is reserved.
// After a reservation has failed for lack of replicas, this one would probably fail too, and the
// engine's work would be wasted: with two of four replicas lost, 526 turns of 57 gateways did so in a
// second. A stream that the caller resumes waits, since its origin decides which engines may run it.
func (r *request) canRunAhead(opening turnstore.OpenParams) bool {
	if opening.Stream.Resumed() {
		return false
	}
	return r.route.Repeatable() && !r.route.StoreTurns() && r.server.options.Turns.ShardHealthy(opening)
}

// awaitReservation waits until the reservation succeeds or fails. It ends with the request's
// context at the latest.
func (r *request) awaitReservation() error {
	if r.reservation == nil {
		return nil
	}
	<-r.reservation.done
	r.opened, r.openDuration = r.reservation.opened, r.reservation.duration
	if r.reservation.originErr != nil {
		r.originErr = r.reservation.originErr
	}
	return r.reservation.err
}

// reservationError converts the error of a dispatch if the turn's reservation failed meanwhile. A turn that an engine
// ran gets an error that says so. Only a turn that no engine got gets the reservation's error, which says that it did
// not run. Other errors are returned unchanged.
func (r *request) reservationError(ctx context.Context, err error) error {
	var withdrawn *dispatch.ErrWithdrawn
	if errors.As(err, &withdrawn) {
		return apierr.New(apierr.ExecutionUnknown, apierr.Ran, "%s", err)
	}
	cause := context.Cause(ctx)
	if !r.runAhead || err == nil || (!apierr.Is(cause, apierr.BudgetExceeded) && !apierr.Is(cause, apierr.TurnsUnavailable)) {
		return err
	}
	if apierr.From(err, apierr.OutcomeUnknown).Outcome == apierr.NotRun {
		return cause
	}
	return err
}

// settle releases the reserved tokens that the turn did not generate. A reservation that was never
// awaited ends with the request's context and is released completely.
func (r *request) settle(generated int64) {
	if r.opened == nil && r.runAhead {
		go func() {
			<-r.reservation.done
			if opened := r.reservation.opened; opened != nil && opened.Reserved {
				r.server.options.Turns.Settle(opened, 0, "")
			}
		}()
		return
	}
	if r.opened != nil && r.opened.Reserved {
		r.server.options.Turns.Settle(r.opened, generated, r.engine)
	}
}
