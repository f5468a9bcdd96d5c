// Package path_test exercises the whole path from a caller to an engine on a cluster in this
// process.
package path_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mountstile/mountstile/internal/adminclient"
	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/emulator"
	"github.com/mountstile/mountstile/internal/gateway"
	"github.com/mountstile/mountstile/internal/lab/cluster"
	"github.com/mountstile/mountstile/internal/lab/runner"
	"github.com/mountstile/mountstile/internal/resource"
)

const (
	secret = "test-secret"
	apiKey = "school.k." + secret
	// patience is how long a condition may take on a busy machine; it is no measure of speed.
	patience = 30 * time.Second
)

func resources(engines int) []resource.Resource {
	pool := &resource.Pool{}
	for number := range engines {
		pool.Engines = append(pool.Engines, resource.Engine{Name: fmt.Sprintf("m%d", number+1), URL: "http://replaced", Slots: 4})
	}
	return []resource.Resource{
		{Kind: resource.KindTenant, Name: "school", Tenant: &resource.Tenant{Keys: []resource.APIKey{resource.NewAPIKey("k", secret, resource.RoleOperator)}, ProgramTokenBudget: 20000}},
		{Kind: resource.KindTenant, Name: "other", Tenant: &resource.Tenant{Keys: []resource.APIKey{resource.NewAPIKey("k", secret, resource.RoleCaller)}}},
		{Kind: resource.KindPool, Name: "models", Pool: pool},
		{Kind: resource.KindPool, Name: "books", Pool: &resource.Pool{Engines: []resource.Engine{{Name: "b1", URL: "http://replaced", Slots: 4}, {Name: "b2", URL: "http://replaced", Slots: 4}}}},
		{Kind: resource.KindService, Name: "tutor", Service: &resource.Service{Type: resource.ServiceModel, Pool: "models", Models: []string{"tutor"}, Tenants: []string{"school"}, MaxTokens: 400, StallSeconds: patience.Seconds()}},
		{Kind: resource.KindService, Name: "book", Service: &resource.Service{Type: resource.ServiceApplication, Pool: "books", Tenants: []string{"school"}}},
	}
}

func start(t *testing.T, engines int) *cluster.Cluster {
	t.Helper()
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), 2*patience)
	defer cancel()
	system, err := cluster.Start(ctx, cluster.Options{
		Nodes: 3, Zones: []string{"a", "b", "c"}, Region: "r", Resources: resources(engines), Engine: emulator.DefaultConfig(), Partitions: 6,
	})
	t.Cleanup(system.Stop)
	assert.NilError(t, err)
	return system
}

func newOpenAI(system *cluster.Cluster, node int, key string) openai.Client {
	return openai.NewClient(option.WithBaseURL(system.APIURLs()[node]+"/v1"), option.WithAPIKey(key))
}

func question(text string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{Model: "tutor", MaxTokens: openai.Int(20), Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(text)}}
}

// TestOfficialClient runs the OpenAI Go client unmodified but for its base URL and key.
func TestOfficialClient(t *testing.T) {
	system := start(t, 2)
	client := newOpenAI(system, 0, apiKey)
	t.Run("whole", func(t *testing.T) {
		answer, err := client.Chat.Completions.New(t.Context(), question("What is 7 times 8?"))
		assert.NilError(t, err)
		assert.Assert(t, strings.HasPrefix(answer.Choices[0].Message.Content, " 1:"))
		assert.Assert(t, answer.Usage.CompletionTokens > 0)
	})
	t.Run("streamed", func(t *testing.T) {
		stream := client.Chat.Completions.NewStreaming(t.Context(), question("And 8 times 9?"))
		var whole openai.ChatCompletionAccumulator
		for stream.Next() {
			whole.AddChunk(stream.Current())
		}
		assert.NilError(t, stream.Err())
		assert.Assert(t, strings.HasPrefix(whole.Choices[0].Message.Content, " 1:"))
		assert.Assert(t, whole.Choices[0].FinishReason != "")
	})
	t.Run("models", func(t *testing.T) {
		models, err := client.Models.List(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, len(models.Data), 1)
		assert.Equal(t, models.Data[0].ID, "tutor")
	})
	failures := map[string]struct {
		key    string
		params openai.ChatCompletionNewParams
		status int
		code   string
	}{
		"bad key":         {"school.k.wrong", question("x"), http.StatusUnauthorized, "unauthenticated"},
		"unknown model":   {apiKey, openai.ChatCompletionNewParams{Model: "none", Messages: question("x").Messages}, http.StatusNotFound, "unknown_model"},
		"another's model": {"other.k." + secret, question("x"), http.StatusNotFound, "unknown_model"},
		"too large":       {apiKey, question(strings.Repeat("x", 9<<20)), http.StatusRequestEntityTooLarge, "body_too_large"},
	}
	for name, failure := range failures {
		t.Run(name, func(t *testing.T) {
			stranger := newOpenAI(system, 1, failure.key)
			_, err := stranger.Chat.Completions.New(t.Context(), failure.params)
			var refused *openai.Error
			assert.Assert(t, errors.As(err, &refused), "%v", err)
			assert.Equal(t, refused.StatusCode, failure.status)
			assert.Equal(t, refused.Code, failure.code)
		})
	}
	t.Run("malformed", func(t *testing.T) {
		for _, body := range []string{"{", `[]`, `{"model":"tutor"}`, `{"model":"tutor","messages":[{}]}`, `{"model":"tutor","messages":[7]}`, `{"model":"tutor","n":2,"messages":[{"role":"user"}]}`} {
			response, text := post(t, system, "/v1/chat/completions", body, nil)
			assert.Equal(t, response.StatusCode, http.StatusBadRequest, body)
			assert.Assert(t, strings.Contains(text, `"outcome":"not_run"`), text)
		}
	})
}

func post(t *testing.T, system *cluster.Cluster, path, body string, header map[string]string) (*http.Response, string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, system.APIURLs()[0]+path, strings.NewReader(body))
	assert.NilError(t, err)
	request.Header.Set("Authorization", "Bearer "+apiKey)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response, string(text)
}

func call(program string, sequence int, messages ...runner.Message) runner.Call {
	return runner.Call{Program: program, Sequence: sequence, Model: "tutor", Messages: messages, Tokens: 20}
}

func user(text string) runner.Message { return runner.Message{Role: "user", Content: text} }

func chat(t *testing.T, client *runner.Client, node string, request runner.Call) runner.Reply {
	t.Helper()
	reply, err := client.Chat(t.Context(), node, request)
	assert.NilError(t, err)
	return reply
}

func failureOf(t *testing.T, err error) *runner.ErrResponse {
	t.Helper()
	var failure *runner.ErrResponse
	assert.Assert(t, errors.As(err, &failure), "%v", err)
	return failure
}

// TestHistoryThroughAnyNode continues a program through other nodes, with all messages and with
// only the new ones, and refuses another history.
func TestHistoryThroughAnyNode(t *testing.T) {
	system := start(t, 2)
	client := runner.NewClient(apiKey)
	defer client.Close()
	nodes := system.APIURLs()
	first := chat(t, client, nodes[0], call("p", 1, user("one")))
	answer := runner.Message{Role: "assistant", Content: first.Content}
	second := chat(t, client, nodes[1], call("p", 2, user("one"), answer, user("two")))
	delta := call("p", 3, user("three"))
	delta.DeltaHistory = true
	chat(t, client, nodes[2], delta)
	var messages []int
	for _, engine := range system.Engines {
		for _, entry := range engine.Ledger() {
			messages = append(messages, entry.Messages)
		}
	}
	assert.Equal(t, len(messages), 3)
	assert.Assert(t, contains(messages, 5), "the third call carries the whole history: %v", messages)
	forged := runner.Message{Role: "assistant", Content: second.Content + "!"}
	_, err := client.Chat(t.Context(), nodes[0], call("p", 4, user("one"), forged, user("four")))
	failure := failureOf(t, err)
	assert.Equal(t, failure.Code, string(apierr.HistoryConflict))
	assert.Equal(t, failure.Outcome, string(apierr.NotRun))
}

func contains(list []int, wanted int) bool {
	for _, item := range list {
		if item == wanted {
			return true
		}
	}
	return false
}

// TestOrderOverGateways sends a chain's calls at once, the last first, through different nodes.
func TestOrderOverGateways(t *testing.T) {
	system := start(t, 1)
	client := runner.NewClient(apiKey)
	defer client.Close()
	const calls = 5
	failures := make([]error, calls)
	var tasks sync.WaitGroup
	for sequence := calls; sequence >= 1; sequence-- {
		request := call("chain", sequence, user(fmt.Sprintf("call %d", sequence)))
		request.DeltaHistory = true
		tasks.Go(func() {
			_, failures[sequence-1] = client.Chat(t.Context(), system.APIURLs()[sequence%3], request)
		})
	}
	tasks.Wait()
	for _, err := range failures {
		assert.NilError(t, err)
	}
	for position, entry := range system.Engines["m1"].Ledger() {
		assert.Equal(t, entry.Messages, 2*position+1, "call %d reached the engine in place %d", entry.Messages/2+1, position+1)
	}
}

// TestSequenceGapIsRefused: a call whose predecessor never comes is refused as not run.
func TestSequenceGapIsRefused(t *testing.T) {
	system := start(t, 1)
	client := runner.NewClient(apiKey)
	defer client.Close()
	_, err := client.Chat(t.Context(), system.APIURLs()[0], call("gap", 2, user("x")))
	failure := failureOf(t, err)
	assert.Equal(t, failure.Code, string(apierr.SequenceGap))
	assert.Equal(t, failure.Outcome, string(apierr.NotRun))
	assert.Equal(t, len(system.Engines["m1"].Ledger()), 0)
}

// TestBudgetHoldsWithSubAgents lets sub-agents race for the parent's budget.
func TestBudgetHoldsWithSubAgents(t *testing.T) {
	system := start(t, 2)
	client := runner.NewClient(apiKey)
	defer client.Close()
	var mutex sync.Mutex
	refused, served := 0, 0
	var tasks sync.WaitGroup
	for agent := range 40 {
		tasks.Go(func() {
			request := call(fmt.Sprintf("feast/agent-%d", agent), 1, user(strings.Repeat("x", 1500)))
			_, err := client.Chat(t.Context(), system.APIURLs()[agent%3], request)
			mutex.Lock()
			defer mutex.Unlock()
			if err == nil {
				served++
				return
			}
			var failure *runner.ErrResponse
			if errors.As(err, &failure) && failure.Code == string(apierr.BudgetExceeded) && failure.Outcome == string(apierr.NotRun) {
				refused++
			}
		})
	}
	tasks.Wait()
	assert.Equal(t, refused+served, 40)
	assert.Assert(t, refused > 0 && served > 0, "%d served, %d refused", served, refused)
	programs, err := system.Admin.Programs(t.Context(), "school")
	assert.NilError(t, err)
	for _, program := range programs.Programs {
		assert.Assert(t, program.Used+program.Reserved <= 20000)
	}
}

// TestEngineLostInMidStream cuts one engine's answers: callers still get one whole answer.
func TestEngineLostInMidStream(t *testing.T) {
	faults := map[string]emulator.Faults{
		"cut":                           {CutAfterTokens: 7},
		"garbled":                       {GarbleAfterTokens: 7},
		"ended without a finish reason": {EndAfterTokens: 7},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			system := start(t, 2)
			system.Engines["m1"].SetFaults(fault)
			client := runner.NewClient(apiKey)
			defer client.Close()
			resumed := 0
			for number := range 12 {
				text := fmt.Sprintf("question %d", number)
				reply := chat(t, client, system.APIURLs()[number%3], call("", 0, user(text)))
				expected := emulator.ExpectedAnswer([]json.RawMessage{json.RawMessage(fmt.Sprintf(`{"role":"user","content":%q}`, text))}, 20)
				assert.Equal(t, reply.Content, expected)
			}
			for _, entry := range system.Engines["m2"].Ledger() {
				if entry.Attempt != "1" {
					resumed++
				}
			}
			assert.Assert(t, resumed > 0, "no answer was continued")
		})
	}
}

// TestNonRepeatableRunsAtMostOnce cuts the answers of back ends that have done the work.
func TestNonRepeatableRunsAtMostOnce(t *testing.T) {
	system := start(t, 1)
	for _, application := range system.Applications {
		application.SetFaults(emulator.ApplicationFaults{CutBeforeAnswer: true})
	}
	for number := range 5 {
		response, text := post(t, system, "/apps/book/marks", fmt.Sprintf("mark %d", number), nil)
		assert.Equal(t, response.Header.Get(gateway.HeaderOutcome), string(apierr.OutcomeUnknown), text)
	}
	seen := make(map[string]int)
	for _, application := range system.Applications {
		for _, entry := range application.Ledger() {
			seen[entry.Body]++
		}
	}
	assert.Equal(t, len(seen), 5)
	for body, count := range seen {
		assert.Equal(t, count, 1, body)
	}
}

// TestApplicationAnswersWhole passes methods, bodies, queries and headers, and repeats by key.
func TestApplicationAnswersWhole(t *testing.T) {
	system := start(t, 1)
	header := map[string]string{"Idempotency-Key": "mark-7", "Connection": "X-Secret", "X-Secret": "hop"}
	first, text := post(t, system, "/apps/book/marks/7?term=2", "A", header)
	assert.Equal(t, first.StatusCode, http.StatusOK, text)
	assert.Assert(t, strings.Contains(text, `"body":"A"`), text)
	_, again := post(t, system, "/apps/book/marks/7?term=2", "A", header)
	assert.Equal(t, again, text)
	missing, _ := post(t, system, "/apps/tutor/x", "", nil)
	assert.Equal(t, missing.StatusCode, http.StatusNotFound)
}

// TestEndReleasesCache ends programs while an engine refuses to release: it is asked until it does.
func TestEndReleasesCache(t *testing.T) {
	system := start(t, 1)
	client := runner.NewClient(apiKey)
	defer client.Close()
	engine := system.Engines["m1"]
	engine.SetFaults(emulator.Faults{RefuseReleases: true})
	chat(t, client, system.APIURLs()[0], call("meal", 1, user(strings.Repeat("tomatoes ", 200))))
	assert.Assert(t, engine.Held("school:meal") > 0)
	assert.NilError(t, client.End(t.Context(), system.APIURLs()[1], "meal"))
	_, err := client.Chat(t.Context(), system.APIURLs()[2], call("meal", 2, user("more")))
	assert.Equal(t, failureOf(t, err).Code, string(apierr.ProgramEnded))
	assert.Assert(t, engine.Held("school:meal") > 0)
	engine.SetFaults(emulator.Faults{})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if engine.Held("school:meal") == 0 {
			return poll.Success()
		}
		return poll.Continue("the engine still holds cache")
	}, poll.WithTimeout(patience))
}

// TestTenantsCannotReachEachOther names another tenant's program in every way that there is.
func TestTenantsCannotReachEachOther(t *testing.T) {
	system := start(t, 1)
	client := runner.NewClient(apiKey)
	defer client.Close()
	chat(t, client, system.APIURLs()[0], call("private", 1, user("secret")))
	for _, path := range []string{"private", "school:private", "../school/private", "school%2Fprivate"} {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, system.APIURLs()[0]+"/v1/programs/"+path+"?history=true", nil)
		assert.NilError(t, err)
		request.Header.Set("Authorization", "Bearer other.k."+secret)
		response, err := http.DefaultClient.Do(request)
		assert.NilError(t, err)
		text, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, response.StatusCode, http.StatusNotFound, "%s: %s", path, text)
		assert.Assert(t, !strings.Contains(string(text), "secret"))
	}
}

// TestDrainedEngineGetsNoNewWork publishes a drain and looks at what arrives afterwards.
func TestDrainedEngineGetsNoNewWork(t *testing.T) {
	system := start(t, 2)
	client := runner.NewClient(apiKey)
	defer client.Close()
	result, err := system.Admin.DrainEngine(t.Context(), "models", "m1", false)
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	assert.NilError(t, system.Admin.WaitInForce(ctx, result.Revision))
	before := len(system.Engines["m1"].Ledger())
	for number := range 10 {
		chat(t, client, system.APIURLs()[number%3], call("", 0, user(fmt.Sprintf("q%d", number))))
	}
	assert.Equal(t, len(system.Engines["m1"].Ledger()), before)
	assert.Equal(t, len(system.Engines["m2"].Ledger()), 10)
}

// TestOverloadIsRefusedAtOnce fills the only engine and its line.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	system := start(t, 1)
	short := resources(1)[4]
	short.Service.QueueSeconds, short.Service.CallSeconds = 0.2, 60
	yaml, err := resource.Encode([]resource.Resource{short})
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	result, err := system.Admin.Apply(ctx, yaml, adminclient.Change{})
	assert.NilError(t, err)
	assert.NilError(t, system.Admin.WaitInForce(ctx, result.Revision))
	system.Engines["m1"].SetFaults(emulator.Faults{Hang: true})
	client := runner.NewClient(apiKey)
	defer client.Close()
	hanging, release := context.WithCancel(t.Context())
	var tasks sync.WaitGroup
	for number := range 4 {
		tasks.Go(func() { _, _ = client.Chat(hanging, system.APIURLs()[number%3], call("", 0, user("hang"))) })
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(system.Engines["m1"].Ledger()) == 4 {
			return poll.Success()
		}
		return poll.Continue("the engine is not full yet")
	}, poll.WithTimeout(patience))
	_, err = client.Chat(t.Context(), system.APIURLs()[0], call("", 0, user("late")))
	failure := failureOf(t, err)
	assert.Equal(t, failure.Code, string(apierr.Overloaded))
	assert.Equal(t, failure.Outcome, string(apierr.NotRun))
	assert.Assert(t, failure.RetryAfter > 0)
	release()
	tasks.Wait()
	assert.Equal(t, len(system.Engines["m1"].Ledger()), 4)
}

// TestLimitsHoldOverAllNodes lets calls of one tenant race through all nodes.
func TestLimitsHoldOverAllNodes(t *testing.T) {
	system := start(t, 2)
	yaml, err := resource.Encode([]resource.Resource{{Kind: resource.KindLimit, Name: "few", Limit: &resource.Limit{Tenant: "school", Service: "tutor", Concurrent: 3}}})
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	result, err := system.Admin.Apply(ctx, yaml, adminclient.Change{})
	assert.NilError(t, err)
	assert.NilError(t, system.Admin.WaitInForce(ctx, result.Revision))
	for _, engine := range system.Engines {
		engine.SetFaults(emulator.Faults{Hang: true})
	}
	client := runner.NewClient(apiKey)
	defer client.Close()
	hanging, release := context.WithCancel(t.Context())
	var mutex sync.Mutex
	refused := 0
	var tasks sync.WaitGroup
	for number := range 12 {
		tasks.Go(func() {
			_, err := client.Chat(hanging, system.APIURLs()[number%3], call("", 0, user(fmt.Sprint(number))))
			var failure *runner.ErrResponse
			if errors.As(err, &failure) && failure.Code == string(apierr.LimitExceeded) && failure.Outcome == string(apierr.NotRun) && failure.RetryAfter > 0 {
				mutex.Lock()
				refused++
				mutex.Unlock()
			}
		})
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		mutex.Lock()
		defer mutex.Unlock()
		if refused == 9 {
			return poll.Success()
		}
		return poll.Continue("%d refused", refused)
	}, poll.WithTimeout(patience))
	assert.Assert(t, len(system.Engines["m1"].Ledger())+len(system.Engines["m2"].Ledger()) <= 3)
	release()
	tasks.Wait()
	for _, engine := range system.Engines {
		engine.SetFaults(emulator.Faults{})
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, err := client.Chat(t.Context(), system.APIURLs()[0], call("", 0, user("after"))); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(patience))
}
