package partition

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/mountstile/mountstile/internal/consensus"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/membership"
	"github.com/mountstile/mountstile/internal/replica"
)

// noteGone remembers since when each replica's node is gone.
func (m *Manager) noteGone() {
	view := m.options.Membership.View()
	now := time.Now()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for id := range m.gone {
		if member, known := view.ByReplicaID(id); known && member.Usable() {
			delete(m.gone, id)
		}
	}
	for _, status := range m.options.Host.Statuses() {
		for _, id := range status.Members.All() {
			member, known := view.ByReplicaID(id)
			if _, noted := m.gone[id]; !noted && (!known || !member.Usable()) {
				m.gone[id] = now
			}
		}
	}
}

// goneLong reports whether a replica must be replaced. One that has left will not come back; one
// that is dead may be restarted with its disk.
func (m *Manager) goneLong(view *membership.View, id string) bool {
	member, known := view.ByReplicaID(id)
	if known && member.Status == membership.Left && member.ReplicaID == member.ID {
		return true
	}
	if known && member.Usable() {
		return false
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	since, noted := m.gone[id]
	return noted && time.Since(since) >= m.options.RepairDelay
}

// repairGroups takes one step for each group that this node leads, and reports lost majorities.
func (m *Manager) repairGroups(ctx context.Context) {
	view := m.options.Membership.View()
	for _, status := range m.options.Host.Statuses() {
		m.reportQuorum(view, status)
		m.dropRemoved(status)
		if !status.IsLeader {
			continue
		}
		next, change := m.nextMembers(ctx, view, status)
		if !change {
			continue
		}
		_ = m.options.Host.Do(ctx, status.Group, func(core *consensus.Core) {
			// A refusal means that an earlier step is not committed yet; the next round tries again.
			_, _, _ = core.ProposeMembers(next)
		})
	}
}

// reportQuorum logs once when a majority of a group's replicas is gone for good. The group stays
// unavailable: it never starts anew as if it were empty.
func (m *Manager) reportQuorum(view *membership.View, status replica.Status) {
	gone := 0
	for _, id := range status.Members.Voters {
		if m.goneLong(view, id) {
			gone++
		}
	}
	lost := len(status.Members.Voters) > 0 && len(status.Members.Voters)-gone <= len(status.Members.Voters)/2 && gone > 0
	m.mutex.Lock()
	reported := m.lost[status.Group]
	m.lost[status.Group] = lost
	m.mutex.Unlock()
	if lost && !reported {
		m.options.Logger.Emit(events.GroupQuorumLost, events.F("partition", status.Group), events.F("voters", status.Members.Voters))
	}
}

// dropRemoved ends a replica that the group has gone on without. The record that lacks this node may also be of before the
// node is added, and the status of before what the replica holds now; the host looks at the replica itself.
func (m *Manager) dropRemoved(status replica.Status) {
	self := m.options.Membership.View().Self.ReplicaID
	m.mutex.Lock()
	record, changed := m.members[status.Group]
	m.mutex.Unlock()
	if !changed || record.Members.Contains(self) {
		return
	}
	if err := m.options.Host.RemoveObsolete(status.Group, record.version); err != nil {
		m.options.Logger.Emit(events.StorageFailed, events.F("partition", status.Group), events.F("error", err))
	}
}

// FullyReplicated reports whether a group has all the voters that it should have, on live nodes that answer its
// leader, and no change under way. Only then does it survive the loss of a node.
func (m *Manager) FullyReplicated(status replica.Status) bool {
	view := m.options.Membership.View()
	for _, id := range status.Members.Voters {
		if member, known := view.ByReplicaID(id); !known || !member.Usable() {
			return false
		}
	}
	inRegion := slices.DeleteFunc(view.Eligible(), func(member membership.Member) bool { return member.Region != view.Self.Region })
	wanted := min(ReplicasPerPartition, len(inRegion))
	return len(status.UnresponsiveVoters) == 0 && len(status.Members.Learners) == 0 && len(status.Members.Voters) >= wanted
}

// nextMembers returns the next single step towards a full, healthy group: first a learner, then
// its promotion, then the removal of a lost voter.
func (m *Manager) nextMembers(ctx context.Context, view *membership.View, status replica.Status) (consensus.Members, bool) {
	next := status.Members.Clone()
	for _, id := range next.Learners {
		if m.goneLong(view, id) {
			next.Learners = without(next.Learners, id)
			return next, true
		}
		if m.caughtUp(ctx, status.Group, id) {
			next.Learners = without(next.Learners, id)
			next.Voters = append(next.Voters, id)
			return next, true
		}
	}
	lost := m.lostVoter(view, next)
	healthy := len(next.Voters)
	if lost != "" {
		healthy--
	}
	// A lost voter goes only when its replacement votes: a smaller group would not be safer.
	candidate, found := m.replacement(view, next)
	if lost != "" && healthy >= ReplicasPerPartition {
		next.Voters = without(next.Voters, lost)
		return next, true
	}
	if healthy < ReplicasPerPartition && len(next.Learners) == 0 && found {
		next.Learners = append(next.Learners, candidate)
		return next, true
	}
	if surplus := m.surplusVoter(next); surplus != "" {
		next.Voters = without(next.Voters, surplus)
		return next, true
	}
	return next, false
}

func (m *Manager) surplusVoter(members consensus.Members) string {
	if len(members.Voters) <= ReplicasPerPartition {
		return ""
	}
	self := m.options.Membership.View().Self.ReplicaID
	for _, id := range members.Voters {
		if id != self {
			return id
		}
	}
	return ""
}

func (m *Manager) caughtUp(ctx context.Context, group uint32, id string) bool {
	caughtUp := false
	err := m.options.Host.Do(ctx, group, func(core *consensus.Core) { caughtUp = core.CaughtUp(id) })
	return err == nil && caughtUp
}

func (m *Manager) lostVoter(view *membership.View, members consensus.Members) string {
	for _, id := range members.Voters {
		if m.goneLong(view, id) {
			return id
		}
	}
	return ""
}

// replacement picks a working node of the region, from a zone that the group lacks if possible.
func (m *Manager) replacement(view *membership.View, members consensus.Members) (string, bool) {
	zones := make(map[string]bool)
	for _, id := range members.All() {
		if member, known := view.ByReplicaID(id); known && member.Usable() {
			zones[member.Zone] = true
		}
	}
	load := m.replicaLoad()
	candidates := slices.DeleteFunc(view.Eligible(), func(member membership.Member) bool {
		return member.Status != membership.Alive || member.Region != view.Self.Region || members.Contains(member.ReplicaID)
	})
	if len(candidates) == 0 {
		return "", false
	}
	best := slices.MinFunc(candidates, func(a, b membership.Member) int {
		if zones[a.Zone] != zones[b.Zone] {
			return compareBool(zones[a.Zone], zones[b.Zone])
		}
		if order := cmp.Compare(load[a.ReplicaID], load[b.ReplicaID]); order != 0 {
			return order
		}
		return cmp.Compare(a.ReplicaID, b.ReplicaID)
	})
	return best.ReplicaID, true
}

// replicaLoad counts the replicas that each node holds, as far as this node knows.
func (m *Manager) replicaLoad() map[string]int {
	load := make(map[string]int)
	for _, placement := range m.Placements() {
		for _, id := range placement.Members {
			load[id]++
		}
	}
	return load
}

func compareBool(a, b bool) int {
	if a == b {
		return 0
	}
	if a {
		return 1
	}
	return -1
}

func without(list []string, id string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(item string) bool { return item == id })
}

// TransferLeadership hands the groups that this node leads to other voters, before a planned stop. It
// returns when none is led here any more, or the context ends.
func (m *Manager) TransferLeadership(ctx context.Context) bool {
	ticker := time.NewTicker(checkInterval / 10)
	defer ticker.Stop()
	for {
		leading := 0
		view := m.options.Membership.View()
		for _, status := range m.options.Host.Statuses() {
			if status.IsLeader && len(status.Members.Voters) > 1 {
				leading++
				m.transfer(ctx, view, status)
			}
		}
		if leading == 0 {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
}

func (m *Manager) transfer(ctx context.Context, view *membership.View, status replica.Status) {
	for _, id := range status.Members.Voters {
		member, known := view.ByReplicaID(id)
		if id == view.Self.ReplicaID || !known || member.Status != membership.Alive {
			continue
		}
		_ = m.options.Host.Do(ctx, status.Group, func(core *consensus.Core) {
			if !core.Transferring() {
				// A refusal means that leadership has moved already.
				_ = core.TransferLeadership(id)
			}
		})
		return
	}
}
