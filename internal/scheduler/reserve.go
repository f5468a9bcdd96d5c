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

// reserve requests a slot from the owners of the best candidates in order of score, and waits in each queue as long as the
// policy's patience allows. Then it queues the call at the least loaded candidates for the rest of MaxWait.
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
	for _, candidate := range ranked[:min(maxReserveAttempts, len(ranked))] {
		setEngineInput(&input, candidate, call, s.options.Zone)
		request.WaitMillis = s.patience(&input, rules, deadline).Milliseconds()
		response, err := s.reserveOn(ctx, candidate.Engine, request, decision)
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
		return false, apierr.New(apierr.Overloaded, apierr.NotRun, "no engine slot became free within the queue time").WithRetryAfter(minRetryAfter)
	}
	return s.waitInQueue(ctx, call, s.sortedByLoad(ranked), request, decision)
}

// patience returns how long the call may queue at a candidate before the next one is tried. If the policy fails, the call
// does not queue there.
func (s *Scheduler) patience(input *policy.Input, rules *policy.Policy, deadline time.Time) time.Duration {
	seconds, err := rules.Patience(input)
	if err != nil {
		s.options.Logger.Emit(events.PolicyEvaluationFailed, events.F("engine", input.EngineName), events.F("error", err))
		return 0
	}
	wait := min(seconds, deadline.Sub(s.now()).Seconds())
	return time.Duration(max(0, wait) * float64(time.Second))
}

// sortedByLoad returns the candidates in order of the loads that their owners have just reported; equally loaded ones stay in
// order of score.
func (s *Scheduler) sortedByLoad(ranked []Candidate) []Candidate {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.now()
	result := slices.Clone(ranked)
	for index := range result {
		result[index].Load = s.loadOf(result[index].Engine, now)
	}
	slices.SortStableFunc(result, func(a, b Candidate) int {
		return cmp.Compare(loadPerSlot(a), loadPerSlot(b))
	})
	return result
}

// loadPerSlot returns running and queued calls per slot. Engines that take no calls sort last.
func loadPerSlot(candidate Candidate) float64 {
	if candidate.Load.BreakerOpen || candidate.Load.Draining {
		return float64(1 << 20)
	}
	return float64(candidate.Load.Running+candidate.Load.Waiting) / float64(max(1, candidate.Load.Slots))
}

// waitInQueue queues the call at one candidate after the other until one grants a slot.
func (s *Scheduler) waitInQueue(ctx context.Context, call Call, ranked []Candidate, request owner.ReserveRequest, decision *Decision) (bool, error) {
	var refusal *apierr.Error
	for _, candidate := range ranked[:min(maxReserveAttempts, len(ranked))] {
		response, err := s.reserveOn(ctx, candidate.Engine, request, decision)
		if err != nil {
			refusal = apierr.New(apierr.NoEngine, apierr.NotRun, "reserving a slot at the engine's owner: %s", err).WithRetryAfter(time.Second)
			continue
		}
		if response.Granted {
			decision.Engine = candidate.Engine
			return true, nil
		}
		retryAfter := max(time.Duration(response.RetryAfter)*time.Millisecond, minRetryAfter)
		refusal = apierr.New(apierr.Overloaded, apierr.NotRun, "all engines are busy; the expected queue time exceeds the call's limit").WithRetryAfter(retryAfter)
		if ctx.Err() != nil {
			break
		}
	}
	return false, refusal
}

// reserveOn requests a slot on an engine from its owner, and caches the loads in the response.
func (s *Scheduler) reserveOn(ctx context.Context, engine resource.Engine, request owner.ReserveRequest, decision *Decision) (owner.ReserveResponse, error) {
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
		decision.Ticket = response.Ticket
		s.lastChosen[engine.Name] = now
	}
	for _, load := range response.Loads {
		s.loads[load.Engine] = cachedLoad{load: load, receivedAt: now}
	}
	return response, nil
}
