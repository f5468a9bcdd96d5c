package eventstream

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// idText is the text of events with these IDs.
func idText(ids ...string) string {
	var text strings.Builder
	for _, id := range ids {
		text.WriteString("id: " + id + "\ndata: " + id + "\n\n")
	}
	return text.String()
}

// An engine that does not know where a stream is to go on begins it anew. Whatever the IDs look like, the caller must not get an
// event that it has.
func TestRunThatBeginsAnewIsNotTheRest(t *testing.T) {
	t.Parallel()
	for name, ids := range map[string][]string{
		"numbers":              {"1", "2", "3", "4"},
		"leading zeros":        {"008", "009", "010", "011"},
		"beyond 64 bits":       {"18446744073709551616", "18446744073709551617", "18446744073709551618", "18446744073709551619"},
		"over the 64 bits":     {"18446744073709551614", "18446744073709551615", "18446744073709551616", "18446744073709551617"},
		"names":                {"a", "b", "c", "d"},
		"a number and a part":  {"run-1", "run-2", "run-3", "run-4"},
		"negative":             {"-4", "-3", "-2", "-1"},
		"timestamps and parts": {"1700000000-0", "1700000000-1", "1700000001-0", "1700000001-1"},
	} {
		stream := New(Options{Resumable: true})
		assert.NilError(t, stream.Begin(eventHead))
		passed, err := stream.Feed([]byte(idText(ids[:2]...)))
		assert.NilError(t, err, name)
		got := string(passed)
		stream.Interrupt()
		if !stream.CanResume() {
			continue
		}
		assert.NilError(t, stream.Begin(eventHead))
		passed, err = stream.Feed([]byte(idText(ids...)))
		got += string(passed)
		assert.Check(t, err != nil && got == idText(ids[:2]...), "%s: the caller got %q", name, got)
	}
}

// However the IDs look, the rest is the rest.
func TestRestPassesWhateverItsIDs(t *testing.T) {
	t.Parallel()
	for name, ids := range map[string][]string{
		"numbers":          {"1", "2", "3", "4"},
		"leading zeros":    {"008", "009", "010", "011"},
		"beyond 64 bits":   {"18446744073709551616", "18446744073709551617", "18446744073709551618", "18446744073709551619"},
		"over the 64 bits": {"18446744073709551614", "18446744073709551615", "18446744073709551616", "18446744073709551617"},
		"gaps":             {"10", "20", "30", "40"},
	} {
		stream := New(Options{Resumable: true})
		assert.NilError(t, stream.Begin(eventHead))
		_, err := stream.Feed([]byte(idText(ids[:2]...)))
		assert.NilError(t, err, name)
		stream.Interrupt()
		assert.Assert(t, stream.CanResume(), name)
		assert.NilError(t, stream.Begin(eventHead))
		passed, err := stream.Feed([]byte(idText(ids[2:]...)))
		assert.NilError(t, err, name)
		assert.Equal(t, string(passed), idText(ids[2:]...), name)
	}
}

// What the standard of event streams allows passes as it is, and events end where it says.
func TestStreamsOfTheStandardPassUnchanged(t *testing.T) {
	t.Parallel()
	for name, text := range map[string]string{
		"line feeds":                "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
		"carriage returns and feed": "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n",
		"carriage returns":          "id: 1\rdata: a\r\rid: 2\rdata: b\r\r",
		"byte order mark":           "\ufeffid: 1\ndata: a\n\nid: 2\ndata: b\n\n",
		"several data lines":        "id: 1\ndata: a\ndata: a\n\nid: 2\ndata\n\n",
		"comments":                  ": hello\n\nid: 1\ndata: a\n\n:\n\nid: 2\ndata: b\n\n: bye\n\n",
		"comment at the end":        "id: 1\ndata: a\n\nid: 2\ndata: b\n\n: bye",
		"pause before a retry":      "retry: 10\n\nid: 1\ndata: a\n\nid: 2\ndata: b\n\nretry: 10\n\n",
		"a retry at the end":        "id: 1\ndata: a\n\nid: 2\ndata: b\n\nretry: 10\n",
		"a name without data":       "id: 1\ndata: a\n\nid: 2\ndata: b\n\nevent: done\n\n",
		"empty lines at the end":    "id: 1\ndata: a\n\nid: 2\ndata: b\n\n\n\r\n",
	} {
		for _, resumable := range []bool{true, false} {
			for cut := range len(text) {
				stream := New(Options{Resumable: resumable, KeepOutput: true})
				assert.NilError(t, stream.Begin(eventHead))
				var got strings.Builder
				for _, piece := range []string{text[:cut], text[cut:]} {
					passed, err := stream.Feed([]byte(piece))
					assert.NilError(t, err, name)
					got.Write(passed)
				}
				rest, err := stream.End()
				got.Write(rest)
				if !assert.Check(t, err == nil && got.String() == text && stream.EventsForwarded() == 2,
					"%s, resumable %t: %d events, %v, %q", name, resumable, stream.EventsForwarded(), err, got.String()) {
					break
				}
			}
		}
	}
}

// What is remembered of a stream that passes through has a bound, too: an engine that sends no line feed must not take the node's memory.
func TestLineThatNeverEndsIsNotHeld(t *testing.T) {
	t.Parallel()
	stream := New(Options{})
	assert.NilError(t, stream.Begin(eventHead))
	piece := []byte(strings.Repeat("x", 1<<20))
	for sent := 0; sent <= 2*maximalHeldBytes; sent += len(piece) {
		if _, err := stream.Feed(piece); err != nil {
			return
		}
	}
	assert.Assert(t, len(stream.scanner.line) <= maximalHeldBytes, "%d bytes are held", len(stream.scanner.line))
}
