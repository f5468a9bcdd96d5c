package gateway

import (
	"context"
	"time"

	"github.com/mountstile/mountstile/internal/resource"
)

// errStalled is the cause when an engine sends nothing for too long.
type errStalled struct{ Limit time.Duration }

// Error implements error.
func (e *errStalled) Error() string { return "the engine sent nothing for " + e.Limit.String() }

// watchdog ends an attempt whose engine has stopped to answer. The call may have long to go: without
// it, a hung engine would keep its calls until their time is over.
type watchdog struct {
	stall  time.Duration
	timer  *time.Timer
	cancel context.CancelCauseFunc
}

// watch returns a context that ends when the engine sends nothing for too long. Stop the watchdog
// when the attempt is over.
func watch(parent context.Context, service *resource.Service) (context.Context, *watchdog) {
	ctx, cancel := context.WithCancelCause(parent)
	first := time.Duration(service.FirstTokenSeconds * float64(time.Second))
	dog := &watchdog{stall: time.Duration(service.StallSeconds * float64(time.Second)), cancel: cancel}
	dog.timer = time.AfterFunc(first, func() { cancel(&errStalled{Limit: first}) })
	return ctx, dog
}

// heard starts the wait for the next piece.
func (w *watchdog) heard() {
	if !w.timer.Stop() {
		return
	}
	w.timer = time.AfterFunc(w.stall, func() { w.cancel(&errStalled{Limit: w.stall}) })
}

func (w *watchdog) stop() {
	w.timer.Stop()
	w.cancel(nil)
}
