package emulator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func blocksOf(first uint64, count int) []uint64 {
	blocks := make([]uint64, count)
	for index := range blocks {
		blocks[index] = first + uint64(index)
	}
	return blocks
}

// finish steps until nothing is left and returns the time and the tokens of each request.
func finish(model *Model) (time.Duration, map[string]int) {
	var total time.Duration
	tokens := make(map[string]int)
	for model.Busy() {
		took, progress := model.Step()
		total += took
		for _, item := range progress {
			tokens[item.ID]++
		}
	}
	return total, tokens
}

// TestOneRequestAlone: prefill in chunks, then a step a token (closed form).
func TestOneRequestAlone(t *testing.T) {
	config := DefaultConfig()
	model := NewModel(config)
	model.Submit(Request{ID: "a", PromptTokens: 1000, OutputTokens: 50})
	took, tokens := finish(model)
	// The step that computes the last of the prompt gives the first token.
	steps := 2 + 50 - 1
	assert.Equal(t, took, time.Duration(steps)*config.StepBase+1000*config.PrefillPerToken)
	assert.Equal(t, tokens["a"], 50)
}

// TestSaturatedBatch: n equal requests in a full batch take one request's steps, each longer.
func TestSaturatedBatch(t *testing.T) {
	config := DefaultConfig()
	config.PrefillPerToken = 0
	config.PrefillChunk = 1 << 20
	model := NewModel(config)
	for number := range config.MaxBatch {
		model.Submit(Request{ID: string(rune('a' + number)), PromptTokens: 10, OutputTokens: 20})
	}
	took, _ := finish(model)
	step := config.StepBase + time.Duration(config.MaxBatch-1)*config.StepPerSequence
	assert.Equal(t, took, 20*step)
}

// TestCacheAtExactCapacity: a working set as large as the cache is always found; one block more,
// used in turn, never is (least recently used).
func TestCacheAtExactCapacity(t *testing.T) {
	config := DefaultConfig()
	config.CacheBlocks = 40
	fits, overflows := NewModel(config), NewModel(config)
	play := func(model *Model, sets int) CacheStats {
		for range 5 {
			for set := range sets {
				model.Submit(Request{ID: "r", Program: string(rune('a' + set)), Blocks: blocksOf(uint64(set)*100, 10), PromptTokens: 160, OutputTokens: 1})
				finish(model)
			}
		}
		return model.Cache()
	}
	stats := play(fits, 4)
	assert.Equal(t, stats.Misses, int64(40))
	assert.Equal(t, stats.Hits, int64(160))
	assert.Equal(t, stats.WastedFraction(), 0.0)
	stats = play(overflows, 5)
	assert.Equal(t, stats.Hits, int64(0))
	assert.Equal(t, stats.WastedFraction(), 1.0)
}

func TestPriorityGoesFirstAndPreempts(t *testing.T) {
	config := DefaultConfig()
	config.MaxBatch, config.PrefillChunk = 1, 16
	model := NewModel(config)
	model.Submit(Request{ID: "low", PromptTokens: 64, OutputTokens: 2})
	model.Step()
	model.Submit(Request{ID: "high", PromptTokens: 16, OutputTokens: 1, Priority: 5})
	_, progress := model.Step()
	assert.Equal(t, progress[0].ID, "high")
	_, tokens := finish(model)
	assert.Equal(t, tokens["low"], 2)
}

func TestReleaseKeepsSharedBlocks(t *testing.T) {
	model := NewModel(DefaultConfig())
	shared := blocksOf(1, 4)
	model.Submit(Request{ID: "a", Program: "a", Blocks: append(blocksOf(1, 4), 100), PromptTokens: 80, OutputTokens: 1})
	finish(model)
	model.Submit(Request{ID: "b", Program: "b", Blocks: shared, PromptTokens: 64, OutputTokens: 1})
	finish(model)
	assert.Equal(t, model.Release("a"), 1)
	assert.Equal(t, model.cache.heldBy("a"), 0)
}

// TestEveryBlockIsAccountedFor plays random requests, cancels and releases.
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
			ended := stats.EvictedReused + stats.EvictedUnused + stats.ReleasedReused + stats.ReleasedUnused + stats.HeldReused + stats.HeldUnused
			assert.Equal(r, ended, stats.Created)
			assert.Assert(r, int64(len(model.cache.blocks)) <= stats.Capacity)
		}
		finish(model)
		assert.Equal(r, model.cache.idle.Len(), len(model.cache.blocks), "nothing stays pinned")
	})
}
