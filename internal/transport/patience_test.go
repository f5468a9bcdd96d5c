package transport

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/events"
)

// A peer that comes back a while after it was called first is reached by the same call.
func TestPatientDialReachesAPeerThatComesBack(t *testing.T) {
	reserved, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := reserved.Addr().String()
	assert.NilError(t, reserved.Close())
	caller := New(Options{Cluster: "c", NodeID: "caller", Logger: events.Discard(), DialPatience: 5 * time.Second})
	defer caller.Close()
	peer := New(Options{Cluster: "c", NodeID: "peer", Logger: events.Discard()})
	defer peer.Close()
	Handle(peer, "echo", func(_ context.Context, _ Peer, text string) (string, error) { return text, nil })
	refused := make(chan struct{})
	go func() {
		<-refused
		listener, err := net.Listen("tcp", address)
		if err == nil {
			_ = peer.Serve(listener)
		}
	}()
	_, err = net.Dial("tcp", address)
	assert.Assert(t, err != nil)
	time.AfterFunc(150*time.Millisecond, func() { close(refused) })
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	answer, err := Call[string](ctx, caller, address, "echo", "x")
	assert.NilError(t, err)
	assert.Equal(t, answer, "x")
}

// Without patience, a peer that refuses connections is told at once.
func TestDialWithoutPatienceTriesOnce(t *testing.T) {
	caller := New(Options{Cluster: "c", NodeID: "caller", Logger: events.Discard(), Dial: refuseOnce(t)})
	defer caller.Close()
	_, err := Call[string](context.Background(), caller, "127.0.0.1:1", "echo", "x")
	assert.Assert(t, err != nil)
}

// refuseOnce is a dialler that may be called once.
func refuseOnce(t *testing.T) func(context.Context, string) (net.Conn, error) {
	dialled := false
	return func(context.Context, string) (net.Conn, error) {
		assert.Check(t, !dialled)
		dialled = true
		return nil, net.ErrClosed
	}
}
