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

// Log lines about failed writes are rate-limited: a stalled disk rejects hundreds of records a second.
func TestAppendFailureLogIsRateLimited(t *testing.T) {
	t.Parallel()
	var log memorylog.Log
	logger := events.NewLogger(&log, logrus.InfoLevel, "replica")
	network := transport.New(transport.Options{Cluster: "test", NodeID: "replica", Logger: logger})
	t.Cleanup(network.Close)
	// The replica is not running, so nothing drains its append queue.
	replica, err := NewReplica(ReplicaOptions{Self: Member{Name: "replica"}, Folder: t.TempDir(), FirstStart: true, Copies: 1}, network, logger)
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	record := func(number int) []conversation.Record {
		return []conversation.Record{{Turn: &conversation.Turn{ID: fmt.Sprint(number)}}}
	}
	failures := 0
	const tries, wantFailures = 2000, 300
	for number := 0; number < tries && failures < wantFailures; number++ {
		done := make(chan error, 1)
		go func() { done <- replica.append(ctx, record(number)) }()
		select {
		case err := <-done:
			assert.Assert(t, err != nil)
			failures++
		case <-time.After(time.Millisecond):
		}
	}
	assert.Equal(t, failures, wantFailures)
	lines := log.Count("replica_log_failed")
	assert.Assert(t, lines >= 1 && lines <= 4*failureLogsPerSecond, "%d lines", lines)
}
