package ingress

import "golang.org/x/time/rate"

const (
	// answeredLines and failedLines bound the lines a second on requests that were answered and that
	// failed, each; lineBurst is how many may come at once. Failures have a limit of their own, so
	// that a flood of successes never drops them.
	answeredLines = 100
	failedLines   = 100
	lineBurst     = 300
)

// lineLimit bounds the log under load.
type lineLimit struct {
	answered *rate.Limiter
	failed   *rate.Limiter
}

func newLineLimit() *lineLimit {
	return &lineLimit{answered: rate.NewLimiter(answeredLines, lineBurst), failed: rate.NewLimiter(failedLines, lineBurst)}
}

// allows reports whether a line may be written.
func (l *lineLimit) allows(failed bool) bool {
	if failed {
		return l.failed.Allow()
	}
	return l.answered.Allow()
}
