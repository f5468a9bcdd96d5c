package routing

import (
	"strings"

	"github.com/cockroachdb/errors"
)

// Kind tells what may be done with a request after a failure.
type Kind string

// The kinds of requests.
const (
	// Safe requests may run more than once.
	Safe Kind = "safe"
	// Unsafe requests run at most once for each request of a caller.
	Unsafe Kind = "unsafe"
	// Stream requests are answered by events; they may run once, unless the route is resumable.
	Stream Kind = "stream"
)

// TargetSpecification is one service that gets a share of a route's requests.
type TargetSpecification struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// RouteSpecification is one route as it is stored and sent between nodes. Times are in
// milliseconds.
type RouteSpecification struct {
	Name            string                `json:"name"`
	Host            string                `json:"host"`
	Prefix          string                `json:"prefix"`
	Kind            Kind                  `json:"kind"`
	TimeoutMillis   float64               `json:"timeout_millis"`
	ObjectiveMillis float64               `json:"objective_millis"`
	Priority        int                   `json:"priority"`
	Attempts        int                   `json:"attempts"`
	Targets         []TargetSpecification `json:"targets"`
	Resumable       bool                  `json:"resumable,omitempty"`
	Sticky          bool                  `json:"sticky,omitempty"`
	// StoreTurns routes have their turns stored, for RetentionSeconds after the end of each.
	StoreTurns       bool    `json:"kept,omitempty"`
	RetentionSeconds float64 `json:"retention_seconds,omitempty"`
}

// ServiceSpecification is one pool of engines.
type ServiceSpecification struct {
	Name           string `json:"name"`
	MaxConnections int    `json:"max_connections"`
	// TokensPerEvent is how many tokens an event of the service's streams counts for; 0 for
	// services that generate none.
	TokensPerEvent int `json:"tokens_per_event,omitempty"`
}

// LimitSpecification bounds what a caller may send.
type LimitSpecification struct {
	HeaderBytes int64 `json:"header_bytes"`
	BodyBytes   int64 `json:"body_bytes"`
}

// Specification is a whole configuration of routes.
type Specification struct {
	Version  int64                  `json:"version"`
	Routes   []RouteSpecification   `json:"routes"`
	Services []ServiceSpecification `json:"services"`
	Limits   LimitSpecification     `json:"limits"`
}

// ErrInvalid means that a configuration can't be used; the last good one stays in force.
type ErrInvalid struct {
	Field  string
	Reason string
}

// Error implements error.
func (e *ErrInvalid) Error() string { return "configuration: " + e.Field + ": " + e.Reason }

func (s *Specification) check() error {
	services := make(map[string]bool, len(s.Services))
	for _, service := range s.Services {
		if service.Name == "" {
			return errors.WithStack(&ErrInvalid{Field: "services", Reason: "a service has no name"})
		}
		services[service.Name] = true
	}
	for index := range s.Routes {
		if err := s.Routes[index].check(services); err != nil {
			return err
		}
	}
	return nil
}

func (r *RouteSpecification) check(services map[string]bool) error {
	invalid := func(reason string) error {
		return errors.WithStack(&ErrInvalid{Field: "route " + r.Name, Reason: reason})
	}
	switch {
	case r.Host == "":
		return invalid("it has no host")
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return invalid("its prefix does not begin and end with a slash")
	case r.Kind != Safe && r.Kind != Unsafe && r.Kind != Stream:
		return invalid("its kind is unknown")
	case r.TimeoutMillis <= 0:
		return invalid("its time limit is not positive")
	case len(r.Targets) == 0:
		return invalid("it has no service")
	}
	for _, target := range r.Targets {
		if !services[target.Service] {
			return invalid("its service " + target.Service + " is not defined")
		}
	}
	return nil
}
