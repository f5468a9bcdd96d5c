package ingress

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// bufferedResponse is an engine's response with its framing.
type bufferedResponse struct {
	protocol string
	headers  []string
	body     string
	end      func(call *engineCall)
	// complete is whether the response is complete.
	complete bool
}

func (r bufferedResponse) serve(call *engineCall) {
	call.writeHead(r.protocol, http.StatusOK, r.headers...)
	call.write("%s", r.body)
	r.end(call)
}

// The end of a buffered response is distinguished from a truncation for each kind of framing.
func TestFramingOfBufferedResponses(t *testing.T) {
	t.Parallel()
	const half, complete = "the first half", "the first half and the second"
	const halfChunk, wholeChunk = "e\r\n" + half + "\r\n", "1d\r\n" + complete + "\r\n"
	keepOpen := func(*engineCall) {}
	closes := func(call *engineCall) { _ = call.connection.Close() }
	resets := func(call *engineCall) { call.reset() }
	length, chunks, none := []string{"Content-Length: 29"}, []string{"Transfer-Encoding: chunked"}, []string{"Connection: close"}
	for name, row := range map[string]bufferedResponse{
		"a length":                          {"HTTP/1.1", length, complete, keepOpen, true},
		"a length, closed early":            {"HTTP/1.1", length, half, closes, false},
		"a length, reset":                   {"HTTP/1.1", length, half, resets, false},
		"HTTP/1.0 with a length":            {"HTTP/1.0", length, complete, closes, true},
		"HTTP/1.0 with a length, truncated": {"HTTP/1.0", length, half, closes, false},
		"chunks":                            {"HTTP/1.1", chunks, wholeChunk + "0\r\n\r\n", keepOpen, true},
		"chunks, truncated after a chunk":   {"HTTP/1.1", chunks, halfChunk, closes, false},
		"chunks, last chunk missing":        {"HTTP/1.1", chunks, wholeChunk, closes, false},
		"chunks, truncated last chunk":      {"HTTP/1.1", chunks, wholeChunk + "0\r\n", closes, false},
		"chunks, truncated chunk":           {"HTTP/1.1", chunks, wholeChunk[:9], closes, false},
		"no length":                         {"HTTP/1.1", none, complete, closes, true},
		"no length, reset":                  {"HTTP/1.1", none, half, resets, false},
		"no length, no announced close":     {"HTTP/1.1", nil, complete, closes, false},
		"HTTP/1.0 without a length":         {"HTTP/1.0", nil, complete, closes, true},
		"HTTP/1.0, reset":                   {"HTTP/1.0", nil, half, resets, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cluster := newTestCluster(t)
			cluster.engine("e", row.serve)
			got := cluster.send("/unsafe/", "c1", "")
			assert.NilError(t, got.err)
			if !row.complete {
				assert.Equal(t, got.status, http.StatusBadGateway)
				return
			}
			assert.Equal(t, got.status, http.StatusOK)
			assert.Equal(t, got.body, complete)
		})
	}
}

// A retried call gets the response of one engine only.
func TestRetriedCallGetsOneResponse(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t)
	for _, id := range []string{"a", "b"} {
		cluster.engine(id, func(call *engineCall) {
			if cluster.runs() == 1 {
				call.writeHead("HTTP/1.1", 200, "Content-Length: 40")
				call.write("half of the first engine's")
				call.reset()
				return
			}
			call.reply(200, "all of the second's")
		})
	}
	got := cluster.send("/safe/", "c1", "")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, "all of the second's")
	assert.Equal(t, cluster.runs(), int64(2))
}

// runs returns the number of calls to all engines.
func (c *testCluster) runs() int64 {
	var sum int64
	for _, engine := range c.engines {
		sum += engine.runs.Load()
	}
	return sum
}
