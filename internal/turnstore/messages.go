package turnstore

import (
	"github.com/mountstile/mountstile/internal/conversation"
	"github.com/mountstile/mountstile/internal/load"
)

// Message kinds.
const (
	openKind   = "turns.open"
	putKind    = "turns.put"
	digestKind = "turns.digest"
	fetchKind  = "turns.fetch"
	fenceKind  = "turns.fence"
	syncKind   = "turns.sync"
)

// openRequest reserves a turn's tokens and reads the turn before it.
type openRequest struct {
	Shard int   `json:"s,omitempty"`
	Epoch int64 `json:"e"`
	// Reserve is nil if the program has no budget.
	Reserve  *conversation.Charge `json:"r,omitempty"`
	Previous string               `json:"p,omitempty"`
	// WithText requests the turns of the chain, not only whether the previous turn is known.
	WithText bool `json:"t,omitempty"`
	// Gateway is the gateway that reports its load. If the request is relayed, its sender is another node.
	Gateway string `json:"f,omitempty"`
	// Load is the gateway's report of its calls in flight, or nil; WantLoad requests the sum of the other gateways'
	// reports.
	Load     *load.Counts `json:"l,omitempty"`
	WantLoad bool         `json:"w,omitempty"`
}

type openResponse struct {
	// Newer is the replica's set if it is newer than the request's epoch. The replica then neither reserves tokens nor
	// reads turns.
	Newer *ReplicaSet `json:"n,omitempty"`
	// Complete reports whether the replica counts toward a read quorum; see folderRecord.
	Complete bool                    `json:"c,omitempty"`
	Charges  conversation.ChargeList `json:"q,omitempty"`
	// Engine is the engine that ran the program's last turn; empty if unknown.
	Engine string              `json:"g,omitempty"`
	Known  bool                `json:"k,omitempty"`
	Chain  []conversation.Turn `json:"h,omitempty"`
	// Missing is the ID of a turn that the replica lacks or can't read; Chain then starts after it.
	Missing string       `json:"m,omitempty"`
	Load    *load.Counts `json:"l,omitempty"`
}

type putRequest struct {
	Shard   int                   `json:"s,omitempty"`
	Epoch   int64                 `json:"e"`
	Records []conversation.Record `json:"r"`
}

type putResponse struct {
	Newer *ReplicaSet `json:"n,omitempty"`
}

type digestRequest struct {
	// From is the requesting replica. The connection does not identify it if the recipient dialed it.
	From        string `json:"f,omitempty"`
	Shard       int    `json:"s,omitempty"`
	Epoch       int64  `json:"e"`
	Incarnation string `json:"i"`
	After       uint64 `json:"a"`
	// Heartbeat requests no keys, only whether the replica is alive and complete, and its set if newer.
	Heartbeat bool `json:"p,omitempty"`
}

type digestResponse struct {
	Incarnation string             `json:"i"`
	Sequence    uint64             `json:"s"`
	Keys        []conversation.Key `json:"k,omitempty"`
	Complete    bool               `json:"c,omitempty"`
	// SparePulling reports that a spare other than the requester pulls from this replica.
	SparePulling bool `json:"f,omitempty"`
	// ReplicaSet is the replica's set if it is newer than the request's epoch.
	ReplicaSet *ReplicaSet `json:"n,omitempty"`
}

type fetchRequest struct {
	Keys []conversation.Key `json:"k"`
}

type fetchResponse struct {
	// Incarnation is that of the replica; empty from replicas of earlier builds.
	Incarnation string                `json:"i,omitempty"`
	Records     []conversation.Record `json:"r"`
}

type fenceRequest struct {
	ReplicaSet ReplicaSet `json:"s"`
}

type fenceResponse struct {
	Epoch    int64 `json:"e"`
	Complete bool  `json:"c"`
}

// syncRequest asks a member to pull from the named members now. Replicas of earlier builds reject it.
type syncRequest struct {
	Shard   int      `json:"s,omitempty"`
	Epoch   int64    `json:"e"`
	Sources []string `json:"m"`
}

type syncResponse struct {
	// Synchronized reports that the replica, which is complete and knows the request's epoch, has pulled all records of the
	// sources, which were complete.
	Synchronized bool `json:"y"`
}
