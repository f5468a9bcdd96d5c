package dispatch

import (
	"math"
	"time"
)

const (
	// ratioWeight is the weight of a new sample in the moving average.
	ratioWeight = 0.25
	// ratioDecay is the time constant with which a ratio without new samples returns to 1.
	ratioDecay = 3 * time.Second
	// slowRatio is the latency ratio from which an engine counts as slow.
	slowRatio = 1.8
)

// latencyRatio is an engine's latency relative to the average of its service: 1 is the average, 2 is
// twice as slow.
type latencyRatio struct {
	average   float64
	updatedAt time.Time
}

// at returns the ratio at a time. Without new samples it decays to 1, so that a slow engine is tried
// again after a while.
func (r *latencyRatio) at(now time.Time) float64 {
	if r.updatedAt.IsZero() {
		return 1
	}
	factor := math.Exp(-float64(now.Sub(r.updatedAt)) / float64(ratioDecay))
	return 1 + (r.average-1)*factor
}

func (r *latencyRatio) add(now time.Time, sample float64) {
	current := r.at(now)
	r.average = current + ratioWeight*(min(sample, maxSampleRatio)-current)
	r.updatedAt = now
}

// maxSampleRatio caps the latency ratio of a single sample.
const maxSampleRatio = 6

// latencyBaseline is the average duration of one kind of step over all engines.
type latencyBaseline struct {
	average time.Duration
	samples int
}

// ratio returns the ratio of a sample to the baseline and adds the sample to it. Samples are capped, so that slow
// engines raise the baseline little. During warm-up the ratio is 1: a short first sample would
// otherwise make all engines look slow to a gateway that has just started.
func (b *latencyBaseline) ratio(sample time.Duration) float64 {
	b.samples++
	if b.samples <= warmupSamples {
		b.average += (sample - b.average) / time.Duration(b.samples)
		return 1
	}
	ratio := float64(sample) / float64(max(b.average, 1))
	step := float64(min(sample, 2*b.average)-b.average) * baselineWeight
	b.average += time.Duration(step)
	return ratio
}

const (
	// baselineWeight is the weight of a new sample in the baseline's moving average.
	baselineWeight = 0.03
	// warmupSamples is how many samples are averaged with equal weight before any is compared with the baseline. Otherwise
	// a gateway that has just started would take all engines for slow after a first sample that happened to be short.
	warmupSamples = 8
)
