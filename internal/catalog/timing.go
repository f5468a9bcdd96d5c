package catalog

import "time"

const (
	// defaultPropagationBound applies if a deployment sets no bound.
	defaultPropagationBound = 2 * time.Second
	// The shares are fractions of the propagation bound. After watchShare, the store answers a watch even without
	// changes. After replicaStaleShare or gatewayStaleShare without a sync, a replica or gateway treats its catalog
	// as stale. Both exceed watchShare, since without faults a catalog is hardly older than one watch.
	//
	// If one reader of the store is partitioned from it, gateways get changes from another reader. If all readers
	// are, the replicas become stale first and read the store. Gateways become stale later, so that the replicas
	// have time for that, and use the rest of the bound to list the store themselves.
	watchShare        = 1.0 / 3
	replicaStaleShare = 0.6
	gatewayStaleShare = 0.7
)

// Timing derives the timeouts of catalog replication from a bound on the time in which a change in the store must reach
// all nodes.
type Timing struct{ bound time.Duration }

// NewTiming returns the Timing for a bound. If the bound is not positive, a default of 2 s applies.
func NewTiming(bound time.Duration) Timing {
	if bound <= 0 {
		bound = defaultPropagationBound
	}
	return Timing{bound: bound}
}

// WatchWait returns how long the store may hold a watch request without changes.
func (t Timing) WatchWait() time.Duration { return t.share(watchShare) }

// ReplicaStaleAfter returns Options.StaleAfter for replicas.
func (t Timing) ReplicaStaleAfter() time.Duration { return t.share(replicaStaleShare) }

// GatewayStaleAfter returns Options.StaleAfter for gateways.
func (t Timing) GatewayStaleAfter() time.Duration { return t.share(gatewayStaleShare) }

func (t Timing) share(fraction float64) time.Duration {
	return time.Duration(fraction * float64(t.bound))
}
