package catalog

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/transport"
)

const (
	// reconcileInterval is how often the set of followed peers is updated.
	reconcileInterval = 100 * time.Millisecond
	// startupDelay is how long a node that has just started waits for responses from peers before it also reads the
	// store. It is short because a gateway has no routes until then, and replicas may start 0.3 s later than gateways.
	startupDelay = 30 * time.Millisecond
	// firstStartupDelay replaces startupDelay at the first start of the whole system, when there are no requests
	// yet, to reduce the load on the store: with it, and with one key for each candidate, 295 nodes made 1,308 calls of the
	// store in 70 s instead of 4,945.
	firstStartupDelay = 1500 * time.Millisecond
	// sourceDelay is how long a node follows all peers without a fresh one before it also reads the store. A random
	// jitter of up to the same duration is added, so that nodes that lose their peers together don't all list the store
	// at once.
	sourceDelay = 100 * time.Millisecond
	// unknownAge is the reported age of a catalog that was never in sync with the store.
	unknownAge = time.Hour
)

// Sink receives data from a Source. Its methods may be called concurrently.
type Sink interface {
	// Apply merges changed entries.
	Apply(entries []Entry)
	// ApplyListing merges a complete listing of the entries of a kind at a revision, and removes all others of
	// that kind.
	ApplyListing(kind string, entries []Entry, revision int64)
	// Synced reports that the source has just responded and that all earlier changes have been applied.
	Synced()
}

// Source reads entries from the store.
type Source interface {
	// Run lists and watches the store until the context ends.
	Run(ctx context.Context, sink Sink)
}

// Options configures a Manager.
type Options struct {
	// Peers returns the nodes that serve their catalog, in order of preference. Their addresses are distinct.
	Peers func() []transport.Peer
	// FollowAll follows all peers instead of only as many as it takes to have MinFreshPeers fresh ones.
	FollowAll bool
	// MinFreshPeers returns how many fresh peers to follow. The default is one. A peer that has lost the store appears
	// fresh for a while, so changes only arrive reliably with one peer more than may fail at once.
	MinFreshPeers func() int
	// Self is this node's endpoint. The address is only needed if other nodes may follow this one.
	Self Endpoint
	// IsMirror reports whether gateways should follow this node instead of its peers. Nil means never.
	IsMirror func() bool
	// ReadsStore reports whether this node always reads the Source. Otherwise it does so only while it has no fresh
	// peer. Nil means never.
	ReadsStore func() bool
	Source     Source
	// FirstStart is set only at the first start of the whole system.
	FirstStart bool
	// KnowsAllRuns is set if no node can have begun a run before this one started.
	KnowsAllRuns bool
	// SetMembers returns the other members of the replica set of this node, whose runs it learns after a restart. Nil means none, or that it is
	// no member.
	SetMembers func() []transport.Peer
	// StaleAfter is the age from which a catalog is not fresh any more. It must cover the time for which the store
	// holds a watch, and network delays.
	StaleAfter time.Duration
	// Neighbours returns gateways that this node reaches without the replicas. Nil means none.
	Neighbours func() []transport.Peer
	// Metrics may be nil.
	Metrics *Metrics
	// RunLives reports whether a run of a content that this node has begun is in progress. Nil means never.
	RunLives func(content, name string) bool
	// OnChange is called with changed entries, one at a time. The revisions of an entry are strictly increasing and end
	// with the newest; superseded ones may be skipped, and those of FatalRequestKind may be repeated. It must not block or modify the Manager.
	OnChange func(Entry)
	// OnOutageEnd is called when the catalog is in sync with the store again after it was not for longer than
	// StaleAfter; since is the last sync before. It is called with the Manager locked: it must not block or call the
	// Manager. It may be nil.
	OnOutageEnd func(since time.Time)
}

// Manager keeps a State up to date and serves it to other nodes. All methods may be called concurrently.
type Manager struct {
	options Options
	network *transport.Transport
	logger  *events.Logger
	// identity is random, so that followers notice a restart, which resets sequence numbers.
	identity uint64
	ledger   *ledger
	slow     *slowReplicas
	// responses are those to messages about runs.
	responses responseTimes

	// notifyMutex is held while OnChange is called. Lock order: notifyMutex before mutex.
	notifyMutex sync.Mutex

	mutex sync.Mutex
	state *State
	board *board
	// queues are the runs of which peers have to be told, by their addresses.
	queues    map[string]*runQueue
	startedAt time.Time
	// recoveredRuns is set once the runs are known that this node was told of before it started.
	recoveredRuns bool
	// silentUntil is until when replicas are taken for silent.
	silentUntil time.Time
	// changed is closed at the next change, synced at the next sync with the store.
	changed chan struct{}
	synced  chan struct{}
	// syncedAt is the last time at which this catalog is known to have been in sync with the store, directly or
	// through a peer.
	syncedAt time.Time
	// inSyncSince is the first sync after which no gap was long enough to hide an entry.
	inSyncSince time.Time
	// lastResponseAt is the time of the last response from a peer or the store.
	lastResponseAt time.Time
	// mustList is set if removals may have been missed whose tombstones have expired on the peers. Only a listing
	// of the store shows them.
	mustList bool
	// followers and positions are keyed by the address of the peer.
	followers map[string]*follower
	positions map[string]position
	mirrors   *mirrors
	referrals referrals
	// fetches deduplicates fetches of large values; fetchSlots bounds how many are served at once.
	fetches    singleflight.Group
	fetchSlots chan struct{}
	// followCount is the number of peers to follow. A value above the number of peers also enables the source.
	followCount int
	// lastFreshAt is the last time at which a peer was fresh. At startup it is the end of the startup delay.
	lastFreshAt time.Time
	// everFresh is set once a peer was fresh. Until then sourceDelay is not applied, since the node has no data.
	everFresh bool
	// sourceJitter is added to sourceDelay.
	sourceJitter time.Duration
	stopSource   context.CancelFunc
	sourceActive bool
}

// NewManager returns a Manager that serves other nodes at once. Run updates its catalog.
func NewManager(options Options, network *transport.Transport, logger *events.Logger) *Manager {
	manager := &Manager{
		options:   options,
		network:   network,
		logger:    logger,
		identity:  rand.Uint64() >> 1,
		startedAt: time.Now(),
		state:     NewState(),
		board:     newBoard(),
		ledger:    newLedger(),
		queues:    make(map[string]*runQueue),
		slow:      &slowReplicas{until: make(map[string]time.Time)},
		changed:   make(chan struct{}),
		synced:    make(chan struct{}),
		followers: make(map[string]*follower),
		positions: make(map[string]position),
		mirrors:   newMirrors(),

		followCount:  1,
		fetchSlots:   make(chan struct{}, maxConcurrentFetches),
		sourceJitter: rand.N(sourceDelay),
	}
	transport.Handle(network, followKind, manager.serveFollow)
	transport.Handle(network, fetchKind, manager.serveFetch)
	transport.Handle(network, publishKind, manager.servePublish)
	transport.Handle(network, vouchKind, manager.serveVouch)
	return manager
}

// Run follows peers and the store until the context ends.
func (m *Manager) Run(ctx context.Context) {
	delay := startupDelay
	if m.options.FirstStart {
		delay = firstStartupDelay
	}
	m.mutex.Lock()
	m.lastFreshAt = time.Now().Add(delay)
	m.mutex.Unlock()
	if m.options.SetMembers != nil && !m.options.KnowsAllRuns {
		go m.recoverRuns(ctx)
	}
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	started := time.NewTimer(delay)
	defer started.Stop()
	for {
		m.reconcile(ctx)
		m.flushQueues(ctx, time.Now())
		select {
		case <-started.C:
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// reconcile starts and stops followers and the source as needed to keep the catalog fresh.
func (m *Manager) reconcile(ctx context.Context) {
	peers := m.options.Peers()
	now := time.Now()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	peers = m.withReferrals(now, peers)
	m.state.Expire(now)
	m.updateFollowCount(now, peers)
	wanted := make(map[string]transport.Peer, len(peers))
	for index, peer := range peers {
		if m.options.FollowAll || index < m.followCount {
			wanted[peer.Address] = peer
		}
	}
	for address, existing := range m.followers {
		if wanted[address] != existing.peer {
			existing.stop()
			delete(m.followers, address)
		}
	}
	for address, peer := range wanted {
		if m.followers[address] == nil {
			m.startFollower(ctx, peer)
		}
	}
	reads := m.options.ReadsStore != nil && m.options.ReadsStore()
	m.setSourceActive(ctx, reads || m.mustList || m.followCount > len(peers))
}

// withReferrals returns the mirrors to which this node was referred, followed by its other peers.
func (m *Manager) withReferrals(now time.Time, peers []transport.Peer) []transport.Peer {
	if m.options.FollowAll {
		return peers
	}
	ordered := m.referrals.valid(now)
	for _, peer := range peers {
		if !slices.ContainsFunc(ordered, func(other transport.Peer) bool { return other.Address == peer.Address }) {
			ordered = append(ordered, peer)
		}
	}
	return ordered
}

func (m *Manager) startFollower(ctx context.Context, peer transport.Peer) {
	followContext, stop := context.WithCancel(ctx)
	created := &follower{peer: peer, stop: stop}
	m.followers[peer.Address] = created
	go m.follow(followContext, created)
}

// updateFollowCount sets followCount to the least number of peers that includes enough fresh ones. A peer that is
// sending a listing counts as fresh: requesting the same listing from further peers would only slow all of them
// down. Without a fresh peer, all are followed, and after a delay the source is read, too.
func (m *Manager) updateFollowCount(now time.Time, peers []transport.Peer) {
	fresh := 0
	for index, peer := range peers {
		existing := m.followers[peer.Address]
		if existing == nil || !(m.fresh(now, existing) || existing.transferring(now)) {
			continue
		}
		fresh++
		m.lastFreshAt, m.everFresh = now, true
		if fresh == m.minFreshPeers() {
			m.followCount = index + 1
			return
		}
	}
	staleFor := now.Sub(m.lastFreshAt)
	switch {
	case fresh > 0:
		m.followCount = len(peers)
	case staleFor < 0:
		m.followCount = min(m.minFreshPeers(), len(peers))
	case !m.everFresh:
		m.followCount = len(peers) + 1
	case staleFor < sourceDelay+m.sourceJitter:
		m.followCount = len(peers)
	default:
		m.followCount = len(peers) + 1
	}
}

func (m *Manager) minFreshPeers() int {
	if m.options.MinFreshPeers == nil {
		return 1
	}
	return max(m.options.MinFreshPeers(), 1)
}

// fresh reports whether a peer's catalog was in sync with the store less than StaleAfter ago.
func (m *Manager) fresh(now time.Time, peer *follower) bool {
	return now.Sub(peer.syncedAt) < m.options.StaleAfter
}

func (m *Manager) setSourceActive(ctx context.Context, active bool) {
	if active == m.sourceActive || m.options.Source == nil {
		return
	}
	m.sourceActive = active
	if !active {
		m.stopSource()
		m.logger.Emit(events.CatalogSourceStopped)
		return
	}
	sourceContext, stop := context.WithCancel(ctx)
	m.stopSource = stop
	m.logger.Emit(events.CatalogSourceStarted)
	go m.options.Source.Run(sourceContext, m)
}

// Apply implements Sink.
func (m *Manager) Apply(entries []Entry) {
	if len(entries) == 0 {
		return
	}
	now := time.Now()
	var changed []Entry
	m.mutex.Lock()
	for _, entry := range entries {
		if !m.state.Merge(now, entry) {
			continue
		}
		changed = append(changed, entry)
		if kind, _ := SplitKey(entry.Key); kind == ConfigurationKind {
			m.options.Metrics.observeConfiguration(time.Duration(entry.DelayMillis) * time.Millisecond)
		}
	}
	m.unlockAndNotify(changed)
}

// ApplyListing implements Sink.
func (m *Manager) ApplyListing(kind string, entries []Entry, revision int64) {
	now := time.Now()
	listed := make(map[string]bool, len(entries))
	var changed []Entry
	m.mutex.Lock()
	for _, entry := range entries {
		listed[entry.Key] = true
		if !entry.isPlaceholder() && m.state.Merge(now, entry) {
			changed = append(changed, entry)
		}
	}
	changed = append(changed, m.state.RemoveMissing(now, kind, listed, revision)...)
	m.unlockAndNotify(changed)
}

// unlockAndNotify wakes waiting long polls, unlocks mutex, which the caller must hold, and calls OnChange.
func (m *Manager) unlockAndNotify(entries []Entry) {
	if len(entries) > 0 {
		close(m.changed)
		m.changed = make(chan struct{})
	}
	m.mutex.Unlock()
	m.notifyMutex.Lock()
	defer m.notifyMutex.Unlock()
	for _, entry := range entries {
		if !m.superseded(entry) {
			m.options.OnChange(entry)
		}
	}
}

// superseded reports whether there is a newer version of an entry. The goroutine that merged the newer version
// calls OnChange for it, possibly first; calling it for the older one afterwards would revert the change.
func (m *Manager) superseded(entry Entry) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	latest, _ := m.state.Latest(entry.Key)
	return latest.newerThan(entry)
}

// Synced implements Sink.
func (m *Manager) Synced() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := time.Now()
	m.lastResponseAt, m.mustList = now, false
	m.recordSync(now)
}

// recordSync advances syncedAt and wakes waiting long polls to pass it on to followers. The caller must hold mutex.
func (m *Manager) recordSync(at time.Time) {
	if !at.After(m.syncedAt) {
		return
	}
	before := m.syncedAt
	gap := at.Sub(before)
	if before.IsZero() || gap > max(m.options.StaleAfter, maxHistoryGap) {
		m.inSyncSince = at
	}
	if m.options.OnOutageEnd != nil && !before.IsZero() && gap > m.options.StaleAfter {
		m.options.OnOutageEnd(before)
	}
	m.syncedAt = at
	close(m.synced)
	m.synced = make(chan struct{})
}

// Age returns the time since the catalog was last known to be in sync with the store, directly or through a peer.
func (m *Manager) Age() time.Duration {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.syncedAt.IsZero() {
		return unknownAge
	}
	return time.Since(m.syncedAt)
}

// maxHistoryGap is the longest gap between two syncs after which the catalog's history is still taken as complete. Entries that
// were added within it are there after it, unless they were removed again.
const maxHistoryGap = 5 * time.Second

// InSyncSince returns since when the catalog has seen all entries that existed for longer than maxHistoryGap; the zero time if it
// was not in sync with the store within StaleAfter.
func (m *Manager) InSyncSince() time.Time {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if time.Since(m.syncedAt) > m.options.StaleAfter {
		return time.Time{}
	}
	return m.inSyncSince
}

// Get returns the entry with a key unless it was removed.
func (m *Manager) Get(key string) (Entry, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.state.Get(key)
}
