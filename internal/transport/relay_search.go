package transport

import (
	"context"
	"encoding/json"
	"time"
)

// Requests to a peer that can't be reached directly go through the one relay that is known to reach it. Which one that is, a search finds with empty
// requests, one search for a peer at a time: the cost of a peer that is down depends neither on the number of requests to it nor on the number of relays.

const (
	// initialRelays is how many relays are asked in parallel while none is known to work.
	initialRelays = 2
	// searchTimeout bounds a search: all relays are asked, and the last one has time to dial the peer.
	searchTimeout = 3 * time.Second
	// lostPeerTTL is for how long no relay is tried for a peer that neither this node nor any relay has reached.
	lostPeerTTL = time.Second
)

// relaySearch looks for a relay that reaches a peer.
type relaySearch struct {
	// done is closed when the search has ended.
	done chan struct{}
	// results has room for the results of all relays; pending counts the outstanding ones.
	results chan routeResult
	pending int
	// relays are those that have not been asked yet.
	relays []string
	// endedAt is zero while the search is in progress.
	endedAt time.Time
}

// searchRelay begins to look for a relay that reaches a peer, unless a search is in progress, and returns a channel that is closed when the search has
// ended. It returns nil if there is no relay to try, or one has just been found.
func (t *Transport) searchRelay(to Peer) <-chan struct{} {
	search, begun := t.relayRoutes.beginSearch(to.Address)
	if search == nil {
		return nil
	}
	if begun {
		go t.runSearch(search, to)
	}
	return search.done
}

// runSearch asks relays to reach the peer until one has, all have failed, or the time is over.
func (t *Transport) runSearch(search *relaySearch, to Peer) {
	startedAt := time.Now()
	relay := t.askRelays(search, to)
	switch {
	case relay == "":
		t.relayRoutes.recordLoss(time.Now(), to.Address)
	case t.silentSince(to.Address, startedAt):
		t.recordRoute(to.Address, relay, relaysKind)
	}
	t.relayRoutes.endSearch(search)
}

// askRelays returns the first relay through which the peer responds; empty if none does.
func (t *Transport) askRelays(search *relaySearch, to Peer) string {
	ctx, stop := context.WithTimeout(context.Background(), searchTimeout)
	defer stop()
	defer func() { releaseReplies(search.results, search.pending) }()
	payload, err := json.Marshal(relaysRequest{})
	if err != nil {
		return ""
	}
	for range t.relayRoutes.parallelRelays() {
		search.askNext(ctx, t, to, payload)
	}
	ticker := time.NewTicker(minRelayDelay)
	defer ticker.Stop()
	for search.pending > 0 {
		select {
		case result := <-search.results:
			search.pending--
			if result.fromPeer() {
				result.reply.reservation.Release()
				return result.relay
			}
			t.relayRoutes.handleFailure(result.relay)
			search.askNext(ctx, t, to, payload)
		case <-ticker.C:
			search.askNext(ctx, t, to, payload)
		case <-ctx.Done():
			return ""
		}
	}
	return ""
}

// askNext asks the next relay, if there is one.
func (s *relaySearch) askNext(ctx context.Context, t *Transport, to Peer, payload json.RawMessage) {
	if len(s.relays) == 0 {
		return
	}
	relay := s.relays[0]
	s.relays = s.relays[1:]
	s.pending++
	go func() { s.results <- t.callViaRelay(ctx, relay, to, relaysKind, payload) }()
}

// beginSearch returns the search for a relay to a peer and whether it is a new one; nil if there is no relay to try, or one has just been found.
func (r *relayRoutes) beginSearch(address string) (search *relaySearch, begun bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	relays, found := r.relaysFor(address), r.knownRelay(address) != ""
	last := r.searches[address]
	switch {
	case len(relays) == 0:
		return nil, false
	case last != nil && last.endedAt.IsZero():
		return last, false
	case last != nil && found && time.Since(last.endedAt) < minRelayDelay:
		return nil, false
	}
	search = &relaySearch{done: make(chan struct{}), results: make(chan routeResult, len(relays)), relays: relays}
	if r.searches == nil {
		r.searches = make(map[string]*relaySearch)
	}
	r.searches[address] = search
	return search, true
}

// endSearch wakes the calls that wait for a search.
func (r *relayRoutes) endSearch(search *relaySearch) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	search.endedAt = time.Now()
	close(search.done)
}

// parallelRelays returns how many relays to ask in parallel.
func (r *relayRoutes) parallelRelays() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.preferred != "" {
		return 1
	}
	return initialRelays
}
