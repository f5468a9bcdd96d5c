package membudget

import "github.com/prometheus/client_golang/prometheus"

// Metrics shows how much of a budget is used. Its methods do nothing if it is nil.
type Metrics struct {
	used    prometheus.Gauge
	refused *prometheus.CounterVec
}

// NewMetrics creates the metrics and registers them.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	metrics := &Metrics{
		used: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "mountstile_foreign_bytes", Help: "Memory reserved for the bytes of other processes.",
		}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mountstile_foreign_bytes_refused_total", Help: "Reads that were refused because the memory budget was exhausted, by what was read.",
		}, []string{"place"}),
	}
	registerer.MustRegister(metrics.used, metrics.refused)
	return metrics
}

func (m *Metrics) setUsed(bytes int64) {
	if m != nil {
		m.used.Set(float64(bytes))
	}
}

func (m *Metrics) countRefused(place string) {
	if m != nil {
		m.refused.WithLabelValues(place).Inc()
	}
}
