package ingress

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// interruptThenFail interrupts the first attempt after the first half, fails the second one, and
// then sends the rest.
func interruptThenFail(call *engineCall) {
	switch call.number {
	case 1:
		call.beginStream()
		call.chunk(firstHalf)
		call.reset()
	case 2:
		call.reply(500, "out of memory\n")
	default:
		call.rest()
	}
}

// Each resumption is logged with its position and result, and the stream with its outcome.
func TestResumptionsAreLogged(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t)
	cluster.engine("e", interruptThenFail)
	assert.NilError(t, cluster.send("/resume/", "c1", "").err)
	eventually(t, "the request is logged", func() bool { return strings.Contains(cluster.logText(), `"name":"request_ended"`) })
	var resumed []string
	ended := ""
	for _, line := range strings.Split(cluster.logText(), "\n") {
		switch {
		case strings.Contains(line, `"name":"stream_resumed"`):
			resumed = append(resumed, line)
		case strings.Contains(line, `"name":"request_ended"`):
			ended = line
		}
	}
	assert.Equal(t, len(resumed), 2, cluster.logText())
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

// A caller that has a part of the stream gets only the events after it.
func TestCallerResumesWithoutRepeatedEvents(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t)
	cluster.engine("e", func(call *engineCall) {
		if call.number == 1 {
			call.beginStream()
			call.chunk(eventText(2, 3))
			call.reset()
			return
		}
		assert.Check(t, call.request.Header.Get("After") == "2")
		call.rest()
	})
	got := cluster.send("/resume/", "c1", "", "After", "2")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, eventText(3, 4))
}

// The continuation of a stream must come from an engine with the same version of the weights.
func TestContinuationFromOtherWeightsIsRejected(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t)
	cluster.engine("e", func(call *engineCall) {
		if call.number == 1 {
			call.writeHead("HTTP/1.1", 200, eventStreamHeader, "Weights: 7")
			call.write("%s", firstHalf)
			call.reset()
			return
		}
		call.writeHead("HTTP/1.1", 200, eventStreamHeader, "Weights: 8", "Connection: close")
		call.write("%s", eventText(3, 4))
		_ = call.connection.Close()
	})
	got := cluster.send("/resume/", "c1", "")
	assert.Assert(t, got.err != nil)
	assert.Equal(t, got.body, firstHalf)
}

// A stream that can't be resumed is not ended because its engine is silent.
func TestNonResumableStreamHasNoStallTimeout(t *testing.T) {
	t.Parallel()
	for _, sent := range []string{"", eventText(1, 1)} {
		cluster := newTestCluster(t)
		engine := cluster.engine("e", func(call *engineCall) {
			call.beginStream()
			if sent != "" {
				call.chunk(sent)
			}
			<-time.After(firstEventTimeout + nextEventTimeout/2)
			call.chunk(wholeStream[len(sent):])
			call.endStream()
		})
		got := cluster.send("/stream/", "c1", "")
		assert.NilError(t, got.err)
		assert.Equal(t, got.body, wholeStream)
		assert.Equal(t, engine.runs.Load(), int64(1))
	}
}

// The log lines of retries count the sends of the whole call.
func TestSendsAreCountedAcrossAttempts(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t)
	cluster.engine("e", func(call *engineCall) {
		call.beginStream()
		call.event(int(call.number))
		if call.number == 4 {
			call.endStream()
			return
		}
		call.reset()
	})
	assert.NilError(t, cluster.send("/resume/", "c1", "").err)
	assert.Equal(t, strings.Count(cluster.logText(), `"name":"attempt_retried"`), 3)
	for _, part := range []string{`"sends":1`, `"sends":2`, `"sends":3`} {
		assert.Assert(t, strings.Contains(cluster.logText(), part), "%s is missing: %s", part, cluster.logText())
	}
}
