package turnstore

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mountstile/mountstile/internal/configstore"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/transport"
)

const (
	// membershipInterval is how often a replica checks whether the set must change.
	membershipInterval = 200 * time.Millisecond
	// memberTimeout is how long a member must be silent before it is replaced, or before its unfinished change is
	// aborted.
	memberTimeout = 2500 * time.Millisecond
	// contactWindow is how recent a member's last response must be to count as contact. It exceeds the heartbeat
	// interval, and is so much shorter than memberTimeout that a partitioned replica notices its own partition before
	// it considers others lost.
	contactWindow = 1400 * time.Millisecond
	// storeTimeout bounds one call to the configuration store.
	storeTimeout = time.Second
	fenceTimeout = time.Second
)

// membershipLoop changes the replica set when this replica must join, leave or abort another's change.
func (r *Replica) membershipLoop(ctx context.Context) {
	state := newBootstrapState(time.Now())
	ticker := time.NewTicker(membershipInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.shardAssigned:
		case <-ticker.C:
		}
		if err := r.membershipStep(ctx, state); err != nil {
			r.logger.Emit(events.ReplicaSetStep, events.F("error", err), events.F("epoch", r.ReplicaSet().Epoch))
		}
	}
}

func (r *Replica) membershipStep(ctx context.Context, state *bootstrapState) error {
	self := r.options.Self.Name
	retiring := r.options.IsRetiring(self)
	for _, set := range r.otherSets(noShard) {
		r.updateContact(set)
	}
	if err := r.updateShard(retiring); err != nil {
		r.logger.Emit(events.ReplicaLogFailed, events.F("error", err))
	}
	set := r.ReplicaSet()
	if !retiring {
		r.resetRetirement()
	}
	switch {
	case set.Epoch == 0:
		return r.bootstrap(ctx, state)
	case retiring:
		return r.retire(ctx, set)
	case set.Changing() && set.ChangedBy == self && !contains(set.Next, self) && (set.isEviction() || !r.folder.record().Complete):
		return r.finishEviction(ctx, set)
	case set.Changing() && set.ChangedBy == self && !contains(set.Next, self):
		// This replica was leaving, but its retirement was withdrawn, or it restarted and does not know of it yet.
		return r.cancelRetirement(ctx, set)
	case set.Changing() && set.ChangedBy == self:
		return r.finishJoin(ctx, set)
	case set.Changing():
		return r.abortChange(ctx, set)
	case !set.Has(self):
		return r.join(ctx, set, state.startedAt)
	case r.addressChanged(set):
		return r.updateAddress(ctx, set)
	case r.emptyFor() > emptyMemberTimeout:
		return r.leave(ctx, set)
	}
	return nil
}

// join makes this replica a member once it has caught up: it replaces a lost or retiring member, or fills a vacancy. Until
// it has caught up, it only removes a lost member. A
// retiring member is replaced before it leaves, so that the set, and with it the fault tolerance, never shrinks.
func (r *Replica) join(ctx context.Context, set ReplicaSet, startedAt time.Time) error {
	r.mutex.Lock()
	ready := r.pulledReadQuorum(startedAt)
	r.mutex.Unlock()
	if r.quorumContactFor(set) == 0 {
		return nil
	}
	if !ready {
		return r.evict(ctx, set)
	}
	next := set.Members
	if timedOut := r.timedOutMember(set.Members); timedOut != "" && r.quorumContactFor(set) > memberTimeout {
		next = without(next, timedOut)
	} else if retiring := r.retiringMember(set.Members); retiring != "" && r.hasContactWithAll(set.Members) {
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

// retiringMember returns the name of a member that is being retired, or "".
func (r *Replica) retiringMember(members []Member) string {
	for _, member := range members {
		if r.options.IsRetiring(member.Name) {
			return member.Name
		}
	}
	return ""
}

// finishJoin completes this replica's change: it fences the old epoch, pulls what was written in it, then makes the new
// set the only one.
func (r *Replica) finishJoin(ctx context.Context, joint ReplicaSet) error {
	if !r.fence(ctx, joint) {
		return nil
	}
	fencedAt := time.Now()
	if !r.pullUntil(ctx, r.others(), func() bool { return r.pulledReadQuorum(fencedAt) }) {
		return nil
	}
	if err := r.folder.saveComplete(joint.Shard); err != nil {
		return err
	}
	r.logComplete()
	return r.replaceSet(ctx, joint, completedChange(joint))
}

func completedChange(joint ReplicaSet) ReplicaSet {
	final := joint
	final.Epoch++
	final.Members = joint.Next
	final.Next = nil
	final.ChangedBy = ""
	return final
}

// fence distributes a set to so many members that no write of an older epoch can reach a quorum.
func (r *Replica) fence(ctx context.Context, set ReplicaSet) bool {
	fenced, _ := r.fenceMembers(ctx, set)
	return set.HasReadQuorum(fenced)
}

// fenceMembers distributes a set to all members. It returns those that reject older epochs from now on and, of these,
// those that are complete. It does not wait for the members that leave once a read quorum and all members of Next have
// responded: they may be lost.
func (r *Replica) fenceMembers(ctx context.Context, set ReplicaSet) (fenced, complete map[string]bool) {
	type result struct {
		name             string
		fenced, complete bool
	}
	fenced, complete = make(map[string]bool), make(map[string]bool)
	if r.folder.saveSet(set) == nil {
		fenced[r.options.Self.Name] = true
		complete[r.options.Self.Name] = r.folder.record().Complete
	}
	members := without(set.All(), r.options.Self.Name)
	results := make(chan result, len(members))
	for _, member := range members {
		go func() {
			response, err := r.fenceMember(ctx, set, member)
			holds := err == nil && response.Epoch >= set.Epoch
			results <- result{name: member.Name, fenced: holds, complete: holds && response.Complete}
		}()
	}
	pending := without(set.Next, r.options.Self.Name)
	for range members {
		if len(pending) == 0 && set.HasReadQuorum(fenced) {
			break
		}
		answer := <-results
		fenced[answer.name], complete[answer.name] = answer.fenced, answer.complete
		pending = without(pending, answer.name)
	}
	return fenced, complete
}

func (r *Replica) fenceMember(ctx context.Context, set ReplicaSet, member Member) (fenceResponse, error) {
	callContext, cancel := context.WithTimeout(ctx, fenceTimeout)
	defer cancel()
	return transport.Call[fenceResponse](callContext, r.network, member.Peer(), fenceKind, fenceRequest{ReplicaSet: set})
}

// abortChange aborts a change whose initiator is lost. Writes made during the change were stored in the old set, too.
func (r *Replica) abortChange(ctx context.Context, set ReplicaSet) error {
	if set.isEviction() {
		return r.abortLateEviction(ctx, set)
	}
	r.mutex.Lock()
	timedOut := r.timedOut(set.ChangedBy)
	r.mutex.Unlock()
	if !timedOut || r.quorumContactFor(set) < memberTimeout {
		return nil
	}
	return r.replaceSet(ctx, set, abortedChange(set))
}

// abortedChange returns the set without its pending change.
func abortedChange(joint ReplicaSet) ReplicaSet {
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

// updateContact tracks since when this replica has had contact with a quorum. Without such contact it must not replace
// a member that seems lost: it may itself be partitioned from the others, although it reaches the store, or be
// reconnecting to them one by one.
func (r *Replica) updateContact(set ReplicaSet) {
	switch {
	case !r.hasQuorumContact(set):
		delete(r.quorumContactSince, set.Shard)
	case r.quorumContactSince[set.Shard].IsZero():
		r.quorumContactSince[set.Shard] = time.Now()
	}
}

// quorumContactFor returns how long this replica has had contact with a read quorum of a set; 0 if it has none.
func (r *Replica) quorumContactFor(set ReplicaSet) time.Duration {
	since := r.quorumContactSince[set.Shard]
	if since.IsZero() {
		return 0
	}
	return time.Since(since)
}

// hasQuorumContact reports whether a read quorum of members, counting this replica, responded recently.
func (r *Replica) hasQuorumContact(set ReplicaSet) bool {
	recent := map[string]bool{r.options.Self.Name: true}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for name, progress := range r.peers {
		if !progress.lastResponseAt.IsZero() && time.Since(progress.lastResponseAt) < contactWindow {
			recent[name] = true
		}
	}
	return set.HasReadQuorum(recent)
}

// hasContactWithAll reports whether all members responded recently. Only then may this replica take the place of a
// retiring member; otherwise its place is needed for the lost member.
func (r *Replica) hasContactWithAll(members []Member) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, member := range without(members, r.options.Self.Name) {
		progress := r.peers[member.Name]
		if progress == nil || time.Since(progress.lastResponseAt) > contactWindow {
			return false
		}
	}
	return true
}

// timedOutMember returns the name of a member that has timed out, or "".
func (r *Replica) timedOutMember(members []Member) string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, member := range members {
		if member.Name != r.options.Self.Name && r.timedOut(member.Name) {
			return member.Name
		}
	}
	return ""
}

// timedOut reports whether a peer has been silent for memberTimeout despite requests. The caller holds the mutex.
func (r *Replica) timedOut(name string) bool {
	progress := r.peers[name]
	if progress == nil || progress.appending > 0 || time.Since(progress.lastRequestAt) > memberTimeout {
		return false
	}
	lastContact := progress.lastResponseAt
	if progress.firstRequestAt.After(lastContact) {
		lastContact = progress.firstRequestAt
	}
	return time.Since(lastContact) > memberTimeout
}

// replaceSet writes a set if the store still has its predecessor.
func (r *Replica) replaceSet(ctx context.Context, old, next ReplicaSet) error {
	key := setKey(r.options.SetKey, old.Shard)
	entry, err := r.readStore(ctx, key)
	if err != nil {
		return err
	}
	var stored ReplicaSet
	if err := json.Unmarshal(entry.Value, &stored); err != nil {
		return errors.Wrap(err, "decoding the stored replica set")
	}
	if stored.Epoch != old.Epoch {
		r.ApplySet(stored)
		return errors.WithStack(&ErrSetChanged{Epoch: stored.Epoch})
	}
	if err := r.compareAndSwap(ctx, key, entry.Revision, next); err != nil {
		return err
	}
	r.ApplySet(next)
	return nil
}

// ErrSetChanged means that the store's replica set is not the one to be replaced; Epoch is the stored one.
type ErrSetChanged struct{ Epoch int64 }

// Error implements error.
func (*ErrSetChanged) Error() string {
	return "the replica set in the store is not the one to be replaced"
}

func (r *Replica) readStore(ctx context.Context, key string) (configstore.Entry, error) {
	callContext, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return r.options.Store.Get(callContext, key)
}

func (r *Replica) compareAndSwap(ctx context.Context, key string, revision int64, value any) error {
	encoded, err := json.Marshal(value)
	if err != nil {
		return errors.Wrap(err, key)
	}
	callContext, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return r.options.Store.CompareAndSwap(callContext, key, revision, []configstore.Write{{Key: key, Value: encoded}})
}
