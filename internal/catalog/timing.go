package catalog

import "time"

const (
	// defaultKnowWithin is the bound where a deployment gives none.
	defaultKnowWithin = 2 * time.Second
	// The parts of the bound that a watch, a replica and a gateway may take. A change that happens just after a
	// reader of the store was cut off comes to a gateway by another reader at once. If all readers are cut
	// off, replicas notice after six tenths of the bound and read the store; a gateway leaves them a tenth more
	// before it does the same, and has the rest to list the store. In calm times knowledge is hardly older than a
	// watch takes, for contact is passed on as it comes.
	watchShare        = 1.0 / 3
	replicaStaleShare = 0.6
	gatewayStaleShare = 0.7
)

// Timing says how old what nodes know may become, so that a change in the store is known everywhere within a bound.
type Timing struct{ within time.Duration }

// NewTiming returns the Timing for a bound; 0 stands for 2 s.
func NewTiming(within time.Duration) Timing {
	if within <= 0 {
		within = defaultKnowWithin
	}
	return Timing{within: within}
}

// WatchWait is how long the store may hold a watch.
func (t Timing) WatchWait() time.Duration { return t.share(watchShare) }

// ReplicaStaleAfter is Options.StaleAfter of a replica.
func (t Timing) ReplicaStaleAfter() time.Duration { return t.share(replicaStaleShare) }

// GatewayStaleAfter is Options.StaleAfter of a gateway.
func (t Timing) GatewayStaleAfter() time.Duration { return t.share(gatewayStaleShare) }

func (t Timing) share(part float64) time.Duration { return time.Duration(part * float64(t.within)) }
