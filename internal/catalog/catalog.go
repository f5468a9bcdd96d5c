// Package catalog holds what all nodes must know: the configuration, the engines, the replica set,
// and machines to be emptied, as entries with a key and a revision. An entry is only ever replaced
// by one of a higher revision, so that it doesn't matter in which order, from whom, or how often it
// is heard. Removals stay as entries without a value for a while, so that an old entry does not
// come back.
//
// State is the pure part. Manager feeds it from a Source (the store) or from peers, and tells
// subscribers of changes.
//
// Usage:
//
//	manager := catalog.NewManager(catalog.Options{Source: store, OnChange: apply, ...}, network, logger)
//	go manager.Run(ctx)   // apply hears each changed entry
//	entry, found := manager.Get(key)
package catalog

import (
	"encoding/json"
	"sort"
	"strings"
	"time"
)

// The kinds of entries; a key is a kind, a slash, and a name.
const (
	ConfigurationKind = "configuration"
	EngineKind        = "engine"
	ReplicaSetKind    = "replicas"
	CandidateKind     = "candidate"
	RetirementKind    = "retirement"
)

// removedFor is how long the removal of an entry is remembered.
const removedFor = 10 * time.Minute

// Key returns the key of an entry.
func Key(kind, name string) string { return kind + "/" + name }

// SplitKey returns the kind and the name in a key.
func SplitKey(key string) (kind, name string) {
	kind, name, _ = strings.Cut(key, "/")
	return kind, name
}

// Entry is one version of one item.
type Entry struct {
	Key string `json:"k"`
	// Revision orders the versions of an entry; it is the store's.
	Revision int64 `json:"r"`
	// Value is JSON; it is empty once the entry was removed.
	Value json.RawMessage `json:"v,omitempty"`
}

// Removed tells whether the entry says that the item is gone.
func (e Entry) Removed() bool { return len(e.Value) == 0 }

// Unchanged stands in a listing for an item that is there and can't be used: it is not gone, and what is known of it stays.
func Unchanged(key string) Entry { return Entry{Key: key} }

// unchanged tells whether the entry only says that its item is there; no item has the revision 0.
func (e Entry) unchanged() bool { return e.Revision == 0 && e.Removed() }

type versioned struct {
	entry     Entry
	sequence  uint64
	removedAt time.Time
}

// State merges entries. It is not safe for concurrent use.
type State struct {
	entries  map[string]*versioned
	sequence uint64
	// order are all changes, oldest first; those that a later one of their entry has overtaken are left in it
	// for a while.
	order []change
}

// change says that an entry changed at a sequence.
type change struct {
	sequence uint64
	key      string
}

// orderSlack is how many overtaken changes may stay in the order, besides as many as there are entries.
const orderSlack = 256

// NewState returns an empty State.
func NewState() *State { return &State{entries: make(map[string]*versioned)} }

// Merge takes an entry and reports whether it was news.
func (s *State) Merge(now time.Time, entry Entry) bool {
	known := s.entries[entry.Key]
	if known != nil && known.entry.Revision >= entry.Revision {
		return false
	}
	if known == nil {
		known = &versioned{}
		s.entries[entry.Key] = known
	}
	s.sequence++
	known.entry = entry
	known.sequence = s.sequence
	s.order = append(s.order, change{sequence: s.sequence, key: entry.Key})
	if len(s.order) > 2*len(s.entries)+orderSlack {
		s.trimOrder()
	}
	known.removedAt = time.Time{}
	if entry.Removed() {
		known.removedAt = now
	}
	return true
}

// RemoveMissing removes the entries of kind that a whole listing at revision did not show.
func (s *State) RemoveMissing(now time.Time, kind string, listed map[string]bool, revision int64) []Entry {
	var removed []Entry
	for key, known := range s.entries {
		if entryKind, _ := SplitKey(key); entryKind != kind || listed[key] || known.entry.Removed() {
			continue
		}
		entry := Entry{Key: key, Revision: revision}
		if s.Merge(now, entry) {
			removed = append(removed, entry)
		}
	}
	return removed
}

// Forget drops removals that are old.
func (s *State) Forget(now time.Time) {
	for key, known := range s.entries {
		if !known.removedAt.IsZero() && now.Sub(known.removedAt) > removedFor {
			delete(s.entries, key)
		}
	}
}

// Sequence rises with each change of this State; it means nothing to other nodes' States.
func (s *State) Sequence() uint64 { return s.sequence }

// Since returns up to limit entries that changed after a sequence, oldest change first, and the sequence that
// they reach.
func (s *State) Since(sequence uint64, limit int) ([]Entry, uint64) {
	first := sort.Search(len(s.order), func(index int) bool { return s.order[index].sequence > sequence })
	var changed []Entry
	for _, candidate := range s.order[first:] {
		known := s.entries[candidate.key]
		if known == nil || known.sequence != candidate.sequence {
			continue
		}
		if len(changed) == limit {
			return changed, sequence
		}
		changed = append(changed, known.entry)
		sequence = candidate.sequence
	}
	return changed, s.sequence
}

// trimOrder drops changes that were overtaken.
func (s *State) trimOrder() {
	kept := s.order[:0]
	for _, candidate := range s.order {
		if known := s.entries[candidate.key]; known != nil && known.sequence == candidate.sequence {
			kept = append(kept, candidate)
		}
	}
	s.order = kept
}

// Get returns an entry that is not removed.
func (s *State) Get(key string) (Entry, bool) {
	known := s.entries[key]
	if known == nil || known.entry.Removed() {
		return Entry{}, false
	}
	return known.entry, true
}

// Newest returns the newest version of an entry, which may say that it was removed.
func (s *State) Newest(key string) (Entry, bool) {
	known := s.entries[key]
	if known == nil {
		return Entry{}, false
	}
	return known.entry, true
}

// Revision is that of the newest version of an entry, 0 if there is none.
func (s *State) Revision(key string) int64 {
	newest, _ := s.Newest(key)
	return newest.Revision
}
