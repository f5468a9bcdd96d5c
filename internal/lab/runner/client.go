// Package runner runs generated programs as clients of a cluster or of a simulation, and measures
// the latencies and errors that the clients observe.
package runner

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mountstile/mountstile/internal/gateway"
	"github.com/mountstile/mountstile/internal/standin/toolserver"
)

// Message is one chat message.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chatRequest is the body of a chat-completions request. MinTokens equal to MaxTokens fixes the
// length of the answer.
type chatRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	MinTokens int       `json:"min_tokens"`
	Stream    bool      `json:"stream"`
}

// ErrResponse is an error status, or an error event in a stream (with status 200).
type ErrResponse struct {
	Status     int
	Code       string
	Outcome    string
	Message    string
	RetryAfter time.Duration
}

// Error implements error.
func (e *ErrResponse) Error() string {
	return fmt.Sprintf("status %d: %s (%s): %s", e.Status, e.Code, e.Outcome, e.Message)
}

type errorBody struct {
	Error struct {
		Code    string `json:"code"`
		Outcome string `json:"outcome"`
		Message string `json:"message"`
	} `json:"error"`
}

// Call is a call of a model. DeltaHistory tells the node that Messages are only those after the stored history.
type Call struct {
	Program        string
	Sequence       int
	IdempotencyKey string
	Repeatable     *bool
	DeltaHistory   bool
	Model          string
	Messages       []Message
	Tokens         int
}

// Reply is the answer to a call. The latencies count from the start of the request.
type Reply struct {
	Content           string
	CallID            string
	Engine            string
	FirstTokenLatency time.Duration
	Latency           time.Duration
}

// Client sends requests to nodes with an API key.
type Client struct {
	APIKey string
	client *http.Client
}

const (
	idleConnections = 256
	maxEventBytes   = 4 << 20
	maxErrorBytes   = 8 << 10
)

// NewClient returns a client that authenticates with the given API key.
func NewClient(key string) *Client {
	return &Client{APIKey: key, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConnections}}}
}

// Close closes idle connections.
func (c *Client) Close() { c.client.CloseIdleConnections() }

// Chat sends a streaming call to a node. The error is an *ErrResponse, io.ErrUnexpectedEOF if the
// stream is truncated, or an error of net/http.
func (c *Client) Chat(ctx context.Context, nodeURL string, call Call) (Reply, error) {
	body, err := json.Marshal(chatRequest{Model: call.Model, Messages: call.Messages, MaxTokens: call.Tokens, MinTokens: call.Tokens, Stream: true})
	if err != nil {
		return Reply{}, errors.Wrap(err, "encoding the call")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, nodeURL+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return Reply{}, errors.Wrap(err, "building the call")
	}
	// Without GetBody, net/http can't resend the call by itself after a connection failure.
	request.GetBody = nil
	c.setHeaders(request, call)
	started := time.Now()
	response, err := c.client.Do(request)
	if err != nil {
		return Reply{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return Reply{}, readError(response)
	}
	reply := Reply{CallID: response.Header.Get(gateway.HeaderCall), Engine: response.Header.Get(gateway.HeaderEngine)}
	err = readStream(response.Body, started, &reply)
	reply.Latency = time.Since(started)
	return reply, err
}

func (c *Client) setHeaders(request *http.Request, call Call) {
	header := request.Header
	header.Set("Content-Type", "application/json")
	header.Set("Authorization", "Bearer "+c.APIKey)
	if call.Program != "" {
		header.Set(gateway.HeaderProgram, call.Program)
	}
	if call.Sequence > 0 {
		header.Set(gateway.HeaderSequence, strconv.Itoa(call.Sequence))
	}
	if call.IdempotencyKey != "" {
		header.Set(gateway.HeaderIdempotency, call.IdempotencyKey)
	}
	if call.Repeatable != nil {
		header.Set(gateway.HeaderRepeatable, strconv.FormatBool(*call.Repeatable))
	}
	if call.DeltaHistory {
		header.Set(gateway.HeaderHistory, "delta")
	}
}

func readError(response *http.Response) error {
	content, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	responseError := &ErrResponse{Status: response.StatusCode, Message: string(content)}
	var body errorBody
	if json.Unmarshal(content, &body) == nil && body.Error.Code != "" {
		responseError.Code, responseError.Outcome, responseError.Message = body.Error.Code, body.Error.Outcome, body.Error.Message
	}
	if millis, err := strconv.ParseInt(response.Header.Get("Retry-After-Ms"), 10, 64); err == nil {
		responseError.RetryAfter = time.Duration(millis) * time.Millisecond
	}
	return responseError
}

type streamEvent struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Error *struct {
		Code    string `json:"code"`
		Outcome string `json:"outcome"`
		Message string `json:"message"`
	} `json:"error"`
}

// ReadStream reads a streamed answer to its end and returns its text, also with an error: an
// *ErrResponse for an error event, or io.ErrUnexpectedEOF if the stream is truncated.
func ReadStream(body io.Reader) (string, error) {
	var reply Reply
	err := readStream(body, time.Now(), &reply)
	return reply.Content, err
}

func readStream(body io.Reader, started time.Time, reply *Reply) error {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxEventBytes)
	var content strings.Builder
	defer func() { reply.Content = content.String() }()
	for scanner.Scan() {
		payload, isEvent := strings.CutPrefix(scanner.Text(), "data: ")
		if !isEvent {
			continue
		}
		if payload == "[DONE]" {
			return nil
		}
		var event streamEvent
		if err := json.Unmarshal([]byte(payload), &event); err != nil {
			return errors.Wrap(err, "decoding an event")
		}
		if event.Error != nil {
			return &ErrResponse{Status: http.StatusOK, Code: event.Error.Code, Outcome: event.Error.Outcome, Message: event.Error.Message}
		}
		if len(event.Choices) > 0 && event.Choices[0].Delta.Content != "" {
			if content.Len() == 0 {
				reply.FirstTokenLatency = time.Since(started)
			}
			content.WriteString(event.Choices[0].Delta.Content)
		}
	}
	if err := scanner.Err(); err != nil {
		return err
	}
	return io.ErrUnexpectedEOF
}

// End asks a node to end a program.
func (c *Client) End(ctx context.Context, nodeURL, program string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodDelete, nodeURL+"/v1/programs/"+program, nil)
	if err != nil {
		return errors.Wrap(err, "building the request")
	}
	request.Header.Set("Authorization", "Bearer "+c.APIKey)
	response, err := c.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusNoContent {
		return readError(response)
	}
	return nil
}

// Tool calls a tool that answers after the delay.
func (c *Client) Tool(ctx context.Context, toolsURL string, delay time.Duration) error {
	body, err := json.Marshal(toolserver.Request{Tool: "check", DelayMillis: delay.Milliseconds()})
	if err != nil {
		return errors.Wrap(err, "encoding the tool call")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, toolsURL+toolserver.CallPath, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "building the tool call")
	}
	response, err := c.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}
