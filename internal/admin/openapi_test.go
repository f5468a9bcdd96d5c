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

// TestOpenAPIFileMatchesTheHandlers checks that docs/openapi.yaml documents the served operations and no others.
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
		sender    identity
		requested operation
		allowed   bool
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
			err := authorize(item.sender, item.requested)
			assert.Equal(t, err == nil, item.allowed)
			assert.Assert(t, err == nil || apierr.Is(err, apierr.Forbidden))
		})
	}
}

// TestTenantOperatorAccess checks that a tenant's operator can't reach other tenants' resources, even if their
// names begin with the same letters.
func TestTenantOperatorAccess(t *testing.T) {
	sender := identity{tenant: "ann", role: resource.RoleOperator}
	own := []resource.Key{{Kind: resource.KindPool, Name: "ann"}, {Kind: resource.KindService, Name: "ann-tutor"}}
	others := []resource.Key{{Kind: resource.KindPool, Name: "anna-pool"}, {Kind: resource.KindTenant, Name: "ann"}, {Kind: resource.KindLimit, Name: "ann-limit"}, {Kind: resource.KindPolicy, Name: "bob"}}
	for _, key := range own {
		assert.Assert(t, sender.mayAccess(key), "%v", key)
	}
	for _, key := range others {
		assert.Assert(t, !sender.mayAccess(key), "%v", key)
	}
	service := func(service resource.Service) error {
		return sender.checkReferences(resource.Resource{Kind: resource.KindService, Name: "ann-x", Service: &service})
	}
	assert.NilError(t, service(resource.Service{Pool: "ann-pool", Tenants: []string{"ann"}}))
	assert.ErrorContains(t, service(resource.Service{Pool: "ann-pool", Tenants: []string{"ann", "bob"}}), "may only serve tenant ann")
	assert.ErrorContains(t, service(resource.Service{Pool: "bob-pool", Tenants: []string{"ann"}}), "which does not belong to the tenant")
}
