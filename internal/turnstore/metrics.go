package turnstore

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/mountstile/mountstile/internal/transport"
)

// Metrics counts and times the requests that a replica serves, and exposes its size. A nil Metrics does nothing.
type Metrics struct {
	registerer prometheus.Registerer
	requests   *prometheus.CounterVec
	latency    *prometheus.HistogramVec
}

// NewMetrics registers the request metrics; the gauges of a replica are registered when it is created.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	metrics := &Metrics{
		registerer: registerer,
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mountstile_replica_questions_total", Help: "Questions that the replica answered, by kind and outcome.",
		}, []string{"kind", "outcome"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "mountstile_replica_answer_seconds", Help: "Time to answer a question, syncs of the disk included.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 14),
		}, []string{"kind"}),
	}
	registerer.MustRegister(metrics.requests, metrics.latency)
	return metrics
}

// registerGauges registers the gauges that are read from the replica at each scrape.
func (m *Metrics) registerGauges(replica *Replica) {
	if m == nil {
		return
	}
	gauge := func(name, help string, value func() float64) {
		m.registerer.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
	}
	gauge("mountstile_replica_turns", "Turns that the replica holds.", func() float64 { return float64(replica.size().turns) })
	gauge("mountstile_replica_programs", "Programs whose charges the replica holds.", func() float64 { return float64(replica.size().programs) })
	gauge("mountstile_replica_text_bytes", "Bytes of the texts of turns, on disk or in memory.", func() float64 { return float64(replica.texts.size()) })
	gauge("mountstile_replica_set_epoch", "Epoch of the newest replica set that is known.", func() float64 { return float64(replica.ReplicaSet().Epoch) })
	gauge("mountstile_replica_shard", "Shard whose turns the replica holds; -1 while it knows none.", func() float64 { return float64(replica.shardNumber()) })
	gauge("mountstile_replica_waiting_seconds", "How long the replica has lacked records or a place in its set; 0 if it doesn't.", func() float64 {
		return replica.waitingFor(time.Now()).Seconds()
	})
	gauge("mountstile_replica_candidates", "Replicas that are known to have started before there were replica sets.", func() float64 {
		return float64(len(replica.listCandidates()))
	})
	for _, waiting := range bootstrapWaits {
		m.registerer.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "mountstile_replica_without_set", Help: "1 if the replica knows no replica set and waits for this before the first sets are created.",
			ConstLabels: prometheus.Labels{"waits_for": string(waiting)},
		}, func() float64 { return oneIf(replica.bootstrapWaitsFor(waiting)) }))
	}
	gauge("mountstile_replica_complete", "1 if the replica has everything that its peers have.", func() float64 {
		return oneIf(replica.folder.record().Complete)
	})
}

func oneIf(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}

func (r *Replica) shardNumber() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.shard
}

// replicaSize is the number of turns and programs that a replica holds.
type replicaSize struct{ turns, programs int }

func (r *Replica) size() replicaSize {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	turns, programs := r.state.Size()
	return replicaSize{turns: turns, programs: programs}
}

// Outcomes of a request.
const (
	outcomeAnswered = "answered"
	outcomeFailed   = "failed"
)

// instrument wraps a request handler to count and time its calls.
func instrument[Request, Response any](
	metrics *Metrics, kind string, handler func(context.Context, transport.Peer, Request) (Response, error),
) func(context.Context, transport.Peer, Request) (Response, error) {
	if metrics == nil {
		return handler
	}
	return func(ctx context.Context, from transport.Peer, request Request) (Response, error) {
		startedAt := time.Now()
		response, err := handler(ctx, from, request)
		outcome := outcomeAnswered
		if err != nil {
			outcome = outcomeFailed
		}
		metrics.requests.WithLabelValues(kind, outcome).Inc()
		metrics.latency.WithLabelValues(kind).Observe(time.Since(startedAt).Seconds())
		return response, err
	}
}
