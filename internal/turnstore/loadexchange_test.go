package turnstore

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/load"
)

// fakeLoad reports fixed counts and keeps the counts that it receives.
type fakeLoad struct {
	reported load.Counts
	mutex    sync.Mutex
	received load.Counts
}

func (f *fakeLoad) Report() load.Counts {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.reported
}

// setReported sets the counts to report.
func (f *fakeLoad) setReported(counts load.Counts) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.reported = counts
}

func (f *fakeLoad) Take(_ time.Time, others load.Counts) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.received = others
}

func (f *fakeLoad) receivedCalls(engine load.Key) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, count := range f.received {
		if count.Engine == engine {
			return count.Calls
		}
	}
	return 0
}

// Open requests exchange the gateways' calls in flight.
func TestGatewaysExchangeLoad(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3)
	one, two := &fakeLoad{reported: load.Counts{{Engine: "engi", Calls: 4}}}, &fakeLoad{reported: load.Counts{{Engine: "engi", Calls: 7}}}
	first, second := c.newClientWith("first", one), c.newClientWith("second", two)
	eventually(t, "both gateways have received the other's load", func() bool {
		assert.NilError(t, c.reserve(first, "one", 1<<40, 1))
		assert.NilError(t, c.reserve(second, "two", 1<<40, 1))
		return one.receivedCalls("engi") == 7 && two.receivedCalls("engi") == 4
	})
}

// Open returns the engine of the program's last turn to any client, also after all replicas restart.
func TestOpenReturnsLastEngineOfProgram(t *testing.T) {
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
	eventually(t, "the engine is returned", func() bool { return engineOf() == "engine-1" })
	for _, m := range c.machines {
		c.kill(m)
	}
	for _, m := range c.machines {
		c.start(m)
	}
	eventually(t, "the engine is returned after the restart", func() bool { return engineOf() == "engine-1" })
}

// The load exchange continues when the replica that supplies it is lost.
func TestLoadExchangeSurvivesReplicaLoss(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3)
	one, two := &fakeLoad{reported: load.Counts{{Engine: "engi", Calls: 4}}}, &fakeLoad{reported: load.Counts{{Engine: "engi", Calls: 7}}}
	first, second := c.newClientWith("first", one), c.newClientWith("second", two)
	exchange := func() {
		assert.NilError(t, c.reserve(first, "one", 1<<40, 1))
		assert.NilError(t, c.reserve(second, "two", 1<<40, 1))
	}
	eventually(t, "both gateways have received the other's load", func() bool {
		exchange()
		return one.receivedCalls("engi") == 7
	})
	for _, m := range c.machines {
		if m.name == first.nearest(first.ReplicaSet()) {
			c.kill(m)
		}
	}
	two.setReported(load.Counts{{Engine: "engi", Calls: 9}})
	eventually(t, "newer counts are received", func() bool {
		exchange()
		return one.receivedCalls("engi") == 9
	})
}

// Load is exchanged between gateways whose programs are in different shards.
func TestGatewaysExchangeLoadAcrossShards(t *testing.T) {
	t.Parallel()
	c := newShardedCluster(t, 2)
	one, two := &fakeLoad{reported: load.Counts{{Engine: "engi", Calls: 4}}}, &fakeLoad{reported: load.Counts{{Engine: "engi", Calls: 7}}}
	first, second := c.newClientWith("first", one), c.newClientWith("second", two)
	eventually(t, "both gateways have received the other's load", func() bool {
		for shard, client := range []*Client{first, second} {
			opened, err := client.Open(t.Context(), OpenParams{Turn: "next", Program: programIn(shard, 2), Budget: 1 << 40, Most: 1})
			assert.NilError(t, err)
			client.Settle(opened, 1, "")
		}
		return one.receivedCalls("engi") == 7 && two.receivedCalls("engi") == 4
	})
}
