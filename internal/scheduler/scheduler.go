// Package scheduler decides which engine serves a call, in a cycle of named steps: candidates,
// filter, score, reserve. Binding, the commit of the decision, is the coordinator's.
// docs/design/scheduling.md weighs the ways.
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
	// shortlist bounds the candidates that are scored for one call.
	shortlist = 16
	// immediateTries is how many candidates are asked for a free place before the call waits.
	immediateTries = 3
	// loadTTL is how long a load that an owner told is trusted.
	loadTTL          = 5 * time.Second
	minimumRetryWait = 200 * time.Millisecond
)

// Call is what the scheduler knows of a call.
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
	// LastEngine served the program's latest call.
	LastEngine string
	// WarmEngine holds CachedTokens of the prompt, as far as the program's calls tell: LastEngine, or
	// that of the ancestor whose first message a new program shares.
	WarmEngine   string
	CachedTokens int64
	Depth        int
	Calls        int64
	UsedTokens   int64
	Messages     int
	AgeSeconds   float64
	// Avoid lists engines on which this call has failed.
	Avoid []string
	// Wait is how long the call may stand in line; Limit is how long it may run.
	MaxWait time.Duration
	Timeout time.Duration
}

// Candidate is an engine under consideration.
type Candidate struct {
	Engine resource.Engine
	Load   owner.Load
	Score  float64
	// OtherWait is the shortest wait at any other candidate that may serve the call.
	OtherWait time.Duration
	// Slowness is the time between its tokens as a multiple of the candidates' median; 1 if unknown.
	Slowness float64
	// Unused is how long ago this scheduler last chose the engine.
	Unused time.Duration
	// Reason tells why a candidate was left out; empty for one that was scored.
	Reason string
}

func (c Candidate) wait() time.Duration { return time.Duration(c.Load.WaitMillis) * time.Millisecond }

// Decision is the outcome of one cycle, kept for explanation.
type Decision struct {
	Call       string
	At         time.Time
	Engine     resource.Engine
	OwnerID    string
	Candidates []Candidate
	// Queued tells that the call stood in line.
	Queued bool
	Took   time.Duration
}

// Reserver asks the owner of an engine for a place.
type Reserver interface {
	Reserve(ctx context.Context, engine resource.Engine, request owner.ReserveRequest) (owner.ReserveResponse, error)
}

// Options configure a Scheduler.
type Options struct {
	// Zone is the node's.
	Zone     string
	Reserver Reserver
	Clock    clock.Clock
	// Random, if set, makes the draws of an experiment repeatable.
	Random *rand.Rand
	Logger *events.Logger
}

// Scheduler runs the cycle. It is safe for concurrent use, but for one with Random.
type Scheduler struct {
	options Options

	mutex sync.Mutex
	loads map[string]knownLoad
	// chosen is when each engine was last chosen here.
	chosen map[string]time.Time
}

type knownLoad struct {
	load owner.Load
	at   time.Time
}

// New returns a Scheduler.
func New(options Options) *Scheduler {
	return &Scheduler{options: options, loads: make(map[string]knownLoad), chosen: make(map[string]time.Time)}
}

func (s *Scheduler) now() time.Time { return s.options.Clock.Now() }

func (s *Scheduler) since(moment time.Time) time.Duration { return s.now().Sub(moment) }

// draw returns a number from 0 to below bound.
func (s *Scheduler) draw(bound int) int {
	if s.options.Random != nil {
		return s.options.Random.IntN(bound)
	}
	return rand.IntN(bound)
}

// shuffle puts candidates into random order.
func (s *Scheduler) shuffle(candidates []Candidate) {
	for last := len(candidates) - 1; last > 0; last-- {
		other := s.draw(last + 1)
		candidates[last], candidates[other] = candidates[other], candidates[last]
	}
}

// Place finds an engine and holds a place on it. Errors: *apierr.Error with NoEngine, Overloaded,
// PolicyFailed or Cancelled; the call was not sent anywhere.
func (s *Scheduler) Place(ctx context.Context, call Call, pool *resource.Pool, rules *policy.Policy) (Decision, error) {
	started := s.now()
	decision := Decision{Call: call.ID, At: started}
	deadline := started.Add(call.MaxWait)
	if err := s.checkAdmission(call, rules); err != nil {
		return decision, err
	}
	for {
		ranked, rejected := s.rank(call, pool, rules, s.since(started))
		decision.Candidates = append(slices.Clone(ranked), rejected...)
		if len(ranked) == 0 {
			return decision, noCandidate(rejected)
		}
		bound, refusal := s.reserve(ctx, call, ranked, rules, deadline, s.since(started), &decision)
		decision.Took = s.since(started)
		if bound {
			return decision, nil
		}
		if ctx.Err() != nil {
			return decision, apierr.New(apierr.Cancelled, apierr.NotRun, "the caller gave up")
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

func noCandidate(rejected []Candidate) error {
	for _, candidate := range rejected {
		if candidate.Reason == reasonOpen || candidate.Reason == reasonAvoided {
			return apierr.New(apierr.NoEngine, apierr.NotRun, "no engine of the pool works at present").WithRetryAfter(time.Second)
		}
	}
	return apierr.New(apierr.NoEngine, apierr.NotRun, "no engine of the pool may serve the call").WithRetryAfter(time.Second)
}

// rank runs candidates, filter and score; the best comes first.
func (s *Scheduler) rank(call Call, pool *resource.Pool, rules *policy.Policy, waited time.Duration) (ranked, rejected []Candidate) {
	input := call.input(waited)
	for _, candidate := range s.candidates(call, pool) {
		if candidate.Reason == "" {
			describe(&input, candidate, call, s.options.Zone)
			candidate.Reason = s.filterAndScore(&candidate, &input, rules)
		}
		if candidate.Reason == "" {
			ranked = append(ranked, candidate)
		} else {
			rejected = append(rejected, candidate)
		}
	}
	// Equal candidates are tried in random order, so that schedulers do not herd.
	s.shuffle(ranked)
	slices.SortStableFunc(ranked, func(a, b Candidate) int { return cmp.Compare(b.Score, a.Score) })
	return ranked, rejected
}

const (
	reasonDraining = "draining"
	reasonOpen     = "circuit breaker open"
	reasonAvoided  = "the call has failed there"
	reasonFiltered = "filtered by policy"
)

func (s *Scheduler) filterAndScore(candidate *Candidate, input *policy.Input, rules *policy.Policy) string {
	allowed, err := rules.Filter(input)
	if err == nil && !allowed {
		return reasonFiltered
	}
	if err == nil {
		candidate.Score, err = rules.Score(input)
	}
	if err != nil {
		s.options.Logger.Emit(events.PolicyEvaluationFail, events.F("engine", candidate.Engine.Name), events.F("error", err))
		return err.Error()
	}
	return ""
}

func unusable(candidate Candidate, call Call) string {
	switch {
	case candidate.Engine.Draining || candidate.Load.Draining:
		return reasonDraining
	case slices.Contains(call.Avoid, candidate.Engine.Name):
		return reasonAvoided
	case candidate.Load.BreakerOpen:
		return reasonOpen
	default:
		return ""
	}
}
