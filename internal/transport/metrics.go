package transport

import "github.com/prometheus/client_golang/prometheus"

var (
	bytesDescription = prometheus.NewDesc("mountstile_peer_bytes_total",
		"Bytes exchanged with other nodes, by kind of message and direction.", []string{"kind", "direction"}, nil)
	messagesDescription = prometheus.NewDesc("mountstile_peer_messages_total",
		"Messages exchanged with other nodes, by kind and direction.", []string{"kind", "direction"}, nil)
	droppedDescription = prometheus.NewDesc("mountstile_peer_messages_dropped_total",
		"One-way messages that met a full queue.", nil, nil)
)

// Values of the direction label.
const (
	sentDirection     = "sent"
	receivedDirection = "received"
)

// Describe implements prometheus.Collector.
func (t *Traffic) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- bytesDescription
	descriptions <- messagesDescription
	descriptions <- droppedDescription
}

// Collect implements prometheus.Collector.
func (t *Traffic) Collect(metrics chan<- prometheus.Metric) {
	count := func(description *prometheus.Desc, value int64, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(description, prometheus.CounterValue, float64(value), labels...)
	}
	for kind, traffic := range t.ByKind() {
		count(bytesDescription, traffic.SentBytes, kind, sentDirection)
		count(bytesDescription, traffic.ReceivedBytes, kind, receivedDirection)
		count(messagesDescription, traffic.SentMessages, kind, sentDirection)
		count(messagesDescription, traffic.ReceivedMessages, kind, receivedDirection)
	}
	count(droppedDescription, t.Dropped())
}
