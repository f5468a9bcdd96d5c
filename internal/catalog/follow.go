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
	// followWait is how long a peer holds a question to which there is no news; its answer is the
	// sign that the peer is alive.
	followWait = 500 * time.Millisecond
	// contactPause is how long it holds one at least when there is nothing new but contact with the store.
	contactPause = 250 * time.Millisecond
	// followEntries bounds the entries of one answer. After a start all followers ask for everything at once; with
	// thousands of engines, whole listings for each of them would be more than a replica's memory.
	followEntries = 200
	// followTimeout is how long an answer may take in all.
	followTimeout = followWait + time.Second
	// followAroundAfter is how long nothing may come from a peer before it is asked through other nodes, too.
	followAroundAfter = followWait + 200*time.Millisecond
	// followPause follows a failed question, and doubles with each further one up to followPauseMost. It begins
	// short: after a restart of all nodes, gateways serve nothing before they reach a replica.
	followPause     = 40 * time.Millisecond
	followPauseMost = 400 * time.Millisecond
	// handOverPause is how long a peer that hands over a listing may take for its next page.
	handOverPause = 800 * time.Millisecond
)

// follower is one peer that this node follows.
type follower struct {
	stop context.CancelFunc
	// contactAt is when the store had been read, by what this peer said last.
	contactAt time.Time
	// pageAt is when the peer last said that it has more to hand over than it did.
	pageAt time.Time
}

// handingOver tells whether the peer is in the middle of a listing.
func (f *follower) handingOver(now time.Time) bool { return now.Sub(f.pageAt) < handOverPause }

// position is how far a peer was followed. It outlasts the follower, so that a peer which is followed once more
// does not hand over everything again.
type position struct {
	identity uint64
	sequence uint64
}

type followRequest struct {
	// Identity and After are those of the last answer; an answer begins anew if the identity is not the peer's.
	Identity   uint64 `json:"i"`
	After      uint64 `json:"a"`
	WaitMillis int64  `json:"w"`
	Zone       string `json:"z,omitempty"`
	// Feeds is how many feeds the asker would follow.
	Feeds int `json:"n,omitempty"`
	// Feed is set by a node that serves its catalog to others.
	Feed *Endpoint `json:"f,omitempty"`
}

type followAnswer struct {
	Identity uint64  `json:"i"`
	Sequence uint64  `json:"s"`
	Entries  []Entry `json:"e,omitempty"`
	// Announced are changes whose values are to be fetched.
	Announced []announcement `json:"l,omitempty"`
	// AgeMillis is how long before the answer the store was read; HeldMillis is how long the question waited for it.
	AgeMillis  int64 `json:"g"`
	HeldMillis int64 `json:"h,omitempty"`
	// More tells that this is not all that the peer has, or that it is being handed a listing itself.
	More bool `json:"m,omitempty"`
	// Offers are the addresses of feeds that the asker should follow instead.
	Offers []string `json:"o,omitempty"`
}

// follow asks a peer for its changes until the context ends.
func (m *Manager) follow(ctx context.Context, address string, self *follower) {
	reached := false
	wait := followPause
	for ctx.Err() == nil {
		askedAt := time.Now()
		answer, err := m.askForChanges(ctx, address)
		if err == nil {
			m.Apply(answer.Entries)
			err = m.fetchAnnounced(ctx, address, answer.Announced)
		}
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			if reached {
				m.logger.Emit(events.CatalogPeerLost, events.F("peer", address), events.F("error", err))
			}
			reached = false
			clock.Pause(ctx, wait)
			wait = min(2*wait, followPauseMost)
			continue
		}
		if !reached {
			m.logger.Emit(events.CatalogPeerReached, events.F("peer", address), events.F("age_millis", answer.AgeMillis))
		}
		reached = true
		wait = followPause
		m.heard(address, self, askedAt, answer)
	}
}

func (m *Manager) askForChanges(ctx context.Context, address string) (followAnswer, error) {
	callContext, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	m.mutex.Lock()
	last := m.positions[address]
	m.mutex.Unlock()
	request := followRequest{
		Identity: last.identity, After: last.sequence, WaitMillis: followWait.Milliseconds(), Zone: m.options.Self.Zone,
		Feeds: m.need(),
	}
	if m.serves() {
		request.Feed = &m.options.Self
	}
	return transport.CallAround[followAnswer](callContext, m.network, address, followKind, request, followAroundAfter)
}

// heard takes what an answer says beside its entries, which are applied already: only then do its position and its
// contact with the store count.
func (m *Manager) heard(address string, self *follower, askedAt time.Time, answer followAnswer) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := time.Now()
	if !m.heardAt.IsZero() && now.Sub(m.heardAt) > removedFor {
		m.mustList = true
	}
	m.heardAt = now
	m.positions[address] = position{identity: answer.Identity, sequence: answer.Sequence}
	m.offers.take(now, answer.Offers, m.need())
	if answer.More {
		self.pageAt = now
	}
	age := time.Duration(answer.AgeMillis) * time.Millisecond
	if age >= unknownAge {
		return
	}
	// The way back is not counted: an answer may have been held up on it.
	self.contactAt = askedAt.Add(time.Duration(answer.HeldMillis)*time.Millisecond - age)
	m.noteContact(self.contactAt)
}

func (m *Manager) serves() bool { return m.options.IsMirror != nil && m.options.IsMirror() }

func (m *Manager) serveFollow(ctx context.Context, from transport.Peer, request followRequest) (followAnswer, error) {
	arrivedAt := time.Now()
	deadline := time.NewTimer(time.Duration(request.WaitMillis) * time.Millisecond)
	defer deadline.Stop()
	after := request.After
	if request.Identity != m.identity {
		after = 0
	}
	offered := m.offersFor(from, request)
	due := false
	for {
		answer, changed, contacted := m.newsAfter(after)
		if len(answer.Entries)+len(answer.Announced) > 0 || due {
			answer.Offers = offered
			answer.HeldMillis = time.Since(arrivedAt).Milliseconds()
			return answer, nil
		}
		select {
		case <-changed:
		case <-contacted:
			due = time.Since(arrivedAt) >= contactPause
		case <-deadline.C:
			due = true
		case <-ctx.Done():
			return answer, ctx.Err()
		}
	}
}

// offersFor are the addresses of the feeds that a follower should follow: this node if it serves the follower's
// zone, or some of the feeds that follow this node.
func (m *Manager) offersFor(from transport.Peer, request followRequest) []string {
	now := time.Now()
	serves := m.serves()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	switch {
	case request.Feed != nil:
		m.feeds.heard(now, *request.Feed)
		return nil
	case serves && m.options.Self.Zone == request.Zone:
		return []string{m.options.Self.Address}
	case serves:
		return nil
	}
	return m.feeds.choose(now, request.Zone, from.NodeID, request.Feeds)
}

// newsAfter is the answer to a question, and what is closed at the next change and at the next contact.
func (m *Manager) newsAfter(after uint64) (answer followAnswer, changed, contacted chan struct{}) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := time.Now()
	age := unknownAge
	if !m.contactAt.IsZero() {
		age = min(now.Sub(m.contactAt), unknownAge)
	}
	answer = followAnswer{Identity: m.identity, AgeMillis: age.Milliseconds(), More: m.beingFilled(now)}
	var changes []Entry
	changes, answer.Sequence = m.state.Since(after, followEntries)
	answer.Entries, answer.Announced = split(changes)
	if answer.Sequence < m.state.Sequence() {
		// What is missing still may be newer than the last contact with the store.
		answer.AgeMillis = unknownAge.Milliseconds()
		answer.More = true
	}
	return answer, m.changed, m.contacted
}

// beingFilled tells whether a peer is handing over its listing to this node, which has never been fresh yet.
func (m *Manager) beingFilled(now time.Time) bool {
	if !m.contactAt.IsZero() {
		return false
	}
	for _, peer := range m.followers {
		if peer.handingOver(now) {
			return true
		}
	}
	return false
}
