package turnstore

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestRetiredMachineLeavesNoCopyTooFew(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 4)
	for index := range 50 {
		c.put(fmt.Sprint(index), "")
	}
	retiring := c.machines[2]
	retiring.retiring.Store(true)
	eventually(t, "it is emptied", retiring.retired.Load)
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

// A machine is not reported as emptied while too few others would be left to survive the loss of a disk. It
// serves on until another machine has joined.
func TestRetiringMachineWaitsForEnoughOthers(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3)
	c.put("a", "")
	first, second := c.machines[0], c.machines[1]
	first.retiring.Store(true)
	eventually(t, "the first is emptied", first.retired.Load)
	c.wipe(first)
	c.forget(first)
	second.retiring.Store(true)
	settle := time.NewTimer(time.Second)
	defer settle.Stop()
	<-settle.C
	assert.Assert(t, !second.retired.Load(), "one copy would be left")
	c.put("b", "a")
	c.add("newcomer")
	eventually(t, "the second is emptied", second.retired.Load)
	c.wipe(second)
	c.forget(second)
	c.wipe(c.machines[0])
	c.start(c.machines[0])
	opened, err := c.read("b")
	assert.NilError(t, err)
	assert.Equal(t, string(opened.Prefix), "a;b;")
}

// cutWhenChanged cuts a machine off at the moment at which the named replica begins a change of the set.
func (c *cluster) cutWhenChanged(by string, lost *machine) {
	var once sync.Once
	c.store.listen(func(set ReplicaSet) {
		if set.Changing() && set.ChangedBy == by {
			once.Do(func() { c.links.set(lost.address, true) })
		}
	})
}

// A spare that is filling the set when a member is lost for good still joins: all that was ever written is at the
// other member, and nothing could be written otherwise.
func TestJoinFinishesWhenAMemberIsLostMeanwhile(t *testing.T) {
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
	c.cutWhenChanged(spare.name, lost)
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

// A machine that is to be emptied, where there is no spare, takes its leaving back when another member is lost while it
// hands over; it leaves once a newcomer has taken the lost one's place.
func TestRetirementIsTakenBackWhenAMemberIsLostMeanwhile(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3)
	c.put("a", "")
	members := c.live()
	retiring, lost := members[0], members[1]
	c.cutWhenChanged(retiring.name, lost)
	begun := make(chan struct{})
	var once sync.Once
	c.store.listen(func(set ReplicaSet) {
		if set.Changing() && set.ChangedBy == retiring.name {
			once.Do(func() { close(begun) })
		}
	})
	retiring.retiring.Store(true)
	<-begun
	c.add("newcomer")
	c.put("b", "a")
	eventually(t, "the machine is emptied in the end", retiring.retired.Load)
	set := c.store.set()
	assert.Assert(t, !set.Has(lost.name) && !set.Has(retiring.name), "%v", set)
	c.put("c", "b")
	opened, err := c.read("c")
	assert.NilError(t, err)
	assert.Equal(t, string(opened.Prefix), "a;b;c;")
}

// A replica that was to hand over what it holds takes records again once the operator has taken that back.
func TestWithdrawnRetirementLeavesAWholeMember(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3)
	first := c.machines[0]
	first.process.replica.mutex.Lock()
	first.process.replica.refusing = true
	first.process.replica.mutex.Unlock()
	c.kill(c.machines[1])
	c.put("a", "")
	assert.Equal(t, first.turns(), 1)
}

// A machine whose retirement is withdrawn, or that starts anew and has not heard of it yet, while it hands over stays
// a member: it must not leave with what it alone holds beside one other.
func TestRetirementThatIsWithdrawnMeanwhileIsTakenBack(t *testing.T) {
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
	eventually(t, "it hands over", func() bool { return c.store.set().Changing() })
	eventually(t, "it stays", func() bool {
		set := c.store.set()
		return !set.Changing() && set.Has(retiring.name)
	})
	c.links.set(lost.address, false)
	c.put("b", "a")
	settle := time.NewTimer(time.Second)
	defer settle.Stop()
	<-settle.C
	assert.Assert(t, c.store.set().Has(retiring.name))
	assert.Assert(t, !retiring.retired.Load())
}

// A spare takes the place of a machine that is to be emptied before that one leaves, so that the set never has a member
// less: two losses of five can be borne, two of four can't.
func TestSpareTakesThePlaceOfARetiringMember(t *testing.T) {
	t.Parallel()
	c := newClusterWithSpares(t, 3, 2)
	for index := range 20 {
		c.put(fmt.Sprint(index), "")
	}
	retiring := c.machineOf(c.store.set().Members[1].Name)
	fewest := c.watchFewestMembers()
	retiring.retiring.Store(true)
	eventually(t, "it is emptied", retiring.retired.Load)
	set := c.store.set()
	assert.Assert(t, !set.Has(retiring.name) && !set.Changing())
	assert.Equal(t, len(set.Members), 3)
	assert.Equal(t, fewest(), 3)
	c.wipe(retiring)
	_, err := c.read("19")
	assert.NilError(t, err)
}

// watchFewestMembers returns a function that tells how many members the smallest set had from now on.
func (c *cluster) watchFewestMembers() func() int {
	var mutex sync.Mutex
	fewest := len(c.store.set().Members)
	c.store.listen(func(set ReplicaSet) {
		mutex.Lock()
		defer mutex.Unlock()
		fewest = min(fewest, len(set.Members))
		if set.Changing() {
			fewest = min(fewest, len(set.Next))
		}
	})
	return func() int {
		mutex.Lock()
		defer mutex.Unlock()
		return fewest
	}
}
