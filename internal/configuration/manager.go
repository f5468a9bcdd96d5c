package configuration

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/configstore"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/membership"
	"github.com/mountstile/mountstile/internal/resource"
	"github.com/mountstile/mountstile/internal/transport"
)

const (
	headKey        = "/mountstile/config/head"
	revisionPrefix = "/mountstile/config/revisions/"
	recordKey      = "config"
	fetchKind      = "config_fetch"
	fileName       = "configuration.zst"

	// readersPerZone is the number of nodes of a zone that watch the store; the others fetch from peers.
	readersPerZone = 2
	// pollInterval is the interval at which readers poll the store to find changes that the watch missed.
	pollInterval = 5 * time.Second
	retryDelay   = time.Second
	fetchTimeout = 3 * time.Second
)

// Options configures a Manager.
type Options struct {
	Store      configstore.Store
	Membership *membership.Manager
	Transport  *transport.Transport
	Logger     *events.Logger
	// DataFolder keeps the revision across restarts. If empty, a restarted node gets it from peers or the store.
	DataFolder string
	// Check rejects sets that can't be installed, such as one with a policy that does not compile.
	Check func(*resource.Set) error
	// EveryNodeReads makes each node watch the store, not only a few in each zone.
	EveryNodeReads bool
}

// Manager keeps this node's configuration current. Invariant: the revision in force never decreases.
type Manager struct {
	options Options

	current atomic.Pointer[Snapshot]
	// installMutex makes installations run one at a time, so that the revision never decreases and subscribers are not
	// called concurrently.
	installMutex sync.Mutex
	subscribers  []func(*Snapshot)
	// latestKnown is the newest revision announced by any node.
	latestKnown atomic.Uint64
	wake        chan struct{}
	// storeRead is set once the revision in force has been compared with the store's.
	storeRead   atomic.Bool
	sourceMutex sync.Mutex
	// source is the address of the node that announced latestKnown; empty if unknown.
	source string
}

// NewManager returns a Manager that starts from the revision on disk, if there is one.
func NewManager(options Options) (*Manager, error) {
	manager := &Manager{options: options, wake: make(chan struct{}, 1)}
	empty, err := resource.NewSet(nil)
	if err != nil {
		return nil, err
	}
	manager.current.Store(&Snapshot{Set: empty})
	transport.Handle(options.Transport, fetchKind, manager.serveFetch)
	options.Membership.Subscribe(manager.onMembershipChange)
	return manager, manager.loadFile()
}

// Subscribe registers a function that is called with each installed snapshot, one call at a time. Call
// Subscribe before Run.
func (m *Manager) Subscribe(subscriber func(*Snapshot)) {
	m.subscribers = append(m.subscribers, subscriber)
}

// Current returns the snapshot in force.
func (m *Manager) Current() *Snapshot { return m.current.Load() }

// Ready reports whether the configuration in force is at least as new as the newest revision known to
// this node, and was compared with the store or with synced membership records.
func (m *Manager) Ready() bool {
	revision := m.Current().Revision()
	if revision < m.latestKnown.Load() {
		return false
	}
	return m.storeRead.Load() || revision > 0 && m.options.Membership.Synced()
}

// Run fetches new revisions from peers and from the store until ctx is done.
func (m *Manager) Run(ctx context.Context) {
	var tasks sync.WaitGroup
	tasks.Go(func() { m.fetchLoop(ctx) })
	tasks.Go(func() { m.watchLoop(ctx) })
	tasks.Wait()
}

// onMembershipChange records the revision that another member announced.
func (m *Manager) onMembershipChange(change membership.Change) {
	if change.Record == nil || change.Record.Key != recordKey {
		return
	}
	m.noteRevision(change.Record.Version, change.Source)
}

// noteRevision raises latestKnown to revision and wakes the fetch loop. source is the address of a node
// that has it, or empty.
func (m *Manager) noteRevision(revision uint64, source string) {
	for {
		known := m.latestKnown.Load()
		if revision <= known {
			return
		}
		if m.latestKnown.CompareAndSwap(known, revision) {
			break
		}
	}
	m.sourceMutex.Lock()
	m.source = source
	m.sourceMutex.Unlock()
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// fetchLoop fetches revisions that are newer than the one in force from peers.
func (m *Manager) fetchLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.wake:
		}
		for m.Current().Revision() < m.latestKnown.Load() && ctx.Err() == nil {
			if !m.fetchFromPeers(ctx) {
				sleep(ctx, retryDelay/4)
			}
		}
	}
}

// fetchFromPeers tries the peer that announced the revision first, then others in the rendezvous order
// of this node's ID, which spreads the requests of many nodes over different peers.
func (m *Manager) fetchFromPeers(ctx context.Context) bool {
	m.sourceMutex.Lock()
	peers := []transport.Peer{{Address: m.source}}
	m.sourceMutex.Unlock()
	view := m.options.Membership.View()
	for _, member := range membership.Rank(view.Usable(), view.Self.ID) {
		if member.ID != view.Self.ID && len(peers) < 4 {
			peers = append(peers, member.Peer())
		}
	}
	for _, peer := range peers {
		if peer.Address == "" {
			continue
		}
		if m.fetchFrom(ctx, peer) {
			return true
		}
	}
	return false
}

type fetchRequest struct {
	Have uint64 `json:"have"`
}

type fetchResponse struct {
	Revision uint64 `json:"revision"`
	// Delta is set if the client's revision is the one before the server's.
	Delta *delta `json:"delta,omitempty"`
	// Encoded is the whole compressed document; empty if Delta is set or the server has nothing newer.
	Encoded []byte `json:"encoded,omitempty"`
}

func (m *Manager) fetchFrom(ctx context.Context, peer transport.Peer) bool {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	current := m.Current()
	response, err := transport.Call[fetchResponse](ctx, m.options.Transport, peer, fetchKind, fetchRequest{Have: current.Revision()})
	if err != nil || response.Revision <= current.Revision() {
		return false
	}
	document, err := response.document(current.Document)
	if err == nil {
		err = m.Install(document)
	}
	if err != nil {
		m.options.Logger.Emit(events.ConfigFetchFailed, events.F("peer", peer.Address), events.F("error", err))
		return false
	}
	return true
}

func (r fetchResponse) document(current Document) (Document, error) {
	if r.Delta != nil {
		return r.Delta.apply(current)
	}
	return decodeDocument(r.Encoded)
}

func (m *Manager) serveFetch(_ context.Context, _ transport.Peer, request fetchRequest) (fetchResponse, error) {
	snapshot := m.Current()
	response := fetchResponse{Revision: snapshot.Revision()}
	if request.Have >= snapshot.Revision() {
		return response, nil
	}
	if request.Have > 0 && request.Have+1 == snapshot.Revision() {
		response.Delta = newDelta(snapshot.Document)
		return response, nil
	}
	response.Encoded = snapshot.encoded
	return response, nil
}

// watchLoop watches the store while this node is one of its zone's readers.
func (m *Manager) watchLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if !m.isReader() {
			sleep(ctx, retryDelay)
			continue
		}
		watchContext, cancel := context.WithCancel(ctx)
		var tasks sync.WaitGroup
		tasks.Go(func() {
			defer cancel()
			_ = m.options.Store.Watch(watchContext, headKey, func(configstore.Event) { m.readStore(watchContext) })
		})
		m.pollWhileReader(watchContext)
		cancel()
		tasks.Wait()
		sleep(ctx, retryDelay)
	}
}

func (m *Manager) pollWhileReader(ctx context.Context) {
	for ctx.Err() == nil && m.isReader() {
		m.readStore(ctx)
		sleep(ctx, pollInterval)
	}
}

// isReader reports whether this node watches the store. In a zone without eligible nodes, each node does.
func (m *Manager) isReader() bool {
	if m.options.EveryNodeReads {
		return true
	}
	view := m.options.Membership.View()
	inZone := slices.DeleteFunc(view.Eligible(), func(member membership.Member) bool {
		return member.Zone != view.Self.Zone || member.Region != view.Self.Region
	})
	ranked := membership.Rank(inZone, "config-reader")
	for _, member := range ranked[:min(readersPerZone, len(ranked))] {
		if member.ID == view.Self.ID {
			return true
		}
	}
	return len(ranked) == 0
}

// readStore installs the store's revision unless it is older than the one in force.
func (m *Manager) readStore(ctx context.Context) {
	current := m.Current().Revision()
	_, stored, err := m.readHead(ctx)
	if err != nil {
		m.options.Logger.Emit(events.ConfigStoreFailed, events.F("error", err))
		return
	}
	if stored.Revision < current {
		m.options.Logger.Emit(events.ConfigStoreOlder, events.F("store", stored.Revision), events.F("in_force", current))
		return
	}
	if stored.Revision > current {
		document, err := m.readRevision(ctx, stored.Revision)
		if err == nil {
			err = m.Install(document)
		}
		if err != nil {
			m.options.Logger.Emit(events.ConfigStoreFailed, events.F("error", err))
			return
		}
	}
	m.storeRead.Store(true)
}

func (m *Manager) readHead(ctx context.Context) (configstore.Entry, head, error) {
	entry, err := m.options.Store.Get(ctx, headKey)
	if err != nil {
		return entry, head{}, err
	}
	var decoded head
	if entry.Revision > 0 {
		if err := json.Unmarshal(entry.Value, &decoded); err != nil {
			return entry, head{}, errors.Wrap(err, "decoding the configuration head")
		}
	}
	return entry, decoded, nil
}

func revisionKey(revision uint64) string { return revisionPrefix + strconv.FormatUint(revision, 10) }

func (m *Manager) readRevision(ctx context.Context, revision uint64) (Document, error) {
	entry, err := m.options.Store.Get(ctx, revisionKey(revision))
	if err != nil {
		return Document{}, err
	}
	if entry.Revision == 0 {
		return Document{}, apierr.New(apierr.NotFound, apierr.NotRun, "the store has no revision %d", revision)
	}
	return decodeDocument(entry.Value)
}

// Install puts a document in force; one that is not newer than the current revision is ignored. It returns
// an error if the document fails the checks.
func (m *Manager) Install(document Document) error {
	m.installMutex.Lock()
	defer m.installMutex.Unlock()
	if document.Revision <= m.Current().Revision() {
		return nil
	}
	snapshot, err := m.build(document)
	if err != nil {
		m.options.Logger.Emit(events.ConfigRejected, events.F("revision", document.Revision), events.F("error", err))
		return err
	}
	m.saveFile(snapshot)
	m.current.Store(snapshot)
	for _, subscriber := range m.subscribers {
		subscriber(snapshot)
	}
	m.options.Logger.Emit(events.ConfigInstalled, events.F("revision", document.Revision), events.F("author", document.Author))
	m.noteRevision(document.Revision, "")
	m.options.Membership.SetRecord(membership.Record{Key: recordKey, Version: document.Revision})
	return nil
}

func (m *Manager) build(document Document) (*Snapshot, error) {
	set, err := resource.NewSet(document.Resources)
	if err != nil {
		return nil, err
	}
	if m.options.Check != nil {
		if err := m.options.Check(set); err != nil {
			return nil, err
		}
	}
	encoded, err := encodeDocument(document)
	if err != nil {
		return nil, err
	}
	return &Snapshot{Document: document, Set: set, encoded: encoded}, nil
}

func (m *Manager) filePath() string { return filepath.Join(m.options.DataFolder, fileName) }

// saveFile writes the revision to disk. A failure is only logged: peers and the store still have the revision.
func (m *Manager) saveFile(snapshot *Snapshot) {
	if m.options.DataFolder == "" {
		return
	}
	temporary := m.filePath() + ".tmp"
	err := os.WriteFile(temporary, snapshot.encoded, 0o600)
	if err == nil {
		err = os.Rename(temporary, m.filePath())
	}
	if err != nil {
		m.options.Logger.Emit(events.StorageFailed, events.F("error", err))
	}
}

func (m *Manager) loadFile() error {
	if m.options.DataFolder == "" {
		return nil
	}
	encoded, err := os.ReadFile(m.filePath())
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "reading the configuration file")
	}
	document, err := decodeDocument(encoded)
	if err != nil {
		m.options.Logger.Emit(events.StorageFailed, events.F("error", err))
		return nil
	}
	return m.Install(document)
}

func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// String returns the revision and its author, for logs and errors.
func (d Document) String() string { return fmt.Sprintf("revision %d by %s", d.Revision, d.Author) }
