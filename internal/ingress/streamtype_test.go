package ingress

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// The media type of an engine's stream must not decide whether its output is stored and charged,
// and when its events are forwarded.

// streamTypes are header lines with which a stream may arrive.
var streamTypes = map[string]string{
	"none":                          "",
	"parameter":                     "Content-Type: text/event-stream; charset=utf-8\r\n",
	"capital letters":               "Content-Type: Text/Event-Stream;Charset=UTF-8\r\n",
	"parameter without value":       "Content-Type: text/event-stream; charset\r\n",
	"duplicate parameter":           "Content-Type: text/event-stream; v=1; v=1\r\n",
	"unquoted parameter with space": "Content-Type: text/event-stream; boundary=a b\r\n",
	"trailing semicolon":            "Content-Type: text/event-stream;\r\n",
	"another media type":            "Content-Type: text/plain\r\n",
}

// beginStreamWithType begins a stream with this header line.
func (c *engineCall) beginStreamWithType(typeLine string) {
	c.write("HTTP/1.1 200 OK\r\nCall: %s\r\nSeal: s\r\n%sTransfer-Encoding: chunked\r\n\r\n", c.id, typeLine)
}

func TestTurnIsStoredForAnyMediaType(t *testing.T) {
	t.Parallel()
	for name, typeLine := range streamTypes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cluster := newTestCluster(t)
			cluster.withReplica()
			prompts := make(chan string, 2)
			cluster.engine("e", func(call *engineCall) {
				prompts <- call.body
				call.beginStreamWithType(typeLine)
				call.chunk(firstHalf)
				call.endStream()
			})
			assert.NilError(t, cluster.send("/kept/", "t1", "first\n").err)
			assert.Equal(t, cluster.send("/kept/", "t2", "second\n", "Previous", "t1").status, http.StatusOK)
			assert.Equal(t, <-prompts, "first\n")
			assert.Equal(t, <-prompts, "first\ne1\ne2\nsecond\n")
		})
	}
}

func TestStreamIsChargedForAnyMediaType(t *testing.T) {
	t.Parallel()
	for name, typeLine := range streamTypes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cluster := newTestCluster(t)
			cluster.withReplica()
			cluster.engine("e", func(call *engineCall) {
				call.beginStreamWithType(typeLine)
				call.chunk(firstHalf)
				call.endStream()
			})
			turn := func(id string) reply {
				return cluster.send("/stream/", id, "", "Program", "p", "Budget", "50", "Most", "27")
			}
			served := 0
			eventually(t, "the budget is spent", func() bool {
				got := turn(fmt.Sprint("t", served))
				if got.status == http.StatusOK {
					served++
				}
				return got.status == http.StatusPaymentRequired || served > 3
			})
			assert.Assert(t, served <= 2, "%d streams of 18 tokens were served from a budget of 50 with reservations of 27", served)
		})
	}
}

func TestResumableEventsAreFlushedForAnyMediaType(t *testing.T) {
	t.Parallel()
	for name, typeLine := range streamTypes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cluster := newTestCluster(t)
			proceed := make(chan struct{})
			cluster.engine("e", func(call *engineCall) {
				call.beginStreamWithType(typeLine)
				call.event(1)
				select {
				case <-proceed:
				case <-call.request.Context().Done():
				}
				call.endStream()
			})
			assertFirstLineForwarded(t, cluster, proceed, "id: 1\n")
		})
	}
}

// Comments keep a waiting caller's connection alive and are forwarded at once like events.
func TestResumableCommentsAreFlushed(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t)
	proceed := make(chan struct{})
	cluster.engine("e", func(call *engineCall) {
		call.beginStream()
		call.chunk(": wait\n\n")
		<-proceed
		call.event(1)
		call.endStream()
	})
	assertFirstLineForwarded(t, cluster, proceed, ": wait\n")
}

// assertFirstLineForwarded checks that the first line of a resumable stream arrives before its
// engine proceeds, then lets the engine proceed.
func assertFirstLineForwarded(t *testing.T, cluster *testCluster, proceed chan struct{}, line string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), firstEventTimeout/2)
	defer cancel()
	defer close(proceed)
	response, err := cluster.startRequest(ctx, "/resume/", "c1", "")
	assert.NilError(t, err, "the head was not forwarded")
	defer response.Body.Close()
	got, err := bufio.NewReader(response.Body).ReadString('\n')
	assert.NilError(t, err, "the first line was not forwarded")
	assert.Equal(t, got, line)
}
