// Package pathbench measures the overhead of the nodes: it compares calls through them with calls
// directly to an engine.
package pathbench

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/mountstile/mountstile/internal/emulator"
	"github.com/mountstile/mountstile/internal/lab/cluster"
	"github.com/mountstile/mountstile/internal/lab/runner"
	"github.com/mountstile/mountstile/internal/resource"
)

// Latency holds percentiles in milliseconds.
type Latency struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
}

// Result is the measurement of one path to the engine.
type Result struct {
	Call              Latency `json:"call_ms"`
	FirstTokenLatency Latency `json:"first_token_ms"`
	// CallsPerSecond and CPUMicros, the CPU time for one call, are measured with concurrent callers. The CPU
	// time is that of the whole process, including engine and callers.
	CallsPerSecond float64 `json:"calls_per_second"`
	CPUMicros      float64 `json:"core_us_per_call"`
	// StreamBytes is the memory in use for each open stream, including engine and caller.
	StreamBytes float64 `json:"bytes_per_stream"`
}

// Report compares the path through the nodes with the direct one.
type Report struct {
	Tokens int    `json:"tokens"`
	Direct Result `json:"direct"`
	Nodes  Result `json:"through_nodes"`
	// AddedFirstToken and AddedCall are differences between the percentiles of both paths.
	AddedFirstToken Latency `json:"added_first_token_ms"`
	AddedCall       Latency `json:"added_call_ms"`
	AddedCPUMicros  float64 `json:"added_core_us_per_call"`
	// AddedStreamBytes is the memory that the nodes hold for each open stream.
	AddedStreamBytes float64 `json:"added_bytes_per_stream"`
}

// Options configures the measurements.
type Options struct {
	// Calls is the number of sequential calls over each path.
	Calls int
	// Tokens is the length of each answer.
	Tokens int
	// Seconds is the duration of the throughput measurement of each path.
	Seconds float64
	// Callers is the number of concurrent callers in the throughput measurement.
	Callers int
}

const (
	startTimeout      = 30 * time.Second
	warmUpCalls       = 100
	maxLatencyMicros  = int64(time.Hour / time.Microsecond)
	significantDigits = 3
	apiKey            = "bench.k." + cluster.DemoSecret
	// openStreams is the number of streams that are open while memory is measured. The engine's steps take
	// streamSlowdown times as long then, so that no stream ends before the measurement.
	openStreams    = 200
	streamSlowdown = 2000
	pollInterval   = 20 * time.Millisecond
)

// measuredPath is a path to the engine, with its histograms in microseconds.
type measuredPath struct {
	urls       []string
	call       *hdrhistogram.Histogram
	firstToken *hdrhistogram.Histogram
	result     Result
}

func newMeasuredPath(addresses ...string) *measuredPath {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatencyMicros, significantDigits) }
	return &measuredPath{urls: addresses, call: histogram(), firstToken: histogram()}
}

// Run measures both paths.
func Run(ctx context.Context, options Options) (Report, error) {
	startContext, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	engine := emulator.DefaultConfig()
	engine.StepBase, engine.StepPerSequence, engine.PrefillPerToken, engine.MaxBatch = time.Millisecond, 0, 0, 256
	system, err := cluster.Start(startContext, cluster.Options{
		Nodes: 3, Zones: []string{"a", "b", "c"}, Region: "r", Partitions: 6, Engine: engine,
		Resources: []resource.Resource{
			{Kind: resource.KindTenant, Name: "bench", Tenant: &resource.Tenant{Keys: []resource.APIKey{resource.NewAPIKey("k", cluster.DemoSecret, resource.RoleCaller)}}},
			{Kind: resource.KindPool, Name: "pool", Pool: &resource.Pool{Engines: []resource.Engine{{Name: "m1", URL: "http://replaced", Slots: 4096}}}},
			{Kind: resource.KindService, Name: "service", Service: &resource.Service{Type: resource.ServiceModel, Pool: "pool", Models: []string{"m"}, Tenants: []string{"bench"}, MaxTokens: 512}},
		},
	})
	defer system.Stop()
	if err != nil {
		return Report{}, err
	}
	pool, _ := system.Nodes[0].Plane().Config.Current().Set.Pool("pool")
	direct, nodes := newMeasuredPath(pool.Engines[0].URL), newMeasuredPath(system.APIURLs()...)
	client := runner.NewClient(apiKey)
	defer client.Close()
	// The first calls wait for the election of the partitions' leaders.
	warmUp := options
	warmUp.Calls = warmUpCalls
	if err := measureLatency(ctx, client, warmUp, newMeasuredPath(direct.urls...), newMeasuredPath(nodes.urls...)); err != nil {
		return Report{}, err
	}
	if err := measureLatency(ctx, client, options, direct, nodes); err != nil {
		return Report{}, err
	}
	for _, path := range []*measuredPath{direct, nodes} {
		if err := path.measureThroughput(ctx, client, options); err != nil {
			return Report{}, err
		}
		if err := path.measureStreamMemory(ctx, client, options, system); err != nil {
			return Report{}, err
		}
	}
	return newReport(options, direct, nodes), nil
}

// request returns a call and the URL to send it to.
func (p *measuredPath) request(options Options, number int64) (string, runner.Call) {
	text := fmt.Sprintf("question %d of many, a few words long", number)
	return p.urls[number%int64(len(p.urls))], runner.Call{Model: "m", Tokens: options.Tokens, Messages: []runner.Message{{Role: "user", Content: text}}}
}

// measureLatency makes sequential calls that alternate between the paths, so that both are measured
// under the same load of the machine.
func measureLatency(ctx context.Context, client *runner.Client, options Options, paths ...*measuredPath) error {
	for number := range options.Calls {
		for _, path := range paths {
			address, request := path.request(options, int64(number))
			reply, err := client.Chat(ctx, address, request)
			if err != nil {
				return err
			}
			// Recording a value within the histogram's range can't fail.
			_ = path.call.RecordValue(min(reply.Latency.Microseconds(), maxLatencyMicros))
			_ = path.firstToken.RecordValue(min(reply.FirstTokenLatency.Microseconds(), maxLatencyMicros))
		}
	}
	for _, path := range paths {
		path.result.Call, path.result.FirstTokenLatency = latency(path.call), latency(path.firstToken)
	}
	return nil
}

func latency(histogram *hdrhistogram.Histogram) Latency {
	return Latency{P50: float64(histogram.ValueAtQuantile(50)) / 1000, P99: float64(histogram.ValueAtQuantile(99)) / 1000}
}

func (l Latency) minus(other Latency) Latency {
	return Latency{P50: l.P50 - other.P50, P99: l.P99 - other.P99}
}

// cpuTime returns the user and system time that this process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// measureThroughput runs concurrent callers for options.Seconds.
func (p *measuredPath) measureThroughput(ctx context.Context, client *runner.Client, options Options) error {
	started, cpu := time.Now(), cpuTime()
	deadline := started.Add(time.Duration(options.Seconds * float64(time.Second)))
	var done, next atomic.Int64
	failures := make([]error, options.Callers)
	var tasks sync.WaitGroup
	for index := range options.Callers {
		tasks.Go(func() {
			for time.Now().Before(deadline) {
				address, request := p.request(options, next.Add(1))
				if _, failures[index] = client.Chat(ctx, address, request); failures[index] != nil {
					return
				}
				done.Add(1)
			}
		})
	}
	tasks.Wait()
	for _, failure := range failures {
		if failure != nil {
			return failure
		}
	}
	p.result.CallsPerSecond = float64(done.Load()) / time.Since(started).Seconds()
	p.result.CPUMicros = float64((cpuTime() - cpu).Microseconds()) / float64(done.Load())
	return nil
}

// liveBytes returns the heap and stack memory in use after a garbage collection.
func liveBytes() float64 {
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return float64(memory.HeapAlloc + memory.StackInuse)
}

// measureStreamMemory measures the memory in use while openStreams answers are in progress.
func (p *measuredPath) measureStreamMemory(ctx context.Context, client *runner.Client, options Options, system *cluster.Cluster) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	engine := system.Engines["m1"]
	idle := liveBytes()
	engine.SetFaults(emulator.Faults{Slowdown: streamSlowdown})
	var streams sync.WaitGroup
	defer streams.Wait()
	defer engine.SetFaults(emulator.Faults{})
	for number := range openStreams {
		address, request := p.request(options, int64(number))
		streams.Go(func() { _, _ = client.Chat(ctx, address, request) })
	}
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for engine.Stats().Running < openStreams {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	p.result.StreamBytes = (liveBytes() - idle) / openStreams
	return nil
}

func newReport(options Options, direct, nodes *measuredPath) Report {
	return Report{
		Tokens:          options.Tokens,
		Direct:          direct.result,
		Nodes:           nodes.result,
		AddedFirstToken: nodes.result.FirstTokenLatency.minus(direct.result.FirstTokenLatency),
		AddedCall:       nodes.result.Call.minus(direct.result.Call),
		AddedCPUMicros:  nodes.result.CPUMicros - direct.result.CPUMicros,

		AddedStreamBytes: nodes.result.StreamBytes - direct.result.StreamBytes,
	}
}
