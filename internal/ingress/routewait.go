package ingress

import (
	"time"

	"github.com/mountstile/mountstile/internal/routing"
)

const (
	// maxRouteWait is how long a request waits for the first routes of a node that has just
	// started, and the node for current ones. This saves the caller a retry.
	maxRouteWait = 500 * time.Millisecond
	// routePollInterval is how often a waiting request checks for routes.
	routePollInterval = 5 * time.Millisecond
)

// awaitRoutes returns the installed routes. If the node has none yet, or perhaps older ones than
// before its restart, the request waits for them up to maxRouteWait.
func (r *request) awaitRoutes() *routing.Table {
	options := r.server.options
	if options.RoutesReady() {
		return options.Table()
	}
	timer := time.NewTimer(maxRouteWait)
	defer timer.Stop()
	ticker := time.NewTicker(routePollInterval)
	defer ticker.Stop()
	for !options.RoutesReady() {
		select {
		case <-ticker.C:
		case <-timer.C:
			return options.Table()
		case <-r.incoming.Context().Done():
			return options.Table()
		}
	}
	return options.Table()
}

// routesReady reports whether the installed routes are current or were awaited for maxRouteWait.
// The first peer of a starting node may be disconnected from the store: with its routes the node
// would return to an older configuration than before its restart.
func (n *Node) routesReady() bool {
	if n.routesWereReady.Load() {
		return true
	}
	routesInstalledAt := n.routesInstalledAt.Load()
	if routesInstalledAt == nil {
		return false
	}
	fresh := n.options.StaleAfter == 0 || n.catalog.Age() <= n.options.StaleAfter
	if !fresh && time.Since(*routesInstalledAt) < maxRouteWait {
		return false
	}
	n.routesWereReady.Store(true)
	return true
}
