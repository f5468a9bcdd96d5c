package transport

import (
	"encoding/json"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Heads are encoded and decoded as encoding/json does it, whatever their fields hold.
func TestHeadsAreThoseOfEncodingJSON(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.OneOf(rapid.StringMatching(`[a-z0-9.:-]{0,20}`), rapid.String())
		written := frame{Kind: text.Draw(t, "kind"), ID: rapid.Uint64().Draw(t, "id"), Reply: rapid.Bool().Draw(t, "reply"), To: text.Draw(t, "to"), ClusterID: text.Draw(t, "cluster")}
		want, err := json.Marshal(written)
		assert.NilError(t, err)
		got, err := written.encodeHead()
		assert.NilError(t, err)
		assert.Equal(t, string(got), string(want))
		var byJSON frame
		assert.NilError(t, json.Unmarshal(got, &byJSON))
		decoded, err := decodeHeadFields(got[:len(got)-1])
		assert.NilError(t, err)
		assert.Equal(t, decoded.Kind+decoded.To+decoded.ClusterID, byJSON.Kind+byJSON.To+byJSON.ClusterID)
		assert.Equal(t, decoded.ID, byJSON.ID)
		assert.Equal(t, decoded.Reply, byJSON.Reply)
	})
}

// Heads that encoding/json refuses are refused.
func TestHeadsThatAreNoneAreRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		head := rapid.StringMatching(`\{?("[kirtcx]":("[a-z\\]{0,3}"|[0-9]{0,3}|true|false|),?){0,4}`).Draw(t, "head")
		var byJSON frame
		wanted := json.Unmarshal([]byte(head+"}"), &byJSON)
		decoded, err := decodeHeadFields([]byte(head))
		assert.Equal(t, err == nil, wanted == nil, "%s: %v", head, err)
		if err == nil {
			assert.Equal(t, decoded.Kind+decoded.To+decoded.ClusterID, byJSON.Kind+byJSON.To+byJSON.ClusterID)
			assert.Equal(t, decoded.ID, byJSON.ID)
			assert.Equal(t, decoded.Reply, byJSON.Reply)
		}
	})
}

// All tasks run at the same time, however many there are, and goroutines that wait for more end with the transport.
func TestWorkersRunAllTasks(t *testing.T) {
	const count = 4 * maxIdleWorkers
	done := make(chan struct{})
	pool := newWorkers(done)
	for range 3 {
		var running, ended sync.WaitGroup
		running.Add(count)
		for range count {
			ended.Add(1)
			pool.run(func() {
				defer ended.Done()
				running.Done()
				running.Wait()
			})
		}
		ended.Wait()
	}
	assert.Assert(t, len(pool.idle) <= maxIdleWorkers)
	close(done)
}
