package eventstream

import (
	"testing"

	"gotest.tools/v3/assert"
)

// streamFromPieces feeds the pieces of a body to a stream that can't be resumed.
func streamFromPieces(pieces ...string) *Stream {
	stream := New(Options{KeepOutput: true})
	_ = stream.Begin(eventHead)
	for _, piece := range pieces {
		_, _ = stream.Feed([]byte(piece))
	}
	return stream
}

func TestEventsSplitAtAnyOffset(t *testing.T) {
	t.Parallel()
	text := "id: 1\r\ndata: a\r\n\r\n: note\n\nid:2\ndata:b\ndata: c\n\nevent: x\n\ndata: d\n"
	for cut := range len(text) {
		stream := streamFromPieces(text[:cut], text[cut:])
		assert.Equal(t, stream.EventsForwarded(), 2, "cut at %d", cut)
		assert.Equal(t, string(stream.Output()), "a\nb\nc\n")
		assert.Equal(t, stream.LastEvent(), "2")
		assert.Equal(t, stream.EventsStarted(), 3)
	}
}

func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\n"), 3)
	f.Fuzz(func(t *testing.T, text []byte, cut int) {
		cut = min(max(cut, 0), len(text))
		whole, parts := streamFromPieces(string(text)), streamFromPieces(string(text[:cut]), string(text[cut:]))
		assert.Equal(t, whole.EventsForwarded(), parts.EventsForwarded())
		assert.Equal(t, string(whole.Output()), string(parts.Output()))
		resumable := New(Options{Resumable: true})
		assert.NilError(t, resumable.Begin(eventHead))
		var output []byte
		for _, piece := range [][]byte{text[:cut], text[cut:]} {
			got, err := resumable.Feed(piece)
			output = append(output, got...)
			if err != nil {
				break
			}
		}
		assert.Assert(t, len(output) <= len(text) && string(output) == string(text[:len(output)]))
	})
}
