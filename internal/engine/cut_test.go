package engine

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// rawAnswer serves bytes as the answer to the first request, and closes the connection.
func rawAnswer(t *testing.T, answer string) Target {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = connection.Close() }()
		request, err := http.ReadRequest(bufio.NewReader(connection))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(connection, answer)
	}()
	return Target{URL: "http://" + listener.Addr().String()}
}

// TestCutApplicationAnswerIsBroken: an application's answer that breaks off is never stored, wherever its framing tells that something is
// missing.
func TestCutApplicationAnswerIsBroken(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
	answers := map[string]string{
		"nothing":                      "",
		"half a head":                  "HTTP/1.1 200 OK\r\nContent-Type: te",
		"a head without its end":       head,
		"no body of its length":        head + "Content-Length: 10\r\n\r\n",
		"half of its length":           head + "Content-Length: 10\r\n\r\nhello",
		"no chunk":                     head + "Transfer-Encoding: chunked\r\n\r\n",
		"half a chunk":                 head + "Transfer-Encoding: chunked\r\n\r\na\r\nhello",
		"no last chunk":                head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
		"no end of the trailers":       head + "Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n5\r\nhello\r\n0\r\nX-Sum: 1\r\n",
		"length of HTTP/1.0 not there": "HTTP/1.0 200 OK\r\nContent-Length: 10\r\n\r\nhello",
	}
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			got, err := NewApplication().Do(t.Context(), rawAnswer(t, answer), ApplicationRequest{Method: http.MethodPost, Body: []byte("x")})
			var broken *ErrInterrupted
			assert.Assert(t, errors.As(err, &broken), "%v, %v", got, err)
		})
	}
}

// TestModelAnswerNeedsNoFraming: the end mark alone tells that a model's answer is whole, also where its connection's end is the end of the
// body; without it a body that is framed as whole is broken.
func TestModelAnswerNeedsNoFraming(t *testing.T) {
	const whole = `data: {"choices":[{"delta":{"content":"a"},"finish_reason":"stop"}]}` + "\n\ndata: [DONE]\n\n"
	const half = `data: {"choices":[{"delta":{"content":"a"}}]}` + "\n\n"
	heads := map[string]string{
		"ended by close": "HTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.0":       "HTTP/1.0 200 OK\r\n\r\n",
		"other type":     "HTTP/1.1 200 OK\r\nContent-Type: text/html\r\n\r\n",
	}
	for name, head := range heads {
		t.Run(name, func(t *testing.T) {
			for body, want := range map[string]error{whole: io.EOF, half: io.ErrUnexpectedEOF, "": io.ErrUnexpectedEOF} {
				stream, err := NewOpenAI().Chat(t.Context(), rawAnswer(t, head+body), ChatRequest{Model: "m"})
				assert.NilError(t, err)
				for err == nil {
					_, err = stream.Next()
				}
				stream.Close()
				assert.ErrorIs(t, err, want)
			}
		})
	}
}
