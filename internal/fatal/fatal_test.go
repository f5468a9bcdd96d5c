package fatal

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// scene is a gateway's tracker with a clock.
type scene struct {
	*Tracker
	now time.Time
}

func newScene() *scene {
	return &scene{Tracker: NewTracker(), now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
}

func (s *scene) pass(duration time.Duration) { s.now = s.now.Add(duration) }

// run returns a run that took some time.
func (s *scene) run(engine string, took time.Duration) Run {
	return Run{Engine: engine, Service: "models", Software: "v1", SentAt: s.now.Add(-took), BrokenAt: s.now}
}

// interrupt interrupts a run of a call that took some time.
func (s *scene) interrupt(call Call, engine string, took time.Duration) {
	s.Interrupted(s.now, call, s.run(engine, took))
}

// interruptInLife interrupts a run of one call at engine e, in the life that began at startedMillis as far as that was known.
func (s *scene) interruptInLife(startedMillis int64, answered bool) {
	s.pass(minLife + time.Millisecond)
	broken := s.run("e", time.Millisecond)
	broken.StartedMillis, broken.Silent = startedMillis, !answered
	s.Interrupted(s.now, Call{Key: "k", Request: "r"}, broken)
}

// leave leaves a run that its engine may go on with.
func (s *scene) leave(call Call, engine string, took, mayRun time.Duration) {
	left := s.run(engine, took)
	left.MayRunUntil = s.now.Add(mayRun)
	s.Left(s.now, call, left)
}

// end ends the engine of a run of a call that takes some time.
func (s *scene) end(call Call, engine string, took time.Duration) {
	s.pass(took)
	s.interrupt(call, engine, took)
	s.EngineEnded(s.now, engine, "models", false)
}

// endThree ends three engines under one call.
func (s *scene) endThree(call Call) {
	for number := range MaxEnds {
		s.end(call, fmt.Sprint(call.Request, "-engine-", number), 50*time.Millisecond)
	}
}

// decide decides on the next run of a request that has no other in progress.
func (s *scene) decide(key Key) Decision { return Decide(s.Count(s.now, key), 0) }

func (s *scene) assertCount(t *testing.T, key Key, ended, undecided int) {
	t.Helper()
	assert.DeepEqual(t, s.Count(s.now, key), Count{Ended: ended, Undecided: undecided})
}

func TestRequestIsRefusedAfterEndingThreeEngines(t *testing.T) {
	s := newScene()
	call := Call{Key: "k", Request: "r1"}
	for number := range MaxEnds {
		assert.Equal(t, s.decide("k"), Admit, "after %d ends", number)
		s.end(call, fmt.Sprint("e", number), 50*time.Millisecond)
	}
	assert.Equal(t, s.decide("k"), Refuse)
	assert.Equal(t, s.decide("other"), Admit)
	engines, isNew := s.Refused(s.now, "k")
	assert.DeepEqual(t, engines, []string{"e0", "e1", "e2"})
	assert.Assert(t, isNew)
	_, isNew = s.Refused(s.now, "k")
	assert.Assert(t, !isNew)
}

// Neither long runs nor engines that end for other reasons make an end count for less.
func TestEndsBesideManyOthersCount(t *testing.T) {
	s := newScene()
	call := Call{Key: "k", Request: "r1"}
	for number := range MaxEnds {
		for other := range 5 {
			s.pass(20 * time.Millisecond)
			s.EngineEnded(s.now, fmt.Sprint("other-", number, "-", other), "models", false)
		}
		s.end(call, fmt.Sprint("e", number), 2*time.Second)
	}
	assert.Equal(t, s.decide("k"), Refuse)
}

// A request under which engines of each software version end is refused, too.
func TestEndsOfSeveralSoftwareVersionsAddUp(t *testing.T) {
	s := newScene()
	for number := range MaxEnds {
		broken := s.run(fmt.Sprint("e", number), time.Millisecond)
		broken.Software = fmt.Sprint("v", number)
		s.Interrupted(s.now, Call{Key: "k"}, broken)
		s.EngineEnded(s.now, broken.Engine, "models", false)
	}
	assert.Equal(t, s.decide("k"), Refuse)
}

// Calls with the same content add up, also if they come from several callers or overlap.
func TestCallsWithTheSameContentAddUp(t *testing.T) {
	s := newScene()
	s.pass(50 * time.Millisecond)
	for number := range MaxEnds {
		s.interrupt(Call{Key: "k", Request: fmt.Sprint("r", number)}, fmt.Sprint("e", number), 50*time.Millisecond)
		s.EngineEnded(s.now, fmt.Sprint("e", number), "models", false)
	}
	assert.Equal(t, s.decide("k"), Refuse)
}

// Runs in progress count: each may end its engine, or complete.
func TestRunsInProgressAreWaitedFor(t *testing.T) {
	for _, row := range []struct {
		count    Count
		open     int
		expected Decision
	}{
		{Count{}, 2, Admit}, {Count{}, 3, Wait}, {Count{Sound: true}, 30, Admit}, {Count{Ended: 1, Sound: true}, 2, Wait}, {Count{Ended: 1}, 1, Admit}, {Count{Ended: 1}, 2, Wait}, {Count{Ended: 1, Undecided: 1}, 1, Wait},
		{Count{Undecided: 3}, 0, Wait}, {Count{Ended: 2}, 0, Admit}, {Count{Ended: 3}, 1, Wait}, {Count{Ended: 3}, 0, Refuse}, {Count{Ended: 3, Undecided: 1}, 0, Refuse},
	} {
		assert.Equal(t, Decide(row.count, row.open), row.expected, "%+v %d", row.count, row.open)
	}
}

// An engine that ends while it may go on with a run that was left has ended under it.
func TestEngineEndsUnderARunThatWasLeft(t *testing.T) {
	s := newScene()
	for number := range MaxEnds {
		call := Call{Key: "k", Request: fmt.Sprint("r", number)}
		s.leave(call, fmt.Sprint("e", number), 10*time.Millisecond, time.Second)
		s.leave(call, "sound", 10*time.Millisecond, time.Second)
		s.pass(900 * time.Millisecond)
		s.EngineEnded(s.now, fmt.Sprint("e", number), "models", false)
	}
	s.pass(time.Second)
	s.EngineEnded(s.now, "sound", "models", false)
	engines, _ := s.Refused(s.now, "k")
	assert.DeepEqual(t, engines, []string{"e0", "e1", "e2"})
}

// The end of an engine that is seen late may have come while it went on with a run.
func TestLateProofCountsForARunThatWasLeft(t *testing.T) {
	for _, late := range []bool{false, true} {
		s := newScene()
		s.leave(Call{Key: "k"}, "e", time.Millisecond, time.Second)
		s.pass(time.Second + maxLapse/2)
		s.EngineEnded(s.now, "e", "models", late)
		s.assertCount(t, "k", map[bool]int{false: 0, true: 1}[late], 0)
	}
}

// A run that was left because its engine was slow does not count once the engine answers. If another run ends an engine, it counts while the
// engine may go on with it.
func TestRunsThatWereLeftAreRecalled(t *testing.T) {
	s := newScene()
	slow := s.run("slow", 10*time.Millisecond)
	slow.MayRunUntil = s.now.Add(time.Second)
	s.Interrupted(s.now, Call{Key: "k"}, slow)
	s.pass(time.Millisecond)
	s.EngineAlive(s.now, "slow")
	assert.Assert(t, s.Empty() && len(s.left) == 1)
	assert.Equal(t, len(s.Recall(s.now, "k")), 0)
	s.end(Call{Key: "k"}, "e", 10*time.Millisecond)
	assert.DeepEqual(t, s.Recall(s.now, "k"), []string{"slow"})
	s.assertCount(t, "k", 1, 1)
	s.EngineAlive(s.now, "slow")
	s.assertCount(t, "k", 1, 1)
	s.pass(2 * time.Second)
	s.EngineAlive(s.now, "slow")
	s.assertCount(t, "k", 1, 0)
}

// A completed run shows that the request is not fatal, also to gateways that were told of its ends.
func TestCompletedRequestIsForgiven(t *testing.T) {
	s, other := newScene(), newScene()
	s.endThree(Call{Key: "k", Request: "r1"})
	other.now = s.now
	s.share(t, other)
	for _, name := range s.Completed("k") {
		other.Withdraw(name)
	}
	assert.Assert(t, s.Empty() && other.Empty())
}

// Content that was completed lately is run one call at a time when it has met too many ends, also at gateways that were told of them.
func TestSoundContentIsRunOneCallAtATime(t *testing.T) {
	s, other := newScene(), newScene()
	s.Sound(s.now, "k")
	s.endThree(Call{Key: "k", Request: "r"})
	other.now = s.now
	s.share(t, other)
	for _, gateway := range []*scene{s, other} {
		assert.DeepEqual(t, gateway.Count(gateway.now, "k"), Count{Ended: MaxEnds, Sound: true})
		assert.Equal(t, gateway.decide("k"), Admit)
		assert.Equal(t, Decide(gateway.Count(gateway.now, "k"), 1), Wait)
	}
	late := newScene()
	late.Sound(late.now, "k")
	late.pass(2*retention + time.Second)
	late.sound.has(late.now.Add(-retention), "k")
	late.endThree(Call{Key: "k", Request: "r"})
	assert.Equal(t, late.decide("k"), Refuse)
}

// A run that was left before the request was completed does not count later.
func TestCompletedRequestForgetsRunsThatWereLeft(t *testing.T) {
	s := newScene()
	s.leave(Call{Key: "k"}, "e", time.Millisecond, time.Second)
	s.Completed("k")
	s.EngineEnded(s.now, "e", "models", false)
	assert.Assert(t, s.Empty())
}

func TestSoundRequestsAreForgotten(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var sound soundRequests
	sound.add(now, "k")
	assert.Assert(t, sound.has(now.Add(retention), "k"))
	assert.Assert(t, !sound.has(now.Add(2*retention), "k"))
	for number := range 3 * maxSound {
		sound.add(now, Key(fmt.Sprint(number)))
	}
	assert.Assert(t, len(sound.young)+len(sound.old) <= 2*maxSound)
}

// A request is tried again when its ends are old.
func TestRefusedRequestIsForgiven(t *testing.T) {
	s := newScene()
	s.endThree(Call{Key: "k", Request: "r1"})
	assert.Equal(t, s.decide("k"), Refuse)
	s.pass(retention + time.Second)
	assert.Equal(t, s.decide("k"), Admit)
}

func TestOtherEndsOfAServiceAreKnown(t *testing.T) {
	s := newScene()
	s.end(Call{Key: "k"}, "own", time.Millisecond)
	s.EngineEnded(s.now, "other service", "apps", false)
	assert.Equal(t, s.Calm(s.now, "k", "models"), endRetention)
	s.EngineEnded(s.now, "e1", "models", false)
	s.pass(100 * time.Millisecond)
	s.EngineEnded(s.now, "e2", "models", false)
	s.pass(50 * time.Millisecond)
	assert.Equal(t, s.Calm(s.now, "k", "models"), 50*time.Millisecond)
	assert.Equal(t, s.Storm(s.now, "k", "models", 100*time.Millisecond), 1)
	assert.Equal(t, s.Storm(s.now, "k", "models", time.Second), 2)
}

// The memory is bounded, and the oldest requests are forgotten first.
func TestTrackerIsBounded(t *testing.T) {
	s := newScene()
	for number := range 2 * maxRequests {
		call := Call{Key: Key(fmt.Sprint("k", number)), Request: fmt.Sprint("r", number)}
		s.interrupt(call, "e", time.Millisecond)
		s.leave(call, "e2", time.Millisecond, time.Hour)
		s.pass(time.Millisecond)
	}
	assert.Assert(t, len(s.requests) <= maxRequests)
	assert.Assert(t, len(s.left) <= maxLeft)
	_, known := s.requests[Key(fmt.Sprint("k", 2*maxRequests-1))]
	assert.Assert(t, known)
	for number := range 3 * maxRunsPerRequest {
		s.interrupt(Call{Key: "many", Request: "r"}, fmt.Sprint("e", number), time.Millisecond)
	}
	assert.Equal(t, len(s.requests["many"].runs), maxRunsPerRequest)
	assertIndexed(t, s.Tracker)
}

func TestKeysDifferByEachPart(t *testing.T) {
	keys := make(map[Key]bool)
	for _, key := range []Key{
		KeyOf([]byte("body"), "a", "b"), KeyOf([]byte("body"), "ab", ""), KeyOf([]byte("body"), "", "ab"), KeyOf([]byte("bodyb"), "a", ""),
		KeyOf(nil, "a", "b"), KeyOf([]byte("other"), "a", "b"),
	} {
		keys[key] = true
	}
	assert.Equal(t, len(keys), 6)
	assert.Equal(t, KeyOf([]byte("body"), "a", "b"), KeyOf([]byte("body"), "a", "b"))
}
