package main

import (
	"fmt"
	"os"

	"github.com/mountstile/mountstile/internal/lab/experiment"
)

type experimentCommand struct {
	Out     string `long:"out" required:"yes" description:"folder for summary.json, report.md and plots"`
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
	if c.Repeats > 0 {
		file.Repeats = c.Repeats
	}
	ctx, cancel := interruptible()
	defer cancel()
	samples, err := experiment.Run(ctx, file, os.Stderr)
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
