package ingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/catalog"
	"github.com/mountstile/mountstile/internal/dispatch"
	"github.com/mountstile/mountstile/internal/routing"
)

func TestResponseIsForwardedUnchanged(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t)
	seen := make(chan *http.Request, 1)
	cluster.engine("e", func(call *engineCall) {
		seen <- call.request
		call.reply(418, "tea "+call.body)
	})
	got := cluster.send("/unsafe/x%2Fy?q=1", "c1", "pot", "X-Mine", "kept", "Patience", "1500")
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, 418)
	assert.Equal(t, got.body, "tea pot")
	assert.Equal(t, got.header.Get("Seal"), "s")
	request := <-seen
	assert.Equal(t, request.RequestURI, "/unsafe/x%2Fy?q=1")
	assert.Equal(t, request.Host, "h")
	assert.Equal(t, request.Header.Get("X-Mine"), "kept")
	assert.Equal(t, request.Header.Get("Engine"), "e")
	left := request.Header.Get("Left")
	assert.Assert(t, len(left) == 4 && left <= "1500" && left > "1000", "left %s", left)
}

// A call that an engine did not run is sent to another one, also if it may run only once.
func TestRefusedCallIsSentToAnotherEngine(t *testing.T) {
	t.Parallel()
	for name, refuse := range map[string]func(*engineCall){
		"full":        func(call *engineCall) { call.write("HTTP/1.1 503 X\r\nUntouched: 1\r\nContent-Length: 0\r\n\r\n") },
		"misdirected": func(call *engineCall) { call.write("HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n") },
	} {
		cluster := newTestCluster(t)
		var refusals int64
		for _, id := range []string{"a", "b", "c"} {
			cluster.engine(id, func(call *engineCall) {
				if call.number == 1 && refusals < 2 {
					refusals++
					refuse(call)
					return
				}
				call.reply(200, "done")
			})
		}
		got := cluster.send("/unsafe/", "c1", "")
		assert.Equal(t, got.status, 200, name)
		assert.Equal(t, refusals, int64(2), name)
	}
}

// A call that may run only once is not retried if it may have run, and the error doesn't say that
// it was not run.
func TestUnsafeCallRunsAtMostOnce(t *testing.T) {
	t.Parallel()
	for name, script := range map[string]func(*engineCall){
		"reset": func(call *engineCall) { call.reset() },
		"truncated": func(call *engineCall) {
			call.write("HTTP/1.1 200 OK\r\nCall: c1\r\nSeal: s\r\nContent-Length: 9\r\n\r\nabc")
			call.reset()
		},
		"garbage":        func(call *engineCall) { call.write("what\r\n\r\n"); call.reset() },
		"wrong call":     func(call *engineCall) { call.id = "other"; call.reply(200, "not yours") },
		"unsealed":       func(call *engineCall) { call.write("HTTP/1.1 200 OK\r\nCall: c1\r\nContent-Length: 1\r\n\r\nx") },
		"unsealed 503":   func(call *engineCall) { call.write("HTTP/1.1 503 X\r\nCall: c1\r\nContent-Length: 0\r\n\r\n") },
		"bad chunk":      func(call *engineCall) { call.beginStream(); call.write("zz\r\n"); call.reset() },
		"truncated head": func(call *engineCall) { call.write("HTTP/1.1 200 OK\r\nCal"); call.reset() },
	} {
		cluster := newTestCluster(t)
		engines := []*testEngine{cluster.engine("a", script), cluster.engine("b", script)}
		got := cluster.send("/unsafe/", "c1", "x")
		assert.Equal(t, got.status, http.StatusBadGateway, name)
		assert.Equal(t, got.header.Get("Seal"), "", name)
		assert.Equal(t, engines[0].runs.Load()+engines[1].runs.Load(), int64(1), name)
		assert.Assert(t, strings.Contains(cluster.logText(), `"request":"c1"`), name)
	}
}

func TestSafeCallRetriesUpToRouteAttempts(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t)
	engines := []*testEngine{}
	for _, id := range []string{"a", "b", "c"} {
		engines = append(engines, cluster.engine(id, func(call *engineCall) { call.reset() }))
	}
	assert.Equal(t, cluster.send("/safe/", "c1", "").status, http.StatusBadGateway)
	runs := engines[0].runs.Load() + engines[1].runs.Load() + engines[2].runs.Load()
	assert.Equal(t, runs, int64(2))
	cluster.engine("good", func(call *engineCall) { call.reply(200, "ok") })
	eventually(t, "the working engine is used", func() bool { return cluster.send("/safe/", "c2", "").status == 200 })
}

// A safe call to a silent engine is retried elsewhere before its deadline.
func TestSafeCallLeavesSilentEngine(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t)
	cluster.engine("a", func(call *engineCall) {
		if call.number == 1 {
			call.awaitClose()
			return
		}
		call.reply(200, "second")
	})
	cluster.engine("b", func(call *engineCall) { call.reply(200, "second") })
	for index := range 4 {
		started := time.Now()
		got := cluster.send("/safe/", fmt.Sprint(index), "")
		assert.Equal(t, got.status, 200)
		assert.Assert(t, time.Since(started) < 1500*time.Millisecond, "took %s", time.Since(started))
	}
}

func TestNoEngineFailsFastWithRetryAfter(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t)
	started := time.Now()
	got := cluster.send("/unsafe/", "c1", "")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	assert.Assert(t, time.Since(started) < 500*time.Millisecond)
}

func TestDrainingAndRemovedEnginesGetNoCalls(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t)
	leaving := cluster.engine("leaving", func(call *engineCall) { call.reply(200, "leaving") })
	gone := cluster.engine("gone", func(call *engineCall) { call.reply(200, "gone") })
	cluster.engine("stays", func(call *engineCall) { call.reply(200, "stays") })
	cluster.apply(catalog.EngineKind, "leaving", dispatch.EngineSpecification{ID: "leaving", Service: "models", Address: "127.0.0.1:1", Draining: true})
	cluster.revision++
	cluster.node.apply(catalog.Entry{Key: catalog.Key(catalog.EngineKind, "gone"), Revision: cluster.revision})
	for index := range 20 {
		assert.Equal(t, cluster.send("/unsafe/", fmt.Sprint(index), "").body, "stays")
	}
	assert.Equal(t, leaving.runs.Load()+gone.runs.Load(), int64(0))
}

func TestEventsAreFlushedImmediately(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t)
	proceed := make(chan struct{})
	cluster.engine("e", func(call *engineCall) {
		call.beginStream()
		call.event(1)
		<-proceed
		call.event(2)
		call.endStream()
	})
	response, err := cluster.startRequest(context.Background(), "/stream/", "c1", "")
	assert.NilError(t, err)
	defer response.Body.Close()
	reader := bufio.NewReader(response.Body)
	line, err := reader.ReadString('\n')
	assert.NilError(t, err)
	assert.Equal(t, line, "id: 1\n")
	close(proceed)
	rest, err := io.ReadAll(reader)
	assert.NilError(t, err)
	assert.Equal(t, string(rest), "data: e1\n\nid: 2\ndata: e2\n\n")
}

// An interrupted stream must not look complete.
func TestInterruptedStreamIsReset(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t)
	engine := cluster.engine("e", func(call *engineCall) {
		call.beginStream()
		call.event(1)
		call.chunk("id: 2\nda")
		call.reset()
	})
	got := cluster.send("/stream/", "c1", "")
	assert.Equal(t, got.status, 200)
	assert.Assert(t, got.err != nil, "the response looks complete: %q", got.body)
	assert.Equal(t, engine.runs.Load(), int64(1))
}

// A resumable stream continues after the last whole event without missing or repeated ones, whether
// it is interrupted between events, within one, or stalls.
func TestResumableStreamContinuesAfterLastEvent(t *testing.T) {
	t.Parallel()
	for name, interrupt := range map[string]func(*engineCall){
		"between events":  func(call *engineCall) { call.reset() },
		"within an event": func(call *engineCall) { call.chunk("id: 3\ndata: e"); call.reset() },
		"stalled":         func(call *engineCall) { call.awaitClose() },
	} {
		cluster := newTestCluster(t)
		cluster.engine("other", func(call *engineCall) { call.reply(500, "unexpected call") })
		cluster.engine("e", func(call *engineCall) {
			call.beginStream()
			if call.request.Header.Get("After") == "" {
				call.event(1)
				call.event(2)
				interrupt(call)
				return
			}
			assert.Check(t, call.request.Header.Get("After") == "2", name)
			call.event(3)
			call.event(4)
			call.endStream()
		})
		cluster.apply(catalog.EngineKind, "other", dispatch.EngineSpecification{ID: "other", Service: "models", Address: "127.0.0.1:1", Draining: true})
		got := cluster.send("/resume/", "c1", "")
		assert.NilError(t, got.err, name)
		assert.Equal(t, got.body, "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\nid: 4\ndata: e4\n\n", name)
	}
}

func TestResumableStreamMovesToAnotherEngine(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t)
	cluster.crashingEngine()
	response, err := cluster.startRequest(context.Background(), "/resume/", "c1", "")
	assert.NilError(t, err)
	defer response.Body.Close()
	cluster.engine("lives", func(call *engineCall) {
		call.beginStream()
		assert.Check(t, call.request.Header.Get("After") == "1")
		call.event(2)
		call.endStream()
	})
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n")
}

// The engine that finished a stream has the program's prompt cached, so the next turn prefers it.
func TestProgramPrefersTheEngineThatFinishedItsStream(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t)
	cluster.withReplica()
	cluster.crashingEngine()
	program := []string{"Program", "p", "Budget", "100", "Most", "18"}
	var first *http.Response
	eventually(t, "the replica accepts the first turn", func() bool {
		response, err := cluster.startRequest(context.Background(), "/resume/", "t1", "", program...)
		assert.NilError(t, err)
		first = response
		return response.StatusCode == http.StatusOK
	})
	defer first.Body.Close()
	cluster.engine("lives", func(call *engineCall) {
		call.beginStream()
		call.event(2)
		call.endStream()
	})
	_, err := io.ReadAll(first.Body)
	assert.NilError(t, err)
	preferred := regexp.MustCompile(`"preferred":"[a-z]+"`)
	eventually(t, "the engine of the first turn is known", func() bool {
		_ = cluster.send("/resume/", "t2", "", program...)
		return preferred.MatchString(cluster.logText())
	})
	assert.Equal(t, preferred.FindString(cluster.logText()), `"preferred":"lives"`)
}

func TestKeptTurnsAreChained(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t)
	cluster.withReplica()
	prompts := make(chan string, 3)
	cluster.engine("e", func(call *engineCall) {
		prompts <- call.body
		call.beginStream()
		call.event(1)
		call.event(2)
		call.endStream()
	})
	assert.NilError(t, cluster.send("/kept/", "t1", "first\n").err)
	assert.NilError(t, cluster.send("/kept/", "t2", "second\n", "Previous", "t1").err)
	assert.NilError(t, cluster.send("/kept/", "t3", "third\n", "Previous", "t2").err)
	assert.Equal(t, <-prompts, "first\n")
	assert.Equal(t, <-prompts, "first\ne1\ne2\nsecond\n")
	assert.Equal(t, <-prompts, "first\ne1\ne2\nsecond\ne1\ne2\nthird\n")
	assert.Equal(t, cluster.send("/kept/", "t4", "x", "Previous", "never").status, http.StatusNotFound)
	assert.Equal(t, cluster.engines["e"].runs.Load(), int64(3))
}

// The end of a turn on a route that stores turns is sent only once it is stored; without replicas the response is
// interrupted.
func TestUnstoredTurnIsInterrupted(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t)
	cluster.withReplica()
	cluster.engine("e", func(call *engineCall) {
		call.beginStream()
		call.event(1)
		cluster.replica.Close()
		call.endStream()
	})
	got := cluster.send("/kept/", "t1", "first")
	assert.Equal(t, got.status, 200)
	assert.Equal(t, got.body, "id: 1\ndata: e1\n\n")
	assert.Assert(t, got.err != nil, "the response looks complete")
	assert.Assert(t, strings.Contains(cluster.logText(), "turn_not_kept"))
}

// A gateway without contact with the replicas is not ready, and closes the connections of callers
// of turns so that they reconnect elsewhere.
func TestGatewayWithoutReplicasIsNotReady(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t)
	cluster.withReplica()
	cluster.engine("e", func(call *engineCall) {
		call.beginStream()
		call.event(1)
		call.endStream()
	})
	cluster.node.ready.Store(true)
	turn := func(id string) reply {
		return cluster.send("/stream/", id, "", "Program", "p", "Budget", "100", "Most", "9")
	}
	assert.Equal(t, turn("t1").status, http.StatusOK)
	assert.Assert(t, cluster.node.Ready())
	cluster.replica.Close()
	eventually(t, "the gateway is not ready", func() bool {
		got := turn("t2")
		return got.status == http.StatusServiceUnavailable && got.header.Get("Retry-After") != "" && !cluster.node.Ready()
	})
	response, err := cluster.startRequest(context.Background(), "/stream/", "t3", "", "Program", "p", "Budget", "100", "Most", "9")
	assert.NilError(t, err)
	assert.Assert(t, response.Close, "the response does not close the connection")
	assert.NilError(t, response.Body.Close())
	assert.Assert(t, strings.Contains(cluster.logText(), "replicas_lost"))
}

func TestBudget(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t)
	cluster.withReplica()
	engine := cluster.engine("e", func(call *engineCall) {
		call.beginStream()
		call.event(1)
		call.event(2)
		if call.number == 2 {
			call.reset()
			return
		}
		call.endStream()
	})
	turn := func(id string) reply {
		return cluster.send("/stream/", id, "", "Program", "p", "Budget", "50", "Most", "27")
	}
	assert.NilError(t, turn("t1").err) // 18 tokens of 50
	eventually(t, "the first turn is settled", func() bool {
		got := turn("t2") // interrupted after 18 tokens
		return got.status == 200 && got.err != nil
	})
	eventually(t, "the budget is spent", func() bool { return turn("t3").status == http.StatusPaymentRequired })
	assert.Equal(t, engine.runs.Load(), int64(2))
	assert.Equal(t, turn("t4").status, http.StatusPaymentRequired)
}

func TestDisconnectedCallerCancelsEngineCall(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t)
	arrived, left := make(chan struct{}), make(chan struct{})
	cluster.engine("e", func(call *engineCall) {
		close(arrived)
		call.awaitClose()
		close(left)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-arrived
		cancel()
	}()
	_, err := cluster.startRequest(ctx, "/stream/", "c1", "")
	assert.Assert(t, err != nil)
	select {
	case <-left:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the engine call was not canceled within 500 ms")
	}
}

func TestRouteTimeout(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t)
	cluster.engine("e", func(call *engineCall) { call.awaitClose() })
	started := time.Now()
	got := cluster.send("/brief/", "c1", "")
	took := time.Since(started)
	assert.Equal(t, got.status, http.StatusGatewayTimeout)
	assert.Assert(t, took >= 190*time.Millisecond && took < 500*time.Millisecond, "took %s", took)
}

func TestBadRequests(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t)
	engine := cluster.engine("e", func(call *engineCall) { call.reply(200, "") })
	assert.Equal(t, cluster.send("/none/", "c1", "").status, http.StatusNotFound)
	assert.Equal(t, cluster.send("/unsafe/", "", "").status, http.StatusBadRequest)
	assert.Equal(t, cluster.send("/unsafe/", "c1", strings.Repeat("x", 1001)).status, http.StatusRequestEntityTooLarge)
	assert.Equal(t, cluster.send("/unsafe/", "c1", "", "X-Long", strings.Repeat("x", 4001)).status, http.StatusRequestHeaderFieldsTooLarge)
	for text, status := range map[string]int{
		"POST /unsafe/ HTTP/1.1\r\nHost: h\r\nCall: c\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n":       http.StatusBadRequest,
		"POST /unsafe/ HTTP/1.1\r\nCall: c\r\nContent-Length: 0\r\n\r\n":                                 http.StatusBadRequest,
		"POST /unsafe/ HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab":          http.StatusBadRequest,
		"POST /unsafe/ HTTP/1.1\r\nHost: h\r\nCall: c\r\nTransfer-Encoding: chunked, x\r\n\r\n0\r\n\r\n": http.StatusNotImplemented,
	} {
		connection, err := net.Dial("tcp", cluster.frontServer.Listener.Addr().String())
		assert.NilError(t, err)
		_, err = io.WriteString(connection, text)
		assert.NilError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(connection), nil)
		assert.NilError(t, err, text)
		assert.Equal(t, response.StatusCode, status, text)
		_ = connection.Close()
	}
	assert.Equal(t, engine.runs.Load(), int64(0))
}

func TestOlderConfigurationIsIgnored(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t)
	cluster.engine("e", func(call *engineCall) { call.reply(200, "") })
	cluster.configure(7, func(specification *routing.Specification) {
		specification.Routes[0].Prefix = "/moved/"
	})
	assert.Equal(t, cluster.send("/moved/", "c1", "").status, 200)
	cluster.configure(6, func(*routing.Specification) {})
	assert.Equal(t, cluster.send("/moved/", "c2", "").status, 200)
	cluster.configure(8, func(specification *routing.Specification) { specification.Routes[0].Kind = "unknown" })
	assert.Equal(t, cluster.send("/moved/", "c3", "").status, 200)
	assert.Assert(t, strings.Contains(cluster.logText(), "config_rejected"))
}

// Shutdown interrupts nothing: the node reports not ready at once, running responses complete, and
// connections end after their current response.
func TestGracefulShutdown(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t)
	proceed := make(chan struct{})
	cluster.engine("e", func(call *engineCall) {
		call.beginStream()
		call.event(1)
		<-proceed
		call.endStream()
	})
	response, err := cluster.startRequest(context.Background(), "/stream/", "c1", "")
	assert.NilError(t, err)
	defer response.Body.Close()
	stopped := make(chan struct{})
	go func() {
		cluster.node.Stop(cluster.frontServer.Config, 3*time.Second)
		close(stopped)
	}()
	eventually(t, "the node is stopping", func() bool { return cluster.node.stopping.Load() })
	assert.Assert(t, !cluster.node.Ready())
	got := cluster.send("/none/", "c2", "")
	assert.Equal(t, got.status, http.StatusNotFound)
	close(proceed)
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "id: 1\ndata: e1\n\n")
	<-stopped
}
