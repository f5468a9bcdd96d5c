package simulate

import (
	"fmt"
	"strings"
)

// faultSwitch names one kind of fault for the command line and for shrinking.
type faultSwitch struct {
	name string
	of   func(*Faults) *bool
}

var faultSwitches = []faultSwitch{
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

// ErrUnknownFault refuses a name that is no kind of fault.
type ErrUnknownFault struct{ Name string }

// Error implements error.
func (e *ErrUnknownFault) Error() string { return fmt.Sprintf("%q is not a kind of fault", e.Name) }

// ParseFaults reads a comma-separated list; "all" means every kind.
func ParseFaults(list string) (Faults, error) {
	if list == "all" {
		return AllFaults(), nil
	}
	var faults Faults
	for name := range strings.SplitSeq(list, ",") {
		found := false
		for _, item := range faultSwitches {
			if item.name == name {
				*item.of(&faults), found = true, true
			}
		}
		if !found {
			return faults, &ErrUnknownFault{Name: name}
		}
	}
	return faults, nil
}

// String lists the kinds that are on.
func (f Faults) String() string {
	var names []string
	for _, item := range faultSwitches {
		if *item.of(&f) {
			names = append(names, item.name)
		}
	}
	return strings.Join(names, ",")
}

// Shrink looks for a smaller run that still breaks a promise: fewer kinds of fault, then no more
// steps than it takes. It returns the options and their violation.
func Shrink(options Options) (Options, error) {
	_, violation := Run(options)
	if violation == nil {
		return options, nil
	}
	for _, item := range faultSwitches {
		if !*item.of(&options.Faults) {
			continue
		}
		smaller := options
		*item.of(&smaller.Faults) = false
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
