package catalog

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mountstile/mountstile/internal/transport"
)

// slowReplicaTTL is for how long a replica that did not answer in time is asked after others.
const slowReplicaTTL = 5 * time.Second

// isFirstRun reports whether the request announces a run of a content of which nothing else is known here. Most runs are such.
func (r publishRequest) isFirstRun(own publishResponse) bool {
	return r.Begun != "" && r.Finished == "" && len(r.Entries)+len(own.Entries)+len(own.Open) == 0
}

// askForFirstRun tells a majority of the replicas of a run, and the others later: any two majorities share a replica, so that nodes that begin runs of
// the same content learn of each other. If some are not heard or don't count, all are asked, and inquiry has the answers that are still to come.
func (m *Manager) askForFirstRun(ctx context.Context, replicas []transport.Peer, request publishRequest) (asked *inquiry, answers []publishResponse) {
	needed := len(replicas)/2 + 1
	ranked := m.rankReplicas(time.Now(), request.Content, replicas)
	split := min(needed, len(ranked))
	first, others := ranked[:split], ranked[split:]
	m.options.Metrics.countMessages(purposeBegin, toReplica, len(first))
	asked = newInquiry(len(replicas))
	m.sendMore(ctx, asked, first, request)
	answers = asked.await(ctx, m.responses.patience(), func(answers []publishResponse) bool { return countSettled(answers) >= needed })
	if countSettled(answers) >= needed {
		m.tellLater(others, begunRun{Content: request.Content, Name: request.Begun})
		return asked, answers
	}
	m.slow.note(time.Now(), asked.unsettled(first))
	m.options.Metrics.countMessages(purposeBegin, toReplica, len(others))
	m.sendMore(ctx, asked, others, request)
	return asked, answers
}

// rankReplicas returns the replicas in the order in which they are asked: the same one at each node, except that slow ones come last.
func (m *Manager) rankReplicas(now time.Time, content string, replicas []transport.Peer) []transport.Peer {
	type ranked struct {
		peer transport.Peer
		slow int
		hash uint64
	}
	order := make([]ranked, 0, len(replicas))
	for _, peer := range replicas {
		order = append(order, ranked{peer: peer, slow: m.slow.rank(now, peer), hash: xxhash.Sum64String(content + peer.Address)})
	}
	slices.SortFunc(order, func(a, b ranked) int { return cmp.Or(cmp.Compare(a.slow, b.slow), cmp.Compare(a.hash, b.hash)) })
	peers := make([]transport.Peer, 0, len(order))
	for _, entry := range order {
		peers = append(peers, entry.peer)
	}
	return peers
}

// slowReplicas holds until when replicas are taken for slow, by their addresses. All methods may be called concurrently.
type slowReplicas struct {
	mutex sync.Mutex
	until map[string]time.Time
}

// note takes replicas for slow from now on.
func (s *slowReplicas) note(now time.Time, peers []transport.Peer) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	maps.DeleteFunc(s.until, func(_ string, until time.Time) bool { return !now.Before(until) })
	for _, peer := range peers {
		s.until[peer.Address] = now.Add(slowReplicaTTL)
	}
}

// rank is 1 for a slow replica and 0 for others.
func (s *slowReplicas) rank(now time.Time, peer transport.Peer) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if now.Before(s.until[peer.Address]) {
		return 1
	}
	return 0
}
