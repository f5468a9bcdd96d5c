package catalog

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// feedHeardFor is how long a feed is offered to others after it was heard last; feeds ask again at once after
	// each answer, which takes followWait at most.
	feedHeardFor = 2 * time.Second
	// offerHeldFor is how long an offer holds after it was made last.
	offerHeldFor = 3 * time.Second
)

// Endpoint is a node that serves its catalog to others.
type Endpoint struct {
	Address string `json:"a"`
	Zone    string `json:"z"`
}

// feeds are the nodes that follow this one and serve their catalog in turn. Readers of the store send their
// followers there: a listing of thousands of engines, and each change, goes out of a reader once for each
// feed instead of once for each gateway. It is not safe for concurrent use.
type feeds struct{ heardAt map[Endpoint]time.Time }

func newFeeds() *feeds { return &feeds{heardAt: make(map[Endpoint]time.Time)} }

// heard notes that a feed follows this node.
func (f *feeds) heard(now time.Time, feed Endpoint) { f.heardAt[feed] = now }

// choose returns up to count feeds in a zone for a follower. Followers are spread over the feeds by rendezvous
// hashing, so that few of them move when a feed comes or goes.
func (f *feeds) choose(now time.Time, zone, follower string, count int) []string {
	type ranked struct {
		address string
		rank    uint64
	}
	var candidates []ranked
	for feed, heardAt := range f.heardAt {
		if now.Sub(heardAt) > feedHeardFor {
			delete(f.heardAt, feed)
			continue
		}
		if feed.Zone == zone {
			candidates = append(candidates, ranked{feed.Address, xxhash.Sum64String(follower + "\x00" + feed.Address)})
		}
	}
	slices.SortFunc(candidates, func(a, b ranked) int { return cmp.Compare(b.rank, a.rank) })
	var chosen []string
	for _, candidate := range candidates[:min(count, len(candidates))] {
		chosen = append(chosen, candidate.address)
	}
	return chosen
}

// offer is a feed to which a peer has sent this node.
type offer struct {
	address string
	madeAt  time.Time
}

// offers are the feeds to which this node was sent, in the order in which it heard of them. The zero value is
// ready for use.
type offers struct{ made []offer }

// take renews offers, and adds others while there are fewer than count: peers may know different feeds, and each
// change of the feed costs a whole listing.
func (o *offers) take(now time.Time, addresses []string, count int) {
	o.dropOld(now)
	for _, address := range addresses {
		known := slices.IndexFunc(o.made, func(made offer) bool { return made.address == address })
		switch {
		case known >= 0:
			o.made[known].madeAt = now
		case len(o.made) < count:
			o.made = append(o.made, offer{address: address, madeAt: now})
		}
	}
}

func (o *offers) dropOld(now time.Time) {
	o.made = slices.DeleteFunc(o.made, func(made offer) bool { return now.Sub(made.madeAt) > offerHeldFor })
}

// valid returns the addresses of the feeds.
func (o *offers) valid(now time.Time) []string {
	o.dropOld(now)
	var addresses []string
	for _, made := range o.made {
		addresses = append(addresses, made.address)
	}
	return addresses
}
