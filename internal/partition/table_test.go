package partition

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/membership"
)

func testMembers(count, zones int) []membership.Member {
	var members []membership.Member
	for number := range count {
		id := fmt.Sprintf("n%d", number)
		members = append(members, membership.Member{ID: id, ReplicaID: id, Zone: fmt.Sprintf("z%d", number%zones), Region: "r", Status: membership.Alive})
	}
	return members
}

// Replicas are in different zones if all zones have the same number of members.
func TestReplicasAreInDifferentZones(t *testing.T) {
	for _, count := range []int{3, 4, 5, 7, 30, 31, 210} {
		members := testMembers(count, 3)
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

// The number of nodes with which a node shares groups, and so its number of heartbeat messages, does not
// grow with the number of partitions.
func TestScatterWidthIsBounded(t *testing.T) {
	peers := make(map[string]map[string]bool)
	load := make(map[string]int)
	for _, placement := range NewTable("r", 840, testMembers(210, 3)).Partitions {
		for _, id := range placement.Members {
			load[id]++
			if peers[id] == nil {
				peers[id] = make(map[string]bool)
			}
			for _, other := range placement.Members {
				if other != id {
					peers[id][other] = true
				}
			}
		}
	}
	assert.Equal(t, len(load), 210)
	for id, others := range peers {
		assert.Assert(t, len(others) <= scatterWidth, "%s shares groups with %d nodes", id, len(others))
		assert.Equal(t, load[id], 12, id)
	}
}

// Regions with fewer nodes or zones than replicas get partitions, too.
func TestTableForFewNodes(t *testing.T) {
	assert.Equal(t, len(NewTable("r", 4, testMembers(1, 1)).Partitions[3].Members), 1)
	assert.Equal(t, len(NewTable("r", 4, testMembers(2, 1)).Partitions[0].Members), 2)
	assert.Equal(t, len(NewTable("r", 4, testMembers(5, 2)).Partitions[0].Members), 3)
}

// Keys map to partitions deterministically and evenly.
func TestKeyDistribution(t *testing.T) {
	table := NewTable("r", 16, testMembers(3, 3))
	counts := make(map[uint32]int)
	for number := range 1600 {
		placement := table.ForKey("t", fmt.Sprint(number))
		assert.Equal(t, placement.ID, table.ForKey("t", fmt.Sprint(number)).ID)
		counts[placement.ID]++
	}
	assert.Equal(t, len(counts), 16)
	for id, count := range counts {
		assert.Assert(t, count > 50 && count < 200, "partition %d has %d keys", id, count)
	}
}
