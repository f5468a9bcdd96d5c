// Package pathbench measures what the whole path adds to a call: callers talk to an engine directly
// and through the nodes, in one run, call by call in turn.
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

// Latency is in milliseconds.
type Latency struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
}

// Result is one way to the engine.
type Result struct {
	Call              Latency `json:"call_ms"`
	FirstTokenLatency Latency `json:"first_token_ms"`
	// CallsPerSecond and CoreMicros are of many callers at once; the processor time is the whole
	// process's, engine and callers included.
	CallsPerSecond float64 `json:"calls_per_second"`
	CoreMicros     float64 `json:"core_us_per_call"`
	// StreamBytes is the live memory of one answer under way, engine and caller included.
	StreamBytes float64 `json:"bytes_per_stream"`
}

// Report is the result.
type Report struct {
	Tokens int    `json:"tokens"`
	Direct Result `json:"direct"`
	Nodes  Result `json:"through_nodes"`
	// AddedFirstToken is the difference at p50 and p99; AddedCoreMicros that of processor time.
	AddedFirstToken Latency `json:"added_first_token_ms"`
	AddedCall       Latency `json:"added_call_ms"`
	AddedCoreMicros float64 `json:"added_core_us_per_call"`
	// AddedStreamBytes is the memory that the nodes hold for one answer under way.
	AddedStreamBytes float64 `json:"added_bytes_per_stream"`
}

// Options say how much to measure.
type Options struct {
	// Calls are made one after the other on each side; Tokens is the length of each answer.
	Calls  int
	Tokens int
	// Seconds is how long Callers call at once on each side.
	Seconds float64
	Callers int
}

const (
	startTimeout  = 30 * time.Second
	warmUpCalls   = 100
	highestMicros = int64(time.Hour / time.Microsecond)
	digits        = 3
	apiKey        = "bench.k." + cluster.DemoSecret
	// heldStreams run at once, slowed down, while memory is read.
	heldStreams  = 200
	heldSlowdown = 2000
	heldPoll     = 20 * time.Millisecond
)

// side is one way under measurement.
type side struct {
	address []string
	call    *hdrhistogram.Histogram
	first   *hdrhistogram.Histogram
	result  Result
}

func newSide(addresses ...string) *side {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, highestMicros, digits) }
	return &side{address: addresses, call: histogram(), first: histogram()}
}

// Run measures both sides.
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
	direct, nodes := newSide(pool.Engines[0].URL), newSide(system.APIURLs()...)
	client := runner.NewClient(apiKey)
	defer client.Close()
	// The first calls wait for the partitions' first leaders; they are not what is measured.
	warmUp := options
	warmUp.Calls = warmUpCalls
	if err := inTurn(ctx, client, warmUp, newSide(direct.address...), newSide(nodes.address...)); err != nil {
		return Report{}, err
	}
	if err := inTurn(ctx, client, options, direct, nodes); err != nil {
		return Report{}, err
	}
	for _, way := range []*side{direct, nodes} {
		if err := way.saturate(ctx, client, options); err != nil {
			return Report{}, err
		}
		if err := way.hold(ctx, client, options, system); err != nil {
			return Report{}, err
		}
	}
	return report(options, direct, nodes), nil
}

func (s *side) request(options Options, number int64) (string, runner.Call) {
	text := fmt.Sprintf("question %d of many, a few words long", number)
	return s.address[number%int64(len(s.address))], runner.Call{Model: "m", Tokens: options.Tokens, Messages: []runner.Message{{Role: "user", Content: text}}}
}

// inTurn makes single calls, one side after the other, so that both see the same machine.
func inTurn(ctx context.Context, client *runner.Client, options Options, sides ...*side) error {
	for number := range options.Calls {
		for _, way := range sides {
			address, request := way.request(options, int64(number))
			reply, err := client.Chat(ctx, address, request)
			if err != nil {
				return err
			}
			// An hour is the most that the histogram holds.
			_ = way.call.RecordValue(min(reply.Latency.Microseconds(), highestMicros))
			_ = way.first.RecordValue(min(reply.FirstTokenLatency.Microseconds(), highestMicros))
		}
	}
	for _, way := range sides {
		way.result.Call, way.result.FirstTokenLatency = latency(way.call), latency(way.first)
	}
	return nil
}

func latency(histogram *hdrhistogram.Histogram) Latency {
	return Latency{P50: float64(histogram.ValueAtQuantile(50)) / 1000, P99: float64(histogram.ValueAtQuantile(99)) / 1000}
}

func (l Latency) minus(other Latency) Latency {
	return Latency{P50: l.P50 - other.P50, P99: l.P99 - other.P99}
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// saturate lets many callers call for a while.
func (s *side) saturate(ctx context.Context, client *runner.Client, options Options) error {
	started, cpu := time.Now(), processorTime()
	deadline := started.Add(time.Duration(options.Seconds * float64(time.Second)))
	var done, next atomic.Int64
	failures := make([]error, options.Callers)
	var tasks sync.WaitGroup
	for index := range options.Callers {
		tasks.Go(func() {
			for time.Now().Before(deadline) {
				address, request := s.request(options, next.Add(1))
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
	s.result.CallsPerSecond = float64(done.Load()) / time.Since(started).Seconds()
	s.result.CoreMicros = float64((processorTime() - cpu).Microseconds()) / float64(done.Load())
	return nil
}

// liveBytes is the memory in use after a collection.
func liveBytes() float64 {
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return float64(memory.HeapAlloc + memory.StackInuse)
}

// hold opens many streams, looks at the memory while all are under way, and ends them.
func (s *side) hold(ctx context.Context, client *runner.Client, options Options, system *cluster.Cluster) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	engine := system.Engines["m1"]
	idle := liveBytes()
	engine.SetFaults(emulator.Faults{Slowdown: heldSlowdown})
	var streams sync.WaitGroup
	defer streams.Wait()
	defer engine.SetFaults(emulator.Faults{})
	for number := range heldStreams {
		address, request := s.request(options, int64(number))
		streams.Go(func() { _, _ = client.Chat(ctx, address, request) })
	}
	ticker := time.NewTicker(heldPoll)
	defer ticker.Stop()
	for engine.Stats().Running < heldStreams {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	s.result.StreamBytes = (liveBytes() - idle) / heldStreams
	return nil
}

func report(options Options, direct, nodes *side) Report {
	return Report{
		Tokens:          options.Tokens,
		Direct:          direct.result,
		Nodes:           nodes.result,
		AddedFirstToken: nodes.result.FirstTokenLatency.minus(direct.result.FirstTokenLatency),
		AddedCall:       nodes.result.Call.minus(direct.result.Call),
		AddedCoreMicros: nodes.result.CoreMicros - direct.result.CoreMicros,

		AddedStreamBytes: nodes.result.StreamBytes - direct.result.StreamBytes,
	}
}
