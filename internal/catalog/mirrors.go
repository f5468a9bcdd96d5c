package catalog

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mountstile/mountstile/internal/transport"
)

const (
	// mirrorTTL is how long a mirror is included in referrals after its last request. Mirrors poll continuously,
	// and each poll takes longPollWait at most.
	mirrorTTL = 2 * time.Second
	// referralTTL is how long a referral is valid after it was last received.
	referralTTL = 3 * time.Second
)

// Endpoint is the address and the zone of a node that takes part in replicating the catalog.
type Endpoint struct {
	Address string `json:"a"`
	Zone    string `json:"z"`
}

// mirrors tracks the nodes that follow this one and serve its catalog to others. A node that reads the store
// refers its followers to mirrors. It then sends long listings and changes once to each mirror instead of once to
// each gateway. It is not safe for concurrent use.
type mirrors struct{ seen map[Endpoint]mirror }

// mirror is the last request from a mirror.
type mirror struct {
	nodeID string
	seenAt time.Time
}

func newMirrors() *mirrors { return &mirrors{seen: make(map[Endpoint]mirror)} }

// markSeen records a request from a mirror.
func (m *mirrors) markSeen(now time.Time, endpoint Endpoint, nodeID string) {
	m.seen[endpoint] = mirror{nodeID: nodeID, seenAt: now}
}

// choose returns up to count mirrors in a zone for a follower. Followers are assigned by rendezvous hashing, so that few
// of them are reassigned when a mirror joins or leaves.
func (m *mirrors) choose(now time.Time, zone, follower string, count int) []transport.Peer {
	type ranked struct {
		peer transport.Peer
		rank uint64
	}
	var candidates []ranked
	for endpoint, known := range m.seen {
		if now.Sub(known.seenAt) > mirrorTTL {
			delete(m.seen, endpoint)
			continue
		}
		if endpoint.Zone == zone {
			peer := transport.Peer{NodeID: known.nodeID, Address: endpoint.Address}
			candidates = append(candidates, ranked{peer, xxhash.Sum64String(follower + "\x00" + endpoint.Address)})
		}
	}
	slices.SortFunc(candidates, func(a, b ranked) int { return cmp.Compare(b.rank, a.rank) })
	var chosen []transport.Peer
	for _, candidate := range candidates[:min(count, len(candidates))] {
		chosen = append(chosen, candidate.peer)
	}
	return chosen
}

// referral is a mirror that a peer told this node to follow.
type referral struct {
	peer       transport.Peer
	receivedAt time.Time
}

// referrals holds the valid referrals in the order in which they were first received. The zero value is ready
// for use.
type referrals struct{ current []referral }

// update renews referrals, and adds new ones only while there are fewer than count: peers may refer to different
// mirrors, and each switch to another mirror transfers a whole listing.
func (r *referrals) update(now time.Time, mirrors []transport.Peer, count int) {
	r.expire(now)
	for _, peer := range mirrors {
		index := slices.IndexFunc(r.current, func(current referral) bool { return current.peer.Address == peer.Address })
		switch {
		case index >= 0:
			r.current[index].receivedAt = now
			if peer.NodeID != "" {
				r.current[index].peer = peer
			}
		case len(r.current) < count:
			r.current = append(r.current, referral{peer: peer, receivedAt: now})
		}
	}
}

func (r *referrals) expire(now time.Time) {
	r.current = slices.DeleteFunc(r.current, func(current referral) bool { return now.Sub(current.receivedAt) > referralTTL })
}

// valid returns the mirrors of all valid referrals.
func (r *referrals) valid(now time.Time) []transport.Peer {
	r.expire(now)
	var mirrors []transport.Peer
	for _, current := range r.current {
		mirrors = append(mirrors, current.peer)
	}
	return mirrors
}
