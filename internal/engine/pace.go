package engine

import (
	"slices"
	"time"
)

const (
	// leastGaps is how many gaps between pieces tell an engine's speed.
	leastGaps = 8
	mostGaps  = 128
	// paceQuantile of the gaps is taken: steps that also compute another call's prompt take longer.
	paceQuantile = 0.25
)

// StepTimer learns how long an engine's steps take from the times of an answer's pieces.
type StepTimer struct {
	last time.Time
	gaps []time.Duration
}

// RecordChunk records a piece.
func (p *StepTimer) RecordChunk(now time.Time) {
	if !p.last.IsZero() && len(p.gaps) < mostGaps {
		p.gaps = append(p.gaps, now.Sub(p.last))
	}
	p.last = now
}

// StepTime is the time of an undisturbed step; 0 if the answer was too short to tell.
func (p *StepTimer) StepTime() time.Duration {
	if len(p.gaps) < leastGaps {
		return 0
	}
	sorted := slices.Sorted(slices.Values(p.gaps))
	return sorted[int(paceQuantile*float64(len(sorted)))]
}
