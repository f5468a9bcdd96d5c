package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mountstile/mountstile/internal/lab/statebench"
)

type stateCommand struct {
	Seconds   float64 `long:"seconds" default:"3" description:"how long each saturation lasts"`
	Failovers int     `long:"failovers" default:"10" description:"leaders killed"`
	Programs  int     `long:"programs" default:"100000" description:"programs of the recovery"`
}

// Execute implements flags.Commander.
func (c *stateCommand) Execute([]string) error {
	ctx, cancel := signalContext()
	defer cancel()
	report, err := statebench.Run(ctx, statebench.Options{
		Seconds: c.Seconds, Failovers: c.Failovers, Programs: c.Programs,
		Progress: func(format string, args ...any) {
			fmt.Fprintf(os.Stderr, "%s  %s\n", time.Now().Format("15:04:05"), fmt.Sprintf(format, args...))
		},
	})
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(report), "encoding the report")
}
