package membership

import (
	"slices"
	"time"
)

// spread queues a member or record for every regular peer but the one that told us.
func (c *Core) spread(key, source string) {
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

// flushOutbox sends what is queued, one packet a peer.
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

// sendSyncs compares tables with one regular peer, and tries to reach one that is out of sight: a
// seed or a dead member. The latter heals a split of the network.
func (c *Core) sendSyncs(time.Time) {
	packet := Packet{Type: Sync, Hashes: slices.Clone(c.hashes[:]), Members: []Member{c.self}}
	if peers := c.peers(); len(peers) > 0 {
		c.send(peers[c.random.IntN(len(peers))], packet)
	}
	if lost := c.outOfSight(); len(lost) > 0 {
		c.sendTo(lost[c.random.IntN(len(lost))], packet)
	}
}

// outOfSight lists addresses where somebody may live whom this node does not know as alive.
func (c *Core) outOfSight() []string {
	alive := make(map[string]bool, len(c.members))
	var dead []string
	for _, known := range c.members {
		if known.member.Usable() {
			alive[known.member.Address] = true
		}
	}
	for _, known := range c.members {
		if known.member.Status == Dead && !alive[known.member.Address] {
			dead = append(dead, known.member.Address)
		}
	}
	for _, seed := range c.seeds {
		if !alive[seed] && !slices.Contains(dead, seed) {
			dead = append(dead, seed)
		}
	}
	slices.Sort(dead)
	return dead
}

func (c *Core) answerSync(packet Packet, source string) {
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

// finishSync returns what the peer lacks; its entries are merged already.
func (c *Core) finishSync(packet Packet, source string) {
	if len(packet.Buckets) == 0 {
		return
	}
	theirs := make(map[string]Member, len(packet.Members))
	for _, member := range packet.Members {
		theirs[member.ID] = member
	}
	versions := make(map[string]uint64, len(packet.Records))
	for _, record := range packet.Records {
		versions[record.Key] = record.Version
	}
	ours := Packet{Buckets: packet.Buckets}
	c.attachBuckets(&ours)
	reply := Packet{Type: SyncEntries, To: packet.From}
	for _, member := range ours.Members {
		if their, known := theirs[member.ID]; !known || member.overrides(their) {
			reply.Members = append(reply.Members, member)
		}
	}
	for _, record := range ours.Records {
		if version, known := versions[record.Key]; !known || record.Version > version {
			reply.Records = append(reply.Records, record)
		}
	}
	if len(reply.Members)+len(reply.Records) > 0 {
		c.sendTo(source, reply)
	}
}
