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
	// routeTimeout bounds the search for a partition's leader. It is longer than an election.
	routeTimeout       = 10 * time.Second
	routeRetryInterval = 50 * time.Millisecond
	// requestTimeout bounds a request to one replica, except for Begin and Retry, which wait for an engine.
	requestTimeout        = 6 * time.Second
	unavailableRetryAfter = 2 * time.Second
	// relayDuration is how long a replica is called through relays after a direct call has failed.
	relayDuration = 10 * time.Second
	maxRelays     = 2
)

// Client sends requests to the coordinator of any program, which is the leader of the program's partition.
type Client struct {
	transport  *transport.Transport
	membership *membership.Manager
	partitions *partition.Manager

	mutex   sync.Mutex
	leaders map[uint32]string
	// refused holds the former leader that last refused a request or couldn't be reached, by partition, until another is found.
	refused map[uint32]string
	// lookups holds the searches for a leader in progress, by partition.
	lookups map[uint32]*leaderLookup
	// relayUntil holds the replicas that can't be reached directly, and when to try a direct call again.
	relayUntil map[string]time.Time
}

// NewClient returns a Client. It learns the leader of each partition from the replicas' responses.
func NewClient(network *transport.Transport, members *membership.Manager, partitions *partition.Manager) *Client {
	return &Client{
		transport:  network,
		membership: members,
		partitions: partitions,
		leaders:    make(map[uint32]string),
		refused:    make(map[uint32]string),
		lookups:    make(map[uint32]*leaderLookup),
		relayUntil: make(map[string]time.Time),
	}
}

// Locate returns the partition of the programs under a root.
func (c *Client) Locate(region, tenant, root string) (uint32, error) {
	id, _, err := c.partitions.Locate(region, tenant, root)
	return id, err
}

// Begin admits a call and waits until it is placed on an engine.
func (c *Client) Begin(ctx context.Context, request BeginRequest) (BeginResponse, error) {
	return route[BeginResponse](ctx, c, request.Partition, beginKind, request, 0)
}

// Retry reports a lost attempt and waits until the call is placed on another engine.
func (c *Client) Retry(ctx context.Context, request RetryRequest) (BeginResponse, error) {
	return route[BeginResponse](ctx, c, request.Begin.Partition, retryKind, request, 0)
}

// Finish commits an answer.
func (c *Client) Finish(ctx context.Context, request FinishRequest) (CallResponse, error) {
	return route[CallResponse](ctx, c, request.Partition, finishKind, request, requestTimeout)
}

// Fail commits that a call ends without an answer.
func (c *Client) Fail(ctx context.Context, request FailRequest) (CallResponse, error) {
	return route[CallResponse](ctx, c, request.Partition, failKind, request, requestTimeout)
}

// End ends a program and its sub-agents.
func (c *Client) End(ctx context.Context, request EndRequest) error {
	_, err := route[CallResponse](ctx, c, request.Partition, endKind, request, requestTimeout)
	return err
}

// Program returns a program's summary and, on request, its history.
func (c *Client) Program(ctx context.Context, request ProgramRequest) (ProgramResponse, error) {
	return route[ProgramResponse](ctx, c, request.Partition, programKind, request, requestTimeout)
}

// List returns the programs of the partitions that the usable nodes lead, and the IDs of nodes that did not answer.
func (c *Client) List(ctx context.Context, tenant string) (programs []program.Summary, unreachable []string) {
	for _, member := range c.membership.View().Usable() {
		callContext, cancel := context.WithTimeout(ctx, requestTimeout)
		response, err := transport.Call[ListResponse](callContext, c.transport, member.Peer(), listKind, ListRequest{Tenant: tenant})
		cancel()
		if err != nil {
			unreachable = append(unreachable, member.ID)
			continue
		}
		programs = append(programs, response.Programs...)
	}
	return programs, unreachable
}

// Explain returns the latest scheduling decision about a call from the first node that has recorded one.
func (c *Client) Explain(ctx context.Context, callID string) (ExplainResponse, error) {
	for _, member := range c.membership.View().Usable() {
		callContext, cancel := context.WithTimeout(ctx, requestTimeout)
		response, err := transport.Call[ExplainResponse](callContext, c.transport, member.Peer(), explainKind, ExplainRequest{CallID: callID})
		cancel()
		if err == nil && response.Found {
			return response, nil
		}
	}
	return ExplainResponse{}, apierr.New(apierr.NotFound, apierr.Ran, "no node has recorded a decision about call %q", callID)
}

// Cancel notifies the partition's leader that the caller of a waiting call has disconnected. If the leader is not known, all
// replicas are notified.
func (c *Client) Cancel(partitionID uint32, callID string) {
	recipients := c.candidates(partitionID)
	if leader := c.leader(partitionID); leader != "" {
		recipients = []string{leader}
	}
	for _, replicaID := range recipients {
		if to, known := c.peerOf(replicaID); known {
			c.transport.Send(to, cancelKind, CancelRequest{Partition: partitionID, CallID: callID})
		}
	}
}

func (c *Client) leader(id uint32) string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.leaders[id]
}

// peerOf returns the node that holds a replica. Any run of the node may answer: a request names its partition, and only
// the partition's leader serves it.
func (c *Client) peerOf(replicaID string) (transport.Peer, bool) {
	member, known := c.membership.View().ByReplicaID(replicaID)
	return transport.Peer{Address: member.Address}, known && member.Usable()
}

// candidates returns the replicas of a partition.
func (c *Client) candidates(id uint32) []string {
	for _, placement := range c.partitions.Placements() {
		if placement.ID == id {
			return placement.Members
		}
	}
	return nil
}

// route sends a request to the leader of a partition, and searches for the leader while it changes. All requests are
// idempotent, so they may be sent again after a lost response.
func route[Response any](ctx context.Context, c *Client, id uint32, kind string, request any, timeout time.Duration) (Response, error) {
	deadline := time.Now().Add(routeTimeout)
	// mayHaveRun is set once a replica may have received the request, which may then still take effect.
	mayHaveRun := false
	for {
		replicaID, err := c.findLeader(ctx, id)
		if err == nil {
			var response Response
			response, err = callReplica[Response](ctx, c, replicaID, kind, request, timeout)
			if err == nil || !isRoutingError(err) {
				return response, err
			}
			mayHaveRun = mayHaveRun || apierr.From(err, apierr.OutcomeUnknown).Outcome != apierr.NotRun
			c.forgetLeader(id, replicaID, apierr.From(err, apierr.NotRun).Leader)
		}
		var zero Response
		if ctx.Err() != nil {
			return zero, apierr.New(apierr.Cancelled, apierr.OutcomeUnknown, "the caller cancelled the request")
		}
		if time.Now().After(deadline) {
			return zero, unavailableError(id, mayHaveRun, err)
		}
		clock.Sleep(ctx, routeRetryInterval)
	}
}

func callReplica[Response any](ctx context.Context, c *Client, replicaID, kind string, request any, timeout time.Duration) (Response, error) {
	var zero Response
	to, known := c.peerOf(replicaID)
	if !known {
		return zero, apierr.New(apierr.PeerUnreachable, apierr.NotRun, "replica %s is not a usable member", replicaID)
	}
	if timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	direct := func() (Response, error) { return transport.Call[Response](ctx, c.transport, to, kind, request) }
	relayed := func() (Response, error) { return callViaRelay[Response](ctx, c, to, kind, request) }
	if c.needsRelay(replicaID) {
		// If no relay reaches the replica, the direct connection may work again.
		return firstReachable(ctx, relayed, direct)
	}
	return firstReachable(ctx, func() (Response, error) {
		response, err := direct()
		if apierr.Is(err, apierr.PeerUnreachable) && ctx.Err() == nil {
			c.startRelaying(replicaID)
		}
		return response, err
	}, relayed)
}

// firstReachable tries a second way to a replica if the first one fails to reach it. If no leader has served the request, the
// outcome is NotRun only if it is for both ways.
func firstReachable[Response any](ctx context.Context, first, second func() (Response, error)) (Response, error) {
	response, err := first()
	if ctx.Err() != nil || !isUnreachable(err) {
		return response, err
	}
	firstFailure := apierr.From(err, apierr.OutcomeUnknown)
	response, err = second()
	if !isRoutingError(err) {
		return response, err
	}
	failure := *apierr.From(err, apierr.OutcomeUnknown)
	if firstFailure.Outcome != apierr.NotRun {
		failure.Outcome = firstFailure.Outcome
	}
	return response, &failure
}

func isUnreachable(err error) bool {
	return apierr.Is(err, apierr.PeerUnreachable) || apierr.Is(err, apierr.RelayFailed)
}

// callViaRelay calls a replica through another node. Membership considers the replica alive, so the fault is probably on the
// network path from this node.
func callViaRelay[Response any](ctx context.Context, c *Client, to transport.Peer, kind string, request any) (Response, error) {
	var zero Response
	var failure error = apierr.New(apierr.PeerUnreachable, apierr.NotRun, "no relay is available")
	view := c.membership.View()
	tried := 0
	for _, relay := range membership.Rank(view.Eligible(), view.Self.ID+to.Address) {
		if relay.ID == view.Self.ID || relay.Address == to.Address || c.needsRelay(relay.ReplicaID) {
			continue
		}
		response, err := transport.CallVia[Response](ctx, c.transport, relay.Peer(), to, kind, request)
		if ctx.Err() != nil || !isUnreachable(err) {
			return response, err
		}
		if apierr.Is(err, apierr.PeerUnreachable) {
			// The relay itself is unreachable, so it isn't used as a relay until it may be called directly again.
			c.startRelaying(relay.ReplicaID)
		}
		// Any relay that may have forwarded the request decides the outcome.
		if tried == 0 || apierr.From(err, apierr.OutcomeUnknown).Outcome != apierr.NotRun {
			failure = err
		}
		tried++
		if tried == maxRelays {
			break
		}
	}
	return zero, failure
}

func (c *Client) needsRelay(replicaID string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return time.Now().Before(c.relayUntil[replicaID])
}

func (c *Client) startRelaying(replicaID string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	for id, until := range c.relayUntil {
		if now.After(until) {
			delete(c.relayUntil, id)
		}
	}
	c.relayUntil[replicaID] = now.Add(relayDuration)
}

// isRoutingError reports whether a request may succeed at another replica, or at the same one later.
func isRoutingError(err error) bool {
	return apierr.Is(err, apierr.NotLeader) || apierr.Is(err, apierr.PartitionUnavailable) || isUnreachable(err)
}

func unavailableError(id uint32, mayHaveRun bool, lastErr error) error {
	outcome := apierr.NotRun
	if mayHaveRun {
		outcome = apierr.OutcomeUnknown
	}
	return apierr.New(apierr.PartitionUnavailable, outcome, "partition %d has no leader: %v", id, lastErr).WithRetryAfter(unavailableRetryAfter)
}
