// Package control is the part of a node that works without callers: transport, membership,
// configuration, placement, replicas and engine ownership.
package control

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/configstore"
	"github.com/mountstile/mountstile/internal/configuration"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/membership"
	"github.com/mountstile/mountstile/internal/owner"
	"github.com/mountstile/mountstile/internal/partition"
	"github.com/mountstile/mountstile/internal/replica"
	"github.com/mountstile/mountstile/internal/resource"
	"github.com/mountstile/mountstile/internal/transport"
)

// Options configure a Plane.
type Options struct {
	Cluster string
	Self    membership.Member
	Seeds   []string
	// Listener accepts connections of other nodes.
	Listener  net.Listener
	ServerTLS *tls.Config
	ClientTLS *tls.Config
	// Routes replace addresses before they are dialled.
	Routes map[string]string

	Store      configstore.Store
	Storage    replica.Storage
	DataFolder string
	Check      func(*resource.Set) error

	InitialNodes int
	Partitions   int
	RepairDelay  time.Duration
	Membership   membership.Options
	// NewMachine makes the state machine of a partition.
	NewMachine func(partition uint32) replica.StateMachine
	// EveryNodeReads is the baseline in which each node watches the store.
	EveryNodeReads bool
	Logger         *events.Logger
}

// Plane is the running control part of a node.
type Plane struct {
	Transport  *transport.Transport
	Membership *membership.Manager
	Config     *configuration.Manager
	Host       *replica.Host
	Partitions *partition.Manager
	Owner      *owner.Owner

	options Options
	// identityHeld is set once no other live node claims this node's replica identity.
	identityHeld atomic.Bool
	stop         context.CancelFunc
	done         chan struct{}
}

// New assembles a Plane. Register further messages on its Transport before Start.
func New(options Options) (*Plane, error) {
	plane := &Plane{options: options, done: make(chan struct{})}
	plane.Transport = transport.New(transport.Options{
		Cluster:   options.Cluster,
		NodeID:    options.Self.ID,
		Address:   options.Self.Address,
		ServerTLS: options.ServerTLS,
		ClientTLS: options.ClientTLS,
		Logger:    options.Logger,
		Dial:      options.dial,
	})
	plane.Membership = membership.NewManager(options.Self, options.Seeds, options.Membership, plane.Transport, options.Logger)
	var err error
	plane.Config, err = configuration.NewManager(configuration.Options{
		Store:          options.Store,
		Membership:     plane.Membership,
		Transport:      plane.Transport,
		Logger:         options.Logger,
		DataFolder:     options.DataFolder,
		Check:          options.Check,
		EveryNodeReads: options.EveryNodeReads,
	})
	if err != nil {
		return nil, err
	}
	plane.Host = replica.NewHost(replica.Options{
		ReplicaID:      options.Self.ReplicaID,
		Transport:      plane.Transport,
		Storage:        options.Storage,
		Address:        plane.replicaAddress,
		NewMachine:     options.NewMachine,
		OnStatusChange: func(status replica.Status) { plane.Partitions.OnStatusChange(status) },
		Logger:         options.Logger,
	})
	plane.Partitions = partition.NewManager(partition.Options{
		Store:        options.Store,
		Membership:   plane.Membership,
		Host:         plane.Host,
		Logger:       options.Logger,
		InitialNodes: options.InitialNodes,
		Partitions:   options.Partitions,
		RepairDelay:  options.RepairDelay,
	})
	plane.Owner = owner.New(plane.Transport, plane.Membership, plane.Config, options.Logger)
	plane.Membership.Subscribe(plane.peerGone)
	return plane, nil
}

// dial follows the node's routes.
func (o Options) dial(ctx context.Context, address string) (net.Conn, error) {
	if route, replaced := o.Routes[address]; replaced {
		address = route
	}
	return (&net.Dialer{}).DialContext(ctx, "tcp", address)
}

func (p *Plane) replicaAddress(replicaID string) (string, bool) {
	member, known := p.Membership.View().ByReplicaID(replicaID)
	return member.Address, known && member.Usable()
}

// peerGone starts elections where a dead or departed member led.
func (p *Plane) peerGone(change membership.Change) {
	if change.Member != nil && !change.Member.Usable() {
		p.Host.PeerDown(change.Member.ReplicaID)
	}
}

// Start runs the Plane until Stop.
func (p *Plane) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	p.stop = cancel
	p.Transport.OnDisconnect(func(peer transport.Peer) {
		if member, known := p.Membership.View().ByAddress(peer.Address); known {
			p.Host.PeerDown(member.ReplicaID)
		}
	})
	var tasks sync.WaitGroup
	tasks.Go(func() {
		if err := p.Transport.Serve(p.options.Listener); err != nil {
			p.options.Logger.Emit(events.ListenerFailed, events.F("error", err))
		}
	})
	tasks.Go(func() { p.Membership.Run(ctx) })
	tasks.Go(func() { p.Config.Run(ctx) })
	tasks.Go(func() { p.Partitions.Run(ctx) })
	tasks.Go(func() { p.Owner.Run(ctx) })
	tasks.Go(func() {
		if !p.awaitIdentity(ctx) {
			return
		}
		if err := p.Host.Run(ctx); err != nil {
			p.options.Logger.Emit(events.StorageFailed, events.F("error", err))
		}
	})
	go func() {
		<-ctx.Done()
		p.Transport.Close()
		tasks.Wait()
		close(p.done)
	}()
}

// Ready reports whether the node has its configuration and its region's placement.
func (p *Plane) Ready() bool {
	return p.identityHeld.Load() && p.Config.Ready() && p.Partitions.Ready()
}

// Stop ends the Plane at once, and waits for it.
func (p *Plane) Stop() error {
	p.stop()
	<-p.done
	return errors.Wrap(p.options.Storage.Close(), "closing storage")
}

// ownersTried is how many nodes are asked for a place on an engine when the first can't be reached.
const ownersTried = 3

// EngineOwners ranks the nodes that may own an engine; the first does.
func (p *Plane) EngineOwners(engine resource.Engine) []membership.Member {
	owners := p.Membership.View().Owners("engine/"+engine.Name, engine.Zone, engine.Region)
	return owners[:min(ownersTried, len(owners))]
}

// Reserve implements scheduler.Reserver. Until the death of an owner is known, or while one that has just started has no
// configuration yet, the next in rank stands in: it does not know the engine's exact load, which may overload it for a moment.
func (p *Plane) Reserve(ctx context.Context, engine resource.Engine, request owner.ReserveRequest) (owner.ReserveResponse, error) {
	request.Ticket = rand.Uint64()
	var failure error = apierr.New(apierr.PeerUnreachable, apierr.NotRun, "engine %s has no owner", engine.Name)
	for _, member := range p.EngineOwners(engine) {
		var response owner.ReserveResponse
		if member.ID == p.options.Self.ID {
			response, failure = p.Owner.Reserve(ctx, request)
		} else {
			response, failure = owner.ReserveRemote(ctx, p.Transport, member.Address, request)
		}
		if ctx.Err() != nil && !response.Granted {
			// The owner may have granted the place meanwhile, or grant it later.
			p.release(member, owner.ReleaseRequest{Engine: engine.Name, CallID: request.CallID, Ticket: request.Ticket})
			return response, failure
		}
		if !apierr.Is(failure, apierr.PeerUnreachable) && !apierr.Is(failure, apierr.NotFound) {
			return response, failure
		}
	}
	return owner.ReserveResponse{}, failure
}

// Release gives a place back to whoever may have granted it; others ignore it.
func (p *Plane) Release(engine resource.Engine, request owner.ReleaseRequest) {
	for _, member := range p.EngineOwners(engine) {
		p.release(member, request)
	}
}

func (p *Plane) release(member membership.Member, request owner.ReleaseRequest) {
	if member.ID == p.options.Self.ID {
		p.Owner.Release(request)
		return
	}
	owner.ReleaseRemote(p.Transport, member.Address, request)
}
