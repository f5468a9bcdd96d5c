// Package control assembles and runs the control plane of a node: transport, membership, configuration, partition placement,
// replicas and engine ownership.
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

// Options configures a Plane.
type Options struct {
	Cluster string
	Self    membership.Member
	// Seeds are the addresses of nodes to join the cluster through.
	Seeds []string
	// Listener accepts the connections of other nodes.
	Listener  net.Listener
	ServerTLS *tls.Config
	ClientTLS *tls.Config
	// Routes maps addresses of nodes to the addresses that are dialled instead.
	Routes map[string]string

	Store      configstore.Store
	Storage    replica.Storage
	DataFolder string
	// Check rejects configurations that can't be installed, such as a policy that does not compile.
	Check func(*resource.Set) error

	InitialNodes int
	Partitions   int
	RepairDelay  time.Duration
	Membership   membership.Options
	// NewMachine creates the state machine of a partition.
	NewMachine func(partition uint32) replica.StateMachine
	// EveryNodeReads makes each node watch the store, not only a few in each zone. It is for comparison in benchmarks.
	EveryNodeReads bool
	Logger         *events.Logger
}

// Plane is the control plane of a node.
type Plane struct {
	Transport  *transport.Transport
	Membership *membership.Manager
	Config     *configuration.Manager
	Host       *replica.Host
	Partitions *partition.Manager
	Owner      *owner.Owner

	options Options
	// identityConfirmed is set once awaitIdentity has found that no other live node has this node's replica ID.
	identityConfirmed atomic.Bool
	stop              context.CancelFunc
	done              chan struct{}
}

// New assembles a Plane. Further message handlers must be registered on its Transport before Start.
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
	plane.Membership.Subscribe(plane.handleMembershipChange)
	return plane, nil
}

// dial connects to a node, at the address from Routes if there is one.
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

// handleMembershipChange starts elections in the partitions that a failed or departed member led.
func (p *Plane) handleMembershipChange(change membership.Change) {
	if change.Member != nil && !change.Member.Usable() {
		p.Host.PeerDown(change.Member.ReplicaID)
	}
}

// Start starts the Plane, which runs until Stop. It returns at once.
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

// Ready reports whether the node has confirmed its replica identity, and has its configuration and its region's placement.
func (p *Plane) Ready() bool {
	return p.identityConfirmed.Load() && p.Config.Ready() && p.Partitions.Ready()
}

// Stop stops the Plane without draining, waits until it has ended, and closes the storage.
func (p *Plane) Stop() error {
	p.stop()
	<-p.done
	return errors.Wrap(p.options.Storage.Close(), "closing storage")
}

// maxOwners is the maximum number of nodes, including the owner, that are asked in turn for a slot on an engine.
const maxOwners = 3

// EngineOwners returns up to maxOwners nodes by their rank for an engine. The first is the owner, the others replace it if it can't
// be reached.
func (p *Plane) EngineOwners(engine resource.Engine) []membership.Member {
	owners := p.Membership.View().Owners("engine/"+engine.Name, engine.Zone, engine.Region)
	return owners[:min(maxOwners, len(owners))]
}

// Reserve implements scheduler.Reserver. If the owner has failed and this isn't known to membership yet, or has just started and has
// no configuration yet, the next node in rank reserves the slot. That node doesn't know the engine's exact load, so the engine may be
// briefly overloaded.
func (p *Plane) Reserve(ctx context.Context, engine resource.Engine, request owner.ReserveRequest) (owner.ReserveResponse, error) {
	request.Ticket = rand.Uint64()
	var failure error = apierr.New(apierr.PeerUnreachable, apierr.NotRun, "engine %s has no owner", engine.Name)
	for _, member := range p.EngineOwners(engine) {
		var response owner.ReserveResponse
		if member.ID == p.options.Self.ID {
			response, failure = p.Owner.Reserve(ctx, request)
		} else {
			response, failure = owner.ReserveRemote(ctx, p.Transport, member.Peer(), request)
		}
		if ctx.Err() != nil && !response.Granted {
			// The owner may have granted the slot already, or may still grant it.
			p.release(member, owner.ReleaseRequest{Engine: engine.Name, CallID: request.CallID, Ticket: request.Ticket})
			return response, failure
		}
		if !apierr.Is(failure, apierr.PeerUnreachable) && !apierr.Is(failure, apierr.NotFound) {
			response.Ticket = request.Ticket
			return response, failure
		}
	}
	return owner.ReserveResponse{}, failure
}

// Release frees a slot at all nodes that may have granted it. Nodes that have not granted it ignore the message.
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
	owner.ReleaseRemote(p.Transport, member.Peer(), request)
}
