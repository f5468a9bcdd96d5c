// Package membership implements a gossip protocol that detects failed nodes and distributes small versioned
// records to all nodes. Core is a deterministic state machine; Manager connects it to a clock and the
// transport. docs/design/membership.md describes the protocol and its bounds.
package membership

import (
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mountstile/mountstile/internal/transport"
)

// Status is the status of a member.
type Status string

// Statuses. At the same incarnation, a later one in this list overrides an earlier one.
const (
	Alive   Status = "alive"
	Leaving Status = "leaving"
	Suspect Status = "suspect"
	Dead    Status = "dead"
	Left    Status = "left"
)

var precedence = map[Status]int{Alive: 0, Leaving: 1, Suspect: 2, Dead: 3, Left: 4}

// Member describes one run of a node.
type Member struct {
	// ID is unique to this run of the node.
	ID string `json:"id"`
	// Name is the configured name of the node, which is the same in all runs.
	Name string `json:"n,omitempty"`
	// ReplicaID identifies the replica storage of the node. It survives restarts of a node with a data
	// folder, and equals ID on other nodes.
	ReplicaID string `json:"rid,omitempty"`
	// Address is the address for other nodes; API and Admin are the addresses for clients and operators.
	Address string `json:"a,omitempty"`
	API     string `json:"api,omitempty"`
	Admin   string `json:"adm,omitempty"`
	Zone    string `json:"z,omitempty"`
	Region  string `json:"rg,omitempty"`
	// StartedAt is the start time of this run by the clock of its machine, in Unix milliseconds. It
	// orders the runs at one address.
	StartedAt int64 `json:"st,omitempty"`
	// Incarnation is increased only by the member itself, to refute a suspicion or to announce a change.
	Incarnation uint64 `json:"i"`
	Status      Status `json:"s"`
	// SuspectedBy is the ID of a member that suspects this one. Two different ones confirm a suspicion.
	SuspectedBy string `json:"by,omitempty"`
}

// Peer returns the member as the recipient of messages. A later run of the node doesn't answer for it.
func (m Member) Peer() transport.Peer { return transport.Peer{NodeID: m.ID, Address: m.Address} }

// Usable reports whether the member is neither dead nor has left.
func (m Member) Usable() bool { return m.Status != Dead && m.Status != Left }

// Eligible reports whether the member may be assigned new work.
func (m Member) Eligible() bool { return m.Status == Alive || m.Status == Suspect }

// overrides reports whether m is newer than other, which has the same ID. Left is final.
func (m Member) overrides(other Member) bool {
	if other.Status == Left {
		return false
	}
	if m.Status == Left {
		return true
	}
	if m.Incarnation != other.Incarnation {
		return m.Incarnation > other.Incarnation
	}
	return precedence[m.Status] > precedence[other.Status]
}

// Record is a small value that is distributed to all nodes. The highest version of a key wins.
type Record struct {
	Key     string          `json:"k"`
	Version uint64          `json:"v"`
	Value   json.RawMessage `json:"d,omitempty"`
}

// Change is reported to subscribers. Exactly one of Member, Record and Paused is set.
type Change struct {
	Member *Member
	Record *Record
	// Source is the address of the peer that sent the change; it is empty for a local change.
	Source string
	// Paused is the duration of a pause of this process.
	Paused time.Duration
}

// bucketCount is the number of buckets in which the table is compared with a peer. It is part of the
// protocol.
const bucketCount = 16

func bucketOf(key string) int { return int(xxhash.Sum64String(key) % bucketCount) }

func hashMember(m Member) uint64 {
	return mix(xxhash.Sum64String(m.ID), m.Incarnation*8+uint64(precedence[m.Status]))
}

func hashRecord(r Record) uint64 { return mix(xxhash.Sum64String(r.Key), r.Version) }

// mix combines the hash of a key with a version. The hash of a set of entries is the XOR of their mixes.
func mix(key, version uint64) uint64 {
	combined := key ^ (version * 0x9E3779B97F4A7C15)
	combined ^= combined >> 32
	combined *= 0xD6E8FEB86659FD93
	combined ^= combined >> 32
	return combined
}
