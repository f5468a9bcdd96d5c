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

// serve starts a transport that echoes.
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

func TestCallCarriesAnswersAndTypedFailures(t *testing.T) {
	_, address := serve(t, Options{Cluster: "c", NodeID: "a"})
	client, _ := serve(t, Options{Cluster: "c", NodeID: "b"})
	answer, err := Call[echo](t.Context(), client, address, "echo", echo{"hello"})
	assert.NilError(t, err)
	assert.Equal(t, answer.Text, "hello")
	_, err = Call[echo](t.Context(), client, address, "refuse", echo{})
	assert.Equal(t, apierr.From(err, apierr.Ran).RetryAfter, int64(1000))
	_, err = Call[echo](t.Context(), client, address, "unknown", echo{})
	assert.Assert(t, apierr.Is(err, apierr.NotFound))
	_, err = Call[echo](t.Context(), client, "127.0.0.1:1", "echo", echo{})
	assert.Equal(t, apierr.From(err, apierr.Ran).Outcome, apierr.NotRun, "nothing was sent")
}

func TestRelayPassesOneHopOnly(t *testing.T) {
	_, target := serve(t, Options{Cluster: "c", NodeID: "a"})
	_, relay := serve(t, Options{Cluster: "c", NodeID: "b"})
	client, _ := serve(t, Options{Cluster: "c", NodeID: "d"})
	answer, err := CallVia[echo](t.Context(), client, relay, target, "echo", echo{"around"})
	assert.NilError(t, err)
	assert.Equal(t, answer.Text, "around")
	_, err = CallVia[echo](t.Context(), client, relay, target, relayKind, echo{})
	assert.Assert(t, apierr.Is(err, apierr.InvalidRequest))
}

// TestStrangersGetNothing sends what is no hello, an endless line, and another cluster's hello.
func TestStrangersGetNothing(t *testing.T) {
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
			// A write may fail because the other end has closed already.
			_, _ = io.WriteString(raw, opening)
			answer, _ := io.ReadAll(raw)
			assert.Equal(t, len(answer), 0)
		})
	}
}

// TestMutualTLS lets in nodes of the same authority and cluster, and nobody else.
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
	friend, _ := serve(t, secured(folder, "c", "b"))
	_, err := Call[echo](t.Context(), friend, address, "echo", echo{"x"})
	assert.NilError(t, err)
	strangers := map[string]Options{
		"foreign authority": secured(foreign, "c", "b"),
		"plain":             {Cluster: "c", NodeID: "b"},
		"another cluster":   secured(other, "other", "b"),
	}
	for name, options := range strangers {
		t.Run(name, func(t *testing.T) {
			stranger, _ := serve(t, options)
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			_, err := Call[echo](ctx, stranger, address, "echo", echo{"x"})
			assert.Assert(t, apierr.Is(err, apierr.PeerUnreachable), "%v", err)
		})
	}
}

// TestOneWayBrokenPathIsNoticed swallows everything that the client sends, while the server's
// messages still arrive: the call must fail all the same.
func TestOneWayBrokenPathIsNoticed(t *testing.T) {
	server, address := serve(t, Options{Cluster: "c", NodeID: "a"})
	client, clientAddress := serve(t, Options{Cluster: "c", NodeID: "b", Dial: func(ctx context.Context, target string) (net.Conn, error) {
		raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", target)
		return &halfDead{Conn: raw, passes: 1}, err
	}})
	_, err := Call[echo](t.Context(), client, address, "echo", echo{"swallowed"})
	assert.Assert(t, apierr.Is(err, apierr.PeerUnreachable), "%v", err)
	// The server may still hold the broken connection for its way to the client; it closes it, too,
	// and then dials a new one.
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		_, err := Call[echo](t.Context(), server, clientAddress, "echo", echo{"other way"})
		if err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(time.Minute))
}

// halfDead passes the first writes and swallows the others.
type halfDead struct {
	net.Conn
	passes int
}

func (h *halfDead) Write(data []byte) (int, error) {
	if h.passes > 0 && strings.Contains(string(data), helloKind) {
		h.passes--
		hello, _, _ := strings.Cut(string(data), "\n")
		_, err := h.Conn.Write([]byte(hello + "\n"))
		return len(data), err
	}
	return len(data), nil
}

// FuzzFrames gives the decoder whatever a peer may send.
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
				t.Fatal(fmt.Sprint("a line over the limit: ", len(line)))
			}
			// Any line either decodes or gives an error.
			_, _ = decodeFrame(line)
		}
	})
}
