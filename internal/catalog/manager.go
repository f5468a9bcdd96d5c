package catalog

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/mountstile/mountstile/internal/clock"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/transport"
)

const (
	followKind = "catalog.follow"
	// followWait is how long a peer holds a question to which there is no news; its answer is the
	// sign that the peer is alive.
	followWait = 500 * time.Millisecond
	// followEntries bounds the entries of one answer. After a start all followers ask for everything at once; with
	// thousands of engines, whole listings for each of them would be more than a replica's memory.
	followEntries = 200
	// followTimeout is how long an answer may take in all.
	followTimeout = followWait + time.Second
	// followPause follows a failed question, and doubles with each further one up to followPauseMost. It begins
	// short: after a restart of all nodes, gateways serve nothing before they reach a replica.
	followPause     = 40 * time.Millisecond
	followPauseMost = 400 * time.Millisecond
	// widenInterval is how often the number of followed peers is looked at.
	widenInterval = 250 * time.Millisecond
	// staleAfter is the age from which a peer that we follow is not enough by itself.
	staleAfter = 900 * time.Millisecond
	// unknownAge is the age of a node that never heard from the store.
	unknownAge = time.Hour
)

// Sink takes what a Source learns. Its methods may be called concurrently.
type Sink interface {
	// Apply takes single changes.
	Apply(entries []Entry)
	// ApplyListing takes all entries of a kind as they were at a revision; others are gone.
	ApplyListing(kind string, entries []Entry, revision int64)
	// Contact says that the source answered just now and that nothing older is outstanding.
	Contact()
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
	// FollowAll follows all peers; otherwise only as many as it takes to be fresh.
	FollowAll bool
	// ReadsStore tells whether this node follows the Source at all times; others do so only while no peer is
	// fresh. Nil stands for never.
	ReadsStore func() bool
	Source     Source
	// FreshFor is the age up to which contact with the store counts as fresh. It covers the time
	// for which the store may hold a question.
	FreshFor time.Duration
	// OnChange hears each changed entry, in no order. It must not block.
	OnChange func(Entry)
}

// Manager keeps a State up to date and serves it to peers. All methods may be called concurrently.
type Manager struct {
	options  Options
	network  *transport.Transport
	logger   *events.Logger
	identity uint64

	mutex   sync.Mutex
	state   *State
	changed chan struct{}
	// contactAt is the newest time at which the store is known to have been read, here or by a peer.
	contactAt time.Time
	followers map[string]*follower
	// width is how many peers are followed; one more than there are means the source, too.
	width        int
	stopSource   context.CancelFunc
	widenedAt    time.Time
	sourceActive bool
}

type follower struct {
	stop context.CancelFunc
	// contactAt is when the store had been read, by what this peer said last.
	contactAt time.Time
}

type followRequest struct {
	Identity   uint64 `json:"i"`
	After      uint64 `json:"a"`
	WaitMillis int64  `json:"w"`
}

type followAnswer struct {
	Identity  uint64  `json:"i"`
	Sequence  uint64  `json:"s"`
	Entries   []Entry `json:"e,omitempty"`
	AgeMillis int64   `json:"g"`
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
		followers: make(map[string]*follower),
		width:     1,
	}
	transport.Handle(network, followKind, manager.serveFollow)
	return manager
}

// Run follows peers and the store until the context ends.
func (m *Manager) Run(ctx context.Context) {
	m.mutex.Lock()
	m.widenedAt = time.Now()
	m.mutex.Unlock()
	ticker := time.NewTicker(widenInterval)
	defer ticker.Stop()
	for {
		m.adjust(ctx)
		select {
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
	m.switchSource(ctx, reads || m.width > len(peers))
}

func (m *Manager) startFollower(ctx context.Context, address string) {
	followContext, stop := context.WithCancel(ctx)
	created := &follower{stop: stop}
	m.followers[address] = created
	go m.follow(followContext, address, created)
}

// chooseWidth follows no more peers than up to the first one that is fresh. While none is, it follows twice as
// many every time, and in the end the source.
func (m *Manager) chooseWidth(now time.Time, peers []string) {
	for index, address := range peers {
		known := m.followers[address]
		if known != nil && now.Sub(known.contactAt) < m.options.FreshFor+staleAfter {
			m.width = index + 1
			m.widenedAt = now
			return
		}
	}
	if m.width <= len(peers) && now.Sub(m.widenedAt) >= 2*widenInterval {
		m.width = min(2*m.width, len(peers)+1)
		m.widenedAt = now
	}
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

func (m *Manager) follow(ctx context.Context, address string, self *follower) {
	request := followRequest{WaitMillis: followWait.Milliseconds()}
	reached := false
	wait := followPause
	for ctx.Err() == nil {
		askedAt := time.Now()
		callContext, cancel := context.WithTimeout(ctx, followTimeout)
		answer, err := transport.Call[followAnswer](callContext, m.network, address, followKind, request)
		cancel()
		if err != nil {
			if reached {
				m.logger.Emit(events.CatalogPeerLost, events.F("peer", address), events.F("error", err))
			}
			reached = false
			request = followRequest{WaitMillis: followWait.Milliseconds()}
			clock.Pause(ctx, wait)
			wait = min(2*wait, followPauseMost)
			continue
		}
		if !reached {
			m.logger.Emit(events.CatalogPeerReached, events.F("peer", address), events.F("age_millis", answer.AgeMillis))
		}
		reached = true
		wait = followPause
		m.Apply(answer.Entries)
		m.heardAge(self, askedAt, time.Duration(answer.AgeMillis)*time.Millisecond)
		request.Identity = answer.Identity
		request.After = answer.Sequence
	}
}

func (m *Manager) heardAge(self *follower, at time.Time, age time.Duration) {
	if age >= unknownAge {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	self.contactAt = at.Add(-age)
	if self.contactAt.After(m.contactAt) {
		m.contactAt = self.contactAt
	}
}

func (m *Manager) serveFollow(ctx context.Context, _ transport.Peer, request followRequest) (followAnswer, error) {
	deadline := time.NewTimer(time.Duration(request.WaitMillis) * time.Millisecond)
	defer deadline.Stop()
	after := request.After
	if request.Identity != m.identity {
		after = 0
	}
	for {
		answer, changed := m.newsAfter(after)
		if len(answer.Entries) > 0 {
			return answer, nil
		}
		select {
		case <-changed:
		case <-deadline.C:
			return answer, nil
		case <-ctx.Done():
			return answer, ctx.Err()
		}
	}
}

func (m *Manager) newsAfter(after uint64) (followAnswer, chan struct{}) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	age := unknownAge
	if !m.contactAt.IsZero() {
		age = min(time.Since(m.contactAt), unknownAge)
	}
	answer := followAnswer{Identity: m.identity, AgeMillis: age.Milliseconds()}
	answer.Entries, answer.Sequence = m.state.Since(after, followEntries)
	if answer.Sequence < m.state.Sequence() {
		// What is missing still may be newer than the last contact with the store.
		answer.AgeMillis = unknownAge.Milliseconds()
	}
	return answer, m.changed
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
		if m.state.Merge(now, entry) {
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
	for _, entry := range news {
		m.options.OnChange(entry)
	}
}

// Contact implements Sink.
func (m *Manager) Contact() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.contactAt = time.Now()
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
