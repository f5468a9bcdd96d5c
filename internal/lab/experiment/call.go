package experiment

import (
	"context"
	"fmt"
	"time"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/coordinator"
	"github.com/mountstile/mountstile/internal/emulator"
	"github.com/mountstile/mountstile/internal/engine"
	"github.com/mountstile/mountstile/internal/owner"
	"github.com/mountstile/mountstile/internal/program"
	"github.com/mountstile/mountstile/internal/scheduler"
)

// simulatedCall places an admitted call and runs its attempts.
type simulatedCall struct {
	environment *simulation
	request     coordinator.BeginRequest
	call        *program.Call
	prompt      string
	answer      string
	tokens      int
	generated   int
	cached      int
	engine      string
	avoid       []string
	firstToken  time.Time
}

// execute makes attempts until the answer is complete, and commits it.
func (c *simulatedCall) execute(ctx context.Context) *apierr.Error {
	for c.generated < c.tokens {
		decision, failure := c.place(ctx)
		if failure != nil {
			return c.fail(failure)
		}
		c.attempt(ctx, decision)
	}
	message, err := engine.NewAssistantMessage(c.answer, nil)
	if err != nil {
		return apierr.New(apierr.Internal, apierr.Ran, "%s", err)
	}
	c.environment.execute(program.Command{Complete: &program.Complete{
		CallID: c.call.ID, Program: c.request.Admit.Program, Attempt: c.call.Attempt,
		Answer: program.Answer{Message: message, Usage: program.Usage{Prompt: c.request.PromptTokens, Cached: int64(c.cached), Completion: int64(c.tokens)}},
	}})
	return nil
}

func (c *simulatedCall) place(ctx context.Context) (scheduler.Decision, *apierr.Error) {
	if c.call.Attempt >= c.environment.service.MaxAttempts {
		return scheduler.Decision{}, apierr.New(apierr.EngineFailed, apierr.NotRun, "%d engines failed in a row", c.call.Attempt).WithRetryAfter(time.Second)
	}
	summary, _ := c.environment.machine.Summary(c.request.Admit.Program)
	placement := coordinator.DescribeCall(c.request, c.call, summary, c.environment.service, c.environment.clock.Now())
	placement.Avoid = c.avoid
	decision, err := c.environment.nodeFor(c.request.Admit.Program.Path).scheduler.Place(ctx, placement, c.environment.pool, c.environment.rules)
	if err != nil {
		return decision, apierr.From(err, apierr.NotRun)
	}
	return decision, nil
}

// fail records the failure of the call in the program state.
func (c *simulatedCall) fail(failure *apierr.Error) *apierr.Error {
	result := c.environment.execute(program.Command{Fail: &program.Fail{CallID: c.call.ID, Program: c.request.Admit.Program, Error: failure}})
	if result.Error != nil {
		return result.Error
	}
	return failure
}

// attempt runs the call at an engine, and resumes the answer after the tokens of earlier attempts.
func (c *simulatedCall) attempt(ctx context.Context, decision scheduler.Decision) {
	c.engine = decision.Engine.Name
	result := c.environment.execute(program.Command{Dispatch: &program.Dispatch{
		CallID: c.call.ID, Program: c.request.Admit.Program, Attempt: c.call.Attempt + 1, Engine: c.engine, CacheService: serviceName,
	}})
	c.call = result.Call
	text := c.prompt + emulator.RenderMessage("assistant", "") + c.answer[:len(c.answer)*c.generated/c.tokens]
	if c.generated == 0 {
		text = c.prompt
	}
	blocks, tokens := emulator.PromptBlocks(text, c.environment.file.Engine.BlockTokens)
	id := fmt.Sprintf("%s/%d", c.call.ID, c.call.Attempt)
	job, reached := c.environment.engines[c.engine].submit(emulator.Request{
		ID: id, Program: coordinator.CacheID(c.request.Admit.Program), Blocks: blocks,
		PromptTokens: tokens, OutputTokens: c.tokens - c.generated,
	})
	lost, step := !reached, time.Duration(0)
	if reached {
		lost = c.waitForAnswer(ctx, job)
		step = job.stepTimer.StepTime()
	}
	if reached && lost {
		c.environment.engines[c.engine].cancel(id)
	}
	c.environment.nodeFor(c.engine).queues.Release(owner.ReleaseRequest{Engine: c.engine, CallID: c.call.ID, Failed: lost, StepMicros: step.Microseconds()})
	if lost {
		c.avoid = append(c.avoid, c.engine)
		c.call = c.environment.execute(program.Command{Lose: &program.LoseAttempt{
			CallID: c.call.ID, Program: c.request.Admit.Program, Attempt: c.call.Attempt, Undelivered: !reached,
		}}).Call
	}
}

// waitForAnswer counts the answer's tokens until it is complete, and reports whether the engine crashed
// or stalled before that.
func (c *simulatedCall) waitForAnswer(ctx context.Context, job *simulatedJob) bool {
	stalled := !job.first.Wait(ctx, seconds(c.environment.service.FirstTokenSeconds))
	if c.firstToken.IsZero() && job.generated > 0 {
		c.firstToken = c.environment.clock.Now()
	}
	done := false
	for !stalled && !done {
		before := job.generated
		done = job.done.Wait(ctx, seconds(c.environment.service.StallSeconds))
		stalled = !done && job.generated == before
	}
	c.generated += job.generated
	c.cached = max(c.cached, job.cached)
	return stalled || job.lost
}
