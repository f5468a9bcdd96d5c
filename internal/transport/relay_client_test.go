package transport

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mountstile/mountstile/internal/apierr"
)

const testRelayDelay = 50 * time.Millisecond

// lossyNetwork simulates a network partition: dials to cut addresses hang, and data written to open connections to
// them is dropped without an error.
type lossyNetwork struct {
	mutex sync.Mutex
	cut   map[string]bool
}

func (n *lossyNetwork) set(address string, cut bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.cut[address] = cut
}

func (n *lossyNetwork) isCut(address string) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.cut[address]
}

type droppingConn struct {
	net.Conn
	network *lossyNetwork
	address string
}

// Write drops the data while the address is cut.
func (c *droppingConn) Write(data []byte) (int, error) {
	if c.network.isCut(c.address) {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

func (n *lossyNetwork) dial(ctx context.Context, address string) (net.Conn, error) {
	if n.isCut(address) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	return &droppingConn{Conn: raw, network: n, address: address}, err
}

// relayFixture is a server, two relays that are connected to it, and a client that knows both.
type relayFixture struct {
	network *lossyNetwork
	client  *Transport
	server  string
	relays  []string
	running []*Transport
	serving *Transport
}

func newRelayFixture(t *testing.T) *relayFixture {
	t.Helper()
	fixture := &relayFixture{network: &lossyNetwork{cut: make(map[string]bool)}}
	fixture.serving, fixture.server = serve(t, Options{Cluster: "c", NodeID: "server"})
	for _, name := range []string{"relay-1", "relay-2"} {
		relay, address := serve(t, Options{Cluster: "c", NodeID: name, Relays: true})
		_, err := Call[echo](t.Context(), relay, Peer{Address: fixture.server}, "echo", echo{})
		assert.NilError(t, err)
		fixture.relays = append(fixture.relays, address)
		fixture.running = append(fixture.running, relay)
	}
	fixture.client, _ = serve(t, Options{Cluster: "c", NodeID: "client", Dial: fixture.network.dial, Relays: true})
	ctx, stop := context.WithCancel(t.Context())
	t.Cleanup(stop)
	go fixture.client.RefreshRelays(ctx, func() []Peer { return []Peer{{Address: fixture.server}} })
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if relays, _ := fixture.client.relayRoutes.routesTo(fixture.server); len(relays) != len(fixture.relays) {
			return poll.Continue("relays %v", relays)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(time.Millisecond))
	return fixture
}

func (f *relayFixture) call(t *testing.T, kind string) (echo, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	return CallWithRelays[echo](ctx, f.client, Peer{Address: f.server}, kind, echo{"hello"}, testRelayDelay)
}

// routesViaRelay reports whether the client last reached the server through a relay.
func (f *relayFixture) routesViaRelay() bool {
	_, viaRelay := f.client.relayRoutes.routesTo(f.server)
	return viaRelay
}

// Requests to a peer that can't be reached go through a relay, and directly again once the peer is reachable.
func TestUnreachablePeerIsCalledThroughRelay(t *testing.T) {
	fixture := newRelayFixture(t)
	_, err := fixture.call(t, "echo")
	assert.NilError(t, err)
	assert.Assert(t, !fixture.routesViaRelay())
	fixture.network.set(fixture.server, true)
	for range 3 {
		response, err := fixture.call(t, "echo")
		assert.NilError(t, err)
		assert.Equal(t, response.Text, "hello")
		assert.Assert(t, fixture.routesViaRelay())
	}
	_, err = fixture.call(t, "refuse")
	assert.Assert(t, apierr.Is(err, apierr.Overloaded), "want the error returned by the peer: %v", err)
	fixture.network.set(fixture.server, false)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, err := fixture.call(t, "echo"); err != nil || fixture.routesViaRelay() {
			return poll.Continue("not reached directly yet, %v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
}

// If a relay is down or can't be reached, the next one is tried; if none is left, the call fails.
func TestNextRelayIsTried(t *testing.T) {
	fixture := newRelayFixture(t)
	fixture.network.set(fixture.server, true)
	fixture.running[0].Close()
	_, err := fixture.call(t, "echo")
	assert.NilError(t, err)
	fixture.network.set(fixture.relays[1], true)
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	_, err = CallWithRelays[echo](ctx, fixture.client, Peer{Address: fixture.server}, "echo", echo{}, testRelayDelay)
	assert.Assert(t, apierr.Is(err, apierr.PeerUnreachable), "%v", err)
}

// A reachable but slow peer receives a request only once.
func TestSlowPeerIsNotCalledThroughRelays(t *testing.T) {
	fixture := newRelayFixture(t)
	server, address := serve(t, Options{Cluster: "c", NodeID: "slow"})
	var mutex sync.Mutex
	requests := 0
	Handle(server, "slow", func(ctx context.Context, _ Peer, request echo) (echo, error) {
		mutex.Lock()
		requests++
		mutex.Unlock()
		select {
		case <-time.After(10 * testRelayDelay):
		case <-ctx.Done():
		}
		return request, nil
	})
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go func() {
		for ctx.Err() == nil {
			_, _ = Call[echo](ctx, fixture.client, Peer{Address: address}, "echo", echo{})
		}
	}()
	_, err := CallWithRelays[echo](ctx, fixture.client, Peer{Address: address}, "slow", echo{}, testRelayDelay)
	assert.NilError(t, err)
	mutex.Lock()
	defer mutex.Unlock()
	assert.Equal(t, requests, 1)
}
