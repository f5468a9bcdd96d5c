package turnstore

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/conversation"
	"github.com/mountstile/mountstile/internal/transport"
)

func TestOpenReturnsChainToAnyClient(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3)
	c.put("a", "")
	c.put("b", "a")
	opened, err := c.read("b")
	assert.NilError(t, err)
	assert.Equal(t, string(opened.Prefix), "a;b;")
	assert.Equal(t, opened.Engine, "engine of b")
	_, err = c.read("never")
	assert.Assert(t, apierr.Is(err, apierr.NoSuchTurn), "%v", err)
}

// NoSuchTurn requires a read quorum: with two of three replicas lost, the error is TurnsUnavailable.
func TestNoSuchTurnNeedsReadQuorum(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3)
	c.kill(c.machines[0])
	_, err := c.read("never")
	assert.Assert(t, apierr.Is(err, apierr.NoSuchTurn), "%v", err)
	c.kill(c.machines[1])
	_, err = c.read("never")
	assert.Assert(t, apierr.Is(err, apierr.TurnsUnavailable), "%v", err)
	failure := apierr.From(err, apierr.OutcomeUnknown)
	assert.Equal(t, failure.Outcome, apierr.NotRun)
	assert.Assert(t, failure.RetryAfter > 0)
}

// A disk is lost right after the acknowledgement while all other machines lose power. The turn must survive.
func TestDiskLossDuringPowerLoss(t *testing.T) {
	t.Parallel()
	for lost := range 4 {
		t.Run(fmt.Sprint(lost), func(t *testing.T) {
			c := newCluster(t, 4)
			c.put("a", "")
			for _, m := range c.machines {
				if m != c.machines[lost] {
					c.kill(m)
				}
			}
			c.wipe(c.machines[lost])
			for _, m := range c.machines {
				c.start(m)
			}
			eventually(t, "the turn is served", func() bool {
				opened, err := c.read("a")
				assert.Assert(t, !apierr.Is(err, apierr.NoSuchTurn), "an acknowledged turn was reported as unknown")
				return err == nil && string(opened.Prefix) == "a;"
			})
			eventually(t, "the empty replica has caught up", func() bool {
				return c.machines[lost].complete() && c.machines[lost].turns() == 1
			})
		})
	}
}

// A replica that lost its disk must not report turns as unknown before it has caught up.
func TestWipedReplicaDoesNotDenyTurns(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3)
	c.kill(c.machines[2])
	c.put("a", "")
	// Stop the client's background writes, or the third machine would receive the record when it is back.
	c.client.network.Close()
	c.wipe(c.machines[0])
	c.kill(c.machines[1])
	c.start(c.machines[0])
	c.start(c.machines[2])
	for range 3 {
		_, err := c.read("a")
		assert.Assert(t, apierr.Is(err, apierr.TurnsUnavailable), "%v", err)
	}
	assert.Assert(t, !c.machines[0].complete())
	c.start(c.machines[1])
	eventually(t, "the turn is readable again", func() bool {
		_, err := c.read("a")
		return err == nil
	})
}

func TestBudgetIsNotExceeded(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3)
	clients := []*Client{c.newClient(), c.newClient(), c.newClient()}
	var admitted atomic.Int64
	var tasks sync.WaitGroup
	for index := range 30 {
		tasks.Add(1)
		go func() {
			defer tasks.Done()
			if c.reserve(clients[index%len(clients)], fmt.Sprint(index), 100, 30) == nil {
				admitted.Add(1)
			}
		}()
	}
	tasks.Wait()
	assert.Assert(t, admitted.Load() <= 3, "%d turns of 30 in a budget of 100", admitted.Load())
}

func TestSettleReleasesUnusedTokens(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3)
	one, err := c.open(c.client, "one", 100, 60)
	assert.NilError(t, err)
	err = c.reserve(c.client, "two", 100, 60)
	assert.Assert(t, apierr.Is(err, apierr.BudgetExceeded), "%v", err)
	assert.Equal(t, apierr.From(err, apierr.OutcomeUnknown).Outcome, apierr.NotRun)
	c.client.Settle(one, 9, "")
	eventually(t, "the budget has room again", func() bool { return c.reserve(c.newClient(), "three", 100, 60) == nil })
	for _, m := range c.machines {
		c.kill(m)
	}
	for _, m := range c.machines {
		c.start(m)
	}
	eventually(t, "the charge is known after the restart", func() bool {
		return apierr.Is(c.reserve(c.newClient(), "four", 100, 60), apierr.BudgetExceeded)
	})
}

// A caller retries a rejected turn with the same ID: the rejection's charge, settled at zero, must not hide the charge
// of the retry.
func TestRetriedTurnIsCharged(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3)
	one, err := c.open(c.client, "one", 100, 60)
	assert.NilError(t, err)
	assert.Assert(t, apierr.Is(c.reserve(c.client, "two", 100, 60), apierr.BudgetExceeded))
	c.client.Settle(one, 20, "")
	eventually(t, "the rejection is settled", c.client.idle)
	var two *OpenedTurn
	eventually(t, "the budget has room for the retry", func() bool {
		two, err = c.open(c.client, "two", 100, 60)
		return err == nil
	})
	c.client.Settle(two, 60, "")
	eventually(t, "the retry is settled", c.client.idle)
	err = c.reserve(c.newClient(), "three", 100, 60)
	assert.Assert(t, apierr.Is(err, apierr.BudgetExceeded), "%v", err)
}

// A machine that is lost for good is replaced by a new one without the operator; then another loss is tolerated.
func TestNewcomerReplacesLostMember(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 4)
	c.put("a", "")
	lost := c.machines[0]
	c.kill(lost)
	added := c.add("newcomer")
	eventually(t, "the added replica is a member", func() bool {
		set := c.store.set()
		return !set.Changing() && set.Has("newcomer") && !set.Has(lost.name)
	})
	assert.Equal(t, added.turns(), 1)
	c.kill(c.machines[1])
	c.put("b", "a")
	opened, err := c.read("b")
	assert.NilError(t, err)
	assert.Equal(t, string(opened.Prefix), "a;b;")
	_, err = c.read("never")
	assert.Assert(t, apierr.Is(err, apierr.NoSuchTurn), "%v", err)
}

// A replica beyond the set's size pulls, but does not join.
func TestSpareDoesNotJoinFullSet(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3)
	c.put("a", "")
	spare := c.add("spare")
	eventually(t, "the spare has the turn", func() bool { return spare.turns() == 1 })
	assert.Assert(t, !c.store.set().Has("spare"))
}

// The set has no more members than its size, one in each zone; the others are spares that hold all records, and one of
// them replaces a lost member.
func TestSpareReplacesLostMember(t *testing.T) {
	t.Parallel()
	c := newClusterWithSpares(t, 3, 3)
	zones := make(map[string]bool)
	for _, member := range c.store.set().Members {
		zones[member.Zone] = true
	}
	assert.Equal(t, len(zones), testZones)
	c.put("a", "")
	for _, m := range c.machines {
		eventually(t, m.name+" has the turn", func() bool { return m.turns() == 1 })
	}
	for range 2 {
		set := c.store.set()
		lost := c.machineOf(set.Members[0].Name)
		c.wipe(lost)
		c.remove(lost)
		eventually(t, "a spare is a member", func() bool {
			now := c.store.set()
			return !now.Changing() && len(now.Members) == 3 && !now.Has(lost.name)
		})
	}
	opened, err := c.read("a")
	assert.NilError(t, err)
	assert.Equal(t, string(opened.Prefix), "a;")
	_, err = c.read("never")
	assert.Assert(t, apierr.Is(err, apierr.NoSuchTurn), "%v", err)
}

// A member that is partitioned from the others, but reaches the store, is replaced by a spare once. The others look
// lost to it, but it must not replace any, neither during the partition nor while its connections come back.
func TestPartitionedMemberReplacesNobody(t *testing.T) {
	t.Parallel()
	c := newClusterWithSpares(t, 3, 1)
	c.put("a", "")
	partitioned := c.machineOf(c.store.set().Members[0].Name)
	eventually(t, "the member has pulled from the others", func() bool {
		replica := partitioned.process.replica
		replica.mutex.Lock()
		defer replica.mutex.Unlock()
		return replica.pulledReadQuorum(time.Time{})
	})
	c.links.set(partitioned.address, true)
	replaced := func() bool {
		set := c.store.set()
		return !set.Changing() && !set.Has(partitioned.name) && len(set.Members) == 3
	}
	eventually(t, "the spare is a member", replaced)
	epoch := c.store.set().Epoch
	timer := time.NewTimer(memberTimeout + 2*time.Second)
	defer timer.Stop()
	<-timer.C
	assert.Equal(t, c.store.set().Epoch, epoch, "the partitioned replica changed the set")
	c.links.set(partitioned.address, false)
	c.put("b", "a")
	eventually(t, "the machine has caught up as a spare", func() bool { return partitioned.turns() == 2 })
	timer.Reset(time.Second)
	<-timer.C
	assert.Equal(t, c.store.set().Epoch, epoch, "the reconnected replica changed the set")
	_, err := c.read("b")
	assert.NilError(t, err)
}

// Machines that start together must not conflict at the store, which would delay the start of the system: each writes
// one key of its own, and one of them writes the sets.
func TestBootstrapMakesFewStoreWrites(t *testing.T) {
	t.Parallel()
	const machines = 12
	c := newClusterWithSpares(t, 3, machines-3)
	assert.Equal(t, len(c.store.candidates()), machines)
	for _, set := range c.store.sets() {
		assert.Equal(t, len(set.Members), 3)
	}
	c.store.mutex.Lock()
	defer c.store.mutex.Unlock()
	assert.Assert(t, c.store.swaps <= machines+1, "%d writes were attempted", c.store.swaps)
}

// A former member that joins again must not time out because of contact times from its earlier membership.
func TestFormerMemberDoesNotTimeOutAtOnce(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3)
	replica := c.machines[0].process.replica
	former := Member{Name: "former", Address: "127.0.0.1:1"}
	replica.progressOf(former)
	replica.mutex.Lock()
	progress := replica.peers[former.Name]
	longAgo := time.Now().Add(-time.Minute)
	progress.lastResponseAt, progress.firstRequestAt, progress.lastRequestAt = longAgo, longAgo, longAgo
	before := replica.timedOut(former.Name)
	replica.mutex.Unlock()
	assert.Assert(t, !before, "a peer that is not contacted has timed out")
	replica.progressOf(former)
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	assert.Assert(t, !replica.timedOut(former.Name))
}

// A complete replica pulls from one peer at a time: a member from each peer in rotation, a spare from the member in its
// zone.
func TestCompleteReplicaPullsFromOnePeer(t *testing.T) {
	t.Parallel()
	c := newClusterWithSpares(t, 3, 1)
	member := c.machineOf(c.store.set().Members[0].Name).process.replica
	eventually(t, "the member has caught up", func() bool { return !member.needsFastPull() })
	sources := make(map[string]bool)
	for round := range 2 {
		sources[member.pullSource(member.others(), round).Name] = true
	}
	assert.Equal(t, len(sources), 2)
	for _, m := range c.machines {
		if set := c.store.set(); !set.Has(m.name) {
			spare := m.process.replica
			eventually(t, "the spare has caught up", func() bool { return !spare.needsFastPull() })
			for round := range 3 {
				assert.Equal(t, spare.pullSource(spare.others(), round).Zone, m.zone)
			}
		}
	}
}

// A sole member that lost its disk has caught up, since there is nothing to pull.
func TestSoleMemberWithLostDiskHasCaughtUp(t *testing.T) {
	t.Parallel()
	replica := &Replica{set: ReplicaSet{Epoch: 4, Members: []Member{{Name: "only"}}, Copies: 1, Size: 1}}
	replica.options.Self = Member{Name: "only"}
	assert.Assert(t, replica.pulledReadQuorum(time.Time{}))
	replica.options.Self = Member{Name: "newcomer"}
	assert.Assert(t, !replica.pulledReadQuorum(time.Time{}), "the member may hold records")
}

// A request of an older epoch is rejected, and the client continues with the newer set.
func TestOldEpochIsRejected(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3)
	stale := c.newClient()
	set := stale.ReplicaSet()
	fenced := set
	fenced.Epoch += 5
	for _, m := range c.machines {
		_, err := m.process.replica.serveFence(context.Background(), transport.Peer{}, fenceRequest{ReplicaSet: fenced})
		assert.NilError(t, err)
	}
	response, err := c.machines[0].process.replica.servePut(context.Background(), transport.Peer{}, putRequest{Epoch: set.Epoch})
	assert.NilError(t, err)
	assert.Equal(t, response.Newer.Epoch, fenced.Epoch)
	assert.NilError(t, c.reserve(stale, "one", 10, 1))
	assert.Equal(t, stale.ReplicaSet().Epoch, fenced.Epoch)
	c.kill(c.machines[0])
	c.start(c.machines[0])
	assert.Equal(t, c.machines[0].process.replica.ReplicaSet().Epoch, fenced.Epoch, "the epoch was lost in the restart")
}

// A change whose initiator is lost is aborted by the others.
func TestUnfinishedChangeIsAborted(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3)
	set := c.store.set()
	joint := set
	joint.Epoch++
	joint.Next = append(append([]Member(nil), set.Members...), Member{Name: "ghost", Address: "127.0.0.1:1"})
	joint.ChangedBy = "ghost"
	assert.NilError(t, c.machines[0].process.replica.replaceSet(context.Background(), set, joint))
	c.put("during", "")
	eventually(t, "the change is aborted", func() bool {
		now := c.store.set()
		return !now.Changing() && now.Epoch > joint.Epoch && !now.Has("ghost")
	})
	_, err := c.read("during")
	assert.NilError(t, err)
}

func TestStoreOutageDoesNotStopTurns(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3)
	c.store.setDown(true)
	c.put("a", "")
	_, err := c.read("a")
	assert.NilError(t, err)
	assert.NilError(t, c.reserve(c.client, "one", 10, 5))
}

// Any write quorum and any read quorum intersect, also during a change.
func TestQuorumsIntersect(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		members := func(label string, from, to int) []Member {
			var made []Member
			for index := range rapid.IntRange(from, to).Draw(t, label) {
				made = append(made, Member{Name: fmt.Sprint(label[:1], index)})
			}
			return made
		}
		set := ReplicaSet{Members: members("old", 1, 6), Copies: rapid.IntRange(1, 3).Draw(t, "copies")}
		if rapid.Bool().Draw(t, "changing") {
			set.Next = append(members("new", 1, 2), set.Members[rapid.IntRange(0, len(set.Members)-1).Draw(t, "left"):]...)
		}
		pick := func(label string) map[string]bool {
			picked := make(map[string]bool)
			for _, member := range set.All() {
				picked[member.Name] = rapid.Bool().Draw(t, label)
			}
			return picked
		}
		written, read := pick("written"), pick("read")
		if !set.HasWriteQuorum(written) || !set.HasReadQuorum(read) {
			return
		}
		for name := range written {
			if written[name] && read[name] {
				return
			}
		}
		t.Fatalf("write quorum %v and read quorum %v of %+v do not intersect", written, read, set)
	})
}

func TestCacheEviction(t *testing.T) {
	t.Parallel()
	cached := newCache(10)
	cached.add(conversation.Turn{ID: "a", Text: make([]byte, 6), RetentionMillis: 60_000})
	cached.add(conversation.Turn{ID: "b", Previous: "a", Text: make([]byte, 4), RetentionMillis: 60_000})
	turns, found := cached.chain("b")
	assert.Assert(t, found)
	assert.Equal(t, len(turns), 2)
	cached.add(conversation.Turn{ID: "c", Text: make([]byte, 4), RetentionMillis: 60_000})
	_, found = cached.chain("b")
	assert.Assert(t, !found, "part of the chain must have been evicted")
	expired := newCache(10)
	expired.add(conversation.Turn{ID: "a", RetentionMillis: 0})
	eventually(t, "the turn has expired", func() bool {
		_, found := expired.chain("a")
		return !found
	})
}
