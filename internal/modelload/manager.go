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
	// leastReportGap bounds how often a call that waits for a model makes its node report early.
	leastReportGap = 500 * time.Millisecond
)

// Options configure a Manager.
type Options struct {
	Transport  *transport.Transport
	Membership *membership.Manager
	Config     *configuration.Manager
	Partitions *partition.Manager
	Host       *replica.Host
	Loader     engine.Loader
	// Demand counts the calls of the partitions that this node leads.
	Demand func() []PoolDemand
	// ConfirmLeadership commits something in a partition that this node leads.
	ConfirmLeadership func(ctx context.Context, partition uint32) error
	Logger            *events.Logger
}

// Manager reports this node's demand, and decides for the pools whose partitions it leads.
type Manager struct {
	*View
	options     Options
	reports     *demandTable
	controllers map[string]*controller
	wanted      chan struct{}
}

// NewManager returns a Manager and registers its messages.
func NewManager(options Options) *Manager {
	manager := &Manager{
		View:        NewView(options.Membership),
		options:     options,
		reports:     newDemandTable(),
		controllers: make(map[string]*controller),
		wanted:      make(chan struct{}, 1),
	}
	transport.HandleOneWay(options.Transport, demandKind, func(_ transport.Peer, report demandReport) {
		manager.reports.note(report, time.Now())
	})
	return manager
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }

// halved is what remains of demand after a time.
func halved(elapsed time.Duration) float64 {
	return math.Exp2(-elapsed.Seconds() / demandHalfLife.Seconds())
}

// ReportDemand tells that a call waits for a model that no engine has; the demand is reported soon.
func (m *Manager) ReportDemand() {
	select {
	case m.wanted <- struct{}{}:
	default:
	}
}

// MarkNotLoaded takes an engine out of use as View's does, and has whoever decides ask it soon.
func (m *Manager) MarkNotLoaded(pool, engine, model string) bool {
	if !m.View.MarkNotLoaded(pool, engine, model) {
		return false
	}
	m.options.Logger.Emit(events.ModelRefuted, events.F("pool", pool), events.F("engine", engine), events.F("model", model))
	m.ReportDemand()
	return true
}

// Run reports and decides until the context ends.
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
		case <-m.wanted:
			urgent = true
		}
		now := time.Now()
		if interval := m.interval(); now.Sub(reported) >= interval || urgent && now.Sub(reported) >= leastReportGap {
			m.report(interval)
			reported = now
		}
		m.control(ctx)
	}
}

func (m *Manager) interval() time.Duration {
	return reportInterval + reportSpacing*time.Duration(len(m.options.Membership.View().Usable()))
}

// report tells the demand to all replicas of each pool's partition, so that whoever leads knows it.
func (m *Manager) report(interval time.Duration) {
	view := m.options.Membership.View()
	set := m.options.Config.Current().Set
	if len(set.LoadingPools()) == 0 {
		return
	}
	for _, demand := range m.withRefuted(m.options.Demand(), set) {
		if pool, known := set.Pool(demand.Pool); !known || pool.Loading == nil {
			continue
		}
		_, replicas, err := m.options.Partitions.Locate(view.Self.Region, "", recordPrefix+demand.Pool)
		if err != nil {
			continue
		}
		report := demandReport{PoolDemand: demand, Node: view.Self.ID, Refuted: m.NotLoaded(demand.Pool), IntervalMillis: interval.Milliseconds()}
		for _, replicaID := range replicas {
			member, known := view.Replica(replicaID)
			switch {
			case !known || !member.Usable():
			case member.ID == view.Self.ID:
				m.reports.note(report, time.Now())
			default:
				m.options.Transport.Send(member.Address, demandKind, report)
			}
		}
	}
}

// withRefuted adds the pools without demand of which an engine was refuted: whoever decides must hear of it,
// also if the calls that have found out are over.
func (m *Manager) withRefuted(demands []PoolDemand, set *resource.Set) []PoolDemand {
	for _, item := range set.LoadingPools() {
		counted := slices.ContainsFunc(demands, func(demand PoolDemand) bool { return demand.Pool == item.Name })
		if !counted && len(m.NotLoaded(item.Name)) > 0 {
			demands = append(demands, PoolDemand{Pool: item.Name})
		}
	}
	return demands
}

// control steps the pools that this node decides for, and forgets the others.
func (m *Manager) control(ctx context.Context) {
	set := m.options.Config.Current().Set
	led := make(map[string]bool)
	for _, item := range set.LoadingPools() {
		current := m.controllerOf(item.Name)
		if current == nil {
			continue
		}
		led[item.Name] = true
		current.step(ctx, item.Pool, m.ownEngines(item), set.ModelsOfPool(item.Name), m.reports)
	}
	for name := range m.controllers {
		if !led[name] {
			delete(m.controllers, name)
		}
	}
}

// controllerOf returns the pool's controller in the present term if this node leads the pool's
// partition, else nil.
func (m *Manager) controllerOf(pool string) *controller {
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

// ownEngines are the pool's engines that this region decides for: its own, and in the first region
// also those of no region.
func (m *Manager) ownEngines(pool resource.Resource) []resource.Engine {
	region := m.options.Membership.View().Self.Region
	own, _, err := m.options.Partitions.Locate(region, "", recordPrefix+pool.Name)
	first, _, firstErr := m.options.Partitions.Locate("", "", recordPrefix+pool.Name)
	inFirst := err == nil && firstErr == nil && own == first
	return slices.DeleteFunc(slices.Clone(pool.Pool.Engines), func(item resource.Engine) bool {
		return item.Region != region && !(item.Region == "" && inFirst)
	})
}
