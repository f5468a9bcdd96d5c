package emulator

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mountstile/mountstile/internal/engine"
)

// Paths of the emulator's control API.
const (
	LedgerPath = "/ledger"
	StatsPath  = "/stats"
	FaultsPath = "/faults"
	HeldPath   = "/cache/held"
)

const maxBodyBytes = 32 << 20

// LedgerEntry records one request that the engine accepted.
type LedgerEntry struct {
	Program string `json:"program"`
	Call    string `json:"call"`
	Attempt string `json:"attempt"`
	// Arrived is the request's number in order of arrival, from 1.
	Arrived int64 `json:"arrived"`
	// Messages is the number of messages in the prompt, without a partial answer.
	Messages int  `json:"messages"`
	Finished bool `json:"finished"`
	// Prompt is a hash of the prompt without a partial answer.
	Prompt uint64 `json:"prompt"`
}

// Faults selects the faults that the engine injects; the zero value injects none.
type Faults struct {
	// RefuseStatus is the status returned for every request, if not 0.
	RefuseStatus int `json:"refuse_status,omitempty"`
	// CutAfterTokens closes the connection after this number of tokens of each answer.
	CutAfterTokens int `json:"cut_after_tokens,omitempty"`
	// GarbleAfterTokens sends an event of invalid JSON after this number of tokens.
	GarbleAfterTokens int `json:"garble_after_tokens,omitempty"`
	// ResumeStatus is the status returned, with an error object, for requests that continue a partial answer.
	ResumeStatus int `json:"resume_status,omitempty"`
	// EndAfterTokens ends each answer after this number of tokens with [DONE], but without a finish reason.
	EndAfterTokens int `json:"end_after_tokens,omitempty"`
	// NoEndMark omits the final [DONE].
	NoEndMark bool `json:"no_end_mark,omitempty"`
	// Hang stops the engine; requests stay open without progress.
	Hang bool `json:"hang,omitempty"`
	// Slowdown multiplies the duration of each step; 0 means 1.
	Slowdown float64 `json:"slowdown,omitempty"`
	// RefuseReleases rejects requests to release cache blocks.
	RefuseReleases bool `json:"refuse_releases,omitempty"`
	// Runs injects faults into a fraction of the runs.
	Runs RunFaults `json:"runs,omitzero"`
	// FatalText ends the engine when it runs a prompt that contains this text, after FatalAfterTokens tokens of the run.
	FatalText        string `json:"fatal_text,omitempty"`
	FatalAfterTokens int    `json:"fatal_after_tokens,omitempty"`
}

// Stats holds the engine's counters.
type Stats struct {
	Running int        `json:"running"`
	Waiting int        `json:"waiting"`
	Cache   CacheStats `json:"cache"`
	Tokens  int64      `json:"tokens"`
	// Loads counts started model loads; RefusedOrders counts orders rejected for a stale fencing token.
	Loads         int64 `json:"loads"`
	RefusedOrders int64 `json:"refused_orders"`
}

// Server serves an emulated engine as an http.Handler. Requests make progress only while Run is running.
type Server struct {
	config Config
	mux    *http.ServeMux
	wake   chan struct{}

	mutex   sync.Mutex
	model   *Model
	streams map[string]chan Progress
	ledger  []*LedgerEntry
	faults  Faults
	// arrivals counts the runs of each prompt, by hash, since the faults were set.
	arrivals map[uint64]int
	tokens   int64
	accepted int64
	loaded   loadedModel
	// loads and refusedOrders are reported in Stats.
	loads, refusedOrders int64
	// crash ends the engine.
	crash func()
}

// OnCrash sets the function that ends the engine, all of its connections and its listener, when it runs a fatal prompt. It must be set
// before the engine serves requests.
func (s *Server) OnCrash(crash func()) { s.crash = crash }

// NewServer returns an idle engine with an empty cache.
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

// Run steps the model in real time until ctx is done.
func (s *Server) Run(ctx context.Context) {
	for {
		duration, stepped := s.step()
		if !stepped {
			select {
			case <-ctx.Done():
				return
			case <-s.wake:
			}
			continue
		}
		timer := time.NewTimer(duration)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}

// step runs one model step and delivers its tokens. It returns false if there is nothing to run.
func (s *Server) step() (time.Duration, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.model.Busy() || s.faults.Hang {
		return 0, false
	}
	duration, progress := s.model.Step()
	for _, item := range progress {
		s.tokens++
		if stream := s.streams[item.ID]; stream != nil {
			// The channel's buffer holds the whole answer, so this never blocks.
			stream <- item
		}
	}
	if s.faults.Slowdown > 0 {
		duration = time.Duration(float64(duration) * s.faults.Slowdown)
	}
	return duration, true
}

// notify wakes Run if it is idle.
func (s *Server) notify() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// SetFaults replaces the injected faults and restarts the counts that RunFaults depend on.
func (s *Server) SetFaults(faults Faults) {
	s.mutex.Lock()
	s.faults = faults
	clear(s.arrivals)
	s.mutex.Unlock()
	s.notify()
}

// Ledger returns the accepted requests in order of arrival.
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

// Held counts the cached blocks that only this program has used.
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
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if kind := faults.Runs.unknownKind(); kind != "" {
		http.Error(w, "unknown fault kind: "+string(kind), http.StatusBadRequest)
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
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	rejected := s.faults.RefuseReleases
	if !rejected {
		s.model.Release(body.Program)
	}
	s.mutex.Unlock()
	if rejected {
		http.Error(w, "cache releases are disabled", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// chatBody holds the fields of a chat request that the emulator uses.
type chatBody struct {
	Model    string          `json:"model"`
	Messages []promptMessage `json:"messages"`
	// MaxTokens and MinTokens bound the answer's length; MinTokens is a vLLM extension.
	MaxTokens int  `json:"max_tokens"`
	MinTokens int  `json:"min_tokens"`
	Stream    bool `json:"stream"`
	Priority  int  `json:"priority"`
	// Continue asks for the continuation of the last message, a partial answer.
	Continue bool `json:"continue_final_message"`
}

const (
	defaultMaxTokens = 64
	defaultMinTokens = 8
)

// answerTokens returns the length of the whole answer, including a partial one. Within its limits it
// depends on the prompt's hash alone.
func (b chatBody) answerTokens(promptHash uint64, partialTokens int) int {
	upper := b.MaxTokens + partialTokens
	if b.MaxTokens <= 0 {
		upper = defaultMaxTokens
	}
	lower := max(min(defaultMinTokens, upper), b.MinTokens)
	if lower >= upper {
		return upper
	}
	return lower + int(promptHash%uint64(upper-lower+1))
}

func (s *Server) handleChat(w http.ResponseWriter, r *http.Request) {
	var body chatBody
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if status := s.resumeStatus(); body.Continue && status != 0 {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_, _ = w.Write([]byte(resumeErrorBody))
		return
	}
	accepted, errorStatus := s.submit(r, body)
	if errorStatus != 0 {
		http.Error(w, "request refused", errorStatus)
		return
	}
	defer s.remove(accepted.id)
	accepted.stream(w, r)
}

// resumeErrorBody is the response body for ResumeStatus.
const resumeErrorBody = `{"error":{"message":"cannot continue the final message","type":"server_error"}}` + "\n"

func (s *Server) resumeStatus() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.faults.ResumeStatus
}

// submit records a request in the ledger and queues it in the model. If it rejects the request, it returns
// the HTTP status of the response instead.
func (s *Server) submit(r *http.Request, body chatBody) (*completion, int) {
	messages, partial := body.Messages, ""
	if body.Continue && len(messages) > 0 {
		_ = json.Unmarshal(messages[len(messages)-1].Content, &partial)
		messages = messages[:len(messages)-1]
	}
	text := renderMessages(messages)
	promptHash := xxhash.Sum64String(text)
	partialTokens := countAnswerTokens(partial)
	totalTokens := body.answerTokens(promptHash, partialTokens)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.faults.RefuseStatus != 0 {
		return nil, s.faults.RefuseStatus
	}
	if !s.loaded.serves(body.Model) {
		return nil, http.StatusNotFound
	}
	fault := s.drawFault(runKey{promptHash: promptHash, continued: body.Continue}, max(1, totalTokens-partialTokens))
	if fault.kind == FaultUnavailable {
		return nil, http.StatusServiceUnavailable
	}
	s.accepted++
	entry := &LedgerEntry{
		Program:  r.Header.Get(engine.HeaderProgram),
		Call:     r.Header.Get(engine.HeaderCall),
		Attempt:  r.Header.Get(engine.HeaderAttempt),
		Arrived:  s.accepted,
		Messages: len(messages),
		Prompt:   promptHash,
	}
	s.ledger = append(s.ledger, entry)
	c := &completion{
		server: s, entry: entry, model: body.Model, promptHash: promptHash, partialTokens: partialTokens,
		id: entry.Call + "/" + entry.Attempt + "/" + formatNumber(s.accepted), faults: s.faults, fault: fault,
		promptTokens: countPromptTokens(text + partial), outputTokens: max(1, totalTokens-partialTokens),
		fatal:     s.faults.FatalText != "" && strings.Contains(text, s.faults.FatalText),
		truncated: body.MaxTokens > 0 && totalTokens-partialTokens >= body.MaxTokens,
	}
	c.progress = make(chan Progress, c.outputTokens)
	s.streams[c.id] = c.progress
	s.model.Submit(Request{
		ID: c.id, Program: entry.Program, Blocks: blockHashes(text+partial, s.config.BlockTokens),
		PromptTokens: c.promptTokens, OutputTokens: c.outputTokens, Priority: body.Priority,
	})
	s.notify()
	return c, 0
}

// drawFault chooses the fault of a run that generates the given number of tokens. The caller holds s.mutex.
func (s *Server) drawFault(run runKey, tokens int) runFault {
	if !s.faults.Runs.enabled() {
		return runFault{}
	}
	s.arrivals[run.promptHash]++
	run.arrival = s.arrivals[run.promptHash]
	return s.faults.Runs.draw(run, tokens)
}

// remove ends a request whose response has ended or whose client has disconnected.
func (s *Server) remove(id string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.streams, id)
	s.model.Cancel(id)
}
