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

// A longer run: go test ./test/process -run TestTorture -args -torture.faults 100 -torture.seed 7
var (
	tortureFaults = flag.Int("torture.faults", 6, "how many failures TestTorture causes")
	tortureSeed   = flag.Uint64("torture.seed", 1, "seed of TestTorture's failures")
)

const (
	tortureNodes   = 5
	tortureCallers = 8
	tortureTurns   = 6
	// tortureProgress is how many calls reach engines while a failure lasts.
	tortureProgress = 12
)

// torture is a system under callers, whose failures are drawn from a seed.
type torture struct {
	*system
	random *rand.Rand
	caused map[string]int

	stopped       atomic.Bool
	mutex         sync.Mutex
	conversations []*conversation
	told          map[string]string
	failures      []error
}

// TestTorture lets nodes die, pause and lose each other, engines fail and the store go, at random from
// a seed, while callers hold conversations and record marks; then it compares what callers were told
// with what the engines saw.
func TestTorture(t *testing.T) {
	running := &torture{system: startSystem(t, tortureNodes, 3), random: rand.New(rand.NewPCG(*tortureSeed, 1)), caused: make(map[string]int), told: make(map[string]string)}
	client := runner.NewClient(apiKey)
	defer client.Close()
	var callers sync.WaitGroup
	for number := range tortureCallers {
		callers.Go(func() { running.call(client, number) })
	}
	for range *tortureFaults {
		running.fault()
	}
	running.stopped.Store(true)
	callers.Wait()
	for _, err := range running.failures {
		assert.NilError(t, err)
	}
	running.checkConversations(running.conversations)
	running.checkMarks(running.told)
	running.checkPrograms()
	t.Logf("seed %d: %d programs, %d marks, failures %v", *tortureSeed, len(running.conversations), len(running.told), running.caused)
}

// call holds one conversation after the other until the torture stops.
func (r *torture) call(client *runner.Client, number int) {
	random := rand.New(rand.NewPCG(*tortureSeed, uint64(100+number)))
	for count := 0; !r.stopped.Load(); count++ {
		item := r.converse(client, fmt.Sprintf("c%d-p%d", number, count))
		r.mutex.Lock()
		r.conversations = append(r.conversations, item)
		r.mutex.Unlock()
		for turn := range 1 + random.IntN(tortureTurns) {
			if _, err := item.say(context.Background(), random.IntN(tortureNodes), 60); err != nil {
				r.mutex.Lock()
				r.failures = append(r.failures, err)
				r.mutex.Unlock()
				return
			}
			body := fmt.Sprintf("%s mark %d", item.name, turn)
			outcome := recordMark(r.system, random.IntN(tortureNodes), body)
			r.mutex.Lock()
			r.told[body] = outcome
			r.mutex.Unlock()
		}
		_ = client.End(context.Background(), r.nodes[random.IntN(tortureNodes)].api(), item.name)
	}
}

// fault causes one failure, lets callers make progress under it, ends it, and waits until the
// partitions would bear the next one.
func (r *torture) fault() {
	kinds := []struct {
		name  string
		cause func(node, other int)
	}{
		{"killed", func(node, _ int) {
			r.nodes[node].kill()
			r.progress()
			r.restart(node)
		}},
		{"paused", func(node, other int) {
			r.nodes[node].signal(syscall.SIGSTOP)
			r.waitFor("the paused node to count as dead", func() bool { return r.seenBy(other, r.nodes[node].config.Name, false) })
			r.nodes[node].signal(syscall.SIGCONT)
		}},
		{"cut one way", func(node, other int) {
			r.cut(node, other)
			r.progress()
		}},
		{"cut off", func(node, _ int) {
			for peer := range r.nodes {
				if peer != node {
					r.cut(node, peer)
					r.cut(peer, node)
				}
			}
			r.progress()
		}},
		{"slow links", func(int, int) {
			r.slow(40)
			r.progress()
		}},
		{"engine cuts answers", func(node, _ int) { r.engineFault(node, emulator.Faults{CutAfterTokens: 5}) }},
		{"engine sends garbage", func(node, _ int) { r.engineFault(node, emulator.Faults{GarbleAfterTokens: 5}) }},
		{"store down", func(int, int) {
			r.storeFaults(storeserver.Faults{Down: true})
			r.progress()
			r.storeFaults(storeserver.Faults{})
		}},
	}
	kind := kinds[r.random.IntN(len(kinds))]
	node := r.random.IntN(tortureNodes)
	other := (node + 1 + r.random.IntN(tortureNodes-1)) % tortureNodes
	r.caused[kind.name]++
	kind.cause(node, other)
	r.heal()
	r.waitRepaired()
}

// progress waits until further calls have reached engines.
func (r *torture) progress() {
	before := len(r.ledger())
	r.waitFor("calls to go on", func() bool { return len(r.ledger()) >= before+tortureProgress })
}

func (r *torture) engineFault(node int, faults emulator.Faults) {
	address := r.engines[fmt.Sprintf("m%d", node%3+1)] + emulator.FaultsPath
	r.put(address, faults)
	r.progress()
	r.put(address, emulator.Faults{})
}

// seenBy reports whether a node holds a member of that name for alive, or for not alive.
func (s *system) seenBy(observer int, name string, alive bool) bool {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	status, err := adminclient.New("http://"+s.nodes[observer].config.Admin.Listen, adminKey).Status(ctx)
	if err != nil {
		return false
	}
	for _, member := range status.Members {
		if member.Member.Name == name && member.Member.Usable() == alive {
			return true
		}
	}
	return false
}

// checkPrograms looks for programs over their budget, and waits until no engine holds cache of an
// ended one.
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
				if name != "book" && fetch[int](r.t, address+emulator.HeldPath+"?program=school:"+item.Key.Path) > 0 {
					return false
				}
			}
			return true
		})
	}
}

// checkMarks compares what callers were told about marks with what was executed.
func (s *system) checkMarks(told map[string]string) {
	s.t.Helper()
	executed := s.marks()
	for body, outcome := range told {
		count := executed[body]
		switch {
		case count > 1:
			s.t.Errorf("%s was executed %d times", body, count)
		case outcome == string(apierr.Ran) && count != 1, outcome == string(apierr.NotRun) && count != 0:
			s.t.Errorf("%s: told %q, executed %d times", body, outcome, count)
		}
	}
}
