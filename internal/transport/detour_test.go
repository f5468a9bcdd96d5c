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

const testPatience = 50 * time.Millisecond

// silentWays lets a node's new connections to some addresses hang, and what is sent on open ones get lost without a
// word, as behind a cut.
type silentWays struct {
	mutex sync.Mutex
	cut   map[string]bool
}

func (s *silentWays) set(address string, cut bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.cut[address] = cut
}

func (s *silentWays) isCut(address string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.cut[address]
}

type silentConn struct {
	net.Conn
	ways    *silentWays
	address string
}

// Write loses what is written while the way is cut.
func (c *silentConn) Write(data []byte) (int, error) {
	if c.ways.isCut(c.address) {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

func (s *silentWays) dial(ctx context.Context, address string) (net.Conn, error) {
	if s.isCut(address) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	return &silentConn{Conn: raw, ways: s, address: address}, err
}

// detourSite is a server, two relays that are connected to it, and a client that knows both.
type detourSite struct {
	ways    *silentWays
	client  *Transport
	server  string
	relays  []string
	running []*Transport
}

func newDetourSite(t *testing.T) *detourSite {
	t.Helper()
	site := &detourSite{ways: &silentWays{cut: make(map[string]bool)}}
	_, site.server = serve(t, Options{Cluster: "c", NodeID: "server"})
	for _, name := range []string{"relay-1", "relay-2"} {
		relay, address := serve(t, Options{Cluster: "c", NodeID: name, Relays: true})
		_, err := Call[echo](t.Context(), relay, site.server, "echo", echo{})
		assert.NilError(t, err)
		site.relays = append(site.relays, address)
		site.running = append(site.running, relay)
	}
	site.client, _ = serve(t, Options{Cluster: "c", NodeID: "client", Dial: site.ways.dial, Relays: true})
	ctx, stop := context.WithCancel(t.Context())
	t.Cleanup(stop)
	go site.client.RefreshRelays(ctx, func() []string { return []string{site.server} })
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if relays, _ := site.client.detours.waysTo(site.server); len(relays) != len(site.relays) {
			return poll.Continue("relays %v", relays)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(time.Millisecond))
	return site
}

func (s *detourSite) call(t *testing.T, kind string) (echo, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	return CallWithRelays[echo](ctx, s.client, s.server, kind, echo{"hello"}, testPatience)
}

// isBroken tells whether the client takes the direct way for broken.
func (s *detourSite) isBroken() bool {
	_, broken := s.client.detours.waysTo(s.server)
	return broken
}

// A peer that can't be reached is reached through another node, from the second request on at once, and directly
// again when that works.
func TestCutPeerIsReachedThroughARelay(t *testing.T) {
	site := newDetourSite(t)
	_, err := site.call(t, "echo")
	assert.NilError(t, err)
	assert.Assert(t, !site.isBroken())
	site.ways.set(site.server, true)
	for range 3 {
		answer, err := site.call(t, "echo")
		assert.NilError(t, err)
		assert.Equal(t, answer.Text, "hello")
		assert.Assert(t, site.isBroken())
	}
	_, err = site.call(t, "refuse")
	assert.Assert(t, apierr.Is(err, apierr.Overloaded), "the peer's own failure is passed on: %v", err)
	site.ways.set(site.server, false)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, err := site.call(t, "echo"); err != nil || site.isBroken() {
			return poll.Continue("broken, %v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
}

// Relays may be cut off, too, or gone.
func TestNextRelayIsTried(t *testing.T) {
	site := newDetourSite(t)
	site.ways.set(site.server, true)
	site.running[0].Close()
	_, err := site.call(t, "echo")
	assert.NilError(t, err)
	site.ways.set(site.relays[1], true)
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	_, err = CallWithRelays[echo](ctx, site.client, site.server, "echo", echo{}, testPatience)
	assert.Assert(t, apierr.Is(err, apierr.PeerUnreachable), "%v", err)
}

// A peer that is slow, but heard, gets a request once.
func TestSlowPeerIsNotAskedThroughRelays(t *testing.T) {
	site := newDetourSite(t)
	server, address := serve(t, Options{Cluster: "c", NodeID: "slow"})
	var mutex sync.Mutex
	asked := 0
	Handle(server, "slow", func(ctx context.Context, _ Peer, request echo) (echo, error) {
		mutex.Lock()
		asked++
		mutex.Unlock()
		select {
		case <-time.After(10 * testPatience):
		case <-ctx.Done():
		}
		return request, nil
	})
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go func() {
		for ctx.Err() == nil {
			_, _ = Call[echo](ctx, site.client, address, "echo", echo{})
		}
	}()
	_, err := CallWithRelays[echo](ctx, site.client, address, "slow", echo{}, testPatience)
	assert.NilError(t, err)
	mutex.Lock()
	defer mutex.Unlock()
	assert.Equal(t, asked, 1)
}
