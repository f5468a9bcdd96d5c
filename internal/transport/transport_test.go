package transport

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/keys"
)

type echo struct {
	Text string `json:"text"`
}

// serve starts a transport with the handlers "echo" and "refuse" on a local port.
func serve(t *testing.T, options Options) (*Transport, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	options.Address = listener.Addr().String()
	options.Logger = events.Discard()
	created := New(options)
	Handle(created, "echo", func(_ context.Context, _ Peer, request echo) (echo, error) { return request, nil })
	Handle(created, "refuse", func(context.Context, Peer, echo) (echo, error) {
		return echo{}, apierr.New(apierr.Overloaded, apierr.NotRun, "busy").WithRetryAfter(time.Second)
	})
	go func() { _ = created.Serve(listener) }()
	t.Cleanup(created.Close)
	return created, options.Address
}

func TestCallReturnsResponsesAndTypedErrors(t *testing.T) {
	_, address := serve(t, Options{Cluster: "c", NodeID: "a"})
	client, _ := serve(t, Options{Cluster: "c", NodeID: "b"})
	response, err := Call[echo](t.Context(), client, Peer{Address: address}, "echo", echo{"hello"})
	assert.NilError(t, err)
	assert.Equal(t, response.Text, "hello")
	_, err = Call[echo](t.Context(), client, Peer{Address: address}, "refuse", echo{})
	assert.Equal(t, apierr.From(err, apierr.Ran).RetryAfter, int64(1000))
	_, err = Call[echo](t.Context(), client, Peer{Address: address}, "unknown", echo{})
	assert.Assert(t, apierr.Is(err, apierr.NotFound))
	_, err = Call[echo](t.Context(), client, Peer{Address: "127.0.0.1:1"}, "echo", echo{})
	assert.Equal(t, apierr.From(err, apierr.Ran).Outcome, apierr.NotRun, "want NotRun as nothing was sent")
}

func TestRelayForwardsOneHopOnly(t *testing.T) {
	_, target := serve(t, Options{Cluster: "c", NodeID: "a"})
	_, relay := serve(t, Options{Cluster: "c", NodeID: "b"})
	client, _ := serve(t, Options{Cluster: "c", NodeID: "d"})
	response, err := CallVia[echo](t.Context(), client, Peer{Address: relay}, Peer{Address: target}, "echo", echo{"relayed"})
	assert.NilError(t, err)
	assert.Equal(t, response.Text, "relayed")
	_, err = CallVia[echo](t.Context(), client, Peer{Address: relay}, Peer{Address: target}, relayKind, echo{})
	assert.Assert(t, apierr.Is(err, apierr.InvalidRequest))
}

// A connection that doesn't begin with a valid hello of the same cluster is closed without a reply.
func TestInvalidHelloIsRejected(t *testing.T) {
	_, address := serve(t, Options{Cluster: "c", NodeID: "a"})
	openings := map[string]string{
		"garbage":         "GET / HTTP/1.1\r\n\r\n",
		"endless line":    strings.Repeat("x", maxHelloBytes*4),
		"another cluster": `{"k":"hello","p":{"cluster":"other","node":"x","address":"127.0.0.1:1"}}` + "\n" + `{"k":"echo","i":1,"p":{}}` + "\n",
		"no hello":        `{"k":"echo","i":1,"p":{}}` + "\n",
	}
	for name, opening := range openings {
		t.Run(name, func(t *testing.T) {
			raw, err := net.Dial("tcp", address)
			assert.NilError(t, err)
			defer func() { _ = raw.Close() }()
			// The write may fail if the server has already closed the connection.
			_, _ = io.WriteString(raw, opening)
			response, _ := io.ReadAll(raw)
			assert.Equal(t, len(response), 0)
		})
	}
}

// With mutual TLS, only nodes with a certificate of the same authority and cluster can connect.
func TestMutualTLS(t *testing.T) {
	folder, foreign := t.TempDir(), t.TempDir()
	assert.NilError(t, keys.CreateAuthority(folder, "c"))
	assert.NilError(t, keys.CreateAuthority(foreign, "c"))
	other := t.TempDir()
	assert.NilError(t, keys.CreateAuthority(other, "other"))
	secured := func(folder, cluster, name string) Options {
		assert.NilError(t, keys.CreateNodeCertificate(folder, name, keys.NodeValidity))
		source, err := keys.NewSource(keys.Files{
			Authority: folder + "/" + keys.AuthorityFile, Certificate: folder + "/" + name + ".pem", Key: folder + "/" + name + "-key.pem",
		}, cluster)
		assert.NilError(t, err)
		return Options{Cluster: cluster, NodeID: name, ServerTLS: source.ServerConfig(), ClientTLS: source.ClientConfig()}
	}
	_, address := serve(t, secured(folder, "c", "a"))
	trusted, _ := serve(t, secured(folder, "c", "b"))
	_, err := Call[echo](t.Context(), trusted, Peer{Address: address}, "echo", echo{"x"})
	assert.NilError(t, err)
	rejected := map[string]Options{
		"foreign authority": secured(foreign, "c", "b"),
		"plain":             {Cluster: "c", NodeID: "b"},
		"another cluster":   secured(other, "other", "b"),
	}
	for name, options := range rejected {
		t.Run(name, func(t *testing.T) {
			client, _ := serve(t, options)
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			_, err := Call[echo](ctx, client, Peer{Address: address}, "echo", echo{"x"})
			assert.Assert(t, apierr.Is(err, apierr.PeerUnreachable), "%v", err)
		})
	}
}

// If one direction of a connection is broken, a call must fail although messages still arrive in the other direction.
func TestHalfBrokenConnectionIsClosed(t *testing.T) {
	server, address := serve(t, Options{Cluster: "c", NodeID: "a"})
	client, clientAddress := serve(t, Options{Cluster: "c", NodeID: "b", Dial: func(ctx context.Context, target string) (net.Conn, error) {
		raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", target)
		return &writeDropper{Conn: raw, passes: 1}, err
	}})
	_, err := Call[echo](t.Context(), client, Peer{Address: address}, "echo", echo{"dropped"})
	assert.Assert(t, apierr.Is(err, apierr.PeerUnreachable), "%v", err)
	// The server may still use the broken connection to call the client; it has to close it and dial a new one.
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		_, err := Call[echo](t.Context(), server, Peer{Address: clientAddress}, "echo", echo{"reverse"})
		if err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(time.Minute))
}

// writeDropper sends only the hello lines of the first passes writes and drops everything else.
type writeDropper struct {
	net.Conn
	passes int
}

func (w *writeDropper) Write(data []byte) (int, error) {
	if w.passes > 0 && strings.Contains(string(data), helloKind) {
		w.passes--
		hello, _, _ := strings.Cut(string(data), "\n")
		_, err := w.Conn.Write([]byte(hello + "\n"))
		return len(data), err
	}
	return len(data), nil
}

// FuzzFrames checks that arbitrary input doesn't crash the decoder or exceed the line limit.
func FuzzFrames(f *testing.F) {
	f.Add([]byte(`{"k":"echo","i":1,"p":{"text":"x"}}` + "\n"))
	f.Add([]byte("{}\n\n[]\n"))
	f.Add([]byte(`{"k":"echo","i":-1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		reader := bufio.NewReaderSize(strings.NewReader(string(data)), 16)
		for {
			line, err := readLine(reader, 64)
			if err != nil {
				return
			}
			if len(line) > 64 {
				t.Fatal(fmt.Sprint("line exceeds the limit: ", len(line)))
			}
			// An invalid line must return an error, not panic.
			_, _ = decodeFrame(line)
		}
	})
}
