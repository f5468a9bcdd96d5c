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
	// adjustInterval is how often it is looked which peers are to be followed.
	adjustInterval = 100 * time.Millisecond
	// startPatience is how long a node that has just started waits for the first answers of its peers before it reads
	// the store, too. After a loss of power everywhere, replicas came back 0.3 s later than gateways, which meanwhile
	// knew no routes.
	startPatience = 30 * time.Millisecond
	// firstStartPatience is the same when the whole system starts for the first time. Nobody calls yet then. With it, and
	// with replicas that announce themselves under keys of their own, 295 nodes made 1,308 calls of the store in a day of 70 s
	// instead of 4,945 (one run each).
	firstStartPatience = 1500 * time.Millisecond
	// sourcePatience is how long all peers are followed without one that is fresh before the store is read, too. Up
	// to as much again is added by chance: nodes that lose their peers together must not list everything at once.
	sourcePatience = 100 * time.Millisecond
	// unknownAge is the age of a node that never heard from the store.
	unknownAge = time.Hour
)

// Sink takes what a Source learns. Its methods may be called concurrently.
type Sink interface {
	// Apply takes single changes.
	Apply(entries []Entry)
	// ApplyListing takes all entries of a kind as they were at a revision; others are gone.
	ApplyListing(kind string, entries []Entry, revision int64)
	// Synced says that the source answered just now and that nothing older is outstanding.
	Synced()
}

// Source follows the store.
type Source interface {
	// Run follows the store until the context ends.
	Run(ctx context.Context, sink Sink)
}

// Options configure a Manager.
type Options struct {
	// Peers returns the addresses of nodes that serve their catalog, the preferred ones first.
	Peers func() []string
	// FollowAll follows all peers; otherwise only as many as it takes to have MinFreshPeers fresh ones.
	FollowAll bool
	// MinFreshPeers returns how many fresh peers to follow; nil stands for one. A peer that is cut off from the store without
	// knowing it looks fresh for a while. With one peer more than may be lost at once, changes come all the same.
	MinFreshPeers func() int
	// Self is where this node is, and its zone; a node that serves nobody needs only the zone.
	Self Endpoint
	// IsMirror tells whether gateways are to follow this node instead of those that it follows. Nil stands for never.
	IsMirror func() bool
	// ReadsStore tells whether this node follows the Source at all times; others do so only while no peer is
	// fresh. Nil stands for never.
	ReadsStore func() bool
	Source     Source
	// FirstStart is true only at the very first start of the whole system.
	FirstStart bool
	// StaleAfter is the age from which a peer's contact with the store is not fresh any more. It covers the time
	// for which the store may hold a question, and the ways.
	StaleAfter time.Duration
	// OnChange hears changed entries, one at a time. Of each entry it hears rising revisions, the newest at last; those
	// that were overtaken may be left out. It must not block, nor change the Manager.
	OnChange func(Entry)
	// OnOutageEnd hears, once the store is heard of again, since when it had not been, if that was longer ago than
	// StaleAfter. It must not block. It may be nil.
	OnOutageEnd func(since time.Time)
}

// Manager keeps a State up to date and serves it to peers. All methods may be called concurrently.
type Manager struct {
	options  Options
	network  *transport.Transport
	logger   *events.Logger
	identity uint64

	// telling is held while OnChange is called. It is taken without mutex, and before it.
	telling sync.Mutex

	mutex sync.Mutex
	state *State
	// changed is closed at the next change, contacted at the next contact with the store.
	changed   chan struct{}
	contacted chan struct{}
	// contactAt is the newest time at which the store is known to have been read, here or by a peer.
	contactAt time.Time
	// heardAt is when a peer or the store answered last.
	heardAt time.Time
	// mustList tells that removals may have been missed, which peers don't remember any more. Only a listing of the store
	// shows them.
	mustList  bool
	followers map[string]*follower
	// positions are how far each peer was followed, by address.
	positions map[string]position
	feeds     *feeds
	offers    offers
	// fetches are the large values that are being fetched; fetchPlaces bounds how many are served at once.
	fetches     singleflight.Group
	fetchPlaces chan struct{}
	// width is how many peers are followed; one more than there are means the source, too.
	width int
	// freshAt is when a peer was fresh last; when the node starts it begins a little later.
	freshAt time.Time
	// beenFresh tells that a peer was fresh before. Until then the node knows nothing, and nobody waits for the store
	// in vain.
	beenFresh bool
	// sourceJitter is added to sourcePatience.
	sourceJitter time.Duration
	stopSource   context.CancelFunc
	sourceActive bool
}

// NewManager returns a Manager; it serves peers at once, and learns once it runs.
func NewManager(options Options, network *transport.Transport, logger *events.Logger) *Manager {
	manager := &Manager{
		options:   options,
		network:   network,
		logger:    logger,
		identity:  rand.Uint64() >> 1,
		state:     NewState(),
		changed:   make(chan struct{}),
		contacted: make(chan struct{}),
		followers: make(map[string]*follower),
		positions: make(map[string]position),
		feeds:     newFeeds(),
		width:     1,

		fetchPlaces:  make(chan struct{}, fetchesServed),
		sourceJitter: rand.N(sourcePatience),
	}
	transport.Handle(network, followKind, manager.serveFollow)
	transport.Handle(network, fetchKind, manager.serveFetch)
	return manager
}

// Run follows peers and the store until the context ends.
func (m *Manager) Run(ctx context.Context) {
	patience := startPatience
	if m.options.FirstStart {
		patience = firstStartPatience
	}
	m.mutex.Lock()
	m.freshAt = time.Now().Add(patience)
	m.mutex.Unlock()
	ticker := time.NewTicker(adjustInterval)
	defer ticker.Stop()
	started := time.NewTimer(patience)
	defer started.Stop()
	for {
		m.adjust(ctx)
		select {
		case <-started.C:
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// adjust starts and stops followers, and the source, so that what we know stays fresh.
func (m *Manager) adjust(ctx context.Context) {
	peers := m.options.Peers()
	now := time.Now()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	peers = m.withOffers(now, peers)
	m.state.Forget(now)
	m.chooseWidth(now, peers)
	wanted := make(map[string]bool, len(peers))
	for index, address := range peers {
		if m.options.FollowAll || index < m.width {
			wanted[address] = true
		}
	}
	for address, known := range m.followers {
		if !wanted[address] {
			known.stop()
			delete(m.followers, address)
		}
	}
	for address := range wanted {
		if m.followers[address] == nil {
			m.startFollower(ctx, address)
		}
	}
	reads := m.options.ReadsStore != nil && m.options.ReadsStore()
	m.switchSource(ctx, reads || m.mustList || m.width > len(peers))
}

// withOffers puts the feeds to which this node was sent before its other peers.
func (m *Manager) withOffers(now time.Time, peers []string) []string {
	if m.options.FollowAll {
		return peers
	}
	ordered := m.offers.valid(now)
	for _, address := range peers {
		if !slices.Contains(ordered, address) {
			ordered = append(ordered, address)
		}
	}
	return ordered
}

func (m *Manager) startFollower(ctx context.Context, address string) {
	followContext, stop := context.WithCancel(ctx)
	created := &follower{stop: stop}
	m.followers[address] = created
	go m.follow(followContext, address, created)
}

// chooseWidth follows no more peers than it takes to have as many fresh ones as are needed. A peer that is handing
// over a long listing counts: to ask more of them for the same listing at once would only make all of them
// slower. While none is fresh, it follows all, and then the source.
func (m *Manager) chooseWidth(now time.Time, peers []string) {
	fresh := 0
	for index, address := range peers {
		known := m.followers[address]
		if known == nil || !(m.fresh(now, known) || known.handingOver(now)) {
			continue
		}
		fresh++
		m.freshAt, m.beenFresh = now, true
		if fresh == m.need() {
			m.width = index + 1
			return
		}
	}
	lost := now.Sub(m.freshAt)
	switch {
	case fresh > 0:
		m.width = len(peers)
	case lost < 0:
		m.width = min(m.need(), len(peers))
	case !m.beenFresh:
		m.width = len(peers) + 1
	case lost < sourcePatience+m.sourceJitter:
		m.width = len(peers)
	default:
		m.width = len(peers) + 1
	}
}

func (m *Manager) need() int {
	if m.options.MinFreshPeers == nil {
		return 1
	}
	return max(m.options.MinFreshPeers(), 1)
}

// fresh tells whether a peer had read the store a short while ago, or heard from somebody who had.
func (m *Manager) fresh(now time.Time, peer *follower) bool {
	return now.Sub(peer.contactAt) < m.options.StaleAfter
}

func (m *Manager) switchSource(ctx context.Context, wanted bool) {
	if wanted == m.sourceActive || m.options.Source == nil {
		return
	}
	m.sourceActive = wanted
	if !wanted {
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
	var news []Entry
	m.mutex.Lock()
	for _, entry := range entries {
		if m.state.Merge(now, entry) {
			news = append(news, entry)
		}
	}
	m.tell(news)
}

// ApplyListing implements Sink.
func (m *Manager) ApplyListing(kind string, entries []Entry, revision int64) {
	now := time.Now()
	listed := make(map[string]bool, len(entries))
	var news []Entry
	m.mutex.Lock()
	for _, entry := range entries {
		listed[entry.Key] = true
		if !entry.unchanged() && m.state.Merge(now, entry) {
			news = append(news, entry)
		}
	}
	news = append(news, m.state.RemoveMissing(now, kind, listed, revision)...)
	m.tell(news)
}

// tell wakes those who wait and calls the subscriber; it unlocks the mutex that its caller holds.
func (m *Manager) tell(news []Entry) {
	if len(news) > 0 {
		close(m.changed)
		m.changed = make(chan struct{})
	}
	m.mutex.Unlock()
	m.telling.Lock()
	defer m.telling.Unlock()
	for _, entry := range news {
		if !m.overtaken(entry) {
			m.options.OnChange(entry)
		}
	}
}

// overtaken reports whether there is a newer version of an entry. Whoever merged that tells of it: a subscriber that heard the
// older one later would go back to it.
func (m *Manager) overtaken(entry Entry) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.state.Revision(entry.Key) > entry.Revision
}

// Synced implements Sink.
func (m *Manager) Synced() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := time.Now()
	m.heardAt, m.mustList = now, false
	m.noteContact(now)
}

// noteContact takes a newer contact and wakes followers, whose knowledge is as fresh by it. The caller holds the
// mutex.
func (m *Manager) noteContact(at time.Time) {
	if !at.After(m.contactAt) {
		return
	}
	if before := m.contactAt; m.options.OnOutageEnd != nil && !before.IsZero() && at.Sub(before) > m.options.StaleAfter {
		m.options.OnOutageEnd(before)
	}
	m.contactAt = at
	close(m.contacted)
	m.contacted = make(chan struct{})
}

// Age is how long ago the store was read, here or by a peer that told us.
func (m *Manager) Age() time.Duration {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.contactAt.IsZero() {
		return unknownAge
	}
	return time.Since(m.contactAt)
}

// Get returns an entry that is not removed.
func (m *Manager) Get(key string) (Entry, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.state.Get(key)
}
