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

func TestChainIsRebuiltForAnyClient(t *testing.T) {
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

// "No such turn" needs certainty: with two of three replicas silent, nobody can be sure.
func TestNoCertaintyWithoutEnoughReplicas(t *testing.T) {
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

// A disk is lost right after the acknowledgement while all others lose power: the turn is there.
func TestDiskLostWhileAllOthersLosePower(t *testing.T) {
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
				assert.Assert(t, !apierr.Is(err, apierr.NoSuchTurn), "a kept turn was denied")
				return err == nil && string(opened.Prefix) == "a;"
			})
			eventually(t, "the empty replica has caught up", func() bool {
				return c.machines[lost].complete() && c.machines[lost].turns() == 1
			})
		})
	}
}

// A replica whose disk was lost must not say "no" before it has everything again.
func TestEmptyReplicaDeniesNothing(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3)
	c.kill(c.machines[2])
	c.put("a", "")
	// The client offers the record to the third machine for a while; it must not get it when it is back.
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
	eventually(t, "the turn is back", func() bool {
		_, err := c.read("a")
		return err == nil
	})
}

func TestBudgetIsNeverOverspent(t *testing.T) {
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

func TestSettledTurnsGiveBackWhatTheyDidNotUse(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3)
	one, err := c.open(c.client, "one", 100, 60)
	assert.NilError(t, err)
	err = c.reserve(c.client, "two", 100, 60)
	assert.Assert(t, apierr.Is(err, apierr.BudgetExceeded), "%v", err)
	assert.Equal(t, apierr.From(err, apierr.OutcomeUnknown).Outcome, apierr.NotRun)
	c.client.Settle(one, 9, "")
	eventually(t, "there is room again", func() bool { return c.reserve(c.newClient(), "three", 100, 60) == nil })
	for _, m := range c.machines {
		c.kill(m)
	}
	for _, m := range c.machines {
		c.start(m)
	}
	eventually(t, "what was spent is known after a loss of power", func() bool {
		return apierr.Is(c.reserve(c.newClient(), "four", 100, 60), apierr.BudgetExceeded)
	})
}

// A machine that is gone for good is replaced by one with another name, without the operator; then
// the loss of another one is borne again.
// A caller that was refused sends its request again with the same ID: the charge of the refusal, which was
// settled at nothing, must not hide what the second one generates.
func TestRefusedTurnThatIsSentAgainIsCharged(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3)
	one, err := c.open(c.client, "one", 100, 60)
	assert.NilError(t, err)
	assert.Assert(t, apierr.Is(c.reserve(c.client, "two", 100, 60), apierr.BudgetExceeded))
	c.client.Settle(one, 20, "")
	eventually(t, "the refusal is settled", c.client.idle)
	var two *OpenedTurn
	eventually(t, "there is room for the second try", func() bool {
		two, err = c.open(c.client, "two", 100, 60)
		return err == nil
	})
	c.client.Settle(two, 60, "")
	eventually(t, "the second try is settled", c.client.idle)
	err = c.reserve(c.newClient(), "three", 100, 60)
	assert.Assert(t, apierr.Is(err, apierr.BudgetExceeded), "%v", err)
}

func TestReplacedMachine(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 4)
	c.put("a", "")
	gone := c.machines[0]
	c.kill(gone)
	added := c.add("newcomer")
	eventually(t, "the newcomer is a member", func() bool {
		set := c.store.set()
		return !set.Changing() && set.Has("newcomer") && !set.Has(gone.name)
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

// One machine more than the set has room for pulls, but does not join.
func TestSpareDoesNotJoin(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3)
	c.put("a", "")
	spare := c.add("spare")
	eventually(t, "the spare has everything", func() bool { return spare.turns() == 1 })
	assert.Assert(t, !c.store.set().Has("spare"))
}

// The set has no more members than it needs, one in each zone; the others are spares that hold everything,
// and one of them takes the place of a member that is lost.
func TestSpareTakesThePlaceOfALostMember(t *testing.T) {
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
		c.forget(lost)
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

// A member that is cut off from the others, but reaches the store, loses its place to a spare once. It takes the
// others for silent, and must neither take a place of theirs while it is cut off nor when the ways come back.
func TestMemberThatWasCutOffTakesNobodysPlace(t *testing.T) {
	t.Parallel()
	c := newClusterWithSpares(t, 3, 1)
	c.put("a", "")
	cut := c.machineOf(c.store.set().Members[0].Name)
	eventually(t, "the member has pulled from the others", func() bool {
		replica := cut.process.replica
		replica.mutex.Lock()
		defer replica.mutex.Unlock()
		return replica.pulledEnough(time.Time{})
	})
	c.links.set(cut.address, true)
	replaced := func() bool {
		set := c.store.set()
		return !set.Changing() && !set.Has(cut.name) && len(set.Members) == 3
	}
	eventually(t, "the spare is a member", replaced)
	epoch := c.store.set().Epoch
	settle := time.NewTimer(silentAfter + 2*time.Second)
	defer settle.Stop()
	<-settle.C
	assert.Equal(t, c.store.set().Epoch, epoch, "the replica that is cut off changed the set")
	c.links.set(cut.address, false)
	c.put("b", "a")
	eventually(t, "the machine is a spare that has everything", func() bool { return cut.turns() == 2 })
	settle.Reset(time.Second)
	<-settle.C
	assert.Equal(t, c.store.set().Epoch, epoch, "the replica that came back changed the set")
	_, err := c.read("b")
	assert.NilError(t, err)
}

// Machines that start together must not get in each other's way at the store, or the system is not there when
// callers come: each writes one key of its own, and one of them writes the sets.
func TestCandidatesTryFewChanges(t *testing.T) {
	t.Parallel()
	const machines = 12
	c := newClusterWithSpares(t, 3, machines-3)
	assert.Equal(t, len(c.store.candidates()), machines)
	for _, set := range c.store.sets() {
		assert.Equal(t, len(set.Members), 3)
	}
	c.store.mutex.Lock()
	defer c.store.mutex.Unlock()
	assert.Assert(t, c.store.swaps <= machines+1, "%d changes were tried", c.store.swaps)
}

// A machine that was a member, became a spare and joins again is new to the members: what they remember of it is
// old, and must not pass for silence.
func TestFormerMemberIsNotSilentWhenItIsAskedAgain(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3)
	replica := c.machines[0].process.replica
	former := Member{Name: "former", Address: "127.0.0.1:1"}
	replica.progressOf(former)
	replica.mutex.Lock()
	progress := replica.peers[former.Name]
	longAgo := time.Now().Add(-time.Minute)
	progress.heardAt, progress.firstAskedAt, progress.askedAt = longAgo, longAgo, longAgo
	before := replica.silent(former.Name)
	replica.mutex.Unlock()
	assert.Assert(t, !before, "one that nobody asks counts as silent")
	replica.progressOf(former)
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	assert.Assert(t, !replica.silent(former.Name))
}

// A replica that has everything lists the keys of one other at a time: a member those of each in turn, a
// spare those of the member in its zone.
func TestCompleteReplicaListsTheKeysOfOneOther(t *testing.T) {
	t.Parallel()
	c := newClusterWithSpares(t, 3, 1)
	member := c.machineOf(c.store.set().Members[0].Name).process.replica
	eventually(t, "the member is not in haste", func() bool { return !member.pullsHastily() })
	asked := make(map[string]bool)
	for round := range 2 {
		asked[member.source(member.others(), round).Name] = true
	}
	assert.Equal(t, len(asked), 2)
	for _, m := range c.machines {
		if set := c.store.set(); !set.Has(m.name) {
			spare := m.process.replica
			eventually(t, "the spare is not in haste", func() bool { return !spare.pullsHastily() })
			for round := range 3 {
				assert.Equal(t, spare.source(spare.others(), round).Zone, m.zone)
			}
		}
	}
}

// The only member whose disk was lost knows that nothing is left anywhere, and serves on.
func TestOnlyMemberWithALostDiskServesOn(t *testing.T) {
	t.Parallel()
	replica := &Replica{set: ReplicaSet{Epoch: 4, Members: []Member{{Name: "only"}}, Copies: 1, Size: 1}}
	replica.options.Self = Member{Name: "only"}
	assert.Assert(t, replica.pulledEnough(time.Time{}))
	replica.options.Self = Member{Name: "newcomer"}
	assert.Assert(t, !replica.pulledEnough(time.Time{}), "the member may hold something")
}

// A request of an older epoch is refused, and the client goes on with the newer set.
func TestOlderEpochIsRefused(t *testing.T) {
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
	answer, err := c.machines[0].process.replica.servePut(context.Background(), transport.Peer{}, putRequest{Epoch: set.Epoch})
	assert.NilError(t, err)
	assert.Equal(t, answer.Newer.Epoch, fenced.Epoch)
	assert.NilError(t, c.reserve(stale, "one", 10, 1))
	assert.Equal(t, stale.ReplicaSet().Epoch, fenced.Epoch)
	c.kill(c.machines[0])
	c.start(c.machines[0])
	assert.Equal(t, c.machines[0].process.replica.ReplicaSet().Epoch, fenced.Epoch, "a restart must not forget the epoch")
}

// A change whose replica is gone for good is taken back by the others.
func TestUnfinishedChangeIsTakenBack(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3)
	set := c.store.set()
	joint := set
	joint.Epoch++
	joint.Next = append(append([]Member(nil), set.Members...), Member{Name: "ghost", Address: "127.0.0.1:1"})
	joint.ChangedBy = "ghost"
	assert.NilError(t, c.machines[0].process.replica.replaceSet(context.Background(), set, joint))
	c.put("during", "")
	eventually(t, "the change is taken back", func() bool {
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

// Any write set and any read set that count meet in a replica, in each step of a change.
func TestWritesAndReadsMeet(t *testing.T) {
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
		if !set.Written(written) || !set.Read(read) {
			return
		}
		for name := range written {
			if written[name] && read[name] {
				return
			}
		}
		t.Fatalf("%v and %v count in %+v and don't meet", written, read, set)
	})
}

func TestCacheForgetsOldAndMany(t *testing.T) {
	t.Parallel()
	kept := newCache(10)
	kept.add(conversation.Turn{ID: "a", Text: make([]byte, 6), RetentionMillis: 60_000})
	kept.add(conversation.Turn{ID: "b", Previous: "a", Text: make([]byte, 4), RetentionMillis: 60_000})
	turns, found := kept.chain("b")
	assert.Assert(t, found)
	assert.Equal(t, len(turns), 2)
	kept.add(conversation.Turn{ID: "c", Text: make([]byte, 4), RetentionMillis: 60_000})
	_, found = kept.chain("b")
	assert.Assert(t, !found, "a part of the chain had to give way")
	old := newCache(10)
	old.add(conversation.Turn{ID: "a", RetentionMillis: 0})
	eventually(t, "the turn is too old", func() bool {
		_, found := old.chain("a")
		return !found
	})
}
