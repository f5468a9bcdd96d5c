package emulator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// blocksOf returns consecutive block hashes.
func blocksOf(first uint64, count int) []uint64 {
	blocks := make([]uint64, count)
	for index := range blocks {
		blocks[index] = first + uint64(index)
	}
	return blocks
}

// runToIdle steps the model until it is idle and returns the virtual time and the tokens of each request.
func runToIdle(model *Model) (time.Duration, map[string]int) {
	var total time.Duration
	tokens := make(map[string]int)
	for model.Busy() {
		duration, progress := model.Step()
		total += duration
		for _, item := range progress {
			tokens[item.ID]++
		}
	}
	return total, tokens
}

// TestOneRequestAlone checks the duration of a single request: chunked prefill, then one step per token.
func TestOneRequestAlone(t *testing.T) {
	config := DefaultConfig()
	model := NewModel(config)
	model.Submit(Request{ID: "a", PromptTokens: 1000, OutputTokens: 50})
	duration, tokens := runToIdle(model)
	// The prefill takes two chunks; the step that completes it also generates the first token.
	steps := 2 + 50 - 1
	assert.Equal(t, duration, time.Duration(steps)*config.StepBase+1000*config.PrefillPerToken)
	assert.Equal(t, tokens["a"], 50)
}

// TestSaturatedBatch checks that equal requests in a full batch take as many steps as one request, each step longer.
func TestSaturatedBatch(t *testing.T) {
	config := DefaultConfig()
	config.PrefillPerToken = 0
	config.PrefillChunk = 1 << 20
	model := NewModel(config)
	for number := range config.MaxBatch {
		model.Submit(Request{ID: string(rune('a' + number)), PromptTokens: 10, OutputTokens: 20})
	}
	duration, _ := runToIdle(model)
	step := config.StepBase + time.Duration(config.MaxBatch-1)*config.StepPerSequence
	assert.Equal(t, duration, 20*step)
}

// TestCacheAtExactCapacity checks the LRU limits: a working set of the cache's size always hits after the
// first pass; a larger one, accessed cyclically, never hits.
func TestCacheAtExactCapacity(t *testing.T) {
	config := DefaultConfig()
	config.CacheBlocks = 40
	fits, overflows := NewModel(config), NewModel(config)
	run := func(model *Model, sets int) CacheStats {
		for range 5 {
			for set := range sets {
				model.Submit(Request{ID: "r", Program: string(rune('a' + set)), Blocks: blocksOf(uint64(set)*100, 10), PromptTokens: 160, OutputTokens: 1})
				runToIdle(model)
			}
		}
		return model.Cache()
	}
	stats := run(fits, 4)
	assert.Equal(t, stats.Misses, int64(40))
	assert.Equal(t, stats.Hits, int64(160))
	assert.Equal(t, stats.WastedFraction(), 0.0)
	stats = run(overflows, 5)
	assert.Equal(t, stats.Hits, int64(0))
	assert.Equal(t, stats.WastedFraction(), 1.0)
}

func TestHigherPriorityPreempts(t *testing.T) {
	config := DefaultConfig()
	config.MaxBatch, config.PrefillChunk = 1, 16
	model := NewModel(config)
	model.Submit(Request{ID: "low", PromptTokens: 64, OutputTokens: 2})
	model.Step()
	model.Submit(Request{ID: "high", PromptTokens: 16, OutputTokens: 1, Priority: 5})
	_, progress := model.Step()
	assert.Equal(t, progress[0].ID, "high")
	_, tokens := runToIdle(model)
	assert.Equal(t, tokens["low"], 2)
}

func TestReleaseKeepsSharedBlocks(t *testing.T) {
	model := NewModel(DefaultConfig())
	shared := blocksOf(1, 4)
	model.Submit(Request{ID: "a", Program: "a", Blocks: append(blocksOf(1, 4), 100), PromptTokens: 80, OutputTokens: 1})
	runToIdle(model)
	model.Submit(Request{ID: "b", Program: "b", Blocks: shared, PromptTokens: 64, OutputTokens: 1})
	runToIdle(model)
	assert.Equal(t, model.Release("a"), 1)
	assert.Equal(t, model.cache.heldBy("a"), 0)
}

// TestEveryBlockIsAccountedFor checks the cache's counters after random submits, cancels, releases and steps.
func TestEveryBlockIsAccountedFor(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		config := DefaultConfig()
		config.CacheBlocks, config.MaxBatch = 30, 3
		model := NewModel(config)
		for range rapid.IntRange(1, 60).Draw(r, "events") {
			id := string(rune('a' + rapid.IntRange(0, 5).Draw(r, "id")))
			switch rapid.IntRange(0, 4).Draw(r, "event") {
			case 0, 1:
				blocks := rapid.IntRange(0, 20).Draw(r, "blocks")
				model.Submit(Request{ID: id, Program: id, Blocks: blocksOf(rapid.Uint64Range(0, 40).Draw(r, "first"), blocks), PromptTokens: blocks*16 + 1, OutputTokens: rapid.IntRange(1, 4).Draw(r, "tokens")})
			case 2:
				model.Cancel(id)
			case 3:
				model.Release(id)
			default:
				model.Step()
			}
			stats := model.Cache()
			accounted := stats.EvictedReused + stats.EvictedUnused + stats.ReleasedReused + stats.ReleasedUnused + stats.HeldReused + stats.HeldUnused
			assert.Equal(r, accounted, stats.Created)
			assert.Assert(r, int64(len(model.cache.blocks)) <= stats.Capacity)
		}
		runToIdle(model)
		assert.Equal(r, model.cache.idle.Len(), len(model.cache.blocks), "blocks remain pinned")
	})
}
