package turnstore

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/mountstile/mountstile/internal/configstore"
	"github.com/mountstile/mountstile/internal/events"
)

// The first sets are created by any replica that finds none in the store, so a start that was interrupted at any moment is
// repeated by the next one. Each replica registers as a candidate with the identity of its disk; one of them then creates the
// sets if their key is still absent. No record can have been acknowledged before that, so a disk that the sets name lacks
// nothing (see folder.saveShard). A replica that has lost its disk since has another identity and must catch up.

const (
	// candidateQuietPeriod is how long the list of candidates must be unchanged before the first sets are created.
	candidateQuietPeriod = 800 * time.Millisecond
	// candidateTimeout is how long the candidates wait for more if there are only ReplicaOptions.Copies of them, the
	// minimum, and how long the others leave it to the first candidate to create the sets.
	candidateTimeout = 4 * time.Second
	// bootstrapInterval is the delay between attempts to create the first sets.
	bootstrapInterval = time.Second
	// absenceCheckInterval is the delay between reads of the set's key while no set is known.
	absenceCheckInterval = 2 * time.Second
	// bootstrapLogInterval is the interval between log lines of a replica that waits for the same thing.
	bootstrapLogInterval = 5 * time.Second
)

// bootstrapWait is what a replica without a set waits for.
type bootstrapWait string

const (
	waitStore          bootstrapWait = "store"
	waitRegistration   bootstrapWait = "registration"
	waitCandidates     bootstrapWait = "candidates"
	waitQuietPeriod    bootstrapWait = "quiet period"
	waitFirstCandidate bootstrapWait = "first candidate"
	waitCreation       bootstrapWait = "creation"
	// waitOtherShards means that there are sets, but this replica does not know all of them yet.
	waitOtherShards bootstrapWait = "sets of other shards"
)

var bootstrapWaits = []bootstrapWait{
	waitStore, waitRegistration, waitCandidates, waitQuietPeriod, waitFirstCandidate, waitCreation, waitOtherShards,
}

// bootstrapState tracks what this replica knows of the first sets and their candidates. It is not safe for concurrent use.
type bootstrapState struct {
	startedAt time.Time
	changedAt time.Time
	count     int
	// registered is set once the store holds this replica's candidate record.
	registered bool
	// absent is set once the store had no set; nextCheckAt is when it is asked again.
	absent      bool
	nextCheckAt time.Time
	// nextAttemptAt is the earliest time of the next attempt to create the first sets.
	nextAttemptAt time.Time
	logged        bootstrapWait
	nextLogAt     time.Time
}

func newBootstrapState(now time.Time) *bootstrapState {
	return &bootstrapState{startedAt: now, changedAt: now}
}

// bootstrap creates the first sets from all replicas that start before there are any. Each candidate writes its own
// key, because concurrent updates of one shared list would conflict with each other: with 36 candidates they took 7.8 s.
func (r *Replica) bootstrap(ctx context.Context, state *bootstrapState) error {
	now := time.Now()
	waiting, err := r.bootstrapStep(ctx, now, state)
	if r.ReplicaSet().Epoch > 0 {
		waiting = ""
	}
	r.setBootstrapWaiting(waiting)
	if waiting != "" {
		r.logBootstrap(now, state, waiting)
	}
	return err
}

func (r *Replica) setBootstrapWaiting(waiting bootstrapWait) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.bootstrapWaiting = waiting
}

// bootstrapWaitsFor reports whether this replica has no set and waits for the given thing.
func (r *Replica) bootstrapWaitsFor(waiting bootstrapWait) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.set.Epoch == 0 && r.bootstrapWaiting == waiting
}

// knowsSets reports whether any replica set is known.
func (r *Replica) knowsSets() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.sets) > 0
}

// bootstrapStep takes one step towards the first sets and returns what this replica waits for.
func (r *Replica) bootstrapStep(ctx context.Context, now time.Time, state *bootstrapState) (bootstrapWait, error) {
	if err := r.checkAbsence(ctx, now, state); err != nil {
		return waitStore, err
	}
	if r.knowsSets() {
		return waitOtherShards, nil
	}
	if !state.registered {
		if err := r.registerCandidate(ctx); err != nil {
			return waitRegistration, err
		}
		state.registered = true
	}
	candidates := r.listCandidates()
	if len(candidates) != state.count {
		state.count = len(candidates)
		state.changedAt = now
	}
	if waiting := r.bootstrapWait(now, state, candidates); waiting != waitCreation || now.Before(state.nextAttemptAt) {
		return waiting, nil
	}
	state.nextAttemptAt = now.Add(bootstrapInterval)
	return waitCreation, r.createInitialSets(ctx, candidates)
}

// checkAbsence reads the set's key from the store: it holds a set if this replica is new in an existing system, or if its
// catalog is late.
func (r *Replica) checkAbsence(ctx context.Context, now time.Time, state *bootstrapState) error {
	if now.Before(state.nextCheckAt) || r.knowsSets() {
		return nil
	}
	if r.options.FirstStart && state.nextCheckAt.IsZero() {
		// At the first start there is hardly ever a set; if there is one, createInitialSets finds it.
		state.absent, state.nextCheckAt = true, now.Add(absenceCheckInterval)
		return nil
	}
	entry, err := r.readStore(ctx, r.options.SetKey)
	if err != nil {
		if state.absent {
			return nil
		}
		return err
	}
	state.nextCheckAt = now.Add(absenceCheckInterval)
	state.absent = entry.Revision == 0
	if state.absent {
		return nil
	}
	return r.applyStoredSet(entry)
}

// applyStoredSet applies a set that the store returned.
func (r *Replica) applyStoredSet(entry configstore.Entry) error {
	var set ReplicaSet
	if err := json.Unmarshal(entry.Value, &set); err != nil {
		return errors.Wrap(err, "decoding the stored replica set")
	}
	r.ApplySet(set)
	return nil
}

// ApplyCandidate adds a replica that started before there were sets to the candidates for the first ones.
func (r *Replica) ApplyCandidate(candidate Member) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if candidate.Name == r.options.Self.Name {
		// The record may be one of an earlier start.
		return
	}
	r.candidates[candidate.Name] = candidate
}

// listCandidates returns the known candidates, sorted by name.
func (r *Replica) listCandidates() []Member {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	sorted := slices.Collect(maps.Values(r.candidates))
	slices.SortFunc(sorted, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return sorted
}

// candidate returns this replica's candidate record.
func (r *Replica) candidate() Member {
	self := r.options.Self
	self.Identity = r.folder.record().Identity
	return self
}

// registerCandidate writes this replica's candidate record. It replaces the record of an earlier start that had another
// disk or address.
func (r *Replica) registerCandidate(ctx context.Context) error {
	self := r.candidate()
	key := r.options.CandidatesKey + "/" + self.Name
	err := r.compareAndSwap(ctx, key, 0, self)
	var conflict *configstore.ErrConflict
	if errors.As(err, &conflict) {
		var registered Member
		if json.Unmarshal(conflict.Actual.Value, &registered) != nil || registered != self {
			err = r.compareAndSwap(ctx, key, conflict.Actual.Revision, self)
		} else {
			err = nil
		}
	}
	if err != nil {
		return err
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.candidates[self.Name] = self
	return nil
}

// createInitialSets writes the sets of all shards in one transaction, unless another candidate has.
func (r *Replica) createInitialSets(ctx context.Context, candidates []Member) error {
	var writes []configstore.Write
	clusterID := uuid.NewString()
	for _, set := range initialSets(candidates, r.options.Size, r.options.Copies) {
		set.ClusterID = clusterID
		encoded, err := json.Marshal(set)
		if err != nil {
			return errors.Wrap(err, "encoding an initial replica set")
		}
		writes = append(writes, configstore.Write{Key: setKey(r.options.SetKey, set.Shard), Value: encoded})
	}
	callContext, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err := r.options.Store.CompareAndSwap(callContext, r.options.SetKey, 0, writes)
	var conflict *configstore.ErrConflict
	if errors.As(err, &conflict) && conflict.Actual.Revision != 0 {
		return r.applyStoredSet(conflict.Actual)
	}
	return err
}

// bootstrapWait returns what this replica waits for before it may create the first sets, or waitCreation. The first
// candidate creates them; the others wait longer, and create them only if the first one seems lost.
func (r *Replica) bootstrapWait(now time.Time, state *bootstrapState, candidates []Member) bootstrapWait {
	unchangedFor := now.Sub(state.changedAt)
	switch {
	case len(candidates) < r.options.Copies:
		return waitCandidates
	case unchangedFor < candidateQuietPeriod:
		return waitQuietPeriod
	case len(candidates) == r.options.Copies && now.Sub(state.startedAt) < candidateTimeout:
		return waitCandidates
	case candidates[0].Name != r.options.Self.Name && unchangedFor <= candidateTimeout:
		return waitFirstCandidate
	}
	return waitCreation
}

// logBootstrap logs what this replica waits for when that changes, and periodically.
func (r *Replica) logBootstrap(now time.Time, state *bootstrapState, waiting bootstrapWait) {
	if waiting == state.logged && now.Before(state.nextLogAt) {
		return
	}
	state.logged, state.nextLogAt = waiting, now.Add(bootstrapLogInterval)
	r.logger.Emit(events.ReplicaWithoutSet, events.F("waits_for", string(waiting)), events.F("absence_confirmed", state.absent),
		events.F("registered", state.registered), events.F("candidates", state.count), events.F("copies", r.options.Copies),
		events.F("unchanged_millis", now.Sub(state.changedAt).Milliseconds()), events.F("millis", now.Sub(state.startedAt).Milliseconds()))
}
