package catalog

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/transport"
)

// Nodes tell how long a configuration has been known, over all nodes that passed it on; entries of other kinds tell nothing.
func TestDelayOfConfigurationAddsUp(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	first, second := NewState(), NewState()
	configuration, other := entry(Key(ConfigurationKind, "current"), 1, "x"), entry(Key(EngineKind, "e"), 1, "x")
	first.Merge(now, configuration)
	first.Merge(now, other)
	sent := first.Delayed(now.Add(time.Second), configuration)
	assert.Equal(t, sent.DelayMillis, int64(1000))
	second.Merge(now.Add(5*time.Second), sent)
	assert.Equal(t, second.Delayed(now.Add(7*time.Second), sent).DelayMillis, int64(3000))
	assert.Equal(t, first.Delayed(now.Add(time.Second), other).DelayMillis, int64(0))
}

// Messages are counted by what they are for.
func TestMessagesAreCountedByPurpose(t *testing.T) {
	registry := prometheus.NewRegistry()
	metrics := NewMetrics(registry)
	replica := startReplica(t, true, nil, func() []transport.Peer { return nil })
	gateway := startNodeWith(t, func(options *Options) {
		options.Peers, options.Metrics = func() []transport.Peer { return nil }, metrics
	})
	replicas := peersAt(replica.address)
	gateway.manager.Exchange(t.Context(), replicas, Evidence{Content: "key", Begun: "a"})
	gateway.manager.Exchange(t.Context(), replicas, Evidence{Content: "key"})
	families, err := registry.Gather()
	assert.NilError(t, err)
	counted := make(map[string]float64)
	for _, family := range families {
		if family.GetName() != "mountstile_run_messages_total" {
			continue
		}
		for _, metric := range family.GetMetric() {
			counted[metric.GetLabel()[0].GetValue()+" "+metric.GetLabel()[1].GetValue()] = metric.GetCounter().GetValue()
		}
	}
	assert.DeepEqual(t, counted, map[string]float64{"begin replica": 1, "look replica": 1})
}
