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

	"github.com/cockroachdb/errors"

	"github.com/mountstile/mountstile/internal/clock"
	"github.com/mountstile/mountstile/internal/events"
)

const (
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = time.Second
)

// Retry runs attempt until it succeeds. It calls failed with the error of an attempt unless the previous one failed likewise. The
// error is the context's.
func Retry(ctx context.Context, attempt func() error, failed func(error)) error {
	previous := ""
	for backoff := initialBackoff; ; backoff = min(2*backoff, maxBackoff) {
		err := attempt()
		if err == nil {
			return nil
		}
		if err.Error() != previous {
			failed(err)
		}
		previous = err.Error()
		clock.Sleep(ctx, backoff)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// Listen opens a listener at IP:PORT. It waits while the port is in use, for instance by the process's predecessor or an
// outgoing connection. The listener is a Persistent one. The error is the context's.
func Listen(ctx context.Context, address string, logger *events.Logger) (net.Listener, error) {
	var listener net.Listener
	err := Retry(ctx, func() (err error) {
		listener, err = net.Listen("tcp", address)
		return err
	}, func(err error) {
		logger.Emit(events.ListenerFailed, events.F("address", address), events.F("error", err))
	})
	if err != nil {
		return nil, err
	}
	return Persistent(listener, logger), nil
}

// Persistent returns a listener whose Accept fails only once it is closed. Other errors, as without free file descriptors or memory,
// are logged, and Accept tries again.
func Persistent(listener net.Listener, logger *events.Logger) net.Listener {
	return &persistentListener{Listener: listener, logger: logger}
}

type persistentListener struct {
	net.Listener
	logger *events.Logger
}

// Accept implements net.Listener.
func (l *persistentListener) Accept() (net.Conn, error) {
	for backoff := initialBackoff; ; backoff = min(2*backoff, maxBackoff) {
		accepted, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return accepted, err
		}
		l.logger.Emit(events.ListenerFailed, events.F("address", l.Addr().String()), events.F("error", err))
		clock.Sleep(context.Background(), backoff)
	}
}
