package simulate

import (
	"fmt"
	"strings"
)

// faultKind is a kind of fault, with its name on the command line and its field in Faults.
type faultKind struct {
	name  string
	field func(*Faults) *bool
}

var faultKinds = []faultKind{
	{"drop", func(f *Faults) *bool { return &f.Drop }},
	{"delay", func(f *Faults) *bool { return &f.Delay }},
	{"duplicate", func(f *Faults) *bool { return &f.Duplicate }},
	{"partition", func(f *Faults) *bool { return &f.Partition }},
	{"pause", func(f *Faults) *bool { return &f.Pause }},
	{"crash", func(f *Faults) *bool { return &f.Crash }},
	{"transfer", func(f *Faults) *bool { return &f.Transfer }},
	{"members", func(f *Faults) *bool { return &f.Members }},
	{"compact", func(f *Faults) *bool { return &f.Compact }},
}

// ErrUnknownFault reports a name that is not a kind of fault.
type ErrUnknownFault struct{ Name string }

// Error implements error.
func (e *ErrUnknownFault) Error() string { return fmt.Sprintf("%q is not a kind of fault", e.Name) }

// ParseFaults parses a comma-separated list of fault kinds; "all" means every kind.
func ParseFaults(list string) (Faults, error) {
	if list == "all" {
		return AllFaults(), nil
	}
	var faults Faults
	for name := range strings.SplitSeq(list, ",") {
		found := false
		for _, kind := range faultKinds {
			if kind.name == name {
				*kind.field(&faults), found = true, true
			}
		}
		if !found {
			return faults, &ErrUnknownFault{Name: name}
		}
	}
	return faults, nil
}

// String returns the enabled kinds in the format of ParseFaults.
func (f Faults) String() string {
	var names []string
	for _, kind := range faultKinds {
		if *kind.field(&f) {
			names = append(names, kind.name)
		}
	}
	return strings.Join(names, ",")
}

// Shrink reduces the fault kinds, then the steps, of a failing run as long as it still fails. It returns the
// reduced options and the error of their run, or nil if the original run does not fail.
func Shrink(options Options) (Options, error) {
	_, violation := Run(options)
	if violation == nil {
		return options, nil
	}
	for _, kind := range faultKinds {
		if !*kind.field(&options.Faults) {
			continue
		}
		smaller := options
		*kind.field(&smaller.Faults) = false
		if _, err := Run(smaller); err != nil {
			options, violation = smaller, err
		}
	}
	for steps := options.Steps / 2; steps > 0; steps /= 2 {
		smaller := options
		smaller.Steps = steps
		if _, err := Run(smaller); err != nil {
			options, violation = smaller, err
		}
	}
	return options, violation
}
