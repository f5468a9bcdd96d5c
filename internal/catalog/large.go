package catalog

import (
	"context"
	"strconv"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/transport"
)

const (
	fetchKind = "catalog.fetch"
	// largeBytes is the size from which a value is not sent to followers unasked.
	largeBytes = 2 << 10
	// fetchesServed is how many large values are encoded at once. All followers hear of a change in the same moment.
	fetchesServed = 4
)

// A node follows several peers, and each of them tells it of each change. A configuration of hundreds of routes
// would cross the network once for each of them, and a replica would hold an encoded copy for each of its
// followers at once: on small machines that ended replicas for memory when configurations came in quick
// succession. So followers only hear that there is a newer version of a large value, and fetch it from one peer.

// announcement names a version of an entry whose value is large.
type announcement struct {
	Key      string `json:"k"`
	Revision int64  `json:"r"`
}

type fetchRequest struct {
	Key string `json:"k"`
}

type fetchAnswer struct {
	Entry Entry `json:"e"`
}

// split separates what is sent at once from what is announced.
func split(entries []Entry) (small []Entry, announced []announcement) {
	for _, entry := range entries {
		if len(entry.Value) < largeBytes {
			small = append(small, entry)
			continue
		}
		announced = append(announced, announcement{Key: entry.Key, Revision: entry.Revision})
	}
	return small, announced
}

// fetchAnnounced gets what was announced and is not here yet. Several peers announce the same version; it is
// fetched from the first, and the others wait for that.
func (m *Manager) fetchAnnounced(ctx context.Context, address string, announced []announcement) error {
	for _, wanted := range announced {
		if m.has(wanted) {
			continue
		}
		name := wanted.Key + "@" + strconv.FormatInt(wanted.Revision, 10)
		_, err, _ := m.fetches.Do(name, func() (any, error) { return nil, m.fetch(ctx, address, wanted) })
		if err != nil && !m.has(wanted) {
			return err
		}
	}
	return nil
}

func (m *Manager) has(wanted announcement) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.state.Revision(wanted.Key) >= wanted.Revision
}

func (m *Manager) fetch(ctx context.Context, address string, wanted announcement) error {
	callContext, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	answer, err := transport.CallAround[fetchAnswer](callContext, m.network, address, fetchKind, fetchRequest{Key: wanted.Key}, followAroundAfter)
	if err != nil {
		return err
	}
	if answer.Entry.Key != wanted.Key || answer.Entry.Revision < wanted.Revision {
		return apierr.New(apierr.Internal, apierr.Ran, "node at %s announced %s at %d, and has %d", address, wanted.Key, wanted.Revision, answer.Entry.Revision)
	}
	m.Apply([]Entry{answer.Entry})
	return nil
}

func (m *Manager) serveFetch(ctx context.Context, _ transport.Peer, request fetchRequest) (fetchAnswer, error) {
	select {
	case m.fetchPlaces <- struct{}{}:
		defer func() { <-m.fetchPlaces }()
	case <-ctx.Done():
		return fetchAnswer{}, ctx.Err()
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	entry, _ := m.state.Newest(request.Key)
	return fetchAnswer{Entry: entry}, nil
}
