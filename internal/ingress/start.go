package ingress

import (
	"time"

	"github.com/mountstile/mountstile/internal/routing"
)

const (
	// startHold is how long a request may wait for the first routes of a node that has just started, and the node for up-to-date
	// ones. A node knows routes some 50 ms after its start, and a caller has few tries.
	startHold = 500 * time.Millisecond
	// startStep is how often a waiting request looks.
	startStep = 5 * time.Millisecond
)

// awaitRoutes returns the routes in force. A request that comes to a node which has none yet, or perhaps older ones than
// before its restart, waits for them a little.
func (r *request) awaitRoutes() *routing.Table {
	options := r.server.options
	if options.RoutesReady() {
		return options.Table()
	}
	hold := time.NewTimer(startHold)
	defer hold.Stop()
	step := time.NewTicker(startStep)
	defer step.Stop()
	for !options.RoutesReady() {
		select {
		case <-step.C:
		case <-hold.C:
			return options.Table()
		case <-r.http.Context().Done():
			return options.Table()
		}
	}
	return options.Table()
}

// settled tells whether the routes in force are up to date, or have been awaited for long enough. The first peer that a starting node
// hears may be cut off from the store: by its routes the node would go back behind what it had before its restart.
func (n *Node) settled() bool {
	if n.wasSettled.Load() {
		return true
	}
	routedAt := n.routedAt.Load()
	if routedAt == nil {
		return false
	}
	fresh := n.options.StaleAfter == 0 || n.catalog.Age() <= n.options.StaleAfter
	if !fresh && time.Since(*routedAt) < startHold {
		return false
	}
	n.wasSettled.Store(true)
	return true
}
