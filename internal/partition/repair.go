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

// updateUnavailable records when the node of each replica became unavailable, and deletes the record of a node that is
// usable again.
func (m *Manager) updateUnavailable() {
	view := m.options.Membership.View()
	now := time.Now()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for id := range m.unavailableSince {
		if member, known := view.ByReplicaID(id); known && member.Usable() {
			delete(m.unavailableSince, id)
		}
	}
	for _, status := range m.options.Host.Statuses() {
		for _, id := range status.Members.All() {
			member, known := view.ByReplicaID(id)
			if _, recorded := m.unavailableSince[id]; !recorded && (!known || !member.Usable()) {
				m.unavailableSince[id] = now
			}
		}
	}
}

// needsReplacement reports whether a replica must be replaced. A node without a data folder uses its ID, which is new
// in each run, as its replica ID. Once it has left, the replica can't return; any other node may be restarted with
// its data.
func (m *Manager) needsReplacement(view *membership.View, id string) bool {
	member, known := view.ByReplicaID(id)
	if known && member.Status == membership.Left && member.ReplicaID == member.ID {
		return true
	}
	if known && member.Usable() {
		return false
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	since, recorded := m.unavailableSince[id]
	return recorded && time.Since(since) >= m.options.RepairDelay
}

// repairGroups checks the groups of this node, and proposes the next membership change for each that it
// leads.
func (m *Manager) repairGroups(ctx context.Context) {
	view := m.options.Membership.View()
	for _, status := range m.options.Host.Statuses() {
		m.reportLostQuorum(view, status)
		m.removeObsolete(status)
		if !status.IsLeader {
			continue
		}
		next, change := m.nextMembers(ctx, view, status)
		if !change {
			continue
		}
		_ = m.options.Host.Do(ctx, status.Group, func(core *consensus.Core) {
			// An error means that a previous change is not committed yet. The next round retries.
			_, _, _ = core.ProposeMembers(next)
		})
	}
}

// reportLostQuorum logs when a group first has too few voters left for a quorum. The group stays
// unavailable: it must never restart as an empty group.
func (m *Manager) reportLostQuorum(view *membership.View, status replica.Status) {
	failed := 0
	for _, id := range status.Members.Voters {
		if m.needsReplacement(view, id) {
			failed++
		}
	}
	quorumLost := len(status.Members.Voters) > 0 && len(status.Members.Voters)-failed <= len(status.Members.Voters)/2 && failed > 0
	m.mutex.Lock()
	reported := m.quorumLost[status.Group]
	m.quorumLost[status.Group] = quorumLost
	m.mutex.Unlock()
	if quorumLost && !reported {
		m.options.Logger.Emit(events.GroupQuorumLost, events.F("partition", status.Group), events.F("voters", status.Members.Voters))
	}
}

// removeObsolete removes the replica of this node if the members of the group that are known from gossip exclude it.
// These may predate the addition of this node, and status may be out of date, so the host checks the replica itself.
func (m *Manager) removeObsolete(status replica.Status) {
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

// FullyReplicated reports whether a group has the desired number of voters, all on usable nodes and
// responding to their leader, and no learners. Only then does it survive the loss of a node.
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

// nextMembers returns the next membership change towards a group of ReplicasPerPartition healthy voters,
// or false if there is none. A failed voter is replaced in three steps: its replacement is added as a
// learner, then promoted, then the failed voter is removed.
func (m *Manager) nextMembers(ctx context.Context, view *membership.View, status replica.Status) (consensus.Members, bool) {
	next := status.Members.Clone()
	for _, id := range next.Learners {
		if m.needsReplacement(view, id) {
			next.Learners = without(next.Learners, id)
			return next, true
		}
		if m.caughtUp(ctx, status.Group, id) {
			next.Learners = without(next.Learners, id)
			next.Voters = append(next.Voters, id)
			return next, true
		}
	}
	failed := m.failedVoter(view, next)
	healthy := len(next.Voters)
	if failed != "" {
		healthy--
	}
	candidate, found := m.replacement(view, next)
	// Remove a failed voter only after its replacement is a voter: a group of two voters
	// needs the same quorum as one of three.
	if failed != "" && healthy >= ReplicasPerPartition {
		next.Voters = without(next.Voters, failed)
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

// surplusVoter returns a voter other than this node if the group has too many, or "".
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

// failedVoter returns the first voter that needs replacement, or "".
func (m *Manager) failedVoter(view *membership.View, members consensus.Members) string {
	for _, id := range members.Voters {
		if m.needsReplacement(view, id) {
			return id
		}
	}
	return ""
}

// replacement selects an alive node of this region that is not a member, preferably in a zone without a
// member and with few replicas.
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

// replicaLoad returns the number of known replicas on each node, by the replica ID of the node.
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

// TransferLeadership transfers the leadership of all groups that this node leads to other voters, before a
// planned stop. It returns true once this node leads none with other voters, or false when ctx is done.
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

// transfer starts a transfer of the leadership of a group to an alive voter.
func (m *Manager) transfer(ctx context.Context, view *membership.View, status replica.Status) {
	for _, id := range status.Members.Voters {
		member, known := view.ByReplicaID(id)
		if id == view.Self.ReplicaID || !known || member.Status != membership.Alive {
			continue
		}
		_ = m.options.Host.Do(ctx, status.Group, func(core *consensus.Core) {
			if !core.Transferring() {
				// An error means that this node is no longer the leader.
				_ = core.TransferLeadership(id)
			}
		})
		return
	}
}
