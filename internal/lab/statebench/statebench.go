// Package statebench measures what replicated program state costs: commits, bytes on the wire as a
// history grows, memory of programs, time until a killed leader is replaced, and recovery.
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

// Commits is the replication of small commands over a group of the given size.
type Commits struct {
	Replicas int `json:"replicas"`
	// OneWayMillis is the emulated distance between zones.
	OneWayMillis float64 `json:"one_way_ms"`
	PerSecond    float64 `json:"per_second"`
	// CoreMicros is processor time of all replicas together for one commit.
	CoreMicros float64 `json:"core_us_per_commit"`
	// LatencyP50 and P99 are of commits one after the other.
	LatencyP50 float64 `json:"latency_ms_p50"`
	LatencyP99 float64 `json:"latency_ms_p99"`
}

// TurnBytes is the traffic between nodes of one call at a length of history.
type TurnBytes struct {
	HistoryTokens int     `json:"history_tokens"`
	BytesPerCall  float64 `json:"bytes_per_call"`
}

// Report is the result; docs/design/program-state.md reads it.
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

// Options say how long to measure.
type Options struct {
	Seconds   float64
	Failovers int
	Programs  int
	Progress  func(format string, args ...any)
}

const (
	group         = 1
	parallel      = 64
	serialCommits = 300
	callTokens    = 16
	startTimeout  = 30 * time.Second
	callTimeout   = 30 * time.Second
)

// Run measures everything in turn.
func Run(ctx context.Context, options Options) (Report, error) {
	var report Report
	for _, replicas := range []int{1, 3, 5} {
		for _, distance := range []time.Duration{0, 500 * time.Microsecond, 1500 * time.Microsecond} {
			if replicas == 1 && distance > 0 {
				continue
			}
			commits, err := measureCommits(ctx, replicas, distance, options)
			if err != nil {
				return report, err
			}
			options.Progress("%d replicas, %s apart: %.0f commits/s, %.0f us of a core, p50 %.2f ms, p99 %.2f ms", replicas, distance, commits.PerSecond, commits.CoreMicros, commits.LatencyP50, commits.LatencyP99)
			report.Commits = append(report.Commits, commits)
		}
	}
	steps := []func(context.Context, Options, *Report) error{measureTurns, measureFailover}
	for _, step := range steps {
		if err := step(ctx, options, &report); err != nil {
			return report, err
		}
	}
	measureMemory(&report)
	options.Progress("a program of one turn: %.0f bytes; of 160,000 tokens: %.0f bytes", report.ProgramBytes, report.ProgramBytesLong)
	return report, measureRecovery(options, &report)
}

// member is one replica on a transport of its own.
type member struct {
	network *transport.Transport
	host    *replica.Host
}

// startGroup runs a group of replicas over loopback; each connection delays what it receives.
func startGroup(ctx context.Context, replicas int, distance time.Duration, tasks *sync.WaitGroup) ([]member, error) {
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
	var members []member
	for number, id := range voters.Voters {
		network := transport.New(transport.Options{Cluster: "bench", NodeID: id, Address: addresses[id], Logger: events.Discard(), Dial: delayedDial(distance)})
		host := replica.NewHost(replica.Options{
			ReplicaID: id, Transport: network, Storage: replica.MemoryStorage{}, Logger: events.Discard(),
			Address:    func(replicaID string) (string, bool) { return addresses[replicaID], true },
			NewMachine: func(uint32) replica.StateMachine { return program.NewMachine() },
		})
		if err := host.Start(group, &voters); err != nil {
			return nil, err
		}
		tasks.Go(func() { _ = network.Serve(listeners[number]) })
		tasks.Go(func() { _ = host.Run(ctx) })
		members = append(members, member{network, host})
	}
	return members, nil
}

// delayedDial emulates the distance between zones on both directions of a connection.
func delayedDial(distance time.Duration) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		if err != nil || distance == 0 {
			return raw, err
		}
		return newDelayed(raw, distance), nil
	}
}

func (m member) leads() bool {
	status, known := m.host.Status(group)
	return known && status.IsLeader
}

func waitLeader(ctx context.Context, members []member) (member, error) {
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for {
		for _, candidate := range members {
			if candidate.leads() {
				return candidate, nil
			}
		}
		select {
		case <-ctx.Done():
			return member{}, ctx.Err()
		case <-ticker.C:
		}
	}
}

func admission(number int64) ([]byte, error) {
	return json.Marshal(program.Command{At: 1, Admit: &program.Admit{
		CallID: fmt.Sprint(number), Program: program.Key{Tenant: "t", Path: fmt.Sprintf("p%d", number%1000)},
		Service: "s", Gateway: "g", BodyHash: strings.Repeat("0", 64), Reserve: 1,
		Limits: program.Limits{TokenBudget: 1 << 50, CallBudget: 1 << 50},
	}})
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func measureCommits(ctx context.Context, replicas int, distance time.Duration, options Options) (Commits, error) {
	running, stop := context.WithCancel(ctx)
	var tasks sync.WaitGroup
	members, err := startGroup(running, replicas, distance, &tasks)
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
	leader, err := waitLeader(ctx, members)
	if err != nil {
		return Commits{}, err
	}
	result := Commits{Replicas: replicas, OneWayMillis: distance.Seconds() * 1000}
	var next atomic.Int64
	propose := func() error {
		command, err := admission(next.Add(1))
		if err != nil {
			return err
		}
		_, err = leader.host.Propose(running, group, command)
		return err
	}
	var latencies []float64
	for range serialCommits {
		started := time.Now()
		if err := propose(); err != nil {
			return result, err
		}
		latencies = append(latencies, time.Since(started).Seconds()*1000)
	}
	sort.Float64s(latencies)
	result.LatencyP50, result.LatencyP99 = latencies[len(latencies)/2], latencies[len(latencies)*99/100]
	return result, saturate(&result, options, propose)
}

// saturate proposes from many goroutines for a while.
func saturate(result *Commits, options Options, propose func() error) error {
	started, cpu := time.Now(), processorTime()
	deadline := started.Add(time.Duration(options.Seconds * float64(time.Second)))
	var done atomic.Int64
	failures := make([]error, parallel)
	var tasks sync.WaitGroup
	for index := range parallel {
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
	result.CoreMicros = float64((processorTime() - cpu).Microseconds()) / float64(done.Load())
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

// measureTurns grows a program's history and counts what travels between nodes for one more call.
func measureTurns(ctx context.Context, options Options, report *Report) error {
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
				// The first call brings the history in; the others show what a turn costs.
				total += sentBytes(system) - before
			}
			call.Messages = append(call.Messages, runner.Message{Role: "assistant", Content: reply.Content}, runner.Message{Role: "user", Content: "go on"})
		}
		turn := TurnBytes{HistoryTokens: tokens, BytesPerCall: float64(total) / (calls - 1)}
		options.Progress("%d tokens of history: %.0f bytes between nodes a call", tokens, turn.BytesPerCall)
		report.Turns = append(report.Turns, turn)
	}
	return nil
}

// sentBytes sums what carries program state and decisions; heartbeats and probes are left out.
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

// measureFailover kills the leader of a program's partition and times its next served call.
func measureFailover(ctx context.Context, options Options, report *Report) error {
	var times []float64
	for number := range options.Failovers {
		took, err := failOver(ctx, number)
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
	options.Progress("leader killed to next served call: p50 %.0f ms, max %.0f ms of %d", report.FailoverP50, report.FailoverMax, len(times))
	return nil
}

func failOver(ctx context.Context, number int) (time.Duration, error) {
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
	id, err := locate(system, call.Program)
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
		return 0, errors.WithStack(&cluster.ErrNotReady{Nodes: []string{"no leader"}})
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

func locate(system *cluster.Cluster, path string) (uint32, error) {
	id, _, err := system.Nodes[0].Plane().Partitions.Locate("", "bench", path)
	return id, err
}

// fill runs one whole call in each of count programs.
func fill(machine *program.Machine, count int, message program.Message) {
	for number := range count {
		key := program.Key{Tenant: "t", Path: fmt.Sprintf("program-%d", number)}
		callID := fmt.Sprintf("call-%d", number)
		machine.Execute(program.Command{At: 1, Admit: &program.Admit{CallID: callID, Program: key, Service: "s", Gateway: "g", BodyHash: strings.Repeat("0", 64), Reserve: 1, Messages: []program.Message{message}, Limits: program.Limits{TokenBudget: 1 << 50, CallBudget: 100}}})
		machine.Execute(program.Command{At: 1, Dispatch: &program.Dispatch{CallID: callID, Program: key, Attempt: 1, Engine: "e", Gateway: "g", CacheService: "s"}})
		machine.Execute(program.Command{At: 1, Complete: &program.Complete{CallID: callID, Program: key, Attempt: 1, Answer: program.Answer{Message: program.Message(`{"role":"assistant","content":"answer"}`)}}})
	}
}

func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// userMessage is a message of random words from a vocabulary of 4096, so that it compresses about
// as text does and not as a repeated letter would.
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
	before := heap()
	machine := program.NewMachine()
	fill(machine, short, userMessage(200, 0))
	report.ProgramBytes = float64(heap()-before) / short
	runtime.KeepAlive(machine)
	before = heap()
	machine = program.NewMachine()
	for number := range long {
		fillOne(machine, number)
	}
	report.ProgramBytesLong = float64(heap()-before) / long
	runtime.KeepAlive(machine)
}

// fillOne makes one program of 160,000 tokens in 100 turns.
func fillOne(machine *program.Machine, number int) {
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
	fill(machine, options.Programs, userMessage(200, 0))
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
