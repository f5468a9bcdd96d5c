package turnstore

import (
	"context"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/transport"
)

func TestMetricsCountRequests(t *testing.T) {
	metrics := NewMetrics(prometheus.NewRegistry())
	failing := true
	handler := instrument(metrics, openKind, func(context.Context, transport.Peer, openRequest) (openResponse, error) {
		if failing {
			return openResponse{}, errHandingOver
		}
		return openResponse{Complete: true}, nil
	})
	_, err := handler(t.Context(), transport.Peer{}, openRequest{})
	assert.Assert(t, err != nil)
	failing = false
	response, err := handler(t.Context(), transport.Peer{}, openRequest{})
	assert.NilError(t, err)
	assert.Assert(t, response.Complete)
	assert.Equal(t, testutil.ToFloat64(metrics.requests.WithLabelValues(openKind, outcomeAnswered)), 1.0)
	assert.Equal(t, testutil.ToFloat64(metrics.requests.WithLabelValues(openKind, outcomeFailed)), 1.0)
}

func TestMetricsReportReplicaContents(t *testing.T) {
	t.Parallel()
	registry := prometheus.NewRegistry()
	c := newCluster(t, 3)
	c.put("a", "")
	NewMetrics(registry).registerGauges(c.machines[0].process.replica)
	families, err := registry.Gather()
	assert.NilError(t, err)
	found := make(map[string]float64)
	for _, family := range families {
		found[family.GetName()] = family.GetMetric()[0].GetGauge().GetValue()
	}
	assert.Equal(t, found["mountstile_replica_complete"], 1.0)
	assert.Equal(t, found["mountstile_replica_set_epoch"], 1.0)
	eventually(t, "the turn is counted", func() bool { return c.machines[0].process.replica.size().turns == 1 })
}
