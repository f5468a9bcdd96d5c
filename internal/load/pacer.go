package load

import (
	"sync"
	"time"
)

const (
	// minReportInterval is the least time between two reports. More frequent reports would hardly differ, since an
	// engine gets only a few calls in this time.
	minReportInterval = 60 * time.Millisecond
	// bytesPerSecond is the bandwidth for reports and responses: two thirds of the 6 KB/s that a node may use for
	// control traffic.
	bytesPerSecond = 4000
)

// Pacer limits the rate of a gateway's reports, so that reports and responses stay within a fixed bandwidth for any
// number of engines and replicas. All methods may be called concurrently.
type Pacer struct {
	mutex sync.Mutex
	next  time.Time
}

// Allow reports whether a report may be sent now. If so, it counts as sent.
func (p *Pacer) Allow(now time.Time) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if now.Before(p.next) {
		return false
	}
	p.next = now.Add(minReportInterval)
	return true
}

// Charge records the bytes of a report or its response, and delays the next report accordingly.
func (p *Pacer) Charge(bytes int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.next = p.next.Add(time.Duration(bytes) * time.Second / bytesPerSecond)
}
