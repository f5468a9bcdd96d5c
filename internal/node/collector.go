package node

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/mountstile/mountstile/internal/control"
)

var (
	trafficDescription = prometheus.NewDesc("mountstile_peer_bytes_total", "Bytes between nodes by message kind and direction.", []string{"kind", "direction"}, nil)
	membersDescription = prometheus.NewDesc("mountstile_members", "Members by status.", []string{"status"}, nil)
	revisionDescrip    = prometheus.NewDesc("mountstile_config_revision", "Configuration revision in force.", nil, nil)
	groupsDescription  = prometheus.NewDesc("mountstile_partitions", "Partitions that this node holds, by role.", []string{"role"}, nil)
	lineDescription    = prometheus.NewDesc("mountstile_engine_calls", "Calls at owned engines, by engine and state.", []string{"engine", "state"}, nil)
)

// collector reads the control part's state when metrics are scraped.
type collector struct {
	plane *control.Plane
}

func newCollector(plane *control.Plane) *collector { return &collector{plane: plane} }

// Describe implements prometheus.Collector.
func (c *collector) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- trafficDescription
	descriptions <- membersDescription
	descriptions <- revisionDescrip
	descriptions <- groupsDescription
	descriptions <- lineDescription
}

// Collect implements prometheus.Collector.
func (c *collector) Collect(metrics chan<- prometheus.Metric) {
	for kind, traffic := range c.plane.Transport.Traffic().ByKind() {
		metrics <- prometheus.MustNewConstMetric(trafficDescription, prometheus.CounterValue, float64(traffic.SentBytes), kind, "sent")
		metrics <- prometheus.MustNewConstMetric(trafficDescription, prometheus.CounterValue, float64(traffic.ReceivedBytes), kind, "received")
	}
	statuses := make(map[string]int)
	for _, member := range c.plane.Membership.View().All() {
		statuses[string(member.Status)]++
	}
	for status, count := range statuses {
		metrics <- prometheus.MustNewConstMetric(membersDescription, prometheus.GaugeValue, float64(count), status)
	}
	metrics <- prometheus.MustNewConstMetric(revisionDescrip, prometheus.GaugeValue, float64(c.plane.Config.Current().Revision()))
	roles := make(map[string]int)
	for _, group := range c.plane.Host.Statuses() {
		roles[group.Role]++
	}
	for role, count := range roles {
		metrics <- prometheus.MustNewConstMetric(groupsDescription, prometheus.GaugeValue, float64(count), role)
	}
	for _, load := range c.plane.Owner.Loads() {
		metrics <- prometheus.MustNewConstMetric(lineDescription, prometheus.GaugeValue, float64(load.Running), load.Engine, "running")
		metrics <- prometheus.MustNewConstMetric(lineDescription, prometheus.GaugeValue, float64(load.Waiting), load.Engine, "waiting")
	}
}
