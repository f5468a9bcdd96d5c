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
	// pullInterval is how often a replica asks another one what it has missed, and all whether they are there.
	pullInterval = time.Second
	// hastyPullInterval is the same for a replica that must have everything soon.
	hastyPullInterval = 100 * time.Millisecond
	pullTimeout       = 1500 * time.Millisecond
)

// peerProgress is how far this replica has pulled from another one.
type peerProgress struct {
	identity string
	sequence uint64
	// wholeAt is when everything that the peer had was here; zero if never.
	wholeAt time.Time
	// complete is what the peer said of itself then.
	complete bool
	// asking is true while a question of the pull loop is under way.
	asking bool
	// appending is true while this replica waits for its own disk with what the peer has sent.
	appending bool
	// heardAt is when the peer last answered; firstAskedAt when it was first asked.
	heardAt      time.Time
	firstAskedAt time.Time
	// followed tells that a spare pulls from the peer, as it said last.
	followed bool
	// askedAt is when the peer was last asked. One that was no member for a while was not asked either: its silence
	// counts from the next question.
	askedAt time.Time
}

// pullLoop pulls from other members again and again. It does not wait for their answers: one that is silent
// must not keep it from hearing the others.
func (r *Replica) pullLoop(ctx context.Context) {
	var tasks sync.WaitGroup
	defer tasks.Wait()
	for round := 0; ctx.Err() == nil; round++ {
		hasty := r.pullsHastily()
		r.beginRound(ctx, &tasks, round, hasty)
		if r.completeNow() {
			r.finishCatchUp()
		}
		interval := pullInterval
		if hasty {
			interval = hastyPullInterval
		}
		select {
		case <-ctx.Done():
		case <-r.setNews:
		case <-time.After(interval):
		}
	}
}

// pullsHastily tells whether this replica needs everything soon: it is not complete, or it is no
// member and the set has a place for it.
func (r *Replica) pullsHastily() bool {
	if !r.folder.record().Complete {
		return true
	}
	set := r.ReplicaSet()
	if set.Has(r.options.Self.Name) {
		return false
	}
	return len(set.Members) < set.Size || r.silentMember(set.Members) != "" || r.retiringMember(set.Members) != ""
}

func (r *Replica) others() []Member { return without(r.ReplicaSet().All(), r.options.Self.Name) }

// pullAll pulls from all others and returns when all have answered or failed.
func (r *Replica) pullAll(ctx context.Context) {
	var tasks sync.WaitGroup
	for _, member := range r.others() {
		tasks.Add(1)
		go func() {
			defer tasks.Done()
			r.pullFrom(ctx, member)
		}()
	}
	tasks.Wait()
}

// beginRound pulls from all others in haste; or else from one, and only asks the rest whether they are there.
// Those that have not answered yet are left out.
func (r *Replica) beginRound(ctx context.Context, tasks *sync.WaitGroup, round int, hasty bool) {
	others := r.others()
	if len(others) == 0 {
		return
	}
	source := r.source(others, round)
	shard := r.ReplicaSet().Shard
	for _, member := range others {
		progress := r.progressOf(member)
		if !r.setAsking(progress, true) {
			continue
		}
		tasks.Add(1)
		go func() {
			defer tasks.Done()
			defer r.setAsking(progress, false)
			if hasty || member.Name == source.Name {
				r.pullFrom(ctx, member)
			} else {
				r.checkPresence(ctx, shard, member)
			}
		}()
	}
}

// setAsking reports whether that changed anything.
func (r *Replica) setAsking(progress *peerProgress, asking bool) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	changed := progress.asking != asking
	progress.asking = asking
	return changed
}

// source is the one to pull from. A member takes the others in turn, for each has nearly everything anyway;
// a spare takes the nearest one, which costs no traffic between zones.
func (r *Replica) source(others []Member, round int) Member {
	if r.ReplicaSet().Has(r.options.Self.Name) {
		return others[round%len(others)]
	}
	return r.nearest(others)
}

// nearest is the first member of this replica's zone that is not silent, or else any.
func (r *Replica) nearest(members []Member) Member {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, member := range members {
		if member.Zone == r.options.Self.Zone && !r.silent(member.Name) {
			return member
		}
	}
	return members[0]
}

// checkPresence asks a member whether it is there.
func (r *Replica) checkPresence(ctx context.Context, shard int, member Member) {
	progress := r.progressOf(member)
	answer, err := r.askDigest(ctx, shard, member, progress, true)
	if err != nil {
		return
	}
	if answer.ReplicaSet != nil {
		r.ApplySet(*answer.ReplicaSet)
	}
}

// pullFrom fetches what the peer has and this replica has not.
func (r *Replica) pullFrom(ctx context.Context, member Member) {
	shard := r.ReplicaSet().Shard
	progress := r.progressOf(member)
	for ctx.Err() == nil {
		asked := time.Now()
		answer, err := r.askDigest(ctx, shard, member, progress, false)
		if err != nil {
			return
		}
		if answer.ReplicaSet != nil {
			r.ApplySet(*answer.ReplicaSet)
		}
		if !r.fetch(ctx, member, progress, r.missing(answer.Keys)) {
			return
		}
		reachedEnd := len(answer.Keys) < digestKeys
		r.mutex.Lock()
		progress.identity = answer.Identity
		progress.sequence = answer.Sequence
		if reachedEnd {
			progress.wholeAt = asked
			progress.complete = answer.Complete
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
	known := r.peers[member.Name]
	if known == nil {
		known = &peerProgress{}
		r.peers[member.Name] = known
	}
	if now.Sub(known.askedAt) > silentAfter {
		known.firstAskedAt = now
	}
	known.askedAt = now
	return known
}

func (r *Replica) askDigest(ctx context.Context, shard int, member Member, progress *peerProgress, presence bool) (digestAnswer, error) {
	r.mutex.Lock()
	request := digestRequest{From: r.options.Self.Name, Shard: shard, Epoch: r.sets[shard].Epoch, Identity: progress.identity, After: progress.sequence, Presence: presence}
	r.mutex.Unlock()
	callContext, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	answer, err := transport.Call[digestAnswer](callContext, r.network, member.Address, digestKind, request)
	if err == nil {
		r.noteHeard(progress)
		r.noteFollowed(progress, answer.Followed)
	}
	return answer, err
}

// noteHeard notes that a peer has answered, before anything is done with the answer: while this replica waits for its own
// disk, it must not take the peer for silent.
func (r *Replica) noteHeard(progress *peerProgress) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	progress.heardAt = time.Now()
}

func (r *Replica) noteFollowed(progress *peerProgress, followed bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	progress.followed = followed
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

// fetch reports whether all that was asked for is here and synced.
func (r *Replica) fetch(ctx context.Context, member Member, progress *peerProgress, keys []conversation.Key) bool {
	for len(keys) > 0 {
		batch := keys[:min(len(keys), fetchKeys)]
		keys = keys[len(batch):]
		callContext, cancel := context.WithTimeout(ctx, pullTimeout)
		answer, err := transport.Call[fetchAnswer](callContext, r.network, member.Address, fetchKind, fetchRequest{Keys: batch})
		cancel()
		if err != nil {
			return false
		}
		r.noteHeard(progress)
		if r.appendPulled(ctx, progress, answer.Records) != nil {
			return false
		}
	}
	return true
}

// appendPulled writes what came from a peer. The peer is not asked meanwhile, so its silence counts from the end on.
func (r *Replica) appendPulled(ctx context.Context, progress *peerProgress, records []conversation.Record) error {
	r.setAppending(progress, true)
	defer r.setAppending(progress, false)
	return r.append(ctx, records)
}

func (r *Replica) setAppending(progress *peerProgress, appending bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	progress.appending = appending
	progress.firstAskedAt = time.Now()
}

// completeNow tells whether an incomplete replica has all that was ever written: all that so many
// complete members hold that each record is with one of them, or all that anybody holds.
func (r *Replica) completeNow() bool {
	if r.folder.record().Complete {
		return false
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.set.Epoch == 0 {
		return false
	}
	return r.pulledEnough(time.Time{})
}

// pulledEnough is the same for what was pulled after a point in time. While the set changes, each record that counts
// as written lies on enough of the members that stand, so those that are to come need not be asked: one of
// them may be lost, and one may be this replica itself. The caller holds the mutex.
func (r *Replica) pulledEnough(after time.Time) bool {
	whole := make(map[string]bool)
	anybody := make(map[string]bool)
	for name, progress := range r.peers {
		if progress.wholeAt.IsZero() || !progress.wholeAt.After(after) {
			continue
		}
		anybody[name] = true
		if progress.complete {
			whole[name] = true
		}
	}
	if count(r.set.Members, whole) >= r.set.reads(r.set.Members) {
		return true
	}
	// The only member has nobody to ask: what it does not hold is nowhere.
	others := without(r.set.All(), r.options.Self.Name)
	return count(others, anybody) == len(others)
}

func (r *Replica) finishCatchUp() {
	if err := r.folder.saveComplete(); err != nil {
		r.logger.Emit(events.ReplicaLogFailed, events.F("error", err))
		return
	}
	held := r.size()
	r.logger.Emit(events.ReplicaComplete, events.F("turns", held.turns), events.F("programs", held.programs), events.F("bytes", r.texts.size()))
}
