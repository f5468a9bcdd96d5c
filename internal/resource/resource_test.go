package resource_test

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp/cmpopts"
	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/resource"
)

func TestDecodeErrorsNameFileLineAndField(t *testing.T) {
	cases := map[string]struct {
		text  string
		line  int
		field string
	}{
		"unknown field":   {"kind: Tenant\nname: a\nspec:\n  wieght: 2\n", 4, "wieght"},
		"second document": {"kind: Policy\nname: a\nspec: {}\n---\nkind: Tenant\nname: b\nspec:\n  nope: 1\n", 8, "nope"},
		"unknown kind":    {"kind: Tenent\nname: a\n", 1, "kind"},
		"bad name":        {"kind: Tenant\nname: A B\nspec: {}\n", 1, "name"},
		"bad weight":      {"kind: Tenant\nname: a\nspec: {weight: -1}\n", 1, "weight"},
		"bad URL":         {"kind: Pool\nname: a\nspec: {engines: [{name: e, url: ftp://x}]}\n", 1, "engines[0].url"},
		"twice":           {"kind: Pool\nname: a\nspec: {engines: [{name: e, url: 'http://x'}, {name: e, url: 'http://y'}]}\n", 1, "engines[1].name"},
		"no models":       {"kind: Service\nname: a\nspec: {type: model, pool: p}\n", 1, "models"},
	}
	for name, testCase := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := resource.Decode("file.yaml", strings.NewReader(testCase.text))
			var field *resource.FieldError
			assert.Assert(t, errors.As(err, &field), "%v", err)
			assert.Equal(t, field.File, "file.yaml")
			assert.Equal(t, field.Line, testCase.line)
			assert.Equal(t, field.Field, testCase.field)
		})
	}
}

func TestNewSetChecksReferences(t *testing.T) {
	tenant := resource.Resource{Kind: resource.KindTenant, Name: "t", Tenant: &resource.Tenant{Weight: 1}}
	pool := resource.Resource{Kind: resource.KindPool, Name: "p", Pool: &resource.Pool{}}
	service := func(name string, modify func(*resource.Service)) resource.Resource {
		spec := &resource.Service{Type: resource.ServiceModel, Pool: "p", Models: []string{"m"}, Tenants: []string{"t"}}
		modify(spec)
		return resource.Resource{Kind: resource.KindService, Name: name, Service: spec}
	}
	unchanged := func(*resource.Service) {}
	_, err := resource.NewSet([]resource.Resource{tenant, pool, service("s", unchanged)})
	assert.NilError(t, err)
	bad := map[string][]resource.Resource{
		"pool":   {tenant, pool, service("s", func(s *resource.Service) { s.Pool = "q" })},
		"policy": {tenant, pool, service("s", func(s *resource.Service) { s.Policy = "q" })},
		"tenant": {tenant, pool, service("s", func(s *resource.Service) { s.Tenants = []string{"q"} })},
		"models": {tenant, pool, service("s", unchanged), service("r", unchanged)},
		"limit":  {tenant, {Kind: resource.KindLimit, Name: "l", Limit: &resource.Limit{Tenant: "t", Service: "s"}}},
	}
	for name, resources := range bad {
		t.Run(name, func(t *testing.T) {
			_, err := resource.NewSet(resources)
			var field *resource.FieldError
			assert.Assert(t, errors.As(err, &field), "%v", err)
		})
	}
}

func TestAPIKeyMatchesUntilItExpires(t *testing.T) {
	key := resource.NewAPIKey("k", "secret", resource.RoleCaller)
	now := time.Unix(1000, 0)
	assert.Assert(t, key.Matches("secret", now))
	assert.Assert(t, !key.Matches("Secret", now))
	key.NotAfter = now
	assert.Assert(t, key.Matches("secret", now))
	assert.Assert(t, !key.Matches("secret", now.Add(time.Second)))
}

// TestExamplesDecodeAndEncode checks that the examples survive a round of encoding and decoding.
func TestExamplesDecodeAndEncode(t *testing.T) {
	for _, name := range []string{"brindleway", "mapishi"} {
		content, err := os.ReadFile("../../examples/" + name + ".yaml")
		assert.NilError(t, err)
		first, err := resource.Decode(name, strings.NewReader(string(content)))
		assert.NilError(t, err)
		encoded, err := resource.Encode(first)
		assert.NilError(t, err)
		second, err := resource.Decode(name, strings.NewReader(string(encoded)))
		assert.NilError(t, err)
		assert.DeepEqual(t, first, second, cmpopts.EquateEmpty())
	}
}

// FuzzDecode checks that any input gives valid resources or a *FieldError.
func FuzzDecode(f *testing.F) {
	f.Add("kind: Tenant\nname: a\nspec: {weight: 2}\n")
	f.Add("---\n# nothing\n---\nkind: Pool\n")
	f.Add("kind: [\n")
	f.Add("a: &x [*x]")
	f.Fuzz(func(t *testing.T, text string) {
		resources, err := resource.Decode("fuzz", strings.NewReader(text))
		var field *resource.FieldError
		if err != nil && !errors.As(err, &field) {
			t.Fatalf("error is not a *FieldError: %v", err)
		}
		for _, item := range resources {
			if item.Check() != nil {
				t.Fatal("Decode returned an invalid resource")
			}
		}
	})
}
