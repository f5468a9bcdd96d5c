package ingress

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mountstile/mountstile/internal/dispatch"
	"github.com/mountstile/mountstile/internal/membudget"
	"github.com/mountstile/mountstile/internal/upstream"
)

const (
	// maxBufferedResponseBytes bounds a response that is buffered until it is complete.
	maxBufferedResponseBytes = 16 << 20
	// A response is large if it holds 1/largeResponseDivisor of the budget.
	largeResponseDivisor = 8
)

// relayBuffered reads the complete response before the caller gets any of it, so that the call can
// be retried if it ends early.
func (r *request) relayBuffered(ctx context.Context, call *dispatch.Call) error {
	return r.server.options.Dispatcher.Run(ctx, call, func(attempt *dispatch.Attempt) error {
		response := attempt.Response()
		body, err := r.readResponse(response)
		if err != nil {
			return err
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

// readResponse reads the body of a response.
func (r *request) readResponse(response *http.Response) ([]byte, error) {
	if response.ContentLength > maxBufferedResponseBytes {
		return nil, dispatch.ResponseError(false, errors.WithStack(&membudget.ErrTooLarge{Limit: maxBufferedResponseBytes}))
	}
	// An earlier attempt may have reserved some.
	r.response.Shrink(r.response.Held())
	if err := r.response.Grow(r.bodyBytes(response)); err != nil {
		return nil, responseMemoryError(false, err)
	}
	body, err := membudget.ReadAll(response.Body, maxBufferedResponseBytes, r.response)
	if exhausted := responseMemoryError(false, err); exhausted != nil && !r.usesUpMemory(response, err) {
		return nil, exhausted
	}
	if err != nil {
		return nil, dispatch.ResponseError(false, err)
	}
	return body, nil
}

// usesUpMemory reports whether a response that doesn't announce its size holds so much of the budget that it is its engine's fault that it can't be held:
// otherwise an engine whose responses don't end would go on getting calls.
func (r *request) usesUpMemory(response *http.Response, err error) bool {
	var exhausted *membudget.ErrExhausted
	return errors.As(err, &exhausted) && response.ContentLength < 0 && largeResponseDivisor*r.response.Held() >= exhausted.Limit
}

// bodyBytes returns the announced size of a response's body; 0 if it is unknown or has none.
func (r *request) bodyBytes(response *http.Response) int64 {
	if r.incoming.Method == http.MethodHead {
		return 0
	}
	return response.ContentLength
}

// responseMemoryError returns the error of an attempt whose response can't be held, and nil if that isn't the cause. The engine
// is not at fault, and a further attempt may find memory.
func responseMemoryError(delivered bool, cause error) error {
	var exhausted *membudget.ErrExhausted
	if !errors.As(cause, &exhausted) {
		return nil
	}
	return dispatch.MismatchError(delivered, cause)
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
