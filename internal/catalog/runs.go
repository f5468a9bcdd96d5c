package catalog

import (
	"slices"
	"sync"
	"time"
)

const (
	// runTTL is how long a run is remembered after it was begun, or finished. A node that ends does not finish its runs: their engines may
	// have ended, too.
	runTTL = 30 * time.Second
	// maxLedgerContents bounds the contents in a generation of a ledger, maxLedgerRuns the runs of each content. The oldest are dropped.
	maxLedgerContents = 8192
	maxLedgerRuns     = 32
	// maxListedRuns bounds the runs in one message.
	maxListedRuns = 16384
)

// ledger holds the runs that nodes have begun, by content. Each node announces a run before it begins, and learns of those that others have
// begun. There are two generations: the older one is dropped when the younger one is full, or as old as runTTL. All methods may be called
// concurrently.
type ledger struct {
	mutex      sync.Mutex
	young, old map[string]*ledgerContent
	// youngSince is when the younger generation began.
	youngSince time.Time
}

// ledgerContent holds the runs of one content, oldest first.
type ledgerContent struct {
	runs []ledgerRun
	// completedAt is when a run was completed last; zero if none was.
	completedAt time.Time
}

// ledgerRun is a run that a node has begun. Its name is unique.
type ledgerRun struct {
	name string
	// at is when the run was begun, or finished.
	at       time.Time
	finished bool
}

// begunRun is a run that a node has begun.
type begunRun struct {
	Content string `json:"c"`
	Name    string `json:"n"`
}

// finishedRun is a run that is not in progress any more.
type finishedRun struct {
	Content string `json:"c"`
	Name    string `json:"n"`
	// Completed is set if the engine has completed it.
	Completed bool `json:"s,omitempty"`
}

func newLedger() *ledger {
	return &ledger{young: make(map[string]*ledgerContent), old: make(map[string]*ledgerContent)}
}

// exchange records that a run of a content has finished, and that one is begun, each unless its name is empty. It returns the names of the runs that were
// in progress before and of those that have finished lately, and whether one was completed lately.
func (l *ledger) exchange(now time.Time, key, finished, begun string) (open, closed []string, completed bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	open, closed, completed = l.runsOf(now, key)
	if finished != "" {
		l.content(now, key).finish(now, finished)
	}
	if begun != "" {
		l.content(now, key).begin(now, begun)
	}
	return open, closed, completed
}

// runs returns the names of the runs in progress and of those that have finished lately, and whether one was completed lately.
func (l *ledger) runs(now time.Time, key string) (open, closed []string, completed bool) {
	return l.exchange(now, key, "", "")
}

// begin records that a run has begun.
func (l *ledger) begin(now time.Time, begun begunRun) {
	if begun.Name == "" {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.content(now, begun.Content).begin(now, begun.Name)
}

// allOpen returns the runs of all contents that are in progress. complete is false if there are too many.
func (l *ledger) allOpen(now time.Time) (open []begunRun, complete bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, generation := range []map[string]*ledgerContent{l.young, l.old} {
		for key, content := range generation {
			for _, run := range content.runs {
				if !run.finished && now.Sub(run.at) <= runTTL {
					open = append(open, begunRun{Content: key, Name: run.name})
				}
			}
		}
	}
	return open[:min(len(open), maxListedRuns)], len(open) <= maxListedRuns
}

// finish records that a run is not in progress any more.
func (l *ledger) finish(now time.Time, finished finishedRun) {
	if finished.Name == "" {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known := l.content(now, finished.Content)
	known.finish(now, finished.Name)
	if finished.Completed {
		known.completedAt = now
	}
}

// runsOf is runs for a caller that holds the mutex.
func (l *ledger) runsOf(now time.Time, key string) (open, closed []string, completed bool) {
	known := l.young[key]
	if known == nil {
		known = l.old[key]
	}
	if known == nil {
		return nil, nil, false
	}
	known.runs = slices.DeleteFunc(known.runs, func(run ledgerRun) bool { return now.Sub(run.at) > runTTL })
	for _, run := range known.runs {
		if run.finished {
			closed = append(closed, run.name)
		} else {
			open = append(open, run.name)
		}
	}
	return open, closed, now.Sub(known.completedAt) <= runTTL
}

// content returns what is held of a content in the younger generation, which it creates there if necessary. The caller holds the mutex.
func (l *ledger) content(now time.Time, key string) *ledgerContent {
	if len(l.young) >= maxLedgerContents || now.Sub(l.youngSince) >= runTTL {
		l.young, l.old = make(map[string]*ledgerContent), l.young
		l.youngSince = now
	}
	known := l.young[key]
	if known == nil {
		known = l.old[key]
		if known == nil {
			known = &ledgerContent{}
		}
		delete(l.old, key)
		l.young[key] = known
	}
	return known
}

// begin adds a run in progress, unless it is known, perhaps to be finished: messages may arrive out of order.
func (c *ledgerContent) begin(now time.Time, name string) {
	if c.run(name) < 0 {
		c.add(ledgerRun{name: name, at: now})
	}
}

// finish adds a finished run in place of one in progress.
func (c *ledgerContent) finish(now time.Time, name string) {
	if index := c.run(name); index >= 0 {
		c.runs = slices.Delete(c.runs, index, index+1)
	}
	c.add(ledgerRun{name: name, at: now, finished: true})
}

// run returns the index of the run with a name; -1 if there is none.
func (c *ledgerContent) run(name string) int {
	return slices.IndexFunc(c.runs, func(known ledgerRun) bool { return known.name == name })
}

// add adds a run. If there are too many, the oldest finished one is dropped, or else the oldest one.
func (c *ledgerContent) add(added ledgerRun) {
	c.runs = append(c.runs, added)
	if len(c.runs) <= maxLedgerRuns {
		return
	}
	oldest := max(slices.IndexFunc(c.runs, func(known ledgerRun) bool { return known.finished }), 0)
	c.runs = slices.Delete(c.runs, oldest, oldest+1)
}
