package fatal

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// An engine that restarts under its ID and ends again counts twice.
func TestEndsOfARestartedEngineCount(t *testing.T) {
	s := newScene()
	call := Call{Key: "k", Request: "r1"}
	for range MaxEnds {
		s.end(call, "e", 20*time.Millisecond)
		s.pass(60 * time.Millisecond)
	}
	assert.Equal(t, s.decide("k"), Refuse)
}

// Runs that overlap at one engine are interrupted by one end, unless they ran in different lives of it.
func TestEndsOfDifferentLivesAddUp(t *testing.T) {
	for _, differ := range []bool{false, true} {
		s := newScene()
		s.pass(20 * time.Millisecond)
		first := s.run("e", 20*time.Millisecond)
		first.StartedMillis = 5
		s.Interrupted(s.now, Call{Key: "k", Request: "r1"}, first)
		s.pass(100 * time.Millisecond)
		second := s.run("e", 115*time.Millisecond)
		second.StartedMillis = 5
		if differ {
			second.StartedMillis = 6
		}
		s.Interrupted(s.now, Call{Key: "k", Request: "r2"}, second)
		s.assertCount(t, "k", 0, map[bool]int{false: 1, true: 2}[differ])
	}
}

// Runs that a faulty link cuts before anything is answered tell of one end, also if the engine ends later. Once it is known to have ended, a further run
// tells of another one.
func TestUnansweredRunsTellOfOneEnd(t *testing.T) {
	s := newScene()
	for number := range 2 * MaxEnds {
		if number == MaxEnds {
			s.EngineEnded(s.now, "e", "models", false)
			s.assertCount(t, "k", 1, 0)
		}
		s.interruptInLife(5, number == 0)
	}
	// While they are undecided, the engine may have started again between them.
	s.assertCount(t, "k", 1, MaxEnds)
	s.EngineEnded(s.now, "e", "models", false)
	s.assertCount(t, "k", 2, 0)
}

// Unanswered runs that nobody has refuted tell of one end as well.
func TestUnansweredRunsThatStayUndecidedTellOfOneEnd(t *testing.T) {
	s := newScene()
	for number := range MaxEnds {
		s.interruptInLife(5, number == 0)
	}
	s.assertCount(t, "k", 0, MaxEnds)
	s.pass(2 * decisionTime)
	s.assertCount(t, "k", 1, 0)
}

// An engine may start again before the gateways know: a later run that it answered counts, whatever start was known, until the life that names it is
// shown to last.
func TestAnsweredRunsCountThoughTheyNameOneLife(t *testing.T) {
	for _, lasts := range []bool{false, true} {
		s := newScene()
		for range MaxEnds {
			s.interruptInLife(5, true)
		}
		s.assertCount(t, "k", 0, MaxEnds)
		s.pass(time.Millisecond)
		if lasts {
			s.LifeLasts(s.now, "e", 5)
		}
		s.EngineEnded(s.now, "e", "models", false)
		s.assertCount(t, "k", map[bool]int{false: MaxEnds, true: 0}[lasts], 0)
	}
}

// A run that was interrupted counts until it is shown that its engine survived. If that is never shown, it counts as an end.
func TestInterruptionsCountUntilTheEngineIsSeenAlive(t *testing.T) {
	for _, alive := range []bool{false, true} {
		s := newScene()
		for number := range MaxEnds {
			s.interrupt(Call{Key: "k", Request: "r1"}, fmt.Sprint("e", number), 20*time.Millisecond)
			assert.Assert(t, s.Undecided(fmt.Sprint("e", number)))
		}
		s.pass(time.Millisecond)
		s.assertCount(t, "k", 0, MaxEnds)
		assert.Equal(t, s.decide("k"), Wait)
		if alive {
			s.EngineAlive(s.now, "e0")
			assert.Equal(t, s.decide("k"), Admit)
			assert.Assert(t, !s.Undecided("e0"))
		}
		s.pass(decisionTime)
		assert.Equal(t, s.decide("k"), map[bool]Decision{false: Refuse, true: Admit}[alive])
	}
}

// A run that was cut off by an engine that lived does not count when the engine ends soon afterwards, under whatever request.
func TestEngineThatLivedIsNotHeldAgainstTheRequest(t *testing.T) {
	for _, seenAlive := range []bool{false, true} {
		s := newScene()
		call := Call{Key: "k", Request: "r1"}
		for number := range MaxEnds {
			engine := fmt.Sprint("e", number)
			s.pass(20 * time.Millisecond)
			s.interrupt(call, engine, 20*time.Millisecond)
			s.pass(20 * time.Millisecond)
			if seenAlive {
				s.EngineAlive(s.now, engine)
			}
			s.EngineEnded(s.now, engine, "models", false)
		}
		s.assertCount(t, "k", map[bool]int{false: 3, true: 0}[seenAlive], 0)
	}
}

// Interruptions during a life of an engine that outlasted them are no ends.
func TestInterruptionsWithinALifeAreNoEnds(t *testing.T) {
	s := newScene()
	before := s.now
	s.pass(20 * time.Millisecond)
	s.interrupt(Call{Key: "k"}, "e", 10*time.Millisecond)
	s.EngineLived(s.now.Add(time.Millisecond), s.now.Add(time.Second), "e")
	s.assertCount(t, "k", 0, 1)
	s.EngineLived(before, s.now.Add(time.Millisecond), "e")
	assert.Assert(t, s.Empty())
}

// The end of a run may be noticed after the engine has ended and started again: a life that began after the run was sent shows nothing of it.
func TestLaterLivesDoNotShowThatARunSurvived(t *testing.T) {
	s := newScene()
	s.pass(time.Second)
	s.interrupt(Call{Key: "k"}, "e", 500*time.Millisecond)
	s.EngineLived(s.now.Add(-100*time.Millisecond), s.now.Add(time.Second), "e")
	s.assertCount(t, "k", 0, 1)
	s.EngineLived(s.now.Add(-600*time.Millisecond), s.now.Add(time.Second), "e")
	assert.Assert(t, s.Empty())
}

// Runs at an engine that stays silent tell of one end; once it is known to have ended, a later silent run tells of another one.
func TestSilentEngineEndsOnce(t *testing.T) {
	for _, ended := range []bool{false, true} {
		s := newScene()
		for range MaxEnds {
			s.pass(time.Second)
			silent := s.run("e", 200*time.Millisecond)
			silent.Silent, silent.MayRunUntil = true, s.now
			s.Interrupted(s.now, Call{Key: "k"}, silent)
			if ended {
				s.pass(time.Millisecond)
				s.EngineEnded(s.now, "e", "models", false)
			}
		}
		count := s.Count(s.now, "k")
		assert.Equal(t, count.Ended+count.Undecided, map[bool]int{false: 1, true: MaxEnds}[ended])
	}
}

// An engine that ends while it runs several calls with the same content ends once under it.
func TestEngineEndsOnceUnderAllCallsThatItRuns(t *testing.T) {
	s := newScene()
	s.pass(20 * time.Millisecond)
	s.interrupt(Call{Key: "k", Request: "r1"}, "e", 20*time.Millisecond)
	s.pass(time.Millisecond)
	s.interrupt(Call{Key: "k", Request: "r2"}, "e", 15*time.Millisecond)
	requests, isNew := s.EngineEnded(s.now, "e", "models", false)
	assert.DeepEqual(t, requests, []string{"r1", "r2"})
	assert.Assert(t, isNew)
	s.assertCount(t, "k", 1, 0)
	_, isNew = s.EngineEnded(s.now, "e", "models", false)
	assert.Assert(t, !isNew)
}

// A run that begins at an engine after it has restarted does not inherit its earlier end.
func TestEarlierEndOfAnEngineIsNoProof(t *testing.T) {
	s := newScene()
	s.EngineEnded(s.now, "e", "models", false)
	s.pass(120 * time.Millisecond)
	s.interrupt(Call{Key: "k"}, "e", 20*time.Millisecond)
	s.assertCount(t, "k", 0, 1)
}

// An end that is proved before the interruption is noticed counts, also long before.
func TestEndMayBeProvedBeforeTheInterruption(t *testing.T) {
	s := newScene()
	s.pass(20 * time.Millisecond)
	s.EngineEnded(s.now, "e", "models", false)
	s.pass(time.Second)
	s.interrupt(Call{Key: "k"}, "e", time.Second+time.Millisecond)
	s.leave(Call{Key: "other"}, "e", time.Second+time.Millisecond, 0)
	s.assertCount(t, "k", 1, 0)
	s.assertCount(t, "other", 1, 0)
}
