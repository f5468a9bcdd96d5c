package catalog

import (
	"slices"
	"time"
)

const (
	// maxBoardContents bounds the contents of a board, maxBoardEntries the entries of each. The oldest are dropped.
	maxBoardContents = 2048
	maxBoardEntries  = 32
	// maxOwners bounds the nodes that are told of the entries of a content.
	maxOwners = 16
	// maxAllEntries bounds the entries of all contents in one response.
	maxAllEntries = 1024
)

// board holds what nodes tell each other of contents under which engines have ended: entries of FatalRequestKind. It is a state machine
// without clock or I/O, and not safe for concurrent use.
type board struct{ contents map[string]*boardContent }

// boardContent is what a board holds of one content.
type boardContent struct {
	// entries has the oldest first.
	entries []boardEntry
	// owners are the addresses of the nodes that have begun runs of the content lately, as far as this node has heard of them.
	owners []string
	seenAt time.Time
}

// boardEntry is an entry of one content.
type boardEntry struct {
	Entry
	// own is set if this node has published the entry, told are the owners of runs that it has told of it.
	own  bool
	told []string
}

func newBoard() *board { return &board{contents: make(map[string]*boardContent)} }

// content returns the state of a content, which it creates if necessary.
func (b *board) content(now time.Time, key string) *boardContent {
	known := b.contents[key]
	if known == nil {
		b.makeRoom(now)
		known = &boardContent{}
		b.contents[key] = known
	}
	known.seenAt = now
	return known
}

// makeRoom drops contents that are too old, and the oldest if there are too many.
func (b *board) makeRoom(now time.Time) {
	oldest := ""
	for key, known := range b.contents {
		switch {
		case now.Sub(known.seenAt) > publishedTTL:
			delete(b.contents, key)
		case oldest == "" || known.seenAt.Before(b.contents[oldest].seenAt):
			oldest = key
		}
	}
	if len(b.contents) >= maxBoardContents {
		delete(b.contents, oldest)
	}
}

// record stores an entry if it is newer than the stored one, and reports whether it did. own is set if this node publishes it.
func (b *board) record(now time.Time, key string, entry Entry, own bool) bool {
	known := b.content(now, key)
	added := boardEntry{Entry: entry, own: own}
	index := slices.IndexFunc(known.entries, func(stored boardEntry) bool { return stored.Key == entry.Key })
	if index >= 0 {
		if !entry.newerThan(known.entries[index].Entry) {
			return false
		}
		known.entries[index] = added
		return true
	}
	known.entries = append(known.entries, added)
	if len(known.entries) > maxBoardEntries {
		known.entries = slices.Delete(known.entries, 0, 1)
	}
	return true
}

// entries returns the entries of a content, withdrawn ones included, and how many are not withdrawn.
func (b *board) entries(key string) (entries []Entry, valid int) {
	known := b.contents[key]
	if known == nil {
		return nil, 0
	}
	for _, stored := range known.entries {
		entries = append(entries, stored.Entry)
		if !stored.Removed() {
			valid++
		}
	}
	return entries, valid
}

// untold returns the entries of a content that this node has published and not told the owners of its runs yet, by owner. Further owners, if there are
// any, are remembered.
func (b *board) untold(key string, owners []string) map[string][]Entry {
	known := b.contents[key]
	if known == nil {
		return nil
	}
	for _, owner := range owners {
		if len(known.owners) < maxOwners && !slices.Contains(known.owners, owner) {
			known.owners = append(known.owners, owner)
		}
	}
	untold := make(map[string][]Entry)
	for index := range known.entries {
		stored := &known.entries[index]
		if !stored.own {
			continue
		}
		for _, owner := range known.owners {
			if !slices.Contains(stored.told, owner) {
				stored.told = append(stored.told, owner)
				untold[owner] = append(untold[owner], stored.Entry)
			}
		}
	}
	return untold
}

// allEntries returns the entries of all contents that are not withdrawn, a bounded number of them.
func (b *board) allEntries() (all []Entry) {
	for _, known := range b.contents {
		for _, stored := range known.entries {
			if !stored.Removed() && len(all) < maxAllEntries {
				all = append(all, stored.Entry)
			}
		}
	}
	return all
}
