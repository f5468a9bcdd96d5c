package modelload

import (
	"sync"
	"time"
)

const (
	demandKind = "model_demand"
	// reportInterval is how often a node tells its demand; in a large cluster each node adds
	// reportSpacing to it, so that the node that decides hears a bounded number of reports a second.
	reportInterval = 2 * time.Second
	reportSpacing  = 100 * time.Millisecond
	// reportsMissed is after how many intervals a node's report counts no more.
	reportsMissed = 3
	// demandHalfLife is how slowly demand is forgotten; growth counts at once.
	demandHalfLife = 10 * time.Second
)

// PoolDemand is how many calls of each model run or wait.
type PoolDemand struct {
	Pool   string         `json:"pool"`
	Models map[string]int `json:"models"`
}

// demandReport is one node's demand on a pool.
type demandReport struct {
	PoolDemand
	Node string `json:"node"`
	// Refuted are the engines that lacked the model of their record.
	Refuted []string `json:"refuted,omitempty"`
	// IntervalMillis is when to expect the next one.
	IntervalMillis int64 `json:"interval_ms"`
}

type heardReport struct {
	report  demandReport
	at      time.Time
	expires time.Time
}

// demandTable keeps the latest report of each node on each pool.
type demandTable struct {
	mutex   sync.Mutex
	reports map[string]map[string]heardReport
}

func newDemandTable() *demandTable {
	return &demandTable{reports: make(map[string]map[string]heardReport)}
}

func (d *demandTable) note(report demandReport, now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.reports[report.Pool] == nil {
		d.reports[report.Pool] = make(map[string]heardReport)
	}
	expires := now.Add(reportsMissed * time.Duration(report.IntervalMillis) * time.Millisecond)
	d.reports[report.Pool][report.Node] = heardReport{report: report, at: now, expires: expires}
}

// sum adds up what the nodes reported lately on a pool.
func (d *demandTable) sum(pool string, now time.Time) map[string]float64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	total := make(map[string]float64)
	for node, heard := range d.reports[pool] {
		if now.After(heard.expires) {
			delete(d.reports[pool], node)
			continue
		}
		for model, calls := range heard.report.Models {
			total[model] += float64(calls)
		}
	}
	return total
}

// refuted returns when a node last told of each engine of a pool that it lacks the model of its record.
func (d *demandTable) refuted(pool string) map[string]time.Time {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	latest := make(map[string]time.Time)
	for _, heard := range d.reports[pool] {
		for _, engine := range heard.report.Refuted {
			if heard.at.After(latest[engine]) {
				latest[engine] = heard.at
			}
		}
	}
	return latest
}
