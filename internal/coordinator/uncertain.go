package coordinator

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/owner"
	"github.com/mountstile/mountstile/internal/program"
	"github.com/mountstile/mountstile/internal/replica"
	"github.com/mountstile/mountstile/internal/scheduler"
)

// A dispatch whose commit has failed may still be in the log, for example if this node lost its leadership meanwhile. The
// next leader then has the call executed on the engine, so its slot must stay reserved.

// dispatchResolution is how long a slot is kept for a dispatch of which it is not known whether it was committed. It covers
// an election and the replay of the new leader's log.
const dispatchResolution = 10 * time.Second

// dispatchOutcome is what the log says about a dispatch.
type dispatchOutcome int

const (
	dispatchPending dispatchOutcome = iota
	dispatchCommitted
	dispatchDropped
)

// uncertainDispatch is a dispatch whose commit has failed.
type uncertainDispatch struct {
	request  BeginRequest
	callID   string
	attempt  int
	decision scheduler.Decision
	// applied receives whether the log contains the dispatch; nil or closed if that can't be known.
	applied <-chan bool
}

// outcome returns what the state machine says about the dispatch. A dispatch counts as dropped, too, once its attempt has
// ended, which has released the slot.
func (d uncertainDispatch) outcome(machine *program.Machine) dispatchOutcome {
	current, known := machine.Call(d.request.Admit.Program, d.callID)
	switch {
	case !known || current.Ended():
		return dispatchDropped
	case current.State == program.Dispatching:
		if current.Attempt == d.attempt && current.Execution == d.request.Execution && current.Engine == d.decision.Engine.Name {
			return dispatchCommitted
		}
		return dispatchDropped
	case current.Attempt >= d.attempt:
		return dispatchDropped
	}
	return dispatchPending
}

// resolve waits until the log or the state machine shows whether the dispatch was committed, for limit at most, and reports whether
// its slot is needed.
func (d uncertainDispatch) resolve(machine *program.Machine, limit time.Duration) bool {
	deadline := time.NewTimer(limit)
	defer deadline.Stop()
	applied := d.applied
	for {
		changed := machine.Watch(d.request.Admit.Program)
		if outcome := d.outcome(machine); outcome != dispatchPending {
			return outcome == dispatchCommitted
		}
		select {
		case <-changed:
		case inLog, known := <-applied:
			if known && !inLog {
				return false
			}
			applied = nil
		case <-deadline.C:
			return false
		}
	}
}

// releaseUnlessDispatched frees the slot of a dispatch whose commit has failed, unless the call is executed there. It
// returns at once if the dispatch can't have been committed, and resolves it in the background otherwise.
func (s *Server) releaseUnlessDispatched(uncertain uncertainDispatch, failure error) {
	if apierr.From(failure, apierr.OutcomeUnknown).Outcome == apierr.NotRun {
		s.releaseDecision(uncertain.callID, uncertain.decision)
		return
	}
	var lost *replica.ErrLeadershipLost
	if errors.As(failure, &lost) {
		uncertain.applied = lost.Applied()
	}
	machine := s.machine(uncertain.request.Partition)
	go func() {
		if !uncertain.resolve(machine, dispatchResolution) {
			s.releaseDecision(uncertain.callID, uncertain.decision)
		}
	}()
}

// releaseDecision frees the slot of a decision that was not dispatched. It names the reservation, because the call may have
// got another slot on the same engine since.
func (s *Server) releaseDecision(callID string, decision scheduler.Decision) {
	s.options.Release(decision.Engine, owner.ReleaseRequest{Engine: decision.Engine.Name, CallID: callID, Ticket: decision.Ticket, Unused: true})
}
