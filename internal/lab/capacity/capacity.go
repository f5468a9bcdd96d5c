// Package capacity works out the tables of docs/CAPACITY.md from a committed file of measured
// slopes.
package capacity

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/mountstile/mountstile/internal/lab/hollow"
	"github.com/mountstile/mountstile/internal/lab/pathbench"
	"github.com/mountstile/mountstile/internal/lab/statebench"
)

// Slopes is the file of measurements.
type Slopes struct {
	Machine         string            `json:"machine"`
	Command         string            `json:"command"`
	Runs            []hollow.Report   `json:"runs"`
	BaselineCommand string            `json:"baseline_command"`
	Baselines       []hollow.Report   `json:"baselines"`
	RestartCommand  string            `json:"restart_command"`
	Restarts        []hollow.Report   `json:"restarts"`
	DayCommand      string            `json:"day_command"`
	Days            []hollow.Report   `json:"days"`
	StateCommand    string            `json:"state_command"`
	State           statebench.Report `json:"state"`
	PathCommand     string            `json:"path_command"`
	Path            pathbench.Report  `json:"path"`
	// LongPath is of answers as long as 1 M tokens a second make them.
	LongPathCommand string           `json:"long_path_command"`
	LongPath        pathbench.Report `json:"long_path"`
}

// The target size, and assumptions that are marked as such on the page.
const (
	nodes             = 420
	engines           = 700
	requestsPerSecond = 4800
	tokensPerSecond   = 1_000_000
	secondsPerToken   = 0.033
	programs          = 42000
	tenants           = 2000
	changesPerDay     = 430
	restartsPerDay    = 430
	secondsPerDay     = 86400
	commitsPerCall    = 3
	replicas          = 3
	limitBytes        = 6000
	limitCore         = 0.024
	limitMemory       = 128e6
	// assumedTokens is the mean history of a live program: a tenth of the longest.
	assumedTokens = 16000
	longestTokens = 160000
)

// Load reads the file.
func Load(path string) (Slopes, error) {
	var slopes Slopes
	content, err := os.ReadFile(path)
	if err != nil {
		return slopes, errors.Wrap(err, "reading slopes")
	}
	return slopes, errors.Wrap(json.Unmarshal(content, &slopes), "decoding slopes")
}

// Fit is a least-squares line of a value over the logarithm of the cluster's size, and over the
// size itself.
type Fit struct {
	PerLog, AtOne float64
	PerNode, Base float64
}

func fitLine(x, y []float64) (slope, intercept float64) {
	var sumX, sumY, sumXX, sumXY float64
	for index := range x {
		sumX += x[index]
		sumY += y[index]
		sumXX += x[index] * x[index]
		sumXY += x[index] * y[index]
	}
	count := float64(len(x))
	denominator := count*sumXX - sumX*sumX
	if denominator == 0 {
		return 0, sumY / math.Max(1, count)
	}
	slope = (count*sumXY - sumX*sumY) / denominator
	return slope, (sumY - slope*sumX) / count
}

// FitBytes fits the bytes that a node sends.
func FitBytes(runs []hollow.Report) Fit {
	var size, logarithm, sent []float64
	for _, run := range runs {
		size = append(size, float64(run.Nodes))
		logarithm = append(logarithm, math.Log2(float64(run.Nodes)))
		sent = append(sent, run.BytesPerSecond.Sent)
	}
	var fit Fit
	fit.PerLog, fit.AtOne = fitLine(logarithm, sent)
	fit.PerNode, fit.Base = fitLine(size, sent)
	return fit
}

// Tables is the computed part of docs/CAPACITY.md.
func Tables(slopes Slopes) string {
	var text strings.Builder
	slopes.measured(&text)
	slopes.baselines(&text)
	slopes.roles(&text)
	return text.String()
}

func (s Slopes) measured(text *strings.Builder) {
	fmt.Fprintf(text, "### Control, measured\n\n`%s` (%s)\n\n", s.Command, s.Machine)
	text.WriteString("| nodes | engines | sent B/s | received B/s | probes and rumours B/s | heartbeats B/s | core | memory MB | change in force p50 / p99 / max ms | death known p99 ms | zone death p99 ms | false deaths | connections |\n|---|---|---|---|---|---|---|---|---|---|---|---|---|\n")
	for _, run := range s.Runs {
		zone := ""
		if run.DetectZone != nil {
			zone = fmt.Sprintf("%.0f", run.DetectZone.P99)
		}
		fmt.Fprintf(text, "| %d | %d | %.0f | %.0f | %.0f | %.0f | %.2f %% | %.1f | %.0f / %.0f / %.0f | %.0f | %s | %d | %.0f |\n",
			run.Nodes, run.Engines, run.BytesPerSecond.Sent, run.BytesPerSecond.Received, run.BytesPerSecond.ByKind["member"], run.BytesPerSecond.ByKind["beat"],
			100*run.CoreShare, run.MemoryBytes/1e6, run.ConfigInForce.P50, run.ConfigInForce.P99, run.ConfigInForce.Max, run.Detect.P99, zone, run.FalseDeaths, run.Connections)
	}
	fit := FitBytes(s.Runs)
	fmt.Fprintf(text, "\nFit of bytes sent: %.0f + %.1f · log2(nodes) B/s; over the size itself %.3f B/s for each further node.\n\n", fit.AtOne, fit.PerLog, fit.PerNode)
	s.days(text)
	for _, run := range s.Restarts {
		fmt.Fprintf(text, "`%s`: while a third of the nodes is replaced, a change is in force on the others p50 %.0f, p99 %.0f, max %.0f ms.\n\n", s.RestartCommand, run.ConfigRestarting.P50, run.ConfigRestarting.P99, run.ConfigRestarting.Max)
	}
}

// days tells what the events of ordinary days cost.
func (s Slopes) days(text *strings.Builder) {
	for _, run := range s.Days {
		day := run.Day
		if day == nil {
			continue
		}
		fmt.Fprintf(text, "`%s`: %.0f s in which the events of ordinary days come %.0f times as often (%d changes, %d nodes replaced, %d killed): %.0f B/s sent a node, %.2f %% of a core, %.1f MB; a change in force everywhere p50 %.0f, p99 %.0f, max %.0f ms; a death known p50 %.0f, max %.0f ms; %d false deaths.\n\n",
			s.DayCommand, day.Seconds, day.Rate, day.Changes, day.Replaced, day.Killed, day.BytesPerSecond.Sent, 100*day.CoreShare, day.MemoryBytes/1e6,
			day.ConfigInForce.P50, day.ConfigInForce.P99, day.ConfigInForce.Max, day.Detect.P50, day.Detect.Max, day.FalseDeaths)
	}
}

func (s Slopes) baselines(text *strings.Builder) {
	fmt.Fprintf(text, "### The slopes that were avoided, measured\n\nAll-to-all heartbeats, and every node watching the store: `%s`\n\n", s.BaselineCommand)
	text.WriteString("| nodes | sent B/s | core | memory MB | connections | store requests/s |\n|---|---|---|---|---|---|\n")
	for _, run := range s.Baselines {
		fmt.Fprintf(text, "| %d | %.0f | %.2f %% | %.1f | %.0f | %.1f |\n", run.Nodes, run.BytesPerSecond.Sent, 100*run.CoreShare, run.MemoryBytes/1e6, run.Connections, run.StoreRequestsPerSecond)
	}
	fit := FitBytes(s.Baselines)
	fmt.Fprintf(text, "\nFit: %.0f + %.0f B/s for each node: %.0f B/s at %d nodes (computed), where this design sends %.0f (measured).\n\n",
		fit.Base, fit.PerNode, fit.Base+fit.PerNode*nodes, nodes, s.largest().BytesPerSecond.Sent)
}

func (s Slopes) largest() hollow.Report {
	if len(s.Runs) == 0 {
		return hollow.Report{}
	}
	return s.Runs[len(s.Runs)-1]
}

// commitMicros is the processor time of one commit over three replicas, all together.
func (s Slopes) commitMicros() float64 {
	for _, commits := range s.State.Commits {
		if commits.Replicas == replicas && commits.OneWayMillis > 1 {
			return commits.CoreMicros
		}
	}
	return 0
}

func (s Slopes) turnBytes() float64 {
	if len(s.State.Turns) == 0 {
		return 0
	}
	return s.State.Turns[len(s.State.Turns)-1].BytesPerCall
}

func (s Slopes) roles(text *strings.Builder) {
	largest := s.largest()
	callsPerNode := float64(requestsPerSecond) / nodes
	commits := callsPerNode * commitsPerCall
	perToken := s.State.ProgramBytesLong / longestTokens
	programsPerNode := float64(programs) * replicas / nodes
	fmt.Fprintf(text, "### Roles at %d nodes, %d engines\n\n", nodes, engines)
	text.WriteString("| role | state a node | messages a node | processor a node | memory a node | how known |\n|---|---|---|---|---|---|\n")
	fmt.Fprintf(text, "| membership | %d members | %.0f B/s sent | in the row below | %.0f connections | measured |\n", nodes, largest.BytesPerSecond.ByKind["member"], largest.Connections)
	fmt.Fprintf(text, "| replicas, heartbeats | %.1f replicas | %.0f B/s sent | in the row below | | measured |\n", float64(replicas), largest.BytesPerSecond.ByKind["beat"])
	fmt.Fprintf(text, "| all control, quiet | configuration of %d tenants and %d engines | %.0f B/s sent, %.0f received (limit %d) | %.2f %% of a core (limit %.1f %%) | %.1f MB (limit %.0f) | measured |\n",
		tenants, engines, largest.BytesPerSecond.Sent, largest.BytesPerSecond.Received, limitBytes, 100*largest.CoreShare, 100*limitCore, largest.MemoryBytes/1e6, limitMemory/1e6)
	fmt.Fprintf(text, "| configuration changes | 1 revision | %.3f changes/s | | | computed: %d a day |\n", float64(changesPerDay)/secondsPerDay, changesPerDay)
	fmt.Fprintf(text, "| nodes replaced | | one in %.0f s in the cluster | | | computed: %d a day |\n", float64(secondsPerDay)/restartsPerDay, restartsPerDay)
	fmt.Fprintf(text, "| coordinator | %.0f programs held (%.0f led) | %.0f commits/s led, %.1f kB/s for calls | %.2f %% of a core | %.0f MB at a mean of %d tokens, %.0f MB if all had %d | computed: %.0f us a commit, %.0f bytes a call, %.2f bytes a token, all measured; mean length assumed |\n",
		programsPerNode, programsPerNode/replicas, commits, callsPerNode*s.turnBytes()/1000, 100*commits*s.commitMicros()/1e6,
		programsPerNode*perToken*assumedTokens/1e6, assumedTokens, programsPerNode*perToken*longestTokens/1e6, longestTokens, s.commitMicros(), s.turnBytes(), perToken)
	fmt.Fprintf(text, "| engine owner | %.1f engines | %.1f reservations/s | in the coordinator's bytes | | computed |\n", float64(engines)/nodes, callsPerNode)
	long := s.LongPath
	streams := float64(tokensPerSecond) / nodes * secondsPerToken
	perPiece := (long.AddedCoreMicros - s.Path.AddedCoreMicros) / float64(max(1, long.Tokens-s.Path.Tokens))
	fmt.Fprintf(text, "| gateway, coordinator and replicas for calls | %.0f streams at once | %.1f calls/s, %.0f tokens/s | %.1f %% of a core at %d tokens a call | %.1f MB | computed: %.0f us of a core a call of %d tokens and %.0f us for each further token more than direct, %.0f kB a stream more than direct, all measured |\n\n",
		streams, callsPerNode, float64(tokensPerSecond)/nodes, 100*callsPerNode*long.AddedCoreMicros/1e6, long.Tokens, streams*long.AddedStreamBytes/1e6,
		s.Path.AddedCoreMicros, s.Path.Tokens, perPiece, long.AddedStreamBytes/1e3)
	fmt.Fprintf(text, "`%s`: first token p50 %.2f ms directly and %.2f ms through nodes, p99 %.1f and %.1f ms; %.0f calls/s with %d-token answers on this machine, callers and engine included.\n\n",
		s.PathCommand, s.Path.Direct.FirstToken.P50, s.Path.Nodes.FirstToken.P50, s.Path.Direct.FirstToken.P99, s.Path.Nodes.FirstToken.P99, s.Path.Nodes.CallsPerSecond, s.Path.Tokens)
	fmt.Fprintf(text, "Slopes of program state: `%s`. Failover: p50 %.0f ms, max %.0f ms of %d. %d programs of one turn: snapshot %.2f s, restore %.2f s.\n",
		s.StateCommand, s.State.FailoverP50, s.State.FailoverMax, s.State.FailoverCount, s.State.RecoveryPrograms, s.State.SnapshotSeconds, s.State.RestoreSeconds)
}

// Markers enclose the computed part of the page.
const (
	MarkerBegin = "<!-- begin: mountstile-lab capacity -->\n"
	MarkerEnd   = "<!-- end: mountstile-lab capacity -->\n"
)

// ErrNoMarkers means that a page has no place for the tables.
type ErrNoMarkers struct{}

// Error implements error.
func (ErrNoMarkers) Error() string { return "the page has no markers for the computed tables" }

// Update puts the tables into a page, between its markers.
func Update(page string, slopes Slopes) (string, error) {
	before, rest, begins := strings.Cut(page, MarkerBegin)
	_, after, ends := strings.Cut(rest, MarkerEnd)
	if !begins || !ends {
		return page, ErrNoMarkers{}
	}
	return before + MarkerBegin + "\n" + Tables(slopes) + "\n" + MarkerEnd + after, nil
}
