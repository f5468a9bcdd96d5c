// Package emulator emulates a language-model engine: continuous batching, chunked prefill, an LRU
// prefix cache of bounded size, priorities and preemption. Model is a deterministic state machine that
// advances in steps of virtual time; Server runs a Model in real time behind the chat-completions API.
// The constants are documented in docs/EMULATOR.md.
package emulator

import (
	"cmp"
	"slices"
	"time"
)

// Config holds the engine's timing and size parameters.
type Config struct {
	// StepBase is the duration of a step with one sequence; StepPerSequence is added for each further one.
	StepBase        time.Duration `yaml:"stepBase"`
	StepPerSequence time.Duration `yaml:"stepPerSequence"`
	// PrefillPerToken is added for each prompt token computed in the step.
	PrefillPerToken time.Duration `yaml:"prefillPerToken"`
	// PrefillChunk is the maximum number of prompt tokens computed in one step.
	PrefillChunk int `yaml:"prefillChunk"`
	// MaxBatch is the maximum number of running sequences.
	MaxBatch int `yaml:"maxBatch"`
	// BlockTokens is the size of a cache block in tokens; CacheBlocks is the cache's capacity in blocks.
	BlockTokens int `yaml:"blockTokens"`
	CacheBlocks int `yaml:"cacheBlocks"`
}

// DefaultConfig returns parameters of a small model on a fraction of an accelerator.
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

// Request is a sequence to generate.
type Request struct {
	ID      string
	Program string
	// Blocks are the chained hashes of the prompt's full blocks; see PromptBlocks.
	Blocks []uint64
	// PromptTokens is the prompt's length, including a partial last block.
	PromptTokens int
	// OutputTokens is the number of tokens to generate.
	OutputTokens int
	// Priority orders waiting requests; higher values run first.
	Priority int
}

// Progress reports the token that a step generated for a sequence.
type Progress struct {
	ID string
	// Token is the number of the generated token, from 1.
	Token int
	Done  bool
	// Cached is the number of prompt tokens found in the prefix cache.
	Cached int
}

type sequence struct {
	request Request
	arrival int
	// prefillRemaining is the number of prompt tokens still to compute.
	prefillRemaining int
	cachedTokens     int
	generated        int
	// blocks are the pinned blocks, which may be fewer than request.Blocks.
	blocks []uint64
}

// Model is the engine's state between steps. It is not safe for concurrent use.
type Model struct {
	config   Config
	cache    *cache
	waiting  []*sequence
	running  []*sequence
	arrivals int
}

// NewModel returns an idle engine with an empty cache.
func NewModel(config Config) *Model {
	return &Model{config: config, cache: newCache(config.CacheBlocks)}
}

// Submit queues a request.
func (m *Model) Submit(request Request) {
	m.arrivals++
	m.waiting = append(m.waiting, &sequence{request: request, arrival: m.arrivals})
}

// Cancel removes a waiting or running request; its blocks stay cached.
func (m *Model) Cancel(id string) {
	m.waiting = slices.DeleteFunc(m.waiting, func(seq *sequence) bool { return seq.request.ID == id })
	for _, seq := range m.running {
		if seq.request.ID == id {
			m.unpinBlocks(seq)
		}
	}
	m.running = slices.DeleteFunc(m.running, func(seq *sequence) bool { return seq.request.ID == id })
}

// Busy reports whether any sequence is waiting or running.
func (m *Model) Busy() bool { return len(m.waiting)+len(m.running) > 0 }

// Load returns the number of running and waiting sequences.
func (m *Model) Load() (running, waiting int) { return len(m.running), len(m.waiting) }

// Cache returns the counters of the prefix cache.
func (m *Model) Cache() CacheStats { return m.cache.stats() }

// Release drops the idle cache blocks that only this program has used and returns their number.
func (m *Model) Release(program string) int { return m.cache.release(program) }

// Step runs one step and returns its duration and the tokens generated in it.
func (m *Model) Step() (time.Duration, []Progress) {
	m.admit()
	if len(m.running) == 0 {
		return m.config.StepBase, nil
	}
	budget := m.config.PrefillChunk
	prefilled := 0
	var progress []Progress
	for _, seq := range m.running {
		if seq.prefillRemaining > 0 {
			chunk := min(seq.prefillRemaining, budget)
			seq.prefillRemaining -= chunk
			budget -= chunk
			prefilled += chunk
			if seq.prefillRemaining > 0 {
				continue
			}
		}
		seq.generated++
		done := seq.generated >= seq.request.OutputTokens
		progress = append(progress, Progress{ID: seq.request.ID, Token: seq.generated, Done: done, Cached: seq.cachedTokens})
	}
	duration := m.config.StepBase + time.Duration(len(m.running)-1)*m.config.StepPerSequence + time.Duration(prefilled)*m.config.PrefillPerToken
	m.removeFinished()
	return duration, progress
}

func (m *Model) removeFinished() {
	for _, seq := range m.running {
		if seq.generated >= seq.request.OutputTokens {
			m.unpinBlocks(seq)
		}
	}
	m.running = slices.DeleteFunc(m.running, func(seq *sequence) bool { return seq.generated >= seq.request.OutputTokens })
}

// unpinBlocks lets the cache evict a sequence's blocks.
func (m *Model) unpinBlocks(seq *sequence) { m.cache.unpin(seq.blocks) }

// admit fills the batch by priority, then arrival. In a full batch, a waiting request preempts a running
// one of lower priority that has not generated a token yet.
func (m *Model) admit() {
	slices.SortStableFunc(m.waiting, func(a, b *sequence) int {
		if order := cmp.Compare(b.request.Priority, a.request.Priority); order != 0 {
			return order
		}
		return cmp.Compare(a.arrival, b.arrival)
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

// preempt moves the running sequence of the lowest priority, of those below the given priority that have
// not generated a token, back to the queue. It reports whether there was one.
func (m *Model) preempt(priority int) bool {
	victim := -1
	for index, seq := range m.running {
		if seq.generated == 0 && seq.request.Priority < priority && (victim < 0 || seq.request.Priority < m.running[victim].request.Priority) {
			victim = index
		}
	}
	if victim < 0 {
		return false
	}
	seq := m.running[victim]
	m.unpinBlocks(seq)
	m.running = slices.Delete(m.running, victim, victim+1)
	m.waiting = append(m.waiting, seq)
	return true
}

// start moves a sequence into the batch, unless its blocks don't fit into the cache.
func (m *Model) start(seq *sequence) bool {
	blocks := seq.request.Blocks
	if len(blocks) > m.config.CacheBlocks {
		// The rest of a prompt larger than the cache runs uncached.
		blocks = blocks[:m.config.CacheBlocks]
	}
	hits, fits := m.cache.pin(blocks, seq.request.Program)
	if !fits {
		return false
	}
	seq.blocks = blocks
	seq.cachedTokens = min(hits*m.config.BlockTokens, max(0, seq.request.PromptTokens-1))
	seq.prefillRemaining = seq.request.PromptTokens - seq.cachedTokens
	seq.generated = 0
	m.running = append(m.running, seq)
	return true
}
