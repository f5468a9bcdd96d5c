package coordinator

import (
	"bytes"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/configuration"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/limit"
	"github.com/mountstile/mountstile/internal/membership"
	"github.com/mountstile/mountstile/internal/program"
	"github.com/mountstile/mountstile/internal/resource"
	"github.com/mountstile/mountstile/internal/transport"
)

// newTestServer returns a Server with service "s", which has the given MaxAttempts and an empty retry budget.
func newTestServer(t *testing.T, attempts int) *Server {
	t.Helper()
	network := transport.New(transport.Options{Cluster: "c", NodeID: "n", Address: "n", Logger: events.Discard()})
	members := membership.NewManager(membership.Member{ID: "n", Address: "n"}, nil, membership.DefaultOptions(), network, events.Discard())
	config, err := configuration.NewManager(configuration.Options{Membership: members, Transport: network, Logger: events.Discard(), DataFolder: t.TempDir()})
	assert.NilError(t, err)
	service := &resource.Service{Type: resource.ServiceModel, Pool: "p", Models: []string{"m"}, Tenants: []string{"t"}, MaxAttempts: attempts}
	yaml, err := resource.Encode([]resource.Resource{
		{Kind: resource.KindTenant, Name: "t", Tenant: &resource.Tenant{}},
		{Kind: resource.KindPool, Name: "p", Pool: &resource.Pool{Engines: []resource.Engine{{Name: "e", URL: "http://e"}}}},
		{Kind: resource.KindService, Name: "s", Service: service},
	})
	assert.NilError(t, err)
	resources, err := resource.Decode("test", bytes.NewReader(yaml))
	assert.NilError(t, err)
	assert.NilError(t, config.Install(configuration.Document{Revision: 1, Resources: resources}))
	return &Server{options: ServerOptions{Config: config}, budgets: map[string]*limit.RetryBudget{"s": limit.NewRetryBudget(0, 0)}}
}

// TestMissingModelIsNotCountedAsFailure checks that an attempt that was refused because the engine had not loaded the model is
// retried regardless of MaxAttempts and the retry budget, and doesn't count as a failure later.
func TestMissingModelIsNotCountedAsFailure(t *testing.T) {
	server := newTestServer(t, 2)
	request := RetryRequest{Begin: BeginRequest{Admit: program.Admit{Service: "s", Model: "m"}}}
	assert.Assert(t, !server.markNotLoaded(request), "the pool is not configured to load models")
	call := &program.Call{State: program.Admitted, Attempt: 2}
	message := func() string { return apierr.From(server.checkRetry(request, call), apierr.Ran).Message }

	assert.Equal(t, message(), "2 attempts of the call have failed")
	request.EngineWithoutModel, request.ModelRefusals = "e", 1
	assert.NilError(t, server.checkRetry(request, call))
	request.EngineWithoutModel = ""
	assert.Equal(t, message(), "the retry budget of the service is used up", "one attempt has failed")
	server.budgets["s"] = limit.NewRetryBudget(0, 1)
	assert.NilError(t, server.checkRetry(request, call))
	call.Attempt = 3
	assert.Equal(t, message(), "2 attempts of the call have failed")
}

// TestQueueTimeIsDeductedFromRetry checks that the queue time before a refusal for a missing model reduces the MaxWait of the
// retry.
func TestQueueTimeIsDeductedFromRetry(t *testing.T) {
	server := newTestServer(t, 2)
	server.machines = map[uint32]*program.Machine{0: program.NewMachine()}
	service := &resource.Service{QueueSeconds: 10}
	wait := func(waitedMillis int64) time.Duration {
		prior := RetryRequest{WaitedMillis: waitedMillis}.priorAttempts()
		return server.newSchedulerCall(BeginRequest{}, &program.Call{}, server.options.Config.Current().Set, service, prior).MaxWait
	}
	assert.Equal(t, wait(0), 10*time.Second)
	assert.Equal(t, wait(4000), 6*time.Second)
	assert.Equal(t, wait(11000), time.Duration(0))
}

// TestRoutingErrorAfterAdmissionHasUnknownOutcome checks that a routing error after admission has the outcome OutcomeUnknown, since
// the call may still run. Committed failures keep their outcome.
func TestRoutingErrorAfterAdmissionHasUnknownOutcome(t *testing.T) {
	outcome := func(code apierr.Code, outcome apierr.Outcome) apierr.Outcome {
		original := apierr.New(code, outcome, "x")
		original.Leader = "other"
		result := apierr.From(admittedError(original), apierr.Ran)
		assert.Equal(t, result.Code, code)
		assert.Equal(t, result.Leader, "other", "the leader is kept")
		assert.Equal(t, original.Outcome, outcome, "the original error is not modified")
		return result.Outcome
	}
	assert.NilError(t, admittedError(nil))
	assert.Equal(t, outcome(apierr.NotLeader, apierr.NotRun), apierr.OutcomeUnknown)
	assert.Equal(t, outcome(apierr.PartitionUnavailable, apierr.NotRun), apierr.OutcomeUnknown)
	assert.Equal(t, outcome(apierr.Overloaded, apierr.NotRun), apierr.NotRun)
	assert.Equal(t, outcome(apierr.BudgetExceeded, apierr.NotRun), apierr.NotRun)
}
