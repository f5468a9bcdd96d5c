package turnstore

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/mountstile/mountstile/internal/conversation"
	"github.com/mountstile/mountstile/internal/events"
)

const (
	// noShard is the shard of a replica that does not know the replica sets yet.
	noShard = -1
	// moveJitter bounds the random delay before a spare moves to a shard that lacks a member. The first spare to pull
	// there keeps the others away, so the jitter is several round trips long.
	moveJitter = 600 * time.Millisecond
)

// pendingMove is a shard that lacks a member and the time at which this replica moves there unless another spare does
// first.
type pendingMove struct {
	shard  int
	moveAt time.Time
}

// errWrongShard means that a set of one shard reached a replica of another.
type errWrongShard struct{}

// Error implements error.
func (errWrongShard) Error() string { return "the replica holds another shard" }

// restoreShard restores the shard assignment from the record in the data folder.
func (r *Replica) restoreShard(record folderRecord) {
	if record.ReplicaSet.Epoch == 0 {
		return
	}
	r.sets.apply(record.ReplicaSet)
	r.network.SetClusterID(r.sets.clusterID())
	r.set = record.ReplicaSet
	r.setAppliedAt = time.Now()
	r.shard = record.ReplicaSet.Shard
}

// assignFirstShard chooses a shard for a replica without one: the shard that lists it as a member, or else one by hash
// of its name, which spreads spares over all shards. It reports whether a shard was assigned. The caller holds the
// mutex.
func (r *Replica) assignFirstShard() bool {
	if r.shard != noShard {
		return false
	}
	set, found := r.sets.memberOf(r.options.Self.Name)
	if !found && !r.sets.allKnown() {
		return false
	}
	if !found {
		set = r.sets[shardOf(r.options.Self.Name, r.sets.shards())]
	}
	r.shard = set.Shard
	r.set = set
	return true
}

// updateShard persists this replica's shard assignment, and moves the replica if it belongs to another shard or another
// shard needs a spare.
func (r *Replica) updateShard(retiring bool) error {
	r.mutex.Lock()
	shard, own := r.shard, r.set
	home, member := r.sets.memberOf(r.options.Self.Name)
	r.mutex.Unlock()
	switch {
	case shard == noShard:
		return nil
	case member && home.Shard != shard:
		return r.moveToShard(home)
	case !r.folder.record().Assigned:
		return r.folder.saveShard(own)
	case member || retiring:
		return nil
	}
	if target, found := r.shardToJoin(own); found {
		return r.moveToShard(target)
	}
	return nil
}

// shardToJoin returns another shard that lacks a member, and whether this spare's jitter has passed so that it may move
// there.
func (r *Replica) shardToJoin(own ReplicaSet) (ReplicaSet, bool) {
	if r.needsSpare(own) || own.Changing() && own.ChangedBy == r.options.Self.Name {
		return ReplicaSet{}, false
	}
	for _, set := range r.otherSets(own.Shard) {
		if !r.needsSpare(set) || !r.hasQuorumContact(set) || r.hasPullingSpare(set) {
			continue
		}
		now := time.Now()
		if r.move.shard != set.Shard || now.Sub(r.move.moveAt) > moveJitter {
			r.move = pendingMove{shard: set.Shard, moveAt: now.Add(rand.N(moveJitter))}
		}
		return set, now.After(r.move.moveAt)
	}
	return ReplicaSet{}, false
}

// needsSpare reports whether a spare should become a member of a set.
func (r *Replica) needsSpare(set ReplicaSet) bool {
	if set.Changing() {
		return false
	}
	return len(set.Members) < set.Size || r.timedOutMember(set.Members) != "" || r.retiringMember(set.Members) != ""
}

// hasPullingSpare reports whether a live member of a set reports that another spare pulls from it.
func (r *Replica) hasPullingSpare(set ReplicaSet) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, member := range set.Members {
		if progress := r.peers[member.Name]; progress != nil && progress.sparePulling && !r.timedOut(member.Name) {
			return true
		}
	}
	return false
}

// moveToShard assigns this replica to another shard. It drops everything that it holds and starts the new shard empty.
func (r *Replica) moveToShard(set ReplicaSet) error {
	if err := r.folder.saveShard(set); err != nil {
		return errors.Wrapf(err, "moving to shard %d", set.Shard)
	}
	r.mutex.Lock()
	previous := r.shard
	r.shard, r.set = set.Shard, set
	r.state = conversation.New()
	r.emptySince = time.Now()
	r.handingOver = false
	r.pullingSpare = ""
	// Peers may have pulled from this replica before; a new incarnation makes them restart, since sequence numbers
	// start over.
	r.incarnation = uuid.NewString()
	r.resetPullProgress()
	r.mutex.Unlock()
	r.texts.clear()
	r.logger.Emit(events.ReplicaShardChanged, events.F("from", previous), events.F("shard", set.Shard), events.F("epoch", set.Epoch))
	r.triggerPull()
	return nil
}

// resetPullProgress discards what was pulled from each peer, but keeps the contact times. A pull in progress updates
// only the discarded entry. The caller holds the mutex.
func (r *Replica) resetPullProgress() {
	for name, progress := range r.peers {
		r.peers[name] = &peerProgress{lastResponseAt: progress.lastResponseAt, firstRequestAt: progress.firstRequestAt, lastRequestAt: progress.lastRequestAt}
	}
}

// otherSets returns the sets of all shards but one.
func (r *Replica) otherSets(shard int) []ReplicaSet {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var others []ReplicaSet
	for _, set := range r.sets.all() {
		if set.Shard != shard {
			others = append(others, set)
		}
	}
	return others
}

// isMember reports whether this replica is a member of any shard's set.
func (r *Replica) isMember() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, member := r.sets.memberOf(r.options.Self.Name)
	return member
}

// otherShardsLoop makes a spare send heartbeats to members of the shards that it does not hold, so that it notices
// which of them lack a member: there may be fewer spares than shards.
func (r *Replica) otherShardsLoop(ctx context.Context) {
	var tasks sync.WaitGroup
	defer tasks.Wait()
	ticker := time.NewTicker(pullInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if r.isMember() {
			continue
		}
		for _, set := range r.otherSets(r.ReplicaSet().Shard) {
			r.sendHeartbeats(ctx, &tasks, set)
		}
	}
}

func (r *Replica) sendHeartbeats(ctx context.Context, tasks *sync.WaitGroup, set ReplicaSet) {
	for _, member := range set.All() {
		progress := r.progressOf(member)
		if !r.setInFlight(progress, true) {
			continue
		}
		tasks.Add(1)
		go func() {
			defer tasks.Done()
			defer r.setInFlight(progress, false)
			r.sendHeartbeat(ctx, set.Shard, member)
		}()
	}
}
