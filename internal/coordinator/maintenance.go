package coordinator

import (
	"context"
	"sync"
	"time"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/engine"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/program"
	"github.com/mountstile/mountstile/internal/resource"
)

const (
	maintenanceInterval = 500 * time.Millisecond
	// orphanTimeout is how long an admitted call may be without a placement in progress, so that its caller can retry through
	// another node.
	orphanTimeout         = 30 * time.Second
	releaseTimeout        = 3 * time.Second
	maxConcurrentReleases = 8
)

// Run maintains the partitions that this node leads until the context ends: it marks attempts of failed gateways as lost, fails
// orphaned calls, ends programs that have exceeded their limits, and releases the engine caches of ended programs.
func (s *Server) Run(ctx context.Context) {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	var tasks sync.WaitGroup
	defer tasks.Wait()
	slots := make(chan struct{}, maxConcurrentReleases)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, status := range s.options.Host.Statuses() {
			if !status.IsLeader {
				continue
			}
			s.handleLostCalls(ctx, status.Group, &tasks)
			s.expire(ctx, status.Group)
			s.releaseCaches(ctx, status.Group, &tasks, slots)
		}
		s.checks.prune(time.Now())
	}
}

// handleLostCalls marks attempts of failed gateways as lost, and fails admitted calls that no request is placing.
func (s *Server) handleLostCalls(ctx context.Context, group uint32, tasks *sync.WaitGroup) {
	view := s.options.Membership.View()
	now := time.Now()
	var unconfirmed []program.OpenCall
	for _, open := range s.machine(group).OpenCalls() {
		gateway, known := view.Get(open.Gateway)
		gatewayLost := !known && now.Sub(time.UnixMilli(open.AdmittedAt)) > orphanTimeout || known && !gateway.Usable()
		switch {
		case open.State == program.Dispatching && (gatewayLost || s.overdue(open, now)):
			s.loseAttempt(ctx, group, open, events.AttemptLost)
		case open.State == program.Dispatching && s.checks.due(open, now):
			unconfirmed = append(unconfirmed, open)
		case open.State == program.Admitted && s.orphaned(open.CallID, now):
			failure := apierr.New(apierr.Cancelled, apierr.NotRun, "the caller disconnected and did not retry")
			_, _ = s.propose(ctx, group, program.Command{Fail: &program.Fail{CallID: open.CallID, Program: open.Program, Error: failure}})
		}
	}
	s.checkGateways(ctx, group, unconfirmed, tasks)
}

// overdue reports whether a call is past every deadline of its gateway, so that its attempt is lost although the gateway is alive.
func (s *Server) overdue(open program.OpenCall, now time.Time) bool {
	service, known := s.options.Config.Current().Set.Service(open.Service)
	if !known {
		return false
	}
	limit := seconds(2*service.CallSeconds+service.QueueSeconds) + orphanTimeout
	return now.Sub(time.UnixMilli(open.AdmittedAt)) > limit
}

// orphaned reports whether an admitted call has had no placement in progress for orphanTimeout.
func (s *Server) orphaned(callID string, now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.placements[callID] != nil {
		delete(s.orphanedSince, callID)
		return false
	}
	since, seen := s.orphanedSince[callID]
	if !seen {
		s.orphanedSince[callID] = now
		return false
	}
	if now.Sub(since) < orphanTimeout {
		return false
	}
	delete(s.orphanedSince, callID)
	return true
}

func (s *Server) expire(ctx context.Context, group uint32) {
	if s.machine(group).ExpiryDue(time.Now().UnixMilli()) {
		_, _ = s.propose(ctx, group, program.Command{Expire: &program.Expire{}})
	}
}

// releaseCaches requests the engines to release the caches of ended programs. Unconfirmed releases are retried in the next run.
func (s *Server) releaseCaches(ctx context.Context, group uint32, tasks *sync.WaitGroup, slots chan struct{}) {
	for _, held := range s.machine(group).HeldCaches() {
		if !s.startRelease(held) {
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			s.finishRelease(held)
			return
		}
		tasks.Go(func() {
			defer func() { <-slots }()
			defer s.finishRelease(held)
			s.releaseCache(ctx, group, held)
		})
	}
}

func (s *Server) startRelease(held program.HeldCache) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.releasing[held] {
		return false
	}
	s.releasing[held] = true
	return true
}

func (s *Server) finishRelease(held program.HeldCache) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.releasing, held)
}

func (s *Server) releaseCache(ctx context.Context, group uint32, held program.HeldCache) {
	found, pool, exists := findEngine(s.options.Config.Current().Set, held.Service, held.Engine)
	if exists {
		target := engine.Target{Name: found.Name, URL: found.URL, Pool: pool}
		ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
		defer cancel()
		if err := s.options.Engines.ReleaseCache(ctx, target, CacheID(held.Program)); err != nil {
			s.options.Logger.Emit(events.CacheReleaseFailed, events.F("engine", held.Engine), events.F("error", err))
			return
		}
	}
	// If the engine is no longer configured, there is no cache to release.
	_, err := s.propose(ctx, group, program.Command{Release: &program.ReleaseCache{Program: held.Program, Engine: held.Engine}})
	if err == nil {
		s.options.Logger.Emit(events.CacheReleased, events.F("engine", held.Engine), events.F("program", held.Program.Path))
	}
}

// CacheID returns the identifier of a program in requests to engines, under which they cache its prompts.
func CacheID(key program.Key) string { return key.Tenant + ":" + key.Path }

// findEngine returns an engine by name from the pool of a service, and the pool's name.
func findEngine(set *resource.Set, serviceName, name string) (found resource.Engine, poolName string, exists bool) {
	service, known := set.Service(serviceName)
	if !known {
		return found, "", false
	}
	found, exists = set.Engine(service.Pool, name)
	return found, service.Pool, exists
}
