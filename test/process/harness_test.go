// Package process_test runs the binaries as processes behind a fault-injecting proxy and compares the results that callers got
// with the calls that reached the engines.
package process_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/goccy/go-yaml"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mountstile/mountstile/internal/admin"
	"github.com/mountstile/mountstile/internal/adminclient"
	"github.com/mountstile/mountstile/internal/emulator"
	"github.com/mountstile/mountstile/internal/lab/runner"
	"github.com/mountstile/mountstile/internal/resource"
	"github.com/mountstile/mountstile/internal/settings"
	"github.com/mountstile/mountstile/internal/standin/loopback"
	"github.com/mountstile/mountstile/internal/standin/storeserver"
)

const (
	secret = "test-secret"
	apiKey = "school.k." + secret
	// tokenBudget is the budget of each program.
	tokenBudget = 50000
	adminKey    = "platform.a." + secret
	// waitTimeout bounds each wait for a condition; it allows for a busy machine.
	waitTimeout = 60 * time.Second
)

// binaryFolder is the folder of the binaries under test.
var binaryFolder string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "mountstile-test")
	if err != nil {
		panic(err)
	}
	binaryFolder = folder
	build := exec.Command("go", "build", "-o", folder+"/", "github.com/mountstile/mountstile/cmd/...")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// freeAddress returns an address for a process to listen on.
func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := loopback.FreeAddress()
	assert.NilError(t, err)
	return address
}

// daemon is one process of a test cluster.
type daemon struct {
	command *exec.Cmd
	output  *bytes.Buffer
	exited  chan struct{}
}

func startDaemon(t *testing.T, name string, arguments ...string) *daemon {
	t.Helper()
	started := &daemon{command: exec.Command(filepath.Join(binaryFolder, name), arguments...), output: &bytes.Buffer{}, exited: make(chan struct{})}
	started.command.Stdout, started.command.Stderr = started.output, started.output
	assert.NilError(t, started.command.Start())
	go func() {
		_ = started.command.Wait()
		close(started.exited)
	}()
	t.Cleanup(func() {
		started.signal(syscall.SIGCONT)
		started.kill()
		if t.Failed() {
			started.saveOutput(t)
		}
	})
	return started
}

// saveOutput saves the log of a failed test's process, since the failure may not reproduce. It writes a file that outlives the run
// or, if MOUNTSTILE_TEST_LOGS is set, the test's log.
func (d *daemon) saveOutput(t *testing.T) {
	t.Helper()
	if os.Getenv("MOUNTSTILE_TEST_LOGS") != "" {
		t.Logf("%v:\n%s", d.command.Args, d.output)
		return
	}
	file, err := os.CreateTemp("", "mountstile-failed-"+strings.ReplaceAll(t.Name(), "/", "-")+"-*.log")
	if err != nil {
		t.Logf("saving the output of %v: %s", d.command.Args, err)
		return
	}
	defer func() { _ = file.Close() }()
	if _, err := file.Write(d.output.Bytes()); err != nil {
		t.Logf("the saved output of %v is incomplete: %s", d.command.Args, err)
	}
	t.Logf("the output of %v is in %s", d.command.Args, file.Name())
}

func (d *daemon) signal(signal syscall.Signal) { _ = d.command.Process.Signal(signal) }

func (d *daemon) kill() {
	d.signal(syscall.SIGKILL)
	<-d.exited
}

// testCluster is a configuration store, engines and nodes, each a process of its own.
type testCluster struct {
	t       *testing.T
	store   string
	proxies *toxiproxy.ApiServer
	// links holds the proxies by the indexes of the dialing and the dialed node.
	links map[[2]int]*toxiproxy.Proxy
	// engines holds the engines' URLs by name.
	engines map[string]string
	nodes   []*nodeProcess
	admin   *adminclient.Client
}

type nodeProcess struct {
	*daemon
	config settings.Settings
	file   string
}

func (n *nodeProcess) apiURL() string { return "http://" + n.config.API.Listen }

// startCluster starts nodes in the zones a, b and c in turn; each pair is linked through a proxy of its own.
func startCluster(t *testing.T, nodes, engines int, adjust ...func(*settings.Settings)) *testCluster {
	t.Helper()
	t.Parallel()
	cluster := &testCluster{t: t, engines: make(map[string]string), links: make(map[[2]int]*toxiproxy.Proxy)}
	cluster.proxies = toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	cluster.store = cluster.newStandIn("configstore")
	pool := &resource.Pool{}
	for number := range engines {
		name := fmt.Sprintf("m%d", number+1)
		cluster.engines[name] = cluster.newStandIn("engine")
		pool.Engines = append(pool.Engines, resource.Engine{Name: name, URL: cluster.engines[name], Slots: 8})
	}
	cluster.engines["book"] = cluster.newStandIn("application")
	cluster.configure(nodes, adjust)
	for _, item := range cluster.nodes {
		item.daemon = startDaemon(t, "mountstile", "node", "--settings", item.file)
	}
	cluster.admin = adminclient.New("http://"+cluster.nodes[0].config.Admin.Listen, adminKey)
	cluster.publish(pool)
	return cluster
}

// newStandIn starts a stand-in for an external service and returns its URL.
func (c *testCluster) newStandIn(kind string, arguments ...string) string {
	return startStandIn(c.t, kind, arguments...)
}

func startStandIn(t *testing.T, kind string, arguments ...string) string {
	t.Helper()
	address := freeAddress(t)
	startDaemon(t, "mountstile-lab", append([]string{kind, "--listen", address}, arguments...)...)
	waitFor(t, kind, func() bool {
		connection, err := net.Dial("tcp", address)
		if err != nil {
			return false
		}
		_ = connection.Close()
		return true
	})
	return "http://" + address
}

// configure writes the settings files, in which each node dials each peer through a proxy of its own.
func (c *testCluster) configure(count int, adjust []func(*settings.Settings)) {
	folder := c.t.TempDir()
	for number := range count {
		config := settings.Default()
		config.Name, config.Zone = fmt.Sprintf("n%d", number+1), string(rune('a'+number%3))
		config.Peer.Listen, config.API.Listen, config.Admin.Listen = freeAddress(c.t), freeAddress(c.t), freeAddress(c.t)
		config.Store.Endpoint, config.Store.TimeoutSeconds = c.store, 2
		config.TLS.Insecure = true
		config.InitialNodes, config.Partitions, config.RepairSeconds = count, 6, 3
		config.AdminKeys = []resource.APIKey{resource.NewAPIKey("a", secret, resource.RoleOperator)}
		config.Routes = make(map[string]string)
		for _, change := range adjust {
			change(&config)
		}
		c.nodes = append(c.nodes, &nodeProcess{config: config, file: filepath.Join(folder, config.Name+".yaml")})
	}
	for from, source := range c.nodes {
		for to, target := range c.nodes {
			if from == to {
				continue
			}
			link := toxiproxy.NewProxy(c.proxies, fmt.Sprintf("%d-%d", from, to), "127.0.0.1:0", target.config.Peer.Listen)
			assert.NilError(c.t, link.Start())
			c.t.Cleanup(link.Stop)
			c.links[[2]int{from, to}] = link
			source.config.Routes[target.config.Peer.Listen] = link.Listen
			source.config.Seeds = append(source.config.Seeds, target.config.Peer.Listen)
		}
		content, err := yaml.Marshal(source.config)
		assert.NilError(c.t, err)
		assert.NilError(c.t, os.WriteFile(source.file, content, 0o600))
	}
}

// publish applies the test's configuration and waits until every node is ready.
func (c *testCluster) publish(pool *resource.Pool) {
	resources := []resource.Resource{
		{Kind: resource.KindTenant, Name: "school", Tenant: &resource.Tenant{Keys: []resource.APIKey{resource.NewAPIKey("k", secret, resource.RoleOperator)}, ProgramTokenBudget: tokenBudget}},
		{Kind: resource.KindPool, Name: "models", Pool: pool},
		{Kind: resource.KindPool, Name: "books", Pool: &resource.Pool{Engines: []resource.Engine{{Name: "book", URL: c.engines["book"], Slots: 8}}}},
		{Kind: resource.KindService, Name: "tutor", Service: &resource.Service{Type: resource.ServiceModel, Pool: "models", Models: []string{"tutor"}, Tenants: []string{"school"}, MaxTokens: 1000, StallSeconds: waitTimeout.Seconds()}},
		{Kind: resource.KindService, Name: "book", Service: &resource.Service{Type: resource.ServiceApplication, Pool: "books", Tenants: []string{"school"}}},
	}
	c.apply(resources)
	for index := range c.nodes {
		c.waitReady(index)
	}
}

func (c *testCluster) apply(resources []resource.Resource) uint64 {
	content, err := resource.Encode(resources)
	assert.NilError(c.t, err)
	var revision uint64
	c.waitFor("publishing", func() bool {
		result, err := c.admin.Apply(context.Background(), content, adminclient.Change{ID: c.t.Name()})
		revision = result.Revision
		return err == nil
	})
	return revision
}

func (c *testCluster) waitReady(index int) {
	c.waitFor(fmt.Sprintf("node %d to be ready", index), func() bool { return c.isReady(index) })
}

func (c *testCluster) isReady(index int) bool {
	response, err := http.Get("http://" + c.nodes[index].config.Admin.Listen + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// hasMember reports whether the first node lists a member with the given name and usability.
func (c *testCluster) hasMember(name string, usable bool) bool {
	return c.nodeHasMember(0, name, usable)
}

// newNode starts an additional node.
func (c *testCluster) newNode(config settings.Settings) *nodeProcess {
	started := &nodeProcess{config: config, file: filepath.Join(c.t.TempDir(), config.Name+".yaml")}
	content, err := yaml.Marshal(config)
	assert.NilError(c.t, err)
	assert.NilError(c.t, os.WriteFile(started.file, content, 0o600))
	started.daemon = startDaemon(c.t, "mountstile", "node", "--settings", started.file)
	return started
}

// waitFor polls a condition until it holds or waitTimeout passes.
func (c *testCluster) waitFor(what string, done func() bool) {
	c.t.Helper()
	waitFor(c.t, what, done)
}

func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if done() {
			return poll.Success()
		}
		return poll.Continue("waiting for %s", what)
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(50*time.Millisecond))
}

// restart starts a killed node again with the same settings.
func (c *testCluster) restart(index int) {
	c.nodes[index].daemon = startDaemon(c.t, "mountstile", "node", "--settings", c.nodes[index].file)
	c.waitReady(index)
}

// waitRepaired waits until exactly the running nodes are usable members and report their status, and every partition has a
// leader and tolerates the loss of a node.
func (c *testCluster) waitRepaired() {
	c.t.Helper()
	var status admin.ClusterStatus
	var err error
	defer func() {
		if c.t.Failed() {
			c.logStatus(status, err)
		}
	}()
	c.waitFor("the partitions to be repaired", func() bool {
		status, err = c.admin.Status(context.Background())
		if err != nil {
			return false
		}
		usable, answered, leads, unrepaired := 0, 0, 0, 0
		for _, member := range status.Members {
			if member.Member.Usable() {
				usable++
			}
			if member.Node != nil {
				answered++
				leads += member.Node.Leads
				unrepaired += member.Node.Unrepaired
			}
		}
		return usable == len(c.nodes) && answered == len(c.nodes) && leads == c.nodes[0].config.Partitions && unrepaired == 0
	})
}

// logStatus logs the members' last status, or the error if there is none.
func (c *testCluster) logStatus(status admin.ClusterStatus, failure error) {
	c.t.Helper()
	if failure != nil {
		c.t.Logf("no status: %s", failure)
		return
	}
	for _, member := range status.Members {
		encoded, err := json.Marshal(member)
		assert.Check(c.t, err)
		c.t.Logf("%s", encoded)
	}
}

// block drops the traffic from one node to another; the reverse direction still works.
func (c *testCluster) block(from, to int) {
	c.addTimeoutToxic(c.links[[2]int{from, to}], "upstream")
	c.addTimeoutToxic(c.links[[2]int{to, from}], "downstream")
}

func (c *testCluster) addTimeoutToxic(link *toxiproxy.Proxy, stream string) {
	toxic := fmt.Sprintf(`{"name":"cut-%s","type":"timeout","stream":%q,"toxicity":1,"attributes":{"timeout":0}}`, stream, stream)
	_, err := link.Toxics.AddToxicJson(strings.NewReader(toxic))
	assert.NilError(c.t, err)
}

// delayLinks delays all traffic between nodes.
func (c *testCluster) delayLinks(milliseconds int) {
	for _, link := range c.links {
		toxic := fmt.Sprintf(`{"name":"slow","type":"latency","stream":"downstream","toxicity":1,"attributes":{"latency":%d,"jitter":%d}}`, milliseconds, milliseconds/2)
		_, err := link.Toxics.AddToxicJson(strings.NewReader(toxic))
		assert.NilError(c.t, err)
	}
}

// clearNetworkFaults removes all network faults.
func (c *testCluster) clearNetworkFaults() {
	for _, link := range c.links {
		link.Toxics.ResetToxics(context.Background())
	}
}

// storeFaults sets the faults of the configuration store.
func (c *testCluster) storeFaults(faults storeserver.Faults) {
	c.putJSON(c.store+storeserver.FaultsPath, faults)
}

func (c *testCluster) putJSON(address string, value any) {
	c.t.Helper()
	body, err := json.Marshal(value)
	assert.NilError(c.t, err)
	request, err := http.NewRequest(http.MethodPut, address, bytes.NewReader(body))
	assert.NilError(c.t, err)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(c.t, err)
	_ = response.Body.Close()
}

func getJSON[Value any](t *testing.T, address string) Value {
	t.Helper()
	response, err := http.Get(address)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	var value Value
	assert.NilError(t, json.Unmarshal(content, &value))
	return value
}

// ledger returns the calls that reached the model engines.
func (c *testCluster) ledger() []emulator.LedgerEntry {
	var all []emulator.LedgerEntry
	for name, address := range c.engines {
		if name != "book" {
			all = append(all, getJSON[[]emulator.LedgerEntry](c.t, address+emulator.LedgerPath)...)
		}
	}
	return all
}

// executions returns how often the application engine executed each body.
func (c *testCluster) executions() map[string]int {
	counts := make(map[string]int)
	for _, entry := range getJSON[[]emulator.ApplicationEntry](c.t, c.engines["book"]+emulator.LedgerPath) {
		counts[entry.Body]++
	}
	return counts
}

// conversation is a caller that runs one program turn by turn.
type conversation struct {
	testCluster *testCluster
	client      *runner.Client
	name        string
	messages    []runner.Message
	turn        int
}

func (c *testCluster) newConversation(client *runner.Client, name string) *conversation {
	return &conversation{testCluster: c, client: client, name: name}
}

// send sends the next turn through a node and retries it through the others, with the same idempotency key, until waitTimeout.
func (c *conversation) send(ctx context.Context, node int, tokens int) (runner.Reply, error) {
	c.turn++
	c.messages = append(c.messages, runner.Message{Role: "user", Content: fmt.Sprintf("%s turn %d", c.name, c.turn)})
	request := runner.Call{
		Program: c.name, Sequence: c.turn, IdempotencyKey: fmt.Sprintf("%s-%d", c.name, c.turn),
		Model: "tutor", Messages: c.messages, Tokens: tokens,
	}
	deadline := time.Now().Add(waitTimeout)
	for try := 0; ; try++ {
		attemptCtx, cancel := context.WithTimeout(ctx, waitTimeout/2)
		reply, err := c.client.Chat(attemptCtx, c.testCluster.nodes[(node+try)%len(c.testCluster.nodes)].apiURL(), request)
		cancel()
		if err == nil {
			c.messages = append(c.messages, runner.Message{Role: "assistant", Content: reply.Content})
			return reply, nil
		}
		if time.Now().After(deadline) || ctx.Err() != nil {
			return reply, err
		}
		sleep(ctx, 100*time.Millisecond)
	}
}

func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// converseDuring runs conversations concurrently, causes a fault once their calls are in flight, and checks all answers.
func (c *testCluster) converseDuring(count, turns int, causeFault func()) {
	c.t.Helper()
	client := runner.NewClient(apiKey)
	defer client.Close()
	failures := make([]error, count)
	conversations := make([]*conversation, count)
	var tasks sync.WaitGroup
	for number := range count {
		conversations[number] = c.newConversation(client, fmt.Sprintf("p%d", number))
		tasks.Go(func() {
			for turn := range turns {
				if _, failures[number] = conversations[number].send(context.Background(), number+turn, 60); failures[number] != nil {
					return
				}
			}
		})
	}
	c.waitFor("calls in flight", func() bool { return len(c.ledger()) > count })
	causeFault()
	tasks.Wait()
	for _, err := range failures {
		assert.NilError(c.t, err)
	}
	c.checkConversations(conversations)
}

// checkConversations checks each conversation's answers against its messages, and that its calls reached each engine in order.
func (c *testCluster) checkConversations(conversations []*conversation) {
	c.t.Helper()
	for _, item := range conversations {
		for index := 1; index < len(item.messages); index += 2 {
			var prompt []json.RawMessage
			for _, message := range item.messages[:index] {
				encoded, err := json.Marshal(message)
				assert.NilError(c.t, err)
				prompt = append(prompt, encoded)
			}
			assert.Equal(c.t, item.messages[index].Content, emulator.ExpectedAnswer(prompt, 60), "%s, message %d", item.name, index)
		}
	}
	for name, address := range c.engines {
		if name == "book" {
			continue
		}
		last := make(map[string]int)
		for _, entry := range getJSON[[]emulator.LedgerEntry](c.t, address+emulator.LedgerPath) {
			assert.Assert(c.t, entry.Messages >= last[entry.Program], "%s: the history of %s shrank from %d to %d messages", name, entry.Program, last[entry.Program], entry.Messages)
			last[entry.Program] = entry.Messages
		}
	}
}
