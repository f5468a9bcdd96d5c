// Package modelbench compares engines that are divided statically between two models with engines
// that load models on demand. Both serve the same calls, whose shares of the two models swap half-way.
package modelbench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"github.com/mountstile/mountstile/internal/emulator"
	"github.com/mountstile/mountstile/internal/lab/cluster"
	"github.com/mountstile/mountstile/internal/lab/runner"
	"github.com/mountstile/mountstile/internal/resource"
	"github.com/mountstile/mountstile/internal/standin/weightserver"
)

// Options configures a run.
type Options struct {
	// Engines is the number of engines, with Slots each.
	Engines int
	Slots   int
	// CallsPerSecond is the mean rate of calls, which arrive as a Poisson process.
	CallsPerSecond float64
	// FavouredShare is the fraction of calls for the favoured model, 0 to 1.
	FavouredShare float64
	// Tokens is the length of each answer.
	Tokens int
	// PhaseDuration is how long each model is the favoured one.
	PhaseDuration time.Duration
	// LoadSeconds is how long an engine takes to load a model's weights if no other engine loads.
	LoadSeconds float64
	// AtOnce is the maximum number of engines that load at the same time.
	AtOnce int
	// HoldSeconds is the minimum time for which an engine keeps a model.
	HoldSeconds float64
	Seed        uint64
	Progress    func(format string, args ...any)
}

// Result is what the callers of one setup observed. Latencies are in milliseconds.
type Result struct {
	Calls   int     `json:"calls"`
	Refused int     `json:"refused"`
	P50     float64 `json:"call_ms_p50"`
	P95     float64 `json:"call_ms_p95"`
	P99     float64 `json:"call_ms_p99"`
	// Loads is how many times an engine started to load a model.
	Loads int64 `json:"loads"`
}

// Report compares statically divided engines with engines that load models on demand.
type Report struct {
	Divided Result `json:"divided"`
	Loading Result `json:"loading"`
}

const (
	startTimeout      = 60 * time.Second
	weightBytes       = 1 << 20
	queueSeconds      = 10
	apiKey            = "bench.k." + cluster.DemoSecret
	firstModel        = "first"
	secondModel       = "second"
	maxLatencyMillis  = int64(time.Hour / time.Millisecond)
	significantDigits = 3
	listenAddress     = "127.0.0.1:0"
)

// Run measures both setups, one after the other.
func Run(ctx context.Context, options Options) (Report, error) {
	var report Report
	var err error
	if report.Divided, err = measure(ctx, options, false); err != nil {
		return report, err
	}
	report.Loading, err = measure(ctx, options, true)
	return report, err
}

func measure(ctx context.Context, options Options, loading bool) (Result, error) {
	weightServer, err := serveWeights(options)
	if err != nil {
		return Result{}, err
	}
	defer func() { _ = weightServer.Close() }()
	startContext, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	system, err := cluster.Start(startContext, cluster.Options{
		Nodes: 3, Zones: []string{"a", "b", "c"}, Region: "r", Partitions: 6, Engine: emulator.DefaultConfig(),
		Resources: options.resources("http://"+weightServer.Addr, loading),
	})
	defer system.Stop()
	if err != nil {
		return Result{}, err
	}
	if loading {
		if err := waitForModels(startContext, system); err != nil {
			return Result{}, err
		}
	}
	options.Progress("loading on demand %v: %d engines ready", loading, options.Engines)
	before := countLoads(system)
	result := sendCalls(ctx, options, system)
	result.Loads = countLoads(system) - before
	return result, ctx.Err()
}

func serveWeights(options Options) (*http.Server, error) {
	listener, err := net.Listen("tcp", listenAddress)
	if err != nil {
		return nil, errors.Wrap(err, "listening")
	}
	handler := weightserver.New(weightBytes, int64(weightBytes/options.LoadSeconds))
	server := &http.Server{Addr: listener.Addr().String(), Handler: handler, ReadHeaderTimeout: startTimeout}
	go func() { _ = server.Serve(listener) }()
	return server, nil
}

// resources returns one pool for both models if the engines load on demand, or else a pool of half
// the engines for each model.
func (o Options) resources(weightStore string, loading bool) []resource.Resource {
	engines := make([]resource.Engine, o.Engines)
	for number := range engines {
		engines[number] = resource.Engine{Name: fmt.Sprintf("m%d", number+1), URL: "http://replaced", Slots: o.Slots}
	}
	items := []resource.Resource{
		{Kind: resource.KindTenant, Name: "bench", Tenant: &resource.Tenant{Keys: []resource.APIKey{resource.NewAPIKey("k", cluster.DemoSecret, resource.RoleCaller)}}},
	}
	service := func(name, pool string, models ...string) resource.Resource {
		return resource.Resource{Kind: resource.KindService, Name: name, Service: &resource.Service{
			Type: resource.ServiceModel, Pool: pool, Models: models, Tenants: []string{"bench"}, MaxTokens: 512, QueueSeconds: queueSeconds,
		}}
	}
	if loading {
		pool := &resource.Pool{Engines: engines, Loading: &resource.Loading{WeightStore: weightStore, AtOnce: o.AtOnce, HoldSeconds: o.HoldSeconds}}
		return append(items, resource.Resource{Kind: resource.KindPool, Name: "both", Pool: pool}, service("both", "both", firstModel, secondModel))
	}
	half := o.Engines / 2
	return append(items,
		resource.Resource{Kind: resource.KindPool, Name: firstModel, Pool: &resource.Pool{Engines: engines[:half]}}, service(firstModel, firstModel, firstModel),
		resource.Resource{Kind: resource.KindPool, Name: secondModel, Pool: &resource.Pool{Engines: engines[half:]}}, service(secondModel, secondModel, secondModel),
	)
}

// waitForModels waits until each engine has loaded a model.
func waitForModels(ctx context.Context, system *cluster.Cluster) error {
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for {
		ready := 0
		for _, engine := range system.Engines {
			if engine.ModelState().Model != "" {
				ready++
			}
		}
		if ready == len(system.Engines) {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

func countLoads(system *cluster.Cluster) int64 {
	var loads int64
	for _, engine := range system.Engines {
		loads += engine.Stats().Loads
	}
	return loads
}

// sendCalls sends the calls of both phases open-loop: at their arrival times, whether or not earlier calls are done.
func sendCalls(ctx context.Context, options Options, system *cluster.Cluster) Result {
	random := rand.New(rand.NewPCG(options.Seed, 1))
	client := runner.NewClient(apiKey)
	defer client.Close()
	histogram := hdrhistogram.New(1, maxLatencyMillis, significantDigits)
	var result Result
	var mutex sync.Mutex
	var calls sync.WaitGroup
	addresses := system.APIURLs()
	started := time.Now()
	at := time.Duration(0)
	for number := 0; at < 2*options.PhaseDuration && ctx.Err() == nil; number++ {
		sleepUntil(ctx, started.Add(at))
		call := options.call(random, at, number)
		calls.Go(func() {
			reply, err := client.Chat(ctx, addresses[number%len(addresses)], call)
			mutex.Lock()
			defer mutex.Unlock()
			result.Calls++
			if err != nil {
				result.Refused++
				options.Progress("%s: %s", call.Model, err)
				return
			}
			_ = histogram.RecordValue(reply.Latency.Milliseconds())
		})
		at += time.Duration(random.ExpFloat64() / options.CallsPerSecond * float64(time.Second))
	}
	calls.Wait()
	result.P50 = float64(histogram.ValueAtQuantile(50))
	result.P95 = float64(histogram.ValueAtQuantile(95))
	result.P99 = float64(histogram.ValueAtQuantile(99))
	return result
}

// call returns the call that arrives at the given time after the start.
func (o Options) call(random *rand.Rand, at time.Duration, number int) runner.Call {
	favoured, other := firstModel, secondModel
	if at >= o.PhaseDuration {
		favoured, other = other, favoured
	}
	model := other
	if random.Float64() < o.FavouredShare {
		model = favoured
	}
	return runner.Call{Model: model, Tokens: o.Tokens, Messages: []runner.Message{{Role: "user", Content: fmt.Sprintf("question %d", number)}}}
}

func sleepUntil(ctx context.Context, due time.Time) {
	timer := time.NewTimer(time.Until(due))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
