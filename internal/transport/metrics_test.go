package transport

import (
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
)

func TestTrafficIsCollected(t *testing.T) {
	traffic := newTraffic()
	traffic.countSent("echo", 7)
	traffic.countSent("echo", 5)
	traffic.countDropped()
	registry := prometheus.NewRegistry()
	registry.MustRegister(traffic)
	families, err := registry.Gather()
	assert.NilError(t, err)
	found := make(map[string]float64)
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			var labels []string
			for _, label := range metric.GetLabel() {
				labels = append(labels, label.GetValue())
			}
			found[family.GetName()+" "+strings.Join(labels, " ")] = metric.GetCounter().GetValue()
		}
	}
	// Gather sorts labels by name: direction, kind.
	assert.Equal(t, found["mountstile_peer_bytes_total sent echo"], 12.0, "%v", found)
	assert.Equal(t, found["mountstile_peer_messages_total sent echo"], 2.0)
	assert.Equal(t, found["mountstile_peer_messages_total received echo"], 0.0)
	assert.Equal(t, found["mountstile_peer_messages_dropped_total "], 1.0)
}
