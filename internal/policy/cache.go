package policy

import (
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/mountstile/mountstile/internal/resource"
)

// Cache holds the compiled policies of the current configuration. It is safe for concurrent use.
type Cache struct {
	mutex   sync.RWMutex
	byName  map[string]*Policy
	builtin *Policy
}

// NewCache returns a Cache with only the built-in policy.
func NewCache() (*Cache, error) {
	builtin, err := Compile(resource.Policy{})
	if err != nil {
		return nil, errors.Wrap(err, "compiling the built-in policy")
	}
	return &Cache{builtin: builtin, byName: make(map[string]*Policy)}, nil
}

// Check compiles all policies of a set, and returns the first error as a *resource.FieldError if the source is at fault. It is
// used as configuration.Options.Check.
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

// Install replaces the compiled policies by those of a set that has passed Check.
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

// ErrMissing is returned if a service refers to a policy that is not compiled on this node.
type ErrMissing struct{ Name string }

// Error implements error.
func (e *ErrMissing) Error() string { return "policy " + e.Name + " is not compiled" }

// ForService returns a service's policy, which is the built-in one only if the service names none.
func (c *Cache) ForService(service *resource.Service) (*Policy, error) {
	if service.Policy == "" {
		return c.builtin, nil
	}
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	if rules, known := c.byName[service.Policy]; known {
		return rules, nil
	}
	return nil, &ErrMissing{Name: service.Policy}
}
