package turnstore

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/conversation"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/standin/memorylog"
	"github.com/mountstile/mountstile/internal/transport"
)

// A disk that stands still refuses hundreds of records a second; the log tells of some of them.
func TestRefusedRecordsDoNotFloodTheLog(t *testing.T) {
	t.Parallel()
	var log memorylog.Log
	logger := events.NewLogger(&log, logrus.InfoLevel, "replica")
	network := transport.New(transport.Options{Cluster: "test", NodeID: "replica", Logger: logger})
	t.Cleanup(network.Close)
	// The replica does not run: nothing takes what is appended.
	replica, err := NewReplica(ReplicaOptions{Self: Member{Name: "replica"}, Folder: t.TempDir(), FirstStart: true, Copies: 1}, network, logger)
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	record := func(number int) []conversation.Record {
		return []conversation.Record{{Turn: &conversation.Turn{ID: fmt.Sprint(number)}}}
	}
	refused := 0
	const tries, refusals = 2000, 300
	for number := 0; number < tries && refused < refusals; number++ {
		done := make(chan error, 1)
		go func() { done <- replica.append(ctx, record(number)) }()
		select {
		case err := <-done:
			assert.Assert(t, err != nil)
			refused++
		case <-time.After(time.Millisecond):
		}
	}
	assert.Equal(t, refused, refusals)
	lines := log.Count("replica_log_failed")
	assert.Assert(t, lines >= 1 && lines <= 4*failureLinesASecond, "%d lines", lines)
}
