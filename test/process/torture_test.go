package process_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/adminclient"
	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/emulator"
	"github.com/mountstile/mountstile/internal/lab/runner"
	"github.com/mountstile/mountstile/internal/standin/storeserver"
)

// For a longer run: go test ./test/process -run TestTorture -args -torture.faults 100 -torture.seed 7
var (
	tortureFaults = flag.Int("torture.faults", 6, "number of faults that TestTorture injects")
	tortureSeed   = flag.Uint64("torture.seed", 1, "seed of TestTorture's faults")
)

const (
	tortureNodes   = 5
	tortureCallers = 8
	tortureTurns   = 6
	// tortureProgress is the minimum number of calls that reach engines during a fault.
	tortureProgress = 12
)

// torture is a cluster under load with faults drawn from a seed.
type torture struct {
	*testCluster
	random   *rand.Rand
	injected map[string]int

	stopped       atomic.Bool
	mutex         sync.Mutex
	conversations []*conversation
	reported      map[string]string
	failures      []error
}

// TestTorture injects random faults of nodes, links, engines and the store while callers run conversations and send non-repeatable
// calls. Then it compares the results that callers got with the calls that reached the engines.
func TestTorture(t *testing.T) {
	cluster := &torture{testCluster: startCluster(t, tortureNodes, 3), random: rand.New(rand.NewPCG(*tortureSeed, 1)), injected: make(map[string]int), reported: make(map[string]string)}
	client := runner.NewClient(apiKey)
	defer client.Close()
	var callers sync.WaitGroup
	for number := range tortureCallers {
		callers.Go(func() { cluster.runCaller(client, number) })
	}
	for range *tortureFaults {
		cluster.injectFault()
	}
	cluster.stopped.Store(true)
	callers.Wait()
	for _, err := range cluster.failures {
		assert.NilError(t, err)
	}
	cluster.checkConversations(cluster.conversations)
	cluster.checkExecutions(cluster.reported)
	cluster.checkPrograms()
	t.Logf("seed %d: %d programs, %d non-repeatable calls, faults %v", *tortureSeed, len(cluster.conversations), len(cluster.reported), cluster.injected)
}

// runCaller runs conversations one after the other until stopped is set.
func (r *torture) runCaller(client *runner.Client, number int) {
	random := rand.New(rand.NewPCG(*tortureSeed, uint64(100+number)))
	for count := 0; !r.stopped.Load(); count++ {
		item := r.newConversation(client, fmt.Sprintf("c%d-p%d", number, count))
		r.mutex.Lock()
		r.conversations = append(r.conversations, item)
		r.mutex.Unlock()
		for turn := range 1 + random.IntN(tortureTurns) {
			if _, err := item.send(context.Background(), random.IntN(tortureNodes), 60); err != nil {
				r.mutex.Lock()
				r.failures = append(r.failures, err)
				r.mutex.Unlock()
				return
			}
			body := fmt.Sprintf("%s call %d", item.name, turn)
			outcome := sendNonRepeatable(r.testCluster, random.IntN(tortureNodes), body)
			r.mutex.Lock()
			r.reported[body] = outcome
			r.mutex.Unlock()
		}
		_ = client.End(context.Background(), r.nodes[random.IntN(tortureNodes)].apiURL(), item.name)
	}
}

// injectFault causes a random fault, lets callers make progress, ends the fault and waits until the partitions are repaired.
func (r *torture) injectFault() {
	kinds := []struct {
		name  string
		cause func(node, other int)
	}{
		{"killed", func(node, _ int) {
			r.nodes[node].kill()
			r.waitForProgress()
			r.restart(node)
		}},
		{"paused", func(node, other int) {
			r.nodes[node].signal(syscall.SIGSTOP)
			r.waitFor("the paused node to become unusable", func() bool { return r.nodeHasMember(other, r.nodes[node].config.Name, false) })
			r.nodes[node].signal(syscall.SIGCONT)
		}},
		{"cut one way", func(node, other int) {
			r.block(node, other)
			r.waitForProgress()
		}},
		{"cut off", func(node, _ int) {
			for peer := range r.nodes {
				if peer != node {
					r.block(node, peer)
					r.block(peer, node)
				}
			}
			r.waitForProgress()
		}},
		{"slow links", func(int, int) {
			r.delayLinks(40)
			r.waitForProgress()
		}},
		{"engine cuts answers", func(node, _ int) { r.injectEngineFault(node, emulator.Faults{CutAfterTokens: 5}) }},
		{"engine sends garbage", func(node, _ int) { r.injectEngineFault(node, emulator.Faults{GarbleAfterTokens: 5}) }},
		{"store down", func(int, int) {
			r.storeFaults(storeserver.Faults{Down: true})
			r.waitForProgress()
			r.storeFaults(storeserver.Faults{})
		}},
	}
	kind := kinds[r.random.IntN(len(kinds))]
	node := r.random.IntN(tortureNodes)
	other := (node + 1 + r.random.IntN(tortureNodes-1)) % tortureNodes
	r.injected[kind.name]++
	kind.cause(node, other)
	r.clearNetworkFaults()
	r.waitRepaired()
}

// waitForProgress waits until tortureProgress further calls have reached engines.
func (r *torture) waitForProgress() {
	before := len(r.ledger())
	r.waitFor("calls to continue", func() bool { return len(r.ledger()) >= before+tortureProgress })
}

func (r *torture) injectEngineFault(node int, faults emulator.Faults) {
	address := r.engines[fmt.Sprintf("m%d", node%3+1)] + emulator.FaultsPath
	r.putJSON(address, faults)
	r.waitForProgress()
	r.putJSON(address, emulator.Faults{})
}

// nodeHasMember reports whether the observer lists a member with the given name and usability.
func (c *testCluster) nodeHasMember(observer int, name string, usable bool) bool {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	status, err := adminclient.New("http://"+c.nodes[observer].config.Admin.Listen, adminKey).Status(ctx)
	if err != nil {
		return false
	}
	for _, member := range status.Members {
		if member.Member.Name == name && member.Member.Usable() == usable {
			return true
		}
	}
	return false
}

// checkPrograms checks that no program exceeds its budget, and waits until no engine holds cache of an ended one.
func (r *torture) checkPrograms() {
	list, err := r.admin.Programs(context.Background(), "school")
	assert.NilError(r.t, err)
	assert.Equal(r.t, len(list.Silent), 0)
	for _, item := range list.Programs {
		assert.Assert(r.t, item.Used+item.Reserved <= tokenBudget, "%s holds %d tokens", item.Key.Path, item.Used+item.Reserved)
		if item.EndedAt == 0 {
			continue
		}
		r.waitFor("the caches of "+item.Key.Path+" to be released", func() bool {
			for name, address := range r.engines {
				if name != "book" && getJSON[int](r.t, address+emulator.HeldPath+"?program=school:"+item.Key.Path) > 0 {
					return false
				}
			}
			return true
		})
	}
}

// checkExecutions compares the reported outcomes of non-repeatable calls with their executions.
func (c *testCluster) checkExecutions(reported map[string]string) {
	c.t.Helper()
	executed := c.executions()
	for body, outcome := range reported {
		count := executed[body]
		switch {
		case count > 1:
			c.t.Errorf("%s was executed %d times", body, count)
		case outcome == string(apierr.Ran) && count != 1, outcome == string(apierr.NotRun) && count != 0:
			c.t.Errorf("%s: reported %q, executed %d times", body, outcome, count)
		}
	}
}
