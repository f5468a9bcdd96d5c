// Package path_test tests calls from a client to an engine through a cluster in the test's process.
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
	// waitTimeout bounds each wait for a condition; it allows for a busy machine.
	waitTimeout = 30 * time.Second
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
		{Kind: resource.KindService, Name: "tutor", Service: &resource.Service{Type: resource.ServiceModel, Pool: "models", Models: []string{"tutor"}, Tenants: []string{"school"}, MaxTokens: 400, StallSeconds: waitTimeout.Seconds()}},
		{Kind: resource.KindService, Name: "book", Service: &resource.Service{Type: resource.ServiceApplication, Pool: "books", Tenants: []string{"school"}}},
	}
}

func startCluster(t *testing.T, engines int) *cluster.Cluster {
	t.Helper()
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), 2*waitTimeout)
	defer cancel()
	system, err := cluster.Start(ctx, cluster.Options{
		Nodes: 3, Zones: []string{"a", "b", "c"}, Region: "r", Resources: resources(engines), Engine: emulator.DefaultConfig(), Partitions: 6,
	})
	t.Cleanup(system.Stop)
	assert.NilError(t, err)
	return system
}

func newOpenAIClient(system *cluster.Cluster, node int, key string) openai.Client {
	return openai.NewClient(option.WithBaseURL(system.APIURLs()[node]+"/v1"), option.WithAPIKey(key))
}

func chatParams(text string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{Model: "tutor", MaxTokens: openai.Int(20), Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(text)}}
}

// TestOpenAIClient runs the official OpenAI Go client against a gateway.
func TestOpenAIClient(t *testing.T) {
	system := startCluster(t, 2)
	client := newOpenAIClient(system, 0, apiKey)
	t.Run("whole", func(t *testing.T) {
		answer, err := client.Chat.Completions.New(t.Context(), chatParams("What is 7 times 8?"))
		assert.NilError(t, err)
		assert.Assert(t, strings.HasPrefix(answer.Choices[0].Message.Content, " 1:"))
		assert.Assert(t, answer.Usage.CompletionTokens > 0)
	})
	t.Run("streamed", func(t *testing.T) {
		stream := client.Chat.Completions.NewStreaming(t.Context(), chatParams("And 8 times 9?"))
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
		"bad key":         {"school.k.wrong", chatParams("x"), http.StatusUnauthorized, "unauthenticated"},
		"unknown model":   {apiKey, openai.ChatCompletionNewParams{Model: "none", Messages: chatParams("x").Messages}, http.StatusNotFound, "unknown_model"},
		"another's model": {"other.k." + secret, chatParams("x"), http.StatusNotFound, "unknown_model"},
		"too large":       {apiKey, chatParams(strings.Repeat("x", 9<<20)), http.StatusRequestEntityTooLarge, "body_too_large"},
	}
	for name, failure := range failures {
		t.Run(name, func(t *testing.T) {
			caller := newOpenAIClient(system, 1, failure.key)
			_, err := caller.Chat.Completions.New(t.Context(), failure.params)
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

func newCall(program string, sequence int, messages ...runner.Message) runner.Call {
	return runner.Call{Program: program, Sequence: sequence, Model: "tutor", Messages: messages, Tokens: 20}
}

func userMessage(text string) runner.Message { return runner.Message{Role: "user", Content: text} }

func mustChat(t *testing.T, client *runner.Client, node string, request runner.Call) runner.Reply {
	t.Helper()
	reply, err := client.Chat(t.Context(), node, request)
	assert.NilError(t, err)
	return reply
}

func requireFailure(t *testing.T, err error) *runner.ErrResponse {
	t.Helper()
	var failure *runner.ErrResponse
	assert.Assert(t, errors.As(err, &failure), "%v", err)
	return failure
}

// TestHistoryAcrossNodes continues a program through other nodes, with the full history and with only the new messages.
// A history that differs from the stored one must be refused.
func TestHistoryAcrossNodes(t *testing.T) {
	system := startCluster(t, 2)
	client := runner.NewClient(apiKey)
	defer client.Close()
	nodes := system.APIURLs()
	first := mustChat(t, client, nodes[0], newCall("p", 1, userMessage("one")))
	answer := runner.Message{Role: "assistant", Content: first.Content}
	second := mustChat(t, client, nodes[1], newCall("p", 2, userMessage("one"), answer, userMessage("two")))
	delta := newCall("p", 3, userMessage("three"))
	delta.DeltaHistory = true
	mustChat(t, client, nodes[2], delta)
	var messages []int
	for _, engine := range system.Engines {
		for _, entry := range engine.Ledger() {
			messages = append(messages, entry.Messages)
		}
	}
	assert.Equal(t, len(messages), 3)
	assert.Assert(t, contains(messages, 5), "the third call must carry the full history: %v", messages)
	altered := runner.Message{Role: "assistant", Content: second.Content + "!"}
	_, err := client.Chat(t.Context(), nodes[0], newCall("p", 4, userMessage("one"), altered, userMessage("four")))
	failure := requireFailure(t, err)
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

// TestSequenceOrderAcrossGateways sends a program's calls concurrently, the last one first, through different nodes. They
// must reach the engine in sequence order.
func TestSequenceOrderAcrossGateways(t *testing.T) {
	system := startCluster(t, 1)
	client := runner.NewClient(apiKey)
	defer client.Close()
	const calls = 5
	failures := make([]error, calls)
	var tasks sync.WaitGroup
	for sequence := calls; sequence >= 1; sequence-- {
		request := newCall("chain", sequence, userMessage(fmt.Sprintf("call %d", sequence)))
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
		assert.Equal(t, entry.Messages, 2*position+1, "call %d reached the engine at position %d", entry.Messages/2+1, position+1)
	}
}

// TestSequenceGapIsRefused checks that a call whose predecessor never arrives is refused as not run.
func TestSequenceGapIsRefused(t *testing.T) {
	system := startCluster(t, 1)
	client := runner.NewClient(apiKey)
	defer client.Close()
	_, err := client.Chat(t.Context(), system.APIURLs()[0], newCall("gap", 2, userMessage("x")))
	failure := requireFailure(t, err)
	assert.Equal(t, failure.Code, string(apierr.SequenceGap))
	assert.Equal(t, failure.Outcome, string(apierr.NotRun))
	assert.Equal(t, len(system.Engines["m1"].Ledger()), 0)
}

// TestBudgetSharedBySubAgents checks that concurrent sub-agents don't exceed their parent's token budget.
func TestBudgetSharedBySubAgents(t *testing.T) {
	system := startCluster(t, 2)
	client := runner.NewClient(apiKey)
	defer client.Close()
	var mutex sync.Mutex
	refused, served := 0, 0
	var tasks sync.WaitGroup
	for agent := range 40 {
		tasks.Go(func() {
			request := newCall(fmt.Sprintf("feast/agent-%d", agent), 1, userMessage(strings.Repeat("x", 1500)))
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

// TestEngineFailsMidStream breaks one engine's streams: callers must still get one complete answer.
func TestEngineFailsMidStream(t *testing.T) {
	faults := map[string]emulator.Faults{
		"cut":                           {CutAfterTokens: 7},
		"garbled":                       {GarbleAfterTokens: 7},
		"ended without a finish reason": {EndAfterTokens: 7},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			system := startCluster(t, 2)
			system.Engines["m1"].SetFaults(fault)
			client := runner.NewClient(apiKey)
			defer client.Close()
			resumed := 0
			for number := range 12 {
				text := fmt.Sprintf("question %d", number)
				reply := mustChat(t, client, system.APIURLs()[number%3], newCall("", 0, userMessage(text)))
				expected := emulator.ExpectedAnswer([]json.RawMessage{json.RawMessage(fmt.Sprintf(`{"role":"user","content":%q}`, text))}, 20)
				assert.Equal(t, reply.Content, expected)
			}
			for _, entry := range system.Engines["m2"].Ledger() {
				if entry.Attempt != "1" {
					resumed++
				}
			}
			assert.Assert(t, resumed > 0, "no answer was resumed")
		})
	}
}

// TestNonRepeatableRunsAtMostOnce drops the responses of application engines after they ran a non-repeatable call. It must
// not be run again, and its outcome must be reported as unknown.
func TestNonRepeatableRunsAtMostOnce(t *testing.T) {
	system := startCluster(t, 1)
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

// TestApplicationCalls checks that application calls pass through and that a repeat with the same key gets the same response.
func TestApplicationCalls(t *testing.T) {
	system := startCluster(t, 1)
	header := map[string]string{"Idempotency-Key": "mark-7", "Connection": "X-Secret", "X-Secret": "hop"}
	first, text := post(t, system, "/apps/book/marks/7?term=2", "A", header)
	assert.Equal(t, first.StatusCode, http.StatusOK, text)
	assert.Assert(t, strings.Contains(text, `"body":"A"`), text)
	_, again := post(t, system, "/apps/book/marks/7?term=2", "A", header)
	assert.Equal(t, again, text)
	missing, _ := post(t, system, "/apps/tutor/x", "", nil)
	assert.Equal(t, missing.StatusCode, http.StatusNotFound)
}

// TestEndReleasesCache ends a program while its engine refuses to release the cache: the release must be retried until it
// succeeds.
func TestEndReleasesCache(t *testing.T) {
	system := startCluster(t, 1)
	client := runner.NewClient(apiKey)
	defer client.Close()
	engine := system.Engines["m1"]
	engine.SetFaults(emulator.Faults{RefuseReleases: true})
	mustChat(t, client, system.APIURLs()[0], newCall("meal", 1, userMessage(strings.Repeat("tomatoes ", 200))))
	assert.Assert(t, engine.Held("school:meal") > 0)
	assert.NilError(t, client.End(t.Context(), system.APIURLs()[1], "meal"))
	_, err := client.Chat(t.Context(), system.APIURLs()[2], newCall("meal", 2, userMessage("more")))
	assert.Equal(t, requireFailure(t, err).Code, string(apierr.ProgramEnded))
	assert.Assert(t, engine.Held("school:meal") > 0)
	engine.SetFaults(emulator.Faults{})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if engine.Held("school:meal") == 0 {
			return poll.Success()
		}
		return poll.Continue("the engine still holds cache")
	}, poll.WithTimeout(waitTimeout))
}

// TestTenantIsolation requests another tenant's program by its plain, qualified, relative and escaped paths.
func TestTenantIsolation(t *testing.T) {
	system := startCluster(t, 1)
	client := runner.NewClient(apiKey)
	defer client.Close()
	mustChat(t, client, system.APIURLs()[0], newCall("private", 1, userMessage("secret")))
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

// TestDrainedEngineGetsNoCalls checks that an engine gets no new calls once the configuration that drains it is applied.
func TestDrainedEngineGetsNoCalls(t *testing.T) {
	system := startCluster(t, 2)
	client := runner.NewClient(apiKey)
	defer client.Close()
	result, err := system.Admin.DrainEngine(t.Context(), "models", "m1", false)
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	assert.NilError(t, system.Admin.WaitInForce(ctx, result.Revision))
	before := len(system.Engines["m1"].Ledger())
	for number := range 10 {
		mustChat(t, client, system.APIURLs()[number%3], newCall("", 0, userMessage(fmt.Sprintf("q%d", number))))
	}
	assert.Equal(t, len(system.Engines["m1"].Ledger()), before)
	assert.Equal(t, len(system.Engines["m2"].Ledger()), 10)
}

// TestOverloadIsRefused fills the slots of the only engine: a further call must be refused as not run at the end of its queue
// time, with a retry delay.
func TestOverloadIsRefused(t *testing.T) {
	system := startCluster(t, 1)
	short := resources(1)[4]
	short.Service.QueueSeconds, short.Service.CallSeconds = 0.2, 60
	yaml, err := resource.Encode([]resource.Resource{short})
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	result, err := system.Admin.Apply(ctx, yaml, adminclient.Change{})
	assert.NilError(t, err)
	assert.NilError(t, system.Admin.WaitInForce(ctx, result.Revision))
	system.Engines["m1"].SetFaults(emulator.Faults{Hang: true})
	client := runner.NewClient(apiKey)
	defer client.Close()
	hangCtx, release := context.WithCancel(t.Context())
	var tasks sync.WaitGroup
	// ended holds what the filling calls got: they hang until released, so any early end is a fault.
	ended := make(chan error, 4)
	for number := range 4 {
		tasks.Go(func() {
			_, err := client.Chat(hangCtx, system.APIURLs()[number%3], newCall("", 0, userMessage("hang")))
			ended <- err
		})
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		select {
		case err := <-ended:
			return poll.Error(errors.Wrapf(err, "a call ended early with %d calls at the engine", len(system.Engines["m1"].Ledger())))
		default:
		}
		if len(system.Engines["m1"].Ledger()) == 4 {
			return poll.Success()
		}
		return poll.Continue("the engine still has free slots")
	}, poll.WithTimeout(waitTimeout))
	_, err = client.Chat(t.Context(), system.APIURLs()[0], newCall("", 0, userMessage("late")))
	failure := requireFailure(t, err)
	assert.Equal(t, failure.Code, string(apierr.Overloaded))
	assert.Equal(t, failure.Outcome, string(apierr.NotRun))
	assert.Assert(t, failure.RetryAfter > 0)
	release()
	tasks.Wait()
	assert.Equal(t, len(system.Engines["m1"].Ledger()), 4)
}

// TestConcurrencyLimitAcrossNodes checks a tenant's concurrency limit with simultaneous calls through all nodes.
func TestConcurrencyLimitAcrossNodes(t *testing.T) {
	system := startCluster(t, 2)
	yaml, err := resource.Encode([]resource.Resource{{Kind: resource.KindLimit, Name: "few", Limit: &resource.Limit{Tenant: "school", Service: "tutor", Concurrent: 3}}})
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	result, err := system.Admin.Apply(ctx, yaml, adminclient.Change{})
	assert.NilError(t, err)
	assert.NilError(t, system.Admin.WaitInForce(ctx, result.Revision))
	for _, engine := range system.Engines {
		engine.SetFaults(emulator.Faults{Hang: true})
	}
	client := runner.NewClient(apiKey)
	defer client.Close()
	hangCtx, release := context.WithCancel(t.Context())
	var mutex sync.Mutex
	refused := 0
	var tasks sync.WaitGroup
	for number := range 12 {
		tasks.Go(func() {
			_, err := client.Chat(hangCtx, system.APIURLs()[number%3], newCall("", 0, userMessage(fmt.Sprint(number))))
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
	}, poll.WithTimeout(waitTimeout))
	assert.Assert(t, len(system.Engines["m1"].Ledger())+len(system.Engines["m2"].Ledger()) <= 3)
	release()
	tasks.Wait()
	for _, engine := range system.Engines {
		engine.SetFaults(emulator.Faults{})
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, err := client.Chat(t.Context(), system.APIURLs()[0], newCall("", 0, userMessage("after"))); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(waitTimeout))
}
