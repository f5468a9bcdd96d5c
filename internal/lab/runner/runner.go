package runner

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"github.com/mountstile/mountstile/internal/workload"
)

const (
	// Histograms are in microseconds.
	maxLatencyMicros  = int64(time.Hour / time.Microsecond)
	significantDigits = 3
	retryDelay        = 50 * time.Millisecond
	maxAttempts       = 40
)

// Result is what the clients of one tenant observed.
type Result struct {
	mutex sync.Mutex
	// ProgramLatency is the sum of the latencies of a program's turns, without the think time between
	// them. TurnLatency is recorded for each turn except those of sub-agents. FirstTokenLatency is recorded
	// for each call and includes its failed attempts.
	ProgramLatency    *hdrhistogram.Histogram
	TurnLatency       *hdrhistogram.Histogram
	FirstTokenLatency *hdrhistogram.Histogram

	Programs  int64
	Completed int64
	Failed    int64
	Calls     int64
	// Retries counts attempts that failed and were retried.
	Retries int64
	Tokens  int64
	Errors  map[string]int64
}

func newResult() *Result {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatencyMicros, significantDigits) }
	return &Result{ProgramLatency: histogram(), TurnLatency: histogram(), FirstTokenLatency: histogram(), Errors: make(map[string]int64)}
}

func (r *Result) record(histogram *hdrhistogram.Histogram, value time.Duration) {
	// Recording a value within the histogram's range can't fail.
	_ = histogram.RecordValue(min(max(1, value.Microseconds()), maxLatencyMicros))
}

func (r *Result) update(change func()) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	change()
}

// Environment is what programs run in: a cluster over its public API, or a simulation. It provides
// the clock and the concurrency, so that a simulation can run in virtual time.
type Environment interface {
	Now() time.Time
	Pause(ctx context.Context, duration time.Duration) error
	// Parallel runs tasks concurrently and returns when all are done.
	Parallel(tasks ...func())
	// Chat makes a call for a tenant. The error is an *ErrResponse or a transport error.
	Chat(ctx context.Context, tenant string, call Call) (Reply, error)
	// Tool calls a tool that answers after the delay.
	Tool(ctx context.Context, delay time.Duration) error
	// End ends a tenant's program.
	End(ctx context.Context, tenant, program string) error
}

// Options configures a run against a cluster.
type Options struct {
	// Nodes are the URLs of the nodes' public APIs. Each request goes to a random one.
	Nodes    []string
	ToolsURL string
	// APIKeys are the API keys by tenant.
	APIKeys map[string]string
	Seed    uint64
	// Progress, if set, counts the programs that are done.
	Progress *atomic.Int64
}

// Run runs each program from its start time against a cluster and returns the results by tenant.
func Run(ctx context.Context, options Options, programs []workload.Program) map[string]*Result {
	environment := newHTTPEnvironment(options)
	defer environment.close()
	return RunIn(ctx, environment, options.Progress, programs)
}

// RunIn runs each program from its start time and returns the results by tenant. Progress, if set,
// counts the programs that are done.
func RunIn(ctx context.Context, environment Environment, progress *atomic.Int64, programs []workload.Program) map[string]*Result {
	results := make(map[string]*Result)
	tasks := make([]func(), 0, len(programs))
	for _, program := range programs {
		if results[program.Tenant] == nil {
			results[program.Tenant] = newResult()
		}
		runner := &programRunner{environment: environment, result: results[program.Tenant]}
		tasks = append(tasks, func() {
			if environment.Pause(ctx, program.Start) == nil {
				runner.program(ctx, program)
			}
			if progress != nil {
				progress.Add(1)
			}
		})
	}
	environment.Parallel(tasks...)
	return results
}

// programRunner runs one program and its sub-agents.
type programRunner struct {
	environment Environment
	result      *Result
}

// program runs a top-level program and records its outcome.
func (p *programRunner) program(ctx context.Context, program workload.Program) {
	p.result.update(func() { p.result.Programs++ })
	latency, err := p.runTurns(ctx, program, true)
	if err == nil && !program.Abandoned {
		err = p.environment.End(ctx, program.Tenant, program.Name)
	}
	p.result.update(func() {
		if err != nil {
			p.result.Failed++
			p.result.Errors[errorLabel(err)]++
			return
		}
		p.result.Completed++
		p.result.record(p.result.ProgramLatency, latency)
	})
}

// errorLabel returns the key of an error in Result.Errors.
func errorLabel(err error) string {
	var failure *ErrResponse
	if errors.As(err, &failure) && failure.Code != "" {
		return failure.Code + "/" + failure.Outcome
	}
	return err.Error()
}

// runTurns runs a program's turns in sequence and returns their total latency without think time.
func (p *programRunner) runTurns(ctx context.Context, program workload.Program, topLevel bool) (time.Duration, error) {
	conversation := []Message{{Role: "system", Content: program.System}}
	sequence := 0
	var total time.Duration
	for _, turn := range program.Turns {
		started := p.environment.Now()
		for _, step := range turn.Steps {
			sequence++
			content := step.UserText
			if content == "" {
				content = fmt.Sprintf("tool result %d", sequence)
			}
			conversation = append(conversation, Message{Role: "user", Content: content})
			reply, err := p.call(ctx, program, sequence, conversation, step.OutputTokens)
			if err != nil {
				return total, err
			}
			conversation = append(conversation, Message{Role: "assistant", Content: reply.Content})
			if err := p.afterCall(ctx, step); err != nil {
				return total, err
			}
		}
		elapsed := p.environment.Now().Sub(started)
		total += elapsed
		if topLevel {
			p.result.update(func() { p.result.record(p.result.TurnLatency, elapsed) })
		}
		if err := p.environment.Pause(ctx, turn.ThinkTime); err != nil {
			return total, err
		}
	}
	return total, nil
}

// afterCall calls the step's tool, then runs its sub-agents concurrently.
func (p *programRunner) afterCall(ctx context.Context, step workload.Step) error {
	if step.ToolPause > 0 {
		if err := p.environment.Tool(ctx, step.ToolPause); err != nil {
			return err
		}
	}
	failures := make([]error, len(step.SubAgents))
	tasks := make([]func(), 0, len(step.SubAgents))
	for index, child := range step.SubAgents {
		tasks = append(tasks, func() { _, failures[index] = p.runTurns(ctx, child, false) })
	}
	p.environment.Parallel(tasks...)
	for _, failure := range failures {
		if failure != nil {
			return failure
		}
	}
	return nil
}

// call makes a call, and retries it with the same idempotency key.
func (p *programRunner) call(ctx context.Context, program workload.Program, sequence int, conversation []Message, tokens int) (Reply, error) {
	request := Call{
		Program:        program.Name,
		Sequence:       sequence,
		IdempotencyKey: fmt.Sprintf("%s-%d", program.Name, sequence),
		Model:          program.Model,
		Messages:       conversation,
		Tokens:         tokens,
	}
	started := p.environment.Now()
	for attempt := 1; ; attempt++ {
		reply, err := p.environment.Chat(ctx, program.Tenant, request)
		if err == nil {
			reply.FirstTokenLatency += p.environment.Now().Sub(started) - reply.Latency
			p.result.update(func() {
				p.result.Calls++
				p.result.Tokens += int64(tokens)
				p.result.record(p.result.FirstTokenLatency, reply.FirstTokenLatency)
			})
			return reply, nil
		}
		delay, retry := retryAfter(err)
		if !retry || attempt >= maxAttempts || ctx.Err() != nil {
			return reply, err
		}
		p.result.update(func() { p.result.Retries++ })
		if err := p.environment.Pause(ctx, delay); err != nil {
			return reply, err
		}
	}
}

// retryAfter reports whether a failed call should be retried, and after which delay.
func retryAfter(err error) (time.Duration, bool) {
	var failure *ErrResponse
	if !errors.As(err, &failure) {
		return retryDelay, true
	}
	switch {
	case failure.RetryAfter > 0:
		return failure.RetryAfter, true
	case failure.Outcome == "outcome_unknown":
		return retryDelay, true
	}
	return 0, false
}
