package eventstream

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// idText returns events with these IDs.
func idText(ids ...string) string {
	var text strings.Builder
	for _, id := range ids {
		text.WriteString("id: " + id + "\ndata: " + id + "\n\n")
	}
	return text.String()
}

// An engine that ignores the position to resume from sends the stream from its start. The caller
// must not get an event twice, whatever the format of the IDs.
func TestRestartedStreamIsRejected(t *testing.T) {
	t.Parallel()
	for name, ids := range map[string][]string{
		"numbers":              {"1", "2", "3", "4"},
		"leading zeros":        {"008", "009", "010", "011"},
		"beyond 64 bits":       {"18446744073709551616", "18446744073709551617", "18446744073709551618", "18446744073709551619"},
		"across 64 bits":       {"18446744073709551614", "18446744073709551615", "18446744073709551616", "18446744073709551617"},
		"words":                {"a", "b", "c", "d"},
		"name and number":      {"run-1", "run-2", "run-3", "run-4"},
		"negative":             {"-4", "-3", "-2", "-1"},
		"timestamp and number": {"1700000000-0", "1700000000-1", "1700000001-0", "1700000001-1"},
	} {
		stream := New(Options{Resumable: true})
		assert.NilError(t, stream.Begin(eventHead))
		output, err := stream.Feed([]byte(idText(ids[:2]...)))
		assert.NilError(t, err, name)
		got := string(output)
		stream.Interrupt()
		if !stream.CanResume() {
			continue
		}
		assert.NilError(t, stream.Begin(eventHead))
		output, err = stream.Feed([]byte(idText(ids...)))
		got += string(output)
		assert.Check(t, err != nil && got == idText(ids[:2]...), "%s: the caller got %q", name, got)
	}
}

// A valid continuation is forwarded whatever the format of its IDs.
func TestContinuationIsForwarded(t *testing.T) {
	t.Parallel()
	for name, ids := range map[string][]string{
		"numbers":        {"1", "2", "3", "4"},
		"leading zeros":  {"008", "009", "010", "011"},
		"beyond 64 bits": {"18446744073709551616", "18446744073709551617", "18446744073709551618", "18446744073709551619"},
		"across 64 bits": {"18446744073709551614", "18446744073709551615", "18446744073709551616", "18446744073709551617"},
		"gaps":           {"10", "20", "30", "40"},
	} {
		stream := New(Options{Resumable: true})
		assert.NilError(t, stream.Begin(eventHead))
		_, err := stream.Feed([]byte(idText(ids[:2]...)))
		assert.NilError(t, err, name)
		stream.Interrupt()
		assert.Assert(t, stream.CanResume(), name)
		assert.NilError(t, stream.Begin(eventHead))
		output, err := stream.Feed([]byte(idText(ids[2:]...)))
		assert.NilError(t, err, name)
		assert.Equal(t, string(output), idText(ids[2:]...), name)
	}
}

// Every form of the event stream standard is forwarded unchanged, and events end where the standard
// says, at any split of the input.
func TestStandardStreamsAreForwardedUnchanged(t *testing.T) {
	t.Parallel()
	for name, text := range map[string]string{
		"LF":                     "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
		"CRLF":                   "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n",
		"CR":                     "id: 1\rdata: a\r\rid: 2\rdata: b\r\r",
		"byte order mark":        "\ufeffid: 1\ndata: a\n\nid: 2\ndata: b\n\n",
		"multiple data lines":    "id: 1\ndata: a\ndata: a\n\nid: 2\ndata\n\n",
		"comments":               ": hello\n\nid: 1\ndata: a\n\n:\n\nid: 2\ndata: b\n\n: bye\n\n",
		"comment at the end":     "id: 1\ndata: a\n\nid: 2\ndata: b\n\n: bye",
		"retry fields":           "retry: 10\n\nid: 1\ndata: a\n\nid: 2\ndata: b\n\nretry: 10\n\n",
		"retry field at the end": "id: 1\ndata: a\n\nid: 2\ndata: b\n\nretry: 10\n",
		"event without data":     "id: 1\ndata: a\n\nid: 2\ndata: b\n\nevent: done\n\n",
		"empty lines at the end": "id: 1\ndata: a\n\nid: 2\ndata: b\n\n\n\r\n",
	} {
		for _, resumable := range []bool{true, false} {
			for cut := range len(text) {
				stream := New(Options{Resumable: resumable, KeepOutput: true})
				assert.NilError(t, stream.Begin(eventHead))
				var got strings.Builder
				for _, piece := range []string{text[:cut], text[cut:]} {
					output, err := stream.Feed([]byte(piece))
					assert.NilError(t, err, name)
					got.Write(output)
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

// A line without an end must not exhaust memory, also if the stream is only passed through.
func TestUnterminatedLineIsBounded(t *testing.T) {
	t.Parallel()
	stream := New(Options{})
	assert.NilError(t, stream.Begin(eventHead))
	piece := []byte(strings.Repeat("x", 1<<20))
	for sent := 0; sent <= 2*maxBufferedBytes; sent += len(piece) {
		if _, err := stream.Feed(piece); err != nil {
			return
		}
	}
	assert.Assert(t, len(stream.scanner.line) <= maxBufferedBytes, "%d bytes are buffered", len(stream.scanner.line))
}
