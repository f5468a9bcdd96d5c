package turnstore

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/conversation"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/load"
	"github.com/mountstile/mountstile/internal/transport"
)

const (
	// openTimeout bounds the wait for enough replicas before a turn is sent.
	openTimeout = 900 * time.Millisecond
	// textHedge is how long the nearest replica may take to give the text before others are asked.
	textHedge = 25 * time.Millisecond
	// retryAfterUnavailable tells callers when to come back if too few replicas answer.
	retryAfterUnavailable = 250 * time.Millisecond
	// putInterval is the pause before a record is offered again to replicas that did not take it.
	putInterval = 150 * time.Millisecond
	// putAttempt bounds one offer.
	putAttempt = 1500 * time.Millisecond
	// settleTimeout is how long a charge that nobody waits for is offered.
	settleTimeout = 20 * time.Second
	// maximalSettling bounds the charges that are under way; others stay at their most.
	maximalSettling = 512
	// chargeNameBits is how many random bits name a charge within its program. Of a thousand charges of a program two
	// have one name once in 500 million programs; each opening brings the names of all charges from each replica.
	chargeNameBits = 48
	// answersQueued is room for the answers of all replicas, so that late ones never block.
	answersQueued = 64
)

// ClientOptions configure a Client.
type ClientOptions struct {
	// Zone is where the client runs; its replica is asked for texts first.
	Zone string
	// CacheBytes bounds the turns that are kept in memory.
	CacheBytes int64
	// Load is exchanged with the replicas along with openings; nil for none.
	Load LoadExchange
}

// LoadExchange is what a gateway tells of its calls in flight, and hears of the others'.
type LoadExchange interface {
	// Report returns the calls in flight here.
	Report() load.Counts
	// Take hears the sum of what the others reported.
	Take(now time.Time, others load.Counts)
}

// OpenParams is what must be known before a turn is sent to an engine.
type OpenParams struct {
	Turn     string
	Program  string
	Previous string
	// Budget is what all turns of the program may generate together, in tokens; negative for none.
	Budget int64
	// Most is the most that this turn may generate.
	Most int64
}

// OpenedTurn is a turn that may be sent.
type OpenedTurn struct {
	// Prefix is the text of all turns before this one.
	Prefix []byte
	// Engine generated the turn before this one, or ran another turn of the program; empty if none is known.
	Engine string
	// Reserved tells that a charge is to be settled.
	Reserved bool
	// program and charge name the reservation. Its name is made for this opening alone: a caller that
	// was refused and sends the same ID again must not meet the settled charge of the refusal.
	program string
	charge  string
	// chain are the turns before this one, oldest first; they are inherited if a program of another shard had them.
	chain     []conversation.Turn
	inherited bool
}

// Inherited are records to write along with the turn: the turns before it, if a program of another shard had them. So the
// turns before any turn lie in its shard, and are read there at once.
func (o *OpenedTurn) Inherited() []conversation.Record {
	if !o.inherited {
		return nil
	}
	records := make([]conversation.Record, 0, len(o.chain))
	for index := range o.chain {
		records = append(records, conversation.Record{Turn: &o.chain[index]})
	}
	return records
}

// Settled is the record of what the turn generated in the end, in tokens, and of the engine where it ran; that is
// empty if it didn't.
func (o *OpenedTurn) Settled(tokens int64, engine string) conversation.Record {
	return conversation.Record{Charge: &conversation.Charge{Program: o.program, Turn: o.charge, Tokens: tokens, Settled: true, Engine: engine}}
}

// Client reads and writes turns on behalf of callers. All methods may be called concurrently.
type Client struct {
	options ClientOptions
	network *transport.Transport
	logger  *events.Logger
	cache   *cache
	// loadPacer bounds the bytes of reports of load and their answers; news tells who is asked for the others'.
	loadPacer load.Pacer
	news      newsSource

	mutex    sync.Mutex
	sets     sets
	reaches  map[int]*reach
	settling int
	// setsKnown is closed once the replica sets of all shards are known.
	setsKnown chan struct{}
}

// NewClient returns a Client that knows no replica set yet.
func NewClient(options ClientOptions, network *transport.Transport, logger *events.Logger) *Client {
	return &Client{
		options: options, network: network, logger: logger, cache: newCache(options.CacheBytes),
		sets: make(sets), reaches: make(map[int]*reach), setsKnown: make(chan struct{}),
	}
}

// ApplySet takes a set from the catalog or a replica; older ones are ignored.
func (c *Client) ApplySet(set ReplicaSet) {
	c.mutex.Lock()
	knewAll := c.sets.whole()
	newer := c.sets.apply(set)
	if newer && !knewAll && c.sets.whole() {
		close(c.setsKnown)
	}
	c.mutex.Unlock()
	if newer {
		c.logger.Emit(events.ReplicaSetChanged, set.fields()...)
	}
}

// ReplicaSet returns the newest known replica set of the first shard, whose members follow the store for all.
func (c *Client) ReplicaSet() ReplicaSet { return c.setOf(0) }

func (c *Client) setOf(shard int) ReplicaSet {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.sets[shard]
}

// allSets returns the sets of all shards, or nothing while some are not known.
func (c *Client) allSets() []ReplicaSet {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.sets.whole() {
		return nil
	}
	return c.sets.all()
}

// shardOf is the shard of a program, and whether the replica sets are known.
func (c *Client) shardOf(program string) (int, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return shardOf(program, c.sets.shards()), c.sets.whole()
}

// Copies is one more than the number of disks that may be lost at once; 0 while no replica set is known.
func (c *Client) Copies() int { return c.ReplicaSet().Copies }

// Ready asks the replicas whether enough of them answer in half of the shards. If a shard is lost for long, gateways must
// not stay away from the callers of the others, be it one of two.
func (c *Client) Ready(ctx context.Context) bool {
	known := c.allSets()
	if len(known) == 0 {
		return false
	}
	readable := make(chan bool, len(known))
	for _, set := range known {
		go func() { readable <- c.readable(ctx, set) }()
	}
	ready := 0
	for range known {
		if <-readable {
			ready++
		}
		if suffices(ready, len(known)) {
			return true
		}
	}
	return false
}

// suffices tells whether a part of the shards is half of them or more.
func suffices(part, shards int) bool { return 2*part >= shards }

// readable asks the replicas of a shard whether enough of them answer.
func (c *Client) readable(ctx context.Context, set ReplicaSet) bool {
	askContext, stop := context.WithCancel(ctx)
	defer stop()
	gathering := newGathering(set)
	for answer := range c.askAll(askContext, set, openRequest{Shard: set.Shard, Epoch: set.Epoch}) {
		gathering.add(answer)
		if gathering.newer != nil {
			c.ApplySet(*gathering.newer)
		}
		if gathering.readable() {
			return true
		}
	}
	return false
}

func unavailable(format string, args ...any) *apierr.Error {
	return apierr.New(apierr.TurnsUnavailable, apierr.NotRun, format, args...).WithRetryAfter(retryAfterUnavailable)
}

// Open reserves the turn's tokens and finds the text before it. The error is an apierr.Error with
// the outcome NotRun: BudgetExceeded, NoSuchTurn or TurnsUnavailable.
func (c *Client) Open(ctx context.Context, opening OpenParams) (*OpenedTurn, error) {
	startedAt := time.Now()
	shard, err := c.awaitShard(ctx, opening.Program)
	if err != nil {
		return nil, err
	}
	timeout := openTimeout
	if c.reach(shard).lost() {
		timeout = lostOpenTimeout
	}
	// The wait for the replica sets counts: a caller that is refused in the end is not to be held twice as long.
	openContext, cancel := context.WithDeadline(ctx, startedAt.Add(timeout))
	defer cancel()
	opened := &OpenedTurn{
		Reserved: opening.Budget >= 0 && opening.Program != "",
		program:  opening.Program,
		charge:   strconv.FormatUint(rand.Uint64()>>(64-chargeNameBits), 36),
	}
	chain, cached := c.cache.chain(opening.Previous)
	if cached {
		c.use(opened, chain, shard)
	}
	wantText := opening.Previous != "" && !cached
	if !opened.Reserved && !wantText {
		return opened, nil
	}
	err = c.openAtReplicas(openContext, shard, opening, opened, wantText)
	c.noteReach(ctx, shard, err)
	if wantText && apierr.Is(err, apierr.NoSuchTurn) {
		err = c.openFromOtherShard(openContext, shard, opening, opened)
	}
	if err != nil && opened.Reserved {
		c.Settle(opened, 0, "")
	}
	if err != nil {
		return nil, err
	}
	return opened, nil
}

// noteReach learns from an opening. One that its caller left says nothing.
func (c *Client) noteReach(ctx context.Context, shard int, err error) {
	switch {
	case !apierr.Is(err, apierr.TurnsUnavailable):
		c.reach(shard).reached()
	case ctx.Err() == nil:
		c.reach(shard).failed(err)
	}
}

// awaitShard waits until the replica sets are known, for openTimeout at most.
func (c *Client) awaitShard(ctx context.Context, program string) (int, error) {
	waitContext, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	select {
	case <-c.setsKnown:
	case <-waitContext.Done():
		return 0, unavailable("the replica sets are not known yet")
	}
	shard, _ := c.shardOf(program)
	return shard, nil
}

// use takes the turns before the one that is opened. Those that lie in another shard are written again with it.
func (c *Client) use(opened *OpenedTurn, chain []conversation.Turn, shard int) {
	opened.use(chain)
	if len(chain) == 0 {
		return
	}
	home, _ := c.shardOf(chain[len(chain)-1].Program)
	opened.inherited = home != shard
}

func (o *OpenedTurn) use(chain []conversation.Turn) {
	o.chain = chain
	size := 0
	for _, turn := range chain {
		size += len(turn.Text)
	}
	o.Prefix = make([]byte, 0, size)
	for _, turn := range chain {
		o.Prefix = append(o.Prefix, turn.Text...)
		o.Engine = turn.Engine
	}
}

// openAtReplicas tries again with the newer set when a replica knows one.
func (c *Client) openAtReplicas(ctx context.Context, shard int, opening OpenParams, opened *OpenedTurn, wantText bool) error {
	for {
		set := c.setOf(shard)
		newer, err := c.openOnce(ctx, set, opening, opened, wantText)
		if newer == nil {
			return err
		}
		c.ApplySet(*newer)
	}
}

func (c *Client) openOnce(ctx context.Context, set ReplicaSet, opening OpenParams, opened *OpenedTurn, wantText bool) (*ReplicaSet, error) {
	request := openRequest{Shard: set.Shard, Epoch: set.Epoch}
	if wantText {
		request.Previous = opening.Previous
	}
	if opened.Reserved {
		request.Reserve = &conversation.Charge{Program: opening.Program, Turn: opened.charge, Tokens: opening.Most}
	}
	askContext, stop := context.WithCancel(ctx)
	defer stop()
	gathering := newGathering(set)
	answers := c.askForText(askContext, set, request)
	hedge := time.NewTimer(textHedge)
	defer hedge.Stop()
	hedged := false
	for {
		if gathering.newer != nil {
			return gathering.newer, nil
		}
		if done, err := gathering.decide(opening, opened, wantText); done {
			if err == nil && wantText {
				chain := gathering.chain(opening.Previous)
				c.use(opened, chain, set.Shard)
				c.cache.addChain(chain)
			}
			return nil, err
		}
		if !hedged && wantText && gathering.needsText(opening.Previous) {
			hedged = true
			c.askOthersForText(askContext, set, opening.Previous, answers)
		}
		select {
		case answer := <-answers:
			gathering.add(answer)
		case <-hedge.C:
			if !hedged && wantText {
				hedged = true
				c.askOthersForText(askContext, set, opening.Previous, answers)
			}
		case <-ctx.Done():
			return nil, unavailable("too few replicas answered: %d of %d, %d complete", len(gathering.answered), len(set.All()), len(gathering.complete))
		}
	}
}

// replicaAnswer is what one replica said.
type replicaAnswer struct {
	member Member
	// reserving tells that the question was to reserve as well: only then does the answer count for
	// the budget.
	reserving bool
	answer    openAnswer
	err       error
}

// askForText asks all replicas, but only the nearest one for the text.
func (c *Client) askForText(ctx context.Context, set ReplicaSet, request openRequest) chan replicaAnswer {
	answers := make(chan replicaAnswer, answersQueued)
	report := c.loadReport()
	nearest := c.nearest(set)
	for _, member := range set.All() {
		mine := request
		mine.WithText = request.Previous != "" && member.Name == nearest
		report.addTo(&mine, member)
		go c.ask(ctx, member, mine, answers)
	}
	c.tellLoad(report, set)
	return answers
}

func (c *Client) askOthersForText(ctx context.Context, set ReplicaSet, previous string, answers chan replicaAnswer) {
	request := openRequest{Shard: set.Shard, Epoch: set.Epoch, Previous: previous, WithText: true}
	nearest := c.nearest(set)
	for _, member := range set.All() {
		if member.Name != nearest {
			go c.ask(ctx, member, request, answers)
		}
	}
}

func (c *Client) nearest(set ReplicaSet) string {
	all := set.All()
	for _, member := range all {
		if member.Zone == c.options.Zone {
			return member.Name
		}
	}
	return all[0].Name
}

func (c *Client) ask(ctx context.Context, member Member, request openRequest, answers chan<- replicaAnswer) {
	answer, err := askUntilAnswered[openAnswer](ctx, c.network, member.Address, openKind, request)
	c.takeLoadNews(answer)
	answers <- replicaAnswer{member: member, reserving: request.Reserve != nil, answer: answer, err: err}
}

// askAll yields the answers of all replicas until the context ends.
func (c *Client) askAll(ctx context.Context, set ReplicaSet, request openRequest) func(yield func(replicaAnswer) bool) {
	answers := make(chan replicaAnswer, answersQueued)
	members := set.All()
	for _, member := range members {
		go c.ask(ctx, member, request, answers)
	}
	return func(yield func(replicaAnswer) bool) {
		for range members {
			select {
			case answer := <-answers:
				if !yield(answer) {
					return
				}
			case <-ctx.Done():
				return
			}
		}
	}
}
