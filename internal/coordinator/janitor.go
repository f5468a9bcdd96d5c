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
	janitorInterval = 500 * time.Millisecond
	// orphanPatience is how long an admitted call may be without a driver, so that a caller can
	// come back through another node.
	orphanPatience  = 30 * time.Second
	releaseTimeout  = 3 * time.Second
	releaseParallel = 8
)

// Run settles calls of lost gateways, ends programs over their limits, and releases the caches of
// ended ones, in the partitions that this node leads, until the context ends.
func (s *Server) Run(ctx context.Context) {
	ticker := time.NewTicker(janitorInterval)
	defer ticker.Stop()
	var tasks sync.WaitGroup
	defer tasks.Wait()
	slots := make(chan struct{}, releaseParallel)
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
			s.settleLost(ctx, status.Group, &tasks)
			s.expire(ctx, status.Group)
			s.releaseCaches(ctx, status.Group, &tasks, slots)
		}
		s.checks.forget(time.Now())
	}
}

// settleLost takes back the attempts of gateways that are gone, and ends calls that nobody drives.
func (s *Server) settleLost(ctx context.Context, group uint32, tasks *sync.WaitGroup) {
	view := s.options.Membership.View()
	now := time.Now()
	var doubtful []program.OpenCall
	for _, open := range s.machine(group).OpenCalls() {
		gateway, known := view.Get(open.Gateway)
		gone := !known && now.Sub(time.UnixMilli(open.AdmittedAt)) > orphanPatience || known && !gateway.Usable()
		switch {
		case open.State == program.Dispatching && (gone || s.overdue(open, now)):
			s.loseAttempt(ctx, group, open, events.AttemptLost)
		case open.State == program.Dispatching && s.checks.due(open, now):
			doubtful = append(doubtful, open)
		case open.State == program.Admitted && s.orphaned(open.CallID, now):
			failure := apierr.New(apierr.Cancelled, apierr.NotRun, "the caller was lost and did not come back")
			_, _ = s.propose(ctx, group, program.Command{Fail: &program.Fail{CallID: open.CallID, Program: open.Program, Error: failure}})
		}
	}
	s.askGateways(ctx, group, doubtful, tasks)
}

// overdue reports that a call is so old that its gateway must have given it up, though it lives.
func (s *Server) overdue(open program.OpenCall, now time.Time) bool {
	service, known := s.options.Config.Current().Set.Service(open.Service)
	if !known {
		return false
	}
	limit := seconds(2*service.CallSeconds+service.QueueSeconds) + orphanPatience
	return now.Sub(time.UnixMilli(open.AdmittedAt)) > limit
}

// orphaned reports that nobody has driven an admitted call for longer than orphanPatience.
func (s *Server) orphaned(callID string, now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.driving[callID] != nil {
		delete(s.orphans, callID)
		return false
	}
	since, noted := s.orphans[callID]
	if !noted {
		s.orphans[callID] = now
		return false
	}
	if now.Sub(since) < orphanPatience {
		return false
	}
	delete(s.orphans, callID)
	return true
}

func (s *Server) expire(ctx context.Context, group uint32) {
	if s.machine(group).ExpiryDue(time.Now().UnixMilli()) {
		_, _ = s.propose(ctx, group, program.Command{Expire: &program.Expire{}})
	}
}

// releaseCaches asks engines to drop the caches of ended programs, until each has confirmed.
func (s *Server) releaseCaches(ctx context.Context, group uint32, tasks *sync.WaitGroup, slots chan struct{}) {
	for _, held := range s.machine(group).HeldCaches() {
		if !s.claimRelease(held) {
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			s.unclaimRelease(held)
			return
		}
		tasks.Go(func() {
			defer func() { <-slots }()
			defer s.unclaimRelease(held)
			s.releaseOne(ctx, group, held)
		})
	}
}

func (s *Server) claimRelease(held program.HeldCache) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.releasing[held] {
		return false
	}
	s.releasing[held] = true
	return true
}

func (s *Server) unclaimRelease(held program.HeldCache) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.releasing, held)
}

func (s *Server) releaseOne(ctx context.Context, group uint32, held program.HeldCache) {
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
	// An engine that no pool has any more holds nothing for us.
	_, err := s.propose(ctx, group, program.Command{Release: &program.ReleaseCache{Program: held.Program, Engine: held.Engine}})
	if err == nil {
		s.options.Logger.Emit(events.CacheReleased, events.F("engine", held.Engine), events.F("program", held.Program.Path))
	}
}

// CacheID is the program identifier that engines are told.
func CacheID(key program.Key) string { return key.Tenant + ":" + key.Path }

// findEngine looks an engine up in a service's pool.
func findEngine(set *resource.Set, serviceName, name string) (found resource.Engine, poolName string, exists bool) {
	service, known := set.Service(serviceName)
	if !known {
		return found, "", false
	}
	found, exists = set.Engine(service.Pool, name)
	return found, service.Pool, exists
}
