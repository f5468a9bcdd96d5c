package owner

import (
	"context"
	"time"

	"github.com/mountstile/mountstile/internal/clock"
	"github.com/mountstile/mountstile/internal/configuration"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/membership"
	"github.com/mountstile/mountstile/internal/resource"
	"github.com/mountstile/mountstile/internal/transport"
)

const (
	reserveKind = "reserve"
	releaseKind = "release"

	sweepInterval = 500 * time.Millisecond
	// reservationGrace is how long after its call's deadline a reservation expires.
	reservationGrace = 5 * time.Second
	// minRetryAfter is the shortest RetryAfter of a refusal, so that callers do not retry in a tight loop.
	minRetryAfter = 100 * time.Millisecond
)

// ReserveRequest requests a slot on an engine.
type ReserveRequest struct {
	// Ticket identifies the request for cancellation; 0 if it is never cancelled.
	Ticket  uint64  `json:"ticket,omitempty"`
	Engine  string  `json:"engine"`
	CallID  string  `json:"call"`
	Tenant  string  `json:"tenant"`
	Weight  float64 `json:"weight"`
	Gateway string  `json:"gateway"`
	Rank    float64 `json:"rank"`
	// WaitMillis is how long the call may be queued; 0 means not at all.
	WaitMillis int64 `json:"wait_ms,omitempty"`
	// CallMillis is the call's timeout, from which the reservation's expiry follows.
	CallMillis int64 `json:"call_ms"`
}

func (r ReserveRequest) expiry() time.Duration {
	return time.Duration(r.CallMillis)*time.Millisecond + reservationGrace
}

// ReserveResponse holds the result of a ReserveRequest and the loads of all engines at the owner.
type ReserveResponse struct {
	Granted bool `json:"granted"`
	// Ticket is that of the request. The requester fills it in.
	Ticket uint64 `json:"-"`
	// Queued is set if the call was queued.
	Queued bool `json:"queued,omitempty"`
	// Overloaded is set if the expected queue time exceeds WaitMillis, or the wait has timed out.
	Overloaded bool   `json:"overloaded,omitempty"`
	RetryAfter int64  `json:"retry_after_ms,omitempty"`
	Loads      []Load `json:"loads"`
}

// ReleaseRequest frees a call's slot, or cancels a ReserveRequest.
type ReleaseRequest struct {
	Engine string `json:"engine"`
	CallID string `json:"call"`
	// Ticket, if set, cancels one ReserveRequest, whether it has not arrived yet, is queued or is granted. Other requests
	// of the same call are not affected.
	Ticket uint64 `json:"ticket,omitempty"`
	// Unused is set if the call was not sent to the engine, so that it is no sample of the engine's health.
	Unused bool `json:"unused,omitempty"`
	// Failed is set if the engine failed the call; it counts for the circuit breaker.
	Failed bool `json:"failed,omitempty"`
	// StepMicros is the call's time per token; 0 if unknown.
	StepMicros int64 `json:"step_us,omitempty"`
}

// Owner serves reservations of the engines that this node owns to this node and to others.
type Owner struct {
	*Queues
	config *configuration.Manager
}

// New returns an Owner and registers its message handlers.
func New(network *transport.Transport, members *membership.Manager, config *configuration.Manager, logger *events.Logger) *Owner {
	owner := &Owner{config: config}
	owner.Queues = NewQueues(QueuesOptions{
		Clock:       clock.Real{},
		FindEngine:  owner.find,
		GatewayLost: func(gateway string) bool { return isGatewayLost(members.View(), gateway) },
		Logger:      logger,
	})
	transport.Handle(network, reserveKind, func(ctx context.Context, _ transport.Peer, request ReserveRequest) (ReserveResponse, error) {
		return owner.Reserve(ctx, request)
	})
	transport.HandleOneWay(network, releaseKind, func(_ transport.Peer, request ReleaseRequest) { owner.Release(request) })
	config.Subscribe(func(*configuration.Snapshot) { owner.Reconfigure() })
	return owner
}

func isGatewayLost(view *membership.View, gateway string) bool {
	member, known := view.Get(gateway)
	return known && !member.Usable()
}

// find looks an engine up in the current configuration.
func (o *Owner) find(name string) (resource.Engine, bool) {
	for _, item := range o.config.Current().Set.List() {
		if item.Pool == nil {
			continue
		}
		for _, engine := range item.Pool.Engines {
			if engine.Name == name {
				return engine, true
			}
		}
	}
	return resource.Engine{}, false
}

// Run calls Sweep periodically until the context ends.
func (o *Owner) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			o.Sweep()
		}
	}
}

// ReserveRemote sends a ReserveRequest to an owner.
func ReserveRemote(ctx context.Context, network *transport.Transport, to transport.Peer, request ReserveRequest) (ReserveResponse, error) {
	return transport.Call[ReserveResponse](ctx, network, to, reserveKind, request)
}

// ReleaseRemote sends a ReleaseRequest to an owner, without an acknowledgement. If the message is lost, the slot is
// freed when the reservation expires.
func ReleaseRemote(network *transport.Transport, to transport.Peer, request ReleaseRequest) {
	network.Send(to, releaseKind, request)
}
