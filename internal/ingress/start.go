package ingress

import (
	"time"

	"github.com/mountstile/mountstile/internal/routing"
)

// startHold is how long a request may wait for the first routes of a node that has just started. A node knows them some
// 50 ms after its start, and a caller has few tries.
const startHold = 500 * time.Millisecond

// awaitRoutes returns the routes in force. A request that comes to a node which has none yet waits for them a little.
func (r *request) awaitRoutes() *routing.Table {
	options := r.server.options
	if table := options.Table(); table != nil {
		return table
	}
	hold := time.NewTimer(startHold)
	defer hold.Stop()
	select {
	case <-options.Started:
	case <-hold.C:
	case <-r.http.Context().Done():
	}
	return options.Table()
}
