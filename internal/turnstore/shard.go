package turnstore

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Turns and charges are divided into shards by program. Each shard has a replica set of its own, and replica sets have
// no member in common, so that a replica carries the turns of its shard only, and what is lost, emptied or added moves
// one shard. How many shards there are is decided once, when the system first starts (docs/design/shards.md).

// sparesPerShard is how many replicas more than members a shard is reckoned with: a member that is lost or emptied is
// replaced at once, and spares serve the catalog.
const sparesPerShard = 1

// shardsFor is how many shards as many replicas can carry with sets of size members.
func shardsFor(replicas, size int) int {
	if size <= 0 {
		return 1
	}
	return max(replicas/(size+sparesPerShard), 1)
}

// shardOf is the shard of a program. Turns without a program share one.
func shardOf(program string, shards int) int {
	if shards <= 1 {
		return 0
	}
	return int(xxhash.Sum64String(program) % uint64(shards))
}

// firstSets divides the first candidates over shards of size members each. Candidates are taken from each zone in turn, so
// that the members of a set are in as many zones as possible, and so are the spares that are left.
func firstSets(listed []Member, size, copies int) []ReplicaSet {
	if size <= 0 || size >= len(listed) {
		return []ReplicaSet{{Epoch: 1, Members: listed, Copies: copies, Size: len(listed)}}
	}
	shards := shardsFor(len(listed), size)
	ordered := byZonesInTurn(listed)
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

// byZonesInTurn orders members so that neighbors are in different zones as far as that goes.
func byZonesInTurn(listed []Member) []Member {
	var zones []string
	byZone := make(map[string][]Member)
	for _, member := range listed {
		if len(byZone[member.Zone]) == 0 {
			zones = append(zones, member.Zone)
		}
		byZone[member.Zone] = append(byZone[member.Zone], member)
	}
	ordered := make([]Member, 0, len(listed))
	for round := 0; len(ordered) < len(listed); round++ {
		for _, zone := range zones {
			if round < len(byZone[zone]) {
				ordered = append(ordered, byZone[zone][round])
			}
		}
	}
	return ordered
}

// setKey is the store's key of a shard's replica set. The first shard has the key itself, as the only one has where turns
// are not divided.
func setKey(key string, shard int) string {
	if shard == 0 {
		return key
	}
	return key + "/" + strconv.Itoa(shard)
}

// sets are the newest replica sets that a node knows, by shard. It is not safe for concurrent use.
type sets map[int]ReplicaSet

// apply takes a set unless a newer one of its shard is known, and reports whether it did.
func (s sets) apply(set ReplicaSet) bool {
	if set.Epoch <= s[set.Shard].Epoch {
		return false
	}
	s[set.Shard] = set
	return true
}

// shards is how many shards there are; 0 while that is not known.
func (s sets) shards() int {
	for _, set := range s {
		return max(set.Shards, 1)
	}
	return 0
}

// whole tells whether the sets of all shards are known.
func (s sets) whole() bool { return len(s) > 0 && len(s) == s.shards() }

// all returns the sets in the order of their shards.
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
