package engine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestPaceIsThatOfUndisturbedSteps: prompts of other calls that are computed in between don't count,
// and neither does a short answer.
func TestPaceIsThatOfUndisturbedSteps(t *testing.T) {
	var pace StepTimer
	now := time.Unix(1000, 0)
	for step := range 20 {
		pace.RecordChunk(now)
		now = now.Add(10 * time.Millisecond)
		if step%2 == 0 {
			now = now.Add(40 * time.Millisecond)
		}
		if step == 5 {
			assert.Equal(t, pace.StepTime(), time.Duration(0))
		}
	}
	assert.Equal(t, pace.StepTime(), 10*time.Millisecond)
}
