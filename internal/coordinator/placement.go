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

// pastAttempts is what earlier attempts of a call leave to the next one.
type pastAttempts struct {
	// avoid are the engines on which the call has failed.
	avoid []string
	// waited is how much of its time in line is used up, as long as no engine has run the call.
	waited time.Duration
}

// pastAttempts is what a retry leaves to the next attempt.
func (r RetryRequest) pastAttempts() pastAttempts {
	return pastAttempts{avoid: r.Avoid, waited: time.Duration(r.WaitedMillis) * time.Millisecond}
}

func (s *Server) place(ctx context.Context, request BeginRequest, call *program.Call, earlier pastAttempts) (scheduler.Decision, error) {
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
	description := s.describe(request, call, set, service, earlier)
	if pool.Loading != nil {
		return s.placeOnLoaded(ctx, request, service, pool, description, rules)
	}
	decision, err := s.options.Scheduler.Place(ctx, description, pool, rules)
	s.remember(decision)
	return decision, err
}

// DescribeCall tells the scheduler about a call and its program.
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

// describe adds what only this node knows: the tenant's weight, and engines that have failed.
func (s *Server) describe(request BeginRequest, call *program.Call, set *resource.Set, service *resource.Service, earlier pastAttempts) scheduler.Call {
	summary, _ := s.machine(request.Partition).Summary(request.Admit.Program)
	description := DescribeCall(request, call, summary, service, time.Now())
	description.Avoid = earlier.avoid
	description.MaxWait = max(0, description.MaxWait-earlier.waited)
	if tenant, known := set.Tenant(request.Admit.Program.Tenant); known {
		description.Weight = tenant.Weight
	}
	return description
}

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

// engineResponse names the engine of the latest committed dispatch.
func (s *Server) engineResponse(request BeginRequest, call *program.Call) (BeginResponse, error) {
	response := BeginResponse{CallID: call.ID, Attempt: call.Attempt, LeaseMillis: dispatchLease.Milliseconds()}
	found, pool, exists := findEngine(s.options.Config.Current().Set, request.Admit.Service, call.Engine)
	if !exists {
		return response, apierr.New(apierr.NoEngine, apierr.OutcomeUnknown, "engine %q was removed", call.Engine)
	}
	response.Engine = &engine.Target{Name: found.Name, URL: found.URL, Pool: pool}
	if request.WantHistory {
		response.History = s.machine(request.Partition).History(request.Admit.Program)
	}
	return response, nil
}
