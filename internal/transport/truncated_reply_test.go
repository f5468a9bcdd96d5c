package transport

import (
	"bufio"
	"encoding/json"
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/apierr"
)

// A reply that is truncated, empty or malformed must fail the call with an unknown outcome, without a partial response.
func TestIncompleteReplyIsNotDelivered(t *testing.T) {
	encodeReply := func(request frame) string {
		line, err := json.Marshal(frame{Kind: request.Kind, ID: request.ID, Reply: true, Payload: json.RawMessage(`{"text":"response"}`)})
		assert.Check(t, err)
		return string(line)
	}
	replies := map[string]func(request frame) string{
		"nothing":            func(frame) string { return "" },
		"half a line":        func(request frame) string { return encodeReply(request)[:20] },
		"no newline":         encodeReply,
		"no payload":         func(request frame) string { return `{"k":"echo","i":` + jsonNumber(request.ID) + `,"r":true}` + "\n" },
		"an empty line":      func(frame) string { return "\n" },
		"wrong ID":           func(request frame) string { return encodeReply(frame{Kind: request.Kind, ID: request.ID + 1}) + "\n" },
		"split by a newline": func(request frame) string { return encodeReply(request)[:20] + "\n" + encodeReply(request)[20:] + "\n" },
	}
	for name, reply := range replies {
		t.Run(name, func(t *testing.T) {
			client, _ := serve(t, Options{Cluster: "c", NodeID: "b"})
			got, err := Call[echo](t.Context(), client, Peer{Address: serveReply(t, reply)}, "echo", echo{"x"})
			assert.Equal(t, apierr.From(err, apierr.Ran).Outcome, apierr.OutcomeUnknown, "%v", err)
			assert.Equal(t, got, echo{})
		})
	}
}

func jsonNumber(number uint64) string {
	encoded, _ := json.Marshal(number)
	return string(encoded)
}

// serveReply runs a peer that sends reply to its first request and closes the connection.
func serveReply(t *testing.T, reply func(frame) string) (address string) {
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
				_, _ = raw.Write([]byte(reply(request)))
				return
			}
		}
	}()
	return listener.Addr().String()
}
