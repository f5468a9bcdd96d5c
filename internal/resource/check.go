package resource

import (
	"fmt"
	"net/url"
	"regexp"
	"strings"
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// Check validates the resource alone; NewSet checks its references to other resources.
func (r Resource) Check() *FieldError {
	if !namePattern.MatchString(r.Name) {
		return r.fieldError("name", "must be 1 to 63 characters of a-z, 0-9, '-' and '.', ending in a letter or digit")
	}
	switch {
	case r.Kind == KindTenant && r.Tenant != nil:
		return r.checkTenant()
	case r.Kind == KindService && r.Service != nil:
		return r.checkService()
	case r.Kind == KindPool && r.Pool != nil:
		return r.checkPool()
	case r.Kind == KindPolicy && r.Policy != nil:
		return nil
	case r.Kind == KindLimit && r.Limit != nil:
		return r.checkLimit()
	}
	return r.fieldError("spec", "is missing or does not fit the kind")
}

func (r Resource) fieldError(field, format string, args ...any) *FieldError {
	return &FieldError{Kind: r.Kind, Name: r.Name, Field: field, Reason: fmt.Sprintf(format, args...)}
}

func (r Resource) checkTenant() *FieldError {
	tenant := r.Tenant
	if strings.Contains(r.Name, ".") {
		return r.fieldError("name", "must not contain '.' for a tenant, because API keys begin with the name and a '.'")
	}
	for index, key := range tenant.Keys {
		if key.ID == "" || key.Salt == "" || len(key.Hash) != 64 {
			return r.fieldError(fmt.Sprintf("keys[%d]", index), "needs an id, a salt and a hash of 64 characters; create one with 'mountstile key'")
		}
		if key.Role != RoleCaller && key.Role != RoleReader && key.Role != RoleOperator {
			return r.fieldError(fmt.Sprintf("keys[%d].role", index), "%q is not one of caller, reader, operator", key.Role)
		}
	}
	if tenant.Weight <= 0 {
		return r.fieldError("weight", "must be above 0")
	}
	if tenant.ProgramTokenBudget < 0 || tenant.ProgramCallBudget < 0 {
		return r.fieldError("programTokenBudget", "budgets must be above 0")
	}
	if tenant.ProgramIdleSeconds < 0 || tenant.ProgramMaxSeconds < 0 {
		return r.fieldError("programIdleSeconds", "durations must be above 0")
	}
	return nil
}

func (r Resource) checkService() *FieldError {
	service := r.Service
	if service.Type != ServiceModel && service.Type != ServiceApplication {
		return r.fieldError("type", "%q is not one of model, application", service.Type)
	}
	if service.Pool == "" {
		return r.fieldError("pool", "is required")
	}
	if service.Type == ServiceModel && len(service.Models) == 0 {
		return r.fieldError("models", "a model service needs at least one model name")
	}
	if service.MaxTokens < 0 || service.QueueSeconds < 0 || service.CallSeconds < 0 || service.FirstTokenSeconds < 0 || service.StallSeconds < 0 || service.MaxAttempts < 0 {
		return r.fieldError("maxTokens", "maxTokens, queueSeconds, callSeconds, firstTokenSeconds, stallSeconds and maxAttempts must be above 0")
	}
	return nil
}

func (r Resource) checkPool() *FieldError {
	names := make(map[string]bool, len(r.Pool.Engines))
	for index, engine := range r.Pool.Engines {
		field := fmt.Sprintf("engines[%d]", index)
		if !namePattern.MatchString(engine.Name) {
			return r.fieldError(field+".name", "%q is not a valid name", engine.Name)
		}
		if names[engine.Name] {
			return r.fieldError(field+".name", "%q appears twice", engine.Name)
		}
		names[engine.Name] = true
		if !isHTTPURL(engine.URL) {
			return r.fieldError(field+".url", "%q is not an http or https URL", engine.URL)
		}
		if engine.Slots < 1 {
			return r.fieldError(field+".slots", "must be 1 or more")
		}
	}
	return r.checkLoading()
}

func (r Resource) checkLoading() *FieldError {
	loading := r.Pool.Loading
	switch {
	case loading == nil:
		return nil
	case !isHTTPURL(loading.WeightStore):
		return r.fieldError("loading.weightStore", "%q is not an http or https URL", loading.WeightStore)
	case loading.AtOnce < 1:
		return r.fieldError("loading.atOnce", "must be 1 or more")
	case loading.HoldSeconds < 0:
		return r.fieldError("loading.holdSeconds", "must be 0 or more")
	}
	return nil
}

func isHTTPURL(address string) bool {
	parsed, err := url.Parse(address)
	return err == nil && (parsed.Scheme == "http" || parsed.Scheme == "https") && parsed.Host != ""
}

func (r Resource) checkLimit() *FieldError {
	if r.Limit.Tenant == "" || r.Limit.Service == "" {
		return r.fieldError("tenant", "tenant and service are required")
	}
	if r.Limit.RequestsPerSecond < 0 || r.Limit.Concurrent < 0 {
		return r.fieldError("requestsPerSecond", "must be 0 or more")
	}
	return nil
}
