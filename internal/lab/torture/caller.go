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
	callTimeout   = 25 * time.Second
	turnsMost     = 8
	triesMost     = 60
	markTimeout   = 15 * time.Second
	triesPause    = 100 * time.Millisecond
	endTries      = 20
	betweenCalls  = 20 * time.Millisecond
	chanceOfMarks = 3
)

// caller plays programs one after the other, each call through any node.
type caller struct {
	run      *run
	number   int
	random   *rand.Rand
	client   *runner.Client
	http     *http.Client
	programs int
}

func newCaller(state *run, number int) *caller {
	return &caller{
		run:    state,
		number: number,
		random: rand.New(rand.NewPCG(state.options.Seed, uint64(100+number))),
		client: runner.NewClient(apiKey),
		http:   &http.Client{Timeout: markTimeout},
	}
}

// play goes on until the run stops; the program under way is brought to its end.
func (c *caller) play(ctx context.Context) {
	defer c.client.Close()
	for !c.run.stopped.Load() && ctx.Err() == nil {
		c.program(ctx)
		c.run.pause(ctx, betweenCalls)
	}
}

// node draws one of the nodes that run.
func (c *caller) node() string {
	c.run.mutex.RLock()
	defer c.run.mutex.RUnlock()
	addresses := c.run.system.APIURLs()
	return addresses[c.random.IntN(len(addresses))]
}

// program holds one conversation and checks each answer against what its history must give.
func (c *caller) program(ctx context.Context) {
	c.programs++
	name := fmt.Sprintf("c%d-p%d", c.number, c.programs)
	c.count(func(report *Report) { report.Programs++ })
	var messages []runner.Message
	for turn := range 1 + c.random.IntN(turnsMost) {
		messages = append(messages, runner.Message{Role: "user", Content: fmt.Sprintf("%s asks %d", name, turn+1)})
		reply, err := c.call(ctx, name, turn+1, messages)
		if err != nil {
			c.run.violate(&c.run.report.Violations.Lost, "%s, call %d: %s", name, turn+1, err)
			return
		}
		if expected := expectedAnswer(messages); reply.Content != expected {
			c.run.violate(&c.run.report.Violations.Mixed, "%s, call %d: got %q instead of %q", name, turn+1, reply.Content, expected)
		}
		messages = append(messages, runner.Message{Role: "assistant", Content: reply.Content})
		if c.random.IntN(chanceOfMarks) == 0 {
			c.mark(ctx, fmt.Sprintf("%s-%d", name, turn+1))
		}
	}
	c.end(ctx, name)
}

func expectedAnswer(messages []runner.Message) string {
	encoded := make([]json.RawMessage, 0, len(messages))
	for _, message := range messages {
		// Two strings always encode.
		text, _ := json.Marshal(message)
		encoded = append(encoded, text)
	}
	return emulator.ExpectedAnswer(encoded, answerTokens)
}

func (c *caller) count(change func(*Report)) {
	c.run.mutex.Lock()
	defer c.run.mutex.Unlock()
	change(&c.run.report)
}

// call repeats a call with its key until it has an answer.
func (c *caller) call(ctx context.Context, program string, sequence int, messages []runner.Message) (runner.Reply, error) {
	request := runner.Call{
		Program: program, Sequence: sequence, IdempotencyKey: fmt.Sprintf("%s-%d", program, sequence),
		Model: "m", Messages: messages, Tokens: answerTokens,
	}
	var last error
	for range triesMost {
		callContext, cancel := context.WithTimeout(ctx, callTimeout)
		reply, err := c.client.Chat(callContext, c.node(), request)
		cancel()
		if err == nil {
			c.count(func(report *Report) { report.Calls++ })
			return reply, nil
		}
		last = err
		c.noteOutcome(err)
		c.run.pause(ctx, triesPause)
	}
	return runner.Reply{}, last
}

func (c *caller) noteOutcome(err error) {
	var failure *runner.ErrResponse
	refused := errors.As(err, &failure) && failure.Outcome == string(apierr.NotRun)
	c.count(func(report *Report) {
		if refused {
			report.Refused++
		} else {
			report.Unknown++
		}
	})
}

// mark sends a call that must not run twice, once, and notes what it was told.
func (c *caller) mark(ctx context.Context, body string) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.node()+"/apps/book/marks", strings.NewReader(body))
	if err != nil {
		return
	}
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
	c.run.marks[body] = outcome
}

// end ends a program; a repeat after a lost answer finds it ended.
func (c *caller) end(ctx context.Context, name string) {
	for range endTries {
		callContext, cancel := context.WithTimeout(ctx, callTimeout)
		err := c.client.End(callContext, c.node(), name)
		cancel()
		if err == nil {
			return
		}
		c.run.pause(ctx, triesPause)
	}
	c.run.note("%s could not be ended", name)
}
