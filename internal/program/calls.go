package program

import (
	"strings"

	"github.com/mountstile/mountstile/internal/apierr"
)

func refuse(code apierr.Code, format string, args ...any) Result {
	return Result{Error: apierr.New(code, apierr.NotRun, format, args...)}
}

// admit adds a call. Either its budget is reserved on the program and all its ancestors, or nothing changes.
func (m *Machine) admit(request Admit) Result {
	if request.CallID == "" || request.Program.Path == "" || request.Reserve < 0 {
		return refuse(apierr.InvalidRequest, "an admission needs a call, a program and a non-negative reservation")
	}
	known := m.programs[request.Program]
	if known != nil {
		if result, found := known.findExisting(request); found {
			return result
		}
	}
	if refusal := m.checkAdmission(known, request); refusal != nil {
		return *refusal
	}
	ancestors := m.ensurePrograms(request)
	if refusal := checkBudgets(ancestors, request); refusal != nil {
		m.removeUnused(ancestors)
		return *refusal
	}
	for _, program := range ancestors {
		program.Reserved += request.Reserve
		program.Calls++
		program.ActiveAt = m.now
	}
	own := ancestors[0]
	if own.FirstMessage.Hash == "" && own.Mark.Count == 0 && len(request.Messages) > 0 {
		own.FirstMessage = firstMessageOf(request.Messages[0])
	}
	sequence := own.NextSequence
	if request.Sequence != 0 {
		sequence = request.Sequence
	}
	own.NextSequence = max(own.NextSequence, sequence+1)
	call := &Call{
		ID:             request.CallID,
		Sequence:       sequence,
		Service:        request.Service,
		Model:          request.Model,
		IdempotencyKey: request.IdempotencyKey,
		BodyHash:       request.BodyHash,
		Repeatable:     request.Repeatable,
		State:          Admitted,
		Gateway:        request.Gateway,
		Reserved:       request.Reserve,
		Base:           request.Base,
		CheckBase:      request.CheckBase,
		Messages:       request.Messages,
		AdmittedAt:     m.now,
	}
	own.Open[call.ID] = call
	m.notify(own.Key)
	return Result{Call: call.withoutMessages()}
}

// findExisting returns the result for a call that was admitted before, or for an earlier call with the same idempotency key.
func (p *Program) findExisting(request Admit) (Result, bool) {
	if call := p.Open[request.CallID]; call != nil {
		return Result{Call: call.withoutMessages(), Existing: true}, true
	}
	if request.IdempotencyKey == "" {
		return Result{}, false
	}
	for _, call := range p.Open {
		if call.IdempotencyKey != request.IdempotencyKey || call.failedNotRun() {
			continue
		}
		if call.BodyHash != request.BodyHash {
			return refuse(apierr.IdempotencyConflict, "the idempotency key was used with a different request body"), true
		}
		return Result{Call: call.withoutMessages(), Existing: true}, true
	}
	return Result{}, false
}

// failedNotRun reports whether a call failed without having been run, so that its idempotency key may be used again.
func (c *Call) failedNotRun() bool {
	return c.State == Failed && c.Error != nil && c.Error.Outcome == apierr.NotRun
}

// sequenceReusable reports whether a sequence number can be assigned again: its call has ended, and neither it nor any later call
// was sent.
func (p *Program) sequenceReusable(sequence uint64) bool {
	if sequence <= p.LastDispatched {
		return false
	}
	for _, call := range p.Open {
		if call.Sequence == sequence && !call.Ended() {
			return false
		}
	}
	return true
}

// checkAdmission returns a refusal if the program has ended, or the call does not follow the program's calls or history. The
// history is compared here only if no call is open; dispatch compares it again.
func (m *Machine) checkAdmission(known *Program, request Admit) *Result {
	for _, program := range m.ancestors(request.Program) {
		if program.Ended() {
			refusal := refuse(apierr.ProgramEnded, "program %s has ended: %s", program.Key.Path, program.EndReason)
			return &refusal
		}
	}
	next := uint64(1)
	var mark HistoryMark
	idle := true
	if known != nil {
		next, mark = known.NextSequence, known.Mark
		idle = !known.hasOpenCalls()
	}
	switch {
	case request.Sequence > next:
		refusal := refuse(apierr.SequenceGap, "call %d was requested before call %d", request.Sequence, next)
		return &refusal
	case request.Sequence != 0 && request.Sequence < next && !known.sequenceReusable(request.Sequence):
		refusal := refuse(apierr.SequencePassed, "call %d was already admitted; the next is %d", request.Sequence, next)
		return &refusal
	case request.CheckBase && idle && request.Base != mark:
		refusal := refuse(apierr.HistoryConflict, "the messages do not continue the program's history of %d messages", mark.Count)
		refusal.Mark = mark
		return &refusal
	}
	return nil
}

// hasOpenCalls reports whether a call has not ended.
func (p *Program) hasOpenCalls() bool {
	for _, call := range p.Open {
		if !call.Ended() {
			return true
		}
	}
	return false
}

// ensurePrograms creates the program and its ancestors if they do not exist, and returns them, the program first.
func (m *Machine) ensurePrograms(request Admit) []*Program {
	parts := strings.Split(request.Program.Path, "/")
	for depth := range parts {
		key := Key{request.Program.Tenant, strings.Join(parts[:depth+1], "/")}
		if m.programs[key] != nil {
			continue
		}
		limits := request.Limits
		if key == request.Program && request.OwnTokens > 0 {
			limits.TokenBudget = min(limits.TokenBudget, request.OwnTokens)
		}
		m.programs[key] = &Program{
			Key:          key,
			Limits:       limits,
			NextSequence: 1,
			Open:         make(map[string]*Call),
			CreatedAt:    m.now,
			ActiveAt:     m.now,
			Caches:       make(map[string]string),
		}
	}
	return m.ancestors(request.Program)
}

// checkBudgets returns a refusal if the call exceeds the budget of the program or of an ancestor.
func checkBudgets(ancestors []*Program, request Admit) *Result {
	for _, program := range ancestors {
		if program.Used+program.Reserved+request.Reserve > program.Limits.TokenBudget {
			refusal := refuse(apierr.BudgetExceeded, "the call may cost %d tokens; program %s has %d of %d left",
				request.Reserve, program.Key.Path, program.Limits.TokenBudget-program.Used-program.Reserved, program.Limits.TokenBudget)
			return &refusal
		}
		if program.Calls+1 > program.Limits.CallBudget {
			refusal := refuse(apierr.BudgetExceeded, "program %s has used its budget of %d calls", program.Key.Path, program.Limits.CallBudget)
			return &refusal
		}
	}
	return nil
}

// removeUnused removes programs without calls, which were created for a call that was then refused.
func (m *Machine) removeUnused(ancestors []*Program) {
	for _, program := range ancestors {
		if program.Calls == 0 {
			delete(m.programs, program.Key)
		}
	}
}

// findCall returns a call that is retained, ended or not, and its program; or a Result with NotFound.
func (m *Machine) findCall(key Key, callID string) (*Program, *Call, *Result) {
	program := m.programs[key]
	if program == nil || program.Open[callID] == nil {
		refusal := refuse(apierr.NotFound, "no call %s in program %s", callID, key.Path)
		return nil, nil, &refusal
	}
	return program, program.Open[callID], nil
}

// dispatch records the engine of an attempt. Invariants: attempts are numbered without gaps; a non-repeatable call has one, unless
// it was not delivered; all calls of the program with lower sequence numbers have ended.
func (m *Machine) dispatch(request Dispatch) Result {
	program, call, refusal := m.findCall(request.Program, request.CallID)
	if refusal != nil {
		return *refusal
	}
	if call.State == Dispatching && call.Attempt == request.Attempt && call.Execution == request.Execution && call.Gateway == request.Gateway && call.Engine == request.Engine {
		return Result{Call: call.withoutMessages(), Existing: true, Mark: program.Mark}
	}
	if call.Ended() {
		return Result{Call: call.withoutMessages(), Error: call.Error}
	}
	switch {
	case call.State != Admitted || request.Attempt != call.Attempt+1:
		return Result{Call: call.withoutMessages(), Error: apierr.New(apierr.Internal, apierr.NotRun, "attempt %d does not follow attempt %d", request.Attempt, call.Attempt)}
	case program.Ended():
		return refuse(apierr.ProgramEnded, "program %s has ended: %s", program.Key.Path, program.EndReason)
	case program.hasOpenBefore(call.Sequence):
		return refuse(apierr.SequenceGap, "an earlier call of the program has not ended")
	case call.CheckBase && call.Base != program.Mark:
		result := refuse(apierr.HistoryConflict, "the messages do not continue the program's history of %d messages", program.Mark.Count)
		result.Mark = program.Mark
		return result
	}
	if program.LastDispatched < call.Sequence {
		call.LastDispatchedBefore = program.LastDispatched
		program.LastDispatched = call.Sequence
	}
	call.State = Dispatching
	call.Attempt = request.Attempt
	call.Engine = request.Engine
	call.Gateway = request.Gateway
	call.Execution = request.Execution
	program.LastEngine = request.Engine
	if request.CacheService != "" {
		program.Caches[request.Engine] = request.CacheService
	}
	m.notify(program.Key)
	return Result{Call: call.withoutMessages(), Mark: program.Mark}
}

// hasOpenBefore reports whether a call with a lower sequence number has not ended.
func (p *Program) hasOpenBefore(sequence uint64) bool {
	for _, call := range p.Open {
		if call.Sequence < sequence && !call.Ended() {
			return true
		}
	}
	return false
}

// loseAttempt ends an attempt without an answer. The call may be dispatched again if it is repeatable or was not delivered;
// else it fails.
func (m *Machine) loseAttempt(request LoseAttempt) Result {
	program, call, refusal := m.findCall(request.Program, request.CallID)
	if refusal != nil {
		return *refusal
	}
	if call.State != Dispatching || call.Attempt != request.Attempt {
		return Result{Call: call.withoutMessages(), Error: call.Error}
	}
	call.Spent = max(call.Spent, request.Spent)
	if call.Repeatable || request.Undelivered {
		call.State = Admitted
		call.MayHaveRun = call.MayHaveRun || !request.Undelivered
		if !call.MayHaveRun {
			// No later call was dispatched, since this one has not ended.
			program.LastDispatched = call.LastDispatchedBefore
		}
		m.notify(program.Key)
		return Result{Call: call.withoutMessages()}
	}
	lost := apierr.New(apierr.ExecutionUnknown, apierr.OutcomeUnknown, "the connection to the engine was lost; the request is not repeatable and may have been executed")
	m.settle(program, call, call.Reserved)
	m.finishCall(program, call, Failed, nil, lost)
	return Result{Call: call.withoutMessages(), Error: lost}
}

// complete stores the answer, and appends the call's messages and the answer's to the history.
func (m *Machine) complete(request Complete) Result {
	program, call, refusal := m.findCall(request.Program, request.CallID)
	if refusal != nil {
		return *refusal
	}
	if call.State != Dispatching || call.Attempt != request.Attempt {
		return Result{Call: call.withoutMessages(), Existing: true, Error: call.Error}
	}
	m.settle(program, call, request.Answer.Usage.Total())
	if len(request.Answer.Message) > 0 {
		added := append(call.Messages, request.Answer.Message)
		program.History.append(added)
		program.Mark = program.Mark.Extend(added)
	}
	answer := request.Answer
	program.LastTokens = answer.Usage.Total()
	m.finishCall(program, call, Completed, &answer, nil)
	return Result{Call: call.withoutMessages(), Mark: program.Mark}
}

// failCall ends a call without an answer. An admitted call can't be dispatched afterwards, so that NotRun is certain if no earlier
// attempt may have run.
func (m *Machine) failCall(request Fail) Result {
	program, call, refusal := m.findCall(request.Program, request.CallID)
	if refusal != nil {
		return *refusal
	}
	switch {
	case call.Ended():
		return Result{Call: call.withoutMessages(), Existing: true, Error: call.Error}
	case request.Error == nil:
		return refuse(apierr.InvalidRequest, "a Fail command needs an error")
	case call.State == Admitted && request.Attempt == 0:
		m.settle(program, call, call.Spent)
		failure := *request.Error
		failure.Outcome = admittedOutcome(call)
		m.finishCall(program, call, Failed, nil, &failure)
	case call.State == Dispatching && call.Attempt == request.Attempt:
		cost := call.Reserved
		if request.Usage != nil {
			cost = request.Usage.Total()
		}
		m.settle(program, call, cost)
		m.finishCall(program, call, Failed, nil, request.Error)
	default:
		return Result{Call: call.withoutMessages(), Error: apierr.New(apierr.Internal, apierr.OutcomeUnknown, "attempt %d of call %s is in progress", call.Attempt, call.ID)}
	}
	return Result{Call: call.withoutMessages(), Error: call.Error}
}

// admittedOutcome returns the outcome of an admitted call that fails: NotRun unless an earlier attempt may have run.
func admittedOutcome(call *Call) apierr.Outcome {
	if call.MayHaveRun {
		return apierr.OutcomeUnknown
	}
	return apierr.NotRun
}

// settle replaces a call's reservation by its cost, on the program and its ancestors. No more than the reservation is charged,
// since it is the limit that was given to the engine.
func (m *Machine) settle(program *Program, call *Call, cost int64) {
	cost = min(max(0, cost), call.Reserved)
	for _, ancestor := range m.ancestors(program.Key) {
		ancestor.Reserved -= call.Reserved
		ancestor.Used += cost
	}
	call.Reserved = 0
}

// finishCall sets the final state of a call and drops its messages, which complete has added to the history before.
func (m *Machine) finishCall(program *Program, call *Call, state CallState, answer *Answer, failure *apierr.Error) {
	call.State = state
	call.Answer = answer
	call.Error = failure
	call.Messages = nil
	call.EndedAt = m.now
	for _, ancestor := range m.ancestors(program.Key) {
		ancestor.ActiveAt = m.now
	}
	m.notify(program.Key)
}

// withoutMessages returns a copy of the call without its messages.
func (c *Call) withoutMessages() *Call {
	copied := *c
	copied.Messages = nil
	return &copied
}
