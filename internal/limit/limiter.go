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
	busyRetry      = 500 * time.Millisecond
)

// Request asks for a permit of a tenant on a service.
type Request struct {
	Tenant  string `json:"tenant"`
	Service string `json:"service"`
	CallID  string `json:"call"`
	// HoldMillis is how long the permit is held at the most.
	HoldMillis int64 `json:"hold_ms"`
}

// Response grants a permit, or tells when to come back.
type Response struct {
	Granted    bool  `json:"granted"`
	RetryAfter int64 `json:"retry_after_ms,omitempty"`
}

type pair struct{ tenant, service string }

// counter is the use of one limit. Limiter's mutex guards it.
type counter struct {
	bucket *rate.Limiter
	held   map[string]time.Time
}

// Limiter enforces limits over all nodes: each pair of tenant and service has one keeper, found by
// rendezvous hashing, so that no node counts for all. While members disagree about who that is,
// two keepers may each grant the limit for a moment.
type Limiter struct {
	network    *transport.Transport
	membership *membership.Manager
	config     *configuration.Manager

	mutex    sync.Mutex
	counters map[pair]*counter
}

// NewLimiter returns a Limiter and registers its messages.
func NewLimiter(network *transport.Transport, members *membership.Manager, config *configuration.Manager) *Limiter {
	keeper := &Limiter{network: network, membership: members, config: config, counters: make(map[pair]*counter)}
	transport.Handle(network, acquireKind, func(_ context.Context, _ transport.Peer, request Request) (Response, error) {
		return keeper.grant(request, time.Now()), nil
	})
	transport.HandleOneWay(network, releaseKind, func(_ transport.Peer, request Request) { keeper.free(request) })
	return keeper
}

// Acquire takes a permit if the tenant has a limit on the service. Errors: *apierr.Error with
// LimitExceeded. A keeper that can't be reached does not stop the call: its successor counts anew
// within seconds, and engines stay protected by their own places.
func (k *Limiter) Acquire(ctx context.Context, request Request) error {
	if _, limited := k.config.Current().Set.LimitFor(request.Tenant, request.Service); !limited {
		return nil
	}
	response, err := k.ask(ctx, request)
	if err != nil || response.Granted {
		return nil
	}
	wait := time.Duration(response.RetryAfter) * time.Millisecond
	return apierr.New(apierr.LimitExceeded, apierr.NotRun, "tenant %s is at its limit on service %s", request.Tenant, request.Service).WithRetryAfter(wait)
}

func (k *Limiter) ask(ctx context.Context, request Request) (Response, error) {
	self := k.membership.View().Self
	owner, known := k.owner(request)
	if !known || owner.ID == self.ID {
		return k.grant(request, time.Now()), nil
	}
	ctx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	return transport.Call[Response](ctx, k.network, owner.Address, acquireKind, request)
}

func (k *Limiter) owner(request Request) (membership.Member, bool) {
	view := k.membership.View()
	return view.Owner("limit/"+request.Tenant+"/"+request.Service, "", view.Self.Region)
}

// Release gives a permit back.
func (k *Limiter) Release(request Request) {
	if _, limited := k.config.Current().Set.LimitFor(request.Tenant, request.Service); !limited {
		return
	}
	owner, known := k.owner(request)
	if !known || owner.ID == k.membership.View().Self.ID {
		k.free(request)
		return
	}
	k.network.Send(owner.Address, releaseKind, request)
}

// grant counts a call that this node keeps.
func (k *Limiter) grant(request Request, now time.Time) Response {
	configured, limited := k.config.Current().Set.LimitFor(request.Tenant, request.Service)
	if !limited {
		return Response{Granted: true}
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	use := k.counter(pair{request.Tenant, request.Service})
	use.expire(now)
	if _, again := use.held[request.CallID]; again {
		return Response{Granted: true}
	}
	return use.take(request, configured, now)
}

func (k *Limiter) counter(key pair) *counter {
	if k.counters[key] == nil {
		k.counters[key] = &counter{bucket: rate.NewLimiter(rate.Inf, 1), held: make(map[string]time.Time)}
	}
	return k.counters[key]
}

func (c *counter) expire(now time.Time) {
	for callID, until := range c.held {
		if now.After(until) {
			delete(c.held, callID)
		}
	}
}

// take applies the limit as it is configured now; the bucket holds one second's worth.
func (c *counter) take(request Request, configured resource.Limit, now time.Time) Response {
	if configured.Concurrent > 0 && len(c.held) >= configured.Concurrent {
		return Response{RetryAfter: busyRetry.Milliseconds()}
	}
	if configured.RequestsPerSecond > 0 {
		c.bucket.SetLimitAt(now, rate.Limit(configured.RequestsPerSecond))
		c.bucket.SetBurstAt(now, max(1, int(configured.RequestsPerSecond)))
		if !c.bucket.AllowN(now, 1) {
			return Response{RetryAfter: max(1, int64(1000/configured.RequestsPerSecond))}
		}
	}
	c.held[request.CallID] = now.Add(time.Duration(request.HoldMillis) * time.Millisecond)
	return Response{Granted: true}
}

func (k *Limiter) free(request Request) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if use := k.counters[pair{request.Tenant, request.Service}]; use != nil {
		delete(use.held, request.CallID)
	}
}
