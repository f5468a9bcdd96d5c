package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// View is an immutable snapshot of the members.
type View struct {
	Self    Member
	members []Member
	byID    map[string]Member
	// byReplica maps each replica ID to the member that owns it: of the usable members with this ID, the
	// one that started first. A later one has a copy of the data folder, or waits until the first one is
	// known to be dead.
	byReplica map[string]Member
}

func newView(self Member, members []Member) *View {
	view := &View{
		Self:      self,
		members:   members,
		byID:      make(map[string]Member, len(members)),
		byReplica: make(map[string]Member, len(members)),
	}
	slices.SortFunc(view.members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	for _, member := range members {
		view.byID[member.ID] = member
		known, exists := view.byReplica[member.ReplicaID]
		if !exists || member.ownsReplicaOver(known) {
			view.byReplica[member.ReplicaID] = member
		}
	}
	return view
}

// ownsReplicaOver reports whether m, rather than other, owns the replica ID that both have.
func (m Member) ownsReplicaOver(other Member) bool {
	if m.Usable() != other.Usable() {
		return m.Usable()
	}
	return m.StartedAt < other.StartedAt
}

// All returns all known members, including dead ones, ordered by ID. The slice must not be modified.
func (v *View) All() []Member { return v.members }

// Get returns a member by ID.
func (v *View) Get(id string) (Member, bool) {
	found, ok := v.byID[id]
	return found, ok
}

// ByAddress returns the usable member with the given address.
func (v *View) ByAddress(address string) (Member, bool) {
	for _, member := range v.members {
		if member.Address == address && member.Usable() {
			return member, true
		}
	}
	return Member{}, false
}

// ByReplicaID returns the member that owns a replica ID.
func (v *View) ByReplicaID(replicaID string) (Member, bool) {
	found, ok := v.byReplica[replicaID]
	return found, ok
}

// Usable returns the members that are neither dead nor have left.
func (v *View) Usable() []Member { return v.filter(Member.Usable) }

// Eligible returns the members that may be assigned new work.
func (v *View) Eligible() []Member { return v.filter(Member.Eligible) }

func (v *View) filter(keep func(Member) bool) []Member {
	result := make([]Member, 0, len(v.members))
	for _, member := range v.members {
		if keep(member) {
			result = append(result, member)
		}
	}
	return result
}

// Owner returns the eligible member that owns key by rendezvous hashing. Only the members of the zone are
// considered, or of the region if the zone has none, or all if the region has none.
func (v *View) Owner(key, zone, region string) (Member, bool) {
	owners := v.Owners(key, zone, region)
	if len(owners) == 0 {
		return Member{}, false
	}
	return owners[0], true
}

// Owners returns the members that may own key, in order of preference.
func (v *View) Owners(key, zone, region string) []Member {
	return Rank(nearest(v.Eligible(), zone, region), key)
}

// nearest returns the members of the zone, of the region or of all regions: the first that is not empty.
func nearest(members []Member, zone, region string) []Member {
	var inZone, inRegion []Member
	for _, member := range members {
		if region != "" && member.Region != region {
			continue
		}
		inRegion = append(inRegion, member)
		if member.Zone == zone {
			inZone = append(inZone, member)
		}
	}
	switch {
	case len(inZone) > 0:
		return inZone
	case len(inRegion) > 0:
		return inRegion
	default:
		return members
	}
}

// Rank orders members by rendezvous hashing for key. Removing a member does not change the order of the
// others.
func Rank(members []Member, key string) []Member {
	type weighted struct {
		member Member
		weight uint64
	}
	list := make([]weighted, 0, len(members))
	for _, member := range members {
		list = append(list, weighted{member, xxhash.Sum64String(key + "@" + member.ID)})
	}
	slices.SortFunc(list, func(a, b weighted) int {
		if order := cmp.Compare(b.weight, a.weight); order != 0 {
			return order
		}
		return cmp.Compare(a.member.ID, b.member.ID)
	})
	result := make([]Member, 0, len(list))
	for _, item := range list {
		result = append(result, item.member)
	}
	return result
}
