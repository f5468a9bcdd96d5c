package node

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/mountstile/mountstile/internal/control"
)

var (
	membersDescription    = prometheus.NewDesc("mountstile_members", "Members by status.", []string{"status"}, nil)
	revisionDescription   = prometheus.NewDesc("mountstile_config_revision", "Configuration revision in force.", nil, nil)
	partitionsDescription = prometheus.NewDesc("mountstile_partitions", "Partitions that this node holds, by role.", []string{"role"}, nil)
	callsDescription      = prometheus.NewDesc("mountstile_engine_calls", "Calls at owned engines, by engine and state.", []string{"engine", "state"}, nil)
	stepDescription       = prometheus.NewDesc("mountstile_engine_step_seconds", "Time between an owned engine's tokens, where it was measured lately.", []string{"engine"}, nil)
	waitDescription       = prometheus.NewDesc("mountstile_engine_wait_seconds", "How long a call that came now would stand in an owned engine's line.", []string{"engine"}, nil)
)

const (
	millisPerSecond = 1e3
	microsPerSecond = 1e6
)

// collector exports the control plane's state as metrics, read at each scrape.
type collector struct {
	plane *control.Plane
}

func newCollector(plane *control.Plane) *collector { return &collector{plane: plane} }

// Describe implements prometheus.Collector.
func (c *collector) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- membersDescription
	descriptions <- revisionDescription
	descriptions <- partitionsDescription
	descriptions <- callsDescription
	descriptions <- stepDescription
	descriptions <- waitDescription
}

// Collect implements prometheus.Collector.
func (c *collector) Collect(metrics chan<- prometheus.Metric) {
	statuses := make(map[string]int)
	for _, member := range c.plane.Membership.View().All() {
		statuses[string(member.Status)]++
	}
	for status, count := range statuses {
		metrics <- prometheus.MustNewConstMetric(membersDescription, prometheus.GaugeValue, float64(count), status)
	}
	metrics <- prometheus.MustNewConstMetric(revisionDescription, prometheus.GaugeValue, float64(c.plane.Config.Current().Revision()))
	roles := make(map[string]int)
	for _, group := range c.plane.Host.Statuses() {
		roles[group.Role]++
	}
	for role, count := range roles {
		metrics <- prometheus.MustNewConstMetric(partitionsDescription, prometheus.GaugeValue, float64(count), role)
	}
	for _, load := range c.plane.Owner.Loads() {
		metrics <- prometheus.MustNewConstMetric(callsDescription, prometheus.GaugeValue, float64(load.Running), load.Engine, "running")
		metrics <- prometheus.MustNewConstMetric(callsDescription, prometheus.GaugeValue, float64(load.Waiting), load.Engine, "waiting")
		metrics <- prometheus.MustNewConstMetric(waitDescription, prometheus.GaugeValue, float64(load.WaitMillis)/millisPerSecond, load.Engine)
		if load.StepMicros > 0 {
			metrics <- prometheus.MustNewConstMetric(stepDescription, prometheus.GaugeValue, float64(load.StepMicros)/microsPerSecond, load.Engine)
		}
	}
}
