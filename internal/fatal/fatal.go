// Package fatal counts the engines that end under a request, and recognizes fatal requests: those that end each engine that runs
// them, such as a prompt that makes an engine run out of memory ("query of death"). Retrying such a request at further engines would
// end all of them.
//
// The rule is a plain count: no run of a request begins once MaxEnds engines have ended under it. Whether they ended because of it
// makes no difference, since a request that only met them can't be told from one that ends engines quickly enough. The rule fails
// closed: a run that was interrupted counts as an end until it is shown that its engine survived, and runs in progress count as well
// for those that would begin beside them. So each run is announced before it begins, the first one too: its gateway may end, or notice
// the end of the engine late. A request of which any run completes starts from zero.
//
// Requests are identified by a hash of their content, since each attempt of a caller has an ID of its own and may reach another
// gateway. All ends under a content count, whichever calls and gateways ran it and whether these overlapped; an end that interrupted
// several runs of it counts once. Content that many callers send meets the ends of many engines: if it was completed lately, it is not refused,
// but run one call at a time until it is completed again. Gateways share interruptions at once, and withdraw those whose engines survived.
//
// Tracker is a state machine: it has no clock and does no I/O.
//
// Usage:
//
//	tracker := fatal.NewTracker()
//	tracker.Interrupted(now, call, fatal.Run{Engine: "e1", SentAt: sentAt, BrokenAt: now, ...})
//	tracker.EngineEnded(now, "e1", "models", false) // or EngineAlive
//	switch fatal.Decide(tracker.Count(now, call.Key), runsElsewhere) {
//	case fatal.Admit: ... tell other gateways, and send it ...
//	case fatal.Wait: ... decide again later ...
//	case fatal.Refuse: ... don't send it again ...
//	}
//	tracker.Completed(call.Key) // a run completed
package fatal

import (
	"encoding/base64"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// MaxEnds is how many engines may end under a request. No run of it begins after that.
const MaxEnds = 3

// Key identifies the content of a request: a hash in base64.
type Key string

// KeyOf returns the key of a request with these parts and this body.
func KeyOf(body []byte, parts ...string) Key {
	digest := xxhash.New()
	var length [8]byte
	for _, part := range parts {
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		// A digest's Write never fails.
		_, _ = digest.Write(length[:])
		_, _ = digest.WriteString(part)
	}
	_, _ = digest.Write(body)
	return Key(base64.RawURLEncoding.EncodeToString(digest.Sum(nil)))
}

// Count is how many engines have ended under a request since it was last completed, and how many of its interrupted runs may turn out to be such
// ends.
type Count struct {
	Ended, Undecided int
	// Sound is set if the request was completed lately.
	Sound bool
}

// Decision is what may be done with the next run of a request.
type Decision int

// The decisions. Wait means that the run must not begin yet; once it is known more, Decide may admit or refuse it.
const (
	Admit Decision = iota
	Wait
	Refuse
)

// Decide decides on the next run of a request. open is the number of its other runs that are in progress: each may end its engine, or
// complete and show that the request is sound.
func Decide(count Count, open int) Decision {
	switch {
	case count.Sound && (open == 0 || count.Ended+count.Undecided == 0):
		return Admit
	case count.Ended >= MaxEnds && open == 0:
		return Refuse
	case count.Ended+count.Undecided+open >= MaxEnds:
		return Wait
	}
	return Admit
}
