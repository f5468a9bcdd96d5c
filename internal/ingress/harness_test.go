package ingress

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/catalog"
	"github.com/mountstile/mountstile/internal/dispatch"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/routing"
	"github.com/mountstile/mountstile/internal/standin/loopback"
	"github.com/mountstile/mountstile/internal/transport"
	"github.com/mountstile/mountstile/internal/turnstore"
	"github.com/mountstile/mountstile/internal/upstream"
)

// testProtocol defines its own headers: Call is the request's ID, Seal marks an engine's response,
// and Untouched says that the engine did not run the call.
type testProtocol struct{}

func (testProtocol) Caller(header http.Header) (Caller, error) {
	caller := Caller{ID: header.Get("Call"), Program: header.Get("Program"), Previous: header.Get("Previous"), LastEvent: header.Get("After"), Resumes: header.Get("Resumes"), Budget: NoBudget}
	if caller.ID == "" {
		return caller, apierr.New(apierr.InvalidRequest, apierr.NotRun, "the Call header is missing")
	}
	if millis, err := strconv.Atoi(header.Get("Patience")); err == nil {
		caller.TimeLimit = time.Duration(millis) * time.Millisecond
	}
	if budget, err := strconv.ParseInt(header.Get("Budget"), 10, 64); err == nil {
		caller.Budget = budget
	}
	caller.Most, _ = strconv.ParseInt(header.Get("Most"), 10, 64)
	return caller, nil
}

func (testProtocol) WeightsVersion() (header, eventField string) { return "Weights", "weights" }

func (testProtocol) Prepare(header http.Header, attempt dispatch.AttemptInfo) {
	header.Set("Engine", attempt.Engine)
	header.Set("Left", strconv.FormatInt(attempt.Timeout.Milliseconds(), 10))
	switch {
	case attempt.LastEvent != "":
		header.Set("After", attempt.LastEvent)
	case attempt.FromStart:
		header.Del("After")
	}
}

func (testProtocol) Classify(response *http.Response, callID string) dispatch.ResponseClass {
	switch {
	case response.Header.Get("Untouched") != "":
		return dispatch.Refused
	case response.StatusCode == http.StatusMisdirectedRequest:
		return dispatch.Misdirected
	case response.Header.Get("Call") != callID || response.Header.Get("Seal") == "":
		return dispatch.Invalid
	}
	return dispatch.Answered
}

// testEngine serves calls with a script that controls the connection.
type testEngine struct {
	id            string
	specification dispatch.EngineSpecification
	runs          atomic.Int64
	listener      net.Listener

	mutex       sync.Mutex
	connections []net.Conn
}

// stop resets the engine's connections and closes its port.
func (e *testEngine) stop() {
	_ = e.listener.Close()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, connection := range e.connections {
		(&engineCall{connection: connection}).reset()
	}
}

type engineCall struct {
	connection net.Conn
	reader     *bufio.Reader
	request    *http.Request
	id         string
	body       string
	number     int64
}

func (c *engineCall) write(format string, args ...any) {
	_, _ = fmt.Fprintf(c.connection, format, args...)
}

// reply sends a complete response.
func (c *engineCall) reply(status int, body string) {
	c.write("HTTP/1.1 %d X\r\nCall: %s\r\nSeal: s\r\nContent-Length: %d\r\n\r\n%s", status, c.id, len(body), body)
}

func (c *engineCall) beginStream() {
	c.write("HTTP/1.1 200 OK\r\nCall: %s\r\nSeal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", c.id)
}

func (c *engineCall) chunk(text string) { c.write("%x\r\n%s\r\n", len(text), text) }

func (c *engineCall) event(id int) { c.chunk(fmt.Sprintf("id: %d\ndata: e%d\n\n", id, id)) }

func (c *engineCall) endStream() { c.write("0\r\n\r\n") }

// reset closes the connection with a TCP reset.
func (c *engineCall) reset() {
	_ = c.connection.(*net.TCPConn).SetLinger(0)
	_ = c.connection.Close()
}

// awaitClose waits until the gateway closes the connection.
func (c *engineCall) awaitClose() {
	_, _ = c.reader.ReadByte()
}

// testCluster is a gateway with engines and optionally a replica.
type testCluster struct {
	t           *testing.T
	node        *Node
	frontServer *httptest.Server
	replica     *transport.Transport
	network     *transport.Transport
	revision    int64
	mutex       sync.Mutex
	engines     map[string]*testEngine
	logs        *strings.Builder
}

type lockedWriter struct {
	mutex *sync.Mutex
	text  *strings.Builder
}

func (w lockedWriter) Write(line []byte) (int, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.text.Write(line)
}

func (c *testCluster) logText() string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.logs.String()
}

func newTestCluster(t *testing.T) *testCluster {
	t.Helper()
	cluster := newUnconfiguredCluster(t)
	cluster.configure(1, func(*routing.Specification) {})
	return cluster
}

// newUnconfiguredCluster returns a cluster whose gateway has no routes yet.
func newUnconfiguredCluster(t *testing.T) *testCluster {
	t.Helper()
	cluster := &testCluster{t: t, engines: make(map[string]*testEngine), logs: &strings.Builder{}}
	logger := events.NewLogger(lockedWriter{&cluster.mutex, cluster.logs}, 4, "gateway")
	cluster.network = transport.New(transport.Options{Cluster: "test", NodeID: "gateway", Logger: events.Discard()})
	t.Cleanup(cluster.network.Close)
	cluster.node = NewNode(NodeOptions{
		Zone: "a", CallerProtocol: testProtocol{}, Protocol: testProtocol{}, Dial: upstream.Dialer(time.Second, time.Second),
		CacheBytes: 1 << 20, Seeds: func() []string { return nil }, Network: cluster.network, Logger: logger,
	})
	cluster.frontServer = httptest.NewUnstartedServer(nil)
	cluster.frontServer.Config = cluster.node.NewHTTPServer()
	cluster.frontServer.Start()
	t.Cleanup(cluster.frontServer.Close)
	return cluster
}

func (c *testCluster) configure(version int64, change func(*routing.Specification)) {
	c.t.Helper()
	service := []routing.TargetSpecification{{Service: "models", Weight: 1}}
	specification := routing.Specification{
		Version:  version,
		Services: []routing.ServiceSpecification{{Name: "models", MaxConnections: 400, TokensPerEvent: 9}},
		Limits:   routing.LimitSpecification{HeaderBytes: 4000, BodyBytes: 1000},
		Routes: []routing.RouteSpecification{
			{Name: "safe", Host: "h", Prefix: "/safe/", Kind: routing.Safe, TimeoutMillis: 2000, ObjectiveMillis: 400, Attempts: 2, Targets: service},
			{Name: "unsafe", Host: "h", Prefix: "/unsafe/", Kind: routing.Unsafe, TimeoutMillis: 2000, Attempts: 1, Targets: service},
			{Name: "brief", Host: "h", Prefix: "/brief/", Kind: routing.Unsafe, TimeoutMillis: 200, Attempts: 1, Targets: service},
			{Name: "stream", Host: "h", Prefix: "/stream/", Kind: routing.Stream, TimeoutMillis: 4000, Attempts: 1, Targets: service},
			{Name: "resume", Host: "h", Prefix: "/resume/", Kind: routing.Stream, TimeoutMillis: 4000, Attempts: 1, Resumable: true, Targets: service},
			{Name: "kept", Host: "h", Prefix: "/kept/", Kind: routing.Stream, TimeoutMillis: 2000, Attempts: 1, StoreTurns: true, RetentionSeconds: 60, Targets: service},
		},
	}
	change(&specification)
	c.apply(catalog.ConfigurationKind, "current", specification)
}

func (c *testCluster) apply(kind, name string, value any) {
	c.t.Helper()
	encoded, err := json.Marshal(value)
	assert.NilError(c.t, err)
	c.revision++
	c.node.apply(catalog.Entry{Key: catalog.Key(kind, name), Revision: c.revision, Value: encoded})
}

// engine starts an engine of the service "models".
func (c *testCluster) engine(id string, script func(call *engineCall)) *testEngine {
	c.t.Helper()
	return c.engineOf(id, "", script)
}

// engineOf starts an engine with a version of its software.
func (c *testCluster) engineOf(id, software string, script func(call *engineCall)) *testEngine {
	c.t.Helper()
	// Nobody else gets the address of an engine that was stopped.
	address, err := loopback.FreeAddress()
	assert.NilError(c.t, err)
	listener, err := net.Listen("tcp", address)
	assert.NilError(c.t, err)
	c.t.Cleanup(func() { _ = listener.Close() })
	started := &testEngine{id: id, listener: listener}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go started.serve(connection, script)
		}
	}()
	started.specification = dispatch.EngineSpecification{ID: id, Service: "models", Address: listener.Addr().String(), Zone: "a", Software: software, Slots: 8}
	c.apply(catalog.EngineKind, id, started.specification)
	c.engines[id] = started
	return started
}

func (e *testEngine) serve(connection net.Conn, script func(call *engineCall)) {
	defer connection.Close()
	e.mutex.Lock()
	e.connections = append(e.connections, connection)
	e.mutex.Unlock()
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		script(&engineCall{
			connection: connection, reader: reader, request: request, id: request.Header.Get("Call"), body: string(body), number: e.runs.Add(1),
		})
	}
}

// crashingEngine starts an engine that serves one call: it sends one event, resets the connection
// and stops listening.
func (c *testCluster) crashingEngine() {
	c.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(c.t, err)
	go func() {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		_ = listener.Close()
		request, err := http.ReadRequest(bufio.NewReader(connection))
		if err != nil {
			return
		}
		call := &engineCall{connection: connection, id: request.Header.Get("Call")}
		call.beginStream()
		call.event(1)
		call.reset()
	}()
	c.apply(catalog.EngineKind, "dies", dispatch.EngineSpecification{ID: "dies", Service: "models", Address: listener.Addr().String(), Zone: "a", Slots: 8})
}

// withReplica starts a replica that is the whole replica set.
func (c *testCluster) withReplica() { c.withLateReplica()() }

// withLateReplica is like withReplica, but the replica serves only once start is called.
func (c *testCluster) withLateReplica() (start func()) {
	c.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(c.t, err)
	member := turnstore.Member{Name: "replica", Address: listener.Addr().String(), Zone: "a"}
	c.replica = transport.New(transport.Options{Cluster: "test", NodeID: "replica", Address: member.Address, Logger: events.Discard()})
	replica, err := turnstore.NewReplica(turnstore.ReplicaOptions{
		Self: member, Folder: memoryFolder(c.t), FirstStart: true, Copies: 1, IsRetiring: func(string) bool { return false },
	}, c.replica, events.Discard())
	assert.NilError(c.t, err)
	set := turnstore.ReplicaSet{Epoch: 1, Members: []turnstore.Member{member}, Copies: 1, Size: 1}
	replica.ApplySet(set)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		replica.Run(ctx)
	}()
	c.t.Cleanup(func() {
		stop()
		c.replica.Close()
		<-done
	})
	c.apply(catalog.ReplicaSetKind, "current", set)
	return func() { go func() { _ = c.replica.Serve(listener) }() }
}

// reply is the response that a caller got.
type reply struct {
	status int
	header http.Header
	body   string
	// err is the error of the request or of reading its body.
	err error
}

func (c *testCluster) send(path, id, body string, headers ...string) reply {
	c.t.Helper()
	response, err := c.startRequest(context.Background(), path, id, body, headers...)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	read, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(read), err: err}
}

func (c *testCluster) startRequest(ctx context.Context, path, id, body string, headers ...string) (*http.Response, error) {
	c.t.Helper()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.frontServer.URL+path, strings.NewReader(body))
	assert.NilError(c.t, err)
	request.Host = "h"
	request.Header.Set("Call", id)
	for index := 0; index+1 < len(headers); index += 2 {
		request.Header.Set(headers[index], headers[index+1])
	}
	return http.DefaultTransport.RoundTrip(request)
}

func eventually(t *testing.T, what string, check func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if check() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))
}

// memoryRoot is a file system in memory on Linux.
const memoryRoot = "/dev/shm"

// memoryFolder returns a temporary folder, in memory if possible, so that replicas don't wait for a
// busy disk.
func memoryFolder(t *testing.T) string {
	t.Helper()
	folder, err := os.MkdirTemp(memoryRoot, "mountstile-test-")
	if err != nil {
		return t.TempDir()
	}
	t.Cleanup(func() { _ = os.RemoveAll(folder) })
	return folder
}
