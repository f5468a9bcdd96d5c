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

// wholeAnswer are the pieces of the answer that scripted engines give, a token each.
var wholeAnswer = []string{"one", " two", " three", " four", " five"}

const (
	// scriptedPrompt is how many tokens scripted engines count for a prompt without a partial answer.
	scriptedPrompt = 10
	// brokenPieces come before the first attempt breaks off.
	brokenPieces    = 2
	scriptedEngines = 3
	scriptedTokens  = 20
)

// run is one attempt at a scripted engine.
type run struct {
	http.ResponseWriter
	attempt string
	// partial is how many pieces the caller has already.
	partial int
	sent    int
	// everyUsage tells the usage so far in each event.
	everyUsage bool
}

func (r *run) data(payload string) {
	_, _ = io.WriteString(r, "data: "+payload+"\n\n")
	_ = http.NewResponseController(r.ResponseWriter).Flush()
}

func (r *run) usageMember() string {
	return fmt.Sprintf(`"usage":{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d}`, scriptedPrompt+r.partial, r.sent, scriptedPrompt+r.partial+r.sent)
}

// pieces sends up to count pieces of what the caller has not got yet.
func (r *run) pieces(count int) {
	r.Header().Set("Content-Type", "text/event-stream")
	for ; count > 0 && r.partial+r.sent < len(wholeAnswer); count-- {
		text := wholeAnswer[r.partial+r.sent]
		r.sent++
		usage := ""
		if r.everyUsage {
			usage = "," + r.usageMember()
		}
		r.data(fmt.Sprintf(`{"choices":[{"index":0,"delta":{"content":%q},"finish_reason":null}]%s}`, text, usage))
	}
}

func (r *run) finish(reason string) {
	r.data(fmt.Sprintf(`{"choices":[{"index":0,"delta":{},"finish_reason":%q}]}`, reason))
}

func (r *run) usage() { r.data(`{"choices":[],` + r.usageMember() + `}`) }

func (r *run) done() { r.data("[DONE]") }

// rest is the right continuation.
func (r *run) rest() {
	r.pieces(len(wholeAnswer))
	r.finish("stop")
	r.usage()
	r.done()
}

// cut ends the connection without the end of the body.
func (r *run) cut() { panic(http.ErrAbortHandler) }

func (r *run) answer(status int, contentType, body string) {
	r.Header().Set("Content-Type", contentType)
	r.WriteHeader(status)
	_, _ = io.WriteString(r, body)
}

// otherAnswer is a stream that is whole, but no rest of this answer.
const otherAnswer = `data: {"choices":[{"index":0,"delta":{"content":"other"},"finish_reason":"stop"}]}` + "\n\ndata: [DONE]\n\n"

const errorObject = `{"error":{"message":"out of memory","type":"server_error","code":500}}`

// wrongContinuations are what engines may answer when they are asked to go on, and is not the rest.
var wrongContinuations = map[string]func(*run){
	"status 500 with an error":  func(r *run) { r.answer(500, "application/json", errorObject) },
	"status 500 with a stream":  func(r *run) { r.answer(500, "text/event-stream", otherAnswer) },
	"status 503 with a page":    func(r *run) { r.answer(503, "text/html", "<html></html>") },
	"status 429":                func(r *run) { r.answer(429, "application/json", errorObject) },
	"status 400":                func(r *run) { r.answer(400, "application/json", errorObject) },
	"status 401":                func(r *run) { r.answer(401, "application/json", errorObject) },
	"status 404 with a stream":  func(r *run) { r.answer(404, "text/event-stream", otherAnswer) },
	"status 302":                func(r *run) { r.Header().Set("Location", "/elsewhere"); r.WriteHeader(302) },
	"status 204":                func(r *run) { r.WriteHeader(204) },
	"status 202 with a stream":  func(r *run) { r.answer(202, "text/event-stream", otherAnswer) },
	"status 206 with a stream":  func(r *run) { r.answer(206, "text/event-stream", otherAnswer) },
	"a page":                    func(r *run) { r.answer(200, "text/html", "<html>data: [DONE]</html>\n") },
	"an error as an object":     func(r *run) { r.answer(200, "application/json", errorObject) },
	"an error and the end mark": func(r *run) { r.answer(200, "application/json", errorObject+"\n\ndata: [DONE]\n\n") },
	"a whole answer as an object": func(r *run) {
		r.answer(200, "application/json", `{"choices":[{"index":0,"message":{"role":"assistant","content":"other"},"finish_reason":"stop"}]}`)
	},
	"an empty body":                func(r *run) { r.WriteHeader(200) },
	"an empty stream":              func(r *run) { r.pieces(0); r.WriteHeader(200) },
	"no end mark":                  func(r *run) { r.pieces(1) },
	"no end mark after the finish": func(r *run) { r.pieces(len(wholeAnswer)); r.finish("stop") },
	"no end mark after the usage":  func(r *run) { r.pieces(len(wholeAnswer)); r.finish("stop"); r.usage() },
	"a cut after the usage":        func(r *run) { r.pieces(1); r.usage(); r.cut() },
	"a cut in an event": func(r *run) {
		r.pieces(1)
		_, _ = io.WriteString(r, `data: {"choices":[{"delta":{"content":"oth`)
		r.cut()
	},
	"a cut in the end mark":    func(r *run) { r.pieces(1); r.finish("stop"); _, _ = io.WriteString(r, "data: [DON"); r.cut() },
	"an end within an event":   func(r *run) { r.pieces(1); _, _ = io.WriteString(r, `data: {"choices":[{"delta":{"content":"oth`) },
	"the end mark at once":     func(r *run) { r.pieces(0); r.done() },
	"the end mark alone":       func(r *run) { r.pieces(1); r.done() },
	"an empty finish reason":   func(r *run) { r.pieces(1); r.finish(""); r.done() },
	"a run that was given up":  func(r *run) { r.pieces(1); r.finish("abort"); r.done() },
	"an error at once":         func(r *run) { r.pieces(0); r.data(errorObject); r.done() },
	"an error in the middle":   func(r *run) { r.pieces(1); r.data(errorObject); r.finish("stop"); r.done() },
	"an event that is no JSON": func(r *run) { r.pieces(1); r.data("{"); r.finish("stop"); r.done() },
	"a second choice": func(r *run) {
		r.pieces(1)
		r.data(`{"choices":[{"index":1,"delta":{"content":"other"}}]}`)
		r.finish("stop")
		r.done()
	},
	"two choices": func(r *run) {
		r.data(`{"choices":[{"index":1,"delta":{"content":"other"}},{"index":0,"delta":{"content":"other"}}]}`)
		r.finish("stop")
		r.done()
	},
	"a piece after the finish": func(r *run) {
		r.pieces(len(wholeAnswer))
		r.finish("stop")
		r.data(`{"choices":[{"index":0,"delta":{"content":"other"}}]}`)
		r.done()
	},
}

// script says what each attempt of a model's calls does.
type script struct {
	first, second, third func(*run)
}

func breakOff(r *run) {
	r.pieces(brokenPieces)
	r.cut()
}

// scriptedServer answers for all engines of the scripts, which it knows by their models' names.
type scriptedServer struct {
	scripts map[string]script
	mutex   sync.Mutex
	// attempts are the pieces that each attempt was asked to go on from, by model.
	attempts map[string][]int
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
	attempt := &run{ResponseWriter: w, attempt: r.Header.Get(engine.HeaderAttempt)}
	if body.Continue {
		attempt.partial = piecesOf(body.Messages[len(body.Messages)-1].Content)
	}
	s.mutex.Lock()
	s.attempts[body.Model] = append(s.attempts[body.Model], attempt.partial)
	s.mutex.Unlock()
	steps := s.scripts[body.Model]
	switch attempt.attempt {
	case "1":
		steps.first(attempt)
	case "2":
		steps.second(attempt)
	default:
		steps.third(attempt)
	}
}

// piecesOf counts the pieces in a text; -1 if it is no beginning of the whole answer.
func piecesOf(text string) int {
	for count := range len(wholeAnswer) + 1 {
		if text == strings.Join(wholeAnswer[:count], "") {
			return count
		}
	}
	return -1
}

// scripted is a cluster whose models are served by scripts, each by engines of its own: what one script does to the
// health of its engines does not touch the others.
type scripted struct {
	*cluster.Cluster
	server *scriptedServer
}

func startScripted(t *testing.T, scripts map[string]script) scripted {
	t.Helper()
	system := start(t, 1)
	server := &scriptedServer{scripts: scripts, attempts: make(map[string][]int)}
	listening := httptest.NewServer(server)
	t.Cleanup(listening.Close)
	var resources []resource.Resource
	for model := range scripts {
		pool := &resource.Pool{}
		for number := range scriptedEngines {
			pool.Engines = append(pool.Engines, resource.Engine{Name: fmt.Sprintf("%s-%d", model, number), URL: listening.URL, Slots: 4})
		}
		resources = append(resources,
			resource.Resource{Kind: resource.KindPool, Name: model, Pool: pool},
			resource.Resource{Kind: resource.KindService, Name: model, Service: &resource.Service{
				Type: resource.ServiceModel, Pool: model, Models: []string{model}, Tenants: []string{"school"}, MaxTokens: scriptedTokens,
			}})
	}
	content, err := resource.Encode(resources)
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	result, err := system.Admin.Apply(ctx, content, adminclient.Change{})
	assert.NilError(t, err)
	assert.NilError(t, system.Admin.WaitInForce(ctx, result.Revision))
	return scripted{Cluster: system, server: server}
}

// outcome is what a caller of a scripted model got.
type outcome struct {
	status  int
	text    string
	content string
	// finish is the finish reason, ended whether the end mark came, failed whether an error came.
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

func (o *outcome) take(t *testing.T, payload string) {
	t.Helper()
	var event answerEvent
	assert.NilError(t, json.Unmarshal([]byte(payload), &event), payload)
	o.failed = o.failed || len(event.Error) > 0
	if len(event.Usage) > 0 {
		assert.NilError(t, json.Unmarshal(event.Usage, &o.usage))
	}
	for _, choice := range event.Choices {
		o.content += choice.Delta.Content + choice.Message.Content
		if choice.FinishReason != nil {
			o.finish = *choice.FinishReason
		}
	}
}

// ask calls a scripted model in a program of the model's name.
func (s scripted) ask(t *testing.T, model string, stream bool, maxTokens int) outcome {
	t.Helper()
	return s.askAt(t, 0, model, stream, maxTokens)
}

// askAt does it at a node.
func (s scripted) askAt(t *testing.T, node int, model string, stream bool, maxTokens int) outcome {
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
	got := outcome{status: response.StatusCode, text: text}
	if response.Header.Get("Content-Type") != "text/event-stream" {
		got.take(t, text)
		got.ended = got.status == http.StatusOK
		return got
	}
	for line := range strings.Lines(text) {
		payload, isEvent := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		switch {
		case !isEvent:
			assert.Equal(t, strings.TrimSpace(line), "", "a line that is no event in %s", text)
		case payload == "[DONE]":
			got.ended = true
		default:
			assert.Assert(t, !got.ended, "an event after the end: %s", text)
			got.take(t, payload)
		}
	}
	return got
}

// programState is what is stored of a program.
type programState struct {
	Summary struct {
		Used     int64 `json:"used_tokens"`
		Reserved int64 `json:"reserved_tokens"`
		Messages int   `json:"messages"`
	} `json:"summary"`
	History []struct{ Role, Content string } `json:"history"`
}

func (s scripted) stored(t *testing.T, model string) programState {
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

func (s scripted) attemptsOf(model string) []int {
	s.server.mutex.Lock()
	defer s.server.mutex.Unlock()
	return slices.Clone(s.server.attempts[model])
}

// whole checks that the caller got all of the answer, each token was counted once, and the answer is what is stored.
func (s scripted) whole(t *testing.T, model string, got outcome, reason string) {
	t.Helper()
	answer := strings.Join(wholeAnswer, "")
	assert.Equal(t, got.status, http.StatusOK, got.text)
	assert.Equal(t, got.content, answer)
	assert.Assert(t, got.ended && !got.failed, got.text)
	assert.Equal(t, got.finish, reason)
	assert.Equal(t, got.usage.Completion, int64(len(wholeAnswer)), "%s", got.text)
	assert.Equal(t, got.usage.Prompt, int64(scriptedPrompt), "%s", got.text)
	state := s.stored(t, model)
	assert.Equal(t, state.Summary.Used, int64(scriptedPrompt+len(wholeAnswer)))
	assert.Equal(t, state.Summary.Reserved, int64(0))
	assert.Equal(t, len(state.History), 2)
	assert.Equal(t, state.History[1].Content, answer)
}

// failed checks that the caller got no end, that no answer is stored, and what the program was charged.
func (s scripted) failed(t *testing.T, model string, got outcome, stream bool) {
	t.Helper()
	assert.Assert(t, got.failed && !got.ended, got.text)
	assert.Equal(t, got.finish, "", got.text)
	passed := piecesOf(got.content)
	assert.Assert(t, passed >= 0, "%q is no beginning of the answer", got.content)
	assert.Equal(t, got.status == http.StatusOK, stream)
	state := s.stored(t, model)
	assert.Equal(t, state.Summary.Reserved, int64(0))
	assert.Equal(t, len(state.History), 0, "%v", state.History)
	if passed == 0 {
		assert.Equal(t, state.Summary.Used, int64(0))
		return
	}
	// No engine has told the prompt's length, or a failed one has.
	prompt := state.Summary.Used - int64(passed)
	assert.Assert(t, prompt > 0 && prompt <= scriptedPrompt, "%d tokens were passed, %d charged", passed, state.Summary.Used)
}

// TestContinuationThatIsNotTheRest breaks each answer off and lets the next engine answer with something else. Its caller gets
// the whole answer from a third one; or, if that one does the same, an error and no end.
func TestContinuationThatIsNotTheRest(t *testing.T) {
	scripts := make(map[string]script)
	names := make(map[string]string)
	number := 0
	for name, wrong := range wrongContinuations {
		number++
		names[name] = fmt.Sprintf("case%d", number)
		for _, form := range []string{"stream", "whole"} {
			model := names[name] + "-" + form
			scripts[model+"-mended"] = script{breakOff, wrong, (*run).rest}
			scripts[model+"-lost"] = script{breakOff, wrong, wrong}
		}
	}
	system := startScripted(t, scripts)
	for name := range wrongContinuations {
		for _, form := range []string{"stream", "whole"} {
			model := names[name] + "-" + form
			t.Run(name+"/"+form+"/mended", func(t *testing.T) {
				system.whole(t, model+"-mended", system.ask(t, model+"-mended", form == "stream", scriptedTokens), "stop")
			})
			t.Run(name+"/"+form+"/lost", func(t *testing.T) {
				got := system.ask(t, model+"-lost", form == "stream", scriptedTokens)
				system.failed(t, model+"-lost", got, form == "stream")
				again := system.ask(t, model+"-lost", form == "stream", scriptedTokens)
				assert.Assert(t, again.failed && !again.ended, "a repeat got an answer: %s", again.text)
			})
		}
	}
}

// TestUsageOfResumedAnswers: engines that tell the usage in each event, and an answer of which only the end was lost.
func TestUsageOfResumedAnswers(t *testing.T) {
	everyUsage := func(next func(*run)) func(*run) {
		return func(r *run) {
			r.everyUsage = true
			next(r)
		}
	}
	allPieces := func(r *run) {
		r.pieces(len(wholeAnswer))
		r.cut()
	}
	allAndFinish := func(r *run) {
		r.pieces(len(wholeAnswer))
		r.finish("stop")
		r.cut()
	}
	allAndUsage := func(r *run) {
		r.pieces(len(wholeAnswer))
		r.finish("stop")
		r.usage()
		r.cut()
	}
	withoutUsage := func(r *run) {
		r.pieces(len(wholeAnswer))
		r.finish("stop")
		r.done()
	}
	rest := (*run).rest
	scripts := map[string]script{
		"unbroken":    {rest, rest, rest},
		"every-usage": {everyUsage(breakOff), everyUsage(rest), rest},
		"end-lost":    {allPieces, rest, rest},
		"finish-lost": {allAndFinish, rest, rest},
		"usage-came":  {allAndUsage, rest, rest},
		"full":        {allPieces, rest, rest},
		"full-finish": {allAndFinish, rest, rest},
		"half-full":   {allAndUsage, rest, rest},
		"no-usage":    {breakOff, withoutUsage, rest},
	}
	system := startScripted(t, scripts)
	for _, model := range []string{"unbroken", "every-usage", "end-lost", "finish-lost", "usage-came"} {
		t.Run(model, func(t *testing.T) { system.whole(t, model, system.ask(t, model, true, scriptedTokens), "stop") })
	}
	t.Run("less than twice the tokens", func(t *testing.T) {
		system.whole(t, "half-full", system.ask(t, "half-full", true, 2*len(wholeAnswer)-1), "stop")
		assert.DeepEqual(t, system.attemptsOf("half-full"), []int{0, len(wholeAnswer)})
	})
	for model, reason := range map[string]string{"full": "length", "full-finish": "stop"} {
		t.Run("all tokens came/"+model, func(t *testing.T) {
			got := system.ask(t, model, true, len(wholeAnswer))
			assert.Equal(t, got.content, strings.Join(wholeAnswer, ""))
			assert.Assert(t, got.ended && !got.failed, got.text)
			assert.Equal(t, got.finish, reason)
			assert.Equal(t, got.usage.Completion, int64(len(wholeAnswer)))
			assert.Assert(t, got.usage.Prompt > 0, "the prompt counts, too")
			assert.DeepEqual(t, system.attemptsOf(model), []int{0})
		})
	}
	t.Run("engines that tell none", func(t *testing.T) {
		got := system.ask(t, "no-usage", true, scriptedTokens)
		assert.Assert(t, got.ended && !got.failed, got.text)
		assert.Equal(t, got.usage.Completion, int64(len(wholeAnswer)))
		assert.Assert(t, got.usage.Prompt > 0)
	})
}

// TestFollowersOfResumedAnswers repeats a call at other nodes while its continuation is under way: followers get the same end, or the same
// failure, as the caller.
func TestFollowersOfResumedAnswers(t *testing.T) {
	ends := map[string]func(*run){"mended": (*run).rest, "lost": wrongContinuations["status 500 with a stream"]}
	scripts := make(map[string]script)
	reached, released := make(map[string]chan struct{}), make(map[string]chan struct{})
	for model, end := range ends {
		begun, release := make(chan struct{}), make(chan struct{})
		reached[model], released[model] = begun, release
		scripts[model] = script{breakOff, func(r *run) {
			close(begun)
			<-release
			end(r)
		}, end}
	}
	system := startScripted(t, scripts)
	for model := range ends {
		t.Run(model, func(t *testing.T) {
			got := make([]outcome, 3)
			var asking sync.WaitGroup
			ask := func(node int) {
				asking.Go(func() { got[node] = system.askAt(t, node, model, true, scriptedTokens) })
			}
			ask(0)
			<-reached[model]
			ask(1)
			ask(2)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if system.Nodes[1].Status().Active > 0 && system.Nodes[2].Status().Active > 0 {
					return poll.Success()
				}
				return poll.Continue("the repeats are not there yet")
			}, poll.WithTimeout(patience), poll.WithDelay(time.Millisecond))
			close(released[model])
			asking.Wait()
			for _, one := range got {
				if model == "mended" {
					system.whole(t, model, one, "stop")
					continue
				}
				assert.Assert(t, one.failed && !one.ended && one.finish == "", one.text)
				assert.Assert(t, piecesOf(one.content) >= 0, one.content)
			}
		})
	}
}
