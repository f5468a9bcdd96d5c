package catalog

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/transport"
)

// A node learns of an end that another one told the replicas, and of runs that this one has begun and not finished.
func TestExchangeTellsOfEndsAndRunsElsewhere(t *testing.T) {
	replica := startReplica(t, true, nil, func() []transport.Peer { return nil })
	one := startNode(t, false, func() []transport.Peer { return nil })
	other := startNode(t, false, func() []transport.Peer { return nil })
	replicas := peersAt(replica.address)
	end := FatalRequest("key/1", []byte(`{"e":"e1"}`))
	known := one.manager.Exchange(context.Background(), replicas, Evidence{Content: "key", Entries: []Entry{end}, Begun: "a"})
	assert.DeepEqual(t, known, Known{Heard: true})

	known = other.manager.Exchange(context.Background(), replicas, Evidence{Content: "key", Begun: "b"})
	assert.DeepEqual(t, known, Known{Open: []string{"a@" + one.address}, Heard: true})
	assert.Equal(t, other.revision(end.Key), int64(1))

	one.manager.Exchange(context.Background(), replicas, Evidence{Content: "key", Finished: "a"})
	known = other.manager.Exchange(context.Background(), replicas, Evidence{Content: "key", Begun: "c", Finished: "b", Completed: true})
	assert.Equal(t, len(known.Open), 0)
	known = other.manager.Exchange(context.Background(), replicas, Evidence{Content: "another key"})
	assert.DeepEqual(t, known, Known{Heard: true})
	assert.Assert(t, one.manager.Exchange(context.Background(), replicas, Evidence{Content: "key"}).Completed)
}

// Finished runs for which nobody waits are told along with runs of other contents, or soon.
func TestFinishedRunsAreToldLater(t *testing.T) {
	for _, another := range []bool{true, false} {
		replica := startReplica(t, true, nil, func() []transport.Peer { return nil })
		one := startNode(t, false, func() []transport.Peer { return nil })
		replicas := peersAt(replica.address)
		one.manager.Exchange(t.Context(), replicas, Evidence{Content: "key", Begun: "a"})
		one.manager.Finish(replicas, Evidence{Content: "key", Finished: "a", Completed: true})
		open, _, _ := replica.manager.ledger.runs(time.Now(), "key")
		assert.DeepEqual(t, open, []string{"a@" + one.address})
		if another {
			one.manager.Exchange(t.Context(), replicas, Evidence{Content: "another key", Begun: "b"})
		}
		startedAt := time.Now()
		eventually(t, "the run is finished", func() bool {
			open, closed, completed := replica.manager.ledger.runs(time.Now(), "key")
			return len(open) == 0 && len(closed) == 1 && completed
		})
		assert.Equal(t, time.Since(startedAt) < finishDelay/2, another)
	}
}

// Of calls that begin runs of a content at the same time, each but one hears of another.
func TestSimultaneousRunsMeet(t *testing.T) {
	const calls = 16
	for range 100 {
		runs := newLedger()
		var waiting sync.WaitGroup
		var alone atomic.Int64
		for number := range calls {
			waiting.Go(func() {
				if open, _, _ := runs.exchange(time.Now(), "k", "", fmt.Sprint(number)); len(open) == 0 {
					alone.Add(1)
				}
			})
		}
		waiting.Wait()
		assert.Equal(t, alone.Load(), int64(1))
	}
}

// A peer is told of as many finished runs as fit in a message, and forgets the others later.
func TestFinishedRunsFitInAMessage(t *testing.T) {
	replica := startReplica(t, true, nil, func() []transport.Peer { return nil })
	one := startNode(t, false, func() []transport.Peer { return nil })
	replicas := peersAt(replica.address)
	for number := range 2 * maxQueuedRuns {
		one.manager.Finish(replicas, Evidence{Content: fmt.Sprint("key ", number), Finished: "a"})
	}
	assert.Assert(t, one.manager.Exchange(t.Context(), replicas, Evidence{Content: "key", Finished: "b"}).Heard)
	assert.Equal(t, len(replica.manager.ledger.young), maxToldFinishes)
}

// Without replicas, gateways tell the same neighbours of the runs of a content.
func TestRunsMeetWithoutReplicas(t *testing.T) {
	var others []transport.Peer
	for range 2 * runNeighbours {
		others = append(others, peersAt(startReplica(t, true, nil, func() []transport.Peer { return nil }).address)...)
	}
	var gateways []*testNode
	for range 2 {
		gateway := startNode(t, false, func() []transport.Peer { return nil })
		gateway.manager.options.Neighbours = func() []transport.Peer { return others }
		gateways = append(gateways, gateway)
		slices.Reverse(others)
	}
	for number := range 10 {
		content := fmt.Sprint("key ", number)
		gateways[0].manager.Exchange(t.Context(), peersAt("127.0.0.1:1"), Evidence{Content: content, Begun: "a"})
		known := gateways[1].manager.Exchange(t.Context(), peersAt("127.0.0.1:1"), Evidence{Content: content, Begun: "b"})
		assert.DeepEqual(t, known.Open, []string{"a@" + gateways[0].address})
	}
}

// Nodes vouch for the runs that they have begun if these have finished, or are in progress. Nobody vouches for those of nodes that
// have gone, have started again, or are of builds that don't name themselves.
func TestNodesVouchForTheirRuns(t *testing.T) {
	names := []string{"lives", "silent", "finished", "forgotten"}
	owner := startNodeWith(t, func(options *Options) {
		options.Peers = func() []transport.Peer { return nil }
		options.RunLives = func(content, name string) bool { return content == "key" && name == "lives" }
	})
	owner.manager.Finish(nil, Evidence{Content: "key", Finished: "finished"})
	asking := startNode(t, false, func() []transport.Peer { return nil })
	var asked, expected []string
	for _, name := range names {
		asked = append(asked, name+"@"+owner.address)
		if name == "silent" || name == "forgotten" {
			expected = append(expected, name+"@"+owner.address)
		}
	}
	gone := []string{"a@127.0.0.1:1", "b", "c@" + asking.address}
	for _, manager := range []*Manager{owner.manager, asking.manager} {
		startedAt := time.Now()
		assert.DeepEqual(t, manager.Unvouched(t.Context(), "key", slices.Concat(asked, gone)), slices.Concat(expected, gone))
		assert.Assert(t, time.Since(startedAt) < 2*vouchPatience)
	}
}

// What another goroutine has recorded of a content, and has not passed on yet, is known once an exchange returns.
func TestExchangePassesOnWhatIsRecorded(t *testing.T) {
	one := startNode(t, false, func() []transport.Peer { return nil })
	end, withdrawn := FatalRequest("key/1", []byte("1")), Withdrawn("key/2")
	one.manager.recordPublished(publishRequest{Entries: []Entry{end, withdrawn}}, false)
	assert.Equal(t, one.revision(end.Key), int64(0))
	one.manager.Exchange(t.Context(), nil, Evidence{Content: "key"})
	assert.Equal(t, one.revision(end.Key), end.Revision)
	assert.Equal(t, one.revision(withdrawn.Key), withdrawn.Revision)
}

// A gateway that reaches neither most replicas nor any of its neighbours has heard nothing; one that knows no neighbours is alone.
func TestExchangeTellsWhetherOthersWereHeard(t *testing.T) {
	one := startNode(t, false, func() []transport.Peer { return nil })
	for _, row := range []struct {
		neighbours []transport.Peer
		heard      bool
	}{{nil, true}, {peersAt("127.0.0.1:1"), false}} {
		one.manager.options.Neighbours = func() []transport.Peer { return row.neighbours }
		known := one.manager.Exchange(context.Background(), peersAt("127.0.0.1:2"), Evidence{Content: "key"})
		assert.Equal(t, known.Heard, row.heard)
	}
}

// A run that one node knows to be finished is not in progress, whatever others have missed.
func TestFinishedRunsAreNotInProgress(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	missed, known := newLedger(), newLedger()
	missed.exchange(now, "k", "", "a")
	known.finish(now, finishedRun{Content: "k", Name: "a"})
	known.exchange(now, "k", "", "a")
	known.exchange(now, "k", "", "b")
	open, closed, _ := known.runs(now, "k")
	missedOpen, _, _ := missed.runs(now, "k")
	assert.DeepEqual(t, openRuns(append(open, missedOpen...), closed, Evidence{Content: "k", Begun: "own"}), []string{"b"})
}

// Without replicas, a node that starts learns of the ends that its neighbours know.
func TestStartingNodeAdoptsReportsOfNeighbours(t *testing.T) {
	neighbour := startReplica(t, true, nil, func() []transport.Peer { return nil })
	end := FatalRequest("one/1", []byte("1"))
	neighbour.manager.Exchange(context.Background(), nil, Evidence{Content: "one", Entries: []Entry{end}})
	starting := startNode(t, false, func() []transport.Peer { return nil })
	starting.manager.options.Neighbours = func() []transport.Peer { return peersAt(neighbour.address) }
	assert.Assert(t, !starting.manager.AdoptReports(context.Background(), peersAt("127.0.0.1:1"), publishTimeout))
	assert.Equal(t, starting.revision(end.Key), int64(1))
}

// Neighbours hear of what a node publishes without the way over the replicas.
func TestPublishedEntriesReachNeighbours(t *testing.T) {
	replica := startReplica(t, true, nil, func() []transport.Peer { return nil })
	neighbour := startReplica(t, true, nil, func() []transport.Peer { return nil })
	one := startNode(t, false, func() []transport.Peer { return nil })
	one.manager.options.Neighbours = func() []transport.Peer { return peersAt(neighbour.address) }
	end := FatalRequest("one/1", []byte("1"))
	assert.NilError(t, one.manager.Publish(context.Background(), peersAt(replica.address), []Entry{end}))
	eventually(t, "the entry reaches the neighbour", func() bool { return neighbour.revision(end.Key) == 1 })
}

// A node that starts learns of all ends that most replicas know.
func TestStartingNodeAdoptsReports(t *testing.T) {
	replica := startReplica(t, true, nil, func() []transport.Peer { return nil })
	publisher := startNode(t, false, func() []transport.Peer { return nil })
	first, second, withdrawn := FatalRequest("one/1", []byte("1")), FatalRequest("two/1", []byte("1")), FatalRequest("three/1", []byte("1"))
	assert.NilError(t, publisher.manager.Publish(context.Background(), peersAt(replica.address), []Entry{first, second, withdrawn, Withdrawn("three/1")}))
	starting := startNode(t, false, func() []transport.Peer { return nil })
	assert.Assert(t, starting.manager.AdoptReports(context.Background(), peersAt(replica.address), publishTimeout))
	assert.DeepEqual(t, []int64{starting.revision(first.Key), starting.revision(second.Key), starting.revision(withdrawn.Key)}, []int64{1, 1, 0})
	assert.Assert(t, !starting.manager.AdoptReports(context.Background(), peersAt("127.0.0.1:1"), publishTimeout))
}

// Without replicas, gateways tell each other, also those that only others reach.
func TestGatewaysTellEachOtherOfEndsWithoutReplicas(t *testing.T) {
	far := startReplica(t, true, nil, func() []transport.Peer { return nil })
	near := startReplica(t, true, nil, func() []transport.Peer { return nil })
	near.manager.options.Neighbours = func() []transport.Peer { return peersAt(far.address) }
	one := startNode(t, false, func() []transport.Peer { return nil })
	one.manager.options.Neighbours = func() []transport.Peer { return peersAt(near.address) }
	end := FatalRequest("key/1", []byte("1"))
	startedAt := time.Now()
	known := one.manager.Exchange(context.Background(), peersAt("127.0.0.1:1"), Evidence{Content: "key", Entries: []Entry{end}, Begun: "a"})
	assert.Assert(t, known.Heard)
	assert.Assert(t, time.Since(startedAt) < replicaPatience+2*neighbourPatience+100*time.Millisecond)
	assert.Equal(t, near.revision(end.Key), int64(1))
	eventually(t, "the entry reaches the neighbour of the neighbour", func() bool { return far.revision(end.Key) == 1 })
}

// Replicas that answer late are waited for unless a neighbour answers that has been there for long: those that have just started know nothing.
func TestLateReplicasAreWaitedForAmongYoungNeighbours(t *testing.T) {
	for _, young := range []bool{true, false} {
		replica := startReplica(t, true, nil, func() []transport.Peer { return nil })
		neighbour := startNode(t, false, func() []transport.Peer { return nil })
		if !young {
			neighbour.manager.startedAt = time.Now().Add(-runTTL)
		}
		one := startNode(t, false, func() []transport.Peer { return nil })
		one.manager.options.Neighbours = func() []transport.Peer { return peersAt(neighbour.address) }
		replica.manager.ledger.exchange(time.Now(), "key", "", "a")
		replica.manager.mutex.Lock()
		time.AfterFunc(replicaPatience+2*neighbourPatience, replica.manager.mutex.Unlock)
		known := one.manager.Exchange(t.Context(), peersAt(replica.address), Evidence{Content: "key"})
		assert.Assert(t, known.Heard)
		assert.DeepEqual(t, known.Open, map[bool][]string{true: {"a"}, false: nil}[young])
	}
}

// Replicas that have started again have forgotten the runs that they were told of: the neighbours are asked, too. If these don't know more, nothing is
// waited for.
func TestRunsAreKnownAfterTheReplicasRestarted(t *testing.T) {
	for _, row := range []struct {
		settled int
		open    []string
	}{{0, []string{"a"}}, {1, []string{"a"}}, {2, nil}, {3, nil}} {
		var replicas []string
		for index := range 3 {
			replica := startReplica(t, true, nil, func() []transport.Peer { return nil })
			if index < row.settled {
				replica.manager.startedAt = time.Now().Add(-runTTL)
			}
			replicas = append(replicas, replica.address)
		}
		neighbour := startNode(t, false, func() []transport.Peer { return nil })
		neighbour.manager.ledger.exchange(time.Now(), "key", "", "a")
		one := startNode(t, false, func() []transport.Peer { return nil })
		one.manager.options.Neighbours = func() []transport.Peer { return peersAt(neighbour.address) }
		startedAt := time.Now()
		known := one.manager.Exchange(t.Context(), peersAt(replicas...), Evidence{Content: "key"})
		assert.Assert(t, known.Heard)
		assert.Assert(t, time.Since(startedAt) < lateReplicaPatience)
		assert.DeepEqual(t, known.Open, row.open)
	}
}

// A neighbour of a build that doesn't tell how long it has run doesn't stand in for replicas.
func TestNeighbourOfEarlierBuildIsNotSettled(t *testing.T) {
	var response publishResponse
	assert.NilError(t, json.Unmarshal([]byte(`{"e":[],"o":["a"]}`), &response))
	assert.Equal(t, countSettled([]publishResponse{response}), 0)
}

// The memory of a board is bounded, and what is old is forgotten.
func TestBoardIsBounded(t *testing.T) {
	board := newBoard()
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for number := range maxBoardContents + 10 {
		now = now.Add(time.Millisecond)
		board.record(now, fmt.Sprint("k", number), FatalRequest(fmt.Sprintf("k%d/1", number), []byte("1")), false)
	}
	assert.Equal(t, len(board.contents), maxBoardContents)
	for number := range 2 * maxBoardEntries {
		board.record(now, "k", FatalRequest(fmt.Sprint("k/", number), []byte("1")), false)
	}
	entries, valid := board.entries("k")
	assert.DeepEqual(t, []int{len(entries), valid}, []int{maxBoardEntries, maxBoardEntries})
	board.record(now.Add(2*publishedTTL), "new", FatalRequest("new/1", []byte("1")), false)
	assert.Equal(t, len(board.contents), 1)
}

// The memory of a ledger is bounded, and what is old is forgotten.
func TestLedgerIsBounded(t *testing.T) {
	runs := newLedger()
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	assertRuns := func(open, closed int) (names []string) {
		t.Helper()
		names, finished, _ := runs.runs(now, "k")
		assert.DeepEqual(t, []int{len(names), len(finished)}, []int{open, closed})
		return names
	}
	for number := range 3 * maxLedgerContents {
		now = now.Add(time.Millisecond)
		runs.exchange(now, fmt.Sprint("k", number), "", "run")
	}
	assert.Equal(t, len(runs.young)+len(runs.old), 2*maxLedgerContents)
	for number := range 2 * maxLedgerRuns {
		runs.exchange(now, "k", "", fmt.Sprint("run ", number))
		runs.exchange(now, "k", "", fmt.Sprint("run ", number))
	}
	names := assertRuns(maxLedgerRuns, 0)
	runs.finish(now, finishedRun{Content: "k", Name: names[0]})
	runs.exchange(now, "k", "", "another")
	names = assertRuns(maxLedgerRuns, 0)
	runs.finish(now, finishedRun{Content: "k", Name: names[0]})
	now = now.Add(runTTL)
	runs.exchange(now, "k", "", "last")
	assertRuns(maxLedgerRuns, 0)
	now = now.Add(time.Millisecond)
	assertRuns(1, 0)
	now = now.Add(runTTL)
	assertRuns(0, 0)
}

// Builds that don't know of contents take the entries and answer nothing; their own messages are read as before.
func TestPublishWithBuildsThatKnowNoContents(t *testing.T) {
	replica := startReplica(t, true, nil, func() []transport.Peer { return nil })
	older := startNode(t, false, func() []transport.Peer { return nil })
	type olderRequest struct {
		Entries []Entry `json:"e"`
	}
	_, err := transport.Call[struct{}](context.Background(), older.network, peersAt(replica.address)[0], publishKind, olderRequest{Entries: []Entry{FatalRequest("k/1", []byte("1"))}})
	assert.NilError(t, err)
	assert.Equal(t, replica.revision(Key(FatalRequestKind, "k/1")), int64(1))
}
