package coordinator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/clock"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/policy"
	"github.com/mountstile/mountstile/internal/program"
	"github.com/mountstile/mountstile/internal/resource"
	"github.com/mountstile/mountstile/internal/scheduler"
)

// A call whose cancellation arrives while its dispatch is committed is checked at once: otherwise it holds its slot until the next regular check.
func TestCallCancelledDuringDispatchIsCheckedSoon(t *testing.T) {
	server := newLeadingServer(t)
	key := program.Key{Tenant: "t", Path: "p"}
	server.options.Policies = policiesFunc(func() (*policy.Policy, error) { return policy.Compile(resource.Policy{}) })
	server.options.Scheduler = scheduler.New(scheduler.Options{Reserver: grantingReserver{}, Clock: clock.Real{}, Logger: events.Discard()})
	_, err := server.begin(t.Context(), BeginRequest{
		Partition: 1, Execution: "x",
		Admit: program.Admit{CallID: "call", Program: key, Service: "s", Gateway: "g", Limits: program.Limits{TokenBudget: 1, CallBudget: 1}},
	})
	assert.NilError(t, err, "%v", apierr.From(err, apierr.NotRun))
	calls := server.machine(1).OpenCalls()
	assert.Equal(t, len(calls), 1)
	assert.Equal(t, calls[0].State, program.Dispatching)
	assert.Assert(t, !server.checks.due(calls[0], time.Now()))
	server.cancel("call")
	assert.Assert(t, server.checks.due(calls[0], time.Now()))
}
