package coordinator

import (
	"slices"
	"sync"

	"github.com/mountstile/mountstile/internal/program"
)

// admissions holds the calls with a sequence number that this node has received and not admitted yet, by program. It is safe for
// concurrent use.
type admissions struct {
	mutex    sync.Mutex
	programs map[program.Key]*programAdmissions
}

type programAdmissions struct {
	sequences []uint64
	// left is closed when a call has been admitted or refused.
	left chan struct{}
}

func newAdmissions() *admissions {
	return &admissions{programs: make(map[program.Key]*programAdmissions)}
}

// add adds a call until done is called. A call without a sequence number is ignored: it has no particular predecessor.
func (a *admissions) add(key program.Key, sequence uint64) (done func()) {
	if sequence == 0 {
		return func() {}
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.programs[key] == nil {
		a.programs[key] = &programAdmissions{left: make(chan struct{})}
	}
	a.programs[key].sequences = append(a.programs[key].sequences, sequence)
	return func() { a.remove(key, sequence) }
}

func (a *admissions) remove(key program.Key, sequence uint64) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	found := a.programs[key]
	position := slices.Index(found.sequences, sequence)
	found.sequences = slices.Delete(found.sequences, position, position+1)
	close(found.left)
	found.left = make(chan struct{})
	if len(found.sequences) == 0 {
		delete(a.programs, key)
	}
}

// hasBefore reports whether a call with a lower sequence number is held.
func (a *admissions) hasBefore(key program.Key, sequence uint64) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	found := a.programs[key]
	return found != nil && slices.ContainsFunc(found.sequences, func(other uint64) bool { return other < sequence })
}

// left returns a channel that is closed when a call of the program has been admitted or refused. It is nil if none is held.
func (a *admissions) left(key program.Key) <-chan struct{} {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if found := a.programs[key]; found != nil {
		return found.left
	}
	return nil
}
