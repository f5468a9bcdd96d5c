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

// Retention of what has ended, in milliseconds.
const (
	// CallRetention is how long an answer is kept for its idempotency key.
	CallRetention = 60 * 60 * 1000
	// ProgramRetention is how long an ended program is remembered.
	ProgramRetention = 60 * 60 * 1000
)

// Machine holds the programs of one partition. Apply is called by one goroutine; reading is safe
// from any.
type Machine struct {
	mutex    sync.RWMutex
	programs map[Key]*Program
	// now is the highest time that any command carried: it never goes back with a new leader.
	now     int64
	watches map[Key]chan struct{}
}

// NewMachine returns an empty Machine.
func NewMachine() *Machine {
	return &Machine{programs: make(map[Key]*Program), watches: make(map[Key]chan struct{})}
}

// Apply implements replica.StateMachine; the result is a Result.
func (m *Machine) Apply(_ uint64, encoded []byte) any {
	var command Command
	if err := json.Unmarshal(encoded, &command); err != nil {
		return Result{Error: apierr.New(apierr.Internal, apierr.NotRun, "undecodable command: %s", err)}
	}
	return m.Execute(command)
}

// Execute applies a decoded command.
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
		return m.lose(*command.Lose)
	case command.Complete != nil:
		return m.complete(*command.Complete)
	case command.Fail != nil:
		return m.failCall(*command.Fail)
	case command.End != nil:
		return m.end(*command.End)
	case command.Release != nil:
		return m.release(*command.Release)
	case command.Expire != nil:
		return m.expire()
	}
	return Result{Error: apierr.New(apierr.Internal, apierr.NotRun, "empty command")}
}

// changed wakes whoever waits for a program.
func (m *Machine) changed(key Key) {
	if watch := m.watches[key]; watch != nil {
		close(watch)
		delete(m.watches, key)
	}
}

// Watch returns a channel that is closed at the next change of a program.
func (m *Machine) Watch(key Key) <-chan struct{} {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.watches[key] == nil {
		m.watches[key] = make(chan struct{})
	}
	return m.watches[key]
}

// ancestors returns the program and all above it, itself first.
func (m *Machine) ancestors(key Key) []*Program {
	var chain []*Program
	for path := key.Path; ; {
		if found := m.programs[Key{key.Tenant, path}]; found != nil {
			chain = append(chain, found)
		}
		cut := strings.LastIndexByte(path, '/')
		if cut < 0 {
			return chain
		}
		path = path[:cut]
	}
}

// descendants returns the program and all sub-agents below it, in a fixed order.
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

// sortedPrograms keeps every replica's order the same.
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

// machineState is the form of a snapshot.
type machineState struct {
	Now      int64      `json:"now"`
	Programs []*Program `json:"programs"`
}

// ErrSnapshot means that a snapshot can't be the state of any replica.
type ErrSnapshot struct{ Reason string }

// Error implements error.
func (e *ErrSnapshot) Error() string { return "snapshot of programs: " + e.Reason }

func (s machineState) check() error {
	for _, program := range s.Programs {
		if program == nil {
			return &ErrSnapshot{Reason: "a program is missing"}
		}
		if !program.History.readable() {
			return &ErrSnapshot{Reason: "the history of program " + program.Key.Path + " can't be read"}
		}
		for id, call := range program.Open {
			if call == nil || call.ID != id {
				return &ErrSnapshot{Reason: "call " + id + " of program " + program.Key.Path + " is missing"}
			}
		}
	}
	return nil
}

var (
	snapshotEncoder, _ = zstd.NewWriter(nil)
	snapshotDecoder, _ = zstd.NewReader(nil)
)

// Snapshot implements replica.StateMachine.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	encoded, err := json.Marshal(machineState{Now: m.now, Programs: m.sortedPrograms()})
	if err != nil {
		return nil, errors.Wrap(err, "encoding the programs")
	}
	return snapshotEncoder.EncodeAll(encoded, nil), nil
}

// Restore implements replica.StateMachine.
func (m *Machine) Restore(data []byte) error {
	var state machineState
	if len(data) > 0 {
		encoded, err := snapshotDecoder.DecodeAll(data, nil)
		if err != nil {
			return errors.Wrap(err, "decompressing the programs")
		}
		if err := json.Unmarshal(encoded, &state); err != nil {
			return errors.Wrap(err, "decoding the programs")
		}
	}
	if err := state.check(); err != nil {
		return err
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.now = state.Now
	m.programs = make(map[Key]*Program, len(state.Programs))
	for _, program := range state.Programs {
		// An empty map is left out of a snapshot and comes back as none.
		if program.Open == nil {
			program.Open = make(map[string]*Call)
		}
		if program.Caches == nil {
			program.Caches = make(map[string]string)
		}
		m.programs[program.Key] = program
	}
	for key := range m.watches {
		m.changed(key)
	}
	return nil
}
