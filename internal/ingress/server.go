// Package ingress serves callers' requests on operators' routes: it finds the route, keeps what the
// caller may send within the limits, opens the turn if it is one, has the call brought to an engine,
// and passes the answer back as it comes.
//
// A broken answer is never ended as if it were whole: the connection is reset. A request that was
// not run is refused at once, with when to come back.
//
// Usage:
//
//	server := ingress.New(ingress.Options{...})
//	httpServer := &http.Server{Handler: server}
//	...
//	server.Drain()   // answers carry "Connection: close" from now on
package ingress

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/dispatch"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/routing"
	"github.com/mountstile/mountstile/internal/turnstore"
	"github.com/mountstile/mountstile/internal/upstream"
)

// NoBudget is the budget of a caller whose program has none.
const NoBudget = -1

// Caller is what a caller's headers say.
type Caller struct {
	ID string
	// Patience is how long the caller waits; 0 if it didn't say.
	Patience time.Duration
	Program  string
	Session  string
	// ProgramPatience is the time left for the whole program, 0 if it is over; ProgramTimed tells whether the caller
	// named it.
	ProgramPatience time.Duration
	ProgramTimed    bool
	// Budget is NoBudget or what the program's turns may generate together, in tokens.
	Budget int64
	// Most is the most that this request may generate, in tokens.
	Most int64
	// Previous is the turn that this one continues.
	Previous string
	// LastEvent is the ID of the last event of this stream that the caller has; empty at its start.
	LastEvent string
	// Prompt is what the caller says of its prompt's parts.
	Prompt dispatch.Prompt
}

// Vocabulary reads callers' headers; it varies between platforms.
type Vocabulary interface {
	// Caller reads the headers; the error is an apierr.Error with the code InvalidRequest.
	Caller(header http.Header) (Caller, error)
	// WeightsVersion names the header of an answer, and the field of an event, that tell the version of the weights
	// which an engine uses; empty where engines don't tell.
	WeightsVersion() (header, eventField string)
}

// Options configure a Server.
type Options struct {
	// Table returns the routes in force; nil before there are any.
	Table func() *routing.Table
	// Settled tells whether the routes are those that a request is to be handled by: there are some, and they are not older
	// than what this node may have had before it was restarted, as far as it can find out.
	Settled    func() bool
	Vocabulary Vocabulary
	Dispatcher *dispatch.Dispatcher
	Registry   *dispatch.Registry
	Turns      *turnstore.Client
	Logger     *events.Logger
	Metrics    *Metrics
	// CatalogAge is how old the node's knowledge of configuration and engines may be.
	CatalogAge func() time.Duration
}

// Server is an http.Handler for callers' requests.
type Server struct {
	options  Options
	draining atomic.Bool
	active   atomic.Int64
	lines    *lineLimit
}

// New returns a Server.
func New(options Options) *Server { return &Server{options: options, lines: newLineLimit()} }

// Drain makes each further answer the last one of its connection.
func (s *Server) Drain() { s.draining.Store(true) }

// Active is how many requests are under way.
func (s *Server) Active() int64 { return s.active.Load() }

// request is one caller's request on its way.
type request struct {
	server    *Server
	writer    http.ResponseWriter
	http      *http.Request
	caller    Caller
	route     *routing.Route
	service   routing.ServiceSpecification
	version   int64
	arrivedAt time.Time
	body      []byte
	// reservation is the opening of the turn, which may still be under way while it runs; nil for calls that need none.
	reservation *reservation
	opened      *turnstore.OpenedTurn
	// ahead tells that the turn runs beside its reservation.
	ahead bool

	// What the log line tells.
	call         *dispatch.Call
	opening      time.Duration
	engine       string
	status       int
	firstEventAt time.Time
	sent         bool
	// ended is how the stream ended; nil for calls that are none.
	ended *streamEnding
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(writer http.ResponseWriter, incoming *http.Request) {
	s.active.Add(1)
	defer s.active.Add(-1)
	current := &request{server: s, writer: writer, http: incoming, arrivedAt: time.Now()}
	if s.draining.Load() {
		writer.Header().Set("Connection", "close")
	}
	err := current.serve()
	current.log(err)
	if err == nil {
		return
	}
	if current.sent {
		current.cut()
	}
	current.refuse(err)
}

func (r *request) serve() error {
	if err := r.prepare(); err != nil {
		return err
	}
	limited, cancel := context.WithDeadline(r.http.Context(), r.deadline())
	defer cancel()
	ctx, stop := context.WithCancelCause(limited)
	defer stop(nil)
	if err := r.openTurn(ctx, stop); err != nil {
		return err
	}
	err := r.denied(ctx, r.dispatch(ctx))
	if ctx.Err() == nil {
		return err
	}
	if err != nil && errors.Is(r.http.Context().Err(), context.Canceled) {
		return apierr.New(apierr.Cancelled, apierr.OutcomeUnknown, "the caller left: %s", err)
	}
	return err
}

// prepare finds the route and reads the request.
func (r *request) prepare() error {
	table := r.awaitRoutes()
	if table == nil {
		return apierr.New(apierr.StoreUnavailable, apierr.NotRun, "no configuration is known yet").WithRetryAfter(retryAfterStarting)
	}
	r.version = table.Version()
	route, found := table.Match(r.http.Host, r.http.URL.Path)
	if !found {
		return apierr.New(apierr.NotFound, apierr.NotRun, "no route for %s%s", r.http.Host, r.http.URL.Path)
	}
	r.route = route
	caller, err := r.server.options.Vocabulary.Caller(r.http.Header)
	if err != nil {
		return err
	}
	r.caller = caller
	name := route.Pick(rand.Float64())
	r.service, _ = table.Service(name)
	return r.readBody(table.Limits())
}

// retryAfterStarting tells callers when to come back to a node that has just started.
const retryAfterStarting = 300 * time.Millisecond

func (r *request) readBody(limits routing.LimitSpecification) error {
	if limits.HeaderBytes > 0 && headerBytes(r.http) > limits.HeaderBytes {
		return apierr.New(apierr.HeaderTooLarge, apierr.NotRun, "the headers have more than %d bytes", limits.HeaderBytes)
	}
	limit := limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if r.http.ContentLength > limit {
		return tooLarge(limit)
	}
	body, err := io.ReadAll(io.LimitReader(r.http.Body, limit+1))
	if err != nil {
		return apierr.New(apierr.InvalidRequest, apierr.NotRun, "reading the body: %s", err)
	}
	if int64(len(body)) > limit {
		return tooLarge(limit)
	}
	r.body = body
	return nil
}

// defaultBodyBytes is the limit where the configuration has none.
const defaultBodyBytes = 8 << 20

func tooLarge(limit int64) error {
	return apierr.New(apierr.BodyTooLarge, apierr.NotRun, "the body has more than %d bytes", limit)
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

// deadline is when the caller, or the route, gives the request up.
func (r *request) deadline() time.Time {
	limit := r.route.Timeout()
	if r.caller.Patience > 0 {
		limit = min(limit, r.caller.Patience)
	}
	return r.arrivedAt.Add(limit)
}

func (r *request) dispatch(ctx context.Context) error {
	call := &dispatch.Call{
		ID:       r.caller.ID,
		Route:    r.route,
		Priority: r.route.Priority(),
		Want:     dispatch.Want{Service: r.service.Name},
		Request: upstream.Request{
			Method: r.http.Method, Target: r.http.RequestURI, Host: r.http.Host,
			Header: upstream.PassedOn(r.http.Header), Body: r.prompt(),
		},
	}
	r.call = call
	if r.route.Sticky() || r.route.Kept() {
		call.Want.Affinity = r.affinity()
		call.Want.Prompt = r.caller.Prompt
		call.Want.Remembered = r.reservation != nil
	}
	if r.opened != nil {
		call.Want.Preferred = r.opened.Engine
	}
	if r.route.Kind() == routing.Stream {
		return r.relayStream(ctx, call)
	}
	return r.relayWhole(ctx, call)
}

func (r *request) affinity() string {
	if r.caller.Program != "" {
		return r.caller.Program
	}
	return r.caller.Prompt.Shared
}

// prompt is what the engine gets: all turns before this one, then what the caller sent.
func (r *request) prompt() []byte {
	if r.opened == nil || len(r.opened.Prefix) == 0 {
		return r.body
	}
	return append(r.opened.Prefix[:len(r.opened.Prefix):len(r.opened.Prefix)], r.body...)
}

// statusOf is the status that a caller gets for a failure. 503 promises that the request was not run, which is what a caller
// needs to know to send it again: it gets that status if it is so, and never if it isn't.
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

// refuse answers a request to which nothing was sent yet.
func (r *request) refuse(err error) {
	failure := apierr.From(err, apierr.OutcomeUnknown)
	status := statusOf(failure)
	header := r.writer.Header()
	if failure.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(float64(failure.RetryAfter)/1000, 'f', 3, 64))
	}
	if failure.Code == apierr.TurnsUnavailable {
		// The caller's next connection may come to a gateway that reaches the replicas.
		header.Set("Connection", "close")
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	message := string(failure.Code) + "\n"
	header.Set("Content-Length", strconv.Itoa(len(message)))
	r.writer.WriteHeader(status)
	_, _ = io.WriteString(r.writer, message)
}
