package admin

import (
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/goccy/go-yaml"
	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/resource"
)

// TestOpenAPIFileMatchesTheHandlers compares docs/openapi.yaml with the table of operations.
func TestOpenAPIFileMatchesTheHandlers(t *testing.T) {
	content, err := os.ReadFile("../../docs/openapi.yaml")
	assert.NilError(t, err)
	var file struct {
		Paths map[string]map[string]any `yaml:"paths"`
	}
	assert.NilError(t, yaml.Unmarshal(content, &file))
	var documented, served []string
	for path, operations := range file.Paths {
		for method := range operations {
			documented = append(documented, strings.ToUpper(method)+" "+path)
		}
	}
	for _, route := range (&Server{}).Routes() {
		served = append(served, route.Method+" "+route.Path)
	}
	slices.Sort(documented)
	slices.Sort(served)
	assert.DeepEqual(t, documented, served)
}

func TestRoles(t *testing.T) {
	reading := operation{}
	changing := operation{changes: true}
	platform := operation{platform: true}
	cases := map[string]struct {
		who     identity
		what    operation
		allowed bool
	}{
		"administrator changes":         {identity{role: resource.RoleOperator}, changing, true},
		"platform reader reads":         {identity{role: resource.RoleReader}, platform, true},
		"platform reader changes":       {identity{role: resource.RoleReader}, changing, false},
		"tenant operator changes":       {identity{tenant: "t", role: resource.RoleOperator}, changing, true},
		"tenant operator sees platform": {identity{tenant: "t", role: resource.RoleOperator}, platform, false},
		"caller reads":                  {identity{tenant: "t", role: resource.RoleCaller}, reading, false},
	}
	for name, item := range cases {
		t.Run(name, func(t *testing.T) {
			err := authorize(item.who, item.what)
			assert.Equal(t, err == nil, item.allowed)
			assert.Assert(t, err == nil || apierr.Is(err, apierr.Forbidden))
		})
	}
}

// TestTenantOperatorStaysAtHome: names that only look like the tenant's are not.
func TestTenantOperatorStaysAtHome(t *testing.T) {
	who := identity{tenant: "ann", role: resource.RoleOperator}
	own := []resource.Key{{Kind: resource.KindPool, Name: "ann"}, {Kind: resource.KindService, Name: "ann-tutor"}}
	others := []resource.Key{{Kind: resource.KindPool, Name: "anna-pool"}, {Kind: resource.KindTenant, Name: "ann"}, {Kind: resource.KindLimit, Name: "ann-limit"}, {Kind: resource.KindPolicy, Name: "bob"}}
	for _, key := range own {
		assert.Assert(t, who.mayTouch(key), "%v", key)
	}
	for _, key := range others {
		assert.Assert(t, !who.mayTouch(key), "%v", key)
	}
	service := func(service resource.Service) error {
		return who.checkContent(resource.Resource{Kind: resource.KindService, Name: "ann-x", Service: &service})
	}
	assert.NilError(t, service(resource.Service{Pool: "ann-pool", Tenants: []string{"ann"}}))
	assert.ErrorContains(t, service(resource.Service{Pool: "ann-pool", Tenants: []string{"ann", "bob"}}), "may serve tenant ann only")
	assert.ErrorContains(t, service(resource.Service{Pool: "bob-pool", Tenants: []string{"ann"}}), "not the tenant's")
}
