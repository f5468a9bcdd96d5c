package replica

import (
	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/consensus"
)

// ErrLeadershipLost is the error of a proposal that was pending when its replica lost the leadership. The next leader may commit the
// command or drop it.
type ErrLeadershipLost struct {
	cause   *apierr.Error
	applied <-chan bool
}

func newErrLeadershipLost(applied <-chan bool) *ErrLeadershipLost {
	return &ErrLeadershipLost{
		cause:   apierr.New(apierr.NotLeader, apierr.OutcomeUnknown, "leadership changed while the proposal was pending"),
		applied: applied,
	}
}

// Error implements error.
func (e *ErrLeadershipLost) Error() string { return e.cause.Error() }

// Unwrap returns an *apierr.Error with the code NotLeader.
func (e *ErrLeadershipLost) Unwrap() error { return e.cause }

// Applied returns a channel that receives whether the command was applied, as soon as the log of this replica shows it. It is closed
// without a value if that can't be known.
func (e *ErrLeadershipLost) Applied() <-chan bool { return e.applied }

// fate is a command that was pending when this replica lost the leadership.
type fate struct {
	term    uint64
	applied chan bool
}

// fates holds such commands by their log index.
type fates map[uint64]fate

// add returns the channel for ErrLeadershipLost. Another command at the index is superseded, so its fate isn't known any more.
func (f fates) add(index, term uint64) <-chan bool {
	if previous, exists := f[index]; exists {
		close(previous.applied)
	}
	added := fate{term: term, applied: make(chan bool, 1)}
	f[index] = added
	return added.applied
}

// resolve reports what an applied entry shows. Terms never decrease along a log, so that an entry of a later term excludes commands
// of earlier terms at its own and all higher indexes.
func (f fates) resolve(entry consensus.Entry) {
	for index, pending := range f {
		switch {
		case index == entry.Index && pending.term == entry.Term:
			pending.applied <- true
		case index >= entry.Index && pending.term < entry.Term:
			pending.applied <- false
		default:
			continue
		}
		delete(f, index)
	}
}

// forget closes the channels of the commands up to an index, whose entries this replica won't see.
func (f fates) forget(last uint64) {
	for index, pending := range f {
		if index <= last {
			close(pending.applied)
			delete(f, index)
		}
	}
}
