package turnstore

import (
	"github.com/mountstile/mountstile/internal/conversation"
	"github.com/mountstile/mountstile/internal/load"
)

// The kinds of messages.
const (
	openKind   = "turns.open"
	putKind    = "turns.put"
	digestKind = "turns.digest"
	fetchKind  = "turns.fetch"
	fenceKind  = "turns.fence"
)

// openRequest reserves a turn's tokens and asks what a replica knows of the turn before it.
type openRequest struct {
	Shard int   `json:"s,omitempty"`
	Epoch int64 `json:"e"`
	// Reserve is nil if the program has no budget.
	Reserve  *conversation.Charge `json:"r,omitempty"`
	Previous string               `json:"p,omitempty"`
	// WithText asks for the turns of the chain, not only whether the turn is known.
	WithText bool `json:"t,omitempty"`
	// Gateway names the node that reports its load: what is relayed comes from another one.
	Gateway string `json:"f,omitempty"`
	// Load is the gateway's report of its calls in flight, nil if it makes none this time; LoadNews asks for the sum of the
	// others' reports.
	Load     *load.Counts `json:"l,omitempty"`
	LoadNews bool         `json:"w,omitempty"`
}

type openAnswer struct {
	// Newer is set instead of all else if the request's epoch is old.
	Newer *ReplicaSet `json:"n,omitempty"`
	// Complete tells whether what the replica doesn't know may be counted.
	Complete bool                    `json:"c,omitempty"`
	Charges  conversation.ChargeList `json:"q,omitempty"`
	// Engine is where a turn of the program ran last, if that is known.
	Engine  string              `json:"g,omitempty"`
	Known   bool                `json:"k,omitempty"`
	Chain   []conversation.Turn `json:"h,omitempty"`
	Missing string              `json:"m,omitempty"`
	Load    *load.Counts        `json:"l,omitempty"`
}

type putRequest struct {
	Shard   int                   `json:"s,omitempty"`
	Epoch   int64                 `json:"e"`
	Records []conversation.Record `json:"r"`
}

type putAnswer struct {
	Newer *ReplicaSet `json:"n,omitempty"`
}

type digestRequest struct {
	// From is the asker. A connection that this replica has dialled does not name its other end.
	From     string `json:"f,omitempty"`
	Shard    int    `json:"s,omitempty"`
	Epoch    int64  `json:"e"`
	Identity string `json:"i"`
	After    uint64 `json:"a"`
	// Presence asks for no keys: only whether the replica is there, complete, and knows a newer set.
	Presence bool `json:"p,omitempty"`
}

type digestAnswer struct {
	Identity string             `json:"i"`
	Sequence uint64             `json:"s"`
	Keys     []conversation.Key `json:"k,omitempty"`
	Complete bool               `json:"c,omitempty"`
	// Followed tells that a spare, another one than the asker, pulls from this replica.
	Followed bool `json:"f,omitempty"`
	// ReplicaSet is the newest set that the replica knows.
	ReplicaSet *ReplicaSet `json:"n,omitempty"`
}

type fetchRequest struct {
	Keys []conversation.Key `json:"k"`
}

type fetchAnswer struct {
	Records []conversation.Record `json:"r"`
}

type fenceRequest struct {
	ReplicaSet ReplicaSet `json:"s"`
}

type fenceAnswer struct {
	Epoch    int64 `json:"e"`
	Complete bool  `json:"c"`
}
