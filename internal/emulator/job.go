package emulator

import (
	"encoding/json"
	"net/http"
	"strconv"
)

// job is one answer on its way.
type job struct {
	server       *Server
	entry        *LedgerEntry
	id           string
	model        string
	prompt       uint64
	already      int
	output       int
	promptTokens int
	limited      bool
	progress     chan Progress
	faults       Faults
	// fault is how this run goes wrong.
	fault runFault
}

func formatNumber(number int64) string { return strconv.FormatInt(number, 10) }

type event struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Model   string        `json:"model"`
	Choices []eventChoice `json:"choices"`
	Usage   *eventUsage   `json:"usage,omitempty"`
}

type eventChoice struct {
	Index        int        `json:"index"`
	Delta        eventDelta `json:"delta"`
	FinishReason *string    `json:"finish_reason"`
}

type eventDelta struct {
	Content string `json:"content,omitempty"`
}

type eventUsage struct {
	PromptTokens     int                `json:"prompt_tokens"`
	CompletionTokens int                `json:"completion_tokens"`
	TotalTokens      int                `json:"total_tokens"`
	Details          eventPromptDetails `json:"prompt_tokens_details"`
}

type eventPromptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// stream sends the tokens as they come, and ends early where a fault says so.
func (j *job) stream(w http.ResponseWriter, r *http.Request) {
	if j.failHead(w) {
		return
	}
	w.Header().Set("Content-Type", eventStreamType)
	w.WriteHeader(http.StatusOK)
	for {
		select {
		case <-r.Context().Done():
			return
		case progress := <-j.progress:
			j.fail(w, progress.Token)
			if j.faults.EndAfterTokens > 0 && progress.Token > j.faults.EndAfterTokens {
				j.endMark(w)
				return
			}
			if j.failRun(w, progress.Token) {
				return
			}
			j.send(w, event{Choices: []eventChoice{{Delta: eventDelta{Content: tokenText(j.prompt, j.already+progress.Token)}}}})
			if progress.Done {
				j.finish(w, progress)
				return
			}
		}
	}
}

// fail shows the faults that strike in the middle of an answer.
func (j *job) fail(w http.ResponseWriter, token int) {
	if j.faults.GarbleAfterTokens > 0 && token > j.faults.GarbleAfterTokens {
		_, _ = w.Write([]byte("data: {\"choices\": [\n\n"))
		_ = http.NewResponseController(w).Flush()
	}
	if j.faults.CutAfterTokens > 0 && token > j.faults.CutAfterTokens {
		// net/http closes the connection without the end of the body.
		panic(http.ErrAbortHandler)
	}
}

func (j *job) send(w http.ResponseWriter, value event) {
	value.ID, value.Object, value.Model = j.id, "chat.completion.chunk", j.model
	encoded, err := json.Marshal(value)
	if err != nil {
		return
	}
	_, _ = w.Write(append(append([]byte("data: "), encoded...), "\n\n"...))
	_ = http.NewResponseController(w).Flush()
}

func (j *job) finish(w http.ResponseWriter, last Progress) {
	reason := "stop"
	if j.limited {
		reason = "length"
	}
	j.send(w, event{Choices: []eventChoice{{FinishReason: &reason}}})
	j.send(w, event{Choices: []eventChoice{}, Usage: &eventUsage{
		PromptTokens:     j.promptTokens,
		CompletionTokens: j.output,
		TotalTokens:      j.promptTokens + j.output,
		Details:          eventPromptDetails{CachedTokens: last.Cached},
	}})
	if !j.faults.NoEndMark {
		j.endMark(w)
	}
	j.server.mutex.Lock()
	j.entry.Finished = true
	j.server.mutex.Unlock()
}

func (j *job) endMark(w http.ResponseWriter) {
	_, _ = w.Write([]byte("data: [DONE]\n\n"))
	_ = http.NewResponseController(w).Flush()
}
