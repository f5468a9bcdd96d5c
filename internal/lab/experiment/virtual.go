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
	// pathDelay is what the nodes add to a call; 'mountstile-lab path' measured 1.5 ms at the median.
	pathDelay = 1500 * time.Microsecond
	// askDelay is one question to an engine's owner and its answer, between zones.
	askDelay = time.Millisecond
	// sweepEvery is how often owners look for places that nobody holds any more.
	sweepEvery  = 500 * time.Millisecond
	serviceName = "service"
	poolName    = "pool"
	// plenty stands for limits that an experiment does not reach.
	plenty = 1 << 40
)

// simulation is a runner.Environment in virtual time. It runs the product's program state, scheduler,
// policies and owners' lines; the network is a fixed delay and engines are the emulator's model.
type simulation struct {
	clock   *clock.Virtual
	file    File
	machine *program.Machine
	nodes   []*simulatedNode
	engines map[string]*simulatedEngine
	order   []string
	pool    *resource.Pool
	service *resource.Service
	rules   *policy.Policy
	calls   int
	ended   bool
}

// simulatedNode is the part of a node that decides: a scheduler, and the lines of the engines that
// the node owns.
type simulatedNode struct {
	scheduler *scheduler.Scheduler
	lines     *owner.Queues
}

// runVirtual plays one policy in virtual time.
func runVirtual(ctx context.Context, file File, entry PolicyEntry, load float64, repeat int) (Sample, error) {
	programs, demand := programsFor(file, load, repeat)
	world, err := newSimulation(file, entry, uint64(repeat))
	if err != nil {
		return Sample{}, err
	}
	sample := Sample{Policy: entry.Name, Load: load, Repeat: repeat, Demand: demand}
	started := world.clock.Now()
	world.clock.Run(func() {
		world.start()
		sample.Result = runner.RunIn(ctx, world, nil, programs)[file.Workload]
		sample.Seconds = world.clock.Now().Sub(started).Seconds()
		world.ended = true
	})
	for _, engine := range world.engines {
		sample.Cache = sample.Cache.Add(engine.cache())
	}
	return sample, nil
}

func newSimulation(file File, entry PolicyEntry, repeat uint64) (*simulation, error) {
	// Encoding and decoding fills in the defaults, as publishing does.
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
	world := &simulation{
		clock: clock.NewVirtual(time.Unix(0, 0)), file: file, machine: program.NewMachine(), engines: make(map[string]*simulatedEngine),
	}
	world.pool, _ = set.Pool(poolName)
	world.service, _ = set.Service(serviceName)
	source := resource.Policy{Filter: entry.Filter, Score: entry.Score, Rank: entry.Rank, Patience: entry.Patience}
	if world.rules, err = policy.Compile(source); err != nil {
		return nil, err
	}
	for _, engine := range world.pool.Engines {
		world.engines[engine.Name] = newSimulatedEngine(world.clock, file.Engine)
		world.order = append(world.order, engine.Name)
	}
	for number := range file.Nodes {
		world.nodes = append(world.nodes, world.newNode(number, repeat))
	}
	return world, nil
}

func (s *simulation) newNode(number int, repeat uint64) *simulatedNode {
	return &simulatedNode{
		scheduler: scheduler.New(scheduler.Options{
			Zone: fmt.Sprintf("zone-%d", number%s.file.Zones+1), Reserver: s, Clock: s.clock,
			Random: rand.New(rand.NewPCG(s.file.Seed+repeat, uint64(number))), Logger: events.Discard(),
		}),
		lines: owner.NewQueues(owner.QueuesOptions{Clock: s.clock, FindEngine: s.findEngine, GatewayLost: func(string) bool { return false }, Logger: events.Discard()}),
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

// start runs the engines, the owners' sweeps, and the failures that the file asks for.
func (s *simulation) start() {
	for _, name := range s.order {
		s.clock.Go(s.engines[name].run)
	}
	s.clock.Go(func() {
		for !s.ended {
			s.clock.Sleep(sweepEvery)
			for _, node := range s.nodes {
				node.lines.Sweep()
			}
		}
	})
	if s.file.Fault != nil {
		s.clock.Go(func() { s.disturb(*s.file.Fault) })
	}
}

// disturb strikes one engine after the other, each for a while.
func (s *simulation) disturb(disturbance Fault) {
	for number := 0; !s.ended; number++ {
		s.clock.Sleep(seconds(disturbance.IntervalSeconds))
		victim := s.engines[s.order[number%len(s.order)]]
		victim.strike(disturbance)
		s.clock.Go(func() {
			s.clock.Sleep(seconds(disturbance.DurationSeconds))
			victim.recover()
		})
	}
}

// nodeFor is the node that owns an engine, or leads a program.
func (s *simulation) nodeFor(name string) *simulatedNode {
	return s.nodes[xxhash.Sum64String(name)%uint64(len(s.nodes))]
}

// Reserve implements scheduler.Reserver.
func (s *simulation) Reserve(ctx context.Context, engine resource.Engine, request owner.ReserveRequest) (owner.ReserveResponse, error) {
	s.clock.Sleep(askDelay)
	return s.nodeFor(engine.Name).lines.Reserve(ctx, request)
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
func (s *simulation) Tool(_ context.Context, takes time.Duration) error {
	s.clock.Sleep(takes)
	return nil
}

// End implements runner.Environment: engines release what the ended program held.
func (s *simulation) End(_ context.Context, tenant, name string) error {
	s.clock.Sleep(pathDelay)
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
	s.clock.Sleep(pathDelay)
	turn, failure := s.admit(tenant, call)
	if failure != nil {
		return runner.Reply{}, toFailure(failure)
	}
	if failure := turn.execute(ctx); failure != nil {
		return runner.Reply{}, toFailure(failure)
	}
	return runner.Reply{
		Content: turn.answer, CallID: turn.request.Admit.CallID, Engine: turn.engine,
		FirstTokenLatency: turn.firstToken.Sub(started), Latency: s.clock.Now().Sub(started),
	}, nil
}

func toFailure(failure *apierr.Error) *runner.ErrResponse {
	return &runner.ErrResponse{
		Status: failure.HTTPStatus(), Code: string(failure.Code), Outcome: string(failure.Outcome), Message: failure.Message,
		RetryAfter: time.Duration(failure.RetryAfter) * time.Millisecond,
	}
}

// newMessages are those after the last answer; the program state has the others.
func newMessages(messages []runner.Message) ([]program.Message, error) {
	first := 0
	for index, message := range messages {
		if message.Role == "assistant" {
			first = index + 1
		}
	}
	var added []program.Message
	for _, message := range messages[first:] {
		encoded, err := json.Marshal(message)
		if err != nil {
			return nil, err
		}
		added = append(added, encoded)
	}
	return added, nil
}

// admit books a call at the program state.
func (s *simulation) admit(tenant string, call runner.Call) (*simulatedTurn, *apierr.Error) {
	var text strings.Builder
	for _, message := range call.Messages {
		text.WriteString(emulator.Flatten(message.Role, message.Content))
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
			Limits: program.Limits{TokenBudget: plenty, CallBudget: plenty, IdleMillis: plenty, MaxMillis: plenty},
		},
		PromptTokens: int64(text.Len() / charactersPerToken), MaxTokens: int64(call.Tokens),
	}
	result := s.execute(program.Command{Admit: &request.Admit})
	if result.Error != nil {
		return nil, result.Error
	}
	return &simulatedTurn{world: s, request: request, call: result.Call, prompt: text.String(), answer: emulator.AnswerText(text.String(), call.Tokens), tokens: call.Tokens}, nil
}

func (s *simulation) execute(command program.Command) program.Result {
	command.At = s.clock.Now().UnixMilli()
	return s.machine.Execute(command)
}
