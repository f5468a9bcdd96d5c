// Package fatal recognizes fatal requests: those that end each engine that runs them, such as a prompt that makes an engine
// run out of memory ("query of death"). Retrying such a request at further engines would end all of them.
//
// An engine runs many requests at once, and most of those that are interrupted by its end have not caused it. A request counts
// as fatal once several engines have ended under it, one after the other, and chance is an unlikely explanation: the product of
// the probabilities that each of these engines ended by itself during the run is small. The probability follows from the duration
// of the run and the rate at which other engines of the service ended around that time. A request of which any run completes is
// not fatal.
//
// Requests are identified by a hash of their content, since each attempt of a caller has an ID of its own and may reach another
// gateway. All ends under a content count, whichever calls and gateways ran it and whether these overlapped; an end that interrupted
// several runs of it counts once. Popular content meets the ends of many engines: it is told by its other runs, which go on for longer, and by
// those that engines have completed. Gateways share the ends as soon as they are proved.
//
// Tracker is a state machine: it has no clock and does no I/O.
//
// Usage:
//
//	tracker := fatal.NewTracker(fleet)
//	tracker.ObserveRuns(runsInProgress)
//	tracker.Interrupted(now, call, fatal.Run{Engine: "e1", SentAt: sentAt, BrokenAt: now, ...}, true)
//	tracker.EngineEnded(now, "e1", "models", false)
//	ended, possible := tracker.Risk(now, call.Key, proofTime) // wait while these may become too many
//	if tracker.Judge(now, call).Fatal { ... don't send it again ... }
//	tracker.Completed(call.Key) // a run completed: the request is not fatal
package fatal

import (
	"encoding/base64"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

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
