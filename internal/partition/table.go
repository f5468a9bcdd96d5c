// Package partition assigns the partitions of program state to replicas and repairs their groups. One
// node commits the initial table of a region to the configuration store; later changes are membership
// changes in the log of each group and need no store.
package partition

import (
	"cmp"
	"hash/fnv"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/mountstile/mountstile/internal/membership"
)

// Placement lists the replicas of one partition.
type Placement struct {
	ID      uint32   `json:"id"`
	Members []string `json:"m"`
}

// Table is the initial placement of the partitions of a region. Later changes override single
// placements.
type Table struct {
	// Generation increases only when operators discard the programs of a region and start with a new
	// table.
	Generation uint64      `json:"generation"`
	Region     string      `json:"region"`
	Partitions []Placement `json:"partitions"`
}

// ReplicasPerPartition is the number of voters of a group if there are enough nodes.
const ReplicasPerPartition = 3

// numberBits is the number of low bits of a partition ID that hold its number within the region.
const numberBits = 16

// scatterWidth is the number of other nodes with which a node shares groups. A small number limits the
// heartbeat messages, and makes it unlikely that the loss of three nodes loses a partition.
const scatterWidth = 4

// regionBase returns the first partition ID of a region. It is derived from a hash of the name.
func regionBase(region string) uint32 {
	digest := fnv.New32a()
	_, _ = digest.Write([]byte(region))
	return digest.Sum32() << numberBits
}

// NewTable returns a table that places count partitions on the members of a region.
func NewTable(region string, count int, members []membership.Member) Table {
	copysets := buildCopysets(members)
	table := Table{Generation: 1, Region: region}
	for number := range count {
		placement := Placement{ID: regionBase(region) | uint32(number)}
		for _, member := range copysets[number%len(copysets)] {
			placement.Members = append(placement.Members, member.ReplicaID)
		}
		table.Partitions = append(table.Partitions, placement)
	}
	return table
}

// buildCopysets returns sets of three members from different zones (Cidon et al., "Copysets: Reducing
// the Frequency of Data Loss in Cloud Storage", 2013). Each permutation puts every member into one set,
// with two other members.
func buildCopysets(members []membership.Member) [][]membership.Member {
	size := min(ReplicasPerPartition, len(members))
	var copysets [][]membership.Member
	for permutation := range scatterWidth / 2 {
		remaining := shuffled(members, permutation)
		for len(remaining) > 0 {
			var copyset []membership.Member
			copyset, remaining = takeCopyset(remaining, size)
			copysets = append(copysets, fillCopyset(copyset, members, size))
		}
	}
	return copysets
}

// shuffled returns the members in a pseudorandom order that depends only on their replica IDs and the
// permutation.
func shuffled(members []membership.Member, permutation int) []membership.Member {
	result := slices.Clone(members)
	weight := func(member membership.Member) uint64 {
		return xxhash.Sum64String(member.ReplicaID + string(rune('a'+permutation)))
	}
	slices.SortFunc(result, func(a, b membership.Member) int { return cmp.Compare(weight(a), weight(b)) })
	return result
}

// takeCopyset takes up to size members of different zones, from the zones with the most members left.
// rest holds the others.
func takeCopyset(members []membership.Member, size int) (copyset, rest []membership.Member) {
	remaining := make(map[string]int)
	for _, member := range members {
		remaining[member.Zone]++
	}
	zones := make([]string, 0, len(remaining))
	for zone := range remaining {
		zones = append(zones, zone)
	}
	slices.SortFunc(zones, func(a, b string) int {
		if order := cmp.Compare(remaining[b], remaining[a]); order != 0 {
			return order
		}
		return cmp.Compare(a, b)
	})
	selected := zones[:min(size, len(zones))]
	taken := make(map[string]bool)
	for _, member := range members {
		if slices.Contains(selected, member.Zone) && !taken[member.Zone] {
			taken[member.Zone] = true
			copyset = append(copyset, member)
			continue
		}
		rest = append(rest, member)
	}
	return copyset, rest
}

// fillCopyset adds members of any zone to a copyset that has fewer than size members.
func fillCopyset(copyset, members []membership.Member, size int) []membership.Member {
	for _, member := range members {
		if len(copyset) >= size {
			break
		}
		if !slices.ContainsFunc(copyset, func(other membership.Member) bool { return other.ID == member.ID }) {
			copyset = append(copyset, member)
		}
	}
	return copyset
}

// ForKey returns the partition of a program, given its tenant and root.
func (t *Table) ForKey(tenant, root string) Placement {
	hash := xxhash.Sum64String(tenant + "\x00" + root)
	return t.Partitions[hash%uint64(len(t.Partitions))]
}
