package turnstore

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mountstile/mountstile/internal/conversation"
	"github.com/mountstile/mountstile/internal/transport"
)

// These tests use turns so large that a message can't carry as many of them as it may carry records. They don't run beside
// others, which they would slow down.

// storeLarge stores large turns on all replicas. It doesn't send them as a client does: with the race detector on a busy
// machine their encoding takes longer than an acknowledgement counts.
func (c *cluster) storeLarge(turns, size int) {
	c.t.Helper()
	for number := range turns {
		record := conversation.Record{Turn: &conversation.Turn{
			ID: fmt.Sprint("large-", number), Text: bytes.Repeat([]byte("x"), size), RetentionMillis: 600_000,
		}}
		for _, m := range c.machines {
			assert.NilError(c.t, m.process.replica.append(c.t.Context(), []conversation.Record{record}))
		}
	}
}

// waitLarge waits for a condition longer than other tests do: the race detector slows the encoding of large messages.
func waitLarge(t *testing.T, what string, check func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if check() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(8*testTimeout), poll.WithDelay(20*time.Millisecond))
}

// A replica that lost its disk catches up although its peers' records don't fit into few messages.
func TestWipedReplicaFetchesLargeTurns(t *testing.T) {
	const turns = 66
	c := newCluster(t, 3)
	c.storeLarge(turns, 270<<10)
	wiped := c.machines[0]
	c.wipe(wiped)
	c.start(wiped)
	waitLarge(t, "the empty replica has caught up", func() bool { return wiped.complete() && wiped.turns() == turns })
}

// A member hands over its records although they don't fit into few messages.
func TestHandoverOfLargeTurnsFitsIntoMessages(t *testing.T) {
	const turns = 33
	c := newCluster(t, 3)
	c.storeLarge(turns, 530<<10)
	replica := c.machines[0].process.replica
	replica.mutex.Lock()
	records := replica.state.Records()
	replica.mutex.Unlock()
	handed := 0
	for len(records) > 0 {
		batch, err := replica.handoverBatch(records)
		assert.NilError(t, err)
		encoded, err := json.Marshal(putRequest{Records: batch})
		assert.NilError(t, err)
		assert.Assert(t, len(batch) > 0 && len(encoded) < transport.MaxLineBytes/2, "%d records in %d bytes", len(batch), len(encoded))
		handed += len(batch)
		records = records[len(batch):]
	}
	assert.Equal(t, handed, turns)
}
