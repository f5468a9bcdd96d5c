package turnstore

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/apierr"
)

// A machine is replaced, and another one loses its disk while the new one still fetches records: the new one, the empty
// one and the lost one must not wait for each other.
func TestDiskLossWhileNewcomerFetches(t *testing.T) {
	t.Parallel()
	for _, lost := range []int{1, 2} {
		t.Run(fmt.Sprint(lost), func(t *testing.T) {
			t.Parallel()
			const turns = 4000
			c := newCluster(t, 3)
			c.putMany(turns)
			c.fetchDelay.Store(int64(time.Second))
			wiped := c.machines[lost]
			newcomer := c.replace(c.machines[0])
			assert.Assert(t, newcomer.turns() < turns, "the new replica has fetched all records already")
			c.wipe(wiped)
			c.start(wiped)
			eventually(t, "a turn of before is readable", func() bool {
				_, err := c.read("turn-0")
				assert.Assert(t, !apierr.Is(err, apierr.NoSuchTurn), "an acknowledged turn was reported as unknown")
				return err == nil
			})
			c.put("later", "turn-0")
			c.fetchDelay.Store(0)
			c.awaitFullSet(turns + 1)
		})
	}
}

// A member loses its disk, and another one is replaced while it still fetches records: the empty one, the lost one and the
// new one must not wait for each other.
func TestReplacementWhileEmptyMemberFetches(t *testing.T) {
	t.Parallel()
	const turns = 4000
	c := newCluster(t, 3)
	c.putMany(turns)
	c.fetchDelay.Store(int64(time.Second))
	wiped := c.machines[1]
	c.wipe(wiped)
	c.start(wiped)
	timer := time.NewTimer(catchUpTarget)
	defer timer.Stop()
	<-timer.C
	assert.Assert(t, !wiped.complete(), "the empty member has fetched all records already")
	c.replace(c.machines[0])
	c.fetchDelay.Store(0)
	c.awaitFullSet(turns)
}

// The new replica is itself replaced while it fetches, and then another member loses its disk.
func TestNewcomerIsReplacedWhileItFetches(t *testing.T) {
	t.Parallel()
	const turns = 4000
	c := newCluster(t, 3)
	c.putMany(turns)
	c.fetchDelay.Store(int64(time.Second))
	newcomer := c.replace(c.machines[0])
	assert.Assert(t, newcomer.turns() < turns, "the new replica has fetched all records already")
	c.kill(newcomer)
	c.remove(newcomer)
	c.add("second newcomer")
	wiped := c.machines[0]
	c.wipe(wiped)
	c.start(wiped)
	c.fetchDelay.Store(0)
	c.awaitFullSet(turns)
}

// One member after the other loses its disk, each as soon as that must be tolerated.
func TestDisksAreLostOneAfterTheOther(t *testing.T) {
	t.Parallel()
	const turns = 4000
	c := newCluster(t, 3)
	c.putMany(turns)
	c.fetchDelay.Store(int64(time.Second))
	for _, wiped := range c.machines[:2] {
		c.wipe(wiped)
		c.start(wiped)
		timer := time.NewTimer(catchUpTarget)
		<-timer.C
		assert.Assert(t, !wiped.complete(), "the empty member has fetched all records already")
		_, err := c.read("never")
		assert.Assert(t, apierr.Is(err, apierr.NoSuchTurn), "%v", err)
	}
	c.fetchDelay.Store(0)
	c.awaitFullSet(turns)
}

// awaitFullSet waits until all machines are complete members that hold the turns, and checks that reads are certain.
func (c *cluster) awaitFullSet(turns int) {
	c.t.Helper()
	eventually(c.t, "all replicas are complete members", func() bool {
		set := c.store.set()
		for _, m := range c.machines {
			if !set.Has(m.name) || !m.complete() || m.turns() != turns {
				return false
			}
		}
		return !set.Changing() && len(set.Members) == c.size
	})
	_, err := c.read("never")
	assert.Assert(c.t, apierr.Is(err, apierr.NoSuchTurn), "%v", err)
}

// evicted reports whether the set has lost a member and is not changing.
func (c *cluster) evicted(lost string) bool {
	set := c.store.set()
	return !set.Changing() && !set.Has(lost)
}

// A member that was evicted and comes back with its disk must not act as one: what was written meanwhile is not on it.
func TestEvictedMemberReturns(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3)
	c.putMany(2000)
	c.fetchDelay.Store(int64(time.Second))
	stale := c.newClient()
	lost := c.machines[0]
	c.kill(lost)
	c.add("newcomer")
	eventually(t, "the lost member is evicted", func() bool { return c.evicted(lost.name) })
	c.put("later", "")
	c.store.setDown(true)
	c.start(lost)
	other := c.machines[1]
	c.kill(other)
	for range 3 {
		_, err := c.newClientWith("other", nil).Open(t.Context(), OpenParams{Turn: "next", Previous: "later", Budget: -1})
		assert.Assert(t, !apierr.Is(err, apierr.NoSuchTurn), "%v", err)
		_, err = stale.Open(t.Context(), OpenParams{Turn: "next", Previous: "later", Budget: -1})
		assert.Assert(t, !apierr.Is(err, apierr.NoSuchTurn), "%v", err)
	}
	c.start(other)
	c.store.setDown(false)
	c.fetchDelay.Store(0)
	eventually(t, "the set is full again", func() bool {
		set := c.store.set()
		return !set.Changing() && len(set.Members) == 3
	})
	_, err := c.read("later")
	assert.NilError(t, err)
}

// An eviction whose spare is lost is aborted by the members, and another spare can take the lost member's place.
func TestEvictionOfLostSpareIsAborted(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3)
	c.put("a", "")
	lost := c.machines[0]
	c.kill(lost)
	c.remove(lost)
	set := c.store.set()
	joint := set
	joint.Epoch++
	joint.Next = without(set.Members, lost.name)
	joint.ChangedBy = "ghost"
	assert.NilError(t, c.machines[0].process.replica.replaceSet(context.Background(), set, joint))
	_, err := c.read("a")
	assert.NilError(t, err)
	c.add("newcomer")
	eventually(t, "the new replica is a member", func() bool { return c.evicted(lost.name) && c.store.set().Has("newcomer") })
	_, err = c.read("a")
	assert.NilError(t, err)
}

// A member of an earlier build can't synchronize: the eviction is aborted, and the new replica joins once it is ready.
func TestEvictionWithMemberOfEarlierBuild(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3)
	c.putMany(2000)
	c.fetchDelay.Store(int64(time.Second))
	c.machines[1].earlierBuild.Store(true)
	lost := c.machines[0]
	epoch := c.store.set().Epoch
	c.kill(lost)
	c.remove(lost)
	c.add("newcomer")
	eventually(t, "the eviction is aborted", func() bool {
		set := c.store.set()
		return !set.Changing() && set.Epoch >= epoch+2
	})
	c.put("later", "")
	c.fetchDelay.Store(0)
	eventually(t, "the new replica is a member", func() bool { return c.evicted(lost.name) && c.store.set().Has("newcomer") })
	_, err := c.read("later")
	assert.NilError(t, err)
}

// A member whose disk was lost before the eviction must not count: only the lost member may hold what it acknowledged.
func TestEvictionNeedsCompleteMembers(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3)
	lost, wiped, behind := c.machines[0], c.machines[1], c.machines[2]
	c.kill(behind)
	c.put("a", "")
	c.client.network.Close()
	c.kill(lost)
	c.wipe(wiped)
	c.start(behind)
	c.start(wiped)
	c.add("newcomer")
	timer := time.NewTimer(memberTimeout + evictionTimeout + time.Second)
	defer timer.Stop()
	<-timer.C
	_, err := c.read("a")
	assert.Assert(t, apierr.Is(err, apierr.TurnsUnavailable), "%v", err)
	c.start(lost)
	eventually(t, "the turn is readable again", func() bool {
		_, err := c.read("a")
		assert.Assert(t, !apierr.Is(err, apierr.NoSuchTurn), "an acknowledged turn was reported as unknown")
		return err == nil
	})
}

// Once a member is evicted, a record that only it and two other members held is on all remaining members.
func TestEvictionCopiesRecordsOfTheLostMember(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 5)
	c.putMany(2000)
	lost, behind := c.machines[0], c.machines[3:]
	for _, m := range behind {
		c.kill(m)
	}
	c.put("a", "")
	// Stop the client's background writes, or the other machines would receive the record when they are back.
	c.client.network.Close()
	// The members' own pulls take longer than the eviction may.
	c.fetchDelay.Store(int64(pullTimeout - 100*time.Millisecond))
	for _, m := range behind {
		c.start(m)
	}
	c.kill(lost)
	c.remove(lost)
	c.add("newcomer")
	eventually(t, "the lost member is evicted", func() bool { return c.evicted(lost.name) })
	for _, m := range c.machines {
		assert.Assert(t, m.name == "newcomer" || m.process.replica.holdsTurn("a"), "%s lacks the turn", m.name)
	}
}

// Of five members two are lost: both are evicted, and then a third one may lose its disk.
func TestTwoLostMembersAreEvicted(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 5)
	c.putMany(2000)
	c.fetchDelay.Store(int64(time.Second))
	lost := []*machine{c.machines[0], c.machines[1]}
	for _, m := range lost {
		c.kill(m)
	}
	for _, m := range lost {
		c.remove(m)
	}
	c.add("newcomer")
	eventually(t, "the lost members are evicted", func() bool { return c.evicted(lost[0].name) && c.evicted(lost[1].name) })
	wiped := c.machines[0]
	c.wipe(wiped)
	c.start(wiped)
	c.fetchDelay.Store(0)
	eventually(t, "the empty member is complete", wiped.complete)
	_, err := c.read("turn-0")
	assert.NilError(t, err)
	_, err = c.read("never")
	assert.Assert(t, apierr.Is(err, apierr.NoSuchTurn), "%v", err)
}

// Of five members one is lost and one is empty, and while they are being replaced another one loses its disk: the empty
// ones must not keep the lost one in the set, or all of them wait for each other.
func TestEvictionBesideEmptyMember(t *testing.T) {
	t.Parallel()
	const turns = 4000
	c := newCluster(t, 5)
	c.putMany(turns)
	c.fetchDelay.Store(int64(time.Second))
	first, second := c.machines[1], c.machines[2]
	c.wipe(first)
	c.start(first)
	c.replace(c.machines[0])
	assert.Assert(t, !first.complete(), "the empty member has fetched all records already")
	c.wipe(second)
	c.start(second)
	c.fetchDelay.Store(0)
	c.awaitFullSet(turns)
}

func (r *Replica) holdsTurn(id string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.state.HasTurn(id)
}
