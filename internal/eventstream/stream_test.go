package eventstream

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

var eventHead = Head{Status: 200, MediaType: MediaType, Version: "1"}

// eventText is the text of events with rising IDs.
func eventText(first, last int) string {
	var text strings.Builder
	for id := first; id <= last; id++ {
		fmt.Fprintf(&text, "id: %d\ndata: e%d\n\n", id, id)
	}
	return text.String()
}

// in brings a new stream into a state, with two events passed where any have.
func in(t *testing.T, state State, resumable bool) *Stream {
	t.Helper()
	stream := New(Options{Resumable: resumable, VersionField: "weights"})
	if state == Pending {
		return stream
	}
	assert.NilError(t, stream.Begin(eventHead))
	_, err := stream.Feed([]byte(eventText(1, 2)))
	assert.NilError(t, err)
	switch state {
	case Interrupted:
		stream.Interrupt()
	case Resuming:
		stream.Interrupt()
		assert.NilError(t, stream.Begin(eventHead))
	case Complete:
		_, err = stream.End()
		assert.NilError(t, err)
	}
	assert.Equal(t, stream.State(), state)
	return stream
}

// step is what comes from an engine.
type step func(stream *Stream) ([]byte, error)

func bytesOf(text string) step {
	return func(stream *Stream) ([]byte, error) { return stream.Feed([]byte(text)) }
}

func headOf(head Head) step {
	return func(stream *Stream) ([]byte, error) { return nil, stream.Begin(head) }
}

func end(stream *Stream) ([]byte, error) { return stream.End() }

func breakOff(stream *Stream) ([]byte, error) {
	stream.Interrupt()
	return nil, nil
}

// The life of a stream, one row for each state and what may come in it.
func TestWhatTheCallerSees(t *testing.T) {
	t.Parallel()
	const cutEvent = "id: 3\ndata: e"
	for name, row := range map[string]struct {
		state  State
		once   bool
		comes  step
		passes string
		fails  bool
		then   State
	}{
		"opened, a stream begins":            {state: Pending, comes: headOf(eventHead), then: Pending},
		"opened, a failure begins":           {state: Pending, comes: headOf(Head{Status: 500}), then: Pending},
		"opened, events":                     {state: Pending, comes: bytesOf(eventText(1, 2)), passes: eventText(1, 2), then: Forwarding},
		"opened, a part of an event":         {state: Pending, comes: bytesOf(cutEvent), then: Pending},
		"opened, a part, not resumable":      {state: Pending, once: true, comes: bytesOf(cutEvent), passes: cutEvent, then: Forwarding},
		"opened, it ends":                    {state: Pending, comes: end, then: Complete},
		"opened, it breaks":                  {state: Pending, comes: breakOff, then: Pending},
		"passing, events":                    {state: Forwarding, comes: bytesOf(eventText(3, 4)), passes: eventText(3, 4), then: Forwarding},
		"passing, an event and a part":       {state: Forwarding, comes: bytesOf(eventText(3, 3) + "id: 4"), passes: eventText(3, 3), then: Forwarding},
		"passing, an event that is there":    {state: Forwarding, comes: bytesOf(eventText(2, 3)), fails: true, then: Forwarding},
		"passing, good and bad events":       {state: Forwarding, comes: bytesOf(eventText(3, 3) + eventText(1, 1)), passes: eventText(3, 3), fails: true, then: Forwarding},
		"passing, the same, not resumable":   {state: Forwarding, once: true, comes: bytesOf(eventText(1, 1)), passes: eventText(1, 1), then: Forwarding},
		"passing, another head":              {state: Forwarding, comes: headOf(eventHead), fails: true, then: Forwarding},
		"passing, it ends":                   {state: Forwarding, comes: end, then: Complete},
		"passing, it breaks":                 {state: Forwarding, comes: breakOff, then: Interrupted},
		"broken, the rest begins":            {state: Interrupted, comes: headOf(eventHead), then: Resuming},
		"broken, a failure":                  {state: Interrupted, comes: headOf(Head{Status: 500, MediaType: "text/plain"}), fails: true, then: Interrupted},
		"broken, a failure of the same type": {state: Interrupted, comes: headOf(Head{Status: 500, MediaType: MediaType}), fails: true, then: Interrupted},
		"broken, no content":                 {state: Interrupted, comes: headOf(Head{Status: 204}), fails: true, then: Interrupted},
		"broken, another type":               {state: Interrupted, comes: headOf(Head{Status: 200, MediaType: "application/json"}), fails: true, then: Interrupted},
		"broken, other weights":              {state: Interrupted, comes: headOf(Head{Status: 200, MediaType: MediaType, Version: "2"}), fails: true, then: Interrupted},
		"broken, the rest, not resumable":    {state: Interrupted, once: true, comes: headOf(eventHead), fails: true, then: Interrupted},
		"broken, it ends":                    {state: Interrupted, comes: end, fails: true, then: Interrupted},
		"resuming, the next event":           {state: Resuming, comes: bytesOf(eventText(3, 3)), passes: eventText(3, 3), then: Forwarding},
		"resuming, the last event again":     {state: Resuming, comes: bytesOf(eventText(2, 2)), fails: true, then: Resuming},
		"resuming, from the start":           {state: Resuming, comes: bytesOf(eventText(1, 4)), fails: true, then: Resuming},
		"resuming, an event without ID":      {state: Resuming, comes: bytesOf("data: e3\n\n"), fails: true, then: Resuming},
		"resuming, a comment":                {state: Resuming, comes: bytesOf(": busy\n\n"), then: Resuming},
		"resuming, it ends":                  {state: Resuming, comes: end, fails: true, then: Resuming},
		"resuming, it breaks":                {state: Resuming, comes: breakOff, then: Interrupted},
		"ended, another head":                {state: Complete, comes: headOf(eventHead), fails: true, then: Complete},
		"ended, it breaks":                   {state: Complete, comes: breakOff, then: Complete},
	} {
		stream := in(t, row.state, !row.once)
		if row.state == Pending {
			assert.NilError(t, stream.Begin(eventHead), name)
		}
		passed, err := row.comes(stream)
		assert.Equal(t, string(passed), row.passes, name)
		assert.Equal(t, err != nil, row.fails, "%s: %v", name, err)
		assert.Equal(t, stream.State(), row.then, name)
	}
}

func TestEndWithinAnEventIsNoEnd(t *testing.T) {
	t.Parallel()
	for _, resumable := range []bool{true, false} {
		for _, part := range []string{"id: 3\ndata: e", "id: 3\ndata: e3\n", "i", "data"} {
			stream := in(t, Forwarding, resumable)
			_, err := stream.Feed([]byte(part))
			assert.NilError(t, err)
			_, err = stream.End()
			var damaged *ErrCorrupt
			assert.Assert(t, errors.As(err, &damaged), "%q, resumable %t", part, resumable)
		}
		stream := in(t, Forwarding, resumable)
		_, err := stream.Feed([]byte(": goodbye\n"))
		assert.NilError(t, err)
		rest, err := stream.End()
		assert.NilError(t, err)
		assert.Equal(t, string(rest) != "", resumable, "comments pass at the end")
	}
}

// A failure of the engine is passed on as the answer to a request that has none yet, and only once it is whole if another
// run may take its place.
func TestFailureIsAnAnswerToAStreamThatHasNotBegun(t *testing.T) {
	t.Parallel()
	stream := New(Options{Resumable: true})
	assert.NilError(t, stream.Begin(Head{Status: 500, MediaType: "text/plain"}))
	passed, err := stream.Feed([]byte("out of"))
	assert.NilError(t, err)
	assert.Equal(t, len(passed), 0)
	stream.Interrupt()
	assert.Assert(t, stream.CanResume())
	assert.NilError(t, stream.Begin(Head{Status: 500, MediaType: "text/plain"}))
	_, err = stream.Feed([]byte("no memory\n\n"))
	assert.NilError(t, err)
	rest, err := stream.End()
	assert.NilError(t, err)
	assert.Equal(t, string(rest), "no memory\n\n")
	assert.Equal(t, stream.State(), Complete)
	assert.Equal(t, stream.EventsStarted(), 0)
}

func TestStreamAfterAnEventWithoutIDCanNotBeResumed(t *testing.T) {
	t.Parallel()
	stream := in(t, Forwarding, true)
	passed, err := stream.Feed([]byte("data: e3\n\n"))
	assert.NilError(t, err)
	assert.Equal(t, string(passed), "data: e3\n\n")
	stream.Interrupt()
	assert.Assert(t, !stream.CanResume())
	assert.Assert(t, stream.Begin(eventHead) != nil)
}

// A caller that has a part of the stream from an answer before gets what comes after it, also if the first run breaks.
func TestCallerThatResumesGetsOnlyWhatIsNew(t *testing.T) {
	t.Parallel()
	stream := New(Options{Resumable: true, LastEvent: "2"})
	assert.NilError(t, stream.Begin(eventHead))
	stream.Interrupt()
	assert.Equal(t, stream.LastEvent(), "2")
	for _, wrong := range []string{eventText(1, 3), eventText(2, 2), "data: e3\n\n", "", ": busy\n\n"} {
		assert.NilError(t, stream.Begin(eventHead))
		passed, err := stream.Feed([]byte(wrong))
		if err == nil {
			passed, err = stream.End()
		}
		assert.Assert(t, err != nil, wrong)
		assert.Equal(t, len(passed), 0)
		stream.Interrupt()
	}
	assert.NilError(t, stream.Begin(eventHead))
	passed, err := stream.Feed([]byte(eventText(3, 4)))
	assert.NilError(t, err)
	assert.Equal(t, string(passed), eventText(3, 4))
}

// The weights may change within a run, which says so; the rest must come from those at which the stream stands. An engine does
// not go back to older ones: asking it again is in vain. One that doesn't tell its weights is taken at its word.
func TestRestComesFromTheSameWeights(t *testing.T) {
	t.Parallel()
	for version, fits := range map[string]bool{"7": false, "8": true, "9": false, "": true} {
		stream := New(Options{Resumable: true, VersionField: "weights"})
		assert.NilError(t, stream.Begin(Head{Status: 200, MediaType: MediaType, Version: "7"}))
		_, err := stream.Feed([]byte(eventText(1, 1) + "weights: 8\n" + eventText(2, 2)))
		assert.NilError(t, err)
		stream.Interrupt()
		err = stream.Begin(Head{Status: 200, MediaType: MediaType, Version: version})
		var mismatch *ErrMismatch
		assert.Equal(t, errors.As(err, &mismatch), !fits, "version %q: %v", version, err)
		assert.Equal(t, stream.CanResume(), fits, "version %q", version)
	}
}

// A caller that has the first two events gets the others; the output is of all of them. Runs begin at the start of the stream,
// or where the one before broke off.
func TestOutputOfAStreamThatTheCallerHasAPartOf(t *testing.T) {
	t.Parallel()
	for name, runs := range map[string][]string{
		"one run":                      {eventText(1, 4)},
		"broken within the known part": {eventText(1, 1) + "id: 2", eventText(2, 4)},
		"broken after the known part":  {eventText(1, 2) + "id", eventText(3, 4)},
		"broken in the new part":       {eventText(1, 3) + "id", eventText(4, 4)},
	} {
		stream := New(Options{Resumable: true, KeepOutput: true, LastEvent: "2", FromStart: true})
		got := ""
		for index, body := range runs {
			assert.NilError(t, stream.Begin(eventHead), name)
			passed, err := stream.Feed([]byte(body))
			assert.NilError(t, err, name)
			got += string(passed)
			if index < len(runs)-1 {
				stream.Interrupt()
				continue
			}
			_, err = stream.End()
			assert.NilError(t, err, name)
		}
		assert.Equal(t, got, eventText(3, 4), name)
		assert.Equal(t, string(stream.Output()), "e1\ne2\ne3\ne4\n", name)
		assert.Equal(t, stream.EventsForwarded(), 2, name)
	}
}

func TestKnownPartAloneIsNoWholeStream(t *testing.T) {
	t.Parallel()
	for name, runs := range map[string][]string{
		"ends before it":                 {eventText(1, 1)},
		"never comes":                    {eventText(3, 4)},
		"breaks after it, then is empty": {eventText(1, 2) + "id", ""},
	} {
		stream := New(Options{Resumable: true, KeepOutput: true, LastEvent: "2", FromStart: true})
		var err error
		for index, body := range runs {
			assert.NilError(t, stream.Begin(eventHead), name)
			_, err = stream.Feed([]byte(body))
			if err == nil && index == len(runs)-1 {
				_, err = stream.End()
			}
			if index < len(runs)-1 {
				stream.Interrupt()
			}
		}
		assert.Assert(t, err != nil, name)
	}
}

func TestOnlyWhatHasPassedIsCounted(t *testing.T) {
	t.Parallel()
	for resumable, started := range map[bool]int{true: 2, false: 3} {
		stream := in(t, Forwarding, resumable)
		_, err := stream.Feed([]byte("id: 3\ndata: e"))
		assert.NilError(t, err)
		assert.Equal(t, stream.EventsStarted(), started)
		stream.Interrupt()
		assert.Equal(t, stream.EventsStarted(), started)
	}
}

func TestHeldBytesAreBounded(t *testing.T) {
	t.Parallel()
	for _, head := range []Head{eventHead, {Status: 500}} {
		stream := New(Options{Resumable: true})
		assert.NilError(t, stream.Begin(head))
		piece := []byte(strings.Repeat("x", 1<<20))
		var err error
		for sent := 0; err == nil && sent <= 2*maximalHeldBytes; sent += len(piece) {
			_, err = stream.Feed(piece)
		}
		var damaged *ErrCorrupt
		assert.Assert(t, errors.As(err, &damaged))
	}
}

// randomRun is one run of an engine that has the true answer and may fail in any way that there is.
type randomRun struct {
	head  Head
	body  string
	whole bool
}

func newRandomRun(random *rand.Rand, truth string, lastEvent int) randomRun {
	run := randomRun{head: eventHead, whole: true, body: truth[len(eventText(1, lastEvent)):]}
	kind := random.IntN(9)
	if lastEvent == 0 && (kind == 3 || kind == 4) {
		// Where nothing has passed yet, such an answer is a first one that nothing contradicts.
		return run
	}
	switch kind {
	case 0:
		run.head = Head{Status: []int{204, 301, 404, 500, 503}[random.IntN(5)], MediaType: []string{MediaType, "text/plain"}[random.IntN(2)]}
	case 1:
		run.head.MediaType = "application/json"
	case 2:
		run.body = ""
	case 3:
		run.body = eventText(max(lastEvent-random.IntN(3), 1), lastEvent+1)
	case 4:
		run.body = "data: without ID\n\n"
	case 5:
		run.body += "id: 999\nda"
	case 6, 7:
		run.body = run.body[:random.IntN(len(run.body)+1)]
		run.whole = false
	}
	return run
}

// Whatever breaks, what the caller has got of a stream that has begun is the beginning of the true answer, up to the end of
// an event, and a complete end means all of it.
func TestRandomStreams(t *testing.T) {
	t.Parallel()
	ended, cut := 0, 0
	for seed := range uint64(20000) {
		random := rand.New(rand.NewPCG(seed, 32))
		truth := eventText(1, 1+random.IntN(6))
		stream := New(Options{Resumable: true, KeepOutput: true})
		var got strings.Builder
		for range 6 {
			lastEvent := strings.Count(got.String(), "\n\n")
			playRandomRun(random, stream, newRandomRun(random, truth, lastEvent), &got)
			if stream.State() == Complete || !stream.CanResume() {
				break
			}
		}
		if stream.EventsForwarded() == 0 {
			continue
		}
		assert.Assert(t, strings.HasPrefix(truth, got.String()) && strings.HasSuffix(got.String(), "\n\n"), "seed %d: %q", seed, got.String())
		assert.Equal(t, stream.EventsStarted(), strings.Count(got.String(), "\n\n"), "seed %d", seed)
		if stream.State() == Complete {
			assert.Equal(t, got.String(), truth, "seed %d", seed)
			ended++
			continue
		}
		cut++
	}
	assert.Assert(t, ended > 1000 && cut > 100, "%d ended, %d were cut", ended, cut)
}

// playRandomRun gives a run to the stream in pieces of random sizes.
func playRandomRun(random *rand.Rand, stream *Stream, run randomRun, got *strings.Builder) {
	take := func(passed []byte, err error) bool {
		got.Write(passed)
		if err != nil {
			stream.Interrupt()
		}
		return err == nil
	}
	if !take(nil, stream.Begin(run.head)) {
		return
	}
	for rest := run.body; rest != ""; {
		size := 1 + random.IntN(len(rest))
		if !take(stream.Feed([]byte(rest[:size]))) {
			return
		}
		rest = rest[size:]
	}
	if !run.whole {
		stream.Interrupt()
		return
	}
	take(stream.End())
}
