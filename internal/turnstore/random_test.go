package turnstore

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/conversation"
)

var (
	randomSeed  = flag.Uint64("turnstore.seed", 1, "first seed of the random faults")
	randomRuns  = flag.Int("turnstore.runs", 2, "number of seeds to run")
	randomSteps = flag.Int("turnstore.steps", 12, "number of faults for each seed")
)

const (
	randomBudget = 400
	randomMost   = 60
	// writeInterval limits the load of the writers.
	writeInterval = 5 * time.Millisecond
	// retireTimeout is how long a retirement may take before it is withdrawn.
	retireTimeout = 3 * time.Second
)

// acknowledged holds what was acknowledged to callers.
type acknowledged struct {
	mutex sync.Mutex
	turns []string
	// generated counts the tokens granted to each program.
	generated map[string]int64
}

// TestRandomFaults kills, wipes, partitions, replaces and retires random replicas, within the tolerated number of
// faults, during writes and reads. Acknowledged turns must not be reported as unknown, unwritten turns must not be
// found, budgets must not be exceeded, and in the end all acknowledged turns must be readable.
func TestRandomFaults(t *testing.T) {
	t.Parallel()
	for run := range *randomRuns {
		seed := *randomSeed + uint64(run)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runFaults(t, seed)
		})
	}
}

func runFaults(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 0))
	c := newCluster(t, 3+random.IntN(2))
	c.runFaults(random, c.waitSettled)
	t.Logf("seed %d: set %+v", seed, c.store.set())
}

// runFaults injects faults, each after the cluster has recovered from the one before, during writes and reads.
func (c *cluster) runFaults(random *rand.Rand, waitSettled func(when string)) {
	t := c.t
	acked := &acknowledged{generated: make(map[string]int64)}
	ctx, stop := context.WithCancel(context.Background())
	var writers sync.WaitGroup
	for index := range 3 {
		writers.Add(1)
		go func() {
			defer writers.Done()
			c.write(ctx, acked, c.newClient(), index)
		}()
	}
	added := 0
	for step := range *randomSteps {
		c.injectFault(random, &added)
		c.checkReads(acked, random)
		waitSettled(fmt.Sprintf("after step %d", step))
		c.checkReads(acked, random)
	}
	stop()
	writers.Wait()
	for program, generated := range acked.generated {
		assert.Assert(t, generated <= randomBudget, "%s generated %d", program, generated)
	}
	for _, id := range acked.turns {
		eventually(t, "turn "+id+" is readable", func() bool {
			opened, err := c.read(id)
			return err == nil && len(opened.Prefix) > 0
		})
	}
	t.Logf("%d turns acknowledged", len(acked.turns))
}

// write stores turns and spends budgets until the context ends.
func (c *cluster) write(ctx context.Context, acked *acknowledged, client *Client, writer int) {
	pause := time.NewTicker(writeInterval)
	defer pause.Stop()
	for number := 0; ; number++ {
		select {
		case <-ctx.Done():
			return
		case <-pause.C:
		}
		id := fmt.Sprintf("w%d-%d", writer, number)
		program := fmt.Sprintf("program %d", number/10)
		opened, err := client.Open(ctx, OpenParams{Turn: id, Program: program, Budget: randomBudget, Most: randomMost})
		if err != nil {
			continue
		}
		acked.mutex.Lock()
		acked.generated[program] += randomMost
		acked.mutex.Unlock()
		putContext, cancel := context.WithTimeout(ctx, time.Second)
		err = client.Put(putContext, program, []conversation.Record{
			{Turn: &conversation.Turn{ID: id, Text: []byte(id), RetentionMillis: 600_000}},
			opened.Settled(randomMost, "engine"),
		})
		cancel()
		if err == nil {
			acked.mutex.Lock()
			acked.turns = append(acked.turns, id)
			acked.mutex.Unlock()
		}
	}
}

// injectFault injects one random fault.
func (c *cluster) injectFault(random *rand.Rand, added *int) {
	members := c.live()
	victim := members[random.IntN(len(members))]
	outage := time.Duration(50+random.IntN(400)) * time.Millisecond
	switch random.IntN(8) {
	case 0:
		c.kill(victim)
		c.waitOutage(outage)
		c.start(victim)
	case 1:
		for _, m := range members {
			c.kill(m)
		}
		c.waitOutage(outage)
		for _, m := range members {
			c.start(m)
		}
	case 2, 3:
		c.wipeOne(random, members, victim)
	case 4:
		c.links.set(victim.address, true)
		c.waitOutage(2 * outage)
		c.links.set(victim.address, false)
	case 5:
		c.kill(victim)
		c.remove(victim)
		*added++
		c.add(fmt.Sprintf("added-%d", *added))
	case 6:
		c.store.setDown(true)
		c.waitOutage(outage)
		c.store.setDown(false)
	case 7:
		c.retireOne(random, members, victim, added)
	}
}

// waitOutage waits for the duration of a fault, or until the test has failed.
func (c *cluster) waitOutage(outage time.Duration) {
	select {
	case <-time.After(outage):
	case <-c.t.Context().Done():
	}
}

// retireOne retires a machine, sometimes while another one is down, and then adds a replacement. A retirement that
// takes too long is withdrawn.
func (c *cluster) retireOne(random *rand.Rand, members []*machine, victim *machine, added *int) {
	var down *machine
	if other := members[random.IntN(len(members))]; other != victim && random.IntN(2) == 0 {
		down = other
		c.kill(down)
	}
	victim.retiring.Store(true)
	timeout := time.After(retireTimeout)
	ticker := time.NewTicker(writeInterval)
	defer ticker.Stop()
	for waiting := true; waiting && !victim.retired.Load(); {
		select {
		case <-timeout:
			waiting = false
		case <-ticker.C:
		}
	}
	if down != nil {
		c.start(down)
	}
	if !victim.retired.Load() {
		victim.retiring.Store(false)
		return
	}
	c.wipe(victim)
	c.remove(victim)
	*added++
	c.add(fmt.Sprintf("added-%d", *added))
}

// wipeOne wipes a disk, sometimes during a power loss of all machines.
func (c *cluster) wipeOne(random *rand.Rand, members []*machine, victim *machine) {
	if random.IntN(2) == 0 {
		for _, m := range members {
			c.kill(m)
		}
	}
	c.wipe(victim)
	c.start(victim)
	for _, m := range members {
		if m.process == nil {
			c.start(m)
		}
	}
}

func (c *cluster) live() []*machine {
	var members []*machine
	for _, m := range c.machines {
		if m.process != nil && c.isMember(m) {
			members = append(members, m)
		}
	}
	return members
}

func (c *cluster) isMember(m *machine) bool {
	for _, set := range c.store.sets() {
		if set.Has(m.name) {
			return true
		}
	}
	return false
}

func (c *cluster) remove(removed *machine) {
	var kept []*machine
	for _, m := range c.machines {
		if m != removed {
			kept = append(kept, m)
		}
	}
	c.machinesMutex.Lock()
	c.machines = kept
	c.machinesMutex.Unlock()
}

// waitSettled waits until all machines are complete members again.
func (c *cluster) waitSettled(when string) {
	c.t.Helper()
	eventually(c.t, "the cluster has settled "+when, func() bool {
		set := c.store.set()
		for _, m := range c.machines {
			if !set.Has(m.name) || !m.complete() {
				return false
			}
		}
		return !set.Changing() && len(set.Members) == len(c.machines)
	})
}

// checkReads reads some acknowledged turns, and one that was never written.
func (c *cluster) checkReads(acked *acknowledged, random *rand.Rand) {
	c.t.Helper()
	acked.mutex.Lock()
	turns := acked.turns
	acked.mutex.Unlock()
	for range min(len(turns), 5) {
		id := turns[random.IntN(len(turns))]
		_, err := c.read(id)
		assert.Assert(c.t, !apierr.Is(err, apierr.NoSuchTurn), "acknowledged turn %s was reported as unknown", id)
	}
	opened, err := c.read("forged")
	assert.Assert(c.t, err != nil, "a turn that was never written was found: %v", opened)
}
