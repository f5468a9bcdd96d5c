package emulator

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
)

// eventStreamType is the media type of streamed answers.
const eventStreamType = "text/event-stream"

// FaultKind is a way in which a run goes wrong.
type FaultKind string

// The kinds.
const (
	// FaultCut ends the connection after some tokens.
	FaultCut FaultKind = "cut"
	// FaultStatus answers 500.
	FaultStatus FaultKind = "status_500"
	// FaultUnavailable answers 503 and doesn't run the request.
	FaultUnavailable FaultKind = "status_503"
	// FaultEmpty answers 200 with an event stream that has no event.
	FaultEmpty FaultKind = "empty"
	// FaultErrorEvent sends an error in place of further tokens, then the end mark, as vLLM does.
	FaultErrorEvent FaultKind = "error_event"
)

// FaultKinds are all kinds.
func FaultKinds() []FaultKind {
	return []FaultKind{FaultCut, FaultStatus, FaultUnavailable, FaultEmpty, FaultErrorEvent}
}

// RunFaults let some runs go wrong. Which, and how, is a function of the seed, the prompt, and how often that prompt came to
// this engine since the faults were set: a request that is sent again may fare otherwise, and a test that is repeated fares the same.
type RunFaults struct {
	Seed uint64 `json:"seed,omitempty"`
	// First and Continued are the shares, 0 to 1, of the runs from the beginning and of those that go on with a partial answer
	// (continue_final_message).
	First     float64 `json:"first,omitempty"`
	Continued float64 `json:"continued,omitempty"`
	// Kinds are drawn from; all if there are none.
	Kinds []FaultKind `json:"kinds,omitempty"`
}

// on tells whether any run may go wrong.
func (f RunFaults) on() bool { return f.First > 0 || f.Continued > 0 }

// unknownKind is the first of the kinds that is none; empty if there is none such.
func (f RunFaults) unknownKind() FaultKind {
	for _, kind := range f.Kinds {
		if !slices.Contains(FaultKinds(), kind) {
			return kind
		}
	}
	return ""
}

// runIdentity is what faults of a run depend on.
type runIdentity struct {
	prompt    uint64
	arrival   int
	continues bool
}

// runFault is how one run goes wrong; without a kind it doesn't.
type runFault struct {
	kind FaultKind
	// after is how many tokens pass before, where some may.
	after int
}

// draw decides about a run that is to bring so many tokens.
func (f RunFaults) draw(run runIdentity, tokens int) runFault {
	share := f.First
	if run.continues {
		share = f.Continued
	}
	random := rand.New(rand.NewPCG(f.Seed^run.prompt, uint64(run.arrival)))
	if random.Float64() >= share {
		return runFault{}
	}
	kinds := f.Kinds
	if len(kinds) == 0 {
		kinds = FaultKinds()
	}
	return runFault{kind: kinds[random.IntN(len(kinds))], after: random.IntN(tokens)}
}

// failHead answers a run that goes wrong before its first token, and reports whether it did.
func (j *job) failHead(w http.ResponseWriter) bool {
	switch j.fault.kind {
	case FaultStatus:
		http.Error(w, "the engine has failed", http.StatusInternalServerError)
		return true
	case FaultEmpty:
		w.Header().Set("Content-Type", eventStreamType)
		w.WriteHeader(http.StatusOK)
		return true
	}
	return false
}

// failRun fails a run that has come to this token, and reports whether its answer has ended.
func (j *job) failRun(w http.ResponseWriter, token int) bool {
	if token <= j.fault.after {
		return false
	}
	switch j.fault.kind {
	case FaultCut:
		// net/http closes the connection without the end of the body.
		panic(http.ErrAbortHandler)
	case FaultErrorEvent:
		j.sendError(w)
		return true
	}
	return false
}

// errorEvent is an error within a stream.
type errorEvent struct {
	Error errorBody `json:"error"`
}

type errorBody struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    int    `json:"code"`
}

func (j *job) sendError(w http.ResponseWriter) {
	body := errorBody{Message: "the engine has failed", Type: "InternalServerError", Code: http.StatusInternalServerError}
	encoded, err := json.Marshal(errorEvent{Error: body})
	if err != nil {
		return
	}
	_, _ = w.Write(append(append([]byte("data: "), encoded...), "\n\ndata: [DONE]\n\n"...))
	_ = http.NewResponseController(w).Flush()
}
