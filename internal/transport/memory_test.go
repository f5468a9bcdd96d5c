package transport

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/membudget"
)

const testBudgetBytes = 32 << 20

// dialAsPeer opens a connection and sends a hello.
func dialAsPeer(t *testing.T, address string) net.Conn {
	t.Helper()
	raw, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = raw.Close() })
	_, err = io.WriteString(raw, `{"k":"hello","p":{"cluster":"c","node":"x","address":"127.0.0.1:1"}}`+"\n")
	assert.NilError(t, err)
	return raw
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// waitReleased waits until only connections hold memory of the budget.
func waitReleased(t *testing.T, budget *membudget.Budget, connections int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if used := budget.Used(); used != int64(connections)*connectionBytes {
			return poll.Continue("%d bytes are in use", used)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
}

// Guards against a process that ends because many peers send long lines at once.
func TestLongLinesOfManyPeersStayWithinTheBudget(t *testing.T) {
	const peers, lineBytes = 20, 15 << 20
	before := heapBytes()
	budget := membudget.New(testBudgetBytes, nil)
	_, address := serve(t, Options{Cluster: "c", NodeID: "a", Memory: budget})
	chunk := strings.Repeat("x", 1<<20)
	peak := uint64(0)
	for range peers {
		raw := dialAsPeer(t, address)
		_, err := io.WriteString(raw, `{"k":"echo","i":1,"p":{"text":"`)
		assert.NilError(t, err)
		for range lineBytes >> 20 {
			_, err := io.WriteString(raw, chunk)
			assert.NilError(t, err)
		}
		peak = max(peak, heapBytes())
	}
	assert.Assert(t, peak < before+2*testBudgetBytes, "%d MiB for a budget of %d MiB", (peak-before)>>20, testBudgetBytes>>20)
	client, _ := serve(t, Options{Cluster: "c", NodeID: "b"})
	_, err := Call[echo](t.Context(), client, Peer{Address: address}, "echo", echo{"small"})
	assert.NilError(t, err)
}

// Guards against a refused request that runs, and against a connection that is lost with it.
func TestRequestWithoutMemoryIsRefusedAsNotRun(t *testing.T) {
	budget := membudget.New(testBudgetBytes, nil)
	server, address := serve(t, Options{Cluster: "c", NodeID: "a", Memory: budget})
	ran := 0
	Handle(server, "count", func(context.Context, Peer, echo) (echo, error) { ran++; return echo{}, nil })
	client, _ := serve(t, Options{Cluster: "c", NodeID: "b"})
	large := echo{strings.Repeat("x", 1<<20)}
	full := budget.Open("test")
	assert.NilError(t, full.Grow(testBudgetBytes*3/4-1<<20))
	_, err := Call[echo](t.Context(), client, Peer{Address: address}, "count", large)
	assert.Assert(t, apierr.Is(err, apierr.Overloaded), "%v", err)
	assert.Equal(t, apierr.From(err, apierr.Ran).Outcome, apierr.NotRun)
	assert.Equal(t, ran, 0)
	_, err = Call[echo](t.Context(), client, Peer{Address: address}, "echo", echo{"small"})
	assert.NilError(t, err)
	full.Release()
	_, err = Call[echo](t.Context(), client, Peer{Address: address}, "count", large)
	assert.NilError(t, err)
	assert.Equal(t, ran, 1)
	assert.Equal(t, server.Connections(), 1)
	waitReleased(t, budget, 1)
}

// Guards against a caller that takes a reply for lost memory as proof that the request hasn't run.
func TestReplyWithoutMemoryHasAnUnknownOutcome(t *testing.T) {
	server, address := serve(t, Options{Cluster: "c", NodeID: "a"})
	Handle(server, "large", func(context.Context, Peer, echo) (echo, error) { return echo{strings.Repeat("x", 1<<20)}, nil })
	budget := membudget.New(testBudgetBytes, nil)
	client, _ := serve(t, Options{Cluster: "c", NodeID: "b", Memory: budget})
	full := budget.OpenPreferred("test")
	assert.NilError(t, full.Grow(testBudgetBytes-1<<20))
	_, err := Call[echo](t.Context(), client, Peer{Address: address}, "large", echo{})
	assert.Assert(t, apierr.Is(err, apierr.Overloaded), "%v", err)
	assert.Equal(t, apierr.From(err, apierr.Ran).Outcome, apierr.OutcomeUnknown)
	full.Release()
	response, err := Call[echo](t.Context(), client, Peer{Address: address}, "large", echo{})
	assert.NilError(t, err)
	assert.Equal(t, len(response.Text), 1<<20)
	assert.Equal(t, client.Connections(), 1)
	waitReleased(t, budget, 0)
}

// Guards against two nodes that refuse each other's replies because requests hold their memory.
func TestRepliesGoBeforeRequests(t *testing.T) {
	server, address := serve(t, Options{Cluster: "c", NodeID: "a"})
	Handle(server, "large", func(context.Context, Peer, echo) (echo, error) { return echo{strings.Repeat("x", 1<<20)}, nil })
	budget := membudget.New(testBudgetBytes, nil)
	client, _ := serve(t, Options{Cluster: "c", NodeID: "b", Memory: budget})
	requests := budget.Open("test")
	assert.NilError(t, requests.Grow(testBudgetBytes*3/4))
	_, err := Call[echo](t.Context(), client, Peer{Address: address}, "large", echo{})
	assert.NilError(t, err)
}

// Guards against responses that pile up for a peer that doesn't read them.
func TestPeerThatDoesNotReadFillsNoMemory(t *testing.T) {
	const requests = 200
	before := heapBytes()
	budget := membudget.New(testBudgetBytes, nil)
	server, address := serve(t, Options{Cluster: "c", NodeID: "a", Memory: budget})
	Handle(server, "large", func(ctx context.Context, _ Peer, _ echo) (echo, error) {
		if err := ReserveResponse(ctx, 1<<20); err != nil {
			return echo{}, err
		}
		return echo{strings.Repeat("x", 1<<20)}, nil
	})
	raw := dialAsPeer(t, address)
	for id := range requests {
		_, err := fmt.Fprintf(raw, `{"k":"large","i":%d,"p":{}}`+"\n", id+1)
		assert.NilError(t, err)
	}
	client, _ := serve(t, Options{Cluster: "c", NodeID: "b"})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if server.traffic.ByKind()["large"].ReceivedMessages < requests {
			return poll.Continue("requests are arriving")
		}
		return poll.Success()
	})
	peak := heapBytes()
	assert.Assert(t, peak < before+2*testBudgetBytes, "%d MiB for a budget of %d MiB", (peak-before)>>20, testBudgetBytes>>20)
	_, err := Call[echo](t.Context(), client, Peer{Address: address}, "echo", echo{"small"})
	assert.NilError(t, err)
	assert.NilError(t, raw.Close())
	waitReleased(t, budget, 1)
}

// Guards against a connection that is lost, with all its requests, because one response is too long.
func TestResponseThatIsTooLongFailsOnlyItsRequest(t *testing.T) {
	server, address := serve(t, Options{Cluster: "c", NodeID: "a"})
	Handle(server, "huge", func(context.Context, Peer, echo) (echo, error) { return echo{strings.Repeat("x", MaxLineBytes)}, nil })
	client, _ := serve(t, Options{Cluster: "c", NodeID: "b"})
	_, err := Call[echo](t.Context(), client, Peer{Address: address}, "huge", echo{})
	assert.Assert(t, apierr.Is(err, apierr.BodyTooLarge), "%v", err)
	assert.Equal(t, apierr.From(err, apierr.Ran).Outcome, apierr.OutcomeUnknown)
	_, err = Call[echo](t.Context(), client, Peer{Address: address}, "echo", echo{strings.Repeat("x", MaxLineBytes)})
	assert.Equal(t, apierr.From(err, apierr.Ran).Outcome, apierr.NotRun, "%v", err)
	_, err = Call[echo](t.Context(), client, Peer{Address: address}, "echo", echo{"x"})
	assert.NilError(t, err)
	assert.Equal(t, client.Connections(), 1)
}

// Guards against long replies that nobody waits for.
func TestUnexpectedLongReplyIsDiscarded(t *testing.T) {
	budget := membudget.New(testBudgetBytes, nil)
	full := budget.OpenPreferred("test")
	_, address := serve(t, Options{Cluster: "c", NodeID: "a", Memory: budget})
	raw := dialAsPeer(t, address)
	reader := bufio.NewReader(raw)
	_, err := reader.ReadString('\n')
	assert.NilError(t, err)
	assert.NilError(t, full.Grow(testBudgetBytes-connectionBytes-handlerBytes))
	_, err = io.WriteString(raw, `{"k":"echo","i":7,"r":true,"p":"`+strings.Repeat("x", 8<<20)+`"}`+"\n"+`{"k":"echo","i":8,"p":{"text":"next"}}`+"\n")
	assert.NilError(t, err)
	reply, err := reader.ReadString('\n')
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(reply, "next"), "%s", reply)
}

// Guards against connections without number.
func TestConnectionsCountInTheBudget(t *testing.T) {
	const fit = 5
	server, address := serve(t, Options{Cluster: "c", NodeID: "a", Memory: membudget.New(fit*connectionBytes, nil)})
	for range 3 * fit {
		raw, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		t.Cleanup(func() { _ = raw.Close() })
		_, _ = io.WriteString(raw, `{"k":"hello","p":{"cluster":"c","node":"x","address":"127.0.0.1:1"}}`+"\n")
		_, _ = raw.Read(make([]byte, 1))
	}
	assert.Equal(t, server.Connections(), fit)
}

// Guards against memory that is kept for each kind of message that a peer makes up.
func TestUnknownKindsAreCountedTogether(t *testing.T) {
	const kinds = 100
	server, address := serve(t, Options{Cluster: "c", NodeID: "a"})
	raw := dialAsPeer(t, address)
	for kind := range kinds {
		_, err := fmt.Fprintf(raw, `{"k":"kind-%d"}`+"\n", kind)
		assert.NilError(t, err)
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		byKind := server.Traffic().ByKind()
		if byKind[otherKinds].ReceivedMessages < kinds {
			return poll.Continue("%v", byKind)
		}
		return poll.Success()
	})
	assert.Assert(t, len(server.Traffic().ByKind()) < 10)
}

// Guards against memory of relayed requests and replies that is never returned.
func TestRelayedMessagesReturnTheirMemory(t *testing.T) {
	_, target := serve(t, Options{Cluster: "c", NodeID: "a"})
	relayBudget, budget := membudget.New(testBudgetBytes, nil), membudget.New(testBudgetBytes, nil)
	_, relay := serve(t, Options{Cluster: "c", NodeID: "b", Memory: relayBudget})
	client, _ := serve(t, Options{Cluster: "c", NodeID: "d", Memory: budget, Dial: func(ctx context.Context, address string) (net.Conn, error) {
		if address == target {
			return nil, net.ErrClosed
		}
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}})
	client.relayRoutes.relays = []string{relay}
	for range 3 {
		response, err := CallWithRelays[echo](t.Context(), client, Peer{Address: target}, "echo", echo{strings.Repeat("x", 1<<20)}, time.Millisecond)
		assert.NilError(t, err)
		assert.Equal(t, len(response.Text), 1<<20)
	}
	waitReleased(t, relayBudget, 1)
	waitReleased(t, budget, 0)
}
