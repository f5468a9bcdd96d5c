// Package experiment compares placement policies: it runs the same generated programs under each
// policy, on a cluster over loopback or as a simulation in virtual time.
package experiment

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/mountstile/mountstile/internal/emulator"
	"github.com/mountstile/mountstile/internal/lab/cluster"
	"github.com/mountstile/mountstile/internal/lab/runner"
	"github.com/mountstile/mountstile/internal/resource"
	"github.com/mountstile/mountstile/internal/workload"
)

// Sample is the result of one policy in one repeat at one load.
type Sample struct {
	Policy string
	Load   float64
	Repeat int
	Result *runner.Result
	Cache  emulator.CacheStats
	// Seconds is the time from the start of the run to the end of the last program.
	Seconds float64
	// Demand is the sum of the function Demand over all programs, in seconds.
	Demand float64
}

const (
	startTimeout = 60 * time.Second
	runTimeout   = 4 * time.Minute
	apiKeyID     = "lab"
	engineSlots  = 16
)

// Run runs each load, repeat and policy in turn on a cluster, and writes a line of progress for each.
func Run(ctx context.Context, file File, progress io.Writer) ([]Sample, error) {
	return runAll(ctx, file, progress, runOnCluster)
}

// RunVirtual does the same as Run on a simulation in virtual time, without nodes and network.
func RunVirtual(ctx context.Context, file File, progress io.Writer) ([]Sample, error) {
	return runAll(ctx, file, progress, runVirtual)
}

type runSample func(ctx context.Context, file File, policy PolicyEntry, load float64, repeat int) (Sample, error)

func runAll(ctx context.Context, file File, progress io.Writer, run runSample) ([]Sample, error) {
	var samples []Sample
	total := len(file.Policies) * len(file.Loads) * file.Repeats
	for _, load := range file.Loads {
		for repeat := range file.Repeats {
			for _, policy := range file.Policies {
				sample, err := run(ctx, file, policy, load, repeat)
				if err != nil {
					return samples, errors.Wrapf(err, "%s at load %.2f", policy.Name, load)
				}
				samples = append(samples, sample)
				fmt.Fprintf(progress, "%s  %d of %d: %s, load %.2f, repeat %d: p95 %d ms, wasted %.3f, %d done, %d failed %v\n", time.Now().Format("15:04:05"), len(samples), total,
					policy.Name, load, repeat+1, sample.Result.ProgramLatency.ValueAtQuantile(95)/1000, sample.Cache.WastedFraction(), sample.Result.Completed, sample.Result.Failed, sample.Result.Errors)
				if ctx.Err() != nil {
					return samples, ctx.Err()
				}
			}
		}
	}
	return samples, nil
}

// programsForLoad generates as many programs as make up the load, which is the ratio of their demand
// to the capacity of the engines during the time in which programs start.
func programsForLoad(file File, load float64, repeat int) (programs []workload.Program, demand float64) {
	maxDemand := load * float64(file.Engines) * file.Seconds
	// A longer list starts with the same programs.
	for count := 64; ; count *= 2 {
		generated := generatePrograms(file, repeat, count)
		var reached bool
		if programs, demand, reached = limitDemand(generated, file.Engine, maxDemand); reached || count >= maxPrograms {
			return programs, demand
		}
	}
}

const maxPrograms = 1 << 17

func generatePrograms(file File, repeat, count int) []workload.Program {
	generate := workload.TutorPrograms
	if file.Workload == "mapishi" {
		generate = workload.RecipePrograms
	}
	return generate(workload.Options{
		Seed: file.Seed + uint64(repeat)*1000, Programs: count, Duration: seconds(file.Seconds), TimeScale: file.TimeScale, UniformStarts: true,
	})
}

// limitDemand returns as many of the first programs as have a total demand of at most maxDemand. reached reports
// whether a program was left out.
func limitDemand(generated []workload.Program, engine emulator.Config, maxDemand float64) (programs []workload.Program, demand float64, reached bool) {
	for _, program := range generated {
		need := Demand(program, engine)
		if demand+need > maxDemand {
			return programs, demand, true
		}
		demand += need
		programs = append(programs, program)
	}
	return programs, demand, false
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }

// stepSeconds returns the duration of a decoding step with a full batch and no prefill.
func stepSeconds(config emulator.Config) float64 {
	return (config.StepBase + time.Duration(config.MaxBatch-1)*config.StepPerSequence).Seconds()
}

// bytesPerToken matches the emulator's token length.
const bytesPerToken = 4

// Demand returns the time in seconds that a saturated engine spends on a program if every prefix is
// cached: each generated token takes its share of the step of a full batch, and each new token of a
// prompt is computed once.
func Demand(program workload.Program, config emulator.Config) float64 {
	perToken := stepSeconds(config) / float64(config.MaxBatch)
	demand := float64(len(program.System)/bytesPerToken) * config.PrefillPerToken.Seconds()
	for _, turn := range program.Turns {
		for _, step := range turn.Steps {
			demand += float64(step.OutputTokens) * (perToken + config.PrefillPerToken.Seconds())
			demand += float64(len(step.UserText)/bytesPerToken) * config.PrefillPerToken.Seconds()
			for _, child := range step.SubAgents {
				demand += Demand(child, config)
			}
		}
	}
	return demand
}

// resources returns a tenant, a pool, the policy and a service that uses them.
func resources(file File, policy PolicyEntry) []resource.Resource {
	slots := policy.Slots
	if slots == 0 {
		slots = engineSlots
	}
	pool := &resource.Pool{}
	for number := range file.Engines {
		pool.Engines = append(pool.Engines, resource.Engine{
			Name: fmt.Sprintf("engine-%d", number+1), URL: "http://replaced", Zone: fmt.Sprintf("zone-%d", number%file.Zones+1), Region: "region-1", Slots: slots,
		})
	}
	model := map[string]string{"brindleway": "tutor-small", "mapishi": "recipes-small"}[file.Workload]
	return []resource.Resource{
		{Kind: resource.KindTenant, Name: file.Workload, Tenant: &resource.Tenant{Keys: []resource.APIKey{resource.NewAPIKey(apiKeyID, cluster.DemoSecret, resource.RoleCaller)}}},
		{Kind: resource.KindPool, Name: poolName, Pool: pool},
		{Kind: resource.KindPolicy, Name: policy.Name, Policy: &resource.Policy{Filter: policy.Filter, Score: policy.Score, Rank: policy.Rank, Patience: policy.Patience}},
		{Kind: resource.KindService, Name: serviceName, Service: &resource.Service{
			Type: resource.ServiceModel, Pool: poolName, Policy: policy.Name, Models: []string{model}, Tenants: []string{file.Workload},
			MaxTokens: 512, QueueSeconds: 60, CallSeconds: 120,
		}},
	}
}

func runOnCluster(ctx context.Context, file File, policy PolicyEntry, load float64, repeat int) (Sample, error) {
	programs, demand := programsForLoad(file, load, repeat)
	var zones []string
	for number := range file.Zones {
		zones = append(zones, fmt.Sprintf("zone-%d", number+1))
	}
	startContext, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	system, err := cluster.Start(startContext, cluster.Options{
		Nodes: file.Nodes, Zones: zones, Region: "region-1", Resources: resources(file, policy),
		Engine: file.Engine, Partitions: 4 * file.Nodes, LogLevel: logrus.ErrorLevel,
	})
	defer system.Stop()
	if err != nil {
		return Sample{}, err
	}
	var done atomic.Int64
	runContext, stop := context.WithTimeout(ctx, runTimeout)
	defer stop()
	started := time.Now()
	results := runner.Run(runContext, runner.Options{
		Nodes: system.APIURLs(), ToolsURL: system.ToolsURL, Seed: file.Seed, Progress: &done,
		APIKeys: map[string]string{file.Workload: file.Workload + "." + apiKeyID + "." + cluster.DemoSecret},
	}, programs)
	return Sample{
		Policy: policy.Name, Load: load, Repeat: repeat, Result: results[file.Workload],
		Cache: system.CacheStats(""), Seconds: time.Since(started).Seconds(), Demand: demand,
	}, nil
}
