package turnstore

import (
	"math/rand/v2"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/mountstile/mountstile/internal/conversation"
)

// chargeIDBits is the number of random bits in a charge ID. IDs are unique within a program, and each open returns
// all of them from every replica, so they are kept short. Of a thousand charges of a program, two have the same ID in one
// of 500 million programs.
const chargeIDBits = 48

// OpenParams describes a turn that is about to be sent to an engine.
type OpenParams struct {
	Turn     string
	Program  string
	Previous string
	// Budget is how many tokens all turns of the program may generate together; negative means unlimited.
	Budget int64
	// Most is how many tokens this turn may generate.
	Most int64
	// Stream is set for streams that callers may resume at other gateways.
	Stream StreamParams
}

// StreamParams describes the stream of a turn.
type StreamParams struct {
	// ID is the ID of the attempt that began the stream, which is the turn itself unless its caller resumes one; empty if
	// the stream's origin is neither recorded nor read.
	ID string
	// Writer is the one that will probably begin the stream; zero if the caller resumes it.
	Writer conversation.Writer
}

// Begins reports whether the turn begins the stream.
func (p StreamParams) Begins() bool { return p.ID != "" && p.Writer != 0 }

// Resumed reports whether the turn goes on with a stream that another attempt began.
func (p StreamParams) Resumed() bool { return p.ID != "" && p.Writer == 0 }

// streamProgramPrefix begins the name under which the origin of a stream without a program is kept. The rest is a hash, since
// callers choose the IDs of their attempts, of any length.
const streamProgramPrefix = "stream/"

// chargedProgram returns the program that holds the turn's charge.
func (p OpenParams) chargedProgram() string {
	if p.Program == "" && p.Stream.ID != "" {
		return streamProgramPrefix + strconv.FormatUint(xxhash.Sum64String(p.Stream.ID), 36)
	}
	return p.Program
}

// shardKey returns the program whose shard the turn is opened in.
func (p OpenParams) shardKey() string {
	if p.charged() {
		return p.chargedProgram()
	}
	return p.Program
}

// budgeted reports whether the turn's tokens are reserved.
func (p OpenParams) budgeted() bool { return p.Budget >= 0 && p.Program != "" }

// charged reports whether the turn is opened with a charge. That reserves its tokens and, for a stream that begins, records
// its origin along with them. A stream that is resumed needs one so that the charges of its program are returned.
func (p OpenParams) charged() bool { return p.budgeted() || p.Stream.Resumed() }

// newCharge returns a charge with a new ID.
func (p OpenParams) newCharge() *conversation.Charge {
	charge := &conversation.Charge{Program: p.chargedProgram(), Turn: newChargeID()}
	if p.Stream.Begins() {
		charge.Turn = conversation.NewOrigin(p.Stream.ID, 0, p.Stream.Writer).ChargeID(rand.Uint32())
	}
	if p.budgeted() {
		charge.Tokens = p.Most
	}
	return charge
}

// newChargeID returns a random ID for a charge without an origin.
func newChargeID() string { return strconv.FormatUint(rand.Uint64()>>(64-chargeIDBits), 36) }
