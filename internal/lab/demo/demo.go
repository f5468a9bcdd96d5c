// Package demo runs the main job on one machine: both users' example configurations, three nodes,
// emulated engines, and a short workload.
package demo

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/mountstile/mountstile/internal/emulator"
	"github.com/mountstile/mountstile/internal/lab/cluster"
	"github.com/mountstile/mountstile/internal/lab/runner"
	"github.com/mountstile/mountstile/internal/workload"
)

// Options shape the demo.
type Options struct {
	// ExamplesDir holds the example configurations.
	ExamplesDir string
	// Programs of each user.
	Programs int
	Seed     uint64
	Output   io.Writer
	// NodeLogs makes the nodes' logs go to standard error.
	NodeLogs bool
	// KeepRunning keeps the system up until the context ends.
	KeepRunning bool
}

const (
	startTimeout = 20 * time.Second
	runTimeout   = 60 * time.Second
	spread       = 4 * time.Second
	timeScale    = 0.12
)

// ErrProgramsFailed means that programs did not finish.
type ErrProgramsFailed struct {
	Count  int64
	Errors map[string]int64
}

// Error implements error.
func (e *ErrProgramsFailed) Error() string {
	return fmt.Sprintf("%d programs failed: %v", e.Count, e.Errors)
}

// Run starts the system, plays the workload, and prints what its callers saw.
func Run(ctx context.Context, options Options) error {
	output := options.Output
	fmt.Fprintln(output, "starting the store, 20 model engines, 18 application engines, tools and 3 nodes on loopback")
	startContext, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	setup := cluster.Options{
		Nodes:      3,
		Zones:      []string{"zone-1", "zone-2", "zone-3"},
		Region:     "region-1",
		Files:      []string{options.ExamplesDir + "/brindleway.yaml", options.ExamplesDir + "/mapishi.yaml"},
		Engine:     emulator.DefaultConfig(),
		Partitions: 12,
		LogLevel:   logrus.InfoLevel,
	}
	if options.NodeLogs {
		setup.LogOutput = os.Stderr
	}
	system, err := cluster.Start(startContext, setup)
	defer system.Stop()
	if err != nil {
		return errors.Wrap(err, "starting the system")
	}
	if err := play(ctx, options, system); err != nil {
		return err
	}
	if options.KeepRunning {
		stay(ctx, output, system)
	}
	return nil
}

func play(ctx context.Context, options Options, system *cluster.Cluster) error {
	shape := workload.Options{Seed: options.Seed, Programs: options.Programs, Duration: spread, TimeScale: timeScale}
	programs := append(workload.Brindleway(shape), workload.Mapishi(shape)...)
	fmt.Fprintf(options.Output, "running %d programs, each call through any node\n\n", len(programs))
	runContext, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	started := time.Now()
	results := runner.Run(runContext, runner.Options{
		Nodes:    system.APIURLs(),
		ToolsURL: system.ToolsURL,
		APIKeys:  map[string]string{"brindleway": "brindleway.web." + cluster.DemoSecret, "mapishi": "mapishi.site." + cluster.DemoSecret},
		Seed:     options.Seed,
	}, programs)
	printSummary(options.Output, results, system, time.Since(started))
	for _, result := range results {
		if result.Failed > 0 {
			return &ErrProgramsFailed{Count: result.Failed, Errors: result.Errors}
		}
	}
	return nil
}

func printSummary(output io.Writer, results map[string]*runner.Result, system *cluster.Cluster, took time.Duration) {
	enginePrefix := map[string]string{"brindleway": "tutor", "mapishi": "recipes"}
	for _, tenant := range []string{"brindleway", "mapishi"} {
		result := results[tenant]
		stats := system.CacheStats(enginePrefix[tenant])
		fmt.Fprintf(output, "%s\n", tenant)
		fmt.Fprintf(output, "  programs        %d done of %d; %d calls, %d tokens, %d refused and tried again\n", result.Completed, result.Programs, result.Calls, result.Tokens, result.Retries)
		fmt.Fprintf(output, "  program latency p50 %s  p95 %s  p99 %s\n", quantile(result.ProgramLatency, 50), quantile(result.ProgramLatency, 95), quantile(result.ProgramLatency, 99))
		fmt.Fprintf(output, "  first token     p50 %s  p95 %s\n", quantile(result.FirstTokenLatency, 50), quantile(result.FirstTokenLatency, 95))
		hits := float64(stats.Hits) / float64(max(1, stats.Hits+stats.Misses))
		fmt.Fprintf(output, "  engine cache    %.0f %% of prompt blocks found; %.0f %% of blocks made were never used again\n\n", 100*hits, 100*stats.WastedFraction())
	}
	fmt.Fprintf(output, "took %s\n", took.Round(time.Millisecond))
}

func quantile(histogram *hdrhistogram.Histogram, percent float64) time.Duration {
	return (time.Duration(histogram.ValueAtQuantile(percent)) * time.Microsecond).Round(100 * time.Microsecond)
}

func stay(ctx context.Context, output io.Writer, system *cluster.Cluster) {
	fmt.Fprintf(output, "\nthe system stays up; end it with Ctrl-C. Try:\n\n")
	fmt.Fprintf(output, "curl -sS %s/v1/chat/completions -H 'Authorization: Bearer brindleway.web.%s' -H 'Content-Type: application/json' -d '{\"model\":\"tutor-small\",\"max_tokens\":12,\"messages\":[{\"role\":\"user\",\"content\":\"What is 7 times 8?\"}]}'\n\n", system.APIURLs()[0], cluster.DemoSecret)
	fmt.Fprintf(output, "go run ./cmd/mountstile status --endpoint http://%s --key %s\n", system.Nodes[0].Settings().Admin.Listen, cluster.AdminKey)
	<-ctx.Done()
}
