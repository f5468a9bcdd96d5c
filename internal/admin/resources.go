package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/configuration"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/resource"
)

// ResourceList lists resources of the revision in force.
type ResourceList struct {
	Revision  uint64              `json:"revision"`
	Resources []resource.Resource `json:"resources"`
}

// ApplyResult is the revision that a change was published as, and the changed resources.
type ApplyResult struct {
	Revision uint64         `json:"revision"`
	ChangeID string         `json:"change_id"`
	Changed  []resource.Key `json:"changed"`
}

// Difference is a resource before and after a change; Before is nil for a new resource.
type Difference struct {
	Key    resource.Key       `json:"key"`
	Before *resource.Resource `json:"before,omitempty"`
	After  *resource.Resource `json:"after,omitempty"`
}

// DiffResult lists how resources differ from the revision in force.
type DiffResult struct {
	Revision    uint64       `json:"revision"`
	Differences []Difference `json:"differences"`
}

func (s *Server) listResources(_ context.Context, sender identity, r *http.Request) (any, error) {
	snapshot := s.options.Config.Current()
	list := ResourceList{Revision: snapshot.Revision(), Resources: []resource.Resource{}}
	kind := resource.Kind(r.URL.Query().Get("kind"))
	for _, item := range snapshot.Set.List() {
		if (kind == "" || item.Kind == kind) && sender.mayAccess(item.Key()) {
			list.Resources = append(list.Resources, item)
		}
	}
	return list, nil
}

func pathKey(r *http.Request) resource.Key {
	return resource.Key{Kind: resource.Kind(r.PathValue("kind")), Name: r.PathValue("name")}
}

func notFound(key resource.Key) error {
	return apierr.New(apierr.NotFound, apierr.NotRun, "there is no %s %q", key.Kind, key.Name)
}

func (s *Server) getResource(_ context.Context, sender identity, r *http.Request) (any, error) {
	key := pathKey(r)
	found, exists := s.options.Config.Current().Set.Get(key)
	if !exists || !sender.mayAccess(key) {
		return nil, notFound(key)
	}
	return found, nil
}

func (s *Server) deleteResource(ctx context.Context, sender identity, r *http.Request) (any, error) {
	key := pathKey(r)
	if _, exists := s.options.Config.Current().Set.Get(key); !exists || !sender.mayAccess(key) {
		return nil, notFound(key)
	}
	change, err := newChange(r, sender)
	if err != nil {
		return nil, err
	}
	change.Deletes = []resource.Key{key}
	return s.publish(ctx, change)
}

// newChange returns a change with the author, and with the ID and base revision from the request's headers.
func newChange(r *http.Request, sender identity) (configuration.Change, error) {
	change := configuration.Change{ChangeID: r.Header.Get(HeaderChangeID), Author: sender.name}
	if change.ChangeID == "" {
		change.ChangeID = newChangeID()
	}
	base := r.Header.Get(HeaderBaseRevision)
	if base == "" {
		return change, nil
	}
	revision, err := strconv.ParseUint(base, 10, 64)
	if err != nil {
		return change, apierr.New(apierr.InvalidRequest, apierr.NotRun, "%q is not a revision", base).WithField(HeaderBaseRevision)
	}
	change.Base = revision
	return change, nil
}

func (s *Server) publish(ctx context.Context, change configuration.Change) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	document, err := s.options.Config.Publish(ctx, change)
	if err != nil {
		return nil, err
	}
	s.options.Logger.Emit(events.AdminChange, events.F("author", change.Author), events.F("revision", document.Revision))
	result := ApplyResult{Revision: document.Revision, ChangeID: document.ChangeID}
	result.Changed = append(append(result.Changed, document.Upserts...), document.Deletes...)
	return result, nil
}

// readResources decodes the YAML of a request and checks that the sender may publish each resource.
func readResources(r *http.Request, sender identity) ([]resource.Resource, error) {
	body, err := readAll(r)
	if err != nil {
		return nil, err
	}
	resources, err := resource.Decode("request", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if len(resources) == 0 {
		return nil, apierr.New(apierr.InvalidRequest, apierr.NotRun, "the request contains no resource")
	}
	for _, item := range resources {
		if item.Kind == resource.KindTenant && item.Name == PlatformTenant {
			return nil, apierr.New(apierr.Forbidden, apierr.NotRun, "the name %q is reserved", PlatformTenant)
		}
		if !sender.mayAccess(item.Key()) {
			return nil, apierr.New(apierr.Forbidden, apierr.NotRun, "%s %s does not belong to the tenant: the name must begin with the tenant's name", item.Kind, item.Name)
		}
		if err := sender.checkReferences(item); err != nil {
			return nil, err
		}
	}
	return resources, nil
}

func (s *Server) apply(ctx context.Context, sender identity, r *http.Request) (any, error) {
	change, err := newChange(r, sender)
	if err != nil {
		return nil, err
	}
	if change.Upserts, err = readResources(r, sender); err != nil {
		return nil, err
	}
	return s.publish(ctx, change)
}

func (s *Server) diff(_ context.Context, sender identity, r *http.Request) (any, error) {
	resources, err := readResources(r, sender)
	if err != nil {
		return nil, err
	}
	snapshot := s.options.Config.Current()
	result := DiffResult{Revision: snapshot.Revision(), Differences: []Difference{}}
	for _, item := range resources {
		before, exists := snapshot.Set.Get(item.Key())
		if exists && sameContent(before, item) {
			continue
		}
		difference := Difference{Key: item.Key(), After: &item}
		if exists {
			difference.Before = &before
		}
		result.Differences = append(result.Differences, difference)
	}
	return result, nil
}

// sameContent reports whether resources are equal apart from their revisions.
func sameContent(a, b resource.Resource) bool {
	a.Revision, b.Revision = 0, 0
	first, errA := json.Marshal(a)
	second, errB := json.Marshal(b)
	return errA == nil && errB == nil && bytes.Equal(first, second)
}

// HistoryList is the audit log, newest first.
type HistoryList struct {
	Revisions []configuration.Document `json:"revisions"`
}

func (s *Server) history(ctx context.Context, _ identity, r *http.Request) (any, error) {
	count := defaultHistory
	if text := r.URL.Query().Get("count"); text != "" {
		parsed, err := strconv.Atoi(text)
		if err != nil || parsed < 1 || parsed > maxHistory {
			return nil, apierr.New(apierr.InvalidRequest, apierr.NotRun, "count must be from 1 to %d", maxHistory).WithField("count")
		}
		count = parsed
	}
	documents, err := s.options.Config.History(ctx, count)
	return HistoryList{Revisions: documents}, err
}

// restore publishes the resources of an earlier revision as a new revision.
func (s *Server) restore(ctx context.Context, sender identity, r *http.Request) (any, error) {
	revision, err := strconv.ParseUint(r.PathValue("revision"), 10, 64)
	if err != nil {
		return nil, apierr.New(apierr.InvalidRequest, apierr.NotRun, "%q is not a revision", r.PathValue("revision"))
	}
	earlier, err := s.options.Config.Revision(ctx, revision)
	if err != nil {
		return nil, err
	}
	change, err := newChange(r, sender)
	if err != nil {
		return nil, err
	}
	wanted := make(map[resource.Key]resource.Resource)
	for _, item := range earlier.Resources {
		wanted[item.Key()] = item
	}
	for _, item := range s.options.Config.Current().Set.List() {
		if _, keep := wanted[item.Key()]; !keep {
			change.Deletes = append(change.Deletes, item.Key())
		}
	}
	for key, item := range wanted {
		if present, exists := s.options.Config.Current().Set.Get(key); !exists || !sameContent(present, item) {
			change.Upserts = append(change.Upserts, item)
		}
	}
	return s.publish(ctx, change)
}

// drainEngine publishes the engine's pool with the engine marked as draining, or no longer draining with
// undo=true.
func (s *Server) drainEngine(ctx context.Context, sender identity, r *http.Request) (any, error) {
	key := resource.Key{Kind: resource.KindPool, Name: r.PathValue("pool")}
	found, exists := s.options.Config.Current().Set.Get(key)
	if !exists || !sender.mayAccess(key) {
		return nil, notFound(key)
	}
	draining := r.URL.Query().Get("undo") != "true"
	pool := *found.Pool
	pool.Engines = append([]resource.Engine(nil), pool.Engines...)
	matched := false
	for index := range pool.Engines {
		if pool.Engines[index].Name == r.PathValue("engine") {
			pool.Engines[index].Draining = draining
			matched = true
		}
	}
	if !matched {
		return nil, apierr.New(apierr.NotFound, apierr.NotRun, "pool %s has no engine %q", key.Name, r.PathValue("engine"))
	}
	change, err := newChange(r, sender)
	if err != nil {
		return nil, err
	}
	change.Base = found.Revision
	found.Pool = &pool
	change.Upserts = []resource.Resource{found}
	return s.publish(ctx, change)
}
