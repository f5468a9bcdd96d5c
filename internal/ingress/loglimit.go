package ingress

import "golang.org/x/time/rate"

const (
	// successLinesPerSecond and failureLinesPerSecond bound the log lines on requests; lineBurst is
	// the burst of each limit. The limits are separate, so that many successes never suppress
	// failures.
	successLinesPerSecond = 100
	failureLinesPerSecond = 100
	lineBurst             = 300
)

// logLimiter limits the rate of request log lines.
type logLimiter struct {
	succeeded *rate.Limiter
	failed    *rate.Limiter
}

func newLogLimiter() *logLimiter {
	return &logLimiter{succeeded: rate.NewLimiter(successLinesPerSecond, lineBurst), failed: rate.NewLimiter(failureLinesPerSecond, lineBurst)}
}

// allow reports whether a line may be written.
func (l *logLimiter) allow(failed bool) bool {
	if failed {
		return l.failed.Allow()
	}
	return l.succeeded.Allow()
}
