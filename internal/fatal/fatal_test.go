package fatal

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// testFleet has a fixed number of engines of some software versions.
type testFleet struct {
	engines  int
	versions []string
}

func (f *testFleet) Engines(string) int { return f.engines }

func (f *testFleet) Serves(_, software string) bool {
	for _, version := range f.versions {
		if version == software {
			return true
		}
	}
	return false
}

// scene is a gateway's tracker with a clock.
type scene struct {
	*Tracker
	fleet *testFleet
	now   time.Time
}

func newScene() *scene {
	fleet := &testFleet{engines: 16, versions: []string{"v1"}}
	return &scene{Tracker: NewTracker(fleet), fleet: fleet, now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
}

func (s *scene) pass(duration time.Duration) { s.now = s.now.Add(duration) }

// begin returns a call that begins now.
func (s *scene) begin(key Key, request string) Call {
	return Call{Key: key, Request: request, BeganAt: s.now}
}

// interrupt interrupts a run of a call that took some time.
func (s *scene) interrupt(call Call, engine string, took time.Duration, first bool) {
	s.Interrupted(s.now, call, Run{Engine: engine, Service: "models", Software: "v1", SentAt: s.now.Add(-took), BrokenAt: s.now}, first)
}

// end ends the engine of a run of a call that takes some time.
func (s *scene) end(call Call, engine string, took time.Duration, first bool) {
	s.pass(took)
	s.interrupt(call, engine, took, first)
	s.EngineEnded(s.now, engine, "models", false)
}

// endThree ends three engines under one call.
func (s *scene) endThree(call Call, took time.Duration) {
	for number := range 3 {
		s.end(call, fmt.Sprint(call.Request, "-engine-", number), took, number == 0)
	}
}

// judgeWithheld judges a call, again each time it was withheld for as long as is asked for.
func (s *scene) judgeWithheld(call Call) bool {
	verdict := s.Judge(s.now, call)
	for verdict.Withhold > 0 {
		s.pass(verdict.Withhold)
		verdict = s.Judge(s.now, call)
	}
	return verdict.Fatal
}

func TestRequestIsFatalAfterEndingThreeEngines(t *testing.T) {
	s := newScene()
	call := s.begin("k", "r1")
	for number := range 3 {
		assert.Assert(t, !s.Judge(s.now, call).Fatal, "after %d ends", number)
		s.end(call, fmt.Sprint("e", number), 50*time.Millisecond, number == 0)
	}
	verdict := s.Judge(s.now, call)
	assert.Assert(t, verdict.Fatal && verdict.New)
	assert.DeepEqual(t, verdict.Engines, []string{"e0", "e1", "e2"})
	assert.Assert(t, !s.Judge(s.now, call).New)
	s.Failed(call)
	assert.Assert(t, s.Judge(s.now, s.begin("k", "r2")).Fatal, "a later attempt is not refused")
	assert.Assert(t, !s.Judge(s.now, s.begin("other", "r3")).Fatal)
}

// An engine that restarts under its ID and ends again counts twice.
func TestEndsOfARestartedEngineCount(t *testing.T) {
	s := newScene()
	call := s.begin("k", "r1")
	for number := range 3 {
		s.end(call, "e", 20*time.Millisecond, number == 0)
		s.pass(60 * time.Millisecond)
	}
	assert.Assert(t, s.Judge(s.now, call).Fatal)
}

// Interruptions whose engines did not end, or ended much later, don't count.
func TestBrokenConnectionsAreNoEnds(t *testing.T) {
	s := newScene()
	call := s.begin("k", "r1")
	for number := range 8 {
		s.pass(20 * time.Millisecond)
		s.interrupt(call, fmt.Sprint("e", number), 20*time.Millisecond, number == 0)
	}
	assert.Assert(t, !s.Judge(s.now, call).Fatal)
	s.pass(proofWindow + time.Millisecond)
	for number := range 8 {
		s.EngineEnded(s.now, fmt.Sprint("e", number), "models", false)
	}
	assert.Assert(t, !s.Judge(s.now, call).Fatal)
}

// A run that was cut off by an engine that lived does not count when the engine ends soon afterwards, under whatever request.
func TestEngineThatLivedIsNotHeldAgainstTheRequest(t *testing.T) {
	for _, seenAlive := range []bool{false, true} {
		s := newScene()
		call := s.begin("k", "r1")
		for number := range 3 {
			engine := fmt.Sprint("e", number)
			s.pass(20 * time.Millisecond)
			s.interrupt(call, engine, 20*time.Millisecond, number == 0)
			s.pass(20 * time.Millisecond)
			if seenAlive {
				s.EngineAlive(s.now, engine)
			} else {
				s.interrupt(call, engine, 10*time.Millisecond, false)
			}
			s.EngineEnded(s.now, engine, "models", false)
		}
		ended, _ := s.Ends(s.now, call)
		assert.Equal(t, ended, map[bool]int{false: 3, true: 0}[seenAlive])
	}
}

// An engine that ends while it runs several calls with the same content ends under each of them.
func TestEngineEndsUnderAllCallsThatItRuns(t *testing.T) {
	s := newScene()
	one, other := s.begin("k", "r1"), s.begin("k", "r2")
	s.pass(20 * time.Millisecond)
	s.interrupt(one, "e", 20*time.Millisecond, true)
	s.pass(time.Millisecond)
	s.interrupt(other, "e", 15*time.Millisecond, true)
	requests, isNew := s.EngineEnded(s.now, "e", "models", false)
	assert.DeepEqual(t, requests, []string{"r1", "r2"})
	assert.Assert(t, isNew)
	for _, call := range []Call{one, other} {
		ended, _ := s.Ends(s.now, call)
		assert.Equal(t, ended, 1)
	}
}

// Interruptions that turn out to be no ends leave nothing behind.
func TestRequestsWithoutEndsAreForgotten(t *testing.T) {
	s := newScene()
	call := s.begin("k", "r1")
	s.interrupt(call, "e", time.Millisecond, true)
	s.Failed(call)
	s.pass(time.Millisecond)
	s.EngineAlive(s.now, "e")
	assert.Assert(t, s.Empty())
}

// A run that begins at an engine after it has restarted does not inherit its earlier end.
func TestEarlierEndOfAnEngineIsNoProof(t *testing.T) {
	s := newScene()
	s.EngineEnded(s.now, "e", "models", false)
	s.pass(100 * time.Millisecond)
	call := s.begin("k", "r1")
	s.pass(20 * time.Millisecond)
	s.interrupt(call, "e", 20*time.Millisecond, true)
	ended, unexplained := s.Ends(s.now, call)
	assert.DeepEqual(t, []int{ended, unexplained}, []int{0, 1})
}

// An end that is proved before the interruption is noticed counts.
func TestEndMayBeProvedBeforeTheInterruption(t *testing.T) {
	s := newScene()
	call := s.begin("k", "r1")
	s.pass(20 * time.Millisecond)
	s.EngineEnded(s.now, "e", "models", false)
	s.pass(time.Millisecond)
	s.interrupt(call, "e", 21*time.Millisecond, true)
	ended, _ := s.Ends(s.now, call)
	assert.Equal(t, ended, 1)
}

// concurrentEnds lets six engines end under six calls with the same content that began at once, and returns one more call with it.
func (s *scene) concurrentEnds(meanwhile func()) Call {
	var calls []Call
	for number := range 6 {
		calls = append(calls, s.begin("k", fmt.Sprint("r", number)))
	}
	s.pass(50 * time.Millisecond)
	meanwhile()
	for number, call := range calls {
		s.interrupt(call, fmt.Sprint("e", number), 50*time.Millisecond, true)
		s.EngineEnded(s.now, fmt.Sprint("e", number), "models", false)
		s.Failed(call)
	}
	s.pass(200 * time.Millisecond)
	return s.begin("k", "later")
}

// Calls with the same content add up, also if they come from several callers or overlap: only the content can be fatal.
func TestConcurrentCallsWithTheSameContentAddUp(t *testing.T) {
	s := newScene()
	call := s.concurrentEnds(func() {})
	assert.Assert(t, s.judgeWithheld(call))
}

// When a rack fails, engines end under several calls with the same content at once, and others end without it.
func TestSharedContentOfAFailedRackIsNotFatal(t *testing.T) {
	s := newScene()
	call := s.concurrentEnds(func() {
		for number := range 6 {
			s.EngineEnded(s.now, fmt.Sprint("other", number), "models", false)
		}
	})
	assert.Assert(t, !s.judgeWithheld(call))
}

// Content that runs at most engines meets each end. It is not fatal while its other runs go on, and is if only engines that ran it end.
func TestSharedContentThatOutlivesEndsIsNotFatal(t *testing.T) {
	for _, lasting := range []int{0, 1, 20} {
		s := newScene()
		sentAt := s.now
		s.ObserveRuns(func(key Key, _ string) []time.Time {
			assert.Equal(t, key, Key("k"))
			return slices.Repeat([]time.Time{sentAt}, lasting)
		})
		call := s.concurrentEnds(func() {})
		assert.Equal(t, s.judgeWithheld(call), lasting < 20, "%d others", lasting)
	}
}

// Ends under calls that follow each other add up whether or not another call overlapped.
func TestOverlappingCallsAddUp(t *testing.T) {
	s := newScene()
	for number := range 3 {
		call := s.begin("k", fmt.Sprint("r", number))
		overlapping := s.begin("k", fmt.Sprint("overlapping", number))
		s.end(call, fmt.Sprint("e", number), 50*time.Millisecond, true)
		s.interrupt(overlapping, fmt.Sprint("e", number), 50*time.Millisecond, true)
		ended, _ := s.Ends(s.now, call)
		assert.Equal(t, ended, number+1, "an end under two calls counts once")
		s.Failed(overlapping)
		s.Failed(call)
		s.pass(100 * time.Millisecond)
	}
	assert.Assert(t, s.Judge(s.now, s.begin("k", "next")).Fatal)
}

// Runs after which the engine accepted connections count if it has started again, and only then: one for each new life that its record
// tells of, all if a probe has followed each of them.
func TestRestartedEngineEndedUnderRunsThatWereFollowedByConnections(t *testing.T) {
	for _, row := range []struct {
		prove    func(s *scene)
		expected int
	}{
		{func(s *scene) { s.EngineEnded(s.now, "e", "models", false) }, 0},
		{func(s *scene) { s.EngineRestarted(s.now, "e", "models", true) }, 3},
		{func(s *scene) { s.EngineRestarted(s.now, "e", "models", false) }, 1},
		{func(s *scene) {
			for range 3 {
				s.EngineRestarted(s.now, "e", "models", false)
			}
		}, 3},
	} {
		s := newScene()
		call := s.begin("k", "r1")
		for number := range 3 {
			s.pass(minLife)
			s.interrupt(call, "e", 10*time.Millisecond, number == 0)
			s.pass(time.Millisecond)
			s.EngineAccepted(s.now, "e")
		}
		ended, possible := s.Risk(s.now, "k", proofWindow)
		assert.DeepEqual(t, []int{ended, possible}, []int{0, 3})
		row.prove(s)
		ended, _ = s.Risk(s.now, "k", proofWindow)
		assert.Equal(t, ended, row.expected)
		assert.Equal(t, s.Judge(s.now, call).Fatal, row.expected == 3)
	}
}

// Interruptions during a life of an engine that outlasted them are no ends.
func TestInterruptionsWithinALifeAreNoEnds(t *testing.T) {
	s := newScene()
	call := s.begin("k", "r1")
	before := s.now
	s.pass(20 * time.Millisecond)
	s.interrupt(call, "e", 10*time.Millisecond, true)
	s.EngineLived(s.now.Add(time.Millisecond), s.now.Add(time.Second), "e")
	_, possible := s.Risk(s.now, "k", proofWindow)
	assert.Equal(t, possible, 1, "the life began after the interruption")
	s.EngineLived(before, s.now.Add(time.Millisecond), "e")
	_, possible = s.Risk(s.now, "k", proofWindow)
	assert.Equal(t, possible, 0)
}

// An engine that ends shortly after a caller has left a run ended under it.
func TestEngineEndsUnderARunThatItsCallerHasLeft(t *testing.T) {
	s := newScene()
	for number := range 3 {
		call := s.begin("k", fmt.Sprint("r", number))
		s.pass(20 * time.Millisecond)
		s.Abandoned(call, Run{Engine: fmt.Sprint("e", number), Service: "models", Software: "v1", SentAt: s.now.Add(-10 * time.Millisecond), BrokenAt: s.now})
		s.Abandoned(call, Run{Engine: "sound", Service: "models", Software: "v1", SentAt: s.now.Add(-10 * time.Millisecond), BrokenAt: s.now})
		s.pass(abandonWindow / 2)
		s.EngineEnded(s.now, fmt.Sprint("e", number), "models", false)
	}
	s.pass(abandonWindow)
	s.EngineEnded(s.now, "sound", "models", false)
	verdict := s.Judge(s.now, s.begin("k", "next"))
	assert.Assert(t, verdict.Fatal)
	assert.DeepEqual(t, verdict.Engines, []string{"e0", "e1", "e2"})
}

// Popular content that engines of a version complete all the time is not fatal for them, however often it meets their ends, and may be for
// another version.
func TestContentThatWasCompletedIsNotFatalForThatSoftware(t *testing.T) {
	s := newScene()
	s.fleet.versions = []string{"v1", "v2"}
	s.Sound(s.now, "k", "v1")
	call := s.begin("k", "r1")
	s.endThree(call, 50*time.Millisecond)
	assert.Assert(t, !s.Known("k"))
	assert.Assert(t, !s.judgeWithheld(call))
	s.Failed(call)
	for number := range 3 {
		s.pass(50 * time.Millisecond)
		engine := fmt.Sprint("other version ", number)
		s.Interrupted(s.now, call, Run{Engine: engine, Service: "models", Software: "v2", SentAt: s.now.Add(-20 * time.Millisecond), BrokenAt: s.now}, number == 0)
		s.EngineEnded(s.now, engine, "models", false)
	}
	assert.Assert(t, s.judgeWithheld(call))
}

// What is known of completed requests is bounded and expires.
func TestSoundRequestsAreForgotten(t *testing.T) {
	var sound soundRequests
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for number := range 3 * maxSound {
		sound.add(now, soundKey{Key(fmt.Sprint("k", number)), "v"})
	}
	assert.Assert(t, len(sound.young)+len(sound.old) <= 2*maxSound)
	last := soundKey{Key(fmt.Sprint("k", 3*maxSound-1)), "v"}
	assert.Assert(t, sound.has(now.Add(soundRetention/2), last))
	assert.Assert(t, sound.has(now.Add(soundRetention), last))
	assert.Assert(t, !sound.has(now.Add(2*soundRetention), last))
}

// An engine whose end is known before its run is given up ended under it, also if that is long before.
func TestEndIsKnownBeforeARunIsGivenUp(t *testing.T) {
	s := newScene()
	call := s.begin("k", "r1")
	s.pass(10 * time.Millisecond)
	s.EngineEnded(s.now, "e", "models", true)
	s.pass(proofWindow / 2)
	s.Abandoned(call, Run{Engine: "e", Service: "models", Software: "v1", SentAt: call.BeganAt, BrokenAt: s.now})
	ended, _ := s.Ends(s.now, call)
	assert.Equal(t, ended, 1)
}

// Interruptions that nothing explains are forgotten.
func TestUnexplainedInterruptionsAreForgotten(t *testing.T) {
	s := newScene()
	call := s.begin("k", "r1")
	s.interrupt(call, "e", time.Millisecond, true)
	s.Failed(call)
	s.Sweep(s.now.Add(proofWindow / 2))
	assert.Assert(t, !s.Empty())
	s.Sweep(s.now.Add(2 * proofWindow))
	assert.Assert(t, s.Empty())
}

// share passes all news of a tracker to another one, after encoding.
func (s *scene) share(t *testing.T, other *scene) {
	t.Helper()
	reports, replaced := s.Unshared(s.now)
	for _, name := range replaced {
		other.Withdraw(name)
	}
	for _, report := range reports {
		encoded, err := report.Encode()
		assert.NilError(t, err)
		decoded, err := DecodeReport(report.Name(), encoded)
		assert.NilError(t, err)
		s.Apply(s.now, decoded)
		other.Apply(s.now, decoded)
	}
}

// A caller that sends its request to one gateway after the other is refused after three ends, though no gateway has seen more than
// one of them.
func TestEndsCountOverGateways(t *testing.T) {
	var gateways []*scene
	for range 4 {
		gateways = append(gateways, newScene())
	}
	now := gateways[0].now
	for number, gateway := range gateways {
		gateway.now = now
		call := gateway.begin("k", fmt.Sprint("r", number))
		assert.Equal(t, gateway.Judge(gateway.now, call).Fatal, number == 3, "attempt %d", number)
		if number == 3 {
			break
		}
		gateway.end(call, fmt.Sprint("e", number), 30*time.Millisecond, true)
		gateway.Failed(call)
		for _, other := range gateways {
			if other != gateway {
				gateway.share(t, other)
			}
		}
		// The first of these shares has marked the reports as sent; the others get copies.
		for _, other := range gateways {
			copyReports(gateway, other)
		}
		now = gateway.now.Add(200 * time.Millisecond)
	}
}

// copyReports passes on reports that were shared before.
func copyReports(from, to *scene) {
	if from == to {
		return
	}
	for key, known := range from.requests {
		for _, ended := range known.runs {
			if ended.report != "" {
				to.Apply(from.now, Report{key: key, name: ended.report, body: reportBody{
					Engine: ended.Engine, Service: ended.Service, Software: ended.Software, Call: ended.call, Chance: ended.chance, Fatal: known.fatal,
					AgeMicros: from.now.Sub(ended.BrokenAt).Microseconds(), ExposureMicros: ended.BrokenAt.Sub(ended.SentAt).Microseconds(),
					CallMicros: ended.BrokenAt.Sub(ended.beganAt).Microseconds(),
				}})
			}
		}
	}
}

// A verdict holds at a gateway that learns of it later, whatever it knows of other ends.
func TestVerdictHoldsAtOtherGateways(t *testing.T) {
	s, other := newScene(), newScene()
	call := s.begin("k", "r1")
	s.endThree(call, 50*time.Millisecond)
	assert.Assert(t, s.Judge(s.now, call).Fatal)
	s.Failed(call)
	other.now = s.now
	for number := range 6 {
		other.EngineEnded(other.now, fmt.Sprint("elsewhere", number), "models", false)
	}
	s.share(t, other)
	assert.Assert(t, other.Judge(other.now, other.begin("k", "r2")).Fatal)
}

// A completed run shows that the request is not fatal, also to gateways that were told of its ends.
func TestCompletedRequestIsForgiven(t *testing.T) {
	s, other := newScene(), newScene()
	call := s.begin("k", "r1")
	s.endThree(call, 50*time.Millisecond)
	s.Failed(call)
	other.now = s.now
	s.share(t, other)
	for _, name := range s.Completed("k") {
		other.Withdraw(name)
	}
	assert.Assert(t, !s.Judge(s.now, s.begin("k", "r2")).Fatal)
	assert.Assert(t, !other.Judge(other.now, other.begin("k", "r3")).Fatal)
	assert.Assert(t, s.Empty() && other.Empty())
}

// A request is tried again once all engines have another version of their software, and when its ends are old.
func TestFatalRequestIsForgiven(t *testing.T) {
	s := newScene()
	call := s.begin("k", "r1")
	s.endThree(call, 50*time.Millisecond)
	s.Failed(call)
	assert.Assert(t, s.Judge(s.now, s.begin("k", "r2")).Fatal)
	s.fleet.versions = []string{"v2"}
	assert.Assert(t, !s.Judge(s.now, s.begin("k", "r3")).Fatal)
	s.fleet.versions = []string{"v1", "v2"}
	assert.Assert(t, s.Judge(s.now, s.begin("k", "r4")).Fatal)
	s.pass(retention + time.Second)
	assert.Assert(t, !s.Judge(s.now, s.begin("k", "r5")).Fatal)
}

// Ends that other engines share at about the same rate are put down to chance; without them the same ends are not.
func TestEndsBesideManyOthersAreNotFatal(t *testing.T) {
	s := newScene()
	call := s.begin("k", "r1")
	for number := range 3 {
		for other := range 3 {
			s.EngineEnded(s.now, fmt.Sprint("other", number, other), "models", false)
		}
		s.end(call, fmt.Sprint("e", number), 150*time.Millisecond, number == 0)
	}
	s.EngineEnded(s.now, "other", "models", false)
	verdict := s.Judge(s.now, call)
	assert.Assert(t, !verdict.Fatal, "chance %g", verdict.Chance)
	s.pass(verdict.Withhold)
	assert.Assert(t, !s.Judge(s.now, call).Fatal)
}

// Engines of other services tell nothing.
func TestEndsOfOtherServicesAreIgnored(t *testing.T) {
	s := newScene()
	for number := range 12 {
		s.EngineEnded(s.now, fmt.Sprint("app", number), "apps", false)
	}
	call := s.begin("k", "r1")
	s.endThree(call, 50*time.Millisecond)
	assert.Assert(t, s.Judge(s.now, call).Fatal)
}

// While ends of other engines leave it open, the request is withheld; it is fatal if they stop meanwhile.
func TestRequestIsFatalIfNoEngineEndsWhileItIsWithheld(t *testing.T) {
	for _, othersGoOn := range []bool{false, true} {
		s := newScene()
		call := s.begin("k", "r1")
		for number := range 3 {
			s.EngineEnded(s.now, fmt.Sprint("other", number), "models", false)
			s.pass(withholdTime)
			s.end(call, fmt.Sprint("e", number), 100*time.Millisecond, number == 0)
			s.pass(15 * time.Millisecond)
		}
		verdict := s.Judge(s.now, call)
		assert.Assert(t, !verdict.Fatal && verdict.Withhold > 0, "%+v", verdict)
		s.pass(verdict.Withhold / 2)
		if othersGoOn {
			s.EngineEnded(s.now, "one more", "models", false)
		}
		s.pass(verdict.Withhold)
		assert.Equal(t, s.Judge(s.now, call).Fatal, !othersGoOn)
	}
}

// A request that was interrupted by fatal ones each time is not fatal, whether these are known to be or may be.
func TestRequestThatMetFatalOnesIsNotFatal(t *testing.T) {
	for _, judged := range []bool{false, true} {
		s := newScene()
		victim := s.begin("victim", "v")
		for number, name := range []string{"a", "b", "c"} {
			culprit := s.begin(Key(name), name)
			s.pass(40 * time.Millisecond)
			shared := fmt.Sprint("shared", number)
			s.interrupt(culprit, shared, 40*time.Millisecond, true)
			s.interrupt(victim, shared, 40*time.Millisecond, number == 0)
			s.EngineEnded(s.now, shared, "models", false)
			for further := range 2 {
				s.end(culprit, fmt.Sprint(name, further), 40*time.Millisecond, false)
			}
			if judged {
				assert.Assert(t, s.judgeWithheld(culprit))
			}
		}
		assert.Assert(t, !s.judgeWithheld(victim))
		for _, name := range []string{"a", "b", "c"} {
			assert.Assert(t, s.judgeWithheld(Call{Key: Key(name), Request: name}), name)
		}
	}
}

// Of two requests that ran at the same engines, the one that ended them sooner is fatal; which is judged first makes no difference.
func TestRequestThatRanLongerAtTheSameEnginesIsNotFatal(t *testing.T) {
	for _, victimFirst := range []bool{false, true} {
		s := newScene()
		culprit, victim := s.begin("culprit", "c"), s.begin("victim", "v")
		for number := range 3 {
			s.pass(40 * time.Millisecond)
			shared := fmt.Sprint("shared", number)
			s.interrupt(culprit, shared, 10*time.Millisecond, number == 0)
			s.interrupt(victim, shared, 30*time.Millisecond, number == 0)
			s.EngineEnded(s.now, shared, "models", false)
		}
		if victimFirst {
			assert.Assert(t, !s.judgeWithheld(victim))
		}
		assert.Assert(t, s.judgeWithheld(culprit))
		assert.Assert(t, !s.judgeWithheld(victim))
		s.pass(40 * time.Millisecond)
		s.end(victim, "one more", 30*time.Millisecond, false)
		assert.Assert(t, !s.judgeWithheld(victim))
	}
}

// While other engines end, a request is judged again until it shows whether these end under fatal requests, too.
func TestRequestIsJudgedAgainUntilOtherEndsAreExplained(t *testing.T) {
	for _, explained := range []bool{true, false} {
		s := newScene()
		call, other := s.begin("k", "r1"), s.begin("other", "r2")
		for number := range 3 {
			s.pass(60 * time.Millisecond)
			s.interrupt(call, fmt.Sprint("e", number), 60*time.Millisecond, number == 0)
			s.EngineEnded(s.now, fmt.Sprint("e", number), "models", false)
			s.EngineEnded(s.now, fmt.Sprint("f", number), "models", false)
			if explained && number < 2 {
				s.interrupt(other, fmt.Sprint("f", number), 60*time.Millisecond, number == 0)
			}
		}
		brokenAt := s.now
		verdict := s.Judge(s.now, call)
		assert.Assert(t, !verdict.Fatal && verdict.Withhold == withholdTime, "%+v", verdict)
		s.pass(verdict.Withhold)
		verdict = s.Judge(s.now, call)
		assert.Assert(t, !verdict.Fatal && verdict.Withhold == withholdTime, "%+v", verdict)
		if explained {
			s.Interrupted(s.now, other, Run{Engine: "f2", Service: "models", Software: "v1", SentAt: brokenAt.Add(-60 * time.Millisecond), BrokenAt: brokenAt}, false)
		}
		s.pass(verdict.Withhold)
		assert.Equal(t, s.judgeWithheld(call), explained)
		assert.Equal(t, s.Judge(s.now, call).Withhold, time.Duration(0))
	}
}

// Ends under fatal requests don't make it more likely that engines end by themselves.
func TestEndsUnderFatalRequestsDoNotRaiseTheRate(t *testing.T) {
	s := newScene()
	call := s.begin("k", "r1")
	s.endThree(call, 60*time.Millisecond)
	alone := s.Judge(s.now, call).Chance
	s = newScene()
	for name := range 3 {
		culprit := s.begin(Key(fmt.Sprint("c", name)), fmt.Sprint("c", name))
		s.endThree(culprit, 10*time.Millisecond)
		assert.Assert(t, s.judgeWithheld(culprit))
	}
	call = s.begin("k", "r1")
	s.endThree(call, 60*time.Millisecond)
	assert.Equal(t, s.Judge(s.now, call).Chance, alone)
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

// The memory is bounded, and the oldest requests are forgotten first.
func TestTrackerIsBounded(t *testing.T) {
	s := newScene()
	for number := range 2 * maxRequests {
		call := s.begin(Key(fmt.Sprint("k", number)), fmt.Sprint("r", number))
		s.interrupt(call, "e", time.Millisecond, true)
		s.Failed(call)
		s.pass(time.Millisecond)
	}
	assert.Assert(t, len(s.requests) <= maxRequests)
	_, known := s.requests[Key(fmt.Sprint("k", 2*maxRequests-1))]
	assert.Assert(t, known)
	call := s.begin("many", "r")
	for number := range 3 * maxRunsPerRequest {
		s.interrupt(call, "e", time.Millisecond, number == 0)
	}
	assert.Equal(t, len(s.requests["many"].runs), maxRunsPerRequest)
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
