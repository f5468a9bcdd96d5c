package ingress

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/events"
)

// Metrics counts requests by route, outcome and reason, and measures their times.
type Metrics struct {
	requests *prometheus.CounterVec
	seconds  *prometheus.HistogramVec
	first    *prometheus.HistogramVec
}

// NewMetrics registers the metrics.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	buckets := prometheus.ExponentialBuckets(0.002, 2, 12)
	metrics := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mountstile_requests_total", Help: "Requests on routes, by status and reason.",
		}, []string{"service", "status", "reason"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "mountstile_request_seconds", Help: "Time from the arrival of a request to the end of its answer.", Buckets: buckets,
		}, []string{"service"}),
		first: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "mountstile_first_event_seconds", Help: "Time from the arrival of a request to its first event.", Buckets: buckets,
		}, []string{"service"}),
	}
	registerer.MustRegister(metrics.requests, metrics.seconds, metrics.first)
	return metrics
}

// log writes the one line that tells how a request ended, and counts it.
func (r *request) log(err error) {
	took := time.Since(r.arrivedAt)
	fields := []events.Field{
		events.F("request", r.caller.ID), events.F("program", r.caller.Program), events.F("previous", r.caller.Previous),
		events.F("version", r.version), events.F("service", r.service.Name), events.F("engine", r.engine),
		events.F("millis", took.Milliseconds()), events.F("patience_millis", r.caller.Patience.Milliseconds()),
	}
	if r.route != nil {
		fields = append(fields, events.F("route", r.route.Name()))
	}
	if !r.firstEventAt.IsZero() {
		fields = append(fields, events.F("first_millis", r.firstEventAt.Sub(r.arrivedAt).Milliseconds()))
	}
	reason := "answered"
	status := r.status
	event := events.RequestEnded
	if err != nil {
		failure := apierr.From(err, apierr.OutcomeUnknown)
		reason = string(failure.Code)
		if !r.sent {
			status = failure.HTTPStatus()
		}
		event = events.RequestFailed
		fields = append(fields, events.F("reason", reason), events.F("outcome", string(failure.Outcome)), events.F("error", err),
			events.F("broken_off", r.sent))
	}
	fields = append(fields, events.F("status", status))
	r.server.options.Logger.Emit(event, fields...)
	r.server.options.Metrics.observe(r, status, reason, took)
}

func (m *Metrics) observe(r *request, status int, reason string, took time.Duration) {
	if m == nil {
		return
	}
	m.requests.WithLabelValues(r.service.Name, strconv.Itoa(status), reason).Inc()
	m.seconds.WithLabelValues(r.service.Name).Observe(took.Seconds())
	if !r.firstEventAt.IsZero() {
		m.first.WithLabelValues(r.service.Name).Observe(r.firstEventAt.Sub(r.arrivedAt).Seconds())
	}
}
