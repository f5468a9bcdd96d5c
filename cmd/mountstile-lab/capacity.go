package main

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/mountstile/mountstile/internal/lab/capacity"
)

type capacityCommand struct {
	Slopes string `long:"slopes" default:"docs/capacity/slopes.json" description:"file of measured slopes"`
	Page   string `long:"page" description:"put the tables into this page, between its markers"`
}

// Execute implements flags.Commander.
func (c *capacityCommand) Execute([]string) error {
	slopes, err := capacity.Load(c.Slopes)
	if err != nil {
		return err
	}
	if c.Page == "" {
		fmt.Print(capacity.Tables(slopes))
		return nil
	}
	page, err := os.ReadFile(c.Page)
	if err != nil {
		return errors.Wrap(err, "reading the page")
	}
	updated, err := capacity.Update(string(page), slopes)
	if err != nil {
		return err
	}
	return errors.Wrap(os.WriteFile(c.Page, []byte(updated), 0o644), "writing the page")
}
