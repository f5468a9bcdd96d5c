package dispatch

import (
	"math"
	"time"
)

const (
	// paceWeight is the weight of a new sample in the average.
	paceWeight = 0.25
	// paceMemory is how long a slow engine without new samples is believed to be slow.
	paceMemory = 3 * time.Second
	// slowPace is the pace, against the average of the service, from which an engine counts as slow.
	slowPace = 1.8
)

// pace is how slow an engine is against the others of its service: 1 is the average, 2 takes
// twice the time.
type pace struct {
	average   float64
	updatedAt time.Time
}

// now returns the pace; without new samples it drifts back to 1, so that a slow engine is tried
// again after a while.
func (p *pace) at(now time.Time) float64 {
	if p.updatedAt.IsZero() {
		return 1
	}
	factor := math.Exp(-float64(now.Sub(p.updatedAt)) / float64(paceMemory))
	return 1 + (p.average-1)*factor
}

func (p *pace) add(now time.Time, sample float64) {
	current := p.at(now)
	p.average = current + paceWeight*(min(sample, maximalSample)-current)
	p.updatedAt = now
}

// maximalSample bounds what one sample can do.
const maximalSample = 6

// expectation is the usual time of a kind of step, over all engines.
type expectation struct {
	average time.Duration
	samples int
}

// ratio compares a sample with what is usual, and learns from it. A sample far above what is usual
// counts little, so that slow engines don't become the usual. While few samples are known, none is judged: with a first
// one that happened to be short, a node that had just started would take all engines for slow.
func (e *expectation) ratio(sample time.Duration) float64 {
	e.samples++
	if e.samples <= fewSamples {
		e.average += (sample - e.average) / time.Duration(e.samples)
		return 1
	}
	ratio := float64(sample) / float64(max(e.average, 1))
	step := float64(min(sample, 2*e.average)-e.average) * expectationWeight
	e.average += time.Duration(step)
	return ratio
}

const (
	expectationWeight = 0.03
	// fewSamples is how many samples give the first average, as they come; a node of few calls has them in a second.
	fewSamples = 8
)
