package membership

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// ringScope limits who is on a ring.
type ringScope int

const (
	zoneScope ringScope = iota
	regionScope
	globalScope
)

// ringScopes lists the monitoring rings. Each node probes its successor on every ring, so each node
// is watched by about as many others as there are rings, and the cost is independent of the size
// of the cluster. Most rings stay inside the zone or region; the global ones find the death of a
// zone or region.
var ringScopes = []ringScope{zoneScope, zoneScope, regionScope, globalScope, globalScope}

func ringPosition(id string, ring int) uint64 {
	return xxhash.Sum64String(id + "/" + strconv.Itoa(ring))
}

func sameScope(scope ringScope, a, b Member) bool {
	switch scope {
	case zoneScope:
		return a.Region == b.Region && a.Zone == b.Zone
	case regionScope:
		return a.Region == b.Region
	default:
		return true
	}
}

// successors returns self's distinct successors over all rings.
func successors(self Member, members map[string]*entry) []string {
	var result []string
	seen := make(map[string]bool, len(ringScopes))
	for ring, scope := range ringScopes {
		id := successor(self, members, ring, scope)
		if id != "" && !seen[id] {
			seen[id] = true
			result = append(result, id)
		}
	}
	return result
}

// successor is the member whose ring position follows self's most closely.
func successor(self Member, members map[string]*entry, ring int, scope ringScope) string {
	own := ringPosition(self.ID, ring)
	best := ""
	var bestDistance uint64
	for id, candidate := range members {
		if id == self.ID || !candidate.member.Usable() || !sameScope(scope, self, candidate.member) {
			continue
		}
		distance := candidate.position(ring) - own
		if best == "" || distance < bestDistance || distance == bestDistance && id < best {
			best, bestDistance = id, distance
		}
	}
	return best
}

// everyone lists all other usable members.
func everyone(self Member, members map[string]*entry) []string {
	var result []string
	for id, candidate := range members {
		if id != self.ID && candidate.member.Usable() {
			result = append(result, id)
		}
	}
	return result
}
