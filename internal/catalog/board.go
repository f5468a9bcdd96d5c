package catalog

import (
	"slices"
	"time"
)

const (
	// maxBoardContents bounds the contents of a board, maxBoardEntries the entries of each. The oldest are dropped.
	maxBoardContents = 2048
	maxBoardEntries  = 32
	// maxAllEntries bounds the entries of all contents in one response.
	maxAllEntries = 1024
)

// board holds what nodes tell each other of contents under which engines have ended: entries of FatalRequestKind. It is a state machine
// without clock or I/O, and not safe for concurrent use.
type board struct{ contents map[string]*boardContent }

// boardContent is what a board holds of one content.
type boardContent struct {
	// entries has the oldest first.
	entries []Entry
	seenAt  time.Time
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

// record stores an entry if it is newer than the stored one, and reports whether it did.
func (b *board) record(now time.Time, key string, entry Entry) bool {
	known := b.content(now, key)
	index := slices.IndexFunc(known.entries, func(stored Entry) bool { return stored.Key == entry.Key })
	if index >= 0 {
		if !entry.newerThan(known.entries[index]) {
			return false
		}
		known.entries[index] = entry
		return true
	}
	known.entries = append(known.entries, entry)
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
	for _, entry := range known.entries {
		if !entry.Removed() {
			valid++
		}
	}
	return slices.Clone(known.entries), valid
}

// allEntries returns the entries of all contents that are not withdrawn, a bounded number of them.
func (b *board) allEntries() (all []Entry) {
	for _, known := range b.contents {
		for _, entry := range known.entries {
			if !entry.Removed() && len(all) < maxAllEntries {
				all = append(all, entry)
			}
		}
	}
	return all
}
