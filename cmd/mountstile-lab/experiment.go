package main

import (
	"fmt"
	"os"

	"github.com/mountstile/mountstile/internal/lab/experiment"
)

type experimentCommand struct {
	Out     string `long:"out" required:"yes" description:"folder for summary.json, report.md and plots"`
	Virtual bool   `long:"virtual" description:"run the same decisions in virtual time, at the file's virtual size"`
	Repeats int    `long:"repeats" description:"replace the file's number of repeats"`
	Args    struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *experimentCommand) Execute([]string) error {
	file, err := experiment.Load(c.Args.File)
	if err != nil {
		return err
	}
	run := experiment.Run
	if c.Virtual {
		file, run = file.InVirtualTime(), experiment.RunVirtual
	}
	if c.Repeats > 0 {
		file.Repeats = c.Repeats
	}
	ctx, cancel := signalContext()
	defer cancel()
	samples, err := run(ctx, file, os.Stderr)
	if err != nil {
		return err
	}
	summary, err := experiment.Write(c.Out, file, samples)
	if err != nil {
		return err
	}
	fmt.Print(experiment.Report(file, summary))
	return nil
}
