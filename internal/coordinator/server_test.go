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

// withService returns a Server whose configuration has service "s" with so many attempts and no retry left.
func withService(t *testing.T, attempts int) *Server {
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

// TestEngineWithoutModelCostsNoRetry: an attempt that an engine refused, for it lacked the model, is tried
// again whatever is left of attempts and retries, and counts as no failure later on.
func TestEngineWithoutModelCostsNoRetry(t *testing.T) {
	server := withService(t, 2)
	request := RetryRequest{Begin: BeginRequest{Admit: program.Admit{Service: "s", Model: "m"}}}
	assert.Assert(t, !server.refuteModel(request), "the pool's engines load no models")
	call := &program.Call{State: program.Admitted, Attempt: 2}
	message := func() string { return apierr.From(server.refuseRetry(request, call), apierr.Ran).Message }

	assert.Equal(t, message(), "2 engines failed in a row")
	request.EngineWithoutModel, request.ModelRefusals = "e", 1
	assert.NilError(t, server.refuseRetry(request, call))
	request.EngineWithoutModel = ""
	assert.Equal(t, message(), "the retry budget of the service is used up", "one engine has failed")
	server.budgets["s"] = limit.NewRetryBudget(0, 1)
	assert.NilError(t, server.refuseRetry(request, call))
	call.Attempt = 3
	assert.Equal(t, message(), "2 engines failed in a row")
}

// TestTimeInLineIsNotGivenTwice: what a call has waited before an engine refused it, for it lacked the model,
// is taken from its time in line.
func TestTimeInLineIsNotGivenTwice(t *testing.T) {
	server := withService(t, 2)
	server.machines = map[uint32]*program.Machine{0: program.NewMachine()}
	service := &resource.Service{QueueSeconds: 10}
	wait := func(waitedMillis int64) time.Duration {
		earlier := RetryRequest{WaitedMillis: waitedMillis}.pastAttempts()
		return server.describe(BeginRequest{}, &program.Call{}, server.options.Config.Current().Set, service, earlier).MaxWait
	}
	assert.Equal(t, wait(0), 10*time.Second)
	assert.Equal(t, wait(4000), 6*time.Second)
	assert.Equal(t, wait(11000), time.Duration(0))
}

// TestOnceAdmittedIsNeverNotRunByRouting: after a call was admitted, a replica that can't commit any
// more must not make the caller believe that it was not run; a refusal from the log stays what it is.
func TestOnceAdmittedIsNeverNotRunByRouting(t *testing.T) {
	outcome := func(code apierr.Code, outcome apierr.Outcome) apierr.Outcome {
		refusal := apierr.New(code, outcome, "x")
		refusal.Leader = "other"
		result := apierr.From(onceAdmitted(refusal), apierr.Ran)
		assert.Equal(t, result.Code, code)
		assert.Equal(t, result.Leader, "other", "the way to the leader is kept")
		assert.Equal(t, refusal.Outcome, outcome, "the refusal itself is not changed")
		return result.Outcome
	}
	assert.NilError(t, onceAdmitted(nil))
	assert.Equal(t, outcome(apierr.NotLeader, apierr.NotRun), apierr.OutcomeUnknown)
	assert.Equal(t, outcome(apierr.PartitionUnavailable, apierr.NotRun), apierr.OutcomeUnknown)
	assert.Equal(t, outcome(apierr.Overloaded, apierr.NotRun), apierr.NotRun)
	assert.Equal(t, outcome(apierr.BudgetExceeded, apierr.NotRun), apierr.NotRun)
}
