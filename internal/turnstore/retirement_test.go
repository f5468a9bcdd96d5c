package turnstore

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestRetirementKeepsAllCopies(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 4)
	for index := range 50 {
		c.put(fmt.Sprint(index), "")
	}
	retiring := c.machines[2]
	retiring.retiring.Store(true)
	eventually(t, "the machine is retired", retiring.retired.Load)
	set := c.store.set()
	assert.Assert(t, !set.Has(retiring.name) && !set.Changing())
	c.wipe(retiring)
	for _, m := range c.machines {
		if m != retiring {
			assert.Equal(t, m.turns(), 50, m.name)
		}
	}
	_, err := c.read("49")
	assert.NilError(t, err)
}

// A retirement is not completed while the remaining members could not survive the loss of a disk. The machine keeps
// serving until another one has joined.
func TestRetirementWaitsForEnoughMembers(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3)
	c.put("a", "")
	first, second := c.machines[0], c.machines[1]
	first.retiring.Store(true)
	eventually(t, "the first machine is retired", first.retired.Load)
	c.wipe(first)
	c.remove(first)
	second.retiring.Store(true)
	timer := time.NewTimer(time.Second)
	defer timer.Stop()
	<-timer.C
	assert.Assert(t, !second.retired.Load(), "the second machine is retired although only one copy is left")
	c.put("b", "a")
	c.add("newcomer")
	eventually(t, "the second machine is retired", second.retired.Load)
	c.wipe(second)
	c.remove(second)
	c.wipe(c.machines[0])
	c.start(c.machines[0])
	opened, err := c.read("b")
	assert.NilError(t, err)
	assert.Equal(t, string(opened.Prefix), "a;b;")
}

// partitionOnChange cuts off a machine as soon as the named replica starts a change of the set.
func (c *cluster) partitionOnChange(by string, lost *machine) {
	var once sync.Once
	c.store.listen(func(set ReplicaSet) {
		if set.Changing() && set.ChangedBy == by {
			once.Do(func() { c.links.set(lost.address, true) })
		}
	})
}

// A spare that is joining when a member is lost for good still joins: the other member has all acknowledged records,
// and writes would stop otherwise.
func TestJoinCompletesWhenMemberIsLost(t *testing.T) {
	t.Parallel()
	c := newClusterWithSpares(t, 3, 1)
	c.put("a", "")
	var spare, retiring, lost *machine
	for _, m := range c.machines {
		switch {
		case !c.store.set().Has(m.name):
			spare = m
		case retiring == nil:
			retiring = m
		default:
			lost = m
		}
	}
	c.partitionOnChange(spare.name, lost)
	retiring.retiring.Store(true)
	eventually(t, "the spare is a member", func() bool {
		set := c.store.set()
		return !set.Changing() && set.Has(spare.name) && !set.Has(retiring.name)
	})
	c.put("b", "a")
	opened, err := c.read("b")
	assert.NilError(t, err)
	assert.Equal(t, string(opened.Prefix), "a;b;")
}

// Without a spare, a retiring machine aborts its change when another member is lost during the handover, and leaves
// once an added machine has replaced the lost member.
func TestRetirementIsAbortedWhenMemberIsLost(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3)
	c.put("a", "")
	members := c.live()
	retiring, lost := members[0], members[1]
	c.partitionOnChange(retiring.name, lost)
	started := make(chan struct{})
	var once sync.Once
	c.store.listen(func(set ReplicaSet) {
		if set.Changing() && set.ChangedBy == retiring.name {
			once.Do(func() { close(started) })
		}
	})
	retiring.retiring.Store(true)
	<-started
	c.add("newcomer")
	c.put("b", "a")
	eventually(t, "the machine is retired after all", retiring.retired.Load)
	set := c.store.set()
	assert.Assert(t, !set.Has(lost.name) && !set.Has(retiring.name), "%v", set)
	c.put("c", "b")
	opened, err := c.read("c")
	assert.NilError(t, err)
	assert.Equal(t, string(opened.Prefix), "a;b;c;")
}

// A replica that was handing over accepts writes again after its retirement is withdrawn.
func TestMemberAcceptsWritesAfterWithdrawnRetirement(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3)
	first := c.machines[0]
	first.process.replica.mutex.Lock()
	first.process.replica.handingOver = true
	first.process.replica.mutex.Unlock()
	c.kill(c.machines[1])
	c.put("a", "")
	assert.Equal(t, first.turns(), 1)
}

// A machine whose retirement is withdrawn during the handover, or that restarts and does not know of it yet, stays a
// member: it must not leave while only one other member has the records.
func TestRetirementWithdrawnDuringHandoverIsAborted(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3)
	c.put("a", "")
	retiring, lost := c.machines[0], c.machines[1]
	var once sync.Once
	c.store.listen(func(set ReplicaSet) {
		if set.Changing() && set.ChangedBy == retiring.name {
			once.Do(func() {
				c.links.set(lost.address, true)
				retiring.retiring.Store(false)
			})
		}
	})
	retiring.retiring.Store(true)
	eventually(t, "the handover has started", func() bool { return c.store.set().Changing() })
	eventually(t, "the machine stays a member", func() bool {
		set := c.store.set()
		return !set.Changing() && set.Has(retiring.name)
	})
	c.links.set(lost.address, false)
	c.put("b", "a")
	timer := time.NewTimer(time.Second)
	defer timer.Stop()
	<-timer.C
	assert.Assert(t, c.store.set().Has(retiring.name))
	assert.Assert(t, !retiring.retired.Load())
}

// A spare replaces a retiring machine before it leaves, so that the set, and with it the fault tolerance, never
// shrinks.
func TestSpareReplacesRetiringMember(t *testing.T) {
	t.Parallel()
	c := newClusterWithSpares(t, 3, 2)
	for index := range 20 {
		c.put(fmt.Sprint(index), "")
	}
	retiring := c.machineOf(c.store.set().Members[1].Name)
	minMembers := c.trackMinMembers()
	retiring.retiring.Store(true)
	eventually(t, "the machine is retired", retiring.retired.Load)
	set := c.store.set()
	assert.Assert(t, !set.Has(retiring.name) && !set.Changing())
	assert.Equal(t, len(set.Members), 3)
	assert.Equal(t, minMembers(), 3)
	c.wipe(retiring)
	_, err := c.read("19")
	assert.NilError(t, err)
}

// trackMinMembers returns a function that returns the size of the smallest set seen since the call.
func (c *cluster) trackMinMembers() func() int {
	var mutex sync.Mutex
	minMembers := len(c.store.set().Members)
	c.store.listen(func(set ReplicaSet) {
		mutex.Lock()
		defer mutex.Unlock()
		minMembers = min(minMembers, len(set.Members))
		if set.Changing() {
			minMembers = min(minMembers, len(set.Next))
		}
	})
	return func() int {
		mutex.Lock()
		defer mutex.Unlock()
		return minMembers
	}
}

// A member that lost its disk may be retired before it has fetched its records: what it had acknowledged must be on
// enough of the others first.
func TestRetirementOfEmptyMember(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3)
	retiring, behind := c.machines[0], c.machines[2]
	c.kill(behind)
	c.put("a", "")
	// Stop the client's background writes, or the third machine would receive the record when it is back.
	c.client.network.Close()
	c.fetchDelay.Store(int64(pullTimeout - 100*time.Millisecond))
	c.wipe(retiring)
	c.start(behind)
	c.start(retiring)
	retiring.retiring.Store(true)
	eventually(t, "the machine is retired", retiring.retired.Load)
	assert.Assert(t, behind.process.replica.holdsTurn("a"), "only one copy of the turn is left")
}
