package path_test

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mountstile/mountstile/internal/adminclient"
	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/emulator"
	"github.com/mountstile/mountstile/internal/engine"
	"github.com/mountstile/mountstile/internal/lab/cluster"
	"github.com/mountstile/mountstile/internal/lab/runner"
	"github.com/mountstile/mountstile/internal/resource"
	"github.com/mountstile/mountstile/internal/standin/weightserver"
)

const modelEngines = 4

// serveWeights runs a weight store; address "" picks a free port.
func serveWeights(t *testing.T, address string) *httptest.Server {
	t.Helper()
	weights := httptest.NewUnstartedServer(weightserver.New(32<<10, 1<<20))
	if address != "" {
		_ = weights.Listener.Close()
		listener, err := net.Listen("tcp", address)
		assert.NilError(t, err)
		weights.Listener = listener
	}
	weights.Start()
	t.Cleanup(weights.Close)
	return weights
}

// keptLines keeps the nodes' log lines, and shows them if the test fails.
type keptLines struct {
	mutex sync.Mutex
	lines []string
}

// mostKeptLines bounds the log lines that a failed test shows.
const mostKeptLines = 400

func keepLines(t *testing.T) *keptLines {
	t.Helper()
	kept := &keptLines{}
	t.Cleanup(func() {
		kept.mutex.Lock()
		defer kept.mutex.Unlock()
		if t.Failed() {
			t.Logf("the nodes' last log lines:\n%s", strings.Join(kept.lines, ""))
		}
	})
	return kept
}

// Write implements io.Writer; the logger writes one line at a time.
func (k *keptLines) Write(line []byte) (int, error) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.lines = append(k.lines, string(line))
	k.lines = k.lines[max(0, len(k.lines)-mostKeptLines):]
	return len(line), nil
}

// startLoading brings up a cluster whose engines load models small and large from a weight store.
func startLoading(t *testing.T, weightStore string, queue time.Duration) *cluster.Cluster {
	t.Helper()
	items := resources(modelEngines)
	for index := range items {
		switch item := &items[index]; {
		case item.Kind == resource.KindPool && item.Name == "models":
			item.Pool.Loading = &resource.Loading{WeightStore: weightStore, AtOnce: 2, HoldSeconds: 0.5}
		case item.Kind == resource.KindService && item.Name == "tutor":
			item.Service.Models = []string{"small", "large"}
			item.Service.QueueSeconds = queue.Seconds()
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*patience)
	defer cancel()
	system, err := cluster.Start(ctx, cluster.Options{
		Nodes: 4, Zones: []string{"a", "b", "c"}, Region: "r", Resources: items, Engine: emulator.DefaultConfig(), Partitions: 6,
		LogOutput: keepLines(t), LogLevel: logrus.InfoLevel,
	})
	t.Cleanup(system.Stop)
	assert.NilError(t, err)
	return system
}

// modelsAtEngines counts the engines by what they say that they have loaded.
func modelsAtEngines(t *testing.T, system *cluster.Cluster) map[string]int {
	t.Helper()
	counts := make(map[string]int)
	for _, server := range system.Engines {
		counts[server.ModelState().Model]++
	}
	return counts
}

// failedCall is a call's failure and when it came.
type failedCall struct {
	at  time.Time
	err error
}

// demand keeps calls of one model going until it is stopped, and counts those that failed.
type demand struct {
	stopped  atomic.Bool
	tasks    sync.WaitGroup
	mutex    sync.Mutex
	failures []failedCall
	calls    atomic.Int64
}

func callFor(t *testing.T, system *cluster.Cluster, client *runner.Client, model string, callers int) *demand {
	running := &demand{}
	for number := range callers {
		running.tasks.Go(func() {
			for count := 0; !running.stopped.Load(); count++ {
				addresses := system.APIURLs()
				request := call("", 0, user(fmt.Sprintf("%s %d %d", model, number, count)))
				request.Model, request.Tokens = model, 60
				if _, err := client.Chat(t.Context(), addresses[(number+count)%len(addresses)], request); err != nil {
					running.mutex.Lock()
					running.failures = append(running.failures, failedCall{at: time.Now().UTC(), err: err})
					running.mutex.Unlock()
				}
				running.calls.Add(1)
			}
		})
	}
	return running
}

// stop ends the calls; none may have failed.
func (d *demand) stop(t *testing.T, system *cluster.Cluster) {
	t.Helper()
	d.stopped.Store(true)
	d.tasks.Wait()
	if len(d.failures) == 0 {
		return
	}
	for name, server := range system.Engines {
		t.Logf("engine %s has %+v", name, server.ModelState())
	}
	for node := range system.Nodes {
		t.Logf("node %d believes %v", node, recordedModels(t, system, node))
	}
	t.Fatalf("%d of %d calls failed: %+v", len(d.failures), d.calls.Load(), d.kinds())
}

// failedKind is what failures have in common; the times are of the first and the last one.
type failedKind struct {
	Count       int
	First, Last string
}

// kinds groups the failures by their text.
func (d *demand) kinds() map[string]failedKind {
	kinds := make(map[string]failedKind)
	for _, failure := range d.failures {
		kind := kinds[failure.err.Error()]
		kind.Count++
		kind.Last = failure.at.Format(time.RFC3339Nano)
		if kind.First == "" {
			kind.First = kind.Last
		}
		kinds[failure.err.Error()] = kind
	}
	return kinds
}

func waitForModel(t *testing.T, system *cluster.Cluster, model string, engines int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if counts := modelsAtEngines(t, system); counts[model] < engines {
			return poll.Continue("engines have %v", counts)
		}
		return poll.Success()
	}, poll.WithTimeout(2*patience))
}

// TestModelsFollowDemand: engines load the models that are called for; when demand moves to the other
// model, and the node that decides dies, its successor moves the engines after it. No call fails.
func TestModelsFollowDemand(t *testing.T) {
	t.Parallel()
	system := startLoading(t, serveWeights(t, "").URL, patience)
	client := runner.NewClient(apiKey)
	defer client.Close()
	small := callFor(t, system, client, "small", 14)
	waitForModel(t, system, "small", modelEngines-1)
	small.stop(t, system)

	shown := 0
	list, err := system.Admin.Models(t.Context())
	assert.NilError(t, err)
	for _, item := range list.Engines {
		if item.Model == "small" {
			shown++
		}
	}
	assert.Assert(t, len(list.Engines) == modelEngines && shown > 0, "%v", list)
	before := highestToken(system)
	killDecider(t, system)
	large := callFor(t, system, client, "large", 14)
	waitForModel(t, system, "large", modelEngines-1)
	large.stop(t, system)
	assert.Assert(t, highestToken(system) > before, "a successor's tokens are higher")

	// An order of before the change of leaders comes late: it changes nothing at engines that the successor
	// has given one.
	late := 0
	for name, server := range system.Engines {
		state := server.ModelState()
		if state.Token <= before {
			continue
		}
		late++
		target := engine.Target{Name: name, URL: system.EngineURL(name)}
		err := engine.NewOpenAI().Order(t.Context(), target, engine.Order{Token: before, Model: "small"})
		var fenced *engine.ErrFenced
		assert.Assert(t, errors.As(err, &fenced), "%v", err)
		assert.Assert(t, server.ModelState().Loading != "small")
	}
	assert.Assert(t, late > 0)
}

func highestToken(system *cluster.Cluster) uint64 {
	var highest uint64
	for _, server := range system.Engines {
		highest = max(highest, server.ModelState().Token)
	}
	return highest
}

// killDecider ends the node that leads the partition of the pool.
func killDecider(t *testing.T, system *cluster.Cluster) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for index, running := range system.Nodes {
			id, _, err := running.Plane().Partitions.Locate("r", "", "model/models")
			assert.NilError(t, err)
			if status, known := running.Plane().Host.Status(id); known && status.IsLeader {
				assert.NilError(t, system.Kill(index))
				return poll.Success()
			}
		}
		return poll.Continue("nobody leads")
	}, poll.WithTimeout(patience))
}

// recordedModels is what a node believes that the engines have loaded.
func recordedModels(t *testing.T, system *cluster.Cluster, node int) map[string]string {
	t.Helper()
	address := "http://" + system.Nodes[node].Settings().Admin.Listen
	list, err := adminclient.New(address, cluster.AdminKey).Models(t.Context())
	assert.NilError(t, err)
	models := make(map[string]string)
	for _, item := range list.Engines {
		models[item.Engine] = item.Model
	}
	return models
}

// waitForBeliefs waits until all nodes believe of all engines what these say, and that has been loaded.
func waitForBeliefs(t *testing.T, system *cluster.Cluster) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for node := range system.Nodes {
			believed := recordedModels(t, system, node)
			for name, server := range system.Engines {
				if state := server.ModelState(); state.Model == "" || state.Loading != "" || believed[name] != state.Model {
					return poll.Continue("node %d believes %v, engine %s has %+v", node, believed, name, state)
				}
			}
		}
		return poll.Success()
	}, poll.WithTimeout(patience))
}

// TestEnginesThatLackTheRecordedModel: all engines that have a model by the members' records have loaded
// another one, as after an order whose record did not get out. Calls of that model wait for an engine that
// loads it and none fails, whether the node that decides finds out or dies.
func TestEnginesThatLackTheRecordedModel(t *testing.T) {
	for name, deciderDies := range map[string]bool{"decider lives": false, "decider dies": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			weights := serveWeights(t, "")
			system := startLoading(t, weights.URL, patience)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if counts := modelsAtEngines(t, system); counts["small"] != modelEngines/2 || counts["large"] != modelEngines/2 {
					return poll.Continue("engines have %v", counts)
				}
				return poll.Success()
			}, poll.WithTimeout(patience))
			waitForBeliefs(t, system)
			for name, server := range system.Engines {
				order := engine.Order{Token: highestToken(system) + 1, Model: "small", WeightStore: weights.URL}
				if server.ModelState().Model != "small" {
					assert.NilError(t, engine.NewOpenAI().Order(t.Context(), engine.Target{Name: name, URL: system.EngineURL(name)}, order))
				}
			}
			waitForModel(t, system, "small", modelEngines)
			if deciderDies {
				killDecider(t, system)
			}
			client := runner.NewClient(apiKey)
			defer client.Close()
			large := callFor(t, system, client, "large", 14)
			waitForModel(t, system, "large", 1)
			large.stop(t, system)
			assert.Assert(t, large.calls.Load() > 0)
			waitForBeliefs(t, system)
		})
	}
}

// TestEnginesOfAnEarlierCluster: engines have seen tokens of a cluster that is gone, whose terms were higher.
// The present leader goes above them, and gives orders again.
func TestEnginesOfAnEarlierCluster(t *testing.T) {
	t.Parallel()
	weights := serveWeights(t, "")
	system := startLoading(t, weights.URL, patience)
	for name := range system.Engines {
		order := engine.Order{Token: 1 << 50, Model: "forgotten", WeightStore: weights.URL}
		assert.NilError(t, engine.NewOpenAI().Order(t.Context(), engine.Target{Name: name, URL: system.EngineURL(name)}, order))
	}
	client := runner.NewClient(apiKey)
	defer client.Close()
	request := call("", 0, user("is anybody there?"))
	request.Model = "large"
	chat(t, client, system.APIURLs()[0], request)
	for _, model := range []string{"small", "large"} {
		waitForModel(t, system, model, 1)
	}
	assert.Assert(t, highestToken(system) > 1<<50)
}

// TestModelThatCannotBeLoaded: while the weight store is away, a call of a model that no engine has is
// refused as not run when it may not wait longer; when the store is back, the model is loaded and the same
// call, with its key, runs.
func TestModelThatCannotBeLoaded(t *testing.T) {
	t.Parallel()
	// The store comes back at the same port. On an address of its own no other test takes that meanwhile.
	weights := serveWeights(t, "127.0.77.1:0")
	weights.Close()
	system := startLoading(t, weights.URL, time.Second)
	client := runner.NewClient(apiKey)
	defer client.Close()
	request := call("pupil", 1, user("which model?"))
	request.Model, request.IdempotencyKey = "small", "key"
	_, err := client.Chat(t.Context(), system.APIURLs()[0], request)
	failure := failureOf(t, err)
	assert.Equal(t, failure.Code, string(apierr.NoEngine))
	assert.Equal(t, failure.Outcome, string(apierr.NotRun))
	assert.Assert(t, failure.RetryAfter > 0)
	serveWeights(t, weights.Listener.Addr().String())
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, err := client.Chat(t.Context(), system.APIURLs()[0], request); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(2*patience))
	calls := 0
	for _, server := range system.Engines {
		calls += len(server.Ledger())
	}
	assert.Equal(t, calls, 1)
}
