// Package catalog replicates shared data from the store to all nodes: the configuration, the engines, the
// replica sets and the replicas to be retired. Each entry has a key and a revision and is only replaced by
// an entry of a higher revision, so updates may arrive in any order, from any node and more than once. A
// removed entry is kept as a tombstone for a while, so that an old version can't reappear.
//
// State merges entries and does no I/O. Manager updates a State from a Source (the store) or from peers, serves
// it to other nodes, and reports changes to a callback.
//
// Usage:
//
//	manager := catalog.NewManager(catalog.Options{Source: store, OnChange: apply, ...}, network, logger)
//	go manager.Run(ctx) // calls apply with each changed entry
//	entry, found := manager.Get(key)
package catalog

import (
	"encoding/json"
	"sort"
	"strings"
	"time"
)

// The kinds of entries. A key consists of a kind, a slash and a name.
const (
	ConfigurationKind = "configuration"
	EngineKind        = "engine"
	ReplicaSetKind    = "replicas"
	CandidateKind     = "candidate"
	RetirementKind    = "retirement"
)

// tombstoneTTL is how long the removal of an entry is remembered.
const tombstoneTTL = 10 * time.Minute

// Key returns the key of the entry with a kind and a name.
func Key(kind, name string) string { return kind + "/" + name }

// SplitKey splits a key into its kind and its name.
func SplitKey(key string) (kind, name string) {
	kind, name, _ = strings.Cut(key, "/")
	return kind, name
}

// Entry is one version of one item.
type Entry struct {
	Key string `json:"k"`
	// Revision orders the versions of an entry. It is assigned by the store.
	Revision int64 `json:"r"`
	// Format orders the values that builds translate one version of an item into: a later build may keep more of it. Builds
	// that don't know the field send 0.
	Format int `json:"t,omitempty"`
	// Value is empty if the entry is a tombstone.
	Value json.RawMessage `json:"v,omitempty"`
	// DelayMillis is the time between when a node read a configuration in the store and when the entry was sent, as far as it is known; 0 for
	// other kinds. Builds that don't know the field leave it out.
	DelayMillis int64 `json:"d,omitempty"`
}

// newerThan reports whether the entry replaces another one of the same key. A node that got the value of an earlier build takes
// that of a later one, though the item is the same.
func (e Entry) newerThan(other Entry) bool {
	if e.Revision != other.Revision {
		return e.Revision > other.Revision
	}
	return e.Format > other.Format && !e.Removed() && !other.Removed()
}

// Removed reports whether the entry is a tombstone.
func (e Entry) Removed() bool { return len(e.Value) == 0 }

// Unchanged returns a placeholder for an item in a listing that exists but has an unusable value: the last usable version
// of its entry is kept.
func Unchanged(key string) Entry { return Entry{Key: key} }

// isPlaceholder reports whether the entry was made by Unchanged. Entries from the store have a revision above 0.
func (e Entry) isPlaceholder() bool { return e.Revision == 0 && e.Removed() }

// record is the newest version of an entry, or its tombstone.
type record struct {
	entry     Entry
	sequence  uint64
	mergedAt  time.Time
	removedAt time.Time
	// publishedAt is when an entry that a node published was merged; zero for entries from the store.
	publishedAt time.Time
}

// State holds the newest version of each entry. It is not safe for concurrent use.
type State struct {
	entries  map[string]*record
	sequence uint64
	// changes is the change log, oldest first. Superseded changes are removed lazily.
	changes []change
	// published is the number of entries that nodes published.
	published int
}

// change records that an entry changed at a sequence number.
type change struct {
	sequence uint64
	key      string
}

// maxStaleChanges is how many changes the change log may hold in addition to twice the number of entries.
const maxStaleChanges = 256

// NewState returns an empty State.
func NewState() *State { return &State{entries: make(map[string]*record)} }

// Merge stores an entry if it is newer than the stored one, and reports whether it did.
func (s *State) Merge(now time.Time, entry Entry) bool {
	stored := s.entries[entry.Key]
	if stored != nil && !entry.newerThan(stored.entry) {
		return false
	}
	if stored == nil {
		stored = &record{}
		if entry.isPublished() {
			if s.published >= maxPublished {
				return false
			}
			s.published++
			stored.publishedAt = now
		}
		s.entries[entry.Key] = stored
	}
	s.sequence++
	stored.entry = entry
	stored.sequence = s.sequence
	stored.mergedAt = now
	s.changes = append(s.changes, change{sequence: s.sequence, key: entry.Key})
	if len(s.changes) > 2*len(s.entries)+maxStaleChanges {
		s.compactChanges()
	}
	stored.removedAt = time.Time{}
	if entry.Removed() {
		stored.removedAt = now
	}
	return true
}

// RemoveMissing removes the entries of a kind that are not in listed, a complete listing at a revision, unless they
// are newer. It returns their tombstones.
func (s *State) RemoveMissing(now time.Time, kind string, listed map[string]bool, revision int64) []Entry {
	var removed []Entry
	for key, stored := range s.entries {
		if entryKind, _ := SplitKey(key); entryKind != kind || listed[key] || stored.entry.Removed() {
			continue
		}
		entry := Entry{Key: key, Revision: revision}
		if s.Merge(now, entry) {
			removed = append(removed, entry)
		}
	}
	return removed
}

// Expire drops tombstones and published entries that are older than their TTL.
func (s *State) Expire(now time.Time) {
	for key, stored := range s.entries {
		published := !stored.publishedAt.IsZero()
		switch {
		case published && (now.Sub(stored.publishedAt) > publishedTTL || (stored.entry.Removed() && now.Sub(stored.removedAt) > withdrawnTTL)):
			s.published--
			delete(s.entries, key)
		case !published && !stored.removedAt.IsZero() && now.Sub(stored.removedAt) > tombstoneTTL:
			delete(s.entries, key)
		}
	}
}

// Sequence returns the sequence number of the last change. Sequence numbers are local to a State.
func (s *State) Sequence() uint64 { return s.sequence }

// Since returns up to limit entries that changed after a sequence number, oldest change first, and the sequence
// number from which to continue.
func (s *State) Since(sequence uint64, limit int) ([]Entry, uint64) {
	first := sort.Search(len(s.changes), func(index int) bool { return s.changes[index].sequence > sequence })
	var changed []Entry
	for _, candidate := range s.changes[first:] {
		stored := s.entries[candidate.key]
		if stored == nil || stored.sequence != candidate.sequence {
			continue
		}
		if len(changed) == limit {
			return changed, sequence
		}
		changed = append(changed, stored.entry)
		sequence = candidate.sequence
	}
	return changed, s.sequence
}

// compactChanges drops superseded changes.
func (s *State) compactChanges() {
	kept := s.changes[:0]
	for _, candidate := range s.changes {
		if stored := s.entries[candidate.key]; stored != nil && stored.sequence == candidate.sequence {
			kept = append(kept, candidate)
		}
	}
	s.changes = kept
}

// Get returns the entry with a key unless it was removed.
func (s *State) Get(key string) (Entry, bool) {
	stored := s.entries[key]
	if stored == nil || stored.entry.Removed() {
		return Entry{}, false
	}
	return stored.entry, true
}

// Latest returns the newest version of an entry, which may be a tombstone.
func (s *State) Latest(key string) (Entry, bool) {
	stored := s.entries[key]
	if stored == nil {
		return Entry{}, false
	}
	return stored.entry, true
}

// Delayed returns the entry as it is sent at a time: with the delay of a configuration.
func (s *State) Delayed(now time.Time, entry Entry) Entry {
	stored := s.entries[entry.Key]
	if kind, _ := SplitKey(entry.Key); kind == ConfigurationKind && stored != nil {
		entry.DelayMillis = stored.entry.DelayMillis + now.Sub(stored.mergedAt).Milliseconds()
	}
	return entry
}

// Revision returns the revision of the newest version of an entry, including tombstones, or 0 if there is none.
func (s *State) Revision(key string) int64 {
	latest, _ := s.Latest(key)
	return latest.Revision
}
