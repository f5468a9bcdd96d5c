package turnstore

import (
	"context"
	"encoding/json"
	"time"

	"github.com/mountstile/mountstile/internal/catalog"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/startup"
	"github.com/mountstile/mountstile/internal/transport"
)

// NodeOptions configures a Node.
type NodeOptions struct {
	Replica ReplicaOptions
	Source  catalog.Source
	// StaleAfter is the age from which the last contact with the store no longer counts as fresh.
	StaleAfter time.Duration
	// Seeds returns the addresses of replicas to contact before any set is known.
	Seeds   func() []string
	Network *transport.Transport
	Logger  *events.Logger
}

// Node is a replica that also serves the catalog to gateways.
type Node struct {
	options NodeOptions
	catalog *catalog.Manager
	replica *Replica
}

// NewNode opens the replica's data folder and creates the replica and its catalog.
func NewNode(options NodeOptions) (*Node, error) {
	node := &Node{options: options}
	options.Replica.IsRetiring = func(name string) bool {
		_, found := node.catalog.Get(catalog.Key(catalog.RetirementKind, name))
		return found
	}
	var err error
	node.replica, err = NewReplica(options.Replica, options.Network, options.Logger)
	if err != nil {
		return nil, err
	}
	node.catalog = catalog.NewManager(catalog.Options{
		Peers: node.peers, FollowAll: true, ReadsStore: node.readsStore, Source: options.Source, StaleAfter: options.StaleAfter,
		Self:     catalog.Endpoint{Address: options.Replica.Self.Address, Zone: options.Replica.Self.Zone},
		IsMirror: node.servesGateways, OnChange: node.apply, KnowsAllRuns: node.replica.folder.isNew, SetMembers: node.setMembers,
	}, options.Network, options.Logger)
	return node, nil
}

// AwaitNode is like NewNode, but waits while the data folder can't be opened. The error is the context's.
func AwaitNode(ctx context.Context, options NodeOptions) (*Node, error) {
	var node *Node
	err := startup.Retry(ctx, func() (err error) {
		node, err = NewNode(options)
		return err
	}, func(err error) {
		options.Logger.Emit(events.StorageFailed, events.F("folder", options.Replica.Folder), events.F("error", err))
	})
	return node, err
}

// setMembers returns the other members of the replica set; none if this node is not a member.
func (n *Node) setMembers() (peers []transport.Peer) {
	set := n.replica.ReplicaSet()
	if !contains(set.All(), n.options.Replica.Self.Name) {
		return nil
	}
	for _, member := range n.replica.others() {
		peers = append(peers, member.Peer())
	}
	return peers
}

// readsStore reports whether this replica reads the configuration store. Calls to the store are expensive, so only a
// few members read it: one more than may be lost at once. While the set is unknown, all replicas read it.
func (n *Node) readsStore() bool {
	set := n.replica.setOf(0)
	return set.Epoch == 0 || contains(set.storeReaders(), n.options.Replica.Self.Name)
}

// servesGateways reports whether this replica serves the catalog to the gateways of its zone. Members of the first
// shard don't: they read the store for all nodes and exchange the gateways' load.
func (n *Node) servesGateways() bool {
	set := n.replica.setOf(0)
	return set.Epoch > 0 && !set.Has(n.options.Replica.Self.Name)
}

// peers returns the replicas that read the store, or the seeds while no set is known.
func (n *Node) peers() []transport.Peer {
	var peers []transport.Peer
	set := n.replica.setOf(0)
	for _, member := range without(set.storeReaders(), n.options.Replica.Self.Name) {
		peers = append(peers, member.Peer())
	}
	if set.Epoch > 0 {
		return peers
	}
	for _, seed := range n.options.Seeds() {
		if seed != n.options.Replica.Self.Address {
			peers = append(peers, transport.Peer{Address: seed})
		}
	}
	return peers
}

func (n *Node) apply(entry catalog.Entry) {
	switch kind, _ := catalog.SplitKey(entry.Key); kind {
	case catalog.ReplicaSetKind:
		n.applySet(entry)
	case catalog.CandidateKind:
		var candidate Member
		if json.Unmarshal(entry.Value, &candidate) == nil && candidate.Name != "" {
			n.replica.ApplyCandidate(candidate)
		}
	}
}

func (n *Node) applySet(entry catalog.Entry) {
	if entry.Removed() {
		return
	}
	var set ReplicaSet
	if err := json.Unmarshal(entry.Value, &set); err != nil {
		n.options.Logger.Emit(events.ConfigRejected, events.F("key", entry.Key), events.F("revision", entry.Revision), events.F("error", err))
		return
	}
	if set.Epoch > 0 {
		n.replica.ApplySet(set)
	}
}

// Run runs the catalog and the replica until the context ends.
func (n *Node) Run(ctx context.Context) {
	go n.catalog.Run(ctx)
	n.replica.Run(ctx)
}
