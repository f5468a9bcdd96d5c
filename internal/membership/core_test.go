package membership

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const simulatedTick = 200 * time.Millisecond

// network simulates cores in virtual time, with lost and delayed packets.
type network struct {
	t      *testing.T
	now    time.Time
	random *rand.Rand
	cores  map[string]*Core
	order  []string
	// stopped holds the addresses of nodes that neither run nor receive.
	stopped  map[string]bool
	inFlight []delivery
	// lost decides whether a packet from one address to another is lost.
	lost func(from, to string) bool
	// deaths holds, for each member, when each node last declared it dead.
	deaths map[string]map[string]time.Time
}

type delivery struct {
	due     time.Time
	address string
	packet  Packet
	number  int
}

func newNetwork(t *testing.T, seed uint64) *network {
	return &network{
		t:       t,
		now:     time.Unix(1000, 0),
		random:  rand.New(rand.NewPCG(seed, 1)),
		cores:   make(map[string]*Core),
		stopped: make(map[string]bool),
		lost:    func(string, string) bool { return false },
		deaths:  make(map[string]map[string]time.Time),
	}
}

// add starts a run of the node at an address. The first run has number zero.
func (n *network) add(address, zone, region string, run int) *Core {
	id := fmt.Sprintf("%s-run%d", address, run)
	member := Member{ID: id, Name: address, ReplicaID: id, Address: address, Zone: zone, Region: region, StartedAt: int64(run + 1)}
	core := NewCore(member, DefaultOptions(), []string{"node0", "node1"}, rand.New(rand.NewPCG(n.random.Uint64(), 2)))
	if n.cores[address] == nil {
		n.order = append(n.order, address)
	}
	n.cores[address] = core
	delete(n.stopped, address)
	return core
}

// addMany starts nodes in two regions with three zones each and waits until they have joined.
func (n *network) addMany(count int) {
	for number := range count {
		region := fmt.Sprintf("r%d", number%2)
		n.add(fmt.Sprintf("node%d", number), fmt.Sprintf("%s-z%d", region, number/2%3), region, 0)
	}
	n.run(20 * time.Second)
	for _, core := range n.cores {
		assert.Equal(n.t, n.usable(core), count)
	}
}

func (n *network) usable(core *Core) int {
	count := 0
	for _, member := range core.Members() {
		if member.Usable() {
			count++
		}
	}
	return count
}

func (n *network) run(duration time.Duration) {
	for end := n.now.Add(duration); n.now.Before(end); n.now = n.now.Add(simulatedTick) {
		n.deliver()
		for _, address := range n.order {
			if !n.stopped[address] {
				n.cores[address].Tick(n.now)
				n.collect(address)
			}
		}
	}
}

func (n *network) deliver() {
	slices.SortFunc(n.inFlight, func(a, b delivery) int {
		if order := a.due.Compare(b.due); order != 0 {
			return order
		}
		return cmp.Compare(a.number, b.number)
	})
	for len(n.inFlight) > 0 && !n.inFlight[0].due.After(n.now) {
		next := n.inFlight[0]
		n.inFlight = n.inFlight[1:]
		if core := n.cores[next.address]; core != nil && !n.stopped[next.address] {
			core.Receive(n.now, next.packet)
			n.collect(next.address)
		}
	}
}

func (n *network) collect(address string) {
	core := n.cores[address]
	for _, outgoing := range core.TakePackets() {
		if n.lost(address, outgoing.Address) {
			continue
		}
		delay := time.Duration(n.random.Int64N(int64(20 * time.Millisecond)))
		n.inFlight = append(n.inFlight, delivery{n.now.Add(delay), outgoing.Address, outgoing.Packet, len(n.inFlight)})
	}
	for _, change := range core.TakeChanges() {
		if change.Member != nil && change.Member.Status == Dead {
			if n.deaths[change.Member.ID] == nil {
				n.deaths[change.Member.ID] = make(map[string]time.Time)
			}
			n.deaths[change.Member.ID][address] = n.now
		}
	}
}

func (n *network) zoneOf(address string) (zone, region string) {
	self := n.cores[address].Self()
	return self.Zone, self.Region
}

// All nodes must detect the failure of a node within 8 seconds.
func TestFailureDetectionTime(t *testing.T) {
	net := newNetwork(t, 1)
	net.addMany(60)
	for number := 5; number < 10; number++ {
		address := fmt.Sprintf("node%d", number)
		net.stopped[address] = true
		started := net.now
		net.run(12 * time.Second)
		seen := net.deaths[net.cores[address].Self().ID]
		assert.Equal(t, len(seen), 60-(number-4))
		for observer, at := range seen {
			assert.Assert(t, at.Sub(started) <= 8*time.Second, "%s detected the failure after %s", observer, at.Sub(started))
		}
	}
	assert.Equal(t, len(net.deaths), 5)
}

// No node is declared dead while all run, even if packets are lost.
func TestNoFalseDeaths(t *testing.T) {
	for _, loss := range []float64{0, 0.05} {
		t.Run(fmt.Sprintf("loss %.2f", loss), func(t *testing.T) {
			net := newNetwork(t, 2)
			net.addMany(30)
			net.lost = func(string, string) bool { return net.random.Float64() < loss }
			net.run(time.Hour)
			assert.Equal(t, len(net.deaths), 0, "%v", net.deaths)
		})
	}
}

// A node whose packets some others do not receive is kept alive by indirect probes through the other nodes.
func TestOneWayPartitionCausesNoDeath(t *testing.T) {
	net := newNetwork(t, 3)
	net.addMany(30)
	net.lost = func(from, to string) bool {
		return from == "node4" && (to == "node6" || to == "node8" || to == "node10")
	}
	net.run(10 * time.Minute)
	assert.Equal(t, len(net.deaths), 0, "%v", net.deaths)
}

// A zone that was partitioned from the others for an hour rejoins.
func TestZonePartitionHeals(t *testing.T) {
	net := newNetwork(t, 4)
	net.addMany(36)
	inZone := func(address string) bool { zone, _ := net.zoneOf(address); return zone == "r0-z1" }
	net.lost = func(from, to string) bool { return inZone(from) != inZone(to) }
	net.run(time.Hour)
	for _, address := range net.order {
		expected := 30
		if inZone(address) {
			expected = 6
		}
		assert.Equal(t, net.usable(net.cores[address]), expected, address)
	}
	net.lost = func(string, string) bool { return false }
	net.run(2 * time.Minute)
	for _, address := range net.order {
		assert.Equal(t, net.usable(net.cores[address]), 36, address)
	}
}

// Two regions that were partitioned for an hour keep running and merge again.
func TestRegionPartitionHeals(t *testing.T) {
	net := newNetwork(t, 5)
	net.addMany(36)
	inFirst := func(address string) bool { _, region := net.zoneOf(address); return region == "r0" }
	net.lost = func(from, to string) bool { return inFirst(from) != inFirst(to) }
	net.run(time.Hour)
	for _, address := range net.order {
		assert.Equal(t, net.usable(net.cores[address]), 18, address)
	}
	net.lost = func(string, string) bool { return false }
	net.run(2 * time.Minute)
	for _, address := range net.order {
		assert.Equal(t, net.usable(net.cores[address]), 36, address)
	}
}

// A process that was paused must not suspect others because of acknowledgements that it missed.
func TestPausedNodeSuspectsNobody(t *testing.T) {
	net := newNetwork(t, 6)
	net.addMany(30)
	net.stopped["node7"] = true
	net.run(time.Minute)
	net.inFlight = nil
	delete(net.stopped, "node7")
	net.run(time.Minute)
	// The others declared the paused node dead, and it declared none of them dead.
	assert.Equal(t, len(net.deaths), 1)
	for _, address := range net.order {
		assert.Equal(t, net.usable(net.cores[address]), 30, address)
	}
}

// After a restart at the same address, the old run is dead and the new one is usable.
func TestRestartAtSameAddress(t *testing.T) {
	net := newNetwork(t, 7)
	net.addMany(30)
	old := net.cores["node9"].Self().ID
	zone, region := net.zoneOf("node9")
	net.add("node9", zone, region, 1)
	net.run(30 * time.Second)
	for _, address := range net.order {
		core := net.cores[address]
		for _, member := range core.Members() {
			if member.ID == old {
				assert.Equal(t, member.Status, Dead, "seen by %s", address)
			}
		}
		assert.Equal(t, net.usable(core), 30, address)
	}
}

// The first packet of a new run ends the previous run, before probes detect its failure. A delayed packet of
// the old run does not revive it.
func TestNewRunSupersedesPreviousRun(t *testing.T) {
	net := newNetwork(t, 10)
	net.addMany(30)
	old := net.cores["node9"].Self()
	zone, region := net.zoneOf("node9")
	fresh := net.add("node9", zone, region, 1).Self()
	net.run(3 * time.Second)
	net.cores["node12"].Receive(net.now, Packet{Type: Gossip, From: old.ID, Members: []Member{old}})
	for _, address := range net.order {
		for _, member := range net.cores[address].Members() {
			switch member.ID {
			case old.ID:
				assert.Equal(t, member.Status, Dead, "seen by %s", address)
			case fresh.ID:
				assert.Equal(t, member.Status, Alive, "seen by %s", address)
			}
		}
		assert.Equal(t, net.usable(net.cores[address]), 30, address)
	}
}

// A planned stop is announced, so that the node is never declared dead.
func TestLeavingIsAnnounced(t *testing.T) {
	net := newNetwork(t, 8)
	net.addMany(30)
	net.cores["node3"].Leave(net.now, Left)
	net.collect("node3")
	net.stopped["node3"] = true
	net.run(3 * time.Second)
	for _, address := range net.order {
		if address != "node3" {
			assert.Equal(t, net.usable(net.cores[address]), 29, address)
		}
	}
	assert.Equal(t, len(net.deaths), 0)
}

// The highest version of a record reaches all nodes, whichever order they receive the versions in.
func TestHighestRecordVersionReachesAllNodes(t *testing.T) {
	net := newNetwork(t, 9)
	net.addMany(60)
	net.cores["node1"].SetRecord(Record{Key: "config", Version: 8})
	net.cores["node2"].SetRecord(Record{Key: "config", Version: 7})
	net.run(5 * time.Second)
	for _, address := range net.order {
		record, known := net.cores[address].Record("config")
		assert.Assert(t, known, address)
		assert.Equal(t, record.Version, uint64(8), address)
	}
}
