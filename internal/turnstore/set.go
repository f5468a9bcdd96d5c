package turnstore

import "github.com/mountstile/mountstile/internal/events"

// Member is one replica.
type Member struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone,omitempty"`
}

// ReplicaSet says which replicas hold the turns of one shard. While Next is not empty, the set is changing: writes and
// reads need enough replicas of both Members and Next.
type ReplicaSet struct {
	// Shard is the number of the shard, from 0; Shards is how many there are, 0 standing for one.
	Shard  int `json:"shard,omitempty"`
	Shards int `json:"shards,omitempty"`
	// Epoch rises with each change. Replicas refuse requests of older epochs than they have seen.
	Epoch   int64    `json:"epoch"`
	Members []Member `json:"members"`
	Next    []Member `json:"next,omitempty"`
	// ChangedBy is the replica that makes the change from Members to Next.
	ChangedBy string `json:"changed_by,omitempty"`
	// Copies is on how many synced disks a record must lie before it is acknowledged.
	Copies int `json:"copies"`
	// Size is how many members there should be. Replicas beyond it pull, but don't join.
	Size int `json:"size"`
}

// fields are what log events tell of a set.
func (s ReplicaSet) fields() []events.Field {
	return []events.Field{
		events.F("shard", s.Shard), events.F("epoch", s.Epoch), events.F("members", s.Members), events.F("next", s.Next),
	}
}

// Changing tells whether the set is between two steps of a change.
func (s ReplicaSet) Changing() bool { return len(s.Next) > 0 }

// All returns the members of both steps, each once.
func (s ReplicaSet) All() []Member {
	all := append([]Member(nil), s.Members...)
	for _, member := range s.Next {
		if !contains(all, member.Name) {
			all = append(all, member)
		}
	}
	return all
}

// Has tells whether a replica is a member of either step.
func (s ReplicaSet) Has(name string) bool { return contains(s.Members, name) || contains(s.Next, name) }

// firstOfZone tells whether a member is the first of its zone.
func (s ReplicaSet) firstOfZone(member Member) bool {
	for _, other := range s.All() {
		if other.Zone == member.Zone {
			return other.Name == member.Name
		}
	}
	return false
}

// Written tells whether a record that the named replicas have synced counts as written.
func (s ReplicaSet) Written(synced map[string]bool) bool {
	enough := func(members []Member) bool { return count(members, synced) >= s.writes(members) }
	return enough(s.Members) && (!s.Changing() || enough(s.Next))
}

// Read tells whether the answers of the named complete replicas are sure to show every record that
// counts as written.
func (s ReplicaSet) Read(complete map[string]bool) bool {
	enough := func(members []Member) bool { return count(members, complete) >= s.reads(members) }
	return enough(s.Members) && (!s.Changing() || enough(s.Next))
}

func (s ReplicaSet) writes(members []Member) int { return min(s.Copies, len(members)) }

func (s ReplicaSet) reads(members []Member) int { return len(members) - s.writes(members) + 1 }

// readers are the members that follow the store for all.
func (s ReplicaSet) readers() []Member { return s.Members[:min(s.Copies, len(s.Members))] }

func contains(members []Member, name string) bool {
	for _, member := range members {
		if member.Name == name {
			return true
		}
	}
	return false
}

func without(members []Member, name string) []Member {
	var kept []Member
	for _, member := range members {
		if member.Name != name {
			kept = append(kept, member)
		}
	}
	return kept
}

func count(members []Member, names map[string]bool) int {
	found := 0
	for _, member := range members {
		if names[member.Name] {
			found++
		}
	}
	return found
}
