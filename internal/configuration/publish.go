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
	// publishAttempts limits the attempts to publish a change when other publishers commit first.
	publishAttempts = 8
	resolveTimeout  = 10 * time.Second
	storeRetryAfter = 5 * time.Second
)

// Publish commits a change in the store and installs it on this node. If the store's response is lost,
// it reads the revisions back and looks for the change's ID; if the store stays unavailable, the error
// says that the outcome is unknown. Errors: *apierr.Error, *resource.FieldError.
func (m *Manager) Publish(ctx context.Context, change Change) (Document, error) {
	if err := m.checkPolicies(change); err != nil {
		return Document{}, err
	}
	for range publishAttempts {
		document, err := m.publishOnce(ctx, change)
		var conflict *configstore.ErrConflict
		if err == nil || !errors.As(err, &conflict) {
			return document, err
		}
		if published, found := m.findChange(ctx, change.ChangeID); found {
			return published, m.Install(published)
		}
	}
	return Document{}, apierr.New(apierr.RevisionConflict, apierr.NotRun, "every attempt to publish the change failed because another change was committed first").WithRetryAfter(time.Second)
}

// checkPolicies rejects a change with a policy that can't be installed. That depends on the policy alone, so the change is rejected
// with this reason although the store may be slow or down.
func (m *Manager) checkPolicies(change Change) error {
	if m.options.Check == nil {
		return nil
	}
	var policies []resource.Resource
	for _, item := range change.Upserts {
		if item.Policy != nil {
			policies = append(policies, item)
		}
	}
	set, err := resource.NewSet(policies)
	if err != nil {
		return err
	}
	return m.options.Check(set)
}

func (m *Manager) publishOnce(ctx context.Context, change Change) (Document, error) {
	// This must be read before the head: the store already holds a revision that is in force, so a head that is read later
	// can be older only if the store was rolled back.
	minRevision := max(m.Current().Revision(), m.latestKnown.Load())
	entry, stored, err := m.readHead(ctx)
	if err != nil {
		return Document{}, m.storeFailure(err, apierr.NotRun)
	}
	current, err := m.documentOfHead(ctx, stored, minRevision)
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
		return m.resolveOutcome(ctx, change, entry.Revision, err)
	}
	m.options.Logger.Emit(events.ConfigPublished, events.F("revision", next.Revision), events.F("author", next.Author))
	return next, m.Install(next)
}

// documentOfHead returns the document that the stored head names. It fails if the store was rolled back
// to a revision below minRevision, which was in force before the head was read: a change on top of
// older state would revert the configuration.
func (m *Manager) documentOfHead(ctx context.Context, stored head, minRevision uint64) (Document, error) {
	current := m.Current().Document
	if stored.Revision < minRevision {
		m.options.Logger.Emit(events.ConfigStoreOlder, events.F("store", stored.Revision), events.F("in_force", minRevision))
		return Document{}, apierr.New(apierr.StoreUnavailable, apierr.NotRun,
			"the store holds revision %d, but revision %d is in force: the store was rolled back", stored.Revision, minRevision)
	}
	switch stored.Revision {
	case current.Revision:
		return current, nil
	case 0:
		// Another publisher has created the first revision meanwhile, so the compare-and-swap will fail.
		return Document{}, nil
	}
	document, err := m.readRevision(ctx, stored.Revision)
	if err != nil {
		return Document{}, m.storeFailure(err, apierr.NotRun)
	}
	return document, nil
}

// checkBase rejects a change if a resource in it was changed after the revision that the change is based on.
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

// resolveOutcome determines whether a write took effect whose response was lost. comparedRevision is the
// store's revision of the head that the write was conditional on.
func (m *Manager) resolveOutcome(ctx context.Context, change Change, comparedRevision int64, failure error) (Document, error) {
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
			sleep(ctx, retryDelay/4)
			continue
		}
		if published, found := m.findChange(ctx, change.ChangeID); found {
			return published, m.Install(published)
		}
		// A write that is still in flight fails if the head has changed, but can succeed if it has not.
		if entry.Revision != comparedRevision {
			return Document{}, m.storeFailure(failure, apierr.NotRun)
		}
		return Document{}, m.storeFailure(failure, apierr.OutcomeUnknown)
	}
	return Document{}, m.storeFailure(failure, apierr.OutcomeUnknown)
}

// findChange searches the latest revisions in the store for a change.
func (m *Manager) findChange(ctx context.Context, changeID string) (Document, bool) {
	_, stored, err := m.readHead(ctx)
	if err != nil {
		return Document{}, false
	}
	// Each failed attempt means that at least one other change was committed, so the change may be several revisions back.
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

// History returns up to count accepted revisions, newest first, without their resources.
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
