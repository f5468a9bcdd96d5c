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

// serveWeights runs a weight store at address, or at a free port if it is empty.
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

// logTail keeps the nodes' last log lines and prints them if the test fails.
type logTail struct {
	mutex sync.Mutex
	lines []string
}

const maxLogLines = 400

func newLogTail(t *testing.T) *logTail {
	t.Helper()
	tail := &logTail{}
	t.Cleanup(func() {
		tail.mutex.Lock()
		defer tail.mutex.Unlock()
		if t.Failed() {
			t.Logf("the nodes' last log lines:\n%s", strings.Join(tail.lines, ""))
		}
	})
	return tail
}

// Write implements io.Writer; the logger writes one line at a time.
func (l *logTail) Write(line []byte) (int, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.lines = append(l.lines, string(line))
	l.lines = l.lines[max(0, len(l.lines)-maxLogLines):]
	return len(line), nil
}

// startLoadingCluster starts a cluster whose engines load the models "small" and "large" from a weight store.
func startLoadingCluster(t *testing.T, weightStore string, queue time.Duration) *cluster.Cluster {
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
	ctx, cancel := context.WithTimeout(context.Background(), 2*waitTimeout)
	defer cancel()
	system, err := cluster.Start(ctx, cluster.Options{
		Nodes: 4, Zones: []string{"a", "b", "c"}, Region: "r", Resources: items, Engine: emulator.DefaultConfig(), Partitions: 6,
		LogOutput: newLogTail(t), LogLevel: logrus.InfoLevel,
	})
	t.Cleanup(system.Stop)
	assert.NilError(t, err)
	return system
}

// countLoadedModels returns how many engines report each model as loaded.
func countLoadedModels(t *testing.T, system *cluster.Cluster) map[string]int {
	t.Helper()
	counts := make(map[string]int)
	for _, server := range system.Engines {
		counts[server.ModelState().Model]++
	}
	return counts
}

// failedCall is a call's error and the time when it was returned.
type failedCall struct {
	at  time.Time
	err error
}

// loadGenerator calls one model continuously until it is stopped and records the failed calls.
type loadGenerator struct {
	stopped  atomic.Bool
	tasks    sync.WaitGroup
	mutex    sync.Mutex
	failures []failedCall
	calls    atomic.Int64
}

func generateLoad(t *testing.T, system *cluster.Cluster, client *runner.Client, model string, callers int) *loadGenerator {
	generator := &loadGenerator{}
	for number := range callers {
		generator.tasks.Go(func() {
			for count := 0; !generator.stopped.Load(); count++ {
				addresses := system.APIURLs()
				request := newCall("", 0, userMessage(fmt.Sprintf("%s %d %d", model, number, count)))
				request.Model, request.Tokens = model, 60
				if _, err := client.Chat(t.Context(), addresses[(number+count)%len(addresses)], request); err != nil {
					generator.mutex.Lock()
					generator.failures = append(generator.failures, failedCall{at: time.Now().UTC(), err: err})
					generator.mutex.Unlock()
				}
				generator.calls.Add(1)
			}
		})
	}
	return generator
}

// stop waits for the running calls and fails the test if any call failed.
func (g *loadGenerator) stop(t *testing.T, system *cluster.Cluster) {
	t.Helper()
	g.stopped.Store(true)
	g.tasks.Wait()
	if len(g.failures) == 0 {
		return
	}
	for name, server := range system.Engines {
		t.Logf("engine %s reports %+v", name, server.ModelState())
	}
	for node := range system.Nodes {
		t.Logf("node %d records %v", node, recordedModels(t, system, node))
	}
	t.Fatalf("%d of %d calls failed: %+v", len(g.failures), g.calls.Load(), g.groups())
}

// failureGroup counts failures with the same text, with the times of the first and the last one.
type failureGroup struct {
	Count       int
	First, Last string
}

// groups returns the failures grouped by their text.
func (g *loadGenerator) groups() map[string]failureGroup {
	groups := make(map[string]failureGroup)
	for _, failure := range g.failures {
		group := groups[failure.err.Error()]
		group.Count++
		group.Last = failure.at.Format(time.RFC3339Nano)
		if group.First == "" {
			group.First = group.Last
		}
		groups[failure.err.Error()] = group
	}
	return groups
}

func waitForModel(t *testing.T, system *cluster.Cluster, model string, engines int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if counts := countLoadedModels(t, system); counts[model] < engines {
			return poll.Continue("loaded models: %v", counts)
		}
		return poll.Success()
	}, poll.WithTimeout(2*waitTimeout))
}

// TestModelsFollowDemand checks that engines load the models that are requested. When demand moves to the other
// model and the leader that places models is killed, its successor reloads the engines. No call may fail.
func TestModelsFollowDemand(t *testing.T) {
	t.Parallel()
	system := startLoadingCluster(t, serveWeights(t, "").URL, waitTimeout)
	client := runner.NewClient(apiKey)
	defer client.Close()
	small := generateLoad(t, system, client, "small", 14)
	waitForModel(t, system, "small", modelEngines-1)
	small.stop(t, system)

	listed := 0
	list, err := system.Admin.Models(t.Context())
	assert.NilError(t, err)
	for _, item := range list.Engines {
		if item.Model == "small" {
			listed++
		}
	}
	assert.Assert(t, len(list.Engines) == modelEngines && listed > 0, "%v", list)
	before := highestToken(system)
	killPoolLeader(t, system)
	large := generateLoad(t, system, client, "large", 14)
	waitForModel(t, system, "large", modelEngines-1)
	large.stop(t, system)
	assert.Assert(t, highestToken(system) > before, "the new leader's tokens must be higher")

	// Engines that have an order of the new leader must reject a delayed order of the old one.
	checked := 0
	for name, server := range system.Engines {
		state := server.ModelState()
		if state.Token <= before {
			continue
		}
		checked++
		target := engine.Target{Name: name, URL: system.EngineURL(name)}
		err := engine.NewOpenAI().Order(t.Context(), target, engine.Order{Token: before, Model: "small"})
		var fenced *engine.ErrFenced
		assert.Assert(t, errors.As(err, &fenced), "%v", err)
		assert.Assert(t, server.ModelState().Loading != "small")
	}
	assert.Assert(t, checked > 0)
}

func highestToken(system *cluster.Cluster) uint64 {
	var highest uint64
	for _, server := range system.Engines {
		highest = max(highest, server.ModelState().Token)
	}
	return highest
}

// killPoolLeader kills the node that leads the pool's partition.
func killPoolLeader(t *testing.T, system *cluster.Cluster) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for index, node := range system.Nodes {
			id, _, err := node.Plane().Partitions.Locate("r", "", "model/models")
			assert.NilError(t, err)
			if status, known := node.Plane().Host.Status(id); known && status.IsLeader {
				assert.NilError(t, system.Kill(index))
				return poll.Success()
			}
		}
		return poll.Continue("the partition has no leader")
	}, poll.WithTimeout(waitTimeout))
}

// recordedModels returns the model that a node records for each engine.
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

// waitForRecords waits until every engine has finished loading and all nodes record the model that it reports.
func waitForRecords(t *testing.T, system *cluster.Cluster) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for node := range system.Nodes {
			recorded := recordedModels(t, system, node)
			for name, server := range system.Engines {
				if state := server.ModelState(); state.Model == "" || state.Loading != "" || recorded[name] != state.Model {
					return poll.Continue("node %d records %v, engine %s reports %+v", node, recorded, name, state)
				}
			}
		}
		return poll.Success()
	}, poll.WithTimeout(waitTimeout))
}

// TestRecordedModelNotLoaded makes all engines that are recorded with one model load another, as after an order whose
// record was lost. Calls of the first model must wait until an engine loads it, also if the leader that places
// models is killed.
func TestRecordedModelNotLoaded(t *testing.T) {
	for name, killLeader := range map[string]bool{"leader runs": false, "leader killed": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			weights := serveWeights(t, "")
			system := startLoadingCluster(t, weights.URL, waitTimeout)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if counts := countLoadedModels(t, system); counts["small"] != modelEngines/2 || counts["large"] != modelEngines/2 {
					return poll.Continue("loaded models: %v", counts)
				}
				return poll.Success()
			}, poll.WithTimeout(waitTimeout))
			waitForRecords(t, system)
			for name, server := range system.Engines {
				order := engine.Order{Token: highestToken(system) + 1, Model: "small", WeightStore: weights.URL}
				if server.ModelState().Model != "small" {
					assert.NilError(t, engine.NewOpenAI().Order(t.Context(), engine.Target{Name: name, URL: system.EngineURL(name)}, order))
				}
			}
			waitForModel(t, system, "small", modelEngines)
			if killLeader {
				killPoolLeader(t, system)
			}
			client := runner.NewClient(apiKey)
			defer client.Close()
			large := generateLoad(t, system, client, "large", 14)
			waitForModel(t, system, "large", 1)
			large.stop(t, system)
			assert.Assert(t, large.calls.Load() > 0)
			waitForRecords(t, system)
		})
	}
}

// TestEngineTokensOfEarlierCluster starts from engines that hold a higher fencing token, from a cluster that no longer
// exists. The leader must raise its tokens above theirs so that its orders are accepted.
func TestEngineTokensOfEarlierCluster(t *testing.T) {
	t.Parallel()
	weights := serveWeights(t, "")
	system := startLoadingCluster(t, weights.URL, waitTimeout)
	for name := range system.Engines {
		order := engine.Order{Token: 1 << 50, Model: "forgotten", WeightStore: weights.URL}
		assert.NilError(t, engine.NewOpenAI().Order(t.Context(), engine.Target{Name: name, URL: system.EngineURL(name)}, order))
	}
	client := runner.NewClient(apiKey)
	defer client.Close()
	request := newCall("", 0, userMessage("is anybody there?"))
	request.Model = "large"
	mustChat(t, client, system.APIURLs()[0], request)
	for _, model := range []string{"small", "large"} {
		waitForModel(t, system, model, 1)
	}
	assert.Assert(t, highestToken(system) > 1<<50)
}

// TestModelLoadFailure stops the weight store: a call of a model that no engine has must be refused as not run at the end
// of its queue time. Once the store is back, the same call with the same key must run.
func TestModelLoadFailure(t *testing.T) {
	t.Parallel()
	// The store restarts at the same port. A loopback host of its own keeps other tests from taking the port.
	weights := serveWeights(t, "127.0.77.1:0")
	weights.Close()
	system := startLoadingCluster(t, weights.URL, time.Second)
	client := runner.NewClient(apiKey)
	defer client.Close()
	request := newCall("pupil", 1, userMessage("which model?"))
	request.Model, request.IdempotencyKey = "small", "key"
	_, err := client.Chat(t.Context(), system.APIURLs()[0], request)
	failure := requireFailure(t, err)
	assert.Equal(t, failure.Code, string(apierr.NoEngine))
	assert.Equal(t, failure.Outcome, string(apierr.NotRun))
	assert.Assert(t, failure.RetryAfter > 0)
	serveWeights(t, weights.Listener.Addr().String())
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, err := client.Chat(t.Context(), system.APIURLs()[0], request); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(2*waitTimeout))
	calls := 0
	for _, server := range system.Engines {
		calls += len(server.Ledger())
	}
	assert.Equal(t, calls, 1)
}
