package catalog

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/transport"
)

const (
	fetchKind = "catalog.fetch"
	// largeValueBytes is the size from which a value is announced to followers instead of sent.
	largeValueBytes = 2 << 10
	// maxConcurrentFetches bounds the large values that are encoded at once, since all followers fetch a change at
	// the same time.
	maxConcurrentFetches = 4
	// fetchPatience is how long the followers of other peers wait for a fetch before one of them fetches the value, too.
	fetchPatience = 400 * time.Millisecond
)

// A node follows several peers and receives each change from each of them. If large values, such as configurations
// with hundreds of routes, were sent like this, each would be transferred several times, and a replica would hold an
// encoded copy for each of its followers at once, which can exhaust its memory. Large values are therefore
// only announced, and each follower fetches them from one peer.

// announcement identifies a version of an entry whose value is large.
type announcement struct {
	Key      string `json:"k"`
	Revision int64  `json:"r"`
}

type fetchRequest struct {
	Key string `json:"k"`
}

type fetchResponse struct {
	Entry Entry `json:"e"`
}

// splitBySize separates entries to be sent from announcements of large ones.
func splitBySize(entries []Entry) (small []Entry, announced []announcement) {
	for _, entry := range entries {
		if len(entry.Value) < largeValueBytes {
			small = append(small, entry)
			continue
		}
		announced = append(announced, announcement{Key: entry.Key, Revision: entry.Revision})
	}
	return small, announced
}

// fetchAnnounced fetches the announced versions that this node lacks. If several peers announce a version at the same
// time, it is fetched from the first one, and the followers of the other peers wait for it. A peer that does not respond
// is not waited for longer than fetchPatience.
func (m *Manager) fetchAnnounced(ctx context.Context, peer transport.Peer, announced []announcement) error {
	for _, wanted := range announced {
		if err := m.fetchShared(ctx, peer, wanted); err != nil && !m.has(wanted) {
			return err
		}
	}
	return nil
}

// fetchShared fetches a version from a peer unless another follower's fetch of it succeeds in time.
func (m *Manager) fetchShared(ctx context.Context, peer transport.Peer, wanted announcement) error {
	for turn := 0; !m.has(wanted); turn++ {
		name := fmt.Sprintf("%s@%d#%d", wanted.Key, wanted.Revision, turn)
		var own atomic.Bool
		result := m.fetches.DoChan(name, func() (any, error) {
			own.Store(true)
			if m.has(wanted) {
				// Another follower's fetch has just ended.
				return nil, nil
			}
			return nil, m.fetch(ctx, peer, wanted)
		})
		patience := time.NewTimer(fetchPatience)
		select {
		case fetched := <-result:
			patience.Stop()
			return fetched.Err
		case <-patience.C:
		}
		if own.Load() {
			return (<-result).Err
		}
	}
	return nil
}

// has reports whether this node has the announced version of an entry or a newer one.
func (m *Manager) has(wanted announcement) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.state.Revision(wanted.Key) >= wanted.Revision
}

func (m *Manager) fetch(ctx context.Context, peer transport.Peer, wanted announcement) error {
	callContext, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	response, err := transport.CallWithRelays[fetchResponse](callContext, m.network, peer, fetchKind, fetchRequest{Key: wanted.Key}, relayDelay)
	if err != nil {
		return err
	}
	if response.Entry.Key != wanted.Key || response.Entry.Revision < wanted.Revision {
		return apierr.New(apierr.Internal, apierr.Ran, "node at %s announced %s at revision %d but returned revision %d", peer.Address, wanted.Key, wanted.Revision, response.Entry.Revision)
	}
	m.Apply([]Entry{response.Entry})
	return nil
}

func (m *Manager) serveFetch(ctx context.Context, _ transport.Peer, request fetchRequest) (fetchResponse, error) {
	select {
	case m.fetchSlots <- struct{}{}:
		defer func() { <-m.fetchSlots }()
	case <-ctx.Done():
		return fetchResponse{}, ctx.Err()
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	entry, _ := m.state.Latest(request.Key)
	return fetchResponse{Entry: m.state.Delayed(time.Now(), entry)}, nil
}
