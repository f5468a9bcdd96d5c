package ingress

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// What the engine's type says of a stream must not decide whether its turn is kept with what it said, whether it is charged,
// and when its events pass. A type that can't be read made it another body: the turn was kept without its output, nothing was charged,
// and a resumable stream was held back to its end.

// streamTypes are lines of heads that a stream may come with.
var streamTypes = map[string]string{
	"no type":                "",
	"a parameter":            "Content-Type: text/event-stream; charset=utf-8\r\n",
	"capitals":               "Content-Type: Text/Event-Stream;Charset=UTF-8\r\n",
	"a parameter, no value":  "Content-Type: text/event-stream; charset\r\n",
	"two equal parameters":   "Content-Type: text/event-stream; v=1; v=1\r\n",
	"an unquoted parameter":  "Content-Type: text/event-stream; boundary=a b\r\n",
	"a semicolon at the end": "Content-Type: text/event-stream;\r\n",
	"another type":           "Content-Type: text/plain\r\n",
}

// beginTyped begins a stream whose head has this type line.
func (c *engineCall) beginTyped(typeLine string) {
	c.write("HTTP/1.1 200 OK\r\nCall: %s\r\nSeal: s\r\n%sTransfer-Encoding: chunked\r\n\r\n", c.id, typeLine)
}

func TestTurnIsKeptWithItsOutputWhateverItsType(t *testing.T) {
	t.Parallel()
	for name, typeLine := range streamTypes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t)
			s.withReplica()
			prompts := make(chan string, 2)
			s.engine("e", func(call *engineCall) {
				prompts <- call.body
				call.beginTyped(typeLine)
				call.chunk(firstHalf)
				call.endStream()
			})
			assert.NilError(t, s.send("/kept/", "t1", "first\n").err)
			assert.Equal(t, s.send("/kept/", "t2", "second\n", "Previous", "t1").status, http.StatusOK)
			assert.Equal(t, <-prompts, "first\n")
			assert.Equal(t, <-prompts, "first\ne1\ne2\nsecond\n")
		})
	}
}

func TestStreamIsChargedWhateverItsType(t *testing.T) {
	t.Parallel()
	for name, typeLine := range streamTypes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t)
			s.withReplica()
			s.engine("e", func(call *engineCall) {
				call.beginTyped(typeLine)
				call.chunk(firstHalf)
				call.endStream()
			})
			turn := func(id string) answer {
				return s.send("/stream/", id, "", "Program", "p", "Budget", "50", "Most", "27")
			}
			served := 0
			eventually(t, "the budget is spent", func() bool {
				got := turn(fmt.Sprint("t", served))
				if got.status == http.StatusOK {
					served++
				}
				return got.status == http.StatusPaymentRequired || served > 3
			})
			assert.Assert(t, served <= 2, "%d streams of 18 tokens were served of a budget of 50 in turns of 27", served)
		})
	}
}

func TestEventsOfResumableStreamPassAsTheyComeWhateverItsType(t *testing.T) {
	t.Parallel()
	for name, typeLine := range streamTypes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t)
			proceed := make(chan struct{})
			s.engine("e", func(call *engineCall) {
				call.beginTyped(typeLine)
				call.event(1)
				select {
				case <-proceed:
				case <-call.request.Context().Done():
				}
				call.endStream()
			})
			assertPassesFirst(t, s, proceed, "id: 1\n")
		})
	}
}

// A comment keeps a caller that waits from giving up, and is passed on at once like an event.
func TestCommentsOfResumableStreamPassAsTheyCome(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	proceed := make(chan struct{})
	s.engine("e", func(call *engineCall) {
		call.beginStream()
		call.chunk(": wait\n\n")
		<-proceed
		call.event(1)
		call.endStream()
	})
	assertPassesFirst(t, s, proceed, ": wait\n")
}

// assertPassesFirst checks that a resumable stream's first line comes before its engine proceeds, and lets it proceed.
func assertPassesFirst(t *testing.T, s *site, proceed chan struct{}, line string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), firstEventStall/2)
	defer cancel()
	defer close(proceed)
	response, err := s.begin(ctx, "/resume/", "c1", "")
	assert.NilError(t, err, "the head is held back")
	defer response.Body.Close()
	got, err := bufio.NewReader(response.Body).ReadString('\n')
	assert.NilError(t, err, "the first line is held back")
	assert.Equal(t, got, line)
}
