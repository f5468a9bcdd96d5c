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
	randomRuns  = flag.Int("turnstore.runs", 2, "how many seeds are played")
	randomSteps = flag.Int("turnstore.steps", 12, "how many faults each seed has")
)

const (
	randomBudget = 400
	randomMost   = 60
	// writerPause keeps the writers from filling the machine.
	writerPause = 5 * time.Millisecond
	// retirePatience is how long a machine may take to be emptied before that is withdrawn.
	retirePatience = 3 * time.Second
)

// ledger is what callers were told.
type ledger struct {
	mutex sync.Mutex
	kept  []string
	// generated is what each program's callers have got, in tokens.
	generated map[string]int64
}

// TestRandomFaults lets replicas be killed, wiped, cut off, replaced and emptied at random, as far as
// the promises allow, while callers write and read. Nothing that was acknowledged is ever denied,
// nothing is found that was never written, no budget is overspent, and in the end all is there.
func TestRandomFaults(t *testing.T) {
	t.Parallel()
	for run := range *randomRuns {
		seed := *randomSeed + uint64(run)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			playFaults(t, seed)
		})
	}
}

func playFaults(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 0))
	c := newCluster(t, 3+random.IntN(2))
	c.playFaults(random, c.settle)
	t.Logf("seed %d: set %+v", seed, c.store.set())
}

// playFaults plays faults, each after the cluster has settled from the one before, while callers write and read.
func (c *cluster) playFaults(random *rand.Rand, settle func(when string)) {
	t := c.t
	told := &ledger{generated: make(map[string]int64)}
	ctx, stop := context.WithCancel(context.Background())
	var writers sync.WaitGroup
	for index := range 3 {
		writers.Add(1)
		go func() {
			defer writers.Done()
			c.write(ctx, told, c.newClient(), index)
		}()
	}
	added := 0
	for step := range *randomSteps {
		c.fault(random, &added)
		c.checkDenials(told, random)
		settle(fmt.Sprintf("after step %d", step))
		c.checkDenials(told, random)
	}
	stop()
	writers.Wait()
	for program, generated := range told.generated {
		assert.Assert(t, generated <= randomBudget, "%s generated %d", program, generated)
	}
	for _, id := range told.kept {
		eventually(t, "turn "+id+" is there", func() bool {
			opened, err := c.read(id)
			return err == nil && len(opened.Prefix) > 0
		})
	}
	t.Logf("%d turns kept", len(told.kept))
}

// write keeps turns and spends budgets until the context ends.
func (c *cluster) write(ctx context.Context, told *ledger, client *Client, writer int) {
	pause := time.NewTicker(writerPause)
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
		told.mutex.Lock()
		told.generated[program] += randomMost
		told.mutex.Unlock()
		putContext, cancel := context.WithTimeout(ctx, time.Second)
		err = client.Put(putContext, program, []conversation.Record{
			{Turn: &conversation.Turn{ID: id, Text: []byte(id), RetentionMillis: 600_000}},
			opened.Settled(randomMost, "engine"),
		})
		cancel()
		if err == nil {
			told.mutex.Lock()
			told.kept = append(told.kept, id)
			told.mutex.Unlock()
		}
	}
}

// fault does one thing to the cluster.
func (c *cluster) fault(random *rand.Rand, added *int) {
	members := c.live()
	victim := members[random.IntN(len(members))]
	outage := time.Duration(50+random.IntN(400)) * time.Millisecond
	switch random.IntN(8) {
	case 0:
		c.kill(victim)
		c.lasts(outage)
		c.start(victim)
	case 1:
		for _, m := range members {
			c.kill(m)
		}
		c.lasts(outage)
		for _, m := range members {
			c.start(m)
		}
	case 2, 3:
		c.wipeOne(random, members, victim)
	case 4:
		c.links.set(victim.address, true)
		c.lasts(2 * outage)
		c.links.set(victim.address, false)
	case 5:
		c.kill(victim)
		c.forget(victim)
		*added++
		c.add(fmt.Sprintf("added-%d", *added))
	case 6:
		c.store.setDown(true)
		c.lasts(outage)
		c.store.setDown(false)
	case 7:
		c.retireOne(random, members, victim, added)
	}
}

// lasts waits while a fault lasts, or until the test has failed.
func (c *cluster) lasts(outage time.Duration) {
	select {
	case <-time.After(outage):
	case <-c.t.Context().Done():
	}
}

// retireOne has a machine emptied, at times while another one is down, and then brings a new one in its place. If it
// can't be emptied soon, the operator withdraws the request.
func (c *cluster) retireOne(random *rand.Rand, members []*machine, victim *machine, added *int) {
	var down *machine
	if other := members[random.IntN(len(members))]; other != victim && random.IntN(2) == 0 {
		down = other
		c.kill(down)
	}
	victim.retiring.Store(true)
	patience := time.After(retirePatience)
	look := time.NewTicker(writerPause)
	defer look.Stop()
	for waiting := true; waiting && !victim.retired.Load(); {
		select {
		case <-patience:
			waiting = false
		case <-look.C:
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
	c.forget(victim)
	*added++
	c.add(fmt.Sprintf("added-%d", *added))
}

// wipeOne loses a disk, at times while all others lose power.
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

func (c *cluster) forget(gone *machine) {
	var kept []*machine
	for _, m := range c.machines {
		if m != gone {
			kept = append(kept, m)
		}
	}
	c.machinesMutex.Lock()
	c.machines = kept
	c.machinesMutex.Unlock()
}

// settle waits until all machines are complete members again.
func (c *cluster) settle(when string) {
	c.t.Helper()
	eventually(c.t, "the cluster is whole "+when, func() bool {
		set := c.store.set()
		for _, m := range c.machines {
			if !set.Has(m.name) || !m.complete() {
				return false
			}
		}
		return !set.Changing() && len(set.Members) == len(c.machines)
	})
}

// checkDenials reads some of what was kept, and something that never was.
func (c *cluster) checkDenials(told *ledger, random *rand.Rand) {
	c.t.Helper()
	told.mutex.Lock()
	kept := told.kept
	told.mutex.Unlock()
	for range min(len(kept), 5) {
		id := kept[random.IntN(len(kept))]
		_, err := c.read(id)
		assert.Assert(c.t, !apierr.Is(err, apierr.NoSuchTurn), "the kept turn %s was denied", id)
	}
	opened, err := c.read("forged")
	assert.Assert(c.t, err != nil, "a turn that never was has the text %v", opened)
}
