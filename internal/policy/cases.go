package policy

import (
	"bytes"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"

	"github.com/mountstile/mountstile/internal/resource"
)

// Case is an operator's test of one hook of a policy. Inputs are keyed by the names of variables; others are zero.
type Case struct {
	Name   string         `yaml:"name"`
	Policy string         `yaml:"policy"`
	Hook   string         `yaml:"hook"`
	Inputs map[string]any `yaml:"inputs"`
	// Expect is a bool, or a number that is compared within tolerance.
	Expect any `yaml:"expect"`
}

type caseFile struct {
	Cases []Case `yaml:"cases"`
}

// ErrCase is returned for a case that can't be run.
type ErrCase struct {
	Name   string
	Reason string
}

// Error implements error.
func (e *ErrCase) Error() string { return fmt.Sprintf("case %q: %s", e.Name, e.Reason) }

// ErrCasesFailed reports how many cases did not give the expected result.
type ErrCasesFailed struct{ Count int }

// Error implements error.
func (e *ErrCasesFailed) Error() string { return fmt.Sprintf("%d cases failed", e.Count) }

// DecodeCases decodes a YAML file of cases; unknown fields are errors. The path is used in errors only.
func DecodeCases(path string, content []byte) ([]Case, error) {
	var decoded caseFile
	if err := yaml.NewDecoder(bytes.NewReader(content), yaml.DisallowUnknownField()).Decode(&decoded); err != nil {
		return nil, errors.Wrapf(err, "%s", path)
	}
	return decoded.Cases, nil
}

// CaseResult is the outcome of one case.
type CaseResult struct {
	Case Case
	Got  any
	Err  error
}

// tolerance is the absolute difference up to which numbers count as equal.
const tolerance = 1e-6

// Passed reports whether the hook gave the expected result without an error.
func (r CaseResult) Passed() bool {
	if r.Err != nil {
		return false
	}
	got, isNumber := r.Got.(float64)
	if !isNumber {
		return r.Got == r.Case.Expect
	}
	expected, ok := toFloat(r.Case.Expect)
	difference := got - expected
	return ok && difference <= tolerance && difference >= -tolerance
}

// String returns the result as one line of a report.
func (r CaseResult) String() string {
	switch {
	case r.Err != nil:
		return fmt.Sprintf("FAIL %s: %s", r.Case.Name, r.Err)
	case r.Passed():
		return fmt.Sprintf("ok   %s", r.Case.Name)
	}
	return fmt.Sprintf("FAIL %s: got %v, expected %v", r.Case.Name, r.Got, r.Case.Expect)
}

// RunCases evaluates cases with the policies that they name. It fails if a policy or an input is invalid; an unknown or failing
// hook is reported in its CaseResult.
func RunCases(policies map[string]resource.Policy, cases []Case) ([]CaseResult, error) {
	var results []CaseResult
	for _, item := range cases {
		source, known := policies[item.Policy]
		if !known {
			return nil, &ErrCase{Name: item.Name, Reason: fmt.Sprintf("no policy %q in the file", item.Policy)}
		}
		compiled, err := Compile(source)
		if err != nil {
			return nil, err
		}
		input, err := buildInput(item)
		if err != nil {
			return nil, err
		}
		result := CaseResult{Case: item}
		result.Got, result.Err = compiled.hook(item.Hook, input)
		results = append(results, result)
	}
	return results, nil
}

func (p *Policy) hook(name string, input *Input) (any, error) {
	switch name {
	case "filter":
		return p.Filter(input)
	case "score":
		return p.Score(input)
	case "rank":
		return p.Rank(input)
	case "admit":
		return p.Admit(input)
	case "patience":
		return p.Patience(input)
	}
	return nil, &ErrCase{Name: name, Reason: "unknown hook; use filter, score, rank, admit or patience"}
}

func toFloat(value any) (float64, bool) {
	switch number := value.(type) {
	case float64:
		return number, true
	case uint64:
		return float64(number), true
	case int64:
		return float64(number), true
	case int:
		return float64(number), true
	}
	return 0, false
}

func buildInput(item Case) (*Input, error) {
	input := &Input{}
	fields := input.fields()
	for name, value := range item.Inputs {
		target, known := fields[name]
		if !known {
			return nil, &ErrCase{Name: item.Name, Reason: fmt.Sprintf("unknown input %q", name)}
		}
		if !assign(target, value) {
			return nil, &ErrCase{Name: item.Name, Reason: fmt.Sprintf("input %q has the wrong type", name)}
		}
	}
	return input, nil
}

func assign(target, value any) bool {
	switch field := target.(type) {
	case *float64:
		number, ok := toFloat(value)
		*field = number
		return ok
	case *bool:
		flag, ok := value.(bool)
		*field = flag
		return ok
	case *string:
		text, ok := value.(string)
		*field = text
		return ok
	}
	return false
}
