package turnstore

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/load"
)

// countedLoad reports fixed counts and keeps what it hears.
type countedLoad struct {
	reported load.Counts
	mutex    sync.Mutex
	heard    load.Counts
}

func (c *countedLoad) Report() load.Counts {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.reported
}

// report sets the counts that are reported from now on.
func (c *countedLoad) report(sheet load.Counts) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.reported = sheet
}

func (c *countedLoad) Take(_ time.Time, others load.Counts) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.heard = others
}

func (c *countedLoad) heardOf(engine load.Key) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, count := range c.heard {
		if count.Engine == engine {
			return count.Calls
		}
	}
	return 0
}

// Gateways hear of one another's calls by the openings that they make anyway.
func TestGatewaysHearOfOneAnothersCalls(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3)
	one, two := &countedLoad{reported: load.Counts{{Engine: "engi", Calls: 4}}}, &countedLoad{reported: load.Counts{{Engine: "engi", Calls: 7}}}
	first, second := c.newClientWith("first", one), c.newClientWith("second", two)
	eventually(t, "both have heard", func() bool {
		assert.NilError(t, c.reserve(first, "one", 1<<40, 1))
		assert.NilError(t, c.reserve(second, "two", 1<<40, 1))
		return one.heardOf("engi") == 7 && two.heardOf("engi") == 4
	})
}

// The next turn of a program is told where the last one ran, through whatever gateway it comes, also after all
// replicas lost their power.
func TestOpeningTellsWhereTheProgramRan(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3)
	opened, err := c.open(c.client, "one", 1000, 60)
	assert.NilError(t, err)
	assert.Equal(t, opened.Engine, "")
	c.client.Settle(opened, 9, "engine-1")
	engineOf := func() string {
		next, err := c.open(c.newClient(), "two", 1000, 10)
		if err != nil {
			return ""
		}
		return next.Engine
	}
	eventually(t, "the engine is told", func() bool { return engineOf() == "engine-1" })
	for _, m := range c.machines {
		c.kill(m)
	}
	for _, m := range c.machines {
		c.start(m)
	}
	eventually(t, "the engine is told after the loss of power", func() bool { return engineOf() == "engine-1" })
}

// News goes on to come when the replica that was asked for it is lost.
func TestLoadNewsOutlastsALostReplica(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3)
	one, two := &countedLoad{reported: load.Counts{{Engine: "engi", Calls: 4}}}, &countedLoad{reported: load.Counts{{Engine: "engi", Calls: 7}}}
	first, second := c.newClientWith("first", one), c.newClientWith("second", two)
	exchange := func() {
		assert.NilError(t, c.reserve(first, "one", 1<<40, 1))
		assert.NilError(t, c.reserve(second, "two", 1<<40, 1))
	}
	eventually(t, "both have heard", func() bool {
		exchange()
		return one.heardOf("engi") == 7
	})
	for _, m := range c.machines {
		if m.name == first.nearest(first.ReplicaSet()) {
			c.kill(m)
		}
	}
	two.report(load.Counts{{Engine: "engi", Calls: 9}})
	eventually(t, "newer counts are heard", func() bool {
		exchange()
		return one.heardOf("engi") == 9
	})
}

// Gateways hear of one another's calls whichever shards their programs are in.
func TestGatewaysHearOfOneAnotherAcrossShards(t *testing.T) {
	t.Parallel()
	c := newSharded(t, 2)
	one, two := &countedLoad{reported: load.Counts{{Engine: "engi", Calls: 4}}}, &countedLoad{reported: load.Counts{{Engine: "engi", Calls: 7}}}
	first, second := c.newClientWith("first", one), c.newClientWith("second", two)
	eventually(t, "both have heard", func() bool {
		for shard, client := range []*Client{first, second} {
			opened, err := client.Open(t.Context(), OpenParams{Turn: "next", Program: programIn(shard, 2), Budget: 1 << 40, Most: 1})
			assert.NilError(t, err)
			client.Settle(opened, 1, "")
		}
		return one.heardOf("engi") == 7 && two.heardOf("engi") == 4
	})
}
