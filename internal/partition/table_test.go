package partition

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/membership"
)

func membersOf(count, zones int) []membership.Member {
	var members []membership.Member
	for number := range count {
		id := fmt.Sprintf("n%d", number)
		members = append(members, membership.Member{ID: id, ReplicaID: id, Zone: fmt.Sprintf("z%d", number%zones), Region: "r", Status: membership.Alive})
	}
	return members
}

// TestReplicasAreInDifferentZones for all sizes from three zones on, also uneven ones.
func TestReplicasAreInDifferentZones(t *testing.T) {
	for _, count := range []int{3, 4, 5, 7, 30, 31, 210} {
		members := membersOf(count, 3)
		zones := make(map[string]string)
		for _, member := range members {
			zones[member.ReplicaID] = member.Zone
		}
		for _, placement := range NewTable("r", 2*count, members).Partitions {
			seen := make(map[string]bool)
			for _, id := range placement.Members {
				seen[zones[id]] = true
			}
			assert.Equal(t, len(placement.Members), ReplicasPerPartition)
			if count%3 == 0 {
				assert.Equal(t, len(seen), ReplicasPerPartition, "%d members: %v", count, placement)
			}
		}
	}
}

// TestNodesShareGroupsWithFew: heartbeats stay flat however many partitions there are.
func TestNodesShareGroupsWithFew(t *testing.T) {
	companions := make(map[string]map[string]bool)
	load := make(map[string]int)
	for _, placement := range NewTable("r", 840, membersOf(210, 3)).Partitions {
		for _, id := range placement.Members {
			load[id]++
			if companions[id] == nil {
				companions[id] = make(map[string]bool)
			}
			for _, other := range placement.Members {
				if other != id {
					companions[id][other] = true
				}
			}
		}
	}
	assert.Equal(t, len(load), 210)
	for id, others := range companions {
		assert.Assert(t, len(others) <= copysetWidth, "%s shares groups with %d", id, len(others))
		assert.Equal(t, load[id], 12, id)
	}
}

func TestFewNodesStillGetPartitions(t *testing.T) {
	assert.Equal(t, len(NewTable("r", 4, membersOf(1, 1)).Partitions[3].Members), 1)
	assert.Equal(t, len(NewTable("r", 4, membersOf(2, 1)).Partitions[0].Members), 2)
	assert.Equal(t, len(NewTable("r", 4, membersOf(5, 2)).Partitions[0].Members), 3)
}

// TestKeysSpreadAndStay over partitions.
func TestKeysSpreadAndStay(t *testing.T) {
	table := NewTable("r", 16, membersOf(3, 3))
	counts := make(map[uint32]int)
	for number := range 1600 {
		placement := table.ForKey("t", fmt.Sprint(number))
		assert.Equal(t, placement.ID, table.ForKey("t", fmt.Sprint(number)).ID)
		counts[placement.ID]++
	}
	assert.Equal(t, len(counts), 16)
	for id, count := range counts {
		assert.Assert(t, count > 50 && count < 200, "partition %d holds %d", id, count)
	}
}
