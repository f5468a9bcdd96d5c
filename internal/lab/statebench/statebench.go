// Package statebench measures the cost of replicated program state: commits, traffic between nodes
// by length of history, memory of programs, failover time, and recovery from a snapshot.
package statebench

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"runtime"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mountstile/mountstile/internal/consensus"
	"github.com/mountstile/mountstile/internal/emulator"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/lab/cluster"
	"github.com/mountstile/mountstile/internal/lab/runner"
	"github.com/mountstile/mountstile/internal/program"
	"github.com/mountstile/mountstile/internal/replica"
	"github.com/mountstile/mountstile/internal/resource"
	"github.com/mountstile/mountstile/internal/transport"
)

// Commits is the cost of committing small commands in a replication group.
type Commits struct {
	Replicas int `json:"replicas"`
	// OneWayMillis is the emulated one-way network delay.
	OneWayMillis float64 `json:"one_way_ms"`
	PerSecond    float64 `json:"per_second"`
	// CPUMicros is the CPU time for one commit, of all replicas together.
	CPUMicros float64 `json:"core_us_per_commit"`
	// LatencyP50 and LatencyP99 are measured with sequential commits, in milliseconds.
	LatencyP50 float64 `json:"latency_ms_p50"`
	LatencyP99 float64 `json:"latency_ms_p99"`
}

// TurnBytes is the traffic between nodes for a call with a history of the given length.
type TurnBytes struct {
	HistoryTokens int     `json:"history_tokens"`
	BytesPerCall  float64 `json:"bytes_per_call"`
}

// Report is the result of all measurements.
type Report struct {
	Commits           []Commits   `json:"commits"`
	Turns             []TurnBytes `json:"turns"`
	ProgramBytes      float64     `json:"program_bytes"`
	ProgramBytesLong  float64     `json:"program_bytes_160k_tokens"`
	FailoverP50       float64     `json:"failover_ms_p50"`
	FailoverMax       float64     `json:"failover_ms_max"`
	FailoverCount     int         `json:"failover_count"`
	RecoveryPrograms  int         `json:"recovery_programs"`
	SnapshotSeconds   float64     `json:"snapshot_s"`
	RestoreSeconds    float64     `json:"restore_s"`
	SnapshotMegabytes float64     `json:"snapshot_mb"`
}

// Options configures the measurements. Seconds is the duration of each throughput measurement,
// Failovers the number of killed leaders, and Programs the number of programs in the snapshot.
type Options struct {
	Seconds   float64
	Failovers int
	Programs  int
	Progress  func(format string, args ...any)
}

const (
	groupID           = 1
	proposers         = 64 // goroutines that propose at the same time in the throughput measurement
	sequentialCommits = 300
	callTokens        = 16
	startTimeout      = 30 * time.Second
	callTimeout       = 30 * time.Second
)

// Run runs all measurements.
func Run(ctx context.Context, options Options) (Report, error) {
	var report Report
	for _, replicas := range []int{1, 3, 5} {
		for _, delay := range []time.Duration{0, 500 * time.Microsecond, 1500 * time.Microsecond} {
			if replicas == 1 && delay > 0 {
				continue
			}
			commits, err := measureCommits(ctx, replicas, delay, options)
			if err != nil {
				return report, err
			}
			options.Progress("%d replicas, one-way delay %s: %.0f commits/s, %.0f us CPU per commit, p50 %.2f ms, p99 %.2f ms", replicas, delay, commits.PerSecond, commits.CPUMicros, commits.LatencyP50, commits.LatencyP99)
			report.Commits = append(report.Commits, commits)
		}
	}
	steps := []func(context.Context, Options, *Report) error{measureHistoryTraffic, measureFailover}
	for _, step := range steps {
		if err := step(ctx, options, &report); err != nil {
			return report, err
		}
	}
	measureMemory(&report)
	options.Progress("memory of a program of one turn: %.0f bytes; of 160,000 tokens: %.0f bytes", report.ProgramBytes, report.ProgramBytesLong)
	return report, measureRecovery(options, &report)
}

// groupMember is a replica with its own transport.
type groupMember struct {
	network *transport.Transport
	host    *replica.Host
}

// startGroup starts a group of replicas that are connected over loopback with the given delay.
func startGroup(ctx context.Context, replicas int, delay time.Duration, tasks *sync.WaitGroup) ([]groupMember, error) {
	addresses := make(map[string]string)
	var listeners []net.Listener
	voters := consensus.Members{}
	for number := range replicas {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Wrap(err, "listening")
		}
		id := fmt.Sprintf("r%d", number+1)
		addresses[id] = listener.Addr().String()
		listeners = append(listeners, listener)
		voters.Voters = append(voters.Voters, id)
	}
	var members []groupMember
	for number, id := range voters.Voters {
		network := transport.New(transport.Options{Cluster: "bench", NodeID: id, Address: addresses[id], Logger: events.Discard(), Dial: delayedDial(delay)})
		host := replica.NewHost(replica.Options{
			ReplicaID: id, Transport: network, Storage: replica.MemoryStorage{}, Logger: events.Discard(),
			Address:    func(replicaID string) (string, bool) { return addresses[replicaID], true },
			NewMachine: func(uint32) replica.StateMachine { return program.NewMachine() },
		})
		if err := host.Start(groupID, &voters); err != nil {
			return nil, err
		}
		tasks.Go(func() { _ = network.Serve(listeners[number]) })
		tasks.Go(func() { _ = host.Run(ctx) })
		members = append(members, groupMember{network, host})
	}
	return members, nil
}

// delayedDial returns a dial function whose connections have the delay in each direction.
func delayedDial(delay time.Duration) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		if err != nil || delay == 0 {
			return conn, err
		}
		return newDelayedConn(conn, delay), nil
	}
}

func (m groupMember) isLeader() bool {
	status, known := m.host.Status(groupID)
	return known && status.IsLeader
}

func waitForLeader(ctx context.Context, members []groupMember) (groupMember, error) {
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for {
		for _, candidate := range members {
			if candidate.isLeader() {
				return candidate, nil
			}
		}
		select {
		case <-ctx.Done():
			return groupMember{}, ctx.Err()
		case <-ticker.C:
		}
	}
}

func admitCommand(number int64) ([]byte, error) {
	return json.Marshal(program.Command{At: 1, Admit: &program.Admit{
		CallID: fmt.Sprint(number), Program: program.Key{Tenant: "t", Path: fmt.Sprintf("p%d", number%1000)},
		Service: "s", Gateway: "g", BodyHash: strings.Repeat("0", 64), Reserve: 1,
		Limits: program.Limits{TokenBudget: 1 << 50, CallBudget: 1 << 50},
	}})
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func measureCommits(ctx context.Context, replicas int, delay time.Duration, options Options) (Commits, error) {
	running, stop := context.WithCancel(ctx)
	var tasks sync.WaitGroup
	members, err := startGroup(running, replicas, delay, &tasks)
	defer func() {
		stop()
		for _, item := range members {
			item.network.Close()
		}
		tasks.Wait()
	}()
	if err != nil {
		return Commits{}, err
	}
	leader, err := waitForLeader(ctx, members)
	if err != nil {
		return Commits{}, err
	}
	result := Commits{Replicas: replicas, OneWayMillis: delay.Seconds() * 1000}
	var next atomic.Int64
	propose := func() error {
		command, err := admitCommand(next.Add(1))
		if err != nil {
			return err
		}
		_, err = leader.host.Propose(running, groupID, command)
		return err
	}
	var latencies []float64
	for range sequentialCommits {
		started := time.Now()
		if err := propose(); err != nil {
			return result, err
		}
		latencies = append(latencies, time.Since(started).Seconds()*1000)
	}
	sort.Float64s(latencies)
	result.LatencyP50, result.LatencyP99 = latencies[len(latencies)/2], latencies[len(latencies)*99/100]
	return result, measureThroughput(&result, options, propose)
}

// measureThroughput proposes commands from concurrent goroutines for options.Seconds.
func measureThroughput(result *Commits, options Options, propose func() error) error {
	started, cpu := time.Now(), cpuTime()
	deadline := started.Add(time.Duration(options.Seconds * float64(time.Second)))
	var done atomic.Int64
	failures := make([]error, proposers)
	var tasks sync.WaitGroup
	for index := range proposers {
		tasks.Go(func() {
			for time.Now().Before(deadline) {
				if failures[index] = propose(); failures[index] != nil {
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
	result.PerSecond = float64(done.Load()) / time.Since(started).Seconds()
	result.CPUMicros = float64((cpuTime() - cpu).Microseconds()) / float64(done.Load())
	return nil
}

func newCluster(ctx context.Context) (*cluster.Cluster, error) {
	pool := &resource.Pool{Engines: []resource.Engine{{Name: "m1", URL: "http://replaced", Slots: 64}}}
	engine := emulator.DefaultConfig()
	engine.CacheBlocks, engine.PrefillPerToken = 1<<16, 0
	return cluster.Start(ctx, cluster.Options{
		Nodes: 3, Zones: []string{"a", "b", "c"}, Region: "r", Partitions: 3, Engine: engine,
		Resources: []resource.Resource{
			{Kind: resource.KindTenant, Name: "bench", Tenant: &resource.Tenant{Keys: []resource.APIKey{resource.NewAPIKey("k", cluster.DemoSecret, resource.RoleCaller)}, ProgramTokenBudget: 1 << 40, ProgramCallBudget: 1 << 30}},
			{Kind: resource.KindPool, Name: "pool", Pool: pool},
			{Kind: resource.KindService, Name: "service", Service: &resource.Service{Type: resource.ServiceModel, Pool: "pool", Models: []string{"m"}, Tenants: []string{"bench"}, MaxTokens: 64}},
		},
	})
}

func apiKey() string { return "bench.k." + cluster.DemoSecret }

// measureHistoryTraffic measures the traffic between nodes for a call, for several lengths of history.
func measureHistoryTraffic(ctx context.Context, options Options, report *Report) error {
	startContext, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	system, err := newCluster(startContext)
	defer system.Stop()
	if err != nil {
		return err
	}
	client := runner.NewClient(apiKey())
	defer client.Close()
	for _, tokens := range []int{1000, 4000, 16000, 64000, 160000} {
		call := runner.Call{Program: fmt.Sprintf("history-%d", tokens), Model: "m", Tokens: callTokens}
		call.Messages = []runner.Message{{Role: "user", Content: strings.Repeat("word", tokens)}}
		const calls = 6
		var total int64
		for number := range calls {
			before := sentBytes(system)
			reply, err := client.Chat(ctx, system.APIURLs()[number%3], call)
			if err != nil {
				return err
			}
			if number > 0 {
				// The first call replicates the whole history.
				total += sentBytes(system) - before
			}
			call.Messages = append(call.Messages, runner.Message{Role: "assistant", Content: reply.Content}, runner.Message{Role: "user", Content: "go on"})
		}
		turn := TurnBytes{HistoryTokens: tokens, BytesPerCall: float64(total) / (calls - 1)}
		options.Progress("%d tokens of history: %.0f bytes between nodes per call", tokens, turn.BytesPerCall)
		report.Turns = append(report.Turns, turn)
	}
	return nil
}

// sentBytes returns the traffic between nodes without membership probes and heartbeats.
func sentBytes(system *cluster.Cluster) int64 {
	var total int64
	for _, running := range system.Nodes {
		for kind, traffic := range running.Plane().Transport.Traffic().ByKind() {
			if kind != "member" && kind != "beat" {
				total += traffic.SentBytes
			}
		}
	}
	return total
}

// measureFailover measures the time from the loss of a partition's leader to the next answered call.
func measureFailover(ctx context.Context, options Options, report *Report) error {
	var times []float64
	for number := range options.Failovers {
		took, err := failoverTime(ctx, number)
		if err != nil {
			return err
		}
		times = append(times, took.Seconds()*1000)
	}
	sort.Float64s(times)
	report.FailoverCount = len(times)
	if len(times) > 0 {
		report.FailoverP50, report.FailoverMax = times[len(times)/2], times[len(times)-1]
	}
	options.Progress("failover to the next answered call: p50 %.0f ms, max %.0f ms, %d failovers", report.FailoverP50, report.FailoverMax, len(times))
	return nil
}

// failoverTime starts a cluster, kills the leader of a program's partition, and returns how long
// the program's next call takes.
func failoverTime(ctx context.Context, number int) (time.Duration, error) {
	startContext, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	system, err := newCluster(startContext)
	defer system.Stop()
	if err != nil {
		return 0, err
	}
	client := runner.NewClient(apiKey())
	defer client.Close()
	call := runner.Call{Program: fmt.Sprintf("failover-%d", number), Model: "m", Tokens: callTokens, DeltaHistory: true, Messages: []runner.Message{{Role: "user", Content: "x"}}}
	if _, err := client.Chat(ctx, system.APIURLs()[0], call); err != nil {
		return 0, err
	}
	id, err := locatePartition(system, call.Program)
	if err != nil {
		return 0, err
	}
	victim := -1
	for index, running := range system.Nodes {
		if status, known := running.Plane().Host.Status(id); known && status.IsLeader {
			victim = index
		}
	}
	if victim < 0 {
		return 0, errors.WithStack(&cluster.ErrNotReady{Nodes: []string{"none leads the program's partition"}})
	}
	survivor := system.Nodes[(victim+1)%len(system.Nodes)]
	started := time.Now()
	if err := system.Kill(victim); err != nil {
		return 0, err
	}
	callContext, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	_, err = client.Chat(callContext, "http://"+survivor.Settings().API.Listen, call)
	return time.Since(started), err
}

func locatePartition(system *cluster.Cluster, path string) (uint32, error) {
	id, _, err := system.Nodes[0].Plane().Partitions.Locate("", "bench", path)
	return id, err
}

// addPrograms adds count programs, each with one completed call.
func addPrograms(machine *program.Machine, count int, message program.Message) {
	for number := range count {
		key := program.Key{Tenant: "t", Path: fmt.Sprintf("program-%d", number)}
		callID := fmt.Sprintf("call-%d", number)
		machine.Execute(program.Command{At: 1, Admit: &program.Admit{CallID: callID, Program: key, Service: "s", Gateway: "g", BodyHash: strings.Repeat("0", 64), Reserve: 1, Messages: []program.Message{message}, Limits: program.Limits{TokenBudget: 1 << 50, CallBudget: 100}}})
		machine.Execute(program.Command{At: 1, Dispatch: &program.Dispatch{CallID: callID, Program: key, Attempt: 1, Engine: "e", Gateway: "g", CacheService: "s"}})
		machine.Execute(program.Command{At: 1, Complete: &program.Complete{CallID: callID, Program: key, Attempt: 1, Answer: program.Answer{Message: program.Message(`{"role":"assistant","content":"answer"}`)}}})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// userMessage returns a message of random words, which compresses about as well as natural text.
func userMessage(bytes int, number int) program.Message {
	random := rand.New(rand.NewPCG(uint64(number), 7))
	var text strings.Builder
	for text.Len() < bytes {
		fmt.Fprintf(&text, "%s ", vocabulary[random.IntN(len(vocabulary))])
	}
	return program.Message(fmt.Sprintf(`{"role":"user","content":%q}`, text.String()[:bytes]))
}

var vocabulary = func() []string {
	random := rand.New(rand.NewPCG(1, 1))
	words := make([]string, 4096)
	for index := range words {
		letters := make([]byte, 2+random.IntN(8))
		for position := range letters {
			letters[position] = byte('a' + random.IntN(26))
		}
		words[index] = string(letters)
	}
	return words
}()

func measureMemory(report *Report) {
	const short, long = 20000, 300
	before := heapBytes()
	machine := program.NewMachine()
	addPrograms(machine, short, userMessage(200, 0))
	report.ProgramBytes = float64(heapBytes()-before) / short
	runtime.KeepAlive(machine)
	before = heapBytes()
	machine = program.NewMachine()
	for number := range long {
		addLongProgram(machine, number)
	}
	report.ProgramBytesLong = float64(heapBytes()-before) / long
	runtime.KeepAlive(machine)
}

// addLongProgram adds a program of 160,000 tokens in 100 turns.
func addLongProgram(machine *program.Machine, number int) {
	const turns, bytes = 100, 160000 * 4
	key := program.Key{Tenant: "t", Path: fmt.Sprintf("long-%d", number)}
	for turn := range turns {
		callID := fmt.Sprint(turn)
		machine.Execute(program.Command{At: 1, Admit: &program.Admit{CallID: callID, Program: key, Service: "s", Gateway: "g", Messages: []program.Message{userMessage(bytes/turns, number*turns+turn)}, Limits: program.Limits{TokenBudget: 1 << 50, CallBudget: 1000}}})
		machine.Execute(program.Command{At: 1, Dispatch: &program.Dispatch{CallID: callID, Program: key, Attempt: 1, Engine: "e", Gateway: "g"}})
		machine.Execute(program.Command{At: 1, Complete: &program.Complete{CallID: callID, Program: key, Attempt: 1, Answer: program.Answer{Message: program.Message(`{"role":"assistant","content":"a"}`)}}})
	}
}

func measureRecovery(options Options, report *Report) error {
	machine := program.NewMachine()
	addPrograms(machine, options.Programs, userMessage(200, 0))
	started := time.Now()
	snapshot, err := machine.Snapshot()
	if err != nil {
		return err
	}
	report.SnapshotSeconds = time.Since(started).Seconds()
	started = time.Now()
	if err := program.NewMachine().Restore(snapshot); err != nil {
		return err
	}
	report.RestoreSeconds = time.Since(started).Seconds()
	report.RecoveryPrograms, report.SnapshotMegabytes = options.Programs, float64(len(snapshot))/1e6
	options.Progress("%d programs: snapshot %.2f s, %.1f MB; restore %.2f s", options.Programs, report.SnapshotSeconds, report.SnapshotMegabytes, report.RestoreSeconds)
	return nil
}
