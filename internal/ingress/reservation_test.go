package ingress

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/routing"
)

// sendTurn sends a turn of a program with a budget in the background and returns the channel of its
// reply.
func (c *testCluster) sendTurn(path, id, budget string) chan reply {
	replies := make(chan reply, 1)
	go func() { replies <- c.send(path, id, "", "Program", "p", "Budget", budget, "Most", "27") }()
	return replies
}

func assertPending(t *testing.T, replies chan reply, reason string) {
	t.Helper()
	select {
	case got := <-replies:
		t.Fatalf("%s: %d %q", reason, got.status, got.body)
	case <-time.After(100 * time.Millisecond):
	}
}

// While replicas are unavailable a repeatable turn runs, but its events are buffered until its
// tokens are reserved.
func TestTurnRunsAheadOfItsReservation(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t)
	start := cluster.withLateReplica()
	ran := make(chan struct{}, 1)
	cluster.engine("e", func(call *engineCall) {
		ran <- struct{}{}
		call.beginStream()
		call.event(1)
		call.event(2)
		call.endStream()
	})
	replies := cluster.sendTurn("/resume/", "t1", "100")
	<-ran
	assertPending(t, replies, "the caller got a response before the reservation")
	start()
	got := <-replies
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, 200)
	assert.Equal(t, got.body, "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n")
}

// A turn that may run only once waits for its reservation.
func TestNonRepeatableTurnWaitsForItsReservation(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t)
	start := cluster.withLateReplica()
	engine := cluster.engine("e", func(call *engineCall) {
		call.beginStream()
		call.event(1)
		call.endStream()
	})
	replies := cluster.sendTurn("/stream/", "t1", "100")
	assertPending(t, replies, "the caller got a response before the reservation")
	assert.Equal(t, engine.runs.Load(), int64(0))
	start()
	assert.Equal(t, (<-replies).status, 200)
}

// A turn that ran ahead and whose reservation then fails must not be reported as not run.
func TestDeniedTurnThatRanIsNotReportedAsNotRun(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t)
	start := cluster.withLateReplica()
	ran := make(chan string, 100)
	cluster.engine("e", func(call *engineCall) {
		ran <- call.id
		call.beginStream()
		call.event(1)
		call.endStream()
	})
	replies := cluster.sendTurn("/resume/", "t1", "20")
	assert.Equal(t, <-ran, "t1")
	start()
	assert.Equal(t, (<-replies).status, http.StatusBadGateway)
	assert.Equal(t, len(ran), 0)
	refused := ""
	for number := 2; refused == "" && number < cap(ran); number++ {
		id := fmt.Sprint("t", number)
		got := (<-cluster.sendTurn("/resume/", id, "20")).status
		assert.Assert(t, got == http.StatusPaymentRequired || got == http.StatusBadGateway || got == http.StatusServiceUnavailable, "%d", got)
		if got == http.StatusPaymentRequired {
			refused = id
		}
	}
	assert.Assert(t, refused != "", "no turn was refused for its budget")
	for len(ran) > 0 {
		assert.Assert(t, <-ran != refused, "%s ran but was reported as not run", refused)
	}
}

// A reservation that completes after its turn has ended is released.
func TestUnusedReservationIsReleased(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t)
	start := cluster.withLateReplica()
	replies := cluster.sendTurn("/resume/", "t1", "27")
	assert.Equal(t, (<-replies).status, http.StatusServiceUnavailable, "there is no engine")
	start()
	cluster.engine("e", func(call *engineCall) {
		call.beginStream()
		call.event(1)
		call.endStream()
	})
	eventually(t, "the budget has room for another turn", func() bool { return (<-cluster.sendTurn("/resume/", "t2", "27")).status == 200 })
}

// A request that arrives before the first routes waits for them instead of failing.
func TestRequestWaitsForTheFirstRoutes(t *testing.T) {
	t.Parallel()
	cluster := newUnconfiguredCluster(t)
	replies := make(chan reply, 1)
	go func() { replies <- cluster.send("/safe/", "c1", "") }()
	assertPending(t, replies, "refused during startup")
	cluster.engine("e", func(call *engineCall) { call.reply(200, "done") })
	cluster.configure(1, func(*routing.Specification) {})
	assert.Equal(t, (<-replies).status, 200)
}

func TestRequestFailsWithoutRoutes(t *testing.T) {
	t.Parallel()
	cluster := newUnconfiguredCluster(t)
	sentAt := time.Now()
	got := cluster.send("/safe/", "c1", "")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, time.Since(sentAt) >= maxRouteWait)
	assert.Assert(t, got.header.Get("Retry-After") != "")
}
