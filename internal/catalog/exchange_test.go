package catalog

import (
	"context"
	"fmt"
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
	found := one.manager.Exchange(context.Background(), replicas, Evidence{Content: "key", Entries: []Entry{end}, Begun: "a", Lasting: LastingRuns{Count: 2, TotalMillis: 30, LongestMillis: 20}})
	assert.DeepEqual(t, found, Findings{})

	found = other.manager.Exchange(context.Background(), replicas, Evidence{Content: "key", Begun: "b"})
	assert.DeepEqual(t, found.Open, []string{"a"})
	assert.Equal(t, other.revision(end.Key), int64(1))

	one.manager.Exchange(context.Background(), replicas, Evidence{Content: "key", Finished: "a"})
	found = other.manager.Exchange(context.Background(), replicas, Evidence{Content: "key", Begun: "c", Finished: "b"})
	assert.Equal(t, len(found.Open), 0)
	found = other.manager.Exchange(context.Background(), replicas, Evidence{Content: "another key"})
	assert.DeepEqual(t, found, Findings{})
}

// A node that starts learns of all ends that most replicas know.
func TestStartingNodeAdoptsReports(t *testing.T) {
	replica := startReplica(t, true, nil, func() []transport.Peer { return nil })
	publisher := startNode(t, false, func() []transport.Peer { return nil })
	first, second, withdrawn := FatalRequest("one/1", []byte("1")), FatalRequest("two/1", []byte("1")), FatalRequest("three/1", []byte("1"))
	assert.NilError(t, publisher.manager.Publish(context.Background(), peersAt(replica.address), []Entry{first, second, withdrawn, Withdrawn("three/1")}))
	starting := startNode(t, false, func() []transport.Peer { return nil })
	assert.Assert(t, starting.manager.AdoptReports(context.Background(), peersAt(replica.address)))
	assert.DeepEqual(t, []int64{starting.revision(first.Key), starting.revision(second.Key), starting.revision(withdrawn.Key)}, []int64{1, 1, 0})
	assert.Assert(t, !starting.manager.AdoptReports(context.Background(), peersAt("127.0.0.1:1")))
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
	one.manager.Exchange(context.Background(), peersAt("127.0.0.1:1"), Evidence{Content: "key", Entries: []Entry{end}, Begun: "a"})
	assert.Assert(t, time.Since(startedAt) < replicaPatience+2*neighbourPatience+100*time.Millisecond)
	assert.Equal(t, near.revision(end.Key), int64(1))
	eventually(t, "the entry reaches the neighbour of the neighbour", func() bool { return far.revision(end.Key) == 1 })
}

// The memory of a board is bounded, and what is old is forgotten.
func TestBoardIsBounded(t *testing.T) {
	board := newBoard()
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for number := range maxBoardContents + 10 {
		now = now.Add(time.Millisecond)
		board.record(now, fmt.Sprint("k", number), FatalRequest(fmt.Sprintf("k%d/1", number), []byte("1")))
	}
	assert.Equal(t, len(board.contents), maxBoardContents)
	for number := range 2 * maxBoardEntries {
		board.record(now, "k", FatalRequest(fmt.Sprint("k/", number), []byte("1")))
		board.begin(now, "k", fmt.Sprint("run ", number))
		board.begin(now, "k", fmt.Sprint("run ", number))
	}
	entries, valid := board.entries("k")
	assert.DeepEqual(t, []int{len(entries), valid}, []int{maxBoardEntries, maxBoardEntries})
	assert.Equal(t, len(board.openRuns(now, "k")), maxBoardRuns)
	board.noteLasting(now, "k", "n1", LastingRuns{Count: 1, TotalMillis: 5, LongestMillis: 5})
	board.noteLasting(now, "k", "n2", LastingRuns{Count: 2, TotalMillis: 9, LongestMillis: 6})
	assert.DeepEqual(t, board.lastingElsewhere(now, "k", "n3"), LastingRuns{Count: 3, TotalMillis: 14, LongestMillis: 6})
	assert.DeepEqual(t, board.lastingElsewhere(now, "k", "n2"), LastingRuns{Count: 1, TotalMillis: 5, LongestMillis: 5})
	assert.Equal(t, len(board.openRuns(now.Add(2*openRunTTL), "k")), 0)
	assert.DeepEqual(t, board.lastingElsewhere(now.Add(2*lastingRunsTTL), "k", "n3"), LastingRuns{})
	board.record(now.Add(2*publishedTTL), "new", FatalRequest("new/1", []byte("1")))
	assert.Equal(t, len(board.contents), 1)
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
