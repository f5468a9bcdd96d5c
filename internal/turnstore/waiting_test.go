package turnstore

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/events"
)

// A replica that lacks records tells which peers it waits for, and for how long.
func TestWaitingReplicaNamesItsPeers(t *testing.T) {
	t.Parallel()
	now := time.Now()
	replica := &Replica{
		set:  ReplicaSet{Epoch: 1, Members: []Member{{Name: "self"}, {Name: "gone"}, {Name: "empty"}, {Name: "slow"}, {Name: "done"}}, Copies: 2, Size: 5},
		sets: make(sets), logger: events.Discard(),
		peers: map[string]*peerProgress{
			"gone":  {lastResponseAt: now.Add(-time.Minute), caughtUpAt: now.Add(-time.Minute), complete: true},
			"empty": {lastResponseAt: now, caughtUpAt: now},
			"slow":  {lastResponseAt: now},
			"done":  {lastResponseAt: now, caughtUpAt: now, complete: true},
		},
	}
	replica.options.Self = Member{Name: "self"}
	assert.DeepEqual(t, replica.peerStates(), map[string]peerState{"gone": peerSilent, "empty": peerIncomplete, "slow": peerPulling, "done": peerPulled})

	waiting := waitLog{replica: replica}
	waiting.update(now, true)
	waiting.update(now.Add(time.Second), true)
	assert.Equal(t, replica.waitingFor(now.Add(3*time.Second)), 3*time.Second)
	waiting.update(now.Add(2*time.Second), false)
	assert.Equal(t, replica.waitingFor(now.Add(3*time.Second)), time.Duration(0))
}
