package scheduler

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mountstile/mountstile/internal/policy"
)

// input returns the call's policy inputs; those of the engine are left zero.
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

// setEngineInput sets every engine input from the candidate. One Input is reused for all candidates of a call.
func setEngineInput(i *policy.Input, candidate Candidate, call Call, zone string) {
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

// affinity is a rendezvous hash of the root program and the engine in [0, 1), equal on every node.
func affinity(call Call, engineName string) float64 {
	root, _, _ := strings.Cut(call.Program, "/")
	digest := xxhash.New()
	// Writing to the digest never fails.
	_, _ = digest.WriteString(call.Tenant + "\x00" + root + "\x00" + engineName)
	return float64(digest.Sum64()>>11) / (1 << 53)
}
