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

	// readersPerZone nodes watch the store in each zone; the others learn from peers.
	readersPerZone = 2
	// pollInterval finds what a watch has lost.
	pollInterval = 5 * time.Second
	retryDelay   = time.Second
	fetchTimeout = 3 * time.Second
)

// Options configure a Manager.
type Options struct {
	Store      configstore.Store
	Membership *membership.Manager
	Transport  *transport.Transport
	Logger     *events.Logger
	// DataFolder keeps the revision over restarts; empty means that peers and the store do.
	DataFolder string
	// Check refuses what can't be installed, such as a policy that does not compile.
	Check func(*resource.Set) error
	// EveryNodeReads makes each node watch the store: the baseline of the capacity measurement.
	EveryNodeReads bool
}

// Manager keeps this node's configuration current. Invariant: the revision in force never falls.
type Manager struct {
	options Options

	current atomic.Pointer[Snapshot]
	// install serializes installations.
	install     sync.Mutex
	subscribers []func(*Snapshot)
	wanted      atomic.Uint64
	wake        chan struct{}
	storeSeen   atomic.Bool
	sourceMutex sync.Mutex
	source      string
}

// NewManager returns a Manager with the revision kept on disk, or none.
func NewManager(options Options) (*Manager, error) {
	manager := &Manager{options: options, wake: make(chan struct{}, 1)}
	empty, err := resource.NewSet(nil)
	if err != nil {
		return nil, err
	}
	manager.current.Store(&Snapshot{Set: empty})
	transport.Handle(options.Transport, fetchKind, manager.serveFetch)
	options.Membership.Subscribe(manager.heard)
	return manager, manager.loadFile()
}

// Subscribe registers a function that hears each installed snapshot. Call it before Run.
func (m *Manager) Subscribe(subscriber func(*Snapshot)) {
	m.subscribers = append(m.subscribers, subscriber)
}

// Current returns the snapshot in force.
func (m *Manager) Current() *Snapshot { return m.current.Load() }

// Ready reports whether the node has a configuration at least as new as any it has heard of, from
// the store itself or from another node.
func (m *Manager) Ready() bool {
	revision := m.Current().Revision()
	if revision < m.wanted.Load() {
		return false
	}
	return m.storeSeen.Load() || revision > 0 && m.options.Membership.Synced()
}

// Run follows the store and the peers until the context ends.
func (m *Manager) Run(ctx context.Context) {
	var tasks sync.WaitGroup
	tasks.Go(func() { m.fetchLoop(ctx) })
	tasks.Go(func() { m.readLoop(ctx) })
	tasks.Wait()
}

// heard notes a revision that some member has.
func (m *Manager) heard(change membership.Change) {
	if change.Record == nil || change.Record.Key != recordKey {
		return
	}
	m.want(change.Record.Version, change.Source)
}

func (m *Manager) want(revision uint64, source string) {
	for {
		known := m.wanted.Load()
		if revision <= known {
			return
		}
		if m.wanted.CompareAndSwap(known, revision) {
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

// fetchLoop gets wanted revisions from peers.
func (m *Manager) fetchLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.wake:
		}
		for m.Current().Revision() < m.wanted.Load() && ctx.Err() == nil {
			if !m.fetchOnce(ctx) {
				waitFor(ctx, retryDelay/4)
			}
		}
	}
}

// fetchOnce asks the peer that told us first, then others, in rendezvous order of our own ID, so
// that a crowd of nodes does not ask the same one.
func (m *Manager) fetchOnce(ctx context.Context) bool {
	m.sourceMutex.Lock()
	addresses := []string{m.source}
	m.sourceMutex.Unlock()
	view := m.options.Membership.View()
	for _, member := range membership.Rank(view.Usable(), view.Self.ID) {
		if member.ID != view.Self.ID && len(addresses) < 4 {
			addresses = append(addresses, member.Address)
		}
	}
	for _, address := range addresses {
		if address == "" {
			continue
		}
		if m.fetchFrom(ctx, address) {
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
	// Delta is set when the server still knows what has changed since the client's revision.
	Delta *delta `json:"delta,omitempty"`
	// Encoded is the whole document, compressed; empty when the server has nothing newer.
	Encoded []byte `json:"encoded,omitempty"`
}

func (m *Manager) fetchFrom(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	have := m.Current()
	response, err := transport.Call[fetchResponse](ctx, m.options.Transport, address, fetchKind, fetchRequest{Have: have.Revision()})
	if err != nil || response.Revision <= have.Revision() {
		return false
	}
	document, err := response.document(have.Document)
	if err == nil {
		err = m.Install(document)
	}
	if err != nil {
		m.options.Logger.Emit(events.ConfigFetchFailed, events.F("peer", address), events.F("error", err))
		return false
	}
	return true
}

func (r fetchResponse) document(have Document) (Document, error) {
	if r.Delta != nil {
		return r.Delta.apply(have)
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

// readLoop watches the store while this node is one of its zone's readers.
func (m *Manager) readLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if !m.isReader() {
			waitFor(ctx, retryDelay)
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
		waitFor(ctx, retryDelay)
	}
}

func (m *Manager) pollWhileReader(ctx context.Context) {
	for ctx.Err() == nil && m.isReader() {
		m.readStore(ctx)
		waitFor(ctx, pollInterval)
	}
}

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

// readStore installs what the store holds, unless it is older than what is in force.
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
	m.storeSeen.Store(true)
}

func (m *Manager) readHead(ctx context.Context) (configstore.Entry, head, error) {
	entry, err := m.options.Store.Get(ctx, headKey)
	if err != nil {
		return entry, head{}, err
	}
	var decoded head
	if entry.Revision > 0 {
		if err := json.Unmarshal(entry.Value, &decoded); err != nil {
			return entry, head{}, errors.Wrap(err, "decoding the head of the configuration")
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

// Install puts a document in force if it is newer than what is. The error tells why it can't be.
func (m *Manager) Install(document Document) error {
	m.install.Lock()
	defer m.install.Unlock()
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
	m.want(document.Revision, "")
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

// saveFile keeps the revision on disk. A failure is logged: peers and store still have it.
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
		return errors.Wrap(err, "reading the kept configuration")
	}
	document, err := decodeDocument(encoded)
	if err != nil {
		m.options.Logger.Emit(events.StorageFailed, events.F("error", err))
		return nil
	}
	return m.Install(document)
}

func waitFor(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// String describes a document for logs and errors.
func (d Document) String() string { return fmt.Sprintf("revision %d by %s", d.Revision, d.Author) }
