// Package gateway implements the HTTP interface for callers. It authenticates and validates requests, admits each call at the
// coordinator of its program, sends it to the engine that the coordinator has selected, and streams the answer back. docs/API.md
// documents the interface.
package gateway

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"runtime/debug"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/clock"
	"github.com/mountstile/mountstile/internal/configuration"
	"github.com/mountstile/mountstile/internal/coordinator"
	"github.com/mountstile/mountstile/internal/engine"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/owner"
	"github.com/mountstile/mountstile/internal/resource"
)

// Request and response headers of the caller interface, and limits of request fields.
const (
	HeaderProgram       = "Mountstile-Program"
	HeaderParent        = "Mountstile-Parent-Program"
	HeaderSequence      = "Mountstile-Sequence"
	HeaderRepeatable    = "Mountstile-Repeatable"
	HeaderHistory       = "Mountstile-History"
	HeaderTokenBudget   = "Mountstile-Token-Budget"
	HeaderCall          = "Mountstile-Call"
	HeaderEngine        = "Mountstile-Engine"
	HeaderOutcome       = "Mountstile-Outcome"
	HeaderIdempotency   = "Idempotency-Key"
	headerShouldRetry   = "X-Should-Retry"
	historyDelta        = "delta"
	bearerPrefix        = "Bearer "
	applicationPrefix   = "/apps/"
	programsPrefix      = "/v1/programs/"
	maxIdentifierBytes  = 200
	maxProgramDepth     = 8
	ephemeralIdleMillis = 60_000
)

// ReleaseFunc frees a slot on an engine at the engine's owner.
type ReleaseFunc func(engine resource.Engine, request owner.ReleaseRequest)

// Options configures a Gateway.
type Options struct {
	NodeID       string
	Config       *configuration.Manager
	Coordinator  *coordinator.Client
	Models       engine.ModelEngine
	Applications *engine.Application
	Release      ReleaseFunc
	Pauses       *clock.PauseDetector
	AnswerRelay  *AnswerRelay
	Executions   *coordinator.Executions
	// Ends knows the engines that ended under calls; nil to send calls on whatever ended.
	Ends    *EngineEnds
	Metrics *Metrics
	Logger  *events.Logger
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int64
}

// Gateway is the http.Handler for requests of callers.
type Gateway struct {
	options  Options
	mux      *http.ServeMux
	stopping atomic.Bool
	active   atomic.Int64
}

// New returns a Gateway with the routes of the caller interface.
func New(options Options) *Gateway {
	gateway := &Gateway{options: options, mux: http.NewServeMux()}
	gateway.mux.HandleFunc("POST /v1/chat/completions", gateway.handleChat)
	gateway.mux.HandleFunc("GET /v1/models", gateway.handleModels)
	gateway.mux.HandleFunc("GET "+programsPrefix+"{path...}", gateway.handleProgram)
	gateway.mux.HandleFunc("DELETE "+programsPrefix+"{path...}", gateway.handleEndProgram)
	gateway.mux.HandleFunc(applicationPrefix+"{service}/{path...}", gateway.handleApplication)
	gateway.mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		gateway.fail(w, apierr.New(apierr.NotFound, apierr.NotRun, "there is no endpoint %s %s", r.Method, r.URL.Path))
	})
	return gateway
}

// Active returns the number of requests in progress.
func (g *Gateway) Active() int64 { return g.active.Load() }

// Stop makes the gateway refuse new requests. Requests in progress continue.
func (g *Gateway) Stop() { g.stopping.Store(true) }

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
		g.fail(w, apierr.New(apierr.Overloaded, apierr.NotRun, "this node is stopping; retry on another node").WithRetryAfter(100*time.Millisecond))
		return
	}
	response := &trackingWriter{ResponseWriter: w}
	defer func() {
		if reason := recover(); reason != nil {
			g.handlePanic(response, reason)
		}
	}()
	g.mux.ServeHTTP(response, r)
}

// handlePanic responds with an error, or aborts the connection of a started response: an error body would end it as if it were
// complete.
func (g *Gateway) handlePanic(response *trackingWriter, reason any) {
	g.options.Logger.Emit(events.RequestPanicked, events.F("reason", reason), events.F("stack", string(debug.Stack())))
	if response.started {
		panic(http.ErrAbortHandler)
	}
	g.fail(response, apierr.New(apierr.Internal, apierr.OutcomeUnknown, "internal error"))
}

// caller is the authenticated tenant of a request, and the configuration that authenticated it.
type caller struct {
	name   string
	tenant *resource.Tenant
	set    *resource.Set
}

// authenticate returns the tenant of the request's API key, which has the form TENANT.KEYID.SECRET.
func (g *Gateway) authenticate(r *http.Request) (caller, error) {
	set := g.options.Config.Current().Set
	secret, isBearer := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	name, tenant, _, ok := set.Authenticate(secret, time.Now())
	if !isBearer || !ok {
		return caller{}, apierr.New(apierr.Unauthenticated, apierr.NotRun, "the API key is not valid")
	}
	return caller{name: name, tenant: tenant, set: set}, nil
}

// allowed reports whether the caller may use a service. Services of other tenants must appear not to exist.
func (c caller) allowed(service *resource.Service) bool {
	for _, name := range service.Tenants {
		if name == c.name {
			return true
		}
	}
	return false
}

// readBody reads a request body of up to MaxBodyBytes. Errors: BodyTooLarge, InvalidRequest.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(unwrapWriter(w), r.Body, g.options.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, apierr.New(apierr.BodyTooLarge, apierr.NotRun, "the body exceeds %d bytes", tooLarge.Limit)
	}
	if err != nil {
		return nil, apierr.New(apierr.InvalidRequest, apierr.NotRun, "the body can't be read: %s", err)
	}
	return body, nil
}

// errorBody is the JSON body of an error response. It is OpenAI's format with an additional outcome.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string         `json:"message"`
	Type    string         `json:"type"`
	Code    apierr.Code    `json:"code"`
	Param   *string        `json:"param"`
	Outcome apierr.Outcome `json:"outcome"`
}

func newErrorBody(failure *apierr.Error) errorBody {
	detail := errorDetail{Message: failure.Message, Type: "server_error", Code: failure.Code, Outcome: failure.Outcome}
	if status := failure.HTTPStatus(); status >= 400 && status < 500 {
		detail.Type = "invalid_request_error"
	}
	if failure.Field != "" {
		detail.Param = &failure.Field
	}
	return errorBody{Error: detail}
}

// fail writes and logs an error response, with Retry-After headers if the error has a delay.
func (g *Gateway) fail(w http.ResponseWriter, err error) {
	failure := apierr.From(err, apierr.OutcomeUnknown)
	g.options.Metrics.failures.WithLabelValues(string(failure.Code)).Inc()
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(HeaderOutcome, string(failure.Outcome))
	// OpenAI's clients retry many errors on their own, but only requests that were not run may be retried.
	header.Set(headerShouldRetry, strconv.FormatBool(failure.Outcome == apierr.NotRun && failure.RetryAfter > 0))
	if failure.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatInt((failure.RetryAfter+999)/1000, 10))
		header.Set("Retry-After-Ms", strconv.FormatInt(failure.RetryAfter, 10))
	}
	g.logFailure(failure)
	w.WriteHeader(failure.HTTPStatus())
	_ = json.NewEncoder(w).Encode(newErrorBody(failure))
}

func (g *Gateway) logFailure(failure *apierr.Error) {
	id := events.CallFailed
	if failure.Outcome == apierr.NotRun {
		id = events.CallRefused
	}
	g.options.Logger.Emit(id, events.F("code", failure.Code), events.F("outcome", failure.Outcome), events.F("message", failure.Message))
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func (g *Gateway) handleModels(w http.ResponseWriter, r *http.Request) {
	caller, err := g.authenticate(r)
	if err != nil {
		g.fail(w, err)
		return
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, item := range caller.set.List() {
		if item.Service == nil || !caller.allowed(item.Service) {
			continue
		}
		for _, model := range item.Service.Models {
			list.Data = append(list.Data, modelItem{ID: model, Object: "model", OwnedBy: item.Name})
		}
	}
	writeJSON(w, list)
}

func newCallID() string { return uuid.NewString() }

// executionContext returns the context of a call. With an idempotency key, the call outlives its request, since the caller can
// retrieve the answer with the same key.
func executionContext(r *http.Request, idempotencyKey string, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx := r.Context()
	if idempotencyKey != "" {
		ctx = context.WithoutCancel(ctx)
	}
	return context.WithTimeout(ctx, timeout)
}
