// Package resource defines the resources that operators publish (tenants, services, pools, policies and
// limits), their validation and their YAML encoding.
package resource

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"time"
)

// Kind names a type of resource.
type Kind string

// The kinds of resource.
const (
	KindTenant  Kind = "Tenant"
	KindService Kind = "Service"
	KindPool    Kind = "Pool"
	KindPolicy  Kind = "Policy"
	KindLimit   Kind = "Limit"
)

// Kinds lists all kinds. A resource refers only to resources of kinds that precede its own in the list.
var Kinds = []Kind{KindTenant, KindPolicy, KindPool, KindService, KindLimit}

// Role is the set of permissions of an API key.
type Role string

const (
	// RoleCaller may send calls, but not use the administration API.
	RoleCaller Role = "caller"
	// RoleReader may also read its tenant's resources and programs.
	RoleReader Role = "reader"
	// RoleOperator may also change its tenant's services, pools, policies and limits.
	RoleOperator Role = "operator"
)

// APIKey is an API key as it is stored: with a salted hash instead of the secret.
type APIKey struct {
	ID   string `json:"id" yaml:"id"`
	Salt string `json:"salt" yaml:"salt"`
	// Hash is the hexadecimal SHA-256 of salt and secret. Secrets have at least 128 random bits, so a slow
	// password hash would add no security.
	Hash     string    `json:"hash" yaml:"hash"`
	Role     Role      `json:"role,omitempty" yaml:"role"`
	NotAfter time.Time `json:"not_after,omitzero" yaml:"notAfter"`
}

const saltBytes = 16

// NewAPIKey hashes secret with a new random salt.
func NewAPIKey(id, secret string, role Role) APIKey {
	salt := make([]byte, saltBytes)
	_, _ = rand.Read(salt) // crypto/rand.Read never returns an error; it aborts the program instead.
	encoded := hex.EncodeToString(salt)
	return APIKey{ID: id, Salt: encoded, Hash: hashSecret(encoded, secret), Role: role}
}

func hashSecret(salt, secret string) string {
	sum := sha256.Sum256([]byte(salt + ":" + secret))
	return hex.EncodeToString(sum[:])
}

// Matches reports whether secret is the key's secret and the key has not expired at now. The comparison takes
// constant time.
func (k APIKey) Matches(secret string, now time.Time) bool {
	if !k.NotAfter.IsZero() && now.After(k.NotAfter) {
		return false
	}
	return subtle.ConstantTimeCompare([]byte(k.Hash), []byte(hashSecret(k.Salt, secret))) == 1
}

// Tenant is a team that uses the platform, with its API keys and budgets.
type Tenant struct {
	Keys []APIKey `json:"keys" yaml:"keys"`
	// HomeRegion is the region that stores the tenant's programs; empty means the first region of the cluster.
	HomeRegion string `json:"home_region,omitempty" yaml:"homeRegion"`
	// Weight is the tenant's share of the capacity under overload, relative to other tenants.
	Weight float64 `json:"weight,omitempty" yaml:"weight"`
	// ProgramTokenBudget limits the prompt and generated tokens of a program, including its sub-agents.
	ProgramTokenBudget int64 `json:"program_token_budget,omitempty" yaml:"programTokenBudget"`
	// ProgramCallBudget limits the calls of a program, including its sub-agents.
	ProgramCallBudget int64 `json:"program_call_budget,omitempty" yaml:"programCallBudget"`
	// ProgramIdleSeconds is how long a program may make no call before it is ended.
	ProgramIdleSeconds int64 `json:"program_idle_seconds,omitempty" yaml:"programIdleSeconds"`
	// ProgramMaxSeconds is the age at which a program is ended.
	ProgramMaxSeconds int64 `json:"program_max_seconds,omitempty" yaml:"programMaxSeconds"`
}

// ServiceType is the protocol of a service's engines.
type ServiceType string

const (
	// ServiceModel engines implement the OpenAI chat-completions API.
	ServiceModel ServiceType = "model"
	// ServiceApplication engines are plain HTTP servers.
	ServiceApplication ServiceType = "application"
)

// Service is a target of calls: models, addressed by name, or an application, addressed by a path prefix.
type Service struct {
	Type    ServiceType `json:"type" yaml:"type"`
	Pool    string      `json:"pool" yaml:"pool"`
	Policy  string      `json:"policy,omitempty" yaml:"policy"`
	Models  []string    `json:"models,omitempty" yaml:"models"`
	Tenants []string    `json:"tenants" yaml:"tenants"`
	// MaxTokens limits the generated tokens of a call, and is the default for calls that set no limit.
	MaxTokens int64 `json:"max_tokens,omitempty" yaml:"maxTokens"`
	// QueueSeconds is how long a call may wait for an engine.
	QueueSeconds float64 `json:"queue_seconds,omitempty" yaml:"queueSeconds"`
	// CallSeconds is how long a call may take in total.
	CallSeconds float64 `json:"call_seconds,omitempty" yaml:"callSeconds"`
	// FirstTokenSeconds is how long a model engine may take until its first token, and StallSeconds the
	// longest time between tokens, before the attempt counts as lost.
	FirstTokenSeconds float64 `json:"first_token_seconds,omitempty" yaml:"firstTokenSeconds"`
	StallSeconds      float64 `json:"stall_seconds,omitempty" yaml:"stallSeconds"`
	// MaxAttempts limits how often a call that is safe to repeat is sent to an engine.
	MaxAttempts int `json:"max_attempts,omitempty" yaml:"maxAttempts"`
}

// Engine is a server of a pool that runs calls.
type Engine struct {
	Name   string `json:"name" yaml:"name"`
	URL    string `json:"url" yaml:"url"`
	Zone   string `json:"zone,omitempty" yaml:"zone"`
	Region string `json:"region,omitempty" yaml:"region"`
	// Software is the version of the engine's software; empty if it states none. An answer that one version began is not
	// continued by another.
	Software string `json:"software,omitempty" yaml:"software"`
	// Slots is how many calls the engine can run concurrently.
	Slots int `json:"slots,omitempty" yaml:"slots"`
	// Draining engines get no new calls.
	Draining bool `json:"draining,omitempty" yaml:"draining"`
}

// Pool is a set of interchangeable engines.
type Pool struct {
	Engines []Engine `json:"engines" yaml:"engines"`
	// Loading, if set, lets the scheduler decide which model each engine loads. Otherwise each engine
	// serves all models of the pool's services.
	Loading *Loading `json:"loading,omitempty" yaml:"loading"`
}

// Loading describes how the engines of a pool load models.
type Loading struct {
	// WeightStore is the base URL that engines download weights from.
	WeightStore string `json:"weight_store" yaml:"weightStore"`
	// AtOnce limits how many engines load concurrently, because they share the store's bandwidth.
	AtOnce int `json:"at_once,omitempty" yaml:"atOnce"`
	// HoldSeconds is the shortest time that an engine keeps a model.
	HoldSeconds float64 `json:"hold_seconds,omitempty" yaml:"holdSeconds"`
}

// Policy is a set of CEL expressions; an empty one means the built-in default.
type Policy struct {
	Filter string `json:"filter,omitempty" yaml:"filter"`
	Score  string `json:"score,omitempty" yaml:"score"`
	Rank   string `json:"rank,omitempty" yaml:"rank"`
	Admit  string `json:"admit,omitempty" yaml:"admit"`
	// Patience is how many seconds a call waits for a candidate before it goes to the next one.
	Patience string `json:"patience,omitempty" yaml:"patience"`
}

// Limit restricts a tenant's use of a service, in total over all nodes.
type Limit struct {
	Tenant            string  `json:"tenant" yaml:"tenant"`
	Service           string  `json:"service" yaml:"service"`
	RequestsPerSecond float64 `json:"requests_per_second,omitempty" yaml:"requestsPerSecond"`
	Concurrent        int     `json:"concurrent,omitempty" yaml:"concurrent"`
}

// Resource is a published object. Exactly one of the pointers is set, that of Kind.
type Resource struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Revision is the configuration revision that last changed the resource.
	Revision uint64   `json:"revision,omitempty"`
	Tenant   *Tenant  `json:"tenant,omitempty"`
	Service  *Service `json:"service,omitempty"`
	Pool     *Pool    `json:"pool,omitempty"`
	Policy   *Policy  `json:"policy,omitempty"`
	Limit    *Limit   `json:"limit,omitempty"`
}

// Key identifies a resource.
type Key struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// Key returns the key that identifies the resource.
func (r Resource) Key() Key { return Key{Kind: r.Kind, Name: r.Name} }

// Defaults of unset fields.
const (
	DefaultWeight             = 1.0
	DefaultProgramTokenBudget = 4_000_000
	DefaultProgramCallBudget  = 600
	DefaultProgramIdleSeconds = 1800
	DefaultProgramMaxSeconds  = 86_400
	DefaultMaxTokens          = 512
	DefaultQueueSeconds       = 10
	DefaultCallSeconds        = 120
	DefaultFirstTokenSeconds  = 30
	DefaultStallSeconds       = 5
	DefaultMaxAttempts        = 3
	DefaultSlots              = 16
	DefaultLoadsAtOnce        = 1
	DefaultHoldSeconds        = 60
)

func (r *Resource) applyDefaults() {
	switch {
	case r.Tenant != nil:
		setDefault(&r.Tenant.Weight, DefaultWeight)
		setDefault(&r.Tenant.ProgramTokenBudget, DefaultProgramTokenBudget)
		setDefault(&r.Tenant.ProgramCallBudget, DefaultProgramCallBudget)
		setDefault(&r.Tenant.ProgramIdleSeconds, DefaultProgramIdleSeconds)
		setDefault(&r.Tenant.ProgramMaxSeconds, DefaultProgramMaxSeconds)
		for index := range r.Tenant.Keys {
			setDefault(&r.Tenant.Keys[index].Role, RoleCaller)
		}
	case r.Service != nil:
		setDefault(&r.Service.MaxTokens, DefaultMaxTokens)
		setDefault(&r.Service.QueueSeconds, DefaultQueueSeconds)
		setDefault(&r.Service.CallSeconds, DefaultCallSeconds)
		setDefault(&r.Service.FirstTokenSeconds, DefaultFirstTokenSeconds)
		setDefault(&r.Service.StallSeconds, DefaultStallSeconds)
		setDefault(&r.Service.MaxAttempts, DefaultMaxAttempts)
	case r.Pool != nil:
		for index := range r.Pool.Engines {
			setDefault(&r.Pool.Engines[index].Slots, DefaultSlots)
		}
		if r.Pool.Loading != nil {
			setDefault(&r.Pool.Loading.AtOnce, DefaultLoadsAtOnce)
			setDefault(&r.Pool.Loading.HoldSeconds, DefaultHoldSeconds)
		}
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
