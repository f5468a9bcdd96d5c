package turnstore

import (
	"context"
	"slices"
	"time"

	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/transport"
)

// A lost member counts toward the quorums of its set until a spare that holds all records has taken its place. A new
// replica may need long to fetch them, and if another member loses its disk meanwhile, that member, the lost one and the
// new one would wait for each other. So a spare that isn't ready to join removes the lost member first. The remaining
// members hold nearly all records already: each pulls what it lacks from the others, and from then on each record is on
// all of them. A member that lost its disk and needs long to fetch its records leaves the set in the same way, and joins
// again as a spare does.

const (
	// evictionTimeout is how long an eviction may take before it is aborted.
	evictionTimeout = 2 * time.Second
	// evictionDelay is how long a spare that is ready to join may take to replace a lost member.
	evictionDelay = 300 * time.Millisecond
	// emptyMemberTimeout is how long a member may lack records before it leaves the set.
	emptyMemberTimeout = 3500 * time.Millisecond
	// evictionInterval is the delay before a replica tries again after an eviction was aborted.
	evictionInterval = 10 * time.Second
)

// isEviction reports whether a change removes a lost member on behalf of a spare, which is not in the set itself.
func (s ReplicaSet) isEviction() bool { return s.Changing() && !s.Has(s.ChangedBy) }

// evict begins to remove a member that has timed out.
func (r *Replica) evict(ctx context.Context, set ReplicaSet) error {
	lost := r.timedOutMember(set.Members)
	if lost == "" || r.quorumContactFor(set) <= memberTimeout+evictionDelay {
		return nil
	}
	return r.beginEviction(ctx, set, lost)
}

// leave begins to remove this replica, which lacks records.
func (r *Replica) leave(ctx context.Context, set ReplicaSet) error {
	return r.beginEviction(ctx, set, r.options.Self.Name)
}

// emptyFor returns how long this replica has lacked records; 0 if it is complete.
func (r *Replica) emptyFor() time.Duration {
	if r.folder.record().Complete {
		return 0
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return time.Since(r.emptySince)
}

// beginEviction begins to remove a member if enough of the others are there and complete. The set must keep as many members
// as a record needs copies.
func (r *Replica) beginEviction(ctx context.Context, set ReplicaSet, leaving string) error {
	if len(set.Members) <= set.Copies || time.Now().Before(r.nextEvictionAt) || !r.hasCompleteQuorum(set) {
		return nil
	}
	joint := set
	joint.Epoch++
	joint.Next = without(set.Members, leaving)
	joint.ChangedBy = r.options.Self.Name
	if err := r.replaceSet(ctx, set, joint); err != nil {
		return err
	}
	r.nextEvictionAt = time.Now().Add(evictionInterval)
	r.logger.Emit(events.ReplicaEvicting, events.F("leaving", leaving), events.F("epoch", joint.Epoch), events.F("turns", r.size().turns))
	return r.finishEviction(ctx, joint)
}

// hasCompleteQuorum reports whether a read quorum of other members responded recently and said that they are complete.
func (r *Replica) hasCompleteQuorum(set ReplicaSet) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	complete := make(map[string]bool)
	for _, member := range set.Members {
		progress := r.peers[member.Name]
		complete[member.Name] = progress != nil && progress.reportedComplete && time.Since(progress.lastResponseAt) < contactWindow
	}
	return count(set.Members, complete) >= set.readQuorum(set.Members)
}

// finishEviction completes an eviction that this replica began: it fences the old epoch, lets the remaining members pull from each
// other, then makes them the only ones. If that takes too long, it aborts the change.
func (r *Replica) finishEviction(ctx context.Context, joint ReplicaSet) error {
	_, complete := r.fenceMembers(ctx, joint)
	if !joint.HasReadQuorum(complete) || !r.synchronize(ctx, joint, complete) {
		return r.abortLateEviction(ctx, joint)
	}
	if err := r.replaceSet(ctx, joint, completedChange(joint)); err != nil {
		return err
	}
	r.nextEvictionAt = time.Time{}
	return nil
}

// abortLateEviction aborts an eviction that has taken too long, for its spare may be lost, or a member can't synchronize.
func (r *Replica) abortLateEviction(ctx context.Context, joint ReplicaSet) error {
	r.mutex.Lock()
	late := time.Since(r.setAppliedAt) > evictionTimeout
	r.mutex.Unlock()
	if !late {
		return nil
	}
	return r.replaceSet(ctx, joint, abortedChange(joint))
}

// synchronize makes those members that remain, are fenced and complete pull from each other. They must be a read quorum. It
// reports whether each acknowledged record of an older epoch is then on a write quorum of the next set: fenced members
// accept no more of them, and each is on one of these members at least, and so on all.
func (r *Replica) synchronize(ctx context.Context, joint ReplicaSet, complete map[string]bool) bool {
	var members []Member
	var names []string
	for _, member := range joint.Next {
		if complete[member.Name] {
			members = append(members, member)
			names = append(names, member.Name)
		}
	}
	request := syncRequest{Shard: joint.Shard, Epoch: joint.Epoch, Sources: names}
	results := make(chan bool, len(members))
	for _, member := range members {
		go func() { results <- r.requestSync(ctx, member, request) }()
	}
	all := true
	for range members {
		all = <-results && all
	}
	next := ReplicaSet{Members: joint.Next, Copies: joint.Copies}
	return all && next.HasWriteQuorum(complete)
}

func (r *Replica) requestSync(ctx context.Context, member Member, request syncRequest) bool {
	callContext, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	response, err := transport.Call[syncResponse](callContext, r.network, member.Peer(), syncKind, request)
	return err == nil && response.Synchronized
}

// serveSync pulls from the given members and reports whether this replica, which is complete, then holds all that each of
// them, which are complete, too, held when the request arrived.
func (r *Replica) serveSync(ctx context.Context, _ transport.Peer, request syncRequest) (syncResponse, error) {
	r.mutex.Lock()
	err := r.checkShard(request.Shard)
	set := r.set
	r.mutex.Unlock()
	if err != nil || set.Epoch != request.Epoch {
		return syncResponse{}, err
	}
	startedAt := time.Now()
	var sources []Member
	for _, member := range without(set.All(), r.options.Self.Name) {
		if slices.Contains(request.Sources, member.Name) {
			sources = append(sources, member)
		}
	}
	pulled := r.pullUntil(ctx, sources, func() bool { return r.pulledComplete(sources, startedAt) })
	return syncResponse{Synchronized: pulled && r.folder.record().Complete}, nil
}

// pulledComplete reports whether this replica has pulled from all of the given members, in pulls that were requested
// after since, while they were complete. The caller holds the mutex.
func (r *Replica) pulledComplete(members []Member, since time.Time) bool {
	for _, member := range members {
		progress := r.peers[member.Name]
		if progress == nil || !progress.complete || !progress.caughtUpAt.After(since) {
			return false
		}
	}
	return true
}
