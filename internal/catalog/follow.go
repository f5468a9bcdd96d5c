package catalog

import (
	"context"
	"time"

	"github.com/mountstile/mountstile/internal/clock"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/transport"
)

const (
	followKind = "catalog.follow"
	// longPollWait is how long a peer holds a request without changes. Its response also shows that the peer
	// is alive.
	longPollWait = 500 * time.Millisecond
	// minSyncHold is the minimum time that a peer holds a request if it only has a newer sync time to report.
	minSyncHold = 250 * time.Millisecond
	// maxResponseEntries bounds the entries of one response. When all followers start at once, complete listings of
	// thousands of engines for each of them would exceed a replica's memory.
	maxResponseEntries = 200
	// followTimeout bounds a request, including its hold time.
	followTimeout = longPollWait + time.Second
	// relayDelay is how long a peer may send nothing before a request is also routed through other nodes.
	relayDelay = longPollWait + 200*time.Millisecond
	// minFollowBackoff is the backoff after a failed request. It doubles with each further failure up to maxFollowBackoff,
	// and starts short because a gateway serves nothing before it reaches a replica after a restart.
	minFollowBackoff = 40 * time.Millisecond
	maxFollowBackoff = 400 * time.Millisecond
	// maxPageGap is the longest time between two pages of a listing that still counts as a transfer in progress.
	maxPageGap = 800 * time.Millisecond
)

// follower is the state of following one peer.
type follower struct {
	peer transport.Peer
	stop context.CancelFunc
	// syncedAt is the time at which the peer's catalog was last in sync with the store.
	syncedAt time.Time
	// lastPageAt is the time of the peer's last response that had further pages.
	lastPageAt time.Time
}

// transferring reports whether the peer is in the middle of sending a listing.
func (f *follower) transferring(now time.Time) bool { return now.Sub(f.lastPageAt) < maxPageGap }

// position is how far a peer's changes were read. It outlives the follower, so that following the peer again
// resumes instead of transferring everything.
type position struct {
	identity uint64
	sequence uint64
}

type followRequest struct {
	// Identity and After are the identity and the sequence number of the last response. If the identity is not the
	// peer's, the peer starts from its first change.
	Identity   uint64 `json:"i"`
	After      uint64 `json:"a"`
	WaitMillis int64  `json:"w"`
	Zone       string `json:"z,omitempty"`
	// MaxReferrals bounds the referrals in the response.
	MaxReferrals int `json:"n,omitempty"`
	// Endpoint is that of the requesting node if it is a mirror, and nil otherwise.
	Endpoint *Endpoint `json:"f,omitempty"`
}

type followResponse struct {
	// Identity is chosen at random when a node starts. Sequence numbers are only comparable for one identity.
	Identity uint64  `json:"i"`
	Sequence uint64  `json:"s"`
	Entries  []Entry `json:"e,omitempty"`
	// Announced are changed entries whose values must be fetched.
	Announced []announcement `json:"l,omitempty"`
	// AgeMillis is the time between the last sync with the store and the response; HeldMillis is how long the
	// request was held.
	AgeMillis  int64 `json:"g"`
	HeldMillis int64 `json:"h,omitempty"`
	// More means that the peer has further entries, or is itself receiving a listing.
	More bool `json:"m,omitempty"`
	// Referrals are the addresses of mirrors to follow instead of this peer; ReferralNodes are their node IDs, in the
	// same order. Nodes of earlier builds don't send the IDs.
	Referrals     []string `json:"o,omitempty"`
	ReferralNodes []string `json:"on,omitempty"`
}

// setReferrals stores the mirrors to follow.
func (r *followResponse) setReferrals(mirrors []transport.Peer) {
	for _, mirror := range mirrors {
		r.Referrals = append(r.Referrals, mirror.Address)
		r.ReferralNodes = append(r.ReferralNodes, mirror.NodeID)
	}
}

// referrals returns the mirrors to follow.
func (r *followResponse) referrals() []transport.Peer {
	var mirrors []transport.Peer
	for index, address := range r.Referrals {
		mirror := transport.Peer{Address: address}
		if len(r.ReferralNodes) == len(r.Referrals) {
			mirror.NodeID = r.ReferralNodes[index]
		}
		mirrors = append(mirrors, mirror)
	}
	return mirrors
}

// follow polls a peer for changes until the context ends.
func (m *Manager) follow(ctx context.Context, self *follower) {
	address := self.peer.Address
	reached := false
	backoff := minFollowBackoff
	for ctx.Err() == nil {
		requestedAt := time.Now()
		response, err := m.requestChanges(ctx, self.peer)
		if err == nil {
			m.Apply(response.Entries)
			err = m.fetchAnnounced(ctx, self.peer, response.Announced)
		}
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			if reached {
				m.logger.Emit(events.CatalogPeerLost, events.F("peer", address), events.F("error", err))
			}
			reached = false
			clock.Sleep(ctx, backoff)
			backoff = min(2*backoff, maxFollowBackoff)
			continue
		}
		if !reached {
			m.logger.Emit(events.CatalogPeerReached, events.F("peer", address), events.F("age_millis", response.AgeMillis))
		}
		reached = true
		backoff = minFollowBackoff
		m.recordResponse(self, requestedAt, response)
	}
}

func (m *Manager) requestChanges(ctx context.Context, peer transport.Peer) (followResponse, error) {
	callContext, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	m.mutex.Lock()
	last := m.positions[peer.Address]
	m.mutex.Unlock()
	request := followRequest{
		Identity: last.identity, After: last.sequence, WaitMillis: longPollWait.Milliseconds(), Zone: m.options.Self.Zone,
		MaxReferrals: m.minFreshPeers(),
	}
	if m.isMirror() {
		request.Endpoint = &m.options.Self
	}
	return transport.CallWithRelays[followResponse](callContext, m.network, peer, followKind, request, relayDelay)
}

// recordResponse records the position, the sync time and the referrals of a response. Its entries must have been
// applied: otherwise this node would skip them and appear to be in sync.
func (m *Manager) recordResponse(self *follower, requestedAt time.Time, response followResponse) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := time.Now()
	if !m.lastResponseAt.IsZero() && now.Sub(m.lastResponseAt) > tombstoneTTL {
		m.mustList = true
	}
	m.lastResponseAt = now
	m.positions[self.peer.Address] = position{identity: response.Identity, sequence: response.Sequence}
	m.referrals.update(now, response.referrals(), m.minFreshPeers())
	if response.More {
		self.lastPageAt = now
	}
	age := time.Duration(response.AgeMillis) * time.Millisecond
	if age >= unknownAge {
		return
	}
	// Computed from the time of the request, not of the response, which may have been delayed on the network.
	self.syncedAt = requestedAt.Add(time.Duration(response.HeldMillis)*time.Millisecond - age)
	m.recordSync(self.syncedAt)
}

func (m *Manager) isMirror() bool { return m.options.IsMirror != nil && m.options.IsMirror() }

// serveFollow holds a request until there are changes, or a newer sync time after minSyncHold, or its wait has passed.
func (m *Manager) serveFollow(ctx context.Context, from transport.Peer, request followRequest) (followResponse, error) {
	arrivedAt := time.Now()
	deadline := time.NewTimer(time.Duration(request.WaitMillis) * time.Millisecond)
	defer deadline.Stop()
	after := request.After
	if request.Identity != m.identity {
		after = 0
	}
	referred := m.referralsFor(from, request)
	due := false
	for {
		response, changed, synced := m.changesAfter(after)
		if len(response.Entries)+len(response.Announced) > 0 || due {
			response.setReferrals(referred)
			response.HeldMillis = time.Since(arrivedAt).Milliseconds()
			return response, nil
		}
		select {
		case <-changed:
		case <-synced:
			due = time.Since(arrivedAt) >= minSyncHold
		case <-deadline.C:
			due = true
		case <-ctx.Done():
			return response, ctx.Err()
		}
	}
}

// referralsFor returns the mirrors that a follower should use: this node if it is a mirror in the follower's
// zone, or else some of the mirrors that follow this node.
func (m *Manager) referralsFor(from transport.Peer, request followRequest) []transport.Peer {
	now := time.Now()
	isMirror := m.isMirror()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	switch {
	case request.Endpoint != nil:
		m.mirrors.markSeen(now, *request.Endpoint, from.NodeID)
		return nil
	case isMirror && m.options.Self.Zone == request.Zone:
		return []transport.Peer{{NodeID: m.network.NodeID(), Address: m.options.Self.Address}}
	case isMirror:
		return nil
	}
	return m.mirrors.choose(now, request.Zone, from.NodeID, request.MaxReferrals)
}

// changesAfter returns a response with the changes after a sequence number, and channels that are closed at the next
// change and at the next sync.
func (m *Manager) changesAfter(after uint64) (response followResponse, changed, synced chan struct{}) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := time.Now()
	age := unknownAge
	if !m.syncedAt.IsZero() {
		age = min(now.Sub(m.syncedAt), unknownAge)
	}
	response = followResponse{Identity: m.identity, AgeMillis: age.Milliseconds(), More: m.inInitialTransfer(now)}
	var changes []Entry
	changes, response.Sequence = m.state.Since(after, maxResponseEntries)
	for index, entry := range changes {
		changes[index] = m.state.Delayed(now, entry)
	}
	response.Entries, response.Announced = splitBySize(changes)
	if response.Sequence < m.state.Sequence() {
		// The follower is not in sync before it has the remaining entries.
		response.AgeMillis = unknownAge.Milliseconds()
		response.More = true
	}
	return response, m.changed, m.synced
}

// inInitialTransfer reports whether this node has never been in sync and is receiving a peer's listing.
func (m *Manager) inInitialTransfer(now time.Time) bool {
	if !m.syncedAt.IsZero() {
		return false
	}
	for _, peer := range m.followers {
		if peer.transferring(now) {
			return true
		}
	}
	return false
}
