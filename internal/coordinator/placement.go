package coordinator

import (
	"context"
	"strings"
	"time"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/engine"
	"github.com/mountstile/mountstile/internal/program"
	"github.com/mountstile/mountstile/internal/resource"
	"github.com/mountstile/mountstile/internal/scheduler"
)

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }

// priorAttempts holds the outcome of a call's earlier attempts for the placement of the next one.
type priorAttempts struct {
	// software restricts the placement to engines of this software version; nil allows all.
	software *string
	// avoid are the engines on which the call has failed.
	avoid []string
	// waited is the part of the call's MaxWait that is used up. It counts only until an engine has run the call.
	waited time.Duration
}

// priorAttempts returns the outcome of the attempts that preceded the retry.
func (r RetryRequest) priorAttempts() priorAttempts {
	return priorAttempts{software: r.Software, avoid: r.Avoid, waited: time.Duration(r.WaitedMillis) * time.Millisecond}
}

// place selects an engine for the next attempt of a call, and reserves a slot on it.
func (s *Server) place(ctx context.Context, request BeginRequest, call *program.Call, prior priorAttempts) (scheduler.Decision, error) {
	set := s.options.Config.Current().Set
	service, known := set.Service(request.Admit.Service)
	if !known {
		return scheduler.Decision{}, apierr.New(apierr.NotFound, apierr.NotRun, "service %q was removed", request.Admit.Service)
	}
	pool, known := set.Pool(service.Pool)
	if !known {
		return scheduler.Decision{}, apierr.New(apierr.NoEngine, apierr.NotRun, "pool %q was removed", service.Pool)
	}
	rules, err := s.options.Policies.ForService(service)
	if err != nil {
		return scheduler.Decision{}, apierr.New(apierr.PolicyFailed, apierr.NotRun, "%s", err)
	}
	schedulerCall := s.newSchedulerCall(request, call, set, service, prior)
	if pool.Loading != nil {
		return s.placeOnLoaded(ctx, request, service, pool, schedulerCall, rules)
	}
	decision, err := s.options.Scheduler.Place(ctx, schedulerCall, pool, rules)
	s.recordDecision(decision)
	return decision, err
}

// DescribeCall returns the scheduler's input about a call and its program, with the default tenant weight.
func DescribeCall(request BeginRequest, call *program.Call, summary program.Summary, service *resource.Service, now time.Time) scheduler.Call {
	return scheduler.Call{
		ID:           call.ID,
		Program:      request.Admit.Program.Path,
		Tenant:       request.Admit.Program.Tenant,
		Weight:       resource.DefaultWeight,
		Gateway:      request.Admit.Gateway,
		Service:      request.Admit.Service,
		Model:        request.Admit.Model,
		Repeatable:   call.Repeatable,
		Attempt:      call.Attempt + 1,
		PromptTokens: request.PromptTokens,
		MaxTokens:    request.MaxTokens,
		LastEngine:   summary.LastEngine,
		WarmEngine:   summary.WarmEngine,
		CachedTokens: summary.WarmTokens,
		Depth:        strings.Count(request.Admit.Program.Path, "/"),
		Calls:        summary.Calls,
		UsedTokens:   summary.Used,
		Messages:     summary.Messages,
		AgeSeconds:   now.Sub(time.UnixMilli(summary.CreatedAt)).Seconds(),
		MaxWait:      seconds(service.QueueSeconds),
		Timeout:      seconds(service.CallSeconds),
	}
}

// newSchedulerCall adds the tenant's weight and the outcome of earlier attempts to the result of DescribeCall.
func (s *Server) newSchedulerCall(request BeginRequest, call *program.Call, set *resource.Set, service *resource.Service, prior priorAttempts) scheduler.Call {
	summary, _ := s.machine(request.Partition).Summary(request.Admit.Program)
	schedulerCall := DescribeCall(request, call, summary, service, time.Now())
	schedulerCall.Software = prior.software
	schedulerCall.Avoid = prior.avoid
	schedulerCall.MaxWait = max(0, schedulerCall.MaxWait-prior.waited)
	if tenant, known := set.Tenant(request.Admit.Program.Tenant); known {
		schedulerCall.Weight = tenant.Weight
	}
	return schedulerCall
}

// dispatch commits the engine of the call's next attempt.
func (s *Server) dispatch(ctx context.Context, request BeginRequest, call *program.Call, decision scheduler.Decision) (program.Result, error) {
	command := program.Dispatch{
		CallID:    call.ID,
		Program:   request.Admit.Program,
		Attempt:   call.Attempt + 1,
		Engine:    decision.Engine.Name,
		Gateway:   request.Admit.Gateway,
		Execution: request.Execution,
	}
	service, known := s.options.Config.Current().Set.Service(request.Admit.Service)
	if known && service.Type == resource.ServiceModel {
		command.CacheService = request.Admit.Service
	}
	return s.propose(ctx, request.Partition, program.Command{Dispatch: &command})
}

// engineResponse returns the response with the engine of the call's latest committed dispatch.
func (s *Server) engineResponse(request BeginRequest, call *program.Call) (BeginResponse, error) {
	response := BeginResponse{CallID: call.ID, Attempt: call.Attempt, LeaseMillis: dispatchLease.Milliseconds()}
	found, pool, exists := findEngine(s.options.Config.Current().Set, request.Admit.Service, call.Engine)
	if !exists {
		return response, apierr.New(apierr.NoEngine, apierr.OutcomeUnknown, "engine %q was removed", call.Engine)
	}
	response.Engine = &engine.Target{Name: found.Name, URL: found.URL, Pool: pool, Software: found.Software}
	if request.WantHistory {
		response.History = s.machine(request.Partition).History(request.Admit.Program)
	}
	return response, nil
}
