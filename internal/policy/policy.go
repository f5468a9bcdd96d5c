// Package policy compiles and evaluates the operators' CEL programs: filter, score, patience, rank and admit.
// docs/POLICIES.md documents the inputs.
package policy

import (
	"fmt"
	"math"

	"cel.dev/cel-go/cel"
	"cel.dev/cel-go/common/cost"
	"cel.dev/cel-go/common/types"
	"cel.dev/cel-go/interpreter"

	"github.com/cockroachdb/errors"

	"github.com/mountstile/mountstile/internal/resource"
)

// The built-in programs; an empty hook of a Policy means these.
const (
	DefaultFilter = `true`
	DefaultScore  = `(engine.warm ? 2.0 : 0.0) + (engine.local ? 0.05 : 0.0) - engine.load - (engine.slowness > 2.0 ? 4.0 : 0.0)`
	DefaultRank   = `call.waited_seconds`
	DefaultAdmit  = `true`
	// DefaultPatience keeps a call at its warm engine unless that one is slow, or another line is
	// shorter by 3 s.
	DefaultPatience = `engine.warm && engine.slowness < 2.0 ? 3.0 + engine.other_wait_seconds : 0.0`
)

const (
	// maxStaticCost bounds a program when it is published, in CEL's cost units.
	maxStaticCost = 500
	// maxRuntimeCost stops an evaluation that costs more all the same.
	maxRuntimeCost = 1000
	// cheapCost is a static bound so low that counting at run time would cost more than the program.
	cheapCost = 50
	// maxTextBytes bounds string inputs for the static estimate.
	maxTextBytes = 256
)

// ErrInvalid means that a policy can't be published.
type ErrInvalid struct {
	Hook   string
	Reason string
}

// Error implements error.
func (e *ErrInvalid) Error() string { return fmt.Sprintf("%s: %s", e.Hook, e.Reason) }

// ErrEvaluation means that a policy failed at run time.
type ErrEvaluation struct {
	Hook   string
	Reason string
}

// Error implements error.
func (e *ErrEvaluation) Error() string {
	return fmt.Sprintf("policy hook %s failed: %s", e.Hook, e.Reason)
}

// Policy is a compiled resource.Policy. It is safe for concurrent use.
type Policy struct {
	filter   cel.Program
	score    cel.Program
	rank     cel.Program
	admit    cel.Program
	patience cel.Program
	// openFilter tells that the filter lets everything pass, so that it need not run.
	openFilter bool
}

type hook struct {
	name      string
	text      string
	fallback  string
	result    *cel.Type
	perEngine bool
}

// Compile checks types and bounds the cost of each hook.
func Compile(source resource.Policy) (*Policy, error) {
	policy := &Policy{openFilter: source.Filter == "" || source.Filter == DefaultFilter}
	hooks := []struct {
		hook
		target *cel.Program
	}{
		{hook{"filter", source.Filter, DefaultFilter, cel.BoolType, true}, &policy.filter},
		{hook{"score", source.Score, DefaultScore, cel.DoubleType, true}, &policy.score},
		{hook{"rank", source.Rank, DefaultRank, cel.DoubleType, false}, &policy.rank},
		{hook{"admit", source.Admit, DefaultAdmit, cel.BoolType, false}, &policy.admit},
		{hook{"patience", source.Patience, DefaultPatience, cel.DoubleType, true}, &policy.patience},
	}
	for _, item := range hooks {
		compiled, err := compileHook(item.hook)
		if err != nil {
			return nil, err
		}
		*item.target = compiled
	}
	return policy, nil
}

func compileHook(item hook) (cel.Program, error) {
	text := item.text
	if text == "" {
		text = item.fallback
	}
	environment, err := cel.NewEnv(declarations(item.perEngine)...)
	if err != nil {
		return nil, errors.Wrap(err, "building the CEL environment")
	}
	compiled, issues := environment.Compile(text)
	if issues.Err() != nil {
		return nil, &ErrInvalid{Hook: item.name, Reason: issues.Err().Error()}
	}
	if !compiled.OutputType().IsExactType(item.result) {
		return nil, &ErrInvalid{Hook: item.name, Reason: fmt.Sprintf("gives %s, not %s", compiled.OutputType(), item.result)}
	}
	estimate, err := environment.EstimateCost(compiled, sizes{})
	if err != nil {
		return nil, &ErrInvalid{Hook: item.name, Reason: err.Error()}
	}
	if estimate.Max > maxStaticCost {
		return nil, &ErrInvalid{Hook: item.name, Reason: fmt.Sprintf("may cost %d units; the most is %d", estimate.Max, maxStaticCost)}
	}
	options := []cel.ProgramOption{cel.EvalOptions(cel.OptOptimize)}
	if estimate.Max > cheapCost {
		options = append(options, cel.CostLimit(maxRuntimeCost))
	}
	program, err := environment.Program(compiled, options...)
	if err != nil {
		return nil, &ErrInvalid{Hook: item.name, Reason: err.Error()}
	}
	return program, nil
}

// sizes bounds the string inputs for the static cost estimate.
type sizes struct{}

// EstimateSize implements cost.Estimator.
func (sizes) EstimateSize(cost.AstNode) *cost.SizeEstimate {
	return &cost.SizeEstimate{Min: 0, Max: maxTextBytes}
}

// EstimateCallCost implements cost.Estimator.
func (sizes) EstimateCallCost(string, string, *cost.AstNode, []cost.AstNode) *cost.CallEstimate {
	return nil
}

// Filter reports whether the engine may serve the call. A failing policy is never open.
func (p *Policy) Filter(input *Input) (bool, error) {
	if p.openFilter {
		return true, nil
	}
	return evaluateBool("filter", p.filter, input)
}

// Admit reports whether the call may be served at all.
func (p *Policy) Admit(input *Input) (bool, error) { return evaluateBool("admit", p.admit, input) }

// Score ranks engines for a call; higher is better.
func (p *Policy) Score(input *Input) (float64, error) { return evaluateDouble("score", p.score, input) }

// Rank orders the calls that wait for an engine; higher goes first.
func (p *Policy) Rank(input *Input) (float64, error) { return evaluateDouble("rank", p.rank, input) }

// Patience is how many seconds a call rather waits for an engine than goes to the next; never
// below 0.
func (p *Policy) Patience(input *Input) (float64, error) {
	seconds, err := evaluateDouble("patience", p.patience, input)
	return max(0, seconds), err
}

func evaluate(name string, program cel.Program, input *Input) (any, error) {
	value, _, err := program.Eval(input)
	if err != nil {
		return nil, &ErrEvaluation{Hook: name, Reason: err.Error()}
	}
	return value.Value(), nil
}

func evaluateBool(name string, program cel.Program, input *Input) (bool, error) {
	value, err := evaluate(name, program, input)
	if err != nil {
		return false, err
	}
	result, ok := value.(bool)
	if !ok {
		return false, &ErrEvaluation{Hook: name, Reason: "the result is not a bool"}
	}
	return result, nil
}

func evaluateDouble(name string, program cel.Program, input *Input) (float64, error) {
	value, err := evaluate(name, program, input)
	if err != nil {
		return 0, err
	}
	result, ok := value.(float64)
	if !ok || math.IsNaN(result) || math.IsInf(result, 0) {
		return 0, &ErrEvaluation{Hook: name, Reason: "the result is not a finite number"}
	}
	return result, nil
}

var _ interpreter.Activation = (*Input)(nil)

// boolValue avoids an allocation for each boolean input.
func boolValue(value bool) any {
	if value {
		return types.True
	}
	return types.False
}
