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
	"github.com/mountstile/mountstile/internal/program"
	"github.com/mountstile/mountstile/internal/resource"
)

// repeatableMethods are idempotent by their definition (RFC 9110, section 9.2.2).
var repeatableMethods = []string{http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete}

// ownHeaders are this product's; back ends do not get them. Neither do they get the caller's key.
var ownHeaders = []string{
	HeaderProgram, HeaderParent, HeaderSequence, HeaderRepeatable, HeaderHistory, HeaderTokenBudget, "Authorization",
}

// applicationExecution takes one call of an application engine through its life.
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
	ctx, cancel := executionContext(r, call.identity.idempotencyKey, call.limit())
	defer cancel()
	answer, err := call.drive(ctx, w, call.book, call.send)
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
	who, err := g.authenticate(r)
	if err != nil {
		return nil, err
	}
	name := r.PathValue("service")
	service, known := who.set.Service(name)
	if !known || service.Type != resource.ServiceApplication || !who.allowed(service) {
		return nil, apierr.New(apierr.NotFound, apierr.NotRun, "there is no application service %q", name)
	}
	body, err := g.readBody(w, r)
	if err != nil {
		return nil, err
	}
	place, err := readIdentity(r, who.name)
	if err != nil {
		return nil, err
	}
	partitionID, err := g.options.Coordinator.Locate(who.tenant.HomeRegion, who.name, place.root)
	if err != nil {
		return nil, err
	}
	call := &applicationExecution{
		execution: execution{gateway: g, identity: place, service: name, settings: service, started: time.Now()},
		forwarded: forwardedRequest(r, body, place),
	}
	call.begin = call.beginRequest(r, partitionID, who.tenant, body)
	return call, nil
}

// forwardedRequest is what the back end gets.
func forwardedRequest(r *http.Request, body []byte, place identity) engine.ApplicationRequest {
	header := r.Header.Clone()
	for _, own := range ownHeaders {
		header.Del(own)
	}
	return engine.ApplicationRequest{
		Method: r.Method, Path: r.PathValue("path"), Query: r.URL.RawQuery, Header: header, Body: body,
		Program: coordinator.CacheID(place.key),
	}
}

func (e *applicationExecution) beginRequest(r *http.Request, partitionID uint32, tenant *resource.Tenant, body []byte) coordinator.BeginRequest {
	place := e.identity
	repeatable := slices.Contains(repeatableMethods, r.Method)
	if place.repeatable != nil {
		repeatable = *place.repeatable
	}
	return coordinator.BeginRequest{
		Partition: partitionID,
		Execution: newCallID(),
		Admit: program.Admit{
			CallID:         newCallID(),
			Program:        place.key,
			Service:        e.service,
			Gateway:        e.gateway.options.NodeID,
			Sequence:       place.sequence,
			IdempotencyKey: place.idempotencyKey,
			BodyHash:       bodyHash([]byte(r.Method), []byte(r.URL.RequestURI()), body),
			Repeatable:     repeatable,
			Limits:         place.limits(tenant),
			OwnTokens:      place.ownTokens,
		},
	}
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

// send makes one attempt; a lost one goes back to the coordinator, which alone decides whether the
// call may go again.
func (e *applicationExecution) send(ctx context.Context, w http.ResponseWriter, response coordinator.BeginResponse, asked time.Time) (*program.Answer, *coordinator.RetryRequest, error) {
	target := *response.Engine
	failed := true
	defer func() { e.release(target, response.CallID, failed, 0) }()
	if e.gateway.options.Pauses.PausedSince(asked) {
		failed = false
		return nil, e.retry(response, true), nil
	}
	w.Header().Set(HeaderEngine, target.Name)
	request := e.forwarded
	request.CallID, request.Attempt = response.CallID, response.Attempt
	received, err := e.gateway.options.Applications.Do(ctx, target, request)
	if err == nil {
		failed = false
		answer := program.Answer{Status: received.Status, Header: received.Header, Body: received.Body, Trailer: received.Trailer}
		return e.store(ctx, response, answer)
	}
	if ctx.Err() != nil {
		failed = false
		return nil, nil, e.abandon(response.CallID, response.Attempt)
	}
	var tooLarge *engine.ErrResponseTooLarge
	if errors.As(err, &tooLarge) {
		return nil, nil, e.settleFailure(ctx, response, apierr.New(apierr.EngineFailed, apierr.Ran, "%s", err), &program.Usage{})
	}
	var undelivered *engine.ErrNotSent
	e.avoid = append(e.avoid, target.Name)
	e.gateway.options.Metrics.retries.WithLabelValues(e.service).Inc()
	return nil, e.retry(response, errors.As(err, &undelivered)), nil
}
