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
	// The histograms hold microseconds up to an hour with three significant digits.
	highestMicros     = int64(time.Hour / time.Microsecond)
	significantDigits = 3
	retryPause        = 50 * time.Millisecond
	maxTries          = 40
)

// Result is what the callers of one tenant saw.
type Result struct {
	mutex sync.Mutex
	// ProgramLatency is the sum of a program's turns, from first call to last answer, without the
	// time that people think. TurnLatency and FirstToken are of single turns and calls.
	ProgramLatency    *hdrhistogram.Histogram
	TurnLatency       *hdrhistogram.Histogram
	FirstTokenLatency *hdrhistogram.Histogram

	Programs  int64
	Completed int64
	Failed    int64
	Calls     int64
	// Retries counts calls that were refused as not run, and tried again.
	Retries int64
	Tokens  int64
	Errors  map[string]int64
}

func newResult() *Result {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, highestMicros, significantDigits) }
	return &Result{ProgramLatency: histogram(), TurnLatency: histogram(), FirstTokenLatency: histogram(), Errors: make(map[string]int64)}
}

func (r *Result) record(histogram *hdrhistogram.Histogram, value time.Duration) {
	// A value over an hour counts as an hour.
	_ = histogram.RecordValue(min(max(1, value.Microseconds()), highestMicros))
}

func (r *Result) note(change func()) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	change()
}

// Environment is where programs are played: a cluster over its public interface, or a simulation.
type Environment interface {
	Now() time.Time
	Pause(ctx context.Context, duration time.Duration) error
	// Parallel runs tasks beside each other and returns when all have ended.
	Parallel(tasks ...func())
	// Chat makes one call for a tenant. Errors: *ErrResponse, or what the way there says.
	Chat(ctx context.Context, tenant string, call Call) (Reply, error)
	// Tool calls a tool that takes so long.
	Tool(ctx context.Context, takes time.Duration) error
	// End ends a program.
	End(ctx context.Context, tenant, program string) error
}

// Options say where and how to play.
type Options struct {
	// Nodes are the callers' addresses of the nodes; each call enters through any of them.
	Nodes    []string
	ToolsURL string
	// APIKeys are the tenants' API keys.
	APIKeys map[string]string
	Seed    uint64
	// Progress, if set, counts programs done.
	Progress *atomic.Int64
}

// Run plays all programs at their times against a cluster and returns what each tenant saw.
func Run(ctx context.Context, options Options, programs []workload.Program) map[string]*Result {
	world := newCluster(options)
	defer world.close()
	return RunIn(ctx, world, options.Progress, programs)
}

// RunIn plays all programs at their times and returns what each tenant saw. Progress, if set, counts
// programs done.
func RunIn(ctx context.Context, world Environment, progress *atomic.Int64, programs []workload.Program) map[string]*Result {
	results := make(map[string]*Result)
	tasks := make([]func(), 0, len(programs))
	for _, program := range programs {
		if results[program.Tenant] == nil {
			results[program.Tenant] = newResult()
		}
		play := &player{world: world, result: results[program.Tenant]}
		tasks = append(tasks, func() {
			if world.Pause(ctx, program.Start) == nil {
				play.program(ctx, program)
			}
			if progress != nil {
				progress.Add(1)
			}
		})
	}
	world.Parallel(tasks...)
	return results
}

// player plays one program.
type player struct {
	world  Environment
	result *Result
}

// program plays a top-level program and records its latency.
func (p *player) program(ctx context.Context, program workload.Program) {
	p.result.note(func() { p.result.Programs++ })
	latency, err := p.play(ctx, program, true)
	if err == nil && !program.Dies {
		err = p.world.End(ctx, program.Tenant, program.Name)
	}
	p.result.note(func() {
		if err != nil {
			p.result.Failed++
			p.result.Errors[describe(err)]++
			return
		}
		p.result.Completed++
		p.result.record(p.result.ProgramLatency, latency)
	})
}

func describe(err error) string {
	var failure *ErrResponse
	if errors.As(err, &failure) && failure.Code != "" {
		return failure.Code + "/" + failure.Outcome
	}
	return err.Error()
}

// play runs a program's turns one after the other; it returns the time without thinking.
func (p *player) play(ctx context.Context, program workload.Program, top bool) (time.Duration, error) {
	conversation := []Message{{Role: "system", Content: program.System}}
	sequence := 0
	var total time.Duration
	for _, turn := range program.Turns {
		started := p.world.Now()
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
		took := p.world.Now().Sub(started)
		total += took
		if top {
			p.result.note(func() { p.result.record(p.result.TurnLatency, took) })
		}
		if err := p.world.Pause(ctx, turn.ThinkTime); err != nil {
			return total, err
		}
	}
	return total, nil
}

// afterCall calls the tool and runs the sub-agents beside each other.
func (p *player) afterCall(ctx context.Context, step workload.Step) error {
	if step.ToolPause > 0 {
		if err := p.world.Tool(ctx, step.ToolPause); err != nil {
			return err
		}
	}
	failures := make([]error, len(step.SubAgents))
	tasks := make([]func(), 0, len(step.SubAgents))
	for index, child := range step.SubAgents {
		tasks = append(tasks, func() { _, failures[index] = p.play(ctx, child, false) })
	}
	p.world.Parallel(tasks...)
	for _, failure := range failures {
		if failure != nil {
			return failure
		}
	}
	return nil
}

// call makes one call, and repeats it with the same key when that is safe.
func (p *player) call(ctx context.Context, program workload.Program, sequence int, conversation []Message, tokens int) (Reply, error) {
	request := Call{
		Program:        program.Name,
		Sequence:       sequence,
		IdempotencyKey: fmt.Sprintf("%s-%d", program.Name, sequence),
		Model:          program.Model,
		Messages:       conversation,
		Tokens:         tokens,
	}
	started := p.world.Now()
	for try := 1; ; try++ {
		reply, err := p.world.Chat(ctx, program.Tenant, request)
		if err == nil {
			reply.FirstTokenLatency += p.world.Now().Sub(started) - reply.Latency
			p.result.note(func() {
				p.result.Calls++
				p.result.Tokens += int64(tokens)
				p.result.record(p.result.FirstTokenLatency, reply.FirstTokenLatency)
			})
			return reply, nil
		}
		wait, again := retryWait(err)
		if !again || try >= maxTries || ctx.Err() != nil {
			return reply, err
		}
		p.result.note(func() { p.result.Retries++ })
		if err := p.world.Pause(ctx, wait); err != nil {
			return reply, err
		}
	}
}

// retryWait tells whether to come back, and when.
func retryWait(err error) (time.Duration, bool) {
	var failure *ErrResponse
	if !errors.As(err, &failure) {
		return retryPause, true
	}
	switch {
	case failure.RetryAfter > 0:
		return failure.RetryAfter, true
	case failure.Outcome == "outcome_unknown":
		return retryPause, true
	}
	return 0, false
}
