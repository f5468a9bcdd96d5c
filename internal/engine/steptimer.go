package engine

import (
	"slices"
	"time"
)

const (
	// minIntervals is the number of intervals between chunks that are needed for an estimate.
	minIntervals = 8
	maxIntervals = 128
	// stepTimeQuantile is below the median because steps that also process another call's prompt take longer.
	stepTimeQuantile = 0.25
)

// StepTimer estimates the duration of an engine's decoding steps from the arrival times of a response's chunks.
type StepTimer struct {
	last      time.Time
	intervals []time.Duration
}

// RecordChunk records the arrival of a chunk.
func (t *StepTimer) RecordChunk(now time.Time) {
	if !t.last.IsZero() && len(t.intervals) < maxIntervals {
		t.intervals = append(t.intervals, now.Sub(t.last))
	}
	t.last = now
}

// StepTime returns the estimated duration of a step that processes no prompt, or 0 if there were too few chunks.
func (t *StepTimer) StepTime() time.Duration {
	if len(t.intervals) < minIntervals {
		return 0
	}
	sorted := slices.Sorted(slices.Values(t.intervals))
	return sorted[int(stepTimeQuantile*float64(len(sorted)))]
}
