package transport

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/events"
)

// Addresses are reused: the node that listens at an address may not be the one that a sender knows there. Both ends
// check it. A node identifies itself in a hello on each connection, whichever end dialled, and again when its cluster
// ID becomes known. Until a sender has that hello, its messages name their recipient, and any other node refuses them.
// Nodes of earlier builds neither identify themselves on connections that they accept nor check the recipient.

// identity is what a node says about itself in a hello. The cluster ID is empty if the node doesn't know it yet.
type identity struct {
	nodeID    string
	clusterID string
}

// errOtherNode means that the connection to an address leads to another node than the wanted one.
type errOtherNode struct {
	found  identity
	wanted identity
}

// Error implements error.
func (e *errOtherNode) Error() string {
	return fmt.Sprintf("the address belongs to node %q of cluster %q, not to node %q of cluster %q",
		e.found.nodeID, e.found.clusterID, e.wanted.nodeID, e.wanted.clusterID)
}

// conflicts reports whether a node with identity i can't be the wanted one. Empty fields are unknown and match any.
func (i identity) conflicts(wanted identity) bool {
	differ := func(a, b string) bool { return a != "" && b != "" && a != b }
	return differ(i.nodeID, wanted.nodeID) || differ(i.clusterID, wanted.clusterID)
}

// confirms reports whether a node with identity i is the wanted one beyond doubt.
func (i identity) confirms(wanted identity) bool {
	confirmed := func(known, wanted string) bool { return wanted == "" || known == wanted }
	return confirmed(i.nodeID, wanted.nodeID) && confirmed(i.clusterID, wanted.clusterID)
}

// SetClusterID sets the ID that distinguishes this cluster from others of the same name. Messages are then neither sent
// to nor accepted from nodes that have another ID. Connected peers learn it at once. An empty ID is ignored.
func (t *Transport) SetClusterID(id string) {
	if id == "" {
		return
	}
	if previous := t.clusterID.Swap(&id); previous != nil && *previous == id {
		return
	}
	for _, conn := range t.openConnections() {
		conn.sendHello()
	}
}

// self returns this node's identity.
func (t *Transport) self() identity {
	known := identity{nodeID: t.options.NodeID}
	if id := t.clusterID.Load(); id != nil {
		known.clusterID = *id
	}
	return known
}

// wanted returns the identity that a peer must have.
func (t *Transport) wanted(peer Peer) identity {
	return identity{nodeID: peer.NodeID, clusterID: t.self().clusterID}
}

// checkRecipient returns an error if a message is for another node than this one.
func (t *Transport) checkRecipient(incoming frame) error {
	self, wanted := t.self(), identity{nodeID: incoming.To, clusterID: incoming.ClusterID}
	if self.conflicts(wanted) {
		return errors.WithStack(&errOtherNode{found: self, wanted: wanted})
	}
	return nil
}

// sendHello identifies this node to the peer.
func (c *connection) sendHello() {
	options, self := c.transport.options, c.transport.self()
	payload, err := json.Marshal(hello{
		Cluster: options.Cluster, NodeID: self.nodeID, Address: options.Address, Relays: options.Relays, ClusterID: self.clusterID,
	})
	if err == nil {
		c.tryEnqueue(frame{Kind: helloKind, Payload: payload})
	}
}

// handleHello takes the peer's identity from a hello after the first line. It returns an error if the peer belongs to
// another cluster.
func (c *connection) handleHello(incoming frame) error {
	var peerHello hello
	if err := json.Unmarshal(incoming.Payload, &peerHello); err != nil {
		return errors.Wrap(err, "decoding the hello")
	}
	return c.identify(peerHello)
}

// identify stores the peer's identity. It returns an error if the peer belongs to another cluster.
func (c *connection) identify(peerHello hello) error {
	if peerHello.Cluster != c.transport.options.Cluster {
		return apierr.New(apierr.Forbidden, apierr.NotRun, "peer belongs to cluster %q", peerHello.Cluster)
	}
	found := identity{nodeID: peerHello.NodeID, clusterID: peerHello.ClusterID}
	if wanted := c.transport.wanted(Peer{}); found.conflicts(wanted) {
		return errors.WithStack(&errOtherNode{found: found, wanted: wanted})
	}
	c.identity.Store(&found)
	return nil
}

// peerIdentity returns what is known of the peer's identity.
func (c *connection) peerIdentity() identity {
	if known := c.identity.Load(); known != nil {
		return *known
	}
	return identity{}
}

// sender returns the peer as it is passed to handlers.
func (c *connection) sender() Peer {
	if c.peer.NodeID != "" {
		return c.peer
	}
	return Peer{NodeID: c.peerIdentity().nodeID, Address: c.peer.Address}
}

// addressed returns the message with its recipient, unless the peer is known to be the recipient.
func (c *connection) addressed(to Peer, outgoing frame) frame {
	if wanted := c.transport.wanted(to); !c.peerIdentity().confirms(wanted) {
		outgoing.To, outgoing.ClusterID = wanted.nodeID, wanted.clusterID
	}
	return outgoing
}

// checkPeer returns an error if the connection doesn't lead to the given peer.
func (c *connection) checkPeer(to Peer) error {
	found, wanted := c.peerIdentity(), c.transport.wanted(to)
	if found.conflicts(wanted) {
		return errors.WithStack(&errOtherNode{found: found, wanted: wanted})
	}
	return nil
}

// mayRedialOther reports whether the address of a connection that leads to another node is worth dialling again: it is
// unless the connection was dialled and its peer has been active lately. The caller holds the mutex.
func (t *Transport) mayRedialOther(conn *connection, now time.Time) bool {
	if conn.dialled && conn.sinceLastReceived(now) < redialInterval {
		return false
	}
	return now.Sub(t.redialledAt[conn.peer.Address]) >= redialInterval
}

// refuse answers a request that is for another node; a one-way message is dropped.
func (c *connection) refuse(incoming frame, cause error) {
	c.logRefusal.Do(func() {
		c.transport.options.Logger.Emit(events.MessageMisdirected, events.F("peer", c.peer.Address), events.F("kind", incoming.Kind), events.F("error", cause))
	})
	if incoming.ID == 0 {
		return
	}
	c.tryEnqueue(frame{Kind: incoming.Kind, ID: incoming.ID, Reply: true, Error: apierr.New(apierr.PeerUnreachable, apierr.NotRun, "%s", cause)})
}
