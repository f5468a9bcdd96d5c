package catalog

import (
	"context"
	"time"

	"github.com/mountstile/mountstile/internal/transport"
)

const (
	// finishDelay is how long a peer may not hear of a finished run for which nobody waits. Most are told along with runs that begin.
	finishDelay = 500 * time.Millisecond
	// maxQueuedFinishes bounds the finished runs that a peer has to be told of; it forgets those that are dropped after runTTL.
	maxQueuedFinishes = 256
	// maxToldFinishes bounds the finished runs in one message: those that were queued and one more.
	maxToldFinishes = maxQueuedFinishes + 1
)

// finishQueue holds the finished runs of which one peer has to be told. It is guarded by the Manager's mutex.
type finishQueue struct {
	peer transport.Peer
	runs []finishedRun
	// since is when the first of them was queued.
	since time.Time
}

// Finish tells the replicas, within finishDelay, that the run of the evidence has finished.
func (m *Manager) Finish(replicas []transport.Peer, evidence Evidence) {
	evidence.Finished = m.owned(evidence.Finished)
	finished, now := evidence.finishedRun(), time.Now()
	m.ledger.finish(now, finished)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, peer := range replicas {
		queue := m.finishes[peer.Address]
		if queue == nil {
			queue = &finishQueue{peer: peer, since: now}
			m.finishes[peer.Address] = queue
		}
		if len(queue.runs) < maxQueuedFinishes {
			queue.runs = append(queue.runs, finished)
		}
	}
}

// takeFinishes returns the finished runs of which a peer has to be told.
func (m *Manager) takeFinishes(peer transport.Peer) []finishedRun {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	queue := m.finishes[peer.Address]
	if queue == nil {
		return nil
	}
	delete(m.finishes, peer.Address)
	return queue.runs
}

// flushFinishes tells the peers that have waited for finishDelay.
func (m *Manager) flushFinishes(ctx context.Context, now time.Time) {
	var due []transport.Peer
	m.mutex.Lock()
	for _, queue := range m.finishes {
		if now.Sub(queue.since) >= finishDelay {
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
