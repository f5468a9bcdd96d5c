package coordinator

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/apierr"
)

// TestLookUpLeader asks replicas that lead, follow, don't respond, or don't know the request. Replicas b and c have refused requests
// before.
func TestLookUpLeader(t *testing.T) {
	unsupported := apierr.New(apierr.NotFound, apierr.NotRun, "this node does not serve %q", leaderKind)
	cases := map[string]struct {
		answers map[string]leaderAnswer
		refused string
		leader  string
	}{
		"the leader confirms it":       {map[string]leaderAnswer{"a": {}, "b": {response: LeaderResponse{Leads: true, Leader: "b"}}}, "b", "b"},
		"a follower names the leader":  {map[string]leaderAnswer{"a": {response: LeaderResponse{Leader: "z"}}}, "b", "z"},
		"the named leader confirms it": {map[string]leaderAnswer{"a": {response: LeaderResponse{Leader: "c"}}, "c": {response: LeaderResponse{Leads: true}}}, "c", "c"},
		"the named leader has failed":  {map[string]leaderAnswer{"a": {response: LeaderResponse{Leader: "b"}}, "b": {err: apierr.New(apierr.PeerUnreachable, apierr.NotRun, "down")}}, "b", ""},
		"no replica has a leader":      {map[string]leaderAnswer{"a": {}, "b": {}}, "", ""},
		"an older build is named":      {map[string]leaderAnswer{"a": {err: unsupported}, "b": {response: LeaderResponse{Leader: "c"}}, "c": {err: unsupported}}, "c", "c"},
		"only an older build may lead": {map[string]leaderAnswer{"a": {err: unsupported}, "b": {}}, "", "a"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			leader, err := lookUpLeader(t.Context(), []string{"a", "b"}, test.refused, func(_ context.Context, replicaID string) (LeaderResponse, error) {
				return test.answers[replicaID].response, test.answers[replicaID].err
			})
			assert.Equal(t, leader, test.leader)
			assert.Equal(t, err == nil, test.leader != "")
		})
	}
}

// TestLookUpLeaderIsNotDelayedBySilentReplica checks that a replica that doesn't respond delays neither a leader's confirmation nor
// the end of the lookup.
func TestLookUpLeaderIsNotDelayedBySilentReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leads := true
		request := func(ctx context.Context, replicaID string) (LeaderResponse, error) {
			if replicaID == "silent" {
				<-ctx.Done()
				return LeaderResponse{}, ctx.Err()
			}
			return LeaderResponse{Leads: leads}, nil
		}
		started := time.Now()
		leader, err := lookUpLeader(t.Context(), []string{"silent", "b"}, "", request)
		assert.NilError(t, err)
		assert.Equal(t, leader, "b")
		assert.Equal(t, time.Since(started), time.Duration(0))
		leads = false
		ctx, cancel := context.WithTimeout(t.Context(), leaderLookupTimeout)
		defer cancel()
		_, err = lookUpLeader(ctx, []string{"silent", "b"}, "", request)
		assert.Assert(t, apierr.Is(err, apierr.PeerUnreachable), "%v", err)
		assert.Equal(t, time.Since(started), leaderLookupTimeout)
	})
}
