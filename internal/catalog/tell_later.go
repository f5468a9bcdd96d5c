package catalog

import (
	"context"
	"slices"
	"time"

	"github.com/mountstile/mountstile/internal/transport"
)

const (
	// tellDelay is how long a peer may not hear of a run for which nobody waits. Most are told along with other runs.
	tellDelay = 500 * time.Millisecond
	// maxQueuedRuns bounds the begun and the finished runs that a peer has to be told of, each. It forgets finished runs that are dropped after
	// runTTL.
	maxQueuedRuns = 256
	// maxToldFinishes bounds the finished runs in one message: those that were queued and one more.
	maxToldFinishes = maxQueuedRuns + 1
)

// runQueue holds the runs of which one peer has to be told. It is guarded by the Manager's mutex.
type runQueue struct {
	peer     transport.Peer
	begun    []begunRun
	finished []finishedRun
	// since is when the first of them was queued.
	since time.Time
}

// finish queues a finished run, unless the peer has not been told yet that it has begun.
func (q *runQueue) finish(run finishedRun) {
	isRun := func(begun begunRun) bool { return begun == begunRun{Content: run.Content, Name: run.Name} }
	if index := slices.IndexFunc(q.begun, isRun); index >= 0 {
		q.begun = slices.Delete(q.begun, index, index+1)
	} else if len(q.finished) < maxQueuedRuns {
		q.finished = append(q.finished, run)
	}
}

// Finish tells the replicas, within tellDelay, that the run of the evidence has finished.
func (m *Manager) Finish(replicas []transport.Peer, evidence Evidence) {
	evidence.Finished = m.owned(evidence.Finished)
	finished, now := evidence.finishedRun(), time.Now()
	m.ledger.finish(now, finished)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, peer := range replicas {
		m.queueFor(now, peer).finish(finished)
	}
}

// tellLater tells peers, within tellDelay, that a run has begun, unless it finishes before.
func (m *Manager) tellLater(peers []transport.Peer, run begunRun) {
	now := time.Now()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, peer := range peers {
		if queue := m.queueFor(now, peer); len(queue.begun) < maxQueuedRuns {
			queue.begun = append(queue.begun, run)
		}
	}
}

// queueFor returns the queue of a peer. The caller holds the mutex.
func (m *Manager) queueFor(now time.Time, peer transport.Peer) *runQueue {
	queue := m.queues[peer.Address]
	if queue == nil {
		queue = &runQueue{peer: peer, since: now}
		m.queues[peer.Address] = queue
	}
	return queue
}

// addQueued adds the runs of which a peer has to be told to a request.
func (m *Manager) addQueued(peer transport.Peer, request publishRequest) publishRequest {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if queue := m.queues[peer.Address]; queue != nil {
		delete(m.queues, peer.Address)
		request.BegunBefore = queue.begun
		request.Done = append(slices.Clip(request.Done), queue.finished...)
	}
	return request
}

// flushQueues tells the peers that have waited for tellDelay.
func (m *Manager) flushQueues(ctx context.Context, now time.Time) {
	var due []transport.Peer
	m.mutex.Lock()
	for address, queue := range m.queues {
		if len(queue.begun)+len(queue.finished) == 0 {
			delete(m.queues, address)
		} else if now.Sub(queue.since) >= tellDelay {
			due = append(due, queue.peer)
		}
	}
	m.mutex.Unlock()
	m.options.Metrics.countMessages(purposeFinish, toReplica, len(due))
	for _, peer := range due {
		// A peer that is not reached forgets the runs after runTTL.
		go m.ask(ctx, []transport.Peer{peer}, publishRequest{}, 0, 0)
	}
}
