package catalog

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// purpose tells what a message about runs and ends of engines is for.
type purpose string

const (
	// purposeBegin announces a run, purposeLook asks whether one may begin, and purposeFinish tells of one that has finished,
	// or of runs for which nobody waits.
	purposeBegin  purpose = "begin"
	purposeLook   purpose = "look"
	purposeFinish purpose = "finish"
	// purposeReport publishes interrupted runs and ends of engines, purposeForward passes them on, and purposeAdopt asks for all that are known.
	purposeReport  purpose = "report"
	purposeForward purpose = "forward"
	purposeAdopt   purpose = "adopt"
)

// The label "to" tells which kind of node a message is for.
const (
	toReplica   = "replica"
	toNeighbour = "neighbour"
	toOwner     = "owner"
)

// maxInstallation bounds the delays that are observed: changes that a node has missed while it was down or cut off are older.
const maxInstallation = time.Minute

// Metrics counts a node's messages about runs, and times the way of configurations. A nil Metrics does nothing.
type Metrics struct {
	messages      *prometheus.CounterVec
	configuration prometheus.Histogram
}

// NewMetrics creates the metrics and registers them.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	metrics := &Metrics{
		messages: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mountstile_run_messages_total", Help: "Messages about runs and ends of engines that were sent to other nodes, by purpose and receiver.",
		}, []string{"purpose", "to"}),
		configuration: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "mountstile_configuration_delay_seconds", Help: "Time from when a node read a configuration in the store until this node had it.",
			Buckets: prometheus.ExponentialBuckets(0.01, 2, 12),
		}),
	}
	registerer.MustRegister(metrics.messages, metrics.configuration)
	return metrics
}

func (m *Metrics) countMessages(why purpose, to string, messages int) {
	if m != nil && messages > 0 {
		m.messages.WithLabelValues(string(why), to).Add(float64(messages))
	}
}

func (m *Metrics) observeConfiguration(delay time.Duration) {
	if m != nil && delay <= maxInstallation {
		m.configuration.Observe(delay.Seconds())
	}
}
