package clock

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestDurationIsBounded(t *testing.T) {
	for number, want := range map[float64]time.Duration{
		0: 0, 1.5: 1500 * time.Microsecond, -1.5: -1500 * time.Microsecond, 1e308: math.MaxInt64, -1e308: math.MinInt64,
		math.Inf(1): math.MaxInt64, math.Inf(-1): math.MinInt64, math.MaxInt64 / 1e6: math.MaxInt64,
	} {
		assert.Equal(t, Duration(number, time.Millisecond), want, "%g", number)
	}
	assert.Equal(t, Duration(math.NaN(), time.Second), time.Duration(0))
}
