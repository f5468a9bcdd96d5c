package fatal

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against two ends that count as one: a run that was sent before the end of the engine under another one was proved, waited behind the listening
// socket, and ended the next life. Gateways that hear of both later count the same.
func TestRunThatWaitsForTheNextLifeCountsByItself(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	at := func(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }
	for _, row := range []struct{ brokenMillis, ends int }{{400, 1}, {1500, 2}} {
		first, second, other := NewTracker(), NewTracker(), NewTracker()
		run := func(sent, broken int) Run {
			return Run{Engine: "e", Service: "s", StartedMillis: 7, SentAt: at(sent), BrokenAt: at(broken), Silent: true}
		}
		first.Interrupted(at(300), Call{Key: "k", Request: "a"}, run(0, 300))
		first.EngineEnded(at(340), "e", "s", false)
		reports, _ := first.Unshared(at(341))
		second.EngineEnded(at(342), "e", "s", false)
		for _, report := range reports {
			second.Apply(at(345), report)
		}
		second.Interrupted(at(row.brokenMillis), Call{Key: "k", Request: "b"}, run(320, row.brokenMillis))
		second.EngineEnded(at(row.brokenMillis+5), "e", "s", false)
		later := at(row.brokenMillis + 3000)
		assert.Equal(t, second.Count(later, "k").Ended, row.ends)
		for _, report := range second.Reports(later, "k") {
			other.Apply(later, report)
		}
		more, _ := second.Unshared(later)
		for _, report := range more {
			other.Apply(later, report)
		}
		assert.Equal(t, other.Count(later, "k").Ended, row.ends)
	}
}
