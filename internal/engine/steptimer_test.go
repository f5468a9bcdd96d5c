package engine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestStepTimeIgnoresInterruptedSteps checks that steps that are delayed by prompts of other calls do not raise the estimate, and
// that too few chunks give none.
func TestStepTimeIgnoresInterruptedSteps(t *testing.T) {
	var timer StepTimer
	now := time.Unix(1000, 0)
	for step := range 20 {
		timer.RecordChunk(now)
		now = now.Add(10 * time.Millisecond)
		if step%2 == 0 {
			now = now.Add(40 * time.Millisecond)
		}
		if step == 5 {
			assert.Equal(t, timer.StepTime(), time.Duration(0))
		}
	}
	assert.Equal(t, timer.StepTime(), 10*time.Millisecond)
}
