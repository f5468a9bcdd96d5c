package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/clock"
	"github.com/mountstile/mountstile/internal/coordinator"
	"github.com/mountstile/mountstile/internal/emulator"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/lab/runner"
	"github.com/mountstile/mountstile/internal/owner"
	"github.com/mountstile/mountstile/internal/policy"
	"github.com/mountstile/mountstile/internal/program"
	"github.com/mountstile/mountstile/internal/resource"
	"github.com/mountstile/mountstile/internal/scheduler"
)

const (
	// nodeDelay is the latency that the nodes add to a call.
	nodeDelay = 1500 * time.Microsecond
	// reserveDelay is the latency of a reservation: a round trip to the engine's owner in another zone.
	reserveDelay = time.Millisecond
	// sweepInterval is how often owners sweep abandoned reservations.
	sweepInterval = 500 * time.Millisecond
	serviceName   = "service"
	poolName      = "pool"
	// unlimited is a limit that an experiment doesn't reach.
	unlimited = 1 << 40
)

// simulation is a runner.Environment in virtual time. It runs the real program state, scheduler,
// policies and owners' queues, with fixed network delays and the emulator's engine model.
type simulation struct {
	clock       *clock.Virtual
	file        File
	machine     *program.Machine
	nodes       []*simulatedNode
	engines     map[string]*simulatedEngine
	engineNames []string
	pool        *resource.Pool
	service     *resource.Service
	rules       *policy.Policy
	calls       int
	ended       bool
}

// simulatedNode is a node's scheduler, and the queues of the engines that the node owns.
type simulatedNode struct {
	scheduler *scheduler.Scheduler
	queues    *owner.Queues
}

// runVirtual runs one policy in virtual time.
func runVirtual(ctx context.Context, file File, entry PolicyEntry, load float64, repeat int) (Sample, error) {
	programs, demand := programsForLoad(file, load, repeat)
	s, err := newSimulation(file, entry, uint64(repeat))
	if err != nil {
		return Sample{}, err
	}
	sample := Sample{Policy: entry.Name, Load: load, Repeat: repeat, Demand: demand}
	started := s.clock.Now()
	s.clock.Run(func() {
		s.start()
		sample.Result = runner.RunIn(ctx, s, nil, programs)[file.Workload]
		sample.Seconds = s.clock.Now().Sub(started).Seconds()
		s.ended = true
	})
	for _, engine := range s.engines {
		sample.Cache = sample.Cache.Add(engine.cacheStats())
	}
	return sample, nil
}

func newSimulation(file File, entry PolicyEntry, repeat uint64) (*simulation, error) {
	// Encoding and decoding sets the defaults, as publishing does.
	content, err := resource.Encode(resources(file, entry))
	if err != nil {
		return nil, err
	}
	decoded, err := resource.Decode(file.Name, bytes.NewReader(content))
	if err != nil {
		return nil, err
	}
	set, err := resource.NewSet(decoded)
	if err != nil {
		return nil, err
	}
	s := &simulation{
		clock: clock.NewVirtual(time.Unix(0, 0)), file: file, machine: program.NewMachine(), engines: make(map[string]*simulatedEngine),
	}
	s.pool, _ = set.Pool(poolName)
	s.service, _ = set.Service(serviceName)
	source := resource.Policy{Filter: entry.Filter, Score: entry.Score, Rank: entry.Rank, Patience: entry.Patience}
	if s.rules, err = policy.Compile(source); err != nil {
		return nil, err
	}
	for _, engine := range s.pool.Engines {
		s.engines[engine.Name] = newSimulatedEngine(s.clock, file.Engine)
		s.engineNames = append(s.engineNames, engine.Name)
	}
	for number := range file.Nodes {
		s.nodes = append(s.nodes, s.newNode(number, repeat))
	}
	return s, nil
}

func (s *simulation) newNode(number int, repeat uint64) *simulatedNode {
	return &simulatedNode{
		scheduler: scheduler.New(scheduler.Options{
			Zone: fmt.Sprintf("zone-%d", number%s.file.Zones+1), Reserver: s, Clock: s.clock,
			Random: rand.New(rand.NewPCG(s.file.Seed+repeat, uint64(number))), Logger: events.Discard(),
		}),
		queues: owner.NewQueues(owner.QueuesOptions{Clock: s.clock, FindEngine: s.findEngine, GatewayLost: func(string) bool { return false }, Logger: events.Discard()}),
	}
}

func (s *simulation) findEngine(name string) (resource.Engine, bool) {
	for _, engine := range s.pool.Engines {
		if engine.Name == name {
			return engine, true
		}
	}
	return resource.Engine{}, false
}

// start starts the engines, the owners' sweeps, and the fault injection.
func (s *simulation) start() {
	for _, name := range s.engineNames {
		s.clock.Go(s.engines[name].run)
	}
	s.clock.Go(func() {
		for !s.ended {
			s.clock.Sleep(sweepInterval)
			for _, node := range s.nodes {
				node.queues.Sweep()
			}
		}
	})
	if s.file.Fault != nil {
		s.clock.Go(func() { s.injectFaults(*s.file.Fault) })
	}
}

// injectFaults injects the fault into one engine after the other until the simulation ends.
func (s *simulation) injectFaults(fault Fault) {
	for number := 0; !s.ended; number++ {
		s.clock.Sleep(seconds(fault.IntervalSeconds))
		target := s.engines[s.engineNames[number%len(s.engineNames)]]
		target.applyFault(fault)
		s.clock.Go(func() {
			s.clock.Sleep(seconds(fault.DurationSeconds))
			target.recover()
		})
	}
}

// nodeFor returns the node that owns an engine or leads the partition of a program.
func (s *simulation) nodeFor(name string) *simulatedNode {
	return s.nodes[xxhash.Sum64String(name)%uint64(len(s.nodes))]
}

// Reserve implements scheduler.Reserver.
func (s *simulation) Reserve(ctx context.Context, engine resource.Engine, request owner.ReserveRequest) (owner.ReserveResponse, error) {
	s.clock.Sleep(reserveDelay)
	return s.nodeFor(engine.Name).queues.Reserve(ctx, request)
}

// Now implements runner.Environment.
func (s *simulation) Now() time.Time { return s.clock.Now() }

// Pause implements runner.Environment.
func (s *simulation) Pause(_ context.Context, duration time.Duration) error {
	s.clock.Sleep(duration)
	return nil
}

// Parallel implements runner.Environment.
func (s *simulation) Parallel(tasks ...func()) { s.clock.Parallel(tasks...) }

// Tool implements runner.Environment.
func (s *simulation) Tool(_ context.Context, delay time.Duration) error {
	s.clock.Sleep(delay)
	return nil
}

// End implements runner.Environment. It also releases the program's caches.
func (s *simulation) End(_ context.Context, tenant, name string) error {
	s.clock.Sleep(nodeDelay)
	s.machine.Execute(program.Command{At: s.clock.Now().UnixMilli(), End: &program.End{Program: program.Key{Tenant: tenant, Path: name}, Reason: program.EndByCaller}})
	for _, held := range s.machine.HeldCaches() {
		s.engines[held.Engine].model.Release(coordinator.CacheID(held.Program))
		s.machine.Execute(program.Command{Release: &program.ReleaseCache{Program: held.Program, Engine: held.Engine}})
	}
	return nil
}

// Chat implements runner.Environment.
func (s *simulation) Chat(ctx context.Context, tenant string, call runner.Call) (runner.Reply, error) {
	started := s.clock.Now()
	s.clock.Sleep(nodeDelay)
	active, failure := s.admit(tenant, call)
	if failure != nil {
		return runner.Reply{}, toErrResponse(failure)
	}
	if failure := active.execute(ctx); failure != nil {
		return runner.Reply{}, toErrResponse(failure)
	}
	return runner.Reply{
		Content: active.answer, CallID: active.request.Admit.CallID, Engine: active.engine,
		FirstTokenLatency: active.firstToken.Sub(started), Latency: s.clock.Now().Sub(started),
	}, nil
}

func toErrResponse(failure *apierr.Error) *runner.ErrResponse {
	return &runner.ErrResponse{
		Status: failure.HTTPStatus(), Code: string(failure.Code), Outcome: string(failure.Outcome), Message: failure.Message,
		RetryAfter: time.Duration(failure.RetryAfter) * time.Millisecond,
	}
}

// newMessages returns the messages after the last answer. The program state has the earlier ones.
func newMessages(messages []runner.Message) ([]program.Message, error) {
	first := 0
	for index, message := range messages {
		if message.Role == "assistant" {
			first = index + 1
		}
	}
	var encodedMessages []program.Message
	for _, message := range messages[first:] {
		encoded, err := json.Marshal(message)
		if err != nil {
			return nil, err
		}
		encodedMessages = append(encodedMessages, encoded)
	}
	return encodedMessages, nil
}

// admit admits a call to the program state.
func (s *simulation) admit(tenant string, call runner.Call) (*simulatedCall, *apierr.Error) {
	var text strings.Builder
	for _, message := range call.Messages {
		text.WriteString(emulator.RenderMessage(message.Role, message.Content))
	}
	added, err := newMessages(call.Messages)
	if err != nil {
		return nil, apierr.New(apierr.InvalidRequest, apierr.NotRun, "%s", err)
	}
	s.calls++
	request := coordinator.BeginRequest{
		Admit: program.Admit{
			CallID: fmt.Sprintf("call-%d", s.calls), Program: program.Key{Tenant: tenant, Path: call.Program}, Service: serviceName, Model: call.Model,
			Sequence: uint64(call.Sequence), IdempotencyKey: call.IdempotencyKey, Repeatable: true, Messages: added,
			Limits: program.Limits{TokenBudget: unlimited, CallBudget: unlimited, IdleMillis: unlimited, MaxMillis: unlimited},
		},
		PromptTokens: int64(text.Len() / bytesPerToken), MaxTokens: int64(call.Tokens),
	}
	result := s.execute(program.Command{Admit: &request.Admit})
	if result.Error != nil {
		return nil, result.Error
	}
	return &simulatedCall{environment: s, request: request, call: result.Call, prompt: text.String(), answer: emulator.AnswerText(text.String(), call.Tokens), tokens: call.Tokens}, nil
}

func (s *simulation) execute(command program.Command) program.Result {
	command.At = s.clock.Now().UnixMilli()
	return s.machine.Execute(command)
}
