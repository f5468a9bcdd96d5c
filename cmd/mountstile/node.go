package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/node"
	"github.com/mountstile/mountstile/internal/policy"
	"github.com/mountstile/mountstile/internal/resource"
	"github.com/mountstile/mountstile/internal/settings"
)

type nodeCommand struct {
	Settings   string   `short:"f" long:"settings" value-name:"FILE" description:"settings file; flags override it"`
	Name       string   `long:"name" description:"name of this node"`
	Zone       string   `long:"zone" description:"zone of this node"`
	Region     string   `long:"region" description:"region of this node"`
	Peer       string   `long:"peer" value-name:"HOST:PORT" description:"where to listen for other nodes"`
	API        string   `long:"api" value-name:"HOST:PORT" description:"where to listen for callers"`
	Admin      string   `long:"admin" value-name:"HOST:PORT" description:"where to listen for operators"`
	Seeds      []string `long:"seed" value-name:"HOST:PORT" description:"peer address of a node to join through; may be repeated"`
	Store      string   `long:"store" value-name:"URL" description:"endpoint of the configuration store"`
	DataFolder string   `long:"data" value-name:"FOLDER" description:"folder for durable state; none means memory only"`
	Initial    int      `long:"initial-nodes" description:"nodes of the region that must be there before its partitions are placed"`
	Insecure   bool     `long:"insecure" description:"plain traffic between nodes, without certificates"`
	AdminKey   []string `long:"admin-key" value-name:"ID:SALT:HASH" description:"an administrator's hashed key, as 'mountstile key' prints it; may be repeated"`
}

// loadSettings reads the settings file, if there is one, and applies the flags, which override it.
func (c *nodeCommand) loadSettings() (settings.Settings, error) {
	path := c.Settings
	var content []byte
	if path != "" {
		var err error
		if content, err = os.ReadFile(path); err != nil {
			return settings.Settings{}, errors.Wrap(err, "reading the settings file")
		}
	}
	config, err := settings.Decode(path, content)
	if err != nil {
		return config, err
	}
	overrides := []struct {
		flag   string
		target *string
	}{
		{c.Name, &config.Name}, {c.Zone, &config.Zone}, {c.Region, &config.Region}, {c.Peer, &config.Peer.Listen},
		{c.API, &config.API.Listen}, {c.Admin, &config.Admin.Listen}, {c.Store, &config.Store.Endpoint}, {c.DataFolder, &config.DataFolder},
	}
	for _, override := range overrides {
		if override.flag != "" {
			*override.target = override.flag
		}
	}
	config.Seeds = append(config.Seeds, c.Seeds...)
	config.TLS.Insecure = config.TLS.Insecure || c.Insecure
	if c.Initial > 0 {
		config.InitialNodes = c.Initial
	}
	for _, text := range c.AdminKey {
		parts := bytes.SplitN([]byte(text), []byte(":"), 3)
		if len(parts) != 3 {
			return config, &settings.Error{File: "--admin-key", Field: "adminKeys", Reason: "is not ID:SALT:HASH"}
		}
		config.AdminKeys = append(config.AdminKeys, resource.APIKey{ID: string(parts[0]), Salt: string(parts[1]), Hash: string(parts[2]), Role: resource.RoleOperator})
	}
	return config, config.Check(path)
}

// Execute implements flags.Commander.
func (c *nodeCommand) Execute([]string) error {
	config, err := c.loadSettings()
	if err != nil {
		return err
	}
	level, err := logrus.ParseLevel(config.LogLevel)
	if err != nil {
		return errors.Wrap(err, "parsing the log level")
	}
	running, err := node.New(config, events.NewLogger(os.Stderr, level, config.Name))
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	running.Start()
	select {
	case <-signals:
	case <-running.DrainRequested():
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(config.DrainSeconds*float64(time.Second)))
	defer cancel()
	go func() {
		// A signal during the drain ends it early.
		<-signals
		cancel()
	}()
	running.Drain(ctx)
	return running.Stop()
}

type checkCommand struct {
	SettingsFiles []string `long:"settings" value-name:"FILE" description:"check this settings file; may be repeated"`
	Args          struct {
		Files []string `positional-arg-name:"FILE" description:"resource files"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	for _, path := range c.SettingsFiles {
		if _, err := settings.Load(path); err != nil {
			return err
		}
	}
	var all []resource.Resource
	for _, path := range c.Args.Files {
		resources, err := decodeFile(path)
		if err != nil {
			return err
		}
		all = append(all, resources...)
	}
	set, err := resource.NewSet(all)
	if err != nil {
		return err
	}
	if err := policy.Check(set); err != nil {
		return err
	}
	fmt.Printf("%d settings files and %d resources are valid\n", len(c.SettingsFiles), len(all))
	return nil
}

func decodeFile(path string) ([]resource.Resource, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "reading a resource file")
	}
	return resource.Decode(path, bytes.NewReader(content))
}
