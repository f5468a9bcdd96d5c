package turnstore

import (
	"context"
	"time"

	"github.com/mountstile/mountstile/internal/conversation"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/transport"
)

const (
	// maxHandoverRecords and maxHandoverBytes bound the records in one handover message and their texts, in bytes. A message has
	// one record at least.
	maxHandoverRecords = 32
	maxHandoverBytes   = 256 << 10
	// spareJoinTimeout is how long a retiring member waits to be replaced, as long as there is a live spare. Spares
	// pull several times a second while a member retires, and join within a few seconds.
	spareJoinTimeout = 5 * time.Second
	// spareSeenWindow is how long after its last request a spare counts as alive.
	spareSeenWindow = 2 * time.Second
)

// retire waits for a spare to replace this replica. If none does, the replica hands over its records and leaves the
// set. It does not leave while the remaining members could not survive the loss of a disk: it keeps serving until
// another replica joins, because its own disk is removed once the retirement is reported as done. While another member
// has timed out, it waits for a spare to replace that one and aborts its own change: writes could not reach a quorum of
// Next until the lost member is back, which may be never.
func (r *Replica) retire(ctx context.Context, set ReplicaSet) error {
	self := r.options.Self.Name
	if !set.Has(self) {
		return r.options.ReportRetirement(ctx, true)
	}
	if set.Changing() && set.ChangedBy != self {
		return r.abortChange(ctx, set)
	}
	if !r.folder.record().Complete {
		return r.retireEmpty(ctx, set)
	}
	timedOut := r.timedOutMember(set.Members) != ""
	if set.Changing() && timedOut {
		return r.cancelRetirement(ctx, set)
	}
	if !set.Changing() {
		if err := r.reportRetirementStarted(ctx, set); err != nil {
			return err
		}
		if len(set.Members) <= set.Copies || timedOut || r.spareExpected() {
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

// retireEmpty makes this replica leave while it lacks records. It has nothing to hand over in place of those that it lost,
// so the other members pull from each other first.
func (r *Replica) retireEmpty(ctx context.Context, set ReplicaSet) error {
	if set.Changing() {
		return r.finishEviction(ctx, set)
	}
	if err := r.reportRetirementStarted(ctx, set); err != nil {
		return err
	}
	return r.leave(ctx, set)
}

// spareExpected reports whether a spare is likely to replace this replica soon.
func (r *Replica) spareExpected() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return time.Since(r.spareSeenAt) < spareSeenWindow && time.Since(r.retirementStartedAt) < spareJoinTimeout
}

// cancelRetirement aborts the change by which this replica was to leave.
func (r *Replica) cancelRetirement(ctx context.Context, joint ReplicaSet) error {
	if err := r.replaceSet(ctx, joint, abortedChange(joint)); err != nil {
		return err
	}
	r.setHandingOver(false)
	return nil
}

// reportRetirementStarted reports the start of the retirement to the operator, once.
func (r *Replica) reportRetirementStarted(ctx context.Context, set ReplicaSet) error {
	if !r.retirementStartedAt.IsZero() {
		return nil
	}
	r.logger.Emit(events.ReplicaRetiring, events.F("epoch", set.Epoch), events.F("members", len(set.Members)),
		events.F("waits", len(set.Members) <= set.Copies))
	if err := r.options.ReportRetirement(ctx, false); err != nil {
		return err
	}
	r.retirementStartedAt = time.Now()
	return nil
}

// finishRetirement hands over the records once no write of the old epoch can succeed, then leaves the set.
func (r *Replica) finishRetirement(ctx context.Context, joint ReplicaSet) error {
	if !r.fence(ctx, joint) {
		return nil
	}
	r.setHandingOver(true)
	if !r.handOver(ctx, joint) {
		return nil
	}
	if err := r.replaceSet(ctx, joint, completedChange(joint)); err != nil {
		return err
	}
	return r.options.ReportRetirement(ctx, true)
}

// resetRetirement resumes normal service after the operator has withdrawn a retirement.
func (r *Replica) resetRetirement() {
	r.retirementStartedAt = time.Time{}
	r.setHandingOver(false)
}

func (r *Replica) setHandingOver(handingOver bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.handingOver = handingOver
}

// handOver sends all records to the remaining members and reports whether enough have them.
func (r *Replica) handOver(ctx context.Context, set ReplicaSet) bool {
	r.mutex.Lock()
	records := r.state.Records()
	r.mutex.Unlock()
	received := make(map[string]bool)
	for _, member := range set.Next {
		if r.sendRecords(ctx, set, member, records) {
			received[member.Name] = true
		}
	}
	return len(received) == len(set.Next) || (len(received) >= set.Copies && ReplicaSet{Members: set.Next, Copies: set.Copies}.HasReadQuorum(received))
}

func (r *Replica) sendRecords(ctx context.Context, set ReplicaSet, member Member, records []conversation.Record) bool {
	for len(records) > 0 {
		batch, err := r.handoverBatch(records)
		if err != nil {
			return false
		}
		records = records[len(batch):]
		callContext, cancel := context.WithTimeout(ctx, pullTimeout)
		response, err := transport.Call[putResponse](callContext, r.network, member.Peer(), putKind, putRequest{Shard: set.Shard, Epoch: set.Epoch, Records: batch})
		cancel()
		if err != nil || response.Newer != nil {
			return false
		}
	}
	return true
}

// handoverBatch returns the first records for one message. Their texts are loaded into copies, so that only one batch of
// them is in memory at a time.
func (r *Replica) handoverBatch(records []conversation.Record) ([]conversation.Record, error) {
	var batch []conversation.Record
	size := 0
	for _, record := range records[:min(len(records), maxHandoverRecords)] {
		if record.Turn != nil {
			turn := *record.Turn
			record.Turn = &turn
		}
		if err := r.loadTexts([]conversation.Record{record}); err != nil {
			return nil, err
		}
		if record.Turn != nil {
			size += len(record.Turn.Text)
		}
		if size > maxHandoverBytes && len(batch) > 0 {
			break
		}
		batch = append(batch, record)
	}
	return batch, nil
}
