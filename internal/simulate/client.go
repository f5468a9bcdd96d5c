package simulate

import (
	"encoding/json"
	"fmt"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/program"
)

// phase is the state of a client's current call.
type phase int

const (
	phaseNew phase = iota
	phaseAdmit
	phaseDispatch
	phaseRunning
	phaseComplete
	phaseFail
	phaseLoseAttempt
	phaseIdle
)

const (
	// Durations are in steps.
	proposalTimeout = 60
	maxRunSteps     = 15
	maxIdleSteps    = 20
	// reserveTokens is the number of tokens that each call reserves.
	reserveTokens = 90
	// sequenceGapRetryDelay, in steps, is the delay before a dispatch is retried while an earlier call of its
	// program is outstanding.
	sequenceGapRetryDelay = 10
)

// operation records the invocation and response of one admission for the linearizability check.
type operation struct {
	client  int
	program program.Key
	callID  string
	// invoked and returned are steps; returned is -1 until the response arrives.
	invoked  int
	returned int
	sequence uint64
}

// client is a gateway together with its only caller. It admits, dispatches, sends and completes calls, one at a time,
// and retries commands whose results don't arrive in time.
type client struct {
	sim    *simulation
	number int

	phase phase
	call  program.Call
	key   program.Key
	// proposal is the number of the latest proposal; results of earlier ones are ignored.
	proposal int
	waiting  bool
	// proposedAt and resumeAt are steps.
	proposedAt int
	resumeAt   int
	attempt    int
	calls      int
	sent       bool
	refused    bool
	op         *operation
	answer     program.Answer
}

func newClient(sim *simulation, number int) *client {
	return &client{sim: sim, number: number}
}

func (c *client) idle() bool { return c.phase == phaseIdle || c.phase == phaseNew }

// propose submits a command to the current leader and registers the client for its result.
func (c *client) propose(command program.Command) {
	leader := c.sim.leader()
	if leader == nil {
		return
	}
	command.At = int64(c.sim.step)
	encoded, err := json.Marshal(command)
	if err != nil {
		c.sim.fail("encoding a command: %s", err)
		return
	}
	index, term, err := leader.core.Propose(encoded)
	if err != nil {
		return
	}
	c.proposal++
	c.waiting, c.proposedAt = true, c.sim.step
	leader.waiters[index] = waiter{term: term, client: c, proposal: c.proposal}
	c.sim.process(leader)
}

// abandon stops the wait for a proposal whose result can't arrive any more.
func (c *client) abandon(proposal int) {
	if proposal == c.proposal {
		c.waiting = false
	}
}

// advance runs one step of the client.
func (c *client) advance() {
	if c.waiting {
		if c.sim.step-c.proposedAt < proposalTimeout {
			return
		}
		// The result is lost. All commands are idempotent and can be proposed again.
		c.waiting = false
		c.proposal++
	}
	switch c.phase {
	case phaseNew:
		// No call starts once the faults have ended; see simulation.settle.
		if c.sim.options.Faults != (Faults{}) {
			c.begin()
		}
	case phaseAdmit:
		c.propose(program.Command{Admit: c.admission()})
	case phaseDispatch:
		if c.sim.step >= c.resumeAt {
			c.proposeDispatch()
		}
	case phaseRunning:
		c.run()
	case phaseComplete:
		c.propose(program.Command{Complete: &program.Complete{CallID: c.call.ID, Program: c.key, Attempt: c.attempt, Answer: c.answer}})
	case phaseFail:
		failure := apierr.New(apierr.Cancelled, apierr.NotRun, "the caller cancelled the call")
		c.propose(program.Command{Fail: &program.Fail{CallID: c.call.ID, Program: c.key, Error: failure}})
	case phaseLoseAttempt:
		c.propose(program.Command{Lose: &program.LoseAttempt{CallID: c.call.ID, Program: c.key, Attempt: c.attempt}})
	case phaseIdle:
		if c.sim.step >= c.resumeAt {
			c.phase = phaseNew
		}
	}
}

// begin starts a new call with random properties.
func (c *client) begin() {
	c.calls++
	c.sim.report.Calls++
	random := c.sim.random
	c.key = program.Key{Tenant: "t", Path: fmt.Sprintf("p%d", random.IntN(programs))}
	if random.IntN(3) == 0 {
		c.key.Path += "/sub"
	}
	c.call = program.Call{ID: fmt.Sprintf("c%d-%d", c.number, c.calls), Repeatable: random.IntN(2) == 0}
	c.attempt, c.sent, c.refused = 0, false, false
	c.op = &operation{client: c.number, program: c.key, callID: c.call.ID, invoked: c.sim.step, returned: -1}
	c.sim.engine.operations = append(c.sim.engine.operations, c.op)
	c.phase = phaseAdmit
}

func (c *client) admission() *program.Admit {
	message, err := json.Marshal(map[string]string{"role": "user", "content": c.call.ID})
	if err != nil {
		c.sim.fail("encoding a message: %s", err)
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
	if c.sim.options.Defects.SendBeforeCommit && !c.sent {
		c.send()
	}
	c.propose(program.Command{Dispatch: &program.Dispatch{
		CallID: c.call.ID, Program: c.key, Attempt: c.attempt + 1, Engine: "e1", Gateway: c.gateway(),
	}})
}

// handleResult handles the result of a proposal, unless it is not the latest one.
func (c *client) handleResult(proposal int, result program.Result) {
	if proposal != c.proposal || !c.waiting {
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
	case phaseLoseAttempt:
		c.attemptLost(result)
	}
}

// attemptLost starts another attempt if the call can be repeated.
func (c *client) attemptLost(result program.Result) {
	if result.Call != nil && result.Call.State == program.Admitted {
		c.phase = phaseDispatch
		return
	}
	c.sim.report.Unknown++
	c.finish()
}

func (c *client) admitted(result program.Result) {
	if result.Error != nil {
		// A rejected admission takes no sequence number.
		c.op.returned, c.op.sequence = c.sim.step, 0
		c.sim.report.NotRun++
		c.sim.engine.recordNotRun(c.call.ID)
		c.finish()
		return
	}
	c.op.returned, c.op.sequence = c.sim.step, result.Call.Sequence
	c.call.Sequence = result.Call.Sequence
	c.phase = phaseDispatch
	// Some callers cancel before the dispatch.
	if c.sim.random.IntN(8) == 0 {
		c.phase = phaseFail
	}
}

func (c *client) dispatched(result program.Result) {
	if result.Error != nil {
		if result.Error.Code != apierr.SequenceGap {
			c.phase = phaseFail
			return
		}
		c.resumeAt = c.sim.step + sequenceGapRetryDelay
		return
	}
	c.attempt = result.Call.Attempt
	c.send()
	c.phase = phaseRunning
	c.resumeAt = c.sim.step + 1 + c.sim.random.IntN(maxRunSteps)
}

// send delivers the request to the engine.
func (c *client) send() {
	c.sent = true
	c.sim.engine.receive(c.sim, c.key, c.call, c.attempt)
}

// run waits for the engine's answer, which may get lost.
func (c *client) run() {
	if c.sim.step < c.resumeAt {
		return
	}
	if c.sim.random.IntN(10) == 0 && c.sim.options.Faults != (Faults{}) {
		c.phase = phaseLoseAttempt
		return
	}
	message, err := json.Marshal(map[string]string{"role": "assistant", "content": "answer to " + c.call.ID})
	if err != nil {
		c.sim.fail("encoding an answer: %s", err)
	}
	c.answer = program.Answer{Message: message, Usage: program.Usage{Prompt: 20, Completion: int64(c.sim.random.IntN(60))}}
	c.phase = phaseComplete
}

func (c *client) completed(result program.Result) {
	if result.Call == nil || result.Call.State != program.Completed {
		c.sim.report.Unknown++
	} else {
		c.sim.report.Completed++
		c.sim.engine.recordAnswer(c.key, c.call.ID)
	}
	c.finish()
}

func (c *client) failed(result program.Result) {
	if result.Error != nil && result.Error.Outcome == apierr.NotRun && result.Call != nil && result.Call.State == program.Failed {
		c.sim.report.NotRun++
		c.sim.engine.recordNotRun(c.call.ID)
	}
	c.finish()
}

func (c *client) finish() {
	c.phase = phaseIdle
	c.resumeAt = c.sim.step + 1 + c.sim.random.IntN(maxIdleSteps)
}
