package ingress

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/mountstile/mountstile/internal/dispatch"
	"github.com/mountstile/mountstile/internal/upstream"
)

// maxBufferedResponseBytes bounds a response that is buffered until it is complete.
const maxBufferedResponseBytes = 16 << 20

// errResponseTooLarge means that a response exceeds maxBufferedResponseBytes.
type errResponseTooLarge struct{}

// Error implements error.
func (errResponseTooLarge) Error() string { return "the response exceeds the buffer limit" }

// relayBuffered reads the complete response before the caller gets any of it, so that the call can
// be retried if it ends early.
func (r *request) relayBuffered(ctx context.Context, call *dispatch.Call) error {
	return r.server.options.Dispatcher.Run(ctx, call, func(attempt *dispatch.Attempt) error {
		response := attempt.Response()
		body, err := io.ReadAll(io.LimitReader(response.Body, maxBufferedResponseBytes+1))
		if err == nil && len(body) > maxBufferedResponseBytes {
			err = errResponseTooLarge{}
		}
		if err != nil {
			return dispatch.ResponseError(false, err)
		}
		r.server.options.Registry.Observe(attempt.Engine(), "route "+r.route.Name(), time.Since(attempt.SentAt()))
		r.setHead(attempt)
		if r.incoming.Method != http.MethodHead {
			r.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
		}
		r.writer.WriteHeader(response.StatusCode)
		_, _ = r.writer.Write(body)
		return nil
	})
}

// setHead records the start of the response and copies the engine's headers.
func (r *request) setHead(attempt *dispatch.Attempt) {
	r.engine = attempt.Engine().ID()
	r.status = attempt.Response().StatusCode
	r.headSent = true
	header := r.writer.Header()
	for name, values := range upstream.EndToEndHeaders(attempt.Response().Header) {
		header[name] = values
	}
}
