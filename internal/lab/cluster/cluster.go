// Package cluster runs a whole system in one process, over loopback: the store, engines, tools and
// nodes. The demo, the experiments and many tests use it.
package cluster

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/mountstile/mountstile/internal/adminclient"
	"github.com/mountstile/mountstile/internal/emulator"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/node"
	"github.com/mountstile/mountstile/internal/resource"
	"github.com/mountstile/mountstile/internal/settings"
	"github.com/mountstile/mountstile/internal/standin/storeserver"
	"github.com/mountstile/mountstile/internal/standin/toolserver"
)

const (
	loopbackAny  = "127.0.0.1:0"
	pollInterval = 20 * time.Millisecond
	// DemoSecret belongs to the hashed keys of the examples.
	DemoSecret = "demo-only-secret"
	// AdminKey is the platform administrator's key of an in-process cluster.
	AdminKey = "platform.lab." + DemoSecret
)

// Options shape a cluster.
type Options struct {
	// Nodes run in zones of these names in turn.
	Nodes int
	Zones []string
	// Region of all nodes.
	Region string
	// Files are resource files; the engines in them are started and their addresses replaced.
	Files []string
	// Resources are added to those of the files.
	Resources  []resource.Resource
	Engine     emulator.Config
	Partitions int
	LogOutput  io.Writer
	LogLevel   logrus.Level
}

// Cluster is a running system.
type Cluster struct {
	Store        *storeserver.Server
	StoreURL     string
	Tools        *toolserver.Server
	ToolsURL     string
	Nodes        []*node.Node
	Engines      map[string]*emulator.Server
	Applications map[string]*emulator.Application
	Admin        *adminclient.Client

	options   Options
	resources []resource.Resource
	servers   []*http.Server
	cancel    context.CancelFunc
	tasks     sync.WaitGroup
}

// ErrNotReady means that nodes did not become ready in time.
type ErrNotReady struct{ Nodes []string }

// Error implements error.
func (e *ErrNotReady) Error() string { return "not ready in time: " + strings.Join(e.Nodes, ", ") }

// Start brings a cluster up and publishes its resources. Stop it in any case.
func Start(ctx context.Context, options Options) (*Cluster, error) {
	running, cancel := context.WithCancel(context.Background())
	cluster := &Cluster{
		Store:        storeserver.New(),
		Tools:        toolserver.New(),
		Engines:      make(map[string]*emulator.Server),
		Applications: make(map[string]*emulator.Application),
		options:      options,
		cancel:       cancel,
	}
	var err error
	if cluster.StoreURL, err = cluster.serve(cluster.Store); err != nil {
		return cluster, err
	}
	if cluster.ToolsURL, err = cluster.serve(cluster.Tools); err != nil {
		return cluster, err
	}
	if err := cluster.startEngines(running); err != nil {
		return cluster, err
	}
	for index := range options.Nodes {
		if _, err := cluster.AddNode(fmt.Sprintf("node-%d", index+1), options.Zones[index%len(options.Zones)]); err != nil {
			return cluster, err
		}
	}
	cluster.Admin = adminclient.New("http://"+cluster.Nodes[0].Settings().Admin.Listen, AdminKey)
	return cluster, cluster.publish(ctx)
}

// serve runs an http.Handler on a free loopback port.
func (c *Cluster) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", loopbackAny)
	if err != nil {
		return "", errors.Wrap(err, "listening")
	}
	server := &http.Server{Handler: handler, ErrorLog: discardLog()}
	c.servers = append(c.servers, server)
	c.tasks.Go(func() { _ = server.Serve(listener) })
	return "http://" + listener.Addr().String(), nil
}

// startEngines reads the resources and runs each pool's engines.
func (c *Cluster) startEngines(ctx context.Context) error {
	resources := append([]resource.Resource(nil), c.options.Resources...)
	for _, path := range c.options.Files {
		content, err := os.ReadFile(path)
		if err != nil {
			return errors.Wrap(err, "reading resources")
		}
		decoded, err := resource.Decode(path, bytes.NewReader(content))
		if err != nil {
			return err
		}
		resources = append(resources, decoded...)
	}
	applicationPools := make(map[string]bool)
	for _, item := range resources {
		if item.Service != nil && item.Service.Type == resource.ServiceApplication {
			applicationPools[item.Service.Pool] = true
		}
	}
	for _, item := range resources {
		if item.Pool == nil {
			continue
		}
		for index := range item.Pool.Engines {
			if err := c.startEngine(ctx, &item.Pool.Engines[index], applicationPools[item.Name]); err != nil {
				return err
			}
		}
	}
	c.resources = resources
	return nil
}

func (c *Cluster) startEngine(ctx context.Context, target *resource.Engine, application bool) error {
	var handler http.Handler
	if application {
		created := &emulator.Application{}
		c.Applications[target.Name] = created
		handler = created
	} else {
		created := emulator.NewServer(c.options.Engine)
		c.Engines[target.Name] = created
		c.tasks.Go(func() { created.Run(ctx) })
		handler = created
	}
	address, err := c.serve(handler)
	target.URL = address
	return err
}

// AddNode starts one more node.
func (c *Cluster) AddNode(name, zone string) (*node.Node, error) {
	config := settings.Default()
	config.Name, config.Zone, config.Region = name, zone, c.options.Region
	config.Peer.Listen, config.API.Listen, config.Admin.Listen = loopbackAny, loopbackAny, loopbackAny
	config.Store.Endpoint = c.StoreURL
	config.TLS.Insecure = true
	config.InitialNodes = c.options.Nodes
	config.Partitions = max(1, c.options.Partitions)
	config.AdminKeys = []resource.APIKey{resource.NewAPIKey("lab", DemoSecret, resource.RoleOperator)}
	for _, running := range c.Nodes {
		config.Seeds = append(config.Seeds, running.Settings().Peer.Listen)
	}
	output := c.options.LogOutput
	if output == nil {
		output = io.Discard
	}
	created, err := node.New(config, events.NewLogger(output, c.options.LogLevel, name))
	if err != nil {
		return nil, err
	}
	created.Start()
	c.Nodes = append(c.Nodes, created)
	return created, nil
}

// publish applies the resources and waits until they are in force.
func (c *Cluster) publish(ctx context.Context) error {
	if err := c.waitPlaced(ctx); err != nil {
		return err
	}
	if len(c.resources) == 0 {
		return nil
	}
	yaml, err := resource.Encode(c.resources)
	if err != nil {
		return err
	}
	result, err := c.Admin.Apply(ctx, yaml, adminclient.Change{})
	if err != nil {
		return err
	}
	if err := c.Admin.WaitInForce(ctx, result.Revision); err != nil {
		return err
	}
	return c.WaitReady(ctx)
}

// waitPlaced waits until the region has its partitions.
func (c *Cluster) waitPlaced(ctx context.Context) error {
	return c.wait(ctx, func(running *node.Node) bool { return running.Plane().Partitions.Ready() })
}

// WaitReady waits until all nodes serve callers.
func (c *Cluster) WaitReady(ctx context.Context) error {
	return c.wait(ctx, (*node.Node).Ready)
}

func (c *Cluster) wait(ctx context.Context, done func(*node.Node) bool) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		var waiting []string
		for _, running := range c.Nodes {
			if !done(running) {
				waiting = append(waiting, running.Settings().Name)
			}
		}
		if len(waiting) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return &ErrNotReady{Nodes: waiting}
		case <-ticker.C:
		}
	}
}

// EngineURL returns the address of a model engine.
func (c *Cluster) EngineURL(name string) string {
	for _, item := range c.resources {
		if item.Pool == nil {
			continue
		}
		for _, engine := range item.Pool.Engines {
			if engine.Name == name {
				return engine.URL
			}
		}
	}
	return ""
}

// APIURLs returns the callers' addresses of all nodes.
func (c *Cluster) APIURLs() []string {
	var addresses []string
	for _, running := range c.Nodes {
		addresses = append(addresses, "http://"+running.Settings().API.Listen)
	}
	return addresses
}

// CacheStats sums the accounting of the engines whose names have the prefix.
func (c *Cluster) CacheStats(prefix string) emulator.CacheStats {
	var total emulator.CacheStats
	for name, engine := range c.Engines {
		if strings.HasPrefix(name, prefix) {
			total = total.Add(engine.Stats().Cache)
		}
	}
	return total
}

// Stop ends everything at once.
func (c *Cluster) Stop() {
	var stops sync.WaitGroup
	for _, running := range c.Nodes {
		stops.Go(func() { _ = running.Stop() })
	}
	stops.Wait()
	for _, server := range c.servers {
		_ = server.Close()
	}
	c.cancel()
	c.tasks.Wait()
}

// Kill ends a node without any farewell, as a crash does.
func (c *Cluster) Kill(index int) error {
	killed := c.Nodes[index]
	c.Nodes = append(append([]*node.Node(nil), c.Nodes[:index]...), c.Nodes[index+1:]...)
	if index == 0 && len(c.Nodes) > 0 {
		c.Admin = adminclient.New("http://"+c.Nodes[0].Settings().Admin.Listen, AdminKey)
	}
	return killed.Kill()
}
