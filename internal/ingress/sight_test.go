package ingress

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// brokenOnce breaks off after the first half, fails once, and then brings the rest.
func brokenOnce(call *engineCall) {
	switch call.number {
	case 1:
		call.beginStream()
		call.chunk(firstHalf)
		call.reset()
	case 2:
		call.answer(500, "out of memory\n")
	default:
		call.rest()
	}
}

// Each resumption has a line, with what it was to go on after and what it brought, and the stream one on how it ended.
func TestResumptionsAreLogged(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	s.engine("e", brokenOnce)
	assert.NilError(t, s.send("/resume/", "c1", "").err)
	eventually(t, "the stream's line is written", func() bool { return strings.Contains(s.logged(), `"name":"request_ended"`) })
	var resumed []string
	ended := ""
	for _, line := range strings.Split(s.logged(), "\n") {
		switch {
		case strings.Contains(line, `"name":"stream_resumed"`):
			resumed = append(resumed, line)
		case strings.Contains(line, `"name":"request_ended"`):
			ended = line
		}
	}
	assert.Equal(t, len(resumed), 2, s.logged())
	for index, parts := range [][]string{
		{`"last_event":"2"`, `"status":500`, `"events":0`, `"outcome":"unknown"`},
		{`"last_event":"2"`, `"status":200`, `"events":2`, `"outcome":"succeeded"`},
	} {
		for _, part := range parts {
			assert.Assert(t, strings.Contains(resumed[index], part), "%s lacks %s", resumed[index], part)
		}
	}
	for _, part := range []string{`"stream":"whole"`, `"runs":3`, `"events":4`, `"last_event":"4"`} {
		assert.Assert(t, strings.Contains(ended, part), "%s lacks %s", ended, part)
	}
}

// A caller that has a part of the stream gets what comes after it, and nothing that it has.
func TestCallerGoesOnAfterItsLastEvent(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	s.engine("e", func(call *engineCall) {
		if call.number == 1 {
			call.beginStream()
			call.chunk(eventText(2, 3))
			call.reset()
			return
		}
		assert.Check(t, call.request.Header.Get("After") == "2")
		call.rest()
	})
	got := s.send("/resume/", "c1", "", "After", "2")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, eventText(3, 4))
}

// The rest of a stream comes from the weights at which it stands.
func TestRestOfOtherWeightsIsNotPassedOn(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	s.engine("e", func(call *engineCall) {
		if call.number == 1 {
			call.head("HTTP/1.1", 200, eventStreamType, "Weights: 7")
			call.write("%s", firstHalf)
			call.reset()
			return
		}
		call.head("HTTP/1.1", 200, eventStreamType, "Weights: 8", "Connection: close")
		call.write("%s", eventText(3, 4))
		_ = call.connection.Close()
	})
	got := s.send("/resume/", "c1", "")
	assert.Assert(t, got.err != nil)
	assert.Equal(t, got.body, firstHalf)
}

// Silence of an engine is no reason to end a stream that can't be resumed.
func TestSilentStreamThatCanNotBeResumedIsWaitedFor(t *testing.T) {
	t.Parallel()
	for _, passed := range []string{"", eventText(1, 1)} {
		s := newSite(t)
		engine := s.engine("e", func(call *engineCall) {
			call.beginStream()
			if passed != "" {
				call.chunk(passed)
			}
			<-time.After(firstEventStall + eventStall/2)
			call.chunk(wholeStream[len(passed):])
			call.endStream()
		})
		got := s.send("/stream/", "c1", "")
		assert.NilError(t, got.err)
		assert.Equal(t, got.body, wholeStream)
		assert.Equal(t, engine.runs.Load(), int64(1))
	}
}

// The lines on what was tried count on over all runs of a call.
func TestSendsAreCountedOverAllRuns(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	s.engine("e", func(call *engineCall) {
		call.beginStream()
		call.event(int(call.number))
		if call.number == 4 {
			call.endStream()
			return
		}
		call.reset()
	})
	assert.NilError(t, s.send("/resume/", "c1", "").err)
	assert.Equal(t, strings.Count(s.logged(), `"name":"attempt_retried"`), 3)
	for _, part := range []string{`"sends":1`, `"sends":2`, `"sends":3`} {
		assert.Assert(t, strings.Contains(s.logged(), part), "%s is missing: %s", part, s.logged())
	}
}
