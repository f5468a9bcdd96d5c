package program

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/zstd"

	"github.com/mountstile/mountstile/internal/apierr"
)

const (
	// CallRetentionMillis is how long an ended call with an idempotency key is kept.
	CallRetentionMillis = 60 * 60 * 1000
	// ProgramRetentionMillis is how long an ended program is kept.
	ProgramRetentionMillis = 60 * 60 * 1000
)

// Machine is the state machine of one partition's programs. Apply is called by one goroutine; methods that read are safe for
// concurrent use.
type Machine struct {
	mutex    sync.RWMutex
	programs map[Key]*Program
	// now is the highest time of any command in milliseconds since 1970. It does not go back when a new leader's clock is
	// behind.
	now      int64
	watchers map[Key]chan struct{}
}

// NewMachine returns a Machine without programs.
func NewMachine() *Machine {
	return &Machine{programs: make(map[Key]*Program), watchers: make(map[Key]chan struct{})}
}

// Apply implements replica.StateMachine; the result is a Result.
func (m *Machine) Apply(_ uint64, encoded []byte) any {
	var command Command
	if err := json.Unmarshal(encoded, &command); err != nil {
		return Result{Error: apierr.New(apierr.Internal, apierr.NotRun, "decoding a command: %s", err)}
	}
	return m.Execute(command)
}

// Execute applies a decoded command. The result depends only on the commands executed so far.
func (m *Machine) Execute(command Command) Result {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.now = max(m.now, command.At)
	switch {
	case command.Admit != nil:
		return m.admit(*command.Admit)
	case command.Dispatch != nil:
		return m.dispatch(*command.Dispatch)
	case command.Lose != nil:
		return m.loseAttempt(*command.Lose)
	case command.Complete != nil:
		return m.complete(*command.Complete)
	case command.Fail != nil:
		return m.failCall(*command.Fail)
	case command.End != nil:
		return m.end(*command.End)
	case command.Release != nil:
		return m.releaseCache(*command.Release)
	case command.Expire != nil:
		return m.expire()
	}
	return Result{Error: apierr.New(apierr.Internal, apierr.NotRun, "command without an operation")}
}

// notify closes the channel that Watch returned for a program.
func (m *Machine) notify(key Key) {
	if watcher := m.watchers[key]; watcher != nil {
		close(watcher)
		delete(m.watchers, key)
	}
}

// Watch returns a channel that is closed at the next change of a program, which need not exist yet.
func (m *Machine) Watch(key Key) <-chan struct{} {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.watchers[key] == nil {
		m.watchers[key] = make(chan struct{})
	}
	return m.watchers[key]
}

// ancestors returns the program and its existing ancestors, itself first.
func (m *Machine) ancestors(key Key) []*Program {
	var result []*Program
	for path := key.Path; ; {
		if found := m.programs[Key{key.Tenant, path}]; found != nil {
			result = append(result, found)
		}
		cut := strings.LastIndexByte(path, '/')
		if cut < 0 {
			return result
		}
		path = path[:cut]
	}
}

// descendants returns the program and all its sub-agents in a deterministic order.
func (m *Machine) descendants(key Key) []*Program {
	var found []*Program
	for candidate, program := range m.programs {
		if candidate == key || candidate.Tenant == key.Tenant && strings.HasPrefix(candidate.Path, key.Path+"/") {
			found = append(found, program)
		}
	}
	slices.SortFunc(found, func(a, b *Program) int { return strings.Compare(a.Key.Path, b.Key.Path) })
	return found
}

// sortedPrograms returns all programs in an order that is the same on every replica.
func (m *Machine) sortedPrograms() []*Program {
	list := slices.Collect(maps.Values(m.programs))
	slices.SortFunc(list, func(a, b *Program) int {
		if order := strings.Compare(a.Key.Tenant, b.Key.Tenant); order != 0 {
			return order
		}
		return strings.Compare(a.Key.Path, b.Key.Path)
	})
	return list
}

// snapshotState is the content of a snapshot.
type snapshotState struct {
	Now      int64      `json:"now"`
	Programs []*Program `json:"programs"`
}

// ErrSnapshot is returned for a snapshot that decodes, but is not a valid state.
type ErrSnapshot struct{ Reason string }

// Error implements error.
func (e *ErrSnapshot) Error() string { return "invalid snapshot of programs: " + e.Reason }

func (s snapshotState) validate() error {
	for _, program := range s.Programs {
		if program == nil {
			return &ErrSnapshot{Reason: "a program in the list is null"}
		}
		if !program.History.valid() {
			return &ErrSnapshot{Reason: "the history of program " + program.Key.Path + " is corrupt"}
		}
		for id, call := range program.Open {
			if call == nil || call.ID != id {
				return &ErrSnapshot{Reason: "call " + id + " of program " + program.Key.Path + " is missing or has another ID"}
			}
		}
	}
	return nil
}

var (
	zstdEncoder, _ = zstd.NewWriter(nil)
	zstdDecoder, _ = zstd.NewReader(nil)
)

// Snapshot implements replica.StateMachine.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	encoded, err := json.Marshal(snapshotState{Now: m.now, Programs: m.sortedPrograms()})
	if err != nil {
		return nil, errors.Wrap(err, "encoding the programs")
	}
	return zstdEncoder.EncodeAll(encoded, nil), nil
}

// Restore implements replica.StateMachine.
func (m *Machine) Restore(data []byte) error {
	var state snapshotState
	if len(data) > 0 {
		encoded, err := zstdDecoder.DecodeAll(data, nil)
		if err != nil {
			return errors.Wrap(err, "decompressing the programs")
		}
		if err := json.Unmarshal(encoded, &state); err != nil {
			return errors.Wrap(err, "decoding the programs")
		}
	}
	if err := state.validate(); err != nil {
		return err
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.now = state.Now
	m.programs = make(map[Key]*Program, len(state.Programs))
	for _, program := range state.Programs {
		// Empty maps are omitted from snapshots.
		if program.Open == nil {
			program.Open = make(map[string]*Call)
		}
		if program.Caches == nil {
			program.Caches = make(map[string]string)
		}
		m.programs[program.Key] = program
	}
	for key := range m.watchers {
		m.notify(key)
	}
	return nil
}
