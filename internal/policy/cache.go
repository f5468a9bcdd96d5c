package policy

import (
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/mountstile/mountstile/internal/resource"
)

// Cache holds the compiled policies of the configuration in force.
type Cache struct {
	mutex    sync.RWMutex
	byName   map[string]*Policy
	standard *Policy
}

// NewCache returns a Cache with the built-in policy.
func NewCache() (*Cache, error) {
	standard, err := Compile(resource.Policy{})
	if err != nil {
		return nil, errors.Wrap(err, "compiling the built-in policy")
	}
	return &Cache{standard: standard, byName: make(map[string]*Policy)}, nil
}

// Check compiles all policies of a set; it is configuration.Options.Check.
func Check(set *resource.Set) error {
	for _, item := range set.List() {
		if item.Policy == nil {
			continue
		}
		if _, err := Compile(*item.Policy); err != nil {
			return fieldError(item, err)
		}
	}
	return nil
}

func fieldError(item resource.Resource, err error) error {
	var invalid *ErrInvalid
	if errors.As(err, &invalid) {
		return &resource.FieldError{Kind: item.Kind, Name: item.Name, Field: invalid.Hook, Reason: invalid.Reason}
	}
	return err
}

// Install replaces the compiled policies. The set has passed Check.
func (c *Cache) Install(set *resource.Set) {
	compiled := make(map[string]*Policy)
	for _, item := range set.List() {
		if item.Policy == nil {
			continue
		}
		if rules, err := Compile(*item.Policy); err == nil {
			compiled[item.Name] = rules
		}
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.byName = compiled
}

// ErrMissing means that a service's policy is not compiled on this node.
type ErrMissing struct{ Name string }

// Error implements error.
func (e *ErrMissing) Error() string { return "policy " + e.Name + " is not compiled" }

// ForService returns a service's policy; it never falls back to another one.
func (c *Cache) ForService(service *resource.Service) (*Policy, error) {
	if service.Policy == "" {
		return c.standard, nil
	}
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	if rules, known := c.byName[service.Policy]; known {
		return rules, nil
	}
	return nil, &ErrMissing{Name: service.Policy}
}
