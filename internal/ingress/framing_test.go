package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// truncatedResponses are responses that end early, for each kind of framing.
var truncatedResponses = map[string]func(call *engineCall){
	"length":                        func(call *engineCall) { call.writeHead("HTTP/1.1", 200, "Content-Length: 9"); call.write("part") },
	"HTTP/1.0 length":               func(call *engineCall) { call.writeHead("HTTP/1.0", 200, "Content-Length: 9"); call.write("part") },
	"length without body":           func(call *engineCall) { call.writeHead("HTTP/1.1", 200, "Content-Length: 9") },
	"chunked":                       func(call *engineCall) { call.beginStream(); call.chunk("part") },
	"within a chunk":                func(call *engineCall) { call.beginStream(); call.write("9\r\npart") },
	"last chunk without final CRLF": func(call *engineCall) { call.beginStream(); call.chunk("part"); call.write("0\r\n") },
	"within the last chunk":         func(call *engineCall) { call.beginStream(); call.chunk("part"); call.write("0") },
	"without length, reset": func(call *engineCall) {
		call.writeHead("HTTP/1.1", 200, "Connection: close")
		call.write("part")
		call.reset()
	},
	"HTTP/1.0 without length, reset": func(call *engineCall) { call.writeHead("HTTP/1.0", 200); call.write("part"); call.reset() },
	"head without its length lines":  func(call *engineCall) { call.writeHead("HTTP/1.1", 200); call.write("part") },
	"head without lines or body":     func(call *engineCall) { call.write("HTTP/1.1 200 OK\r\nCall: %s\r\nSeal: s\r\n\r\n", call.id) },
	"head of bare line feeds":        func(call *engineCall) { call.write("HTTP/1.1 200 OK\nCall: %s\nSeal: s\n\npart", call.id) },
	"length cut within its digits": func(call *engineCall) {
		call.write("HTTP/1.1 200 OK\r\nCall: %s\r\nSeal: s\r\nContent-Length:\r\n\r\npart", call.id)
	},
	"within the head": func(call *engineCall) { call.write("HTTP/1.1 200 OK\r\nCall: %s\r\nSeal: s\r\n", call.id) },
	"invalid length":  func(call *engineCall) { call.writeHead("HTTP/1.1", 200, "Content-Length: 4x"); call.write("part") },
	"conflicting lengths": func(call *engineCall) {
		call.writeHead("HTTP/1.1", 200, "Content-Length: 4", "Content-Length: 9")
		call.write("part")
	},
}

// A response that ends early must not be forwarded as complete on any kind of route.
func TestTruncatedResponseIsNotForwardedAsComplete(t *testing.T) {
	t.Parallel()
	for name, truncate := range truncatedResponses {
		for _, path := range []string{"/safe/", "/unsafe/", "/stream/", "/resume/", "/kept/"} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				cluster := newTestCluster(t)
				if path == "/kept/" {
					cluster.withReplica()
				}
				cluster.engine("e", func(call *engineCall) {
					truncate(call)
					_ = call.connection.Close()
				})
				got := cluster.send(path, "c1", "")
				assert.Assert(t, got.err != nil || got.status >= http.StatusInternalServerError, "%d %q", got.status, got.body)
			})
		}
	}
}

// exchangeRaw sends requests over one connection and returns their responses.
func (c *testCluster) exchangeRaw(requests ...string) []reply {
	c.t.Helper()
	connection, err := net.Dial("tcp", c.frontServer.Listener.Addr().String())
	assert.NilError(c.t, err)
	defer connection.Close()
	assert.NilError(c.t, connection.SetDeadline(time.Now().Add(5*time.Second)))
	reader := bufio.NewReader(connection)
	var replies []reply
	for _, request := range requests {
		method, _, _ := strings.Cut(request, " ")
		_, err = io.WriteString(connection, request)
		assert.NilError(c.t, err)
		response, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil {
			replies = append(replies, reply{err: err})
			break
		}
		body, err := io.ReadAll(response.Body)
		replies = append(replies, reply{status: response.StatusCode, header: response.Header, body: string(body), err: err})
	}
	return replies
}

// Responses without a body because of their status or method must not desynchronize the caller's
// connection.
func TestBodilessResponsesKeepTheConnectionInSync(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/safe/", "/unsafe/", "/stream/", "/resume/"} {
		cluster := newTestCluster(t)
		cluster.engine("e", func(call *engineCall) {
			status := 0
			_, _ = fmt.Sscan(call.request.Header.Get("Wants"), &status)
			switch {
			case call.request.Method == http.MethodHead:
				call.writeHead("HTTP/1.1", status, "Content-Length: 4", eventStreamHeader)
			case status == 204 || status == 304:
				call.writeHead("HTTP/1.1", status)
			default:
				call.reply(status, "body")
			}
		})
		rawRequest := func(method string, status int) string {
			return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\nCall: c%d\r\nWants: %d\r\n\r\n", method, path, status, status)
		}
		got := cluster.exchangeRaw(rawRequest("GET", 204), rawRequest("HEAD", 200), rawRequest("GET", 304), rawRequest("HEAD", 500), rawRequest("GET", 201), rawRequest("HEAD", 204), rawRequest("GET", 200))
		want := []int{204, 200, 304, 500, 201, 204, 200}
		assert.Equal(t, len(got), len(want), path)
		for index, status := range want {
			assert.NilError(t, got[index].err, "%s %d", path, index)
			assert.Equal(t, got[index].status, status, "%s %d", path, index)
			assert.Equal(t, got[index].body, map[bool]string{true: "body"}[index == 4 || index == 6], "%s %d", path, index)
		}
	}
}

// A caller that sends "Connection: close" must see that its response is incomplete.
func TestInterruptionWithConnectionClose(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/stream/", "/resume/"} {
		cluster := newTestCluster(t)
		cluster.engine("e", failAfterFirstHalf)
		got := cluster.exchangeRaw("GET " + path + " HTTP/1.1\r\nHost: h\r\nCall: c1\r\nConnection: close\r\n\r\n")
		assert.Assert(t, got[0].err != nil, "%s: the response looks complete: %q", path, got[0].body)
	}
}

// The caller's deadline passes while its stream is being resumed.
func TestDeadlineDuringResumptionInterrupts(t *testing.T) {
	t.Parallel()
	for name, later := range map[string]func(call *engineCall){
		"error responses": func(call *engineCall) { call.reply(500, "out of memory\n") },
		"no response":     func(call *engineCall) { call.awaitClose() },
		"no events":       func(call *engineCall) { call.beginStream(); call.awaitClose() },
	} {
		cluster := newTestCluster(t)
		cluster.engine("e", func(call *engineCall) {
			if call.number > 1 {
				later(call)
				return
			}
			call.beginStream()
			call.chunk(firstHalf)
			call.reset()
		})
		startedAt := time.Now()
		got := cluster.send("/resume/", "c1", "", "Patience", "150")
		assert.Assert(t, got.err != nil && got.body == firstHalf, "%s: %q", name, got.body)
		assert.Assert(t, time.Since(startedAt) < 600*time.Millisecond, "%s: took %s", name, time.Since(startedAt))
	}
}

// Shutdown lets a stream that is being resumed complete.
func TestStreamResumesDuringShutdown(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t)
	stopping := make(chan struct{})
	cluster.engine("e", func(call *engineCall) {
		switch call.number {
		case 1:
			call.beginStream()
			call.chunk(firstHalf)
			call.reset()
		case 2:
			close(stopping)
			call.reply(500, "out of memory\n")
		default:
			call.rest()
		}
	})
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		<-stopping
		cluster.node.Stop(cluster.frontServer.Config, 3*time.Second)
	}()
	got := cluster.send("/resume/", "c1", "")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, wholeStream)
	<-stopped
}

// If the reservation of a turn that ran ahead fails while the turn is being resumed, the caller
// gets none of its events.
func TestReservationFailsDuringResumption(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t)
	start := cluster.withLateReplica()
	resumed := make(chan struct{})
	cluster.engine("e", func(call *engineCall) {
		if call.number == 1 {
			call.beginStream()
			call.chunk(firstHalf)
			call.reset()
			close(resumed)
			return
		}
		call.rest()
	})
	go func() {
		<-resumed
		start()
	}()
	got := cluster.send("/resume/", "c1", "", "Program", "p", "Budget", "10", "Most", "36", "Patience", "3000")
	assert.Assert(t, got.err == nil && got.status >= 400, "%d %q %v", got.status, got.body, got.err)
	assert.Assert(t, !strings.Contains(got.body, "data:"))
}
