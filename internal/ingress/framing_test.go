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

// cutAnswers are answers that end before their end, however they are framed.
var cutAnswers = map[string]func(call *engineCall){
	"a length":               func(call *engineCall) { call.head("HTTP/1.1", 200, "Content-Length: 9"); call.write("part") },
	"a length, older":        func(call *engineCall) { call.head("HTTP/1.0", 200, "Content-Length: 9"); call.write("part") },
	"a length, no byte":      func(call *engineCall) { call.head("HTTP/1.1", 200, "Content-Length: 9") },
	"chunks":                 func(call *engineCall) { call.beginStream(); call.chunk("part") },
	"within a chunk":         func(call *engineCall) { call.beginStream(); call.write("9\r\npart") },
	"last chunk without end": func(call *engineCall) { call.beginStream(); call.chunk("part"); call.write("0\r\n") },
	"within the last chunk":  func(call *engineCall) { call.beginStream(); call.chunk("part"); call.write("0") },
	"no length, reset": func(call *engineCall) {
		call.head("HTTP/1.1", 200, "Connection: close")
		call.write("part")
		call.reset()
	},
	"no length, older, reset":   func(call *engineCall) { call.head("HTTP/1.0", 200); call.write("part"); call.reset() },
	"within the head":           func(call *engineCall) { call.write("HTTP/1.1 200 OK\r\nCall: %s\r\nSeal: s\r\n", call.id) },
	"a length that is no count": func(call *engineCall) { call.head("HTTP/1.1", 200, "Content-Length: 4x"); call.write("part") },
	"two lengths": func(call *engineCall) {
		call.head("HTTP/1.1", 200, "Content-Length: 4", "Content-Length: 9")
		call.write("part")
	},
}

// An answer that ends early is never passed on as one that is whole, on any kind of route.
func TestCutAnswersAreNotWhole(t *testing.T) {
	t.Parallel()
	for name, cut := range cutAnswers {
		for _, path := range []string{"/safe/", "/unsafe/", "/stream/", "/resume/", "/kept/"} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				s := newSite(t)
				if path == "/kept/" {
					s.withReplica()
				}
				s.engine("e", func(call *engineCall) {
					cut(call)
					_ = call.connection.Close()
				})
				got := s.send(path, "c1", "")
				assert.Assert(t, got.err != nil || got.status >= http.StatusInternalServerError, "%d %q", got.status, got.body)
			})
		}
	}
}

// exchangeRaw sends requests over one connection of a caller and returns their answers.
func (s *site) exchangeRaw(requests ...string) []answer {
	s.t.Helper()
	connection, err := net.Dial("tcp", s.front.Listener.Addr().String())
	assert.NilError(s.t, err)
	defer connection.Close()
	assert.NilError(s.t, connection.SetDeadline(time.Now().Add(5*time.Second)))
	reader := bufio.NewReader(connection)
	var answers []answer
	for _, request := range requests {
		method, _, _ := strings.Cut(request, " ")
		_, err = io.WriteString(connection, request)
		assert.NilError(s.t, err)
		response, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil {
			answers = append(answers, answer{err: err})
			break
		}
		body, err := io.ReadAll(response.Body)
		answers = append(answers, answer{status: response.StatusCode, header: response.Header, body: string(body), err: err})
	}
	return answers
}

// Answers that have no body by their status or method leave the caller's connection in step.
func TestAnswersWithoutBodyLeaveTheConnectionInStep(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/safe/", "/unsafe/", "/stream/", "/resume/"} {
		s := newSite(t)
		s.engine("e", func(call *engineCall) {
			status := 0
			_, _ = fmt.Sscan(call.request.Header.Get("Wants"), &status)
			switch {
			case call.request.Method == http.MethodHead:
				call.head("HTTP/1.1", status, "Content-Length: 4", eventStreamType)
			case status == 204 || status == 304:
				call.head("HTTP/1.1", status)
			default:
				call.answer(status, "body")
			}
		})
		ask := func(method string, status int) string {
			return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\nCall: c%d\r\nWants: %d\r\n\r\n", method, path, status, status)
		}
		got := s.exchangeRaw(ask("GET", 204), ask("HEAD", 200), ask("GET", 304), ask("HEAD", 500), ask("GET", 201), ask("HEAD", 204), ask("GET", 200))
		want := []int{204, 200, 304, 500, 201, 204, 200}
		assert.Equal(t, len(got), len(want), path)
		for index, status := range want {
			assert.NilError(t, got[index].err, "%s %d", path, index)
			assert.Equal(t, got[index].status, status, "%s %d", path, index)
			assert.Equal(t, got[index].body, map[bool]string{true: "body"}[index == 4 || index == 6], "%s %d", path, index)
		}
	}
}

// A cut is one for a caller that asked for the end of its connection, too.
func TestCutIsSeenByACallerThatCloses(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/stream/", "/resume/"} {
		s := newSite(t)
		s.engine("e", failWhileResuming)
		got := s.exchangeRaw("GET " + path + " HTTP/1.1\r\nHost: h\r\nCall: c1\r\nConnection: close\r\n\r\n")
		assert.Assert(t, got[0].err != nil, "%s: the answer looks whole: %q", path, got[0].body)
	}
}

// The caller's time ends while its stream is to be asked for again.
func TestDeadlineWithinResumptionsIsACut(t *testing.T) {
	t.Parallel()
	for name, later := range map[string]func(call *engineCall){
		"failures": func(call *engineCall) { call.answer(500, "out of memory\n") },
		"silence":  func(call *engineCall) { call.gone() },
		"no event": func(call *engineCall) { call.beginStream(); call.gone() },
	} {
		s := newSite(t)
		s.engine("e", func(call *engineCall) {
			if call.number > 1 {
				later(call)
				return
			}
			call.beginStream()
			call.chunk(firstHalf)
			call.reset()
		})
		startedAt := time.Now()
		got := s.send("/resume/", "c1", "", "Patience", "150")
		assert.Assert(t, got.err != nil && got.body == firstHalf, "%s: %q", name, got.body)
		assert.Assert(t, time.Since(startedAt) < 600*time.Millisecond, "%s: it took %s", name, time.Since(startedAt))
	}
}

// A gateway that is stopped while a stream is to be asked for again still brings it to its end.
func TestStreamGoesOnWhileTheGatewayStops(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	stopping := make(chan struct{})
	s.engine("e", func(call *engineCall) {
		switch call.number {
		case 1:
			call.beginStream()
			call.chunk(firstHalf)
			call.reset()
		case 2:
			close(stopping)
			call.answer(500, "out of memory\n")
		default:
			call.rest()
		}
	})
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		<-stopping
		s.node.Stop(s.front.Config, 3*time.Second)
	}()
	got := s.send("/resume/", "c1", "")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, wholeStream)
	<-stopped
}

// The budget is denied while the turn that ran ahead is asked for again: its caller gets nothing of it.
func TestTurnThatIsDeniedWhileItIsResumed(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	start := s.withLateReplica()
	resumed := make(chan struct{})
	s.engine("e", func(call *engineCall) {
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
	got := s.send("/resume/", "c1", "", "Program", "p", "Budget", "10", "Most", "36", "Patience", "3000")
	assert.Assert(t, got.err == nil && got.status >= 400, "%d %q %v", got.status, got.body, got.err)
	assert.Assert(t, !strings.Contains(got.body, "data:"))
}
