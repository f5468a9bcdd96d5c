// Package policy compiles and evaluates scheduling policies, which are CEL expressions for the hooks filter, score, patience,
// rank and admit. docs/POLICIES.md documents the inputs.
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

// The expressions of hooks that a resource.Policy leaves empty.
const (
	DefaultFilter = `true`
	DefaultScore  = `(engine.warm ? 2.0 : 0.0) + (engine.local ? 0.05 : 0.0) - engine.load - (engine.slowness > 2.0 ? 4.0 : 0.0)`
	DefaultRank   = `call.waited_seconds`
	DefaultAdmit  = `true`
	// DefaultPatience lets a call queue at its warm engine unless that one is slow, or the expected wait elsewhere is
	// shorter by more than 3 s.
	DefaultPatience = `engine.warm && engine.slowness < 2.0 ? 3.0 + engine.other_wait_seconds : 0.0`
)

const (
	// maxStaticCost bounds the estimated cost of an expression at compilation, in CEL's cost units.
	maxStaticCost = 500
	// maxRuntimeCost aborts an evaluation whose cost exceeds the estimate.
	maxRuntimeCost = 1000
	// unmeteredCost is the estimated cost up to which the cost is not counted at run time, since counting would take longer
	// than the evaluation.
	unmeteredCost = 50
	// maxStringBytes is the assumed size of string inputs in the estimate.
	maxStringBytes = 256
)

// ErrInvalid is returned for a policy that does not compile, has the wrong type or is too costly.
type ErrInvalid struct {
	Hook   string
	Reason string
}

// Error implements error.
func (e *ErrInvalid) Error() string { return fmt.Sprintf("%s: %s", e.Hook, e.Reason) }

// ErrEvaluation is returned if the evaluation of a hook fails or gives an unusable result.
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
	// passAll is set if the filter is the default, which need not be evaluated.
	passAll bool
}

type hook struct {
	name       string
	expression string
	fallback   string
	resultType *cel.Type
	perEngine  bool
}

// Compile compiles the hooks, and checks their types and costs. Errors of the source are of type *ErrInvalid.
func Compile(source resource.Policy) (*Policy, error) {
	policy := &Policy{passAll: source.Filter == "" || source.Filter == DefaultFilter}
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
	expression := item.expression
	if expression == "" {
		expression = item.fallback
	}
	environment, err := cel.NewEnv(declarations(item.perEngine)...)
	if err != nil {
		return nil, errors.Wrap(err, "creating the CEL environment")
	}
	compiled, issues := environment.Compile(expression)
	if issues.Err() != nil {
		return nil, &ErrInvalid{Hook: item.name, Reason: issues.Err().Error()}
	}
	if !compiled.OutputType().IsExactType(item.resultType) {
		return nil, &ErrInvalid{Hook: item.name, Reason: fmt.Sprintf("has type %s, not %s", compiled.OutputType(), item.resultType)}
	}
	estimate, err := environment.EstimateCost(compiled, sizeEstimator{})
	if err != nil {
		return nil, &ErrInvalid{Hook: item.name, Reason: err.Error()}
	}
	if estimate.Max > maxStaticCost {
		return nil, &ErrInvalid{Hook: item.name, Reason: fmt.Sprintf("may cost %d units; the limit is %d", estimate.Max, maxStaticCost)}
	}
	options := []cel.ProgramOption{cel.EvalOptions(cel.OptOptimize)}
	if estimate.Max > unmeteredCost {
		options = append(options, cel.CostLimit(maxRuntimeCost))
	}
	program, err := environment.Program(compiled, options...)
	if err != nil {
		return nil, &ErrInvalid{Hook: item.name, Reason: err.Error()}
	}
	return program, nil
}

// sizeEstimator implements cost.Estimator with maxStringBytes for every input.
type sizeEstimator struct{}

// EstimateSize implements cost.Estimator.
func (sizeEstimator) EstimateSize(cost.AstNode) *cost.SizeEstimate {
	return &cost.SizeEstimate{Min: 0, Max: maxStringBytes}
}

// EstimateCallCost implements cost.Estimator.
func (sizeEstimator) EstimateCallCost(string, string, *cost.AstNode, []cost.AstNode) *cost.CallEstimate {
	return nil
}

// Filter reports whether the engine may serve the call; false if the evaluation fails.
func (p *Policy) Filter(input *Input) (bool, error) {
	if p.passAll {
		return true, nil
	}
	return evaluateBool("filter", p.filter, input)
}

// Admit reports whether the call may be placed at all.
func (p *Policy) Admit(input *Input) (bool, error) { return evaluateBool("admit", p.admit, input) }

// Score returns the engine's score for the call; the engine with the highest is tried first.
func (p *Policy) Score(input *Input) (float64, error) { return evaluateDouble("score", p.score, input) }

// Rank returns the call's rank in the queues of engines; the highest runs first.
func (p *Policy) Rank(input *Input) (float64, error) { return evaluateDouble("rank", p.rank, input) }

// Patience returns for how many seconds the call may queue at the engine before the next one is tried; never below 0.
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

// boolValue converts without an allocation.
func boolValue(value bool) any {
	if value {
		return types.True
	}
	return types.False
}
