// Package routing finds the route of a request: by host, then by the longest path prefix. A Table
// is made from a Specification, never changes, and may be read by many goroutines.
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
)

// defaultAttempts is how many engines a request may be sent to if the route doesn't say.
const defaultAttempts = 1

// Route is one route of a Table.
type Route struct {
	specification RouteSpecification
	totalWeight   float64
}

// Name returns the operator's name of the route.
func (r *Route) Name() string { return r.specification.Name }

// Kind tells what may be done with a request after a failure.
func (r *Route) Kind() Kind { return r.specification.Kind }

// Timeout is the longest time that a request may be held.
func (r *Route) Timeout() time.Duration { return milliseconds(r.specification.TimeoutMillis) }

// Objective is the time within which an answer, or the first event of one, is in time.
func (r *Route) Objective() time.Duration { return milliseconds(r.specification.ObjectiveMillis) }

// Priority is the rank of the route; 0 is the most urgent.
func (r *Route) Priority() int { return r.specification.Priority }

// Attempts is the largest number of engines that may run one request.
func (r *Route) Attempts() int {
	if r.specification.Attempts < 1 {
		return defaultAttempts
	}
	return r.specification.Attempts
}

// Repeatable tells whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.specification.Kind == Safe || (r.specification.Kind == Stream && r.specification.Resumable)
}

// Sticky tells whether requests with a common prompt should meet at one engine.
func (r *Route) Sticky() bool { return r.specification.Sticky }

// StoreTurns tells whether turns are stored and may be continued.
func (r *Route) StoreTurns() bool { return r.specification.StoreTurns }

// Retention is how long a turn is kept after the end of its answer.
func (r *Route) Retention() time.Duration {
	return milliseconds(r.specification.RetentionSeconds * 1000)
}

// Pick returns the service for a uniform random number in [0, 1).
func (r *Route) Pick(uniform float64) string {
	left := uniform * r.totalWeight
	targets := r.specification.Targets
	for _, target := range targets {
		left -= target.Weight
		if left < 0 {
			return target.Service
		}
	}
	return targets[len(targets)-1].Service
}

func milliseconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Millisecond))
}

// Table holds the routes and services of one configuration.
type Table struct {
	version  int64
	hosts    map[string]map[string]*Route
	services map[string]ServiceSpecification
	limits   LimitSpecification
}

// New makes a Table. The error is an ErrInvalid if the specification can't be used.
func New(specification Specification) (*Table, error) {
	if err := specification.check(); err != nil {
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

// Version is the operator's number of the configuration.
func (t *Table) Version() int64 { return t.version }

// Limits bounds what a caller may send.
func (t *Table) Limits() LimitSpecification { return t.limits }

// Service returns a service by its name.
func (t *Table) Service(name string) (ServiceSpecification, bool) {
	service, found := t.services[name]
	return service, found
}

// Match returns the route with the longest prefix of path among those of host. The port of host,
// and the case of its letters, do not count.
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
