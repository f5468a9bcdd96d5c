package catalog

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
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
type mirrors struct{ lastSeenAt map[Endpoint]time.Time }

func newMirrors() *mirrors { return &mirrors{lastSeenAt: make(map[Endpoint]time.Time)} }

// markSeen records a request from a mirror.
func (m *mirrors) markSeen(now time.Time, mirror Endpoint) { m.lastSeenAt[mirror] = now }

// choose returns the addresses of up to count mirrors in a zone for a follower. Followers are assigned by rendezvous
// hashing, so that few of them are reassigned when a mirror joins or leaves.
func (m *mirrors) choose(now time.Time, zone, follower string, count int) []string {
	type ranked struct {
		address string
		rank    uint64
	}
	var candidates []ranked
	for mirror, lastSeenAt := range m.lastSeenAt {
		if now.Sub(lastSeenAt) > mirrorTTL {
			delete(m.lastSeenAt, mirror)
			continue
		}
		if mirror.Zone == zone {
			candidates = append(candidates, ranked{mirror.Address, xxhash.Sum64String(follower + "\x00" + mirror.Address)})
		}
	}
	slices.SortFunc(candidates, func(a, b ranked) int { return cmp.Compare(b.rank, a.rank) })
	var chosen []string
	for _, candidate := range candidates[:min(count, len(candidates))] {
		chosen = append(chosen, candidate.address)
	}
	return chosen
}

// referral is a mirror that a peer told this node to follow.
type referral struct {
	address    string
	receivedAt time.Time
}

// referrals holds the valid referrals in the order in which they were first received. The zero value is ready
// for use.
type referrals struct{ current []referral }

// update renews referrals, and adds new ones only while there are fewer than count: peers may refer to different
// mirrors, and each switch to another mirror transfers a whole listing.
func (r *referrals) update(now time.Time, addresses []string, count int) {
	r.expire(now)
	for _, address := range addresses {
		index := slices.IndexFunc(r.current, func(current referral) bool { return current.address == address })
		switch {
		case index >= 0:
			r.current[index].receivedAt = now
		case len(r.current) < count:
			r.current = append(r.current, referral{address: address, receivedAt: now})
		}
	}
}

func (r *referrals) expire(now time.Time) {
	r.current = slices.DeleteFunc(r.current, func(current referral) bool { return now.Sub(current.receivedAt) > referralTTL })
}

// valid returns the addresses of all valid referrals.
func (r *referrals) valid(now time.Time) []string {
	r.expire(now)
	var addresses []string
	for _, current := range r.current {
		addresses = append(addresses, current.address)
	}
	return addresses
}
