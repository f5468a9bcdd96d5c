package coordinator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/owner"
	"github.com/mountstile/mountstile/internal/program"
	"github.com/mountstile/mountstile/internal/resource"
	"github.com/mountstile/mountstile/internal/scheduler"
)

var uncertainProgram = program.Key{Tenant: "t", Path: "p"}

// newUncertainDispatch returns the dispatch of an admitted call whose commit failed, and a server that records releases.
func newUncertainDispatch(t *testing.T) (*Server, *program.Machine, uncertainDispatch, chan owner.ReleaseRequest) {
	t.Helper()
	machine := program.NewMachine()
	admit := program.Admit{CallID: "a", Program: uncertainProgram, Limits: program.Limits{TokenBudget: 1000, CallBudget: 10, IdleMillis: 60_000, MaxMillis: 60_000}}
	admitted := machine.Execute(program.Command{At: 1, Admit: &admit})
	assert.Assert(t, admitted.Error == nil, "%v", admitted.Error)
	released := make(chan owner.ReleaseRequest, 1)
	server := newTestServer(t, 1)
	server.machines = map[uint32]*program.Machine{0: machine}
	server.options.Release = func(_ resource.Engine, request owner.ReleaseRequest) { released <- request }
	uncertain := uncertainDispatch{
		request: BeginRequest{Admit: admit, Execution: "x"}, callID: "a", attempt: 1,
		decision: scheduler.Decision{Engine: resource.Engine{Name: "e"}, Ticket: 7},
	}
	return server, machine, uncertain, released
}

func commitDispatch(t *testing.T, machine *program.Machine, engine, execution string) {
	t.Helper()
	result := machine.Execute(program.Command{At: 2, Dispatch: &program.Dispatch{
		CallID: "a", Program: uncertainProgram, Attempt: 1, Engine: engine, Gateway: "g", Execution: execution,
	}})
	assert.Assert(t, result.Error == nil, "%v", result.Error)
}

// A dispatch that is committed although its commit was reported as failed keeps its slot: the engine would get a call more
// than it has slots otherwise.
func TestSlotOfCommittedDispatchIsKept(t *testing.T) {
	_, machine, uncertain, _ := newUncertainDispatch(t)
	needed := make(chan bool, 1)
	go func() { needed <- uncertain.resolve(machine, 10*time.Second) }()
	commitDispatch(t, machine, "e", "x")
	assert.Assert(t, <-needed)
}

// A dispatch that was not committed frees its slot, and only the slot of its own reservation.
func TestSlotOfDroppedDispatchIsReleased(t *testing.T) {
	unknown := apierr.New(apierr.NotLeader, apierr.OutcomeUnknown, "leadership was lost")
	for name, test := range map[string]struct {
		failure error
		change  func(machine *program.Machine)
	}{
		"not proposed":      {apierr.New(apierr.NotLeader, apierr.NotRun, "not the leader"), func(*program.Machine) {}},
		"another engine":    {unknown, func(machine *program.Machine) { commitDispatch(t, machine, "other", "x") }},
		"another execution": {unknown, func(machine *program.Machine) { commitDispatch(t, machine, "e", "other") }},
		"call failed": {unknown, func(machine *program.Machine) {
			machine.Execute(program.Command{At: 2, Fail: &program.Fail{CallID: "a", Program: uncertainProgram, Error: unknown}})
		}},
	} {
		t.Run(name, func(t *testing.T) {
			server, machine, uncertain, released := newUncertainDispatch(t)
			server.releaseUnlessDispatched(uncertain, test.failure)
			test.change(machine)
			request := <-released
			assert.Equal(t, request.Ticket, uint64(7))
			assert.Assert(t, request.Unused, "the engine's health was judged by a call that it never got")
		})
	}
}

// An uncertain dispatch that stays undecided frees its slot in the end.
func TestSlotOfUndecidedDispatchIsReleased(t *testing.T) {
	_, machine, uncertain, _ := newUncertainDispatch(t)
	assert.Assert(t, !uncertain.resolve(machine, 10*time.Millisecond))
}

// A dispatch that the log excludes frees its slot at once, and one that the log contains keeps it.
func TestSlotFollowsLogOfUncertainDispatch(t *testing.T) {
	_, machine, uncertain, _ := newUncertainDispatch(t)
	applied := make(chan bool, 1)
	applied <- false
	uncertain.applied = applied
	assert.Assert(t, !uncertain.resolve(machine, time.Hour))
	applied <- true
	needed := make(chan bool, 1)
	go func() { needed <- uncertain.resolve(machine, time.Hour) }()
	commitDispatch(t, machine, "e", "x")
	assert.Assert(t, <-needed)
}
