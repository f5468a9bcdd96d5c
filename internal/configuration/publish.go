package configuration

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/configstore"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/resource"
)

const (
	// publishAttempts bounds how often a change without Base is tried against other publishers.
	publishAttempts = 8
	resolveTimeout  = 10 * time.Second
	storeRetryAfter = 5 * time.Second
)

// Publish commits a change in the store and installs it here. When the store's answer is lost, it
// reads back and looks for the change's identifier; if the store stays away, the failure says that
// the outcome is unknown. Errors: *apierr.Error, *resource.FieldError.
func (m *Manager) Publish(ctx context.Context, change Change) (Document, error) {
	for range publishAttempts {
		document, err := m.publishOnce(ctx, change)
		var conflict *configstore.ErrConflict
		if err == nil || !errors.As(err, &conflict) {
			return document, err
		}
		if mine, found := m.findChange(ctx, change.ChangeID); found {
			return mine, m.Install(mine)
		}
	}
	return Document{}, apierr.New(apierr.RevisionConflict, apierr.NotRun, "other changes kept coming first").WithRetryAfter(time.Second)
}

func (m *Manager) publishOnce(ctx context.Context, change Change) (Document, error) {
	// What is in force now must be in the store already; another publisher may add to it meanwhile.
	floor := max(m.Current().Revision(), m.wanted.Load())
	entry, stored, err := m.readHead(ctx)
	if err != nil {
		return Document{}, m.storeFailure(err, apierr.NotRun)
	}
	current, err := m.documentAt(ctx, stored, floor)
	if err != nil {
		return Document{}, err
	}
	if err := m.checkBase(current, change); err != nil {
		return Document{}, err
	}
	next := apply(current, change, time.Now().UTC())
	snapshot, err := m.build(next)
	if err != nil {
		return Document{}, err
	}
	headValue, err := json.Marshal(head{Revision: next.Revision, ChangeID: next.ChangeID})
	if err != nil {
		return Document{}, errors.Wrap(err, "encoding the head")
	}
	err = m.options.Store.CompareAndSwap(ctx, headKey, entry.Revision, []configstore.Write{
		{Key: revisionKey(next.Revision), Value: snapshot.encoded},
		{Key: headKey, Value: headValue},
	})
	if err != nil {
		return m.resolve(ctx, change, entry.Revision, err)
	}
	m.options.Logger.Emit(events.ConfigPublished, events.F("revision", next.Revision), events.F("author", next.Author))
	return next, m.Install(next)
}

// documentAt returns the document of the stored head. A store that was rolled back to an older
// state takes no changes, for they would revert what is in force. floor is a revision that was in
// force before the head was read.
func (m *Manager) documentAt(ctx context.Context, stored head, floor uint64) (Document, error) {
	current := m.Current().Document
	if stored.Revision < floor {
		m.options.Logger.Emit(events.ConfigStoreOlder, events.F("store", stored.Revision), events.F("in_force", floor))
		return Document{}, apierr.New(apierr.StoreUnavailable, apierr.NotRun,
			"the store holds revision %d, but revision %d is in force: the store was rolled back", stored.Revision, floor)
	}
	switch stored.Revision {
	case current.Revision:
		return current, nil
	case 0:
		// Another publisher has made the first revision since; the comparison will fail.
		return Document{}, nil
	}
	document, err := m.readRevision(ctx, stored.Revision)
	if err != nil {
		return Document{}, m.storeFailure(err, apierr.NotRun)
	}
	return document, nil
}

// checkBase refuses a change whose author has not seen the present state of what it touches.
func (m *Manager) checkBase(current Document, change Change) error {
	if change.Base == 0 || change.Base >= current.Revision {
		return nil
	}
	touched := make(map[resource.Key]bool)
	for _, item := range change.Upserts {
		touched[item.Key()] = true
	}
	for _, key := range change.Deletes {
		touched[key] = true
	}
	for _, item := range current.Resources {
		if touched[item.Key()] && item.Revision > change.Base {
			m.options.Logger.Emit(events.ConfigConflict, events.F("author", change.Author), events.F("resource", item.Key()))
			return apierr.New(apierr.RevisionConflict, apierr.NotRun,
				"%s %s was changed at revision %d, after the revision %d that this change is based on",
				item.Kind, item.Name, item.Revision, change.Base).WithField(string(item.Kind) + "/" + item.Name)
		}
	}
	return nil
}

// resolve finds out what became of a write whose answer did not come. compared is the revision of
// the head that the write was conditional on.
func (m *Manager) resolve(ctx context.Context, change Change, compared int64, failure error) (Document, error) {
	var unavailable *configstore.ErrUnavailable
	if !errors.As(failure, &unavailable) {
		return Document{}, failure
	}
	if unavailable.RateLimited {
		return Document{}, m.storeFailure(failure, apierr.NotRun)
	}
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	for ctx.Err() == nil {
		entry, _, err := m.readHead(ctx)
		if err != nil {
			waitFor(ctx, retryDelay/4)
			continue
		}
		if mine, found := m.findChange(ctx, change.ChangeID); found {
			return mine, m.Install(mine)
		}
		// Another head makes the write fail however late it arrives; the same head would let it pass.
		if entry.Revision != compared {
			return Document{}, m.storeFailure(failure, apierr.NotRun)
		}
		return Document{}, m.storeFailure(failure, apierr.OutcomeUnknown)
	}
	return Document{}, m.storeFailure(failure, apierr.OutcomeUnknown)
}

// findChange looks for a change among the revisions above the one in force here.
func (m *Manager) findChange(ctx context.Context, changeID string) (Document, bool) {
	_, stored, err := m.readHead(ctx)
	if err != nil {
		return Document{}, false
	}
	for revision := stored.Revision; revision > 0 && revision+publishAttempts*2 > stored.Revision; revision-- {
		document, err := m.readRevision(ctx, revision)
		if err != nil {
			return Document{}, false
		}
		if document.ChangeID == changeID {
			return document, true
		}
	}
	return Document{}, false
}

func (m *Manager) storeFailure(err error, outcome apierr.Outcome) error {
	m.options.Logger.Emit(events.ConfigStoreFailed, events.F("error", err))
	return apierr.New(apierr.StoreUnavailable, outcome, "%s", err).WithRetryAfter(storeRetryAfter)
}

// History returns the latest accepted revisions, newest first, without their resources.
func (m *Manager) History(ctx context.Context, count int) ([]Document, error) {
	_, stored, err := m.readHead(ctx)
	if err != nil {
		return nil, m.storeFailure(err, apierr.NotRun)
	}
	var documents []Document
	for revision := stored.Revision; revision > 0 && len(documents) < count; revision-- {
		document, err := m.readRevision(ctx, revision)
		if err != nil {
			return documents, m.storeFailure(err, apierr.NotRun)
		}
		document.Resources = nil
		documents = append(documents, document)
	}
	return documents, nil
}

// Revision reads one accepted revision from the store.
func (m *Manager) Revision(ctx context.Context, revision uint64) (Document, error) {
	document, err := m.readRevision(ctx, revision)
	var unavailable *configstore.ErrUnavailable
	if errors.As(err, &unavailable) {
		return document, m.storeFailure(err, apierr.NotRun)
	}
	return document, err
}
