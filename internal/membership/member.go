// Package membership tells which nodes are alive, leaving or dead, and spreads small versioned
// records to all of them. Core is a pure state machine; Manager gives it a clock and a network.
// docs/design/membership.md explains the protocol and its bounds.
package membership

import (
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Status is what the cluster holds of a member.
type Status string

// The statuses, in the order in which they override each other at the same incarnation.
const (
	Alive   Status = "alive"
	Leaving Status = "leaving"
	Suspect Status = "suspect"
	Dead    Status = "dead"
	Left    Status = "left"
)

var precedence = map[Status]int{Alive: 0, Leaving: 1, Suspect: 2, Dead: 3, Left: 4}

// Member describes one run of one node.
type Member struct {
	// ID is unique to this run of the process.
	ID string `json:"id"`
	// Name is the node's configured name and stays over restarts.
	Name string `json:"n,omitempty"`
	// ReplicaID names the storage of the node's replicas: it stays over restarts of a node with a
	// data folder, and equals ID on others.
	ReplicaID string `json:"rid,omitempty"`
	// Address is where other nodes reach this one; API is where callers do.
	Address string `json:"a,omitempty"`
	API     string `json:"api,omitempty"`
	Admin   string `json:"adm,omitempty"`
	Zone    string `json:"z,omitempty"`
	Region  string `json:"rg,omitempty"`
	// StartedAt is the clock of the member's machine when this run began, in milliseconds since 1970;
	// it orders the runs at one address.
	StartedAt int64 `json:"st,omitempty"`
	// Incarnation is raised by the member alone, to refute a suspicion or to announce a change.
	Incarnation uint64 `json:"i"`
	Status      Status `json:"s"`
	// SuspectedBy is who suspects the member; two of them count for more than one.
	SuspectedBy string `json:"by,omitempty"`
}

// Usable reports whether the member takes part: it is not dead and has not left.
func (m Member) Usable() bool { return m.Status != Dead && m.Status != Left }

// Eligible reports whether the member may be given new roles.
func (m Member) Eligible() bool { return m.Status == Alive || m.Status == Suspect }

// overrides reports whether m is newer knowledge than other, of the same ID.
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

// Record is a small value that every node is told; the highest version of a key wins.
type Record struct {
	Key     string          `json:"k"`
	Version uint64          `json:"v"`
	Value   json.RawMessage `json:"d,omitempty"`
}

// Change tells a subscriber what is new; exactly one of the fields is set.
type Change struct {
	Member *Member
	Record *Record
	// Source is the address of the peer that told us, empty when we found out ourselves.
	Source string
	// Paused is how long this process did not run.
	Paused time.Duration
}

const bucketCount = 16

func bucketOf(key string) int { return int(xxhash.Sum64String(key) % bucketCount) }

func hashMember(m Member) uint64 {
	return mix(xxhash.Sum64String(m.ID), m.Incarnation*8+uint64(precedence[m.Status]))
}

func hashRecord(r Record) uint64 { return mix(xxhash.Sum64String(r.Key), r.Version) }

// mix combines a key's hash with a version, so that XOR over entries is a set's fingerprint.
func mix(key, version uint64) uint64 {
	combined := key ^ (version * 0x9E3779B97F4A7C15)
	combined ^= combined >> 32
	combined *= 0xD6E8FEB86659FD93
	combined ^= combined >> 32
	return combined
}
