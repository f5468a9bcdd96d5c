package turnstore

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/conversation"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/transport"
)

// blackholeDialer opens a first connection to each address that accepts all data and never responds, like one to a
// machine that lost power.
type blackholeDialer struct {
	t     *testing.T
	mutex sync.Mutex
	seen  map[string]bool
}

func (d *blackholeDialer) dial(ctx context.Context, address string) (net.Conn, error) {
	d.mutex.Lock()
	first := !d.seen[address]
	d.seen[address] = true
	d.mutex.Unlock()
	if !first {
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}
	near, far := net.Pipe()
	d.t.Cleanup(func() { _ = far.Close() })
	go func() {
		buffer := make([]byte, 4096)
		for {
			if _, err := far.Read(buffer); err != nil {
				return
			}
		}
	}()
	return near, nil
}

// Restarted replicas are reached at once, even while old connections to them hang.
func TestRestartedReplicasAreReachedOverNewConnections(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3)
	c.put("a", "")
	dialer := &blackholeDialer{t: t, seen: make(map[string]bool)}
	network := transport.New(transport.Options{Cluster: "test", NodeID: "client", Logger: events.Discard(), Dial: dialer.dial})
	defer network.Close()
	client := NewClient(ClientOptions{CacheBytes: 1 << 20}, network, events.Discard())
	client.ApplySet(c.store.set())
	startedAt := time.Now()
	opened, err := client.Open(context.Background(), OpenParams{Turn: "b", Program: "p", Previous: "a", Budget: 10, Most: 5})
	assert.NilError(t, err)
	assert.Equal(t, string(opened.Prefix), "a;")
	assert.Assert(t, time.Since(startedAt) < openTimeout)

	dialer.mutex.Lock()
	clear(dialer.seen)
	dialer.mutex.Unlock()
	fresh := transport.New(transport.Options{Cluster: "test", NodeID: "client", Logger: events.Discard(), Dial: dialer.dial})
	defer fresh.Close()
	writer := NewClient(ClientOptions{CacheBytes: 1 << 20}, fresh, events.Discard())
	writer.ApplySet(c.store.set())
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	assert.NilError(t, writer.Put(ctx, "", []conversation.Record{{Turn: &conversation.Turn{ID: "b", Previous: "a", Text: []byte("b;"), RetentionMillis: 60_000}}}))
}
