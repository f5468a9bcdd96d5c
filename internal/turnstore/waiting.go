package turnstore

import (
	"time"

	"github.com/mountstile/mountstile/internal/events"
)

// waitLogInterval is the interval between log lines of a replica that lacks records. It exceeds the time that fetching them
// usually takes.
const waitLogInterval = 5 * time.Second

// peerState tells what a replica that lacks records waits for at a peer.
type peerState string

const (
	peerPulled     peerState = "pulled"
	peerPulling    peerState = "pulling"
	peerIncomplete peerState = "incomplete"
	peerSilent     peerState = "silent"
)

// waitLog logs what a replica waits for while it lacks records for long. It is not safe for concurrent use.
type waitLog struct {
	replica *Replica
	nextAt  time.Time
}

// update is called periodically; waiting reports whether the replica lacks records or a place in its set.
func (w *waitLog) update(now time.Time, waiting bool) {
	switch {
	case !waiting:
		w.replica.setWaitingSince(time.Time{})
	case w.replica.waitingFor(now) == 0:
		w.replica.setWaitingSince(now)
		w.nextAt = now.Add(waitLogInterval)
	case now.After(w.nextAt):
		w.nextAt = now.Add(waitLogInterval)
		w.replica.logWaiting(now)
	}
}

func (r *Replica) setWaitingSince(since time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.waitingSince = since
}

// waitingFor returns how long this replica has lacked records or a place in its set; 0 if it doesn't.
func (r *Replica) waitingFor(now time.Time) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.waitingSince.IsZero() {
		return 0
	}
	return now.Sub(r.waitingSince)
}

func (r *Replica) logWaiting(now time.Time) {
	set := r.ReplicaSet()
	held := r.size()
	r.mutex.Lock()
	fetched := r.fetched
	r.mutex.Unlock()
	r.logger.Emit(events.ReplicaWaiting, append(fetched.logFields(), events.F("millis", r.waitingFor(now).Milliseconds()), events.F("epoch", set.Epoch),
		events.F("member", set.Has(r.options.Self.Name)), events.F("changing", set.Changing()), events.F("complete", r.folder.record().Complete),
		events.F("turns", held.turns), events.F("peers", r.peerStates()))...)
}

// peerStates returns the states of the other members by name.
func (r *Replica) peerStates() map[string]peerState {
	others := r.others()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	states := make(map[string]peerState, len(others))
	for _, member := range others {
		progress := r.peers[member.Name]
		switch {
		case progress == nil || time.Since(progress.lastResponseAt) > contactWindow:
			states[member.Name] = peerSilent
		case progress.caughtUpAt.IsZero():
			states[member.Name] = peerPulling
		case !progress.complete:
			states[member.Name] = peerIncomplete
		default:
			states[member.Name] = peerPulled
		}
	}
	return states
}

// fetchStats tells what fetching records has cost a replica since its start. Requests overlap, and so do writes, so each sum
// may exceed the time that has passed.
type fetchStats struct {
	records int
	// requests is the time spent on requests to peers; writes is the time until what they returned was synced.
	requests, writes time.Duration
}

func (s fetchStats) logFields() []events.Field {
	return []events.Field{
		events.F("fetched", s.records), events.F("fetch_millis", s.requests.Milliseconds()), events.F("write_millis", s.writes.Milliseconds()),
	}
}

func (r *Replica) countFetched(records int, request, write time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.fetched.records += records
	r.fetched.requests += request
	r.fetched.writes += write
}
