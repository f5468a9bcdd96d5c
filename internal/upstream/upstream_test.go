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
	"gotest.tools/v3/poll"
)

// engine is a server that runs a script on each connection.
type engine struct {
	listener net.Listener
	accepted atomic.Int64
}

func startEngine(t *testing.T, script func(connection net.Conn, reader *bufio.Reader, number int64)) *engine {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	started := &engine{listener: listener}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			number := started.accepted.Add(1)
			go func() {
				defer connection.Close()
				script(connection, bufio.NewReader(connection), number)
			}()
		}
	}()
	t.Cleanup(func() { _ = listener.Close() })
	return started
}

func (e *engine) pool(limit int) *Pool {
	return NewPool(e.listener.Addr().String(), limit, Dialer(time.Second, time.Second))
}

func readRequest(reader *bufio.Reader) (*http.Request, []byte, error) {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return nil, nil, err
	}
	body, err := io.ReadAll(request.Body)
	return request, body, err
}

func reply(connection net.Conn, format string, args ...any) {
	_, _ = fmt.Fprintf(connection, format, args...)
}

// echo responds to each request with its body.
func echo(connection net.Conn, reader *bufio.Reader, _ int64) {
	for {
		_, body, err := readRequest(reader)
		if err != nil {
			return
		}
		reply(connection, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
}

func post(body string) *Request {
	return &Request{Method: http.MethodPost, Target: "/a/b?c=%20d", Host: "h.example", Header: http.Header{"X-One": {"1"}}, Body: []byte(body)}
}

// sendAndReadBody sends a request and returns the whole response body.
func sendAndReadBody(t *testing.T, pool *Pool, request *Request) (string, error) {
	t.Helper()
	exchange, err := pool.Send(context.Background(), request)
	if err != nil {
		return "", err
	}
	defer exchange.Abort()
	body, err := io.ReadAll(exchange.Response().Body)
	if err != nil {
		return "", err
	}
	exchange.Finish()
	return string(body), nil
}

func TestConnectionsAreReused(t *testing.T) {
	server := startEngine(t, echo)
	pool := server.pool(4)
	for step := range 5 {
		text := strings.Repeat("x", step)
		body, err := sendAndReadBody(t, pool, post(text))
		assert.NilError(t, err)
		assert.Equal(t, body, text)
	}
	assert.Equal(t, pool.Opened(), int64(1))
}

func TestRequestsAreSentUnchanged(t *testing.T) {
	arrived := make(chan *http.Request, 1)
	bodies := make(chan string, 1)
	server := startEngine(t, func(connection net.Conn, reader *bufio.Reader, _ int64) {
		request, body, err := readRequest(reader)
		if err == nil {
			arrived <- request
			bodies <- string(body)
			reply(connection, "HTTP/1.1 204 No Content\r\n\r\n")
		}
	})
	_, err := sendAndReadBody(t, server.pool(1), post("some\r\n\r\nGET / HTTP/1.1\r\n"))
	assert.NilError(t, err)
	request := <-arrived
	assert.Equal(t, request.RequestURI, "/a/b?c=%20d")
	assert.Equal(t, request.Host, "h.example")
	assert.Equal(t, request.Header.Get("X-One"), "1")
	assert.Equal(t, request.Header.Get("Accept-Encoding"), "")
	assert.Equal(t, request.Header.Get("User-Agent"), "")
	assert.Equal(t, <-bodies, "some\r\n\r\nGET / HTTP/1.1\r\n")
}

// A request on a reused connection that fails is not retried: the engine may have run it.
func TestNoRetryOnReusedConnection(t *testing.T) {
	var requests atomic.Int64
	server := startEngine(t, func(connection net.Conn, reader *bufio.Reader, _ int64) {
		for {
			if _, _, err := readRequest(reader); err != nil {
				return
			}
			if requests.Add(1) == 2 {
				return
			}
			reply(connection, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	})
	pool := server.pool(2)
	_, err := sendAndReadBody(t, pool, post(""))
	assert.NilError(t, err)
	_, err = sendAndReadBody(t, pool, &Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}})
	var failed *ErrExchange
	assert.Assert(t, errors.As(err, &failed))
	assert.Assert(t, failed.Sent)
	assert.Equal(t, requests.Load(), int64(2))
}

func TestRefusedConnectionMeansNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, listener.Close())
	pool := NewPool(listener.Addr().String(), 1, Dialer(time.Second, time.Second))
	_, err = sendAndReadBody(t, pool, post("x"))
	var failed *ErrExchange
	assert.Assert(t, errors.As(err, &failed))
	assert.Assert(t, !failed.Sent)
}

// Data after a complete response must not be taken for the response to the next request.
func TestSurplusDataClosesTheConnection(t *testing.T) {
	server := startEngine(t, func(connection net.Conn, reader *bufio.Reader, number int64) {
		if _, _, err := readRequest(reader); err != nil {
			return
		}
		response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d", number)
		reply(connection, "%s%s", response, response)
		_, _ = reader.ReadByte()
	})
	pool := server.pool(4)
	first, err := sendAndReadBody(t, pool, post(""))
	assert.NilError(t, err)
	assert.Equal(t, first, "1")
	second, err := sendAndReadBody(t, pool, post(""))
	assert.NilError(t, err)
	assert.Equal(t, second, "2")
}

func TestLateSurplusDataClosesTheConnection(t *testing.T) {
	surplus := make(chan struct{})
	sent := make(chan struct{})
	server := startEngine(t, func(connection net.Conn, reader *bufio.Reader, number int64) {
		if _, _, err := readRequest(reader); err != nil {
			return
		}
		reply(connection, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d", number)
		if number == 1 {
			<-surplus
			reply(connection, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n0")
			close(sent)
		}
		_, _ = reader.ReadByte()
	})
	pool := server.pool(4)
	_, err := sendAndReadBody(t, pool, post(""))
	assert.NilError(t, err)
	close(surplus)
	<-sent
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		pool.mutex.Lock()
		defer pool.mutex.Unlock()
		if len(pool.idle) == 1 && !pool.idle[0].clean() {
			return poll.Success()
		}
		return poll.Continue("the surplus data has not arrived")
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(time.Millisecond))
	second, err := sendAndReadBody(t, pool, post(""))
	assert.NilError(t, err)
	assert.Equal(t, second, "2")
}

// After a response that precedes the end of the request body, the rest of that body must not be taken for the next
// request.
func TestEarlyResponseWithUnreadBody(t *testing.T) {
	ended := make(chan struct{})
	defer close(ended)
	server := startEngine(t, func(connection net.Conn, reader *bufio.Reader, number int64) {
		if number == 1 {
			_, _ = reader.ReadString('\n')
			reply(connection, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nearly")
			<-ended // keeps the connection open without reading
			return
		}
		echo(connection, reader, number)
	})
	pool := server.pool(4)
	first, err := sendAndReadBody(t, pool, post(strings.Repeat("x", 8<<20)))
	assert.NilError(t, err)
	assert.Equal(t, first, "early")
	second, err := sendAndReadBody(t, pool, post("next"))
	assert.NilError(t, err)
	assert.Equal(t, second, "next")
	assert.Equal(t, pool.Opened(), int64(2))
}

func TestTruncatedResponsesAreErrors(t *testing.T) {
	for name, response := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
		"chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
		"head":    "HTTP/1.1 200 OK\r\nConte",
		"garbage": "no answer at all\r\n\r\n",
		"chunk":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
	} {
		server := startEngine(t, func(connection net.Conn, reader *bufio.Reader, _ int64) {
			if _, _, err := readRequest(reader); err == nil {
				reply(connection, "%s", response)
			}
		})
		pool := server.pool(1)
		_, err := sendAndReadBody(t, pool, post("x"))
		assert.Assert(t, err != nil, name)
		assert.Equal(t, pool.openCount, 0, name)
	}
}

// A response without a length is whole if it announces that it ends with its connection, and that is closed in order. One that does not
// announce it may be what is left of a head that was cut.
func TestResponseWithoutLengthEndsWithItsConnection(t *testing.T) {
	for _, row := range []struct {
		head         string
		reset, whole bool
	}{
		{"HTTP/1.1 200 OK\r\nConnection: close\r\n", false, true},
		{"HTTP/1.1 200 OK\r\nConnection: close\r\n", true, false},
		{"HTTP/1.1 200 OK\r\nConnection: keep-alive\r\n", false, false},
		{"HTTP/1.1 200 OK\r\n", false, false},
		{"HTTP/1.1 200 OK\r\n", true, false},
		{"HTTP/1.0 200 OK\r\n", false, true},
		{"HTTP/1.0 200 OK\r\n", true, false},
	} {
		server := startEngine(t, func(connection net.Conn, reader *bufio.Reader, _ int64) {
			if _, _, err := readRequest(reader); err != nil {
				return
			}
			reply(connection, "%s\r\nall of it", row.head)
			if row.reset {
				_ = connection.(*net.TCPConn).SetLinger(0)
			}
		})
		body, err := sendAndReadBody(t, server.pool(1), post(""))
		assert.Equal(t, err == nil, row.whole, "%+v: %v", row, err)
		if row.whole {
			assert.Equal(t, body, "all of it")
		}
	}
}

func TestInformationalResponsesAreSkipped(t *testing.T) {
	server := startEngine(t, func(connection net.Conn, reader *bufio.Reader, _ int64) {
		if _, _, err := readRequest(reader); err == nil {
			reply(connection, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	body, err := sendAndReadBody(t, server.pool(1), post(""))
	assert.NilError(t, err)
	assert.Equal(t, body, "ok")
}

func TestKeepAliveTimeout(t *testing.T) {
	for header, opened := range map[string]int64{"timeout=0": 2, "timeout=5, max=100": 1, "max=3": 1} {
		server := startEngine(t, func(connection net.Conn, reader *bufio.Reader, _ int64) {
			for {
				if _, _, err := readRequest(reader); err != nil {
					return
				}
				reply(connection, "HTTP/1.1 200 OK\r\nKeep-Alive: %s\r\nContent-Length: 0\r\n\r\n", header)
			}
		})
		pool := server.pool(2)
		for range 2 {
			_, err := sendAndReadBody(t, pool, post(""))
			assert.NilError(t, err)
		}
		assert.Equal(t, pool.Opened(), opened, header)
		assert.Equal(t, pool.HasIdle(), opened == 1, "HasIdle with the header Keep-Alive: %s", header)
	}
}

func TestCancelledRequestClosesItsConnection(t *testing.T) {
	closed := make(chan struct{})
	arrived := make(chan struct{})
	server := startEngine(t, func(_ net.Conn, reader *bufio.Reader, _ int64) {
		if _, _, err := readRequest(reader); err != nil {
			return
		}
		close(arrived)
		_, _ = reader.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-arrived
		cancel()
	}()
	_, err := server.pool(1).Send(ctx, post("x"))
	var failed *ErrExchange
	assert.Assert(t, errors.As(err, &failed))
	assert.Assert(t, failed.Sent)
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Fatal("the connection is still open 5 s after its request was canceled")
	}
}

func TestConnectionLimit(t *testing.T) {
	release := make(chan struct{})
	server := startEngine(t, func(connection net.Conn, reader *bufio.Reader, _ int64) {
		if _, _, err := readRequest(reader); err == nil {
			<-release
			reply(connection, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	})
	pool := server.pool(1)
	done := make(chan error, 1)
	go func() {
		_, err := sendAndReadBody(t, pool, post(""))
		done <- err
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if pool.Opened() == 1 {
			return poll.Success()
		}
		return poll.Continue("the request has not been sent")
	})
	_, err := pool.Send(context.Background(), post(""))
	var limit *ErrConnectionLimit
	assert.Assert(t, errors.As(err, &limit))
	var failed *ErrExchange
	assert.Assert(t, errors.As(err, &failed) && !failed.Sent)
	close(release)
	assert.NilError(t, <-done)
}

func TestHopByHopHeadersAreNotForwarded(t *testing.T) {
	passed := EndToEndHeaders(http.Header{
		"Connection": {"close, X-Mine"}, "X-Mine": {"1"}, "X-Yours": {"2"}, "Keep-Alive": {"timeout=1"},
		"Transfer-Encoding": {"chunked"}, "Content-Length": {"3"}, "Te": {"trailers"},
	})
	assert.DeepEqual(t, passed, http.Header{"X-Yours": {"2"}})
}

func FuzzReadHead(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		connection := &Connection{reader: bufio.NewReader(strings.NewReader(string(data)))}
		response, err := readHead(connection, http.MethodPost)
		if err == nil && response.StatusCode < http.StatusOK && response.StatusCode != http.StatusSwitchingProtocols {
			t.Fatalf("status %d is not final", response.StatusCode)
		}
	})
}
