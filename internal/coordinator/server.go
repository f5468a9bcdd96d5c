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
	// sequenceGapTimeout is how long a call waits for the arrival of its predecessor in the program's sequence.
	sequenceGapTimeout    = 2 * time.Second
	sequenceGapRetryAfter = time.Second
	// leadershipCheckInterval is the interval at which requests that wait for a change check that this node still leads the
	// partition.
	leadershipCheckInterval = time.Second
	// proposeTimeout bounds the commit of one command.
	proposeTimeout = 5 * time.Second
	// dispatchLease is how long after the response a gateway may send the first byte to the engine.
	dispatchLease = 3 * time.Second
	// retryRatio is the number of retries of a service allowed per completed call, and retryBurst the number allowed in a burst.
	retryRatio = 0.2
	retryBurst = 20
	// maxDecisions bounds the decisions that are kept for explain.
	maxDecisions = 1024
)

// Policies provides the compiled policy of a service.
type Policies interface {
	ForService(service *resource.Service) (*policy.Policy, error)
}

// ServerOptions configures a Server.
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
	// Release frees a slot on an engine.
	Release func(engine resource.Engine, request owner.ReleaseRequest)
	Logger  *events.Logger
}

// Server handles requests for the partitions that this node leads. It is safe for concurrent use.
type Server struct {
	options ServerOptions

	mutex sync.Mutex
	// machines holds the state machine of each partition that has a replica here.
	machines map[uint32]*program.Machine
	// placements holds, by call ID, the function that cancels the placement of an admitted call on an engine. A call has one
	// placement at a time; other requests for the call wait for its result.
	placements map[string]context.CancelCauseFunc
	// orphanedSince is when an admitted call was first seen without a placement in progress, by call ID.
	orphanedSince map[string]time.Time
	// budgets holds the retry budget of each service.
	budgets   map[string]*limit.RetryBudget
	decisions map[string]scheduler.Decision
	// decisionOrder lists the call IDs of decisions, the oldest first.
	decisionOrder []string
	// releasing holds the cache releases in progress.
	releasing map[program.HeldCache]bool
	// checks and admissions have their own mutexes.
	checks     *executionChecks
	admissions *admissions
}

// errCancelled is the cancellation cause of a call whose caller has disconnected.
var errCancelled = apierr.New(apierr.Cancelled, apierr.NotRun, "the caller cancelled the request")

// NewServer returns a Server and registers its message handlers.
func NewServer(options ServerOptions) *Server {
	server := &Server{
		options:       options,
		machines:      make(map[uint32]*program.Machine),
		placements:    make(map[string]context.CancelCauseFunc),
		orphanedSince: make(map[string]time.Time),
		budgets:       make(map[string]*limit.RetryBudget),
		decisions:     make(map[string]scheduler.Decision),
		releasing:     make(map[program.HeldCache]bool),
		checks:        newExecutionChecks(),
		admissions:    newAdmissions(),
	}
	network := options.Transport
	transport.Handle(network, beginKind, func(ctx context.Context, _ transport.Peer, request BeginRequest) (BeginResponse, error) {
		return server.begin(ctx, request)
	})
	transport.Handle(network, retryKind, func(ctx context.Context, _ transport.Peer, request RetryRequest) (BeginResponse, error) {
		return server.retry(ctx, request)
	})
	transport.Handle(network, finishKind, func(ctx context.Context, _ transport.Peer, request FinishRequest) (CallResponse, error) {
		return server.commitChange(ctx, request.Partition, program.Command{Complete: &request.Complete})
	})
	transport.Handle(network, failKind, func(ctx context.Context, _ transport.Peer, request FailRequest) (CallResponse, error) {
		return server.commitChange(ctx, request.Partition, program.Command{Fail: &request.Fail})
	})
	transport.Handle(network, endKind, func(ctx context.Context, _ transport.Peer, request EndRequest) (CallResponse, error) {
		return server.commitChange(ctx, request.Partition, program.Command{End: &request.End})
	})
	transport.HandleOneWay(network, cancelKind, func(_ transport.Peer, request CancelRequest) { server.cancel(request.CallID) })
	transport.Handle(network, programKind, server.readProgram)
	transport.Handle(network, listKind, server.listPrograms)
	transport.Handle(network, explainKind, server.explain)
	transport.Handle(network, leaderKind, server.awaitLeader)
	return server
}

// NewMachine creates the state machine of a partition. It is for use as replica.Options.NewMachine.
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
		return program.Result{}, apierr.New(apierr.Internal, apierr.OutcomeUnknown, "the state machine returned no result")
	}
	return result, nil
}

// commitChange commits a command that changes a call or program, even if the gateway disconnects.
func (s *Server) commitChange(ctx context.Context, group uint32, command program.Command) (CallResponse, error) {
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

// begin admits a call, places it on an engine and commits the dispatch, or joins the call that it repeats.
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
	response, err := s.placeOrJoin(ctx, request, result.Call, priorAttempts{})
	return response, admittedError(err)
}

// admitInOrder admits a call. A call that arrives before its predecessor waits for it up to sequenceGapTimeout, and longer while
// an earlier call of the program waits here, too. A refusal is committed after that time, so that a former leader, which does not
// learn of the predecessor's arrival, can't refuse the call.
func (s *Server) admitInOrder(ctx context.Context, request BeginRequest) (program.Result, error) {
	key, sequence := request.Admit.Program, request.Admit.Sequence
	machine := s.machine(request.Partition)
	if machine == nil {
		return program.Result{}, apierr.New(apierr.NotLeader, apierr.NotRun, "this node holds no replica of partition %d", request.Partition)
	}
	defer s.admissions.add(key, sequence)()
	expiry := time.NewTimer(sequenceGapTimeout)
	defer expiry.Stop()
	expired := false
	for {
		changed := machine.Watch(key)
		result, err := s.propose(ctx, request.Partition, program.Command{Admit: &request.Admit})
		if err != nil || result.Error == nil || result.Error.Code != apierr.SequenceGap {
			return result, err
		}
		if expired && !s.admissions.hasBefore(key, sequence) {
			result.Error = result.Error.WithRetryAfter(sequenceGapRetryAfter)
			return result, nil
		}
		timedOut, err := s.awaitPredecessor(ctx, request, changed, expiry)
		if err != nil {
			return program.Result{}, err
		}
		expired = expired || timedOut
	}
}

// awaitPredecessor waits for a change of the program, or until expiry has fired and no earlier call of the program waits here.
// timedOut reports whether expiry has fired.
func (s *Server) awaitPredecessor(ctx context.Context, request BeginRequest, changed <-chan struct{}, expiry *time.Timer) (timedOut bool, err error) {
	key, sequence := request.Admit.Program, request.Admit.Sequence
	ticker := time.NewTicker(leadershipCheckInterval)
	defer ticker.Stop()
	for {
		left := s.admissions.left(key)
		if timedOut && !s.admissions.hasBefore(key, sequence) {
			return timedOut, nil
		}
		select {
		case <-changed:
			return timedOut, nil
		case <-expiry.C:
			timedOut = true
		case <-left:
		case <-ticker.C:
			if err := s.checkRefusedLeadership(request.Partition); err != nil {
				return timedOut, err
			}
		case <-ctx.Done():
			return timedOut, errCancelled
		}
	}
}

// checkRefusedLeadership is checkLeadership for a call whose admission was refused, so that it has certainly not run.
func (s *Server) checkRefusedLeadership(group uint32) error {
	err := s.checkLeadership(group)
	if err == nil {
		return nil
	}
	refused := *apierr.From(err, apierr.NotRun)
	refused.Outcome = apierr.NotRun
	return &refused
}

// admittedError changes the outcome of routing errors to OutcomeUnknown once a call was admitted: it is in the log, and the next
// leader may still place it for a repeat. Only a committed failure may be NotRun.
func admittedError(err error) error {
	if err == nil || !apierr.Is(err, apierr.NotLeader) && !apierr.Is(err, apierr.PartitionUnavailable) {
		return err
	}
	failure := *apierr.From(err, apierr.OutcomeUnknown)
	failure.Outcome = apierr.OutcomeUnknown
	return &failure
}

// checkLeadership returns a NotLeader error unless this node leads the partition. Requests that wait for a change must check it:
// a replica that is cut off from its quorum sees no further changes.
func (s *Server) checkLeadership(group uint32) error {
	status, known := s.options.Host.Status(group)
	if known && status.IsLeader {
		return nil
	}
	notLeader := apierr.New(apierr.NotLeader, apierr.OutcomeUnknown, "this node no longer leads partition %d", group)
	notLeader.Leader = status.Leader
	return notLeader
}

// placeOrJoin places an admitted call unless another request on this leader is placing it. Otherwise it waits until the call has
// ended or is executed by a gateway.
func (s *Server) placeOrJoin(ctx context.Context, request BeginRequest, call *program.Call, prior priorAttempts) (BeginResponse, error) {
	machine := s.machine(request.Partition)
	ticker := time.NewTicker(leadershipCheckInterval)
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
			// The response with the engine was lost, and the gateway has resent the same request.
			return s.engineResponse(request, current)
		case current.State == program.Dispatching && !request.WaitForEnd:
			return BeginResponse{CallID: current.ID, RunningAt: current.Gateway}, nil
		case current.State == program.Admitted:
			if placeCtx, done := s.startPlacement(ctx, current.ID); done != nil {
				response, err := s.placeAndDispatch(placeCtx, request, current, prior)
				done()
				if !s.supersededPlacement(request, current, err) {
					return response, err
				}
				continue
			}
		}
		select {
		case <-changed:
		case <-ticker.C:
			// The placement may also have ended without a committed change.
			if err := s.checkLeadership(request.Partition); err != nil {
				return BeginResponse{}, err
			}
			s.checks.request(call.ID)
		case <-ctx.Done():
			return BeginResponse{}, apierr.New(apierr.Cancelled, apierr.OutcomeUnknown, "the caller cancelled the request while it waited for the call that it repeats")
		}
	}
}

// supersededPlacement reports whether a placement has failed because another attempt of the call was committed meanwhile, for
// example that of a leader which lost its leadership before. The request then continues with the call as it is now.
func (s *Server) supersededPlacement(request BeginRequest, placed *program.Call, err error) bool {
	if !apierr.Is(err, apierr.Internal) {
		return false
	}
	current, known := s.machine(request.Partition).Call(request.Admit.Program, placed.ID)
	return known && current.Attempt > placed.Attempt
}

// startPlacement makes this request the only one that places a call on this node. It returns a nil done if another request is
// placing the call.
func (s *Server) startPlacement(ctx context.Context, callID string) (placeCtx context.Context, done func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.placements[callID] != nil {
		return nil, nil
	}
	placeCtx, cancel := context.WithCancelCause(ctx)
	s.placements[callID] = cancel
	delete(s.orphanedSince, callID)
	return placeCtx, sync.OnceFunc(func() {
		s.mutex.Lock()
		delete(s.placements, callID)
		s.mutex.Unlock()
		cancel(nil)
	})
}

// cancel stops the placement of a call whose caller has disconnected. Its dispatch may have been committed already, or may still be: the gateway is
// asked soon whether it executes the call, so that the slot does not stay reserved.
func (s *Server) cancel(callID string) {
	s.checks.request(callID)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if stop := s.placements[callID]; stop != nil {
		stop(errCancelled)
	}
}

// placeAndDispatch waits for an admitted call's predecessors and a concurrency permit, places the call on an engine, and commits
// the dispatch.
func (s *Server) placeAndDispatch(ctx context.Context, request BeginRequest, call *program.Call, prior priorAttempts) (BeginResponse, error) {
	if err := s.awaitPredecessors(ctx, request, call); err != nil {
		if apierr.Is(err, apierr.NotLeader) {
			return BeginResponse{}, err
		}
		return BeginResponse{}, s.failCall(ctx, request, call, err)
	}
	permit := s.permit(request.Admit.Program, call)
	if err := s.options.Limits.Acquire(ctx, permit); err != nil {
		return BeginResponse{}, s.failCall(ctx, request, call, err)
	}
	started := time.Now()
	decision, err := s.place(ctx, request, call, prior)
	waited := prior.waited + time.Since(started)
	if err != nil {
		s.options.Limits.Release(permit)
		if apierr.Is(err, apierr.NotLeader) {
			return BeginResponse{}, err
		}
		return BeginResponse{}, s.failCall(ctx, request, call, err)
	}
	result, err := s.dispatch(ctx, request, call, decision)
	if err == nil && result.Error == nil {
		response, err := s.engineResponse(request, result.Call)
		response.WaitedMillis = waited.Milliseconds()
		return response, err
	}
	if err != nil {
		s.releaseUnlessDispatched(uncertainDispatch{request: request, callID: call.ID, attempt: call.Attempt + 1, decision: decision}, err)
		return BeginResponse{}, err
	}
	s.releaseDecision(call.ID, decision)
	if result.Error.Code == apierr.Internal {
		// Another attempt was committed meanwhile, so the call must not be failed for this one.
		return BeginResponse{}, result.Error
	}
	if result.Error.Code == apierr.HistoryConflict {
		_ = s.failCall(ctx, request, call, result.Error)
		return BeginResponse{Conflict: &result.Mark}, nil
	}
	return BeginResponse{}, s.failCall(ctx, request, call, result.Error)
}

// permit returns the request for a call's permit under the tenant's concurrency limit for the service.
func (s *Server) permit(key program.Key, call *program.Call) limit.Request {
	request := limit.Request{Tenant: key.Tenant, Service: call.Service, CallID: call.ID}
	if service, known := s.options.Config.Current().Set.Service(call.Service); known {
		request.HoldMillis = seconds(service.CallSeconds).Milliseconds()
	}
	return request
}

// awaitPredecessors waits until the earlier calls in the program's sequence have ended.
func (s *Server) awaitPredecessors(ctx context.Context, request BeginRequest, call *program.Call) error {
	machine := s.machine(request.Partition)
	service, known := s.options.Config.Current().Set.Service(request.Admit.Service)
	if !known {
		return apierr.New(apierr.NotFound, apierr.NotRun, "service %q was removed", request.Admit.Service)
	}
	timer := time.NewTimer(seconds(service.CallSeconds))
	defer timer.Stop()
	ticker := time.NewTicker(leadershipCheckInterval)
	defer ticker.Stop()
	for {
		changed := machine.Watch(request.Admit.Program)
		predecessors := machine.OpenCallsBefore(request.Admit.Program, call.Sequence)
		if len(predecessors) == 0 {
			return nil
		}
		select {
		case <-changed:
		case <-ticker.C:
			if err := s.checkLeadership(request.Partition); err != nil {
				return err
			}
			s.checks.request(predecessors...)
		case <-timer.C:
			return apierr.New(apierr.SequenceGap, apierr.NotRun, "an earlier call of the program did not end in time").WithRetryAfter(time.Second)
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// failCall commits the failure of a call that has no engine, and returns the error for the gateway. It is NotRun only if the
// failure was committed.
func (s *Server) failCall(ctx context.Context, request BeginRequest, call *program.Call, cause error) error {
	failure := apierr.From(cause, apierr.OutcomeUnknown)
	if context.Cause(ctx) != nil && !apierr.Is(context.Cause(ctx), apierr.Cancelled) {
		// The connection to the gateway has failed, and the gateway may resend the request: the call stays open.
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

// retry commits a lost attempt, and places the call on another engine if it may be retried.
func (s *Server) retry(ctx context.Context, request RetryRequest) (BeginResponse, error) {
	begin := request.Begin
	// The placement starts before the loss is committed. Otherwise a repeat that waits for the call's end could place the call
	// for its own gateway, which lacks the partial answer.
	placeCtx, done := s.startPlacement(ctx, begin.Admit.CallID)
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
	if request.EngineWithoutModel != "" && !s.markNotLoaded(request) {
		request.Avoid, request.EngineWithoutModel = append(request.Avoid, request.EngineWithoutModel), ""
	}
	if refusal := s.checkRetry(request, result.Call); refusal != nil {
		return BeginResponse{}, s.failCall(ctx, begin, result.Call, refusal)
	}
	if done != nil && result.Call.State == program.Admitted {
		response, err := s.placeAndDispatch(placeCtx, begin, result.Call, request.priorAttempts())
		if !s.supersededPlacement(begin, result.Call, err) {
			return response, admittedError(err)
		}
	}
	if done != nil {
		done()
	}
	response, err := s.placeOrJoin(ctx, begin, result.Call, request.priorAttempts())
	return response, admittedError(err)
}

// checkRetry enforces the service's MaxAttempts and retry budget. An attempt that was refused because the engine had not loaded
// the model counts against neither: the engine has not failed, and the retry doesn't use it while it lacks the model.
func (s *Server) checkRetry(request RetryRequest, call *program.Call) error {
	if call.State != program.Admitted || request.EngineWithoutModel != "" {
		return nil
	}
	name := request.Begin.Admit.Service
	service, known := s.options.Config.Current().Set.Service(name)
	if failed := call.Attempt - request.ModelRefusals; known && failed >= service.MaxAttempts {
		return apierr.New(apierr.EngineFailed, apierr.NotRun, "%d attempts of the call have failed", failed).WithRetryAfter(time.Second)
	}
	if !s.retryBudget(name).Take() {
		return apierr.New(apierr.EngineFailed, apierr.NotRun, "the retry budget of the service is used up").WithRetryAfter(time.Second)
	}
	return nil
}
