package turnstore

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/transport"
)

// Member is one replica of a set.
type Member struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone,omitempty"`
	// Identity is that of the replica's disk (see folderRecord) in a candidate's record and in the first sets; a member that
	// joined later has none, and neither have those of earlier builds.
	Identity string `json:"identity,omitempty"`
}

// Peer returns the member as the recipient of messages.
func (m Member) Peer() transport.Peer { return transport.Peer{NodeID: m.Name, Address: m.Address} }

// ReplicaSet lists the replicas that hold the turns of one shard. While Next is not empty, the set is changing: writes
// and reads need a quorum of both Members and Next.
type ReplicaSet struct {
	// ClusterID is drawn when the first sets are created, and the same in all of them. It distinguishes the replicas of
	// this cluster from those of others. It is empty in a cluster whose sets were created by an earlier build.
	ClusterID string `json:"cluster_id,omitempty"`
	// Shard is the shard's number, from 0; Shards is the number of shards, where 0 means one.
	Shard  int `json:"shard,omitempty"`
	Shards int `json:"shards,omitempty"`
	// Epoch increases with each change. Replicas reject requests of older epochs than they know.
	Epoch   int64    `json:"epoch"`
	Members []Member `json:"members"`
	Next    []Member `json:"next,omitempty"`
	// ChangedBy is the replica that makes the change from Members to Next.
	ChangedBy string `json:"changed_by,omitempty"`
	// Copies is how many disks must sync a record before it is acknowledged.
	Copies int `json:"copies"`
	// Size is the intended number of members. Further replicas are spares: they pull, but don't join.
	Size int `json:"size"`
}

// ErrReplicaSet means that a replica set can't be used.
type ErrReplicaSet struct{ Set ReplicaSet }

// Error implements error.
func (e *ErrReplicaSet) Error() string {
	return fmt.Sprintf("replica set of epoch %d is invalid: shard %d of %d, %d members, %d copies",
		e.Set.Epoch, e.Set.Shard, max(e.Set.Shards, 1), len(e.Set.Members), e.Set.Copies)
}

// UnmarshalJSON implements json.Unmarshaler. A set with an epoch must be usable, for it may come from another writer; the error
// is an *ErrReplicaSet if it isn't.
func (s *ReplicaSet) UnmarshalJSON(data []byte) error {
	type plain ReplicaSet
	var decoded plain
	if err := json.Unmarshal(data, &decoded); err != nil {
		return errors.Wrap(err, "decoding a replica set")
	}
	if set := ReplicaSet(decoded); set.Epoch != 0 && !set.valid() {
		return errors.WithStack(&ErrReplicaSet{Set: set})
	}
	*s = ReplicaSet(decoded)
	return nil
}

func (s ReplicaSet) valid() bool {
	if s.Copies < 1 || len(s.Members) == 0 || s.Shard < 0 || s.Shard >= max(s.Shards, 1) {
		return false
	}
	for _, member := range s.All() {
		if member.Name == "" || member.Address == "" {
			return false
		}
	}
	return true
}

// logFields returns the set's fields for log events.
func (s ReplicaSet) logFields() []events.Field {
	return []events.Field{
		events.F("shard", s.Shard), events.F("epoch", s.Epoch), events.F("members", s.Members), events.F("next", s.Next),
	}
}

// sameCluster reports whether the sets may belong to one cluster.
func (s ReplicaSet) sameCluster(other ReplicaSet) bool {
	return s.ClusterID == "" || other.ClusterID == "" || s.ClusterID == other.ClusterID
}

// Changing reports whether a change of the set is pending.
func (s ReplicaSet) Changing() bool { return len(s.Next) > 0 }

// All returns the union of Members and Next.
func (s ReplicaSet) All() []Member {
	all := append([]Member(nil), s.Members...)
	for _, member := range s.Next {
		if !contains(all, member.Name) {
			all = append(all, member)
		}
	}
	return all
}

// Has reports whether a replica is in Members or Next.
func (s ReplicaSet) Has(name string) bool { return contains(s.Members, name) || contains(s.Next, name) }

// namesDisk reports whether a member has been in the set since it was created, with the disk of the given identity.
func (s ReplicaSet) namesDisk(identity string) bool {
	return slices.ContainsFunc(s.Members, func(member Member) bool { return member.Identity == identity })
}

// firstOfZone reports whether a member is the first of its zone.
func (s ReplicaSet) firstOfZone(member Member) bool {
	for _, other := range s.All() {
		if other.Zone == member.Zone {
			return other.Name == member.Name
		}
	}
	return false
}

// HasWriteQuorum reports whether a record that the named replicas have synced counts as written.
func (s ReplicaSet) HasWriteQuorum(synced map[string]bool) bool {
	enough := func(members []Member) bool { return count(members, synced) >= s.writeQuorum(members) }
	return enough(s.Members) && (!s.Changing() || enough(s.Next))
}

// HasReadQuorum reports whether the named replicas, which are complete, together show every record that counts as
// written.
func (s ReplicaSet) HasReadQuorum(complete map[string]bool) bool {
	enough := func(members []Member) bool { return count(members, complete) >= s.readQuorum(members) }
	return enough(s.Members) && (!s.Changing() || enough(s.Next))
}

func (s ReplicaSet) writeQuorum(members []Member) int { return min(s.Copies, len(members)) }

func (s ReplicaSet) readQuorum(members []Member) int {
	return len(members) - s.writeQuorum(members) + 1
}

// storeReaders returns the members that read the configuration store for all nodes.
func (s ReplicaSet) storeReaders() []Member { return s.Members[:min(s.Copies, len(s.Members))] }

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
