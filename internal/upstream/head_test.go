package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/membudget"
)

const responseHead = "HTTP/1.1 200 OK\r\n"

// endless are responses whose part repeats until the gateway closes the connection.
var endless = []struct{ name, start, part string }{
	{"status line", "HTTP/1.1 200 ", "x"},
	{"no HTTP", "", "x"},
	{"no lines", "", "\x00"},
	{"header line", responseHead + "X: ", "x"},
	{"header lines", responseHead, "X: y\r\n"},
	{"header name", responseHead, "x"},
	{"interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	{"large interim responses", "", "HTTP/1.1 103 Early Hints\r\nLink: " + strings.Repeat("x", 20000) + "\r\n\r\n"},
}

// repeat writes the part until the connection is closed, and returns the number of bytes written.
func repeat(connection net.Conn, part string, pieceBytes int) (written int64) {
	piece := strings.Repeat(part, max(pieceBytes/len(part), 1))
	for {
		count, err := io.WriteString(connection, piece)
		written += int64(count)
		if err != nil {
			return written
		}
	}
}

// Guards against heads without end, which are read until the memory of the process is used up.
func TestEndlessHeadIsNoResponse(t *testing.T) {
	for _, test := range endless {
		t.Run(test.name, func(t *testing.T) {
			closed := make(chan int64, 1)
			engine := startEngine(t, func(connection net.Conn, reader *bufio.Reader, _ int64) {
				if _, _, err := readRequest(reader); err == nil {
					_, _ = io.WriteString(connection, test.start)
					closed <- repeat(connection, test.part, 32<<10)
				}
			})
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			budget := membudget.New(64<<20, nil)
			pool := engine.pool(1)
			pool.SetMemory(budget)
			_, err := pool.Send(ctx, post("x"))
			var failed *ErrExchange
			assert.Assert(t, errors.As(err, &failed) && failed.Sent, "%v", err)
			assert.NilError(t, ctx.Err())
			assert.Equal(t, budget.Used(), int64(0))
			<-closed
		})
	}
}

// Guards against heads that arrive so slowly that they hold their call until its deadline.
func TestTrickledHeadIsNoResponse(t *testing.T) {
	for _, test := range endless {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			engine := startEngine(t, func(connection net.Conn, reader *bufio.Reader, _ int64) {
				if _, _, err := readRequest(reader); err != nil {
					return
				}
				_, _ = io.WriteString(connection, test.start)
				ticker := time.NewTicker(50 * time.Millisecond)
				defer ticker.Stop()
				for range ticker.C {
					if _, err := io.WriteString(connection, test.part); err != nil {
						return
					}
				}
			})
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			_, err := engine.pool(1).Send(ctx, post("x"))
			var failed *ErrExchange
			assert.Assert(t, errors.As(err, &failed) && failed.Sent, "%v", err)
			assert.NilError(t, ctx.Err())
		})
	}
}

// Guards against bounds that refuse the responses of sound engines.
func TestLargeAndSlowHeadsAreResponses(t *testing.T) {
	large := "X-Large: " + strings.Repeat("x", 40<<10) + "\r\n"
	engine := startEngine(t, func(connection net.Conn, reader *bufio.Reader, _ int64) {
		for {
			if _, _, err := readRequest(reader); err != nil {
				return
			}
			reply(connection, "HTTP/1.1 100 Continue\r\n\r\n")
			timer := time.NewTimer(headTimeout + 200*time.Millisecond)
			<-timer.C
			reply(connection, "HTTP/1.1 200 OK\r\n%s", large)
			reply(connection, "Content-Length: 2\r\n\r\n")
			timer.Reset(headTimeout + 200*time.Millisecond)
			<-timer.C
			reply(connection, "ok")
		}
	})
	pool := engine.pool(1)
	pool.SetMemory(membudget.New(8<<20, nil))
	for range 2 {
		body, err := sendAndReadBody(t, pool, post("x"))
		assert.NilError(t, err)
		assert.Equal(t, body, "ok")
	}
	assert.Equal(t, engine.accepted.Load(), int64(1))
}

// Guards against chunk extensions and trailers without end.
func TestEndlessFramingEndsTheBody(t *testing.T) {
	for _, test := range []struct{ name, start, part string }{
		{"chunk extension", "1;", "x"}, {"chunk extensions", "", "1;" + strings.Repeat("x", 1000) + "\r\ny\r\n"},
		{"trailer", "0\r\nX: ", "x"}, {"trailer lines", "0\r\n", "X: y\r\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			var written atomic.Int64
			engine := startEngine(t, func(connection net.Conn, reader *bufio.Reader, _ int64) {
				if _, _, err := readRequest(reader); err == nil {
					reply(connection, responseHead+"Transfer-Encoding: chunked\r\n\r\n%s", test.start)
					written.Store(repeat(connection, test.part, 1000))
				}
			})
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			exchange, err := engine.pool(1).Send(ctx, post("x"))
			assert.NilError(t, err)
			read, err := io.Copy(io.Discard, exchange.Response().Body)
			exchange.Abort()
			assert.Assert(t, err != nil)
			assert.NilError(t, ctx.Err())
			assert.Assert(t, read < maxHeadBytes, fmt.Sprint(read))
		})
	}
}

// Guards against a refusal whose body arrives so slowly that the call isn't sent to another engine.
func TestDiscardIsBounded(t *testing.T) {
	engine := startEngine(t, func(connection net.Conn, reader *bufio.Reader, _ int64) {
		for {
			request, _, err := readRequest(reader)
			if err != nil {
				return
			}
			reply(connection, "HTTP/1.1 429 Full\r\nContent-Length: 100\r\n\r\n")
			if request.Header.Get("X-One") == "1" {
				_, _ = reader.ReadByte()
				return
			}
			reply(connection, "%s", strings.Repeat("x", 100))
		}
	})
	pool := engine.pool(1)
	whole := post("x")
	whole.Header = http.Header{}
	for range 2 {
		exchange, err := pool.Send(context.Background(), whole)
		assert.NilError(t, err)
		exchange.Discard(100)
	}
	assert.Equal(t, engine.accepted.Load(), int64(1))
	exchange, err := pool.Send(context.Background(), post("x"))
	assert.NilError(t, err)
	startedAt := time.Now()
	exchange.Discard(100)
	assert.Assert(t, time.Since(startedAt) < time.Second)
	assert.Equal(t, pool.openCount, 0)
}

// Only the announcement in the head of the response itself says that the connection ends its body.
func TestAnnouncedCloseIsThatOfTheFinalHead(t *testing.T) {
	const hints = "HTTP/1.1 103 Early Hints\r\nConnection: close\r\n\r\n"
	for _, row := range []struct {
		start         string
		informational int
		announced     bool
	}{
		{"HTTP/1.1 200 OK\r\nA: b\r\nconnection: Keep-Alive, CLOSE\r\n\r\n", 0, true},
		{"HTTP/1.1 200 OK\nConnection: close\n\n", 0, true},
		{"HTTP/1.1 200 OK\r\nConnection: keep-alive\r\n\r\nConnection: close\r\n", 0, false},
		{"HTTP/1.1 200 OK\r\nX-Connection: close\r\n\r\n", 0, false},
		{hints + "HTTP/1.1 200 OK\r\n\r\n", 1, false},
		{hints + "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", 1, true},
		{"", 0, false},
	} {
		assert.Equal(t, announcesClose([]byte(row.start), row.informational), row.announced, "%q", row.start)
	}
}
