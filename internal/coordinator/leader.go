package coordinator

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/transport"
)

const (
	// leaderWait is how long a replica without a leader delays its response to a LeaderRequest until it has one.
	leaderWait = time.Second
	// leaderLookupTimeout bounds one round of requests to the replicas of a partition.
	leaderLookupTimeout = 2 * leaderWait
)

// LeaderRequest asks a replica for the leader of its partition.
type LeaderRequest struct {
	Partition uint32 `json:"partition"`
}

// LeaderResponse is a replica's view of the leader of its partition.
type LeaderResponse struct {
	// Leads is true if the replica that responds is the leader.
	Leads bool `json:"leads,omitempty"`
	// Leader is the replica that it follows; empty if it knows none.
	Leader string `json:"leader,omitempty"`
}

// awaitLeader responds as soon as the replica knows the leader of a partition, and after leaderWait at the latest.
func (s *Server) awaitLeader(ctx context.Context, _ transport.Peer, request LeaderRequest) (LeaderResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, leaderWait)
	defer cancel()
	status, known := s.options.Host.AwaitLeader(ctx, request.Partition)
	if !known || status.Failed != "" {
		return LeaderResponse{}, nil
	}
	return LeaderResponse{Leads: status.IsLeader, Leader: status.Leader}, nil
}

// leaderLookup is one round of requests for the leader of a partition. All calls of this node that need the leader share it:
// if each call tried the replicas by itself, the refused calls would cost more than those that are served, and would delay the
// election that they wait for.
type leaderLookup struct {
	done chan struct{}
	// leader and err are set before done is closed.
	leader string
	err    error
}

// findLeader returns the leader of a partition from the cache or from a lookup.
func (c *Client) findLeader(ctx context.Context, id uint32) (string, error) {
	c.mutex.Lock()
	if leader := c.leaders[id]; leader != "" {
		c.mutex.Unlock()
		return leader, nil
	}
	lookup := c.lookups[id]
	if lookup == nil {
		lookup = &leaderLookup{done: make(chan struct{})}
		c.lookups[id] = lookup
		go c.runLookup(id, lookup)
	}
	c.mutex.Unlock()
	select {
	case <-lookup.done:
		return lookup.leader, lookup.err
	case <-ctx.Done():
		return "", apierr.New(apierr.Cancelled, apierr.NotRun, "the caller cancelled the request")
	}
}

func (c *Client) runLookup(id uint32, lookup *leaderLookup) {
	ctx, cancel := context.WithTimeout(context.Background(), leaderLookupTimeout)
	defer cancel()
	c.mutex.Lock()
	refused := c.refused[id]
	c.mutex.Unlock()
	lookup.leader, lookup.err = lookUpLeader(ctx, c.candidates(id), refused, func(ctx context.Context, replicaID string) (LeaderResponse, error) {
		return callReplica[LeaderResponse](ctx, c, replicaID, leaderKind, LeaderRequest{Partition: id}, 0)
	})
	c.mutex.Lock()
	delete(c.lookups, id)
	if lookup.leader != "" {
		c.leaders[id] = lookup.leader
		delete(c.refused, id)
	}
	c.mutex.Unlock()
	close(lookup.done)
}

// leaderAnswer is the result of a LeaderRequest to one replica.
type leaderAnswer struct {
	replicaID string
	response  LeaderResponse
	err       error
}

// lookUpLeader asks all replicas of a partition at once and returns the first leader that is named. A replica that has just refused
// a request, or couldn't be reached, must confirm that it leads: its followers may not know yet that it doesn't. A replica of a
// build without LeaderRequest can't confirm it, and is tried if no other replica leads.
func lookUpLeader(ctx context.Context, replicas []string, refused string, request func(ctx context.Context, replicaID string) (LeaderResponse, error)) (string, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var asked, unsupported, named []string
	answers := make(chan leaderAnswer)
	ask := func(replicaID string) {
		if slices.Contains(asked, replicaID) {
			return
		}
		asked = append(asked, replicaID)
		go func() {
			response, err := request(ctx, replicaID)
			select {
			case answers <- leaderAnswer{replicaID, response, err}:
			case <-ctx.Done():
			}
		}()
	}
	for _, replicaID := range replicas {
		ask(replicaID)
	}
	var lastErr error = apierr.New(apierr.NotLeader, apierr.NotRun, "no replica leads the partition")
	for received := 0; received < len(asked); received++ {
		var answer leaderAnswer
		select {
		case answer = <-answers:
		case <-ctx.Done():
			return "", apierr.New(apierr.PeerUnreachable, apierr.NotRun, "%d of %d replicas have not responded", len(asked)-received, len(asked))
		}
		switch {
		case apierr.Is(answer.err, apierr.NotFound):
			unsupported = append(unsupported, answer.replicaID)
		case answer.err != nil:
			lastErr = answer.err
		case answer.response.Leads:
			return answer.replicaID, nil
		case answer.response.Leader != "" && answer.response.Leader != refused:
			return answer.response.Leader, nil
		case answer.response.Leader != "":
			named = append(named, answer.response.Leader)
			ask(answer.response.Leader)
		}
	}
	return chooseUnconfirmed(named, unsupported, lastErr)
}

// chooseUnconfirmed returns a replica that can't confirm that it leads, preferably one that another replica follows.
func chooseUnconfirmed(named, unsupported []string, otherwise error) (string, error) {
	for _, replicaID := range named {
		if slices.Contains(unsupported, replicaID) {
			return replicaID, nil
		}
	}
	if len(unsupported) > 0 {
		return unsupported[rand.IntN(len(unsupported))], nil
	}
	return "", otherwise
}

// forgetLeader removes a leader that has refused or can't be reached, and adopts the one that it names, if any. It changes nothing
// if a later lookup has found another leader.
func (c *Client) forgetLeader(id uint32, replicaID, next string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.leaders[id] != replicaID {
		return
	}
	delete(c.leaders, id)
	c.refused[id] = replicaID
	if next != "" && next != replicaID {
		c.leaders[id] = next
	}
}
