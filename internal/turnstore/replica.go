// Package turnstore stores turns and budgets on several replicas, without a leader. A write is
// acknowledged once a write quorum has synced it; reads need a read quorum, which intersects every
// write quorum (docs/design/platform.md). Replica is the server, which owns a disk; Client is the
// gateway's side.
//
// Usage:
//
//	replica, err := turnstore.NewReplica(options, network, logger)
//	go replica.Run(ctx)
//
//	client := turnstore.NewClient(options, network, logger)
//	opened, err := client.Open(ctx, turnstore.OpenParams{...})
//	err = client.Put(ctx, program, records)
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
	// expireInterval is how often expired records are dropped.
	expireInterval = 5 * time.Second
	// digestKeys bounds the keys in one response.
	digestKeys = 2000
	// maxResponseTextBytes bounds the texts in a response of several records, which has to fit into a message.
	maxResponseTextBytes = transport.MaxLineBytes / 2
	// failureLogsPerSecond limits the log lines about failed writes.
	failureLogsPerSecond = 20
)

// ReplicaOptions configures a Replica.
type ReplicaOptions struct {
	Self   Member
	Folder string
	// FirstStart is true only at the first start of the whole system, when an empty disk lacks no records.
	FirstStart bool
	// Copies is how many disks must sync a record: one more than may be lost at once.
	Copies int
	// Size is the number of members of a replica set; 0 means all replicas that start with the system. There are as
	// many shards, each with a set, as these replicas suffice for. The other replicas are spares: a spare pulls from
	// the nearest member of a shard and replaces a member that is lost.
	Size int
	// Store holds the replica sets: the first shard's under SetKey, the others' under SetKey, a slash and the shard's
	// number. Each replica that starts before there are sets registers under CandidatesKey, a slash and its name.
	Store         configstore.Store
	SetKey        string
	CandidatesKey string
	// TextBytes bounds the texts kept in memory, in bytes; others are read from disk. 0 means 16 MiB.
	TextBytes int64
	// LogBytes is the log size, in bytes, above which the log is compacted; 0 means the default of package
	// turnlog.
	LogBytes int64
	// QueuedBytes bounds the records that wait for the disk; 0 means the default of package turnlog.
	QueuedBytes int64
	// IsRetiring reports whether the operator is retiring the named replica; ReportRetirement reports to the operator
	// that the retirement of this replica has started, or that it is done.
	IsRetiring       func(name string) bool
	ReportRetirement func(ctx context.Context, done bool) error
	// Metrics may be nil.
	Metrics *Metrics
}

// Replica stores turns and budgets on disk. All methods may be called concurrently.
type Replica struct {
	options ReplicaOptions
	network *transport.Transport
	logger  *events.Logger
	log     *turnlog.Log
	texts   *texts
	folder  *folder
	// loadReports aggregates the calls in flight that gateways report.
	loadReports *load.Aggregator
	// incarnation identifies this replica's current numbering of its records to peers. It changes with each restart and
	// each move to another shard, since the numbering starts over.
	incarnation string

	mutex sync.Mutex
	state *conversation.State
	// candidates are the replicas that started before there were sets, by name.
	candidates map[string]Member
	// bootstrapWaiting is what this replica waits for while there are no sets.
	bootstrapWaiting bootstrapWait
	// sets holds the replica sets of all shards; set is the one of this replica's shard.
	sets sets
	set  ReplicaSet
	// setAppliedAt is when set was last replaced by a newer one.
	setAppliedAt time.Time
	// shard is the shard that this replica holds, or noShard.
	shard int
	// emptySince is when this replica last started without all of its shard's records.
	emptySince time.Time
	fetched    fetchStats
	// waitingSince is since when this replica has lacked records or a place in its set; zero if it doesn't.
	waitingSince time.Time
	// handingOver is set while the replica sends its records to the remaining members; it rejects writes meanwhile.
	handingOver bool
	// spareSeenAt is when a replica that is not a member last sent a request; pullingSpare is the last one that pulled,
	// at sparePulledAt.
	spareSeenAt   time.Time
	pullingSpare  string
	sparePulledAt time.Time
	peers         map[string]*peerProgress
	claims        *fetchClaims
	// largeFetch has room for one fetch of a record that is as large as a batch.
	largeFetch chan struct{}
	pullNow    chan struct{}
	// shardAssigned wakes the membership loop when the replica learns its first shard.
	shardAssigned chan struct{}

	// failureLogLimiter limits the log lines about failed writes: a stalled disk rejects hundreds a second.
	failureLogLimiter *rate.Limiter

	// quorumContactSince is since when this replica has had contact with a read quorum of each shard; without an entry
	// if it has none. Only the membership loop uses it.
	quorumContactSince map[int]time.Time
	// move is the shard that this replica may move to. Only the membership loop uses it.
	move pendingMove
	// nextEvictionAt is the earliest time of the next eviction by this replica. Only the membership loop uses it.
	nextEvictionAt time.Time
	// retirementStartedAt is when this replica's retirement was reported to the operator; zero if it wasn't. Only the
	// membership loop uses it.
	retirementStartedAt time.Time
}

// NewReplica loads the log from the data folder and registers the message handlers.
func NewReplica(options ReplicaOptions, network *transport.Transport, logger *events.Logger) (*Replica, error) {
	replica := &Replica{
		options:     options,
		network:     network,
		logger:      logger,
		state:       conversation.New(),
		peers:       make(map[string]*peerProgress),
		claims:      newFetchClaims(),
		largeFetch:  make(chan struct{}, 1),
		texts:       newTexts(options.TextBytes),
		loadReports: load.NewAggregator(),
		pullNow:     make(chan struct{}, 1),
		sets:        make(sets),
		candidates:  make(map[string]Member),
		shard:       noShard,
		emptySince:  time.Now(),

		shardAssigned:      make(chan struct{}, 1),
		quorumContactSince: make(map[int]time.Time),
		incarnation:        uuid.NewString(),
		failureLogLimiter:  rate.NewLimiter(failureLogsPerSecond, failureLogsPerSecond),
	}
	opened, err := openFolder(options.Folder, options.FirstStart)
	if err != nil {
		return nil, err
	}
	replica.folder = opened
	replica.restoreShard(opened.record())
	now := time.Now()
	replica.log, err = turnlog.Open(turnlog.Options{
		Folder: options.Folder, CompactionThreshold: options.LogBytes, QueuedBytes: options.QueuedBytes,
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
	options.Metrics.registerGauges(replica)
	transport.Handle(network, openKind, instrument(options.Metrics, openKind, replica.serveOpen))
	transport.Handle(network, putKind, instrument(options.Metrics, putKind, replica.servePut))
	transport.Handle(network, digestKind, instrument(options.Metrics, digestKind, replica.serveDigest))
	transport.Handle(network, fetchKind, instrument(options.Metrics, fetchKind, replica.serveFetch))
	transport.Handle(network, fenceKind, instrument(options.Metrics, fenceKind, replica.serveFence))
	transport.Handle(network, syncKind, instrument(options.Metrics, syncKind, replica.serveSync))
	return replica, nil
}

// needed reports whether a record in the log is still needed.
func (r *Replica) needed(payload []byte) bool {
	record, valid := decodeRecord(payload)
	if !valid {
		return false
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.state.IsCurrent(record.Key())
}

// Run runs the log, the pulls and the membership changes until the context ends.
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
	start(r.otherShardsLoop)
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

// ApplySet applies a set from the catalog or a peer; sets that are not newer are ignored.
func (r *Replica) ApplySet(set ReplicaSet) {
	r.mutex.Lock()
	newer := r.sets.apply(set)
	first := newer && r.assignFirstShard()
	own := newer && set.Shard == r.shard
	if own {
		r.set = r.sets[set.Shard]
		r.setAppliedAt = time.Now()
	}
	clusterID := r.sets.clusterID()
	r.mutex.Unlock()
	if !newer {
		return
	}
	r.network.SetClusterID(clusterID)
	r.logger.Emit(events.ReplicaSetChanged, set.logFields()...)
	if first {
		r.shardAssigned <- struct{}{}
	}
	if own || first {
		r.triggerPull()
	}
}

// triggerPull makes the pull loop start its next round at once.
func (r *Replica) triggerPull() {
	select {
	case r.pullNow <- struct{}{}:
	default:
	}
}

// checkEpoch returns the newer set if a request's epoch is old, and an error if this replica does not hold the shard.
func (r *Replica) checkEpoch(shard int, epoch int64) (*ReplicaSet, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if set := r.sets[shard]; epoch < set.Epoch {
		return &set, nil
	}
	return nil, r.checkShard(shard)
}

// checkShard returns an error if this replica does not hold the shard, or does not know yet which one it holds: it can't
// tell then whether the request comes from its own cluster. The caller holds the mutex.
func (r *Replica) checkShard(shard int) error {
	switch {
	case r.shard == noShard:
		return apierr.New(apierr.TurnsUnavailable, apierr.NotRun, "the replica does not know the replica sets yet")
	case r.shard != shard:
		return apierr.New(apierr.TurnsUnavailable, apierr.NotRun, "the replica holds shard %d, not %d", r.shard, shard)
	}
	return nil
}

// append syncs the records that are not known yet to the log, then applies them.
func (r *Replica) append(ctx context.Context, records []conversation.Record) error {
	var unknown []conversation.Record
	r.mutex.Lock()
	for _, record := range records {
		if (record.Turn != nil || record.Charge != nil) && !r.state.Has(record.Key()) {
			unknown = append(unknown, record)
		}
	}
	r.mutex.Unlock()
	if len(unknown) == 0 {
		return nil
	}
	err := r.log.Append(ctx, encodeRecords(unknown), func(at []turnlog.Position) { r.apply(unknown, at) })
	if err != nil && ctx.Err() == nil && r.failureLogLimiter.Allow() {
		r.logger.Emit(events.ReplicaLogFailed, events.F("error", err), events.F("records", len(unknown)))
	}
	if turnlog.IsQueueFull(err) {
		return apierr.New(apierr.Overloaded, apierr.NotRun, "%s", err)
	}
	return err
}

// appendInEpoch appends records and checks the epoch again: if the replica was fenced while they waited for the disk, a
// replica that has pulled since may lack them, so they must not count as stored.
func (r *Replica) appendInEpoch(ctx context.Context, shard int, epoch int64, records []conversation.Record) (*ReplicaSet, error) {
	if err := r.append(ctx, records); err != nil {
		return nil, err
	}
	return r.checkEpoch(shard, epoch)
}

func (r *Replica) apply(records []conversation.Record, at []turnlog.Position) {
	now := time.Now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for index, record := range records {
		r.applyOne(now, record, at[index])
	}
}

// applyOne applies a record that is on disk. The text of a turn is kept in texts, not in the state. The caller holds
// the mutex, or the replica is not shared yet.
func (r *Replica) applyOne(now time.Time, record conversation.Record, at turnlog.Position) {
	if record.Turn != nil {
		r.texts.put(record.Turn.ID, record.Turn.Text, at)
		turn := *record.Turn
		turn.Text = nil
		record.Turn = &turn
	}
	r.state.Apply(now, record)
}

// moved updates the position of a record that compaction of the log has moved.
func (r *Replica) moved(payload []byte, at turnlog.Position) {
	if record, valid := decodeRecord(payload); valid && record.Turn != nil {
		r.texts.move(record.Turn.ID, at)
	}
}

var errHandingOver = apierr.New(apierr.TurnsUnavailable, apierr.NotRun, "the replica is handing over its records")

// open reserves a turn's tokens and reads its previous turns.
func (r *Replica) open(ctx context.Context, request openRequest) (openResponse, error) {
	if newer, err := r.checkEpoch(request.Shard, request.Epoch); newer != nil || err != nil {
		return openResponse{Newer: newer}, err
	}
	if request.Reserve != nil {
		newer, err := r.appendInEpoch(ctx, request.Shard, request.Epoch, []conversation.Record{{Charge: request.Reserve}})
		if newer != nil || err != nil {
			return openResponse{Newer: newer}, err
		}
	}
	response := r.buildOpenResponse(request)
	if err := r.reserveChain(ctx, response.Chain); err != nil {
		r.logTextsOmitted(request.Previous, err)
		response.Chain, response.Missing = nil, request.Previous
		return response, nil
	}
	for index := range response.Chain {
		text, err := r.texts.get(response.Chain[index].ID)
		if err != nil {
			r.logger.Emit(events.ReplicaLogFailed, events.F("error", err), events.F("turn", response.Chain[index].ID))
			response.Missing = response.Chain[index].ID
			response.Chain = response.Chain[index+1:]
			return response, nil
		}
		response.Chain[index].Text = text
	}
	return response, nil
}

// reserveChain reserves memory for the texts of turns.
func (r *Replica) reserveChain(ctx context.Context, chain []conversation.Turn) error {
	size := int64(0)
	for _, turn := range chain {
		size += r.texts.sizeOf(turn.ID)
	}
	return transport.ReserveResponse(ctx, size)
}

// logTextsOmitted logs that a response names the previous turn as known and leaves out its text.
func (r *Replica) logTextsOmitted(turn string, cause error) {
	if r.failureLogLimiter.Allow() {
		r.logger.Emit(events.ReplicaLogFailed, events.F("error", cause), events.F("turn", turn))
	}
}

// buildOpenResponse returns the response without the texts of the turns.
func (r *Replica) buildOpenResponse(request openRequest) openResponse {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	response := openResponse{Complete: r.folder.record().Complete}
	if request.Reserve != nil {
		response.Charges = r.state.Charges(request.Reserve.Program)
		response.Engine = r.state.Engine(request.Reserve.Program)
	}
	if request.Previous == "" {
		return response
	}
	response.Known = r.state.HasTurn(request.Previous)
	if request.WithText {
		response.Chain, response.Missing = r.state.Chain(request.Previous)
	}
	return response
}

func (r *Replica) servePut(ctx context.Context, _ transport.Peer, request putRequest) (putResponse, error) {
	if newer, err := r.checkEpoch(request.Shard, request.Epoch); newer != nil || err != nil {
		return putResponse{Newer: newer}, err
	}
	r.mutex.Lock()
	handingOver := r.handingOver
	r.mutex.Unlock()
	if handingOver {
		return putResponse{}, errHandingOver
	}
	newer, err := r.appendInEpoch(ctx, request.Shard, request.Epoch, request.Records)
	return putResponse{Newer: newer}, err
}

func (r *Replica) serveDigest(_ context.Context, _ transport.Peer, request digestRequest) (digestResponse, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if err := r.checkShard(request.Shard); err != nil {
		return digestResponse{}, err
	}
	now := time.Now()
	if !r.set.Has(request.From) {
		r.spareSeenAt = now
		if !request.Heartbeat {
			r.pullingSpare, r.sparePulledAt = request.From, now
		}
	}
	after := request.After
	if request.Incarnation != r.incarnation {
		after = 0
	}
	response := digestResponse{Incarnation: r.incarnation, Complete: r.folder.record().Complete}
	response.SparePulling = r.pullingSpare != request.From && now.Sub(r.sparePulledAt) < spareSeenWindow
	if !request.Heartbeat {
		response.Keys, response.Sequence = r.state.KeysSince(after, digestKeys)
	}
	if r.set.Epoch > request.Epoch {
		set := r.set
		response.ReplicaSet = &set
	}
	return response, nil
}

func (r *Replica) serveFetch(ctx context.Context, _ transport.Peer, request fetchRequest) (fetchResponse, error) {
	r.mutex.Lock()
	response := fetchResponse{Incarnation: r.incarnation}
	for _, key := range request.Keys[:min(len(request.Keys), fetchKeys)] {
		if record, found := r.state.Record(key); found {
			response.Records = append(response.Records, record)
		}
	}
	r.mutex.Unlock()
	if err := r.reserveTexts(ctx, response.Records); err != nil {
		return fetchResponse{}, err
	}
	return response, r.loadTexts(response.Records)
}

// reserveTexts reserves memory for the texts of a response. The error makes the requester ask for fewer records: it would
// take a response without some of them for complete.
func (r *Replica) reserveTexts(ctx context.Context, records []conversation.Record) error {
	size := int64(0)
	for _, record := range records {
		if record.Turn != nil {
			size += r.texts.sizeOf(record.Turn.ID)
		}
	}
	if size > maxResponseTextBytes && len(records) > 1 {
		return apierr.New(apierr.Overloaded, apierr.NotRun, "%d records have %d bytes of text", len(records), size)
	}
	return transport.ReserveResponse(ctx, size)
}

// loadTexts fills in the texts of turns. An unreadable record is an error, because the requester would take a response
// without it for complete.
func (r *Replica) loadTexts(records []conversation.Record) error {
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

// serveFence makes the replica reject older epochs, also after a restart.
func (r *Replica) serveFence(_ context.Context, _ transport.Peer, request fenceRequest) (fenceResponse, error) {
	r.mutex.Lock()
	err := r.checkShard(request.ReplicaSet.Shard)
	r.mutex.Unlock()
	if err != nil {
		return fenceResponse{}, err
	}
	r.ApplySet(request.ReplicaSet)
	set := r.ReplicaSet()
	if set.Shard != request.ReplicaSet.Shard {
		return fenceResponse{}, errors.WithStack(errWrongShard{})
	}
	if err := r.folder.saveSet(set); err != nil {
		return fenceResponse{}, err
	}
	return fenceResponse{Epoch: set.Epoch, Complete: r.folder.record().Complete}, nil
}
