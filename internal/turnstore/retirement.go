package turnstore

import (
	"context"
	"slices"
	"time"

	"github.com/mountstile/mountstile/internal/conversation"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/transport"
)

const (
	// pushKeys bounds one message that hands over records.
	pushKeys = 32
	// spareWait is how long a member that is to be emptied leaves it to a spare to take its place, while there is one:
	// spares ask several times a second for what they lack, and take a second or two to join.
	spareWait = 5 * time.Second
	// spareHeardFor is how long after its last question a spare counts as being there.
	spareHeardFor = 2 * time.Second
)

// retire waits for a spare to take this replica's place. If none does, the replica hands over all that it holds and
// leaves the set. While too few others would be left to
// survive the loss of a disk, it serves on and waits for another replica to join: once it is reported as
// emptied, its disk is gone. While another member is silent, it waits for a spare to take that one's place, and
// takes back a change that it has begun: nothing could be written until the silent one is back, which may be never.
func (r *Replica) retire(ctx context.Context, set ReplicaSet) error {
	self := r.options.Self.Name
	if !set.Has(self) {
		return r.options.ReportRetirement(ctx, true)
	}
	if set.Changing() && set.ChangedBy != self {
		return r.takeBack(ctx, set)
	}
	silent := r.silentMember(set.Members) != ""
	if set.Changing() && silent {
		return r.stay(ctx, set)
	}
	if !set.Changing() {
		if err := r.reportRetirementBegun(ctx, set); err != nil {
			return err
		}
		if len(set.Members) <= set.Copies || silent || r.awaitsSpare() {
			return nil
		}
		joint := set
		joint.Epoch++
		joint.Next = without(set.Members, self)
		joint.ChangedBy = self
		if err := r.replaceSet(ctx, set, joint); err != nil {
			return err
		}
		set = joint
	}
	return r.finishRetirement(ctx, set)
}

// awaitsSpare tells whether a spare is likely to take this replica's place soon.
func (r *Replica) awaitsSpare() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return time.Since(r.spareHeardAt) < spareHeardFor && time.Since(r.retirementBegunAt) < spareWait
}

// stay takes back a change by which this replica was to leave.
func (r *Replica) stay(ctx context.Context, joint ReplicaSet) error {
	if err := r.replaceSet(ctx, joint, takenBack(joint)); err != nil {
		return err
	}
	r.setRefusing(false)
	return nil
}

// reportRetirementBegun tells the operator once.
func (r *Replica) reportRetirementBegun(ctx context.Context, set ReplicaSet) error {
	if !r.retirementBegunAt.IsZero() {
		return nil
	}
	r.logger.Emit(events.ReplicaRetiring, events.F("epoch", set.Epoch), events.F("members", len(set.Members)),
		events.F("waits", len(set.Members) <= set.Copies))
	if err := r.options.ReportRetirement(ctx, false); err != nil {
		return err
	}
	r.retirementBegunAt = time.Now()
	return nil
}

// finishRetirement hands over once no write of the old epoch can succeed any more.
func (r *Replica) finishRetirement(ctx context.Context, joint ReplicaSet) error {
	if !r.fence(ctx, joint) {
		return nil
	}
	r.setRefusing(true)
	if !r.handOver(ctx, joint) {
		return nil
	}
	if err := r.replaceSet(ctx, joint, finished(joint)); err != nil {
		return err
	}
	return r.options.ReportRetirement(ctx, true)
}

// takePartAgain undoes a retirement that the operator has withdrawn.
func (r *Replica) takePartAgain() {
	r.retirementBegunAt = time.Time{}
	r.setRefusing(false)
}

func (r *Replica) setRefusing(refusing bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.refusing = refusing
}

// handOver sends everything to the remaining members, and reports whether enough have it.
func (r *Replica) handOver(ctx context.Context, set ReplicaSet) bool {
	r.mutex.Lock()
	records := r.state.Records()
	r.mutex.Unlock()
	whole := make(map[string]bool)
	for _, member := range set.Next {
		if r.push(ctx, set, member, records) {
			whole[member.Name] = true
		}
	}
	return len(whole) == len(set.Next) || (len(whole) >= set.Copies && ReplicaSet{Members: set.Next, Copies: set.Copies}.Read(whole))
}

func (r *Replica) push(ctx context.Context, set ReplicaSet, member Member, records []conversation.Record) bool {
	for len(records) > 0 {
		batch := slices.Clone(records[:min(len(records), pushKeys)])
		records = records[len(batch):]
		// The texts are put into copies, so that those of one batch at a time are in memory.
		for index, record := range batch {
			if record.Turn != nil {
				turn := *record.Turn
				batch[index].Turn = &turn
			}
		}
		if r.fillTexts(batch) != nil {
			return false
		}
		callContext, cancel := context.WithTimeout(ctx, pullTimeout)
		answer, err := transport.Call[putAnswer](callContext, r.network, member.Address, putKind, putRequest{Shard: set.Shard, Epoch: set.Epoch, Records: batch})
		cancel()
		if err != nil || answer.Newer != nil {
			return false
		}
	}
	return true
}
