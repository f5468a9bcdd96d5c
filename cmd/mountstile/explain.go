package main

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/mountstile/mountstile/internal/explain"
)

type explainCommand struct {
	Logs []string `long:"logs" description:"a log file of a process; may be repeated" required:"true"`
	Args struct {
		ID    string   `positional-arg-name:"ID" description:"a request's or a program's ID" required:"true"`
		Files []string `positional-arg-name:"FILE" description:"more log files"`
	} `positional-args:"true"`
}

// errNotInLogs means that no log line belongs to the request or program.
type errNotInLogs struct{ id string }

// Error implements error.
func (e *errNotInLogs) Error() string { return "no line in these logs is about " + e.id }

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	var lines []explain.Line
	for _, name := range append(c.Logs, c.Args.Files...) {
		file, err := os.Open(name)
		if err != nil {
			return errors.Wrap(err, "opening a log file")
		}
		fileLines, err := explain.Read(file, name)
		if closeErr := file.Close(); err == nil {
			err = closeErr
		}
		if err != nil {
			return err
		}
		if len(fileLines) == 0 {
			fmt.Fprintf(os.Stderr, "%s has no log lines of mountstile\n", name)
		}
		lines = append(lines, fileLines...)
	}
	report := explain.NewReport(lines, c.Args.ID)
	if !report.Found() {
		return errors.WithStack(&errNotInLogs{id: c.Args.ID})
	}
	report.Write(os.Stdout)
	return nil
}
