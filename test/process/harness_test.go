// Package process_test runs the real binaries as processes behind a fault-injecting proxy, and
// compares what callers were told with what the engines saw.
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
	"sync/atomic"
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
	"github.com/mountstile/mountstile/internal/standin/storeserver"
)

const (
	secret = "test-secret"
	apiKey = "school.k." + secret
	// tokenBudget is a program's.
	tokenBudget = 50000
	adminKey    = "platform.a." + secret
	// patience is how long a condition may take on a busy machine; it is no measure of speed.
	patience = 60 * time.Second
)

var binaries string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "mountstile-test")
	if err != nil {
		panic(err)
	}
	binaries = folder
	build := exec.Command("go", "build", "-o", folder+"/", "github.com/mountstile/mountstile/cmd/...")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// hosts numbers the loopback addresses that this run has given out.
var hosts atomic.Int64

const (
	// Runs at the same time differ in the last digits of their process's number, which choose the host, or in those before, which
	// choose the port.
	hostsOfRuns = 100
	// lowestPort and portCount lie below the ports that Linux gives to whoever asks for any (32768 to 60999, ip_local_port_range).
	// One of those is taken meanwhile by a program that listens on all hosts.
	lowestPort = 12000
	portCount  = 20000
	// portTries is how many ports are tried, because another program may have been given one of its own.
	portTries = 100
)

// freeAddress returns an address for a process to listen on. Each is on a loopback host of its own,
// so that neither another test nor an outgoing connection can take the port meanwhile.
func freeAddress(t *testing.T) string {
	t.Helper()
	number := hosts.Add(1)
	process := os.Getpid()
	host := fmt.Sprintf("127.%d.%d.%d", 100+process%hostsOfRuns, number/250, number%250+1)
	var failure error
	for try := range portTries {
		port := lowestPort + (process/hostsOfRuns+try)%portCount
		listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", host, port))
		if err != nil {
			failure = err
			continue
		}
		defer func() { _ = listener.Close() }()
		return listener.Addr().String()
	}
	assert.NilError(t, failure)
	return ""
}

// daemon is one process of the system.
type daemon struct {
	command *exec.Cmd
	output  *bytes.Buffer
	exited  chan struct{}
}

func startDaemon(t *testing.T, name string, arguments ...string) *daemon {
	t.Helper()
	started := &daemon{command: exec.Command(filepath.Join(binaries, name), arguments...), output: &bytes.Buffer{}, exited: make(chan struct{})}
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
			started.keepOutput(t)
		}
	})
	return started
}

// keepOutput keeps what a process of a failed test has logged, so that a failure that shows once can be traced: in a file that
// outlives the run, or in the test's own output where MOUNTSTILE_TEST_LOGS is set.
func (d *daemon) keepOutput(t *testing.T) {
	t.Helper()
	if os.Getenv("MOUNTSTILE_TEST_LOGS") != "" {
		t.Logf("%v:\n%s", d.command.Args, d.output)
		return
	}
	file, err := os.CreateTemp("", "mountstile-failed-"+strings.ReplaceAll(t.Name(), "/", "-")+"-*.log")
	if err != nil {
		t.Logf("the output of %v is lost: %s", d.command.Args, err)
		return
	}
	defer func() { _ = file.Close() }()
	if _, err := file.Write(d.output.Bytes()); err != nil {
		t.Logf("the output of %v is cut: %s", d.command.Args, err)
	}
	t.Logf("the output of %v is in %s", d.command.Args, file.Name())
}

func (d *daemon) signal(signal syscall.Signal) { _ = d.command.Process.Signal(signal) }

func (d *daemon) kill() {
	d.signal(syscall.SIGKILL)
	<-d.exited
}

// system is a store, engines and nodes as processes.
type system struct {
	t       *testing.T
	store   string
	proxies *toxiproxy.ApiServer
	links   map[[2]int]*toxiproxy.Proxy
	engines map[string]string
	nodes   []*nodeProcess
	admin   *adminclient.Client
}

type nodeProcess struct {
	*daemon
	config settings.Settings
	file   string
}

func (n *nodeProcess) api() string { return "http://" + n.config.API.Listen }

// startSystem brings up nodes in zones a, b, c in turn, each pair linked through its own proxy.
func startSystem(t *testing.T, nodes, engines int, adjust ...func(*settings.Settings)) *system {
	t.Helper()
	t.Parallel()
	running := &system{t: t, engines: make(map[string]string), links: make(map[[2]int]*toxiproxy.Proxy)}
	running.proxies = toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	running.store = running.standIn("configstore")
	pool := &resource.Pool{}
	for number := range engines {
		name := fmt.Sprintf("m%d", number+1)
		running.engines[name] = running.standIn("engine")
		pool.Engines = append(pool.Engines, resource.Engine{Name: name, URL: running.engines[name], Slots: 8})
	}
	running.engines["book"] = running.standIn("application")
	running.configure(nodes, adjust)
	for _, item := range running.nodes {
		item.daemon = startDaemon(t, "mountstile", "node", "--settings", item.file)
	}
	running.admin = adminclient.New("http://"+running.nodes[0].config.Admin.Listen, adminKey)
	running.publish(pool)
	return running
}

// standIn starts a stand-in and returns its address.
func (s *system) standIn(kind string, arguments ...string) string {
	return startStandIn(s.t, kind, arguments...)
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

// configure writes the settings files: each node dials each other one through a proxy of its own.
func (s *system) configure(count int, adjust []func(*settings.Settings)) {
	folder := s.t.TempDir()
	for number := range count {
		config := settings.Default()
		config.Name, config.Zone = fmt.Sprintf("n%d", number+1), string(rune('a'+number%3))
		config.Peer.Listen, config.API.Listen, config.Admin.Listen = freeAddress(s.t), freeAddress(s.t), freeAddress(s.t)
		config.Store.Endpoint, config.Store.TimeoutSeconds = s.store, 2
		config.TLS.Insecure = true
		config.InitialNodes, config.Partitions, config.RepairSeconds = count, 6, 3
		config.AdminKeys = []resource.APIKey{resource.NewAPIKey("a", secret, resource.RoleOperator)}
		config.Routes = make(map[string]string)
		for _, change := range adjust {
			change(&config)
		}
		s.nodes = append(s.nodes, &nodeProcess{config: config, file: filepath.Join(folder, config.Name+".yaml")})
	}
	for from, source := range s.nodes {
		for to, target := range s.nodes {
			if from == to {
				continue
			}
			link := toxiproxy.NewProxy(s.proxies, fmt.Sprintf("%d-%d", from, to), "127.0.0.1:0", target.config.Peer.Listen)
			assert.NilError(s.t, link.Start())
			s.t.Cleanup(link.Stop)
			s.links[[2]int{from, to}] = link
			source.config.Routes[target.config.Peer.Listen] = link.Listen
			source.config.Seeds = append(source.config.Seeds, target.config.Peer.Listen)
		}
		content, err := yaml.Marshal(source.config)
		assert.NilError(s.t, err)
		assert.NilError(s.t, os.WriteFile(source.file, content, 0o600))
	}
}

// publish applies the test's configuration and waits until every node serves.
func (s *system) publish(pool *resource.Pool) {
	resources := []resource.Resource{
		{Kind: resource.KindTenant, Name: "school", Tenant: &resource.Tenant{Keys: []resource.APIKey{resource.NewAPIKey("k", secret, resource.RoleOperator)}, ProgramTokenBudget: tokenBudget}},
		{Kind: resource.KindPool, Name: "models", Pool: pool},
		{Kind: resource.KindPool, Name: "books", Pool: &resource.Pool{Engines: []resource.Engine{{Name: "book", URL: s.engines["book"], Slots: 8}}}},
		{Kind: resource.KindService, Name: "tutor", Service: &resource.Service{Type: resource.ServiceModel, Pool: "models", Models: []string{"tutor"}, Tenants: []string{"school"}, MaxTokens: 1000, StallSeconds: patience.Seconds()}},
		{Kind: resource.KindService, Name: "book", Service: &resource.Service{Type: resource.ServiceApplication, Pool: "books", Tenants: []string{"school"}}},
	}
	s.apply(resources)
	for index := range s.nodes {
		s.waitReady(index)
	}
}

func (s *system) apply(resources []resource.Resource) uint64 {
	content, err := resource.Encode(resources)
	assert.NilError(s.t, err)
	var revision uint64
	s.waitFor("publishing", func() bool {
		result, err := s.admin.Apply(context.Background(), content, adminclient.Change{ID: s.t.Name()})
		revision = result.Revision
		return err == nil
	})
	return revision
}

func (s *system) waitReady(index int) {
	s.waitFor(fmt.Sprintf("node %d to be ready", index), func() bool { return s.isReady(index) })
}

func (s *system) isReady(index int) bool {
	response, err := http.Get("http://" + s.nodes[index].config.Admin.Listen + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// sees reports whether the first node knows a member of that name, and holds it for alive or not.
func (s *system) sees(name string, alive bool) bool {
	return s.seenBy(0, name, alive)
}

// newNode starts a further node.
func (s *system) newNode(config settings.Settings) *nodeProcess {
	started := &nodeProcess{config: config, file: filepath.Join(s.t.TempDir(), config.Name+".yaml")}
	content, err := yaml.Marshal(config)
	assert.NilError(s.t, err)
	assert.NilError(s.t, os.WriteFile(started.file, content, 0o600))
	started.daemon = startDaemon(s.t, "mountstile", "node", "--settings", started.file)
	return started
}

// waitFor polls a condition.
func (s *system) waitFor(what string, done func() bool) {
	s.t.Helper()
	waitFor(s.t, what, done)
}

func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if done() {
			return poll.Success()
		}
		return poll.Continue("waiting for %s", what)
	}, poll.WithTimeout(patience), poll.WithDelay(50*time.Millisecond))
}

// restart starts a killed node again with the same settings.
func (s *system) restart(index int) {
	s.nodes[index].daemon = startDaemon(s.t, "mountstile", "node", "--settings", s.nodes[index].file)
	s.waitReady(index)
}

// waitRepaired waits until the nodes that run now are the members, each in its own word, and every
// partition has a leader and would survive the loss of a node.
func (s *system) waitRepaired() {
	s.t.Helper()
	var status admin.ClusterStatus
	var err error
	defer func() {
		if s.t.Failed() {
			s.logStatus(status, err)
		}
	}()
	s.waitFor("the partitions to be repaired", func() bool {
		status, err = s.admin.Status(context.Background())
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
		return usable == len(s.nodes) && answered == len(s.nodes) && leads == s.nodes[0].config.Partitions && unrepaired == 0
	})
}

// logStatus shows what the members last said, or why they did not.
func (s *system) logStatus(status admin.ClusterStatus, failure error) {
	s.t.Helper()
	if failure != nil {
		s.t.Logf("no status: %s", failure)
		return
	}
	for _, member := range status.Members {
		encoded, err := json.Marshal(member)
		assert.Check(s.t, err)
		s.t.Logf("%s", encoded)
	}
}

// cut blocks the traffic from one node to another; the other direction goes on.
func (s *system) cut(from, to int) {
	s.blackHole(s.links[[2]int{from, to}], "upstream")
	s.blackHole(s.links[[2]int{to, from}], "downstream")
}

func (s *system) blackHole(link *toxiproxy.Proxy, stream string) {
	toxic := fmt.Sprintf(`{"name":"cut-%s","type":"timeout","stream":%q,"toxicity":1,"attributes":{"timeout":0}}`, stream, stream)
	_, err := link.Toxics.AddToxicJson(strings.NewReader(toxic))
	assert.NilError(s.t, err)
}

// slow delays all traffic between nodes.
func (s *system) slow(milliseconds int) {
	for _, link := range s.links {
		toxic := fmt.Sprintf(`{"name":"slow","type":"latency","stream":"downstream","toxicity":1,"attributes":{"latency":%d,"jitter":%d}}`, milliseconds, milliseconds/2)
		_, err := link.Toxics.AddToxicJson(strings.NewReader(toxic))
		assert.NilError(s.t, err)
	}
}

// heal ends all network faults.
func (s *system) heal() {
	for _, link := range s.links {
		link.Toxics.ResetToxics(context.Background())
	}
}

// storeFaults switches the store's failures.
func (s *system) storeFaults(faults storeserver.Faults) {
	s.put(s.store+storeserver.FaultsPath, faults)
}

func (s *system) put(address string, value any) {
	s.t.Helper()
	body, err := json.Marshal(value)
	assert.NilError(s.t, err)
	request, err := http.NewRequest(http.MethodPut, address, bytes.NewReader(body))
	assert.NilError(s.t, err)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(s.t, err)
	_ = response.Body.Close()
}

func fetch[Value any](t *testing.T, address string) Value {
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

// ledger returns what reached the model engines.
func (s *system) ledger() []emulator.LedgerEntry {
	var all []emulator.LedgerEntry
	for name, address := range s.engines {
		if name != "book" {
			all = append(all, fetch[[]emulator.LedgerEntry](s.t, address+emulator.LedgerPath)...)
		}
	}
	return all
}

// marks returns how often each body was executed by the application engine.
func (s *system) marks() map[string]int {
	counts := make(map[string]int)
	for _, entry := range fetch[[]emulator.ApplicationEntry](s.t, s.engines["book"]+emulator.LedgerPath) {
		counts[entry.Body]++
	}
	return counts
}

// conversation is a caller with one program.
type conversation struct {
	system   *system
	client   *runner.Client
	name     string
	messages []runner.Message
	turn     int
}

func (s *system) converse(client *runner.Client, name string) *conversation {
	return &conversation{system: s, client: client, name: name}
}

// say makes the next call through a node, and through others while that is safe to repeat.
func (c *conversation) say(ctx context.Context, node int, tokens int) (runner.Reply, error) {
	c.turn++
	c.messages = append(c.messages, runner.Message{Role: "user", Content: fmt.Sprintf("%s says %d", c.name, c.turn)})
	request := runner.Call{
		Program: c.name, Sequence: c.turn, IdempotencyKey: fmt.Sprintf("%s-%d", c.name, c.turn),
		Model: "tutor", Messages: c.messages, Tokens: tokens,
	}
	deadline := time.Now().Add(patience)
	for try := 0; ; try++ {
		attempt, cancel := context.WithTimeout(ctx, patience/2)
		reply, err := c.client.Chat(attempt, c.system.nodes[(node+try)%len(c.system.nodes)].api(), request)
		cancel()
		if err == nil {
			c.messages = append(c.messages, runner.Message{Role: "assistant", Content: reply.Content})
			return reply, nil
		}
		if time.Now().After(deadline) || ctx.Err() != nil {
			return reply, err
		}
		pauseFor(ctx, 100*time.Millisecond)
	}
}

func pauseFor(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// crowd lets many conversations talk at once while something happens to the system.
func (s *system) crowd(count, turns int, disturb func()) {
	s.t.Helper()
	client := runner.NewClient(apiKey)
	defer client.Close()
	failures := make([]error, count)
	conversations := make([]*conversation, count)
	var tasks sync.WaitGroup
	for number := range count {
		conversations[number] = s.converse(client, fmt.Sprintf("p%d", number))
		tasks.Go(func() {
			for turn := range turns {
				if _, failures[number] = conversations[number].say(context.Background(), number+turn, 60); failures[number] != nil {
					return
				}
			}
		})
	}
	s.waitFor("calls in flight", func() bool { return len(s.ledger()) > count })
	disturb()
	tasks.Wait()
	for _, err := range failures {
		assert.NilError(s.t, err)
	}
	s.checkConversations(conversations)
}

// checkConversations compares each caller's answers with what its messages must give, and the
// order in which its calls reached the engines.
func (s *system) checkConversations(conversations []*conversation) {
	s.t.Helper()
	for _, item := range conversations {
		for index := 1; index < len(item.messages); index += 2 {
			var prompt []json.RawMessage
			for _, message := range item.messages[:index] {
				encoded, err := json.Marshal(message)
				assert.NilError(s.t, err)
				prompt = append(prompt, encoded)
			}
			assert.Equal(s.t, item.messages[index].Content, emulator.ExpectedAnswer(prompt, 60), "%s, message %d", item.name, index)
		}
	}
	for name, address := range s.engines {
		if name == "book" {
			continue
		}
		last := make(map[string]int)
		for _, entry := range fetch[[]emulator.LedgerEntry](s.t, address+emulator.LedgerPath) {
			assert.Assert(s.t, entry.Messages >= last[entry.Program], "%s: %s went back from %d to %d messages", name, entry.Program, last[entry.Program], entry.Messages)
			last[entry.Program] = entry.Messages
		}
	}
}
