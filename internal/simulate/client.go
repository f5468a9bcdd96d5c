package simulate

import (
	"encoding/json"
	"fmt"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/program"
)

// phase is how far a client's present call has come.
type phase int

const (
	phaseNew phase = iota
	phaseAdmit
	phaseDispatch
	phaseRunning
	phaseComplete
	phaseFail
	phaseLose
	phaseRest
)

const (
	clientPatience = 60
	longestRun     = 15
	longestRest    = 20
	reserveTokens  = 90
	// turnPause is how long a call whose turn has not come waits before it asks again.
	turnPause = 10
)

// operation is one admission as its caller saw it, for the linearizability check.
type operation struct {
	client   int
	program  program.Key
	callID   string
	invoked  int
	returned int
	sequence uint64
}

// client is a gateway with one caller: it admits, dispatches, sends and completes calls, one at a
// time, and gives up or repeats when answers do not come.
type client struct {
	world  *World
	number int

	phase    phase
	call     program.Call
	key      program.Key
	ticket   int
	waiting  bool
	since    int
	until    int
	attempt  int
	calls    int
	sent     bool
	refused  bool
	op       *operation
	complete program.Answer
}

func newClient(world *World, number int) *client {
	return &client{world: world, number: number}
}

func (c *client) idle() bool { return c.phase == phaseRest || c.phase == phaseNew }

// propose puts a command to the present leader, and remembers whom to answer.
func (c *client) propose(command program.Command) {
	leader := c.world.leader()
	if leader == nil {
		return
	}
	command.At = int64(c.world.step)
	encoded, err := json.Marshal(command)
	if err != nil {
		c.world.fail("encoding a command: %s", err)
		return
	}
	index, term, err := leader.core.Propose(encoded)
	if err != nil {
		return
	}
	c.ticket++
	c.waiting, c.since = true, c.world.step
	leader.waiters[index] = waiter{term: term, client: c, ticket: c.ticket}
	c.world.process(leader)
}

// lost tells that an answer will not come.
func (c *client) lost(ticket int) {
	if ticket == c.ticket {
		c.waiting = false
	}
}

// advance plays one step of the client.
func (c *client) advance() {
	if c.waiting {
		if c.world.step-c.since < clientPatience {
			return
		}
		// The answer was lost; every command may be proposed again.
		c.waiting = false
		c.ticket++
	}
	switch c.phase {
	case phaseNew:
		if c.world.options.Faults != (Faults{}) {
			c.begin()
		}
	case phaseAdmit:
		c.propose(program.Command{Admit: c.admission()})
	case phaseDispatch:
		if c.world.step >= c.until {
			c.proposeDispatch()
		}
	case phaseRunning:
		c.run()
	case phaseComplete:
		c.propose(program.Command{Complete: &program.Complete{CallID: c.call.ID, Program: c.key, Attempt: c.attempt, Answer: c.complete}})
	case phaseFail:
		failure := apierr.New(apierr.Cancelled, apierr.NotRun, "the caller gave up")
		c.propose(program.Command{Fail: &program.Fail{CallID: c.call.ID, Program: c.key, Error: failure}})
	case phaseLose:
		c.propose(program.Command{Lose: &program.LoseAttempt{CallID: c.call.ID, Program: c.key, Attempt: c.attempt}})
	case phaseRest:
		if c.world.step >= c.until {
			c.phase = phaseNew
		}
	}
}

// begin draws a new call.
func (c *client) begin() {
	c.calls++
	c.world.report.Calls++
	random := c.world.random
	c.key = program.Key{Tenant: "t", Path: fmt.Sprintf("p%d", random.IntN(programs))}
	if random.IntN(3) == 0 {
		c.key.Path += "/sub"
	}
	c.call = program.Call{ID: fmt.Sprintf("c%d-%d", c.number, c.calls), Repeatable: random.IntN(2) == 0}
	c.attempt, c.sent, c.refused = 0, false, false
	c.op = &operation{client: c.number, program: c.key, callID: c.call.ID, invoked: c.world.step, returned: -1}
	c.world.engine.operations = append(c.world.engine.operations, c.op)
	c.phase = phaseAdmit
}

func (c *client) admission() *program.Admit {
	message, err := json.Marshal(map[string]string{"role": "user", "content": c.call.ID})
	if err != nil {
		c.world.fail("encoding a message: %s", err)
	}
	return &program.Admit{
		CallID:     c.call.ID,
		Program:    c.key,
		Service:    "s",
		Gateway:    c.gateway(),
		BodyHash:   c.call.ID,
		Repeatable: c.call.Repeatable,
		Reserve:    reserveTokens,
		Messages:   []program.Message{message},
		Limits:     program.Limits{TokenBudget: tokenBudget, CallBudget: 1 << 30},
	}
}

func (c *client) gateway() string { return fmt.Sprintf("g%d", c.number) }

func (c *client) proposeDispatch() {
	if c.world.options.Sabotage.SendBeforeCommit && !c.sent {
		c.send()
	}
	c.propose(program.Command{Dispatch: &program.Dispatch{
		CallID: c.call.ID, Program: c.key, Attempt: c.attempt + 1, Engine: "e1", Gateway: c.gateway(),
	}})
}

// answered takes the result of the latest command.
func (c *client) answered(ticket int, result program.Result) {
	if ticket != c.ticket || !c.waiting {
		return
	}
	c.waiting = false
	switch c.phase {
	case phaseAdmit:
		c.admitted(result)
	case phaseDispatch:
		c.dispatched(result)
	case phaseComplete:
		c.completed(result)
	case phaseFail:
		c.failed(result)
	case phaseLose:
		c.lostAttempt(result)
	}
}

// lostAttempt goes on with another attempt, if the state allows one.
func (c *client) lostAttempt(result program.Result) {
	if result.Call != nil && result.Call.State == program.Admitted {
		c.phase = phaseDispatch
		return
	}
	c.world.report.Unknown++
	c.rest()
}

func (c *client) admitted(result program.Result) {
	if result.Error != nil {
		// A refusal has no effect on the order.
		c.op.returned, c.op.sequence = c.world.step, 0
		c.world.report.NotRun++
		c.world.engine.claimNotRun(c.call.ID)
		c.rest()
		return
	}
	c.op.returned, c.op.sequence = c.world.step, result.Call.Sequence
	c.call.Sequence = result.Call.Sequence
	c.phase = phaseDispatch
	if c.world.random.IntN(8) == 0 {
		c.phase = phaseFail
	}
}

func (c *client) dispatched(result program.Result) {
	if result.Error != nil {
		if result.Error.Code != apierr.SequenceGap {
			c.phase = phaseFail
			return
		}
		c.until = c.world.step + turnPause
		return
	}
	c.attempt = result.Call.Attempt
	c.send()
	c.phase = phaseRunning
	c.until = c.world.step + 1 + c.world.random.IntN(longestRun)
}

// send is the moment at which the request reaches the engine.
func (c *client) send() {
	c.sent = true
	c.world.engine.receive(c.world, c.key, c.call, c.attempt)
}

// run ends with the engine's answer, or with its loss.
func (c *client) run() {
	if c.world.step < c.until {
		return
	}
	if c.world.random.IntN(10) == 0 && c.world.options.Faults != (Faults{}) {
		c.phase = phaseLose
		return
	}
	answer, err := json.Marshal(map[string]string{"role": "assistant", "content": "answer to " + c.call.ID})
	if err != nil {
		c.world.fail("encoding an answer: %s", err)
	}
	c.complete = program.Answer{Message: answer, Usage: program.Usage{Prompt: 20, Completion: int64(c.world.random.IntN(60))}}
	c.phase = phaseComplete
}

func (c *client) completed(result program.Result) {
	if result.Call == nil || result.Call.State != program.Completed {
		c.world.report.Unknown++
	} else {
		c.world.report.Completed++
		c.world.engine.acknowledge(c.key, c.call.ID)
	}
	c.rest()
}

func (c *client) failed(result program.Result) {
	if result.Error != nil && result.Error.Outcome == apierr.NotRun && result.Call != nil && result.Call.State == program.Failed {
		c.world.report.NotRun++
		c.world.engine.claimNotRun(c.call.ID)
	}
	c.rest()
}

func (c *client) rest() {
	c.phase = phaseRest
	c.until = c.world.step + 1 + c.world.random.IntN(longestRest)
}
