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
	"github.com/mountstile/mountstile/internal/clock"
	"github.com/mountstile/mountstile/internal/dispatch"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/fatal"
	"github.com/mountstile/mountstile/internal/membudget"
	"github.com/mountstile/mountstile/internal/routing"
	"github.com/mountstile/mountstile/internal/transport"
	"github.com/mountstile/mountstile/internal/turnstore"
)

const (
	// connectionDivisor divides a service's connection limit among gateways: each uses its share as if there were
	// this many.
	connectionDivisor = 12
	// minConnections is the lower bound of a gateway's share of a connection limit.
	minConnections = 4
	// readinessPollInterval is how often a starting gateway checks whether it is ready.
	readinessPollInterval = 30 * time.Millisecond
	// adoptPatience is how long a starting gateway waits for what replicas, or other gateways, know of ends of engines, catchUpPatience how long
	// one does that was paused for pauseThreshold or longer.
	adoptPatience   = 500 * time.Millisecond
	catchUpPatience = 60 * time.Millisecond
	pauseThreshold  = 300 * time.Millisecond
	// headerTimeout and idleTimeout exceed the limits promised to callers, so that a caller's own
	// limits apply first.
	headerTimeout = 10 * time.Second
	idleTimeout   = 90 * time.Second
	// maxHeaderBytes bounds the head of a request before the configured limit is checked.
	maxHeaderBytes = 64 << 10
)

// NodeOptions configures a Node.
type NodeOptions struct {
	Zone           string
	CallerProtocol CallerProtocol
	Protocol       dispatch.Protocol
	Dial           func(ctx context.Context, address string) (net.Conn, error)
	CacheBytes     int64
	Source         catalog.Source
	// StaleAfter is the age at which the last contact with the store is considered stale.
	StaleAfter time.Duration
	// FirstStart is set only at the first start of the whole system.
	FirstStart bool
	// Seeds returns the addresses of the replicas to contact first.
	Seeds   func() []string
	Network *transport.Transport
	Logger  *events.Logger
	Metrics *Metrics
	// CatalogMetrics may be nil.
	CatalogMetrics *catalog.Metrics
	// Memory bounds what callers and engines make the gateway hold; nil for no bound.
	Memory *membudget.Budget
	// MaxConnections is the maximum number of callers' connections; 0 for no limit.
	MaxConnections int
}

// Node is a gateway: it gets routes, engines and replicas from the catalog and serves callers.
type Node struct {
	options  NodeOptions
	catalog  *catalog.Manager
	registry *dispatch.Registry
	turns    *turnstore.Client
	server   *Server
	table    atomic.Pointer[routing.Table]
	// routesInstalledAt is when the first routes were installed. routesWereReady stays true once
	// they were current.
	routesInstalledAt atomic.Pointer[time.Time]
	routesWereReady   atomic.Bool
	ready             atomic.Bool
	stopping          atomic.Bool
	// pauses detects pauses of the process. caughtUpAt is since when the gateway has heard of all ends of engines, guarded by catchUpMutex.
	pauses       *clock.PauseDetector
	catchUpMutex sync.Mutex
	caughtUpAt   time.Time
	// applyMutex is held while a configuration is installed, so that a concurrent older one can't replace it.
	applyMutex sync.Mutex
}

// NewNode returns a Node with an empty catalog.
func NewNode(options NodeOptions) *Node {
	registry := dispatch.NewRegistry(options.Zone, options.Dial, options.Logger)
	registry.SetMemory(options.Memory)
	dispatcher := dispatch.New(registry, options.Protocol, options.Logger)
	node := &Node{
		options:  options,
		registry: registry,
		pauses:   clock.NewPauseDetector(pauseThreshold), caughtUpAt: time.Now(),
		turns: turnstore.NewClient(turnstore.ClientOptions{Zone: options.Zone, CacheBytes: options.CacheBytes, Memory: options.Memory, Load: registry},
			options.Network, options.Logger),
	}
	node.catalog = catalog.NewManager(catalog.Options{
		Peers: node.peers, MinFreshPeers: node.turns.Copies, Self: catalog.Endpoint{Zone: options.Zone}, Source: options.Source, StaleAfter: options.StaleAfter, OnChange: node.apply,
		FirstStart: options.FirstStart, OnOutageEnd: registry.RecordOutage, Neighbours: options.Network.Neighbours, Metrics: options.CatalogMetrics,
		RunLives: func(content, name string) bool { return dispatcher.RunLives(fatal.Key(content), name) },
	}, options.Network, options.Logger)
	registry.ShareEnds(node.shareEnds)
	registry.ExchangeRuns(node.exchangeRuns)
	registry.VouchRuns(func(ctx context.Context, content fatal.Key, open []string) []string {
		return node.catalog.Unvouched(ctx, string(content), open)
	})
	registry.CatchUp(node.catchUp)
	node.server = New(Options{
		Table: node.table.Load, RoutesReady: node.routesReady, CallerProtocol: options.CallerProtocol, Registry: node.registry, Turns: node.turns,
		Dispatcher: dispatcher, Logger: options.Logger, Metrics: options.Metrics,
		CatalogAge: node.catalog.Age, CatalogInSyncSince: node.catalog.InSyncSince,
		Memory: options.Memory, MaxConnections: options.MaxConnections,
	})
	return node
}

// peers lists the replicas of this zone, then the others, then the seeds.
func (n *Node) peers() []transport.Peer {
	var local, remote []transport.Peer
	for _, member := range n.turns.ReplicaSet().All() {
		if member.Zone == n.options.Zone {
			local = append(local, member.Peer())
		} else {
			remote = append(remote, member.Peer())
		}
	}
	all := append(local, remote...)
	for _, seed := range n.options.Seeds() {
		all = append(all, transport.Peer{Address: seed})
	}
	return deduplicate(all)
}

// deduplicate keeps the first peer of each address.
func deduplicate(peers []transport.Peer) []transport.Peer {
	seen := make(map[string]bool, len(peers))
	var unique []transport.Peer
	for _, peer := range peers {
		if !seen[peer.Address] {
			seen[peer.Address] = true
			unique = append(unique, peer)
		}
	}
	return unique
}

// apply handles a changed catalog entry.
func (n *Node) apply(entry catalog.Entry) {
	kind, _ := catalog.SplitKey(entry.Key)
	switch kind {
	case catalog.EngineKind:
		n.registry.Apply(entry)
	case catalog.ReplicaSetKind:
		n.applySet(entry)
	case catalog.EngineEndKind:
		_, id := catalog.SplitKey(entry.Key)
		n.registry.ApplyEnd(id, catalog.EndedLife(entry))
	case catalog.FatalRequestKind:
		n.applyReport(entry)
	case catalog.ConfigurationKind:
		n.applyConfiguration(entry)
	}
}

func (n *Node) applySet(entry catalog.Entry) {
	if entry.Removed() {
		return
	}
	var set turnstore.ReplicaSet
	if err := json.Unmarshal(entry.Value, &set); err != nil {
		n.options.Logger.Emit(events.ConfigRejected, events.F("key", entry.Key), events.F("revision", entry.Revision), events.F("error", err))
		return
	}
	n.turns.ApplySet(set)
}

// applyReport records that an engine ended under a request at another gateway, or that this no longer counts.
func (n *Node) applyReport(entry catalog.Entry) {
	_, name := catalog.SplitKey(entry.Key)
	if entry.Removed() {
		n.registry.Ends().Withdraw(name)
		return
	}
	report, err := fatal.DecodeReport(name, entry.Value)
	if err != nil {
		n.options.Logger.Emit(events.ReportInvalid, events.F("error", err))
		return
	}
	n.registry.ApplyReport(report)
}

// shareEnds publishes news of ends of engines. Each replica of the first shard gets them, since all nodes follow these, directly or not, and those of
// the shards of their contents, which are asked before further runs.
func (n *Node) shareEnds(news dispatch.EndNews) {
	entries := n.encodeReports(news.Reports)
	if news.Engine != "" {
		entries = append(entries, n.catalog.EngineEnd(news.Engine, news.StartedMillis))
	}
	for _, name := range news.Withdrawn {
		entries = append(entries, catalog.Withdrawn(name))
	}
	replicas := n.endReplicas()
	for _, report := range news.Reports {
		replicas = append(replicas, n.peersOf(n.turns.ReplicaSetOf(string(report.Key())))...)
	}
	for _, name := range news.Withdrawn {
		replicas = append(replicas, n.peersOf(n.turns.ReplicaSetOf(string(fatal.KeyOfReport(name))))...)
	}
	go func() {
		if err := n.catalog.Publish(context.Background(), deduplicate(replicas), entries); err != nil {
			n.options.Logger.Emit(events.PublishFailed, events.F("entries", len(entries)), events.F("error", err))
		}
	}()
}

// exchangeRuns tells the replicas of a content's shard, or other gateways, of the runs of a request.
func (n *Node) exchangeRuns(ctx context.Context, news dispatch.RunNews) (open []string, heard bool) {
	replicas := n.peersOf(n.turns.ReplicaSetOf(string(news.Content)))
	evidence := catalog.Evidence{
		Content: string(news.Content), Entries: n.encodeReports(news.Reports), Begun: news.Begun, Finished: news.Finished, Completed: news.Completed,
	}
	if news.MayBeLate {
		n.catalog.Finish(replicas, evidence)
		return nil, true
	}
	known := n.catalog.Exchange(ctx, replicas, evidence)
	if known.Completed {
		n.registry.Ends().Sound(time.Now(), news.Content)
	}
	return known.Open, known.Heard
}

// catchUp hears of the ends of engines that other gateways told while this process was paused, if it was: calls that waited for it to go on come
// before that news.
func (n *Node) catchUp(ctx context.Context) {
	n.catchUpMutex.Lock()
	defer n.catchUpMutex.Unlock()
	if !n.pauses.PausedSince(n.caughtUpAt) {
		return
	}
	n.caughtUpAt = time.Now()
	n.catalog.AdoptReports(ctx, n.endReplicas(), catchUpPatience)
}

// endReplicas returns the replicas that are told of ends of engines.
func (n *Node) endReplicas() []transport.Peer { return n.peersOf(n.turns.ReplicaSet()) }

func (n *Node) peersOf(set turnstore.ReplicaSet) (peers []transport.Peer) {
	for _, member := range set.All() {
		peers = append(peers, member.Peer())
	}
	return peers
}

func (n *Node) encodeReports(reports []fatal.Report) (entries []catalog.Entry) {
	for _, report := range reports {
		encoded, err := report.Encode()
		if err != nil {
			n.options.Logger.Emit(events.ReportInvalid, events.F("error", err))
			continue
		}
		entries = append(entries, catalog.FatalRequest(report.Name(), encoded))
	}
	return entries
}

// applyConfiguration installs a configuration unless a newer one is installed.
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
	n.applyMutex.Lock()
	defer n.applyMutex.Unlock()
	if current := n.table.Load(); current != nil && current.Version() >= table.Version() {
		return
	}
	for _, service := range specification.Services {
		n.registry.SetConnectionLimit(service.Name, max(service.MaxConnections/connectionDivisor, minConnections))
	}
	if n.table.Swap(table) == nil {
		now := time.Now()
		n.routesInstalledAt.Store(&now)
	}
	n.options.Logger.Emit(events.RoutesInstalled, events.F("version", table.Version()), events.F("revision", entry.Revision),
		events.F("routes", len(specification.Routes)), events.F("store_age_millis", n.catalog.Age().Milliseconds()), events.F("delay_millis", entry.DelayMillis))
}

// Run keeps the catalog up to date until the context ends.
func (n *Node) Run(ctx context.Context) {
	go n.pauses.Run(ctx)
	go n.awaitReadiness(ctx)
	go n.turns.ProbeLostShards(ctx)
	go n.options.Network.RefreshRelays(ctx, n.peers)
	n.catalog.Run(ctx)
}

// awaitReadiness waits until the gateway can serve every kind of request.
func (n *Node) awaitReadiness(ctx context.Context) {
	ticker := time.NewTicker(readinessPollInterval)
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
	if !n.routesReady() || !n.registry.HasEngines() {
		return false
	}
	readyContext, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if !n.turns.Ready(readyContext) {
		return false
	}
	// Replicas that don't answer now are asked again when an engine ends under a request.
	n.catalog.AdoptReports(readyContext, n.endReplicas(), adoptPatience)
	return true
}

// Ready reports whether the gateway should get connections. Without contact with the replicas it
// can't serve turns, which other gateways may.
func (n *Node) Ready() bool { return n.ready.Load() && !n.stopping.Load() && n.turns.Reachable() }

// ServeReadiness handles the platform's readiness probe.
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
		Handler: n.server, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnContext: contextWithConnection, ConnState: n.server.connectionStateChanged,
	}
}

// Stop shuts the node down gracefully: it reports not ready at once, closes connections after their
// current response, and later stops accepting connections. Requests that are still running are
// abandoned shortly before the end of grace.
func (n *Node) Stop(server *http.Server, grace time.Duration) {
	n.stopping.Store(true)
	schedule := newDrain(time.Now(), grace)
	n.server.Drain(schedule)
	n.options.Logger.Emit(events.NodeStopping, events.F("active", n.server.Active()))
	time.Sleep(time.Until(schedule.closeAt))
	ctx, cancel := context.WithDeadline(context.Background(), schedule.abandonAt)
	defer cancel()
	err := server.Shutdown(ctx)
	n.options.Logger.Emit(events.NodeStopped, events.F("active", n.server.Active()), events.F("error", err))
}
