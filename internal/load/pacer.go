package load

import (
	"sync"
	"time"
)

const (
	// shortestPause is the least time between two reports: within it, an engine gets a few calls at most.
	shortestPause = 60 * time.Millisecond
	// bytesPerSecond is what reports and answers may take: two thirds of the 6 KB/s that control may use on a node.
	bytesPerSecond = 4000
)

// Pacer says when a gateway may report, so that the bytes of reports and answers stay bounded however many engines and
// replicas there are. All methods may be called concurrently.
type Pacer struct {
	mutex sync.Mutex
	next  time.Time
}

// Allow reports whether a report may be sent now, and counts it as sent.
func (p *Pacer) Allow(now time.Time) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if now.Before(p.next) {
		return false
	}
	p.next = now.Add(shortestPause)
	return true
}

// Charge counts bytes that a report or its answer took.
func (p *Pacer) Charge(bytes int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.next = p.next.Add(time.Duration(bytes) * time.Second / bytesPerSecond)
}
