package membership

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Options are the protocol's times. Detection takes at most
// ProbeInterval + ProbeTimeout + IndirectTimeout + SuspicionTimeout, plus the spread.
type Options struct {
	// ProbeInterval is how often each watched member is probed.
	ProbeInterval time.Duration
	// ProbeTimeout is how long a direct probe may take.
	ProbeTimeout time.Duration
	// IndirectTimeout is how long the probe through other members may take.
	IndirectTimeout time.Duration
	// IndirectProbes is how many members are asked to probe for us.
	IndirectProbes int
	// SuspicionTimeout is how long one accuser's suspect may refute.
	SuspicionTimeout time.Duration
	// ConfirmedSuspicionTimeout is how long a suspect may refute that two members accuse.
	ConfirmedSuspicionTimeout time.Duration
	// SyncInterval is how often the whole table is compared with a peer's.
	SyncInterval time.Duration
	// DeadRetention is how long the dead are remembered, so that they can come back.
	DeadRetention time.Duration
	// ProbeAll makes each node probe all others: the baseline of the capacity measurement.
	ProbeAll bool
	// PauseThreshold is the gap between ticks that counts as a pause of this process.
	PauseThreshold time.Duration
}

// DefaultOptions detect a dead node within 7 seconds.
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

// PacketType is the kind of a membership message.
type PacketType string

// The packet types.
const (
	Ping        PacketType = "ping"
	Ack         PacketType = "ack"
	PingRequest PacketType = "preq"
	RelayedAck  PacketType = "pack"
	Gossip      PacketType = "rumor"
	Sync        PacketType = "sync"
	SyncEntries PacketType = "entries"
)

// Packet is one membership message.
type Packet struct {
	Type     PacketType `json:"t"`
	From     string     `json:"f"`
	To       string     `json:"o,omitempty"`
	Sequence uint64     `json:"q,omitempty"`
	// Target is the member that a PingRequest is about.
	Target  string   `json:"x,omitempty"`
	Members []Member `json:"m,omitempty"`
	Records []Record `json:"r,omitempty"`
	// Hashes are the fingerprints of the sender's buckets; only in Sync.
	Hashes []uint64 `json:"h,omitempty"`
	// Buckets are those that SyncEntries answers for; empty in the last step of an exchange.
	Buckets []int `json:"b,omitempty"`
}

// Outgoing is a packet and where to send it.
type Outgoing struct {
	Address string
	Packet  Packet
}

type entry struct {
	member    Member
	positions []uint64
	changedAt time.Time
	// accusers are the distinct members that suspect it, at its present incarnation.
	accusers map[string]bool
	deadline time.Time
}

func (e *entry) position(ring int) uint64 { return e.positions[ring] }

type probe struct {
	sequence uint64
	sentAt   time.Time
	indirect bool
}

type relay struct {
	requester string
	sequence  uint64
	expires   time.Time
}

// Core is the membership protocol without clock and network. It is not safe for concurrent use.
type Core struct {
	self    Member
	options Options
	random  *rand.Rand

	members map[string]*entry
	records map[string]Record
	hashes  [bucketCount]uint64

	targets    []string
	neighbours map[string]time.Time
	// introduced are the members that have answered a probe, and so know this node.
	introduced map[string]bool
	// superseded are the members whose first own word was taken as the end of earlier runs at their
	// address; once each, so that two that claim one address don't bury each other for ever.
	superseded map[string]bool
	probes     map[string]*probe
	relays     map[uint64]relay
	outbox     map[string]map[string]bool
	seeds      []string

	sequence  uint64
	lastTick  time.Time
	lastHeard time.Time
	nextProbe time.Time
	nextSync  time.Time
	synced    bool
	stale     bool

	packets []Outgoing
	changes []Change
}

// NewCore returns a Core that knows only itself.
func NewCore(self Member, options Options, seeds []string, random *rand.Rand) *Core {
	self.Status = Alive
	if self.Incarnation == 0 {
		self.Incarnation = 1
	}
	core := &Core{
		self:       self,
		options:    options,
		random:     random,
		members:    make(map[string]*entry),
		records:    make(map[string]Record),
		neighbours: make(map[string]time.Time),
		introduced: make(map[string]bool),
		superseded: make(map[string]bool),
		probes:     make(map[string]*probe),
		relays:     make(map[uint64]relay),
		outbox:     make(map[string]map[string]bool),
		seeds:      slices.Clone(seeds),
	}
	core.store(time.Time{}, self)
	return core
}

// Self returns this node's own record.
func (c *Core) Self() Member { return c.self }

// Synced reports whether a table was exchanged with another member.
func (c *Core) Synced() bool { return c.synced }

// TakePackets returns and clears what is to be sent.
func (c *Core) TakePackets() []Outgoing {
	packets := c.packets
	c.packets = nil
	return packets
}

// TakeChanges returns and clears what subscribers should hear.
func (c *Core) TakeChanges() []Change {
	changes := c.changes
	c.changes = nil
	return changes
}

// Members returns all known members.
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

// SetRecord publishes a record to all members.
func (c *Core) SetRecord(record Record) {
	c.mergeRecord(record, "")
}

// Leave announces a planned stop.
func (c *Core) Leave(now time.Time, status Status) {
	c.self.Incarnation++
	c.self.Status = status
	c.store(now, c.self)
	c.spread(c.self.ID, "")
	c.flushOutbox()
}

// Tick advances the clock: probes, suspicions, rumours and exchanges that are due.
func (c *Core) Tick(now time.Time) {
	c.noticePause(now)
	c.refreshTargets(now)
	c.checkProbes(now)
	c.checkSuspects(now)
	if !now.Before(c.nextProbe) {
		c.nextProbe = now.Add(c.options.ProbeInterval)
		c.sendProbes(now)
	}
	if !now.Before(c.nextSync) {
		c.nextSync = now.Add(c.syncDelay())
		c.sendSyncs(now)
	}
	c.flushOutbox()
	c.forgetOld(now)
}

// syncDelay spreads exchanges; a node that has not joined yet tries more often.
func (c *Core) syncDelay() time.Duration {
	if !c.synced {
		return c.options.ProbeInterval
	}
	half := c.options.SyncInterval / 2
	return half + time.Duration(c.random.Int64N(int64(c.options.SyncInterval)))
}

// noticePause keeps a process that did not run from accusing others of its own silence.
func (c *Core) noticePause(now time.Time) {
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

// refreshTargets recomputes whom to probe and with whom to gossip.
func (c *Core) refreshTargets(now time.Time) {
	for id, lastSeen := range c.neighbours {
		if now.Sub(lastSeen) > 5*c.options.ProbeInterval || !c.usable(id) {
			delete(c.neighbours, id)
			delete(c.outbox, id)
		}
	}
	if !c.stale {
		return
	}
	c.stale = false
	if c.options.ProbeAll {
		c.targets = everyone(c.self, c.members)
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
		if !c.introduced[id] {
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
			c.askOthers(id, pending.sequence)
		case waited >= c.options.ProbeTimeout+c.options.IndirectTimeout:
			delete(c.probes, id)
			c.accuse(now, id)
		}
	}
}

func (c *Core) askOthers(target string, sequence uint64) {
	helpers := slices.DeleteFunc(c.peers(), func(id string) bool { return id == target })
	c.random.Shuffle(len(helpers), func(i, j int) { helpers[i], helpers[j] = helpers[j], helpers[i] })
	for _, helper := range helpers[:min(c.options.IndirectProbes, len(helpers))] {
		c.send(helper, Packet{Type: PingRequest, Target: target, Sequence: sequence})
	}
}

// accuse marks a member suspect in this node's own name.
func (c *Core) accuse(now time.Time, id string) {
	known := c.members[id]
	if known == nil || !known.member.Usable() {
		return
	}
	accusation := known.member
	accusation.Status = Suspect
	accusation.SuspectedBy = c.self.ID
	c.mergeMember(now, accusation, "")
}

func (c *Core) checkSuspects(now time.Time) {
	for id, known := range c.members {
		if id == c.self.ID || known.member.Status != Suspect || now.Before(known.deadline) {
			continue
		}
		dead := known.member
		dead.Status = Dead
		c.mergeMember(now, dead, "")
	}
}

// suspicionDeadline gives one accuser's word less weight, and an isolated node's own least.
func (c *Core) suspicionDeadline(now time.Time, known *entry) time.Time {
	timeout := c.options.SuspicionTimeout
	if len(known.accusers) >= 2 {
		timeout = c.options.ConfirmedSuspicionTimeout
	}
	if c.isolated(now) {
		timeout *= 3
	}
	return known.changedAt.Add(timeout)
}

// isolated reports that nobody was heard for long: then the fault is more likely our own.
func (c *Core) isolated(now time.Time) bool {
	return now.Sub(c.lastHeard) > 2*c.options.ProbeInterval
}

// peers returns the members with which this node exchanges packets regularly.
func (c *Core) peers() []string {
	result := slices.Clone(c.targets)
	for id := range c.neighbours {
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

func (c *Core) forgetOld(now time.Time) {
	for id, known := range c.members {
		if !known.member.Usable() && now.Sub(known.changedAt) > c.options.DeadRetention && id != c.self.ID {
			c.hashes[bucketOf(id)] ^= hashMember(known.member)
			delete(c.members, id)
			delete(c.introduced, id)
			delete(c.superseded, id)
		}
	}
}
