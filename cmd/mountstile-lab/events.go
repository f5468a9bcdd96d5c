package main

import (
	"fmt"

	"github.com/mountstile/mountstile/internal/events"
)

type eventsCommand struct{}

// Execute implements flags.Commander.
func (*eventsCommand) Execute([]string) error {
	fmt.Print(events.Markdown())
	return nil
}
