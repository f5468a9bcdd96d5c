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
	// noShard stands for the shard of a replica that has not heard of the replica sets yet.
	noShard = -1
	// moveSpread is within which spares that see the same need decide by chance who moves: the first one that pulls keeps the
	// others away. It is a few times as long as a question and its answer take on a busy machine.
	moveSpread = 600 * time.Millisecond
)

// shardNeed is a shard that lacks a member, and when this replica moves there unless another one does.
type shardNeed struct {
	shard  int
	moveAt time.Time
}

// errOtherShard means that what belongs to one shard met a replica of another.
type errOtherShard struct{}

// Error implements error.
func (errOtherShard) Error() string { return "the replica holds another shard" }

// restoreShard takes up the shard that the folder names.
func (r *Replica) restoreShard(record folderRecord) {
	if record.ReplicaSet.Epoch == 0 {
		return
	}
	r.sets.apply(record.ReplicaSet)
	r.set = record.ReplicaSet
	r.shard = record.ReplicaSet.Shard
}

// takeFirstShard chooses a shard for a replica that has none: the one that has it as a member, or else any, so that spares
// are spread over all. It reports whether there is one now. The caller holds the mutex.
func (r *Replica) takeFirstShard() bool {
	if r.shard != noShard {
		return false
	}
	set, found := r.sets.memberOf(r.options.Self.Name)
	if !found && !r.sets.whole() {
		return false
	}
	if !found {
		set = r.sets[shardOf(r.options.Self.Name, r.sets.shards())]
	}
	r.shard = set.Shard
	r.set = set
	return true
}

// keepShard writes down which shard this replica holds, and moves it if it is to hold another one.
func (r *Replica) keepShard(retiring bool) error {
	r.mutex.Lock()
	shard, own := r.shard, r.set
	home, member := r.sets.memberOf(r.options.Self.Name)
	r.mutex.Unlock()
	switch {
	case shard == noShard:
		return nil
	case member && home.Shard != shard:
		return r.moveTo(home)
	case !r.folder.record().Assigned:
		return r.folder.saveShard(own)
	case member || retiring:
		return nil
	}
	if need, found := r.shardInNeed(own); found {
		return r.moveTo(need)
	}
	return nil
}

// shardInNeed returns another shard that lacks a member, once it is this spare's turn to go there.
func (r *Replica) shardInNeed(own ReplicaSet) (ReplicaSet, bool) {
	if r.lacksMember(own) {
		return ReplicaSet{}, false
	}
	for _, set := range r.otherSets(own.Shard) {
		if !r.lacksMember(set) || !r.hearsEnough(set) || r.isFollowed(set) {
			continue
		}
		now := time.Now()
		if r.need.shard != set.Shard || now.Sub(r.need.moveAt) > moveSpread {
			r.need = shardNeed{shard: set.Shard, moveAt: now.Add(rand.N(moveSpread))}
		}
		return set, now.After(r.need.moveAt)
	}
	return ReplicaSet{}, false
}

// lacksMember tells whether a spare is to take a place in a set.
func (r *Replica) lacksMember(set ReplicaSet) bool {
	if set.Changing() {
		return false
	}
	return len(set.Members) < set.Size || r.silentMember(set.Members) != "" || r.retiringMember(set.Members) != ""
}

// isFollowed tells whether a member has said that another spare pulls from it.
func (r *Replica) isFollowed(set ReplicaSet) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, member := range set.Members {
		if progress := r.peers[member.Name]; progress != nil && progress.followed && !r.silent(member.Name) {
			return true
		}
	}
	return false
}

// moveTo makes this replica hold another shard. It holds nothing of it at first, and nothing of the old one any more.
func (r *Replica) moveTo(set ReplicaSet) error {
	if err := r.folder.saveShard(set); err != nil {
		return errors.Wrapf(err, "moving to shard %d", set.Shard)
	}
	r.mutex.Lock()
	before := r.shard
	r.shard, r.set = set.Shard, set
	r.state = conversation.New()
	r.refusing = false
	r.follower = ""
	// Others may have pulled from this replica before. What it holds from now on is numbered anew.
	r.incarnation = uuid.NewString()
	r.forgetPulls()
	r.mutex.Unlock()
	r.texts.clear()
	r.logger.Emit(events.ReplicaShardChanged, events.F("from", before), events.F("shard", set.Shard), events.F("epoch", set.Epoch))
	r.wakePulls()
	return nil
}

// forgetPulls forgets what was pulled from whom, but not when peers were heard. A pull that is under way ends with what is
// forgotten. The caller holds the mutex.
func (r *Replica) forgetPulls() {
	for name, known := range r.peers {
		r.peers[name] = &peerProgress{heardAt: known.heardAt, firstAskedAt: known.firstAskedAt, askedAt: known.askedAt}
	}
}

// otherSets are the sets of all shards but one.
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

// isMember tells whether this replica is a member of any set.
func (r *Replica) isMember() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, member := r.sets.memberOf(r.options.Self.Name)
	return member
}

// watchLoop lets a spare ask the members of the shards that it does not hold whether they are there, for there are fewer
// spares than a spare for each shard at times.
func (r *Replica) watchLoop(ctx context.Context) {
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
			r.watchMembers(ctx, &tasks, set)
		}
	}
}

func (r *Replica) watchMembers(ctx context.Context, tasks *sync.WaitGroup, set ReplicaSet) {
	for _, member := range set.All() {
		progress := r.progressOf(member)
		if !r.setAsking(progress, true) {
			continue
		}
		tasks.Add(1)
		go func() {
			defer tasks.Done()
			defer r.setAsking(progress, false)
			r.checkPresence(ctx, set.Shard, member)
		}()
	}
}
