package events

import (
	"fmt"
	"strings"
)

// Markdown returns the catalogue as the content of docs/EVENTS.md.
func Markdown() string {
	var text strings.Builder
	text.WriteString("# Log events\n\nLogs are JSON lines on standard error. Each line has the fields `time`, `level`, `msg`, `node`, `event` (the number below) and `name`, and those of the event itself. This page is made from `internal/events`; `mountstile-lab events` prints it, and a test compares.\n\n")
	text.WriteString("Numbers: 1xx node, 2xx membership, 3xx configuration, 4xx program state, 5xx scheduling and engines, 6xx gateway, 7xx administration, 8xx transport.\n\n")
	text.WriteString("| event | name | level | meaning |\n|---|---|---|---|\n")
	for _, event := range Catalogue {
		fmt.Fprintf(&text, "| %d | `%s` | %s | %s |\n", event.ID, event.Name, event.Level, event.Text)
	}
	return text.String()
}
