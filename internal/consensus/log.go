package consensus

// log holds the entries that follow the latest snapshot.
// Invariant: applied <= committed <= lastIndex(). unstable is the first index that Ready has not
// returned for storage.
type log struct {
	snapshotIndex   uint64
	snapshotTerm    uint64
	snapshotMembers Members
	entries         []Entry
	committed       uint64
	applied         uint64
	unstable        uint64
}

func newLog(snapshot Snapshot, entries []Entry) *log {
	return &log{
		snapshotIndex:   snapshot.Index,
		snapshotTerm:    snapshot.Term,
		snapshotMembers: snapshot.Members.Clone(),
		entries:         entries,
		committed:       snapshot.Index,
		applied:         snapshot.Index,
		unstable:        snapshot.Index + uint64(len(entries)) + 1,
	}
}

func (l *log) lastIndex() uint64 { return l.snapshotIndex + uint64(len(l.entries)) }

func (l *log) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at index. It returns false if the entry is compacted or beyond
// the end of the log.
func (l *log) term(index uint64) (uint64, bool) {
	switch {
	case index == l.snapshotIndex:
		return l.snapshotTerm, true
	case index < l.snapshotIndex || index > l.lastIndex():
		return 0, false
	default:
		return l.entries[index-l.snapshotIndex-1].Term, true
	}
}

// slice returns the entries from first to last, inclusive.
func (l *log) slice(first, last uint64) []Entry {
	if first > last {
		return nil
	}
	return l.entries[first-l.snapshotIndex-1 : last-l.snapshotIndex]
}

func (l *log) append(entries ...Entry) {
	l.entries = append(l.entries, entries...)
}

// merge appends entries from the leader, and discards the entries that conflict with them.
func (l *log) merge(entries []Entry) {
	for position, incoming := range entries {
		if incoming.Index <= l.snapshotIndex {
			continue
		}
		if term, exists := l.term(incoming.Index); exists && term == incoming.Term {
			continue
		}
		l.truncate(incoming.Index)
		l.append(entries[position:]...)
		return
	}
}

// truncate discards the entries from index on. Committed entries must never be truncated.
func (l *log) truncate(index uint64) {
	if index > l.lastIndex() {
		return
	}
	// Copy, because slices returned earlier share the array.
	l.entries = append([]Entry(nil), l.slice(l.snapshotIndex+1, index-1)...)
	l.unstable = min(l.unstable, index)
}

// upToDate reports whether a log that ends with the given entry is at least as up to date as this one.
func (l *log) upToDate(index, term uint64) bool {
	return term > l.lastTerm() || term == l.lastTerm() && index >= l.lastIndex()
}

// members returns the members of the group after the latest membership change at or before index.
func (l *log) members(index uint64) Members {
	for position := min(index, l.lastIndex()); position > l.snapshotIndex; position-- {
		if found := l.entries[position-l.snapshotIndex-1].Members; found != nil {
			return *found
		}
	}
	return l.snapshotMembers
}

// membersPending reports whether the log contains an uncommitted membership change.
func (l *log) membersPending() bool {
	for _, entry := range l.slice(max(l.committed, l.snapshotIndex)+1, l.lastIndex()) {
		if entry.Kind == EntryMembers {
			return true
		}
	}
	return false
}

// compact discards the entries up to index.
func (l *log) compact(index uint64) {
	term, ok := l.term(index)
	if !ok || index <= l.snapshotIndex {
		return
	}
	members := l.members(index).Clone()
	l.entries = append([]Entry(nil), l.slice(index+1, l.lastIndex())...)
	l.snapshotIndex, l.snapshotTerm, l.snapshotMembers = index, term, members
}

// restore replaces the log with a snapshot.
func (l *log) restore(snapshot Snapshot) {
	*l = *newLog(Snapshot{Index: snapshot.Index, Term: snapshot.Term, Members: snapshot.Members}, nil)
}
