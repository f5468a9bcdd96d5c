package membership

import "time"

// Receive handles one packet.
func (c *Core) Receive(now time.Time, packet Packet) {
	if packet.From == c.self.ID {
		return
	}
	// A packet for an earlier run on this address is not ours to answer: its addressee is gone.
	if packet.To != "" && packet.To != c.self.ID {
		return
	}
	c.lastHeard = now
	source := c.addressOf(packet.From)
	for _, member := range packet.Members {
		c.mergeMember(now, member, packet.From)
	}
	for _, record := range packet.Records {
		c.mergeRecord(record, packet.From)
	}
	if source == "" {
		source = c.addressOf(packet.From)
	}
	c.supersede(now, packet.From)
	c.noteNeighbour(now, packet)
	c.answer(now, packet, source)
}

// supersede buries earlier runs at the address of a member that was heard itself: one process at a
// time can listen there. An earlier run that lives all the same refutes.
func (c *Core) supersede(now time.Time, heard string) {
	current := c.members[heard]
	if current == nil || c.superseded[heard] {
		return
	}
	c.superseded[heard] = true
	for id, known := range c.members {
		if id == c.self.ID || !known.member.Usable() || known.member.Address != current.member.Address || known.member.StartedAt >= current.member.StartedAt {
			continue
		}
		dead := known.member
		dead.Status = Dead
		c.mergeMember(now, dead, "")
	}
}

func (c *Core) addressOf(id string) string {
	if known := c.members[id]; known != nil {
		return known.member.Address
	}
	return ""
}

func (c *Core) noteNeighbour(now time.Time, packet Packet) {
	if packet.Type == Ping && c.usable(packet.From) {
		c.neighbours[packet.From] = now
	}
}

func (c *Core) answer(now time.Time, packet Packet, source string) {
	switch packet.Type {
	case Ping:
		c.answerPing(packet)
	case Ack:
		c.takeAck(packet)
	case PingRequest:
		c.relayPing(now, packet)
	case RelayedAck:
		if pending := c.probes[packet.Target]; pending != nil && pending.sequence == packet.Sequence {
			delete(c.probes, packet.Target)
		}
	case Sync:
		if source != "" {
			c.answerSync(packet, source)
		}
	case SyncEntries:
		c.synced = true
		if source != "" {
			c.finishSync(packet, source)
		}
	}
}

// answerPing acknowledges; a peer that we hold for suspect or dead is told, so that it can refute.
func (c *Core) answerPing(packet Packet) {
	reply := Packet{Type: Ack, Sequence: packet.Sequence}
	known := c.members[packet.From]
	if known == nil {
		return
	}
	if known.member.Status == Suspect || known.member.Status == Dead {
		reply.Members = []Member{known.member}
	}
	c.send(packet.From, reply)
}

func (c *Core) takeAck(packet Packet) {
	if request, relayed := c.relays[packet.Sequence]; relayed {
		delete(c.relays, packet.Sequence)
		c.send(request.requester, Packet{Type: RelayedAck, Target: packet.From, Sequence: request.sequence})
		return
	}
	if pending := c.probes[packet.From]; pending != nil && pending.sequence == packet.Sequence {
		delete(c.probes, packet.From)
		c.introduced[packet.From] = true
	}
}

func (c *Core) relayPing(now time.Time, packet Packet) {
	for sequence, old := range c.relays {
		if now.After(old.expires) {
			delete(c.relays, sequence)
		}
	}
	c.sequence++
	c.relays[c.sequence] = relay{requester: packet.From, sequence: packet.Sequence, expires: now.Add(c.options.IndirectTimeout)}
	c.send(packet.Target, Packet{Type: Ping, Sequence: c.sequence})
}

// mergeMember takes in knowledge of a member. Invariant: what a member says of itself with a higher
// incarnation beats whatever others say of it.
func (c *Core) mergeMember(now time.Time, incoming Member, source string) {
	if incoming.ID == c.self.ID {
		c.refute(now, incoming)
		return
	}
	known := c.members[incoming.ID]
	if known != nil && !incoming.overrides(known.member) {
		c.countAccuser(now, known, incoming, source)
		return
	}
	known = c.store(now, incoming)
	if incoming.Status == Suspect {
		known.accusers = map[string]bool{incoming.SuspectedBy: true}
		known.deadline = c.suspicionDeadline(now, known)
	}
	stored := known.member
	c.changes = append(c.changes, Change{Member: &stored, Source: c.addressOf(source)})
	c.spread(incoming.ID, source)
}

// countAccuser notes a further, distinct accusation of the same incarnation, and passes it on once.
func (c *Core) countAccuser(now time.Time, known *entry, incoming Member, source string) {
	sameSuspicion := incoming.Status == Suspect && known.member.Status == Suspect && incoming.Incarnation == known.member.Incarnation
	if !sameSuspicion || known.accusers[incoming.SuspectedBy] || len(known.accusers) >= 2 {
		return
	}
	known.accusers[incoming.SuspectedBy] = true
	known.member.SuspectedBy = incoming.SuspectedBy
	known.deadline = c.suspicionDeadline(now, known)
	c.spread(incoming.ID, source)
}

// refute answers a rumour about this node itself.
func (c *Core) refute(now time.Time, incoming Member) {
	if incoming.Incarnation < c.self.Incarnation || incoming.Status == c.self.Status && incoming.Incarnation == c.self.Incarnation {
		return
	}
	if c.self.Status == Left {
		return
	}
	c.self.Incarnation = incoming.Incarnation + 1
	c.store(now, c.self)
	self := c.self
	c.changes = append(c.changes, Change{Member: &self})
	c.spread(c.self.ID, "")
}

// store puts a member into the table and keeps the fingerprints right.
func (c *Core) store(now time.Time, member Member) *entry {
	bucket := bucketOf(member.ID)
	known := c.members[member.ID]
	if known == nil {
		positions := make([]uint64, len(ringScopes))
		for ring := range ringScopes {
			positions[ring] = ringPosition(member.ID, ring)
		}
		known = &entry{positions: positions}
		c.members[member.ID] = known
	} else {
		c.hashes[bucket] ^= hashMember(known.member)
	}
	if known.member.Usable() != member.Usable() || known.member.ID == "" {
		c.stale = true
		c.syncSoon(now)
	}
	known.member = member
	known.changedAt = now
	known.accusers = nil
	c.hashes[bucket] ^= hashMember(member)
	return known
}

// syncSoon brings the next exchange forward: while members come and go, rumours miss some nodes.
func (c *Core) syncSoon(now time.Time) {
	soon := now.Add(c.options.ProbeInterval + time.Duration(c.random.Int64N(int64(c.options.ProbeInterval))))
	if soon.Before(c.nextSync) {
		c.nextSync = soon
	}
}

func (c *Core) mergeRecord(incoming Record, source string) {
	known, exists := c.records[incoming.Key]
	if exists && known.Version >= incoming.Version {
		return
	}
	bucket := bucketOf(incoming.Key)
	if exists {
		c.hashes[bucket] ^= hashRecord(known)
	}
	c.hashes[bucket] ^= hashRecord(incoming)
	c.records[incoming.Key] = incoming
	stored := incoming
	c.changes = append(c.changes, Change{Record: &stored, Source: c.addressOf(source)})
	c.spread(recordPrefix+incoming.Key, source)
}

// recordPrefix tells records from members in the outbox; member IDs can't contain it.
const recordPrefix = "\x00"
