// Package ingress serves callers' requests on operators' routes: it finds the route, enforces the limits, reserves
// tokens and looks up previous turns where the route requires it, dispatches the call to an engine, and relays the
// response as it arrives.
//
// An incomplete response is never ended as if it were complete: the connection is reset. A request that was not run is
// refused at once with a Retry-After header.
//
// Usage:
//
//	server := ingress.New(ingress.Options{...})
//	httpServer := &http.Server{Handler: server}
//	...
//	server.Drain(newDrain(time.Now(), grace)) // responses have "Connection: close" from now on
package ingress

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/dispatch"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/fatal"
	"github.com/mountstile/mountstile/internal/membudget"
	"github.com/mountstile/mountstile/internal/routing"
	"github.com/mountstile/mountstile/internal/turnstore"
	"github.com/mountstile/mountstile/internal/upstream"
)

// NoBudget is the budget of a caller whose program has none.
const NoBudget = -1

// Caller holds the values of a caller's headers.
type Caller struct {
	ID string
	// TimeLimit is how long the caller waits; 0 if the caller didn't say.
	TimeLimit time.Duration
	Program   string
	Session   string
	// ProgramTimeLimit is the time left for the whole program, 0 if it is over; HasProgramTimeLimit
	// is set if the caller gave it.
	ProgramTimeLimit    time.Duration
	HasProgramTimeLimit bool
	// Budget is the number of tokens that the program's turns may generate together, or NoBudget.
	Budget int64
	// Most is the maximum number of tokens that this request may generate.
	Most int64
	// Previous is the ID of the turn that this one continues.
	Previous string
	// LastEvent is the ID of the last event of this stream that the caller has; empty if it has none.
	LastEvent string
	// Resumes is the ID of the caller's attempt that brought the first event of this stream; empty if unknown.
	Resumes string
	// Prompt describes the parts of the prompt, PromptText is their description as the caller wrote it.
	Prompt     dispatch.Prompt
	PromptText string
}

// CallerProtocol parses callers' headers; it varies between platforms.
type CallerProtocol interface {
	// Caller parses the headers; the error is an apierr.Error with the code InvalidRequest.
	Caller(header http.Header) (Caller, error)
	// WeightsVersion returns the response header and the event field that contain the version of
	// the engine's weights; empty if engines don't send it.
	WeightsVersion() (header, eventField string)
}

// Options configures a Server.
type Options struct {
	// Table returns the installed routes; nil before there are any.
	Table func() *routing.Table
	// RoutesReady reports whether requests may use the installed routes: there are some, and as far
	// as the node can find out they are not older than the routes that it had before a restart.
	RoutesReady    func() bool
	CallerProtocol CallerProtocol
	Dispatcher     *dispatch.Dispatcher
	Registry       *dispatch.Registry
	Turns          *turnstore.Client
	Logger         *events.Logger
	Metrics        *Metrics
	// CatalogAge returns the maximum age of the node's configuration and engine records.
	CatalogAge func() time.Duration
	// CatalogInSyncSince returns since when the node has seen all engine records; the zero time if it does not know the
	// present ones.
	CatalogInSyncSince func() time.Time
	// Memory bounds the bodies, responses and streams that are held at the same time; nil for no bound.
	Memory *membudget.Budget
	// MaxConnections is the maximum number of callers' connections; 0 for no limit.
	MaxConnections int
}

// Server is an http.Handler for callers' requests.
type Server struct {
	options Options
	// draining is the schedule of the stop in progress; nil without one.
	draining atomic.Pointer[drain]
	active   atomic.Int64
	logLimit *logLimiter
	// connections are those of Listener.
	connections *connections
}

// New returns a Server.
func New(options Options) *Server {
	return &Server{options: options, logLimit: newLogLimiter(), connections: &connections{limit: options.MaxConnections}}
}

// Drain makes each further response close its connection, and refuses late requests that may outlast the stop.
func (s *Server) Drain(schedule drain) { s.draining.Store(&schedule) }

// Active returns the number of requests in progress.
func (s *Server) Active() int64 { return s.active.Load() }

// request is a caller's request in progress.
type request struct {
	server    *Server
	writer    http.ResponseWriter
	incoming  *http.Request
	caller    Caller
	route     *routing.Route
	service   routing.ServiceSpecification
	table     *routing.Table
	version   int64
	arrivedAt time.Time
	body      []byte
	// memory is reserved for the body, response for what is buffered of the response.
	memory, response *membudget.Reservation
	// reservation may still be pending while the turn runs; nil for calls that need none.
	reservation *reservation
	opened      *turnstore.OpenedTurn
	// origin records which software generates the stream; nil if no caller can need that.
	origin *turnstore.StreamOrigin
	// runAhead is set if the turn was sent to an engine before its reservation ended.
	runAhead bool

	// resumption is what is known of the stream that the caller resumes.
	resumption resumption

	// The following fields are for the log line and the metrics.
	call         *dispatch.Call
	openDuration time.Duration
	// originErr is why the origin of the stream could not be recorded or read; nil unless the call runs without.
	originErr    error
	engine       string
	status       int
	firstEventAt time.Time
	headSent     bool
	// outcome is how the stream ended; nil for other calls.
	outcome *streamOutcome
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(writer http.ResponseWriter, req *http.Request) {
	s.active.Add(1)
	defer s.active.Add(-1)
	current := &request{server: s, writer: writer, incoming: req, arrivedAt: time.Now(), memory: s.options.Memory.Open("request body"), response: s.options.Memory.Open("response")}
	defer current.memory.Release()
	defer current.response.Release()
	if s.draining.Load() != nil {
		writer.Header().Set("Connection", "close")
	}
	err := current.serve()
	current.log(err)
	if err == nil {
		return
	}
	if current.headSent {
		current.abort() // panics
	}
	current.writeError(err)
}

func (r *request) serve() error {
	if err := r.prepare(); err != nil {
		return err
	}
	deadlineContext, cancel := context.WithDeadline(r.incoming.Context(), r.deadline())
	defer cancel()
	ctx, cancelCause := context.WithCancelCause(deadlineContext)
	defer cancelCause(nil)
	if err := r.openTurn(ctx, cancelCause); err != nil {
		return err
	}
	if err := r.resolveResumption(ctx); err != nil {
		r.settle(0)
		return err
	}
	err := r.reservationError(ctx, r.dispatch(ctx))
	if ctx.Err() == nil {
		return err
	}
	if err != nil && errors.Is(r.incoming.Context().Err(), context.Canceled) {
		return apierr.New(apierr.Cancelled, apierr.OutcomeUnknown, "the caller disconnected: %s", err)
	}
	return err
}

// prepare finds the route and reads the request.
func (r *request) prepare() error {
	if r.incoming.ContentLength != 0 {
		// Applies if the request is refused: the server then discards the rest of a small body.
		_ = http.NewResponseController(r.writer).SetReadDeadline(r.arrivedAt.Add(bodyPauseTimeout))
	}
	table := r.awaitRoutes()
	if table == nil {
		return apierr.New(apierr.StoreUnavailable, apierr.NotRun, "no configuration is installed yet").WithRetryAfter(startupRetryAfter)
	}
	r.table, r.version = table, table.Version()
	route, found := table.Match(r.incoming.Host, r.incoming.URL.Path)
	if !found {
		return apierr.New(apierr.NotFound, apierr.NotRun, "no route for %s%s", r.incoming.Host, r.incoming.URL.Path)
	}
	r.route = route
	caller, err := r.server.options.CallerProtocol.Caller(r.incoming.Header)
	if err != nil {
		return err
	}
	r.caller = caller
	name := route.Pick(rand.Float64())
	r.service, _ = table.Service(name)
	if err := r.checkDrain(); err != nil {
		return err
	}
	if err := r.readBody(table.Limits()); err != nil {
		return err
	}
	// The body may have taken long.
	return r.checkDrain()
}

// startupRetryAfter is the Retry-After of a node that has no routes yet.
const startupRetryAfter = 300 * time.Millisecond

func (r *request) readBody(limits routing.LimitSpecification) error {
	if limits.HeaderBytes > 0 && headerBytes(r.incoming) > limits.HeaderBytes {
		return apierr.New(apierr.HeaderTooLarge, apierr.NotRun, "the request headers exceed %d bytes", limits.HeaderBytes)
	}
	limit := limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if r.incoming.ContentLength > limit {
		return errBodyTooLarge(limit)
	}
	if r.incoming.ContentLength == 0 {
		return nil
	}
	if r.incoming.ContentLength > membudget.SmallBytes {
		if err := r.memory.Grow(r.incoming.ContentLength); err != nil {
			return r.errNoMemory(err)
		}
	}
	body, err := membudget.ReadAll(&bodyReader{body: r.incoming.Body, connection: http.NewResponseController(r.writer), deadline: r.deadline(), waiting: r.setWaiting}, limit, r.memory)
	var tooLarge *membudget.ErrTooLarge
	var exhausted *membudget.ErrExhausted
	switch {
	case errors.As(err, &tooLarge):
		return errBodyTooLarge(limit)
	case errors.As(err, &exhausted):
		return r.errNoMemory(err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		r.writer.Header().Set("Connection", "close")
		return apierr.New(apierr.DeadlineExceeded, apierr.NotRun, "the request body did not arrive in time").WithRetryAfter(memoryRetryAfter)
	case err != nil:
		return apierr.New(apierr.InvalidRequest, apierr.NotRun, "reading the request body: %s", err)
	}
	r.body = body
	return nil
}

// memoryRetryAfter is the Retry-After of a request for whose body there is no memory.
const memoryRetryAfter = time.Second

// errNoMemory returns the error of a request whose body can't be held. Its connection is closed, since the rest of the body
// would have to be read first.
func (r *request) errNoMemory(cause error) error {
	r.writer.Header().Set("Connection", "close")
	return apierr.New(apierr.Overloaded, apierr.NotRun, "%s", cause).WithRetryAfter(memoryRetryAfter)
}

// defaultBodyBytes is the limit of a request body if none is configured.
const defaultBodyBytes = 8 << 20

func errBodyTooLarge(limit int64) error {
	return apierr.New(apierr.BodyTooLarge, apierr.NotRun, "the request body exceeds %d bytes", limit)
}

func headerBytes(incoming *http.Request) int64 {
	size := len(incoming.Method) + len(incoming.RequestURI) + len(incoming.Host)
	for name, values := range incoming.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return int64(size)
}

// deadline returns the end of the caller's or the route's time limit, whichever is earlier.
func (r *request) deadline() time.Time {
	limit := r.route.Timeout()
	if r.caller.TimeLimit > 0 {
		limit = min(limit, r.caller.TimeLimit)
	}
	return r.arrivedAt.Add(limit)
}

func (r *request) dispatch(ctx context.Context) error {
	call := &dispatch.Call{
		ID:        r.caller.ID,
		Route:     r.route,
		Priority:  r.route.Priority(),
		Placement: dispatch.Placement{Service: r.service.Name, Pinned: r.resumption.pinned, Software: r.resumption.software},
		Request: upstream.Request{
			Method: r.incoming.Method, Target: r.incoming.RequestURI, Host: r.incoming.Host,
			Header: upstream.EndToEndHeaders(r.incoming.Header), BodyPrefix: r.previousText(), Body: r.body,
		},
		Content: r.content,
	}
	r.call = call
	if r.route.Sticky() || r.route.StoreTurns() {
		call.Placement.Affinity = r.affinity()
		call.Placement.Prompt = r.caller.Prompt
		call.Placement.EngineRecorded = r.reservation != nil && r.needsTurnStore()
	}
	if r.opened != nil {
		call.Placement.Preferred = r.opened.Engine
	}
	if r.route.Kind() == routing.Stream {
		call.Placement.SoftwareMatters = true
		return r.relayStream(ctx, call)
	}
	return r.relayBuffered(ctx, call)
}

// content returns the key of the request's content, without the IDs and limits that differ between attempts.
func (r *request) content() fatal.Key {
	return fatal.KeyOf(r.body, r.incoming.Method, r.incoming.Host, r.incoming.RequestURI, r.caller.Program, r.caller.Session, r.caller.Previous, r.caller.PromptText)
}

func (r *request) affinity() string {
	if r.caller.Program != "" {
		return r.caller.Program
	}
	return r.caller.Prompt.SharedPrefix
}

// previousText returns the text of the previous turns, which precedes the caller's body.
func (r *request) previousText() []byte {
	if r.opened == nil {
		return nil
	}
	return r.opened.Prefix
}

// statusOf returns the HTTP status for an error. Callers rely on 503 to mean that the request was
// not run and may be sent again, so 503 is used for such requests and for no others.
func statusOf(failure *apierr.Error) int {
	status := failure.HTTPStatus()
	switch {
	case failure.Outcome == apierr.NotRun && status == http.StatusGatewayTimeout:
		return http.StatusServiceUnavailable
	case failure.Outcome != apierr.NotRun && status == http.StatusServiceUnavailable:
		return http.StatusBadGateway
	}
	return status
}

// writeError sends the error response of a request whose response has not begun.
func (r *request) writeError(err error) {
	failure := apierr.From(err, apierr.OutcomeUnknown)
	status := statusOf(failure)
	header := r.writer.Header()
	if failure.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(float64(failure.RetryAfter)/1000, 'f', 3, 64))
	}
	if failure.Code == apierr.TurnsUnavailable {
		// The caller's next connection may reach a gateway that has contact with the replicas.
		header.Set("Connection", "close")
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	message := string(failure.Code) + "\n"
	header.Set("Content-Length", strconv.Itoa(len(message)))
	r.writer.WriteHeader(status)
	_, _ = io.WriteString(r.writer, message)
}
