package modelload

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/mountstile/mountstile/internal/configuration"
	"github.com/mountstile/mountstile/internal/engine"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/membership"
	"github.com/mountstile/mountstile/internal/partition"
	"github.com/mountstile/mountstile/internal/replica"
	"github.com/mountstile/mountstile/internal/resource"
	"github.com/mountstile/mountstile/internal/transport"
)

const (
	stepInterval = time.Second
	// minReportInterval is the minimum time between reports, including those requested by ReportDemand.
	minReportInterval = 500 * time.Millisecond
)

// Options configures a Manager.
type Options struct {
	Transport  *transport.Transport
	Membership *membership.Manager
	Config     *configuration.Manager
	Partitions *partition.Manager
	Host       *replica.Host
	Loader     engine.Loader
	// Demand returns the number of calls in the partitions that this node leads.
	Demand func() []PoolDemand
	// ConfirmLeadership commits an entry in a partition and fails if this node no longer leads it.
	ConfirmLeadership func(ctx context.Context, partition uint32) error
	Logger            *events.Logger
}

// Manager reports this node's demand and assigns models to the engines of the pools whose partitions it leads.
type Manager struct {
	*View
	options     Options
	reports     *demandTable
	controllers map[string]*controller
	reportSoon  chan struct{}
}

// NewManager returns a Manager and registers its message handler with the transport.
func NewManager(options Options) *Manager {
	manager := &Manager{
		View:        NewView(options.Membership),
		options:     options,
		reports:     newDemandTable(),
		controllers: make(map[string]*controller),
		reportSoon:  make(chan struct{}, 1),
	}
	transport.HandleOneWay(options.Transport, demandKind, func(_ transport.Peer, report demandReport) {
		manager.reports.add(report, time.Now())
	})
	return manager
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }

// decayFactor returns the share of demand that remains after the elapsed time.
func decayFactor(elapsed time.Duration) float64 {
	return math.Exp2(-elapsed.Seconds() / demandHalfLife.Seconds())
}

// ReportDemand requests an early demand report, for a call that waits for a model that no engine has loaded.
func (m *Manager) ReportDemand() {
	select {
	case m.reportSoon <- struct{}{}:
	default:
	}
}

// MarkNotLoaded is like View.MarkNotLoaded, and also requests an early report so that the pool's leader polls the
// engine.
func (m *Manager) MarkNotLoaded(pool, engine, model string) bool {
	if !m.View.MarkNotLoaded(pool, engine, model) {
		return false
	}
	m.options.Logger.Emit(events.ModelRefuted, events.F("pool", pool), events.F("engine", engine), events.F("model", model))
	m.ReportDemand()
	return true
}

// Run reports demand and controls the pools led by this node until the context ends.
func (m *Manager) Run(ctx context.Context) {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	var reported time.Time
	for {
		urgent := false
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-m.reportSoon:
			urgent = true
		}
		now := time.Now()
		if reportInterval := m.reportInterval(); now.Sub(reported) >= reportInterval || urgent && now.Sub(reported) >= minReportInterval {
			m.report(reportInterval)
			reported = now
		}
		m.controlPools(ctx)
	}
}

func (m *Manager) reportInterval() time.Duration {
	return baseReportInterval + reportIntervalPerNode*time.Duration(len(m.options.Membership.View().Usable()))
}

// report sends the demand to all replicas of each pool's partition, as any of them may be or become the leader.
func (m *Manager) report(interval time.Duration) {
	view := m.options.Membership.View()
	set := m.options.Config.Current().Set
	if len(set.LoadingPools()) == 0 {
		return
	}
	for _, demand := range m.addNotLoaded(m.options.Demand(), set) {
		if pool, known := set.Pool(demand.Pool); !known || pool.Loading == nil {
			continue
		}
		_, replicas, err := m.options.Partitions.Locate(view.Self.Region, "", recordPrefix+demand.Pool)
		if err != nil {
			continue
		}
		report := demandReport{PoolDemand: demand, Node: view.Self.ID, NotLoaded: m.NotLoaded(demand.Pool), IntervalMillis: interval.Milliseconds()}
		for _, replicaID := range replicas {
			member, known := view.ByReplicaID(replicaID)
			switch {
			case !known || !member.Usable():
			case member.ID == view.Self.ID:
				m.reports.add(report, time.Now())
			default:
				m.options.Transport.Send(member.Peer(), demandKind, report)
			}
		}
	}
}

// addNotLoaded adds the pools without demand that have engines marked as not loaded. The pool's leader must be told of
// these even if the calls that found them have ended.
func (m *Manager) addNotLoaded(demands []PoolDemand, set *resource.Set) []PoolDemand {
	for _, item := range set.LoadingPools() {
		counted := slices.ContainsFunc(demands, func(demand PoolDemand) bool { return demand.Pool == item.Name })
		if !counted && len(m.NotLoaded(item.Name)) > 0 {
			demands = append(demands, PoolDemand{Pool: item.Name})
		}
	}
	return demands
}

// controlPools runs a step for each pool that this node leads and drops the controllers of all others.
func (m *Manager) controlPools(ctx context.Context) {
	set := m.options.Config.Current().Set
	led := make(map[string]bool)
	for _, item := range set.LoadingPools() {
		current := m.controllerFor(item.Name)
		if current == nil {
			continue
		}
		led[item.Name] = true
		current.step(ctx, item.Pool, m.localEngines(item), set.ModelsOfPool(item.Name), m.reports)
	}
	for name := range m.controllers {
		if !led[name] {
			delete(m.controllers, name)
		}
	}
}

// controllerFor returns the pool's controller for the current term, or nil if this node doesn't lead the pool's
// partition.
func (m *Manager) controllerFor(pool string) *controller {
	id, _, err := m.options.Partitions.Locate(m.options.Membership.View().Self.Region, "", recordPrefix+pool)
	if err != nil {
		return nil
	}
	status, known := m.options.Host.Status(id)
	if !known || !status.IsLeader {
		return nil
	}
	current := m.controllers[pool]
	if current == nil || current.term != status.Term || current.partition != id {
		current = newController(m, pool, id, status.Term)
		m.controllers[pool] = current
	}
	return current
}

// localEngines returns the pool's engines that are controlled from this region: those of the region and, in the first
// region by name, those without a region.
func (m *Manager) localEngines(pool resource.Resource) []resource.Engine {
	region := m.options.Membership.View().Self.Region
	own, _, err := m.options.Partitions.Locate(region, "", recordPrefix+pool.Name)
	first, _, firstErr := m.options.Partitions.Locate("", "", recordPrefix+pool.Name)
	inFirst := err == nil && firstErr == nil && own == first
	return slices.DeleteFunc(slices.Clone(pool.Pool.Engines), func(item resource.Engine) bool {
		return item.Region != region && !(item.Region == "" && inFirst)
	})
}
