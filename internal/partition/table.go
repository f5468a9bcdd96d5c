// Package partition places the partitions of program state: which replicas hold each of them, at
// first by a table that one node commits in the configuration store, then by changes in each
// group's own log, which need no store.
package partition

import (
	"cmp"
	"hash/fnv"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/mountstile/mountstile/internal/membership"
)

// Placement is the replicas of one partition.
type Placement struct {
	ID      uint32   `json:"id"`
	Members []string `json:"m"`
}

// Table is the initial placement of a region's partitions. Later changes override it one by one.
type Table struct {
	// Generation rises only when operators give up the programs of a region and start anew.
	Generation uint64      `json:"generation"`
	Region     string      `json:"region"`
	Partitions []Placement `json:"partitions"`
}

// ReplicasPerPartition is the size of a group where there are nodes enough.
const ReplicasPerPartition = 3

// regionBits is how far a partition's number is from its region's.
const regionBits = 16

// copysetWidth is with how many others a node shares groups. A small number keeps heartbeats flat
// and makes it unlikely that three lost nodes are three replicas of one partition.
const copysetWidth = 4

// regionBase keeps the partition numbers of regions apart.
func regionBase(region string) uint32 {
	digest := fnv.New32a()
	_, _ = digest.Write([]byte(region))
	return digest.Sum32() << regionBits
}

// NewTable places count partitions on the members of a region.
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

// buildCopysets groups members by threes from different zones (Cidon et al., "Copysets: Reducing
// the Frequency of Data Loss in Cloud Storage", 2013). Each permutation gives every member one
// copyset, and with it two companions.
func buildCopysets(members []membership.Member) [][]membership.Member {
	size := min(ReplicasPerPartition, len(members))
	var copysets [][]membership.Member
	for permutation := range copysetWidth / 2 {
		remaining := shuffled(members, permutation)
		for len(remaining) > 0 {
			var copyset []membership.Member
			copyset, remaining = takeCopyset(remaining, size)
			copysets = append(copysets, fillCopyset(copyset, members, size))
		}
	}
	return copysets
}

func shuffled(members []membership.Member, permutation int) []membership.Member {
	result := slices.Clone(members)
	weight := func(member membership.Member) uint64 {
		return xxhash.Sum64String(member.ReplicaID + string(rune('a'+permutation)))
	}
	slices.SortFunc(result, func(a, b membership.Member) int { return cmp.Compare(weight(a), weight(b)) })
	return result
}

// takeCopyset takes members of different zones, always from the zones that have most left.
func takeCopyset(members []membership.Member, size int) (copyset, rest []membership.Member) {
	left := make(map[string]int)
	for _, member := range members {
		left[member.Zone]++
	}
	zones := make([]string, 0, len(left))
	for zone := range left {
		zones = append(zones, zone)
	}
	slices.SortFunc(zones, func(a, b string) int {
		if order := cmp.Compare(left[b], left[a]); order != 0 {
			return order
		}
		return cmp.Compare(a, b)
	})
	wanted := zones[:min(size, len(zones))]
	taken := make(map[string]bool)
	for _, member := range members {
		if slices.Contains(wanted, member.Zone) && !taken[member.Zone] {
			taken[member.Zone] = true
			copyset = append(copyset, member)
			continue
		}
		rest = append(rest, member)
	}
	return copyset, rest
}

// fillCopyset completes a copyset where there are fewer zones than replicas.
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

// ForKey returns the partition of a program's root.
func (t *Table) ForKey(tenant, root string) Placement {
	hash := xxhash.Sum64String(tenant + "\x00" + root)
	return t.Partitions[hash%uint64(len(t.Partitions))]
}
