package emulator

import (
	"encoding/json"
	"net/http"
	"strconv"
)

// completion is one chat completion being streamed.
type completion struct {
	server     *Server
	entry      *LedgerEntry
	id         string
	model      string
	promptHash uint64
	// partialTokens is the length of the partial answer that the request continues.
	partialTokens int
	outputTokens  int
	promptTokens  int
	// truncated is set if max_tokens ends the answer.
	truncated bool
	progress  chan Progress
	faults    Faults
	// fault is the fault injected into this run, if any.
	fault runFault
	// fatal is set if the prompt ends the engine.
	fatal bool
}

func formatNumber(number int64) string { return strconv.FormatInt(number, 10) }

type chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Model   string        `json:"model"`
	Choices []chunkChoice `json:"choices"`
	Usage   *chunkUsage   `json:"usage,omitempty"`
}

type chunkChoice struct {
	Index        int        `json:"index"`
	Delta        chunkDelta `json:"delta"`
	FinishReason *string    `json:"finish_reason"`
}

type chunkDelta struct {
	Content string `json:"content,omitempty"`
}

type chunkUsage struct {
	PromptTokens     int                 `json:"prompt_tokens"`
	CompletionTokens int                 `json:"completion_tokens"`
	TotalTokens      int                 `json:"total_tokens"`
	Details          promptTokensDetails `json:"prompt_tokens_details"`
}

type promptTokensDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// stream sends tokens as they are generated, and ends early where a fault requires it.
func (c *completion) stream(w http.ResponseWriter, r *http.Request) {
	if c.failBeforeStream(w) {
		return
	}
	c.crashAfter(0)
	w.Header().Set("Content-Type", eventStreamType)
	w.WriteHeader(http.StatusOK)
	for {
		select {
		case <-r.Context().Done():
			return
		case progress := <-c.progress:
			c.injectTokenFaults(w, progress.Token)
			if c.faults.EndAfterTokens > 0 && progress.Token > c.faults.EndAfterTokens {
				c.sendDone(w)
				return
			}
			if c.failDuringStream(w, progress.Token) {
				return
			}
			c.crashAfter(progress.Token - 1)
			c.send(w, chunk{Choices: []chunkChoice{{Delta: chunkDelta{Content: tokenText(c.promptHash, c.partialTokens+progress.Token)}}}})
			if progress.Done {
				c.finish(w, progress)
				return
			}
		}
	}
}

// crashAfter ends the engine if the prompt is fatal and as many tokens were sent as it takes. It does not return then.
func (c *completion) crashAfter(tokens int) {
	if !c.fatal || tokens < c.faults.FatalAfterTokens || c.server.crash == nil {
		return
	}
	c.server.crash()
	panic(http.ErrAbortHandler)
}

// injectTokenFaults applies the faults that occur after a number of tokens.
func (c *completion) injectTokenFaults(w http.ResponseWriter, token int) {
	if c.faults.GarbleAfterTokens > 0 && token > c.faults.GarbleAfterTokens {
		_, _ = w.Write([]byte("data: {\"choices\": [\n\n"))
		_ = http.NewResponseController(w).Flush()
	}
	if c.faults.CutAfterTokens > 0 && token > c.faults.CutAfterTokens {
		// net/http closes the connection without ending the body.
		panic(http.ErrAbortHandler)
	}
}

func (c *completion) send(w http.ResponseWriter, value chunk) {
	value.ID, value.Object, value.Model = c.id, "chat.completion.chunk", c.model
	encoded, err := json.Marshal(value)
	if err != nil {
		return
	}
	_, _ = w.Write(append(append([]byte("data: "), encoded...), "\n\n"...))
	_ = http.NewResponseController(w).Flush()
}

func (c *completion) finish(w http.ResponseWriter, last Progress) {
	reason := "stop"
	if c.truncated {
		reason = "length"
	}
	c.send(w, chunk{Choices: []chunkChoice{{FinishReason: &reason}}})
	c.send(w, chunk{Choices: []chunkChoice{}, Usage: &chunkUsage{
		PromptTokens:     c.promptTokens,
		CompletionTokens: c.outputTokens,
		TotalTokens:      c.promptTokens + c.outputTokens,
		Details:          promptTokensDetails{CachedTokens: last.Cached},
	}})
	if !c.faults.NoEndMark {
		c.sendDone(w)
	}
	c.server.mutex.Lock()
	c.entry.Finished = true
	c.server.mutex.Unlock()
}

func (c *completion) sendDone(w http.ResponseWriter) {
	_, _ = w.Write([]byte("data: [DONE]\n\n"))
	_ = http.NewResponseController(w).Flush()
}
