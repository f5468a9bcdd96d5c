// Package node assembles a node from its settings, runs it and stops it gracefully.
package node

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/mountstile/mountstile/internal/admin"
	"github.com/mountstile/mountstile/internal/clock"
	"github.com/mountstile/mountstile/internal/configstore/etcdgateway"
	"github.com/mountstile/mountstile/internal/configuration"
	"github.com/mountstile/mountstile/internal/control"
	"github.com/mountstile/mountstile/internal/coordinator"
	"github.com/mountstile/mountstile/internal/engine"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/gateway"
	"github.com/mountstile/mountstile/internal/keys"
	"github.com/mountstile/mountstile/internal/limit"
	"github.com/mountstile/mountstile/internal/machinelist"
	"github.com/mountstile/mountstile/internal/membership"
	"github.com/mountstile/mountstile/internal/modelload"
	"github.com/mountstile/mountstile/internal/policy"
	"github.com/mountstile/mountstile/internal/replica"
	"github.com/mountstile/mountstile/internal/scheduler"
	"github.com/mountstile/mountstile/internal/settings"
)

// Version is the version of Mountstile.
const Version = "0.1.0"

const (
	replicaIDFile     = "replica-id"
	runIDBytes        = 6
	folderMode        = 0o700
	fileMode          = 0o600
	readHeaderTimeout = 10 * time.Second
	pollInterval      = 20 * time.Millisecond
	leadershipTimeout = 5 * time.Second
	announceDelay     = 300 * time.Millisecond
	// pauseThreshold is far below the time after which other nodes take over from an unresponsive one.
	pauseThreshold = time.Second
)

// Node is a node of the cluster. Start runs it; Drain and Stop end it gracefully.
type Node struct {
	settings settings.Settings
	logger   *events.Logger
	plane    *control.Plane
	server   *coordinator.Server
	gateway  *gateway.Gateway
	models   *modelload.Manager
	pauses   *clock.PauseDetector
	admin    *admin.Server
	registry *prometheus.Registry

	apiServer      *http.Server
	adminServer    *http.Server
	listeners      listeners
	draining       atomic.Bool
	drainRequested chan struct{}
	tasks          sync.WaitGroup
	cancel         context.CancelFunc
}

type listeners struct {
	peer, api, admin net.Listener
}

// open opens the listeners and writes their actual addresses to config, where port 0 picked a free port.
func (l *listeners) open(config *settings.Settings) error {
	targets := []struct {
		listener *net.Listener
		setting  *settings.Listener
	}{{&l.peer, &config.Peer}, {&l.api, &config.API}, {&l.admin, &config.Admin}}
	for _, target := range targets {
		opened, err := net.Listen("tcp", target.setting.Listen)
		if err != nil {
			l.close()
			return errors.Wrap(err, "opening a listener")
		}
		*target.listener = opened
		target.setting.Listen = opened.Addr().String()
	}
	return nil
}

func (l *listeners) close() {
	for _, opened := range []net.Listener{l.peer, l.api, l.admin} {
		if opened != nil {
			_ = opened.Close()
		}
	}
}

// New opens the listeners and the storage and assembles a node. Start runs it.
func New(config settings.Settings, logger *events.Logger) (*Node, error) {
	node := &Node{settings: config, logger: logger, registry: prometheus.NewRegistry(), pauses: clock.NewPauseDetector(pauseThreshold), drainRequested: make(chan struct{})}
	if err := node.listeners.open(&node.settings); err != nil {
		return nil, err
	}
	if err := node.assemble(); err != nil {
		node.listeners.close()
		return nil, err
	}
	return node, nil
}

func (n *Node) assemble() error {
	policies, err := policy.NewCache()
	if err != nil {
		return err
	}
	options, err := n.controlOptions()
	if err != nil {
		return err
	}
	// NewMachine is not called before Start, so n.server is set by then.
	options.NewMachine = func(group uint32) replica.StateMachine { return n.server.NewMachine(group) }
	n.plane, err = control.New(options)
	if err != nil {
		return err
	}
	n.plane.Config.Subscribe(func(snapshot *configuration.Snapshot) { policies.Install(snapshot.Set) })
	policies.Install(n.plane.Config.Current().Set)
	engines := engine.NewOpenAI()
	n.models = modelload.NewManager(modelload.Options{
		Transport:         n.plane.Transport,
		Membership:        n.plane.Membership,
		Config:            n.plane.Config,
		Partitions:        n.plane.Partitions,
		Host:              n.plane.Host,
		Loader:            engines,
		Demand:            func() []modelload.PoolDemand { return n.server.ModelDemand() },
		ConfirmLeadership: func(ctx context.Context, id uint32) error { return n.server.ConfirmLeadership(ctx, id) },
		Logger:            n.logger,
	})
	n.server = coordinator.NewServer(coordinator.ServerOptions{
		Transport:  n.plane.Transport,
		Membership: n.plane.Membership,
		Config:     n.plane.Config,
		Host:       n.plane.Host,
		Scheduler:  scheduler.New(scheduler.Options{Zone: n.settings.Zone, Reserver: n.plane, Clock: clock.Real{}, Logger: n.logger}),
		Policies:   policies,
		Engines:    engines,
		Models:     n.models,
		Limits:     limit.NewLimiter(n.plane.Transport, n.plane.Membership, n.plane.Config),
		Release:    n.plane.Release,
		Logger:     n.logger,
	})
	n.assembleServers(options.Self.ID, engines)
	return nil
}

// assembleServers creates the HTTP servers for callers and for operators.
func (n *Node) assembleServers(id string, models engine.ModelEngine) {
	client := coordinator.NewClient(n.plane.Transport, n.plane.Membership, n.plane.Partitions)
	n.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}), newCollector(n.plane), n.plane.Transport.Traffic())
	n.gateway = gateway.New(gateway.Options{
		NodeID:       id,
		Config:       n.plane.Config,
		Coordinator:  client,
		Models:       models,
		Applications: engine.NewApplication(),
		Release:      n.plane.Release,
		Pauses:       n.pauses,
		AnswerRelay:  gateway.NewAnswerRelay(n.plane.Transport, n.plane.Membership),
		Executions:   coordinator.NewExecutions(n.plane.Transport),
		Ends:         gateway.NewEngineEnds(n.plane.Transport, n.plane.Membership, n.logger),
		Metrics:      gateway.NewMetrics(n.registry),
		Logger:       n.logger,
		MaxBodyBytes: n.settings.MaxBodyBytes,
	})
	n.admin = admin.New(admin.Options{
		Config:      n.plane.Config,
		Membership:  n.plane.Membership,
		Partitions:  n.plane.Partitions,
		Host:        n.plane.Host,
		Coordinator: client,
		Transport:   n.plane.Transport,
		Models:      n.models.View,
		Keys:        n.settings.AdminKeys,
		LocalStatus: n.Status,
		Drain:       n.requestDrain,
		Logger:      n.logger,
	})
	n.apiServer = &http.Server{Handler: n.gateway, ReadHeaderTimeout: readHeaderTimeout}
	n.adminServer = &http.Server{Handler: n.adminMux(), ReadHeaderTimeout: readHeaderTimeout}
}

func (n *Node) controlOptions() (control.Options, error) {
	config := n.settings
	options := control.Options{
		Cluster:      config.Cluster,
		Seeds:        config.Seeds,
		Routes:       config.Routes,
		Listener:     n.listeners.peer,
		Store:        etcdgateway.New(config.Store.Endpoint, seconds(config.Store.TimeoutSeconds)),
		Storage:      replica.MemoryStorage{},
		DataFolder:   config.DataFolder,
		Check:        policy.Check,
		InitialNodes: config.InitialNodes,
		Partitions:   config.Partitions,
		RepairDelay:  seconds(config.RepairSeconds),
		Membership:   membership.DefaultOptions(),
		Logger:       n.logger,
	}
	id, err := newRunID(config.Name)
	if err != nil {
		return options, err
	}
	replicaID := id
	if config.DataFolder != "" {
		if replicaID, err = loadReplicaID(config.DataFolder, id); err != nil {
			return options, err
		}
		if options.Storage, err = replica.OpenDiskStorage(config.DataFolder); err != nil {
			return options, err
		}
	}
	if err := n.configureTLS(&options); err != nil {
		return options, err
	}
	options.Self = membership.Member{
		StartedAt: time.Now().UnixMilli(),
		ID:        id,
		Name:      config.Name,
		ReplicaID: replicaID,
		Address:   config.Peer.Address(),
		API:       config.API.Address(),
		Admin:     config.Admin.Address(),
		Zone:      config.Zone,
		Region:    config.Region,
	}
	return options, nil
}

func (n *Node) configureTLS(options *control.Options) error {
	files := n.settings.TLS
	if files.Insecure {
		n.logger.Emit(events.PlainTransport)
		return nil
	}
	source, err := keys.NewSource(keys.Files{Authority: files.Authority, Certificate: files.Certificate, Key: files.Key}, n.settings.Cluster)
	if err != nil {
		return err
	}
	options.ServerTLS, options.ClientTLS = source.ServerConfig(), source.ClientConfig()
	return nil
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }

// newRunID returns a unique ID for one run of the process.
func newRunID(name string) (string, error) {
	random := make([]byte, runIDBytes)
	if _, err := rand.Read(random); err != nil {
		return "", errors.Wrap(err, "generating a run ID")
	}
	return name + "-" + hex.EncodeToString(random), nil
}

// loadReplicaID returns the replica ID stored in a data folder. In a folder without one, it stores newID and
// returns it.
func loadReplicaID(folder, newID string) (string, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return "", errors.Wrap(err, "creating the data folder")
	}
	path := filepath.Join(folder, replicaIDFile)
	content, err := os.ReadFile(path)
	if err == nil {
		return strings.TrimSpace(string(content)), nil
	}
	if !errors.Is(err, os.ErrNotExist) {
		return "", errors.Wrap(err, "reading the replica ID")
	}
	return newID, errors.Wrap(os.WriteFile(path, []byte(newID+"\n"), fileMode), "writing the replica ID")
}

// Settings returns the settings with the actual addresses of the listeners.
func (n *Node) Settings() settings.Settings { return n.settings }

// Plane returns the node's control plane.
func (n *Node) Plane() *control.Plane { return n.plane }

// Status returns the node's status for the administration API.
func (n *Node) Status() admin.NodeStatus {
	self := n.plane.Membership.View().Self
	status := admin.NodeStatus{
		ID:       self.ID,
		Name:     self.Name,
		Zone:     self.Zone,
		Region:   self.Region,
		Version:  Version,
		Revision: n.plane.Config.Current().Revision(),
		Ready:    n.Ready(),
		Active:   n.gateway.Active(),
	}
	for _, group := range n.plane.Host.Statuses() {
		status.Replicas++
		if group.IsLeader {
			status.Leads++
			if !n.plane.Partitions.FullyReplicated(group) {
				status.Unrepaired++
			}
		}
	}
	status.Programs = n.server.Programs()
	return status
}

// Ready reports whether the node can serve callers: the control plane is ready and the node is not draining.
func (n *Node) Ready() bool { return !n.draining.Load() && n.plane.Ready() }

func (n *Node) adminMux() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(admin.Prefix+"/", n.admin)
	mux.Handle("GET /metrics", promhttp.HandlerFor(n.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !n.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// Start starts the node's tasks and returns. They run until Stop or Kill.
func (n *Node) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.logger.Emit(events.NodeStarting, events.F("version", Version), events.F("peer", n.settings.Peer.Address()),
		events.F("api", n.settings.API.Address()), events.F("admin", n.settings.Admin.Address()))
	n.plane.Start()
	n.tasks.Go(func() { n.server.Run(ctx) })
	n.tasks.Go(func() { n.pauses.Run(ctx) })
	n.tasks.Go(func() { n.models.Run(ctx) })
	n.tasks.Go(func() { n.serve(n.apiServer, n.listeners.api) })
	n.tasks.Go(func() { n.serve(n.adminServer, n.listeners.admin) })
	n.tasks.Go(func() { n.logReady(ctx) })
	if n.settings.Machines.Endpoint != "" {
		n.tasks.Go(func() { n.watchMachines(ctx) })
	}
}

// watchMachines begins a planned stop when the platform's machine list says that this machine is leaving.
func (n *Node) watchMachines(ctx context.Context) {
	leaving := func() {
		n.logger.Emit(events.MachineLeaving)
		n.requestDrain()
	}
	failed := func(err error) { n.logger.Emit(events.MachineListFailed, events.F("error", err)) }
	machinelist.Watch(ctx, machinelist.NewClient(n.settings.Machines.Endpoint), n.settings.Machines.Machine, leaving, failed)
}

func (n *Node) serve(server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
		n.logger.Emit(events.ListenerFailed, events.F("error", err))
	}
}

func (n *Node) logReady(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !n.Ready() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
	n.logger.Emit(events.NodeReady, events.F("revision", n.plane.Config.Current().Revision()))
}

// DrainRequested returns a channel that is closed when an operator or the machine list requests a planned stop.
func (n *Node) DrainRequested() <-chan struct{} { return n.drainRequested }

func (n *Node) requestDrain() {
	if n.draining.CompareAndSwap(false, true) {
		close(n.drainRequested)
	}
}

// Drain prepares a planned stop: it announces that the node is leaving, transfers leadership, refuses new requests
// and waits for those in progress. It returns early if ctx is done.
func (n *Node) Drain(ctx context.Context) {
	n.draining.Store(true)
	n.logger.Emit(events.NodeStopping)
	n.plane.Membership.Announce(membership.Leaving)
	leadership, cancel := context.WithTimeout(ctx, leadershipTimeout)
	defer cancel()
	n.plane.Partitions.TransferLeadership(leadership)
	n.gateway.Stop()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for n.gateway.Active() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Stop announces that the node has left and ends it. Requests in progress are cut off; call Drain first.
func (n *Node) Stop() error {
	n.plane.Membership.Announce(membership.Left)
	// The announcement is sent in the background; give it time to go out.
	timer := time.NewTimer(announceDelay)
	<-timer.C
	return n.Kill()
}

// Kill ends the node at once, without an announcement.
func (n *Node) Kill() error {
	_ = n.apiServer.Close()
	_ = n.adminServer.Close()
	n.cancel()
	err := n.plane.Stop()
	n.tasks.Wait()
	n.logger.Emit(events.NodeStopped)
	return err
}
