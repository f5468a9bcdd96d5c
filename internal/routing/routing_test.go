package routing

import (
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

func specification() Specification {
	return Specification{
		Version: 3,
		Services: []ServiceSpecification{
			{Name: "tutors"}, {Name: "pages"},
		},
		Routes: []RouteSpecification{
			{Name: "all", Host: "a.example", Prefix: "/", Kind: Safe, TimeoutMillis: 1000, Targets: []TargetSpecification{{Service: "pages", Weight: 1}}},
			{Name: "deep", Host: "a.example", Prefix: "/x/y/", Kind: Stream, Resumable: true, TimeoutMillis: 1000, Attempts: 3, Targets: []TargetSpecification{{Service: "tutors", Weight: 90}, {Service: "pages", Weight: 10}}},
			{Name: "other", Host: "b.example", Prefix: "/x/", Kind: Unsafe, TimeoutMillis: 1000, Targets: []TargetSpecification{{Service: "pages", Weight: 0}}},
		},
	}
}

func TestMatchUsesTheLongestPrefixOfTheHost(t *testing.T) {
	table, err := New(specification())
	assert.NilError(t, err)
	for _, example := range []struct{ host, path, route string }{
		{"a.example", "/x/y/z", "deep"},
		{"a.example", "/x/y/", "deep"},
		{"a.example", "/x/y", "all"},
		{"A.Example:8080", "/x/yy/z", "all"},
		{"b.example", "/x/y/z", "other"},
		{"b.example", "/y/", ""},
		{"c.example", "/x/", ""},
		{"a.example", "x/y/", ""},
	} {
		route, found := table.Match(example.host, example.path)
		if example.route == "" {
			assert.Assert(t, !found || example.path == "x/y/", "%v", example)
			continue
		}
		assert.Assert(t, found, "%v", example)
		assert.Equal(t, route.Name(), example.route, "%v", example)
	}
}

func TestPickFollowsWeights(t *testing.T) {
	table, err := New(specification())
	assert.NilError(t, err)
	route, _ := table.Match("a.example", "/x/y/z")
	counts := make(map[string]int)
	for step := range 1000 {
		counts[route.Pick(float64(step)/1000)]++
	}
	assert.DeepEqual(t, counts, map[string]int{"tutors": 900, "pages": 100})
	unweighted, _ := table.Match("b.example", "/x/")
	assert.Equal(t, unweighted.Pick(0.5), "pages")
}

func TestRepeatable(t *testing.T) {
	table, err := New(specification())
	assert.NilError(t, err)
	for path, repeatable := range map[string]bool{"/x/y/z": true, "/q": true} {
		route, _ := table.Match("a.example", path)
		assert.Equal(t, route.Repeatable(), repeatable, path)
	}
	unsafe, _ := table.Match("b.example", "/x/")
	assert.Assert(t, !unsafe.Repeatable())
	assert.Equal(t, unsafe.Attempts(), 1)
}

func TestInvalidSpecificationsAreRejected(t *testing.T) {
	for name, modify := range map[string]func(*Specification){
		"no host":         func(s *Specification) { s.Routes[0].Host = "" },
		"prefix":          func(s *Specification) { s.Routes[0].Prefix = "x/" },
		"kind":            func(s *Specification) { s.Routes[0].Kind = "any" },
		"timeout":         func(s *Specification) { s.Routes[0].TimeoutMillis = 0 },
		"no service":      func(s *Specification) { s.Routes[0].Targets = nil },
		"unknown service": func(s *Specification) { s.Routes[0].Targets[0].Service = "none" },
		"unnamed service": func(s *Specification) { s.Services[0].Name = "" },
	} {
		modified := specification()
		modify(&modified)
		_, err := New(modified)
		var invalid *ErrInvalid
		assert.Assert(t, errors.As(err, &invalid), name)
		assert.Assert(t, invalid.Reason != "", name)
	}
}
