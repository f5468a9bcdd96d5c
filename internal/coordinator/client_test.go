package coordinator

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/membership"
	"github.com/mountstile/mountstile/internal/transport"
)

// TestReplicaIsCalledDirectlyIfNoRelayIsAvailable calls a replica whose connection has broken before, in a cluster without other
// nodes that could relay the call.
func TestReplicaIsCalledDirectlyIfNoRelayIsAvailable(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	peer := transport.New(transport.Options{Cluster: "c", NodeID: "n", Address: address, Logger: events.Discard()})
	defer peer.Close()
	transport.Handle(peer, leaderKind, func(context.Context, transport.Peer, LeaderRequest) (LeaderResponse, error) {
		return LeaderResponse{Leads: true}, nil
	})
	go func() { _ = peer.Serve(listener) }()
	network := transport.New(transport.Options{Cluster: "c", NodeID: "m", Address: "m", Logger: events.Discard()})
	defer network.Close()
	// The only member that is known is the replica itself.
	members := membership.NewManager(membership.Member{ID: "n", ReplicaID: "r", Address: address}, nil, membership.DefaultOptions(), network, events.Discard())
	client := NewClient(network, members, nil)
	client.startRelaying("r")
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	response, err := callReplica[LeaderResponse](ctx, client, "r", leaderKind, LeaderRequest{}, 0)
	assert.NilError(t, err)
	assert.Assert(t, response.Leads)
}

// TestOutcomeOfTwoWaysToReplica checks that a request that neither way has delivered is reported as not run, and one that either
// way may have delivered as unknown.
func TestOutcomeOfTwoWaysToReplica(t *testing.T) {
	way := func(outcome apierr.Outcome) func() (int, error) {
		return func() (int, error) { return 0, apierr.New(apierr.PeerUnreachable, outcome, "down") }
	}
	cases := []struct{ first, second, expected apierr.Outcome }{
		{apierr.NotRun, apierr.NotRun, apierr.NotRun},
		{apierr.NotRun, apierr.OutcomeUnknown, apierr.OutcomeUnknown},
		{apierr.OutcomeUnknown, apierr.NotRun, apierr.OutcomeUnknown},
		{apierr.OutcomeUnknown, apierr.OutcomeUnknown, apierr.OutcomeUnknown},
	}
	for _, test := range cases {
		_, err := firstReachable(t.Context(), way(test.first), way(test.second))
		assert.Equal(t, apierr.From(err, apierr.Ran).Outcome, test.expected, "%s, then %s", test.first, test.second)
	}
	refused := apierr.New(apierr.NotLeader, apierr.NotRun, "this node does not lead the partition")
	refused.Leader = "other"
	_, err := firstReachable(t.Context(), way(apierr.OutcomeUnknown), func() (int, error) { return 0, refused })
	failure := apierr.From(err, apierr.Ran)
	assert.Equal(t, failure.Outcome, apierr.OutcomeUnknown, "the request may have been delivered before the refusal")
	assert.Equal(t, failure.Leader, "other")
	_, err = firstReachable(t.Context(), way(apierr.OutcomeUnknown), func() (int, error) { return 0, nil })
	assert.NilError(t, err)
}
