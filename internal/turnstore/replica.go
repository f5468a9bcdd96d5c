// Package turnstore keeps turns and budgets on several replicas, without a leader. A record is
// written once enough replicas have synced it, and read from so many that one of them has it
// (docs/design/platform.md). Replica is the side with a disk; Client is the side of the gateways.
//
// Usage:
//
//	replica, err := turnstore.NewReplica(options, network, logger)
//	go replica.Run(ctx)
//
//	client := turnstore.NewClient(options, network, logger)
//	opened, err := client.Open(ctx, turnstore.OpenParams{...})
//	err = client.Put(ctx, records)
package turnstore

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"golang.org/x/time/rate"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/configstore"
	"github.com/mountstile/mountstile/internal/conversation"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/load"
	"github.com/mountstile/mountstile/internal/transport"
	"github.com/mountstile/mountstile/internal/turnlog"
)

const (
	// expireInterval is how often records that are no longer kept are dropped.
	expireInterval = 5 * time.Second
	// digestKeys and fetchKeys bound one answer.
	digestKeys = 2000
	fetchKeys  = 64
	// failureLinesASecond is how many lines a second tell of records that could not be written.
	failureLinesASecond = 20
)

// ReplicaOptions configure a Replica.
type ReplicaOptions struct {
	Self   Member
	Folder string
	// FirstStart is true only at the very first start of the whole system.
	FirstStart bool
	// Copies is the number of disks that may be lost at once, and one.
	Copies int
	// Size is how many members a replica set gets; 0 means all replicas that start with the system. There are as
	// many sets, each with a shard of the programs, as these replicas are enough for. Replicas beyond that are spares:
	// they hold what the nearest member of a shard holds, and take the place of a member that is lost.
	Size int
	// Store holds the replica sets. SetKey is the key of the first shard's; those of the others have its number behind a
	// slash. Each replica that starts with the system writes its name behind CandidatesKey and a slash.
	Store         configstore.Store
	SetKey        string
	CandidatesKey string
	// TextBytes is how much of the turns' texts stays in memory, in bytes; the others are read from disk. 0 stands
	// for 16 MB.
	TextBytes int64
	// LogBytes is the size of the log, in bytes, from which what is no longer needed is dropped; 0 stands for
	// that of package turnlog.
	LogBytes int64
	// IsRetiring tells whether the operator wants the named replica emptied; ReportRetirement tells the operator of this one.
	IsRetiring       func(name string) bool
	ReportRetirement func(ctx context.Context, done bool) error
	// Metrics may be nil.
	Metrics *Metrics
}

// Replica holds turns and budgets on disk. All methods may be called concurrently.
type Replica struct {
	options ReplicaOptions
	network *transport.Transport
	logger  *events.Logger
	log     *turnlog.Log
	texts   *texts
	folder  *folder
	// board adds up the calls in flight at engines that gateways report.
	board *load.Aggregator
	// incarnation names this process to peers: after a restart, changes are numbered anew.
	incarnation string

	mutex sync.Mutex
	state *conversation.State
	// candidates are the replicas that have started with the system, by name.
	candidates map[string]Member
	// sets are the replica sets of all shards; set is that of this replica's.
	sets sets
	set  ReplicaSet
	// shard is what this replica holds, or noShard.
	shard int
	// refusing is true while the replica hands over what it holds.
	refusing bool
	// spareHeardAt is when a replica that is no member asked last; follower is the last one that pulled, at followedAt.
	spareHeardAt time.Time
	follower     string
	followedAt   time.Time
	peers        map[string]*peerProgress
	setNews      chan struct{}

	// failureLines bounds the log lines on records that could not be written: a disk that stands still refuses
	// hundreds a second.
	failureLines *rate.Limiter

	// inTouchSince is since when enough members of a shard are heard; zero while they aren't. It belongs to the loop that
	// changes the replica set.
	inTouchSince map[int]time.Time
	// need is the shard that this replica is about to move to. It belongs to the same loop.
	need shardNeed
	// retirementBegunAt is when the operator was told of this replica's retirement; zero if it wasn't. It belongs to the
	// same loop.
	retirementBegunAt time.Time
}

// NewReplica reads the folder and registers the message handlers.
func NewReplica(options ReplicaOptions, network *transport.Transport, logger *events.Logger) (*Replica, error) {
	replica := &Replica{
		options:    options,
		network:    network,
		logger:     logger,
		state:      conversation.New(),
		peers:      make(map[string]*peerProgress),
		texts:      newTexts(options.TextBytes),
		board:      load.NewAggregator(),
		setNews:    make(chan struct{}, 1),
		sets:       make(sets),
		candidates: make(map[string]Member),
		shard:      noShard,

		inTouchSince: make(map[int]time.Time),
		incarnation:  uuid.NewString(),
		failureLines: rate.NewLimiter(failureLinesASecond, failureLinesASecond),
	}
	opened, err := openFolder(options.Folder, options.FirstStart)
	if err != nil {
		return nil, err
	}
	replica.folder = opened
	replica.restoreShard(opened.record())
	now := time.Now()
	replica.log, err = turnlog.Open(turnlog.Options{
		Folder: options.Folder, CompactionThreshold: options.LogBytes,
		IsLive: replica.needed, OnMove: replica.moved,
		Replay: func(payload []byte, at turnlog.Position) {
			if record, valid := decodeRecord(payload); valid {
				replica.applyOne(now, record, at)
			}
		},
	})
	if err != nil {
		return nil, err
	}
	replica.texts.log = replica.log
	held := replica.size()
	logger.Emit(events.ReplicaOpened, events.F("identity", opened.record().Identity), events.F("complete", opened.record().Complete),
		events.F("shard", replica.shard), events.F("epoch", replica.set.Epoch), events.F("turns", held.turns), events.F("programs", held.programs), events.F("bytes", replica.texts.size()))
	options.Metrics.show(replica)
	transport.Handle(network, openKind, measured(options.Metrics, openKind, replica.serveOpen))
	transport.Handle(network, putKind, measured(options.Metrics, putKind, replica.servePut))
	transport.Handle(network, digestKind, measured(options.Metrics, digestKind, replica.serveDigest))
	transport.Handle(network, fetchKind, measured(options.Metrics, fetchKind, replica.serveFetch))
	transport.Handle(network, fenceKind, measured(options.Metrics, fenceKind, replica.serveFence))
	return replica, nil
}

// needed tells whether a record in the log is the newest version of something that is still kept.
func (r *Replica) needed(payload []byte) bool {
	record, valid := decodeRecord(payload)
	if !valid {
		return false
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.state.IsCurrent(record.Key())
}

// Run writes the log, pulls from peers and keeps the replica set until the context ends.
func (r *Replica) Run(ctx context.Context) {
	var tasks sync.WaitGroup
	start := func(task func(context.Context)) {
		tasks.Add(1)
		go func() {
			defer tasks.Done()
			task(ctx)
		}()
	}
	start(r.log.Run)
	start(r.expireLoop)
	start(r.pullLoop)
	start(r.watchLoop)
	start(r.membershipLoop)
	tasks.Wait()
}

func (r *Replica) expireLoop(ctx context.Context) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			r.mutex.Lock()
			dropped := r.state.Expire(now)
			r.mutex.Unlock()
			r.texts.drop(dropped)
		}
	}
}

// ReplicaSet returns the newest known replica set of this replica's shard.
func (r *Replica) ReplicaSet() ReplicaSet {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.set
}

// setOf returns the newest known replica set of a shard.
func (r *Replica) setOf(shard int) ReplicaSet {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.sets[shard]
}

// ApplySet takes a set from the catalog or a peer; older ones are ignored.
func (r *Replica) ApplySet(set ReplicaSet) {
	r.mutex.Lock()
	newer := r.sets.apply(set)
	first := newer && r.takeFirstShard()
	own := newer && set.Shard == r.shard
	if own {
		r.set = set
	}
	r.mutex.Unlock()
	if !newer {
		return
	}
	r.logger.Emit(events.ReplicaSetChanged, set.fields()...)
	if own || first {
		r.wakePulls()
	}
}

// wakePulls lets the pull loop begin its next round at once.
func (r *Replica) wakePulls() {
	select {
	case r.setNews <- struct{}{}:
	default:
	}
}

// newerThan returns the known set of a shard if a request's epoch is older. The error says that this replica holds
// another shard. One that does not know its shard yet has never left the one that others know it in.
func (r *Replica) newerThan(shard int, epoch int64) (*ReplicaSet, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if set := r.sets[shard]; epoch < set.Epoch {
		return &set, nil
	}
	if r.shard != noShard && r.shard != shard {
		return nil, apierr.New(apierr.TurnsUnavailable, apierr.NotRun, "the replica holds shard %d, not %d", r.shard, shard)
	}
	return nil, nil
}

// append makes records durable that are not known yet, then applies them.
func (r *Replica) append(ctx context.Context, records []conversation.Record) error {
	var news []conversation.Record
	r.mutex.Lock()
	for _, record := range records {
		if (record.Turn != nil || record.Charge != nil) && !r.state.Has(record.Key()) {
			news = append(news, record)
		}
	}
	r.mutex.Unlock()
	if len(news) == 0 {
		return nil
	}
	err := r.log.Append(ctx, encodeRecords(news), func(at []turnlog.Position) { r.apply(news, at) })
	if err != nil && ctx.Err() == nil && r.failureLines.Allow() {
		r.logger.Emit(events.ReplicaLogFailed, events.F("error", err), events.F("records", len(news)))
	}
	return err
}

func (r *Replica) apply(records []conversation.Record, at []turnlog.Position) {
	now := time.Now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for index, record := range records {
		r.applyOne(now, record, at[index])
	}
}

// applyOne takes a record that lies on disk. The text of a turn is not held in the state. The caller holds the
// mutex, or nobody else knows the replica yet.
func (r *Replica) applyOne(now time.Time, record conversation.Record, at turnlog.Position) {
	if record.Turn != nil {
		r.texts.put(record.Turn.ID, record.Turn.Text, at)
		turn := *record.Turn
		turn.Text = nil
		record.Turn = &turn
	}
	r.state.Apply(now, record)
}

// moved learns where a record lies from now on.
func (r *Replica) moved(payload []byte, at turnlog.Position) {
	if record, valid := decodeRecord(payload); valid && record.Turn != nil {
		r.texts.move(record.Turn.ID, at)
	}
}

var errHandingOver = apierr.New(apierr.TurnsUnavailable, apierr.NotRun, "the replica hands over what it holds")

// open reserves a turn's tokens and finds the turns before it.
func (r *Replica) open(ctx context.Context, request openRequest) (openAnswer, error) {
	if newer, err := r.newerThan(request.Shard, request.Epoch); newer != nil || err != nil {
		return openAnswer{Newer: newer}, err
	}
	if request.Reserve != nil {
		if err := r.append(ctx, []conversation.Record{{Charge: request.Reserve}}); err != nil {
			return openAnswer{}, err
		}
	}
	answer := r.answerOpen(request)
	for index := range answer.Chain {
		text, err := r.texts.get(answer.Chain[index].ID)
		if err != nil {
			r.logger.Emit(events.ReplicaLogFailed, events.F("error", err), events.F("turn", answer.Chain[index].ID))
			answer.Missing = answer.Chain[index].ID
			answer.Chain = answer.Chain[index+1:]
			return answer, nil
		}
		answer.Chain[index].Text = text
	}
	return answer, nil
}

// answerOpen is the answer but for the texts of the turns.
func (r *Replica) answerOpen(request openRequest) openAnswer {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	answer := openAnswer{Complete: r.folder.record().Complete}
	if request.Reserve != nil {
		answer.Charges = r.state.Charges(request.Reserve.Program)
		answer.Engine = r.state.Engine(request.Reserve.Program)
	}
	if request.Previous == "" {
		return answer
	}
	answer.Known = r.state.HasTurn(request.Previous)
	if request.WithText {
		answer.Chain, answer.Missing = r.state.Chain(request.Previous)
	}
	return answer
}

func (r *Replica) servePut(ctx context.Context, _ transport.Peer, request putRequest) (putAnswer, error) {
	if newer, err := r.newerThan(request.Shard, request.Epoch); newer != nil || err != nil {
		return putAnswer{Newer: newer}, err
	}
	r.mutex.Lock()
	refusing := r.refusing
	r.mutex.Unlock()
	if refusing {
		return putAnswer{}, errHandingOver
	}
	return putAnswer{}, r.append(ctx, request.Records)
}

func (r *Replica) serveDigest(_ context.Context, _ transport.Peer, request digestRequest) (digestAnswer, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.shard != noShard && r.shard != request.Shard {
		return digestAnswer{}, apierr.New(apierr.TurnsUnavailable, apierr.NotRun, "the replica holds shard %d, not %d", r.shard, request.Shard)
	}
	now := time.Now()
	if !r.set.Has(request.From) {
		r.spareHeardAt = now
		if !request.Presence {
			r.follower, r.followedAt = request.From, now
		}
	}
	after := request.After
	if request.Identity != r.incarnation {
		after = 0
	}
	answer := digestAnswer{Identity: r.incarnation, Complete: r.folder.record().Complete}
	answer.Followed = r.follower != request.From && now.Sub(r.followedAt) < spareHeardFor
	if !request.Presence {
		answer.Keys, answer.Sequence = r.state.KeysSince(after, digestKeys)
	}
	if r.set.Epoch > request.Epoch {
		set := r.set
		answer.ReplicaSet = &set
	}
	return answer, nil
}

func (r *Replica) serveFetch(_ context.Context, _ transport.Peer, request fetchRequest) (fetchAnswer, error) {
	r.mutex.Lock()
	var answer fetchAnswer
	for _, key := range request.Keys[:min(len(request.Keys), fetchKeys)] {
		if record, found := r.state.Record(key); found {
			answer.Records = append(answer.Records, record)
		}
	}
	r.mutex.Unlock()
	return answer, r.fillTexts(answer.Records)
}

// fillTexts gives turns their texts. A record that can't be read is a failure: whoever asked would take
// an answer without it for all that there is.
func (r *Replica) fillTexts(records []conversation.Record) error {
	for _, record := range records {
		if record.Turn == nil {
			continue
		}
		text, err := r.texts.get(record.Turn.ID)
		if err != nil {
			r.logger.Emit(events.ReplicaLogFailed, events.F("error", err), events.F("turn", record.Turn.ID))
			return err
		}
		record.Turn.Text = text
	}
	return nil
}

// serveFence makes the replica refuse older epochs from now on, also after a restart.
func (r *Replica) serveFence(_ context.Context, _ transport.Peer, request fenceRequest) (fenceAnswer, error) {
	r.ApplySet(request.ReplicaSet)
	set := r.ReplicaSet()
	if set.Shard != request.ReplicaSet.Shard {
		return fenceAnswer{}, errors.WithStack(errOtherShard{})
	}
	if err := r.folder.saveSet(set); err != nil {
		return fenceAnswer{}, err
	}
	return fenceAnswer{Epoch: set.Epoch, Complete: r.folder.record().Complete}, nil
}
