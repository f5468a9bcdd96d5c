package ingress

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// framing is how an engine frames an answer, and how much of it comes.
type framing struct {
	protocol string
	headers  []string
	sent     string
	end      func(call *engineCall)
	// whole tells whether the answer is.
	whole bool
}

func (f framing) play(call *engineCall) {
	call.head(f.protocol, http.StatusOK, f.headers...)
	call.write("%s", f.sent)
	f.end(call)
}

// Answers that are held until they are whole: how each kind of framing tells an end from a cut.
func TestEndsOfAnswersThatAreHeld(t *testing.T) {
	t.Parallel()
	const half, whole = "the first half", "the first half and the second"
	const halfChunk, wholeChunk = "e\r\n" + half + "\r\n", "1d\r\n" + whole + "\r\n"
	keep := func(*engineCall) {}
	closes := func(call *engineCall) { _ = call.connection.Close() }
	resets := func(call *engineCall) { call.reset() }
	length, chunks, none := []string{"Content-Length: 29"}, []string{"Transfer-Encoding: chunked"}, []string{"Connection: close"}
	for name, row := range map[string]framing{
		"a length":                    {"HTTP/1.1", length, whole, keep, true},
		"a length, closed early":      {"HTTP/1.1", length, half, closes, false},
		"a length, reset":             {"HTTP/1.1", length, half, resets, false},
		"HTTP/1.0 with a length":      {"HTTP/1.0", length, whole, closes, true},
		"HTTP/1.0 with a length, cut": {"HTTP/1.0", length, half, closes, false},
		"chunks":                      {"HTTP/1.1", chunks, wholeChunk + "0\r\n\r\n", keep, true},
		"chunks, cut between":         {"HTTP/1.1", chunks, halfChunk, closes, false},
		"chunks, cut before the end":  {"HTTP/1.1", chunks, wholeChunk, closes, false},
		"chunks, cut within the end":  {"HTTP/1.1", chunks, wholeChunk + "0\r\n", closes, false},
		"chunks, cut within one":      {"HTTP/1.1", chunks, wholeChunk[:9], closes, false},
		"no length":                   {"HTTP/1.1", none, whole, closes, true},
		"no length, reset":            {"HTTP/1.1", none, half, resets, false},
		"HTTP/1.0 without a length":   {"HTTP/1.0", nil, whole, closes, true},
		"HTTP/1.0, reset":             {"HTTP/1.0", nil, half, resets, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t)
			s.engine("e", row.play)
			got := s.send("/unsafe/", "c1", "")
			assert.NilError(t, got.err)
			if !row.whole {
				assert.Equal(t, got.status, http.StatusBadGateway)
				return
			}
			assert.Equal(t, got.status, http.StatusOK)
			assert.Equal(t, got.body, whole)
		})
	}
}

// An answer that is asked for again comes from one engine alone.
func TestRepeatedCallGetsOneAnswer(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	for _, id := range []string{"a", "b"} {
		s.engine(id, func(call *engineCall) {
			if s.runs() == 1 {
				call.head("HTTP/1.1", 200, "Content-Length: 40")
				call.write("half of the first engine's")
				call.reset()
				return
			}
			call.answer(200, "all of the second's")
		})
	}
	got := s.send("/safe/", "c1", "")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, "all of the second's")
	assert.Equal(t, s.runs(), int64(2))
}

// runs is how many calls all engines have got.
func (s *site) runs() int64 {
	var sum int64
	for _, engine := range s.engines {
		sum += engine.runs.Load()
	}
	return sum
}
