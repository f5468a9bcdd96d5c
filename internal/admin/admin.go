// Package admin implements the administration API: resources and their history, status, draining, programs
// and scheduling decisions. docs/API.md and docs/openapi.yaml document it.
package admin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"golang.org/x/time/rate"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/configuration"
	"github.com/mountstile/mountstile/internal/coordinator"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/membership"
	"github.com/mountstile/mountstile/internal/modelload"
	"github.com/mountstile/mountstile/internal/partition"
	"github.com/mountstile/mountstile/internal/replica"
	"github.com/mountstile/mountstile/internal/resource"
	"github.com/mountstile/mountstile/internal/transport"
)

// Prefix is the prefix of all paths of the API.
const Prefix = "/admin/v1"

const (
	bearerPrefix      = "Bearer "
	maxBodyBytes      = 8 << 20
	requestsPerSecond = 50
	requestBurst      = 100
	defaultHistory    = 20
	maxHistory        = 500
	publishTimeout    = 20 * time.Second
	// HeaderBaseRevision is the revision that a change is based on. HeaderChangeID identifies the change, so that
	// it can be retried safely.
	HeaderBaseRevision = "Mountstile-Base-Revision"
	HeaderChangeID     = "Mountstile-Change-Id"
)

// PlatformTenant is the tenant in the API keys of platform administrators; no Tenant may have this name.
const PlatformTenant = "platform"

// Options configures a Server.
type Options struct {
	Config      *configuration.Manager
	Membership  *membership.Manager
	Partitions  *partition.Manager
	Host        *replica.Host
	Coordinator *coordinator.Client
	Transport   *transport.Transport
	// Models is the node's view of which engine has which model.
	Models *modelload.View
	// Keys are the platform administrators' keys, from the settings file.
	Keys []resource.APIKey
	// LocalStatus returns the status of this node; Drain begins its planned stop.
	LocalStatus func() NodeStatus
	Drain       func()
	Logger      *events.Logger
}

// Server is the administration API's http.Handler.
type Server struct {
	options Options
	mux     *http.ServeMux
	limiter *rate.Limiter
}

// Route is the method and path of an operation.
type Route struct {
	Method string
	Path   string
}

// Routes returns the routes of all operations; a test compares them with docs/openapi.yaml.
func (s *Server) Routes() []Route {
	var routes []Route
	for _, item := range s.operations() {
		routes = append(routes, Route{Method: item.method, Path: item.path})
	}
	return routes
}

type handler func(ctx context.Context, sender identity, r *http.Request) (any, error)

type operation struct {
	method string
	path   string
	// changes is set if the operation requires the operator role.
	changes bool
	// platform is set if the operation requires one of the platform's keys.
	platform bool
	serve    handler
}

func (s *Server) operations() []operation {
	return []operation{
		{http.MethodGet, "/status", false, true, s.getStatus},
		{http.MethodGet, "/partitions", false, true, s.getPartitions},
		{http.MethodGet, "/models", false, true, s.getModels},
		{http.MethodGet, "/resources", false, false, s.listResources},
		{http.MethodGet, "/resources/{kind}/{name}", false, false, s.getResource},
		{http.MethodDelete, "/resources/{kind}/{name}", true, false, s.deleteResource},
		{http.MethodPost, "/apply", true, false, s.apply},
		{http.MethodPost, "/diff", false, false, s.diff},
		{http.MethodGet, "/history", false, true, s.history},
		{http.MethodPost, "/history/{revision}/restore", true, true, s.restore},
		{http.MethodPost, "/drain/nodes/{node}", true, true, s.drainNode},
		{http.MethodPost, "/drain/pools/{pool}/engines/{engine}", true, false, s.drainEngine},
		{http.MethodGet, "/programs", false, false, s.listPrograms},
		{http.MethodGet, "/programs/{tenant}/{path...}", false, false, s.getProgram},
		{http.MethodDelete, "/programs/{tenant}/{path...}", true, false, s.endProgram},
		{http.MethodGet, "/decisions/{call}", false, true, s.getDecision},
	}
}

// New returns a Server and registers its handlers for messages from other nodes.
func New(options Options) *Server {
	server := &Server{options: options, mux: http.NewServeMux(), limiter: rate.NewLimiter(requestsPerSecond, requestBurst)}
	for _, item := range server.operations() {
		server.mux.HandleFunc(item.method+" "+Prefix+item.path, server.wrap(item))
	}
	server.registerMessages()
	return server
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// identity is the authenticated sender of a request.
type identity struct {
	// name is written to the audit log; tenant is empty for the platform's keys.
	name   string
	tenant string
	role   resource.Role
}

func (i identity) platform() bool { return i.tenant == "" }

// wrap returns a handler that applies the rate limit, authenticates and authorizes before it serves item.
func (s *Server) wrap(item operation) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		if !s.limiter.Allow() {
			writeError(w, apierr.New(apierr.LimitExceeded, apierr.NotRun, "too many administration requests").WithRetryAfter(time.Second))
			return
		}
		sender, err := s.authenticate(r)
		if err == nil {
			err = authorize(sender, item)
		}
		if err != nil {
			s.options.Logger.Emit(events.AdminDenied, events.F("path", r.URL.Path), events.F("error", err))
			writeError(w, err)
			return
		}
		result, err := item.serve(r.Context(), sender, r)
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, result)
	}
}

func (s *Server) authenticate(r *http.Request) (identity, error) {
	text, isBearer := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	now := time.Now()
	refusal := apierr.New(apierr.Unauthenticated, apierr.NotRun, "the API key is not valid")
	if !isBearer {
		return identity{}, refusal
	}
	parts := strings.SplitN(text, ".", 3)
	if len(parts) == 3 && parts[0] == PlatformTenant {
		for _, key := range s.options.Keys {
			if key.ID == parts[1] && key.Matches(parts[2], now) {
				return identity{name: PlatformTenant + "." + key.ID, role: key.Role}, nil
			}
		}
		return identity{}, refusal
	}
	name, _, role, ok := s.options.Config.Current().Set.Authenticate(text, now)
	if !ok {
		return identity{}, refusal
	}
	return identity{name: name + "." + parts[1], tenant: name, role: role}, nil
}

func authorize(sender identity, item operation) error {
	switch {
	case sender.role == resource.RoleCaller:
		return apierr.New(apierr.Forbidden, apierr.NotRun, "this key may only send calls")
	case item.platform && !sender.platform():
		return apierr.New(apierr.Forbidden, apierr.NotRun, "only platform administrators and readers may do this")
	case item.changes && sender.role != resource.RoleOperator:
		return apierr.New(apierr.Forbidden, apierr.NotRun, "this key may only read")
	}
	return nil
}

// mayAccess reports whether a resource belongs to the sender's tenant. The name of a tenant's resource is the
// tenant's name, or begins with it and a '-'. Only the platform's keys may access tenants and limits.
func (i identity) mayAccess(key resource.Key) bool {
	if i.platform() {
		return true
	}
	if key.Kind == resource.KindTenant || key.Kind == resource.KindLimit {
		return false
	}
	return key.Name == i.tenant || strings.HasPrefix(key.Name, i.tenant+"-")
}

// checkReferences rejects a tenant's service that serves other tenants or uses their pools or policies.
func (i identity) checkReferences(item resource.Resource) error {
	if i.platform() || item.Service == nil {
		return nil
	}
	service := item.Service
	for _, tenant := range service.Tenants {
		if tenant != i.tenant {
			return apierr.New(apierr.Forbidden, apierr.NotRun, "service %s may only serve tenant %s", item.Name, i.tenant)
		}
	}
	references := []resource.Key{{Kind: resource.KindPool, Name: service.Pool}}
	if service.Policy != "" {
		references = append(references, resource.Key{Kind: resource.KindPolicy, Name: service.Policy})
	}
	for _, key := range references {
		if !i.mayAccess(key) {
			return apierr.New(apierr.Forbidden, apierr.NotRun, "service %s refers to %s %s, which does not belong to the tenant", item.Name, key.Kind, key.Name)
		}
	}
	return nil
}

type errorBody struct {
	Error *apierr.Error `json:"error"`
}

// toAPIError converts an error for the response; a *resource.FieldError becomes an invalid request.
func toAPIError(err error) *apierr.Error {
	var field *resource.FieldError
	if errors.As(err, &field) {
		return apierr.New(apierr.InvalidRequest, apierr.NotRun, "%s", field).WithField(field.Field)
	}
	return apierr.From(err, apierr.OutcomeUnknown)
}

func writeError(w http.ResponseWriter, err error) {
	failure := toAPIError(err)
	w.Header().Set("Content-Type", "application/json")
	if failure.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt((failure.RetryAfter+999)/1000, 10))
	}
	w.WriteHeader(failure.HTTPStatus())
	_ = json.NewEncoder(w).Encode(errorBody{Error: failure})
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func readAll(r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, apierr.New(apierr.BodyTooLarge, apierr.NotRun, "reading the request body: %s", err)
	}
	return body, nil
}

func newChangeID() string { return uuid.NewString() }
