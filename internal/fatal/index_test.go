package fatal

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The indexes hold each request that a walk over all of them would find, and none that was forgotten.
func TestIndexesMatchAWalkOverAllRequests(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 0))
		s, remote := newScene(), newScene()
		var reports []Report
		for range 200 {
			s.pass(time.Duration(random.IntN(400)) * time.Millisecond)
			remote.now = s.now
			step(random, s)
			step(random, remote)
			added, _ := remote.Unshared(s.now)
			reports = append(reports, added...)
			if len(reports) > 0 {
				report := reports[random.IntN(len(reports))]
				if random.IntN(3) == 0 {
					s.Withdraw(report.Name())
				} else {
					s.Apply(s.now, report)
				}
			}
			if random.IntN(2) == 0 {
				s.Unshared(s.now)
				assertNothingUnshared(t, s.Tracker)
			}
			assertIndexed(t, s.Tracker)
		}
	}
}

// step changes a tracker at random.
func step(random *rand.Rand, s *scene) {
	pick := func(prefix string, count int) string { return fmt.Sprint(prefix, random.IntN(count)) }
	call := Call{Key: Key(pick("k", 6)), Request: pick("r", 12)}
	switch random.IntN(8) {
	case 0, 1, 2:
		s.interrupt(call, pick("e", 5), time.Duration(random.IntN(100))*time.Millisecond)
	case 3:
		s.EngineEnded(s.now, pick("e", 5), "models", random.IntN(2) == 0)
	case 4:
		s.EngineAlive(s.now, pick("e", 5))
	case 5:
		s.leave(call, pick("e", 5), time.Millisecond, time.Duration(random.IntN(2000))*time.Millisecond)
	case 6:
		if random.IntN(3) == 0 {
			s.Completed(call.Key)
		}
		s.Count(s.now, call.Key)
	case 7:
		s.Recall(s.now, call.Key)
	}
}

func assertIndexed(t *testing.T, tracker *Tracker) {
	t.Helper()
	for key, known := range tracker.requests {
		for _, interrupted := range known.runs {
			if _, found := tracker.pending[interrupted.Engine][key]; interrupted.undecidedAt(interrupted.Engine) {
				assert.Assert(t, found, "%s at %s", key, interrupted.Engine)
			}
		}
	}
	for engine, keys := range tracker.pending {
		assert.Assert(t, len(keys) > 0, engine)
		for key := range keys {
			assert.Assert(t, tracker.requests[key] != nil, "%s at %s", key, engine)
		}
	}
	for key := range tracker.changed {
		assert.Assert(t, tracker.requests[key] != nil, key)
	}
}

func assertNothingUnshared(t *testing.T, tracker *Tracker) {
	t.Helper()
	for key := range tracker.requests {
		tracker.changed[key] = struct{}{}
	}
	reports, replaced := tracker.Unshared(time.Now())
	assert.Equal(t, len(reports)+len(replaced), 0)
}

// BenchmarkCompletedCall measures what the tracker adds to a call that was not interrupted, by the number of remembered requests.
func BenchmarkCompletedCall(b *testing.B) {
	for _, remembered := range []int{1, 1000} {
		b.Run(fmt.Sprint(remembered), func(b *testing.B) {
			s := newScene()
			for number := range remembered {
				s.end(Call{Key: Key(fmt.Sprint("k", number)), Request: fmt.Sprint("r", number)}, fmt.Sprint("e", number%16), time.Millisecond)
			}
			b.ResetTimer()
			for range b.N {
				s.EngineAlive(s.now, "e1")
				s.Count(s.now, "other")
				s.Completed("other")
				s.Unshared(s.now)
			}
		})
	}
}
