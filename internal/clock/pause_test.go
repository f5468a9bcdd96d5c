package clock

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestPauseIsDetected checks that a pause is detected by PausedSince itself, before Run checks again.
func TestPauseIsDetected(t *testing.T) {
	detector := NewPauseDetector(time.Second)
	requestedAt := time.Now()
	detector.check()
	assert.Assert(t, !detector.PausedSince(requestedAt))
	detector.lastCheck.Store(int64(time.Since(detector.start) - 2*time.Second))
	assert.Assert(t, detector.PausedSince(requestedAt))
	assert.Assert(t, !detector.PausedSince(time.Now()))
}
