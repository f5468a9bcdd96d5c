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
	// reservationGrace is how long a reservation outlives its call's deadline.
	reservationGrace = 5 * time.Second
	minRetryAfter    = 100 * time.Millisecond
)

// ReserveRequest asks for a place on an engine.
type ReserveRequest struct {
	// Ticket identifies the request, so that it can be withdrawn; 0 means that it never is.
	Ticket  uint64  `json:"ticket,omitempty"`
	Engine  string  `json:"engine"`
	CallID  string  `json:"call"`
	Tenant  string  `json:"tenant"`
	Weight  float64 `json:"weight"`
	Gateway string  `json:"gateway"`
	Rank    float64 `json:"rank"`
	// WaitMillis is how long the call may stand in line; 0 means that it may not.
	WaitMillis int64 `json:"wait_ms,omitempty"`
	// CallMillis is how long the call may run.
	CallMillis int64 `json:"call_ms"`
}

func (r ReserveRequest) expiry() time.Duration {
	return time.Duration(r.CallMillis)*time.Millisecond + reservationGrace
}

// ReserveResponse tells whether the place was granted, and the load of all engines of the owner.
type ReserveResponse struct {
	Granted bool `json:"granted"`
	// Queued tells that the call stood in line.
	Queued bool `json:"queued,omitempty"`
	// Overloaded means that the line is so long that waiting would be in vain.
	Overloaded bool   `json:"overloaded,omitempty"`
	RetryAfter int64  `json:"retry_after_ms,omitempty"`
	Loads      []Load `json:"loads"`
}

// ReleaseRequest gives a place back.
type ReleaseRequest struct {
	Engine string `json:"engine"`
	CallID string `json:"call"`
	// Ticket withdraws one request for a place, wherever it is: on its way, in line or granted. Other
	// requests of the same call stand.
	Ticket uint64 `json:"ticket,omitempty"`
	// Unused tells that the call never went to the engine.
	Unused bool `json:"unused,omitempty"`
	// Failed tells that the engine did not do its work.
	Failed bool `json:"failed,omitempty"`
	// StepMicros is how long the engine took from one token to the next; 0 if unknown.
	StepMicros int64 `json:"step_us,omitempty"`
}

// Owner answers other nodes about the engines that this node owns.
type Owner struct {
	*Queues
	config *configuration.Manager
}

// New returns an Owner and registers its messages.
func New(network *transport.Transport, members *membership.Manager, config *configuration.Manager, logger *events.Logger) *Owner {
	owner := &Owner{config: config}
	owner.Queues = NewQueues(QueuesOptions{
		Clock:       clock.Real{},
		FindEngine:  owner.find,
		GatewayLost: func(gateway string) bool { return isGone(members.View(), gateway) },
		Logger:      logger,
	})
	transport.Handle(network, reserveKind, func(ctx context.Context, _ transport.Peer, request ReserveRequest) (ReserveResponse, error) {
		return owner.Reserve(ctx, request)
	})
	transport.HandleOneWay(network, releaseKind, func(_ transport.Peer, request ReleaseRequest) { owner.Release(request) })
	config.Subscribe(func(*configuration.Snapshot) { owner.Reconfigure() })
	return owner
}

func isGone(view *membership.View, gateway string) bool {
	member, known := view.Get(gateway)
	return known && !member.Usable()
}

// find looks an engine up in the configuration in force.
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

// Run frees the places of gateways that died and of calls past their time, until the context ends.
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

// ReserveRemote reserves at the owner on another node.
func ReserveRemote(ctx context.Context, network *transport.Transport, address string, request ReserveRequest) (ReserveResponse, error) {
	return transport.Call[ReserveResponse](ctx, network, address, reserveKind, request)
}

// ReleaseRemote releases at the owner on another node. A lost message is made good by the reservation's
// expiry.
func ReleaseRemote(network *transport.Transport, address string, request ReleaseRequest) {
	network.Send(address, releaseKind, request)
}
