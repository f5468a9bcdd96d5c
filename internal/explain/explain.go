// Package explain puts the log lines of several processes together into the story of one request, or
// of all requests of a program: what was decided, by what, and how it ended.
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
	// contextBefore and contextAfter are how far around a request changes of belief are shown.
	contextBefore = 3 * time.Second
	contextAfter  = time.Second
	// maximalContext bounds the context lines.
	maximalContext  = 60
	maximalLine     = 1 << 20
	reportTimeShape = "15:04:05.000"
)

// Line is one log line.
type Line struct {
	source string
	at     time.Time
	event  events.ID
	name   string
	node   string
	fields map[string]json.RawMessage
	// others is how many further lines, mostly of other processes, tell the same change.
	others int
}

// hiddenFields are shown otherwise, or tell nothing about the request.
var hiddenFields = []string{"time", "event", "name", "node", "level", "msg", "up_millis"}

// contextEvents change what a process believes.
var contextEvents = []events.ID{
	events.NodeStarting, events.NodeReady, events.NodeStopping, events.NodeStopped, events.RoutesInstalled, events.ConfigRejected,
	events.StoreLost, events.StoreReached, events.CatalogPeerLost, events.CatalogPeerReached, events.CatalogSourceStarted,
	events.ReplicaSetChanged, events.ReplicaSetStep, events.ReplicaOpened, events.ReplicaComplete, events.ReplicaLogFailed,
	events.ReplicaRetiring,
}

// engineEvents change what a process believes of one engine.
var engineEvents = []events.ID{events.EngineChanged, events.EngineGone, events.EngineBreakerOpen, events.EngineBreakerClosed}

// Read takes the JSON lines of a log. Text before the first brace of a line, such as a collector's
// prefix, is left out, and so are lines without one.
func Read(input io.Reader, source string) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(input)
	scanner.Buffer(nil, maximalLine)
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

// text is the value of a field as a reader would write it.
func (l Line) text(field string) string {
	raw := l.fields[field]
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text
	}
	return string(raw)
}

// Matches tells whether the line is about a request or program.
func (l Line) Matches(id string) bool {
	return l.text("request") == id || l.text("program") == id || l.text("previous") == id
}

// Report is the story of one request or program.
type Report struct {
	id string
	// lines are about it; context are changes of belief around them. Both are in order of time.
	lines   []Line
	context []Line
}

// NewReport picks what concerns a request or program.
func NewReport(lines []Line, id string) Report {
	report := Report{id: id}
	nodes := make(map[string]bool)
	engines := make(map[string]bool)
	for _, line := range lines {
		if !line.Matches(id) {
			continue
		}
		report.lines = append(report.lines, line)
		nodes[line.node] = true
		engines[line.text("engine")] = true
	}
	sortByTime(report.lines)
	if len(report.lines) == 0 {
		return report
	}
	from := report.begin().Add(-contextBefore)
	till := report.lines[len(report.lines)-1].at.Add(contextAfter)
	for _, line := range lines {
		if line.at.Before(from) || line.at.After(till) || line.Matches(id) {
			continue
		}
		believed := slices.Contains(contextEvents, line.event)
		ofEngine := slices.Contains(engineEvents, line.event) && nodes[line.node] && engines[line.text("engine")]
		if believed || ofEngine {
			report.context = append(report.context, line)
		}
	}
	sortByTime(report.context)
	report.context = mergeContext(report.context, nodes)
	report.context = report.context[:min(len(report.context), maximalContext)]
	return report
}

// begin is when the first request began: lines are written at the end.
func (r Report) begin() time.Time {
	first := r.lines[0]
	var millis int64
	_ = json.Unmarshal(first.fields["millis"], &millis)
	return first.at.Add(-time.Duration(millis) * time.Millisecond)
}

func sortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.at.Compare(b.at) })
}

// Found tells whether any line is about the request or program.
func (r Report) Found() bool { return len(r.lines) > 0 }

// Causes are the reasons of the requests that failed, each with what it means.
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

// streamEnd tells how far a stream came that was cut; empty for other requests.
func (l Line) streamEnd() string {
	way := l.text("stream")
	if !strings.HasPrefix(way, "cut_") {
		return ""
	}
	return fmt.Sprintf("; its stream was %s after %s events, read from %s answers", way, l.text("events"), l.text("runs"))
}

// Write prints the story: what was believed and done, in order of time, then the causes.
func (r Report) Write(output io.Writer) {
	if !r.Found() {
		fmt.Fprintf(output, "no line is about %s\n", r.id)
		return
	}
	all := append(append([]Line(nil), r.context...), r.lines...)
	sortByTime(all)
	for _, line := range all {
		mark := " "
		if line.Matches(r.id) {
			mark = "*"
		}
		fmt.Fprintf(output, "%s %s %-22s %-24s %s\n", line.at.Format(reportTimeShape), mark, line.tellers(), line.name, line.details())
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
		parts = append(parts, name+"="+l.readable(name))
	}
	return strings.Join(parts, " ")
}
