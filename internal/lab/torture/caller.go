package torture

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/emulator"
	"github.com/mountstile/mountstile/internal/gateway"
	"github.com/mountstile/mountstile/internal/lab/runner"
)

const (
	callTimeout     = 25 * time.Second
	maxTurns        = 8
	maxAttempts     = 60
	markTimeout     = 15 * time.Second
	retryDelay      = 100 * time.Millisecond
	maxEndAttempts  = 20
	programInterval = 20 * time.Millisecond
	turnsPerMark    = 3 // on average
)

// caller runs programs in sequence. Each request goes to a random node.
type caller struct {
	run      *run
	number   int
	random   *rand.Rand
	client   *runner.Client
	http     *http.Client
	programs int
}

func newCaller(r *run, number int) *caller {
	return &caller{
		run:    r,
		number: number,
		random: rand.New(rand.NewPCG(r.options.Seed, uint64(100+number))),
		client: runner.NewClient(apiKey),
		http:   &http.Client{Timeout: markTimeout},
	}
}

// execute runs programs until the run stops, and finishes the last one.
func (c *caller) execute(ctx context.Context) {
	defer c.client.Close()
	for !c.run.stopped.Load() && ctx.Err() == nil {
		c.runProgram(ctx)
		c.run.sleep(ctx, programInterval)
	}
}

// pickNode returns the URL of a random live node.
func (c *caller) pickNode() string {
	c.run.mutex.RLock()
	defer c.run.mutex.RUnlock()
	addresses := c.run.system.APIURLs()
	return addresses[c.random.IntN(len(addresses))]
}

// runProgram runs one conversation and compares each answer with the one that its history determines.
func (c *caller) runProgram(ctx context.Context) {
	c.programs++
	name := fmt.Sprintf("c%d-p%d", c.number, c.programs)
	c.updateReport(func(report *Report) { report.Programs++ })
	var messages []runner.Message
	for turn := range 1 + c.random.IntN(maxTurns) {
		messages = append(messages, runner.Message{Role: "user", Content: fmt.Sprintf("%s asks %d", name, turn+1)})
		reply, err := c.callWithRetry(ctx, name, turn+1, messages)
		if err != nil {
			c.run.recordViolation(&c.run.report.Violations.Lost, "%s, call %d: %s", name, turn+1, err)
			return
		}
		if expected := expectedAnswer(messages); reply.Content != expected {
			c.run.recordViolation(&c.run.report.Violations.Mixed, "%s, call %d: got %q instead of %q", name, turn+1, reply.Content, expected)
		}
		messages = append(messages, runner.Message{Role: "assistant", Content: reply.Content})
		if c.random.IntN(turnsPerMark) == 0 {
			c.sendMark(ctx, fmt.Sprintf("%s-%d", name, turn+1))
		}
	}
	c.endProgram(ctx, name)
}

func expectedAnswer(messages []runner.Message) string {
	encoded := make([]json.RawMessage, 0, len(messages))
	for _, message := range messages {
		// A struct of strings can't fail to encode.
		text, _ := json.Marshal(message)
		encoded = append(encoded, text)
	}
	return emulator.ExpectedAnswer(encoded, answerTokens)
}

func (c *caller) updateReport(change func(*Report)) {
	c.run.mutex.Lock()
	defer c.run.mutex.Unlock()
	change(&c.run.report)
}

// callWithRetry retries a call with the same idempotency key until it succeeds.
func (c *caller) callWithRetry(ctx context.Context, program string, sequence int, messages []runner.Message) (runner.Reply, error) {
	request := runner.Call{
		Program: program, Sequence: sequence, IdempotencyKey: fmt.Sprintf("%s-%d", program, sequence),
		Model: "m", Messages: messages, Tokens: answerTokens,
	}
	var lastErr error
	for range maxAttempts {
		callContext, cancel := context.WithTimeout(ctx, callTimeout)
		reply, err := c.client.Chat(callContext, c.pickNode(), request)
		cancel()
		if err == nil {
			c.updateReport(func(report *Report) { report.Calls++ })
			return reply, nil
		}
		lastErr = err
		c.countFailure(err)
		c.run.sleep(ctx, retryDelay)
	}
	return runner.Reply{}, lastErr
}

func (c *caller) countFailure(err error) {
	var failure *runner.ErrResponse
	refused := errors.As(err, &failure) && failure.Outcome == string(apierr.NotRun)
	c.updateReport(func(report *Report) {
		if refused {
			report.Refused++
		} else {
			report.Unknown++
		}
	})
}

// sendMark sends a non-idempotent application call, without retries, and records the reported outcome.
func (c *caller) sendMark(ctx context.Context, body string) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.pickNode()+"/apps/book/marks", strings.NewReader(body))
	if err != nil {
		return
	}
	// Without GetBody, net/http can't resend the call by itself after a connection failure.
	request.GetBody = nil
	request.Header.Set("Authorization", "Bearer "+apiKey)
	outcome := string(apierr.OutcomeUnknown)
	response, err := c.http.Do(request)
	if err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		outcome = response.Header.Get(gateway.HeaderOutcome)
	}
	c.run.mutex.Lock()
	defer c.run.mutex.Unlock()
	c.run.report.Marks++
	c.run.markOutcomes[body] = outcome
}

// endProgram retries ending a program until it succeeds. Ending an ended program succeeds, too.
func (c *caller) endProgram(ctx context.Context, name string) {
	for range maxEndAttempts {
		callContext, cancel := context.WithTimeout(ctx, callTimeout)
		err := c.client.End(callContext, c.pickNode(), name)
		cancel()
		if err == nil {
			return
		}
		c.run.sleep(ctx, retryDelay)
	}
	c.run.addNote("program %s could not be ended", name)
}
