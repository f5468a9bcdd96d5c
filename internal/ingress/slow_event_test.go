package ingress

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a sound engine's slow event that is abandoned, and run again at each engine.
func TestSlowLongEventIsServed(t *testing.T) {
	cluster, _ := newTestClusterWithMemory(t, 64*testBodyBytes)
	const parts, partBytes = 10, 4 << 10
	engine := cluster.engine("e", func(call *engineCall) {
		call.beginStream()
		call.event(1)
		call.chunk("id: 2\ndata: ")
		for range parts {
			<-time.After(nextEventTimeout / 5)
			call.chunk(strings.Repeat("x", partBytes))
		}
		call.chunk("\n\n")
		call.endStream()
	})
	got := cluster.send("/resume/x", "r", "x")
	assert.NilError(t, got.err)
	assert.Assert(t, len(got.body) > parts*partBytes, "%d bytes", len(got.body))
	assert.Equal(t, engine.runs.Load(), int64(1))
}

// Guards against memory that stays reserved for events that were forwarded, so that other streams are refused.
func TestForwardedEventsHoldNoMemory(t *testing.T) {
	cluster, budget := newTestClusterWithMemory(t, 64*testBodyBytes)
	const streams, eventBytes = 8, 12 << 10
	release := make(chan struct{})
	var begun sync.WaitGroup
	begun.Add(streams)
	cluster.engine("e", func(call *engineCall) {
		call.beginStream()
		call.chunk("id: 1\ndata: " + strings.Repeat("x", eventBytes) + "\n\n")
		begun.Done()
		<-release
		call.endStream()
	})
	var ended sync.WaitGroup
	for index := range streams {
		ended.Go(func() {
			got := cluster.send("/resume/x", fmt.Sprint("r", index), fmt.Sprint(index))
			assert.Check(t, got.err == nil && got.status == http.StatusOK, "%v %d", got.err, got.status)
		})
	}
	begun.Wait()
	eventually(t, "nothing is reserved for the streams that wait", func() bool { return budget.Used() <= streams*reservedPerStream })
	close(release)
	ended.Wait()
}

// reservedPerStream is more than the reservation for a short body and head.
const reservedPerStream = 8 << 10
