package coordinator

import (
	"context"
	"time"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/modelload"
	"github.com/mountstile/mountstile/internal/policy"
	"github.com/mountstile/mountstile/internal/program"
	"github.com/mountstile/mountstile/internal/resource"
	"github.com/mountstile/mountstile/internal/scheduler"
)

// modelRetryAfter is the Retry-After of a call whose model no engine has loaded in time.
const modelRetryAfter = 2 * time.Second

// Models provides the engines that have loaded a model.
type Models interface {
	// Engines returns the engines of a pool that have loaded a model.
	Engines(poolName string, pool *resource.Pool, model string) []resource.Engine
	// Changed returns a channel that is closed when the result of Engines may have changed.
	Changed() <-chan struct{}
	// ReportDemand reports that a call waits for a model that no engine has loaded.
	ReportDemand()
	// MarkNotLoaded reports that an engine has refused a call because it has not loaded a model, although Engines returned it for that
	// model. It returns false if the engine is no longer listed for the model.
	MarkNotLoaded(pool, engine, model string) bool
}

// errMoreEngines is the cancellation cause of a placement that restarts because more engines have loaded the model.
var errMoreEngines = apierr.New(apierr.Cancelled, apierr.NotRun, "more engines have loaded the model")

// placeOnLoaded places a call on one of the engines that have loaded its model, and waits until there is one. It leaves an
// engine's queue when more engines have loaded the model: otherwise the queued calls that caused the load would not use them.
func (s *Server) placeOnLoaded(ctx context.Context, request BeginRequest, service *resource.Service, pool *resource.Pool, schedulerCall scheduler.Call, rules *policy.Policy) (scheduler.Decision, error) {
	deadline := time.Now().Add(schedulerCall.MaxWait)
	// In the second half of its wait a call keeps its place in the queue: it is near the front, and another engine may refuse it.
	restartDeadline := deadline.Add(-schedulerCall.MaxWait / 2)
	for {
		loaded, err := s.loadedEngines(ctx, request, service.Pool, pool, deadline)
		if err != nil {
			return scheduler.Decision{}, err
		}
		placeCtx, stop := s.cancelOnMoreEngines(ctx, service.Pool, pool, schedulerCall.Model, len(loaded), restartDeadline)
		schedulerCall.MaxWait = max(0, time.Until(deadline))
		decision, err := s.options.Scheduler.Place(placeCtx, schedulerCall, &resource.Pool{Engines: loaded}, rules)
		restart := err != nil && ctx.Err() == nil && context.Cause(placeCtx) == errMoreEngines
		stop()
		if !restart {
			s.recordDecision(decision)
			return decision, err
		}
	}
}

// loadedEngines returns the engines that have loaded the call's model, and waits until there is one. It returns NoEngine at
// the deadline, and NotLeader if this node loses leadership.
func (s *Server) loadedEngines(ctx context.Context, request BeginRequest, poolName string, pool *resource.Pool, deadline time.Time) ([]resource.Engine, error) {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	ticker := time.NewTicker(leadershipCheckInterval)
	defer ticker.Stop()
	for {
		changed := s.options.Models.Changed()
		if engines := s.options.Models.Engines(poolName, pool, request.Admit.Model); len(engines) > 0 {
			return engines, nil
		}
		s.options.Models.ReportDemand()
		select {
		case <-changed:
		case <-ticker.C:
			if err := s.checkLeadership(request.Partition); err != nil {
				return nil, err
			}
		case <-timer.C:
			return nil, apierr.New(apierr.NoEngine, apierr.NotRun, "no engine loaded model %q in time", request.Admit.Model).WithRetryAfter(modelRetryAfter)
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
	}
}

// cancelOnMoreEngines returns a context that is cancelled with errMoreEngines if more than count engines have loaded the model
// before a deadline. The caller must call stop when the placement has ended.
func (s *Server) cancelOnMoreEngines(ctx context.Context, poolName string, pool *resource.Pool, model string, count int, deadline time.Time) (placeCtx context.Context, stop func()) {
	placeCtx, cancel := context.WithCancelCause(ctx)
	go func() {
		for time.Now().Before(deadline) {
			changed := s.options.Models.Changed()
			if len(s.options.Models.Engines(poolName, pool, model)) > count {
				cancel(errMoreEngines)
				return
			}
			select {
			case <-changed:
			case <-placeCtx.Done():
				return
			}
		}
	}()
	return placeCtx, func() { cancel(nil) }
}

// markNotLoaded records that the engine of a lost attempt has not loaded the call's model, so that the call waits for engines that
// have. It returns false if the pool is not configured to load models or was removed: then the retry must avoid the engine, or it
// could be placed there again at once.
func (s *Server) markNotLoaded(request RetryRequest) bool {
	set := s.options.Config.Current().Set
	service, known := set.Service(request.Begin.Admit.Service)
	if !known {
		return false
	}
	pool, known := set.Pool(service.Pool)
	if !known || pool.Loading == nil {
		return false
	}
	s.options.Models.MarkNotLoaded(service.Pool, request.EngineWithoutModel, request.Begin.Admit.Model)
	return true
}

// ModelDemand counts the open calls of the partitions that this node leads, by pool and model.
func (s *Server) ModelDemand() []modelload.PoolDemand {
	set := s.options.Config.Current().Set
	byPool := make(map[string]modelload.PoolDemand)
	for _, status := range s.options.Host.Statuses() {
		if !status.IsLeader {
			continue
		}
		for _, open := range s.machine(status.Group).OpenCalls() {
			service, known := set.Service(open.Service)
			if !known || open.Model == "" {
				continue
			}
			if _, counted := byPool[service.Pool]; !counted {
				byPool[service.Pool] = modelload.PoolDemand{Pool: service.Pool, Models: make(map[string]int)}
			}
			byPool[service.Pool].Models[open.Model]++
		}
	}
	demands := make([]modelload.PoolDemand, 0, len(byPool))
	for _, demand := range byPool {
		demands = append(demands, demand)
	}
	return demands
}

// ConfirmLeadership commits a command without other effect than expiry, which succeeds only on the leader of a partition.
func (s *Server) ConfirmLeadership(ctx context.Context, group uint32) error {
	_, err := s.propose(ctx, group, program.Command{Expire: &program.Expire{}})
	return err
}
