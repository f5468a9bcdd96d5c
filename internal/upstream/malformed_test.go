package upstream

import (
	"bufio"
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"net/textproto"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/responsecheck"
	"github.com/mountstile/mountstile/internal/standin/rawserver"
)

// sendRaw sends a request to an engine that responds with raw bytes, and keeps the connection open until the pool closes it.
func sendRaw(t *testing.T, raw string) (pool *Pool, exchange *Exchange, err error) {
	t.Helper()
	server := startEngine(t, func(connection net.Conn, reader *bufio.Reader, _ int64) {
		if _, _, err := readRequest(reader); err == nil {
			_, _ = io.WriteString(connection, raw)
			_, _ = reader.ReadByte()
		}
	})
	pool = server.pool(1)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	t.Cleanup(cancel)
	exchange, err = pool.Send(ctx, post("x"))
	return pool, exchange, err
}

// Guards against malformed heads that are passed on as responses, or whose connection carries another request.
func TestMalformedHeadIsNoResponse(t *testing.T) {
	for name, raw := range rawserver.MalformedHeads("X-Mark: m\r\n", "ok") {
		t.Run(name, func(t *testing.T) {
			pool, exchange, err := sendRaw(t, raw)
			if err == nil {
				t.Fatalf("taken for a response with status %d and header %v", exchange.Response().StatusCode, exchange.Response().Header)
			}
			var failed *ErrExchange
			assert.Assert(t, errors.As(err, &failed) && failed.Sent, "%v", err)
			var status *responsecheck.ErrStatus
			var fieldName *responsecheck.ErrFieldName
			assert.Assert(t, errors.As(err, &status) || errors.As(err, &fieldName), "%v", err)
			assert.Equal(t, pool.openCount, 0)
		})
	}
	for name, raw := range rawserver.UnreadableHeads("X-Mark: m\r\n", "ok") {
		t.Run(name, func(t *testing.T) {
			pool, _, err := sendRaw(t, raw)
			var failed *ErrExchange
			assert.Assert(t, errors.As(err, &failed) && failed.Sent, "%v", err)
			var protocol textproto.ProtocolError
			assert.Assert(t, errors.As(err, &protocol), "%v", err)
			assert.Equal(t, pool.openCount, 0)
		})
	}
}

// Guards against a check that rejects the responses of sound engines.
func TestUnusualHeadIsAResponse(t *testing.T) {
	const rest = "Content-Length: 2\r\n\r\nok"
	for name, test := range map[string]struct {
		raw    string
		status int
	}{
		"status 599":               {"HTTP/1.1 599 Last\r\n" + rest, 599},
		"undefined status":         {"HTTP/1.1 299 Other\r\n" + rest, 299},
		"empty reason":             {"HTTP/1.1 200 \r\n" + rest, 200},
		"no reason":                {"HTTP/1.1 200\r\n" + rest, 200},
		"empty value":              {"HTTP/1.1 200 OK\r\nX-Mark:\r\n" + rest, 200},
		"folded value":             {"HTTP/1.1 200 OK\r\nX-Mark: m\r\n n\r\n" + rest, 200},
		"all characters of names":  {"HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: m\r\n" + rest, 200},
		"undefined interim status": {"HTTP/1.1 199 Other\r\n\r\nHTTP/1.1 200 OK\r\n" + rest, 200},
	} {
		t.Run(name, func(t *testing.T) {
			pool, exchange, err := sendRaw(t, test.raw)
			assert.NilError(t, err)
			assert.Equal(t, exchange.Response().StatusCode, test.status)
			body, err := io.ReadAll(exchange.Response().Body)
			assert.NilError(t, err)
			assert.Equal(t, string(body), "ok")
			exchange.Finish()
			_, err = pool.get(t.Context())
			assert.NilError(t, err)
			assert.Equal(t, pool.Opened(), int64(1))
		})
	}
}

// Guards against malformed trailers that end a body as if they were whole, or whose connection carries another request.
func TestMalformedTrailerIsNoEnd(t *testing.T) {
	responses := rawserver.MalformedTrailers("X-Mark: m\r\n", "ok")
	maps.Copy(responses, rawserver.UnreadableTrailers("X-Mark: m\r\n", "ok"))
	for name, raw := range responses {
		t.Run(name, func(t *testing.T) {
			pool, exchange, err := sendRaw(t, raw)
			if err == nil {
				_, err = io.ReadAll(exchange.Response().Body)
				assert.Assert(t, err != nil)
				_, err = exchange.Response().Body.Read(make([]byte, 1))
				assert.Assert(t, err != nil && !errors.Is(err, io.EOF), "%v", err)
				exchange.Abort()
			}
			assert.Assert(t, !errors.Is(err, net.ErrClosed), "%v", err)
			assert.Equal(t, pool.openCount, 0)
		})
	}
}

// Guards against a check that rejects well-formed trailers.
func TestTrailerIsRead(t *testing.T) {
	_, exchange, err := sendRaw(t, "HTTP/1.1 200 OK\r\nTrailer: X-One\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-One: 1\r\nX-Two: 2\r\n\r\n")
	assert.NilError(t, err)
	body, err := io.ReadAll(exchange.Response().Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "ok")
	assert.DeepEqual(t, exchange.Response().Trailer, http.Header{"X-One": {"1"}, "X-Two": {"2"}})
}
