package catalog

import (
	"context"
	"slices"
	"time"

	"github.com/mountstile/mountstile/internal/transport"
)

const (
	// finishDelay is how long a peer may not hear of a finished run for which nobody waits. Most are told along with runs that begin.
	finishDelay = 500 * time.Millisecond
	// begunDelay is for how long the replicas outside of the first majority don't hear of a run: most runs end before.
	begunDelay = 5 * time.Second
	// maxQueuedRuns bounds the begun and the finished runs that a peer has to be told of, each. It forgets finished runs that are dropped after
	// runTTL.
	maxQueuedRuns = 256
	// maxToldFinishes bounds the finished runs in one message: those that were queued and one more.
	maxToldFinishes = maxQueuedRuns + 1
)

// runQueue holds the runs of which one peer has to be told. It is guarded by the Manager's mutex.
type runQueue struct {
	peer     transport.Peer
	begun    []queuedRun
	finished []finishedRun
	// finishedAt is when the first finished run was queued.
	finishedAt time.Time
}

// queuedRun is a begun run that waits to be told.
type queuedRun struct {
	begunRun
	at time.Time
}

// begin queues a run that has begun. One that is dropped is known to the first majority only.
func (q *runQueue) begin(now time.Time, run begunRun) {
	if len(q.begun) < maxQueuedRuns {
		q.begun = append(q.begun, queuedRun{begunRun: run, at: now})
	}
}

// finish queues a finished run, unless the peer has not been told yet that it has begun.
func (q *runQueue) finish(now time.Time, run finishedRun) {
	isRun := func(begun queuedRun) bool { return begun.begunRun == begunRun{Content: run.Content, Name: run.Name} }
	if index := slices.IndexFunc(q.begun, isRun); index >= 0 {
		q.begun = slices.Delete(q.begun, index, index+1)
		return
	}
	if len(q.finished) == 0 {
		q.finishedAt = now
	}
	if len(q.finished) < maxQueuedRuns {
		q.finished = append(q.finished, run)
	}
}

// due reports whether the peer has to be told now, with or without another message.
func (q *runQueue) due(now time.Time) bool {
	return len(q.finished) > 0 && now.Sub(q.finishedAt) >= finishDelay || len(q.begun) > 0 && now.Sub(q.begun[0].at) >= begunDelay
}

// take removes and returns what goes along with a message: all finished runs, and those that began begunDelay ago.
func (q *runQueue) take(now time.Time) (begun []begunRun, finished []finishedRun) {
	count := 0
	for count < len(q.begun) && now.Sub(q.begun[count].at) >= begunDelay {
		begun = append(begun, q.begun[count].begunRun)
		count++
	}
	q.begun = slices.Delete(q.begun, 0, count)
	finished, q.finished = q.finished, nil
	return begun, finished
}

// Finish tells the replicas, within finishDelay, that the run of the evidence has finished.
func (m *Manager) Finish(replicas []transport.Peer, evidence Evidence) {
	evidence.Finished = m.owned(evidence.Finished)
	finished, now := evidence.finishedRun(), time.Now()
	m.ledger.finish(now, finished)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, peer := range replicas {
		m.queueFor(peer).finish(now, finished)
	}
}

// tellLater tells peers that a run has begun, unless it finishes within begunDelay.
func (m *Manager) tellLater(peers []transport.Peer, run begunRun) {
	now := time.Now()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, peer := range peers {
		m.queueFor(peer).begin(now, run)
	}
}

// queueFor returns the queue of a peer. The caller holds the mutex.
func (m *Manager) queueFor(peer transport.Peer) *runQueue {
	queue := m.queues[peer.Address]
	if queue == nil {
		queue = &runQueue{peer: peer}
		m.queues[peer.Address] = queue
	}
	return queue
}

// addQueued adds the runs of which a peer has to be told to a request.
func (m *Manager) addQueued(peer transport.Peer, request publishRequest) publishRequest {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if queue := m.queues[peer.Address]; queue != nil {
		begun, finished := queue.take(time.Now())
		request.BegunBefore = begun
		request.Done = append(slices.Clip(request.Done), finished...)
	}
	return request
}

// flushQueues tells the peers that have waited long enough.
func (m *Manager) flushQueues(ctx context.Context, now time.Time) {
	var due []transport.Peer
	m.mutex.Lock()
	for address, queue := range m.queues {
		if len(queue.begun)+len(queue.finished) == 0 {
			delete(m.queues, address)
		} else if queue.due(now) {
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
