package gateway

import "github.com/mountstile/mountstile/internal/program"

// usageCounter counts the tokens of a call over all its attempts. Each token of the answer counts once: engines that go on
// with an answer count what there is of it as prompt, and those that break off may have told their usage before.
type usageCounter struct {
	prompt, cached int64
	// estimate stands for the prompt, in tokens, until an engine tells its length.
	estimate int64
	// earlier are the tokens of the answer before this attempt.
	earlier int64
	// told is what this attempt's engine has told last; pieces came since, and each is a token at least.
	told, pieces int64
}

// begin starts an attempt; estimate is the length of its prompt without the answer so far.
func (u *usageCounter) begin(estimate int64) {
	u.estimate = estimate
	u.follow(u.completion())
}

// follow takes over an answer of so many tokens.
func (u *usageCounter) follow(tokens int64) {
	u.earlier = tokens
	u.told, u.pieces = 0, 0
}

// piece counts a piece of the answer.
func (u *usageCounter) piece() { u.pieces++ }

// tell takes what an engine says of its attempt up to here.
func (u *usageCounter) tell(usage program.Usage) {
	u.prompt = max(0, usage.Prompt-u.earlier)
	u.cached = min(usage.Cached, u.prompt)
	u.told, u.pieces = max(0, usage.Completion), 0
}

// completion is how many tokens the answer has.
func (u *usageCounter) completion() int64 { return u.earlier + u.told + u.pieces }

// usage is what the answer costs.
func (u *usageCounter) usage() program.Usage {
	prompt := u.prompt
	if prompt == 0 {
		prompt = u.estimate
	}
	return program.Usage{Prompt: prompt, Cached: u.cached, Completion: u.completion()}
}
