package turnstore

import (
	"context"
	"sync"
	"time"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/conversation"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/load"
	"github.com/mountstile/mountstile/internal/membudget"
	"github.com/mountstile/mountstile/internal/transport"
)

const (
	// openTimeout bounds the wait for a quorum before a turn is sent to an engine.
	openTimeout = 900 * time.Millisecond
	// textHedgeDelay is how long the nearest replica may take to return the text before the other replicas are asked
	// for it.
	textHedgeDelay = 25 * time.Millisecond
	// confirmDelay is how long a reservation that a write quorum has stored waits for the other members before it is
	// confirmed by a second request. It is longer than members in other zones usually take.
	confirmDelay = 8 * time.Millisecond
	// retryAfterUnavailable is the retry delay suggested to callers when there is no quorum.
	retryAfterUnavailable = 250 * time.Millisecond
	// putRetryDelay precedes each retry of a write at the replicas that have not stored it.
	putRetryDelay = 150 * time.Millisecond
	// putTimeout bounds one write attempt; a later acknowledgement would not count.
	putTimeout = ackLifetime
	// settleTimeout bounds the background write of a settled charge.
	settleTimeout = 20 * time.Second
	// maxSettling bounds concurrent settlements; charges beyond it stay at their reserved amount.
	maxSettling = 512
	// responseBuffer has room for the responses of all replicas, so that late ones never block.
	responseBuffer = 64
)

// ClientOptions configures a Client.
type ClientOptions struct {
	// Zone is the client's zone; a replica of this zone is preferred for reading texts.
	Zone string
	// CacheBytes bounds the texts of cached turns.
	CacheBytes int64
	// Memory bounds the texts of all opened turns together; nil means no limit.
	Memory *membudget.Budget
	// Load is exchanged with the replicas in open requests; nil disables the exchange.
	Load LoadExchange
}

// LoadExchange is a gateway's side of the exchange of in-flight call counts.
type LoadExchange interface {
	// Report returns this gateway's calls in flight.
	Report() load.Counts
	// Take receives the sum of the other gateways' reports.
	Take(now time.Time, others load.Counts)
}

// OpenedTurn is a turn that may be sent to an engine.
type OpenedTurn struct {
	// Prefix is the concatenated text of all previous turns.
	Prefix []byte
	// Engine is the engine that ran the previous turn or another turn of the program; empty if unknown.
	Engine string
	// Reserved reports that tokens were reserved and must be settled.
	Reserved bool
	// Writer generated the first event of the stream that the caller resumes; zero if that is unknown.
	Writer conversation.Writer
	// WriterUnclear reports that the records of the stream contradict each other.
	WriterUnclear bool
	// program and chargeID identify the reservation. Each open draws a new charge ID: a caller that retries a rejected
	// turn with the same turn ID must not match the settled charge of the rejection.
	program  string
	chargeID string
	// chain holds the previous turns, oldest first; inherited is set if they belong to another shard.
	chain     []conversation.Turn
	inherited bool
}

// Inherited returns the records to write along with the turn: its previous turns, if they belong to another shard. This
// keeps all predecessors of a turn in its own shard, where one read finds them.
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

// Settled returns the record of the tokens that the turn generated and of the engine that ran it; engine is empty if
// none did.
func (o *OpenedTurn) Settled(tokens int64, engine string) conversation.Record {
	return conversation.Record{Charge: &conversation.Charge{Program: o.program, Turn: o.chargeID, Tokens: tokens, Settled: true, Engine: engine}}
}

// Client reads and writes turns for a gateway. All methods may be called concurrently.
type Client struct {
	options ClientOptions
	network *transport.Transport
	logger  *events.Logger
	cache   *cache
	// loadPacer limits the bytes spent on load exchange; loadSource selects the replica that returns the others' load.
	loadPacer  load.Pacer
	loadSource loadSourceSelector

	mutex    sync.Mutex
	sets     sets
	health   map[int]*shardHealth
	settling int
	// setsKnown is closed once the replica sets of all shards are known.
	setsKnown chan struct{}
}

// NewClient returns a Client that does not know any replica set yet; see ApplySet.
func NewClient(options ClientOptions, network *transport.Transport, logger *events.Logger) *Client {
	return &Client{
		options: options, network: network, logger: logger, cache: newCache(options.CacheBytes),
		sets: make(sets), health: make(map[int]*shardHealth), setsKnown: make(chan struct{}),
	}
}

// ApplySet applies a set from the catalog or a replica; sets that are not newer are ignored.
func (c *Client) ApplySet(set ReplicaSet) {
	c.mutex.Lock()
	knewAllSets := c.sets.allKnown()
	newer := c.sets.apply(set)
	if newer && !knewAllSets && c.sets.allKnown() {
		close(c.setsKnown)
	}
	clusterID := c.sets.clusterID()
	c.mutex.Unlock()
	if newer {
		c.network.SetClusterID(clusterID)
		c.logger.Emit(events.ReplicaSetChanged, set.logFields()...)
	}
}

// ReplicaSet returns the newest known replica set of the first shard, whose first members read the configuration store
// for all nodes.
func (c *Client) ReplicaSet() ReplicaSet { return c.setOf(0) }

// ReplicaSetOf returns the newest known replica set of the shard that a key belongs to, as programs do.
func (c *Client) ReplicaSetOf(key string) ReplicaSet {
	shard, known := c.shardOf(key)
	if !known {
		return c.ReplicaSet()
	}
	return c.setOf(shard)
}

func (c *Client) setOf(shard int) ReplicaSet {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.sets[shard]
}

// allSets returns the sets of all shards, or nil unless all are known.
func (c *Client) allSets() []ReplicaSet {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.sets.allKnown() {
		return nil
	}
	return c.sets.all()
}

// shardOf returns the shard of a program and whether all replica sets are known.
func (c *Client) shardOf(program string) (int, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return shardOf(program, c.sets.shards()), c.sets.allKnown()
}

// Copies returns how many disks must hold each record, which is one more than may be lost at once; 0 while no replica
// set is known.
func (c *Client) Copies() int { return c.ReplicaSet().Copies }

// Ready reports whether at least half of the shards have a read quorum. A gateway stays ready when some shards are
// lost, so that it can serve callers of the others; with two shards, one is enough.
func (c *Client) Ready(ctx context.Context) bool {
	sets := c.allSets()
	if len(sets) == 0 {
		return false
	}
	readable := make(chan bool, len(sets))
	for _, set := range sets {
		go func() { readable <- c.readable(ctx, set) }()
	}
	ready := 0
	for range sets {
		if <-readable {
			ready++
		}
		if atLeastHalf(ready, len(sets)) {
			return true
		}
	}
	return false
}

// atLeastHalf reports whether part is half of the shards or more.
func atLeastHalf(part, shards int) bool { return 2*part >= shards }

// readable reports whether a read quorum of a shard's replicas responds.
func (c *Client) readable(ctx context.Context, set ReplicaSet) bool {
	requestContext, stop := context.WithCancel(ctx)
	defer stop()
	collector := newOpenCollector(set)
	for reply := range c.callOpenAll(requestContext, set, openRequest{Shard: set.Shard, Epoch: set.Epoch}) {
		collector.add(reply)
		if collector.newer != nil {
			c.ApplySet(*collector.newer)
		}
		if collector.readable() {
			return true
		}
	}
	return false
}

func unavailable(format string, args ...any) *apierr.Error {
	return apierr.New(apierr.TurnsUnavailable, apierr.NotRun, format, args...).WithRetryAfter(retryAfterUnavailable)
}

// Open reserves the turn's tokens and reads the previous turns. The error is an apierr.Error with the outcome NotRun:
// BudgetExceeded, NoSuchTurn or TurnsUnavailable.
func (c *Client) Open(ctx context.Context, params OpenParams) (*OpenedTurn, error) {
	startedAt := time.Now()
	shard, err := c.awaitShard(ctx, params.shardKey())
	if err != nil {
		return nil, err
	}
	timeout := openTimeout
	if c.shardHealth(shard).lost() {
		timeout = lostOpenTimeout
	}
	// The timeout includes the wait for the replica sets, or a rejected caller would wait twice as long.
	openContext, cancel := context.WithDeadline(ctx, startedAt.Add(timeout))
	defer cancel()
	opened := &OpenedTurn{
		Reserved: params.budgeted(),
		program:  params.chargedProgram(),
	}
	var charge *conversation.Charge
	if params.charged() {
		charge = params.newCharge()
		opened.chargeID = charge.Turn
	}
	chain, cached := c.cache.chain(params.Previous)
	if cached {
		c.setChain(opened, chain, shard)
	}
	wantText := params.Previous != "" && !cached
	if charge == nil && !wantText {
		return opened, c.reserveTexts(ctx, opened)
	}
	err = c.openInShard(openContext, shard, params, charge, opened, wantText)
	c.recordOpenResult(ctx, shard, err)
	if wantText && apierr.Is(err, apierr.NoSuchTurn) {
		err = c.openFromOtherShards(openContext, shard, params, opened)
	}
	if err == nil {
		err = c.reserveTexts(ctx, opened)
	}
	if err != nil && opened.Reserved {
		c.Settle(opened, 0, "")
	}
	if err != nil {
		return nil, err
	}
	return opened, nil
}

// textsPlace is the place of opened turns in the memory budget.
const textsPlace = "previous turns"

// reserveTexts reserves memory for the texts of an opened turn, once as turns and once joined, until the context ends.
func (c *Client) reserveTexts(ctx context.Context, opened *OpenedTurn) error {
	if c.options.Memory == nil || len(opened.Prefix) == 0 || ctx.Done() == nil {
		return nil
	}
	reservation := c.options.Memory.Open(textsPlace)
	if err := reservation.Grow(2 * int64(len(opened.Prefix))); err != nil {
		return unavailable("%s", err)
	}
	context.AfterFunc(ctx, reservation.Release)
	return nil
}

// recordOpenResult updates the shard's health. An open that its caller canceled is not counted as a failure.
func (c *Client) recordOpenResult(ctx context.Context, shard int, err error) {
	switch {
	case !apierr.Is(err, apierr.TurnsUnavailable):
		c.shardHealth(shard).recordSuccess()
	case ctx.Err() == nil:
		c.shardHealth(shard).recordFailure(err)
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

// setChain stores the previous turns in an opened turn and marks them as inherited if they belong to another shard.
func (c *Client) setChain(opened *OpenedTurn, chain []conversation.Turn, shard int) {
	opened.setChain(chain)
	if len(chain) == 0 {
		return
	}
	home, _ := c.shardOf(chain[len(chain)-1].Program)
	opened.inherited = home != shard
}

func (o *OpenedTurn) setChain(chain []conversation.Turn) {
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

// openInShard opens a turn at the replicas of a shard. It starts over with the newer set whenever a replica returns
// one.
func (c *Client) openInShard(ctx context.Context, shard int, params OpenParams, charge *conversation.Charge, opened *OpenedTurn, wantText bool) error {
	for {
		set := c.setOf(shard)
		newer, err := c.openOnce(ctx, set, params, charge, opened, wantText)
		if newer == nil {
			return err
		}
		c.ApplySet(*newer)
	}
}

func (c *Client) openOnce(ctx context.Context, set ReplicaSet, params OpenParams, charge *conversation.Charge, opened *OpenedTurn, wantText bool) (*ReplicaSet, error) {
	request := openRequest{Shard: set.Shard, Epoch: set.Epoch, Reserve: charge}
	if wantText {
		request.Previous = params.Previous
	}
	requestContext, stop := context.WithCancel(ctx)
	defer stop()
	collector := newOpenCollector(set)
	startedAt := time.Now()
	replies := c.sendOpen(requestContext, set, request)
	hedge := time.NewTimer(textHedgeDelay)
	defer hedge.Stop()
	hedged := false
	confirming := &confirmation{client: c, set: set, request: request, replies: replies}
	defer confirming.stop()
	for {
		if collector.newer != nil {
			return collector.newer, nil
		}
		if time.Since(startedAt) >= ackLifetime {
			return nil, unavailable("the answers of the replicas have expired")
		}
		if done, err := collector.decide(params, opened, wantText); done {
			if err == nil && wantText {
				chain := collector.chain(params.Previous)
				c.setChain(opened, chain, set.Shard)
				c.cache.addChain(chain)
			}
			return nil, err
		}
		if !hedged && wantText && collector.needsText(params.Previous) {
			hedged = true
			c.requestTextFromOthers(requestContext, set, params.Previous, replies)
		}
		if charge != nil && collector.stored() {
			confirming.advance(requestContext, collector)
		}
		select {
		case reply := <-replies:
			collector.add(reply)
		case <-confirming.due():
			confirming.begin()
		case <-hedge.C:
			if !hedged && wantText {
				hedged = true
				c.requestTextFromOthers(requestContext, set, params.Previous, replies)
			}
		case <-ctx.Done():
			return nil, unavailable("too few replicas answered: %d of %d, %d complete", len(collector.responded), len(set.All()), len(collector.complete))
		}
	}
}

// openReply is one replica's response to an open request.
type openReply struct {
	member Member
	// reserving reports that the request included the reservation: only such a response counts for the budget. confirming
	// reports that it was sent after a write quorum had stored the reservation.
	reserving  bool
	confirming bool
	response   openResponse
	err        error
}

// sendOpen sends the request to all replicas, and asks only the nearest one for the text.
func (c *Client) sendOpen(ctx context.Context, set ReplicaSet, request openRequest) chan openReply {
	replies := make(chan openReply, responseBuffer)
	report := c.loadReport()
	nearest := c.nearest(set)
	for _, member := range set.All() {
		memberRequest := request
		memberRequest.WithText = request.Previous != "" && member.Name == nearest
		report.attachTo(&memberRequest, member)
		c.network.Go(func() { c.callOpen(ctx, member, memberRequest, false, replies) })
	}
	c.sendLoad(report, set)
	return replies
}

func (c *Client) requestTextFromOthers(ctx context.Context, set ReplicaSet, previous string, replies chan openReply) {
	request := openRequest{Shard: set.Shard, Epoch: set.Epoch, Previous: previous, WithText: true}
	nearest := c.nearest(set)
	for _, member := range set.All() {
		if member.Name != nearest {
			c.network.Go(func() { c.callOpen(ctx, member, request, false, replies) })
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

func (c *Client) callOpen(ctx context.Context, member Member, request openRequest, confirming bool, replies chan<- openReply) {
	response, err := callWithRetry[openResponse](ctx, c.network, member.Peer(), openKind, request)
	c.receiveLoad(response)
	replies <- openReply{member: member, reserving: request.Reserve != nil, confirming: confirming, response: response, err: err}
}

// callOpenAll yields the responses of all replicas until the context ends.
func (c *Client) callOpenAll(ctx context.Context, set ReplicaSet, request openRequest) func(yield func(openReply) bool) {
	replies := make(chan openReply, responseBuffer)
	members := set.All()
	for _, member := range members {
		c.network.Go(func() { c.callOpen(ctx, member, request, false, replies) })
	}
	return func(yield func(openReply) bool) {
		for range members {
			select {
			case reply := <-replies:
				if !yield(reply) {
					return
				}
			case <-ctx.Done():
				return
			}
		}
	}
}
