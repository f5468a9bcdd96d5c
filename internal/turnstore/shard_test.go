package turnstore

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/conversation"
)

func candidatesInZones(count, zones int) []Member {
	var candidates []Member
	for index := range count {
		candidates = append(candidates, Member{Name: fmt.Sprint("replica-", index), Zone: fmt.Sprint("zone-", index*zones/count)})
	}
	return candidates
}

// The initial sets are disjoint, and the members of each are spread over as many zones as possible.
func TestInitialSets(t *testing.T) {
	for _, test := range []struct{ machines, zones, size, shards int }{
		{3, 3, 3, 1}, {4, 3, 5, 1}, {9, 3, 5, 1}, {11, 4, 5, 1}, {12, 6, 5, 2}, {36, 6, 5, 6}, {8, 3, 3, 2},
	} {
		sets := initialSets(candidatesInZones(test.machines, test.zones), test.size, test.size/2+1)
		assert.Equal(t, len(sets), test.shards)
		seen := make(map[string]bool)
		for index, set := range sets {
			assert.Equal(t, set.Shard, index)
			assert.Equal(t, len(set.Members), min(test.size, test.machines))
			zones := make(map[string]bool)
			for _, member := range set.Members {
				assert.Assert(t, !seen[member.Name], "%s is in two sets", member.Name)
				seen[member.Name] = true
				zones[member.Zone] = true
			}
			assert.Equal(t, len(zones), min(test.zones, len(set.Members)), "%d machines", test.machines)
		}
	}
}

// programIn returns a program that belongs to a shard.
func programIn(shard, shards int) string {
	for number := 0; ; number++ {
		if program := fmt.Sprint("program-", number); shardOf(program, shards) == shard {
			return program
		}
	}
}

// newShardedCluster starts two shards of three members, and spares.
func newShardedCluster(t *testing.T, spares int) *cluster {
	t.Helper()
	c := newClusterWithSpares(t, 3, 3+spares)
	assert.Equal(t, len(c.store.sets()), 2)
	return c
}

func (c *cluster) putTurn(client *Client, program, id, previous string) error {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	opened, err := client.Open(ctx, OpenParams{Turn: id, Program: program, Previous: previous, Budget: randomBudget, Most: 1})
	if err != nil {
		return err
	}
	records := append(opened.Inherited(), conversation.Record{Turn: &conversation.Turn{
		ID: id, Previous: previous, Program: program, Text: []byte(id + ";"), RetentionMillis: 600_000,
	}}, opened.Settled(1, "engine"))
	return client.Put(ctx, program, records)
}

func (c *cluster) readAs(program, previous string) (*OpenedTurn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	return c.newClient().Open(ctx, OpenParams{Turn: "next", Program: program, Previous: previous, Budget: -1})
}

// Turns of a program are stored by the members of its shard only.
func TestTurnsAreStoredInTheirShard(t *testing.T) {
	t.Parallel()
	c := newShardedCluster(t, 2)
	for shard := range 2 {
		program := programIn(shard, 2)
		assert.NilError(t, c.putTurn(c.client, program, program+"-a", ""))
		assert.NilError(t, c.putTurn(c.client, program, program+"-b", program+"-a"))
		opened, err := c.readAs(program, program+"-b")
		assert.NilError(t, err)
		assert.Equal(t, string(opened.Prefix), program+"-a;"+program+"-b;")
	}
	for _, set := range c.store.sets() {
		for _, member := range set.Members {
			m := c.machineOf(member.Name)
			eventually(t, "each member has the turns of its shard", func() bool { return m.turns() == 2 })
		}
	}
	_, err := c.readAs("any", "never")
	assert.Assert(t, apierr.Is(err, apierr.NoSuchTurn), "%v", err)
}

// A program that continues a turn of another shard copies the previous turns to its own shard, and does not need the
// other shard afterwards.
func TestTurnContinuesAcrossShards(t *testing.T) {
	t.Parallel()
	c := newShardedCluster(t, 2)
	older, newer := programIn(0, 2), programIn(1, 2)
	assert.NilError(t, c.putTurn(c.client, older, "a", ""))
	assert.NilError(t, c.putTurn(c.client, older, "b", "a"))
	for index, client := range []*Client{c.newClient(), c.client} {
		// The second client has the previous turns cached and does not request them.
		assert.NilError(t, c.putTurn(client, newer, fmt.Sprint("c", index), "b"))
	}
	for _, member := range c.store.setOf(0).Members {
		c.kill(c.machineOf(member.Name))
	}
	for index := range 2 {
		opened, err := c.readAs(newer, fmt.Sprint("c", index))
		assert.NilError(t, err)
		assert.Equal(t, string(opened.Prefix), fmt.Sprintf("a;b;c%d;", index))
	}
	// With one shard lost, NoSuchTurn can no longer be certain.
	_, err := c.readAs(newer, "never")
	assert.Assert(t, apierr.Is(err, apierr.TurnsUnavailable), "%v", err)
	_, err = c.readAs(older, "b")
	assert.Assert(t, apierr.Is(err, apierr.TurnsUnavailable), "%v", err)
	assert.Assert(t, c.client.Ready(t.Context()), "the client is not ready although the other shard can be served")
	for _, member := range c.store.setOf(1).Members {
		c.kill(c.machineOf(member.Name))
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	assert.Assert(t, !c.client.Ready(ctx), "the client is ready although no shard can be served")
}

// Spares replace lost members of any shard, whichever shard they held before: first a member of each shard, then
// another member of the second shard.
func TestSparesReplaceMembersOfAnyShard(t *testing.T) {
	t.Parallel()
	c := newShardedCluster(t, 3)
	for shard := range 2 {
		assert.NilError(t, c.putTurn(c.client, programIn(shard, 2), fmt.Sprint("kept-", shard), ""))
	}
	lose := func(shard int) {
		lost := c.machineOf(c.store.setOf(shard).Members[0].Name)
		c.kill(lost)
		c.remove(lost)
		eventually(t, "another machine has replaced the lost one", func() bool {
			set := c.store.setOf(shard)
			return !set.Has(lost.name) && !set.Changing() && len(set.Members) == 3
		})
	}
	lose(0)
	lose(1)
	lose(1)
	for shard := range 2 {
		for _, member := range c.store.setOf(shard).Members {
			assert.Assert(t, c.machineOf(member.Name).complete(), "member %s is not complete", member.Name)
		}
		opened, err := c.readAs(programIn(shard, 2), fmt.Sprint("kept-", shard))
		assert.NilError(t, err)
		assert.Equal(t, string(opened.Prefix), fmt.Sprintf("kept-%d;", shard))
	}
}

// TestRandomFaultsSharded is TestRandomFaults for two shards and their spares.
func TestRandomFaultsSharded(t *testing.T) {
	t.Parallel()
	for run := range *randomRuns {
		seed := *randomSeed + uint64(run)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			c := newShardedCluster(t, 2)
			c.runFaults(rand.New(rand.NewPCG(seed, 1)), c.waitShardsSettled)
		})
	}
}

// waitShardsSettled waits until each shard has all its members, and these are running and complete.
func (c *cluster) waitShardsSettled(when string) {
	c.t.Helper()
	eventually(c.t, "the shards have settled "+when, func() bool {
		for _, set := range c.store.sets() {
			if set.Changing() || len(set.Members) != set.Size {
				return false
			}
			for _, member := range set.Members {
				if m := c.find(member.Name); m == nil || m.process == nil || !m.complete() {
					return false
				}
			}
		}
		return true
	})
}

// A replica rejects requests for other shards, or returns the newer set if it knows one.
func TestReplicaServesOnlyItsShard(t *testing.T) {
	t.Parallel()
	c := newShardedCluster(t, 2)
	member := c.machineOf(c.store.setOf(1).Members[0].Name).process.replica
	eventually(t, "the replica knows both sets and has saved its shard", func() bool {
		return member.setOf(0).Epoch > 0 && member.folder.record().Assigned
	})
	_, err := member.checkEpoch(0, c.store.setOf(0).Epoch)
	assert.Assert(t, apierr.Is(err, apierr.TurnsUnavailable), "%v", err)
	newer, err := member.checkEpoch(0, 0)
	assert.NilError(t, err)
	assert.Equal(t, newer.Shard, 0)
	assert.Assert(t, member.folder.saveSet(c.store.setOf(0)) != nil, "the set of another shard was saved")
}

// A replica restores its shard assignment from disk before it knows any set.
func TestShardAssignmentPersists(t *testing.T) {
	t.Parallel()
	c := newShardedCluster(t, 2)
	m := c.machineOf(c.store.setOf(1).Members[0].Name)
	eventually(t, "the shard assignment is saved", func() bool { return m.process.replica.folder.record().Assigned })
	c.kill(m)
	opened, err := openFolder(m.folder, false)
	assert.NilError(t, err)
	assert.Equal(t, opened.record().ReplicaSet.Shard, 1)
	assert.Assert(t, opened.record().Complete)
	moved := c.store.setOf(0)
	assert.NilError(t, opened.saveShard(moved))
	assert.Assert(t, !opened.record().Complete, "the replica is complete in a shard of which it holds no records")
}

// A replica that moves to another shard while it finishes catching up with its former one must not count as complete in the
// new one, of which it holds nothing.
func TestCatchUpOfFormerShardIsNotSaved(t *testing.T) {
	t.Parallel()
	opened, err := openFolder(memoryFolder(t), false)
	assert.NilError(t, err)
	assert.NilError(t, opened.saveShard(ReplicaSet{Shard: 0, Shards: 2, Epoch: 1}))
	assert.NilError(t, opened.saveShard(ReplicaSet{Shard: 1, Shards: 2, Epoch: 1}))
	assert.Assert(t, opened.saveComplete(0) != nil)
	assert.Assert(t, !opened.record().Complete)
	assert.NilError(t, opened.saveComplete(1))
	assert.Assert(t, opened.record().Complete)
}

// A member must not count another member as a spare: a retiring member would wait in vain for it to join.
func TestMembersDoNotCountAsSpares(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3)
	startedAt := time.Now()
	for _, m := range c.machines {
		eventually(t, "each replica has contact with all others", func() bool { return m.process.replica.hasContactWithAll(c.store.set().Members) })
	}
	eventually(t, "some pull rounds have passed", func() bool { return time.Since(startedAt) > 3*pullInterval })
	for _, m := range c.machines {
		replica := m.process.replica
		replica.mutex.Lock()
		seenAt := replica.spareSeenAt
		replica.mutex.Unlock()
		assert.Assert(t, seenAt.IsZero() || seenAt.Before(startedAt), "%s counted a member as a spare", m.name)
	}
}
