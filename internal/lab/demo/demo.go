// Package demo runs a short workload on a cluster of three nodes and emulated engines in one
// process, with the example configurations of two tenants.
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

// Options configures the demo.
type Options struct {
	// ExamplesDir is the directory of the example configurations.
	ExamplesDir string
	// Programs is the number of programs of each tenant.
	Programs int
	Seed     uint64
	Output   io.Writer
	// NodeLogs writes the nodes' logs to standard error.
	NodeLogs bool
	// KeepRunning keeps the cluster running after the workload until the context ends.
	KeepRunning bool
}

const (
	startTimeout = 20 * time.Second
	runTimeout   = 60 * time.Second
	startWindow  = 4 * time.Second // all programs start within it
	timeScale    = 0.12            // factor on the workload's pauses
)

// ErrProgramsFailed reports how many of a tenant's programs did not finish, and how often each error occurred.
type ErrProgramsFailed struct {
	Count  int64
	Errors map[string]int64
}

// Error implements error.
func (e *ErrProgramsFailed) Error() string {
	return fmt.Sprintf("%d programs failed: %v", e.Count, e.Errors)
}

// Run starts the cluster, runs the workload, and prints the latencies and cache statistics.
func Run(ctx context.Context, options Options) error {
	output := options.Output
	fmt.Fprintln(output, "starting the store, 20 model engines, 18 application engines, tools and 3 nodes on loopback")
	startContext, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	clusterOptions := cluster.Options{
		Nodes:      3,
		Zones:      []string{"zone-1", "zone-2", "zone-3"},
		Region:     "region-1",
		Files:      []string{options.ExamplesDir + "/brindleway.yaml", options.ExamplesDir + "/mapishi.yaml"},
		Engine:     emulator.DefaultConfig(),
		Partitions: 12,
		LogLevel:   logrus.InfoLevel,
	}
	if options.NodeLogs {
		clusterOptions.LogOutput = os.Stderr
	}
	system, err := cluster.Start(startContext, clusterOptions)
	defer system.Stop()
	if err != nil {
		return errors.Wrap(err, "starting the cluster")
	}
	if err := runWorkload(ctx, options, system); err != nil {
		return err
	}
	if options.KeepRunning {
		waitForInterrupt(ctx, output, system)
	}
	return nil
}

func runWorkload(ctx context.Context, options Options, system *cluster.Cluster) error {
	workloadOptions := workload.Options{Seed: options.Seed, Programs: options.Programs, Duration: startWindow, TimeScale: timeScale}
	programs := append(workload.TutorPrograms(workloadOptions), workload.RecipePrograms(workloadOptions)...)
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

func printSummary(output io.Writer, results map[string]*runner.Result, system *cluster.Cluster, elapsed time.Duration) {
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
	fmt.Fprintf(output, "took %s\n", elapsed.Round(time.Millisecond))
}

func quantile(histogram *hdrhistogram.Histogram, percent float64) time.Duration {
	return (time.Duration(histogram.ValueAtQuantile(percent)) * time.Microsecond).Round(100 * time.Microsecond)
}

func waitForInterrupt(ctx context.Context, output io.Writer, system *cluster.Cluster) {
	fmt.Fprintf(output, "\nthe system stays up; end it with Ctrl-C. Try:\n\n")
	fmt.Fprintf(output, "curl -sS %s/v1/chat/completions -H 'Authorization: Bearer brindleway.web.%s' -H 'Content-Type: application/json' -d '{\"model\":\"tutor-small\",\"max_tokens\":12,\"messages\":[{\"role\":\"user\",\"content\":\"What is 7 times 8?\"}]}'\n\n", system.APIURLs()[0], cluster.DemoSecret)
	fmt.Fprintf(output, "go run ./cmd/mountstile status --endpoint http://%s --key %s\n", system.Nodes[0].Settings().Admin.Listen, cluster.AdminKey)
	<-ctx.Done()
}
