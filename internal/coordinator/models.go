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

// modelWait is when to come back for a model that no engine has loaded in time.
const modelWait = 2 * time.Second

// Models tells which engines have which model.
type Models interface {
	Engines(name string, pool *resource.Pool, model string) []resource.Engine
	Changed() <-chan struct{}
	// Want tells that a call waits for a model that no engine has.
	Want()
	// Refute tells that an engine has refused a call, for it lacks a model that it should have by what
	// Engines returned.
	Refute(pool, engine, model string) bool
}

// errMoreEngines is the cause when a placement begins anew, for further engines have the model.
var errMoreEngines = apierr.New(apierr.Cancelled, apierr.NotRun, "further engines have loaded the model")

// placeOnLoaded places a call on the engines that have its model. It waits for the first of them, and
// leaves the line of one when further ones come: else the calls that made them come would be the last
// to use them.
func (s *Server) placeOnLoaded(ctx context.Context, request BeginRequest, service *resource.Service, pool *resource.Pool, description scheduler.Call, rules *policy.Policy) (scheduler.Decision, error) {
	deadline := time.Now().Add(description.MaxWait)
	// A call that has waited long is near the front of its line, and may be refused at another one.
	lastMove := deadline.Add(-description.MaxWait / 2)
	for {
		loaded, err := s.loadedEngines(ctx, request, service.Pool, pool, deadline)
		if err != nil {
			return scheduler.Decision{}, err
		}
		placing, stop := s.untilMoreEngines(ctx, service.Pool, pool, description.Model, len(loaded), lastMove)
		description.MaxWait = max(0, time.Until(deadline))
		decision, err := s.options.Scheduler.Place(placing, description, &resource.Pool{Engines: loaded}, rules)
		again := err != nil && ctx.Err() == nil && context.Cause(placing) == errMoreEngines
		stop()
		if !again {
			s.remember(decision)
			return decision, err
		}
	}
}

// loadedEngines returns the engines that have the call's model, and waits for the first.
func (s *Server) loadedEngines(ctx context.Context, request BeginRequest, name string, pool *resource.Pool, deadline time.Time) ([]resource.Engine, error) {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	ticker := time.NewTicker(leadershipCheck)
	defer ticker.Stop()
	for {
		changed := s.options.Models.Changed()
		if engines := s.options.Models.Engines(name, pool, request.Admit.Model); len(engines) > 0 {
			return engines, nil
		}
		s.options.Models.Want()
		select {
		case <-changed:
		case <-ticker.C:
			if err := s.deposed(request.Partition); err != nil {
				return nil, err
			}
		case <-timer.C:
			return nil, apierr.New(apierr.NoEngine, apierr.NotRun, "no engine has loaded model %q in time", request.Admit.Model).WithRetryAfter(modelWait)
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
	}
}

// untilMoreEngines ends the context when more engines than before have the model, up to a moment. Call
// stop when the placement is over.
func (s *Server) untilMoreEngines(ctx context.Context, name string, pool *resource.Pool, model string, before int, last time.Time) (placing context.Context, stop func()) {
	placing, cancel := context.WithCancelCause(ctx)
	go func() {
		for time.Now().Before(last) {
			changed := s.options.Models.Changed()
			if len(s.options.Models.Engines(name, pool, model)) > before {
				cancel(errMoreEngines)
				return
			}
			select {
			case <-changed:
			case <-placing.Done():
				return
			}
		}
	}()
	return placing, func() { cancel(nil) }
}

// refuteModel takes an engine out of use for the model that it has refused a call of. The call then waits
// as one whose model no engine has. It returns false if the pool's engines load no models, or none any more:
// there only avoiding the engine keeps the call from coming back to it at once.
func (s *Server) refuteModel(request RetryRequest) bool {
	set := s.options.Config.Current().Set
	service, known := set.Service(request.Begin.Admit.Service)
	if !known {
		return false
	}
	pool, known := set.Pool(service.Pool)
	if !known || pool.Loading == nil {
		return false
	}
	s.options.Models.Refute(service.Pool, request.EngineWithoutModel, request.Begin.Admit.Model)
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

// ConfirmLeadership commits a command that changes nothing but the time.
func (s *Server) ConfirmLeadership(ctx context.Context, group uint32) error {
	_, err := s.propose(ctx, group, program.Command{Expire: &program.Expire{}})
	return err
}
