// Package hollow measures what control costs at size: many nodes in one process that run the real
// transport, membership, configuration, placement, replicas and engine ownership over loopback
// TCP, without callers. docs/CAPACITY.md rests on its figures.
package hollow

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"sort"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mountstile/mountstile/internal/configstore/etcdgateway"
	"github.com/mountstile/mountstile/internal/configuration"
	"github.com/mountstile/mountstile/internal/control"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/membership"
	"github.com/mountstile/mountstile/internal/policy"
	"github.com/mountstile/mountstile/internal/program"
	"github.com/mountstile/mountstile/internal/replica"
	"github.com/mountstile/mountstile/internal/resource"
	"github.com/mountstile/mountstile/internal/standin/storeserver"
)

// Options shape a run.
type Options struct {
	Nodes   int
	Engines int
	Regions int
	// Zones in each region.
	Zones int
	// Tenants and services fill the configuration.
	Tenants int
	// Steady is how long the quiet cluster is measured.
	Steady time.Duration
	// Changes of configuration and kills of single nodes that are timed.
	Changes int
	Kills   int
	// KillZone also kills a whole zone at the end.
	KillZone bool
	// RestartThird restarts a third of the nodes while changes are timed.
	RestartThird bool
	// WatchAll and EveryNodeReads are the baselines.
	WatchAll       bool
	EveryNodeReads bool
	Progress       io.Writer
}

// Bytes is payload a second and node.
type Bytes struct {
	Sent     float64            `json:"sent"`
	Received float64            `json:"received"`
	ByKind   map[string]float64 `json:"by_kind"`
}

// Times are milliseconds.
type Times struct {
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
	Count int     `json:"count"`
}

// Report is the result; docs/CAPACITY.md documents the fields.
type Report struct {
	Nodes            int     `json:"nodes"`
	Engines          int     `json:"engines"`
	Baseline         string  `json:"baseline,omitempty"`
	SteadySeconds    float64 `json:"steady_seconds"`
	BytesPerSecond   Bytes   `json:"bytes_per_s"`
	CoreShare        float64 `json:"core_share"`
	MemoryBytes      float64 `json:"memory_bytes"`
	ConfigInForce    Times   `json:"config_in_force_ms"`
	ConfigRestarting *Times  `json:"config_in_force_restarting_ms,omitempty"`
	Detect           Times   `json:"detect_ms"`
	DetectZone       *Times  `json:"detect_zone_ms,omitempty"`
	// FalseDeaths counts live nodes that some node held for dead while nothing was killed.
	FalseDeaths int `json:"false_deaths"`
	// StoreRequests counts what the configuration store served in the steady time, a second.
	StoreRequestsPerSecond float64 `json:"store_requests_per_s"`
	Connections            float64 `json:"connections"`
	Dropped                int64   `json:"dropped_messages"`
	// ProcessorLimited tells that this machine's processors, not the design, bound the run.
	ProcessorLimited bool `json:"processor_limited"`
}

// hollowNode is one node and what it has seen.
type hollowNode struct {
	plane *control.Plane
	self  membership.Member

	mutex     sync.Mutex
	installed map[uint64]time.Time
	dead      map[string]time.Time
	stopped   bool
}

// Run is one measurement.
type run struct {
	options Options
	store   *storeserver.Server
	url     string
	server  *http.Server
	nodes   []*hollowNode
	report  Report
}

const (
	loopbackAny    = "127.0.0.1:0"
	seedNodes      = 3
	settleTimeout  = 150 * time.Second
	eventTimeout   = 60 * time.Second
	pollInterval   = 50 * time.Millisecond
	limitedAt      = 0.85
	engineSlots    = 16
	storeTimeout   = 5 * time.Second
	quietAfterJoin = 20 * time.Second
	joinInterval   = 60 * time.Millisecond
	// replaceInterval paces restarts; a third of 420 nodes then takes about half a minute.
	replaceInterval = 200 * time.Millisecond
)

// ErrTimeout means that the cluster did not reach a state in time.
type ErrTimeout struct{ What string }

// Error implements error.
func (e *ErrTimeout) Error() string { return e.What + " took too long" }

// Run measures one size.
func Run(ctx context.Context, options Options) (Report, error) {
	measurement := &run{options: options, store: storeserver.New()}
	defer measurement.stop()
	if err := measurement.start(); err != nil {
		return Report{}, err
	}
	phases := []func(context.Context) error{
		measurement.settle, measurement.steady, measurement.changes, measurement.restarting, measurement.kills, measurement.killZone,
	}
	for _, phase := range phases {
		if err := phase(ctx); err != nil {
			return measurement.report, err
		}
	}
	return measurement.report, nil
}

func (r *run) progress(format string, args ...any) {
	if r.options.Progress != nil {
		fmt.Fprintf(r.options.Progress, "%s  %s\n", time.Now().Format("15:04:05"), fmt.Sprintf(format, args...))
	}
}

func (r *run) start() error {
	listener, err := net.Listen("tcp", loopbackAny)
	if err != nil {
		return errors.Wrap(err, "listening")
	}
	r.url = "http://" + listener.Addr().String()
	r.server = &http.Server{Handler: r.store}
	go func() { _ = r.server.Serve(listener) }()
	r.report = Report{Nodes: r.options.Nodes, Engines: r.options.Engines, Baseline: r.baseline()}
	for index := range r.options.Nodes {
		created, err := r.newNode(index)
		if err != nil {
			return err
		}
		r.nodes = append(r.nodes, created)
	}
	for _, created := range r.nodes {
		// Nodes that all start in one moment would briefly open more files than a process may.
		pauseFor(context.Background(), joinInterval)
		created.plane.Start()
	}
	return nil
}

func (r *run) baseline() string {
	var names []string
	if r.options.WatchAll {
		names = append(names, "watch-all")
	}
	if r.options.EveryNodeReads {
		names = append(names, "every-node-reads")
	}
	return strings.Join(names, ",")
}

func (r *run) newNode(index int) (*hollowNode, error) {
	listener, err := net.Listen("tcp", loopbackAny)
	if err != nil {
		return nil, errors.Wrap(err, "listening")
	}
	region := index % r.options.Regions
	zone := index / r.options.Regions % r.options.Zones
	id := fmt.Sprintf("hollow-%d-%x", index, time.Now().UnixNano()&0xffffffffffff)
	created := &hollowNode{
		installed: make(map[uint64]time.Time),
		dead:      make(map[string]time.Time),
		self: membership.Member{
			ID: id, Name: fmt.Sprintf("hollow-%d", index), ReplicaID: id, Address: listener.Addr().String(),
			Region: fmt.Sprintf("region-%d", region+1), Zone: fmt.Sprintf("zone-%d-%d", region+1, zone+1),
		},
	}
	var seeds []string
	for _, other := range r.nodes {
		if len(seeds) < seedNodes && !other.stopped {
			seeds = append(seeds, other.self.Address)
		}
	}
	detector := membership.DefaultOptions()
	detector.WatchAll = r.options.WatchAll
	// A loaded machine runs hollow nodes late; that must not count as a pause of each.
	detector.PauseThreshold = 4 * time.Second
	perRegion := r.options.Nodes / r.options.Regions
	created.plane, err = control.New(control.Options{
		Cluster: "hollow", Self: created.self, Seeds: seeds, Listener: listener,
		Store: etcdgateway.New(r.url, storeTimeout), Storage: replica.Memory{}, Check: policy.Check,
		InitialNodes: perRegion, Partitions: perRegion, RepairDelay: 10 * time.Second,
		Membership: detector, NewMachine: func(uint32) replica.StateMachine { return program.NewMachine() },
		EveryNodeReads: r.options.EveryNodeReads, Logger: events.Discard(),
	})
	if err != nil {
		return nil, err
	}
	created.plane.Config.Subscribe(created.noteInstalled)
	created.plane.Membership.Subscribe(created.noteChange)
	return created, nil
}

func (n *hollowNode) noteInstalled(snapshot *configuration.Snapshot) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.installed[snapshot.Revision()] = time.Now()
}

func (n *hollowNode) noteChange(change membership.Change) {
	if change.Member == nil {
		return
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if change.Member.Status == membership.Dead {
		n.dead[change.Member.ID] = time.Now()
	}
}

// alive lists the nodes that run.
func (r *run) alive() []*hollowNode {
	var alive []*hollowNode
	for _, candidate := range r.nodes {
		if !candidate.stopped {
			alive = append(alive, candidate)
		}
	}
	return alive
}

// wait polls until done holds.
func wait(ctx context.Context, what string, timeout time.Duration, done func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !done() {
		select {
		case <-ctx.Done():
			return &ErrTimeout{What: what}
		case <-ticker.C:
		}
	}
	return nil
}

// settle waits until all know all and the partitions are placed, and publishes the configuration.
func (r *run) settle(ctx context.Context) error {
	started := time.Now()
	err := wait(ctx, "joining", settleTimeout, func() bool {
		for _, item := range r.nodes {
			if len(item.plane.Membership.View().Usable()) < len(r.nodes) || !item.plane.Partitions.Ready() {
				return false
			}
		}
		return true
	})
	if err != nil {
		return err
	}
	r.progress("%d nodes joined and placed after %s", len(r.nodes), time.Since(started).Round(time.Millisecond))
	if _, err := r.publish(ctx, r.resources()); err != nil {
		return err
	}
	pauseFor(ctx, quietAfterJoin)
	return nil
}

func pauseFor(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// resources are a configuration of the given size.
func (r *run) resources() []resource.Resource {
	var list []resource.Resource
	pool := resource.Pool{}
	for index := range r.options.Engines {
		region := index % r.options.Regions
		zone := index / r.options.Regions % r.options.Zones
		pool.Engines = append(pool.Engines, resource.Engine{
			Name: fmt.Sprintf("engine-%d", index), URL: "http://127.0.0.1:1", Slots: engineSlots,
			Region: fmt.Sprintf("region-%d", region+1), Zone: fmt.Sprintf("zone-%d-%d", region+1, zone+1),
		})
	}
	list = append(list, resource.Resource{Kind: resource.KindPool, Name: "pool", Pool: &pool})
	for index := range r.options.Tenants {
		key := resource.APIKey{ID: "k", Salt: strings.Repeat("0", 32), Hash: strings.Repeat(strconv.Itoa(index%10), 64), Role: resource.RoleCaller}
		list = append(list, resource.Resource{Kind: resource.KindTenant, Name: fmt.Sprintf("tenant-%d", index), Tenant: &resource.Tenant{Keys: []resource.APIKey{key}, Weight: 1}})
	}
	return list
}

// publish commits a change through some node and returns its revision.
func (r *run) publish(ctx context.Context, upserts []resource.Resource) (uint64, error) {
	document, err := r.alive()[0].plane.Config.Publish(ctx, configuration.Change{
		ChangeID: fmt.Sprintf("hollow-%d", time.Now().UnixNano()), Author: "hollow", Upserts: upserts,
	})
	return document.Revision, err
}

// sample is the sum of the nodes' counters at one moment.
type sample struct {
	at       time.Time
	cpu      time.Duration
	sent     int64
	received int64
	kinds    map[string]int64
	requests int64
}

func (r *run) sample() sample {
	result := sample{at: time.Now(), cpu: processorTime(), kinds: make(map[string]int64)}
	for _, item := range r.alive() {
		for kind, traffic := range item.plane.Transport.Traffic().ByKind() {
			result.sent += traffic.SentBytes
			result.received += traffic.ReceivedBytes
			result.kinds[kind] += traffic.SentBytes
		}
	}
	counts := r.store.Counts()
	result.requests = counts.Ranges + counts.Transactions + counts.Watches
	return result
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// steady measures the quiet cluster.
func (r *run) steady(ctx context.Context) error {
	before := r.sample()
	pauseFor(ctx, r.options.Steady)
	after := r.sample()
	seconds := after.at.Sub(before.at).Seconds()
	nodes := float64(len(r.alive()))
	r.report.SteadySeconds = seconds
	r.report.BytesPerSecond = Bytes{
		Sent:     float64(after.sent-before.sent) / seconds / nodes,
		Received: float64(after.received-before.received) / seconds / nodes,
		ByKind:   make(map[string]float64),
	}
	for kind, bytes := range after.kinds {
		r.report.BytesPerSecond.ByKind[kind] = float64(bytes-before.kinds[kind]) / seconds / nodes
	}
	used := (after.cpu - before.cpu).Seconds() / seconds
	r.report.CoreShare = used / nodes
	r.report.ProcessorLimited = used > limitedAt*float64(runtime.NumCPU())
	r.report.MemoryBytes = float64(residentBytes()) / nodes
	r.report.StoreRequestsPerSecond = float64(after.requests-before.requests) / seconds
	for _, item := range r.alive() {
		item.mutex.Lock()
		r.report.FalseDeaths += len(item.dead)
		item.mutex.Unlock()
		r.report.Dropped += item.plane.Transport.Traffic().Dropped()
		r.report.Connections += float64(item.plane.Transport.Connections()) / nodes
	}
	r.progress("steady: %.0f B/s sent a node, %.3f %% of a core, %.1f MB, false deaths %d", r.report.BytesPerSecond.Sent, 100*r.report.CoreShare, r.report.MemoryBytes/1e6, r.report.FalseDeaths)
	return nil
}

// residentBytes reads the process's resident memory.
func residentBytes() int64 {
	content, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(content))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}

// changes times configuration changes from publishing to force on each node.
func (r *run) changes(ctx context.Context) error {
	times, err := r.timeChanges(ctx, r.alive())
	r.report.ConfigInForce = times
	r.progress("change in force everywhere: p50 %.0f ms, p99 %.0f ms, max %.0f ms", times.P50, times.P99, times.Max)
	return err
}

func (r *run) timeChanges(ctx context.Context, observers []*hollowNode) (Times, error) {
	var samples []float64
	for number := range r.options.Changes {
		weight := 1 + float64(number)
		started := time.Now()
		revision, err := r.publish(ctx, []resource.Resource{{Kind: resource.KindTenant, Name: "tenant-0", Tenant: &resource.Tenant{Weight: weight}}})
		if err != nil {
			return Times{}, err
		}
		err = wait(ctx, "a change", eventTimeout, func() bool {
			for _, item := range observers {
				if item.plane.Config.Current().Revision() < revision {
					return false
				}
			}
			return true
		})
		if err != nil {
			return Times{}, err
		}
		for _, item := range observers {
			item.mutex.Lock()
			// A node that installed a later revision in one step has this one in force with it.
			at, direct := item.installed[revision]
			item.mutex.Unlock()
			if direct {
				samples = append(samples, milliseconds(at.Sub(started)))
			}
		}
	}
	return summarize(samples), nil
}

func milliseconds(duration time.Duration) float64 { return max(0, duration.Seconds()*1000) }

func summarize(samples []float64) Times {
	if len(samples) == 0 {
		return Times{}
	}
	sort.Float64s(samples)
	at := func(share float64) float64 { return samples[min(len(samples)-1, int(share*float64(len(samples))))] }
	return Times{P50: at(0.5), P99: at(0.99), Max: samples[len(samples)-1], Count: len(samples)}
}

// restarting times changes while a third of the nodes is replaced one after the other.
func (r *run) restarting(ctx context.Context) error {
	if !r.options.RestartThird {
		return nil
	}
	count := r.options.Nodes / 3
	stable := r.alive()[count:]
	stable = append([]*hollowNode(nil), stable...)
	var failure error
	done := make(chan struct{})
	go func() {
		defer close(done)
		for index := range count {
			pauseFor(ctx, replaceInterval)
			if failure = r.replace(index); failure != nil {
				return
			}
		}
	}()
	times, err := r.timeChanges(ctx, stable)
	<-done
	if err == nil {
		err = failure
	}
	r.report.ConfigRestarting = &times
	r.progress("with a third restarting: p50 %.0f ms, p99 %.0f ms", times.P50, times.P99)
	return err
}

// replace stops a node in order and starts another one in its place.
func (r *run) replace(index int) error {
	old := r.nodes[index]
	old.plane.Membership.Announce(membership.Left)
	if err := old.plane.Stop(); err != nil {
		return err
	}
	old.stopped = true
	created, err := r.newNode(index)
	if err != nil {
		return err
	}
	created.plane.Start()
	r.nodes[index] = created
	return nil
}

// kills times how long it takes until all know of a node's death.
func (r *run) kills(ctx context.Context) error {
	var samples []float64
	for number := range r.options.Kills {
		victim := r.alive()[(number*7+1)%len(r.alive())]
		times, err := r.timeDeaths(ctx, []*hollowNode{victim})
		if err != nil {
			return err
		}
		samples = append(samples, times...)
	}
	r.report.Detect = summarize(samples)
	r.progress("a dead node known: p50 %.0f ms, p99 %.0f ms, max %.0f ms", r.report.Detect.P50, r.report.Detect.P99, r.report.Detect.Max)
	return nil
}

// timeDeaths kills nodes at one moment and returns, for each survivor and victim, how long it took.
func (r *run) timeDeaths(ctx context.Context, victims []*hollowNode) ([]float64, error) {
	started := time.Now()
	var stops sync.WaitGroup
	for _, victim := range victims {
		victim.stopped = true
		stops.Go(func() { _ = victim.plane.Stop() })
	}
	stops.Wait()
	survivors := r.alive()
	deathOf := func(observer, victim *hollowNode) (time.Time, bool) {
		observer.mutex.Lock()
		defer observer.mutex.Unlock()
		at, known := observer.dead[victim.self.ID]
		return at, known
	}
	err := wait(ctx, "detecting a death", eventTimeout, func() bool {
		for _, observer := range survivors {
			for _, victim := range victims {
				if _, known := deathOf(observer, victim); !known {
					return false
				}
			}
		}
		return true
	})
	var samples []float64
	for _, observer := range survivors {
		for _, victim := range victims {
			if at, known := deathOf(observer, victim); known {
				samples = append(samples, milliseconds(at.Sub(started)))
			}
		}
	}
	return samples, err
}

func (r *run) killZone(ctx context.Context) error {
	if !r.options.KillZone {
		return nil
	}
	zone := r.alive()[len(r.alive())-1].self.Zone
	var victims []*hollowNode
	for _, item := range r.alive() {
		if item.self.Zone == zone {
			victims = append(victims, item)
		}
	}
	samples, err := r.timeDeaths(ctx, victims)
	times := summarize(samples)
	r.report.DetectZone = &times
	r.progress("a zone of %d nodes: p50 %.0f ms, p99 %.0f ms, max %.0f ms", len(victims), times.P50, times.P99, times.Max)
	return err
}

func (r *run) stop() {
	var stops sync.WaitGroup
	for _, item := range r.alive() {
		stops.Go(func() { _ = item.plane.Stop() })
	}
	stops.Wait()
	if r.server != nil {
		_ = r.server.Close()
	}
}
