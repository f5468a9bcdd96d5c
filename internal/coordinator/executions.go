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
	// executionsTimeout bounds the question whether a gateway still executes some calls.
	executionsTimeout = 2 * time.Second
	// unwaitedCheck is how often a gateway is asked about a call that nothing waits for.
	unwaitedCheck = 30 * time.Second
)

// executionsRequest lists executions that a coordinator counts on.
type executionsRequest struct {
	Executions []string `json:"executions"`
}

// executionsResponse lists those that the gateway does not hold. An execution is held from before its
// first message until its last one was answered, and never again: what is not held sends nothing.
type executionsResponse struct {
	Ended []string `json:"ended,omitempty"`
}

// Executions are the executions that this node's gateway holds. The methods may be called concurrently.
type Executions struct {
	mutex sync.Mutex
	// holders counts who holds each execution: the request itself, and what goes on in its name.
	holders map[string]int
}

// NewExecutions returns an empty set that answers coordinators.
func NewExecutions(network *transport.Transport) *Executions {
	executions := &Executions{holders: make(map[string]int)}
	transport.Handle(network, executionsKind, func(_ context.Context, _ transport.Peer, request executionsRequest) (executionsResponse, error) {
		return executionsResponse{Ended: executions.ended(request.Executions)}, nil
	})
	return executions
}

// Hold keeps an execution until release is called.
func (e *Executions) Hold(id string) (release func()) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.holders[id]++
	return sync.OnceFunc(func() {
		e.mutex.Lock()
		defer e.mutex.Unlock()
		e.holders[id]--
		if e.holders[id] == 0 {
			delete(e.holders, id)
		}
	})
}

func (e *Executions) ended(ids []string) []string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	var ended []string
	for _, id := range ids {
		if e.holders[id] == 0 {
			ended = append(ended, id)
		}
	}
	return ended
}

// executionChecks remembers for which dispatched calls the gateway is to be asked. Only these are
// asked about, so that a partition in good order costs no message.
type executionChecks struct {
	mutex sync.Mutex
	// waited is when something waited here last for a call that was not asked about since.
	waited map[string]time.Time
	// asked is when the gateway was asked last about a call.
	asked map[string]time.Time
}

func newExecutionChecks() *executionChecks {
	return &executionChecks{waited: make(map[string]time.Time), asked: make(map[string]time.Time)}
}

// request notes that something waits for the calls.
func (c *executionChecks) request(callIDs ...string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, id := range callIDs {
		c.waited[id] = time.Now()
	}
}

// due reports whether to ask about a call now, and notes that it is done.
func (c *executionChecks) due(open program.OpenCall, now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	last, known := c.asked[open.CallID]
	if !known {
		last = time.UnixMilli(open.AdmittedAt)
	}
	if _, waited := c.waited[open.CallID]; !waited && now.Sub(last) < unwaitedCheck {
		return false
	}
	delete(c.waited, open.CallID)
	c.asked[open.CallID] = now
	return true
}

// forget drops what is older than any question.
func (c *executionChecks) forget(now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	tooOld := func(_ string, at time.Time) bool { return now.Sub(at) > 2*unwaitedCheck }
	maps.DeleteFunc(c.asked, tooOld)
	maps.DeleteFunc(c.waited, tooOld)
}

// askGateways asks each gateway about the given dispatched calls of a partition, and takes back the
// attempts that it does not hold: the answer that named their engine was lost for longer than the
// gateway looked for it, or their end could not be reported.
func (s *Server) askGateways(ctx context.Context, group uint32, calls []program.OpenCall, tasks *sync.WaitGroup) {
	byGateway := make(map[string][]program.OpenCall)
	for _, call := range calls {
		byGateway[call.Gateway] = append(byGateway[call.Gateway], call)
	}
	for gateway, its := range byGateway {
		tasks.Go(func() { s.askGateway(ctx, group, gateway, its) })
	}
}

func (s *Server) askGateway(ctx context.Context, group uint32, gatewayID string, calls []program.OpenCall) {
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
	response, err := transport.Call[executionsResponse](ctx, s.options.Transport, member.Address, executionsKind, request)
	if err != nil {
		return
	}
	for _, id := range response.Ended {
		if call, asked := byExecution[id]; asked {
			s.loseAttempt(ctx, group, call, events.AttemptUnheld)
			s.freePlace(call)
		}
	}
}

// freePlace gives back the place on the engine of an attempt that nobody executes.
func (s *Server) freePlace(open program.OpenCall) {
	if found, _, exists := findEngine(s.options.Config.Current().Set, open.Service, open.Engine); exists {
		s.options.Release(found, owner.ReleaseRequest{Engine: found.Name, CallID: open.CallID, Unused: true})
	}
}

func (s *Server) loseAttempt(ctx context.Context, group uint32, open program.OpenCall, reason events.ID) {
	s.options.Logger.Emit(reason, events.F("call", open.CallID), events.F("gateway", open.Gateway))
	_, _ = s.propose(ctx, group, program.Command{Lose: &program.LoseAttempt{CallID: open.CallID, Program: open.Program, Attempt: open.Attempt}})
}
