package turnstore

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Turns and charges are sharded by program. The shards have disjoint replica sets, so a
// replica holds the turns of one shard only, and a lost, retired or added replica affects one shard. The number of
// shards is fixed when the system first starts (docs/design/shards.md).

// sparesPerShard is the number of spares planned for each shard: a spare replaces a lost or retiring member at once,
// and serves the catalog.
const sparesPerShard = 1

// shardCount returns the number of shards that the replicas suffice for, with sets of size members.
func shardCount(replicas, size int) int {
	if size <= 0 {
		return 1
	}
	return max(replicas/(size+sparesPerShard), 1)
}

// shardOf returns the shard of a program. Turns without a program share one shard.
func shardOf(program string, shards int) int {
	if shards <= 1 {
		return 0
	}
	return int(xxhash.Sum64String(program) % uint64(shards))
}

// initialSets distributes the candidates over shards of size members each. Members are taken from each zone in
// rotation, so that the members of a set, and the remaining spares, are spread over as many zones as possible.
func initialSets(candidates []Member, size, copies int) []ReplicaSet {
	if size <= 0 {
		size = len(candidates)
	}
	if size >= len(candidates) {
		return []ReplicaSet{{Epoch: 1, Members: candidates, Copies: copies, Size: size}}
	}
	shards := shardCount(len(candidates), size)
	ordered := interleaveZones(candidates)
	sets := make([]ReplicaSet, 0, shards)
	for shard := range shards {
		members := slices.Clone(ordered[shard*size : (shard+1)*size])
		set := ReplicaSet{Epoch: 1, Members: members, Copies: copies, Size: size}
		if shards > 1 {
			set.Shard, set.Shards = shard, shards
		}
		sets = append(sets, set)
	}
	return sets
}

// interleaveZones orders members so that neighbors are in different zones where possible.
func interleaveZones(members []Member) []Member {
	var zones []string
	byZone := make(map[string][]Member)
	for _, member := range members {
		if len(byZone[member.Zone]) == 0 {
			zones = append(zones, member.Zone)
		}
		byZone[member.Zone] = append(byZone[member.Zone], member)
	}
	ordered := make([]Member, 0, len(members))
	for round := 0; len(ordered) < len(members); round++ {
		for _, zone := range zones {
			if round < len(byZone[zone]) {
				ordered = append(ordered, byZone[zone][round])
			}
		}
	}
	return ordered
}

// setKey returns the store key of a shard's replica set. The first shard uses the key itself, like a system without
// shards.
func setKey(key string, shard int) string {
	if shard == 0 {
		return key
	}
	return key + "/" + strconv.Itoa(shard)
}

// sets holds the newest known replica sets by shard. It is not safe for concurrent use.
type sets map[int]ReplicaSet

// apply stores a set if it is newer than the known one of its shard, and reports whether it is. A set of another cluster
// is ignored. A set without a cluster ID gets the known one: replicas of earlier builds drop it when they change a set.
func (s sets) apply(set ReplicaSet) bool {
	if s.foreign(set) || set.Epoch <= s[set.Shard].Epoch {
		return false
	}
	if set.ClusterID == "" {
		set.ClusterID = s.clusterID()
	}
	s[set.Shard] = set
	return true
}

// foreign reports whether a set belongs to another cluster. The number of shards never changes.
func (s sets) foreign(set ReplicaSet) bool {
	known := s.shards()
	return !set.sameCluster(ReplicaSet{ClusterID: s.clusterID()}) || known > 0 && max(set.Shards, 1) != known
}

// clusterID returns the cluster's ID; empty if it is unknown.
func (s sets) clusterID() string {
	for _, set := range s {
		if set.ClusterID != "" {
			return set.ClusterID
		}
	}
	return ""
}

// shards returns the number of shards; 0 while it is unknown.
func (s sets) shards() int {
	for _, set := range s {
		return max(set.Shards, 1)
	}
	return 0
}

// allKnown reports whether the sets of all shards are known.
func (s sets) allKnown() bool { return len(s) > 0 && len(s) == s.shards() }

// all returns the sets, sorted by shard.
func (s sets) all() []ReplicaSet {
	ordered := make([]ReplicaSet, 0, len(s))
	for _, set := range s {
		ordered = append(ordered, set)
	}
	slices.SortFunc(ordered, func(a, b ReplicaSet) int { return a.Shard - b.Shard })
	return ordered
}

// memberOf returns the set that has the named replica as a member.
func (s sets) memberOf(name string) (ReplicaSet, bool) {
	for _, set := range s {
		if set.Has(name) {
			return set, true
		}
	}
	return ReplicaSet{}, false
}
