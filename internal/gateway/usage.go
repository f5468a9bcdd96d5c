package gateway

import "github.com/mountstile/mountstile/internal/program"

// usageCounter counts the tokens of a call over all its attempts. Each token of the answer counts once, although an engine that
// resumes an answer counts the earlier part as prompt, and an engine that fails may have reported usage before.
type usageCounter struct {
	prompt, cached int64
	// estimate is the estimated length of the prompt in tokens. It is used until an engine reports the length.
	estimate int64
	// previous is the number of the answer's tokens before this attempt.
	previous int64
	// reported is the completion length last reported by this attempt's engine, and deltas the number received since. Each delta
	// has at least one token.
	reported, deltas int64
}

// startAttempt starts an attempt. The estimate is the length of its prompt in tokens, without the answer so far.
func (u *usageCounter) startAttempt(estimate int64) {
	u.estimate = estimate
	u.follow(u.completion())
}

// follow sets the length of the answer so far, in tokens. The answer may have been received from another gateway.
func (u *usageCounter) follow(tokens int64) {
	u.previous = tokens
	u.reported, u.deltas = 0, 0
}

// addDelta counts a delta of the answer.
func (u *usageCounter) addDelta() { u.deltas++ }

// report records the usage that an engine has reported for the current attempt.
func (u *usageCounter) report(usage program.Usage) {
	u.prompt = max(0, usage.Prompt-u.previous)
	u.cached = min(usage.Cached, u.prompt)
	u.reported, u.deltas = max(0, usage.Completion), 0
}

// completion returns the number of tokens of the answer so far.
func (u *usageCounter) completion() int64 { return u.previous + u.reported + u.deltas }

// usage returns the usage of the call so far.
func (u *usageCounter) usage() program.Usage {
	prompt := u.prompt
	if prompt == 0 {
		prompt = u.estimate
	}
	return program.Usage{Prompt: prompt, Cached: u.cached, Completion: u.completion()}
}
