package engine

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// Headers that tell an engine what it serves; engines that do not know them ignore them.
const (
	HeaderProgram = "X-Mountstile-Program"
	HeaderCall    = "X-Mountstile-Call"
	HeaderAttempt = "X-Mountstile-Attempt"
)

const (
	dialTimeout         = 2 * time.Second
	maxIdlePerEngine    = 64
	idleTimeout         = 30 * time.Second
	responseHeaderLimit = 64 << 10
)

func newHTTPTransport() *http.Transport {
	return &http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost:    maxIdlePerEngine,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: responseHeaderLimit,
		DisableCompression:     true,
	}
}

// onceBody is a request body that net/http can't rewind and does not take for an empty one.
// net/http replays a request by itself on a broken reused connection if it has no body or can get
// the body again; with this it never does. A test proves it.
type onceBody struct{ io.Reader }

// Close implements io.Closer.
func (onceBody) Close() error { return nil }

// sendOnce sends a request at most once, and tells whether any of it may have left.
func sendOnce(ctx context.Context, transport http.RoundTripper, request *http.Request) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request = request.WithContext(httptrace.WithClientTrace(ctx, trace))
	request.GetBody = nil
	response, err := transport.RoundTrip(request)
	switch {
	case err == nil:
		return response, nil
	case connected.Load():
		return nil, &ErrInterrupted{Cause: err}
	default:
		return nil, &ErrNotSent{Cause: err}
	}
}
