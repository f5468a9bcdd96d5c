package membership

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Options holds the parameters of the protocol. A failure is detected within ProbeInterval + ProbeTimeout +
// IndirectTimeout + SuspicionTimeout, plus the time of gossip.
type Options struct {
	// ProbeInterval is the interval at which each target is probed.
	ProbeInterval time.Duration
	// ProbeTimeout is the timeout of a direct probe.
	ProbeTimeout time.Duration
	// IndirectTimeout is the timeout of indirect probes through other members.
	IndirectTimeout time.Duration
	// IndirectProbes is the number of members through which a target is probed indirectly.
	IndirectProbes int
	// SuspicionTimeout is the time that a member suspected by one other member has to refute.
	SuspicionTimeout time.Duration
	// ConfirmedSuspicionTimeout is the time that a member suspected by two others has to refute.
	ConfirmedSuspicionTimeout time.Duration
	// SyncInterval is the mean interval between comparisons of the whole table with a peer.
	SyncInterval time.Duration
	// DeadRetention is the time for which dead members are kept, so that they can be contacted after a
	// network partition.
	DeadRetention time.Duration
	// ProbeAll makes each node probe all others instead of its successors on the rings.
	ProbeAll bool
	// PauseThreshold is the gap between ticks beyond which this process is taken to have been paused.
	PauseThreshold time.Duration
}

// DefaultOptions returns options with which a failure is detected within 7 seconds, plus the time of
// gossip.
func DefaultOptions() Options {
	return Options{
		ProbeInterval:             time.Second,
		ProbeTimeout:              time.Second,
		IndirectTimeout:           time.Second,
		IndirectProbes:            2,
		SuspicionTimeout:          4 * time.Second,
		ConfirmedSuspicionTimeout: 2 * time.Second,
		SyncInterval:              10 * time.Second,
		DeadRetention:             24 * time.Hour,
		PauseThreshold:            1500 * time.Millisecond,
	}
}

// PacketType is the type of a Packet.
type PacketType string

// Packet types.
const (
	Ping        PacketType = "ping"
	Ack         PacketType = "ack"
	PingRequest PacketType = "preq"
	RelayedAck  PacketType = "pack"
	Gossip      PacketType = "rumor"
	Sync        PacketType = "sync"
	SyncEntries PacketType = "entries"
)

// Packet is a message of the membership protocol.
type Packet struct {
	Type     PacketType `json:"t"`
	From     string     `json:"f"`
	To       string     `json:"o,omitempty"`
	Sequence uint64     `json:"q,omitempty"`
	// Target is the member to probe in a PingRequest, or the member that responded in a RelayedAck.
	Target  string   `json:"x,omitempty"`
	Members []Member `json:"m,omitempty"`
	Records []Record `json:"r,omitempty"`
	// Hashes are the sender's bucket hashes, in Sync only.
	Hashes []uint64 `json:"h,omitempty"`
	// Buckets lists the buckets whose entries a SyncEntries contains; it is empty in the last packet of an
	// exchange.
	Buckets []int `json:"b,omitempty"`
}

// Outgoing is a packet to send and its destination address.
type Outgoing struct {
	Address string
	Packet  Packet
}

type entry struct {
	member Member
	// positions holds the member's position on each ring.
	positions []uint64
	changedAt time.Time
	// suspecters holds up to two members that suspect this one at its current incarnation.
	suspecters map[string]bool
	// deadline is when a suspected member is declared dead.
	deadline time.Time
}

func (e *entry) position(ring int) uint64 { return e.positions[ring] }

// probe is an unacknowledged probe of a target.
type probe struct {
	sequence uint64
	sentAt   time.Time
	indirect bool
}

// relay is a probe on behalf of another member.
type relay struct {
	requester string
	sequence  uint64
	expires   time.Time
}

// Core is the state machine of the membership protocol, without a clock or network. It is not safe for
// concurrent use.
type Core struct {
	self    Member
	options Options
	random  *rand.Rand

	members map[string]*entry
	records map[string]Record
	hashes  [bucketCount]uint64

	// targets are the members that this node probes.
	targets []string
	// probers holds the members that probe this node and when each last did.
	probers map[string]time.Time
	// announcedTo holds the members that have acknowledged a probe, and so have received the entry of
	// this node.
	announcedTo map[string]bool
	// supersedeDone holds the members whose first packet has ended earlier runs at their address. Each does
	// so only once; otherwise two members with the same address would declare each other dead forever.
	supersedeDone map[string]bool
	probes        map[string]*probe
	relays        map[uint64]relay
	// outbox holds the keys of the members and records to send to each peer.
	outbox map[string]map[string]bool
	seeds  []string

	sequence     uint64
	lastTick     time.Time
	lastReceived time.Time
	nextProbe    time.Time
	nextSync     time.Time
	synced       bool
	targetsStale bool

	packets []Outgoing
	changes []Change
}

// NewCore returns a Core whose table contains only self.
func NewCore(self Member, options Options, seeds []string, random *rand.Rand) *Core {
	self.Status = Alive
	if self.Incarnation == 0 {
		self.Incarnation = 1
	}
	core := &Core{
		self:          self,
		options:       options,
		random:        random,
		members:       make(map[string]*entry),
		records:       make(map[string]Record),
		probers:       make(map[string]time.Time),
		announcedTo:   make(map[string]bool),
		supersedeDone: make(map[string]bool),
		probes:        make(map[string]*probe),
		relays:        make(map[uint64]relay),
		outbox:        make(map[string]map[string]bool),
		seeds:         slices.Clone(seeds),
	}
	core.store(time.Time{}, self)
	return core
}

// Self returns this node's member entry.
func (c *Core) Self() Member { return c.self }

// Synced reports whether this node has exchanged tables with another member.
func (c *Core) Synced() bool { return c.synced }

// TakePackets returns and clears the packets to send.
func (c *Core) TakePackets() []Outgoing {
	packets := c.packets
	c.packets = nil
	return packets
}

// TakeChanges returns and clears the changes to report to subscribers.
func (c *Core) TakeChanges() []Change {
	changes := c.changes
	c.changes = nil
	return changes
}

// Members returns all known members, including dead ones.
func (c *Core) Members() []Member {
	result := make([]Member, 0, len(c.members))
	for _, known := range c.members {
		result = append(result, known.member)
	}
	return result
}

// Record returns the newest known version of a record.
func (c *Core) Record(key string) (Record, bool) {
	found, ok := c.records[key]
	return found, ok
}

// SetRecord publishes a record to all members, unless this or a higher version is known.
func (c *Core) SetRecord(record Record) {
	c.mergeRecord(record, "")
}

// Leave sets the status of this node to Leaving or Left and announces it.
func (c *Core) Leave(now time.Time, status Status) {
	c.self.Incarnation++
	c.self.Status = status
	c.store(now, c.self)
	c.queueGossip(c.self.ID, "")
	c.flushOutbox()
}

// Tick advances the clock and performs what is due: probes, suspicion timeouts, gossip and table exchanges.
func (c *Core) Tick(now time.Time) {
	c.detectPause(now)
	c.refreshTargets(now)
	c.checkProbes(now)
	c.expireSuspicions(now)
	if !now.Before(c.nextProbe) {
		c.nextProbe = now.Add(c.options.ProbeInterval)
		c.sendProbes(now)
	}
	if !now.Before(c.nextSync) {
		c.nextSync = now.Add(c.syncDelay())
		c.sendSyncs(now)
	}
	c.flushOutbox()
	c.removeExpired(now)
}

// syncDelay returns a random delay until the next exchange, or ProbeInterval before the first one.
func (c *Core) syncDelay() time.Duration {
	if !c.synced {
		return c.options.ProbeInterval
	}
	half := c.options.SyncInterval / 2
	return half + time.Duration(c.random.Int64N(int64(c.options.SyncInterval)))
}

// detectPause prevents a process that was paused from suspecting others because of packets that it missed.
func (c *Core) detectPause(now time.Time) {
	gap := now.Sub(c.lastTick)
	paused := !c.lastTick.IsZero() && gap > c.options.PauseThreshold
	c.lastTick = now
	if !paused {
		return
	}
	clear(c.probes)
	for _, known := range c.members {
		if known.member.Status == Suspect {
			known.deadline = known.deadline.Add(gap)
		}
	}
	c.nextProbe = now
	c.nextSync = now
	c.changes = append(c.changes, Change{Paused: gap})
}

// refreshTargets recomputes the members to probe and to gossip with.
func (c *Core) refreshTargets(now time.Time) {
	for id, lastSeen := range c.probers {
		if now.Sub(lastSeen) > 5*c.options.ProbeInterval || !c.usable(id) {
			delete(c.probers, id)
			delete(c.outbox, id)
		}
	}
	if !c.targetsStale {
		return
	}
	c.targetsStale = false
	if c.options.ProbeAll {
		c.targets = allOthers(c.self, c.members)
	} else {
		c.targets = successors(c.self, c.members)
	}
	for id := range c.probes {
		if !slices.Contains(c.targets, id) {
			delete(c.probes, id)
		}
	}
}

func (c *Core) usable(id string) bool {
	known := c.members[id]
	return known != nil && known.member.Usable()
}

func (c *Core) sendProbes(now time.Time) {
	for _, id := range c.targets {
		if c.probes[id] != nil {
			continue
		}
		c.sequence++
		c.probes[id] = &probe{sequence: c.sequence, sentAt: now}
		ping := Packet{Type: Ping, Sequence: c.sequence}
		if !c.announcedTo[id] {
			ping.Members = []Member{c.self}
		}
		c.send(id, ping)
	}
}

func (c *Core) checkProbes(now time.Time) {
	for _, id := range slices.Clone(c.targets) {
		pending := c.probes[id]
		if pending == nil {
			continue
		}
		waited := now.Sub(pending.sentAt)
		switch {
		case !pending.indirect && waited >= c.options.ProbeTimeout:
			pending.indirect = true
			c.sendIndirectProbes(id, pending.sequence)
		case waited >= c.options.ProbeTimeout+c.options.IndirectTimeout:
			delete(c.probes, id)
			c.suspect(now, id)
		}
	}
}

// sendIndirectProbes makes other members probe a target.
func (c *Core) sendIndirectProbes(target string, sequence uint64) {
	helpers := slices.DeleteFunc(c.peers(), func(id string) bool { return id == target })
	c.random.Shuffle(len(helpers), func(i, j int) { helpers[i], helpers[j] = helpers[j], helpers[i] })
	for _, helper := range helpers[:min(c.options.IndirectProbes, len(helpers))] {
		c.send(helper, Packet{Type: PingRequest, Target: target, Sequence: sequence})
	}
}

// suspect marks a member as suspected by this node.
func (c *Core) suspect(now time.Time, id string) {
	known := c.members[id]
	if known == nil || !known.member.Usable() {
		return
	}
	suspected := known.member
	suspected.Status = Suspect
	suspected.SuspectedBy = c.self.ID
	c.mergeMember(now, suspected, "")
}

// expireSuspicions declares the members dead that have not refuted a suspicion in time.
func (c *Core) expireSuspicions(now time.Time) {
	for id, known := range c.members {
		if id == c.self.ID || known.member.Status != Suspect || now.Before(known.deadline) {
			continue
		}
		dead := known.member
		dead.Status = Dead
		c.mergeMember(now, dead, "")
	}
}

// suspicionDeadline returns when a suspected member is declared dead: later if only one member suspects it,
// and much later if this node may be isolated.
func (c *Core) suspicionDeadline(now time.Time, known *entry) time.Time {
	timeout := c.options.SuspicionTimeout
	if len(known.suspecters) >= 2 {
		timeout = c.options.ConfirmedSuspicionTimeout
	}
	if c.isolated(now) {
		timeout *= 3
	}
	return known.changedAt.Add(timeout)
}

// isolated reports whether no packet was received recently, so that this node may be at fault.
func (c *Core) isolated(now time.Time) bool {
	return now.Sub(c.lastReceived) > 2*c.options.ProbeInterval
}

// peers returns the members that this node probes or is probed by, in sorted order.
func (c *Core) peers() []string {
	result := slices.Clone(c.targets)
	for id := range c.probers {
		if !slices.Contains(result, id) {
			result = append(result, id)
		}
	}
	slices.Sort(result)
	return result
}

func (c *Core) send(id string, packet Packet) {
	known := c.members[id]
	if known == nil {
		return
	}
	packet.To = id
	c.sendTo(known.member.Address, packet)
}

func (c *Core) sendTo(address string, packet Packet) {
	packet.From = c.self.ID
	c.packets = append(c.packets, Outgoing{Address: address, Packet: packet})
}

// removeExpired removes members that have been dead or left for DeadRetention.
func (c *Core) removeExpired(now time.Time) {
	for id, known := range c.members {
		if !known.member.Usable() && now.Sub(known.changedAt) > c.options.DeadRetention && id != c.self.ID {
			c.hashes[bucketOf(id)] ^= hashMember(known.member)
			delete(c.members, id)
			delete(c.announcedTo, id)
			delete(c.supersedeDone, id)
		}
	}
}
