package transport

import (
	"bufio"
	"encoding/json"
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/apierr"
)

// TestCutAnswerIsNone: a peer whose answer breaks off anywhere, also just before its line's end, or comes without anything in it, has not
// answered. The caller learns that the outcome is unknown, and gets nothing of what came.
func TestCutAnswerIsNone(t *testing.T) {
	whole := func(request frame) string {
		line, err := json.Marshal(frame{Kind: request.Kind, ID: request.ID, Reply: true, Payload: json.RawMessage(`{"text":"the answer"}`)})
		assert.Check(t, err)
		return string(line)
	}
	answers := map[string]func(request frame) string{
		"nothing":          func(frame) string { return "" },
		"half a line":      func(request frame) string { return whole(request)[:20] },
		"all but its end":  whole,
		"an empty answer":  func(request frame) string { return `{"k":"echo","i":` + jsonNumber(request.ID) + `,"r":true}` + "\n" },
		"an empty line":    func(frame) string { return "\n" },
		"another's answer": func(request frame) string { return whole(frame{Kind: request.Kind, ID: request.ID + 1}) + "\n" },
		"two halves":       func(request frame) string { return whole(request)[:20] + "\n" + whole(request)[20:] + "\n" },
	}
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			client, _ := serve(t, Options{Cluster: "c", NodeID: "b"})
			got, err := Call[echo](t.Context(), client, answering(t, answer), "echo", echo{"x"})
			assert.Equal(t, apierr.From(err, apierr.Ran).Outcome, apierr.OutcomeUnknown, "%v", err)
			assert.Equal(t, got, echo{})
		})
	}
}

func jsonNumber(number uint64) string {
	encoded, _ := json.Marshal(number)
	return string(encoded)
}

// answering is a peer that sends answer to its first request, and closes the connection.
func answering(t *testing.T, answer func(frame) string) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		raw, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = raw.Close() }()
		reader := bufio.NewReader(raw)
		for {
			line, err := readLine(reader, MaxLineBytes)
			if err != nil {
				return
			}
			if request, err := decodeFrame(line); err == nil && request.Kind == "echo" {
				_, _ = raw.Write([]byte(answer(request)))
				return
			}
		}
	}()
	return listener.Addr().String()
}
