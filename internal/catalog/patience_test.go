package catalog

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A node that takes long to hear others waits longer before it sends more messages, within bounds, and no longer once it hears them soon.
func TestPatienceFollowsResponseTimes(t *testing.T) {
	var times responseTimes
	assert.Equal(t, times.patience(), replicaPatience)
	note := func(taken time.Duration) {
		for range 4 * responseWeight {
			times.note(taken)
		}
	}
	note(2 * time.Millisecond)
	assert.Equal(t, times.patience(), replicaPatience)
	note(40 * time.Millisecond)
	assert.Assert(t, times.patience() > 100*time.Millisecond, "%s", times.patience())
	note(publishTimeout)
	assert.Equal(t, times.patience(), maxReplicaPatience)
	note(2 * time.Millisecond)
	assert.Equal(t, times.patience(), replicaPatience)
}
