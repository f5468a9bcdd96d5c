package resource

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Set is an immutable collection of resources whose references to each other are valid.
type Set struct {
	resources map[Key]Resource
	// models maps a model to the name of the service that serves it.
	models map[string]string
	limits map[limitKey]Limit
	// loadingPools are the pools whose engines load models.
	loadingPools []Resource
	// poolModels maps a pool's name to the models of the services that use it.
	poolModels map[string][]string
}

type limitKey struct{ tenant, service string }

// NewSet validates resources and the references between them. The error is a *FieldError.
func NewSet(resources []Resource) (*Set, error) {
	set := &Set{resources: make(map[Key]Resource, len(resources)), models: make(map[string]string), limits: make(map[limitKey]Limit), poolModels: make(map[string][]string)}
	for _, item := range resources {
		if err := item.Check(); err != nil {
			return nil, err
		}
		set.resources[item.Key()] = item
	}
	for _, item := range set.List() {
		if err := set.checkAndIndex(item); err != nil {
			return nil, err
		}
		if item.Pool != nil && item.Pool.Loading != nil {
			set.loadingPools = append(set.loadingPools, item)
		}
	}
	return set, nil
}

// checkAndIndex checks the references of a resource, and adds it to the set's models and limits.
func (s *Set) checkAndIndex(item Resource) *FieldError {
	switch item.Kind {
	case KindService:
		return s.checkAndIndexService(item)
	case KindLimit:
		if _, ok := s.Tenant(item.Limit.Tenant); !ok {
			return item.fieldError("tenant", "there is no tenant %q", item.Limit.Tenant)
		}
		if _, ok := s.Service(item.Limit.Service); !ok {
			return item.fieldError("service", "there is no service %q", item.Limit.Service)
		}
		key := limitKey{item.Limit.Tenant, item.Limit.Service}
		if _, taken := s.limits[key]; taken {
			return item.fieldError("tenant", "tenant %s already has a limit on service %s", key.tenant, key.service)
		}
		s.limits[key] = *item.Limit
	}
	return nil
}

func (s *Set) checkAndIndexService(item Resource) *FieldError {
	service := item.Service
	if _, ok := s.Pool(service.Pool); !ok {
		return item.fieldError("pool", "there is no pool %q", service.Pool)
	}
	if _, ok := s.Policy(service.Policy); !ok && service.Policy != "" {
		return item.fieldError("policy", "there is no policy %q", service.Policy)
	}
	for _, tenant := range service.Tenants {
		if _, ok := s.Tenant(tenant); !ok {
			return item.fieldError("tenants", "there is no tenant %q", tenant)
		}
	}
	for _, model := range service.Models {
		if other, taken := s.models[model]; taken {
			return item.fieldError("models", "model %q is already served by service %q", model, other)
		}
		s.models[model] = item.Name
	}
	s.poolModels[service.Pool] = append(s.poolModels[service.Pool], service.Models...)
	return nil
}

// List returns all resources, sorted by kind, in the order of Kinds, and by name.
func (s *Set) List() []Resource {
	list := slices.Collect(maps.Values(s.resources))
	slices.SortFunc(list, func(a, b Resource) int {
		if order := slices.Index(Kinds, a.Kind) - slices.Index(Kinds, b.Kind); order != 0 {
			return order
		}
		return strings.Compare(a.Name, b.Name)
	})
	return list
}

// LoadingPools returns the pools whose engines load models, sorted by name. The slice must not be changed.
func (s *Set) LoadingPools() []Resource { return s.loadingPools }

// ModelsOfPool returns the models of the services that use a pool. The slice must not be changed.
func (s *Set) ModelsOfPool(pool string) []string { return s.poolModels[pool] }

// Engine returns the engine of a pool by name.
func (s *Set) Engine(pool, name string) (Engine, bool) {
	found, known := s.Pool(pool)
	if !known {
		return Engine{}, false
	}
	index := slices.IndexFunc(found.Engines, func(item Engine) bool { return item.Name == name })
	if index < 0 {
		return Engine{}, false
	}
	return found.Engines[index], true
}

// Get returns the resource with the given key.
func (s *Set) Get(key Key) (Resource, bool) {
	found, ok := s.resources[key]
	return found, ok
}

// Tenant returns a tenant by name.
func (s *Set) Tenant(name string) (*Tenant, bool) {
	found, ok := s.resources[Key{KindTenant, name}]
	return found.Tenant, ok
}

// Service returns a service by name.
func (s *Set) Service(name string) (*Service, bool) {
	found, ok := s.resources[Key{KindService, name}]
	return found.Service, ok
}

// Pool returns a pool by name.
func (s *Set) Pool(name string) (*Pool, bool) {
	found, ok := s.resources[Key{KindPool, name}]
	return found.Pool, ok
}

// Policy returns a policy by name.
func (s *Set) Policy(name string) (*Policy, bool) {
	found, ok := s.resources[Key{KindPolicy, name}]
	return found.Policy, ok
}

// ServiceOfModel returns the service that serves a model, with its name.
func (s *Set) ServiceOfModel(model string) (string, *Service, bool) {
	name, ok := s.models[model]
	if !ok {
		return "", nil, false
	}
	service, ok := s.Service(name)
	return name, service, ok
}

// LimitFor returns the limit of a tenant on a service.
func (s *Set) LimitFor(tenant, service string) (Limit, bool) {
	found, ok := s.limits[limitKey{tenant, service}]
	return found, ok
}

// apiKeyParts is the number of parts of an API key: TENANT.KEYID.SECRET.
const apiKeyParts = 3

// Authenticate returns the tenant and role of an API key, or false if the key is unknown or expired.
func (s *Set) Authenticate(apiKey string, now time.Time) (name string, tenant *Tenant, role Role, ok bool) {
	parts := strings.SplitN(apiKey, ".", apiKeyParts)
	if len(parts) != apiKeyParts {
		return "", nil, "", false
	}
	tenant, known := s.Tenant(parts[0])
	if !known {
		return "", nil, "", false
	}
	for _, key := range tenant.Keys {
		if key.ID == parts[1] && key.Matches(parts[2], now) {
			return parts[0], tenant, key.Role, true
		}
	}
	return "", nil, "", false
}
