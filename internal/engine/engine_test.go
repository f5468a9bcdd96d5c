package engine

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// breakingServer answers the first request of each connection and breaks the connection when it
// gets a second one: the moment at which net/http would send a request again by itself.
type breakingServer struct {
	listener net.Listener
	mutex    sync.Mutex
	requests int
}

func newBreakingServer(t *testing.T) *breakingServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &breakingServer{listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go server.serve(connection)
		}
	}()
	return server
}

func (s *breakingServer) serve(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for number := 1; ; number++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		s.mutex.Lock()
		s.requests++
		s.mutex.Unlock()
		if number == 2 {
			return
		}
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

func (s *breakingServer) count() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.requests
}

// TestNoSilentReplay: each request reaches the engine once, whatever its method and headers, though
// the connection breaks in the way that makes net/http replay.
func TestNoSilentReplay(t *testing.T) {
	requests := map[string]ApplicationRequest{
		"GET":                  {Method: http.MethodGet},
		"GET with a key":       {Method: http.MethodGet, Header: http.Header{"Idempotency-Key": {"k"}}},
		"POST with a key":      {Method: http.MethodPost, Body: []byte("x"), Header: http.Header{"Idempotency-Key": {"k"}}},
		"POST without a body":  {Method: http.MethodPost, Header: http.Header{"X-Idempotency-Key": {"k"}}},
		"DELETE":               {Method: http.MethodDelete},
		"PUT with a body":      {Method: http.MethodPut, Body: []byte("x")},
		"OPTIONS without body": {Method: http.MethodOptions},
	}
	for name, request := range requests {
		t.Run(name, func(t *testing.T) {
			server := newBreakingServer(t)
			target := Target{URL: "http://" + server.listener.Addr().String()}
			application := NewApplication()
			_, err := application.Do(t.Context(), target, request)
			assert.NilError(t, err)
			_, err = application.Do(t.Context(), target, request)
			var broken *ErrInterrupted
			assert.Assert(t, errors.As(err, &broken), "%v", err)
			assert.Equal(t, server.count(), 2)
		})
	}
	t.Run("net/http by itself", func(t *testing.T) {
		server := newBreakingServer(t)
		client := &http.Client{Transport: &http.Transport{}}
		for range 2 {
			response, err := client.Get("http://" + server.listener.Addr().String())
			assert.NilError(t, err)
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		assert.Equal(t, server.count(), 3, "net/http has replayed, so that this test can fail")
	})
}

func TestUndeliveredOnlyIfNothingWasSent(t *testing.T) {
	_, err := NewApplication().Do(t.Context(), Target{URL: "http://127.0.0.1:1"}, ApplicationRequest{Method: http.MethodPost})
	var undelivered *ErrNotSent
	assert.Assert(t, errors.As(err, &undelivered), "%v", err)
}

// TestOversizedAnswerIsRefused bounds what a back end can make a node hold.
func TestOversizedAnswerIsRefused(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.Copy(w, io.LimitReader(zeroes{}, MaxResponseBytes+1))
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	_, err = NewApplication().Do(t.Context(), Target{URL: "http://" + listener.Addr().String()}, ApplicationRequest{Method: http.MethodGet})
	var tooLarge *ErrResponseTooLarge
	assert.Assert(t, errors.As(err, &tooLarge), "%v", err)
}

type zeroes struct{}

func (zeroes) Read(data []byte) (int, error) { return len(data), nil }

func streamOf(text string) *eventStream {
	scanner := bufio.NewScanner(strings.NewReader(text))
	scanner.Buffer(nil, maxEventBytes)
	return &eventStream{body: io.NopCloser(strings.NewReader("")), scanner: scanner}
}

// readAll returns the text of a stream and how it ended.
func readAll(stream *eventStream) (string, error) {
	var text strings.Builder
	for {
		delta, err := stream.Next()
		if err != nil {
			return text.String(), err
		}
		text.WriteString(delta.Content)
	}
}

func TestStreamIsWholeOnlyWithItsEnd(t *testing.T) {
	piece := `data: {"choices":[{"delta":{"content":"a"}}]}` + "\n\n"
	finish := `data: {"choices":[{"delta":{},"finish_reason":"stop"}]}` + "\n\n"
	done := "data: [DONE]\n\n"
	text, err := readAll(streamOf(": comment\n\n" + piece + piece + finish + done))
	assert.Equal(t, text, "aa")
	assert.Equal(t, err, io.EOF)
	cutOff := map[string]string{
		"no end":            piece + finish,
		"no finish reason":  piece + done,
		"garbled":           piece + "data: {\n\n" + finish + done,
		"error in mid-air":  piece + `data: {"error":{"message":"out of memory"}}` + "\n\n" + done,
		"nothing":           "",
		"event over limits": "data: " + strings.Repeat("x", maxEventBytes+1),

		"end alone":                     done,
		"empty finish reason":           `data: {"choices":[{"delta":{"content":"a"},"finish_reason":""}]}` + "\n\n" + done,
		"given up by the engine":        piece + `data: {"choices":[{"delta":{},"finish_reason":"abort"}]}` + "\n\n" + done,
		"failed in the engine":          piece + `data: {"choices":[{"delta":{},"finish_reason":"error"}]}` + "\n\n" + done,
		"error as a text":               piece + `data: {"error":"out of memory"}` + "\n\n" + finish + done,
		"error after the finish reason": piece + finish + `data: {"error":{"message":"x"}}` + "\n\n" + done,
		"two choices":                   `data: {"choices":[{"index":0,"delta":{"content":"a"}},{"index":1,"delta":{"content":"b"}}]}` + "\n\n" + finish + done,
		"another choice":                piece + `data: {"choices":[{"index":1,"delta":{"content":"b"}}]}` + "\n\n" + finish + done,
		"a piece after the finish":      piece + finish + piece + done,
		"part of the end mark":          piece + finish + "data: [DON",
		"part of an event":              piece + `data: {"choices":[{"delta":{"content":"a"},"finish_re`,
		"a page":                        "<html><body>[DONE]</body></html>\n",
		"a failure's body":              `{"error":{"message":"out of memory"}}` + "\n" + done,
		"a whole answer as one object":  `{"choices":[{"message":{"content":"a"},"finish_reason":"stop"}]}`,
	}
	for name, input := range cutOff {
		t.Run(name, func(t *testing.T) {
			_, err := readAll(streamOf(input))
			var broken *ErrInterrupted
			assert.Assert(t, errors.As(err, &broken), "%v", err)
		})
	}
}

// FuzzEventStream gives the decoder whatever an engine may send: it ends, and never with a whole
// answer unless the end was there.
func FuzzEventStream(f *testing.F) {
	f.Add(`data: {"choices":[{"delta":{"content":"a"},"finish_reason":"stop"}]}` + "\n\ndata: [DONE]\n\n")
	f.Add(`data: {"choices":[{"delta":{"tool_calls":[{"index":-5}]}}]}` + "\n")
	f.Add("data: [DONE]\n\n")
	f.Fuzz(func(t *testing.T, input string) {
		_, err := readAll(streamOf(input))
		if errors.Is(err, io.EOF) && !strings.Contains(input, endOfStream) {
			t.Fatal("a cut-off stream counted as whole")
		}
	})
}

func FuzzModelState(f *testing.F) {
	f.Add(`{"token":7,"model":"a","loading":"b"}`)
	f.Add(`{"token":18446744073709551615}`)
	f.Add(`{"token":-1}`)
	f.Fuzz(func(t *testing.T, input string) {
		if state, err := decodeModelState(strings.NewReader(input)); err == nil {
			assert.Assert(t, state.Token <= MaxToken)
		}
	})
}

func TestHopByHopHeadersStayBehind(t *testing.T) {
	header := http.Header{"Connection": {"X-One, X-Two"}, "X-One": {"1"}, "X-Two": {"2"}, "Keep-Alive": {"x"}, "Te": {"trailers"}, "X-Kept": {"3"}}
	StripHopByHop(header)
	assert.DeepEqual(t, header, http.Header{"X-Kept": {"3"}})
}

// TestCancelReachesTheEngine: a caller that leaves ends the engine's work.
func TestCancelReachesTheEngine(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	left := make(chan struct{})
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
		close(left)
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	ctx, cancel := context.WithCancel(t.Context())
	stream, err := NewOpenAI().Chat(ctx, Target{URL: "http://" + listener.Addr().String()}, ChatRequest{Model: "m"})
	assert.NilError(t, err)
	cancel()
	_, err = stream.Next()
	assert.Assert(t, err != nil)
	stream.Close()
	<-left
}

// TestTrailersArrive passes a back end's trailers on.
func TestTrailersArrive(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Trailer", "X-Checksum")
		_, _ = io.WriteString(w, "body")
		w.Header().Set("X-Checksum", "abc")
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	answer, err := NewApplication().Do(t.Context(), Target{URL: "http://" + listener.Addr().String()}, ApplicationRequest{Method: http.MethodGet})
	assert.NilError(t, err)
	assert.Equal(t, answer.Trailer.Get("X-Checksum"), "abc")
	assert.Equal(t, string(answer.Body), "body")
}

// TestNullToolCallsAreNone: an event that only names the member has no piece of a tool call, which would be counted.
func TestNullToolCallsAreNone(t *testing.T) {
	delta, err := streamOf(`data: {"choices":[{"delta":{"role":"assistant","tool_calls":null}}]}` + "\n").Next()
	assert.NilError(t, err)
	assert.Equal(t, len(delta.ToolCalls), 0)
}
