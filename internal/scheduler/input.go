package scheduler

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mountstile/mountstile/internal/policy"
)

// input describes the call itself.
func (c Call) input(waited time.Duration) policy.Input {
	return policy.Input{
		CallPromptTokens:  float64(c.PromptTokens),
		CallMaxTokens:     float64(c.MaxTokens),
		CallAttempt:       float64(c.Attempt),
		CallWaitedSeconds: waited.Seconds(),
		CallRepeatable:    c.Repeatable,
		CallService:       c.Service,
		CallModel:         c.Model,
		ProgramCalls:      float64(c.Calls),
		ProgramUsedTokens: float64(c.UsedTokens),
		ProgramAgeSeconds: c.AgeSeconds,
		ProgramMessages:   float64(c.Messages),
		ProgramDepth:      float64(c.Depth),
		ProgramEngine:     c.LastEngine,
		TenantName:        c.Tenant,
		TenantWeight:      c.Weight,
	}
}

// describe sets the candidate's part of an input, which is reused over the candidates of a call.
func describe(i *policy.Input, candidate Candidate, call Call, zone string) {
	i.EngineName = candidate.Engine.Name
	i.EngineZone = candidate.Engine.Zone
	i.EngineRegion = candidate.Engine.Region
	i.EngineSlots = float64(candidate.Load.Slots)
	i.EngineRunning = float64(candidate.Load.Running)
	i.EngineWaiting = float64(candidate.Load.Waiting)
	i.EngineLoad = (i.EngineRunning + i.EngineWaiting) / max(1, i.EngineSlots)
	i.EngineWaitSeconds = candidate.wait().Seconds()
	i.EngineSlowness = candidate.Slowness
	i.EngineOtherWaitSeconds = candidate.OtherWait.Seconds()
	i.EngineWarm = call.WarmEngine == candidate.Engine.Name
	i.EngineUnusedSeconds = candidate.Unused.Seconds()
	i.EngineAffinity = affinity(call, candidate.Engine.Name)
	i.EngineLocal = candidate.Engine.Zone == zone
	i.EngineCachedTokens = 0
	if i.EngineWarm {
		i.EngineCachedTokens = float64(min(call.CachedTokens, call.PromptTokens))
	}
}

// affinity is a number from 0 to 1 that is the same on every node for a program and an engine.
func affinity(call Call, engineName string) float64 {
	root, _, _ := strings.Cut(call.Program, "/")
	digest := xxhash.New()
	// A digest never fails to take bytes.
	_, _ = digest.WriteString(call.Tenant + "\x00" + root + "\x00" + engineName)
	return float64(digest.Sum64()>>11) / (1 << 53)
}
