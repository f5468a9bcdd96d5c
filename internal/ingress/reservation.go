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

// runAheadAfter is how long the replicas may take to reserve a turn's tokens before the turn is sent to an engine
// beside it. In calm times they take 2 to 6 ms, in bursts up to 20; longer ones are those of replicas that are just coming back.
const runAheadAfter = 50 * time.Millisecond

// reservation is the opening of a turn. Its fields may be read once done is closed.
type reservation struct {
	done   chan struct{}
	opened *turnstore.OpenedTurn
	err    error
	// took is how long the opening was under way.
	took time.Duration
}

// reserve begins to open a turn. If that fails, stop is called with the failure before anybody learns of it.
func (r *request) reserve(ctx context.Context, opening turnstore.OpenParams, stop context.CancelCauseFunc) *reservation {
	begun := &reservation{done: make(chan struct{})}
	startedAt := time.Now()
	go func() {
		begun.opened, begun.err = r.server.options.Turns.Open(ctx, opening)
		begun.took = time.Since(startedAt)
		if begun.err != nil {
			stop(begun.err)
		}
		close(begun.done)
	}()
	return begun
}

// openTurn reserves the budget and finds the turns before this one. While replicas come back after a loss of power, a
// turn that may run more than once runs beside its reservation, and its events are held until that is certain; so the
// engine's time and the replicas' pass together. With replicas 0.3 s later than gateways, as much is gained for each turn.
func (r *request) openTurn(ctx context.Context, stop context.CancelCauseFunc) error {
	if r.route.Kind() != routing.Stream || (r.caller.Budget == NoBudget && !r.route.Kept()) {
		return nil
	}
	opening := turnstore.OpenParams{
		Turn: r.caller.ID, Program: r.caller.Program, Budget: r.caller.Budget, Most: r.caller.Most,
	}
	if r.route.Kept() {
		opening.Previous = r.caller.Previous
	}
	r.reservation = r.reserve(ctx, opening, stop)
	ahead := time.NewTimer(runAheadAfter)
	defer ahead.Stop()
	if r.mayRunAhead() {
		select {
		case <-r.reservation.done:
		case <-ahead.C:
			r.ahead = true
			return nil
		}
	}
	return r.awaitReservation()
}

// mayRunAhead tells whether the turn may be sent to an engine before it is certain that its budget has room for it. Once
// an opening has met too few replicas, it would most likely run in vain: on 57 gateways, 526 turns did so in a second
// in which two of four replicas were lost.
func (r *request) mayRunAhead() bool {
	return r.route.Repeatable() && !r.route.Kept() && r.server.options.Turns.ShardHealthy(r.caller.Program)
}

// awaitReservation waits until the turn is opened or can't be. The opening ends with the request's context at the
// latest.
func (r *request) awaitReservation() error {
	if r.reservation == nil {
		return nil
	}
	<-r.reservation.done
	r.opened, r.opening = r.reservation.opened, r.reservation.took
	return r.reservation.err
}

// denied is what a caller is told of a turn whose reservation failed while it ran: that it was not run only if nothing of
// it reached an engine. Other failures stay as they are.
func (r *request) denied(ctx context.Context, err error) error {
	var withdrawn *dispatch.ErrWithdrawn
	if errors.As(err, &withdrawn) {
		return apierr.New(apierr.ExecutionUnknown, apierr.Ran, "%s", err)
	}
	cause := context.Cause(ctx)
	if !r.ahead || err == nil || (!apierr.Is(cause, apierr.BudgetExceeded) && !apierr.Is(cause, apierr.TurnsUnavailable)) {
		return err
	}
	if apierr.From(err, apierr.OutcomeUnknown).Outcome == apierr.NotRun {
		return cause
	}
	return err
}

// settle gives back what the turn did not generate of its reservation. A reservation that nobody has waited for ends
// with the request's context, and gives back all.
func (r *request) settle(generated int64) {
	if r.opened == nil && r.ahead {
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
