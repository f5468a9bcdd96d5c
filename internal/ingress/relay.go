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

// maximalAnswerBytes bounds an answer that is held until it is whole.
const maximalAnswerBytes = 16 << 20

// errAnswerTooLarge means that an answer is larger than a node holds.
type errAnswerTooLarge struct{}

// Error implements error.
func (errAnswerTooLarge) Error() string { return "the answer is too large" }

// relayWhole reads an answer to its end before the caller gets any of it, so that one that breaks
// off can be replaced by another.
func (r *request) relayWhole(ctx context.Context, call *dispatch.Call) error {
	return r.server.options.Dispatcher.Run(ctx, call, func(attempt *dispatch.Attempt) error {
		response := attempt.Response()
		body, err := io.ReadAll(io.LimitReader(response.Body, maximalAnswerBytes+1))
		if err == nil && len(body) > maximalAnswerBytes {
			err = errAnswerTooLarge{}
		}
		if err != nil {
			return dispatch.ResponseError(false, err)
		}
		r.server.options.Registry.Observe(attempt.Engine(), "route "+r.route.Name(), time.Since(attempt.SentAt()))
		r.writeHead(attempt)
		if r.http.Method != http.MethodHead {
			r.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
		}
		r.writer.WriteHeader(response.StatusCode)
		_, _ = r.writer.Write(body)
		return nil
	})
}

// writeHead copies the engine's headers.
func (r *request) writeHead(attempt *dispatch.Attempt) {
	r.engine = attempt.Engine().ID()
	r.status = attempt.Response().StatusCode
	r.sent = true
	header := r.writer.Header()
	for name, values := range upstream.EndToEndHeaders(attempt.Response().Header) {
		header[name] = values
	}
}
