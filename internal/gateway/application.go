package gateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/coordinator"
	"github.com/mountstile/mountstile/internal/engine"
	"github.com/mountstile/mountstile/internal/fatal"
	"github.com/mountstile/mountstile/internal/program"
	"github.com/mountstile/mountstile/internal/resource"
	"github.com/mountstile/mountstile/internal/responsecheck"
)

// repeatableMethods are idempotent by their definition (RFC 9110, section 9.2.2).
var repeatableMethods = []string{http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete}

// unforwardedHeaders are not sent to application engines: the Mountstile request headers and the caller's API key.
var unforwardedHeaders = []string{
	HeaderProgram, HeaderParent, HeaderSequence, HeaderRepeatable, HeaderHistory, HeaderTokenBudget, "Authorization",
}

// applicationExecution executes one call of an application engine.
type applicationExecution struct {
	execution
	forwarded engine.ApplicationRequest
}

func (g *Gateway) handleApplication(w http.ResponseWriter, r *http.Request) {
	call, err := g.prepareApplication(w, r)
	if err != nil {
		g.fail(w, err)
		return
	}
	ctx, cancel := executionContext(r, call.identity.idempotencyKey, call.timeout())
	defer cancel()
	answer, err := call.runAttempts(ctx, w, call.admit, call.send)
	if err == nil {
		err = checkApplicationAnswer(answer)
	}
	g.options.Metrics.duration.WithLabelValues(call.service).Observe(time.Since(call.started).Seconds())
	if err != nil {
		w.Header().Set(HeaderCall, call.begin.Admit.CallID)
		g.fail(w, err)
		return
	}
	g.options.Metrics.calls.WithLabelValues(call.service).Inc()
	writeApplicationAnswer(w, answer)
}

func (g *Gateway) prepareApplication(w http.ResponseWriter, r *http.Request) (*applicationExecution, error) {
	caller, err := g.authenticate(r)
	if err != nil {
		return nil, err
	}
	name := r.PathValue("service")
	service, known := caller.set.Service(name)
	if !known || service.Type != resource.ServiceApplication || !caller.allowed(service) {
		return nil, apierr.New(apierr.NotFound, apierr.NotRun, "there is no application service %q", name)
	}
	body, err := g.readBody(w, r)
	if err != nil {
		return nil, err
	}
	ident, err := readIdentity(r, caller.name)
	if err != nil {
		return nil, err
	}
	partitionID, err := g.options.Coordinator.Locate(caller.tenant.HomeRegion, caller.name, ident.root)
	if err != nil {
		return nil, err
	}
	call := &applicationExecution{
		execution: execution{gateway: g, identity: ident, service: name, settings: service, started: time.Now()},
		forwarded: forwardedRequest(r, body, ident),
	}
	call.begin = call.beginRequest(r, partitionID, caller.tenant, body)
	call.contentKey = func() fatal.Key {
		return contentOfCall(caller.name, name, program.HistoryMark{}, r.Method, r.URL.RequestURI(), body)
	}
	return call, nil
}

// forwardedRequest returns the request to the application engine.
func forwardedRequest(r *http.Request, body []byte, ident identity) engine.ApplicationRequest {
	header := r.Header.Clone()
	for _, name := range unforwardedHeaders {
		header.Del(name)
	}
	return engine.ApplicationRequest{
		Method: r.Method, Path: r.PathValue("path"), Query: r.URL.RawQuery, Header: header, Body: body,
		Program: coordinator.CacheID(ident.key),
	}
}

func (e *applicationExecution) beginRequest(r *http.Request, partitionID uint32, tenant *resource.Tenant, body []byte) coordinator.BeginRequest {
	ident := e.identity
	repeatable := slices.Contains(repeatableMethods, r.Method)
	if ident.repeatable != nil {
		repeatable = *ident.repeatable
	}
	return coordinator.BeginRequest{
		Partition: partitionID,
		Execution: newCallID(),
		Admit: program.Admit{
			CallID:         newCallID(),
			Program:        ident.key,
			Service:        e.service,
			Gateway:        e.gateway.options.NodeID,
			Sequence:       ident.sequence,
			IdempotencyKey: ident.idempotencyKey,
			BodyHash:       bodyHash([]byte(r.Method), []byte(r.URL.RequestURI()), body),
			Repeatable:     repeatable,
			Limits:         ident.limits(tenant),
			OwnTokens:      ident.ownTokens,
		},
	}
}

// checkApplicationAnswer returns an *apierr.Error for a malformed answer, which an earlier build may have stored.
func checkApplicationAnswer(answer *program.Answer) error {
	err := responsecheck.FinalHead(&http.Response{StatusCode: answer.Status, Header: answer.Header, Trailer: answer.Trailer})
	if err != nil {
		return apierr.New(apierr.EngineFailed, apierr.Ran, "the engine's response is malformed: %s", err)
	}
	return nil
}

func writeApplicationAnswer(w http.ResponseWriter, answer *program.Answer) {
	header := w.Header()
	for name, values := range answer.Header {
		if name != "Content-Length" {
			header[name] = values
		}
	}
	header.Set(HeaderOutcome, string(apierr.Ran))
	for name := range answer.Trailer {
		header.Add("Trailer", name)
	}
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
	for name, values := range answer.Trailer {
		header[name] = values
	}
}

// send makes one attempt. It returns a RetryRequest for a lost attempt, since only the coordinator decides whether the call may be
// sent again.
func (e *applicationExecution) send(ctx context.Context, w http.ResponseWriter, response coordinator.BeginResponse, requestedAt time.Time) (*program.Answer, *coordinator.RetryRequest, error) {
	target := *response.Engine
	if e.gateway.options.Pauses.PausedSince(requestedAt) {
		e.release(target, response.CallID, false, 0)
		return nil, e.retry(response, true), nil
	}
	w.Header().Set(HeaderEngine, target.Name)
	request := e.forwarded
	request.CallID, request.Attempt = response.CallID, response.Attempt
	sentAt := time.Now()
	received, err := e.gateway.options.Applications.Do(ctx, target, request)
	abandoned := err != nil && ctx.Err() != nil
	// A commit may have to wait for the partition's leader, so the slot is freed first.
	e.release(target, response.CallID, err != nil && !abandoned, 0)
	e.attempted(ctx, target, sentAt, err)
	if err == nil {
		answer := program.Answer{Status: received.Status, Header: received.Header, Body: received.Body, Trailer: received.Trailer}
		return e.commitAnswer(ctx, response, answer)
	}
	if abandoned {
		return nil, nil, e.abandon(response.CallID, response.Attempt)
	}
	var tooLarge *engine.ErrResponseTooLarge
	if errors.As(err, &tooLarge) {
		return nil, nil, e.commitFailure(ctx, response, apierr.New(apierr.EngineFailed, apierr.Ran, "%s", err), &program.Usage{})
	}
	var undelivered *engine.ErrNotSent
	e.avoid = append(e.avoid, target.Name)
	e.gateway.options.Metrics.retries.WithLabelValues(e.service).Inc()
	return nil, e.retry(response, errors.As(err, &undelivered)), nil
}
