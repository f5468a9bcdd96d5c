package membership

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// ringScope selects the members of a ring, relative to a node.
type ringScope int

const (
	zoneScope ringScope = iota
	regionScope
	globalScope
)

// ringScopes lists the scopes of the monitoring rings. Each node probes its successor on every ring, so a node
// is probed by about as many others as there are rings, independently of the cluster size. Most rings are
// within a zone or region; the global ones detect the failure of a whole zone or region.
var ringScopes = []ringScope{zoneScope, zoneScope, regionScope, globalScope, globalScope}

// ringPosition returns the position of a member on a ring, which is a hash of its ID.
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

// successors returns the distinct successors of self on all rings.
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

// successor returns the member that follows self on a ring, or "" if there is none.
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

// allOthers returns all usable members except self.
func allOthers(self Member, members map[string]*entry) []string {
	var result []string
	for id, candidate := range members {
		if id != self.ID && candidate.member.Usable() {
			result = append(result, id)
		}
	}
	return result
}
