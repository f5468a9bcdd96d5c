package emulator

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mountstile/mountstile/internal/engine"
)

// Paths of the emulator beyond the chat-completions API.
const (
	LedgerPath = "/ledger"
	StatsPath  = "/stats"
	FaultsPath = "/faults"
	HeldPath   = "/cache/held"
	maxBody    = 32 << 20
)

// LedgerEntry is one request that reached the engine.
type LedgerEntry struct {
	Program  string `json:"program"`
	Call     string `json:"call"`
	Attempt  string `json:"attempt"`
	Arrived  int64  `json:"arrived"`
	Messages int    `json:"messages"`
	Finished bool   `json:"finished"`
	// Prompt fingerprints the prompt without a partial answer.
	Prompt uint64 `json:"prompt"`
}

// Faults are the failures that the engine shows; all are off at first.
type Faults struct {
	// RefuseStatus answers every request with this status.
	RefuseStatus int `json:"refuse_status,omitempty"`
	// CutAfterTokens cuts the connection after so many tokens of each answer.
	CutAfterTokens int `json:"cut_after_tokens,omitempty"`
	// GarbleAfterTokens sends an event that is no JSON after so many tokens.
	GarbleAfterTokens int `json:"garble_after_tokens,omitempty"`
	// ResumeStatus answers requests to go on with a partial answer with this status and an error object.
	ResumeStatus int `json:"resume_status,omitempty"`
	// EndAfterTokens ends each answer after so many tokens with the end mark, but without a finish reason.
	EndAfterTokens int `json:"end_after_tokens,omitempty"`
	// NoEndMark ends each answer in order, but without the end mark.
	NoEndMark bool `json:"no_end_mark,omitempty"`
	// Hang stops the engine; requests stay open.
	Hang bool `json:"hang,omitempty"`
	// Slowdown multiplies the time of each step; 0 counts as 1.
	Slowdown float64 `json:"slowdown,omitempty"`
	// RefuseReleases answers releases of cache with an error.
	RefuseReleases bool `json:"refuse_releases,omitempty"`
	// Runs are failures of some runs and continuations.
	Runs RunFaults `json:"runs,omitzero"`
}

// Stats is what the engine counts.
type Stats struct {
	Running int        `json:"running"`
	Waiting int        `json:"waiting"`
	Cache   CacheStats `json:"cache"`
	Tokens  int64      `json:"tokens"`
	// Loads counts models that the engine began to load, RefusedOrders orders with a token too low.
	Loads         int64 `json:"loads"`
	RefusedOrders int64 `json:"refused_orders"`
}

// Server is an emulated engine as an http.Handler; Run must be running.
type Server struct {
	config Config
	mux    *http.ServeMux
	wake   chan struct{}

	mutex   sync.Mutex
	model   *Model
	streams map[string]chan Progress
	ledger  []*LedgerEntry
	faults  Faults
	// arrivals counts the runs of each prompt since the faults were set, by which faults of runs are drawn.
	arrivals map[uint64]int
	tokens   int64
	next     int64
	slot     modelSlot
	// loads and refusedOrders count orders that were followed and fenced off.
	loads, refusedOrders int64
}

// NewServer returns an idle engine.
func NewServer(config Config) *Server {
	server := &Server{
		config:   config,
		mux:      http.NewServeMux(),
		wake:     make(chan struct{}, 1),
		model:    NewModel(config),
		streams:  make(map[string]chan Progress),
		arrivals: make(map[uint64]int),
	}
	server.mux.HandleFunc("POST "+engine.ChatPath, server.handleChat)
	server.mux.HandleFunc("POST "+engine.ReleasePath, server.handleRelease)
	server.mux.HandleFunc("POST "+engine.OrdersPath, server.handleOrder)
	server.mux.HandleFunc("GET "+engine.OrdersPath, server.handleOrderState)
	server.mux.HandleFunc("GET "+LedgerPath, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, server.Ledger()) })
	server.mux.HandleFunc("GET "+StatsPath, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, server.Stats()) })
	server.mux.HandleFunc("GET "+HeldPath, server.handleHeld)
	server.mux.HandleFunc("PUT "+FaultsPath, server.handleFaults)
	return server
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Run steps the model in real time until the context ends.
func (s *Server) Run(ctx context.Context) {
	for {
		took, worked := s.step()
		if !worked {
			select {
			case <-ctx.Done():
				return
			case <-s.wake:
			}
			continue
		}
		timer := time.NewTimer(took)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}

// step runs one step and hands out its tokens.
func (s *Server) step() (time.Duration, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.model.Busy() || s.faults.Hang {
		return 0, false
	}
	took, progress := s.model.Step()
	for _, item := range progress {
		s.tokens++
		if stream := s.streams[item.ID]; stream != nil {
			// The channel holds every token of the answer, so that this never blocks.
			stream <- item
		}
	}
	if s.faults.Slowdown > 0 {
		took = time.Duration(float64(took) * s.faults.Slowdown)
	}
	return took, true
}

func (s *Server) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// SetFaults switches failures.
func (s *Server) SetFaults(faults Faults) {
	s.mutex.Lock()
	s.faults = faults
	clear(s.arrivals)
	s.mutex.Unlock()
	s.wakeUp()
}

// Ledger returns what has reached the engine, in order.
func (s *Server) Ledger() []LedgerEntry {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	entries := make([]LedgerEntry, 0, len(s.ledger))
	for _, entry := range s.ledger {
		entries = append(entries, *entry)
	}
	return entries
}

// Stats returns the engine's counters.
func (s *Server) Stats() Stats {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	running, waiting := s.model.Load()
	return Stats{Running: running, Waiting: waiting, Cache: s.model.Cache(), Tokens: s.tokens, Loads: s.loads, RefusedOrders: s.refusedOrders}
}

// Held counts the cached blocks that only one program uses.
func (s *Server) Held(program string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.model.cache.heldBy(program)
}

func (s *Server) handleHeld(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, s.Held(r.URL.Query().Get("program")))
}

func (s *Server) handleFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if kind := faults.Runs.unknownKind(); kind != "" {
		http.Error(w, "no kind of fault: "+string(kind), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}

type releaseBody struct {
	Program string `json:"program"`
}

func (s *Server) handleRelease(w http.ResponseWriter, r *http.Request) {
	var body releaseBody
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	refused := s.faults.RefuseReleases
	if !refused {
		s.model.Release(body.Program)
	}
	s.mutex.Unlock()
	if refused {
		http.Error(w, "releases are switched off", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// chatBody is what the emulator reads of a request.
type chatBody struct {
	Model    string          `json:"model"`
	Messages []promptMessage `json:"messages"`
	// MaxTokens bounds the answer; MinTokens is vLLM's extension that keeps it from ending early.
	MaxTokens int  `json:"max_tokens"`
	MinTokens int  `json:"min_tokens"`
	Stream    bool `json:"stream"`
	Priority  int  `json:"priority"`
	// Continue asks to go on with a partial answer, the last message.
	Continue bool `json:"continue_final_message"`
}

const (
	defaultTokens = 64
	leastTokens   = 8
)

// outputTokens is how long the whole answer is: fixed by the prompt.
func (b chatBody) outputTokens(prompt uint64, already int) int {
	most := b.MaxTokens + already
	if b.MaxTokens <= 0 {
		most = defaultTokens
	}
	least := max(min(leastTokens, most), b.MinTokens)
	if least >= most {
		return most
	}
	return least + int(prompt%uint64(most-least+1))
}

func (s *Server) handleChat(w http.ResponseWriter, r *http.Request) {
	var body chatBody
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if status := s.resumeStatus(); body.Continue && status != 0 {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_, _ = w.Write([]byte(resumeFailure))
		return
	}
	job, refusal := s.submit(r, body)
	if refusal != 0 {
		http.Error(w, "refused", refusal)
		return
	}
	defer s.forget(job.id)
	job.stream(w, r)
}

// resumeFailure is the body of a failed resumption.
const resumeFailure = `{"error":{"message":"can't go on","type":"server_error"}}` + "\n"

func (s *Server) resumeStatus() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.faults.ResumeStatus
}

// submit books a request in the ledger and the model.
func (s *Server) submit(r *http.Request, body chatBody) (*job, int) {
	messages, partial := body.Messages, ""
	if body.Continue && len(messages) > 0 {
		_ = json.Unmarshal(messages[len(messages)-1].Content, &partial)
		messages = messages[:len(messages)-1]
	}
	text := flatten(messages)
	prompt := xxhash.Sum64String(text)
	already := countTokens(partial)
	total := body.outputTokens(prompt, already)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.faults.RefuseStatus != 0 {
		return nil, s.faults.RefuseStatus
	}
	if !s.slot.serves(body.Model) {
		return nil, http.StatusNotFound
	}
	fault := s.drawFault(runIdentity{prompt: prompt, continues: body.Continue}, max(1, total-already))
	if fault.kind == FaultUnavailable {
		return nil, http.StatusServiceUnavailable
	}
	s.next++
	entry := &LedgerEntry{
		Program:  r.Header.Get(engine.HeaderProgram),
		Call:     r.Header.Get(engine.HeaderCall),
		Attempt:  r.Header.Get(engine.HeaderAttempt),
		Arrived:  s.next,
		Messages: len(messages),
		Prompt:   prompt,
	}
	s.ledger = append(s.ledger, entry)
	created := &job{
		server: s, entry: entry, model: body.Model, prompt: prompt, already: already,
		id: entry.Call + "/" + entry.Attempt + "/" + formatNumber(s.next), faults: s.faults, fault: fault,
		promptTokens: tokensOf(text + partial), output: max(1, total-already), limited: body.MaxTokens > 0 && total-already >= body.MaxTokens,
	}
	created.progress = make(chan Progress, created.output)
	s.streams[created.id] = created.progress
	s.model.Submit(Request{
		ID: created.id, Program: entry.Program, Blocks: chainBlocks(text+partial, s.config.BlockTokens),
		PromptTokens: created.promptTokens, OutputTokens: created.output, Priority: body.Priority,
	})
	s.wakeUp()
	return created, 0
}

// drawFault decides how a run goes wrong that is to bring so many tokens. It needs the mutex.
func (s *Server) drawFault(run runIdentity, tokens int) runFault {
	if !s.faults.Runs.on() {
		return runFault{}
	}
	s.arrivals[run.prompt]++
	run.arrival = s.arrivals[run.prompt]
	return s.faults.Runs.draw(run, tokens)
}

func (s *Server) forget(id string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.streams, id)
	s.model.Cancel(id)
}
