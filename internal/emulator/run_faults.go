package emulator

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
)

// eventStreamType is the media type of streamed responses.
const eventStreamType = "text/event-stream"

// FaultKind is a kind of fault in a run.
type FaultKind string

// Kinds of run faults.
const (
	// FaultCut closes the connection after some tokens.
	FaultCut FaultKind = "cut"
	// FaultStatus responds with status 500.
	FaultStatus FaultKind = "status_500"
	// FaultUnavailable responds with status 503 without running the request.
	FaultUnavailable FaultKind = "status_503"
	// FaultEmpty responds with status 200 and an event stream without events.
	FaultEmpty FaultKind = "empty"
	// FaultErrorEvent sends an error event after some tokens, then [DONE], as vLLM does.
	FaultErrorEvent FaultKind = "error_event"
)

// FaultKinds returns all kinds.
func FaultKinds() []FaultKind {
	return []FaultKind{FaultCut, FaultStatus, FaultUnavailable, FaultEmpty, FaultErrorEvent}
}

// RunFaults injects faults into a fraction of the runs. The fault of a run depends only on the seed, the prompt, whether
// the run continues a partial answer, and the number of runs of that prompt on this engine since the faults were set: a
// retry may get another fault, while repeating a test gives the same faults.
type RunFaults struct {
	Seed uint64 `json:"seed,omitempty"`
	// First and Continued are the fractions of failing runs, 0 to 1, among new answers and among continuations of a
	// partial answer (continue_final_message).
	First     float64 `json:"first,omitempty"`
	Continued float64 `json:"continued,omitempty"`
	// Kinds are the kinds to draw from; empty means all.
	Kinds []FaultKind `json:"kinds,omitempty"`
}

// enabled reports whether any run can fail.
func (f RunFaults) enabled() bool { return f.First > 0 || f.Continued > 0 }

// unknownKind returns the first invalid kind, or an empty string.
func (f RunFaults) unknownKind() FaultKind {
	for _, kind := range f.Kinds {
		if !slices.Contains(FaultKinds(), kind) {
			return kind
		}
	}
	return ""
}

// runKey identifies a run for the choice of its fault.
type runKey struct {
	promptHash uint64
	// arrival is the number of the run among those of the prompt, from 1.
	arrival int
	// continued is set if the run continues a partial answer.
	continued bool
}

// runFault is the fault of one run; an empty kind means none.
type runFault struct {
	kind FaultKind
	// afterTokens is the number of tokens sent before a fault in mid-stream.
	afterTokens int
}

// draw chooses the fault of a run that generates the given number of tokens.
func (f RunFaults) draw(run runKey, tokens int) runFault {
	probability := f.First
	if run.continued {
		probability = f.Continued
	}
	random := rand.New(rand.NewPCG(f.Seed^run.promptHash, uint64(run.arrival)))
	if random.Float64() >= probability {
		return runFault{}
	}
	kinds := f.Kinds
	if len(kinds) == 0 {
		kinds = FaultKinds()
	}
	return runFault{kind: kinds[random.IntN(len(kinds))], afterTokens: random.IntN(tokens)}
}

// failBeforeStream responds to an accepted run that fails before its first token, and reports whether it did.
// Server.submit handles FaultUnavailable, since such a run is not accepted.
func (c *completion) failBeforeStream(w http.ResponseWriter) bool {
	switch c.fault.kind {
	case FaultStatus:
		http.Error(w, "simulated engine failure", http.StatusInternalServerError)
		return true
	case FaultEmpty:
		w.Header().Set("Content-Type", eventStreamType)
		w.WriteHeader(http.StatusOK)
		return true
	}
	return false
}

// failDuringStream injects a mid-stream fault that is due at this token, and reports whether the response has ended.
func (c *completion) failDuringStream(w http.ResponseWriter, token int) bool {
	if token <= c.fault.afterTokens {
		return false
	}
	switch c.fault.kind {
	case FaultCut:
		// net/http closes the connection without ending the body.
		panic(http.ErrAbortHandler)
	case FaultErrorEvent:
		c.sendError(w)
		return true
	}
	return false
}

// errorEvent is an error sent within a stream.
type errorEvent struct {
	Error errorBody `json:"error"`
}

type errorBody struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    int    `json:"code"`
}

func (c *completion) sendError(w http.ResponseWriter) {
	body := errorBody{Message: "simulated engine failure", Type: "InternalServerError", Code: http.StatusInternalServerError}
	encoded, err := json.Marshal(errorEvent{Error: body})
	if err != nil {
		return
	}
	_, _ = w.Write(append(append([]byte("data: "), encoded...), "\n\ndata: [DONE]\n\n"...))
	_ = http.NewResponseController(w).Flush()
}
