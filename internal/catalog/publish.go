package catalog

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/transport"
)

// The kinds of entries that nodes publish. Unlike those of other kinds they don't come from the store, and each node drops them after
// publishedTTL. Nodes of earlier builds keep them and pass them on.
const (
	// FatalRequestKind is the kind of entries that tell of engines that ended under a request. They never change, but may be
	// withdrawn.
	FatalRequestKind = "fatal"
	// EngineEndKind is the kind of entries that tell of the last end of an engine. Each further end has the next revision.
	EngineEndKind = "ended"
)

const (
	publishKind = "catalog.publish"
	// publishTimeout bounds the transfer of published entries to a peer.
	publishTimeout = 500 * time.Millisecond
	// publishedTTL is how long a node keeps a published entry.
	publishedTTL = 10 * time.Minute
	// withdrawnTTL is how long it remembers that one was withdrawn.
	withdrawnTTL = 30 * time.Second
	// maxPublished bounds the published entries of a catalog, maxPublishedBytes the value of each.
	maxPublished      = 4096
	maxPublishedBytes = 512
)

// publishedRevision is the revision of an entry of FatalRequestKind, withdrawnRevision that of its removal.
const (
	publishedRevision = 1
	withdrawnRevision = 2
)

// ErrNotPublishable means that an entry may not be published.
type ErrNotPublishable struct{ Key string }

// Error implements error.
func (e *ErrNotPublishable) Error() string {
	return "catalog entry can't be published by a node: " + strconv.Quote(e.Key)
}

// publishRequest tells a node of entries. Builds that don't know the other fields ignore them and keep all entries in their catalog.
type publishRequest struct {
	Entries []Entry `json:"e,omitempty"`
	// Content, if set, asks for what is known of a content. Begun and Finished are runs of it that the sender begins and has finished.
	Content  string `json:"c,omitempty"`
	Begun    string `json:"b,omitempty"`
	Finished string `json:"d,omitempty"`
	// Done are further runs that the sender has finished, also of other contents.
	Done []finishedRun `json:"f,omitempty"`
	// BegunBefore are runs that the sender has begun before, also of other contents.
	BegunBefore []begunRun `json:"g,omitempty"`
	// All asks for the entries of all contents instead of one.
	All bool `json:"a,omitempty"`
	// OpenRuns asks for the runs of all contents that are in progress.
	OpenRuns bool `json:"r,omitempty"`
	// Forward asks a gateway to pass entries on to its neighbours if they are new to it.
	Forward bool `json:"w,omitempty"`
}

// publishResponse has what the node knew of a content before the request.
type publishResponse struct {
	Entries []Entry `json:"e,omitempty"`
	// Open are the names of runs that have begun and not finished, Closed those of runs that have finished lately.
	Open   []string `json:"o,omitempty"`
	Closed []string `json:"z,omitempty"`
	// Completed is set if a run was completed lately.
	Completed bool `json:"s,omitempty"`
	// Settled is set if the node has run for runTTL, or since before the first run, or has learned the runs again from others: it knows all runs that
	// it was told of and that may be in progress. Builds that don't remember runs for that long leave it out.
	Settled bool `json:"t,omitempty"`
	// OpenRuns are the runs of all contents that are in progress; HasOpenRuns is set if they are complete.
	OpenRuns    []begunRun `json:"r,omitempty"`
	HasOpenRuns bool       `json:"l,omitempty"`
}

// FatalRequest returns an entry of FatalRequestKind.
func FatalRequest(name string, value []byte) Entry {
	return Entry{Key: Key(FatalRequestKind, name), Revision: publishedRevision, Value: value}
}

// EngineEnd returns an entry of EngineEndKind that replaces the one that is known. Nodes that publish the same end at once publish the
// same entry. startedMillis tells which life has ended; builds that don't know it read the key only.
func (m *Manager) EngineEnd(engine string, startedMillis int64) Entry {
	key := Key(EngineEndKind, engine)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return Entry{Key: key, Revision: m.state.Revision(key) + 1, Value: json.RawMessage(strconv.FormatInt(startedMillis, 10))}
}

// EndedLife returns which life an entry of EngineEndKind tells of: the start of the engine, or 0 if a build has published it that does not
// tell.
func EndedLife(entry Entry) (startedMillis int64) {
	if json.Unmarshal(entry.Value, &startedMillis) != nil {
		return 0
	}
	return startedMillis
}

// Withdrawn returns the tombstone of an entry of FatalRequestKind.
func Withdrawn(name string) Entry {
	return Entry{Key: Key(FatalRequestKind, name), Revision: withdrawnRevision}
}

// Publish adds entries to this catalog and tells some peers, the neighbours, and the nodes that are known to have begun runs of the same contents. All other
// nodes get those of EngineEndKind from the peers. It returns once the peers have answered or publishTimeout has passed. The error is that of the last peer
// that failed, if all did.
func (m *Manager) Publish(ctx context.Context, peers []transport.Peer, entries []Entry) error {
	_, news := m.recordPublished(publishRequest{Entries: entries}, true)
	m.take(news)
	for _, entry := range news {
		m.tellOwners(contentOf(entry.Key), nil)
	}
	neighbours := m.neighboursOfAll(entries)
	m.options.Metrics.countMessages(purposeReport, toNeighbour, len(neighbours))
	m.options.Metrics.countMessages(purposeReport, toReplica, len(peers))
	go m.ask(ctx, neighbours, publishRequest{Entries: entries}, len(neighbours), publishTimeout)
	all := atLeast(len(peers))
	sent := m.send(ctx, peers, publishRequest{Entries: entries})
	taken := len(sent.await(ctx, publishTimeout/2, all))
	if taken == 0 {
		sent.useRelays()
		taken = len(sent.await(ctx, publishTimeout, all))
	}
	switch {
	case taken > 0:
		return nil
	case sent.lastErr == nil:
		return ctx.Err()
	}
	return sent.lastErr
}

// neighboursOfAll returns the gateways that are told of entries, a bounded number.
func (m *Manager) neighboursOfAll(entries []Entry) (told []transport.Peer) {
	for _, entry := range entries {
		for _, peer := range m.neighboursOf(contentOf(entry.Key), runNeighbours) {
			if len(told) < maxNeighbours && !slices.Contains(told, peer) {
				told = append(told, peer)
			}
		}
	}
	return told
}

// servePublish adds entries that another node publishes, and returns what is known of the content that it asks for.
func (m *Manager) servePublish(_ context.Context, from transport.Peer, request publishRequest) (publishResponse, error) {
	for _, entry := range request.Entries {
		if !entry.publishable() {
			m.logger.Emit(events.PublishRejected, events.F("from", from.NodeID), events.F("key", entry.Key))
			return publishResponse{}, errors.WithStack(&ErrNotPublishable{Key: entry.Key})
		}
	}
	if max(len(request.Content), len(request.Begun), len(request.Finished)) > maxPublishedBytes || !validFinishes(request.Done) || !validBegun(request.BegunBefore, maxQueuedRuns) {
		return publishResponse{}, errors.WithStack(&ErrNotPublishable{Key: request.Content[:min(len(request.Content), maxPublishedBytes)]})
	}
	response, news := m.recordPublished(request, false)
	m.take(news)
	if request.Forward && len(news) > 0 {
		go m.forward(from, news)
	}
	return response, nil
}

// validFinishes reports whether a node may tell of these finished runs.
func validFinishes(runs []finishedRun) bool {
	return len(runs) <= maxToldFinishes && !slices.ContainsFunc(runs, func(run finishedRun) bool {
		return max(len(run.Content), len(run.Name)) > maxPublishedBytes
	})
}

// validBegun reports whether a node may tell of these runs, of which one message has a limited number.
func validBegun(runs []begunRun, limit int) bool {
	return len(runs) <= limit && !slices.ContainsFunc(runs, func(run begunRun) bool {
		return max(len(run.Content), len(run.Name)) > maxPublishedBytes
	})
}

// recordPublished records entries and runs of a node, and returns the entries that are new here. own is set if this node publishes them.
func (m *Manager) recordPublished(request publishRequest, own bool) (publishResponse, []Entry) {
	now := time.Now()
	response := publishResponse{Settled: m.settled(now)}
	for _, run := range request.BegunBefore {
		m.ledger.begin(now, run)
	}
	for _, run := range request.Done {
		m.ledger.finish(now, run)
	}
	if request.Content != "" {
		response.Open, response.Closed, response.Completed = m.ledger.exchange(now, request.Content, request.Finished, request.Begun)
	}
	if request.OpenRuns {
		response.OpenRuns, response.HasOpenRuns = m.ledger.allOpen(now)
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if request.Content != "" {
		response.Entries, _ = m.board.entries(request.Content)
	}
	if request.All {
		response.Entries = m.board.allEntries()
	}
	var news []Entry
	for _, entry := range request.Entries {
		if kind, _ := SplitKey(entry.Key); kind == FatalRequestKind && !m.board.record(now, contentOf(entry.Key), entry, own) {
			continue
		}
		news = append(news, entry)
	}
	return response, news
}

// contentOf returns the content of an entry of FatalRequestKind: its name up to the last slash.
func contentOf(key string) string {
	_, name := SplitKey(key)
	if index := strings.LastIndexByte(name, '/'); index >= 0 {
		return name[:index]
	}
	return name
}

// publishable reports whether a node may publish the entry.
func (e Entry) publishable() bool {
	kind, name := SplitKey(e.Key)
	if name == "" || len(e.Key) > maxPublishedBytes || len(e.Value) > maxPublishedBytes {
		return false
	}
	switch kind {
	case FatalRequestKind:
		return e.Revision == publishedRevision || (e.Revision == withdrawnRevision && e.Removed())
	case EngineEndKind:
		return e.Revision > 0 && !e.Removed()
	}
	return false
}

// isPublished reports whether the entry came from a node rather than from the store.
func (e Entry) isPublished() bool {
	kind, _ := SplitKey(e.Key)
	return kind == FatalRequestKind || kind == EngineEndKind
}
