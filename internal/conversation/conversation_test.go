package conversation

import (
	"fmt"
	"runtime"
	"sort"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func turn(id, previous string) Record {
	return Record{Turn: &Turn{ID: id, Previous: previous, Text: []byte(id + "\n"), RetentionMillis: 60_000}}
}

func charge(program, turn string, tokens int64, settled bool) Record {
	return Record{Charge: &Charge{Program: program, Turn: turn, Tokens: tokens, Settled: settled}}
}

// fingerprint returns the records of a state in an order that does not depend on how they were applied.
func fingerprint(state *State) []string {
	var lines []string
	for _, record := range state.Records() {
		if record.Turn != nil {
			lines = append(lines, fmt.Sprintf("%+v", *record.Turn))
		} else {
			lines = append(lines, fmt.Sprintf("%+v", *record.Charge))
		}
	}
	sort.Strings(lines)
	return lines
}

// Replicas converge when they apply the same records in any order and any number of times.
func TestApplyIsCommutativeAndIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var records []Record
		for index := range rapid.IntRange(1, 12).Draw(t, "turns") {
			id := fmt.Sprintf("t%d", index)
			previous := ""
			if index > 0 {
				previous = fmt.Sprintf("t%d", rapid.IntRange(0, index-1).Draw(t, "previous"))
			}
			records = append(records, turn(id, previous), charge("p", id, 9, false))
			if rapid.Bool().Draw(t, "settled") {
				records = append(records, charge("p", id, int64(index), true))
			}
		}
		now := time.Now()
		first, second := New(), New()
		for _, record := range records {
			first.Apply(now, record)
		}
		for _, record := range rapid.Permutation(append(records, records...)).Draw(t, "order") {
			second.Apply(now, record)
		}
		assert.DeepEqual(t, fingerprint(first), fingerprint(second))
	})
}

// Pulling page by page while the source changes must not miss a record.
func TestKeysSinceMissesNoRecord(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		source, puller := New(), New()
		var position uint64
		pull := func(limit int) {
			keys, reached := source.KeysSince(position, limit)
			for _, key := range keys {
				record, found := source.Record(key)
				assert.Assert(t, found)
				puller.Apply(now, record)
			}
			assert.Assert(t, reached >= position)
			position = reached
		}
		for index := range rapid.IntRange(1, 40).Draw(t, "changes") {
			switch rapid.IntRange(0, 3).Draw(t, "change") {
			case 0:
				source.Apply(now, turn(fmt.Sprint(index), ""))
			case 1:
				source.Apply(now, charge("p", fmt.Sprint(index%5), 9, false))
			case 2:
				source.Apply(now, charge("p", fmt.Sprint(index%5), 3, true))
			case 3:
				pull(rapid.IntRange(1, 5).Draw(t, "limit"))
			}
		}
		for position < source.Sequence() {
			pull(3)
		}
		assert.DeepEqual(t, fingerprint(source), fingerprint(puller))
	})
}

func TestChain(t *testing.T) {
	state := New()
	now := time.Now()
	for _, record := range []Record{turn("a", ""), turn("b", "a"), turn("c", "b"), turn("other", "a"), turn("lost", "unknown")} {
		state.Apply(now, record)
	}
	turns, missing := state.Chain("c")
	assert.Equal(t, missing, "")
	assert.Equal(t, len(turns), 3)
	assert.Equal(t, turns[0].ID+turns[1].ID+turns[2].ID, "abc")
	turns, missing = state.Chain("lost")
	assert.Equal(t, missing, "unknown")
	assert.Equal(t, len(turns), 1)
	_, missing = state.Chain("nothing")
	assert.Equal(t, missing, "nothing")
}

// Continuing a turn extends the retention of its predecessors; after it, nothing is left.
func TestRetention(t *testing.T) {
	state := New()
	start := time.Now()
	state.Apply(start, turn("a", ""))
	state.Apply(start.Add(50*time.Second), turn("b", "a"))
	state.Apply(start, charge("p", "a", 5, true))
	state.Expire(start.Add(100 * time.Second))
	_, missing := state.Chain("b")
	assert.Equal(t, missing, "")
	state.Expire(start.Add(time.Hour))
	turns, programs := state.Size()
	assert.Equal(t, turns, 0)
	assert.Equal(t, programs, 0)
	assert.Equal(t, state.charges, 0)
	assert.Equal(t, len(state.Records()), 0)
	assert.Equal(t, len(state.changes), 0)
}

func TestSettledChargeIsFinal(t *testing.T) {
	state := New()
	now := time.Now()
	assert.Assert(t, state.Apply(now, charge("p", "a", 4, true)))
	assert.Assert(t, !state.Apply(now, charge("p", "a", 99, false)), "a late reservation must not replace a settled charge")
	assert.DeepEqual(t, state.Charges("p"), []Charge{{Program: "p", Turn: "a", Tokens: 4, Settled: true}})
	assert.Equal(t, len(state.Charges("q")), 0)
}

// Bounds the memory for each turn: a small replica must hold all charges within chargeRetention.
func TestMemoryPerTurn(t *testing.T) {
	const programs, turnsPerProgram, maxBytesPerTurn = 6000, 5, 320
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	state := New()
	now := time.Now()
	for program := range programs {
		for turn := range turnsPerProgram {
			number := program*turnsPerProgram + turn
			// Each record has its own copies of the strings, as when decoded from the network.
			name := func() string { return fmt.Sprintf("a573d82b6476%05d", program) }
			charge := func() string { return fmt.Sprintf("3w5e1126%05d", number) }
			state.Apply(now, Record{Charge: &Charge{Program: name(), Turn: charge(), Tokens: 288}})
			if number%3 == 0 {
				state.Apply(now, Record{Turn: &Turn{
					ID: fmt.Sprintf("125d1905ff57%06d", number), Previous: fmt.Sprintf("125d1905ff57%06d", number-3),
					Program: name(), Engine: fmt.Sprintf("i-%010d", number%45), RetentionMillis: 60_000,
				}})
			}
			state.Apply(now, Record{Charge: &Charge{Program: name(), Turn: charge(), Tokens: 72, Settled: true}})
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	bytesPerTurn := float64(after.HeapAlloc-before.HeapAlloc) / (programs * turnsPerProgram)
	assert.Assert(t, bytesPerTurn < maxBytesPerTurn, "%.0f bytes per turn", bytesPerTurn)
	assert.Equal(t, len(state.Charges("a573d82b647600000")), turnsPerProgram)
}
