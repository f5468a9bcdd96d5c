// Package scheduler chooses the engine for a call in four steps: sample candidates, filter, score, and reserve a slot. The
// coordinator commits the decision. docs/design/scheduling.md compares the alternatives.
package scheduler

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/clock"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/owner"
	"github.com/mountstile/mountstile/internal/policy"
	"github.com/mountstile/mountstile/internal/resource"
)

const (
	// maxCandidates bounds the engines that are scored for one call.
	maxCandidates = 16
	// maxReserveAttempts bounds the reservation requests in each of the two rounds of reserve.
	maxReserveAttempts = 3
	// loadTTL is how long a load reported by an owner is used.
	loadTTL = 5 * time.Second
	// minRetryAfter is the shortest Retry-After of a refused call, so that callers do not retry in a tight loop.
	minRetryAfter = 200 * time.Millisecond
)

// Call holds the properties of a call that placement depends on.
type Call struct {
	ID         string
	Program    string
	Tenant     string
	Weight     float64
	Gateway    string
	Service    string
	Model      string
	Repeatable bool
	Attempt    int
	// PromptTokens and MaxTokens are estimates for the policy.
	PromptTokens int64
	MaxTokens    int64
	// LastEngine is the engine of the program's latest call.
	LastEngine string
	// WarmEngine is estimated to have CachedTokens of the prompt in its cache: LastEngine, or for a new program that
	// of an ancestor with the same first message.
	WarmEngine   string
	CachedTokens int64
	Depth        int
	Calls        int64
	UsedTokens   int64
	Messages     int
	AgeSeconds   float64
	// Software restricts the call to engines of this software version; nil allows all. It is set for a call whose answer has
	// begun, since the output of different versions can't be joined.
	Software *string
	// Avoid lists engines on which this call has failed.
	Avoid []string
	// MaxWait limits the time in queues; Timeout limits the execution.
	MaxWait time.Duration
	Timeout time.Duration
}

// allowedPool returns the engines of a pool that the call's software version allows.
func (c Call) allowedPool(pool *resource.Pool) *resource.Pool {
	if c.Software == nil {
		return pool
	}
	allowed := *pool
	allowed.Engines = slices.DeleteFunc(slices.Clone(pool.Engines), func(engine resource.Engine) bool { return engine.Software != *c.Software })
	return &allowed
}

// Candidate is an engine under consideration.
type Candidate struct {
	Engine resource.Engine
	Load   owner.Load
	Score  float64
	// OtherWait is the shortest expected queue time at the other usable candidates.
	OtherWait time.Duration
	// Slowness is the engine's time per token as a multiple of the candidates' median; 1 if unknown.
	Slowness float64
	// Unused is the time since this scheduler last chose the engine.
	Unused time.Duration
	// Reason is why the candidate was excluded; empty if it was scored.
	Reason string
}

func (c Candidate) wait() time.Duration { return time.Duration(c.Load.WaitMillis) * time.Millisecond }

// Decision is the outcome of one placement, kept for operators.
type Decision struct {
	Call   string
	At     time.Time
	Engine resource.Engine
	// Ticket identifies the reservation on the engine; 0 if the Reserver doesn't set it.
	Ticket     uint64
	OwnerID    string
	Candidates []Candidate
	// Queued is set if the call waited in an engine's queue.
	Queued bool
	Took   time.Duration
}

// Reserver requests slots from the owners of engines.
type Reserver interface {
	Reserve(ctx context.Context, engine resource.Engine, request owner.ReserveRequest) (owner.ReserveResponse, error)
}

// Options configures a Scheduler.
type Options struct {
	// Zone is this node's zone; engines in it count as local.
	Zone     string
	Reserver Reserver
	Clock    clock.Clock
	// Random, if set, makes sampling deterministic. A Scheduler with Random is not safe for concurrent use.
	Random *rand.Rand
	Logger *events.Logger
}

// Scheduler places calls on engines. It is safe for concurrent use unless Options.Random is set.
type Scheduler struct {
	options Options

	mutex sync.Mutex
	loads map[string]cachedLoad
	// lastChosen is when this scheduler last chose each engine.
	lastChosen map[string]time.Time
}

type cachedLoad struct {
	load       owner.Load
	receivedAt time.Time
}

// New returns a Scheduler that treats engines as idle until their owners report loads.
func New(options Options) *Scheduler {
	return &Scheduler{options: options, loads: make(map[string]cachedLoad), lastChosen: make(map[string]time.Time)}
}

func (s *Scheduler) now() time.Time { return s.options.Clock.Now() }

func (s *Scheduler) elapsedSince(start time.Time) time.Duration { return s.now().Sub(start) }

// randomInt returns a number in [0, limit).
func (s *Scheduler) randomInt(limit int) int {
	if s.options.Random != nil {
		return s.options.Random.IntN(limit)
	}
	return rand.IntN(limit)
}

func (s *Scheduler) shuffle(candidates []Candidate) {
	for last := len(candidates) - 1; last > 0; last-- {
		other := s.randomInt(last + 1)
		candidates[last], candidates[other] = candidates[other], candidates[last]
	}
}

// Place chooses an engine and reserves a slot on it. It fails with an *apierr.Error of code LimitExceeded, NoEngine,
// Overloaded, PolicyFailed or Cancelled; the call has then not been sent to any engine.
func (s *Scheduler) Place(ctx context.Context, call Call, pool *resource.Pool, rules *policy.Policy) (Decision, error) {
	started := s.now()
	decision := Decision{Call: call.ID, At: started}
	deadline := started.Add(call.MaxWait)
	if err := s.checkAdmission(call, rules); err != nil {
		return decision, err
	}
	pool = call.allowedPool(pool)
	if call.Software != nil && len(pool.Engines) == 0 {
		return decision, apierr.New(apierr.NoEngine, apierr.NotRun, "no engine of the pool has software version %q, which began the answer", *call.Software)
	}
	for {
		ranked, rejected := s.rank(call, pool, rules, s.elapsedSince(started))
		decision.Candidates = append(slices.Clone(ranked), rejected...)
		if len(ranked) == 0 {
			return decision, noEngineError(rejected)
		}
		reserved, refusal := s.reserve(ctx, call, ranked, rules, deadline, s.elapsedSince(started), &decision)
		decision.Took = s.elapsedSince(started)
		if reserved {
			return decision, nil
		}
		if ctx.Err() != nil {
			return decision, apierr.New(apierr.Cancelled, apierr.NotRun, "the caller cancelled the call")
		}
		if refusal != nil {
			return decision, refusal
		}
	}
}

func (s *Scheduler) checkAdmission(call Call, rules *policy.Policy) error {
	input := call.input(0)
	allowed, err := rules.Admit(&input)
	if err != nil {
		return apierr.New(apierr.PolicyFailed, apierr.NotRun, "%s", err)
	}
	if !allowed {
		return apierr.New(apierr.LimitExceeded, apierr.NotRun, "the service's policy does not admit the call").WithRetryAfter(time.Second)
	}
	return nil
}

func noEngineError(rejected []Candidate) error {
	for _, candidate := range rejected {
		if candidate.Reason == reasonBreakerOpen || candidate.Reason == reasonFailedBefore {
			return apierr.New(apierr.NoEngine, apierr.NotRun, "no engine of the pool is currently available").WithRetryAfter(time.Second)
		}
	}
	return apierr.New(apierr.NoEngine, apierr.NotRun, "no engine of the pool is eligible for the call").WithRetryAfter(time.Second)
}

// rank samples, filters and scores candidates; ranked holds the usable ones, the best first.
func (s *Scheduler) rank(call Call, pool *resource.Pool, rules *policy.Policy, waited time.Duration) (ranked, rejected []Candidate) {
	input := call.input(waited)
	for _, candidate := range s.candidates(call, pool) {
		if candidate.Reason == "" {
			setEngineInput(&input, candidate, call, s.options.Zone)
			candidate.Reason = s.filterAndScore(&candidate, &input, rules)
		}
		if candidate.Reason == "" {
			ranked = append(ranked, candidate)
		} else {
			rejected = append(rejected, candidate)
		}
	}
	// Candidates of equal score stay in random order, so that schedulers do not all choose the same engine.
	s.shuffle(ranked)
	slices.SortStableFunc(ranked, func(a, b Candidate) int { return cmp.Compare(b.Score, a.Score) })
	return ranked, rejected
}

const (
	reasonDraining     = "draining"
	reasonBreakerOpen  = "circuit breaker open"
	reasonFailedBefore = "the call has failed there"
	reasonFiltered     = "filtered by policy"
)

// filterAndScore sets the candidate's score, or returns why it is excluded.
func (s *Scheduler) filterAndScore(candidate *Candidate, input *policy.Input, rules *policy.Policy) string {
	allowed, err := rules.Filter(input)
	if err == nil && !allowed {
		return reasonFiltered
	}
	if err == nil {
		candidate.Score, err = rules.Score(input)
	}
	if err != nil {
		s.options.Logger.Emit(events.PolicyEvaluationFailed, events.F("engine", candidate.Engine.Name), events.F("error", err))
		return err.Error()
	}
	return ""
}

// exclusionReason returns why an engine is excluded before the policy is evaluated; "" if it is not.
func exclusionReason(candidate Candidate, call Call) string {
	switch {
	case candidate.Engine.Draining || candidate.Load.Draining:
		return reasonDraining
	case slices.Contains(call.Avoid, candidate.Engine.Name):
		return reasonFailedBefore
	case candidate.Load.BreakerOpen:
		return reasonBreakerOpen
	default:
		return ""
	}
}
