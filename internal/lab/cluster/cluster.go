// Package cluster runs a configuration store, emulated engines, a tool server and nodes in one
// process, connected over loopback.
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
	listenAddress = "127.0.0.1:0"
	pollInterval  = 20 * time.Millisecond
	// DemoSecret is the secret part of the API keys in the example configurations.
	DemoSecret = "demo-only-secret"
	// AdminKey is the API key of the platform administrator.
	AdminKey = "platform.lab." + DemoSecret
)

// Options configures a cluster.
type Options struct {
	// Nodes is the number of nodes. They are assigned to Zones round-robin.
	Nodes  int
	Zones  []string
	Region string
	// Files are resource files. Their engines are emulated, at addresses that replace those in the files.
	Files []string
	// Resources are published in addition to those in Files.
	Resources []resource.Resource
	// Engine configures each emulated model engine.
	Engine     emulator.Config
	Partitions int
	// LogOutput receives the nodes' logs; nil discards them.
	LogOutput io.Writer
	LogLevel  logrus.Level
}

// Cluster is a cluster whose nodes, engines and other services run in this process.
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

// ErrNotReady reports nodes that were not ready before the context ended.
type ErrNotReady struct{ Nodes []string }

// Error implements error.
func (e *ErrNotReady) Error() string { return "nodes not ready: " + strings.Join(e.Nodes, ", ") }

// Start starts a cluster, publishes its resources and waits until it is ready. The caller must call
// Stop on the returned cluster even if there is an error.
func Start(ctx context.Context, options Options) (*Cluster, error) {
	runContext, cancel := context.WithCancel(context.Background())
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
	if err := cluster.startEngines(runContext); err != nil {
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

// serve starts an HTTP server on a free loopback port and returns its URL.
func (c *Cluster) serve(handler http.Handler) (string, error) {
	address, _, err := c.serveUntil(handler)
	return address, err
}

// serveUntil is like serve, and also returns a function that closes the listener and all connections.
func (c *Cluster) serveUntil(handler http.Handler) (address string, end func(), err error) {
	listener, err := net.Listen("tcp", listenAddress)
	if err != nil {
		return "", nil, errors.Wrap(err, "listening")
	}
	server := &http.Server{Handler: handler, ErrorLog: discardLogger()}
	c.servers = append(c.servers, server)
	c.tasks.Go(func() { _ = server.Serve(listener) })
	return "http://" + listener.Addr().String(), func() { _ = server.Close() }, nil
}

// startEngines loads the resources and starts an emulator for each engine of their pools.
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
	if application {
		created := &emulator.Application{}
		c.Applications[target.Name] = created
		address, err := c.serve(created)
		target.URL = address
		return err
	}
	created := emulator.NewServer(c.options.Engine)
	c.Engines[target.Name] = created
	c.tasks.Go(func() { created.Run(ctx) })
	address, end, err := c.serveUntil(created)
	created.OnCrash(end)
	target.URL = address
	return err
}

// AddNode starts a node, with the running nodes as its seeds.
func (c *Cluster) AddNode(name, zone string) (*node.Node, error) {
	config := settings.Default()
	config.Name, config.Zone, config.Region = name, zone, c.options.Region
	config.Peer.Listen, config.API.Listen, config.Admin.Listen = listenAddress, listenAddress, listenAddress
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

// publish applies the resources and waits until all nodes use them.
func (c *Cluster) publish(ctx context.Context) error {
	if err := c.waitForPartitions(ctx); err != nil {
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

// waitForPartitions waits until each node has a partition table.
func (c *Cluster) waitForPartitions(ctx context.Context) error {
	return c.wait(ctx, func(running *node.Node) bool { return running.Plane().Partitions.Ready() })
}

// WaitReady waits until all nodes report that they are ready to serve calls.
func (c *Cluster) WaitReady(ctx context.Context) error {
	return c.wait(ctx, (*node.Node).Ready)
}

func (c *Cluster) wait(ctx context.Context, condition func(*node.Node) bool) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		var unready []string
		for _, running := range c.Nodes {
			if !condition(running) {
				unready = append(unready, running.Settings().Name)
			}
		}
		if len(unready) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return &ErrNotReady{Nodes: unready}
		case <-ticker.C:
		}
	}
}

// EngineURL returns the URL of an engine, or "" if there is no engine of that name.
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

// APIURLs returns the URLs of the nodes' public APIs.
func (c *Cluster) APIURLs() []string {
	var urls []string
	for _, running := range c.Nodes {
		urls = append(urls, "http://"+running.Settings().API.Listen)
	}
	return urls
}

// CacheStats sums the cache statistics of the engines whose names start with prefix.
func (c *Cluster) CacheStats(prefix string) emulator.CacheStats {
	var total emulator.CacheStats
	for name, engine := range c.Engines {
		if strings.HasPrefix(name, prefix) {
			total = total.Add(engine.Stats().Cache)
		}
	}
	return total
}

// Stop stops the nodes concurrently, then the servers and the engines.
func (c *Cluster) Stop() {
	var group sync.WaitGroup
	for _, running := range c.Nodes {
		group.Go(func() { _ = running.Stop() })
	}
	group.Wait()
	for _, server := range c.servers {
		_ = server.Close()
	}
	c.cancel()
	c.tasks.Wait()
}

// Kill stops a node without a graceful shutdown, like a crash, and removes it from Nodes.
func (c *Cluster) Kill(index int) error {
	killed := c.Nodes[index]
	c.Nodes = append(append([]*node.Node(nil), c.Nodes[:index]...), c.Nodes[index+1:]...)
	if index == 0 && len(c.Nodes) > 0 {
		c.Admin = adminclient.New("http://"+c.Nodes[0].Settings().Admin.Listen, AdminKey)
	}
	return killed.Kill()
}
