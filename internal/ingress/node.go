package ingress

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mountstile/mountstile/internal/catalog"
	"github.com/mountstile/mountstile/internal/dispatch"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/routing"
	"github.com/mountstile/mountstile/internal/transport"
	"github.com/mountstile/mountstile/internal/turnstore"
)

const (
	// connectionShare is the part of an engine's connections that one gateway may open.
	connectionShare = 12
	// minimalConnections is what it may open in any case.
	minimalConnections = 4
	// readinessInterval is how often a gateway that is not ready yet looks again.
	readinessInterval = 30 * time.Millisecond
	// drainDelay is how long a stopping gateway takes new connections, until the platform has
	// noticed that it is not ready.
	drainDelay = 3200 * time.Millisecond
	// drainMargin is left of the time to stop when what still runs is given up.
	drainMargin = 700 * time.Millisecond
	// headerTimeout and idleTimeout are above what callers are promised, so that a caller's own
	// limits come first.
	headerTimeout = 10 * time.Second
	idleTimeout   = 90 * time.Second
	// maximalHeaderBytes bounds what is read before the configured limit is looked at.
	maximalHeaderBytes = 64 << 10
)

// NodeOptions configure a Node.
type NodeOptions struct {
	Zone       string
	Vocabulary Vocabulary
	Protocol   dispatch.Protocol
	Dial       func(ctx context.Context, address string) (net.Conn, error)
	CacheBytes int64
	Source     catalog.Source
	// StaleAfter is the age from which contact with the store does not count as fresh.
	StaleAfter time.Duration
	// FirstStart is true only at the very first start of the whole system.
	FirstStart bool
	// Seeds returns the addresses of replicas to begin with.
	Seeds   func() []string
	Network *transport.Transport
	Logger  *events.Logger
	Metrics *Metrics
}

// Node is a gateway: it learns routes, engines and replicas from the catalog, and serves callers.
type Node struct {
	options  NodeOptions
	catalog  *catalog.Manager
	registry *dispatch.Registry
	turns    *turnstore.Client
	server   *Server
	table    atomic.Pointer[routing.Table]
	// routedAt is when the first routes came; wasSettled stays true once they were up to date.
	routedAt   atomic.Pointer[time.Time]
	wasSettled atomic.Bool
	ready      atomic.Bool
	stopping   atomic.Bool
	applying   sync.Mutex
}

// NewNode returns a Node that knows nothing yet.
func NewNode(options NodeOptions) *Node {
	registry := dispatch.NewRegistry(options.Zone, options.Dial, options.Logger)
	node := &Node{
		options:  options,
		registry: registry,
		turns: turnstore.NewClient(turnstore.ClientOptions{Zone: options.Zone, CacheBytes: options.CacheBytes, Load: registry},
			options.Network, options.Logger),
	}
	node.catalog = catalog.NewManager(catalog.Options{
		Peers: node.peers, Need: node.turns.Copies, Self: catalog.Feed{Zone: options.Zone}, Source: options.Source, StaleAfter: options.StaleAfter, OnChange: node.apply,
		FirstStart: options.FirstStart, OnOutage: registry.NoteOutage,
	}, options.Network, options.Logger)
	node.server = New(Options{
		Table: node.table.Load, Settled: node.settled, Vocabulary: options.Vocabulary, Registry: node.registry, Turns: node.turns,
		Dispatcher: dispatch.New(node.registry, options.Protocol, options.Logger), Logger: options.Logger, Metrics: options.Metrics,
		CatalogAge: node.catalog.Age,
	})
	return node
}

// peers lists the replicas, those of this zone first, then the seeds.
func (n *Node) peers() []string {
	var near, far []string
	for _, member := range n.turns.ReplicaSet().All() {
		if member.Zone == n.options.Zone {
			near = append(near, member.Address)
		} else {
			far = append(far, member.Address)
		}
	}
	return unique(append(append(near, far...), n.options.Seeds()...))
}

func unique(addresses []string) []string {
	seen := make(map[string]bool, len(addresses))
	var kept []string
	for _, address := range addresses {
		if !seen[address] {
			seen[address] = true
			kept = append(kept, address)
		}
	}
	return kept
}

// apply takes a changed entry of the catalog.
func (n *Node) apply(entry catalog.Entry) {
	kind, _ := catalog.SplitKey(entry.Key)
	switch kind {
	case catalog.EngineKind:
		n.registry.Apply(entry)
	case catalog.ReplicaSetKind:
		var set turnstore.ReplicaSet
		if json.Unmarshal(entry.Value, &set) == nil {
			n.turns.ApplySet(set)
		}
	case catalog.ConfigurationKind:
		n.applyConfiguration(entry)
	}
}

// applyConfiguration puts a configuration in force unless a newer one is.
func (n *Node) applyConfiguration(entry catalog.Entry) {
	var specification routing.Specification
	if json.Unmarshal(entry.Value, &specification) != nil {
		return
	}
	table, err := routing.New(specification)
	if err != nil {
		n.options.Logger.Emit(events.ConfigRejected, events.F("revision", entry.Revision), events.F("error", err))
		return
	}
	n.applying.Lock()
	defer n.applying.Unlock()
	if current := n.table.Load(); current != nil && current.Version() >= table.Version() {
		return
	}
	for _, service := range specification.Services {
		n.registry.SetConnectionLimit(service.Name, max(service.MaxConnections/connectionShare, minimalConnections))
	}
	if n.table.Swap(table) == nil {
		now := time.Now()
		n.routedAt.Store(&now)
	}
	n.options.Logger.Emit(events.RoutesInstalled, events.F("version", table.Version()), events.F("revision", entry.Revision),
		events.F("routes", len(specification.Routes)), events.F("store_age_millis", n.catalog.Age().Milliseconds()))
}

// Run learns until the context ends.
func (n *Node) Run(ctx context.Context) {
	go n.becomeReady(ctx)
	go n.turns.ProbeLostShards(ctx)
	go n.options.Network.KeepRelays(ctx, n.peers)
	n.catalog.Run(ctx)
}

// becomeReady waits until the gateway can serve each kind of request.
func (n *Node) becomeReady(ctx context.Context) {
	ticker := time.NewTicker(readinessInterval)
	defer ticker.Stop()
	for !n.canServe(ctx) {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
	n.ready.Store(true)
	n.options.Logger.Emit(events.NodeReady, events.F("version", n.table.Load().Version()), events.F("epoch", n.turns.ReplicaSet().Epoch))
}

func (n *Node) canServe(ctx context.Context) bool {
	if !n.settled() || !n.registry.Any() {
		return false
	}
	askContext, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	return n.turns.Ready(askContext)
}

// Ready tells whether callers' connections should come here. A gateway that is cut off from the replicas can't
// serve turns, which others may.
func (n *Node) Ready() bool { return n.ready.Load() && !n.stopping.Load() && n.turns.Reachable() }

// ServeReadiness answers the platform's question whether this node is ready.
func (n *Node) ServeReadiness(writer http.ResponseWriter, _ *http.Request) {
	if !n.Ready() {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writer.WriteHeader(http.StatusOK)
}

// NewHTTPServer returns the server for callers' connections.
func (n *Node) NewHTTPServer() *http.Server {
	return &http.Server{
		Handler: n.server, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maximalHeaderBytes,
		ConnContext: withConnection,
	}
}

// Stop ends the node in order: it is not ready at once, answers are the last of their connections,
// and after a while no connections are taken. What still runs has until grace is over.
func (n *Node) Stop(server *http.Server, grace time.Duration) {
	n.stopping.Store(true)
	n.server.Drain()
	n.options.Logger.Emit(events.NodeStopping, events.F("active", n.server.Active()))
	startedAt := time.Now()
	time.Sleep(min(drainDelay, grace/2))
	ctx, cancel := context.WithDeadline(context.Background(), startedAt.Add(grace-drainMargin))
	defer cancel()
	err := server.Shutdown(ctx)
	n.options.Logger.Emit(events.NodeStopped, events.F("active", n.server.Active()), events.F("error", err))
}
