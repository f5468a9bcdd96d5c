package turnstore

import (
	"context"
	"sync"
	"time"

	"github.com/mountstile/mountstile/internal/conversation"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/transport"
)

const (
	// pullInterval is how often a replica pulls from one peer and sends heartbeats to the others.
	pullInterval = time.Second
	// fastPullInterval is the interval for a replica that must catch up soon.
	fastPullInterval = 100 * time.Millisecond
	pullTimeout      = 1500 * time.Millisecond
)

// peerProgress tracks contact with a peer and how far this replica has pulled from it.
type peerProgress struct {
	incarnation string
	sequence    uint64
	// caughtUpAt is when the last pull that reached the peer's newest record was requested; zero if none has.
	caughtUpAt time.Time
	// complete is whether the peer was complete at caughtUpAt.
	complete bool
	// inFlight is set while a request of the pull loop is pending.
	inFlight bool
	// appending counts the batches of pulled records that wait for this replica's own disk.
	appending int
	// fetchLimit is how many records to request from the peer at once; 0 before the first response.
	fetchLimit int
	// lastResponseAt is when the peer last responded; firstRequestAt is the start of the current series of requests.
	lastResponseAt time.Time
	firstRequestAt time.Time
	// reportedComplete is whether the peer last reported that it is complete, in a pull or a heartbeat.
	reportedComplete bool
	// sparePulling is whether the peer last reported that a spare pulls from it.
	sparePulling bool
	// lastRequestAt is when the peer was last contacted. A former member is not contacted, so its silence counts only
	// from the next request.
	lastRequestAt time.Time
}

// pullLoop pulls from other members periodically. It does not wait for responses, so that a silent member doesn't delay
// contact with the others.
func (r *Replica) pullLoop(ctx context.Context) {
	var tasks sync.WaitGroup
	defer tasks.Wait()
	waiting := waitLog{replica: r}
	for round := 0; ctx.Err() == nil; round++ {
		fast := r.needsFastPull()
		waiting.update(time.Now(), fast)
		r.startRound(ctx, &tasks, round, fast)
		if shard, done := r.caughtUpShard(); done {
			r.finishCatchUp(shard)
		}
		interval := pullInterval
		if fast {
			interval = fastPullInterval
		}
		select {
		case <-ctx.Done():
		case <-r.pullNow:
		case <-time.After(interval):
		}
	}
}

// needsFastPull reports whether this replica must catch up soon: it is incomplete, or it is a spare and the set has a
// place for it.
func (r *Replica) needsFastPull() bool {
	if !r.folder.record().Complete {
		return true
	}
	set := r.ReplicaSet()
	if set.Has(r.options.Self.Name) {
		return false
	}
	return len(set.Members) < set.Size || r.timedOutMember(set.Members) != "" || r.retiringMember(set.Members) != ""
}

func (r *Replica) others() []Member { return without(r.ReplicaSet().All(), r.options.Self.Name) }

// pullUntil pulls from the given members at once until enough, which is called with the mutex locked, holds, and reports
// whether it does. It does not wait for further members, which may be lost.
func (r *Replica) pullUntil(ctx context.Context, members []Member, enough func() bool) bool {
	pullContext, cancel := context.WithCancel(ctx)
	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer cancel()
	pulled := make(chan struct{}, len(members))
	for _, member := range members {
		tasks.Add(1)
		go func() {
			defer tasks.Done()
			r.pullFrom(pullContext, member)
			pulled <- struct{}{}
		}()
	}
	for pending := len(members); ; pending-- {
		r.mutex.Lock()
		done := enough()
		r.mutex.Unlock()
		if done || pending == 0 {
			return done
		}
		<-pulled
	}
}

// startRound pulls from all other members if fast is set, or else from one, and sends heartbeats to the rest. Members
// with a pending request are skipped.
func (r *Replica) startRound(ctx context.Context, tasks *sync.WaitGroup, round int, fast bool) {
	others := r.others()
	if len(others) == 0 {
		return
	}
	pullSource := r.pullSource(others, round)
	shard := r.ReplicaSet().Shard
	for _, member := range others {
		progress := r.progressOf(member)
		if !r.setInFlight(progress, true) {
			continue
		}
		tasks.Add(1)
		go func() {
			defer tasks.Done()
			defer r.setInFlight(progress, false)
			if fast || member.Name == pullSource.Name {
				r.pullFrom(ctx, member)
			} else {
				r.sendHeartbeat(ctx, shard, member)
			}
		}()
	}
}

// setInFlight sets progress.inFlight and reports whether it changed.
func (r *Replica) setInFlight(progress *peerProgress, inFlight bool) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	changed := progress.inFlight != inFlight
	progress.inFlight = inFlight
	return changed
}

// pullSource returns the peer to pull from. A member pulls from the others in rotation, since each has nearly all
// records anyway; a spare pulls from the nearest member, which saves traffic between zones.
func (r *Replica) pullSource(others []Member, round int) Member {
	if r.ReplicaSet().Has(r.options.Self.Name) {
		return others[round%len(others)]
	}
	return r.nearest(others)
}

// nearest returns the first member of this replica's zone that has not timed out, or else the first member
// of any zone.
func (r *Replica) nearest(members []Member) Member {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, member := range members {
		if member.Zone == r.options.Self.Zone && !r.timedOut(member.Name) {
			return member
		}
	}
	return members[0]
}

// sendHeartbeat checks whether a member is alive.
func (r *Replica) sendHeartbeat(ctx context.Context, shard int, member Member) {
	progress := r.progressOf(member)
	response, err := r.requestDigest(ctx, shard, member, progress, true)
	if err != nil {
		return
	}
	if response.ReplicaSet != nil {
		r.ApplySet(*response.ReplicaSet)
	}
}

// pullFrom fetches the records that the peer has and this replica lacks.
func (r *Replica) pullFrom(ctx context.Context, member Member) {
	shard := r.ReplicaSet().Shard
	progress := r.progressOf(member)
	for ctx.Err() == nil {
		requestedAt := time.Now()
		response, err := r.requestDigest(ctx, shard, member, progress, false)
		if err != nil {
			return
		}
		if response.ReplicaSet != nil {
			r.ApplySet(*response.ReplicaSet)
		}
		if !r.fetch(ctx, member, response.Incarnation, progress, r.missing(response.Keys)) {
			return
		}
		reachedEnd := len(response.Keys) < digestKeys
		r.mutex.Lock()
		progress.incarnation = response.Incarnation
		progress.sequence = response.Sequence
		// Pulls from one peer may overlap.
		if reachedEnd && requestedAt.After(progress.caughtUpAt) {
			progress.caughtUpAt = requestedAt
			progress.complete = response.Complete
		}
		r.mutex.Unlock()
		if reachedEnd {
			return
		}
	}
}

func (r *Replica) progressOf(member Member) *peerProgress {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := time.Now()
	progress := r.peers[member.Name]
	if progress == nil {
		progress = &peerProgress{}
		r.peers[member.Name] = progress
	}
	if now.Sub(progress.lastRequestAt) > memberTimeout {
		progress.firstRequestAt = now
	}
	progress.lastRequestAt = now
	return progress
}

func (r *Replica) requestDigest(ctx context.Context, shard int, member Member, progress *peerProgress, heartbeat bool) (digestResponse, error) {
	r.mutex.Lock()
	request := digestRequest{From: r.options.Self.Name, Shard: shard, Epoch: r.sets[shard].Epoch, Incarnation: progress.incarnation, After: progress.sequence, Heartbeat: heartbeat}
	r.mutex.Unlock()
	callContext, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	response, err := transport.Call[digestResponse](callContext, r.network, member.Peer(), digestKind, request)
	if err == nil {
		r.recordResponse(progress)
		r.recordReport(progress, response)
	}
	return response, err
}

// recordResponse notes a peer's response before it is processed: while this replica waits for its own disk, the peer
// must not time out.
func (r *Replica) recordResponse(progress *peerProgress) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	progress.lastResponseAt = time.Now()
}

// recordReport notes what a peer says of itself.
func (r *Replica) recordReport(progress *peerProgress, response digestResponse) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	progress.sparePulling = response.SparePulling
	progress.reportedComplete = response.Complete
}

func (r *Replica) missing(keys []conversation.Key) []conversation.Key {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var missing []conversation.Key
	for _, key := range keys {
		if !r.state.Has(key) {
			missing = append(missing, key)
		}
	}
	return missing
}

// caughtUpShard reports whether an incomplete replica now holds every acknowledged record of its shard: it has pulled from
// a read quorum of complete members, or from all members, after the acknowledgements that it gave before it lost its
// records have expired.
func (r *Replica) caughtUpShard() (shard int, caughtUp bool) {
	if r.folder.record().Complete {
		return noShard, false
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.set.Epoch == 0 {
		return noShard, false
	}
	return r.shard, r.pulledReadQuorum(r.emptySince.Add(ackLifetime))
}

// pulledReadQuorum reports whether this replica has pulled from a read quorum of complete members, or from all members,
// in pulls that were requested after since. During a change, each acknowledged record is on enough of the current
// members, so the next members need not be contacted: one of them may be lost, and one may be this replica itself. The
// caller holds the mutex.
func (r *Replica) pulledReadQuorum(since time.Time) bool {
	completePeers := make(map[string]bool)
	pulledPeers := make(map[string]bool)
	for name, progress := range r.peers {
		if progress.caughtUpAt.IsZero() || !progress.caughtUpAt.After(since) {
			continue
		}
		pulledPeers[name] = true
		if progress.complete {
			completePeers[name] = true
		}
	}
	if count(r.set.Members, completePeers) >= r.set.readQuorum(r.set.Members) {
		return true
	}
	// A sole member has no peer to pull from: what it lacks is lost.
	others := without(r.set.All(), r.options.Self.Name)
	return count(others, pulledPeers) == len(others)
}

func (r *Replica) finishCatchUp(shard int) {
	if err := r.folder.saveComplete(shard); err != nil {
		r.logger.Emit(events.ReplicaLogFailed, events.F("error", err))
		return
	}
	r.logComplete()
}

func (r *Replica) logComplete() {
	held := r.size()
	r.mutex.Lock()
	emptySince, fetched := r.emptySince, r.fetched
	r.mutex.Unlock()
	r.logger.Emit(events.ReplicaComplete, append(fetched.logFields(), events.F("turns", held.turns), events.F("programs", held.programs), events.F("bytes", r.texts.size()),
		events.F("millis", time.Since(emptySince).Milliseconds()))...)
}
