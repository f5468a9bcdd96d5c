package ingress

import (
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/catalog"
	"github.com/mountstile/mountstile/internal/dispatch"
	"github.com/mountstile/mountstile/internal/turnstore"
)

// A stream whose origin nobody recorded may have been begun by any version. It goes on only if there was just one since it can have begun.
func TestStreamOfUnknownOrigin(t *testing.T) {
	t.Parallel()
	for _, headers := range [][]string{
		{"After", "2"}, {"After", "2", "Resumes", "unknown"}, {"After", "2", "Resumes", "unknown", "Program", "p", "Budget", "1000", "Most", "36"},
	} {
		cluster := newTestCluster(t)
		cluster.withReplica()
		cluster.inSyncFor(2 * minOriginHorizon)
		cluster.engineOf("old", "v1", versionedStream("v1"))
		rest := cluster.send("/resume/", "c1", "in", headers...)
		assert.Equal(t, rest.status, http.StatusOK, rest.body)
		assert.DeepEqual(t, versionsIn(rest.body), []string{"v1"})
		cluster.engines["old"].runs.Store(0)
		cluster.engineOf("new", "v2", versionedStream("v2"))
		startedAt := time.Now()
		assertRefusedAtOnce(t, cluster, cluster.send("/resume/", "c2", "in", headers...), startedAt)
	}
}

// restartedGateway is a gateway that has just started: it knows the replicas and the engines that serve now, but none that left.
func (c *testCluster) restartedGateway() *testCluster {
	c.t.Helper()
	other := newTestCluster(c.t)
	other.apply(catalog.ReplicaSetKind, "current", c.node.turns.ReplicaSet())
	return other
}

// inSyncFor makes the gateway know all engines that existed for some time; 0 if it is not in sync.
func (c *testCluster) inSyncFor(duration time.Duration) {
	since := time.Now().Add(-duration)
	if duration == 0 {
		since = time.Time{}
	}
	c.node.server.options.CatalogInSyncSince = func() time.Time { return since }
	c.node.server.options.CatalogAge = func() time.Duration { return 0 }
}

// A gateway that has just started can't read the origin of a stream, and knows only the engines of a newer version.
func TestStreamIsNotJoinedAfterARestartWithoutReplicas(t *testing.T) {
	t.Parallel()
	for name, headers := range map[string][]string{"without a budget": nil, "with a budget": programHeaders} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cluster := newTestCluster(t)
			start := cluster.withLateReplica()
			other := cluster.restartedGateway()
			other.engineOf("new", "v2", versionedStream("v2"))
			got := other.send("/resume/", "second", "in", append(headers, "After", "2", "Resumes", "first")...)
			assert.Equal(t, got.status, http.StatusServiceUnavailable, got.body)
			assert.Assert(t, got.header.Get("Retry-After") != "")
			assert.Equal(t, other.engines["new"].runs.Load(), int64(0))
			start()
			if headers == nil {
				// It may have begun without a record.
				eventually(t, "the replicas answer", func() bool { return other.send("/kept/", "new", "in").status == http.StatusOK })
				got = other.send("/resume/", "third", "in", "After", "2", "Resumes", "first")
				assert.Equal(t, got.status, http.StatusServiceUnavailable, got.body)
				other.inSyncFor(2 * minOriginHorizon)
			}
			eventually(t, "a stream that nobody recorded goes on once the replicas say so", func() bool {
				return other.send("/resume/", "fourth", "in", append(headers, "After", "2", "Resumes", "first")...).status == http.StatusOK
			})
		})
	}
}

// A gateway that has just started gets a stream before it knows any engine, and then learns of engines of a newer version.
func TestStreamIsNotJoinedBeforeEnginesAreKnown(t *testing.T) {
	t.Parallel()
	for name, headers := range map[string][]string{"without a budget": nil, "with a budget": programHeaders} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cluster := newTestCluster(t)
			cluster.withReplica()
			cluster.engineOf("old", "v1", pausingStream("v1"))
			cluster.readTwoEvents("/resume/", "first", headers...)
			other := cluster.restartedGateway()
			replies := make(chan reply, 1)
			go func() {
				replies <- other.send("/resume/", "second", "in", append(headers, "After", "2", "Resumes", "first")...)
			}()
			eventually(t, "the request has arrived", func() bool { return other.node.server.Active() > 0 || len(replies) > 0 })
			other.engineOf("new", "v2", versionedStream("v2"))
			got := <-replies
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusServiceUnavailable, got.body)
			assert.Equal(t, other.engines["new"].runs.Load(), int64(0))
		})
	}
}

// A stream that begins at a gateway before that knows any engine can be resumed only at the version that began it.
func TestOriginIsRecordedThoughNoEngineWasKnown(t *testing.T) {
	t.Parallel()
	for name, headers := range map[string][]string{"without a budget": nil, "with a budget": programHeaders} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cluster := newTestCluster(t)
			cluster.withReplica()
			begun := make(chan string, 1)
			go func() { begun <- cluster.readTwoEvents("/resume/", "first", headers...) }()
			eventually(t, "the request has arrived", func() bool { return cluster.node.server.Active() > 0 })
			cluster.engineOf("old", "v1", pausingStream("v1"))
			assert.DeepEqual(t, versionsIn(<-begun), []string{"v1"})
			other := cluster.restartedGateway()
			other.engineOf("new", "v2", versionedStream("v2"))
			got := other.send("/resume/", "second", "in", append(headers, "After", "2", "Resumes", "first")...)
			assert.Equal(t, got.status, http.StatusServiceUnavailable, got.body)
			assert.Equal(t, other.engines["new"].runs.Load(), int64(0))
		})
	}
}

// A stream of engines that state no version is not taken up by those of a version that replaced them all.
func TestStreamWithoutVersionIsNotJoinedWithAVersion(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t)
	cluster.withReplica()
	cluster.engineOf("plain", "", pausingStream("plain"))
	cluster.readTwoEvents("/resume/", "first", programHeaders...)
	other := cluster.restartedGateway()
	other.engineOf("new", "v2", versionedStream("v2"))
	got := other.send("/resume/", "second", "in", append(programHeaders, "After", "2", "Resumes", "first")...)
	assert.Equal(t, got.status, http.StatusServiceUnavailable, got.body)
	assert.Equal(t, other.engines["new"].runs.Load(), int64(0))
	other.engineOf("plain", "", versionedStream("plain"))
	got = other.send("/resume/", "third", "in", append(programHeaders, "After", "2", "Resumes", "first")...)
	assert.Equal(t, got.status, http.StatusOK, got.body)
	assert.DeepEqual(t, versionsIn(got.body), []string{"plain"})
}

// An engine that restarted under its ID with other software has replaced a version that this gateway knew.
func TestUnrecordedStreamIsNotJoinedAfterItsEngineWasReplaced(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t)
	cluster.withReplica()
	engine := cluster.engineOf("engine", "v1", versionedStream("v2"))
	engine.specification.Software = "v2"
	cluster.apply(catalog.EngineKind, "engine", engine.specification)
	got := cluster.send("/resume/", "second", "in", "After", "2", "Resumes", "first")
	assert.Equal(t, got.status, http.StatusServiceUnavailable, got.body)
	assert.Equal(t, engine.runs.Load(), int64(0))
}

// While no replica can be reached, streams go on at a gateway that has seen all engines since they can have begun, as long as
// these were of one version.
func TestStreamGoesOnWithoutReplicasAtAGatewayThatSawItsVersion(t *testing.T) {
	t.Parallel()
	for name, row := range map[string]struct {
		inSyncFor time.Duration
		replaced  bool
		unknown   bool
		status    int
	}{
		"one version":                 {inSyncFor: 2 * minOriginHorizon, status: http.StatusOK},
		"another version has left":    {inSyncFor: 2 * minOriginHorizon, replaced: true, status: http.StatusServiceUnavailable},
		"an unknown engine has left":  {inSyncFor: 2 * minOriginHorizon, unknown: true, status: http.StatusServiceUnavailable},
		"started later than a stream": {inSyncFor: minOriginHorizon - 5*time.Second, status: http.StatusServiceUnavailable},
		"not in sync":                 {status: http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cluster := newTestCluster(t)
			_ = cluster.withLateReplica()
			cluster.inSyncFor(row.inSyncFor)
			engine := cluster.engineOf("engine", "v1", versionedStream("v2"))
			if row.replaced {
				engine.specification.Software = "v2"
				cluster.apply(catalog.EngineKind, "engine", engine.specification)
			}
			if row.unknown {
				cluster.revision++
				cluster.node.apply(catalog.Entry{Key: catalog.Key(catalog.EngineKind, "unknown"), Revision: cluster.revision})
			}
			got := cluster.send("/resume/", "second", "in", "After", "2", "Resumes", "first")
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, row.status, got.body)
			assert.Equal(t, engine.runs.Load() > 0, row.status == http.StatusOK)
		})
	}
}

// Two attempts under one ID recorded two versions for the stream: neither is known to have begun it.
func TestStreamWithContradictingRecordsIsNotJoined(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t)
	cluster.withReplica()
	for _, software := range []string{"v1", "v2"} {
		gateway := cluster.restartedGateway()
		gateway.engineOf(software, software, pausingStream(software))
		gateway.readTwoEvents("/resume/", "first", programHeaders...)
	}
	other := cluster.restartedGateway()
	other.engineOf("new", "v2", versionedStream("v2"))
	got := other.send("/resume/", "second", "in", append(programHeaders, "After", "2", "Resumes", "first")...)
	assert.Equal(t, got.status, http.StatusServiceUnavailable, got.body)
	assert.Equal(t, other.engines["new"].runs.Load(), int64(0))
}

// Guards against a gateway out of step, which has not heard of engines that joined shortly before the stream began there without a record.
func TestStreamIsNotJoinedByAGatewayOutOfStep(t *testing.T) {
	t.Parallel()
	for _, row := range []struct {
		replicaAnswers bool
		age            time.Duration
	}{{true, 0}, {true, time.Second}, {false, 0}, {false, time.Second}} {
		cluster := newTestCluster(t)
		if row.replicaAnswers {
			cluster.withReplica()
		} else {
			_ = cluster.withLateReplica()
		}
		cluster.engineOf("old", "v1", versionedStream("v1"))
		cluster.inSyncFor(2 * minOriginHorizon)
		askedAt := time.Now()
		cluster.node.server.options.CatalogAge = func() time.Duration {
			if time.Since(askedAt) > syncTimeout/4 {
				cluster.apply(catalog.EngineKind, "new", dispatch.EngineSpecification{ID: "new", Service: "models", Address: "127.0.0.1:1", Zone: "a", Software: "v2", Slots: 4})
				return row.age
			}
			return time.Second
		}
		got := cluster.send("/resume/", "second", "in", "After", "2", "Resumes", "first")
		assert.Equal(t, got.status, http.StatusServiceUnavailable, got.body)
		assert.Equal(t, cluster.engines["old"].runs.Load(), int64(0))
	}
}

// Guards against a stream whose record was never written, which a gateway that has just started joins with the only version it knows.
func TestUnrecordedStreamIsNotJoinedAfterARestart(t *testing.T) {
	first := newTestCluster(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	absent := turnstore.Member{Name: "replica", Address: listener.Addr().String(), Zone: "a"}
	assert.NilError(t, listener.Close())
	first.apply(catalog.ReplicaSetKind, "current", turnstore.ReplicaSet{Epoch: 1, Members: []turnstore.Member{absent}, Copies: 1, Size: 1})
	first.engineOf("old", "v1", pausingStream("v1"))
	begun := first.readTwoEvents("/resume/", "first")
	first.frontServer.CloseClientConnections()
	assert.DeepEqual(t, versionsIn(begun), []string{"v1"})

	restarted := newTestCluster(t)
	restarted.withReplica()
	restarted.engineOf("new", "v2", versionedStream("v2"))
	got := restarted.send("/resume/", "second", "in", "After", "2", "Resumes", "first")
	assert.Assert(t, got.status != http.StatusOK, "the stream went on at %q", versionsIn(got.body))
}
