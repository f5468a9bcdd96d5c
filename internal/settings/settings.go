// Package settings reads and validates a node's settings file. Unknown fields and values out of range are errors, which
// name the file, the field and, for decoding errors, the line. docs/CONFIGURATION.md lists all fields.
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

// Listener is the listen address of one of a node's servers and the address that it advertises to others.
type Listener struct {
	Listen string `yaml:"listen"`
	// Advertise is the address that others dial; empty means Listen.
	Advertise string `yaml:"advertise"`
}

// Address returns the address that others dial.
func (l Listener) Address() string {
	if l.Advertise != "" {
		return l.Advertise
	}
	return l.Listen
}

// TLS holds the paths of the files for mutual TLS between nodes.
type TLS struct {
	Authority   string `yaml:"authority"`
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
	// Insecure permits plain TCP between nodes. It can't be set together with the files.
	Insecure bool `yaml:"insecure"`
}

// Store configures the connection to the platform's key-value store.
type Store struct {
	Endpoint       string  `yaml:"endpoint"`
	TimeoutSeconds float64 `yaml:"timeoutSeconds"`
}

// Machines configures the platform's list of live and leaving machines. It isn't read if Endpoint is empty.
type Machines struct {
	Endpoint string `yaml:"endpoint"`
	// Machine is the name of this node's machine in the list.
	Machine string `yaml:"machine"`
}

// Settings holds the settings of one node.
type Settings struct {
	Name    string   `yaml:"name"`
	Cluster string   `yaml:"cluster"`
	Zone    string   `yaml:"zone"`
	Region  string   `yaml:"region"`
	Peer    Listener `yaml:"peer"`
	API     Listener `yaml:"api"`
	Admin   Listener `yaml:"admin"`
	// Seeds lists peer addresses of nodes through which this one joins the cluster.
	Seeds []string `yaml:"seeds"`
	// Routes maps advertised addresses of other nodes to the addresses that this node dials instead.
	Routes map[string]string `yaml:"routes"`
	Store  Store             `yaml:"store"`
	// Machines makes the node begin a planned stop when its machine is listed as leaving.
	Machines Machines `yaml:"machines"`
	TLS      TLS      `yaml:"tls"`
	// DataFolder is where program state and configuration are persisted; empty means that they are held in memory only.
	DataFolder string `yaml:"dataFolder"`
	// AdminKeys holds the API keys of the platform's administrators and readers.
	AdminKeys []resource.APIKey `yaml:"adminKeys"`
	// InitialNodes is the number of nodes that must have joined before a region's programs are first placed.
	InitialNodes int `yaml:"initialNodes"`
	// Partitions is the number of partitions of a new region.
	Partitions int `yaml:"partitions"`
	// RepairSeconds is how long a node must have been dead before its replicas are replaced.
	RepairSeconds float64 `yaml:"repairSeconds"`
	// MaxBodyBytes bounds the bodies of callers' requests.
	MaxBodyBytes int64 `yaml:"maxBodyBytes"`
	// DrainSeconds is how long a planned stop waits for running requests.
	DrainSeconds float64 `yaml:"drainSeconds"`
	LogLevel     string  `yaml:"logLevel"`
}

// Default returns the settings that apply where a file sets no value.
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

// Error is an error in a settings file. Line is 0 if it is unknown.
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

// Load reads a file and validates its settings; see Parse.
func Load(path string) (Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "reading the settings file")
	}
	return Parse(path, content)
}

// Parse decodes settings over the defaults and validates them. Errors are of type *Error.
func Parse(path string, content []byte) (Settings, error) {
	parsed, err := Decode(path, content)
	if err != nil {
		return parsed, err
	}
	return parsed, parsed.Check(path)
}

// Decode decodes settings over the defaults without validating values. Errors are of type *Error.
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
	converted := &Error{File: path, Field: "syntax", Reason: err.Error()}
	var yamlError yaml.Error
	if errors.As(err, &yamlError) {
		converted.Reason = yamlError.GetMessage()
		if token := yamlError.GetToken(); token != nil {
			converted.Line = token.Position.Line
			converted.Field = token.Value
		}
	}
	return converted
}

// Check validates the values and returns the first error found, an *Error. The path is only used in errors.
func (s Settings) Check(path string) error {
	invalid := func(field, format string, args ...any) error {
		return &Error{File: path, Field: field, Reason: fmt.Sprintf(format, args...)}
	}
	switch {
	case s.Name == "" || strings.ContainsAny(s.Name, " /\x00"):
		return invalid("name", "is required and must not contain spaces or slashes")
	case s.Cluster == "":
		return invalid("cluster", "is required")
	case s.Zone == "" || s.Region == "":
		return invalid("zone", "zone and region are required")
	case s.InitialNodes < 1:
		return invalid("initialNodes", "must be 1 or more")
	case s.Partitions < 1 || s.Partitions > 1<<16-1:
		return invalid("partitions", "must be from 1 to 65535")
	case s.RepairSeconds <= 0 || s.DrainSeconds <= 0 || s.Store.TimeoutSeconds <= 0:
		return invalid("repairSeconds", "repairSeconds, drainSeconds and store.timeoutSeconds must be above 0")
	case s.MaxBodyBytes < 1<<10:
		return invalid("maxBodyBytes", "must be 1024 or more")
	}
	listeners := []struct {
		field    string
		listener Listener
	}{{"peer", s.Peer}, {"api", s.API}, {"admin", s.Admin}}
	for _, item := range listeners {
		if _, _, err := net.SplitHostPort(item.listener.Listen); err != nil {
			return invalid(item.field+".listen", "%s", err)
		}
	}
	for index, seed := range s.Seeds {
		if _, _, err := net.SplitHostPort(seed); err != nil {
			return invalid(fmt.Sprintf("seeds[%d]", index), "%s", err)
		}
	}
	if endpoint, err := url.Parse(s.Store.Endpoint); err != nil || endpoint.Host == "" {
		return invalid("store.endpoint", "%q is not an absolute URL", s.Store.Endpoint)
	}
	if (s.Machines.Endpoint == "") != (s.Machines.Machine == "") {
		return invalid("machines", "endpoint and machine must be set together")
	}
	if _, err := logrus.ParseLevel(s.LogLevel); err != nil {
		return invalid("logLevel", "%s", err)
	}
	return s.checkTLS(invalid)
}

func (s Settings) checkTLS(invalid func(string, string, ...any) error) error {
	files := []string{s.TLS.Authority, s.TLS.Certificate, s.TLS.Key}
	count := 0
	for _, file := range files {
		if file != "" {
			count++
		}
	}
	switch {
	case count == 0 && !s.TLS.Insecure:
		return invalid("tls", "set authority, certificate and key, or insecure: true to permit plain TCP between nodes")
	case count > 0 && s.TLS.Insecure:
		return invalid("tls.insecure", "must not be set together with certificate files")
	case count > 0 && count < len(files):
		return invalid("tls", "authority, certificate and key must be set together")
	}
	return nil
}
