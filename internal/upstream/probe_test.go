package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// A connection on which the engine had responded shows that it has not ended since; one that was merely accepted doesn't.
func TestOnlyConnectionsWithResponsesShowThatAnEngineLives(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(writer, "x") }))
	_ = server.Listener.Close()
	server.Listener = listener
	server.Start()
	pool := NewPool(listener.Addr().String(), 4, Dialer(time.Second, time.Second))
	t.Cleanup(pool.Close)

	liveness, err := pool.Probe(t.Context(), time.Now())
	assert.NilError(t, err)
	assert.Equal(t, liveness, Accepting)
	liveness, err = pool.Probe(t.Context(), time.Now())
	assert.NilError(t, err)
	assert.Equal(t, liveness, Accepting, "a connection without a response counts")

	exchange, err := pool.Send(context.Background(), &Request{Method: http.MethodGet, Target: "/", Host: "h"})
	assert.NilError(t, err)
	assert.Assert(t, !pool.Survives(exchange.OpenedAt().Add(-time.Millisecond)), "the connection is older")
	_, _ = io.ReadAll(exchange.Response().Body)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if pool.Survives(time.Now()) {
			return poll.Success()
		}
		return poll.Continue("a connection in use does not count")
	})
	exchange.Finish()
	liveness, err = pool.Probe(t.Context(), time.Now())
	assert.NilError(t, err)
	assert.Equal(t, liveness, Surviving)

	server.CloseClientConnections()
	server.Close()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !pool.Survives(time.Now()) {
			return poll.Success()
		}
		return poll.Continue("a closed connection counts")
	})
	_, err = pool.Probe(t.Context(), time.Now())
	assert.Assert(t, err != nil)
}

// Guards against a probe that takes the reset of a response away from the exchange, which would take the rest for a whole response.
func TestProbeLeavesAResetToTheExchange(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	accepted := make(chan *net.TCPConn, 1)
	go func() {
		if raw, err := listener.Accept(); err == nil {
			accepted <- raw.(*net.TCPConn)
		}
	}()
	pool := NewPool(listener.Addr().String(), 4, Dialer(time.Second, time.Second))
	t.Cleanup(pool.Close)
	sent := make(chan *Exchange, 1)
	go func() {
		exchange, err := pool.Send(context.Background(), &Request{Method: http.MethodGet, Target: "/", Host: "h"})
		assert.Check(t, err)
		sent <- exchange
	}()
	peer := <-accepted
	// A write that is still under way would take the reset, too.
	_, err = http.ReadRequest(bufio.NewReader(peer))
	assert.NilError(t, err)
	_, err = io.WriteString(peer, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart")
	assert.NilError(t, err)
	exchange := <-sent
	part := make([]byte, 4)
	_, err = io.ReadFull(exchange.Response().Body, part)
	assert.NilError(t, err)
	assert.NilError(t, peer.SetLinger(0))
	assert.NilError(t, peer.Close())
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !pool.Survives(time.Now()) {
			return poll.Success()
		}
		return poll.Continue("the reset has not arrived")
	})
	_, err = exchange.Response().Body.Read(part)
	assert.ErrorIs(t, err, syscall.ECONNRESET)
	exchange.Abort()
}
