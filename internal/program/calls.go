package program

import (
	"strings"

	"github.com/mountstile/mountstile/internal/apierr"
)

func refuse(code apierr.Code, format string, args ...any) Result {
	return Result{Error: apierr.New(code, apierr.NotRun, format, args...)}
}

// admit books a call. Either everything is reserved, on the program and all its ancestors, or
// nothing changes.
func (m *Machine) admit(request Admit) Result {
	if request.CallID == "" || request.Program.Path == "" || request.Reserve < 0 {
		return refuse(apierr.InvalidRequest, "an admission needs a call, a program, and a reservation of 0 or more")
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
	chain := m.ensurePrograms(request)
	if refusal := checkBudgets(chain, request); refusal != nil {
		m.dropUnused(chain)
		return *refusal
	}
	for _, program := range chain {
		program.Reserved += request.Reserve
		program.Calls++
		program.ActiveAt = m.now
	}
	own := chain[0]
	if own.Opening.Hash == "" && own.Mark.Count == 0 && len(request.Messages) > 0 {
		own.Opening = openingOf(request.Messages[0])
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
	m.changed(own.Key)
	return Result{Call: call.public()}
}

// findExisting finds the call itself, or an earlier one with the same idempotency key.
func (p *Program) findExisting(request Admit) (Result, bool) {
	if call := p.Open[request.CallID]; call != nil {
		return Result{Call: call.public(), Existing: true}, true
	}
	if request.IdempotencyKey == "" {
		return Result{}, false
	}
	for _, call := range p.Open {
		if call.IdempotencyKey != request.IdempotencyKey || call.neverRun() {
			continue
		}
		if call.BodyHash != request.BodyHash {
			return refuse(apierr.IdempotencyConflict, "the idempotency key was used with another request body"), true
		}
		return Result{Call: call.public(), Existing: true}, true
	}
	return Result{}, false
}

// neverRun reports that a call was refused for good before anything was sent: its caller may ask
// again with the same key.
func (c *Call) neverRun() bool {
	return c.State == Failed && c.Error != nil && c.Error.Outcome == apierr.NotRun
}

// reopenable reports whether a place in the order can be taken again: its call was never sent, and
// neither was any after it.
func (p *Program) reopenable(sequence uint64) bool {
	if sequence <= p.Reached {
		return false
	}
	for _, call := range p.Open {
		if call.Sequence == sequence && !call.Ended() {
			return false
		}
	}
	return true
}

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
		idle = !known.busy()
	}
	switch {
	case request.Sequence > next:
		refusal := refuse(apierr.SequenceGap, "call %d came before call %d", request.Sequence, next)
		return &refusal
	case request.Sequence != 0 && request.Sequence < next && !known.reopenable(request.Sequence):
		refusal := refuse(apierr.SequencePassed, "call %d was admitted before; the next is %d", request.Sequence, next)
		return &refusal
	case request.CheckBase && idle && request.Base != mark:
		refusal := refuse(apierr.HistoryConflict, "the messages do not continue the program's history of %d messages", mark.Count)
		refusal.Mark = mark
		return &refusal
	}
	return nil
}

// busy reports whether a call is under way.
func (p *Program) busy() bool {
	for _, call := range p.Open {
		if !call.Ended() {
			return true
		}
	}
	return false
}

// ensurePrograms creates the program and its ancestors where they do not exist; it returns them,
// the program itself first.
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

func checkBudgets(chain []*Program, request Admit) *Result {
	for _, program := range chain {
		if program.Used+program.Reserved+request.Reserve > program.Limits.TokenBudget {
			refusal := refuse(apierr.BudgetExceeded, "the call may cost %d tokens; program %s has %d of %d left",
				request.Reserve, program.Key.Path, program.Limits.TokenBudget-program.Used-program.Reserved, program.Limits.TokenBudget)
			return &refusal
		}
		if program.Calls+1 > program.Limits.CallBudget {
			refusal := refuse(apierr.BudgetExceeded, "program %s has made all its %d calls", program.Key.Path, program.Limits.CallBudget)
			return &refusal
		}
	}
	return nil
}

// dropUnused removes programs that were created for a call that was then refused.
func (m *Machine) dropUnused(chain []*Program) {
	for _, program := range chain {
		if program.Calls == 0 {
			delete(m.programs, program.Key)
		}
	}
}

// find returns a call that is under way, or a Result that tells why there is none.
func (m *Machine) find(key Key, callID string) (*Program, *Call, *Result) {
	program := m.programs[key]
	if program == nil || program.Open[callID] == nil {
		refusal := refuse(apierr.NotFound, "there is no call %s of program %s", callID, key.Path)
		return nil, nil, &refusal
	}
	return program, program.Open[callID], nil
}

// dispatch fixes the engine of an attempt. Invariants: attempts are numbered without gaps; a
// non-repeatable call has one; the calls before it in the chain have ended.
func (m *Machine) dispatch(request Dispatch) Result {
	program, call, refusal := m.find(request.Program, request.CallID)
	if refusal != nil {
		return *refusal
	}
	if call.State == Dispatching && call.Attempt == request.Attempt && call.Execution == request.Execution && call.Gateway == request.Gateway && call.Engine == request.Engine {
		return Result{Call: call.public(), Existing: true, Mark: program.Mark}
	}
	if call.Ended() {
		return Result{Call: call.public(), Error: call.Error}
	}
	switch {
	case call.State != Admitted || request.Attempt != call.Attempt+1:
		return Result{Call: call.public(), Error: apierr.New(apierr.Internal, apierr.NotRun, "attempt %d does not follow attempt %d", request.Attempt, call.Attempt)}
	case program.Ended():
		return refuse(apierr.ProgramEnded, "program %s has ended: %s", program.Key.Path, program.EndReason)
	case program.earlierOpen(call.Sequence):
		return refuse(apierr.SequenceGap, "an earlier call of the program is under way")
	case call.CheckBase && call.Base != program.Mark:
		result := refuse(apierr.HistoryConflict, "the messages do not continue the program's history of %d messages", program.Mark.Count)
		result.Mark = program.Mark
		return result
	}
	if program.Reached < call.Sequence {
		call.ReachedBefore = program.Reached
		program.Reached = call.Sequence
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
	m.changed(program.Key)
	return Result{Call: call.public(), Mark: program.Mark}
}

// earlierOpen reports whether a call before the given place has not ended.
func (p *Program) earlierOpen(sequence uint64) bool {
	for _, call := range p.Open {
		if call.Sequence < sequence && !call.Ended() {
			return true
		}
	}
	return false
}

// lose takes an attempt back. Only a repeatable call, or one that was never sent, may go again.
func (m *Machine) lose(request LoseAttempt) Result {
	program, call, refusal := m.find(request.Program, request.CallID)
	if refusal != nil {
		return *refusal
	}
	if call.State != Dispatching || call.Attempt != request.Attempt {
		return Result{Call: call.public(), Error: call.Error}
	}
	call.Spent = max(call.Spent, request.Spent)
	if call.Repeatable || request.Undelivered {
		call.State = Admitted
		call.MayHaveRun = call.MayHaveRun || !request.Undelivered
		if !call.MayHaveRun {
			// No call after this one was dispatched while it was open.
			program.Reached = call.ReachedBefore
		}
		m.changed(program.Key)
		return Result{Call: call.public()}
	}
	lost := apierr.New(apierr.ExecutionUnknown, apierr.OutcomeUnknown, "the connection to the back end was lost; the request is not repeatable and may have been executed")
	m.settle(program, call, call.Reserved)
	m.finish(program, call, Failed, nil, lost)
	return Result{Call: call.public(), Error: lost}
}

// complete stores the answer and lets the history grow.
func (m *Machine) complete(request Complete) Result {
	program, call, refusal := m.find(request.Program, request.CallID)
	if refusal != nil {
		return *refusal
	}
	if call.State != Dispatching || call.Attempt != request.Attempt {
		return Result{Call: call.public(), Existing: true, Error: call.Error}
	}
	m.settle(program, call, request.Answer.Usage.Total())
	if len(request.Answer.Message) > 0 {
		added := append(call.Messages, request.Answer.Message)
		program.History.append(added)
		program.Mark = program.Mark.Extend(added)
	}
	answer := request.Answer
	program.LastTokens = answer.Usage.Total()
	m.finish(program, call, Completed, &answer, nil)
	return Result{Call: call.public(), Mark: program.Mark}
}

// failCall ends a call. For a call that is only admitted this forbids every later dispatch, so
// that its outcome is NotRun for certain.
func (m *Machine) failCall(request Fail) Result {
	program, call, refusal := m.find(request.Program, request.CallID)
	if refusal != nil {
		return *refusal
	}
	switch {
	case call.Ended():
		return Result{Call: call.public(), Existing: true, Error: call.Error}
	case request.Error == nil:
		return refuse(apierr.InvalidRequest, "a failure needs an error")
	case call.State == Admitted && request.Attempt == 0:
		m.settle(program, call, call.Spent)
		failure := *request.Error
		failure.Outcome = admittedOutcome(call)
		m.finish(program, call, Failed, nil, &failure)
	case call.State == Dispatching && call.Attempt == request.Attempt:
		cost := call.Reserved
		if request.Usage != nil {
			cost = request.Usage.Total()
		}
		m.settle(program, call, cost)
		m.finish(program, call, Failed, nil, request.Error)
	default:
		return Result{Call: call.public(), Error: apierr.New(apierr.Internal, apierr.OutcomeUnknown, "attempt %d of call %s is under way", call.Attempt, call.ID)}
	}
	return Result{Call: call.public(), Error: call.Error}
}

// admittedOutcome is NotRun unless an earlier attempt may have been executed.
func admittedOutcome(call *Call) apierr.Outcome {
	if call.MayHaveRun {
		return apierr.OutcomeUnknown
	}
	return apierr.NotRun
}

// settle replaces a call's reservation by its cost, on the program and its ancestors. More than
// the reservation is never charged: the engine was told the most that it may generate.
func (m *Machine) settle(program *Program, call *Call, cost int64) {
	cost = min(max(0, cost), call.Reserved)
	for _, ancestor := range m.ancestors(program.Key) {
		ancestor.Reserved -= call.Reserved
		ancestor.Used += cost
	}
	call.Reserved = 0
}

func (m *Machine) finish(program *Program, call *Call, state CallState, answer *Answer, failure *apierr.Error) {
	call.State = state
	call.Answer = answer
	call.Error = failure
	call.Messages = nil
	call.EndedAt = m.now
	for _, ancestor := range m.ancestors(program.Key) {
		ancestor.ActiveAt = m.now
	}
	// Without a key nobody can ask for the answer again, except a retry of the same proposal.
	m.changed(program.Key)
}

// public returns a copy without the messages.
func (c *Call) public() *Call {
	copied := *c
	copied.Messages = nil
	return &copied
}
