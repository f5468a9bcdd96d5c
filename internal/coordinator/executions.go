package coordinator

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/owner"
	"github.com/mountstile/mountstile/internal/program"
	"github.com/mountstile/mountstile/internal/transport"
)

const (
	executionsKind = "executions"
	// executionsTimeout bounds an executionsRequest to a gateway.
	executionsTimeout = 2 * time.Second
	// executionCheckInterval is the interval at which an execution is checked if nothing waits for it.
	executionCheckInterval = 30 * time.Second
)

// executionsRequest lists the executions of dispatched calls, to check that the gateway still holds them.
type executionsRequest struct {
	Executions []string `json:"executions"`
}

// executionsResponse lists the executions that the gateway does not hold. A gateway holds an execution from before its first
// message until the response to its last one. It never holds the same execution again, so one that is not held sends nothing more.
type executionsResponse struct {
	Ended []string `json:"ended,omitempty"`
}

// Executions is the set of executions that this node's gateway holds. It is safe for concurrent use.
type Executions struct {
	mutex sync.Mutex
	// refCounts counts the holders of each execution: the request itself, and its background work.
	refCounts map[string]int
}

// NewExecutions returns an empty set and registers the handler for coordinators' execution checks.
func NewExecutions(network *transport.Transport) *Executions {
	executions := &Executions{refCounts: make(map[string]int)}
	transport.Handle(network, executionsKind, func(_ context.Context, _ transport.Peer, request executionsRequest) (executionsResponse, error) {
		return executionsResponse{Ended: executions.ended(request.Executions)}, nil
	})
	return executions
}

// Hold keeps an execution until release is called.
func (e *Executions) Hold(id string) (release func()) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.refCounts[id]++
	return sync.OnceFunc(func() {
		e.mutex.Lock()
		defer e.mutex.Unlock()
		e.refCounts[id]--
		if e.refCounts[id] == 0 {
			delete(e.refCounts, id)
		}
	})
}

func (e *Executions) ended(ids []string) []string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	var ended []string
	for _, id := range ids {
		if e.refCounts[id] == 0 {
			ended = append(ended, id)
		}
	}
	return ended
}

// executionChecks schedules the checks of dispatched calls at their gateways: soon if something waits for a call, otherwise at
// executionCheckInterval, so that calls in normal operation cost few messages.
type executionChecks struct {
	mutex sync.Mutex
	// requested is when a check was last requested for a call that has not been checked since.
	requested map[string]time.Time
	// checked is when a call was last checked.
	checked map[string]time.Time
}

func newExecutionChecks() *executionChecks {
	return &executionChecks{requested: make(map[string]time.Time), checked: make(map[string]time.Time)}
}

// request schedules a check of calls for which something waits.
func (c *executionChecks) request(callIDs ...string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, id := range callIDs {
		c.requested[id] = time.Now()
	}
}

// due reports whether a call must be checked now, and records the check.
func (c *executionChecks) due(open program.OpenCall, now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	last, known := c.checked[open.CallID]
	if !known {
		last = time.UnixMilli(open.AdmittedAt)
	}
	if _, requested := c.requested[open.CallID]; !requested && now.Sub(last) < executionCheckInterval {
		return false
	}
	delete(c.requested, open.CallID)
	c.checked[open.CallID] = now
	return true
}

// prune removes entries that are too old to affect a check.
func (c *executionChecks) prune(now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	stale := func(_ string, at time.Time) bool { return now.Sub(at) > 2*executionCheckInterval }
	maps.DeleteFunc(c.checked, stale)
	maps.DeleteFunc(c.requested, stale)
}

// checkGateways checks dispatched calls of a partition at their gateways, and marks those attempts as lost that the gateway does
// not hold. The gateway has then given up before it received the response with the engine, or could not report the end.
func (s *Server) checkGateways(ctx context.Context, group uint32, calls []program.OpenCall, tasks *sync.WaitGroup) {
	byGateway := make(map[string][]program.OpenCall)
	for _, call := range calls {
		byGateway[call.Gateway] = append(byGateway[call.Gateway], call)
	}
	for gateway, gatewayCalls := range byGateway {
		tasks.Go(func() { s.checkGateway(ctx, group, gateway, gatewayCalls) })
	}
}

func (s *Server) checkGateway(ctx context.Context, group uint32, gatewayID string, calls []program.OpenCall) {
	member, known := s.options.Membership.View().Get(gatewayID)
	if !known {
		return
	}
	byExecution := make(map[string]program.OpenCall)
	var request executionsRequest
	for _, call := range calls {
		byExecution[call.Execution] = call
		request.Executions = append(request.Executions, call.Execution)
	}
	ctx, cancel := context.WithTimeout(ctx, executionsTimeout)
	defer cancel()
	response, err := transport.Call[executionsResponse](ctx, s.options.Transport, member.Peer(), executionsKind, request)
	if err != nil {
		return
	}
	for _, id := range response.Ended {
		if call, requested := byExecution[id]; requested {
			s.loseAttempt(ctx, group, call, events.AttemptUnheld)
			s.releaseSlot(call)
		}
	}
}

// releaseSlot frees the engine slot of an attempt that no gateway executes.
func (s *Server) releaseSlot(open program.OpenCall) {
	if found, _, exists := findEngine(s.options.Config.Current().Set, open.Service, open.Engine); exists {
		s.options.Release(found, owner.ReleaseRequest{Engine: found.Name, CallID: open.CallID, Unused: true})
	}
}

func (s *Server) loseAttempt(ctx context.Context, group uint32, open program.OpenCall, reason events.ID) {
	s.options.Logger.Emit(reason, events.F("call", open.CallID), events.F("gateway", open.Gateway))
	_, _ = s.propose(ctx, group, program.Command{Lose: &program.LoseAttempt{CallID: open.CallID, Program: open.Program, Attempt: open.Attempt}})
}
