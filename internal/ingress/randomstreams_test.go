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

// randomTrouble is what an engine does in place of a good run, chosen anew for each run.
func randomTrouble(random *rand.Rand, call *engineCall) {
	after := 0
	_, _ = fmt.Sscan(call.request.Header.Get("After"), &after)
	switch random.IntN(12) {
	case 0:
		call.beginStream()
		if next := eventText(after+1, min(after+1+random.IntN(2), 4)); next != "" {
			call.chunk(next)
		}
		call.reset()
	case 1:
		call.beginStream()
		// An empty chunk would be the end.
		if rest := eventText(after+1, 4); rest != "" {
			call.chunk(rest[:1+random.IntN(len(rest))])
		}
		call.reset()
	case 2:
		call.answer([]int{400, 404, 500, 502}[random.IntN(4)], "data: failed\n\n")
	case 3:
		call.write("HTTP/1.1 503 X\r\nCall: %s\r\nUntouched: 1\r\nContent-Length: 0\r\n\r\n", call.id)
	case 4:
		call.write("HTTP/1.1 200 OK\r\nCall: other\r\nSeal: s\r\nContent-Length: 2\r\n\r\nno")
	case 5:
		if after == 0 {
			// Nothing contradicts an empty answer to a stream that has not begun.
			call.rest()
			return
		}
		call.beginStream()
		call.endStream()
	case 6:
		if after == 0 {
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
		call.head("HTTP/1.0", 200, eventStreamType)
		call.write("%s", eventText(after+1, 4))
		_ = call.connection.Close()
	default:
		call.rest()
	}
}

// Whatever engines do, what a caller has got of a stream is its beginning, and an end that looks whole means all of it.
func TestRandomEngines(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	var mutex sync.Mutex
	random := rand.New(rand.NewPCG(32, 1))
	for _, id := range []string{"a", "b", "c", "d"} {
		s.engine(id, func(call *engineCall) {
			mutex.Lock()
			own := rand.New(rand.NewPCG(random.Uint64(), 2))
			mutex.Unlock()
			randomTrouble(own, call)
		})
	}
	var waiting sync.WaitGroup
	answers := make([]answer, 400)
	for worker := range 8 {
		waiting.Add(1)
		go func() {
			defer waiting.Done()
			for index := worker; index < len(answers); index += 8 {
				answers[index] = s.send("/resume/", fmt.Sprint("c", index), "")
			}
		}()
	}
	waiting.Wait()
	whole, cut := 0, 0
	for index, got := range answers {
		if got.status != http.StatusOK {
			continue
		}
		assert.Assert(t, strings.HasPrefix(wholeStream, got.body), "%d: %q", index, got.body)
		assert.Assert(t, got.body == "" || strings.HasSuffix(got.body, "\n\n"), "%d: %q", index, got.body)
		if got.err == nil {
			assert.Equal(t, got.body, wholeStream, "%d", index)
			whole++
			continue
		}
		cut++
	}
	t.Logf("%d whole, %d cut of %d", whole, cut, len(answers))
	assert.Assert(t, whole > len(answers)/4)
}
