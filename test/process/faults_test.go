package process_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/adminclient"
	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/emulator"
	"github.com/mountstile/mountstile/internal/gateway"
	"github.com/mountstile/mountstile/internal/lab/runner"
	"github.com/mountstile/mountstile/internal/resource"
	"github.com/mountstile/mountstile/internal/settings"
	"github.com/mountstile/mountstile/internal/standin/machineserver"
	"github.com/mountstile/mountstile/internal/standin/storeserver"
)

// TestNextTurnAfterNodeKilled kills the node that a program last used, between two turns.
func TestNextTurnAfterNodeKilled(t *testing.T) {
	cluster := startCluster(t, 3, 2)
	client := runner.NewClient(apiKey)
	defer client.Close()
	program := cluster.newConversation(client, "pupil")
	_, err := program.send(t.Context(), 0, 60)
	assert.NilError(t, err)
	cluster.nodes[0].kill()
	_, err = program.send(t.Context(), 1, 60)
	assert.NilError(t, err)
	cluster.checkConversations([]*conversation{program})
}

// TestPolicyChangeReachesAllNodes publishes a policy that allows one engine only and checks that every node applies it.
func TestPolicyChangeReachesAllNodes(t *testing.T) {
	cluster := startCluster(t, 3, 2)
	status, err := cluster.admin.Status(t.Context())
	assert.NilError(t, err)
	service := resource.Resource{Kind: resource.KindService, Name: "tutor", Service: &resource.Service{Type: resource.ServiceModel, Pool: "models", Policy: "only-m2", Models: []string{"tutor"}, Tenants: []string{"school"}, MaxTokens: 1000}}
	rules := resource.Resource{Kind: resource.KindPolicy, Name: "only-m2", Policy: &resource.Policy{Filter: `engine.name == "m2"`}}
	content, err := resource.Encode([]resource.Resource{rules, service})
	assert.NilError(t, err)
	result, err := cluster.admin.Apply(t.Context(), content, adminclient.Change{})
	assert.NilError(t, err)
	assert.Equal(t, result.Revision, status.Revision+1)
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	assert.NilError(t, cluster.admin.WaitInForce(ctx, result.Revision))
	client := runner.NewClient(apiKey)
	defer client.Close()
	for node := range cluster.nodes {
		reply, err := client.Chat(t.Context(), cluster.nodes[node].apiURL(), runner.Call{Model: "tutor", Tokens: 10, Messages: []runner.Message{{Role: "user", Content: fmt.Sprint(node)}}})
		assert.NilError(t, err)
		assert.Equal(t, reply.Engine, "m2")
	}
}

// TestKillWithCallsInFlight kills and restarts a node under load. Every conversation must continue, with complete answers in
// order.
func TestKillWithCallsInFlight(t *testing.T) {
	cluster := startCluster(t, 3, 2)
	cluster.converseDuring(12, 6, func() {
		cluster.nodes[1].kill()
		cluster.restart(1)
	})
}

// TestNodePausedBeyondLease pauses a node for longer than any lease while calls are in flight, and resumes it.
func TestNodePausedBeyondLease(t *testing.T) {
	cluster := startCluster(t, 3, 2)
	cluster.converseDuring(12, 8, func() {
		cluster.nodes[2].signal(syscall.SIGSTOP)
		cluster.waitFor("the paused node to become unusable", func() bool {
			return cluster.hasMember("n3", false)
		})
		cluster.nodes[2].signal(syscall.SIGCONT)
	})
}

// TestOneWayPartition blocks the traffic from the first node to its peers and then from the second node to the third. The reverse
// directions still work.
func TestOneWayPartition(t *testing.T) {
	cluster := startCluster(t, 3, 2)
	cluster.converseDuring(9, 6, func() {
		cluster.block(0, 1)
		cluster.block(0, 2)
		cluster.waitFor("calls to continue without the first node's outgoing traffic", func() bool { return len(cluster.ledger()) > 20 })
		cluster.clearNetworkFaults()
		cluster.block(1, 2)
		cluster.waitFor("calls to continue", func() bool { return len(cluster.ledger()) > 30 })
		cluster.clearNetworkFaults()
	})
}

// TestSlowLinks delays all traffic between nodes by far more than the latency between zones.
func TestSlowLinks(t *testing.T) {
	cluster := startCluster(t, 3, 2)
	cluster.converseDuring(6, 3, func() { cluster.delayLinks(40) })
}

// TestZoneLost kills all nodes of a zone at once.
func TestZoneLost(t *testing.T) {
	cluster := startCluster(t, 6, 2)
	cluster.converseDuring(12, 6, func() {
		var kills sync.WaitGroup
		for index, node := range cluster.nodes {
			if node.config.Zone == "b" {
				kills.Go(cluster.nodes[index].kill)
			}
		}
		kills.Wait()
	})
}

// TestGracefulStopFinishesStreams sends nodes SIGTERM while they stream long answers. Every stream must finish, without another
// attempt.
func TestGracefulStopFinishesStreams(t *testing.T) {
	cluster := startCluster(t, 3, 2)
	client := runner.NewClient(apiKey)
	defer client.Close()
	const streams = 8
	failures := make([]error, streams)
	var tasks sync.WaitGroup
	for number := range streams {
		tasks.Go(func() {
			_, failures[number] = client.Chat(context.Background(), cluster.nodes[number%2].apiURL(), runner.Call{
				Program: fmt.Sprintf("long%d", number), Model: "tutor", Tokens: 800,
				Messages: []runner.Message{{Role: "user", Content: fmt.Sprintf("tell me a long story %d", number)}},
			})
		})
	}
	cluster.waitFor("all streams to run", func() bool { return len(cluster.ledger()) == streams })
	cluster.nodes[0].signal(syscall.SIGTERM)
	cluster.nodes[1].signal(syscall.SIGTERM)
	tasks.Wait()
	for _, err := range failures {
		assert.NilError(t, err)
	}
	<-cluster.nodes[0].exited
	<-cluster.nodes[1].exited
	assert.Equal(t, cluster.nodes[0].command.ProcessState.ExitCode(), 0)
	assert.Equal(t, len(cluster.ledger()), streams)
}

// TestSecondSignalStopsImmediately checks that a second SIGTERM stops a node that still waits for a hanging stream.
func TestSecondSignalStopsImmediately(t *testing.T) {
	cluster := startCluster(t, 1, 1)
	cluster.putJSON(cluster.engines["m1"]+emulator.FaultsPath, emulator.Faults{Hang: true})
	client := runner.NewClient(apiKey)
	defer client.Close()
	var task sync.WaitGroup
	task.Go(func() {
		_, _ = client.Chat(context.Background(), cluster.nodes[0].apiURL(), runner.Call{Model: "tutor", Tokens: 10, Messages: []runner.Message{{Role: "user", Content: "hang"}}})
	})
	cluster.waitFor("the call to hang", func() bool { return len(cluster.ledger()) == 1 })
	cluster.nodes[0].signal(syscall.SIGTERM)
	cluster.waitFor("the node to refuse calls", func() bool {
		response, err := http.Get(cluster.nodes[0].apiURL() + "/v1/models")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusServiceUnavailable
	})
	cluster.nodes[0].signal(syscall.SIGTERM)
	<-cluster.nodes[0].exited
	task.Wait()
}

// sendNonRepeatable sends a non-repeatable call and returns the outcome that is reported to the caller.
func sendNonRepeatable(cluster *testCluster, node int, body string) string {
	request, err := http.NewRequest(http.MethodPost, cluster.nodes[node].apiURL()+"/apps/book/marks", strings.NewReader(body))
	if err != nil {
		return ""
	}
	// Without GetBody, net/http can't resend the call by itself after a connection failure.
	request.GetBody = nil
	request.Header.Set("Authorization", "Bearer "+apiKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return string(apierr.OutcomeUnknown)
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.Header.Get(gateway.HeaderOutcome)
}

// TestNonRepeatableCallsRunAtMostOnce kills and pauses nodes during non-repeatable calls and compares the reported outcomes with
// the executions.
func TestNonRepeatableCallsRunAtMostOnce(t *testing.T) {
	cluster := startCluster(t, 3, 1)
	const writers, executions = 6, 30
	reported := make(map[string]string)
	var mutex sync.Mutex
	var tasks sync.WaitGroup
	for writer := range writers {
		tasks.Go(func() {
			for number := range executions {
				body := fmt.Sprintf("call %d-%d", writer, number)
				outcome := sendNonRepeatable(cluster, (writer+number)%3, body)
				mutex.Lock()
				reported[body] = outcome
				mutex.Unlock()
				sleep(context.Background(), 30*time.Millisecond)
			}
		})
	}
	cluster.waitFor("non-repeatable calls to be executed", func() bool { return len(cluster.executions()) > writers })
	cluster.nodes[1].kill()
	cluster.nodes[2].signal(syscall.SIGSTOP)
	sleep(context.Background(), 2*time.Second)
	cluster.nodes[2].signal(syscall.SIGCONT)
	cluster.restart(1)
	tasks.Wait()
	cluster.checkExecutions(reported)
	assert.Assert(t, len(cluster.executions()) > writers)
}

// TestStoreOutageBlocksOnlyPublishing stops the configuration store. Calls must still be served and publishing must fail with a
// clear error; when the store returns with an older state, no node may revert to it.
func TestStoreOutageBlocksOnlyPublishing(t *testing.T) {
	cluster := startCluster(t, 3, 1)
	client := runner.NewClient(apiKey)
	defer client.Close()
	tenant := func(weight float64) []byte {
		content, err := resource.Encode([]resource.Resource{{Kind: resource.KindTenant, Name: "guest", Tenant: &resource.Tenant{Weight: weight}}})
		assert.NilError(t, err)
		return content
	}
	before := fetchRevision(t, cluster)
	cluster.storeFaults(storeserver.Faults{Down: true})
	_, err := cluster.admin.Apply(t.Context(), tenant(1), adminclient.Change{})
	assert.Assert(t, apierr.Is(err, apierr.StoreUnavailable), "%v", err)
	_, err = cluster.newConversation(client, "during").send(t.Context(), 0, 60)
	assert.NilError(t, err)
	cluster.nodes[1].kill()
	cluster.restart(1)
	assert.Equal(t, fetchRevision(t, cluster), before, "a restarted node must get the revision from its peers")

	cluster.storeFaults(storeserver.Faults{LoseAnswers: true})
	result, err := cluster.admin.Apply(t.Context(), tenant(2), adminclient.Change{ID: "lost"})
	assert.NilError(t, err)
	assert.Equal(t, result.ChangeID, "lost")
	assert.Equal(t, result.Revision, before+1)

	cluster.storeFaults(storeserver.Faults{})
	request, err := http.NewRequest(http.MethodPost, cluster.store+storeserver.RollbackPath, strings.NewReader(`{"revision":"2"}`))
	assert.NilError(t, err)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	_ = response.Body.Close()
	_, err = cluster.admin.Apply(t.Context(), tenant(3), adminclient.Change{})
	assert.Assert(t, apierr.Is(err, apierr.StoreUnavailable), "%v", err)
	cluster.nodes[2].kill()
	cluster.restart(2)
	guest, err := cluster.admin.Get(t.Context(), resource.Key{Kind: resource.KindTenant, Name: "guest"})
	assert.NilError(t, err)
	assert.Equal(t, guest.Tenant.Weight, 2.0)
	assert.Equal(t, fetchRevision(t, cluster), before+1)
}

// fetchRevision returns the configuration revision applied on all live nodes.
func fetchRevision(t *testing.T, cluster *testCluster) uint64 {
	t.Helper()
	var revision uint64
	cluster.waitFor("all live nodes to have the latest revision", func() bool {
		status, err := cluster.admin.Status(context.Background())
		revision = status.Revision
		return err == nil && len(status.Lagging) == 0
	})
	return revision
}

// TestConcurrentApplyConflicts applies two changes of one resource to the same revision at once. Exactly one must succeed.
func TestConcurrentApplyConflicts(t *testing.T) {
	cluster := startCluster(t, 3, 1)
	base := fetchRevision(t, cluster)
	outcomes := make([]error, 2)
	var tasks sync.WaitGroup
	for operator := range outcomes {
		content, err := resource.Encode([]resource.Resource{{Kind: resource.KindTenant, Name: "school", Tenant: &resource.Tenant{Weight: float64(operator + 2)}}})
		assert.NilError(t, err)
		client := adminclient.New("http://"+cluster.nodes[operator].config.Admin.Listen, adminKey)
		tasks.Go(func() {
			_, outcomes[operator] = client.Apply(context.Background(), content, adminclient.Change{Base: base})
		})
	}
	tasks.Wait()
	accepted := 0
	for _, err := range outcomes {
		if err == nil {
			accepted++
			continue
		}
		assert.Assert(t, apierr.Is(err, apierr.RevisionConflict), "%v", err)
	}
	assert.Equal(t, accepted, 1)
}

// TestProgramsSurviveFullRestart kills and restarts all nodes. Acknowledged turns must still be there.
func TestProgramsSurviveFullRestart(t *testing.T) {
	folder := t.TempDir()
	cluster := startCluster(t, 3, 1, func(config *settings.Settings) { config.DataFolder = folder + "/" + config.Name })
	client := runner.NewClient(apiKey)
	defer client.Close()
	program := cluster.newConversation(client, "pupil")
	for turn := range 3 {
		_, err := program.send(t.Context(), turn, 60)
		assert.NilError(t, err)
	}
	for _, node := range cluster.nodes {
		node.kill()
	}
	for _, node := range cluster.nodes {
		node.daemon = startDaemon(t, "mountstile", "node", "--settings", node.file)
	}
	for index := range cluster.nodes {
		cluster.waitReady(index)
	}
	_, err := program.send(t.Context(), 0, 60)
	assert.NilError(t, err)
	cluster.checkConversations([]*conversation{program})
}

// TestCopiedDataFolderWaits starts a fourth node on a copy of a live node's data folder. It must not run the replicas while the
// original runs, and must take over once the original is gone.
func TestCopiedDataFolderWaits(t *testing.T) {
	folder := t.TempDir()
	cluster := startCluster(t, 3, 1, func(config *settings.Settings) { config.DataFolder = folder + "/" + config.Name })
	client := runner.NewClient(apiKey)
	defer client.Close()
	program := cluster.newConversation(client, "pupil")
	_, err := program.send(t.Context(), 0, 60)
	assert.NilError(t, err)
	cluster.nodes[2].signal(syscall.SIGSTOP)
	assert.NilError(t, os.CopyFS(folder+"/copy", os.DirFS(folder+"/n3")))
	cluster.nodes[2].signal(syscall.SIGCONT)
	copied := cluster.nodes[2].config
	copied.Name, copied.DataFolder = "copy", folder+"/copy"
	copied.Peer.Listen, copied.API.Listen, copied.Admin.Listen = freeAddress(t), freeAddress(t), freeAddress(t)
	cluster.nodes = append(cluster.nodes, cluster.newNode(copied))
	cluster.waitFor("the copy to be a member", func() bool { return cluster.hasMember("copy", true) })
	_, err = program.send(t.Context(), 1, 60)
	assert.NilError(t, err)
	assert.Assert(t, !cluster.isReady(3), "the copy serves while its original runs")
	cluster.nodes[2].kill()
	cluster.waitReady(3)
	cluster.nodes = append(cluster.nodes[:2], cluster.nodes[3])
	_, err = program.send(t.Context(), 2, 60)
	assert.NilError(t, err)
	cluster.checkConversations([]*conversation{program})
}

// TestMachineListStartsGracefulStop checks that a node stops gracefully when the machine list marks its machine as leaving.
func TestMachineListStartsGracefulStop(t *testing.T) {
	list := startStandIn(t, "machines", "--lag", "0s")
	cluster := startCluster(t, 3, 1, func(config *settings.Settings) {
		config.Machines = settings.Machines{Endpoint: list + machineserver.MachinesPath, Machine: config.Name}
	})
	client := runner.NewClient(apiKey)
	defer client.Close()
	program := cluster.newConversation(client, "pupil")
	_, err := program.send(t.Context(), 1, 60)
	assert.NilError(t, err)
	cluster.putJSON(list+machineserver.MachinesPath, machineserver.Machine{Address: "n2", State: machineserver.Leaving})
	<-cluster.nodes[1].exited
	assert.Equal(t, cluster.nodes[1].command.ProcessState.ExitCode(), 0)
	_, err = program.send(t.Context(), 0, 60)
	assert.NilError(t, err)
	cluster.checkConversations([]*conversation{program})
}

// TestCacheReleaseSurvivesCoordinatorLoss ends a program while its engine refuses to release the cache, and kills nodes in turn.
// The partition's new leader must keep retrying the release.
func TestCacheReleaseSurvivesCoordinatorLoss(t *testing.T) {
	cluster := startCluster(t, 3, 1)
	client := runner.NewClient(apiKey)
	defer client.Close()
	engine := cluster.engines["m1"]
	cluster.putJSON(engine+emulator.FaultsPath, emulator.Faults{RefuseReleases: true})
	long := runner.Call{Program: "meal", Model: "tutor", Tokens: 60, Messages: []runner.Message{{Role: "user", Content: strings.Repeat("tomatoes ", 300)}}}
	_, err := client.Chat(t.Context(), cluster.nodes[0].apiURL(), long)
	assert.NilError(t, err)
	held := func() int { return getJSON[int](t, engine+emulator.HeldPath+"?program=school:meal") }
	assert.Assert(t, held() > 0)
	assert.NilError(t, client.End(t.Context(), cluster.nodes[0].apiURL(), "meal"))
	for index := 1; index < 3; index++ {
		cluster.nodes[index].kill()
		cluster.restart(index)
		cluster.waitRepaired()
	}
	assert.Assert(t, held() > 0, "the engine must still hold the cache")
	cluster.putJSON(engine+emulator.FaultsPath, emulator.Faults{})
	cluster.waitFor("the cache to be released", func() bool { return held() == 0 })
}
