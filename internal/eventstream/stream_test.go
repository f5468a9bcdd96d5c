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
	if state == Opened {
		return stream
	}
	assert.NilError(t, stream.Begin(eventHead))
	_, err := stream.Bytes([]byte(eventText(1, 2)))
	assert.NilError(t, err)
	switch state {
	case Broken:
		stream.Break()
	case Resuming:
		stream.Break()
		assert.NilError(t, stream.Begin(eventHead))
	case Ended:
		_, err = stream.End()
		assert.NilError(t, err)
	}
	assert.Equal(t, stream.State(), state)
	return stream
}

// step is what comes from an engine.
type step func(stream *Stream) ([]byte, error)

func bytesOf(text string) step {
	return func(stream *Stream) ([]byte, error) { return stream.Bytes([]byte(text)) }
}

func headOf(head Head) step {
	return func(stream *Stream) ([]byte, error) { return nil, stream.Begin(head) }
}

func end(stream *Stream) ([]byte, error) { return stream.End() }

func breakOff(stream *Stream) ([]byte, error) {
	stream.Break()
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
		"opened, a stream begins":            {state: Opened, comes: headOf(eventHead), then: Opened},
		"opened, a failure begins":           {state: Opened, comes: headOf(Head{Status: 500}), then: Opened},
		"opened, events":                     {state: Opened, comes: bytesOf(eventText(1, 2)), passes: eventText(1, 2), then: Passing},
		"opened, a part of an event":         {state: Opened, comes: bytesOf(cutEvent), then: Opened},
		"opened, a part, not resumable":      {state: Opened, once: true, comes: bytesOf(cutEvent), passes: cutEvent, then: Passing},
		"opened, it ends":                    {state: Opened, comes: end, then: Ended},
		"opened, it breaks":                  {state: Opened, comes: breakOff, then: Opened},
		"passing, events":                    {state: Passing, comes: bytesOf(eventText(3, 4)), passes: eventText(3, 4), then: Passing},
		"passing, an event and a part":       {state: Passing, comes: bytesOf(eventText(3, 3) + "id: 4"), passes: eventText(3, 3), then: Passing},
		"passing, an event that is there":    {state: Passing, comes: bytesOf(eventText(2, 3)), fails: true, then: Passing},
		"passing, good and bad events":       {state: Passing, comes: bytesOf(eventText(3, 3) + eventText(1, 1)), passes: eventText(3, 3), fails: true, then: Passing},
		"passing, the same, not resumable":   {state: Passing, once: true, comes: bytesOf(eventText(1, 1)), passes: eventText(1, 1), then: Passing},
		"passing, another head":              {state: Passing, comes: headOf(eventHead), fails: true, then: Passing},
		"passing, it ends":                   {state: Passing, comes: end, then: Ended},
		"passing, it breaks":                 {state: Passing, comes: breakOff, then: Broken},
		"broken, the rest begins":            {state: Broken, comes: headOf(eventHead), then: Resuming},
		"broken, a failure":                  {state: Broken, comes: headOf(Head{Status: 500, MediaType: "text/plain"}), fails: true, then: Broken},
		"broken, a failure of the same type": {state: Broken, comes: headOf(Head{Status: 500, MediaType: MediaType}), fails: true, then: Broken},
		"broken, no content":                 {state: Broken, comes: headOf(Head{Status: 204}), fails: true, then: Broken},
		"broken, another type":               {state: Broken, comes: headOf(Head{Status: 200, MediaType: "application/json"}), fails: true, then: Broken},
		"broken, other weights":              {state: Broken, comes: headOf(Head{Status: 200, MediaType: MediaType, Version: "2"}), fails: true, then: Broken},
		"broken, the rest, not resumable":    {state: Broken, once: true, comes: headOf(eventHead), fails: true, then: Broken},
		"broken, it ends":                    {state: Broken, comes: end, fails: true, then: Broken},
		"resuming, the next event":           {state: Resuming, comes: bytesOf(eventText(3, 3)), passes: eventText(3, 3), then: Passing},
		"resuming, the last event again":     {state: Resuming, comes: bytesOf(eventText(2, 2)), fails: true, then: Resuming},
		"resuming, from the start":           {state: Resuming, comes: bytesOf(eventText(1, 4)), fails: true, then: Resuming},
		"resuming, an event without ID":      {state: Resuming, comes: bytesOf("data: e3\n\n"), fails: true, then: Resuming},
		"resuming, a comment":                {state: Resuming, comes: bytesOf(": busy\n\n"), then: Resuming},
		"resuming, it ends":                  {state: Resuming, comes: end, fails: true, then: Resuming},
		"resuming, it breaks":                {state: Resuming, comes: breakOff, then: Broken},
		"ended, another head":                {state: Ended, comes: headOf(eventHead), fails: true, then: Ended},
		"ended, it breaks":                   {state: Ended, comes: breakOff, then: Ended},
	} {
		stream := in(t, row.state, !row.once)
		if row.state == Opened {
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
			stream := in(t, Passing, resumable)
			_, err := stream.Bytes([]byte(part))
			assert.NilError(t, err)
			_, err = stream.End()
			var damaged *ErrDamaged
			assert.Assert(t, errors.As(err, &damaged), "%q, resumable %t", part, resumable)
		}
		stream := in(t, Passing, resumable)
		_, err := stream.Bytes([]byte(": goodbye\n"))
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
	passed, err := stream.Bytes([]byte("out of"))
	assert.NilError(t, err)
	assert.Equal(t, len(passed), 0)
	stream.Break()
	assert.Assert(t, stream.MayResume())
	assert.NilError(t, stream.Begin(Head{Status: 500, MediaType: "text/plain"}))
	_, err = stream.Bytes([]byte("no memory\n\n"))
	assert.NilError(t, err)
	rest, err := stream.End()
	assert.NilError(t, err)
	assert.Equal(t, string(rest), "no memory\n\n")
	assert.Equal(t, stream.State(), Ended)
	assert.Equal(t, stream.Started(), 0)
}

func TestStreamAfterAnEventWithoutIDCanNotBeResumed(t *testing.T) {
	t.Parallel()
	stream := in(t, Passing, true)
	passed, err := stream.Bytes([]byte("data: e3\n\n"))
	assert.NilError(t, err)
	assert.Equal(t, string(passed), "data: e3\n\n")
	stream.Break()
	assert.Assert(t, !stream.MayResume())
	assert.Assert(t, stream.Begin(eventHead) != nil)
}

// A caller that has a part of the stream from an answer before gets what comes after it, also if the first run breaks.
func TestCallerThatResumesGetsOnlyWhatIsNew(t *testing.T) {
	t.Parallel()
	stream := New(Options{Resumable: true, LastEvent: "2"})
	assert.NilError(t, stream.Begin(eventHead))
	stream.Break()
	assert.Equal(t, stream.LastEvent(), "2")
	for _, wrong := range []string{eventText(1, 3), eventText(2, 2), "data: e3\n\n", "", ": busy\n\n"} {
		assert.NilError(t, stream.Begin(eventHead))
		passed, err := stream.Bytes([]byte(wrong))
		if err == nil {
			passed, err = stream.End()
		}
		assert.Assert(t, err != nil, wrong)
		assert.Equal(t, len(passed), 0)
		stream.Break()
	}
	assert.NilError(t, stream.Begin(eventHead))
	passed, err := stream.Bytes([]byte(eventText(3, 4)))
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
		_, err := stream.Bytes([]byte(eventText(1, 1) + "weights: 8\n" + eventText(2, 2)))
		assert.NilError(t, err)
		stream.Break()
		err = stream.Begin(Head{Status: 200, MediaType: MediaType, Version: version})
		var mismatch *ErrMismatch
		assert.Equal(t, errors.As(err, &mismatch), !fits, "version %q: %v", version, err)
		assert.Equal(t, stream.MayResume(), fits, "version %q", version)
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
		stream := New(Options{Resumable: true, Keep: true, LastEvent: "2", FromStart: true})
		got := ""
		for index, body := range runs {
			assert.NilError(t, stream.Begin(eventHead), name)
			passed, err := stream.Bytes([]byte(body))
			assert.NilError(t, err, name)
			got += string(passed)
			if index < len(runs)-1 {
				stream.Break()
				continue
			}
			_, err = stream.End()
			assert.NilError(t, err, name)
		}
		assert.Equal(t, got, eventText(3, 4), name)
		assert.Equal(t, string(stream.Output()), "e1\ne2\ne3\ne4\n", name)
		assert.Equal(t, stream.Passed(), 2, name)
	}
}

func TestKnownPartAloneIsNoWholeStream(t *testing.T) {
	t.Parallel()
	for name, runs := range map[string][]string{
		"ends before it":                 {eventText(1, 1)},
		"never comes":                    {eventText(3, 4)},
		"breaks after it, then is empty": {eventText(1, 2) + "id", ""},
	} {
		stream := New(Options{Resumable: true, Keep: true, LastEvent: "2", FromStart: true})
		var err error
		for index, body := range runs {
			assert.NilError(t, stream.Begin(eventHead), name)
			_, err = stream.Bytes([]byte(body))
			if err == nil && index == len(runs)-1 {
				_, err = stream.End()
			}
			if index < len(runs)-1 {
				stream.Break()
			}
		}
		assert.Assert(t, err != nil, name)
	}
}

func TestOnlyWhatHasPassedIsCounted(t *testing.T) {
	t.Parallel()
	for resumable, started := range map[bool]int{true: 2, false: 3} {
		stream := in(t, Passing, resumable)
		_, err := stream.Bytes([]byte("id: 3\ndata: e"))
		assert.NilError(t, err)
		assert.Equal(t, stream.Started(), started)
		stream.Break()
		assert.Equal(t, stream.Started(), started)
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
			_, err = stream.Bytes(piece)
		}
		var damaged *ErrDamaged
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
		stream := New(Options{Resumable: true, Keep: true})
		var got strings.Builder
		for range 6 {
			lastEvent := strings.Count(got.String(), "\n\n")
			playRandomRun(random, stream, newRandomRun(random, truth, lastEvent), &got)
			if stream.State() == Ended || !stream.MayResume() {
				break
			}
		}
		if stream.Passed() == 0 {
			continue
		}
		assert.Assert(t, strings.HasPrefix(truth, got.String()) && strings.HasSuffix(got.String(), "\n\n"), "seed %d: %q", seed, got.String())
		assert.Equal(t, stream.Started(), strings.Count(got.String(), "\n\n"), "seed %d", seed)
		if stream.State() == Ended {
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
			stream.Break()
		}
		return err == nil
	}
	if !take(nil, stream.Begin(run.head)) {
		return
	}
	for rest := run.body; rest != ""; {
		size := 1 + random.IntN(len(rest))
		if !take(stream.Bytes([]byte(rest[:size]))) {
			return
		}
		rest = rest[size:]
	}
	if !run.whole {
		stream.Break()
		return
	}
	take(stream.End())
}
