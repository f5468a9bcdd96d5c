package experiment

import (
	"bytes"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"

	"github.com/mountstile/mountstile/internal/emulator"
)

// PolicyEntry is a policy to compare.
type PolicyEntry struct {
	Name   string `yaml:"name"`
	Filter string `yaml:"filter"`
	Score  string `yaml:"score"`
	Rank   string `yaml:"rank"`
	// Patience is an expression for a number of seconds; see resource.Policy.
	Patience string `yaml:"patience"`
	// Slots is the number of slots of each engine. With a large number, calls queue at the engines
	// instead of at the scheduler, as with an ordinary load balancer. 0 means the default.
	Slots int `yaml:"slots"`
}

// File is the configuration of an experiment.
type File struct {
	Name     string `yaml:"name"`
	Workload string `yaml:"workload"`
	Seed     uint64 `yaml:"seed"`
	Repeats  int    `yaml:"repeats"`
	Nodes    int    `yaml:"nodes"`
	Engines  int    `yaml:"engines"`
	Zones    int    `yaml:"zones"`
	// Seconds is the length of the window in which programs start.
	Seconds   float64 `yaml:"seconds"`
	TimeScale float64 `yaml:"timeScale"`
	// Fault, if set, is injected into one engine after the other, in virtual time only.
	Fault *Fault `yaml:"disturbance"`
	// Virtual overrides the size of a run in virtual time.
	Virtual *VirtualOverrides `yaml:"virtual"`
	// Loads are offered loads as fractions of the engines' capacity; see Demand.
	Loads    []float64       `yaml:"loads"`
	Engine   emulator.Config `yaml:"engine"`
	Policies []PolicyEntry   `yaml:"policies"`
}

// FaultKind is a kind of engine fault.
type FaultKind string

const (
	// Kill crashes the engine, with the loss of its cache and running requests.
	Kill FaultKind = "kill"
	// Hang stops the engine without closing its connections.
	Hang FaultKind = "hang"
	// Slow multiplies the duration of the engine's steps by Factor.
	Slow FaultKind = "slow"
)

// Fault is a recurring engine fault. Every IntervalSeconds, it affects the next engine in turn for
// DurationSeconds.
type Fault struct {
	Kind            FaultKind `yaml:"kind"`
	IntervalSeconds float64   `yaml:"everySeconds"`
	DurationSeconds float64   `yaml:"lastsSeconds"`
	Factor          float64   `yaml:"factor"`
}

func (f Fault) validate() string {
	switch {
	case f.Kind != Kill && f.Kind != Hang && f.Kind != Slow:
		return "disturbance.kind must be kill, hang or slow"
	case f.IntervalSeconds <= 0 || f.DurationSeconds <= 0:
		return "disturbance.everySeconds and lastsSeconds must be above 0"
	case f.Kind == Slow && f.Factor < 1:
		return "disturbance.factor must be 1 or more"
	}
	return ""
}

// VirtualOverrides replace fields of a File for a run in virtual time. Zero values keep the file's.
type VirtualOverrides struct {
	Repeats   int       `yaml:"repeats"`
	Seconds   float64   `yaml:"seconds"`
	TimeScale float64   `yaml:"timeScale"`
	Loads     []float64 `yaml:"loads"`
}

// InVirtualTime returns the experiment with its overrides for virtual time.
func (f File) InVirtualTime() File {
	if f.Virtual == nil {
		return f
	}
	if f.Virtual.Repeats > 0 {
		f.Repeats = f.Virtual.Repeats
	}
	if f.Virtual.Seconds > 0 {
		f.Seconds = f.Virtual.Seconds
	}
	if f.Virtual.TimeScale > 0 {
		f.TimeScale = f.Virtual.TimeScale
	}
	if len(f.Virtual.Loads) > 0 {
		f.Loads = f.Virtual.Loads
	}
	return f
}

// ErrFile reports an invalid experiment file.
type ErrFile struct {
	Path   string
	Reason string
}

// Error implements error.
func (e *ErrFile) Error() string { return e.Path + ": " + e.Reason }

// Load reads an experiment file. Unknown fields are an error.
func Load(path string) (File, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return File{}, errors.Wrap(err, "reading the experiment file")
	}
	file := File{Engine: emulator.DefaultConfig(), Seed: 1, Repeats: 2, Nodes: 3, Zones: 3, Engines: 10, Seconds: 10, TimeScale: 0.1, Loads: []float64{0.7}}
	if err := yaml.NewDecoder(bytes.NewReader(content), yaml.DisallowUnknownField()).Decode(&file); err != nil {
		return file, &ErrFile{Path: path, Reason: err.Error()}
	}
	switch {
	case file.Workload != "brindleway" && file.Workload != "mapishi":
		return file, &ErrFile{Path: path, Reason: "workload must be brindleway or mapishi"}
	case len(file.Policies) == 0:
		return file, &ErrFile{Path: path, Reason: "policies must not be empty"}
	}
	if file.Fault != nil {
		if reason := file.Fault.validate(); reason != "" {
			return file, &ErrFile{Path: path, Reason: reason}
		}
	}
	return file, nil
}
