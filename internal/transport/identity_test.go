package transport

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/events"
)

// serveCounting starts a transport that counts the requests and one-way messages of kind "count" that it handles.
func serveCounting(t *testing.T, options Options) (started *Transport, address string, handled *atomic.Int64) {
	t.Helper()
	started, address = serve(t, options)
	handled = new(atomic.Int64)
	Handle(started, "count", func(context.Context, Peer, echo) (echo, error) {
		handled.Add(1)
		return echo{}, nil
	})
	HandleOneWay(started, "count", func(Peer, echo) { handled.Add(1) })
	return started, address, handled
}

func eventually(t *testing.T, what string, check func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if check() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(5*time.Millisecond))
}

// A request or one-way message for another node at the address must not be handled, and its failure says so.
func TestOnlyTheNamedNodeAnswers(t *testing.T) {
	_, address, handled := serveCounting(t, Options{Cluster: "c", NodeID: "now-here"})
	client, _ := serve(t, Options{Cluster: "c", NodeID: "client"})
	former := Peer{NodeID: "was-here", Address: address}
	for range 3 {
		_, err := Call[echo](t.Context(), client, former, "count", echo{})
		assert.Assert(t, apierr.Is(err, apierr.PeerUnreachable), "%v", err)
		assert.Equal(t, apierr.From(err, apierr.Ran).Outcome, apierr.NotRun)
		client.Send(former, "count", echo{})
	}
	_, err := Call[echo](t.Context(), client, Peer{NodeID: "now-here", Address: address}, "count", echo{})
	assert.NilError(t, err)
	_, err = Call[echo](t.Context(), client, Peer{Address: address}, "count", echo{})
	assert.NilError(t, err)
	assert.Equal(t, handled.Load(), int64(2))
}

// A relay passes on for whom a request is.
func TestOnlyTheNamedNodeAnswersThroughRelay(t *testing.T) {
	_, address, handled := serveCounting(t, Options{Cluster: "c", NodeID: "now-here"})
	_, relay := serve(t, Options{Cluster: "c", NodeID: "relay"})
	client, _ := serve(t, Options{Cluster: "c", NodeID: "client"})
	_, err := CallVia[echo](t.Context(), client, Peer{Address: relay}, Peer{NodeID: "was-here", Address: address}, "count", echo{})
	assert.Assert(t, apierr.Is(err, apierr.RelayFailed), "%v", err)
	assert.Equal(t, handled.Load(), int64(0))
	_, err = CallVia[echo](t.Context(), client, Peer{Address: relay}, Peer{NodeID: "now-here", Address: address}, "count", echo{})
	assert.NilError(t, err)
}

// Nodes with different cluster IDs don't talk to each other, whether they learn their IDs before or after they connect.
func TestClusterIDsMustMatch(t *testing.T) {
	for _, connected := range []bool{false, true} {
		t.Run(fmt.Sprint("connected before: ", connected), func(t *testing.T) {
			server, address, handled := serveCounting(t, Options{Cluster: "c", NodeID: "server"})
			client, clientAddress := serve(t, Options{Cluster: "c", NodeID: "client"})
			to := Peer{NodeID: "server", Address: address}
			if connected {
				_, err := Call[echo](t.Context(), client, to, "echo", echo{})
				assert.NilError(t, err)
			}
			client.SetClusterID("one")
			server.SetClusterID("two")
			for range 3 {
				_, err := Call[echo](t.Context(), client, to, "count", echo{})
				assert.Assert(t, apierr.Is(err, apierr.PeerUnreachable), "%v", err)
				_, err = Call[echo](t.Context(), server, Peer{NodeID: "client", Address: clientAddress}, "echo", echo{})
				assert.Assert(t, apierr.Is(err, apierr.PeerUnreachable), "%v", err)
			}
			assert.Equal(t, handled.Load(), int64(0))
		})
	}
}

// A node at an address that an unreachable node had before is reached although the old connection still looks open.
func TestSuccessorAtAddressIsReached(t *testing.T) {
	_, address := serve(t, Options{Cluster: "c", NodeID: "server"})
	var current atomic.Pointer[string]
	current.Store(&address)
	client := New(Options{Cluster: "c", NodeID: "client", Logger: events.Discard(), Dial: func(ctx context.Context, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", *current.Load())
	}})
	t.Cleanup(client.Close)
	_, err := Call[echo](t.Context(), client, Peer{NodeID: "server", Address: "virtual"}, "echo", echo{})
	assert.NilError(t, err)
	_, successor := serve(t, Options{Cluster: "c", NodeID: "successor"})
	current.Store(&successor)
	eventually(t, "the successor answers", func() bool {
		_, err := Call[echo](t.Context(), client, Peer{NodeID: "successor", Address: "virtual"}, "echo", echo{})
		return err == nil
	})
}

// Once a connection's peer has identified itself, messages don't name their recipient, to save bytes.
func TestRecipientIsOnlySentToUnidentifiedPeer(t *testing.T) {
	server, address := serve(t, Options{Cluster: "c", NodeID: "server"})
	client, _ := serve(t, Options{Cluster: "c", NodeID: "client"})
	to := Peer{NodeID: "server", Address: address}
	_, err := Call[echo](t.Context(), client, to, "echo", echo{})
	assert.NilError(t, err)
	client.SetClusterID("one")
	server.SetClusterID("one")
	eventually(t, "the server has identified itself", func() bool {
		conn := client.connectionTo(address)
		return conn != nil && conn.addressed(to, frame{}).To == ""
	})
	assert.Equal(t, client.connectionTo(address).addressed(Peer{NodeID: "other", Address: address}, frame{}).To, "other")
}

// A node of an earlier build sends no hello on a connection that it accepts, and ignores the recipient: it must still be
// reached.
func TestCallToEarlierBuild(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		raw, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = raw.Close() }()
		lines := bufio.NewScanner(raw)
		for lines.Scan() {
			var incoming struct {
				Kind    string          `json:"k"`
				ID      uint64          `json:"i"`
				Payload json.RawMessage `json:"p"`
			}
			if json.Unmarshal(lines.Bytes(), &incoming) == nil && incoming.ID != 0 {
				_, _ = fmt.Fprintf(raw, `{"k":%q,"i":%d,"r":true,"p":%s}`+"\n", incoming.Kind, incoming.ID, incoming.Payload)
			}
		}
	}()
	client, _ := serve(t, Options{Cluster: "c", NodeID: "client"})
	client.SetClusterID("one")
	for range 3 {
		response, err := Call[echo](t.Context(), client, Peer{NodeID: "earlier", Address: listener.Addr().String()}, "echo", echo{"hello"})
		assert.NilError(t, err)
		assert.Equal(t, response.Text, "hello")
	}
}

// A node of an earlier build neither names a recipient nor has a cluster ID: it must still be served.
func TestCallFromEarlierBuild(t *testing.T) {
	server, address := serve(t, Options{Cluster: "c", NodeID: "server"})
	server.SetClusterID("one")
	raw, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer func() { _ = raw.Close() }()
	_, err = io.WriteString(raw, `{"k":"hello","p":{"cluster":"c","node":"earlier","address":""}}`+"\n"+`{"k":"echo","i":1,"p":{"text":"x"}}`+"\n")
	assert.NilError(t, err)
	lines := bufio.NewReader(raw)
	greeting, err := lines.ReadString('\n')
	assert.NilError(t, err)
	var first frame
	assert.NilError(t, json.Unmarshal([]byte(greeting), &first))
	// An earlier build drops one-way messages of kinds for which it has no handler.
	assert.Equal(t, first.Kind, helloKind)
	assert.Equal(t, first.ID, uint64(0))
	assert.Assert(t, !first.Reply)
	reply, err := lines.ReadString('\n')
	assert.NilError(t, err)
	var second frame
	assert.NilError(t, json.Unmarshal([]byte(reply), &second))
	assert.Assert(t, second.Reply && second.Error == nil)
	assert.Equal(t, string(second.Payload), `{"text":"x"}`)
}
