package path_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mountstile/mountstile/internal/adminclient"
	"github.com/mountstile/mountstile/internal/engine"
	"github.com/mountstile/mountstile/internal/gateway"
	"github.com/mountstile/mountstile/internal/lab/cluster"
	"github.com/mountstile/mountstile/internal/resource"
)

// fullAnswer is the answer of the scripted engines, in chunks of one token.
var fullAnswer = []string{"one", " two", " three", " four", " five"}

const (
	// scriptedPromptTokens is the usage that scripted engines report for the prompt, without a partial answer.
	scriptedPromptTokens = 10
	// chunksBeforeAbort is how many chunks the first attempt sends before it aborts.
	chunksBeforeAbort = 2
	scriptedEngines   = 3
	scriptedMaxTokens = 20
)

// scriptedAttempt is one attempt of a call at a scripted engine.
type scriptedAttempt struct {
	http.ResponseWriter
	attempt string
	// offset is the number of chunks that the caller already has, sent the number that this attempt has sent.
	offset int
	sent   int
	// usageInEvents adds the usage so far to each event.
	usageInEvents bool
}

func (r *scriptedAttempt) sendEvent(payload string) {
	_, _ = io.WriteString(r, "data: "+payload+"\n\n")
	_ = http.NewResponseController(r.ResponseWriter).Flush()
}

func (r *scriptedAttempt) usageField() string {
	return fmt.Sprintf(`"usage":{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d}`, scriptedPromptTokens+r.offset, r.sent, scriptedPromptTokens+r.offset+r.sent)
}

// chunks sends up to count chunks of the part of the answer that the caller lacks.
func (r *scriptedAttempt) chunks(count int) {
	r.Header().Set("Content-Type", "text/event-stream")
	for ; count > 0 && r.offset+r.sent < len(fullAnswer); count-- {
		text := fullAnswer[r.offset+r.sent]
		r.sent++
		usage := ""
		if r.usageInEvents {
			usage = "," + r.usageField()
		}
		r.sendEvent(fmt.Sprintf(`{"choices":[{"index":0,"delta":{"content":%q},"finish_reason":null}]%s}`, text, usage))
	}
}

// finish sends an event with a finish reason.
func (r *scriptedAttempt) finish(reason string) {
	r.sendEvent(fmt.Sprintf(`{"choices":[{"index":0,"delta":{},"finish_reason":%q}]}`, reason))
}

// usage sends a final event with the usage.
func (r *scriptedAttempt) usage() { r.sendEvent(`{"choices":[],` + r.usageField() + `}`) }

// done sends the done marker, [DONE].
func (r *scriptedAttempt) done() { r.sendEvent("[DONE]") }

// rest sends the correct continuation.
func (r *scriptedAttempt) rest() {
	r.chunks(len(fullAnswer))
	r.finish("stop")
	r.usage()
	r.done()
}

// abort closes the connection before the end of the body.
func (r *scriptedAttempt) abort() { panic(http.ErrAbortHandler) }

func (r *scriptedAttempt) respond(status int, contentType, body string) {
	r.Header().Set("Content-Type", contentType)
	r.WriteHeader(status)
	_, _ = io.WriteString(r, body)
}

// otherAnswer is a complete stream that does not continue the answer.
const otherAnswer = `data: {"choices":[{"index":0,"delta":{"content":"other"},"finish_reason":"stop"}]}` + "\n\ndata: [DONE]\n\n"

const errorObject = `{"error":{"message":"out of memory","type":"server_error","code":500}}`

// invalidContinuations are responses to a request for a continuation that must not be taken for one.
var invalidContinuations = map[string]func(*scriptedAttempt){
	"status 500 with an error":     func(r *scriptedAttempt) { r.respond(500, "application/json", errorObject) },
	"status 500 with a stream":     func(r *scriptedAttempt) { r.respond(500, "text/event-stream", otherAnswer) },
	"status 503 with HTML":         func(r *scriptedAttempt) { r.respond(503, "text/html", "<html></html>") },
	"status 429":                   func(r *scriptedAttempt) { r.respond(429, "application/json", errorObject) },
	"status 400":                   func(r *scriptedAttempt) { r.respond(400, "application/json", errorObject) },
	"status 401":                   func(r *scriptedAttempt) { r.respond(401, "application/json", errorObject) },
	"status 404 with a stream":     func(r *scriptedAttempt) { r.respond(404, "text/event-stream", otherAnswer) },
	"status 302":                   func(r *scriptedAttempt) { r.Header().Set("Location", "/elsewhere"); r.WriteHeader(302) },
	"status 204":                   func(r *scriptedAttempt) { r.WriteHeader(204) },
	"status 202 with a stream":     func(r *scriptedAttempt) { r.respond(202, "text/event-stream", otherAnswer) },
	"status 206 with a stream":     func(r *scriptedAttempt) { r.respond(206, "text/event-stream", otherAnswer) },
	"HTML":                         func(r *scriptedAttempt) { r.respond(200, "text/html", "<html>data: [DONE]</html>\n") },
	"an error as an object":        func(r *scriptedAttempt) { r.respond(200, "application/json", errorObject) },
	"an error and the done marker": func(r *scriptedAttempt) { r.respond(200, "application/json", errorObject+"\n\ndata: [DONE]\n\n") },
	"a whole answer as an object": func(r *scriptedAttempt) {
		r.respond(200, "application/json", `{"choices":[{"index":0,"message":{"role":"assistant","content":"other"},"finish_reason":"stop"}]}`)
	},
	"an empty body":                   func(r *scriptedAttempt) { r.WriteHeader(200) },
	"an empty stream":                 func(r *scriptedAttempt) { r.chunks(0); r.WriteHeader(200) },
	"no done marker":                  func(r *scriptedAttempt) { r.chunks(1) },
	"no done marker after the finish": func(r *scriptedAttempt) { r.chunks(len(fullAnswer)); r.finish("stop") },
	"no done marker after the usage":  func(r *scriptedAttempt) { r.chunks(len(fullAnswer)); r.finish("stop"); r.usage() },
	"an abort after the usage":        func(r *scriptedAttempt) { r.chunks(1); r.usage(); r.abort() },
	"an abort in an event": func(r *scriptedAttempt) {
		r.chunks(1)
		_, _ = io.WriteString(r, `data: {"choices":[{"delta":{"content":"oth`)
		r.abort()
	},
	"an abort in the done marker": func(r *scriptedAttempt) {
		r.chunks(1)
		r.finish("stop")
		_, _ = io.WriteString(r, "data: [DON")
		r.abort()
	},
	"an end within an event": func(r *scriptedAttempt) {
		r.chunks(1)
		_, _ = io.WriteString(r, `data: {"choices":[{"delta":{"content":"oth`)
	},
	"the done marker at once": func(r *scriptedAttempt) { r.chunks(0); r.done() },
	"the done marker alone":   func(r *scriptedAttempt) { r.chunks(1); r.done() },
	"an empty finish reason":  func(r *scriptedAttempt) { r.chunks(1); r.finish(""); r.done() },
	"an aborted run":          func(r *scriptedAttempt) { r.chunks(1); r.finish("abort"); r.done() },
	"an error at once":        func(r *scriptedAttempt) { r.chunks(0); r.sendEvent(errorObject); r.done() },
	"an error in the middle": func(r *scriptedAttempt) {
		r.chunks(1)
		r.sendEvent(errorObject)
		r.finish("stop")
		r.done()
	},
	"an event that is not JSON": func(r *scriptedAttempt) { r.chunks(1); r.sendEvent("{"); r.finish("stop"); r.done() },
	"a second choice": func(r *scriptedAttempt) {
		r.chunks(1)
		r.sendEvent(`{"choices":[{"index":1,"delta":{"content":"other"}}]}`)
		r.finish("stop")
		r.done()
	},
	"two choices": func(r *scriptedAttempt) {
		r.sendEvent(`{"choices":[{"index":1,"delta":{"content":"other"}},{"index":0,"delta":{"content":"other"}}]}`)
		r.finish("stop")
		r.done()
	},
	"a chunk after the finish": func(r *scriptedAttempt) {
		r.chunks(len(fullAnswer))
		r.finish("stop")
		r.sendEvent(`{"choices":[{"index":0,"delta":{"content":"other"}}]}`)
		r.done()
	},
}

// script is how a model's engines answer a call's first, second and later attempts.
type script struct {
	first, second, third func(*scriptedAttempt)
}

func abortEarly(r *scriptedAttempt) {
	r.chunks(chunksBeforeAbort)
	r.abort()
}

// scriptedServer serves all scripted engines and selects the script by the request's model.
type scriptedServer struct {
	scripts map[string]script
	mutex   sync.Mutex
	// offsets are the numbers of chunks that the caller already had at each attempt, by model.
	offsets map[string][]int
}

func (s *scriptedServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != engine.ChatPath {
		w.WriteHeader(http.StatusOK)
		return
	}
	var body struct {
		Model    string `json:"model"`
		Messages []struct {
			Role    string `json:"role"`
			Content string `json:"content"`
		} `json:"messages"`
		Continue bool `json:"continue_final_message"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	attempt := &scriptedAttempt{ResponseWriter: w, attempt: r.Header.Get(engine.HeaderAttempt)}
	if body.Continue {
		attempt.offset = countChunks(body.Messages[len(body.Messages)-1].Content)
	}
	s.mutex.Lock()
	s.offsets[body.Model] = append(s.offsets[body.Model], attempt.offset)
	s.mutex.Unlock()
	answers := s.scripts[body.Model]
	switch attempt.attempt {
	case "1":
		answers.first(attempt)
	case "2":
		answers.second(attempt)
	default:
		answers.third(attempt)
	}
}

// countChunks returns how many chunks a text holds, or -1 if the text is not a prefix of the full answer.
func countChunks(text string) int {
	for count := range len(fullAnswer) + 1 {
		if text == strings.Join(fullAnswer[:count], "") {
			return count
		}
	}
	return -1
}

// scriptedCluster is a cluster with scripted models. Each model has engines of its own, so that a script that makes its
// engines unhealthy does not affect the others.
type scriptedCluster struct {
	*cluster.Cluster
	server *scriptedServer
}

func startScripted(t *testing.T, scripts map[string]script) scriptedCluster {
	t.Helper()
	system := startCluster(t, 1)
	server := &scriptedServer{scripts: scripts, offsets: make(map[string][]int)}
	listener := httptest.NewServer(server)
	t.Cleanup(listener.Close)
	pools := make(map[string][]resource.Engine)
	for model := range scripts {
		for number := range scriptedEngines {
			pools[model] = append(pools[model], resource.Engine{Name: fmt.Sprintf("%s-%d", model, number), URL: listener.URL, Slots: 4})
		}
	}
	applyModels(t, system, pools)
	return scriptedCluster{Cluster: system, server: server}
}

// applyModels publishes a pool with these engines and a service for each model, and waits until they are in force.
func applyModels(t *testing.T, system *cluster.Cluster, pools map[string][]resource.Engine) {
	t.Helper()
	var resources []resource.Resource
	for model, engines := range pools {
		resources = append(resources,
			resource.Resource{Kind: resource.KindPool, Name: model, Pool: &resource.Pool{Engines: engines}},
			resource.Resource{Kind: resource.KindService, Name: model, Service: &resource.Service{
				Type: resource.ServiceModel, Pool: model, Models: []string{model}, Tenants: []string{"school"}, MaxTokens: scriptedMaxTokens,
			}})
	}
	content, err := resource.Encode(resources)
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	result, err := system.Admin.Apply(ctx, content, adminclient.Change{})
	assert.NilError(t, err)
	assert.NilError(t, system.Admin.WaitInForce(ctx, result.Revision))
}

// callResult is what the caller of a scripted model received; text is the whole body, content that of the answer.
type callResult struct {
	status  int
	text    string
	content string
	// finish is the finish reason; ended is set by the done marker, failed by an error.
	finish        string
	ended, failed bool
	usage         struct {
		Prompt     int64 `json:"prompt_tokens"`
		Completion int64 `json:"completion_tokens"`
	}
}

type answerEvent struct {
	Choices []struct {
		Delta        struct{ Content string } `json:"delta"`
		Message      struct{ Content string } `json:"message"`
		FinishReason *string                  `json:"finish_reason"`
	} `json:"choices"`
	Usage json.RawMessage `json:"usage"`
	Error json.RawMessage `json:"error"`
}

func (c *callResult) add(t *testing.T, payload string) {
	t.Helper()
	var event answerEvent
	assert.NilError(t, json.Unmarshal([]byte(payload), &event), payload)
	c.failed = c.failed || len(event.Error) > 0
	if len(event.Usage) > 0 {
		assert.NilError(t, json.Unmarshal(event.Usage, &c.usage))
	}
	for _, choice := range event.Choices {
		c.content += choice.Delta.Content + choice.Message.Content
		if choice.FinishReason != nil {
			c.finish = *choice.FinishReason
		}
	}
}

// call calls a scripted model through the first node, in a program with the model's name.
func (s scriptedCluster) call(t *testing.T, model string, stream bool, maxTokens int) callResult {
	t.Helper()
	return s.callAt(t, 0, model, stream, maxTokens)
}

// callAt calls a scripted model through the given node.
func (s scriptedCluster) callAt(t *testing.T, node int, model string, stream bool, maxTokens int) callResult {
	t.Helper()
	body := fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":"count"}],"max_tokens":%d,"stream":%t,"stream_options":{"include_usage":true}}`, model, maxTokens, stream)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.APIURLs()[node]+"/v1/chat/completions", strings.NewReader(body))
	assert.NilError(t, err)
	request.Header.Set("Authorization", "Bearer "+apiKey)
	request.Header.Set(gateway.HeaderProgram, model)
	request.Header.Set(gateway.HeaderIdempotency, model)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	read, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	text := string(read)
	got := callResult{status: response.StatusCode, text: text}
	if response.Header.Get("Content-Type") != "text/event-stream" {
		got.add(t, text)
		got.ended = got.status == http.StatusOK
		return got
	}
	for line := range strings.Lines(text) {
		payload, isEvent := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		switch {
		case !isEvent:
			assert.Equal(t, strings.TrimSpace(line), "", "a line that is not an event in %s", text)
		case payload == "[DONE]":
			got.ended = true
		default:
			assert.Assert(t, !got.ended, "an event after the end: %s", text)
			got.add(t, payload)
		}
	}
	return got
}

// programState is the stored state of a program, as the API returns it.
type programState struct {
	Summary struct {
		Used     int64 `json:"used_tokens"`
		Reserved int64 `json:"reserved_tokens"`
		Messages int   `json:"messages"`
	} `json:"summary"`
	History []struct{ Role, Content string } `json:"history"`
}

func (s scriptedCluster) storedState(t *testing.T, model string) programState {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, s.APIURLs()[1]+"/v1/programs/"+model+"?history=true", nil)
	assert.NilError(t, err)
	request.Header.Set("Authorization", "Bearer "+apiKey)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	var state programState
	assert.NilError(t, json.NewDecoder(response.Body).Decode(&state))
	return state
}

func (s scriptedCluster) offsetsOf(model string) []int {
	s.server.mutex.Lock()
	defer s.server.mutex.Unlock()
	return slices.Clone(s.server.offsets[model])
}

// complete checks that the caller got the full answer, that each token was counted once and that the answer was stored.
func (s scriptedCluster) complete(t *testing.T, model string, got callResult, reason string) {
	t.Helper()
	answer := strings.Join(fullAnswer, "")
	assert.Equal(t, got.status, http.StatusOK, got.text)
	assert.Equal(t, got.content, answer)
	assert.Assert(t, got.ended && !got.failed, got.text)
	assert.Equal(t, got.finish, reason)
	assert.Equal(t, got.usage.Completion, int64(len(fullAnswer)), "%s", got.text)
	assert.Equal(t, got.usage.Prompt, int64(scriptedPromptTokens), "%s", got.text)
	state := s.storedState(t, model)
	assert.Equal(t, state.Summary.Used, int64(scriptedPromptTokens+len(fullAnswer)))
	assert.Equal(t, state.Summary.Reserved, int64(0))
	assert.Equal(t, len(state.History), 2)
	assert.Equal(t, state.History[1].Content, answer)
}

// failed checks that the caller got an error and no end, that no answer was stored, and how much the program was charged.
func (s scriptedCluster) failed(t *testing.T, model string, got callResult, stream bool) {
	t.Helper()
	assert.Assert(t, got.failed && !got.ended, got.text)
	assert.Equal(t, got.finish, "", got.text)
	passed := countChunks(got.content)
	assert.Assert(t, passed >= 0, "%q is not a prefix of the answer", got.content)
	assert.Equal(t, got.status == http.StatusOK, stream)
	state := s.storedState(t, model)
	assert.Equal(t, state.Summary.Reserved, int64(0))
	assert.Equal(t, len(state.History), 0, "%v", state.History)
	if passed == 0 {
		assert.Equal(t, state.Summary.Used, int64(0))
		return
	}
	// The prompt is charged by its estimate, or by the usage that a failed engine reported.
	prompt := state.Summary.Used - int64(passed)
	assert.Assert(t, prompt > 0 && prompt <= scriptedPromptTokens, "%d tokens were delivered, %d charged", passed, state.Summary.Used)
}

// TestInvalidContinuations aborts each answer and lets the next engine send an invalid continuation. The caller must get the full
// answer from a third engine or, if that one fails in the same way, an error and no end.
func TestInvalidContinuations(t *testing.T) {
	scripts := make(map[string]script)
	names := make(map[string]string)
	number := 0
	for name, invalid := range invalidContinuations {
		number++
		names[name] = fmt.Sprintf("case%d", number)
		for _, form := range []string{"stream", "whole"} {
			model := names[name] + "-" + form
			scripts[model+"-recovered"] = script{abortEarly, invalid, (*scriptedAttempt).rest}
			scripts[model+"-lost"] = script{abortEarly, invalid, invalid}
		}
	}
	system := startScripted(t, scripts)
	for name := range invalidContinuations {
		for _, form := range []string{"stream", "whole"} {
			model := names[name] + "-" + form
			t.Run(name+"/"+form+"/recovered", func(t *testing.T) {
				system.complete(t, model+"-recovered", system.call(t, model+"-recovered", form == "stream", scriptedMaxTokens), "stop")
			})
			t.Run(name+"/"+form+"/lost", func(t *testing.T) {
				got := system.call(t, model+"-lost", form == "stream", scriptedMaxTokens)
				system.failed(t, model+"-lost", got, form == "stream")
				again := system.call(t, model+"-lost", form == "stream", scriptedMaxTokens)
				assert.Assert(t, again.failed && !again.ended, "a repeat got an answer: %s", again.text)
			})
		}
	}
}

// TestUsageOfResumedAnswers checks the usage of resumed answers: with usage in each event, with no usage, and when only the end of
// the stream was lost.
func TestUsageOfResumedAnswers(t *testing.T) {
	usageInEvents := func(next func(*scriptedAttempt)) func(*scriptedAttempt) {
		return func(r *scriptedAttempt) {
			r.usageInEvents = true
			next(r)
		}
	}
	allChunks := func(r *scriptedAttempt) {
		r.chunks(len(fullAnswer))
		r.abort()
	}
	allAndFinish := func(r *scriptedAttempt) {
		r.chunks(len(fullAnswer))
		r.finish("stop")
		r.abort()
	}
	allAndUsage := func(r *scriptedAttempt) {
		r.chunks(len(fullAnswer))
		r.finish("stop")
		r.usage()
		r.abort()
	}
	withoutUsage := func(r *scriptedAttempt) {
		r.chunks(len(fullAnswer))
		r.finish("stop")
		r.done()
	}
	rest := (*scriptedAttempt).rest
	scripts := map[string]script{
		"unbroken":    {rest, rest, rest},
		"every-usage": {usageInEvents(abortEarly), usageInEvents(rest), rest},
		"end-lost":    {allChunks, rest, rest},
		"finish-lost": {allAndFinish, rest, rest},
		"usage-sent":  {allAndUsage, rest, rest},
		"full":        {allChunks, rest, rest},
		"full-finish": {allAndFinish, rest, rest},
		"half-full":   {allAndUsage, rest, rest},
		"no-usage":    {abortEarly, withoutUsage, rest},
	}
	system := startScripted(t, scripts)
	for _, model := range []string{"unbroken", "every-usage", "end-lost", "finish-lost", "usage-sent"} {
		t.Run(model, func(t *testing.T) {
			system.complete(t, model, system.call(t, model, true, scriptedMaxTokens), "stop")
		})
	}
	t.Run("max tokens below twice the answer", func(t *testing.T) {
		system.complete(t, "half-full", system.call(t, "half-full", true, 2*len(fullAnswer)-1), "stop")
		assert.DeepEqual(t, system.offsetsOf("half-full"), []int{0, len(fullAnswer)})
	})
	for model, reason := range map[string]string{"full": "length", "full-finish": "stop"} {
		t.Run("all tokens received/"+model, func(t *testing.T) {
			got := system.call(t, model, true, len(fullAnswer))
			assert.Equal(t, got.content, strings.Join(fullAnswer, ""))
			assert.Assert(t, got.ended && !got.failed, got.text)
			assert.Equal(t, got.finish, reason)
			assert.Equal(t, got.usage.Completion, int64(len(fullAnswer)))
			assert.Assert(t, got.usage.Prompt > 0, "the prompt must be counted, too")
			assert.DeepEqual(t, system.offsetsOf(model), []int{0})
		})
	}
	t.Run("no usage reported", func(t *testing.T) {
		got := system.call(t, "no-usage", true, scriptedMaxTokens)
		assert.Assert(t, got.ended && !got.failed, got.text)
		assert.Equal(t, got.usage.Completion, int64(len(fullAnswer)))
		assert.Assert(t, got.usage.Prompt > 0)
	})
}

// TestFollowersOfResumedAnswers repeats a call at other nodes while its continuation is running. Followers must get the same answer
// or failure as the caller.
func TestFollowersOfResumedAnswers(t *testing.T) {
	ends := map[string]func(*scriptedAttempt){"recovered": (*scriptedAttempt).rest, "lost": invalidContinuations["status 500 with a stream"]}
	scripts := make(map[string]script)
	reached, released := make(map[string]chan struct{}), make(map[string]chan struct{})
	for model, end := range ends {
		started, release := make(chan struct{}), make(chan struct{})
		reached[model], released[model] = started, release
		scripts[model] = script{abortEarly, func(r *scriptedAttempt) {
			close(started)
			<-release
			end(r)
		}, end}
	}
	system := startScripted(t, scripts)
	for model := range ends {
		t.Run(model, func(t *testing.T) {
			got := make([]callResult, 3)
			var calls sync.WaitGroup
			start := func(node int) {
				calls.Go(func() { got[node] = system.callAt(t, node, model, true, scriptedMaxTokens) })
			}
			start(0)
			<-reached[model]
			start(1)
			start(2)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if system.Nodes[1].Status().Active > 0 && system.Nodes[2].Status().Active > 0 {
					return poll.Success()
				}
				return poll.Continue("the repeats have not arrived yet")
			}, poll.WithTimeout(waitTimeout), poll.WithDelay(time.Millisecond))
			close(released[model])
			calls.Wait()
			for _, result := range got {
				if model == "recovered" {
					system.complete(t, model, result, "stop")
					continue
				}
				assert.Assert(t, result.failed && !result.ended && result.finish == "", result.text)
				assert.Assert(t, countChunks(result.content) >= 0, result.content)
			}
		})
	}
}
