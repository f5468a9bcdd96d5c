package catalog

import (
	"slices"
	"time"
)

const (
	// maxBoardContents bounds the contents of a board, maxBoardEntries and maxBoardRuns what is held of each. The oldest are dropped.
	maxBoardContents = 2048
	maxBoardEntries  = 32
	maxBoardRuns     = 32
	// maxAllEntries bounds the entries of all contents in one response.
	maxAllEntries = 1024
	// openRunTTL is how long a run that was begun and not finished is counted: the node that began it may have ended.
	openRunTTL = time.Second
	// lastingRunsTTL is how long a report of runs in progress is used.
	lastingRunsTTL = 300 * time.Millisecond
)

// board holds what nodes tell each other of contents under which engines have ended: entries of FatalRequestKind, and the runs in
// progress. A node that wants to run such a content tells so and learns what all others told before. It is a state machine without
// clock or I/O, and not safe for concurrent use.
type board struct{ contents map[string]*boardContent }

// boardContent is what a board holds of one content.
type boardContent struct {
	// entries has the oldest first.
	entries []Entry
	open    []openRun
	// lasting are the runs in progress at each node.
	lasting map[string]reportedRuns
	seenAt  time.Time
}

// LastingRuns are runs of a content that are in progress and did not wait for others.
type LastingRuns struct {
	Count int `json:"n,omitempty"`
	// TotalMillis and LongestMillis are for how long they have been in progress.
	TotalMillis   int64 `json:"t,omitempty"`
	LongestMillis int64 `json:"l,omitempty"`
}

// add returns the runs together with others.
func (l LastingRuns) add(other LastingRuns) LastingRuns {
	return LastingRuns{Count: l.Count + other.Count, TotalMillis: l.TotalMillis + other.TotalMillis, LongestMillis: max(l.LongestMillis, other.LongestMillis)}
}

// reportedRuns are the runs that a node reported at a time.
type reportedRuns struct {
	LastingRuns
	at time.Time
}

// openRun is a run that a node began. Its name is unique.
type openRun struct {
	name    string
	begunAt time.Time
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

// begin records a run in progress.
func (b *board) begin(now time.Time, key, run string) {
	b.finish(key, run)
	known := b.content(now, key)
	known.open = append(known.open, openRun{name: run, begunAt: now})
	if len(known.open) > maxBoardRuns {
		known.open = slices.Delete(known.open, 0, 1)
	}
}

// finish records that a run is not in progress any more.
func (b *board) finish(key, run string) {
	if known := b.contents[key]; known != nil {
		known.open = slices.DeleteFunc(known.open, func(open openRun) bool { return open.name == run })
	}
}

// openRuns returns the names of the runs in progress.
func (b *board) openRuns(now time.Time, key string) (names []string) {
	known := b.contents[key]
	if known == nil {
		return nil
	}
	known.open = slices.DeleteFunc(known.open, func(open openRun) bool { return now.Sub(open.begunAt) > openRunTTL })
	for _, open := range known.open {
		names = append(names, open.name)
	}
	return names
}

// noteLasting records the runs in progress at a node.
func (b *board) noteLasting(now time.Time, key, node string, runs LastingRuns) {
	known := b.content(now, key)
	if known.lasting == nil {
		known.lasting = make(map[string]reportedRuns)
	}
	known.lasting[node] = reportedRuns{LastingRuns: runs, at: now}
}

// lastingElsewhere returns the runs in progress at other nodes than one.
func (b *board) lastingElsewhere(now time.Time, key, node string) LastingRuns {
	var sum LastingRuns
	known := b.contents[key]
	if known == nil {
		return sum
	}
	for other, reported := range known.lasting {
		switch {
		case now.Sub(reported.at) > lastingRunsTTL:
			delete(known.lasting, other)
		case other != node:
			sum = sum.add(reported.LastingRuns)
		}
	}
	return sum
}
