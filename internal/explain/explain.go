// Package explain builds a report on one request, or on all requests of a program, from the logs of several
// processes: the decisions, the state of the cluster at the time, and the outcome.
//
// Usage:
//
//	lines, err := explain.Read(file, "gateway-1.log")
//	report := explain.NewReport(lines, "9c41d07be2a35f68")
//	report.Write(os.Stdout)
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mountstile/mountstile/internal/events"
)

const (
	// State changes are included from contextBefore before a request's start until contextAfter after its end.
	contextBefore = 3 * time.Second
	contextAfter  = time.Second
	// maxContextLines limits the context lines of a report.
	maxContextLines  = 60
	maxLineBytes     = 1 << 20
	reportTimeLayout = "15:04:05.000"
)

// Line is one log line.
type Line struct {
	source string
	at     time.Time
	event  events.ID
	name   string
	node   string
	fields map[string]json.RawMessage
	// others is how many more lines, mostly of other processes, report the same change.
	others int
}

// hiddenFields are not listed among a line's details: they have their own columns or say nothing about the
// request.
var hiddenFields = []string{"time", "event", "name", "node", "level", "msg", "up_millis"}

// contextEvents report changes in a process's view of the cluster or in its own state.
var contextEvents = []events.ID{
	events.NodeStarting, events.NodeReady, events.NodeStopping, events.NodeStopped, events.RoutesInstalled, events.ConfigRejected,
	events.StoreLost, events.StoreReached, events.CatalogPeerLost, events.CatalogPeerReached, events.CatalogSourceStarted,
	events.ReplicaSetChanged, events.ReplicaSetStep, events.ReplicaOpened, events.ReplicaComplete, events.ReplicaWaiting, events.ReplicaLogFailed,
	events.ReplicaRetiring, events.ReplicaEvicting,
}

// engineEvents report changes in a process's view of one engine.
var engineEvents = []events.ID{events.EngineChanged, events.EngineGone, events.EngineBreakerOpen, events.EngineBreakerClosed, events.EngineEnded}

// Read parses the JSON lines of a log. It skips text before the first brace of a line, such as the prefix of a
// log collector, and lines that are not events.
func Read(input io.Reader, source string) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(input)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if line, ok := parse(scanner.Bytes(), source); ok {
			lines = append(lines, line)
		}
	}
	return lines, errors.Wrap(scanner.Err(), source)
}

func parse(text []byte, source string) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	line := Line{source: source}
	if json.Unmarshal(text[start:], &line.fields) != nil {
		return Line{}, false
	}
	var id int
	if json.Unmarshal(line.fields["event"], &id) != nil {
		return Line{}, false
	}
	line.event = events.ID(id)
	line.name = line.text("name")
	line.node = line.text("node")
	at, err := time.Parse(time.RFC3339Nano, line.text("time"))
	line.at = at
	return line, err == nil
}

// text returns the value of a field: strings without quotes, other values as JSON.
func (l Line) text(field string) string {
	raw := l.fields[field]
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text
	}
	return string(raw)
}

// Matches reports whether the line belongs to the request or program with the given ID, or to a request that continues the turn
// or resumes the stream with that ID.
func (l Line) Matches(id string) bool {
	return l.text("request") == id || l.text("program") == id || l.text("previous") == id || l.text("resumes") == id || l.lists(id)
}

// lists reports whether the line is about several requests, among them the one with the given ID.
func (l Line) lists(id string) bool {
	var requests []string
	return json.Unmarshal(l.fields["requests"], &requests) == nil && slices.Contains(requests, id)
}

// matchesAny reports whether the line matches any of the IDs.
func (l Line) matchesAny(ids []string) bool { return slices.ContainsFunc(ids, l.Matches) }

// attempts returns the IDs of all attempts at a request: those with the same content as far as engines ended under them, and those
// at the same stream.
func attempts(lines []Line, id string) []string {
	ids := streamAttempts(lines, id)
	contents := make(map[string]bool)
	for _, line := range lines {
		if content := line.text("content"); content != "" && slices.Contains(ids, line.text("request")) {
			contents[content] = true
		}
	}
	for _, line := range lines {
		if attempt := line.text("request"); contents[line.text("content")] && !slices.Contains(ids, attempt) {
			ids = append(ids, attempt)
		}
	}
	return ids
}

// streamAttempts returns the IDs of all attempts at the stream of a request: a caller may resume a stream at other gateways,
// and names the attempt that began it. For other requests, and for programs, it returns the ID alone.
func streamAttempts(lines []Line, id string) []string {
	first := id
	for _, line := range lines {
		if resumes := line.text("resumes"); resumes != "" && line.text("request") == id {
			first = resumes
		}
	}
	ids := []string{first}
	for _, line := range lines {
		if attempt := line.text("request"); line.text("resumes") == first && !slices.Contains(ids, attempt) {
			ids = append(ids, attempt)
		}
	}
	return ids
}

// Report holds the log lines that concern one request or program.
type Report struct {
	id string
	// ids are id and the other attempts at the same stream.
	ids []string
	// lines belong to the request or program; context are state changes around them. Both are sorted by time.
	lines   []Line
	context []Line
}

// NewReport selects the lines that concern the request or program with the given ID. For an attempt to resume a stream, these
// are the lines of all attempts at that stream.
func NewReport(lines []Line, id string) Report {
	report := Report{id: id, ids: attempts(lines, id)}
	handlers := make(map[string]bool)
	engines := make(map[string]bool)
	for _, line := range lines {
		if !line.matchesAny(report.ids) {
			continue
		}
		report.lines = append(report.lines, line)
		handlers[line.node] = true
		engines[line.text("engine")] = true
	}
	sortByTime(report.lines)
	if len(report.lines) == 0 {
		return report
	}
	from := report.begin().Add(-contextBefore)
	until := report.lines[len(report.lines)-1].at.Add(contextAfter)
	for _, line := range lines {
		if line.at.Before(from) || line.at.After(until) || line.matchesAny(report.ids) {
			continue
		}
		isContext := slices.Contains(contextEvents, line.event)
		isEngineChange := slices.Contains(engineEvents, line.event) && handlers[line.node] && engines[line.text("engine")]
		if isContext || isEngineChange {
			report.context = append(report.context, line)
		}
	}
	sortByTime(report.context)
	report.context = mergeContext(report.context, handlers)
	report.context = report.context[:min(len(report.context), maxContextLines)]
	return report
}

// begin returns when the first request began. A request's line is written at its end and has its duration.
func (r Report) begin() time.Time {
	first := r.lines[0]
	var millis int64
	_ = json.Unmarshal(first.fields["millis"], &millis)
	return first.at.Add(-time.Duration(millis) * time.Millisecond)
}

func sortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.at.Compare(b.at) })
}

// Found reports whether any line belongs to the request or program.
func (r Report) Found() bool { return len(r.lines) > 0 }

// Causes explains the reason of each failed request, one text for each.
func (r Report) Causes() []string {
	var causes []string
	for _, line := range r.lines {
		if line.event != events.RequestFailed {
			continue
		}
		reason := line.text("reason")
		causes = append(causes, fmt.Sprintf("request %s at %s ended as %s (%s): %s%s",
			line.text("request"), line.node, reason, line.text("outcome"), meaning(reason, line), line.streamEnd()))
	}
	return causes
}

// streamEnd describes how far a stream got before it was cut; it is empty for other requests.
func (l Line) streamEnd() string {
	ending := l.text("stream")
	if !strings.HasPrefix(ending, "cut_") {
		return ""
	}
	return fmt.Sprintf("; its stream was %s after %s events, read from %s answers", ending, l.text("events"), l.text("runs"))
}

// Write prints the lines and their context by time, then the causes of failures. Lines of the request or
// program itself are marked with an asterisk.
func (r Report) Write(output io.Writer) {
	if !r.Found() {
		fmt.Fprintf(output, "no line is about %s\n", r.id)
		return
	}
	all := append(append([]Line(nil), r.context...), r.lines...)
	sortByTime(all)
	for _, line := range all {
		mark := " "
		if line.matchesAny(r.ids) {
			mark = "*"
		}
		fmt.Fprintf(output, "%s %s %-22s %-24s %s\n", line.at.Format(reportTimeLayout), mark, line.nodes(), line.name, line.details())
	}
	for _, cause := range r.Causes() {
		fmt.Fprintln(output, "cause: "+cause)
	}
}

func (l Line) details() string {
	var names []string
	for name := range l.fields {
		if value := l.text(name); !slices.Contains(hiddenFields, name) && value != "" && value != "null" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var parts []string
	for _, name := range names {
		parts = append(parts, name+"="+l.format(name))
	}
	return strings.Join(parts, " ")
}
