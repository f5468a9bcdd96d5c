// Package startup lets a process wait for what it needs to start, rather than end: a process that ends is started again under
// the same conditions, and a supervisor may stop doing so.
//
// Usage:
//
//	listener, err := startup.Listen(ctx, address, logger)
//	err = startup.Retry(ctx, open, func(err error) { ... log it ... })
package startup

import (
	"context"
	"net"
	"time"

	"github.com/mountstile/mountstile/internal/clock"
	"github.com/mountstile/mountstile/internal/events"
)

const (
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = time.Second
)

// Retry runs attempt until it succeeds, and calls failed with the error of each attempt that doesn't. The error is the
// context's.
func Retry(ctx context.Context, attempt func() error, failed func(error)) error {
	for backoff := initialBackoff; ; backoff = min(2*backoff, maxBackoff) {
		err := attempt()
		if err == nil {
			return nil
		}
		failed(err)
		clock.Sleep(ctx, backoff)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// Listen opens a listener at IP:PORT. It waits while the port is in use, for instance by the process's predecessor or an
// outgoing connection. The error is the context's.
func Listen(ctx context.Context, address string, logger *events.Logger) (net.Listener, error) {
	var listener net.Listener
	err := Retry(ctx, func() (err error) {
		listener, err = net.Listen("tcp", address)
		return err
	}, func(err error) {
		logger.Emit(events.ListenerFailed, events.F("address", address), events.F("error", err))
	})
	return listener, err
}
