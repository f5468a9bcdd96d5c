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

// disconnectingServer responds to the first request of each connection and closes the connection on the second one, which
// makes net/http replay requests automatically.
type disconnectingServer struct {
	listener net.Listener
	mutex    sync.Mutex
	requests int
}

func newDisconnectingServer(t *testing.T) *disconnectingServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &disconnectingServer{listener: listener}
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

func (s *disconnectingServer) serve(connection net.Conn) {
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

func (s *disconnectingServer) count() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.requests
}

// TestRequestIsNotReplayed checks that a request reaches the engine only once, whatever its method and headers, even if a reused
// connection breaks.
func TestRequestIsNotReplayed(t *testing.T) {
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
			server := newDisconnectingServer(t)
			target := Target{URL: "http://" + server.listener.Addr().String()}
			application := NewApplication()
			_, err := application.Do(t.Context(), target, request)
			assert.NilError(t, err)
			_, err = application.Do(t.Context(), target, request)
			var interrupted *ErrInterrupted
			assert.Assert(t, errors.As(err, &interrupted), "%v", err)
			assert.Equal(t, server.count(), 2)
		})
	}
	t.Run("net/http replays", func(t *testing.T) {
		server := newDisconnectingServer(t)
		client := &http.Client{Transport: &http.Transport{}}
		for range 2 {
			response, err := client.Get("http://" + server.listener.Addr().String())
			assert.NilError(t, err)
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		assert.Equal(t, server.count(), 3, "want a replay by net/http, or the other cases prove nothing")
	})
}

func TestNotSentOnlyIfNothingWasSent(t *testing.T) {
	_, err := NewApplication().Do(t.Context(), Target{URL: "http://127.0.0.1:1"}, ApplicationRequest{Method: http.MethodPost})
	var notSent *ErrNotSent
	assert.Assert(t, errors.As(err, &notSent), "%v", err)
}

// TestOversizedResponseIsError checks that the size of a response is bounded, since it is held in memory.
func TestOversizedResponseIsError(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.Copy(w, io.LimitReader(zeroReader{}, MaxResponseBytes+1))
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	_, err = NewApplication().Do(t.Context(), Target{URL: "http://" + listener.Addr().String()}, ApplicationRequest{Method: http.MethodGet})
	var tooLarge *ErrResponseTooLarge
	assert.Assert(t, errors.As(err, &tooLarge), "%v", err)
}

type zeroReader struct{}

func (zeroReader) Read(data []byte) (int, error) { return len(data), nil }

func streamOf(text string) *eventStream {
	scanner := bufio.NewScanner(strings.NewReader(text))
	scanner.Buffer(nil, maxEventBytes)
	return &eventStream{body: io.NopCloser(strings.NewReader("")), scanner: scanner}
}

// readAll returns the text of a stream and the error that ended it.
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

func TestStreamNeedsFinishReasonAndDoneMarker(t *testing.T) {
	chunkEvent := `data: {"choices":[{"delta":{"content":"a"}}]}` + "\n\n"
	finishEvent := `data: {"choices":[{"delta":{},"finish_reason":"stop"}]}` + "\n\n"
	doneEvent := "data: [DONE]\n\n"
	text, err := readAll(streamOf(": comment\n\n" + chunkEvent + chunkEvent + finishEvent + doneEvent))
	assert.Equal(t, text, "aa")
	assert.Equal(t, err, io.EOF)
	incomplete := map[string]string{
		"no done marker":   chunkEvent + finishEvent,
		"no finish reason": chunkEvent + doneEvent,
		"invalid JSON":     chunkEvent + "data: {\n\n" + finishEvent + doneEvent,
		"error event":      chunkEvent + `data: {"error":{"message":"out of memory"}}` + "\n\n" + doneEvent,
		"empty":            "",
		"event too long":   "data: " + strings.Repeat("x", maxEventBytes+1),

		"done marker only":                doneEvent,
		"empty finish reason":             `data: {"choices":[{"delta":{"content":"a"},"finish_reason":""}]}` + "\n\n" + doneEvent,
		"aborted by the engine":           chunkEvent + `data: {"choices":[{"delta":{},"finish_reason":"abort"}]}` + "\n\n" + doneEvent,
		"failed in the engine":            chunkEvent + `data: {"choices":[{"delta":{},"finish_reason":"error"}]}` + "\n\n" + doneEvent,
		"error as a string":               chunkEvent + `data: {"error":"out of memory"}` + "\n\n" + finishEvent + doneEvent,
		"error after the finish reason":   chunkEvent + finishEvent + `data: {"error":{"message":"x"}}` + "\n\n" + doneEvent,
		"two choices":                     `data: {"choices":[{"index":0,"delta":{"content":"a"}},{"index":1,"delta":{"content":"b"}}]}` + "\n\n" + finishEvent + doneEvent,
		"wrong choice":                    chunkEvent + `data: {"choices":[{"index":1,"delta":{"content":"b"}}]}` + "\n\n" + finishEvent + doneEvent,
		"content after the finish reason": chunkEvent + finishEvent + chunkEvent + doneEvent,
		"partial done marker":             chunkEvent + finishEvent + "data: [DON",
		"partial event":                   chunkEvent + `data: {"choices":[{"delta":{"content":"a"},"finish_re`,
		"HTML page":                       "<html><body>[DONE]</body></html>\n",
		"error body":                      `{"error":{"message":"out of memory"}}` + "\n" + doneEvent,
		"response that is not streamed":   `{"choices":[{"message":{"content":"a"},"finish_reason":"stop"}]}`,
	}
	for name, input := range incomplete {
		t.Run(name, func(t *testing.T) {
			_, err := readAll(streamOf(input))
			var interrupted *ErrInterrupted
			assert.Assert(t, errors.As(err, &interrupted), "%v", err)
		})
	}
}

// FuzzEventStream checks that arbitrary input ends, and counts as complete only if it contains the done marker.
func FuzzEventStream(f *testing.F) {
	f.Add(`data: {"choices":[{"delta":{"content":"a"},"finish_reason":"stop"}]}` + "\n\ndata: [DONE]\n\n")
	f.Add(`data: {"choices":[{"delta":{"tool_calls":[{"index":-5}]}}]}` + "\n")
	f.Add("data: [DONE]\n\n")
	f.Fuzz(func(t *testing.T, input string) {
		_, err := readAll(streamOf(input))
		if errors.Is(err, io.EOF) && !strings.Contains(input, doneMarker) {
			t.Fatal("an incomplete stream counted as complete")
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

func TestHopByHopHeadersAreRemoved(t *testing.T) {
	header := http.Header{"Connection": {"X-One, X-Two"}, "X-One": {"1"}, "X-Two": {"2"}, "Keep-Alive": {"x"}, "Te": {"trailers"}, "X-Kept": {"3"}}
	StripHopByHop(header)
	assert.DeepEqual(t, header, http.Header{"X-Kept": {"3"}})
}

// TestCancelClosesEngineRequest checks that cancelling a call cancels the request at the engine.
func TestCancelClosesEngineRequest(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	cancelled := make(chan struct{})
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
		close(cancelled)
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
	<-cancelled
}

// TestTrailersAreReturned checks that the trailers of an application's response are returned.
func TestTrailersAreReturned(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Trailer", "X-Checksum")
		_, _ = io.WriteString(w, "body")
		w.Header().Set("X-Checksum", "abc")
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	response, err := NewApplication().Do(t.Context(), Target{URL: "http://" + listener.Addr().String()}, ApplicationRequest{Method: http.MethodGet})
	assert.NilError(t, err)
	assert.Equal(t, response.Trailer.Get("X-Checksum"), "abc")
	assert.Equal(t, string(response.Body), "body")
}

// TestNullToolCallsAreIgnored checks that a null tool_calls member does not count as a tool call.
func TestNullToolCallsAreIgnored(t *testing.T) {
	delta, err := streamOf(`data: {"choices":[{"delta":{"role":"assistant","tool_calls":null}}]}` + "\n").Next()
	assert.NilError(t, err)
	assert.Equal(t, len(delta.ToolCalls), 0)
}
