package membership

import "time"

// Receive processes one packet.
func (c *Core) Receive(now time.Time, packet Packet) {
	if packet.From == c.self.ID {
		return
	}
	// Ignore packets for an earlier run at this address.
	if packet.To != "" && packet.To != c.self.ID {
		return
	}
	c.lastReceived = now
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
	c.supersedeEarlierRuns(now, packet.From)
	c.recordProber(now, packet)
	c.handle(now, packet, source)
}

// supersedeEarlierRuns declares earlier runs at the address of the sender dead, since only one process can
// listen there. An earlier run that is alive after all refutes this.
func (c *Core) supersedeEarlierRuns(now time.Time, sender string) {
	current := c.members[sender]
	if current == nil || c.supersedeDone[sender] {
		return
	}
	c.supersedeDone[sender] = true
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

func (c *Core) recordProber(now time.Time, packet Packet) {
	if packet.Type == Ping && c.usable(packet.From) {
		c.probers[packet.From] = now
	}
}

func (c *Core) handle(now time.Time, packet Packet, source string) {
	switch packet.Type {
	case Ping:
		c.handlePing(packet)
	case Ack:
		c.handleAck(packet)
	case PingRequest:
		c.handlePingRequest(now, packet)
	case RelayedAck:
		if pending := c.probes[packet.Target]; pending != nil && pending.sequence == packet.Sequence {
			delete(c.probes, packet.Target)
		}
	case Sync:
		if source != "" {
			c.handleSync(packet, source)
		}
	case SyncEntries:
		c.synced = true
		if source != "" {
			c.handleSyncEntries(packet, source)
		}
	}
}

// handlePing acknowledges a probe. If the sender is suspect or dead in the table, the acknowledgement contains
// the sender's entry, so that the sender can refute it.
func (c *Core) handlePing(packet Packet) {
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

func (c *Core) handleAck(packet Packet) {
	if request, relayed := c.relays[packet.Sequence]; relayed {
		delete(c.relays, packet.Sequence)
		c.send(request.requester, Packet{Type: RelayedAck, Target: packet.From, Sequence: request.sequence})
		return
	}
	if pending := c.probes[packet.From]; pending != nil && pending.sequence == packet.Sequence {
		delete(c.probes, packet.From)
		c.announcedTo[packet.From] = true
	}
}

// handlePingRequest probes a target on behalf of the sender.
func (c *Core) handlePingRequest(now time.Time, packet Packet) {
	for sequence, old := range c.relays {
		if now.After(old.expires) {
			delete(c.relays, sequence)
		}
	}
	c.sequence++
	c.relays[c.sequence] = relay{requester: packet.From, sequence: packet.Sequence, expires: now.Add(c.options.IndirectTimeout)}
	c.send(packet.Target, Packet{Type: Ping, Sequence: c.sequence})
}

// mergeMember merges a member entry into the table. Invariant: an entry that a member publishes about itself
// with a higher incarnation overrides the entries of others.
func (c *Core) mergeMember(now time.Time, incoming Member, source string) {
	if incoming.ID == c.self.ID {
		c.refute(now, incoming)
		return
	}
	known := c.members[incoming.ID]
	if known != nil && !incoming.overrides(known.member) {
		c.confirmSuspicion(now, known, incoming, source)
		return
	}
	known = c.store(now, incoming)
	if incoming.Status == Suspect {
		known.suspecters = map[string]bool{incoming.SuspectedBy: true}
		known.deadline = c.suspicionDeadline(now, known)
	}
	stored := known.member
	c.changes = append(c.changes, Change{Member: &stored, Source: c.addressOf(source)})
	c.queueGossip(incoming.ID, source)
}

// confirmSuspicion counts a suspicion of the same incarnation by a second member, and gossips it once.
func (c *Core) confirmSuspicion(now time.Time, known *entry, incoming Member, source string) {
	sameSuspicion := incoming.Status == Suspect && known.member.Status == Suspect && incoming.Incarnation == known.member.Incarnation
	if !sameSuspicion || known.suspecters[incoming.SuspectedBy] || len(known.suspecters) >= 2 {
		return
	}
	known.suspecters[incoming.SuspectedBy] = true
	known.member.SuspectedBy = incoming.SuspectedBy
	known.deadline = c.suspicionDeadline(now, known)
	c.queueGossip(incoming.ID, source)
}

// refute overrides an entry about this node from another member by increasing the incarnation.
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
	c.queueGossip(c.self.ID, "")
}

// store puts a member into the table and updates the bucket hashes.
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
		c.targetsStale = true
		c.scheduleSyncSoon(now)
	}
	known.member = member
	known.changedAt = now
	known.suspecters = nil
	c.hashes[bucket] ^= hashMember(member)
	return known
}

// scheduleSyncSoon moves the next exchange forward, because gossip misses some nodes while members join and
// leave.
func (c *Core) scheduleSyncSoon(now time.Time) {
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
	c.queueGossip(recordPrefix+incoming.Key, source)
}

// recordPrefix distinguishes records from members in the outbox. Member IDs cannot contain it.
const recordPrefix = "\x00"
