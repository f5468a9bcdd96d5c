package ingress

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// randomResponse responds correctly or with a random fault.
func randomResponse(random *rand.Rand, call *engineCall) {
	lastEvent := 0
	_, _ = fmt.Sscan(call.request.Header.Get("After"), &lastEvent)
	switch random.IntN(12) {
	case 0:
		call.beginStream()
		if next := eventText(lastEvent+1, min(lastEvent+1+random.IntN(2), 4)); next != "" {
			call.chunk(next)
		}
		call.reset()
	case 1:
		call.beginStream()
		// An empty chunk would end the body.
		if rest := eventText(lastEvent+1, 4); rest != "" {
			call.chunk(rest[:1+random.IntN(len(rest))])
		}
		call.reset()
	case 2:
		call.reply([]int{400, 404, 500, 502}[random.IntN(4)], "data: failed\n\n")
	case 3:
		call.write("HTTP/1.1 503 X\r\nCall: %s\r\nUntouched: 1\r\nContent-Length: 0\r\n\r\n", call.id)
	case 4:
		call.write("HTTP/1.1 200 OK\r\nCall: other\r\nSeal: s\r\nContent-Length: 2\r\n\r\nno")
	case 5:
		if lastEvent == 0 {
			// At the start of a stream an empty response is valid.
			call.rest()
			return
		}
		call.beginStream()
		call.endStream()
	case 6:
		if lastEvent == 0 {
			call.rest()
			return
		}
		call.beginStream()
		call.chunk(wholeStream)
		call.endStream()
	case 7:
		call.rest()
		call.write("HTTP/1.1 200 OK\r\nCall: %s\r\nSeal: s\r\nContent-Type: text/event-stream\r\nContent-Length: 0\r\n\r\n", call.id)
	case 8:
		call.writeHead("HTTP/1.0", 200, eventStreamHeader)
		call.write("%s", eventText(lastEvent+1, 4))
		_ = call.connection.Close()
	default:
		call.rest()
	}
}

// Under random faults callers get a prefix of the stream, and a response that looks complete has
// all of it.
func TestRandomEngines(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t)
	var mutex sync.Mutex
	random := rand.New(rand.NewPCG(32, 1))
	for _, id := range []string{"a", "b", "c", "d"} {
		cluster.engine(id, func(call *engineCall) {
			mutex.Lock()
			own := rand.New(rand.NewPCG(random.Uint64(), 2))
			mutex.Unlock()
			randomResponse(own, call)
		})
	}
	var wait sync.WaitGroup
	replies := make([]reply, 400)
	for worker := range 8 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for index := worker; index < len(replies); index += 8 {
				replies[index] = cluster.send("/resume/", fmt.Sprint("c", index), "")
			}
		}()
	}
	wait.Wait()
	complete, interrupted := 0, 0
	for index, got := range replies {
		if got.status != http.StatusOK {
			continue
		}
		assert.Assert(t, strings.HasPrefix(wholeStream, got.body), "%d: %q", index, got.body)
		assert.Assert(t, got.body == "" || strings.HasSuffix(got.body, "\n\n"), "%d: %q", index, got.body)
		if got.err == nil {
			assert.Equal(t, got.body, wholeStream, "%d", index)
			complete++
			continue
		}
		interrupted++
	}
	t.Logf("%d complete, %d interrupted of %d", complete, interrupted, len(replies))
	assert.Assert(t, complete > len(replies)/4)
}
