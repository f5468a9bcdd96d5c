package scheduler

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/owner"
	"github.com/mountstile/mountstile/internal/policy"
	"github.com/mountstile/mountstile/internal/resource"
)

// reserve asks the best candidates for a free place, and then lets the call wait at the best one
// that keeps a line.
func (s *Scheduler) reserve(ctx context.Context, call Call, ranked []Candidate, rules *policy.Policy, deadline time.Time, waited time.Duration, decision *Decision) (bool, error) {
	request := owner.ReserveRequest{
		CallID:     call.ID,
		Tenant:     call.Tenant,
		Weight:     call.Weight,
		Gateway:    call.Gateway,
		CallMillis: call.Timeout.Milliseconds(),
	}
	input := call.input(waited)
	rank, err := rules.Rank(&input)
	if err != nil {
		return false, apierr.New(apierr.PolicyFailed, apierr.NotRun, "%s", err)
	}
	request.Rank = rank
	for _, candidate := range ranked[:min(immediateTries, len(ranked))] {
		describe(&input, candidate, call, s.options.Zone)
		request.WaitMillis = s.patience(&input, rules, deadline).Milliseconds()
		response, err := s.ask(ctx, candidate.Engine, request, decision)
		if err == nil && response.Granted {
			decision.Engine = candidate.Engine
			return true, nil
		}
		if ctx.Err() != nil {
			return false, nil
		}
	}
	request.WaitMillis = deadline.Sub(s.now()).Milliseconds()
	if request.WaitMillis <= 0 {
		return false, apierr.New(apierr.Overloaded, apierr.NotRun, "no engine became free in time").WithRetryAfter(minimumRetryWait)
	}
	return s.wait(ctx, call, s.leastLoaded(ranked), request, decision)
}

// patience is how long the call rather waits for a candidate than goes to the next. A policy that
// fails here costs the call its warm engine, and nothing else.
func (s *Scheduler) patience(input *policy.Input, rules *policy.Policy, deadline time.Time) time.Duration {
	seconds, err := rules.Patience(input)
	if err != nil {
		s.options.Logger.Emit(events.PolicyEvaluationFail, events.F("engine", input.EngineName), events.F("error", err))
		return 0
	}
	wait := min(seconds, deadline.Sub(s.now()).Seconds())
	return time.Duration(max(0, wait) * float64(time.Second))
}

// leastLoaded orders the candidates anew by the loads just heard, keeping the score's order where
// the lines are equally long.
func (s *Scheduler) leastLoaded(ranked []Candidate) []Candidate {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.now()
	result := slices.Clone(ranked)
	for index := range result {
		result[index].Load = s.loadOf(result[index].Engine, now)
	}
	slices.SortStableFunc(result, func(a, b Candidate) int {
		return cmp.Compare(waitingPerSlot(a), waitingPerSlot(b))
	})
	return result
}

func waitingPerSlot(candidate Candidate) float64 {
	if candidate.Load.BreakerOpen || candidate.Load.Draining {
		return float64(1 << 20)
	}
	return float64(candidate.Load.Running+candidate.Load.Waiting) / float64(max(1, candidate.Load.Slots))
}

func (s *Scheduler) wait(ctx context.Context, call Call, ranked []Candidate, request owner.ReserveRequest, decision *Decision) (bool, error) {
	var refusal *apierr.Error
	for _, candidate := range ranked[:min(immediateTries, len(ranked))] {
		response, err := s.ask(ctx, candidate.Engine, request, decision)
		if err != nil {
			refusal = apierr.New(apierr.NoEngine, apierr.NotRun, "the engine's owner can't be reached: %s", err).WithRetryAfter(time.Second)
			continue
		}
		if response.Granted {
			decision.Engine = candidate.Engine
			return true, nil
		}
		retryAfter := max(time.Duration(response.RetryAfter)*time.Millisecond, minimumRetryWait)
		refusal = apierr.New(apierr.Overloaded, apierr.NotRun, "all engines are busy; the line is longer than the call may wait").WithRetryAfter(retryAfter)
		if ctx.Err() != nil {
			break
		}
	}
	return false, refusal
}

// ask reserves and remembers the loads that the owner tells.
func (s *Scheduler) ask(ctx context.Context, engine resource.Engine, request owner.ReserveRequest, decision *Decision) (owner.ReserveResponse, error) {
	request.Engine = engine.Name
	response, err := s.options.Reserver.Reserve(ctx, engine, request)
	if err != nil {
		return response, err
	}
	decision.Queued = decision.Queued || response.Queued
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.now()
	if response.Granted {
		s.chosen[engine.Name] = now
	}
	for _, load := range response.Loads {
		s.loads[load.Engine] = knownLoad{load: load, at: now}
	}
	return response, nil
}
