package gateway

import "github.com/prometheus/client_golang/prometheus"

// Metrics are the gateway's counters and histograms.
type Metrics struct {
	calls       *prometheus.CounterVec
	failures    *prometheus.CounterVec
	retries     *prometheus.CounterVec
	duration    *prometheus.HistogramVec
	firstToken  *prometheus.HistogramVec
	tokens      *prometheus.CounterVec
	joinedCalls prometheus.Counter
}

// NewMetrics returns the gateway's metrics and registers them.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	buckets := prometheus.ExponentialBuckets(0.005, 2, 15)
	metrics := &Metrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mountstile_calls_total", Help: "Calls answered, by service."}, []string{"service"}),
		failures: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mountstile_failures_total", Help: "Requests that ended with a failure, by code."}, []string{"code"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mountstile_attempts_lost_total", Help: "Attempts that brought no answer, by service."}, []string{"service"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "mountstile_call_duration_seconds", Help: "From request to last byte, by service.", Buckets: buckets}, []string{"service"}),
		firstToken: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "mountstile_first_token_seconds", Help: "From request to first token, by service.", Buckets: buckets}, []string{"service"}),
		tokens: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mountstile_tokens_total", Help: "Tokens by service and kind (prompt, cached, completion)."}, []string{"service", "kind"}),
		joinedCalls: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "mountstile_joined_calls_total", Help: "Calls answered from the record of the call that they repeat."}),
	}
	registry.MustRegister(metrics.calls, metrics.failures, metrics.retries, metrics.duration, metrics.firstToken, metrics.tokens, metrics.joinedCalls)
	return metrics
}
