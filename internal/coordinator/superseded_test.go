package coordinator

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/clock"
	"github.com/mountstile/mountstile/internal/consensus"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/limit"
	"github.com/mountstile/mountstile/internal/owner"
	"github.com/mountstile/mountstile/internal/policy"
	"github.com/mountstile/mountstile/internal/program"
	"github.com/mountstile/mountstile/internal/replica"
	"github.com/mountstile/mountstile/internal/resource"
	"github.com/mountstile/mountstile/internal/scheduler"
	"github.com/mountstile/mountstile/internal/transport"
)

// policiesFunc implements Policies.
type policiesFunc func() (*policy.Policy, error)

func (f policiesFunc) ForService(*resource.Service) (*policy.Policy, error) { return f() }

// grantingReserver grants every slot.
type grantingReserver struct{}

func (grantingReserver) Reserve(context.Context, resource.Engine, owner.ReserveRequest) (owner.ReserveResponse, error) {
	return owner.ReserveResponse{Granted: true, Ticket: 1}, nil
}

// newLeadingServer returns a Server whose node is the only replica of partition 1 and leads it.
func newLeadingServer(t *testing.T) *Server {
	t.Helper()
	server := newTestServer(t, 2)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	network := transport.New(transport.Options{Cluster: "c", NodeID: "n", Address: listener.Addr().String(), Logger: events.Discard()})
	server.machines = make(map[uint32]*program.Machine)
	server.placements = make(map[string]context.CancelCauseFunc)
	server.orphanedSince = make(map[string]time.Time)
	server.decisions = make(map[string]scheduler.Decision)
	server.checks = newExecutionChecks()
	server.admissions = newAdmissions()
	server.options.Limits = limit.NewLimiter(network, nil, server.options.Config)
	server.options.Host = replica.NewHost(replica.Options{
		ReplicaID: "n", Transport: network, Storage: replica.MemoryStorage{}, Logger: events.Discard(),
		Address:    func(string) (string, bool) { return "", false },
		NewMachine: server.NewMachine,
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = server.options.Host.Run(ctx)
	}()
	go func() { _ = network.Serve(listener) }()
	t.Cleanup(func() {
		cancel()
		network.Close()
		<-ended
	})
	assert.NilError(t, server.options.Host.Start(1, &consensus.Members{Voters: []string{"n"}}))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if server.isLeader(1) {
			return poll.Success()
		}
		return poll.Continue("the partition has no leader")
	}, poll.WithTimeout(time.Minute))
	return server
}

// TestPlacementJoinsDispatchOfEarlierLeader commits the dispatch of an earlier leader while a call is placed again, and lets the
// placement fail. The caller must get the engine of that dispatch, not an internal error.
func TestPlacementJoinsDispatchOfEarlierLeader(t *testing.T) {
	server := newLeadingServer(t)
	key := program.Key{Tenant: "t", Path: "p"}
	server.options.Policies = policiesFunc(func() (*policy.Policy, error) {
		_, err := server.propose(t.Context(), 1, program.Command{Dispatch: &program.Dispatch{
			CallID: "call", Program: key, Attempt: 1, Engine: "e", Gateway: "g", Execution: "x",
		}})
		assert.Check(t, err)
		return nil, apierr.New(apierr.Overloaded, apierr.NotRun, "all engines are busy")
	})
	response, err := server.begin(t.Context(), BeginRequest{
		Partition: 1, Execution: "x",
		Admit: program.Admit{CallID: "call", Program: key, Service: "s", Gateway: "g", Limits: program.Limits{TokenBudget: 1, CallBudget: 1}},
	})
	assert.NilError(t, err)
	assert.Equal(t, response.Attempt, 1)
	assert.Equal(t, response.Engine.Name, "e")
}

// TestPlacementFollowsLostAttemptOfEarlierLeader commits another attempt and its loss while a call is placed. The call must be placed
// again, and must not fail because its first placement names an attempt that has been made.
func TestPlacementFollowsLostAttemptOfEarlierLeader(t *testing.T) {
	server := newLeadingServer(t)
	key := program.Key{Tenant: "t", Path: "p"}
	placements := 0
	server.options.Release = func(resource.Engine, owner.ReleaseRequest) {}
	server.options.Policies = policiesFunc(func() (*policy.Policy, error) {
		placements++
		if placements > 1 {
			return nil, apierr.New(apierr.Overloaded, apierr.NotRun, "all engines are busy")
		}
		for _, command := range []program.Command{
			{Dispatch: &program.Dispatch{CallID: "call", Program: key, Attempt: 1, Engine: "e", Gateway: "g", Execution: "earlier"}},
			{Lose: &program.LoseAttempt{CallID: "call", Program: key, Attempt: 1, Undelivered: true}},
		} {
			_, err := server.propose(t.Context(), 1, command)
			assert.Check(t, err)
		}
		return policy.Compile(resource.Policy{})
	})
	server.options.Scheduler = scheduler.New(scheduler.Options{Reserver: grantingReserver{}, Clock: clock.Real{}, Logger: events.Discard()})
	_, err := server.begin(t.Context(), BeginRequest{
		Partition: 1, Execution: "x",
		Admit: program.Admit{CallID: "call", Program: key, Service: "s", Gateway: "g", Limits: program.Limits{TokenBudget: 1, CallBudget: 1}},
	})
	assert.Assert(t, apierr.Is(err, apierr.PolicyFailed), "%v", err)
	assert.Equal(t, placements, 2)
}
