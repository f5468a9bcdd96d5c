package ingress

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/standin/memorylog"
)

// Requests that net/http refuses are logged; those refused by a handler are not logged twice.
func TestMalformedRequestsAreLogged(t *testing.T) {
	t.Parallel()
	var log memorylog.Log
	node := &Node{server: New(Options{Logger: events.NewLogger(&log, logrus.InfoLevel, "gateway")})}
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{
		MaxHeaderBytes: 4 << 10,
		Handler: http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			writer.WriteHeader(http.StatusNotFound)
		}),
	}
	go func() { _ = server.Serve(node.Listener(inner)) }()
	t.Cleanup(func() { _ = server.Close() })
	exchange := func(text string) int {
		connection, err := net.Dial("tcp", inner.Addr().String())
		assert.NilError(t, err)
		defer connection.Close()
		_, err = io.WriteString(connection, text)
		assert.NilError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(connection), nil)
		assert.NilError(t, err, text)
		return response.StatusCode
	}
	assert.Equal(t, exchange("GET / HTTP/1.1\r\nHost: h\r\n\r\n"), http.StatusNotFound)
	assert.Equal(t, exchange("GET / HTTP/1.1\r\n\r\n"), http.StatusBadRequest)
	assert.Equal(t, exchange("nonsense\r\n\r\n"), http.StatusBadRequest)
	assert.Equal(t, exchange("GET / HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("x", 12<<10)+"\r\n\r\n"), http.StatusRequestHeaderFieldsTooLarge)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if log.Count("request_malformed") == 3 {
			return poll.Success()
		}
		return poll.Continue("%s", log.Text())
	})
	assert.Assert(t, strings.Contains(log.Text(), "missing required Host header"), log.Text())
	assert.Assert(t, strings.Contains(log.Text(), `"status":431`), log.Text())
	assert.Assert(t, !strings.Contains(log.Text(), `"status":404`), log.Text())
}

// Guards against a body that begins like a short status line and ends the exchange with a panic.
func TestBodyThatBeginsLikeAStatusLineIsWritten(t *testing.T) {
	near, far := net.Pipe()
	t.Cleanup(func() { _ = near.Close() })
	go func() { _, _ = io.Copy(io.Discard, far) }()
	connection := &callerConnection{Conn: near, server: New(Options{Logger: events.Discard()})}
	for _, body := range []string{"HTTP/1.1 4", "HTTP/1.1 4\r\n", "HTTP/1.1 40\r\nx", "HTTP/1.1 404"} {
		written, err := connection.Write([]byte(body))
		assert.NilError(t, err)
		assert.Equal(t, written, len(body))
	}
}
