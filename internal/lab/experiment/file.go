package experiment

import (
	"bytes"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"

	"github.com/mountstile/mountstile/internal/emulator"
)

// PolicyEntry is one policy under test.
type PolicyEntry struct {
	Name   string `yaml:"name"`
	Filter string `yaml:"filter"`
	Score  string `yaml:"score"`
	Rank   string `yaml:"rank"`
	// Patience is in seconds.
	Patience string `yaml:"patience"`
	// Slots of each engine; a large number leaves the waiting to the engines, as placement off the
	// shelf does.
	Slots int `yaml:"slots"`
}

// File is an experiment.
type File struct {
	Name     string `yaml:"name"`
	Workload string `yaml:"workload"`
	Seed     uint64 `yaml:"seed"`
	Repeats  int    `yaml:"repeats"`
	Nodes    int    `yaml:"nodes"`
	Engines  int    `yaml:"engines"`
	Zones    int    `yaml:"zones"`
	// Seconds is the span in which programs start.
	Seconds   float64 `yaml:"seconds"`
	TimeScale float64 `yaml:"timeScale"`
	// Fault, if set, strikes one engine after the other; only in virtual time.
	Fault *Fault `yaml:"disturbance"`
	// Virtual is what a run in virtual time does differently.
	Virtual *VirtualOverrides `yaml:"virtual"`
	// Loads are offered load as shares of the engines' capacity; Capacity explains the measure.
	Loads    []float64       `yaml:"loads"`
	Engine   emulator.Config `yaml:"engine"`
	Policies []PolicyEntry   `yaml:"policies"`
}

// FaultKind is what happens to an engine.
type FaultKind string

const (
	// Kill loses the engine with its cache and all that runs on it.
	Kill FaultKind = "kill"
	// Hang stops the engine; its connections stay open.
	Hang FaultKind = "hang"
	// Slow multiplies the time of its steps by Factor.
	Slow FaultKind = "slow"
)

// Fault strikes an engine every IntervalSeconds, the next one each time, for DurationSeconds.
type Fault struct {
	Kind            FaultKind `yaml:"kind"`
	IntervalSeconds float64   `yaml:"everySeconds"`
	DurationSeconds float64   `yaml:"lastsSeconds"`
	Factor          float64   `yaml:"factor"`
}

func (d Fault) check() string {
	switch {
	case d.Kind != Kill && d.Kind != Hang && d.Kind != Slow:
		return "disturbance.kind is kill, hang or slow"
	case d.IntervalSeconds <= 0 || d.DurationSeconds <= 0:
		return "disturbance.everySeconds and lastsSeconds must be above 0"
	case d.Kind == Slow && d.Factor < 1:
		return "disturbance.factor must be 1 or more"
	}
	return ""
}

// VirtualOverrides is the size of a run in virtual time, which costs no waiting; 0 keeps the file's.
type VirtualOverrides struct {
	Repeats   int       `yaml:"repeats"`
	Seconds   float64   `yaml:"seconds"`
	TimeScale float64   `yaml:"timeScale"`
	Loads     []float64 `yaml:"loads"`
}

// InVirtualTime returns the experiment at its size for virtual time.
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

// ErrFile means that an experiment file can't be used.
type ErrFile struct {
	Path   string
	Reason string
}

// Error implements error.
func (e *ErrFile) Error() string { return e.Path + ": " + e.Reason }

// Load reads an experiment file; unknown fields are refused.
func Load(path string) (File, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return File{}, errors.Wrap(err, "reading the experiment")
	}
	file := File{Engine: emulator.DefaultConfig(), Seed: 1, Repeats: 2, Nodes: 3, Zones: 3, Engines: 10, Seconds: 10, TimeScale: 0.1, Loads: []float64{0.7}}
	if err := yaml.NewDecoder(bytes.NewReader(content), yaml.DisallowUnknownField()).Decode(&file); err != nil {
		return file, &ErrFile{Path: path, Reason: err.Error()}
	}
	switch {
	case file.Workload != "brindleway" && file.Workload != "mapishi":
		return file, &ErrFile{Path: path, Reason: "workload is brindleway or mapishi"}
	case len(file.Policies) == 0:
		return file, &ErrFile{Path: path, Reason: "no policies"}
	}
	if file.Fault != nil {
		if reason := file.Fault.check(); reason != "" {
			return file, &ErrFile{Path: path, Reason: reason}
		}
	}
	return file, nil
}
