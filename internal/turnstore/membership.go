package turnstore

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mountstile/mountstile/internal/configstore"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/transport"
)

const (
	// membershipInterval is how often a replica looks whether the set must change.
	membershipInterval = 200 * time.Millisecond
	// silentAfter is how long a member must be silent before a newcomer takes its place, or its
	// unfinished change is taken back.
	silentAfter = 2500 * time.Millisecond
	// touchWithin is how old the last word of a member may be that counts as heard. It is more than the time between
	// two questions, and so much less than silentAfter that a replica which is cut off knows that before it
	// takes others for silent.
	touchWithin = 1400 * time.Millisecond
	// storeTimeout bounds one call of the store.
	storeTimeout = time.Second
	// candidatesSettle is how long the list of candidates must rest before the first set is made.
	candidatesSettle = 800 * time.Millisecond
	// candidatesPatience is how long a list that is too short is waited for.
	candidatesPatience = 4 * time.Second
	// firstSetsInterval is how often the first sets are tried to be made.
	firstSetsInterval = time.Second
	fenceTimeout      = time.Second
)

// bootstrapState is what a replica has seen of the candidates.
type bootstrapState struct {
	startedAt time.Time
	changedAt time.Time
	count     int
	// nextTryAt is when the first sets may be tried to be made again.
	nextTryAt time.Time
}

// membershipLoop changes the replica set when this replica must join, leave or take back a change.
func (r *Replica) membershipLoop(ctx context.Context) {
	now := time.Now()
	start := &bootstrapState{startedAt: now, changedAt: now}
	ticker := time.NewTicker(membershipInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if err := r.membershipStep(ctx, start); err != nil {
			r.logger.Emit(events.ReplicaSetStep, events.F("error", err), events.F("epoch", r.ReplicaSet().Epoch))
		}
	}
}

func (r *Replica) membershipStep(ctx context.Context, start *bootstrapState) error {
	self := r.options.Self.Name
	retiring := r.options.IsRetiring(self)
	for _, set := range r.otherSets(noShard) {
		r.noteTouch(set)
	}
	if err := r.keepShard(retiring); err != nil {
		r.logger.Emit(events.ReplicaLogFailed, events.F("error", err))
	}
	set := r.ReplicaSet()
	if !retiring {
		r.takePartAgain()
	}
	switch {
	case set.Epoch == 0:
		if !r.options.FirstStart {
			return nil
		}
		return r.bootstrap(ctx, start)
	case retiring:
		return r.retire(ctx, set)
	case set.Changing() && set.ChangedBy == self && !contains(set.Next, self):
		// This replica was leaving, and is not to any more, or has not heard of it again since it started.
		return r.stay(ctx, set)
	case set.Changing() && set.ChangedBy == self:
		return r.finishJoin(ctx, set)
	case set.Changing():
		return r.takeBack(ctx, set)
	case !set.Has(self):
		return r.join(ctx, set, start.startedAt)
	case r.addressChanged(set):
		return r.updateAddress(ctx, set)
	}
	return nil
}

// bootstrap makes the first sets from all replicas that have started with the system. Each writes a key of its own, and
// hears of the others as of all else in the store: thirty-six that changed one list took 7.8 s, for each change
// made most of the others' tries fail.
func (r *Replica) bootstrap(ctx context.Context, start *bootstrapState) error {
	now := time.Now()
	listed := r.listCandidates()
	if !contains(listed, r.options.Self.Name) {
		return r.becomeCandidate(ctx)
	}
	if len(listed) != start.count {
		start.count = len(listed)
		start.changedAt = now
	}
	if now.Before(start.nextTryAt) || !r.mayBootstrap(now, start, listed) {
		return nil
	}
	start.nextTryAt = now.Add(firstSetsInterval)
	return r.makeFirstSets(ctx, listed)
}

// ApplyCandidate hears of a replica that has started with the system.
func (r *Replica) ApplyCandidate(candidate Member) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.candidates[candidate.Name] = candidate
}

// listCandidates returns the known candidates in the order of their names.
func (r *Replica) listCandidates() []Member {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	listed := slices.Collect(maps.Values(r.candidates))
	slices.SortFunc(listed, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return listed
}

// becomeCandidate writes this replica's key, unless an earlier try did that whose answer was lost.
func (r *Replica) becomeCandidate(ctx context.Context) error {
	err := r.swap(ctx, r.options.CandidatesKey+"/"+r.options.Self.Name, 0, r.options.Self)
	var conflict *configstore.ErrConflict
	if err != nil && !errors.As(err, &conflict) {
		return err
	}
	r.ApplyCandidate(r.options.Self)
	return nil
}

// makeFirstSets writes the sets of all shards in one change, unless somebody has.
func (r *Replica) makeFirstSets(ctx context.Context, listed []Member) error {
	var writes []configstore.Write
	for _, set := range firstSets(listed, r.options.Size, r.options.Copies) {
		encoded, err := json.Marshal(set)
		if err != nil {
			return errors.Wrap(err, "replica set")
		}
		writes = append(writes, configstore.Write{Key: setKey(r.options.SetKey, set.Shard), Value: encoded})
	}
	callContext, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return r.options.Store.CompareAndSwap(callContext, r.options.SetKey, 0, writes)
}

// mayBootstrap leaves the first set to the first candidate, as long as that one may be alive.
func (r *Replica) mayBootstrap(now time.Time, start *bootstrapState, members []Member) bool {
	rested := now.Sub(start.changedAt)
	if len(members) < r.options.Copies || rested < candidatesSettle {
		return false
	}
	if len(members) == r.options.Copies && now.Sub(start.startedAt) < candidatesPatience {
		return false
	}
	return members[0].Name == r.options.Self.Name || rested > candidatesPatience
}

// join makes this replica a member once it has everything: in the place of a silent member or of one that is to be
// emptied, or to fill the set. Without the second, the set had a member less between the leaving and the joining, and two
// losses that five members bear stopped all turns.
func (r *Replica) join(ctx context.Context, set ReplicaSet, startedAt time.Time) error {
	r.mutex.Lock()
	ready := r.pulledEnough(startedAt)
	r.mutex.Unlock()
	if !ready || r.inTouchFor(set) == 0 {
		return nil
	}
	next := set.Members
	if silent := r.silentMember(set.Members); silent != "" && r.inTouchFor(set) > silentAfter {
		next = without(next, silent)
	} else if retiring := r.retiringMember(set.Members); retiring != "" && r.hearsAll(set.Members) {
		next = without(next, retiring)
	} else if len(set.Members) >= set.Size {
		return nil
	}
	next = append(append([]Member(nil), next...), r.options.Self)
	joint := set
	joint.Epoch++
	joint.Next = next
	joint.ChangedBy = r.options.Self.Name
	if err := r.replaceSet(ctx, set, joint); err != nil {
		return err
	}
	return r.finishJoin(ctx, joint)
}

// retiringMember returns a member that is to be emptied.
func (r *Replica) retiringMember(members []Member) string {
	for _, member := range members {
		if r.options.IsRetiring(member.Name) {
			return member.Name
		}
	}
	return ""
}

// finishJoin brings a change of ours to its end: no replica takes part in the old epoch any more,
// then what was written in it is pulled, then the new set stands alone.
func (r *Replica) finishJoin(ctx context.Context, joint ReplicaSet) error {
	if !r.fence(ctx, joint) {
		return nil
	}
	fencedAt := time.Now()
	r.pullAll(ctx)
	r.mutex.Lock()
	ready := r.pulledEnough(fencedAt)
	r.mutex.Unlock()
	if !ready {
		return nil
	}
	if err := r.folder.saveComplete(); err != nil {
		return err
	}
	return r.replaceSet(ctx, joint, finished(joint))
}

func finished(joint ReplicaSet) ReplicaSet {
	final := joint
	final.Epoch++
	final.Members = joint.Next
	final.Next = nil
	final.ChangedBy = ""
	return final
}

// fence makes so many members know the set that no write of an older epoch can succeed.
func (r *Replica) fence(ctx context.Context, set ReplicaSet) bool {
	fenced := map[string]bool{}
	if r.folder.saveSet(set) == nil {
		fenced[r.options.Self.Name] = true
	}
	for _, member := range without(set.All(), r.options.Self.Name) {
		callContext, cancel := context.WithTimeout(ctx, fenceTimeout)
		answer, err := transport.Call[fenceAnswer](callContext, r.network, member.Address, fenceKind, fenceRequest{ReplicaSet: set})
		cancel()
		if err == nil && answer.Epoch >= set.Epoch {
			fenced[member.Name] = true
		}
	}
	return set.Read(fenced)
}

// takeBack ends a change whose replica has gone silent; what was written meanwhile counts in the
// old set, too.
func (r *Replica) takeBack(ctx context.Context, set ReplicaSet) error {
	r.mutex.Lock()
	silent := r.silent(set.ChangedBy)
	r.mutex.Unlock()
	if !silent || r.inTouchFor(set) < silentAfter {
		return nil
	}
	return r.replaceSet(ctx, set, takenBack(set))
}

// takenBack is the set without the change that is under way.
func takenBack(joint ReplicaSet) ReplicaSet {
	old := joint
	old.Epoch++
	old.Next = nil
	old.ChangedBy = ""
	return old
}

func (r *Replica) addressChanged(set ReplicaSet) bool {
	for _, member := range set.Members {
		if member.Name == r.options.Self.Name {
			return member.Address != r.options.Self.Address
		}
	}
	return false
}

func (r *Replica) updateAddress(ctx context.Context, set ReplicaSet) error {
	next := set
	next.Epoch++
	next.Members = append(without(set.Members, r.options.Self.Name), r.options.Self)
	return r.replaceSet(ctx, set, next)
}

// noteTouch keeps since when this replica has heard enough members. A replica for which others are silent may be
// the one that is cut off, while it still reaches the store, or one whose ways are just coming back, one by
// one. It must not take anybody's place then.
func (r *Replica) noteTouch(set ReplicaSet) {
	switch {
	case !r.hearsEnough(set):
		delete(r.inTouchSince, set.Shard)
	case r.inTouchSince[set.Shard].IsZero():
		r.inTouchSince[set.Shard] = time.Now()
	}
}

// inTouchFor is for how long this replica has heard enough members of a set; 0 if it does not.
func (r *Replica) inTouchFor(set ReplicaSet) time.Duration {
	since := r.inTouchSince[set.Shard]
	if since.IsZero() {
		return 0
	}
	return time.Since(since)
}

// hearsEnough tells whether so many members were heard of late that a read would succeed.
func (r *Replica) hearsEnough(set ReplicaSet) bool {
	heard := map[string]bool{r.options.Self.Name: true}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for name, progress := range r.peers {
		if !progress.heardAt.IsZero() && time.Since(progress.heardAt) < touchWithin {
			heard[name] = true
		}
	}
	return set.Read(heard)
}

// hearsAll tells whether all members were heard of late. The place of one that may be lost is more urgent to take than that
// of one which is still there.
func (r *Replica) hearsAll(members []Member) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, member := range without(members, r.options.Self.Name) {
		progress := r.peers[member.Name]
		if progress == nil || time.Since(progress.heardAt) > touchWithin {
			return false
		}
	}
	return true
}

// silentMember returns a member that has not been heard for long.
func (r *Replica) silentMember(members []Member) string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, member := range members {
		if member.Name != r.options.Self.Name && r.silent(member.Name) {
			return member.Name
		}
	}
	return ""
}

// silent needs the mutex.
func (r *Replica) silent(name string) bool {
	progress := r.peers[name]
	if progress == nil || progress.appending || time.Since(progress.askedAt) > silentAfter {
		return false
	}
	last := progress.heardAt
	if progress.firstAskedAt.After(last) {
		last = progress.firstAskedAt
	}
	return time.Since(last) > silentAfter
}

// replaceSet writes a set if the store still has the one that it follows.
func (r *Replica) replaceSet(ctx context.Context, old, next ReplicaSet) error {
	key := setKey(r.options.SetKey, old.Shard)
	entry, err := r.get(ctx, key)
	if err != nil {
		return err
	}
	var stored ReplicaSet
	if err := json.Unmarshal(entry.Value, &stored); err != nil {
		return errors.Wrap(err, "replica set")
	}
	if stored.Epoch != old.Epoch {
		r.ApplySet(stored)
		return errors.WithStack(&ErrSetChanged{Epoch: stored.Epoch})
	}
	if err := r.swap(ctx, key, entry.Revision, next); err != nil {
		return err
	}
	r.ApplySet(next)
	return nil
}

// ErrSetChanged means that the replica set in the store is not the one that was to be replaced.
type ErrSetChanged struct{ Epoch int64 }

// Error implements error.
func (*ErrSetChanged) Error() string { return "the replica set has changed" }

func (r *Replica) get(ctx context.Context, key string) (configstore.Entry, error) {
	callContext, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return r.options.Store.Get(callContext, key)
}

func (r *Replica) swap(ctx context.Context, key string, revision int64, value any) error {
	encoded, err := json.Marshal(value)
	if err != nil {
		return errors.Wrap(err, key)
	}
	callContext, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return r.options.Store.CompareAndSwap(callContext, key, revision, []configstore.Write{{Key: key, Value: encoded}})
}
