package gateway

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/coordinator"
	"github.com/mountstile/mountstile/internal/engine"
	"github.com/mountstile/mountstile/internal/fatal"
	"github.com/mountstile/mountstile/internal/program"
	"github.com/mountstile/mountstile/internal/resource"
)

// chatRequest is a validated chat-completions request.
type chatRequest struct {
	Model        string
	Messages     []program.Message
	Stream       bool
	IncludeUsage bool
	MaxTokens    int64
	Parameters   engine.Parameters
}

// chatFields are the fields of a request that this node interprets. All others are passed to the engine as Parameters.
type chatFields struct {
	Model         string            `json:"model"`
	Messages      []program.Message `json:"messages"`
	Stream        bool              `json:"stream"`
	StreamOptions *struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	MaxTokens           *int64 `json:"max_tokens"`
	MaxCompletionTokens *int64 `json:"max_completion_tokens"`
	N                   *int64 `json:"n"`
}

type messageRole struct {
	Role string `json:"role"`
}

const assistant = "assistant"

// parseChat decodes and validates a request body. Errors: InvalidRequest with outcome NotRun.
func parseChat(body []byte) (chatRequest, error) {
	var fields chatFields
	var parameters engine.Parameters
	if err := json.Unmarshal(body, &fields); err != nil {
		return chatRequest{}, apierr.New(apierr.InvalidRequest, apierr.NotRun, "the body is not a chat-completions request: %s", err)
	}
	if err := json.Unmarshal(body, &parameters); err != nil {
		return chatRequest{}, apierr.New(apierr.InvalidRequest, apierr.NotRun, "the body is not a JSON object: %s", err)
	}
	result := chatRequest{Model: fields.Model, Messages: fields.Messages, Stream: fields.Stream, Parameters: parameters}
	result.IncludeUsage = fields.StreamOptions != nil && fields.StreamOptions.IncludeUsage
	if fields.MaxTokens != nil {
		result.MaxTokens = *fields.MaxTokens
	}
	if fields.MaxCompletionTokens != nil {
		result.MaxTokens = *fields.MaxCompletionTokens
	}
	return result, result.check(fields)
}

func (c chatRequest) check(fields chatFields) error {
	switch {
	case c.Model == "":
		return apierr.New(apierr.InvalidRequest, apierr.NotRun, "a model is required").WithField("model")
	case len(c.Messages) == 0:
		return apierr.New(apierr.InvalidRequest, apierr.NotRun, "at least one message is required").WithField("messages")
	case c.MaxTokens < 0:
		return apierr.New(apierr.InvalidRequest, apierr.NotRun, "must not be negative").WithField("max_tokens")
	case fields.N != nil && *fields.N != 1:
		return apierr.New(apierr.InvalidRequest, apierr.NotRun, "only 1 choice per request is supported").WithField("n")
	}
	for _, message := range c.Messages {
		var role messageRole
		if json.Unmarshal(message, &role) != nil || role.Role == "" {
			return apierr.New(apierr.InvalidRequest, apierr.NotRun, "each message must be an object with a role").WithField("messages")
		}
	}
	return nil
}

// splitHistory returns the assumed index of the first new message: the one after the last answer.
func splitHistory(messages []program.Message) int {
	for index := len(messages) - 1; index >= 0; index-- {
		var role messageRole
		if json.Unmarshal(messages[index], &role) == nil && role.Role == assistant {
			return index + 1
		}
	}
	return 0
}

func (g *Gateway) handleChat(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	execution, err := g.prepareChat(w, r, started)
	if err != nil {
		g.fail(w, err)
		return
	}
	execution.run(w, r)
}

// prepareChat authenticates and validates a request, and returns its execution without contacting other nodes.
func (g *Gateway) prepareChat(w http.ResponseWriter, r *http.Request, started time.Time) (*chatExecution, error) {
	caller, err := g.authenticate(r)
	if err != nil {
		return nil, err
	}
	body, err := g.readBody(w, r)
	if err != nil {
		return nil, err
	}
	request, err := parseChat(body)
	if err != nil {
		return nil, err
	}
	name, service, known := caller.set.ServiceOfModel(request.Model)
	if !known || !caller.allowed(service) {
		return nil, apierr.New(apierr.UnknownModel, apierr.NotRun, "there is no model %q", request.Model).WithField("model")
	}
	ident, err := readIdentity(r, caller.name)
	if err != nil {
		return nil, err
	}
	if request.MaxTokens == 0 || request.MaxTokens > service.MaxTokens {
		request.MaxTokens = service.MaxTokens
	}
	partitionID, err := g.options.Coordinator.Locate(caller.tenant.HomeRegion, caller.name, ident.root)
	if err != nil {
		return nil, err
	}
	execution := &chatExecution{
		execution: execution{gateway: g, identity: ident, service: name, settings: service, started: started},
		request:   request,
	}
	execution.begin = execution.beginRequest(partitionID, caller.tenant, bodyHash(body))
	execution.contentKey = func() fatal.Key {
		return contentOfCall(caller.name, name, execution.begin.Admit.Base, request.Model, request.MaxTokens, request.Messages, request.Parameters)
	}
	return execution, nil
}

func (e *chatExecution) beginRequest(partitionID uint32, tenant *resource.Tenant, hash string) coordinator.BeginRequest {
	messages := e.request.Messages
	admit := program.Admit{
		CallID:         newCallID(),
		Program:        e.identity.key,
		Service:        e.service,
		Model:          e.request.Model,
		Gateway:        e.gateway.options.NodeID,
		Sequence:       e.identity.sequence,
		IdempotencyKey: e.identity.idempotencyKey,
		BodyHash:       hash,
		Repeatable:     e.identity.repeatable == nil || *e.identity.repeatable,
		Reserve:        program.TokenUpperBound(messages) + e.request.MaxTokens,
		Limits:         e.identity.limits(tenant),
		OwnTokens:      e.identity.ownTokens,
		Messages:       messages,
	}
	if !e.identity.deltaHistory {
		// Only the new messages are sent. The hash chain verifies that the others equal the stored history.
		split := splitHistory(messages)
		admit.Base = program.HistoryMark{}.Extend(messages[:split])
		admit.Messages = messages[split:]
		admit.CheckBase = true
	}
	return coordinator.BeginRequest{
		Partition:    partitionID,
		Admit:        admit,
		Execution:    newCallID(),
		PromptTokens: promptBytes(messages) / program.BytesPerToken,
		MaxTokens:    e.request.MaxTokens,
		WantHistory:  e.identity.deltaHistory,
	}
}

func promptBytes(messages []program.Message) int64 {
	var total int64
	for _, message := range messages {
		total += int64(len(message))
	}
	return total
}
