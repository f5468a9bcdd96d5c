// Package settings reads a node's settings file. It is strict: unknown fields and values out of
// range are refused with file, line and field. docs/CONFIGURATION.md lists each field.
package settings

import (
	"bytes"
	"fmt"
	"net"
	"net/url"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/sirupsen/logrus"

	"github.com/mountstile/mountstile/internal/resource"
)

// Listener is where a node listens, and where others reach that.
type Listener struct {
	Listen string `yaml:"listen"`
	// Advertise is what others dial; empty means Listen.
	Advertise string `yaml:"advertise"`
}

// Address returns what others dial.
func (l Listener) Address() string {
	if l.Advertise != "" {
		return l.Advertise
	}
	return l.Listen
}

// TLS names the files for mutual TLS between nodes.
type TLS struct {
	Authority   string `yaml:"authority"`
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
	// Insecure allows plain TCP between nodes.
	Insecure bool `yaml:"insecure"`
}

// Store is the platform's key-value service.
type Store struct {
	Endpoint       string  `yaml:"endpoint"`
	TimeoutSeconds float64 `yaml:"timeoutSeconds"`
}

// Machines is the platform's list of live and leaving machines; without an endpoint it is not read.
type Machines struct {
	Endpoint string `yaml:"endpoint"`
	// Machine is this node's machine in the list.
	Machine string `yaml:"machine"`
}

// Settings are one node's.
type Settings struct {
	Name    string   `yaml:"name"`
	Cluster string   `yaml:"cluster"`
	Zone    string   `yaml:"zone"`
	Region  string   `yaml:"region"`
	Peer    Listener `yaml:"peer"`
	API     Listener `yaml:"api"`
	Admin   Listener `yaml:"admin"`
	// Seeds are peer addresses through which the node joins.
	Seeds []string `yaml:"seeds"`
	// Routes replace addresses of other nodes before they are dialled, where this node reaches
	// them by another way than they advertise.
	Routes map[string]string `yaml:"routes"`
	Store  Store             `yaml:"store"`
	// Machines may make the node begin its own planned stop.
	Machines Machines `yaml:"machines"`
	TLS      TLS      `yaml:"tls"`
	// DataFolder keeps program state and configuration over restarts; empty means memory only.
	DataFolder string `yaml:"dataFolder"`
	// AdminKeys are the platform administrators' and readers'.
	AdminKeys []resource.APIKey `yaml:"adminKeys"`
	// InitialNodes must be there before a region's programs are placed for the first time.
	InitialNodes int `yaml:"initialNodes"`
	// Partitions is how many a new region gets.
	Partitions int `yaml:"partitions"`
	// RepairSeconds is how long a node must be dead before its replicas are replaced.
	RepairSeconds float64 `yaml:"repairSeconds"`
	// MaxBodyBytes bounds callers' requests.
	MaxBodyBytes int64 `yaml:"maxBodyBytes"`
	// DrainSeconds is how long a planned stop waits for requests under way.
	DrainSeconds float64 `yaml:"drainSeconds"`
	LogLevel     string  `yaml:"logLevel"`
}

// Default returns the settings of a field that is not set.
func Default() Settings {
	return Settings{
		Cluster:       "mountstile",
		Zone:          "zone-1",
		Region:        "region-1",
		Peer:          Listener{Listen: "127.0.0.1:7400"},
		API:           Listener{Listen: "127.0.0.1:7480"},
		Admin:         Listener{Listen: "127.0.0.1:7490"},
		Store:         Store{Endpoint: "http://127.0.0.1:2379", TimeoutSeconds: 3},
		InitialNodes:  1,
		Partitions:    12,
		RepairSeconds: 10,
		MaxBodyBytes:  8 << 20,
		DrainSeconds:  120,
		LogLevel:      "info",
	}
}

// Error is one thing wrong with a settings file.
type Error struct {
	File   string
	Line   int
	Field  string
	Reason string
}

// Error implements error.
func (e *Error) Error() string {
	if e.Line > 0 {
		return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Field, e.Reason)
	}
	return fmt.Sprintf("%s: %s: %s", e.File, e.Field, e.Reason)
}

// Load reads and checks a file.
func Load(path string) (Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "reading settings")
	}
	return Parse(path, content)
}

// Parse decodes and checks settings over the defaults. The error is an *Error.
func Parse(path string, content []byte) (Settings, error) {
	parsed, err := Decode(path, content)
	if err != nil {
		return parsed, err
	}
	return parsed, parsed.Check(path)
}

// Decode reads settings over the defaults without checking values.
func Decode(path string, content []byte) (Settings, error) {
	parsed := Default()
	if len(bytes.TrimSpace(content)) == 0 {
		return parsed, nil
	}
	decoder := yaml.NewDecoder(bytes.NewReader(content), yaml.DisallowUnknownField())
	if err := decoder.Decode(&parsed); err != nil {
		return parsed, decodeError(path, err)
	}
	return parsed, nil
}

func decodeError(path string, err error) *Error {
	result := &Error{File: path, Field: "syntax", Reason: err.Error()}
	var located yaml.Error
	if errors.As(err, &located) {
		result.Reason = located.GetMessage()
		if token := located.GetToken(); token != nil {
			result.Line = token.Position.Line
			result.Field = token.Value
		}
	}
	return result
}

// Check validates values; path is used in errors only.
func (s Settings) Check(path string) error {
	problem := func(field, format string, args ...any) error {
		return &Error{File: path, Field: field, Reason: fmt.Sprintf(format, args...)}
	}
	switch {
	case s.Name == "" || strings.ContainsAny(s.Name, " /\x00"):
		return problem("name", "is required and has no spaces or slashes")
	case s.Cluster == "":
		return problem("cluster", "is required")
	case s.Zone == "" || s.Region == "":
		return problem("zone", "zone and region are required")
	case s.InitialNodes < 1:
		return problem("initialNodes", "must be 1 or more")
	case s.Partitions < 1 || s.Partitions > 1<<16-1:
		return problem("partitions", "must be from 1 to 65535")
	case s.RepairSeconds <= 0 || s.DrainSeconds <= 0 || s.Store.TimeoutSeconds <= 0:
		return problem("repairSeconds", "repairSeconds, drainSeconds and store.timeoutSeconds must be above 0")
	case s.MaxBodyBytes < 1<<10:
		return problem("maxBodyBytes", "must be 1024 or more")
	}
	listeners := []struct {
		field    string
		listener Listener
	}{{"peer", s.Peer}, {"api", s.API}, {"admin", s.Admin}}
	for _, item := range listeners {
		if _, _, err := net.SplitHostPort(item.listener.Listen); err != nil {
			return problem(item.field+".listen", "%s", err)
		}
	}
	for index, seed := range s.Seeds {
		if _, _, err := net.SplitHostPort(seed); err != nil {
			return problem(fmt.Sprintf("seeds[%d]", index), "%s", err)
		}
	}
	if endpoint, err := url.Parse(s.Store.Endpoint); err != nil || endpoint.Host == "" {
		return problem("store.endpoint", "%q is not a URL", s.Store.Endpoint)
	}
	if (s.Machines.Endpoint == "") != (s.Machines.Machine == "") {
		return problem("machines", "endpoint and machine belong together")
	}
	if _, err := logrus.ParseLevel(s.LogLevel); err != nil {
		return problem("logLevel", "%s", err)
	}
	return s.checkTLS(problem)
}

func (s Settings) checkTLS(problem func(string, string, ...any) error) error {
	files := []string{s.TLS.Authority, s.TLS.Certificate, s.TLS.Key}
	set := 0
	for _, file := range files {
		if file != "" {
			set++
		}
	}
	switch {
	case set == 0 && !s.TLS.Insecure:
		return problem("tls", "name authority, certificate and key, or allow plain traffic between nodes with insecure: true")
	case set > 0 && s.TLS.Insecure:
		return problem("tls.insecure", "is set together with certificate files")
	case set > 0 && set < len(files):
		return problem("tls", "authority, certificate and key belong together")
	}
	return nil
}
