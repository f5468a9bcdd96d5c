package gateway

import (
	"context"
	"time"

	"github.com/mountstile/mountstile/internal/resource"
)

// errStalled is the cancellation cause of an attempt whose engine has sent nothing for Limit.
type errStalled struct{ Limit time.Duration }

// Error implements error.
func (e *errStalled) Error() string { return "the engine sent nothing for " + e.Limit.String() }

// watchdog cancels an attempt whose engine sends nothing for too long. Otherwise a hung engine would block its calls until their
// timeouts, which may be long.
type watchdog struct {
	stallTimeout time.Duration
	timer        *time.Timer
	cancel       context.CancelCauseFunc
}

// startWatchdog returns a context that is cancelled with errStalled if the first delta takes longer than the service's
// FirstTokenSeconds, or a later one longer than StallSeconds. The caller must stop the watchdog when the attempt has ended.
func startWatchdog(parent context.Context, service *resource.Service) (context.Context, *watchdog) {
	ctx, cancel := context.WithCancelCause(parent)
	firstTimeout := time.Duration(service.FirstTokenSeconds * float64(time.Second))
	w := &watchdog{stallTimeout: time.Duration(service.StallSeconds * float64(time.Second)), cancel: cancel}
	w.timer = time.AfterFunc(firstTimeout, func() { cancel(&errStalled{Limit: firstTimeout}) })
	return ctx, w
}

// reset restarts the timer for the next delta. It has no effect once the timer has expired.
func (w *watchdog) reset() {
	if !w.timer.Stop() {
		return
	}
	w.timer = time.AfterFunc(w.stallTimeout, func() { w.cancel(&errStalled{Limit: w.stallTimeout}) })
}

func (w *watchdog) stop() {
	w.timer.Stop()
	w.cancel(nil)
}
