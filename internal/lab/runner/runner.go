package runner

import (
	"context"
	"fmt"
	"math/rand/v2"
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
	ProgramLatency *hdrhistogram.Histogram
	TurnLatency    *hdrhistogram.Histogram
	FirstToken     *hdrhistogram.Histogram

	Programs  int64
	Completed int64
	Failed    int64
	Calls     int64
	// Refused counts calls that were refused as not run, and tried again.
	Refused int64
	Tokens  int64
	Errors  map[string]int64
}

func newResult() *Result {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, highestMicros, significantDigits) }
	return &Result{ProgramLatency: histogram(), TurnLatency: histogram(), FirstToken: histogram(), Errors: make(map[string]int64)}
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

// Options say where and how to play.
type Options struct {
	// Nodes are the callers' addresses of the nodes; each call enters through any of them.
	Nodes    []string
	ToolsURL string
	// Keys are the tenants' API keys.
	Keys map[string]string
	Seed uint64
	// Progress, if set, counts programs done.
	Progress *atomic.Int64
}

// player plays one program.
type player struct {
	options Options
	client  *Client
	result  *Result
	random  *rand.Rand
}

// Run plays all programs at their times and returns what each tenant saw.
func Run(ctx context.Context, options Options, programs []workload.Program) map[string]*Result {
	results := make(map[string]*Result)
	clients := make(map[string]*Client)
	for _, program := range programs {
		if results[program.Tenant] == nil {
			results[program.Tenant] = newResult()
			clients[program.Tenant] = NewClient(options.Keys[program.Tenant])
		}
	}
	var tasks sync.WaitGroup
	for index, program := range programs {
		play := &player{
			options: options,
			client:  clients[program.Tenant],
			result:  results[program.Tenant],
			random:  rand.New(rand.NewPCG(options.Seed, uint64(index))),
		}
		tasks.Go(func() {
			if pause(ctx, program.Start) == nil {
				play.program(ctx, program)
			}
			if options.Progress != nil {
				options.Progress.Add(1)
			}
		})
	}
	tasks.Wait()
	for _, client := range clients {
		client.Close()
	}
	return results
}

func pause(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

func (p *player) node(random *rand.Rand) string {
	return p.options.Nodes[random.IntN(len(p.options.Nodes))]
}

// program plays a top-level program and records its latency.
func (p *player) program(ctx context.Context, program workload.Program) {
	p.result.note(func() { p.result.Programs++ })
	latency, err := p.play(ctx, program, p.random, true)
	if err == nil && !program.Dies {
		err = p.client.End(ctx, p.node(p.random), program.Name)
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
	var failure *Failure
	if errors.As(err, &failure) && failure.Code != "" {
		return failure.Code + "/" + failure.Outcome
	}
	return err.Error()
}

// play runs a program's turns one after the other; it returns the time without thinking.
func (p *player) play(ctx context.Context, program workload.Program, random *rand.Rand, top bool) (time.Duration, error) {
	conversation := []Message{{Role: "system", Content: program.System}}
	sequence := 0
	var total time.Duration
	for _, turn := range program.Turns {
		started := time.Now()
		for _, step := range turn.Steps {
			sequence++
			content := step.UserText
			if content == "" {
				content = fmt.Sprintf("tool result %d", sequence)
			}
			conversation = append(conversation, Message{Role: "user", Content: content})
			reply, err := p.call(ctx, program, sequence, conversation, step.OutputTokens, random)
			if err != nil {
				return total, err
			}
			conversation = append(conversation, Message{Role: "assistant", Content: reply.Content})
			if err := p.afterCall(ctx, step, random); err != nil {
				return total, err
			}
		}
		took := time.Since(started)
		total += took
		if top {
			p.result.note(func() { p.result.record(p.result.TurnLatency, took) })
		}
		if err := pause(ctx, turn.ThinkTime); err != nil {
			return total, err
		}
	}
	return total, nil
}

// afterCall calls the tool and runs the sub-agents beside each other.
func (p *player) afterCall(ctx context.Context, step workload.Step, random *rand.Rand) error {
	if step.ToolPause > 0 {
		if err := p.client.Tool(ctx, p.options.ToolsURL, step.ToolPause); err != nil {
			return err
		}
	}
	failures := make([]error, len(step.SubAgents))
	var tasks sync.WaitGroup
	for index, child := range step.SubAgents {
		childRandom := rand.New(rand.NewPCG(random.Uint64(), uint64(index)))
		tasks.Go(func() { _, failures[index] = p.play(ctx, child, childRandom, false) })
	}
	tasks.Wait()
	for _, failure := range failures {
		if failure != nil {
			return failure
		}
	}
	return nil
}

// call makes one call, and repeats it with the same key when that is safe.
func (p *player) call(ctx context.Context, program workload.Program, sequence int, conversation []Message, tokens int, random *rand.Rand) (Reply, error) {
	request := Call{
		Program:        program.Name,
		Sequence:       sequence,
		IdempotencyKey: fmt.Sprintf("%s-%d", program.Name, sequence),
		Model:          program.Model,
		Messages:       conversation,
		Tokens:         tokens,
	}
	started := time.Now()
	for try := 1; ; try++ {
		reply, err := p.client.Chat(ctx, p.node(random), request)
		if err == nil {
			reply.FirstToken += time.Since(started) - reply.Took
			p.result.note(func() {
				p.result.Calls++
				p.result.Tokens += int64(tokens)
				p.result.record(p.result.FirstToken, reply.FirstToken)
			})
			return reply, nil
		}
		wait, again := retryWait(err)
		if !again || try >= maxTries || ctx.Err() != nil {
			return reply, err
		}
		p.result.note(func() { p.result.Refused++ })
		if err := pause(ctx, wait); err != nil {
			return reply, err
		}
	}
}

// retryWait tells whether to come back, and when.
func retryWait(err error) (time.Duration, bool) {
	var failure *Failure
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
