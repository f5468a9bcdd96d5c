package routing

import (
	"strings"

	"github.com/cockroachdb/errors"
)

// Kind is a class of requests; it decides whether a request may be retried after a failure.
type Kind string

// The request kinds.
const (
	// Safe requests may run more than once.
	Safe Kind = "safe"
	// Unsafe requests may have side effects, so each runs at most once, however many engines are tried.
	Unsafe Kind = "unsafe"
	// Stream requests have an event stream as response; they run at most once unless the route is resumable.
	Stream Kind = "stream"
)

// TargetSpecification assigns a share of a route's requests to a service, in proportion to its weight.
type TargetSpecification struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// RouteSpecification is a route as it is stored and sent between nodes.
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
	// StoreTurns enables storing turns; each is kept for RetentionSeconds after the end of its response.
	StoreTurns       bool    `json:"kept,omitempty"`
	RetentionSeconds float64 `json:"retention_seconds,omitempty"`
}

// ServiceSpecification is a service: a group of engines that serve the same requests.
type ServiceSpecification struct {
	Name           string `json:"name"`
	MaxConnections int    `json:"max_connections"`
	// TokensPerEvent is the number of tokens charged for each event of the service's streams; 0 for
	// services that generate no tokens.
	TokensPerEvent int `json:"tokens_per_event,omitempty"`
}

// LimitSpecification limits the size of requests.
type LimitSpecification struct {
	HeaderBytes int64 `json:"header_bytes"`
	BodyBytes   int64 `json:"body_bytes"`
}

// Specification is a complete routing configuration.
type Specification struct {
	Version  int64                  `json:"version"`
	Routes   []RouteSpecification   `json:"routes"`
	Services []ServiceSpecification `json:"services"`
	Limits   LimitSpecification     `json:"limits"`
}

// ErrInvalid means that a configuration is invalid; the last valid configuration stays in use.
type ErrInvalid struct {
	Field  string
	Reason string
}

// Error implements error.
func (e *ErrInvalid) Error() string { return "invalid configuration: " + e.Field + ": " + e.Reason }

func (s *Specification) validate() error {
	services := make(map[string]bool, len(s.Services))
	for _, service := range s.Services {
		if service.Name == "" {
			return errors.WithStack(&ErrInvalid{Field: "services", Reason: "a service has no name"})
		}
		services[service.Name] = true
	}
	for index := range s.Routes {
		if err := s.Routes[index].validate(services); err != nil {
			return err
		}
	}
	return nil
}

func (r *RouteSpecification) validate(services map[string]bool) error {
	invalid := func(reason string) error {
		return errors.WithStack(&ErrInvalid{Field: "route " + r.Name, Reason: reason})
	}
	switch {
	case r.Host == "":
		return invalid("host is missing")
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return invalid("prefix must begin and end with a slash")
	case r.Kind != Safe && r.Kind != Unsafe && r.Kind != Stream:
		return invalid("kind must be safe, unsafe or stream")
	case r.TimeoutMillis <= 0:
		return invalid("timeout must be above 0 ms")
	case len(r.Targets) == 0:
		return invalid("targets are missing")
	}
	for _, target := range r.Targets {
		if !services[target.Service] {
			return invalid("service " + target.Service + " is not defined")
		}
	}
	return nil
}
