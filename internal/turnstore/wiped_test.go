package turnstore

import (
	"context"
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/conversation"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/transport"
)

// gatedDialer dials an address only once its gate is open.
type gatedDialer struct{ gates map[string]chan struct{} }

// gate closes the gates of the given addresses and returns a function that opens one of them.
func (d *gatedDialer) gate(addresses ...string) (open func(string)) {
	d.gates = make(map[string]chan struct{})
	for _, address := range addresses {
		d.gates[address] = make(chan struct{})
	}
	return func(address string) { close(d.gates[address]) }
}

func (d *gatedDialer) dial(ctx context.Context, address string) (net.Conn, error) {
	if gate := d.gates[address]; gate != nil {
		select {
		case <-gate:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return (&net.Dialer{}).DialContext(ctx, "tcp", address)
}

// newGatedClient returns a client that reaches only one member until open is called with the address of another one.
func (c *cluster) newGatedClient(reached *machine) (client *Client, open func(string)) {
	dialer := &gatedDialer{}
	var others []string
	for _, m := range c.machines {
		if m != reached {
			others = append(others, m.address)
		}
	}
	open = dialer.gate(others...)
	network := transport.New(transport.Options{Cluster: "test", NodeID: "gated", Logger: events.Discard(), Dial: dialer.dial})
	c.t.Cleanup(network.Close)
	client = NewClient(ClientOptions{CacheBytes: 1 << 20}, network, events.Discard())
	c.store.listen(client.ApplySet)
	return client, open
}

// reserveAt starts a reservation through a client that reaches only one member, and returns once that member has stored
// it. An open that ends before, as on a busy machine, is repeated.
func (c *cluster) reserveAt(client *Client, m *machine, turn string, budget, most int64) (granted chan error) {
	c.t.Helper()
	start := func() {
		granted = make(chan error, 1)
		go func(result chan<- error) { result <- c.reserve(client, turn, budget, most) }(granted)
	}
	start()
	eventually(c.t, "the reservation is stored", func() bool {
		if m.process.replica.size().programs == 1 {
			return true
		}
		select {
		case <-granted:
			start()
		default:
		}
		return false
	})
	return granted
}

// wipeAndRestart wipes a machine and waits until it is complete again.
func (c *cluster) wipeAndRestart(m *machine) {
	c.t.Helper()
	c.wipe(m)
	c.start(m)
	eventually(c.t, "the wiped replica has caught up", m.complete)
}

// A reservation that a replica has stored must not count once the replica has lost its disk and has caught up without
// it: the other members would grant the tokens a second time.
func TestReservationAtWipedReplicaDoesNotCount(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3)
	wiped, late := c.machines[0], c.machines[1]
	client, open := c.newGatedClient(wiped)
	granted := c.reserveAt(client, wiped, "first", 100, 60)
	c.wipeAndRestart(wiped)
	open(late.address)
	first := <-granted
	c.kill(late)
	second := c.reserve(c.newClient(), "second", 100, 60)
	assert.Assert(t, first != nil || second != nil, "120 tokens of a budget of 100 were granted")
}

// A write that a replica has stored must not count once the replica has lost its disk and has caught up without it: the
// turn would be lost with the next disk.
func TestWriteAtWipedReplicaDoesNotCount(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3)
	wiped, late := c.machines[0], c.machines[1]
	client, open := c.newGatedClient(wiped)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	acknowledged := make(chan error, 1)
	go func() {
		acknowledged <- client.Put(ctx, "", []conversation.Record{{Turn: &conversation.Turn{ID: "a", Text: []byte("a"), RetentionMillis: 60_000}}})
	}()
	eventually(t, "the turn is stored", func() bool { return wiped.turns() == 1 })
	c.wipeAndRestart(wiped)
	open(late.address)
	if err := <-acknowledged; err != nil {
		return
	}
	c.wipeAndRestart(late)
	_, err := c.read("a")
	assert.Assert(t, !apierr.Is(err, apierr.NoSuchTurn), "an acknowledged turn was lost with one disk")
}
