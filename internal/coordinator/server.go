package coordinator

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/configuration"
	"github.com/mountstile/mountstile/internal/engine"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/limit"
	"github.com/mountstile/mountstile/internal/membership"
	"github.com/mountstile/mountstile/internal/owner"
	"github.com/mountstile/mountstile/internal/policy"
	"github.com/mountstile/mountstile/internal/program"
	"github.com/mountstile/mountstile/internal/replica"
	"github.com/mountstile/mountstile/internal/resource"
	"github.com/mountstile/mountstile/internal/scheduler"
	"github.com/mountstile/mountstile/internal/transport"
)

const (
	// gapWait is how long a call waits for the one before it to arrive.
	gapWait = 2 * time.Second
	// leadershipCheck is how often what waits for a change looks whether this node still leads.
	leadershipCheck = time.Second
	// proposeTimeout bounds one commit.
	proposeTimeout = 5 * time.Second
	// dispatchLease is how long a gateway may take from the answer to the first byte sent.
	dispatchLease = 3 * time.Second
	// retryRatio and retryBurst bound the retries of a pool.
	retryRatio = 0.2
	retryBurst = 20
	// decisionsKept are remembered for explanation.
	decisionsKept = 1024
)

// Policies gives the compiled policy of a service.
type Policies interface {
	ForService(service *resource.Service) (*policy.Policy, error)
}

// ServerOptions configure a Server.
type ServerOptions struct {
	Transport  *transport.Transport
	Membership *membership.Manager
	Config     *configuration.Manager
	Host       *replica.Host
	Scheduler  *scheduler.Scheduler
	Policies   Policies
	Engines    engine.ModelEngine
	Models     Models
	Limits     *limit.Limiter
	// Release gives a place on an engine back.
	Release func(engine resource.Engine, request owner.ReleaseRequest)
	Logger  *events.Logger
}

// Server serves the partitions that this node leads.
type Server struct {
	options ServerOptions

	mutex     sync.Mutex
	machines  map[uint32]*program.Machine
	driving   map[string]context.CancelCauseFunc
	orphans   map[string]time.Time
	budgets   map[string]*limit.RetryBudget
	decisions map[string]scheduler.Decision
	order     []string
	releasing map[program.HeldCache]bool
	checks    *executionChecks
}

// errCancelled is the cause when a caller gives up.
var errCancelled = apierr.New(apierr.Cancelled, apierr.NotRun, "the caller gave up")

// NewServer returns a Server and registers its messages.
func NewServer(options ServerOptions) *Server {
	server := &Server{
		options:   options,
		machines:  make(map[uint32]*program.Machine),
		driving:   make(map[string]context.CancelCauseFunc),
		orphans:   make(map[string]time.Time),
		budgets:   make(map[string]*limit.RetryBudget),
		decisions: make(map[string]scheduler.Decision),
		releasing: make(map[program.HeldCache]bool),
		checks:    newExecutionChecks(),
	}
	network := options.Transport
	transport.Handle(network, beginKind, func(ctx context.Context, _ transport.Peer, request BeginRequest) (BeginResponse, error) {
		return server.begin(ctx, request)
	})
	transport.Handle(network, retryKind, func(ctx context.Context, _ transport.Peer, request RetryRequest) (BeginResponse, error) {
		return server.retry(ctx, request)
	})
	transport.Handle(network, finishKind, func(ctx context.Context, _ transport.Peer, request FinishRequest) (CallResponse, error) {
		return server.change(ctx, request.Partition, program.Command{Complete: &request.Complete})
	})
	transport.Handle(network, failKind, func(ctx context.Context, _ transport.Peer, request FailRequest) (CallResponse, error) {
		return server.change(ctx, request.Partition, program.Command{Fail: &request.Fail})
	})
	transport.Handle(network, endKind, func(ctx context.Context, _ transport.Peer, request EndRequest) (CallResponse, error) {
		return server.change(ctx, request.Partition, program.Command{End: &request.End})
	})
	transport.HandleOneWay(network, cancelKind, func(_ transport.Peer, request CancelRequest) { server.cancel(request.CallID) })
	transport.Handle(network, programKind, server.readProgram)
	transport.Handle(network, listKind, server.listPrograms)
	transport.Handle(network, explainKind, server.explain)
	return server
}

// NewMachine makes and keeps the state machine of a partition; it is replica.Options.NewMachine.
func (s *Server) NewMachine(group uint32) replica.StateMachine {
	machine := program.NewMachine()
	s.mutex.Lock()
	s.machines[group] = machine
	s.mutex.Unlock()
	return machine
}

func (s *Server) machine(group uint32) *program.Machine {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.machines[group]
}

// propose commits a command and returns its result.
func (s *Server) propose(ctx context.Context, group uint32, command program.Command) (program.Result, error) {
	command.At = time.Now().UnixMilli()
	encoded, err := json.Marshal(command)
	if err != nil {
		return program.Result{}, errors.Wrap(err, "encoding a command")
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	value, err := s.options.Host.Propose(ctx, group, encoded)
	if err != nil {
		return program.Result{}, err
	}
	result, ok := value.(program.Result)
	if !ok {
		return program.Result{}, apierr.New(apierr.Internal, apierr.OutcomeUnknown, "the state machine gave no result")
	}
	return result, nil
}

// change commits a command about a call under way. It does not end with the gateway's connection.
func (s *Server) change(ctx context.Context, group uint32, command program.Command) (CallResponse, error) {
	result, err := s.propose(context.WithoutCancel(ctx), group, command)
	if err != nil {
		return CallResponse{}, err
	}
	if result.Call == nil {
		if result.Error != nil {
			return CallResponse{}, result.Error
		}
		return CallResponse{}, nil
	}
	if result.Call.Ended() {
		s.options.Limits.Release(s.permit(command.Program(), result.Call))
	}
	if result.Call.State == program.Completed {
		s.retryBudget(result.Call.Service).Success()
	}
	return CallResponse{State: result.Call.State, Error: result.Error}, nil
}

func (s *Server) retryBudget(service string) *limit.RetryBudget {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.budgets[service] == nil {
		s.budgets[service] = limit.NewRetryBudget(retryRatio, retryBurst)
	}
	return s.budgets[service]
}

// begin admits a call and drives it until it has an engine, or joins the call that it repeats.
func (s *Server) begin(ctx context.Context, request BeginRequest) (BeginResponse, error) {
	result, err := s.admitInOrder(ctx, request)
	if err != nil {
		return BeginResponse{}, err
	}
	if result.Error != nil {
		if result.Error.Code == apierr.HistoryConflict {
			return BeginResponse{Conflict: &result.Mark}, nil
		}
		return BeginResponse{}, result.Error
	}
	response, err := s.follow(ctx, request, result.Call, pastAttempts{})
	return response, onceAdmitted(err)
}

// admitInOrder lets a call that came before its predecessor wait for it, for a bounded time.
func (s *Server) admitInOrder(ctx context.Context, request BeginRequest) (program.Result, error) {
	machine := s.machine(request.Partition)
	if machine == nil {
		return program.Result{}, apierr.New(apierr.NotLeader, apierr.NotRun, "this node holds no replica of partition %d", request.Partition)
	}
	timer := time.NewTimer(gapWait)
	defer timer.Stop()
	for {
		changed := machine.Watch(request.Admit.Program)
		result, err := s.propose(ctx, request.Partition, program.Command{Admit: &request.Admit})
		if err != nil || result.Error == nil || result.Error.Code != apierr.SequenceGap {
			return result, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return result, nil
		case <-ctx.Done():
			return program.Result{}, errCancelled
		}
	}
}

// onceAdmitted keeps a refusal to lead from passing for "not run": the call stands in the log, and
// whoever repeats it may yet have it driven by the next leader. Only the log's word is NotRun.
func onceAdmitted(err error) error {
	if err == nil || !apierr.Is(err, apierr.NotLeader) && !apierr.Is(err, apierr.PartitionUnavailable) {
		return err
	}
	failure := *apierr.From(err, apierr.OutcomeUnknown)
	failure.Outcome = apierr.OutcomeUnknown
	return &failure
}

// deposed tells that this node has ceased to lead a partition; nil if it leads. What waits for a
// change here would wait in vain once the replica is cut off from the others.
func (s *Server) deposed(group uint32) error {
	status, known := s.options.Host.Status(group)
	if known && status.IsLeader {
		return nil
	}
	refusal := apierr.New(apierr.NotLeader, apierr.OutcomeUnknown, "this node does not lead partition %d any more", group)
	refusal.Leader = status.Leader
	return refusal
}

// follow drives a call that has no driver on this leader, and waits for any other to end.
func (s *Server) follow(ctx context.Context, request BeginRequest, call *program.Call, earlier pastAttempts) (BeginResponse, error) {
	machine := s.machine(request.Partition)
	ticker := time.NewTicker(leadershipCheck)
	defer ticker.Stop()
	for {
		changed := machine.Watch(request.Admit.Program)
		current, known := machine.Call(request.Admit.Program, call.ID)
		if !known {
			return BeginResponse{}, apierr.New(apierr.ExecutionUnknown, apierr.OutcomeUnknown, "the call's record has expired")
		}
		switch {
		case current.State == program.Completed:
			return BeginResponse{CallID: current.ID, Answer: current.Answer}, nil
		case current.State == program.Failed:
			return BeginResponse{}, current.Error
		case current.State == program.Dispatching && current.Execution == request.Execution:
			// The answer that named the engine was lost on the way to this very request.
			return s.engineResponse(request, current)
		case current.State == program.Dispatching && !request.WaitForEnd:
			return BeginResponse{CallID: current.ID, RunningAt: current.Gateway}, nil
		case current.State == program.Admitted:
			if driven, done := s.startDriving(ctx, current.ID); done != nil {
				defer done()
				return s.drive(driven, request, current, earlier)
			}
		}
		select {
		case <-changed:
		case <-ticker.C:
			// The driver may have gone without a change, too.
			if err := s.deposed(request.Partition); err != nil {
				return BeginResponse{}, err
			}
			s.checks.request(call.ID)
		case <-ctx.Done():
			return BeginResponse{}, apierr.New(apierr.Cancelled, apierr.OutcomeUnknown, "gave up waiting for the call that this one repeats")
		}
	}
}

// startDriving makes this request the call's only driver here; done is nil if there is one.
func (s *Server) startDriving(ctx context.Context, callID string) (driven context.Context, done func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.driving[callID] != nil {
		return nil, nil
	}
	driven, cancel := context.WithCancelCause(ctx)
	s.driving[callID] = cancel
	delete(s.orphans, callID)
	return driven, sync.OnceFunc(func() {
		s.mutex.Lock()
		delete(s.driving, callID)
		s.mutex.Unlock()
		cancel(nil)
	})
}

// cancel ends the wait of a call whose caller is gone.
func (s *Server) cancel(callID string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if stop := s.driving[callID]; stop != nil {
		stop(errCancelled)
	}
}

// drive takes an admitted call through its turn, an engine, and the commit of the dispatch.
func (s *Server) drive(ctx context.Context, request BeginRequest, call *program.Call, earlier pastAttempts) (BeginResponse, error) {
	if err := s.awaitTurn(ctx, request, call); err != nil {
		if apierr.Is(err, apierr.NotLeader) {
			return BeginResponse{}, err
		}
		return BeginResponse{}, s.giveUp(ctx, request, call, err)
	}
	permit := s.permit(request.Admit.Program, call)
	if err := s.options.Limits.Acquire(ctx, permit); err != nil {
		return BeginResponse{}, s.giveUp(ctx, request, call, err)
	}
	started := time.Now()
	decision, err := s.place(ctx, request, call, earlier)
	waited := earlier.waited + time.Since(started)
	if err != nil {
		s.options.Limits.Release(permit)
		if apierr.Is(err, apierr.NotLeader) {
			return BeginResponse{}, err
		}
		return BeginResponse{}, s.giveUp(ctx, request, call, err)
	}
	result, err := s.dispatch(ctx, request, call, decision)
	if err == nil && result.Error == nil {
		response, err := s.engineResponse(request, result.Call)
		response.WaitedMillis = waited.Milliseconds()
		return response, err
	}
	s.options.Release(decision.Engine, owner.ReleaseRequest{Engine: decision.Engine.Name, CallID: call.ID})
	if err != nil {
		return BeginResponse{}, err
	}
	if result.Error.Code == apierr.HistoryConflict {
		_ = s.giveUp(ctx, request, call, result.Error)
		return BeginResponse{Conflict: &result.Mark}, nil
	}
	return BeginResponse{}, s.giveUp(ctx, request, call, result.Error)
}

// permit names a call's permit at the tenant's limit on the service.
func (s *Server) permit(key program.Key, call *program.Call) limit.Request {
	request := limit.Request{Tenant: key.Tenant, Service: call.Service, CallID: call.ID}
	if service, known := s.options.Config.Current().Set.Service(call.Service); known {
		request.HoldMillis = seconds(service.CallSeconds).Milliseconds()
	}
	return request
}

// awaitTurn waits until the calls before this one in the chain have ended.
func (s *Server) awaitTurn(ctx context.Context, request BeginRequest, call *program.Call) error {
	machine := s.machine(request.Partition)
	service, known := s.options.Config.Current().Set.Service(request.Admit.Service)
	if !known {
		return apierr.New(apierr.NotFound, apierr.NotRun, "service %q was removed", request.Admit.Service)
	}
	timer := time.NewTimer(seconds(service.CallSeconds))
	defer timer.Stop()
	ticker := time.NewTicker(leadershipCheck)
	defer ticker.Stop()
	for {
		changed := machine.Watch(request.Admit.Program)
		earlier := machine.OpenCallsBefore(request.Admit.Program, call.Sequence)
		if len(earlier) == 0 {
			return nil
		}
		select {
		case <-changed:
		case <-ticker.C:
			if err := s.deposed(request.Partition); err != nil {
				return err
			}
			s.checks.request(earlier...)
		case <-timer.C:
			return apierr.New(apierr.SequenceGap, apierr.NotRun, "an earlier call of the program did not end in time").WithRetryAfter(time.Second)
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// giveUp ends a call that has no engine. Only the log's word makes the refusal NotRun.
func (s *Server) giveUp(ctx context.Context, request BeginRequest, call *program.Call, cause error) error {
	failure := apierr.From(cause, apierr.OutcomeUnknown)
	if context.Cause(ctx) != nil && !apierr.Is(context.Cause(ctx), apierr.Cancelled) {
		// The connection to the gateway broke, perhaps for a moment: the gateway may ask again.
		return failure
	}
	result, err := s.propose(context.WithoutCancel(ctx), request.Partition, program.Command{Fail: &program.Fail{
		CallID:  call.ID,
		Program: request.Admit.Program,
		Error:   failure,
	}})
	if err != nil {
		return err
	}
	if result.Error != nil {
		return result.Error
	}
	return failure
}

// retry records a lost attempt, and finds another engine if the call may go again.
func (s *Server) retry(ctx context.Context, request RetryRequest) (BeginResponse, error) {
	begin := request.Begin
	// Claimed before the loss is committed: the request that holds the answer so far goes on with
	// it, rather than a repeat that waits for the end.
	driven, done := s.startDriving(ctx, begin.Admit.CallID)
	if done != nil {
		defer done()
	}
	result, err := s.propose(context.WithoutCancel(ctx), begin.Partition, program.Command{Lose: &program.LoseAttempt{
		CallID:      begin.Admit.CallID,
		Program:     begin.Admit.Program,
		Attempt:     request.Attempt,
		Undelivered: request.Undelivered,
		Spent:       request.Spent,
	}})
	if err != nil {
		return BeginResponse{}, err
	}
	if result.Error != nil {
		return BeginResponse{}, result.Error
	}
	if request.EngineWithoutModel != "" && !s.refuteModel(request) {
		request.Avoid, request.EngineWithoutModel = append(request.Avoid, request.EngineWithoutModel), ""
	}
	if refusal := s.refuseRetry(request, result.Call); refusal != nil {
		return BeginResponse{}, s.giveUp(ctx, begin, result.Call, refusal)
	}
	if done != nil && result.Call.State == program.Admitted {
		response, err := s.drive(driven, begin, result.Call, request.pastAttempts())
		return response, onceAdmitted(err)
	}
	if done != nil {
		done()
	}
	response, err := s.follow(ctx, begin, result.Call, request.pastAttempts())
	return response, onceAdmitted(err)
}

// refuseRetry applies the service's most attempts and the pool's retry budget. An engine that lacks a model
// costs neither: it has not failed, and after one refusal it is asked no more.
func (s *Server) refuseRetry(request RetryRequest, call *program.Call) error {
	if call.State != program.Admitted || request.EngineWithoutModel != "" {
		return nil
	}
	name := request.Begin.Admit.Service
	service, known := s.options.Config.Current().Set.Service(name)
	if failed := call.Attempt - request.ModelRefusals; known && failed >= service.MaxAttempts {
		return apierr.New(apierr.EngineFailed, apierr.NotRun, "%d engines failed in a row", failed).WithRetryAfter(time.Second)
	}
	if !s.retryBudget(name).Take() {
		return apierr.New(apierr.EngineFailed, apierr.NotRun, "the retry budget of the service is used up").WithRetryAfter(time.Second)
	}
	return nil
}
