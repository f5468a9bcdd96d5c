package catalog

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/clock"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/transport"
)

const costReplicas = 5

// costCluster is a set of gateways and replicas, whose messages are counted.
type costCluster struct {
	replicas, gateways []*testNode
}

// startCostCluster starts replicas and gateways. Each gateway knows some of the others as relays, and as neighbours.
func startCostCluster(t testing.TB, gateways, neighbours int) *costCluster {
	t.Helper()
	cluster := &costCluster{}
	for range costReplicas {
		cluster.replicas = append(cluster.replicas, startCostNode(t, true, nil, nil))
	}
	var addresses []string
	for range gateways {
		index := len(cluster.gateways)
		known := func() []transport.Peer {
			var others []transport.Peer
			for step := 1; step <= min(neighbours, gateways-1); step++ {
				others = append(others, transport.Peer{Address: addresses[(index+step*step)%gateways]})
			}
			return others
		}
		gateway := startCostNode(t, false, cluster.replicas[:3], known)
		cluster.gateways = append(cluster.gateways, gateway)
		addresses = append(addresses, gateway.address)
	}
	for _, gateway := range cluster.gateways {
		eventually(t, "the gateway is in sync", func() bool { return gateway.manager.Age() < time.Second })
	}
	return cluster
}

func startCostNode(t testing.TB, isReplica bool, follows []*testNode, neighbours func() []transport.Peer) *testNode {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	node := &testNode{address: listener.Addr().String(), source: &fakeSource{}, revisions: make(map[string]int64)}
	node.network = transport.New(transport.Options{Cluster: "test", NodeID: node.address, Address: node.address, Logger: events.Discard(), Relays: !isReplica})
	node.manager = NewManager(Options{
		Self: Endpoint{Address: node.address}, Source: node.source, StaleAfter: time.Second, OnChange: node.onChange,
		ReadsStore: func() bool { return isReplica }, MinFreshPeers: func() int { return len(follows) }, Neighbours: neighbours,
		Peers: func() []transport.Peer { return peersOf(follows) },
	}, node.network, events.Discard())
	ctx, stop := context.WithCancel(context.Background())
	node.stop = stop
	go func() { _ = node.network.Serve(listener) }()
	go node.manager.Run(ctx)
	t.Cleanup(func() {
		stop()
		node.network.Close()
	})
	return node
}

func peersOf(nodes []*testNode) []transport.Peer {
	var peers []transport.Peer
	for _, node := range nodes {
		peers = append(peers, transport.Peer{Address: node.address})
	}
	return peers
}

// settle makes replicas count as having run for long.
func (c *costCluster) settle() {
	for _, replica := range c.replicas {
		replica.manager.mutex.Lock()
		replica.manager.startedAt = time.Now().Add(-runTTL)
		replica.manager.mutex.Unlock()
	}
}

// sent returns the number of messages of a kind that all nodes have sent.
func (c *costCluster) sent(kind string) (messages int64) {
	for _, node := range slices.Concat(c.replicas, c.gateways) {
		messages += node.network.Traffic().ByKind()[kind].SentMessages
	}
	return messages
}

// awaitQuiet waits until no messages of a kind are sent any more.
func (c *costCluster) awaitQuiet(t testing.TB, kind string) {
	t.Helper()
	last, since := int64(-1), time.Now()
	eventually(t, "messages stop", func() bool {
		if sent := c.sent(kind); sent != last {
			last, since = sent, time.Now()
		}
		return time.Since(since) > publishTimeout
	})
}

// Runs are told to a replica that is down without the help of relays, as long as most replicas answer.
func TestDeadReplicaCostsNoRelayedMessages(t *testing.T) {
	const runs = 40
	cluster := startCostCluster(t, 12, 8)
	cluster.settle()
	gateway := cluster.gateways[0]
	refreshContext, stop := context.WithCancel(t.Context())
	defer stop()
	for _, other := range cluster.gateways[1:] {
		_, err := transport.Call[vouchResponse](t.Context(), other.network, peersOf(cluster.replicas)[0], vouchKind, vouchRequest{})
		assert.NilError(t, err)
	}
	go gateway.network.RefreshRelays(refreshContext, func() []transport.Peer { return peersOf(cluster.replicas[:1]) })
	eventually(t, "the gateway knows relays", func() bool { return gateway.network.Relays() >= 8 })

	replicas := peersOf(cluster.replicas)
	cluster.replicas[4].stop()
	cluster.replicas[4].network.Close()
	for run := range runs {
		known := gateway.manager.Exchange(t.Context(), replicas, Evidence{Content: fmt.Sprint("key ", run), Begun: "a"})
		assert.Assert(t, known.Heard)
	}
	cluster.awaitQuiet(t, "relay")
	assert.Equal(t, cluster.sent("relay"), int64(0))
}

// maxInterruptionMessages bounds the messages that an interrupted run costs all nodes together: of 4,800 requests a second one in a hundred is
// interrupted, and each of 420 nodes may spend 6 KB a second on messages of 250 bytes, each of which is sent and received.
const maxInterruptionMessages = 420 * 6000 / (48 * 250 * 2)

// interrupt tells of a run that is interrupted, and turns out to have left its engine alive.
func (c *costCluster) interrupt(t testing.TB, gateway *testNode, content string) {
	t.Helper()
	replicas, end := peersOf(c.replicas), FatalRequest(content+"/1", []byte(`{"e":"e1"}`))
	gateway.manager.Exchange(t.Context(), replicas, Evidence{Content: content, Finished: "a", Entries: []Entry{end}})
	// Without replicas there is nobody to publish to but neighbours.
	_ = gateway.manager.Publish(t.Context(), replicas, []Entry{Withdrawn(content + "/1")})
}

// News of an interrupted run is not passed on by all gateways, whether or not replicas answer.
func TestNewsOfInterruptionsIsNotPassedOnByAll(t *testing.T) {
	const gateways = 60
	for _, row := range []struct {
		name    string
		prepare func(*costCluster)
	}{
		{"replicas that have just started", func(*costCluster) {}},
		{"settled replicas", (*costCluster).settle},
		{"no replicas", (*costCluster).stopReplicas},
	} {
		t.Run(row.name, func(t *testing.T) {
			cluster := startCostCluster(t, gateways, maxNeighbours)
			row.prepare(cluster)
			cluster.awaitQuiet(t, publishKind)
			gateway := cluster.gateways[gateways/2]
			gateway.manager.Exchange(t.Context(), peersOf(cluster.replicas), Evidence{Content: "key", Begun: "a"})
			cluster.awaitQuiet(t, publishKind)
			before := cluster.sent(publishKind)
			cluster.interrupt(t, gateway, "key")
			cluster.awaitQuiet(t, publishKind)
			messages := cluster.sent(publishKind) - before
			assert.Assert(t, messages <= maxInterruptionMessages, "%d messages", messages)
		})
	}
}

// News of interrupted runs does not go to gateways that don't run the same content, other than those that stand in for replicas.
func TestInterruptionsDoNotReachAllGatewaysByTheFeed(t *testing.T) {
	const gateways, interruptions = 60, 20
	cluster := startCostCluster(t, gateways, maxNeighbours)
	cluster.settle()
	cluster.awaitQuiet(t, publishKind)
	startedAt, before := time.Now(), cluster.sent(followKind)
	cluster.awaitQuiet(t, publishKind)
	idle := float64(cluster.sent(followKind)-before) / time.Since(startedAt).Seconds()

	startedAt, before = time.Now(), cluster.sent(followKind)
	for number := range interruptions {
		cluster.interrupt(t, cluster.gateways[number], fmt.Sprint("key ", number))
	}
	cluster.awaitQuiet(t, publishKind)
	fed := float64(cluster.sent(followKind)-before) - idle*time.Since(startedAt).Seconds()
	assert.Assert(t, fed <= interruptions*maxInterruptionMessages, "%.0f messages of the feed", fed)
}

// stopReplicas ends all replicas.
func (c *costCluster) stopReplicas() {
	for _, replica := range c.replicas {
		replica.stop()
		replica.network.Close()
	}
}

// At the first start of the whole system replicas know all runs: gateways aren't asked.
func TestNewReplicasKnowAllRuns(t *testing.T) {
	for _, isFirst := range []bool{true, false} {
		cluster := startCostCluster(t, 4, 3)
		for _, replica := range cluster.replicas {
			replica.manager.options.KnowsAllRuns = isFirst
		}
		gateway := cluster.gateways[0]
		known := gateway.manager.Exchange(t.Context(), peersOf(cluster.replicas), Evidence{Content: "key", Begun: "a"})
		assert.Assert(t, known.Heard)
		cluster.awaitQuiet(t, publishKind)
		var asked int64
		for _, other := range cluster.gateways[1:] {
			asked += other.network.Traffic().ByKind()[publishKind].ReceivedMessages
		}
		assert.Equal(t, asked == 0, isFirst)
		assert.Assert(t, !isFirst || gateway.network.Traffic().ByKind()[publishKind].SentMessages <= costReplicas)
	}
}

// A confirmed change is in force at each gateway in time while runs are announced and interrupted and a replica is down.
func TestConfirmedChangesAreInForceDuringInterruptions(t *testing.T) {
	const (
		gateways = 20
		// Each gateway begins a run each runInterval, as with 4,800 requests a second at 420 nodes; one in interruptedRuns is interrupted.
		runInterval     = 80 * time.Millisecond
		interruptedRuns = 20
		changes         = 6
		changeInterval  = 500 * time.Millisecond
	)
	cluster := startCostCluster(t, gateways, maxNeighbours)
	ctx, stop := context.WithCancel(t.Context())
	var running sync.WaitGroup
	defer running.Wait()
	defer stop()
	for index, gateway := range cluster.gateways {
		running.Go(func() { cluster.run(ctx, index, gateway, runInterval, interruptedRuns) })
	}
	down := cluster.replicas[costReplicas-1]
	down.stop()
	down.network.Close()
	for change := range changes {
		wanted := entry(Key(ConfigurationKind, "current"), int64(change+1), "x")
		confirmedAt := time.Now()
		for _, replica := range cluster.replicas[:costReplicas-1] {
			replica.source.change(wanted)
		}
		for index, gateway := range cluster.gateways {
			eventually(t, "the change arrives", func() bool { return gateway.revision(wanted.Key) >= wanted.Revision })
			took := time.Since(confirmedAt)
			assert.Assert(t, took <= defaultPropagationBound, "change %d, gateway %d: %v", change, index, took)
		}
		clock.Sleep(ctx, changeInterval)
	}
}

// run announces runs at a gateway until the context ends.
func (c *costCluster) run(ctx context.Context, index int, gateway *testNode, interval time.Duration, interruptedRuns int) {
	replicas := peersOf(c.replicas)
	for number := 0; ctx.Err() == nil; number++ {
		content := fmt.Sprintf("%d-%d", index, number)
		gateway.manager.Exchange(ctx, replicas, Evidence{Content: content, Begun: "a"})
		if number%interruptedRuns == 0 {
			end := FatalRequest(content+"/1", []byte(`{"e":"e1"}`))
			gateway.manager.Exchange(ctx, replicas, Evidence{Content: content, Finished: "a", Entries: []Entry{end}})
			_ = gateway.manager.Publish(ctx, replicas, []Entry{Withdrawn(content + "/1")})
		} else {
			gateway.manager.Finish(replicas, Evidence{Content: content, Finished: "a", Completed: true})
		}
		clock.Sleep(ctx, interval)
	}
}

// BenchmarkAnnouncedRun measures what it costs, over all nodes, to announce a run of a content under which nothing has ended, and to finish it.
func BenchmarkAnnouncedRun(b *testing.B) {
	cluster := startCostCluster(b, 1, 0)
	cluster.settle()
	replicas := peersOf(cluster.replicas)
	gateway := cluster.gateways[0].manager
	b.ReportAllocs()
	before := cluster.sent(publishKind)
	for number := range b.N {
		content := fmt.Sprint("content ", number)
		gateway.Exchange(b.Context(), replicas, Evidence{Content: content, Begun: "a"})
		gateway.Finish(replicas, Evidence{Content: content, Finished: "a", Completed: true})
	}
	b.ReportMetric(float64(cluster.sent(publishKind)-before)/float64(b.N), "messages/op")
}

// BenchmarkInterruptedRun measures the messages of an interrupted run, over all nodes, as deployments grow. Those of the feed include the ones that
// followers send without changes.
func BenchmarkInterruptedRun(b *testing.B) {
	for _, gateways := range []int{50, 260} {
		b.Run(fmt.Sprint(gateways), func(b *testing.B) {
			cluster := startCostCluster(b, gateways, maxNeighbours)
			published, fed := cluster.sent(publishKind), cluster.sent(followKind)
			for number := range b.N {
				cluster.interrupt(b, cluster.gateways[number%gateways], fmt.Sprint("key ", number))
			}
			cluster.awaitQuiet(b, publishKind)
			b.ReportMetric(float64(cluster.sent(publishKind)-published)/float64(b.N), "messages/op")
			b.ReportMetric(float64(cluster.sent(followKind)-fed)/float64(b.N), "feed/op")
		})
	}
}
