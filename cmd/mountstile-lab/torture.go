package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mountstile/mountstile/internal/lab/torture"
)

type tortureCommand struct {
	Duration time.Duration `long:"duration" default:"30s" description:"how long things fail"`
	Seed     uint64        `long:"seed" default:"1" description:"seed of callers and faults"`
	Nodes    int           `long:"nodes" default:"4" description:"nodes in this process"`
	Engines  int           `long:"engines" default:"3" description:"model engines"`
	Callers  int           `long:"callers" default:"12" description:"callers at once"`
	JSON     bool          `long:"json" description:"print the report as JSON"`
}

// errViolations reports how many violations of invariants were found.
type errViolations struct{ Count int }

// Error implements error.
func (e *errViolations) Error() string { return fmt.Sprintf("%d invariant violations", e.Count) }

// Execute implements flags.Commander.
func (c *tortureCommand) Execute([]string) error {
	ctx, cancel := signalContext()
	defer cancel()
	report, err := torture.Run(ctx, torture.Options{
		Duration: c.Duration, Seed: c.Seed, Nodes: c.Nodes, Engines: c.Engines, Callers: c.Callers,
		Progress: func(format string, args ...any) {
			fmt.Fprintf(os.Stderr, "%s  %s\n", time.Now().Format("15:04:05"), fmt.Sprintf(format, args...))
		},
	})
	if err != nil {
		return err
	}
	if c.JSON {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(report); err != nil {
			return errors.Wrap(err, "encoding the report")
		}
	} else {
		fmt.Printf("%+v\n", report)
	}
	if report.Violations.Total() > 0 {
		return &errViolations{Count: report.Violations.Total()}
	}
	return nil
}
