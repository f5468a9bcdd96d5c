package program

import (
	"strings"

	"github.com/mountstile/mountstile/internal/apierr"
)

// Values of Program.EndReason.
const (
	EndByCaller   = "ended by its caller"
	EndByOperator = "ended by an operator"
	EndIdle       = "idle for longer than its limit"
	EndAge        = "older than its limit"
)

// callRetentionWithoutKeyMillis is how long an ended call without an idempotency key is kept, for proposals that are repeated
// after a change of leader.
const callRetentionWithoutKeyMillis = 60 * 1000

// end ends a program and its sub-agents. Admitted calls fail, and can't be dispatched any more; dispatched calls settle as usual.
func (m *Machine) end(request End) Result {
	if m.programs[request.Program] == nil {
		return refuse(apierr.NotFound, "no program %s", request.Program.Path)
	}
	for _, program := range m.descendants(request.Program) {
		m.endProgram(program, request.Reason)
	}
	return Result{}
}

func (m *Machine) endProgram(program *Program, reason string) {
	if program.Ended() {
		return
	}
	program.EndedAt = max(m.now, 1)
	program.EndReason = reason
	program.History = History{}
	for _, call := range program.Open {
		if call.State == Admitted {
			m.settle(program, call, call.Spent)
			ended := apierr.New(apierr.ProgramEnded, admittedOutcome(call), "program %s has ended: %s", program.Key.Path, reason)
			m.finishCall(program, call, Failed, nil, ended)
		}
	}
	m.notify(program.Key)
}

// releaseCache removes an engine from an ended program's Caches.
func (m *Machine) releaseCache(request ReleaseCache) Result {
	program := m.programs[request.Program]
	if program == nil || !program.Ended() {
		return refuse(apierr.NotFound, "no ended program %s", request.Program.Path)
	}
	delete(program.Caches, request.Engine)
	return Result{}
}

// expire ends programs that exceed their limits, and removes calls and programs past their retention.
func (m *Machine) expire() Result {
	for _, program := range m.sortedPrograms() {
		if reason := m.exceededLimit(program); reason != "" {
			m.endProgram(program, reason)
		}
		m.removeExpiredCalls(program)
		if m.removable(program) {
			delete(m.programs, program.Key)
		}
	}
	return Result{}
}

// exceededLimit returns the reason for which a program must end now, or "".
func (m *Machine) exceededLimit(program *Program) string {
	switch {
	case program.Ended():
		return ""
	case program.Limits.MaxMillis > 0 && m.now-program.CreatedAt > program.Limits.MaxMillis:
		return EndAge
	case program.Limits.IdleMillis > 0 && m.now-program.ActiveAt > program.Limits.IdleMillis && !program.hasOpenCalls():
		return EndIdle
	}
	return ""
}

func (m *Machine) removeExpiredCalls(program *Program) {
	for id, call := range program.Open {
		if call.Ended() && m.now-call.EndedAt > call.retention() {
			delete(program.Open, id)
		}
	}
}

// retention returns how long an ended call is kept, in milliseconds.
func (c *Call) retention() int64 {
	if c.IdempotencyKey != "" {
		return CallRetentionMillis
	}
	return callRetentionWithoutKeyMillis
}

// removable reports whether a program has ended, has no open calls and no engine with its cache, and is past its retention.
func (m *Machine) removable(program *Program) bool {
	return program.Ended() && len(program.Caches) == 0 && !program.hasOpenCalls() && m.now-program.EndedAt > program.retention()
}

// retention returns how long an ended program is kept, in milliseconds. An ephemeral program can't be named by another call, and
// is removed as soon as its calls are.
func (p *Program) retention() int64 {
	if strings.HasPrefix(p.Key.Path, EphemeralPrefix) && len(p.Open) == 0 {
		return 0
	}
	return ProgramRetentionMillis
}

// ExpiryDue reports whether an Expire command at the given time, in milliseconds since 1970, would change anything.
func (m *Machine) ExpiryDue(at int64) bool {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	// exceededLimit and removable use only the machine's time, which must not change here.
	future := &Machine{now: max(m.now, at)}
	for _, program := range m.programs {
		if future.exceededLimit(program) != "" || future.removable(program) {
			return true
		}
		for _, call := range program.Open {
			if call.Ended() && future.now-call.EndedAt > call.retention() {
				return true
			}
		}
	}
	return false
}

// OpenCall describes a call that has not ended, and the gateway that executes it.
type OpenCall struct {
	Program    Key
	CallID     string
	Service    string
	Model      string
	Attempt    int
	Engine     string
	Gateway    string
	Execution  string
	State      CallState
	AdmittedAt int64
}

// OpenCalls lists the calls that have not ended.
func (m *Machine) OpenCalls() []OpenCall {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	var open []OpenCall
	for key, program := range m.programs {
		for _, call := range program.Open {
			if !call.Ended() {
				open = append(open, OpenCall{Program: key, CallID: call.ID, Service: call.Service, Model: call.Model, Attempt: call.Attempt, Engine: call.Engine, Gateway: call.Gateway, Execution: call.Execution, State: call.State, AdmittedAt: call.AdmittedAt})
			}
		}
	}
	return open
}

// HeldCache identifies an ended program's cache on an engine that may still hold it.
type HeldCache struct {
	Program Key
	Engine  string
	Service string
}

// HeldCaches lists the caches of ended programs whose release the engine has not confirmed.
func (m *Machine) HeldCaches() []HeldCache {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	var held []HeldCache
	for key, program := range m.programs {
		if !program.Ended() || program.hasOpenCalls() {
			continue
		}
		for engine, service := range program.Caches {
			held = append(held, HeldCache{Program: key, Engine: engine, Service: service})
		}
	}
	return held
}

// Summary is a program's state for operators and placement, without its history and ended calls.
type Summary struct {
	Key          Key    `json:"key"`
	Used         int64  `json:"used_tokens"`
	Reserved     int64  `json:"reserved_tokens"`
	Calls        int64  `json:"calls"`
	Messages     int    `json:"messages"`
	NextSequence uint64 `json:"next_sequence"`
	CreatedAt    int64  `json:"created_at_ms"`
	ActiveAt     int64  `json:"active_at_ms"`
	EndedAt      int64  `json:"ended_at_ms,omitempty"`
	EndReason    string `json:"end_reason,omitempty"`
	LastEngine   string `json:"last_engine,omitempty"`
	// WarmEngine is estimated to have the first WarmTokens of the next prompt in its cache: the engine of the program's
	// latest call or, for a program without calls, that of an ancestor with the same first message. Only Machine.Summary sets
	// them.
	WarmEngine string `json:"warm_engine,omitempty"`
	WarmTokens int64  `json:"warm_tokens,omitempty"`
	Open       []Call `json:"open_calls,omitempty"`
}

// Summaries lists the programs of a tenant, or of all tenants if tenant is empty.
func (m *Machine) Summaries(tenant string) []Summary {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	var result []Summary
	for _, program := range m.sortedPrograms() {
		if tenant == "" || program.Key.Tenant == tenant {
			result = append(result, program.summary())
		}
	}
	return result
}

// Summary returns the summary of one program, and whether the program exists.
func (m *Machine) Summary(key Key) (Summary, bool) {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	program := m.programs[key]
	if program == nil {
		return Summary{}, false
	}
	summary := program.summary()
	summary.WarmEngine, summary.WarmTokens = m.cachedPrefix(program)
	return summary, true
}

// cachedPrefix returns the engine that probably has a prefix of the program's next prompt in its cache, and the prefix's length.
func (m *Machine) cachedPrefix(program *Program) (engine string, tokens int64) {
	if program.LastEngine != "" {
		return program.LastEngine, program.LastTokens
	}
	for _, ancestor := range m.ancestors(program.Key) {
		if ancestor.LastEngine != "" && ancestor.FirstMessage == program.FirstMessage {
			return ancestor.LastEngine, program.FirstMessage.Tokens
		}
	}
	return "", 0
}

func (p *Program) summary() Summary {
	result := Summary{
		Key:          p.Key,
		Used:         p.Used,
		Reserved:     p.Reserved,
		Calls:        p.Calls,
		Messages:     p.Mark.Count,
		NextSequence: p.NextSequence,
		CreatedAt:    p.CreatedAt,
		ActiveAt:     p.ActiveAt,
		EndedAt:      p.EndedAt,
		EndReason:    p.EndReason,
		LastEngine:   p.LastEngine,
	}
	for _, call := range p.Open {
		if !call.Ended() {
			result.Open = append(result.Open, *call.withoutMessages())
		}
	}
	return result
}

// History returns a program's messages so far, oldest first.
func (m *Machine) History(key Key) []Message {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	if program := m.programs[key]; program != nil {
		return program.History.messages()
	}
	return nil
}

// OpenCallsBefore returns the IDs of the calls with a sequence number below sequence that have not ended.
func (m *Machine) OpenCallsBefore(key Key, sequence uint64) []string {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	program := m.programs[key]
	if program == nil {
		return nil
	}
	var open []string
	for _, call := range program.Open {
		if call.Sequence < sequence && !call.Ended() {
			open = append(open, call.ID)
		}
	}
	return open
}

// Call returns a copy of a call without its messages, and whether the call exists.
func (m *Machine) Call(key Key, callID string) (*Call, bool) {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	program := m.programs[key]
	if program == nil || program.Open[callID] == nil {
		return nil, false
	}
	return program.Open[callID].withoutMessages(), true
}

// Count returns the number of programs, ended ones included.
func (m *Machine) Count() int {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	return len(m.programs)
}
