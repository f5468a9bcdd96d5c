package program

import (
	"strings"

	"github.com/mountstile/mountstile/internal/apierr"
)

// Reasons for the end of a program.
const (
	EndByCaller   = "ended by its caller"
	EndByOperator = "ended by an operator"
	EndIdle       = "idle for longer than its limit"
	EndAge        = "older than its limit"
)

// callRetentionWithoutKey covers repeated proposals of the same call after a change of leader.
const callRetentionWithoutKey = 60 * 1000

// end closes a program and its sub-agents. Calls that were never sent can't be any more; calls
// under way settle as usual.
func (m *Machine) end(request End) Result {
	if m.programs[request.Program] == nil {
		return refuse(apierr.NotFound, "there is no program %s", request.Program.Path)
	}
	for _, program := range m.descendants(request.Program) {
		m.endOne(program, request.Reason)
	}
	return Result{}
}

func (m *Machine) endOne(program *Program, reason string) {
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
			m.finish(program, call, Failed, nil, ended)
		}
	}
	m.changed(program.Key)
}

func (m *Machine) release(request ReleaseCache) Result {
	program := m.programs[request.Program]
	if program == nil || !program.Ended() {
		return refuse(apierr.NotFound, "there is no ended program %s", request.Program.Path)
	}
	delete(program.Caches, request.Engine)
	return Result{}
}

// expire ends programs over their limits and forgets what nobody can ask for any more.
func (m *Machine) expire() Result {
	for _, program := range m.sortedPrograms() {
		if reason := m.overLimit(program); reason != "" {
			m.endOne(program, reason)
		}
		m.forgetCalls(program)
		if m.forgettable(program) {
			delete(m.programs, program.Key)
		}
	}
	return Result{}
}

// overLimit returns why a program must end now, or "".
func (m *Machine) overLimit(program *Program) string {
	switch {
	case program.Ended():
		return ""
	case program.Limits.MaxMillis > 0 && m.now-program.CreatedAt > program.Limits.MaxMillis:
		return EndAge
	case program.Limits.IdleMillis > 0 && m.now-program.ActiveAt > program.Limits.IdleMillis && !program.busy():
		return EndIdle
	}
	return ""
}

func (m *Machine) forgetCalls(program *Program) {
	for id, call := range program.Open {
		if call.Ended() && m.now-call.EndedAt > call.retention() {
			delete(program.Open, id)
		}
	}
}

func (c *Call) retention() int64 {
	if c.IdempotencyKey != "" {
		return CallRetention
	}
	return callRetentionWithoutKey
}

// forgettable reports that a program has ended, holds no cache anywhere, and is past its retention.
func (m *Machine) forgettable(program *Program) bool {
	return program.Ended() && len(program.Caches) == 0 && !program.busy() && m.now-program.EndedAt > program.retention()
}

// retention is how long an ended program is remembered. Nobody else can name the program of a
// single call: it goes as soon as the call's answer has.
func (p *Program) retention() int64 {
	if strings.HasPrefix(p.Key.Path, EphemeralPrefix) && len(p.Open) == 0 {
		return 0
	}
	return ProgramRetention
}

// ExpiryDue reports whether an Expire command at the given time would change anything.
func (m *Machine) ExpiryDue(at int64) bool {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	future := &Machine{now: max(m.now, at)}
	for _, program := range m.programs {
		if future.overLimit(program) != "" || future.forgettable(program) {
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

// OpenCall names a call and the gateway that executes it.
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

// HeldCache names an engine that may hold an ended program's cache.
type HeldCache struct {
	Program Key
	Engine  string
	Service string
}

// HeldCaches lists the caches of ended programs that no engine has confirmed to be released.
func (m *Machine) HeldCaches() []HeldCache {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	var held []HeldCache
	for key, program := range m.programs {
		if !program.Ended() || program.busy() {
			continue
		}
		for engine, service := range program.Caches {
			held = append(held, HeldCache{Program: key, Engine: engine, Service: service})
		}
	}
	return held
}

// Summary is a program without its history, for operators.
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
	// WarmEngine probably holds the first WarmTokens of the next prompt: of the program's latest
	// call, or of the ancestor that a new program shares its first message with.
	WarmEngine string `json:"warm_engine,omitempty"`
	WarmTokens int64  `json:"warm_tokens,omitempty"`
	Open       []Call `json:"open_calls,omitempty"`
}

// Summaries lists the programs of a tenant, or of all tenants if it is empty.
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

// Summary returns one program.
func (m *Machine) Summary(key Key) (Summary, bool) {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	program := m.programs[key]
	if program == nil {
		return Summary{}, false
	}
	summary := program.summary()
	summary.WarmEngine, summary.WarmTokens = m.warmth(program)
	return summary, true
}

// warmth finds where the program's prefix is cached, and how much of it.
func (m *Machine) warmth(program *Program) (engine string, tokens int64) {
	if program.LastEngine != "" {
		return program.LastEngine, program.LastTokens
	}
	for _, ancestor := range m.ancestors(program.Key) {
		if ancestor.LastEngine != "" && ancestor.Opening == program.Opening {
			return ancestor.LastEngine, program.Opening.Tokens
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
			result.Open = append(result.Open, *call.public())
		}
	}
	return result
}

// History returns a program's messages so far.
func (m *Machine) History(key Key) []Message {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	if program := m.programs[key]; program != nil {
		return program.History.messages()
	}
	return nil
}

// OpenCallsBefore lists the calls before sequence that are under way.
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

// Call returns a copy of a call.
func (m *Machine) Call(key Key, callID string) (*Call, bool) {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	program := m.programs[key]
	if program == nil || program.Open[callID] == nil {
		return nil, false
	}
	return program.Open[callID].public(), true
}

// Count returns how many programs there are, ended ones included.
func (m *Machine) Count() int {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	return len(m.programs)
}
