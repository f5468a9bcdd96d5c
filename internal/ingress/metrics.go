package ingress

import (
	"math"
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
	openings *prometheus.HistogramVec
	places   *prometheus.CounterVec
	dropped  prometheus.Counter
	// resumptions and endings are of streams, by outcome.
	resumptions *prometheus.CounterVec
	endings     *prometheus.CounterVec
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
	metrics.openings = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "mountstile_opening_seconds", Help: "Time to reserve a turn's tokens, by whether the turn ran meanwhile.", Buckets: buckets,
	}, []string{"ran_ahead"})
	metrics.places = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "mountstile_turn_places_total", Help: "Turns by where they ran: at the engine of the program's last turn, at another one, or where that was not known.",
	}, []string{"place"})
	metrics.dropped = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "mountstile_log_lines_dropped_total", Help: "Lines on requests that were over the limit and not written.",
	})
	metrics.resumptions = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "mountstile_stream_resumptions_total", Help: "Runs that were to go on with a broken stream, by what came of them.",
	}, []string{"outcome"})
	metrics.endings = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "mountstile_streams_total", Help: "Streams by how they ended: whole, or cut and by whom.",
	}, []string{"end"})
	registerer.MustRegister(metrics.resumptions, metrics.endings)
	registerer.MustRegister(metrics.requests, metrics.seconds, metrics.first, metrics.openings, metrics.places, metrics.dropped)
	return metrics
}

// log writes the one line that tells how a request ended and what decided it, and counts it.
func (r *request) log(err error) {
	took := time.Since(r.arrivedAt)
	status, reason, event := r.ending(err)
	r.server.options.Metrics.observe(r, status, reason, took)
	if !r.server.lines.allows(err != nil) {
		r.server.options.Metrics.lineDropped()
		return
	}
	fields := append(r.identity(),
		events.F("status", status), events.F("reason", reason), events.F("millis", took.Milliseconds()),
		events.F("version", r.version), events.F("catalog_age_millis", r.server.options.CatalogAge().Milliseconds()),
	)
	if r.reservation != nil {
		fields = append(fields, events.F("open_millis", r.opening.Milliseconds()), events.F("ran_ahead", r.ahead))
	}
	if r.call != nil {
		fields = append(fields, r.placement()...)
	}
	if r.ended != nil {
		fields = append(fields, r.ended.fields()...)
	}
	if err != nil {
		failure := apierr.From(err, apierr.OutcomeUnknown)
		fields = append(fields, events.F("outcome", string(failure.Outcome)), events.F("error", err), events.F("broken_off", r.sent))
	}
	r.server.options.Logger.Emit(event, fields...)
}

// ending is how the request ended: its status, the reason in a word, and the event for it.
func (r *request) ending(err error) (status int, reason string, event events.ID) {
	if err == nil {
		return r.status, "answered", events.RequestEnded
	}
	failure := apierr.From(err, apierr.OutcomeUnknown)
	status = r.status
	if !r.sent {
		status = statusOf(failure)
	}
	return status, string(failure.Code), events.RequestFailed
}

// identity names the request and what it belongs to.
func (r *request) identity() []events.Field {
	fields := []events.Field{
		events.F("request", r.caller.ID), events.F("program", r.caller.Program), events.F("session", r.caller.Session),
		events.F("previous", r.caller.Previous), events.F("patience_millis", r.caller.Patience.Milliseconds()),
	}
	if r.caller.ProgramTimed {
		fields = append(fields, events.F("program_left_millis", r.caller.ProgramPatience.Milliseconds()))
	}
	if r.route != nil {
		fields = append(fields, events.F("route", r.route.Name()), events.F("service", r.service.Name))
	}
	return fields
}

// placement tells where the call went and what the choice saw.
func (r *request) placement() []events.Field {
	trace := r.call.Trace
	fields := []events.Field{
		events.F("engine", trace.Engine), events.F("preferred", r.call.Placement.Preferred), events.F("sends", trace.Sends),
		events.F("held_millis", trace.EngineWait.Milliseconds()), events.F("candidates", trace.Candidates),
		events.F("in_flight", trace.InFlight), events.F("busy", math.Round(trace.Load)),
		events.F("busy_age_millis", trace.LoadAge.Milliseconds()), events.F("pace", math.Round(trace.LatencyRatio*100)/100),
	}
	if !r.firstEventAt.IsZero() {
		fields = append(fields, events.F("first_millis", r.firstEventAt.Sub(r.arrivedAt).Milliseconds()))
	}
	return fields
}

func (m *Metrics) observe(r *request, status int, reason string, took time.Duration) {
	if m == nil {
		return
	}
	m.requests.WithLabelValues(r.service.Name, strconv.Itoa(status), reason).Inc()
	m.seconds.WithLabelValues(r.service.Name).Observe(took.Seconds())
	m.observeTurn(r)
	if r.ended != nil {
		m.endings.WithLabelValues(r.ended.way).Inc()
	}
	if !r.firstEventAt.IsZero() {
		m.first.WithLabelValues(r.service.Name).Observe(r.firstEventAt.Sub(r.arrivedAt).Seconds())
	}
}

// The places where a turn may run.
const (
	placeSame    = "same"
	placeOther   = "other"
	placeUnknown = "unknown"
)

// observeTurn counts a turn of a program by how it was opened and where it ran.
func (m *Metrics) observeTurn(r *request) {
	if r.reservation == nil {
		return
	}
	if r.opening > 0 {
		m.openings.WithLabelValues(strconv.FormatBool(r.ahead)).Observe(r.opening.Seconds())
	}
	if r.engine == "" || r.call == nil {
		return
	}
	place := placeOther
	switch r.call.Placement.Preferred {
	case "":
		place = placeUnknown
	case r.engine:
		place = placeSame
	}
	m.places.WithLabelValues(place).Inc()
}

func (m *Metrics) lineDropped() {
	if m != nil {
		m.dropped.Inc()
	}
}

// resumed counts a run that was to go on with a stream.
func (m *Metrics) resumed(outcome string) {
	if m != nil {
		m.resumptions.WithLabelValues(outcome).Inc()
	}
}
