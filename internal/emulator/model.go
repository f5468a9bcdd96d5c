// Package emulator is a model engine without a model: continuous batching, chunked prefill, a
// bounded prefix cache with least-recently-used eviction, priorities and preemption, in steps of
// virtual time. Model is pure; Server runs it in real time behind the chat-completions API.
// docs/EMULATOR.md gives the constants and their sources.
package emulator

import (
	"cmp"
	"slices"
	"time"
)

// Config are the engine's constants.
type Config struct {
	// StepBase is the time of a step with one sequence; StepPerSequence is added for each further.
	StepBase        time.Duration `yaml:"stepBase"`
	StepPerSequence time.Duration `yaml:"stepPerSequence"`
	// PrefillPerToken is added for each prompt token computed in the step.
	PrefillPerToken time.Duration `yaml:"prefillPerToken"`
	// PrefillChunk bounds the prompt tokens computed in one step.
	PrefillChunk int `yaml:"prefillChunk"`
	// MaxBatch bounds the sequences that run at once.
	MaxBatch int `yaml:"maxBatch"`
	// BlockTokens is the cache's granularity; CacheBlocks its size.
	BlockTokens int `yaml:"blockTokens"`
	CacheBlocks int `yaml:"cacheBlocks"`
}

// DefaultConfig is a small model on a small share of an accelerator.
func DefaultConfig() Config {
	return Config{
		StepBase:        3 * time.Millisecond,
		StepPerSequence: 100 * time.Microsecond,
		PrefillPerToken: 20 * time.Microsecond,
		PrefillChunk:    512,
		MaxBatch:        16,
		BlockTokens:     16,
		CacheBlocks:     8192,
	}
}

// Request is one sequence to be generated.
type Request struct {
	ID      string
	Program string
	// Blocks identify the prompt's whole blocks by the chain of their contents.
	Blocks []uint64
	// PromptTokens is the prompt's length, including a last block that is not whole.
	PromptTokens int
	// OutputTokens is how many tokens will be generated.
	OutputTokens int
	// Higher priorities run first.
	Priority int
}

// Progress is what a step did for one sequence.
type Progress struct {
	ID string
	// Token is the number of the token generated, from 1; 0 while the prompt is computed.
	Token  int
	Done   bool
	Cached int
}

type sequence struct {
	request   Request
	arrived   int
	remaining int
	cached    int
	generated int
	blocks    []uint64
}

// Model is the engine's state between steps. It is not safe for concurrent use.
type Model struct {
	config  Config
	cache   *cache
	waiting []*sequence
	running []*sequence
	arrival int
}

// NewModel returns an idle engine with an empty cache.
func NewModel(config Config) *Model {
	return &Model{config: config, cache: newCache(config.CacheBlocks)}
}

// Submit puts a request into the engine's line.
func (m *Model) Submit(request Request) {
	m.arrival++
	m.waiting = append(m.waiting, &sequence{request: request, arrived: m.arrival})
}

// Cancel ends a request wherever it is; its blocks stay cached.
func (m *Model) Cancel(id string) {
	m.waiting = slices.DeleteFunc(m.waiting, func(item *sequence) bool { return item.request.ID == id })
	for _, item := range m.running {
		if item.request.ID == id {
			m.retire(item)
		}
	}
	m.running = slices.DeleteFunc(m.running, func(item *sequence) bool { return item.request.ID == id })
}

// Busy reports whether there is anything to do.
func (m *Model) Busy() bool { return len(m.waiting)+len(m.running) > 0 }

// Load returns how many sequences run and wait.
func (m *Model) Load() (running, waiting int) { return len(m.running), len(m.waiting) }

// Cache returns the accounting of the cache.
func (m *Model) Cache() CacheStats { return m.cache.stats() }

// Release drops what only the program needs of the cache; it returns how many blocks.
func (m *Model) Release(program string) int { return m.cache.release(program) }

// Step runs one step and returns how long it takes and what it brought.
func (m *Model) Step() (time.Duration, []Progress) {
	m.admit()
	if len(m.running) == 0 {
		return m.config.StepBase, nil
	}
	budget := m.config.PrefillChunk
	prefilled := 0
	var progress []Progress
	for _, item := range m.running {
		if item.remaining > 0 {
			chunk := min(item.remaining, budget)
			item.remaining -= chunk
			budget -= chunk
			prefilled += chunk
			if item.remaining > 0 {
				continue
			}
		}
		item.generated++
		done := item.generated >= item.request.OutputTokens
		progress = append(progress, Progress{ID: item.request.ID, Token: item.generated, Done: done, Cached: item.cached})
	}
	took := m.config.StepBase + time.Duration(len(m.running)-1)*m.config.StepPerSequence + time.Duration(prefilled)*m.config.PrefillPerToken
	m.removeDone()
	return took, progress
}

func (m *Model) removeDone() {
	for _, item := range m.running {
		if item.generated >= item.request.OutputTokens {
			m.retire(item)
		}
	}
	m.running = slices.DeleteFunc(m.running, func(item *sequence) bool { return item.generated >= item.request.OutputTokens })
}

// retire gives a sequence's blocks back to the cache.
func (m *Model) retire(item *sequence) { m.cache.unpin(item.blocks) }

// admit fills the batch, by priority and then arrival. A waiting request of higher priority takes
// the place of a running one that has generated nothing yet.
func (m *Model) admit() {
	slices.SortStableFunc(m.waiting, func(a, b *sequence) int {
		if order := cmp.Compare(b.request.Priority, a.request.Priority); order != 0 {
			return order
		}
		return cmp.Compare(a.arrived, b.arrived)
	})
	for len(m.waiting) > 0 {
		if len(m.running) >= m.config.MaxBatch && !m.preempt(m.waiting[0].request.Priority) {
			return
		}
		if !m.start(m.waiting[0]) {
			return
		}
		m.waiting = m.waiting[1:]
	}
}

func (m *Model) preempt(priority int) bool {
	victim := -1
	for index, item := range m.running {
		if item.generated == 0 && item.request.Priority < priority && (victim < 0 || item.request.Priority < m.running[victim].request.Priority) {
			victim = index
		}
	}
	if victim < 0 {
		return false
	}
	item := m.running[victim]
	m.retire(item)
	m.running = slices.Delete(m.running, victim, victim+1)
	m.waiting = append(m.waiting, item)
	return true
}

// start takes the prompt's blocks from the cache as far as they are there, and makes the others.
func (m *Model) start(item *sequence) bool {
	blocks := item.request.Blocks
	if len(blocks) > m.config.CacheBlocks {
		// A prompt larger than the whole cache runs uncached.
		blocks = blocks[:m.config.CacheBlocks]
	}
	hits, fits := m.cache.pin(blocks, item.request.Program)
	if !fits {
		return false
	}
	item.blocks = blocks
	item.cached = min(hits*m.config.BlockTokens, max(0, item.request.PromptTokens-1))
	item.remaining = item.request.PromptTokens - item.cached
	item.generated = 0
	m.running = append(m.running, item)
	return true
}
