// Package routing matches requests to routes by host and longest path prefix. A Table is built from a
// Specification and is immutable, so that it may be used concurrently.
//
// Usage:
//
//	table, err := routing.New(specification)
//	route, found := table.Match("example.test", "/essays/12")
//	service := route.Pick(rand.Float64())
package routing

import (
	"net"
	"strings"
	"time"

	"github.com/mountstile/mountstile/internal/clock"
)

// defaultAttempts is the maximum number of engines that run a request if the route does not set it.
const defaultAttempts = 1

// Route is a route of a Table: the requests that it matches and how they are handled.
type Route struct {
	specification RouteSpecification
	totalWeight   float64
}

// Name returns the configured name of the route.
func (r *Route) Name() string { return r.specification.Name }

// Kind returns the kind of the requests, which decides how failures are handled.
func (r *Route) Kind() Kind { return r.specification.Kind }

// Timeout returns the maximum duration of a request.
func (r *Route) Timeout() time.Duration { return milliseconds(r.specification.TimeoutMillis) }

// Objective returns the latency objective of the response, or of the first event of a stream.
func (r *Route) Objective() time.Duration { return milliseconds(r.specification.ObjectiveMillis) }

// Priority returns the priority of the requests; 0 is the highest.
func (r *Route) Priority() int { return r.specification.Priority }

// Attempts returns the maximum number of engines that may run a request.
func (r *Route) Attempts() int {
	if r.specification.Attempts < 1 {
		return defaultAttempts
	}
	return r.specification.Attempts
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.specification.Kind == Safe || (r.specification.Kind == Stream && r.specification.Resumable)
}

// Sticky reports whether requests whose prompts have a common prefix should go to the same engine.
func (r *Route) Sticky() bool { return r.specification.Sticky }

// StoreTurns reports whether turns are stored so that later requests can continue them.
func (r *Route) StoreTurns() bool { return r.specification.StoreTurns }

// Retention returns how long a turn is stored after the end of its response.
func (r *Route) Retention() time.Duration {
	return milliseconds(r.specification.RetentionSeconds * 1000)
}

// Pick chooses a service by weight. uniform is a random number from the uniform distribution over [0, 1).
func (r *Route) Pick(uniform float64) string {
	remaining := uniform * r.totalWeight
	targets := r.specification.Targets
	for _, target := range targets {
		remaining -= target.Weight
		if remaining < 0 {
			return target.Service
		}
	}
	return targets[len(targets)-1].Service
}

// Services returns the names of the services that requests may go to.
func (r *Route) Services() []string {
	names := make([]string, 0, len(r.specification.Targets))
	for _, target := range r.specification.Targets {
		names = append(names, target.Service)
	}
	return names
}

func milliseconds(value float64) time.Duration {
	return clock.Duration(value, time.Millisecond)
}

// Table holds the routes, services and limits of one version of the configuration.
type Table struct {
	version  int64
	hosts    map[string]map[string]*Route
	services map[string]ServiceSpecification
	limits   LimitSpecification
}

// New validates a specification and returns its Table. The error is an ErrInvalid.
func New(specification Specification) (*Table, error) {
	if err := specification.validate(); err != nil {
		return nil, err
	}
	table := &Table{
		version:  specification.Version,
		hosts:    make(map[string]map[string]*Route),
		services: make(map[string]ServiceSpecification, len(specification.Services)),
		limits:   specification.Limits,
	}
	for _, service := range specification.Services {
		table.services[service.Name] = service
	}
	for _, route := range specification.Routes {
		table.add(route)
	}
	return table, nil
}

func (t *Table) add(specification RouteSpecification) {
	host := strings.ToLower(specification.Host)
	prefixes := t.hosts[host]
	if prefixes == nil {
		prefixes = make(map[string]*Route)
		t.hosts[host] = prefixes
	}
	route := &Route{specification: specification}
	for _, target := range specification.Targets {
		route.totalWeight += target.Weight
	}
	prefixes[specification.Prefix] = route
}

// Version returns the version of the configuration, as set by the operator.
func (t *Table) Version() int64 { return t.version }

// Limits returns the limits on the size of requests.
func (t *Table) Limits() LimitSpecification { return t.limits }

// Service returns the service with this name.
func (t *Table) Service(name string) (ServiceSpecification, bool) {
	service, found := t.services[name]
	return service, found
}

// Match returns the route of host with the longest prefix of path. The port and the case of host are
// ignored.
func (t *Table) Match(host, path string) (*Route, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	prefixes := t.hosts[strings.ToLower(host)]
	if prefixes == nil {
		return nil, false
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if route := prefixes[path[:end+1]]; route != nil {
			return route, true
		}
	}
	return nil, false
}
