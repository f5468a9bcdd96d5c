package transport

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// stopServer closes the server of a fixture for good, with all connections to it.
func (f *relayFixture) stopServer(t *testing.T) {
	t.Helper()
	f.serving.Close()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if f.client.connectionTo(f.server) != nil {
			return poll.Continue("still connected")
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(time.Millisecond))
}

// A peer that neither the node nor any relay reaches costs no message of a relay for a while.
func TestLostPeerIsNotRelayedForAWhile(t *testing.T) {
	fixture := newRelayFixture(t)
	fixture.stopServer(t)
	_, err := fixture.call(t, "echo")
	assert.Assert(t, err != nil)
	relayed := fixture.client.Traffic().ByKind()[relayKind].SentMessages
	assert.Equal(t, relayed, int64(len(fixture.relays)))
	for range 20 {
		_, err := fixture.call(t, "echo")
		assert.Assert(t, err != nil)
	}
	assert.Equal(t, fixture.client.Traffic().ByKind()[relayKind].SentMessages, relayed)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, _ = fixture.call(t, "echo"); fixture.client.Traffic().ByKind()[relayKind].SentMessages == relayed {
			return poll.Continue("no relay is tried again")
		}
		return poll.Success()
	}, poll.WithTimeout(10*lostPeerTTL))
}

// Spare relays are used once they are needed: for a peer that can't be reached, and for one that is silent.
func TestSpareRelaysAreUsedWhenNeeded(t *testing.T) {
	for _, isNeeded := range []bool{false, true} {
		fixture := newRelayFixture(t)
		fixture.network.set(fixture.server, true)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		needed := make(chan struct{})
		if isNeeded {
			close(needed)
		}
		response, err := CallWithSpareRelays[echo](ctx, fixture.client, Peer{Address: fixture.server}, "echo", echo{"hello"}, needed)
		cancel()
		assert.Equal(t, err == nil, isNeeded)
		assert.Equal(t, response.Text == "hello", isNeeded)
		assert.Equal(t, fixture.client.Traffic().ByKind()[relayKind].SentMessages > 0, isNeeded)
	}
}

// What a peer that is down costs in messages to relays does not depend on the number of requests to it.
func TestDeadPeerCostsOneSearch(t *testing.T) {
	fixture := newRelayFixture(t)
	fixture.stopServer(t)
	var calls sync.WaitGroup
	for range 200 {
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			_, err := CallWithRelays[echo](ctx, fixture.client, Peer{Address: fixture.server}, "echo", echo{"hello"}, testRelayDelay)
			assert.Check(t, err != nil)
		})
	}
	calls.Wait()
	relayed := fixture.client.Traffic().ByKind()[relayKind].SentMessages
	assert.Assert(t, relayed > 0)
	assert.Assert(t, relayed <= int64(len(fixture.relays)), "%d messages to relays", relayed)
}

// Requests to a peer that is cut off from this node only all reach it through the relay that one search has found.
func TestCutOffPeerIsReachedByAllCalls(t *testing.T) {
	const count = 200
	fixture := newRelayFixture(t)
	fixture.network.set(fixture.server, true)
	var calls sync.WaitGroup
	for range count {
		calls.Go(func() {
			_, err := fixture.call(t, "echo")
			assert.Check(t, err)
		})
	}
	calls.Wait()
	relayed := fixture.client.Traffic().ByKind()[relayKind].SentMessages
	assert.Assert(t, relayed <= int64(count+len(fixture.relays)), "%d messages to relays", relayed)
}

// A relay that becomes slow, or loses its own path to the peer, is replaced.
func TestRelayThatLosesThePeerIsReplaced(t *testing.T) {
	fixture := newRelayFixture(t)
	fixture.network.set(fixture.server, true)
	_, err := fixture.call(t, "echo")
	assert.NilError(t, err)
	for range 2 {
		relay := fixture.client.relayRoutes.relayTo(fixture.server)
		fixture.network.set(relay, true)
		_, err := fixture.call(t, "echo")
		assert.NilError(t, err)
		assert.Assert(t, fixture.client.relayRoutes.relayTo(fixture.server) != relay)
		fixture.network.set(relay, false)
	}
}
