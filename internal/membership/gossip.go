package membership

import (
	"slices"
	"time"
)

// queueGossip queues a member or record for all peers except the one that it came from.
func (c *Core) queueGossip(key, source string) {
	for _, id := range c.peers() {
		if id == source {
			continue
		}
		if c.outbox[id] == nil {
			c.outbox[id] = make(map[string]bool)
		}
		c.outbox[id][key] = true
	}
}

// flushOutbox sends the queued members and records, in one packet per peer.
func (c *Core) flushOutbox() {
	for id, keys := range c.outbox {
		packet := Packet{Type: Gossip}
		for key := range keys {
			c.attach(&packet, key)
		}
		delete(c.outbox, id)
		if c.members[id] != nil {
			c.send(id, packet)
		}
	}
}

func (c *Core) attach(packet *Packet, key string) {
	if known := c.members[key]; known != nil {
		packet.Members = append(packet.Members, known.member)
		return
	}
	if len(key) > 0 && key[:1] == recordPrefix {
		packet.Records = append(packet.Records, c.records[key[1:]])
	}
}

// sendSyncs starts an exchange of members and records with a random peer, and another with a random unreachable
// address, which merges the parts of the cluster after a network partition.
func (c *Core) sendSyncs(time.Time) {
	packet := Packet{Type: Sync, Hashes: slices.Clone(c.hashes[:]), Members: []Member{c.self}}
	if peers := c.peers(); len(peers) > 0 {
		c.send(peers[c.random.IntN(len(peers))], packet)
	}
	if unreachable := c.unreachableAddresses(); len(unreachable) > 0 {
		c.sendTo(unreachable[c.random.IntN(len(unreachable))], packet)
	}
}

// unreachableAddresses returns the addresses of seeds and dead members at which no usable member is known.
func (c *Core) unreachableAddresses() []string {
	usable := make(map[string]bool, len(c.members))
	var unreachable []string
	for _, known := range c.members {
		if known.member.Usable() {
			usable[known.member.Address] = true
		}
	}
	for _, known := range c.members {
		if known.member.Status == Dead && !usable[known.member.Address] {
			unreachable = append(unreachable, known.member.Address)
		}
	}
	for _, seed := range c.seeds {
		if !usable[seed] && !slices.Contains(unreachable, seed) {
			unreachable = append(unreachable, seed)
		}
	}
	slices.Sort(unreachable)
	return unreachable
}

// handleSync sends the members and records of the buckets whose hashes differ from the sender's.
func (c *Core) handleSync(packet Packet, source string) {
	if len(packet.Hashes) != bucketCount {
		return
	}
	reply := Packet{Type: SyncEntries, To: packet.From}
	for bucket, hash := range c.hashes {
		if hash != packet.Hashes[bucket] {
			reply.Buckets = append(reply.Buckets, bucket)
		}
	}
	c.attachBuckets(&reply)
	c.sendTo(source, reply)
}

// attachBuckets adds all members and records of the buckets of a packet to it.
func (c *Core) attachBuckets(packet *Packet) {
	for id, known := range c.members {
		if slices.Contains(packet.Buckets, bucketOf(id)) {
			packet.Members = append(packet.Members, known.member)
		}
	}
	for key, record := range c.records {
		if slices.Contains(packet.Buckets, bucketOf(key)) {
			packet.Records = append(packet.Records, record)
		}
	}
}

// handleSyncEntries sends the members and records that the peer lacks or has in an older version. Those of the peer are
// already merged.
func (c *Core) handleSyncEntries(packet Packet, source string) {
	if len(packet.Buckets) == 0 {
		return
	}
	peerMembers := make(map[string]Member, len(packet.Members))
	for _, member := range packet.Members {
		peerMembers[member.ID] = member
	}
	peerVersions := make(map[string]uint64, len(packet.Records))
	for _, record := range packet.Records {
		peerVersions[record.Key] = record.Version
	}
	local := Packet{Buckets: packet.Buckets}
	c.attachBuckets(&local)
	reply := Packet{Type: SyncEntries, To: packet.From}
	for _, member := range local.Members {
		if peerMember, known := peerMembers[member.ID]; !known || member.overrides(peerMember) {
			reply.Members = append(reply.Members, member)
		}
	}
	for _, record := range local.Records {
		if version, known := peerVersions[record.Key]; !known || record.Version > version {
			reply.Records = append(reply.Records, record)
		}
	}
	if len(reply.Members)+len(reply.Records) > 0 {
		c.sendTo(source, reply)
	}
}
