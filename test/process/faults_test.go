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

// TestNextTurnAfterTheNodeDied kills the node that a program last used, between two turns.
func TestNextTurnAfterTheNodeDied(t *testing.T) {
	running := startSystem(t, 3, 2)
	client := runner.NewClient(apiKey)
	defer client.Close()
	pupil := running.converse(client, "pupil")
	_, err := pupil.say(t.Context(), 0, 60)
	assert.NilError(t, err)
	running.nodes[0].kill()
	_, err = pupil.say(t.Context(), 1, 60)
	assert.NilError(t, err)
	running.checkConversations([]*conversation{pupil})
}

// TestPolicyChangeInForceEverywhere publishes a policy that leaves one engine only.
func TestPolicyChangeInForceEverywhere(t *testing.T) {
	running := startSystem(t, 3, 2)
	status, err := running.admin.Status(t.Context())
	assert.NilError(t, err)
	service := resource.Resource{Kind: resource.KindService, Name: "tutor", Service: &resource.Service{Type: resource.ServiceModel, Pool: "models", Policy: "only-m2", Models: []string{"tutor"}, Tenants: []string{"school"}, MaxTokens: 1000}}
	rules := resource.Resource{Kind: resource.KindPolicy, Name: "only-m2", Policy: &resource.Policy{Filter: `engine.name == "m2"`}}
	content, err := resource.Encode([]resource.Resource{rules, service})
	assert.NilError(t, err)
	result, err := running.admin.Apply(t.Context(), content, adminclient.Change{})
	assert.NilError(t, err)
	assert.Equal(t, result.Revision, status.Revision+1)
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	assert.NilError(t, running.admin.WaitInForce(ctx, result.Revision))
	client := runner.NewClient(apiKey)
	defer client.Close()
	for node := range running.nodes {
		reply, err := client.Chat(t.Context(), running.nodes[node].api(), runner.Call{Model: "tutor", Tokens: 10, Messages: []runner.Message{{Role: "user", Content: fmt.Sprint(node)}}})
		assert.NilError(t, err)
		assert.Equal(t, reply.Engine, "m2")
	}
}

// TestKillWithCallsInFlight kills a node under load and starts it again: every conversation goes
// on, with whole answers in order.
func TestKillWithCallsInFlight(t *testing.T) {
	running := startSystem(t, 3, 2)
	running.crowd(12, 6, func() {
		running.nodes[1].kill()
		running.restart(1)
	})
}

// TestPausedNodeDoesNoHarm stops a node for longer than any lease while calls are in flight, and
// lets it wake.
func TestPausedNodeDoesNoHarm(t *testing.T) {
	running := startSystem(t, 3, 2)
	running.crowd(12, 8, func() {
		running.nodes[2].signal(syscall.SIGSTOP)
		running.waitFor("the paused node to count as dead", func() bool {
			return running.sees("n3", false)
		})
		running.nodes[2].signal(syscall.SIGCONT)
	})
}

// TestOneWayPartition lets a node hear but not speak, and then the other way round.
func TestOneWayPartition(t *testing.T) {
	running := startSystem(t, 3, 2)
	running.crowd(9, 6, func() {
		running.cut(0, 1)
		running.cut(0, 2)
		running.waitFor("another leader to take over", func() bool { return len(running.ledger()) > 20 })
		running.heal()
		running.cut(1, 2)
		running.waitFor("calls to go on", func() bool { return len(running.ledger()) > 30 })
		running.heal()
	})
}

// TestSlowLinks delays all traffic between nodes by far more than their zones' distance.
func TestSlowLinks(t *testing.T) {
	running := startSystem(t, 3, 2)
	running.crowd(6, 3, func() { running.slow(40) })
}

// TestWholeZoneLost kills all nodes of a zone at one moment.
func TestWholeZoneLost(t *testing.T) {
	running := startSystem(t, 6, 2)
	running.crowd(12, 6, func() {
		var kills sync.WaitGroup
		for index, node := range running.nodes {
			if node.config.Zone == "b" {
				kills.Go(running.nodes[index].kill)
			}
		}
		kills.Wait()
	})
}

// TestPlannedStopCutsNothing stops nodes in order while they stream long answers.
func TestPlannedStopCutsNothing(t *testing.T) {
	running := startSystem(t, 3, 2)
	client := runner.NewClient(apiKey)
	defer client.Close()
	const streams = 8
	failures := make([]error, streams)
	var tasks sync.WaitGroup
	for number := range streams {
		tasks.Go(func() {
			_, failures[number] = client.Chat(context.Background(), running.nodes[number%2].api(), runner.Call{
				Program: fmt.Sprintf("long%d", number), Model: "tutor", Tokens: 800,
				Messages: []runner.Message{{Role: "user", Content: fmt.Sprintf("tell me a long story %d", number)}},
			})
		})
	}
	running.waitFor("all streams to run", func() bool { return len(running.ledger()) == streams })
	running.nodes[0].signal(syscall.SIGTERM)
	running.nodes[1].signal(syscall.SIGTERM)
	tasks.Wait()
	for _, err := range failures {
		assert.NilError(t, err)
	}
	<-running.nodes[0].exited
	<-running.nodes[1].exited
	assert.Equal(t, running.nodes[0].command.ProcessState.ExitCode(), 0)
	assert.Equal(t, len(running.ledger()), streams)
}

// TestSecondSignalEndsAtOnce does not wait for a hanging stream.
func TestSecondSignalEndsAtOnce(t *testing.T) {
	running := startSystem(t, 1, 1)
	running.put(running.engines["m1"]+emulator.FaultsPath, emulator.Faults{Hang: true})
	client := runner.NewClient(apiKey)
	defer client.Close()
	var task sync.WaitGroup
	task.Go(func() {
		_, _ = client.Chat(context.Background(), running.nodes[0].api(), runner.Call{Model: "tutor", Tokens: 10, Messages: []runner.Message{{Role: "user", Content: "hang"}}})
	})
	running.waitFor("the call to hang", func() bool { return len(running.ledger()) == 1 })
	running.nodes[0].signal(syscall.SIGTERM)
	running.waitFor("the node to refuse", func() bool {
		response, err := http.Get(running.nodes[0].api() + "/v1/models")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusServiceUnavailable
	})
	running.nodes[0].signal(syscall.SIGTERM)
	<-running.nodes[0].exited
	task.Wait()
}

// recordMark sends a call that must not run twice, and returns the outcome that the caller is told.
func recordMark(running *system, node int, body string) string {
	request, err := http.NewRequest(http.MethodPost, running.nodes[node].api()+"/apps/book/marks", strings.NewReader(body))
	if err != nil {
		return ""
	}
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

// TestMarksAreRecordedAtMostOnce kills and pauses nodes while marks are recorded, and compares what
// callers were told with what was executed.
func TestMarksAreRecordedAtMostOnce(t *testing.T) {
	running := startSystem(t, 3, 1)
	const writers, marks = 6, 30
	told := make(map[string]string)
	var mutex sync.Mutex
	var tasks sync.WaitGroup
	for writer := range writers {
		tasks.Go(func() {
			for number := range marks {
				body := fmt.Sprintf("mark %d-%d", writer, number)
				outcome := recordMark(running, (writer+number)%3, body)
				mutex.Lock()
				told[body] = outcome
				mutex.Unlock()
				pauseFor(context.Background(), 30*time.Millisecond)
			}
		})
	}
	running.waitFor("marks to be recorded", func() bool { return len(running.marks()) > writers })
	running.nodes[1].kill()
	running.nodes[2].signal(syscall.SIGSTOP)
	pauseFor(context.Background(), 2*time.Second)
	running.nodes[2].signal(syscall.SIGCONT)
	running.restart(1)
	tasks.Wait()
	running.checkMarks(told)
	assert.Assert(t, len(running.marks()) > writers)
}

// TestStoreOutageStopsPublishingOnly takes the store away: serving goes on, publishing fails
// clearly, and nothing reverts when it comes back with an older state.
func TestStoreOutageStopsPublishingOnly(t *testing.T) {
	running := startSystem(t, 3, 1)
	client := runner.NewClient(apiKey)
	defer client.Close()
	tenant := func(weight float64) []byte {
		content, err := resource.Encode([]resource.Resource{{Kind: resource.KindTenant, Name: "guest", Tenant: &resource.Tenant{Weight: weight}}})
		assert.NilError(t, err)
		return content
	}
	before := fetchRevision(t, running)
	running.storeFaults(storeserver.Faults{Down: true})
	_, err := running.admin.Apply(t.Context(), tenant(1), adminclient.Change{})
	assert.Assert(t, apierr.Is(err, apierr.StoreUnavailable), "%v", err)
	_, err = running.converse(client, "during").say(t.Context(), 0, 60)
	assert.NilError(t, err)
	running.nodes[1].kill()
	running.restart(1)
	assert.Equal(t, fetchRevision(t, running), before, "a restarted node learned the revision from its peers")

	running.storeFaults(storeserver.Faults{LoseAnswers: true})
	result, err := running.admin.Apply(t.Context(), tenant(2), adminclient.Change{ID: "lost"})
	assert.NilError(t, err)
	assert.Equal(t, result.ChangeID, "lost")
	assert.Equal(t, result.Revision, before+1)

	running.storeFaults(storeserver.Faults{})
	request, err := http.NewRequest(http.MethodPost, running.store+storeserver.RollbackPath, strings.NewReader(`{"revision":"2"}`))
	assert.NilError(t, err)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	_ = response.Body.Close()
	_, err = running.admin.Apply(t.Context(), tenant(3), adminclient.Change{})
	assert.Assert(t, apierr.Is(err, apierr.StoreUnavailable), "%v", err)
	running.nodes[2].kill()
	running.restart(2)
	guest, err := running.admin.Get(t.Context(), resource.Key{Kind: resource.KindTenant, Name: "guest"})
	assert.NilError(t, err)
	assert.Equal(t, guest.Tenant.Weight, 2.0)
	assert.Equal(t, fetchRevision(t, running), before+1)
}

// fetchRevision returns the revision in force on all live nodes.
func fetchRevision(t *testing.T, running *system) uint64 {
	t.Helper()
	var revision uint64
	running.waitFor("all live nodes to agree", func() bool {
		status, err := running.admin.Status(context.Background())
		revision = status.Revision
		return err == nil && len(status.Lagging) == 0
	})
	return revision
}

// TestOperatorsRace lets two operators change the same resource from the same revision.
func TestOperatorsRace(t *testing.T) {
	running := startSystem(t, 3, 1)
	base := fetchRevision(t, running)
	outcomes := make([]error, 2)
	var tasks sync.WaitGroup
	for operator := range outcomes {
		content, err := resource.Encode([]resource.Resource{{Kind: resource.KindTenant, Name: "school", Tenant: &resource.Tenant{Weight: float64(operator + 2)}}})
		assert.NilError(t, err)
		client := adminclient.New("http://"+running.nodes[operator].config.Admin.Listen, adminKey)
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

// TestDiskKeepsProgramsOverRestartOfAll kills every node at once; what was acknowledged is there
// when they come back.
func TestDiskKeepsProgramsOverRestartOfAll(t *testing.T) {
	folder := t.TempDir()
	running := startSystem(t, 3, 1, func(config *settings.Settings) { config.DataFolder = folder + "/" + config.Name })
	client := runner.NewClient(apiKey)
	defer client.Close()
	pupil := running.converse(client, "pupil")
	for turn := range 3 {
		_, err := pupil.say(t.Context(), turn, 60)
		assert.NilError(t, err)
	}
	for _, node := range running.nodes {
		node.kill()
	}
	for _, node := range running.nodes {
		node.daemon = startDaemon(t, "mountstile", "node", "--settings", node.file)
	}
	for index := range running.nodes {
		running.waitReady(index)
	}
	_, err := pupil.say(t.Context(), 0, 60)
	assert.NilError(t, err)
	running.checkConversations([]*conversation{pupil})
}

// TestCopiedDataFolderWaits starts a fourth node with a copy of a live node's folder: it must not run the
// replicas a second time. When the first holder is gone, the copy takes its place.
func TestCopiedDataFolderWaits(t *testing.T) {
	folder := t.TempDir()
	running := startSystem(t, 3, 1, func(config *settings.Settings) { config.DataFolder = folder + "/" + config.Name })
	client := runner.NewClient(apiKey)
	defer client.Close()
	pupil := running.converse(client, "pupil")
	_, err := pupil.say(t.Context(), 0, 60)
	assert.NilError(t, err)
	running.nodes[2].signal(syscall.SIGSTOP)
	assert.NilError(t, os.CopyFS(folder+"/copy", os.DirFS(folder+"/n3")))
	running.nodes[2].signal(syscall.SIGCONT)
	copied := running.nodes[2].config
	copied.Name, copied.DataFolder = "copy", folder+"/copy"
	copied.Peer.Listen, copied.API.Listen, copied.Admin.Listen = freeAddress(t), freeAddress(t), freeAddress(t)
	running.nodes = append(running.nodes, running.newNode(copied))
	running.waitFor("the copy to be a member", func() bool { return running.sees("copy", true) })
	_, err = pupil.say(t.Context(), 1, 60)
	assert.NilError(t, err)
	assert.Assert(t, !running.isReady(3), "the copy serves beside its original")
	running.nodes[2].kill()
	running.waitReady(3)
	running.nodes = append(running.nodes[:2], running.nodes[3])
	_, err = pupil.say(t.Context(), 2, 60)
	assert.NilError(t, err)
	running.checkConversations([]*conversation{pupil})
}

// TestMachineListBeginsThePlannedStop: a node whose machine is to leave goes in order by itself.
func TestMachineListBeginsThePlannedStop(t *testing.T) {
	list := startStandIn(t, "machines", "--lag", "0s")
	running := startSystem(t, 3, 1, func(config *settings.Settings) {
		config.Machines = settings.Machines{Endpoint: list + machineserver.MachinesPath, Machine: config.Name}
	})
	client := runner.NewClient(apiKey)
	defer client.Close()
	pupil := running.converse(client, "pupil")
	_, err := pupil.say(t.Context(), 1, 60)
	assert.NilError(t, err)
	running.put(list+machineserver.MachinesPath, machineserver.Machine{Address: "n2", State: machineserver.Leaving})
	<-running.nodes[1].exited
	assert.Equal(t, running.nodes[1].command.ProcessState.ExitCode(), 0)
	_, err = pupil.say(t.Context(), 0, 60)
	assert.NilError(t, err)
	running.checkConversations([]*conversation{pupil})
}

// TestCachesAreReleasedThoughTheCoordinatorDied ends a program, while its engine refuses to release,
// and kills each node in turn: whoever leads then goes on asking.
func TestCachesAreReleasedThoughTheCoordinatorDied(t *testing.T) {
	running := startSystem(t, 3, 1)
	client := runner.NewClient(apiKey)
	defer client.Close()
	engine := running.engines["m1"]
	running.put(engine+emulator.FaultsPath, emulator.Faults{RefuseReleases: true})
	long := runner.Call{Program: "meal", Model: "tutor", Tokens: 60, Messages: []runner.Message{{Role: "user", Content: strings.Repeat("tomatoes ", 300)}}}
	_, err := client.Chat(t.Context(), running.nodes[0].api(), long)
	assert.NilError(t, err)
	held := func() int { return fetch[int](t, engine+emulator.HeldPath+"?program=school:meal") }
	assert.Assert(t, held() > 0)
	assert.NilError(t, client.End(t.Context(), running.nodes[0].api(), "meal"))
	for victim := 1; victim < 3; victim++ {
		running.nodes[victim].kill()
		running.restart(victim)
		running.waitRepaired()
	}
	assert.Assert(t, held() > 0, "the engine has refused so far")
	running.put(engine+emulator.FaultsPath, emulator.Faults{})
	running.waitFor("the cache to be released", func() bool { return held() == 0 })
}
