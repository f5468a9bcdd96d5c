package eventstream

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

var eventHead = Head{Status: 200, MediaType: MediaType, Version: "1"}

// eventText returns events with increasing IDs.
func eventText(first, last int) string {
	var text strings.Builder
	for id := first; id <= last; id++ {
		fmt.Fprintf(&text, "id: %d\ndata: e%d\n\n", id, id)
	}
	return text.String()
}

// streamInState returns a stream in the state; two events were forwarded unless it is Pending.
func streamInState(t *testing.T, state State, resumable bool) *Stream {
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

// step is one input to a stream.
type step func(stream *Stream) ([]byte, error)

func feed(text string) step {
	return func(stream *Stream) ([]byte, error) { return stream.Feed([]byte(text)) }
}

func begin(head Head) step {
	return func(stream *Stream) ([]byte, error) { return nil, stream.Begin(head) }
}

func finish(stream *Stream) ([]byte, error) { return stream.End() }

func interrupt(stream *Stream) ([]byte, error) {
	stream.Interrupt()
	return nil, nil
}

// The table has, for each state, the inputs that may arrive in it.
func TestStateTransitions(t *testing.T) {
	t.Parallel()
	const cutEvent = "id: 3\ndata: e"
	for name, row := range map[string]struct {
		state        State
		notResumable bool
		input        step
		forwarded    string
		fails        bool
		next         State
	}{
		"pending, a stream begins":                        {state: Pending, input: begin(eventHead), next: Pending},
		"pending, an error response begins":               {state: Pending, input: begin(Head{Status: 500}), next: Pending},
		"pending, events":                                 {state: Pending, input: feed(eventText(1, 2)), forwarded: eventText(1, 2), next: Forwarding},
		"pending, part of an event":                       {state: Pending, input: feed(cutEvent), next: Pending},
		"pending, part of an event, not resumable":        {state: Pending, notResumable: true, input: feed(cutEvent), forwarded: cutEvent, next: Forwarding},
		"pending, end":                                    {state: Pending, input: finish, next: Complete},
		"pending, interruption":                           {state: Pending, input: interrupt, next: Pending},
		"forwarding, events":                              {state: Forwarding, input: feed(eventText(3, 4)), forwarded: eventText(3, 4), next: Forwarding},
		"forwarding, an event and part of one":            {state: Forwarding, input: feed(eventText(3, 3) + "id: 4"), forwarded: eventText(3, 3), next: Forwarding},
		"forwarding, a repeated event":                    {state: Forwarding, input: feed(eventText(2, 3)), fails: true, next: Forwarding},
		"forwarding, a new and a repeated event":          {state: Forwarding, input: feed(eventText(3, 3) + eventText(1, 1)), forwarded: eventText(3, 3), fails: true, next: Forwarding},
		"forwarding, a repeated event, not resumable":     {state: Forwarding, notResumable: true, input: feed(eventText(1, 1)), forwarded: eventText(1, 1), next: Forwarding},
		"forwarding, another head":                        {state: Forwarding, input: begin(eventHead), fails: true, next: Forwarding},
		"forwarding, end":                                 {state: Forwarding, input: finish, next: Complete},
		"forwarding, interruption":                        {state: Forwarding, input: interrupt, next: Interrupted},
		"interrupted, the continuation begins":            {state: Interrupted, input: begin(eventHead), next: Resuming},
		"interrupted, an error response":                  {state: Interrupted, input: begin(Head{Status: 500, MediaType: "text/plain"}), fails: true, next: Interrupted},
		"interrupted, an error response of the same type": {state: Interrupted, input: begin(Head{Status: 500, MediaType: MediaType}), fails: true, next: Interrupted},
		"interrupted, no content":                         {state: Interrupted, input: begin(Head{Status: 204}), fails: true, next: Interrupted},
		"interrupted, another media type":                 {state: Interrupted, input: begin(Head{Status: 200, MediaType: "application/json"}), fails: true, next: Interrupted},
		"interrupted, other weights":                      {state: Interrupted, input: begin(Head{Status: 200, MediaType: MediaType, Version: "2"}), fails: true, next: Interrupted},
		"interrupted, the continuation, not resumable":    {state: Interrupted, notResumable: true, input: begin(eventHead), fails: true, next: Interrupted},
		"interrupted, end":                                {state: Interrupted, input: finish, fails: true, next: Interrupted},
		"resuming, the next event":                        {state: Resuming, input: feed(eventText(3, 3)), forwarded: eventText(3, 3), next: Forwarding},
		"resuming, the last event repeated":               {state: Resuming, input: feed(eventText(2, 2)), fails: true, next: Resuming},
		"resuming, from the start":                        {state: Resuming, input: feed(eventText(1, 4)), fails: true, next: Resuming},
		"resuming, an event without ID":                   {state: Resuming, input: feed("data: e3\n\n"), fails: true, next: Resuming},
		"resuming, a comment":                             {state: Resuming, input: feed(": busy\n\n"), next: Resuming},
		"resuming, end":                                   {state: Resuming, input: finish, fails: true, next: Resuming},
		"resuming, interruption":                          {state: Resuming, input: interrupt, next: Interrupted},
		"complete, another head":                          {state: Complete, input: begin(eventHead), fails: true, next: Complete},
		"complete, interruption":                          {state: Complete, input: interrupt, next: Complete},
	} {
		stream := streamInState(t, row.state, !row.notResumable)
		if row.state == Pending {
			assert.NilError(t, stream.Begin(eventHead), name)
		}
		output, err := row.input(stream)
		assert.Equal(t, string(output), row.forwarded, name)
		assert.Equal(t, err != nil, row.fails, "%s: %v", name, err)
		assert.Equal(t, stream.State(), row.next, name)
	}
}

func TestEndWithinEventIsAnError(t *testing.T) {
	t.Parallel()
	for _, resumable := range []bool{true, false} {
		for _, part := range []string{"id: 3\ndata: e", "id: 3\ndata: e3\n", "i", "data"} {
			stream := streamInState(t, Forwarding, resumable)
			_, err := stream.Feed([]byte(part))
			assert.NilError(t, err)
			_, err = stream.End()
			var corrupt *ErrCorrupt
			assert.Assert(t, errors.As(err, &corrupt), "%q, resumable %t", part, resumable)
		}
		stream := streamInState(t, Forwarding, resumable)
		_, err := stream.Feed([]byte(": goodbye\n"))
		assert.NilError(t, err)
		rest, err := stream.End()
		assert.NilError(t, err)
		assert.Equal(t, string(rest) != "", resumable, "comments at the end are forwarded")
	}
}

// An error response is forwarded if no event was, and only once it is complete if another attempt
// could replace it.
func TestErrorResponseBeforeFirstEvent(t *testing.T) {
	t.Parallel()
	stream := New(Options{Resumable: true})
	assert.NilError(t, stream.Begin(Head{Status: 500, MediaType: "text/plain"}))
	output, err := stream.Feed([]byte("out of"))
	assert.NilError(t, err)
	assert.Equal(t, len(output), 0)
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

func TestEventWithoutIDPreventsResumption(t *testing.T) {
	t.Parallel()
	stream := streamInState(t, Forwarding, true)
	output, err := stream.Feed([]byte("data: e3\n\n"))
	assert.NilError(t, err)
	assert.Equal(t, string(output), "data: e3\n\n")
	stream.Interrupt()
	assert.Assert(t, !stream.CanResume())
	assert.Assert(t, stream.Begin(eventHead) != nil)
}

// A caller that names its last event gets only later ones, also if the first attempt is
// interrupted.
func TestResumingCallerGetsOnlyNewEvents(t *testing.T) {
	t.Parallel()
	stream := New(Options{Resumable: true, LastEvent: "2"})
	assert.NilError(t, stream.Begin(eventHead))
	stream.Interrupt()
	assert.Equal(t, stream.LastEvent(), "2")
	for _, wrong := range []string{eventText(1, 3), eventText(2, 2), "data: e3\n\n", "", ": busy\n\n"} {
		assert.NilError(t, stream.Begin(eventHead))
		output, err := stream.Feed([]byte(wrong))
		if err == nil {
			output, err = stream.End()
		}
		assert.Assert(t, err != nil, wrong)
		assert.Equal(t, len(output), 0)
		stream.Interrupt()
	}
	assert.NilError(t, stream.Begin(eventHead))
	output, err := stream.Feed([]byte(eventText(3, 4)))
	assert.NilError(t, err)
	assert.Equal(t, string(output), eventText(3, 4))
}

// The weights may change within an attempt, which announces it. A continuation must come from the
// weights of the last event; an engine doesn't return to older weights, so a mismatch ends
// resumption. Responses without a version are accepted.
func TestContinuationFromOtherWeightsIsRejected(t *testing.T) {
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

// The output contains all events although the caller, which has the first two, gets only the
// others. Attempts begin at the start of the stream or continue the one before.
func TestOutputIncludesEventsTheCallerHas(t *testing.T) {
	t.Parallel()
	for name, attempts := range map[string][]string{
		"one attempt":                       {eventText(1, 4)},
		"interrupted within the known part": {eventText(1, 1) + "id: 2", eventText(2, 4)},
		"interrupted after the known part":  {eventText(1, 2) + "id", eventText(3, 4)},
		"interrupted in the new part":       {eventText(1, 3) + "id", eventText(4, 4)},
	} {
		stream := New(Options{Resumable: true, KeepOutput: true, LastEvent: "2", FromStart: true})
		got := ""
		for index, body := range attempts {
			assert.NilError(t, stream.Begin(eventHead), name)
			output, err := stream.Feed([]byte(body))
			assert.NilError(t, err, name)
			got += string(output)
			if index < len(attempts)-1 {
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

func TestStreamMustReachTheCallersLastEvent(t *testing.T) {
	t.Parallel()
	for name, attempts := range map[string][]string{
		"ends before the last event":                   {eventText(1, 1)},
		"lacks the last event":                         {eventText(3, 4)},
		"interrupted after the last event, then empty": {eventText(1, 2) + "id", ""},
	} {
		stream := New(Options{Resumable: true, KeepOutput: true, LastEvent: "2", FromStart: true})
		var err error
		for index, body := range attempts {
			assert.NilError(t, stream.Begin(eventHead), name)
			_, err = stream.Feed([]byte(body))
			if err == nil && index == len(attempts)-1 {
				_, err = stream.End()
			}
			if index < len(attempts)-1 {
				stream.Interrupt()
			}
		}
		assert.Assert(t, err != nil, name)
	}
}

// After a continuation without events, an attempt that repeats the last event and ends confirms the end. If it goes on, or repeats something else, the
// stream is continued after its last event again.
func TestRepeatedLastEventConfirmsTheEnd(t *testing.T) {
	t.Parallel()
	for _, row := range []struct {
		body     string
		complete bool
		position string
	}{
		{eventText(2, 2), true, "1"}, {"", false, "1"}, {": busy\n\n", false, "1"}, {eventText(2, 2) + "id: 3\nda", false, "1"},
		{eventText(2, 3), false, "2"}, {eventText(3, 3), false, "2"}, {eventText(1, 2), false, "2"}, {eventText(2, 2) + eventText(2, 2), false, "2"}, {"data: e2\n\n", false, "2"},
	} {
		stream := streamInState(t, Resuming, true)
		_, err := stream.End()
		assert.Assert(t, err != nil)
		stream.Interrupt()
		assert.Equal(t, stream.LastEvent(), "1")
		assert.NilError(t, stream.Begin(eventHead))
		output, err := stream.Feed([]byte(row.body))
		assert.Equal(t, len(output), 0, row.body)
		if err == nil {
			output, err = stream.End()
		}
		assert.Equal(t, err == nil, row.complete, "%q: %v", row.body, err)
		assert.Equal(t, len(output), 0, row.body)
		assert.Equal(t, stream.State() == Complete, row.complete, row.body)
		stream.Interrupt()
		assert.Equal(t, stream.LastEvent(), row.position, row.body)
		assert.Equal(t, stream.EventsForwarded(), 2)
	}
}

// An end is confirmed only if the event before the last one, or the start, is a position that engines know.
func TestEndIsNotConfirmedWithoutAnEarlierPosition(t *testing.T) {
	t.Parallel()
	for _, row := range []struct {
		options  Options
		body     string
		position string
	}{
		{Options{}, eventText(1, 1), ""}, {Options{LastEvent: "4"}, eventText(5, 5), "4"}, {Options{}, "data: e\n\n" + eventText(1, 1), "1"},
		{Options{LastEvent: "1", FromStart: true}, eventText(1, 3), "3"},
	} {
		row.options.Resumable = true
		stream := New(row.options)
		assert.NilError(t, stream.Begin(eventHead))
		_, err := stream.Feed([]byte(row.body))
		assert.NilError(t, err)
		stream.Interrupt()
		assert.NilError(t, stream.Begin(eventHead))
		_, err = stream.End()
		assert.Assert(t, err != nil)
		assert.Equal(t, stream.LastEvent(), row.position, row.body)
	}
}

func TestOnlyForwardedEventsAreCounted(t *testing.T) {
	t.Parallel()
	for resumable, started := range map[bool]int{true: 2, false: 3} {
		stream := streamInState(t, Forwarding, resumable)
		_, err := stream.Feed([]byte("id: 3\ndata: e"))
		assert.NilError(t, err)
		assert.Equal(t, stream.EventsStarted(), started)
		stream.Interrupt()
		assert.Equal(t, stream.EventsStarted(), started)
	}
}

func TestBufferedBytesAreBounded(t *testing.T) {
	t.Parallel()
	for _, head := range []Head{eventHead, {Status: 500}} {
		stream := New(Options{Resumable: true})
		assert.NilError(t, stream.Begin(head))
		piece := []byte(strings.Repeat("x", 1<<20))
		var err error
		for sent := 0; err == nil && sent <= 2*maxBufferedBytes; sent += len(piece) {
			_, err = stream.Feed(piece)
		}
		var corrupt *ErrCorrupt
		assert.Assert(t, errors.As(err, &corrupt))
	}
}

// randomAttempt is an attempt at an engine that has the expected response and may fail in any way.
type randomAttempt struct {
	head     Head
	body     string
	complete bool
}

func newRandomAttempt(random *rand.Rand, expected string, lastEvent int) randomAttempt {
	attempt := randomAttempt{head: eventHead, complete: true, body: expected[len(eventText(1, lastEvent)):]}
	kind := random.IntN(9)
	if lastEvent == 0 && (kind == 3 || kind == 4) {
		// At the start of a stream nothing contradicts such a response.
		return attempt
	}
	switch kind {
	case 0:
		attempt.head = Head{Status: []int{204, 301, 404, 500, 503}[random.IntN(5)], MediaType: []string{MediaType, "text/plain"}[random.IntN(2)]}
	case 1:
		attempt.head.MediaType = "application/json"
	case 2:
		attempt.body = ""
	case 3:
		attempt.body = eventText(max(lastEvent-random.IntN(3), 1), lastEvent+1)
	case 4:
		attempt.body = "data: without ID\n\n"
	case 5:
		attempt.body += "id: 999\nda"
	case 6, 7:
		attempt.body = attempt.body[:random.IntN(len(attempt.body)+1)]
		attempt.complete = false
	}
	return attempt
}

// Under random failures the caller gets a prefix of the expected response that ends at the end of
// an event, and a complete stream has all of it.
func TestRandomStreams(t *testing.T) {
	t.Parallel()
	complete, interrupted := 0, 0
	for seed := range uint64(20000) {
		random := rand.New(rand.NewPCG(seed, 32))
		expected := eventText(1, 1+random.IntN(6))
		stream := New(Options{Resumable: true, KeepOutput: true})
		var got strings.Builder
		for range 6 {
			lastEvent, _ := strconv.Atoi(stream.LastEvent())
			feedAttempt(random, stream, newRandomAttempt(random, expected, lastEvent), &got)
			if stream.State() == Complete || !stream.CanResume() {
				break
			}
		}
		if stream.EventsForwarded() == 0 {
			continue
		}
		assert.Assert(t, strings.HasPrefix(expected, got.String()) && strings.HasSuffix(got.String(), "\n\n"), "seed %d: %q", seed, got.String())
		assert.Equal(t, stream.EventsStarted(), strings.Count(got.String(), "\n\n"), "seed %d", seed)
		if stream.State() == Complete {
			assert.Equal(t, got.String(), expected, "seed %d", seed)
			complete++
			continue
		}
		interrupted++
	}
	assert.Assert(t, complete > 1000 && interrupted > 100, "%d complete, %d interrupted", complete, interrupted)
}

// feedAttempt feeds an attempt to the stream in pieces of random sizes.
func feedAttempt(random *rand.Rand, stream *Stream, attempt randomAttempt, got *strings.Builder) {
	handle := func(output []byte, err error) bool {
		got.Write(output)
		if err != nil {
			stream.Interrupt()
		}
		return err == nil
	}
	if !handle(nil, stream.Begin(attempt.head)) {
		return
	}
	for rest := attempt.body; rest != ""; {
		size := 1 + random.IntN(len(rest))
		if !handle(stream.Feed([]byte(rest[:size]))) {
			return
		}
		rest = rest[size:]
	}
	if !attempt.complete {
		stream.Interrupt()
		return
	}
	handle(stream.End())
}
