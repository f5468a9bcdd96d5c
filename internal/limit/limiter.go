package limit

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/configuration"
	"github.com/mountstile/mountstile/internal/membership"
	"github.com/mountstile/mountstile/internal/resource"
	"github.com/mountstile/mountstile/internal/transport"
)

const (
	acquireKind = "limit_acquire"
	releaseKind = "limit_release"

	acquireTimeout = 2 * time.Second
	// concurrencyRetryAfter is the delay suggested to a tenant at its limit of concurrent calls: the time at which one
	// of them ends is unknown.
	concurrencyRetryAfter = 500 * time.Millisecond
)

// Request asks for a permit to run a tenant's call on a service, or releases that permit.
type Request struct {
	Tenant  string `json:"tenant"`
	Service string `json:"service"`
	CallID  string `json:"call"`
	// HoldMillis is the time after which the permit expires if it is not released.
	HoldMillis int64 `json:"hold_ms"`
}

// Response is the response to a Request for a permit.
type Response struct {
	Granted bool `json:"granted"`
	// RetryAfter is the delay before the next request, in milliseconds; 0 if the permit is granted.
	RetryAfter int64 `json:"retry_after_ms,omitempty"`
}

type limitKey struct{ tenant, service string }

// counter counts one tenant's calls on one service. Limiter's mutex guards it.
type counter struct {
	bucket *rate.Limiter
	// permits maps the ID of each call that has a permit to the permit's expiry.
	permits map[string]time.Time
}

// Limiter enforces limits across all nodes. The limit of each tenant on each service is counted by one owner node,
// chosen by rendezvous hashing, so that the counting is spread over all nodes. While nodes disagree about the
// membership, two owners may each grant the full limit.
type Limiter struct {
	network    *transport.Transport
	membership *membership.Manager
	config     *configuration.Manager

	mutex    sync.Mutex
	counters map[limitKey]*counter
}

// NewLimiter returns a Limiter and registers its message handlers with network.
func NewLimiter(network *transport.Transport, members *membership.Manager, config *configuration.Manager) *Limiter {
	limiter := &Limiter{network: network, membership: members, config: config, counters: make(map[limitKey]*counter)}
	transport.Handle(network, acquireKind, func(_ context.Context, _ transport.Peer, request Request) (Response, error) {
		return limiter.acquireLocal(request, time.Now()), nil
	})
	transport.HandleOneWay(network, releaseKind, func(_ transport.Peer, request Request) { limiter.releaseLocal(request) })
	return limiter
}

// Acquire acquires a permit if the tenant has a limit on the service. The error is an *apierr.Error with
// LimitExceeded. If the owner does not respond, the call is allowed: another node becomes the owner within
// seconds, and engines still limit their own concurrency.
func (l *Limiter) Acquire(ctx context.Context, request Request) error {
	if _, limited := l.config.Current().Set.LimitFor(request.Tenant, request.Service); !limited {
		return nil
	}
	response, err := l.acquireFromOwner(ctx, request)
	if err != nil || response.Granted {
		return nil
	}
	wait := time.Duration(response.RetryAfter) * time.Millisecond
	return apierr.New(apierr.LimitExceeded, apierr.NotRun, "tenant %q has reached its limit on service %q", request.Tenant, request.Service).WithRetryAfter(wait)
}

func (l *Limiter) acquireFromOwner(ctx context.Context, request Request) (Response, error) {
	self := l.membership.View().Self
	owner, known := l.owner(request)
	if !known || owner.ID == self.ID {
		return l.acquireLocal(request, time.Now()), nil
	}
	ctx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	return transport.Call[Response](ctx, l.network, owner.Peer(), acquireKind, request)
}

func (l *Limiter) owner(request Request) (membership.Member, bool) {
	view := l.membership.View()
	return view.Owner("limit/"+request.Tenant+"/"+request.Service, "", view.Self.Region)
}

// Release releases a permit acquired with the same request.
func (l *Limiter) Release(request Request) {
	if _, limited := l.config.Current().Set.LimitFor(request.Tenant, request.Service); !limited {
		return
	}
	owner, known := l.owner(request)
	if !known || owner.ID == l.membership.View().Self.ID {
		l.releaseLocal(request)
		return
	}
	l.network.Send(owner.Peer(), releaseKind, request)
}

// acquireLocal acquires a permit from this node's counter. A repeated request for the same call is granted again and
// not counted twice.
func (l *Limiter) acquireLocal(request Request, now time.Time) Response {
	configured, limited := l.config.Current().Set.LimitFor(request.Tenant, request.Service)
	if !limited {
		return Response{Granted: true}
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	current := l.counter(limitKey{request.Tenant, request.Service})
	current.expire(now)
	if _, granted := current.permits[request.CallID]; granted {
		return Response{Granted: true}
	}
	return current.acquire(request, configured, now)
}

func (l *Limiter) counter(key limitKey) *counter {
	if l.counters[key] == nil {
		l.counters[key] = &counter{bucket: rate.NewLimiter(rate.Inf, 1), permits: make(map[string]time.Time)}
	}
	return l.counters[key]
}

func (c *counter) expire(now time.Time) {
	for callID, expiry := range c.permits {
		if now.After(expiry) {
			delete(c.permits, callID)
		}
	}
}

// acquire grants a permit if the configured limit allows one more call. The limit may have changed since the last call.
// The token bucket's burst is the number of requests of one second, at least 1.
func (c *counter) acquire(request Request, configured resource.Limit, now time.Time) Response {
	if configured.Concurrent > 0 && len(c.permits) >= configured.Concurrent {
		return Response{RetryAfter: concurrencyRetryAfter.Milliseconds()}
	}
	if configured.RequestsPerSecond > 0 {
		c.bucket.SetLimitAt(now, rate.Limit(configured.RequestsPerSecond))
		c.bucket.SetBurstAt(now, max(1, int(configured.RequestsPerSecond)))
		if !c.bucket.AllowN(now, 1) {
			return Response{RetryAfter: max(1, int64(1000/configured.RequestsPerSecond))}
		}
	}
	c.permits[request.CallID] = now.Add(time.Duration(request.HoldMillis) * time.Millisecond)
	return Response{Granted: true}
}

func (l *Limiter) releaseLocal(request Request) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if current := l.counters[limitKey{request.Tenant, request.Service}]; current != nil {
		delete(current.permits, request.CallID)
	}
}
