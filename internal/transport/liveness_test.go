package transport

import (
	"bytes"
	"context"
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/apierr"
)

// lossyConn drops lines that contain a given text and passes all others, like a proxy that lost data but kept both
// connections open.
type lossyConn struct {
	net.Conn
	dropWritten, dropRead []byte
}

func removeLines(data, text []byte) []byte {
	if len(text) == 0 {
		return data
	}
	var kept []byte
	for line := range bytes.Lines(data) {
		if !bytes.Contains(line, text) {
			kept = append(kept, line...)
		}
	}
	return kept
}

func (c *lossyConn) Write(data []byte) (int, error) {
	_, err := c.Conn.Write(removeLines(data, c.dropWritten))
	return len(data), err
}

func (c *lossyConn) Read(buffer []byte) (int, error) {
	for {
		count, err := c.Conn.Read(buffer)
		kept := removeLines(bytes.Clone(buffer[:count]), c.dropRead)
		if err != nil || len(kept) > 0 {
			return copy(buffer, kept), err
		}
	}
}

// If a request or its reply is lost on a connection that otherwise works, the call fails instead of waiting forever.
// A request that is still running is not affected.
func TestLostLinesFailPendingRequests(t *testing.T) {
	marker := []byte("lose this line")
	for name, lossy := range map[string]*lossyConn{"request": {dropWritten: marker}, "reply": {dropRead: marker}} {
		t.Run(name, func(t *testing.T) {
			server, address := serve(t, Options{Cluster: "c", NodeID: "a"})
			release, entered := make(chan struct{}), make(chan struct{})
			Handle(server, "slow", func(context.Context, Peer, echo) (echo, error) {
				close(entered)
				<-release
				return echo{"late"}, nil
			})
			client, _ := serve(t, Options{Cluster: "c", NodeID: "b", Dial: func(ctx context.Context, address string) (net.Conn, error) {
				raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
				lossy.Conn = raw
				return lossy, err
			}})
			running := make(chan error, 1)
			go func() {
				_, err := Call[echo](t.Context(), client, Peer{Address: address}, "slow", echo{})
				running <- err
			}()
			<-entered
			_, err := Call[echo](t.Context(), client, Peer{Address: address}, "echo", echo{string(marker)})
			assert.Assert(t, apierr.Is(err, apierr.PeerUnreachable), "%v", err)
			assert.Equal(t, apierr.From(err, apierr.Ran).Outcome, apierr.OutcomeUnknown)
			close(release)
			assert.NilError(t, <-running, "a request that was still running failed")
		})
	}
}
