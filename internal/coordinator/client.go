package coordinator

import (
	"context"
	"sync"
	"time"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/clock"
	"github.com/mountstile/mountstile/internal/membership"
	"github.com/mountstile/mountstile/internal/partition"
	"github.com/mountstile/mountstile/internal/program"
	"github.com/mountstile/mountstile/internal/transport"
)

const (
	// routeTimeout is how long a gateway looks for a partition's leader. An election takes about
	// a second.
	routeTimeout = 10 * time.Second
	routePause   = 50 * time.Millisecond
	// probeTimeout bounds how long one replica may keep a request that has no wait of its own.
	probeTimeout    = 6 * time.Second
	unavailableWait = 2 * time.Second
	// detourTime is how long a replica is reached through others after the direct way failed.
	detourTime  = 10 * time.Second
	relaysTried = 2
)

// Client reaches the coordinator of any program from this node.
type Client struct {
	transport  *transport.Transport
	membership *membership.Manager
	partitions *partition.Manager

	mutex   sync.Mutex
	leaders map[uint32]string
	// detours are the replicas that can't be reached directly, and until when not to try.
	detours map[string]time.Time
}

// NewClient returns a Client.
func NewClient(network *transport.Transport, members *membership.Manager, partitions *partition.Manager) *Client {
	return &Client{transport: network, membership: members, partitions: partitions, leaders: make(map[uint32]string), detours: make(map[string]time.Time)}
}

// Locate returns the partition of a program.
func (c *Client) Locate(region, tenant, root string) (uint32, error) {
	id, _, err := c.partitions.Locate(region, tenant, root)
	return id, err
}

// Begin admits a call and waits for an engine.
func (c *Client) Begin(ctx context.Context, request BeginRequest) (BeginResponse, error) {
	return route[BeginResponse](ctx, c, request.Partition, beginKind, request, 0)
}

// Retry reports a lost attempt and waits for another engine.
func (c *Client) Retry(ctx context.Context, request RetryRequest) (BeginResponse, error) {
	return route[BeginResponse](ctx, c, request.Begin.Partition, retryKind, request, 0)
}

// Finish commits an answer.
func (c *Client) Finish(ctx context.Context, request FinishRequest) (CallResponse, error) {
	return route[CallResponse](ctx, c, request.Partition, finishKind, request, probeTimeout)
}

// Fail commits that a call has no answer.
func (c *Client) Fail(ctx context.Context, request FailRequest) (CallResponse, error) {
	return route[CallResponse](ctx, c, request.Partition, failKind, request, probeTimeout)
}

// End ends a program.
func (c *Client) End(ctx context.Context, request EndRequest) error {
	_, err := route[CallResponse](ctx, c, request.Partition, endKind, request, probeTimeout)
	return err
}

// Program reads a program.
func (c *Client) Program(ctx context.Context, request ProgramRequest) (ProgramResponse, error) {
	return route[ProgramResponse](ctx, c, request.Partition, programKind, request, probeTimeout)
}

// List reads the programs that all working nodes lead; nodes that do not answer are named.
func (c *Client) List(ctx context.Context, tenant string) (programs []program.Summary, silent []string) {
	for _, member := range c.membership.View().Usable() {
		callContext, cancel := context.WithTimeout(ctx, probeTimeout)
		response, err := transport.Call[ListResponse](callContext, c.transport, member.Address, listKind, ListRequest{Tenant: tenant})
		cancel()
		if err != nil {
			silent = append(silent, member.ID)
			continue
		}
		programs = append(programs, response.Programs...)
	}
	return programs, silent
}

// Explain finds the latest decision about a call.
func (c *Client) Explain(ctx context.Context, callID string) (ExplainResponse, error) {
	for _, member := range c.membership.View().Usable() {
		callContext, cancel := context.WithTimeout(ctx, probeTimeout)
		response, err := transport.Call[ExplainResponse](callContext, c.transport, member.Address, explainKind, ExplainRequest{CallID: callID})
		cancel()
		if err == nil && response.Found {
			return response, nil
		}
	}
	return ExplainResponse{}, apierr.New(apierr.NotFound, apierr.Ran, "no node remembers a decision about call %q", callID)
}

// Cancel tells the leader that the caller of a waiting call is gone. Before the first answer from a
// partition its leader is not known here; then all replicas hear it.
func (c *Client) Cancel(partitionID uint32, callID string) {
	receivers := c.candidates(partitionID)
	if leader := c.leader(partitionID); leader != "" {
		receivers = []string{leader}
	}
	for _, replicaID := range receivers {
		if address, known := c.address(replicaID); known {
			c.transport.Send(address, cancelKind, CancelRequest{Partition: partitionID, CallID: callID})
		}
	}
}

func (c *Client) leader(id uint32) string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.leaders[id]
}

func (c *Client) setLeader(id uint32, replicaID string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if replicaID == "" {
		delete(c.leaders, id)
		return
	}
	c.leaders[id] = replicaID
}

func (c *Client) address(replicaID string) (string, bool) {
	member, known := c.membership.View().Replica(replicaID)
	return member.Address, known && member.Usable()
}

// candidates lists the replicas to try, the leader as far as known first.
func (c *Client) candidates(id uint32) []string {
	var result []string
	if leader := c.leader(id); leader != "" {
		result = append(result, leader)
	}
	for _, placement := range c.partitions.All() {
		if placement.ID == id {
			result = append(result, placement.Members...)
		}
	}
	return result
}

// route sends a request to the leader of a partition, and looks for it while it changes. All
// requests are idempotent, so that asking again after a lost answer is safe.
func route[Response any](ctx context.Context, c *Client, id uint32, kind string, request any, timeout time.Duration) (Response, error) {
	deadline := time.Now().Add(routeTimeout)
	var last error
	// sent remembers that a replica may have got the request: then it may take effect yet.
	sent := false
	for {
		for _, replicaID := range c.candidates(id) {
			response, err := callReplica[Response](ctx, c, replicaID, kind, request, timeout)
			if err == nil {
				c.setLeader(id, replicaID)
				return response, nil
			}
			if !c.tryNext(id, err) {
				return response, err
			}
			last = err
			sent = sent || apierr.From(err, apierr.OutcomeUnknown).Outcome != apierr.NotRun
			knowsLeader := apierr.Is(err, apierr.NotLeader) && c.leader(id) != "" && c.leader(id) != replicaID
			if knowsLeader || time.Now().After(deadline) {
				break
			}
		}
		var none Response
		if ctx.Err() != nil {
			return none, apierr.New(apierr.Cancelled, apierr.OutcomeUnknown, "the caller gave up")
		}
		if time.Now().After(deadline) {
			return none, unavailable(id, sent, last)
		}
		clock.Sleep(ctx, routePause)
	}
}

func callReplica[Response any](ctx context.Context, c *Client, replicaID, kind string, request any, timeout time.Duration) (Response, error) {
	var none Response
	address, known := c.address(replicaID)
	if !known {
		return none, apierr.New(apierr.PeerUnreachable, apierr.NotRun, "replica %s is not alive", replicaID)
	}
	if timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	if !c.onDetour(replicaID) {
		response, err := transport.Call[Response](ctx, c.transport, address, kind, request)
		if !apierr.Is(err, apierr.PeerUnreachable) || ctx.Err() != nil {
			return response, err
		}
		c.startDetour(replicaID)
	}
	return callAround[Response](ctx, c, address, kind, request)
}

// callAround goes through another node. The members hold the replica for alive, so that the fault
// is more likely in the way there than in the replica.
func callAround[Response any](ctx context.Context, c *Client, address, kind string, request any) (Response, error) {
	var none Response
	var last error = apierr.New(apierr.PeerUnreachable, apierr.OutcomeUnknown, "there is no other node to go through")
	view := c.membership.View()
	tried := 0
	for _, relay := range membership.Rank(view.Working(), view.Self.ID+address) {
		if relay.ID == view.Self.ID || relay.Address == address || c.onDetour(relay.ReplicaID) {
			continue
		}
		response, err := transport.CallVia[Response](ctx, c.transport, relay.Address, address, kind, request)
		if ctx.Err() != nil || !apierr.Is(err, apierr.PeerUnreachable) && !apierr.Is(err, apierr.RelayFailed) {
			return response, err
		}
		if apierr.Is(err, apierr.PeerUnreachable) {
			// The relay itself is out of reach: it serves no other request for a while, either.
			c.startDetour(relay.ReplicaID)
		}
		last = err
		tried++
		if tried == relaysTried {
			break
		}
	}
	return none, last
}

func (c *Client) onDetour(replicaID string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return time.Now().Before(c.detours[replicaID])
}

func (c *Client) startDetour(replicaID string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	for id, until := range c.detours {
		if now.After(until) {
			delete(c.detours, id)
		}
	}
	c.detours[replicaID] = now.Add(detourTime)
}

// tryNext reports whether another replica may do better, and learns the leader from a refusal.
func (c *Client) tryNext(id uint32, err error) bool {
	switch {
	case apierr.Is(err, apierr.NotLeader):
		c.setLeader(id, apierr.From(err, apierr.NotRun).Leader)
		return true
	case apierr.Is(err, apierr.PeerUnreachable), apierr.Is(err, apierr.RelayFailed), apierr.Is(err, apierr.PartitionUnavailable):
		c.setLeader(id, "")
		return true
	default:
		return false
	}
}

func unavailable(id uint32, sent bool, last error) error {
	outcome := apierr.NotRun
	if sent {
		outcome = apierr.OutcomeUnknown
	}
	return apierr.New(apierr.PartitionUnavailable, outcome, "partition %d has no leader: %v", id, last).WithRetryAfter(unavailableWait)
}
