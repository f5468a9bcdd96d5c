package ingress

import (
	"math"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/events"
)

// Metrics holds the metrics of a gateway's requests.
type Metrics struct {
	requests            *prometheus.CounterVec
	duration            *prometheus.HistogramVec
	firstEvent          *prometheus.HistogramVec
	reservationDuration *prometheus.HistogramVec
	placements          *prometheus.CounterVec
	droppedLines        prometheus.Counter
	// resumptions and streams count by outcome.
	resumptions *prometheus.CounterVec
	streams     *prometheus.CounterVec
	// origins counts by how the software version of a stream was found, or whether it was recorded.
	origins *prometheus.CounterVec
	// engineEnds counts requests by the number of engines that ended under them.
	engineEnds *prometheus.CounterVec
}

// NewMetrics creates the metrics and registers them.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	buckets := prometheus.ExponentialBuckets(0.002, 2, 12)
	metrics := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mountstile_requests_total", Help: "Requests on routes, by status and reason.",
		}, []string{"service", "status", "reason"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "mountstile_request_seconds", Help: "Time from the arrival of a request to the end of its answer.", Buckets: buckets,
		}, []string{"service"}),
		firstEvent: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "mountstile_first_event_seconds", Help: "Time from the arrival of a request to its first event.", Buckets: buckets,
		}, []string{"service"}),
	}
	metrics.reservationDuration = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "mountstile_opening_seconds", Help: "Time to reserve a turn's tokens, by whether the turn ran meanwhile.", Buckets: buckets,
	}, []string{"ran_ahead"})
	metrics.placements = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "mountstile_turn_places_total", Help: "Turns by where they ran: at the engine of the program's last turn, at another one, or where that was not known.",
	}, []string{"place"})
	metrics.droppedLines = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "mountstile_log_lines_dropped_total", Help: "Lines on requests that were over the limit and not written.",
	})
	metrics.resumptions = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "mountstile_stream_resumptions_total", Help: "Runs that were to go on with a broken stream, by what came of them.",
	}, []string{"outcome"})
	metrics.streams = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "mountstile_streams_total", Help: "Streams by how they ended: whole, or cut and by whom.",
	}, []string{"end"})
	metrics.origins = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "mountstile_stream_origins_total", Help: "Streams that callers take up, by how the software version that began them was found, and new ones whose version was not recorded.",
	}, []string{"origin"})
	metrics.engineEnds = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "mountstile_engine_ends_total", Help: "Interrupted requests, by how many engines are known to have ended under their content.",
	}, []string{"ends"})
	registerer.MustRegister(metrics.engineEnds, metrics.resumptions, metrics.streams, metrics.origins)
	registerer.MustRegister(metrics.requests, metrics.duration, metrics.firstEvent, metrics.reservationDuration, metrics.placements, metrics.droppedLines)
	return metrics
}

// log writes the log line of a finished request and updates the metrics.
func (r *request) log(err error) {
	took := time.Since(r.arrivedAt)
	status, reason, event := r.result(err)
	r.server.options.Metrics.observe(r, status, reason, took)
	if !r.server.logLimit.allow(err != nil) {
		r.server.options.Metrics.countDroppedLine()
		return
	}
	fields := append(r.identityFields(),
		events.F("status", status), events.F("reason", reason), events.F("millis", took.Milliseconds()),
		events.F("version", r.version), events.F("catalog_age_millis", r.server.options.CatalogAge().Milliseconds()),
	)
	if r.reservation != nil {
		fields = append(fields, events.F("open_millis", r.openDuration.Milliseconds()), events.F("ran_ahead", r.runAhead))
	}
	if r.originErr != nil {
		fields = append(fields, events.F("origin_error", r.originErr))
	}
	if r.call != nil {
		fields = append(fields, r.placementFields()...)
	}
	if r.outcome != nil {
		fields = append(fields, r.outcome.fields()...)
	}
	if err != nil {
		failure := apierr.From(err, apierr.OutcomeUnknown)
		fields = append(fields, events.F("outcome", string(failure.Outcome)), events.F("error", err), events.F("broken_off", r.headSent))
	}
	r.server.options.Logger.Emit(event, fields...)
}

// result returns the status of the response, the reason in one word, and the event to log.
func (r *request) result(err error) (status int, reason string, event events.ID) {
	if err == nil {
		return r.status, "answered", events.RequestEnded
	}
	failure := apierr.From(err, apierr.OutcomeUnknown)
	status = r.status
	if !r.headSent {
		status = statusOf(failure)
	}
	return status, string(failure.Code), events.RequestFailed
}

// identityFields returns the request's IDs, time limits and route.
func (r *request) identityFields() []events.Field {
	fields := []events.Field{
		events.F("request", r.caller.ID), events.F("program", r.caller.Program), events.F("session", r.caller.Session),
		events.F("previous", r.caller.Previous), events.F("patience_millis", r.caller.TimeLimit.Milliseconds()),
	}
	if r.caller.LastEvent != "" {
		fields = append(fields, events.F("resumes", r.caller.Resumes), events.F("resume_after", r.caller.LastEvent), events.F("origin", r.resumption.origin))
	}
	if r.caller.HasProgramTimeLimit {
		fields = append(fields, events.F("program_left_millis", r.caller.ProgramTimeLimit.Milliseconds()))
	}
	if r.route != nil {
		fields = append(fields, events.F("route", r.route.Name()), events.F("service", r.service.Name))
	}
	return fields
}

// placementFields returns the chosen engine and the inputs of the choice.
func (r *request) placementFields() []events.Field {
	trace := r.call.Trace
	fields := []events.Field{
		events.F("engine", trace.Engine), events.F("software", trace.Software), events.F("preferred", r.call.Placement.Preferred), events.F("sends", trace.Sends),
		events.F("held_millis", trace.EngineWait.Milliseconds()), events.F("candidates", trace.Candidates),
		events.F("in_flight", trace.InFlight), events.F("busy", math.Round(trace.Load)),
		events.F("busy_age_millis", trace.LoadAge.Milliseconds()), events.F("pace", math.Round(trace.LatencyRatio*100)/100),
	}
	if key, interrupted := r.call.Interrupted(); interrupted {
		fields = append(fields, events.F("content", string(key)), events.F("engine_ends", trace.Ends))
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
	m.duration.WithLabelValues(r.service.Name).Observe(took.Seconds())
	m.observeTurn(r)
	m.observeOrigin(r)
	if r.call != nil {
		if _, interrupted := r.call.Interrupted(); interrupted {
			m.engineEnds.WithLabelValues(strconv.Itoa(r.call.Trace.Ends)).Inc()
		}
	}
	if r.outcome != nil {
		m.streams.WithLabelValues(r.outcome.result).Inc()
	}
	if !r.firstEventAt.IsZero() {
		m.firstEvent.WithLabelValues(r.service.Name).Observe(r.firstEventAt.Sub(r.arrivedAt).Seconds())
	}
}

// The values of the label "place" tell whether a turn ran on the same engine as the previous turn of its program.
const (
	placementSame    = "same"
	placementOther   = "other"
	placementUnknown = "unknown"
)

// observeTurn records how long a turn's reservation took and where the turn ran.
func (m *Metrics) observeTurn(r *request) {
	if r.reservation == nil {
		return
	}
	if r.openDuration > 0 {
		m.reservationDuration.WithLabelValues(strconv.FormatBool(r.runAhead)).Observe(r.openDuration.Seconds())
	}
	if r.engine == "" || r.call == nil {
		return
	}
	placement := placementOther
	switch r.call.Placement.Preferred {
	case "":
		placement = placementUnknown
	case r.engine:
		placement = placementSame
	}
	m.placements.WithLabelValues(placement).Inc()
}

// originUnrecorded counts new streams of which replicas hold no origin.
const originUnrecorded = "unrecorded"

func (m *Metrics) observeOrigin(r *request) {
	switch {
	case r.resumption.origin != "":
		m.origins.WithLabelValues(r.resumption.origin).Inc()
	case r.originErr != nil:
		m.origins.WithLabelValues(originUnrecorded).Inc()
	}
}

func (m *Metrics) countDroppedLine() {
	if m != nil {
		m.droppedLines.Inc()
	}
}

// countResumption counts an attempt to continue a stream.
func (m *Metrics) countResumption(outcome string) {
	if m != nil {
		m.resumptions.WithLabelValues(outcome).Inc()
	}
}
