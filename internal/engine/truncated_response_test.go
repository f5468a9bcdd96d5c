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

// serveRaw sends the given bytes in response to the first request and closes the connection.
func serveRaw(t *testing.T, response string) Target {
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
		_, _ = io.WriteString(connection, response)
	}()
	return Target{URL: "http://" + listener.Addr().String()}
}

// TestTruncatedApplicationResponseIsError checks that an application's response whose framing shows that it is truncated gives an
// error, so that it is not stored.
func TestTruncatedApplicationResponseIsError(t *testing.T) {
	const header = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
	responses := map[string]string{
		"empty":                      "",
		"partial header":             "HTTP/1.1 200 OK\r\nContent-Type: te",
		"unterminated header":        header,
		"no body":                    header + "Content-Length: 10\r\n\r\n",
		"partial body":               header + "Content-Length: 10\r\n\r\nhello",
		"no chunk":                   header + "Transfer-Encoding: chunked\r\n\r\n",
		"partial chunk":              header + "Transfer-Encoding: chunked\r\n\r\na\r\nhello",
		"no last chunk":              header + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
		"unterminated trailers":      header + "Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n5\r\nhello\r\n0\r\nX-Sum: 1\r\n",
		"no length":                  header + "\r\nhello",
		"head of bare line feeds":    "HTTP/1.1 200 OK\nContent-Type: text/plain\n\nhello",
		"no length, HTTP/1.0":        "HTTP/1.0 200 OK\r\n\r\nhello",
		"partial body with HTTP/1.0": "HTTP/1.0 200 OK\r\nContent-Length: 10\r\n\r\nhello",
	}
	for name, response := range responses {
		t.Run(name, func(t *testing.T) {
			got, err := NewApplication().Do(t.Context(), serveRaw(t, response), ApplicationRequest{Method: http.MethodPost, Body: []byte("x")})
			var interrupted *ErrInterrupted
			assert.Assert(t, errors.As(err, &interrupted), "%v, %v", got, err)
		})
	}
}

// TestModelStreamEndsWithDoneMarker checks that a streamed response is complete if and only if it ends with the [DONE] marker,
// independent of HTTP framing.
func TestModelStreamEndsWithDoneMarker(t *testing.T) {
	const complete = `data: {"choices":[{"delta":{"content":"a"},"finish_reason":"stop"}]}` + "\n\ndata: [DONE]\n\n"
	const incomplete = `data: {"choices":[{"delta":{"content":"a"}}]}` + "\n\n"
	headers := map[string]string{
		"closed connection":  "HTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.0":           "HTTP/1.0 200 OK\r\n\r\n",
		"other content type": "HTTP/1.1 200 OK\r\nContent-Type: text/html\r\n\r\n",
	}
	for name, header := range headers {
		t.Run(name, func(t *testing.T) {
			for body, want := range map[string]error{complete: io.EOF, incomplete: io.ErrUnexpectedEOF, "": io.ErrUnexpectedEOF} {
				stream, err := NewOpenAI().Chat(t.Context(), serveRaw(t, header+body), ChatRequest{Model: "m"})
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
