package transport

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/events"
)

// A node that can't reach a peer directly sends its requests through a relay: another node that can. It learns the
// addresses of relays in advance, since it may not be able to fetch them during a network partition.

const (
	relaysKind = "relays"
	// maxRelays is the number of relays that a node keeps. A partial partition is unlikely to cut off all of them: with a
	// third of all nodes cut off, it does so one time in 6,500.
	maxRelays = 8
	// relayRefreshInterval is the interval at which the list of relays is refreshed, because nodes join and leave.
	relayRefreshInterval = 5 * time.Second
	// firstRelayRefresh is the interval after the first fetch, which may come before others are known. It doubles up to
	// relayRefreshInterval.
	firstRelayRefresh   = 100 * time.Millisecond
	relayRefreshTimeout = time.Second
	// minRelayDelay is the minimum time before the next relay is tried. It covers opening a connection and a relayed
	// request over slow links.
	minRelayDelay = 250 * time.Millisecond
)

type relaysRequest struct {
	Count int `json:"n"`
}

type relaysResponse struct {
	Addresses []string `json:"a,omitempty"`
}

// relayRoutes holds the known relays and the peers that are reached through them.
type relayRoutes struct {
	mutex  sync.Mutex
	relays []string
	// preferred is the relay that last delivered a reply; empty if it has failed since.
	preferred string
	// viaRelay holds the peers that were last reached through a relay rather than directly.
	viaRelay map[string]bool
	// lostUntil holds until when no relay is tried for peers that none has reached.
	lostUntil map[string]time.Time
	// searches are the searches in progress for a relay, by the address of the peer.
	searches map[string]*relaySearch
}

// listRelays returns a random selection of the connected peers that forward requests.
func (t *Transport) listRelays(_ context.Context, from Peer, request relaysRequest) (relaysResponse, error) {
	t.mutex.Lock()
	var addresses []string
	for conn := range t.open {
		if peer := conn.peer; conn.canRelay && peer.Address != from.Address && !slices.Contains(addresses, peer.Address) {
			addresses = append(addresses, peer.Address)
		}
	}
	t.mutex.Unlock()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return relaysResponse{Addresses: addresses[:min(max(request.Count, 0), len(addresses), maxRelays)]}, nil
}

// RefreshRelays fetches the list of relays from peers at intervals until the context ends. The previous list is kept
// if no peer returns one.
func (t *Transport) RefreshRelays(ctx context.Context, peers func() []Peer) {
	for wait := firstRelayRefresh; ; wait = min(2*wait, relayRefreshInterval) {
		if !t.fetchRelays(ctx, peers()) {
			wait = min(wait, relayRefreshTimeout)
		}
		t.meetRelays(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

// meetRelays opens connections to the relays, so that they know this node before they need it.
func (t *Transport) meetRelays(ctx context.Context) {
	t.relayRoutes.mutex.Lock()
	relays := slices.Clone(t.relayRoutes.relays)
	t.relayRoutes.mutex.Unlock()
	for _, relay := range relays {
		t.spawn(func() {
			dialContext, cancel := context.WithTimeout(ctx, relayRefreshTimeout)
			defer cancel()
			// A relay that can't be reached now is dialled again at the next refresh.
			_, _ = t.connect(dialContext, Peer{Address: relay})
		})
	}
}

// Neighbours returns the nodes that forward requests and can be reached without others: the known relays, and those that are connected.
func (t *Transport) Neighbours() []Peer {
	t.relayRoutes.mutex.Lock()
	addresses := slices.Clone(t.relayRoutes.relays)
	t.relayRoutes.mutex.Unlock()
	for _, conn := range t.openConnections() {
		if conn.canRelay && !slices.Contains(addresses, conn.peer.Address) {
			addresses = append(addresses, conn.peer.Address)
		}
	}
	var neighbours []Peer
	for _, address := range addresses {
		neighbours = append(neighbours, Peer{Address: address})
	}
	return neighbours
}

// fetchRelays tries the peers in order until one returns relays, and reports whether one did.
func (t *Transport) fetchRelays(ctx context.Context, peers []Peer) bool {
	for _, peer := range peers {
		fetchContext, cancel := context.WithTimeout(ctx, relayRefreshTimeout)
		result, err := Call[relaysResponse](fetchContext, t, peer, relaysKind, relaysRequest{Count: maxRelays})
		cancel()
		if err == nil && len(result.Addresses) > 0 {
			t.relayRoutes.mutex.Lock()
			t.relayRoutes.relays = result.Addresses
			t.relayRoutes.mutex.Unlock()
			return true
		}
	}
	return false
}

// CallWithRelays is like Call, but also sends the request through relays if the peer can't be reached or nothing
// arrives from it for relayDelay; immediately if the peer was last reached through a relay. The request may reach
// the peer more than once.
func CallWithRelays[Response any](ctx context.Context, t *Transport, to Peer, kind string, request any, relayDelay time.Duration) (Response, error) {
	var response Response
	payload, err := json.Marshal(request)
	if err != nil {
		return response, errors.Wrapf(err, "encoding %s", kind)
	}
	result, err := t.callWithRelays(ctx, to, kind, payload, relayDelay)
	if err != nil {
		return response, err
	}
	return decodeReply[Response](result, kind)
}

// CallWithSpareRelays is like CallWithRelays, but uses relays only from when needed is closed, unless the peer was last reached through one. Callers
// that need the answers of some peers only close it if too few have come.
func CallWithSpareRelays[Response any](ctx context.Context, t *Transport, to Peer, kind string, request any, needed <-chan struct{}) (Response, error) {
	var response Response
	payload, err := json.Marshal(request)
	if err != nil {
		return response, errors.Wrapf(err, "encoding %s", kind)
	}
	result, err := t.callHeld(ctx, to, kind, payload, needed)
	if err != nil {
		return response, err
	}
	return decodeReply[Response](result, kind)
}

// callHeld sends a request directly, and through relays from when needed is closed.
func (t *Transport) callHeld(ctx context.Context, to Peer, kind string, payload json.RawMessage, needed <-chan struct{}) (frame, error) {
	relays, viaRelay := t.relayRoutes.routesTo(to.Address)
	if len(relays) == 0 {
		return t.call(ctx, to, kind, payload)
	}
	callContext, stop := context.WithCancel(ctx)
	defer stop()
	relayed := newRelayedCall(callContext, t, to, kind, payload)
	defer relayed.drop()
	relayed.sendDirect()
	var failure error
	for held := !viaRelay; held; {
		select {
		case result := <-relayed.results:
			relayed.pending--
			if result.fromPeer() {
				t.recordRoute(to.Address, "", kind)
				return result.reply, result.err
			}
			failure = result.err
		case <-needed:
			held = false
		case <-ctx.Done():
			return frame{}, unreachable(to.Address, apierr.OutcomeUnknown, ctx.Err())
		}
	}
	if failure != nil || viaRelay {
		relayed.useRelay()
	}
	return relayed.wait(minRelayDelay)
}

// routeResult is the result of a request over one route.
type routeResult struct {
	// relay is empty for the direct route.
	relay string
	reply frame
	err   error
}

// fromPeer reports whether the result, which may be an error, was returned by the peer itself.
func (r routeResult) fromPeer() bool {
	var notSent *errNotSent
	return r.err == nil || (!apierr.Is(r.err, apierr.PeerUnreachable) && !apierr.Is(r.err, apierr.RelayFailed) && !errors.As(r.err, &notSent))
}

func (t *Transport) callWithRelays(ctx context.Context, to Peer, kind string, payload json.RawMessage, relayDelay time.Duration) (frame, error) {
	relays, viaRelay := t.relayRoutes.routesTo(to.Address)
	if len(relays) == 0 {
		return t.call(ctx, to, kind, payload)
	}
	callContext, stop := context.WithCancel(ctx)
	defer stop()
	relayed := newRelayedCall(callContext, t, to, kind, payload)
	defer relayed.drop()
	relayed.sendDirect()
	if viaRelay {
		relayed.useRelay()
	}
	return relayed.wait(relayDelay)
}

// relayedCall is one request that may be sent over several routes at once.
type relayedCall struct {
	transport *Transport
	ctx       context.Context
	to        Peer
	kind      string
	payload   json.RawMessage
	startedAt time.Time
	// tried are the relays through which the request was sent; usingRelays is true once relays are in use.
	tried       []string
	usingRelays bool
	// searched is closed when the search for a relay that the call waits for has ended; nil if it waits for none.
	searched <-chan struct{}
	// results has room for one result per route, so that senders never block; pending counts the outstanding results.
	results chan routeResult
	pending int
}

func newRelayedCall(ctx context.Context, t *Transport, to Peer, kind string, payload json.RawMessage) *relayedCall {
	return &relayedCall{
		transport: t, ctx: ctx, to: to, kind: kind, payload: payload, startedAt: time.Now(), results: make(chan routeResult, maxRelays+1),
	}
}

// wait returns the first result from the peer, or the last error once all routes have failed.
func (c *relayedCall) wait(relayDelay time.Duration) (frame, error) {
	timer := time.NewTimer(relayDelay)
	defer timer.Stop()
	var last error
	for c.pending > 0 || c.searched != nil {
		select {
		case result := <-c.results:
			c.pending--
			if result.fromPeer() {
				c.transport.recordRoute(c.to.Address, result.relay, c.kind)
				return result.reply, result.err
			}
			last = result.err
			c.transport.relayRoutes.handleFailure(result.relay)
			c.useRelay()
		case <-c.searched:
			c.searched = nil
			c.sendViaRelay()
		case <-timer.C:
			c.handleDelay()
			timer.Reset(max(relayDelay, minRelayDelay))
		case <-c.ctx.Done():
			return frame{}, unreachable(c.to.Address, apierr.OutcomeUnknown, c.ctx.Err())
		}
	}
	if c.usingRelays {
		return frame{}, unreachable(c.to.Address, apierr.OutcomeUnknown, last)
	}
	return frame{}, last
}

// drop releases the memory of the replies that are not needed.
func (c *relayedCall) drop() { releaseReplies(c.results, c.pending) }

// releaseReplies releases the memory of pending replies.
func releaseReplies(results <-chan routeResult, pending int) {
	if pending == 0 {
		return
	}
	go func() {
		for range pending {
			result := <-results
			result.reply.reservation.Release()
		}
	}()
}

// handleDelay tries a relay if there was no result within the delay. A peer from which anything has arrived since the
// request was sent is reachable and only slow, so it is not sent the request again.
func (c *relayedCall) handleDelay() {
	if c.usingRelays || c.transport.silentSince(c.to.Address, c.startedAt) {
		c.useRelay()
	}
}

// useRelay sends the request through the relay that is known to reach the peer. If none is, or the request went through it before, the call waits for
// a search.
func (c *relayedCall) useRelay() {
	c.usingRelays = true
	if !c.sendViaRelay() && c.searched == nil {
		c.searched = c.transport.searchRelay(c.to)
	}
}

// sendViaRelay sends the request through the relay that is known to reach the peer, and reports whether there is one that has not been tried.
func (c *relayedCall) sendViaRelay() bool {
	relay := c.transport.relayRoutes.relayTo(c.to.Address)
	if relay == "" || slices.Contains(c.tried, relay) || len(c.tried) == maxRelays {
		return false
	}
	c.tried = append(c.tried, relay)
	c.pending++
	c.transport.Go(func() { c.results <- c.transport.callViaRelay(c.ctx, relay, c.to, c.kind, c.payload) })
	return true
}

func (c *relayedCall) sendDirect() {
	c.pending++
	c.transport.Go(func() {
		reply, err := c.transport.call(c.ctx, c.to, c.kind, c.payload)
		c.results <- routeResult{reply: reply, err: err}
	})
}

// callViaRelay sends a request through a relay and passes the remaining time on.
func (t *Transport) callViaRelay(ctx context.Context, relay string, to Peer, kind string, payload json.RawMessage) routeResult {
	request := relayRequest{Address: to.Address, Node: to.NodeID, Kind: kind, Payload: payload}
	if deadline, limited := ctx.Deadline(); limited {
		request.TimeoutMillis = max(time.Until(deadline).Milliseconds(), 1)
	}
	encoded, err := json.Marshal(request)
	if err != nil {
		return routeResult{relay: relay, err: errors.Wrapf(err, "encoding %s", relayKind)}
	}
	reply, err := t.call(ctx, Peer{Address: relay}, relayKind, encoded)
	return routeResult{relay: relay, reply: reply, err: err}
}

// silentSince reports whether nothing at all has arrived from a peer since the given time.
func (t *Transport) silentSince(address string, since time.Time) bool {
	conn := t.connectionTo(address)
	return conn == nil || conn.sinceLastReceived(time.Now()) >= time.Since(since)
}

// recordRoute records the route over which a peer was reached and logs a change between direct and relayed.
func (t *Transport) recordRoute(address, relay, kind string) {
	if t.relayRoutes.record(address, relay) {
		t.options.Logger.Emit(events.PeerWayChanged, events.F("peer", address), events.F("relay", relay), events.F("kind", kind))
	}
}

// routesTo returns the relays in the order in which to try them, and whether the peer was last reached through one. There are none for a peer that
// no relay has reached lately.
func (r *relayRoutes) routesTo(address string) (relays []string, viaRelay bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	relays = r.relaysFor(address)
	return relays, r.viaRelay[address] && len(relays) > 0
}

// relaysFor is routesTo for a caller that holds the mutex.
func (r *relayRoutes) relaysFor(address string) (relays []string) {
	if time.Now().Before(r.lostUntil[address]) {
		return nil
	}
	for _, relay := range r.relays {
		switch relay {
		case address:
		case r.preferred:
			relays = slices.Insert(relays, 0, relay)
		default:
			relays = append(relays, relay)
		}
	}
	return relays
}

// relayTo returns the relay through which a peer is to be reached; empty if it was last reached directly, or the relay has failed since.
func (r *relayRoutes) relayTo(address string) string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.knownRelay(address)
}

// knownRelay is relayTo for a caller that holds the mutex.
func (r *relayRoutes) knownRelay(address string) string {
	if !r.viaRelay[address] || r.preferred == address {
		return ""
	}
	return r.preferred
}

// handleFailure records that a relay, empty for the direct route, has failed.
func (r *relayRoutes) handleFailure(relay string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if relay != "" && r.preferred == relay {
		r.preferred = ""
	}
}

// recordLoss records that a peer was reached neither directly nor through any relay.
func (r *relayRoutes) recordLoss(now time.Time, address string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for other, until := range r.lostUntil {
		if now.After(until) {
			delete(r.lostUntil, other)
		}
	}
	if r.lostUntil == nil {
		r.lostUntil = make(map[string]time.Time)
	}
	r.lostUntil[address] = now.Add(lostPeerTTL)
	delete(r.viaRelay, address)
}

// record stores the relay over which a peer was reached, empty for the direct route, and reports whether the route
// changed between direct and relayed.
func (r *relayRoutes) record(address, relay string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if relay == "" {
		changed := r.viaRelay[address]
		delete(r.viaRelay, address)
		return changed
	}
	r.preferred = relay
	changed := !r.viaRelay[address]
	if r.viaRelay == nil {
		r.viaRelay = make(map[string]bool)
	}
	r.viaRelay[address] = true
	return changed
}

// Relays returns the number of known relays.
func (t *Transport) Relays() int {
	t.relayRoutes.mutex.Lock()
	defer t.relayRoutes.mutex.Unlock()
	return len(t.relayRoutes.relays)
}
