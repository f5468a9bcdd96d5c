package membership

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/transport"
)

const (
	messageKind = "member"
	// tickInterval is the tick of the protocol, and the maximum delay of gossip.
	tickInterval = 200 * time.Millisecond
)

// Manager runs a Core over the transport. All methods may be called concurrently.
type Manager struct {
	transport *transport.Transport
	logger    *events.Logger

	mutex       sync.Mutex
	core        *Core
	subscribers []func(Change)

	view atomic.Pointer[View]
	// delivery is held while changes are delivered, to keep their order.
	delivery sync.Mutex
	pending  []Change
}

// NewManager returns a Manager for self, which joins through the seed addresses.
func NewManager(self Member, seeds []string, options Options, network *transport.Transport, logger *events.Logger) *Manager {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	manager := &Manager{
		transport: network,
		logger:    logger,
		core:      NewCore(self, options, seeds, random),
	}
	manager.view.Store(newView(manager.core.Self(), manager.core.Members()))
	transport.HandleOneWay(network, messageKind, func(_ transport.Peer, packet Packet) {
		manager.step(func() { manager.core.Receive(time.Now(), packet) })
	})
	return manager
}

// Subscribe registers a function that is called with every change, in order. It must not block for long.
// Subscribe must be called before Run.
func (m *Manager) Subscribe(subscriber func(Change)) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.subscribers = append(m.subscribers, subscriber)
}

// Run drives the protocol until ctx is done.
func (m *Manager) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		m.step(func() { m.core.Tick(time.Now()) })
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// View returns the current view.
func (m *Manager) View() *View { return m.view.Load() }

// Synced reports whether this node has exchanged tables with another member.
func (m *Manager) Synced() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.core.Synced()
}

// Record returns the newest known version of a record.
func (m *Manager) Record(key string) (Record, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.core.Record(key)
}

// SetRecord publishes a record to all members, unless this or a higher version is known.
func (m *Manager) SetRecord(record Record) {
	m.step(func() { m.core.SetRecord(record) })
}

// Announce announces to all members that this node is Leaving or has Left.
func (m *Manager) Announce(status Status) {
	m.step(func() { m.core.Leave(time.Now(), status) })
}

// step changes the core under the lock, then sends packets and notifies subscribers without it.
func (m *Manager) step(change func()) {
	m.mutex.Lock()
	change()
	packets := m.core.TakePackets()
	changes := m.core.TakeChanges()
	if hasMemberChange(changes) || m.view.Load().Self != m.core.Self() {
		m.view.Store(newView(m.core.Self(), m.core.Members()))
	}
	m.pending = append(m.pending, changes...)
	subscribers := m.subscribers
	m.mutex.Unlock()
	for _, outgoing := range packets {
		// Packets name their recipient themselves; a packet to a seed is for whoever is there.
		m.transport.Send(transport.Peer{Address: outgoing.Address}, messageKind, outgoing.Packet)
	}
	if len(changes) > 0 {
		m.notify(subscribers)
	}
}

// notify delivers pending changes in order. If a delivery is already in progress, that one delivers them:
// a subscriber may itself cause changes.
func (m *Manager) notify(subscribers []func(Change)) {
	if !m.delivery.TryLock() {
		return
	}
	defer m.delivery.Unlock()
	for {
		m.mutex.Lock()
		changes := m.pending
		m.pending = nil
		m.mutex.Unlock()
		if len(changes) == 0 {
			return
		}
		for _, change := range changes {
			m.logChange(change)
			for _, subscriber := range subscribers {
				subscriber(change)
			}
		}
	}
}

func hasMemberChange(changes []Change) bool {
	for _, change := range changes {
		if change.Member != nil {
			return true
		}
	}
	return false
}

var statusEvents = map[Status]events.ID{
	Alive:   events.MemberAlive,
	Leaving: events.MemberLeft,
	Suspect: events.MemberSuspect,
	Dead:    events.MemberDead,
	Left:    events.MemberLeft,
}

func (m *Manager) logChange(change Change) {
	if change.Paused > 0 {
		m.logger.Emit(events.SelfPaused, events.F("seconds", change.Paused.Seconds()))
	}
	if change.Member == nil {
		return
	}
	id := statusEvents[change.Member.Status]
	if change.Member.ID == m.View().Self.ID {
		id = events.SelfRefuted
	}
	m.logger.Emit(id, events.F("member", change.Member.ID), events.F("zone", change.Member.Zone),
		events.F("incarnation", change.Member.Incarnation), events.F("status", change.Member.Status))
}
