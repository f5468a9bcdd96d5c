package fatal

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
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

// Gateways that hear of ends of engines at different times count alike.
func TestGatewaysCountAlikeWheneverTheyHear(t *testing.T) {
	s, other := newScene(), newScene()
	for range MaxEnds {
		s.interruptInLife(5, true)
		s.EngineEnded(s.now, "e", "models", false)
	}
	other.now = s.now.Add(time.Second)
	reports, _ := s.Unshared(s.now)
	for _, report := range reports {
		other.Apply(other.now, report)
	}
	s.assertCount(t, "k", MaxEnds, 0)
	other.assertCount(t, "k", MaxEnds, 0)
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

// share passes all news of a tracker to another one, after encoding.
func (s *scene) share(t *testing.T, others ...*scene) {
	t.Helper()
	reports, withdrawn := s.Unshared(s.now)
	for _, other := range append(others, s) {
		for _, name := range withdrawn {
			other.Withdraw(name)
		}
		for _, report := range reports {
			encoded, err := report.Encode()
			assert.NilError(t, err)
			decoded, err := DecodeReport(report.Name(), encoded)
			assert.NilError(t, err)
			other.Apply(other.now, decoded)
		}
	}
}

// A caller that sends its request to one gateway after the other is refused after three ends, though no gateway has seen more than
// one of them.
func TestEndsCountOverGateways(t *testing.T) {
	var gateways []*scene
	for range MaxEnds + 1 {
		gateways = append(gateways, newScene())
	}
	for number, gateway := range gateways {
		assert.Equal(t, gateway.decide("k") == Refuse, number == MaxEnds, "attempt %d", number)
		gateway.end(Call{Key: "k", Request: fmt.Sprint("r", number)}, fmt.Sprint("e", number), 30*time.Millisecond)
		for _, other := range gateways {
			other.now = gateway.now
		}
		gateway.share(t, gateways...)
	}
}

// Other gateways hear of an interruption at once, and again if its engine has survived.
func TestInterruptionsAreSharedBeforeTheyAreDecided(t *testing.T) {
	s, other := newScene(), newScene()
	s.interrupt(Call{Key: "k", Request: "r"}, "e", time.Millisecond)
	s.share(t, other)
	other.assertCount(t, "k", 0, 1)
	other.pass(time.Millisecond)
	other.EngineAlive(other.now, "e")
	other.assertCount(t, "k", 0, 1)
	requests, _ := other.EngineEnded(other.now, "e", "models", false)
	assert.Equal(t, len(requests), 0)
	other.assertCount(t, "k", 1, 0)
	s.pass(time.Millisecond)
	s.EngineAlive(s.now, "e")
	s.share(t, other)
	assert.Assert(t, s.Empty() && other.Empty())
}

// A gateway that finds an engine in the life that another one's run had is sure that it has survived, also if that gateway is gone.
func TestAnyGatewayProvesThatALifeLasts(t *testing.T) {
	s, other := newScene(), newScene()
	for number := range int64(2) {
		broken := s.run("e", time.Millisecond)
		broken.StartedMillis = 7 + number
		s.Interrupted(s.now, Call{Key: "k", Request: "r"}, broken)
		s.pass(time.Second)
	}
	s.share(t, other)
	other.assertCount(t, "k", 0, 2)
	assert.DeepEqual(t, other.UndecidedEngines("k"), []string{"e"})
	other.LifeLasts(other.now, "e", 0)
	other.LifeLasts(other.now, "e", 9)
	other.assertCount(t, "k", 0, 2)
	other.LifeLasts(other.now, "e", 8)
	other.assertCount(t, "k", 0, 1)
	other.share(t, s)
	assert.Equal(t, len(s.requests["k"].runs), 1)
}

// Reports that arrive late keep the time between the ends that they tell of.
func TestLateReportsTellDistinctEnds(t *testing.T) {
	s, other := newScene(), newScene()
	for range MaxEnds {
		s.end(Call{Key: "k", Request: "r"}, "e", 10*time.Millisecond)
		s.Unshared(s.now)
		s.pass(time.Second)
	}
	other.now = s.now.Add(time.Minute)
	for _, report := range s.Reports(s.now, "k") {
		report.body.AgeMicros = 0
		other.Apply(other.now, report)
	}
	other.assertCount(t, "k", MaxEnds, 0)
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

func TestInvalidReportsAreRejected(t *testing.T) {
	valid := `{"e":"e1","s":"models","d":5,"b":6,"p":0.1,"c":7,"unknown":true}`
	_, err := DecodeReport("key/nonce", []byte(valid))
	assert.NilError(t, err)
	for _, row := range []struct{ name, body string }{
		{"key", valid}, {"/nonce", valid}, {"key/", valid}, {"", valid}, {"key/nonce", "{"}, {"key/nonce", "null"}, {"key/nonce", `{"s":"models"}`},
		{"key/nonce", `{"e":"e1","d":-1}`}, {"key/nonce", `{"e":"e1","a":9000000000000000000}`}, {"key/nonce", `{"e":7}`},
		{fmt.Sprintf("key/%064d", 1), valid},
	} {
		_, err := DecodeReport(row.name, []byte(row.body))
		var invalid *ErrReport
		assert.Assert(t, errors.As(err, &invalid), "%q %s", row.name, row.body)
	}
}

// Reports of the build before tell of ends that are proved; that build reads the fields that it knows, and takes each report for an end.
func TestReportsOfTheBuildBefore(t *testing.T) {
	s := newScene()
	for number := range MaxEnds {
		report, err := DecodeReport(fmt.Sprint("k/", number), fmt.Appendf(nil, `{"e":"e%d","s":"models","v":"v1","c":7,"a":1000,"d":5000,"b":6000,"p":0.3,"o":true}`, number))
		assert.NilError(t, err)
		s.Apply(s.now, report)
	}
	assert.Equal(t, s.decide("k"), Refuse)
	s.interrupt(Call{Key: "own", Request: "r"}, "e", time.Millisecond)
	reports, _ := s.Unshared(s.now)
	encoded, err := reports[0].Encode()
	assert.NilError(t, err)
	var fields struct {
		Engine   string  `json:"e"`
		Service  string  `json:"s"`
		Call     uint32  `json:"c"`
		Age      int64   `json:"a"`
		Exposure int64   `json:"d"`
		Since    int64   `json:"b"`
		Chance   float64 `json:"p"`
		Fatal    bool    `json:"f"`
	}
	assert.NilError(t, json.Unmarshal(encoded, &fields))
	assert.Equal(t, fields.Engine+fields.Service, "emodels")
	assert.Equal(t, fields.Exposure, time.Millisecond.Microseconds())
	assert.Assert(t, fields.Call != 0 && !fields.Fatal)
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
