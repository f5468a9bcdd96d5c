// Package workload generates agent programs as the first users run them, from a seed. The
// distributions are documented in docs/EMULATOR.md.
package workload

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"
)

// Step is one model call of a program, then perhaps a pause for a tool and sub-agents.
type Step struct {
	// UserText is new input before the call; empty for a step that only goes on after a tool.
	UserText string
	// OutputTokens is how long the answer is.
	OutputTokens int
	// ToolPause follows the call.
	ToolPause time.Duration
	// SubAgents run beside each other after the call, before the next step.
	SubAgents []Program
}

// Turn is what a person waits for: a chain of dependent steps.
type Turn struct {
	Steps []Step
	// ThinkTime is how long the person takes before the next turn.
	ThinkTime time.Duration
}

// Program is one agent program. Its shape is fixed here, but nobody who schedules it sees it.
type Program struct {
	Name   string
	Tenant string
	Model  string
	// System is the shared prompt that starts the history.
	System string
	// Start is when the program begins, from the start of the run.
	Start time.Duration
	Turns []Turn
	// Abandoned tells that the caller vanishes after the last turn without ending the program.
	Abandoned bool
}

// Calls counts the model calls of the program and its sub-agents.
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

// Options shape a workload.
type Options struct {
	Seed uint64
	// Programs is how many start; Duration is the span in which they start.
	Programs int
	Duration time.Duration
	// TimeScale shortens pauses, so that a short run has the shape of a long one.
	TimeScale float64
	// UniformStarts spreads the starts evenly instead of in the day's peaks.
	UniformStarts bool
}

// charactersPerToken matches the emulator's tokenizer.
const charactersPerToken = 4

// generator draws from one seed.
type generator struct {
	random  *rand.Rand
	options Options
}

func newGenerator(options Options, stream uint64) *generator {
	return &generator{random: rand.New(rand.NewPCG(options.Seed, stream)), options: options}
}

// logNormal draws with the given median and spread (the standard deviation of the logarithm).
func (g *generator) logNormal(median, spread float64) float64 {
	return median * math.Exp(g.random.NormFloat64()*spread)
}

// geometric draws 1 or more, with the given mean.
func (g *generator) geometric(mean float64, most int) int {
	count := 1
	for count < most && g.random.Float64() > 1/mean {
		count++
	}
	return count
}

func (g *generator) tokens(median, spread float64, least, most int) int {
	return min(max(int(g.logNormal(median, spread)), least), most)
}

func (g *generator) pause(median time.Duration, spread float64) time.Duration {
	return time.Duration(g.logNormal(float64(median)*g.options.TimeScale, spread))
}

// text makes random words of about so many tokens.
func (g *generator) text(tokens int) string {
	var builder strings.Builder
	for builder.Len() < tokens*charactersPerToken {
		fmt.Fprintf(&builder, "w%06x ", g.random.IntN(1<<24))
	}
	return builder.String()[:tokens*charactersPerToken]
}

// start draws a moment; two peaks make the after-school and the bedtime rush.
func (g *generator) start(peaked bool) time.Duration {
	position := g.random.Float64()
	if peaked && !g.options.UniformStarts && g.random.Float64() < 0.7 {
		centre := 0.3
		if g.random.Float64() < 0.5 {
			centre = 0.7
		}
		position = math.Abs(math.Mod(centre+g.random.NormFloat64()*0.08+1, 1))
	}
	return time.Duration(position * float64(g.options.Duration))
}

// TutorPrograms generates tutor programs: few short turns, each a chain of calls with tool checks and
// sometimes a sub-agent that marks work.
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

// subAgent is a short program below another one.
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

// RecipePrograms generates recipe programs: long remembered conversations, and pantry planners that fan
// out over what the market has on the day.
func RecipePrograms(options Options) []Program {
	shared := newGenerator(options, 2)
	prompts := []string{shared.text(600), shared.text(800)}
	market := 2 + shared.random.IntN(5)
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
			program.Turns = append(program.Turns, g.mealTurn(program, planner, market))
		}
		programs[index] = program
	}
	return programs
}

func (g *generator) mealTurn(program Program, planner bool, market int) Turn {
	step := Step{
		UserText:     g.text(g.tokens(50, 0.6, 10, 400)),
		OutputTokens: g.tokens(70, 0.5, 16, 220),
		ToolPause:    g.pause(60*time.Millisecond, 0.6),
	}
	if planner {
		for number := range 1 + g.random.IntN(market) {
			step.SubAgents = append(step.SubAgents, g.subAgent(program, number+1))
		}
	}
	return Turn{Steps: []Step{step}, ThinkTime: g.pause(3*time.Second, 0.8)}
}
