package load

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestCountsEncoding(t *testing.T) {
	counts := Counts{{Engine: "e--1", Calls: 3}, {Engine: "e--2", Calls: 12}}
	encoded, err := json.Marshal(counts)
	assert.NilError(t, err)
	assert.Equal(t, string(encoded), `"e--13,e--212"`)
	var decoded Counts
	assert.NilError(t, json.Unmarshal(encoded, &decoded))
	assert.DeepEqual(t, decoded, counts)
	for _, invalid := range []string{"e-1", "e--1", "e--1x", "e--1-1", "e--11,"} {
		var failed *ErrCounts
		assert.Assert(t, findErrCounts(decoded.UnmarshalText([]byte(invalid)), &failed), invalid)
	}
}

// findErrCounts sets target to the first ErrCounts in the chain of causes and reports whether there is one.
func findErrCounts(err error, target **ErrCounts) bool {
	for err != nil {
		if found, ok := err.(*ErrCounts); ok {
			*target = found
			return true
		}
		unwrapper, ok := err.(interface{ Unwrap() error })
		if !ok {
			return false
		}
		err = unwrapper.Unwrap()
	}
	return false
}

func TestExchangeReturnsSumOfOtherGateways(t *testing.T) {
	aggregator := NewAggregator()
	assert.Equal(t, len(aggregator.Exchange(start, "g1", Counts{{"e1", 2}, {"e2", 1}})), 0)
	assert.DeepEqual(t, aggregator.Exchange(start, "g2", Counts{{"e1", 5}}), Counts{{"e1", 2}, {"e2", 1}})
	assert.DeepEqual(t, aggregator.Exchange(start, "g3", nil), Counts{{"e1", 7}, {"e2", 1}})
	// A newer report replaces the previous one.
	assert.DeepEqual(t, aggregator.Exchange(start, "g1", Counts{{"e2", 4}}), Counts{{"e1", 5}})
}

// The last report of a crashed gateway must not count after reportExpiry.
func TestReportsExpire(t *testing.T) {
	aggregator := NewAggregator()
	aggregator.Exchange(start, "g1", Counts{{"e1", 2}})
	assert.Equal(t, len(aggregator.Exchange(start.Add(reportExpiry+time.Millisecond), "g2", nil)), 0)
}

func TestOldReportsDecay(t *testing.T) {
	view := NewView()
	_, known := view.Age(start)
	assert.Assert(t, !known)
	view.Take(start, Counts{{"e1", 8}})
	assert.Equal(t, view.Calls(start.Add(reportFreshAge), "e1"), 8.0)
	assert.Equal(t, view.Calls(start.Add(2*reportFreshAge), "e1"), 2.0)
	assert.Assert(t, view.Calls(start.Add(10*reportFreshAge), "e1") < 0.1)
	assert.Equal(t, view.Calls(start, "e2"), 0.0)
}

func TestLargeReportsKeepTheBusiestEngines(t *testing.T) {
	var counts Counts
	for index := range 200 {
		counts = append(counts, Count{Engine: KeyOf(fmt.Sprint("e", index)), Calls: index})
	}
	busiest := counts.Busiest()
	assert.Equal(t, len(busiest), maxEntries)
	assert.Equal(t, busiest[0], Count{KeyOf("e199"), 199})
}

// Reports and responses of any size must not exceed bytesPerSecond.
func TestPacerLimitsBandwidth(t *testing.T) {
	for _, size := range []int{10, 400, 5000} {
		var pacer Pacer
		bytes := 0
		for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(5 * time.Millisecond) {
			if pacer.Allow(now) {
				pacer.Charge(size)
				bytes += size
			}
		}
		assert.Assert(t, bytes <= 20*bytesPerSecond+size, "%d bytes were allowed in 20 s in messages of %d bytes", bytes, size)
	}
}

func TestKeysAreShortAndDistinct(t *testing.T) {
	seen := make(map[Key]bool)
	for index := range 400 {
		key := KeyOf(fmt.Sprint("engine-", index))
		assert.Equal(t, len(key), keyLength)
		seen[key] = true
	}
	assert.Equal(t, len(seen), 400)
}
