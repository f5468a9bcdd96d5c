package policy

import (
	"testing"

	"github.com/mountstile/mountstile/internal/resource"
)

// FuzzCases checks that any file of cases gives an error or one result for each case.
func FuzzCases(f *testing.F) {
	f.Add([]byte("cases:\n- {name: a, policy: p, hook: score, inputs: {engine.load: 0.5}, expect: -0.5}\n"))
	f.Add([]byte("cases:\n- {name: a, policy: p, hook: filter, inputs: {engine.name: x, engine.warm: true}, expect: true}\n"))
	f.Add([]byte("cases:\n- {name: a, policy: p, hook: none, inputs: {engine.load: [1]}, expect: {a: [1]}}\n"))
	f.Add([]byte("cases:\n- {name: a, policy: q, hook: rank, extra: 1}\n"))
	f.Add([]byte("cases: {"))
	policies := map[string]resource.Policy{"p": {Score: "-engine.load", Filter: `engine.warm || engine.name == "x"`}}
	f.Fuzz(func(t *testing.T, content []byte) {
		cases, err := DecodeCases("fuzz", content)
		if err != nil {
			return
		}
		results, err := RunCases(policies, cases)
		if err == nil && len(results) != len(cases) {
			t.Fatalf("%d results for %d cases", len(results), len(cases))
		}
		for _, result := range results {
			if result.Err != nil && result.Passed() {
				t.Fatalf("passed despite an error: %s", result)
			}
		}
	})
}
