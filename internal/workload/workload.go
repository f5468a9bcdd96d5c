// Package workload generates agent programs from a seed. The distributions are documented in
// docs/EMULATOR.md.
package workload

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"
)

// Step is one model call of a program, optionally followed by a tool call and sub-agents.
type Step struct {
	// UserText is new input before the call; empty for a step that continues after a tool call.
	UserText string
	// OutputTokens is the length of the answer.
	OutputTokens int
	// ToolPause is the duration of the tool call after the model call.
	ToolPause time.Duration
	// SubAgents run concurrently after the call and before the next step.
	SubAgents []Program
}

// Turn is a chain of dependent steps between two inputs of a user.
type Turn struct {
	Steps []Step
	// ThinkTime is the user's pause before the next turn.
	ThinkTime time.Duration
}

// Program is one agent program. Its steps are fixed in advance, but the scheduler gets no information about them.
type Program struct {
	Name   string
	Tenant string
	Model  string
	// System is the system prompt.
	System string
	// Start is the program's start time, relative to the start of the run.
	Start time.Duration
	Turns []Turn
	// Abandoned is set if the caller doesn't end the program after the last turn.
	Abandoned bool
}

// Calls returns the number of model calls of the program and its sub-agents.
func (p Program) Calls() int {
	count := 0
	for _, turn := range p.Turns {
		for _, step := range turn.Steps {
			count++
			for _, child := range step.SubAgents {
				count += child.Calls()
			}
		}
	}
	return count
}

// Options configure a workload.
type Options struct {
	Seed uint64
	// Programs is the number of programs; they start within Duration.
	Programs int
	Duration time.Duration
	// TimeScale is a factor on all pauses, to fit the workload into a shorter run.
	TimeScale float64
	// UniformStarts draws start times from a uniform distribution instead of one with peaks.
	UniformStarts bool
}

// bytesPerToken matches the emulator's token length.
const bytesPerToken = 4

// generator draws random values from one stream of a seed. Each program has its own stream, so that a program does not
// depend on how many others are generated.
type generator struct {
	random  *rand.Rand
	options Options
}

func newGenerator(options Options, stream uint64) *generator {
	return &generator{random: rand.New(rand.NewPCG(options.Seed, stream)), options: options}
}

// logNormal draws from a log-normal distribution; sigma is the standard deviation of the logarithm.
func (g *generator) logNormal(median, sigma float64) float64 {
	return median * math.Exp(g.random.NormFloat64()*sigma)
}

// geometric draws from a geometric distribution on 1, 2, 3 and so on. Values above upper become upper; mean is that of
// the distribution without this limit.
func (g *generator) geometric(mean float64, upper int) int {
	count := 1
	for count < upper && g.random.Float64() > 1/mean {
		count++
	}
	return count
}

func (g *generator) tokens(median, sigma float64, lower, upper int) int {
	return min(max(int(g.logNormal(median, sigma)), lower), upper)
}

func (g *generator) pause(median time.Duration, sigma float64) time.Duration {
	return time.Duration(g.logNormal(float64(median)*g.options.TimeScale, sigma))
}

// text returns random words with a total length of the given number of tokens.
func (g *generator) text(tokens int) string {
	var builder strings.Builder
	for builder.Len() < tokens*bytesPerToken {
		fmt.Fprintf(&builder, "w%06x ", g.random.IntN(1<<24))
	}
	return builder.String()[:tokens*bytesPerToken]
}

// start draws a start time from a uniform distribution. With peaked, and unless UniformStarts is set, 70 % of the times are
// instead drawn around two peaks, at 30 % and 70 % of Duration.
func (g *generator) start(peaked bool) time.Duration {
	position := g.random.Float64()
	if peaked && !g.options.UniformStarts && g.random.Float64() < 0.7 {
		peak := 0.3
		if g.random.Float64() < 0.5 {
			peak = 0.7
		}
		position = math.Abs(math.Mod(peak+g.random.NormFloat64()*0.08+1, 1))
	}
	return time.Duration(position * float64(g.options.Duration))
}

// TutorPrograms generates programs with few short turns, each a chain of calls with tool calls and
// occasionally a sub-agent.
func TutorPrograms(options Options) []Program {
	shared := newGenerator(options, 1)
	prompts := []string{shared.text(400), shared.text(350), shared.text(500)}
	programs := make([]Program, options.Programs)
	for index := range programs {
		g := newGenerator(options, 1000+uint64(index))
		program := Program{
			Name:      fmt.Sprintf("tutor-%d-%d", options.Seed, index),
			Tenant:    "brindleway",
			Model:     "tutor-small",
			System:    prompts[g.random.IntN(len(prompts))],
			Start:     g.start(true),
			Abandoned: g.random.Float64() < 0.1,
		}
		for range g.geometric(3, 8) {
			program.Turns = append(program.Turns, g.tutorTurn(program))
		}
		programs[index] = program
	}
	return programs
}

func (g *generator) tutorTurn(program Program) Turn {
	turn := Turn{ThinkTime: g.pause(4*time.Second, 0.5)}
	for position := range g.geometric(2.5, 6) {
		step := Step{OutputTokens: g.tokens(40, 0.6, 8, 200), ToolPause: g.pause(80*time.Millisecond, 0.7)}
		if position == 0 {
			step.UserText = g.text(g.tokens(60, 0.5, 10, 300))
		}
		if g.random.Float64() < 0.15 {
			step.SubAgents = []Program{g.subAgent(program, 1)}
		}
		turn.Steps = append(turn.Steps, step)
	}
	return turn
}

// subAgent returns the short program of a sub-agent.
func (g *generator) subAgent(parent Program, number int) Program {
	child := Program{
		Name:   fmt.Sprintf("%s/sub-%d-%d", parent.Name, number, g.random.IntN(1<<20)),
		Tenant: parent.Tenant,
		Model:  parent.Model,
		System: parent.System,
	}
	turn := Turn{}
	for position := range g.geometric(1.5, 3) {
		step := Step{OutputTokens: g.tokens(30, 0.5, 8, 120), ToolPause: g.pause(40*time.Millisecond, 0.5)}
		if position == 0 {
			step.UserText = g.text(g.tokens(120, 0.4, 20, 400))
		}
		turn.Steps = append(turn.Steps, step)
	}
	child.Turns = []Turn{turn}
	return child
}

// RecipePrograms generates long conversations with large system prompts. Some programs are planners: each of
// their turns starts several sub-agents.
func RecipePrograms(options Options) []Program {
	shared := newGenerator(options, 2)
	prompts := []string{shared.text(600), shared.text(800)}
	maxSubAgents := 2 + shared.random.IntN(5)
	programs := make([]Program, options.Programs)
	for index := range programs {
		g := newGenerator(options, 2000+uint64(index))
		program := Program{
			Name:      fmt.Sprintf("meal-%d-%d", options.Seed, index),
			Tenant:    "mapishi",
			Model:     "recipes-small",
			System:    prompts[g.random.IntN(len(prompts))] + g.text(g.tokens(1200, 0.8, 100, 8000)),
			Start:     g.start(false),
			Abandoned: g.random.Float64() < 0.15,
		}
		planner := g.random.Float64() < 0.3
		for range g.geometric(5, 14) {
			program.Turns = append(program.Turns, g.recipeTurn(program, planner, maxSubAgents))
		}
		programs[index] = program
	}
	return programs
}

func (g *generator) recipeTurn(program Program, planner bool, maxSubAgents int) Turn {
	step := Step{
		UserText:     g.text(g.tokens(50, 0.6, 10, 400)),
		OutputTokens: g.tokens(70, 0.5, 16, 220),
		ToolPause:    g.pause(60*time.Millisecond, 0.6),
	}
	if planner {
		for number := range 1 + g.random.IntN(maxSubAgents) {
			step.SubAgents = append(step.SubAgents, g.subAgent(program, number+1))
		}
	}
	return Turn{Steps: []Step{step}, ThinkTime: g.pause(3*time.Second, 0.8)}
}
