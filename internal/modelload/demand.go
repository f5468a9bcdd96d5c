package modelload

import (
	"sync"
	"time"
)

const (
	demandKind = "model_demand"
	// A node reports its demand at an interval of baseReportInterval plus reportIntervalPerNode for each node of the
	// cluster. The second part limits the rate of reports that a leader receives in a large cluster.
	baseReportInterval    = 2 * time.Second
	reportIntervalPerNode = 100 * time.Millisecond
	// missedReportLimit is the number of intervals without a new report after which a node's demand is dropped.
	missedReportLimit = 3
	// demandHalfLife is the half-life of demand that is no longer reported.
	demandHalfLife = 10 * time.Second
)

// PoolDemand is the number of running and waiting calls of each model of a pool.
type PoolDemand struct {
	Pool   string         `json:"pool"`
	Models map[string]int `json:"models"`
}

// demandReport is the demand for one pool at one node.
type demandReport struct {
	PoolDemand
	Node string `json:"node"`
	// NotLoaded lists the engines that have not loaded the model in their membership record.
	NotLoaded []string `json:"refuted,omitempty"`
	// IntervalMillis is the time until the next report.
	IntervalMillis int64 `json:"interval_ms"`
}

type receivedReport struct {
	report     demandReport
	receivedAt time.Time
	expiresAt  time.Time
}

// demandTable holds the latest report of each node by pool. It is safe for concurrent use.
type demandTable struct {
	mutex   sync.Mutex
	reports map[string]map[string]receivedReport
}

func newDemandTable() *demandTable {
	return &demandTable{reports: make(map[string]map[string]receivedReport)}
}

func (d *demandTable) add(report demandReport, now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.reports[report.Pool] == nil {
		d.reports[report.Pool] = make(map[string]receivedReport)
	}
	expiresAt := now.Add(missedReportLimit * time.Duration(report.IntervalMillis) * time.Millisecond)
	d.reports[report.Pool][report.Node] = receivedReport{report: report, receivedAt: now, expiresAt: expiresAt}
}

// sum returns the total demand for each model of a pool and drops expired reports.
func (d *demandTable) sum(pool string, now time.Time) map[string]float64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	total := make(map[string]float64)
	for node, received := range d.reports[pool] {
		if now.After(received.expiresAt) {
			delete(d.reports[pool], node)
			continue
		}
		for model, calls := range received.report.Models {
			total[model] += float64(calls)
		}
	}
	return total
}

// notLoaded returns, by engine of a pool, when a node last reported that it has not loaded the model in its record.
func (d *demandTable) notLoaded(pool string) map[string]time.Time {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	latest := make(map[string]time.Time)
	for _, received := range d.reports[pool] {
		for _, engine := range received.report.NotLoaded {
			if received.receivedAt.After(latest[engine]) {
				latest[engine] = received.receivedAt
			}
		}
	}
	return latest
}
