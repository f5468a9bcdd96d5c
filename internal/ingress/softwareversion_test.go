package ingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/catalog"
	"github.com/mountstile/mountstile/internal/dispatch"
	"github.com/mountstile/mountstile/internal/routing"
)

// versionedStream sends the events after the caller's last one; their data names the version of the engine's software.
func versionedStream(software string) func(call *engineCall) {
	return func(call *engineCall) {
		call.beginStream()
		for id := call.nextEvent(); id <= 4; id++ {
			call.versionedEvent(software, id)
		}
		call.endStream()
	}
}

// pausingStream is like versionedStream, but a stream from the start stops after two events until its caller is gone.
func pausingStream(software string) func(call *engineCall) {
	return func(call *engineCall) {
		if call.nextEvent() > 1 {
			versionedStream(software)(call)
			return
		}
		call.beginStream()
		call.versionedEvent(software, 1)
		call.versionedEvent(software, 2)
		call.awaitClose()
	}
}

// nextEvent returns the number of the event after the caller's last one.
func (c *engineCall) nextEvent() int {
	last := 0
	_, _ = fmt.Sscan(c.request.Header.Get("After"), &last)
	return last + 1
}

func (c *engineCall) versionedEvent(software string, id int) {
	c.chunk(fmt.Sprintf("id: %d\ndata: %s\n\n", id, software))
}

// versionsIn returns the versions that wrote the events of a body, without duplicates.
func versionsIn(body string) []string {
	var versions []string
	for _, match := range regexp.MustCompile(`data: (\S+)`).FindAllStringSubmatch(body, -1) {
		if !slices.Contains(versions, match[1]) {
			versions = append(versions, match[1])
		}
	}
	return versions
}

// crashingEngineOf starts an engine that serves one call: it sends two events and, once crash is closed, stops listening
// and resets the connection.
func (c *testCluster) crashingEngineOf(id, software string, crash <-chan struct{}) {
	c.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(c.t, err)
	go func() {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		request, err := http.ReadRequest(bufio.NewReader(connection))
		if err != nil {
			return
		}
		call := &engineCall{connection: connection, id: request.Header.Get("Call")}
		call.beginStream()
		call.versionedEvent(software, 1)
		call.versionedEvent(software, 2)
		<-crash
		_ = listener.Close()
		call.reset()
	}()
	c.apply(catalog.EngineKind, id, dispatch.EngineSpecification{ID: id, Service: "models", Address: listener.Addr().String(), Zone: "a", Software: software, Slots: 8})
}

// After the crash of its engine, a stream goes on at an engine of the same software version.
func TestStreamKeepsSoftwareVersionAfterItsEngineCrashed(t *testing.T) {
	t.Parallel()
	for round := range 6 {
		cluster := newTestCluster(t)
		crash := make(chan struct{})
		cluster.crashingEngineOf("crashing", "v1", crash)
		id := fmt.Sprint("c", round)
		response, err := cluster.startRequest(context.Background(), "/resume/", id, "")
		assert.NilError(t, err)
		for index := range 3 {
			cluster.engineOf(fmt.Sprint("new", index), "v2", versionedStream("v2"))
		}
		cluster.engineOf("old", "v1", versionedStream("v1"))
		close(crash)
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		assert.NilError(t, err)
		assert.Equal(t, strings.Count(string(body), "id: "), 4, "%q", body)
		assert.DeepEqual(t, versionsIn(string(body)), []string{"v1"})
	}
}

// secondGateway returns another gateway that knows the same engines and replicas.
func (c *testCluster) secondGateway() *testCluster {
	c.t.Helper()
	other := newTestCluster(c.t)
	for _, engine := range c.engines {
		other.apply(catalog.EngineKind, engine.id, engine.specification)
	}
	other.apply(catalog.ReplicaSetKind, "current", c.node.turns.ReplicaSet())
	return other
}

// readTwoEvents begins a stream, reads two events and disconnects.
func (c *testCluster) readTwoEvents(path, id string, headers ...string) string {
	c.t.Helper()
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	response, err := c.startRequest(ctx, path, id, "in", headers...)
	assert.NilError(c.t, err)
	defer response.Body.Close()
	assert.Equal(c.t, response.StatusCode, http.StatusOK)
	body := make([]byte, len("id: 1\ndata: v1\n\nid: 2\ndata: v1\n\n"))
	_, err = io.ReadFull(response.Body, body)
	assert.NilError(c.t, err)
	return string(body)
}

// A caller that takes its stream up at another gateway gets the rest from the software version that began it, with and
// without a budget, also in a chain of attempts.
func TestStreamKeepsSoftwareVersionAtAnotherGateway(t *testing.T) {
	t.Parallel()
	cluster := versionedCluster(t)
	other := cluster.secondGateway()
	began := make(map[string]int)
	for number := range 24 {
		first, second := fmt.Sprint("first", number), fmt.Sprint("second", number)
		var headers []string
		if number%2 == 0 {
			headers = []string{"Program", fmt.Sprint("p", number), "Budget", "1000", "Most", "36"}
		}
		begun := cluster.readTwoEvents("/resume/", first, headers...)
		rest := other.send("/resume/", second, "in", append(headers, "After", "2", "Resumes", first)...)
		assert.NilError(t, rest.err)
		assert.Equal(t, rest.status, http.StatusOK, rest.body)
		assert.Equal(t, strings.Count(rest.body, "id: "), 2, rest.body)
		assert.DeepEqual(t, versionsIn(rest.body), versionsIn(begun))
		began[versionsIn(begun)[0]]++
	}
	assert.Assert(t, len(began) == 2, "only one version began streams: %v", began)
}

// interruptions are what an engine does to a stream after two events, and to the attempts to resume it. Those that prove that
// the engine does not run the call any more let the stream go on at another engine.
var interruptions = map[string]struct {
	resumed func(call *engineCall)
	goesOn  bool
}{
	"misdirected":      {resumed: func(call *engineCall) { call.reply(http.StatusMisdirectedRequest, "") }, goesOn: true},
	"full":             {resumed: func(call *engineCall) { call.writeHead("HTTP/1.1", 503, "Untouched: 1", "Content-Length: 0") }},
	"fails":            {resumed: func(call *engineCall) { call.reply(http.StatusInternalServerError, "out of memory\n") }},
	"breaks off again": {resumed: (*engineCall).reset},
	"recovers":         {resumed: versionedStream("v1"), goesOn: true},
}

// Whatever an engine does after the first events of a stream, engines of another software version never continue it.
func TestInterruptedStreamKeepsItsSoftwareVersion(t *testing.T) {
	t.Parallel()
	for name, interruption := range interruptions {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cluster := newTestCluster(t)
			proceed := make(chan struct{})
			cluster.engineOf("first", "v1", func(call *engineCall) {
				if call.nextEvent() > 1 {
					interruption.resumed(call)
					return
				}
				call.beginStream()
				call.versionedEvent("v1", 1)
				call.versionedEvent("v1", 2)
				<-proceed
				call.reset()
			})
			response, err := cluster.startRequest(context.Background(), "/resume/", "c1", "")
			assert.NilError(t, err)
			defer response.Body.Close()
			for index := range 3 {
				cluster.engineOf(fmt.Sprint("new", index), "v2", versionedStream("v2"))
			}
			cluster.engineOf("old", "v1", versionedStream("v1"))
			close(proceed)
			body, err := io.ReadAll(response.Body)
			assert.DeepEqual(t, versionsIn(string(body)), []string{"v1"})
			assert.Equal(t, err == nil, interruption.goesOn, "%q %v", body, err)
			if interruption.goesOn {
				assert.Equal(t, strings.Count(string(body), "id: "), 4, "%q", body)
			}
		})
	}
}

// A stream belongs to the version that sent its first event, not to that of the engine that was tried first.
func TestStreamBelongsToTheVersionOfItsFirstEvent(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t)
	cluster.withReplica()
	tried, refuse, crash := make(chan struct{}, 1), make(chan struct{}), make(chan struct{})
	refusing := cluster.engineOf("refusing", "v1", func(call *engineCall) {
		tried <- struct{}{}
		<-refuse
		call.writeHead("HTTP/1.1", 503, "Untouched: 1", "Content-Length: 0")
	})
	responses := make(chan *http.Response, 1)
	go func() {
		response, err := cluster.startRequest(context.Background(), "/resume/", "c1", "")
		assert.Check(t, err)
		responses <- response
	}()
	<-tried
	cluster.crashingEngineOf("crashing", "v2", crash)
	close(refuse)
	response := <-responses
	defer response.Body.Close()
	for index := range 3 {
		cluster.engineOf(fmt.Sprint("old", index), "v1", versionedStream("v1"))
	}
	cluster.engineOf("new", "v2", versionedStream("v2"))
	close(crash)
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, refusing.runs.Load(), int64(1))
	assert.Equal(t, strings.Count(string(body), "id: "), 4, "%q", body)
	assert.DeepEqual(t, versionsIn(string(body)), []string{"v2"})
}

// versionedCluster is a gateway with a replica and two engines each of versions v1 and v2, whose new streams pause after two
// events.
func versionedCluster(t *testing.T) *testCluster {
	t.Helper()
	cluster := newTestCluster(t)
	cluster.withReplica()
	for _, software := range []string{"v1", "v2"} {
		for index := range 2 {
			cluster.engineOf(fmt.Sprint(software, "-", index), software, pausingStream(software))
		}
	}
	return cluster
}

// A chain of attempts at other gateways names the first attempt each time; the gateway of that one is gone.
func TestChainOfAttemptsKeepsSoftwareVersion(t *testing.T) {
	t.Parallel()
	first := versionedCluster(t)
	second, third := first.secondGateway(), first.secondGateway()
	for number := range 8 {
		id, program := fmt.Sprint("first", number), fmt.Sprint("p", number)
		begun := first.readTwoEvents("/resume/", id, "Program", program, "Budget", "1000", "Most", "36")
		for name, gateway := range map[string]*testCluster{"second": second, "third": third} {
			rest := gateway.send("/resume/", fmt.Sprint(name, number), "in", "Program", program, "Budget", "1000", "Most", "36", "After", "3", "Resumes", id)
			assert.Equal(t, rest.status, http.StatusOK, rest.body)
			assert.DeepEqual(t, versionsIn(rest.body), versionsIn(begun))
		}
	}
	first.frontServer.Close()
	first.network.Close()
	rest := third.send("/resume/", "late", "in", "Program", "p0", "Budget", "1000", "Most", "36", "After", "3", "Resumes", "first0")
	assert.Equal(t, rest.status, http.StatusOK, rest.body)
}

// assertRefusedAtOnce checks that a resumption was refused as not run, and reached no engine.
func assertRefusedAtOnce(t *testing.T, cluster *testCluster, got reply, startedAt time.Time) {
	t.Helper()
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusServiceUnavailable, got.body)
	assert.Assert(t, time.Since(startedAt) < 300*time.Millisecond, "refused after %s", time.Since(startedAt))
	for _, engine := range cluster.engines {
		assert.Equal(t, engine.runs.Load(), int64(0), engine.id)
	}
}

// Once the last engine of a version is gone, a resumption of its streams is refused at once, and takes no tokens.
func TestStreamOfAVersionThatIsGone(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t)
	cluster.withReplica()
	cluster.engineOf("old", "v1", pausingStream("v1"))
	budget := []string{"Program", "p", "Budget", "80", "Most", "36"}
	begun := cluster.readTwoEvents("/resume/", "first", budget...)
	assert.DeepEqual(t, versionsIn(begun), []string{"v1"})
	eventually(t, "the stream ends", func() bool { return cluster.node.server.Active() == 0 })
	other := newTestCluster(t)
	other.apply(catalog.ReplicaSetKind, "current", cluster.node.turns.ReplicaSet())
	other.engineOf("new", "v2", versionedStream("v2"))
	for number := range 4 {
		eventually(t, "the attempts before have returned their tokens", func() bool {
			startedAt := time.Now()
			got := other.send("/resume/", fmt.Sprint("again", number), "in", append([]string{"After", "2", "Resumes", "first"}, budget...)...)
			if got.status == http.StatusPaymentRequired {
				return false
			}
			assertRefusedAtOnce(t, other, got, startedAt)
			return true
		})
	}
	eventually(t, "the refused attempts have taken no tokens", func() bool {
		return other.send("/resume/", "anew", "in", budget...).status == http.StatusOK
	})
}

// Until it is recorded which version began a stream, its caller gets no event of it.
func TestFirstEventWaitsForItsRecord(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t)
	start := cluster.withLateReplica()
	ran := make(chan struct{}, 1)
	cluster.engineOf("e", "v1", func(call *engineCall) {
		ran <- struct{}{}
		versionedStream("v1")(call)
	})
	replies := make(chan reply, 1)
	go func() { replies <- cluster.send("/resume/", "c1", "in") }()
	<-ran
	assertPending(t, replies, "the caller got events before the origin was recorded")
	start()
	got := <-replies
	assert.NilError(t, got.err)
	assert.DeepEqual(t, versionsIn(got.body), []string{"v1"})
}

// Without replicas streams without a budget begin all the same; their origin is counted as not recorded.
func TestStreamBeginsWithoutReplicas(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t)
	_ = cluster.withLateReplica()
	cluster.engineOf("e", "v1", versionedStream("v1"))
	got := cluster.send("/resume/", "c1", "in")
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK)
	assert.DeepEqual(t, versionsIn(got.body), []string{"v1"})
	assert.Assert(t, strings.Contains(cluster.logText(), "origin_error"))
}

// Two services may have equal version texts: a later attempt on a route that is split between them stays at the service that
// began the stream.
func TestResumedStreamStaysAtItsService(t *testing.T) {
	t.Parallel()
	split := func(cluster *testCluster) {
		cluster.configure(2, func(specification *routing.Specification) {
			specification.Services = append(specification.Services, routing.ServiceSpecification{Name: "others", MaxConnections: 400})
			for index := range specification.Routes {
				specification.Routes[index].Targets = []routing.TargetSpecification{{Service: "models", Weight: 1}, {Service: "others", Weight: 1}}
			}
		})
	}
	for _, software := range []string{"v1", ""} {
		cluster := newTestCluster(t)
		cluster.withReplica()
		split(cluster)
		cluster.engineOf("one", software, pausingStream("s1"))
		other := cluster.engineOf("two", software, pausingStream("s2"))
		other.specification.Service = "others"
		cluster.apply(catalog.EngineKind, "two", other.specification)
		gateway := cluster.secondGateway()
		split(gateway)
		for number := range 12 {
			first := fmt.Sprint("first", number)
			begun := cluster.readTwoEvents("/resume/", first)
			rest := gateway.send("/resume/", fmt.Sprint("second", number), "in", "After", "2", "Resumes", first)
			assert.Equal(t, rest.status, http.StatusOK, rest.body)
			assert.DeepEqual(t, versionsIn(rest.body), versionsIn(begun))
		}
	}
}

// A turn that is asked for again from its start, because it is stored whole, comes from the version that began it.
func TestStoredTurnIsResumedAtItsSoftwareVersion(t *testing.T) {
	t.Parallel()
	resumable := func(cluster *testCluster) {
		cluster.configure(2, func(specification *routing.Specification) {
			for index := range specification.Routes {
				specification.Routes[index].Resumable = specification.Routes[index].Resumable || specification.Routes[index].Name == "kept"
			}
		})
	}
	cluster := newTestCluster(t)
	cluster.withReplica()
	resumable(cluster)
	for _, software := range []string{"v1", "v2"} {
		for index := range 2 {
			cluster.engineOf(fmt.Sprint(software, "-", index), software, func(call *engineCall) {
				call.beginStream()
				for id := 1; id <= 4; id++ {
					call.versionedEvent(software, id)
					if id == 2 && strings.HasPrefix(call.id, "first") {
						call.awaitClose()
						return
					}
				}
				call.endStream()
			})
		}
	}
	other := cluster.secondGateway()
	resumable(other)
	for number := range 12 {
		first := fmt.Sprint("first", number)
		headers := []string{"Program", fmt.Sprint("p", number), "Budget", "1000", "Most", "36"}
		if number%3 == 0 {
			headers = nil
		}
		begun := cluster.readTwoEvents("/kept/", first, headers...)
		rest := other.send("/kept/", fmt.Sprint("second", number), "in", append(headers, "After", "2", "Resumes", first)...)
		assert.Equal(t, rest.status, http.StatusOK, rest.body)
		assert.Equal(t, strings.Count(rest.body, "id: "), 2, rest.body)
		assert.DeepEqual(t, versionsIn(rest.body), versionsIn(begun))
	}
}

// slottedEngine starts an engine that runs up to slots calls at once and refuses others. Streams from the start stop after two
// events while paused is set.
func (c *testCluster) slottedEngine(id, software string, slots int64, paused *atomic.Bool) *testEngine {
	var running atomic.Int64
	return c.engineOf(id, software, func(call *engineCall) {
		defer running.Add(-1)
		if running.Add(1) > slots {
			call.writeHead("HTTP/1.1", 503, "Untouched: 1", "Content-Length: 0")
			return
		}
		if call.nextEvent() == 1 && paused.Load() {
			pausingStream(software)(call)
			return
		}
		call.beginStream()
		for id := call.nextEvent(); id <= 4; id++ {
			call.versionedEvent(software, id)
			<-time.After(20 * time.Millisecond)
		}
		call.endStream()
	})
}

// When most engines of a version crash together with the gateway, the callers' streams go on at the few that are left, though
// these have no free slots at times and new streams come as well.
func TestStreamsGoOnAtTheFewEnginesOfTheirVersion(t *testing.T) {
	t.Parallel()
	const streams, slots = 48, 8
	cluster := newTestCluster(t)
	cluster.withReplica()
	var paused atomic.Bool
	paused.Store(true)
	for _, software := range []string{"v1", "v2"} {
		for index := range 6 {
			cluster.slottedEngine(fmt.Sprint(software, "-", index), software, slots, &paused)
		}
	}
	other := cluster.secondGateway()
	headersOf := func(number int) []string {
		if number%2 == 0 {
			return nil
		}
		return []string{"Program", fmt.Sprint("p", number), "Budget", "1000", "Most", "36"}
	}
	begun := make([]string, streams)
	for number := range streams {
		begun[number] = cluster.readTwoEvents("/resume/", fmt.Sprint("first", number), headersOf(number)...)
	}
	paused.Store(false)
	cluster.frontServer.CloseClientConnections()
	cluster.network.Close()
	for index := range 4 {
		cluster.engines[fmt.Sprint("v1-", index)].stop()
	}
	var callers sync.WaitGroup
	var begunAnew, wentOn atomic.Int64
	for number := range streams {
		callers.Go(func() {
			if got := other.send("/resume/", fmt.Sprint("new", number), "in"); got.status == http.StatusOK && got.err == nil {
				begunAnew.Add(1)
			}
		})
		callers.Go(func() {
			rest := other.send("/resume/", fmt.Sprint("second", number), "in", append(headersOf(number), "After", "2", "Resumes", fmt.Sprint("first", number))...)
			if rest.status != http.StatusOK || rest.err != nil {
				t.Logf("%d: %d %q %v", number, rest.status, rest.body, rest.err)
				return
			}
			wentOn.Add(1)
			assert.Check(t, slices.Equal(versionsIn(rest.body), versionsIn(begun[number])), "%q after %q", rest.body, begun[number])
		})
	}
	callers.Wait()
	assert.Assert(t, 2*wentOn.Load() >= begunAnew.Load(), "%d of %d streams went on, and %d new ones began", wentOn.Load(), streams, begunAnew.Load())
	t.Logf("%d of %d streams went on, and %d new ones began", wentOn.Load(), streams, begunAnew.Load())
}

// programHeaders are the headers of a turn with a budget.
var programHeaders = []string{"Program", "p", "Budget", "1000", "Most", "36"}
