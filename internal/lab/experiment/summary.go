package experiment

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
)

// Quantiles are latencies in milliseconds over all repeats.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	// P95Low and P95High are the lowest and highest p95 of single repeats.
	P95Low  float64 `json:"p95_low"`
	P95High float64 `json:"p95_high"`
}

// PolicySummary is the result of a policy at one load, over all repeats. Scripts read it, so the JSON
// field names are stable.
type PolicySummary struct {
	ProgramLatency      Quantiles `json:"program_latency_ms"`
	TurnLatency         Quantiles `json:"turn_latency_ms"`
	FirstTokenLatency   Quantiles `json:"first_token_ms"`
	WastedCacheFraction float64   `json:"wasted_cache_fraction"`
	WastedLow           float64   `json:"wasted_cache_fraction_low"`
	WastedHigh          float64   `json:"wasted_cache_fraction_high"`
	CacheHitFraction    float64   `json:"cache_hit_fraction"`
	// GoodputPerSecond is the rate of completed programs.
	GoodputPerSecond float64 `json:"goodput_programs_per_s"`
	Programs         int64   `json:"programs"`
	Completed        int64   `json:"completed"`
	Failed           int64   `json:"failed"`
	Retries          int64   `json:"refused"`
	// FairnessIndex is Jain's fairness index of the turn latencies; it is 1 if all are equal.
	FairnessIndex float64 `json:"fairness_index"`
}

// LoadSummary holds the results at one offered load by policy.
type LoadSummary struct {
	Load     float64                  `json:"load"`
	Policies map[string]PolicySummary `json:"policies"`
}

// Summary is the content of summary.json. Policies holds the results at the last of the loads.
type Summary struct {
	Name     string                   `json:"name"`
	Workload string                   `json:"workload"`
	Repeats  int                      `json:"repeats"`
	Loads    []LoadSummary            `json:"loads"`
	Policies map[string]PolicySummary `json:"policies"`
}

func milliseconds(histogram *hdrhistogram.Histogram, percent float64) float64 {
	return float64(histogram.ValueAtQuantile(percent)) / 1000
}

// Summarize merges the samples of each policy and load.
func Summarize(file File, samples []Sample) Summary {
	summary := Summary{Name: file.Name, Workload: file.Workload, Repeats: file.Repeats}
	for _, load := range file.Loads {
		loadSummary := LoadSummary{Load: load, Policies: make(map[string]PolicySummary)}
		for _, policy := range file.Policies {
			var matching []Sample
			for _, sample := range samples {
				if sample.Policy == policy.Name && sample.Load == load {
					matching = append(matching, sample)
				}
			}
			if len(matching) > 0 {
				loadSummary.Policies[policy.Name] = summarizePolicy(matching)
			}
		}
		summary.Loads = append(summary.Loads, loadSummary)
		summary.Policies = loadSummary.Policies
	}
	return summary
}

func summarizePolicy(samples []Sample) PolicySummary {
	result := PolicySummary{WastedLow: math.Inf(1)}
	// The upper limit is an hour in microseconds, as in runner.Result.
	program := hdrhistogram.New(1, 3_600_000_000, 3)
	turn := hdrhistogram.New(1, 3_600_000_000, 3)
	first := hdrhistogram.New(1, 3_600_000_000, 3)
	cache := samples[0].Cache
	low, high, seconds := math.Inf(1), 0.0, 0.0
	for index, sample := range samples {
		program.Merge(sample.Result.ProgramLatency)
		turn.Merge(sample.Result.TurnLatency)
		first.Merge(sample.Result.FirstTokenLatency)
		p95 := milliseconds(sample.Result.ProgramLatency, 95)
		low, high = min(low, p95), max(high, p95)
		wasted := sample.Cache.WastedFraction()
		result.WastedLow, result.WastedHigh = min(result.WastedLow, wasted), max(result.WastedHigh, wasted)
		if index == 0 {
			cache = sample.Cache
		} else {
			cache = cache.Add(sample.Cache)
		}
		seconds += sample.Seconds
		result.Programs += sample.Result.Programs
		result.Completed += sample.Result.Completed
		result.Failed += sample.Result.Failed
		result.Retries += sample.Result.Retries
	}
	result.ProgramLatency = quantiles(program)
	result.ProgramLatency.P95Low, result.ProgramLatency.P95High = low, high
	result.TurnLatency, result.FirstTokenLatency = quantiles(turn), quantiles(first)
	result.WastedCacheFraction = cache.WastedFraction()
	result.CacheHitFraction = float64(cache.Hits) / math.Max(1, float64(cache.Hits+cache.Misses))
	result.GoodputPerSecond = float64(result.Completed) / seconds
	result.FairnessIndex = jainIndex(turn)
	return result
}

func quantiles(histogram *hdrhistogram.Histogram) Quantiles {
	return Quantiles{P50: milliseconds(histogram, 50), P95: milliseconds(histogram, 95), P99: milliseconds(histogram, 99)}
}

// jainIndex returns Jain's fairness index of the recorded values.
func jainIndex(histogram *hdrhistogram.Histogram) float64 {
	mean, deviation := histogram.Mean(), histogram.StdDev()
	if mean == 0 {
		return 1
	}
	return mean * mean / (mean*mean + deviation*deviation)
}

const dirMode = 0o755

// Write writes summary.json, report.md and the plots to a directory, which it creates if necessary.
func Write(dir string, file File, samples []Sample) (Summary, error) {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return Summary{}, errors.Wrap(err, "creating the output directory")
	}
	summary := Summarize(file, samples)
	encoded, err := json.MarshalIndent(summary, "", "  ")
	if err != nil {
		return summary, errors.Wrap(err, "encoding the summary")
	}
	if err := os.WriteFile(filepath.Join(dir, "summary.json"), append(encoded, '\n'), 0o644); err != nil {
		return summary, errors.Wrap(err, "writing the summary")
	}
	if err := os.WriteFile(filepath.Join(dir, "report.md"), []byte(Report(file, summary)), 0o644); err != nil {
		return summary, errors.Wrap(err, "writing the report")
	}
	return summary, plotAll(dir, file, samples)
}

// Report formats a Markdown table for each load, with ratios to the baseline policies.
func Report(file File, summary Summary) string {
	var text strings.Builder
	fmt.Fprintf(&text, "# %s\n\n%d nodes, %d engines, %d repeats; programs start within %.0f s. Latencies in ms; p95 with its range over the repeats.\n",
		summary.Name, file.Nodes, file.Engines, summary.Repeats, file.Seconds)
	for _, load := range summary.Loads {
		fmt.Fprintf(&text, "\n## Load %.2f\n\n", load.Load)
		text.WriteString("| policy | program p50 | program p95 | of round-robin | of least-loaded | first token p95 | wasted cache | of round-robin | of least-loaded | programs/s | done | failed | refused |\n")
		text.WriteString("|---|---|---|---|---|---|---|---|---|---|---|---|---|\n")
		for _, policy := range file.Policies {
			row, known := load.Policies[policy.Name]
			if !known {
				continue
			}
			fmt.Fprintf(&text, "| %s | %.0f | %.0f (%.0f to %.0f) | %s | %s | %.0f | %.3f (%.3f to %.3f) | %s | %s | %.2f | %d | %d | %d |\n",
				policy.Name, row.ProgramLatency.P50, row.ProgramLatency.P95, row.ProgramLatency.P95Low, row.ProgramLatency.P95High,
				ratio(row.ProgramLatency.P95, load.Policies["round-robin"].ProgramLatency.P95), ratio(row.ProgramLatency.P95, load.Policies["least-loaded"].ProgramLatency.P95),
				row.FirstTokenLatency.P95, row.WastedCacheFraction, row.WastedLow, row.WastedHigh,
				ratio(row.WastedCacheFraction, load.Policies["round-robin"].WastedCacheFraction), ratio(row.WastedCacheFraction, load.Policies["least-loaded"].WastedCacheFraction),
				row.GoodputPerSecond, row.Completed, row.Failed, row.Retries)
		}
	}
	return text.String()
}

func ratio(value, baseline float64) string {
	if baseline == 0 {
		return ""
	}
	return fmt.Sprintf("%.2f", value/baseline)
}
