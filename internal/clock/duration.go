package clock

import (
	"math"
	"time"
)

// Duration returns a number of units. A number that exceeds a time.Duration becomes the longest or the shortest one, and NaN becomes 0: the result of
// the conversion alone depends on the processor.
func Duration(number float64, unit time.Duration) time.Duration {
	nanoseconds := number * float64(unit)
	switch {
	case math.IsNaN(nanoseconds):
		return 0
	case nanoseconds >= math.MaxInt64:
		return math.MaxInt64
	case nanoseconds <= math.MinInt64:
		return math.MinInt64
	}
	return time.Duration(nanoseconds)
}
