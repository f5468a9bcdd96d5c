package load

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestSheetGoesThroughJSON(t *testing.T) {
	sheet := Counts{{Engine: "e--1", Calls: 3}, {Engine: "e--2", Calls: 12}}
	encoded, err := json.Marshal(sheet)
	assert.NilError(t, err)
	assert.Equal(t, string(encoded), `"e--13,e--212"`)
	var decoded Counts
	assert.NilError(t, json.Unmarshal(encoded, &decoded))
	assert.DeepEqual(t, decoded, sheet)
	for _, damaged := range []string{"e-1", "e--1", "e--1x", "e--1-1", "e--11,"} {
		var failed *ErrCounts
		assert.Assert(t, assertAs(decoded.UnmarshalText([]byte(damaged)), &failed), damaged)
	}
}

func assertAs(err error, target **ErrCounts) bool {
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

func TestBoardAddsUpTheOthers(t *testing.T) {
	board := NewAggregator()
	assert.Equal(t, len(board.Exchange(start, "g1", Counts{{"e1", 2}, {"e2", 1}})), 0)
	assert.DeepEqual(t, board.Exchange(start, "g2", Counts{{"e1", 5}}), Counts{{"e1", 2}, {"e2", 1}})
	assert.DeepEqual(t, board.Exchange(start, "g3", nil), Counts{{"e1", 7}, {"e2", 1}})
	// A later report replaces the one before it.
	assert.DeepEqual(t, board.Exchange(start, "g1", Counts{{"e2", 4}}), Counts{{"e1", 5}})
}

// A gateway that died must not count for longer than its calls last.
func TestBoardForgetsGatewaysThatStopReporting(t *testing.T) {
	board := NewAggregator()
	board.Exchange(start, "g1", Counts{{"e1", 2}})
	assert.Equal(t, len(board.Exchange(start.Add(reportKept+time.Millisecond), "g2", nil)), 0)
}

func TestOldNewsFades(t *testing.T) {
	view := NewView()
	_, known := view.Age(start)
	assert.Assert(t, !known)
	view.Take(start, Counts{{"e1", 8}})
	assert.Equal(t, view.Calls(start.Add(newsHalfLife), "e1"), 8.0)
	assert.Equal(t, view.Calls(start.Add(2*newsHalfLife), "e1"), 2.0)
	assert.Assert(t, view.Calls(start.Add(10*newsHalfLife), "e1") < 0.1)
	assert.Equal(t, view.Calls(start, "e2"), 0.0)
}

func TestLargeSheetsTellTheBusiest(t *testing.T) {
	var sheet Counts
	for index := range 200 {
		sheet = append(sheet, Count{Engine: KeyOf(fmt.Sprint("e", index)), Calls: index})
	}
	busiest := sheet.Busiest()
	assert.Equal(t, len(busiest), mostEntries)
	assert.Equal(t, busiest[0], Count{KeyOf("e199"), 199})
}

// Reports and answers of any size take no more than their bytes a second.
func TestPacerBoundsTheBytes(t *testing.T) {
	for _, size := range []int{10, 400, 5000} {
		var pacer Pacer
		bytes := 0
		for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(5 * time.Millisecond) {
			if pacer.Allow(now) {
				pacer.Charge(size)
				bytes += size
			}
		}
		assert.Assert(t, bytes <= 20*bytesPerSecond+size, "%d bytes of size %d", bytes, size)
	}
}

func TestKeysAreShortAndDiffer(t *testing.T) {
	seen := make(map[Key]bool)
	for index := range 400 {
		key := KeyOf(fmt.Sprint("engine-", index))
		assert.Equal(t, len(key), keyCharacters)
		seen[key] = true
	}
	assert.Equal(t, len(seen), 400)
}
