// Command mountstile-lab runs the development tools: emulated engines, stand-ins for platform
// services, the demo, experiments, and benchmarks.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"github.com/mountstile/mountstile/internal/emulator"
	"github.com/mountstile/mountstile/internal/lab/demo"
	"github.com/mountstile/mountstile/internal/standin/machineserver"
	"github.com/mountstile/mountstile/internal/standin/storeserver"
	"github.com/mountstile/mountstile/internal/standin/toolserver"
	"github.com/mountstile/mountstile/internal/standin/weightserver"
)

const (
	exitFailure = 1
	exitUsage   = 2
)

type command struct {
	name, short, long string
	data              any
}

func main() {
	parser := flags.NewNamedParser("mountstile-lab", flags.Default&^flags.PrintErrors)
	parser.LongDescription = "mountstile-lab runs emulated engines and stand-ins for the platform, the demo, and the measurements. It listens on loopback only."
	for _, item := range commands() {
		if _, err := parser.AddCommand(item.name, item.short, item.long, item.data); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitFailure)
		}
	}
	_, err := parser.Parse()
	var usage *flags.Error
	switch {
	case err == nil:
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Println(usage.Message)
	case errors.As(err, &usage):
		fmt.Fprintln(os.Stderr, usage.Message)
		os.Exit(exitUsage)
	default:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailure)
	}
}

func commands() []command {
	return []command{
		{"demo", "Run the main job", "Runs store, engines, tools and three nodes in this process, plays a short workload of both users, and prints what its callers saw.", &demoCommand{}},
		{"simulate", "Simulate program state under faults", "Plays seeds of a partition with lost, late, doubled and reordered messages, pauses, crashes and changes of the group, and checks every promise. A seed that breaks one prints how to play it again.", &simulateCommand{}},
		{"experiment", "Compare policies", "Plays the same programs for each policy of an experiment file on the whole path, and writes summary.json, report.md and plots.", &experimentCommand{}},
		{"events", "Print the log events", "Prints docs/EVENTS.md, the catalogue of log events.", &eventsCommand{}},
		{"state", "Measure program state", "Measures commits, bytes for each turn as a history grows, memory of programs, failover and recovery. See docs/design/program-state.md.", &stateCommand{}},
		{"torture", "Let everything fail at random", "Runs a cluster with callers in this process, lets nodes, engines and the store fail at random from a seed, and counts broken promises.", &tortureCommand{}},
		{"path", "Measure what the path adds", "Calls an engine directly and through three nodes, in turn, and measures latency, calls a second and processor time.", &pathCommand{}},
		{"models", "Measure the loading of models", "Sends calls of two models, whose shares swap half-way, to engines that are divided between them and to engines that load what is called for.", &modelsCommand{}},
		{"engine", "Run an emulated model engine", "Serves the chat-completions API without a model. See docs/EMULATOR.md.", &engineCommand{}},
		{"application", "Run an application engine", "Serves a plain HTTP back end that records each request.", &applicationCommand{}},
		{"configstore", "Run the configuration store's stand-in", "Serves the used part of the etcd v3 JSON gateway in memory; faults can be switched with PUT /faults.", &storeCommand{}},
		{"tools", "Run the tools' stand-in", "Answers tool calls after the delay that they ask for.", &toolsCommand{}},
		{"machines", "Run the machine list's stand-in", "Serves a lagging list of live and leaving machines.", &machinesCommand{}},
		{"weights", "Run the weight store's stand-in", "Serves model weights at a limited rate.", &weightsCommand{}},
	}
}

// signalContext returns a context that is cancelled by SIGINT or SIGTERM.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
}

type demoCommand struct {
	ExamplesDir string `long:"examples" default:"examples" description:"folder of the example configurations"`
	Programs    int    `long:"programs" default:"60" description:"programs of each user"`
	Seed        uint64 `long:"seed" default:"1" description:"seed of the workload"`
	KeepRunning bool   `long:"stay" description:"keep the system up afterwards"`
	NodeLogs    bool   `long:"logs" description:"print the nodes' logs to standard error"`
}

// Execute implements flags.Commander.
func (c *demoCommand) Execute([]string) error {
	ctx, cancel := signalContext()
	defer cancel()
	return demo.Run(ctx, demo.Options{ExamplesDir: c.ExamplesDir, Programs: c.Programs, Seed: c.Seed, Output: os.Stdout, KeepRunning: c.KeepRunning, NodeLogs: c.NodeLogs})
}

// listenOptions are the options of all commands that serve HTTP.
type listenOptions struct {
	Listen string `long:"listen" default:"127.0.0.1:0" description:"loopback address to listen on"`
}

// errNotLoopback reports a listen address that other machines could reach.
type errNotLoopback struct{ Address string }

// Error implements error.
func (e *errNotLoopback) Error() string { return e.Address + " is not a loopback address" }

// serve serves HTTP on a loopback address until SIGINT or SIGTERM. It also runs background, if set, with
// a context that these signals cancel.
func (s listenOptions) serve(name string, handler http.Handler, background func(context.Context)) error {
	ctx, cancel := signalContext()
	defer cancel()
	listener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return errors.Wrap(err, "listening")
	}
	if address, ok := listener.Addr().(*net.TCPAddr); !ok || !address.IP.IsLoopback() {
		return &errNotLoopback{Address: listener.Addr().String()}
	}
	fmt.Printf("%s on http://%s\n", name, listener.Addr())
	if background != nil {
		go background(ctx)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serving")
	}
	return nil
}

type engineCommand struct {
	listenOptions
	CacheBlocks int           `long:"cache-blocks" default:"8192" description:"size of the prefix cache, in blocks of 16 tokens"`
	MaxBatch    int           `long:"max-batch" default:"16" description:"sequences that run at once"`
	StepBase    time.Duration `long:"step" default:"3ms" description:"time of a step with one sequence"`
}

// Execute implements flags.Commander.
func (c *engineCommand) Execute([]string) error {
	config := emulator.DefaultConfig()
	config.CacheBlocks, config.MaxBatch, config.StepBase = c.CacheBlocks, c.MaxBatch, c.StepBase
	server := emulator.NewServer(config)
	return c.serve("engine", server, server.Run)
}

type applicationCommand struct{ listenOptions }

// Execute implements flags.Commander.
func (c *applicationCommand) Execute([]string) error {
	return c.serve("application", &emulator.Application{}, nil)
}

type storeCommand struct{ listenOptions }

// Execute implements flags.Commander.
func (c *storeCommand) Execute([]string) error {
	return c.serve("configuration store", storeserver.New(), nil)
}

type toolsCommand struct{ listenOptions }

// Execute implements flags.Commander.
func (c *toolsCommand) Execute([]string) error { return c.serve("tools", toolserver.New(), nil) }

type machinesCommand struct {
	listenOptions
	Lag time.Duration `long:"lag" default:"10s" description:"how far the list lags"`
}

// Execute implements flags.Commander.
func (c *machinesCommand) Execute([]string) error {
	return c.serve("machine list", machineserver.New(c.Lag), nil)
}

type weightsCommand struct {
	listenOptions
	Size int64 `long:"size" default:"1048576" description:"bytes of each model"`
	Rate int64 `long:"rate" default:"1048576" description:"bytes a second that all readers share"`
}

// Execute implements flags.Commander.
func (c *weightsCommand) Execute([]string) error {
	return c.serve("weight store", weightserver.New(c.Size, c.Rate), nil)
}
