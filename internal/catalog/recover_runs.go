package catalog

import (
	"context"
	"time"

	"github.com/mountstile/mountstile/internal/clock"
	"github.com/mountstile/mountstile/internal/transport"
)

const (
	// recoveryDelay is how long after its start a replica learns the runs of others: by then all gateways know the members of its set, and no message
	// from before its start is under way.
	recoveryDelay = 5 * time.Second
	// recoveryInterval is the time between two tries, recoveryPatience the time that one takes at most.
	recoveryInterval = time.Second
	recoveryPatience = publishTimeout
)

// settled reports whether this node knows all runs that it was told of and that may be in progress.
func (m *Manager) settled(now time.Time) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.options.KnowsAllRuns || m.recoveredRuns || now.Sub(m.startedAt) >= runTTL
}

// recoverRuns learns the runs that this replica was told of before it started from other members of its set, until the context ends or it has run for so long
// that it does not matter.
func (m *Manager) recoverRuns(ctx context.Context) {
	for clock.Sleep(ctx, recoveryDelay); ctx.Err() == nil && !m.settled(time.Now()); clock.Sleep(ctx, recoveryInterval) {
		if members := m.options.SetMembers(); m.learnRuns(ctx, members) {
			m.mutex.Lock()
			m.recoveredRuns = true
			m.mutex.Unlock()
		}
	}
}

// learnRuns asks the other members of a set for the runs in progress, and reports whether enough have answered. Each run was told to a majority of the set. So
// many of the others have to answer that at least one of them was told of each run that this replica was told of, too.
func (m *Manager) learnRuns(ctx context.Context, members []transport.Peer) bool {
	size := len(members) + 1
	majority := size/2 + 1
	needed := size - majority + 1
	if len(members) < needed {
		return false
	}
	m.options.Metrics.countMessages(purposeAdopt, toReplica, len(members))
	heard := 0
	answers := m.ask(ctx, members, publishRequest{OpenRuns: true}, len(members), recoveryPatience)
	for _, answer := range answers {
		if answer.Settled && answer.HasOpenRuns && validBegun(answer.OpenRuns, maxListedRuns) {
			heard++
			m.adoptRuns(answer.OpenRuns)
		}
	}
	return heard >= needed
}

func (m *Manager) adoptRuns(runs []begunRun) {
	now := time.Now()
	for _, run := range runs {
		m.ledger.begin(now, run)
	}
}
