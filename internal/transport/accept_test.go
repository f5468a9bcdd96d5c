package transport

import (
	"context"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/events"
)

// exhaustedListener fails to accept connections a few times, as without free file descriptors.
type exhaustedListener struct {
	net.Listener
	failures atomic.Int64
}

// Accept implements net.Listener.
func (l *exhaustedListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

func TestFailedAcceptDoesNotEndServing(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	listener := &exhaustedListener{Listener: inner}
	listener.failures.Store(3)
	server := New(Options{Cluster: "c", NodeID: "a", Logger: events.Discard()})
	Handle(server, "echo", func(_ context.Context, _ Peer, request echo) (echo, error) { return request, nil })
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	t.Cleanup(server.Close)
	client, _ := serve(t, Options{Cluster: "c", NodeID: "b"})
	response, err := Call[echo](t.Context(), client, Peer{Address: inner.Addr().String()}, "echo", echo{"hello"})
	assert.NilError(t, err)
	assert.Equal(t, response.Text, "hello")
	server.Close()
	assert.NilError(t, <-served)
}
