package main

import (
	"encoding/json"
	"os"
	"runtime/pprof"

	"github.com/cockroachdb/errors"

	"github.com/mountstile/mountstile/internal/lab/pathbench"
)

type pathCommand struct {
	Calls   int     `long:"calls" default:"1000" description:"single calls on each side"`
	Tokens  int     `long:"tokens" default:"16" description:"length of each answer"`
	Seconds float64 `long:"seconds" default:"5" description:"how long many callers call at once"`
	Callers int     `long:"callers" default:"64" description:"callers at once"`
	Profile string  `long:"profile" value-name:"FILE" description:"write a processor profile"`
}

// Execute implements flags.Commander.
func (c *pathCommand) Execute([]string) error {
	ctx, cancel := signalContext()
	defer cancel()
	if c.Profile != "" {
		file, err := os.Create(c.Profile)
		if err != nil {
			return errors.Wrap(err, "creating the CPU profile")
		}
		defer func() { _ = file.Close() }()
		if err := pprof.StartCPUProfile(file); err != nil {
			return errors.Wrap(err, "starting the CPU profile")
		}
		defer pprof.StopCPUProfile()
	}
	report, err := pathbench.Run(ctx, pathbench.Options{Calls: c.Calls, Tokens: c.Tokens, Seconds: c.Seconds, Callers: c.Callers})
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(report), "encoding the report")
}
