package transport

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mountstile/mountstile/internal/events"
)

// Frequent calls of Redial to a silent peer dial at most once per redialInterval, and replaced connections are closed.
func TestRedialsAreRateLimited(t *testing.T) {
	t.Parallel()
	var dials atomic.Int64
	dial := func(context.Context, string) (net.Conn, error) {
		dials.Add(1)
		near, far := net.Pipe()
		t.Cleanup(func() { _ = far.Close() })
		go func() {
			buffer := make([]byte, 1024)
			for {
				if _, err := far.Read(buffer); err != nil {
					return
				}
			}
		}()
		return near, nil
	}
	network := New(Options{Cluster: "test", NodeID: "a", Logger: events.Discard(), Dial: dial})
	defer network.Close()
	_, err := network.connect(context.Background(), Peer{Address: "peer"})
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), 2500*time.Millisecond)
	defer cancel()
	for ctx.Err() == nil {
		network.Redial(ctx, "peer", time.Millisecond, time.Now())
	}
	assert.Assert(t, dials.Load() >= 2 && dials.Load() <= 4, "%d dials in 2.5 s, want 2 to 4", dials.Load())
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if network.Connections() == 1 {
			return poll.Success()
		}
		return poll.Continue("%d open connections, want 1", network.Connections())
	}, poll.WithTimeout(10*time.Second))
}
