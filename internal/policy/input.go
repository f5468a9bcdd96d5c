package policy

import (
	"cel.dev/cel-go/cel"
	"cel.dev/cel-go/common/types"
	"cel.dev/cel-go/interpreter"
)

// Input holds the variables of policy expressions. All numbers are doubles, so that expressions need no conversions.
type Input struct {
	CallPromptTokens  float64
	CallMaxTokens     float64
	CallAttempt       float64
	CallWaitedSeconds float64
	CallRepeatable    bool
	CallService       string
	CallModel         string

	ProgramCalls      float64
	ProgramUsedTokens float64
	ProgramAgeSeconds float64
	ProgramMessages   float64
	ProgramDepth      float64
	ProgramEngine     string

	TenantName   string
	TenantWeight float64

	EngineName             string
	EngineZone             string
	EngineRegion           string
	EngineSlots            float64
	EngineRunning          float64
	EngineWaiting          float64
	EngineLoad             float64
	EngineCachedTokens     float64
	EngineWaitSeconds      float64
	EngineSlowness         float64
	EngineOtherWaitSeconds float64
	// EngineUnusedSeconds and EngineAffinity allow round-robin and rendezvous hashing as policies.
	EngineUnusedSeconds float64
	EngineAffinity      float64
	EngineWarm          bool
	EngineLocal         bool
}

// variable declares one variable; those with perEngine exist only in hooks that are evaluated for each engine.
type variable struct {
	name        string
	kind        *cel.Type
	unit        string
	description string
	perEngine   bool
}

// variables lists all variables; a test compares it with ResolveName and docs/POLICIES.md.
var variables = []variable{
	{"call.prompt_tokens", cel.DoubleType, "tokens", "estimated length of the prompt", false},
	{"call.max_tokens", cel.DoubleType, "tokens", "the most that may be generated", false},
	{"call.attempt", cel.DoubleType, "", "1 for the first attempt", false},
	{"call.waited_seconds", cel.DoubleType, "s", "how long the call has waited for an engine", false},
	{"call.repeatable", cel.BoolType, "", "whether the call may be sent again", false},
	{"call.service", cel.StringType, "", "name of the service", false},
	{"call.model", cel.StringType, "", "name of the model", false},
	{"program.calls", cel.DoubleType, "", "calls made so far, sub-agents included", false},
	{"program.used_tokens", cel.DoubleType, "tokens", "tokens used so far, sub-agents included", false},
	{"program.age_seconds", cel.DoubleType, "s", "time since the first call", false},
	{"program.messages", cel.DoubleType, "", "messages in the history", false},
	{"program.depth", cel.DoubleType, "", "0 for a program, 1 for its sub-agents, and so on", false},
	{"program.engine", cel.StringType, "", "engine of the latest call", false},
	{"tenant.name", cel.StringType, "", "name of the tenant", false},
	{"tenant.weight", cel.DoubleType, "", "weight of the tenant", false},
	{"engine.name", cel.StringType, "", "name of the candidate", true},
	{"engine.zone", cel.StringType, "", "zone of the candidate", true},
	{"engine.region", cel.StringType, "", "region of the candidate", true},
	{"engine.slots", cel.DoubleType, "calls", "calls that the candidate runs at once", true},
	{"engine.running", cel.DoubleType, "calls", "calls running at the candidate, as last heard", true},
	{"engine.waiting", cel.DoubleType, "calls", "calls waiting for the candidate, as last heard", true},
	{"engine.load", cel.DoubleType, "", "(running + waiting) / slots", true},
	{"engine.cached_tokens", cel.DoubleType, "tokens", "estimate of the prompt's tokens that the candidate has cached", true},
	{"engine.wait_seconds", cel.DoubleType, "s", "how long a call would stand in the candidate's line, as last heard; 0 if it has room", true},
	{"engine.other_wait_seconds", cel.DoubleType, "s", "the shortest such wait among the other candidates", true},
	{"engine.slowness", cel.DoubleType, "", "time between the candidate's tokens, as a multiple of the median over the candidates; 1 if not known lately", true},
	{"engine.unused_seconds", cel.DoubleType, "s", "time since this node's scheduler last chose the candidate", true},
	{"engine.affinity", cel.DoubleType, "", "from 0 to 1, by a hash of the program's root and the candidate", true},
	{"engine.warm", cel.BoolType, "", "whether the candidate served the latest call of the program or, for a program that has made none, of an ancestor with the same first message", true},
	{"engine.local", cel.BoolType, "", "whether the candidate is in this node's zone", true},
}

func declarations(perEngine bool) []cel.EnvOption {
	var options []cel.EnvOption
	for _, item := range variables {
		if perEngine || !item.perEngine {
			options = append(options, cel.Variable(item.name, item.kind))
		}
	}
	return options
}

// Parent implements interpreter.Activation.
func (i *Input) Parent() interpreter.Activation { return nil }

// ResolveName implements interpreter.Activation. It uses no map, since it runs several times for each candidate of each call.
func (i *Input) ResolveName(name string) (any, bool) {
	if value, ok := i.number(name); ok {
		return types.Double(value), true
	}
	if value, ok := i.flag(name); ok {
		return boolValue(value), true
	}
	if value, ok := i.text(name); ok {
		return types.String(value), true
	}
	return nil, false
}

func (i *Input) number(name string) (float64, bool) {
	switch name {
	case "engine.load":
		return i.EngineLoad, true
	case "engine.running":
		return i.EngineRunning, true
	case "engine.waiting":
		return i.EngineWaiting, true
	case "engine.slots":
		return i.EngineSlots, true
	case "engine.cached_tokens":
		return i.EngineCachedTokens, true
	case "engine.wait_seconds":
		return i.EngineWaitSeconds, true
	case "engine.other_wait_seconds":
		return i.EngineOtherWaitSeconds, true
	case "engine.slowness":
		return i.EngineSlowness, true
	case "engine.unused_seconds":
		return i.EngineUnusedSeconds, true
	case "engine.affinity":
		return i.EngineAffinity, true
	case "call.prompt_tokens":
		return i.CallPromptTokens, true
	case "call.max_tokens":
		return i.CallMaxTokens, true
	case "call.attempt":
		return i.CallAttempt, true
	case "call.waited_seconds":
		return i.CallWaitedSeconds, true
	case "program.calls":
		return i.ProgramCalls, true
	case "program.used_tokens":
		return i.ProgramUsedTokens, true
	case "program.age_seconds":
		return i.ProgramAgeSeconds, true
	case "program.messages":
		return i.ProgramMessages, true
	case "program.depth":
		return i.ProgramDepth, true
	case "tenant.weight":
		return i.TenantWeight, true
	}
	return 0, false
}

func (i *Input) flag(name string) (bool, bool) {
	switch name {
	case "engine.warm":
		return i.EngineWarm, true
	case "engine.local":
		return i.EngineLocal, true
	case "call.repeatable":
		return i.CallRepeatable, true
	}
	return false, false
}

func (i *Input) text(name string) (string, bool) {
	switch name {
	case "call.service":
		return i.CallService, true
	case "call.model":
		return i.CallModel, true
	case "program.engine":
		return i.ProgramEngine, true
	case "tenant.name":
		return i.TenantName, true
	case "engine.name":
		return i.EngineName, true
	case "engine.zone":
		return i.EngineZone, true
	case "engine.region":
		return i.EngineRegion, true
	}
	return "", false
}

// fields maps the name of each variable to a pointer to its field, for policy cases and tests.
func (i *Input) fields() map[string]any {
	return map[string]any{
		"engine.load":               &i.EngineLoad,
		"engine.running":            &i.EngineRunning,
		"engine.waiting":            &i.EngineWaiting,
		"engine.slots":              &i.EngineSlots,
		"engine.cached_tokens":      &i.EngineCachedTokens,
		"engine.wait_seconds":       &i.EngineWaitSeconds,
		"engine.other_wait_seconds": &i.EngineOtherWaitSeconds,
		"engine.slowness":           &i.EngineSlowness,
		"engine.unused_seconds":     &i.EngineUnusedSeconds,
		"engine.affinity":           &i.EngineAffinity,
		"call.prompt_tokens":        &i.CallPromptTokens,
		"call.max_tokens":           &i.CallMaxTokens,
		"call.attempt":              &i.CallAttempt,
		"call.waited_seconds":       &i.CallWaitedSeconds,
		"program.calls":             &i.ProgramCalls,
		"program.used_tokens":       &i.ProgramUsedTokens,
		"program.age_seconds":       &i.ProgramAgeSeconds,
		"program.messages":          &i.ProgramMessages,
		"program.depth":             &i.ProgramDepth,
		"tenant.weight":             &i.TenantWeight,
		"engine.warm":               &i.EngineWarm,
		"engine.local":              &i.EngineLocal,
		"call.repeatable":           &i.CallRepeatable,
		"call.service":              &i.CallService,
		"call.model":                &i.CallModel,
		"program.engine":            &i.ProgramEngine,
		"tenant.name":               &i.TenantName,
		"engine.name":               &i.EngineName,
		"engine.zone":               &i.EngineZone,
		"engine.region":             &i.EngineRegion,
	}
}
