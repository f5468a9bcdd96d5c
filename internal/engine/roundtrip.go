package engine

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/mountstile/mountstile/internal/responsecheck"
)

// Request headers that identify the call to the engine.
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

func newHTTPTransport() http.RoundTripper {
	return responsecheck.NewTransport(&http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost:    maxIdlePerEngine,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: responseHeaderLimit,
		DisableCompression:     true,
	})
}

// unreplayableBody keeps net/http from resending a request. On a broken reused connection, net/http automatically replays
// requests whose body is empty or can be recreated; this type is neither known to be empty nor rewindable.
type unreplayableBody struct{ io.Reader }

// Close implements io.Closer.
func (unreplayableBody) Close() error { return nil }

// sendOnce sends a request at most once. It returns *ErrInterrupted if any part of it may have been sent and *ErrNotSent
// if not.
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
