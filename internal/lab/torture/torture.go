// Package torture runs a cluster and callers in one process under faults that a seed determines:
// killed nodes, truncated, corrupted, slow and refused engine responses, failures of the
// configuration store, and configuration changes. It then compares the outcomes that callers
// received with the requests that engines recorded.
package torture

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mountstile/mountstile/internal/adminclient"
	"github.com/mountstile/mountstile/internal/emulator"
	"github.com/mountstile/mountstile/internal/lab/cluster"
	"github.com/mountstile/mountstile/internal/resource"
	"github.com/mountstile/mountstile/internal/standin/storeserver"
)

// Violations count violated invariants. All must be zero.
type Violations struct {
	// Lost counts calls that failed in spite of retries, and marks that were reported as run but not executed.
	Lost int `json:"lost"`
	// Doubled counts marks that were executed more than once.
	Doubled int `json:"doubled"`
	// Mixed counts answers that don't belong to their conversation.
	Mixed int `json:"mixed"`
	// Reordered counts calls that reached an engine after a later call of their program.
	Reordered int `json:"reordered"`
	// OverBudget counts programs that used and reserved more tokens than their budget.
	OverBudget int `json:"over_budget"`
	// Leaked counts caches of ended programs that engines did not release.
	Leaked int `json:"leaked"`
	// FalseNotRun counts marks that were reported as not run but executed.
	FalseNotRun int `json:"false_not_run"`
}

// Total returns the number of violations of all kinds.
func (v Violations) Total() int {
	return v.Lost + v.Doubled + v.Mixed + v.Reordered + v.OverBudget + v.Leaked + v.FalseNotRun
}

// Report is the result of a run. Marks are calls of an application that must not run twice. Refused counts failed attempts
// that were reported as not run, Unknown the other failed attempts, and Changes the published configuration changes.
type Report struct {
	Seed       uint64         `json:"seed"`
	Seconds    float64        `json:"seconds"`
	Violations Violations     `json:"violations"`
	Notes      []string       `json:"notes,omitempty"`
	Programs   int            `json:"programs"`
	Calls      int            `json:"calls"`
	Marks      int            `json:"marks"`
	Refused    int            `json:"refused"`
	Unknown    int            `json:"unknown"`
	Changes    int            `json:"changes"`
	Faults     map[string]int `json:"faults"`
}

// Options configures a run. Progress receives the name of each injected fault.
type Options struct {
	Duration time.Duration
	Seed     uint64
	Nodes    int
	Engines  int
	Callers  int
	Progress func(format string, args ...any)
}

const (
	startTimeout        = 60 * time.Second
	settleTimeout       = 90 * time.Second
	tokenBudget         = 60000
	answerTokens        = 24
	apiKey              = "torture.k." + cluster.DemoSecret
	minFaultDuration    = 300 * time.Millisecond
	faultDurationSpread = 3 * time.Second
	faultInterval       = 700 * time.Millisecond
	maxNotes            = 20
)

// run is the state of a single run.
type run struct {
	options Options
	random  *rand.Rand
	system  *cluster.Cluster
	// mutex guards system.Nodes, report and markOutcomes.
	mutex          sync.RWMutex
	report         Report
	markOutcomes   map[string]string
	lastNodeNumber int
	stopped        atomic.Bool
}

// Run runs one seed and verifies its invariants.
func Run(ctx context.Context, options Options) (Report, error) {
	r := &run{
		options:        options,
		random:         rand.New(rand.NewPCG(options.Seed, 3)),
		markOutcomes:   make(map[string]string),
		report:         Report{Seed: options.Seed, Faults: make(map[string]int)},
		lastNodeNumber: options.Nodes,
	}
	startContext, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	system, err := cluster.Start(startContext, cluster.Options{
		Nodes: options.Nodes, Zones: []string{"a", "b", "c"}, Region: "r", Partitions: 6,
		Engine: emulator.DefaultConfig(), Resources: r.resources(), LogLevel: logrus.ErrorLevel,
	})
	r.system = system
	defer func() { r.system.Stop() }()
	if err != nil {
		return r.report, err
	}
	r.execute(ctx)
	r.verify(ctx)
	return r.report, nil
}

func (r *run) resources() []resource.Resource {
	models, books := &resource.Pool{}, &resource.Pool{}
	for number := range r.options.Engines {
		models.Engines = append(models.Engines, resource.Engine{Name: fmt.Sprintf("m%d", number+1), URL: "http://replaced", Slots: 8})
	}
	for number := range 2 {
		books.Engines = append(books.Engines, resource.Engine{Name: fmt.Sprintf("b%d", number+1), URL: "http://replaced", Slots: 16})
	}
	return []resource.Resource{
		{Kind: resource.KindTenant, Name: "torture", Tenant: &resource.Tenant{
			Keys: []resource.APIKey{resource.NewAPIKey("k", cluster.DemoSecret, resource.RoleOperator)}, ProgramTokenBudget: tokenBudget, ProgramCallBudget: 10000,
		}},
		{Kind: resource.KindPool, Name: "models", Pool: models},
		{Kind: resource.KindPool, Name: "books", Pool: books},
		{Kind: resource.KindService, Name: "chat", Service: &resource.Service{Type: resource.ServiceModel, Pool: "models", Models: []string{"m"}, Tenants: []string{"torture"}, MaxTokens: 64, CallSeconds: 20, MaxAttempts: 10}},
		{Kind: resource.KindService, Name: "book", Service: &resource.Service{Type: resource.ServiceApplication, Pool: "books", Tenants: []string{"torture"}, CallSeconds: 10}},
	}
}

// execute runs the callers and injects faults for the duration, then clears all faults and waits
// for the callers to finish.
func (r *run) execute(ctx context.Context) {
	started := time.Now()
	var callers sync.WaitGroup
	finished := make(chan struct{})
	for number := range r.options.Callers {
		item := newCaller(r, number)
		callers.Go(func() { item.execute(ctx) })
	}
	go func() {
		callers.Wait()
		close(finished)
	}()
	for time.Since(started) < r.options.Duration && ctx.Err() == nil {
		r.injectFault(ctx)
	}
	r.clearFaults()
	r.stopped.Store(true)
	<-finished
	r.report.Seconds = time.Since(started).Seconds()
}

func (r *run) sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// injectFault injects a random fault, clears it after a random time, and waits before the next one.
func (r *run) injectFault(ctx context.Context) {
	kinds := []struct {
		name   string
		inject func(ctx context.Context)
	}{
		{"node_killed", r.replaceNode},
		{"engine_cut", r.engineFault(emulator.Faults{CutAfterTokens: 5})},
		{"engine_garbled", r.engineFault(emulator.Faults{GarbleAfterTokens: 5})},
		{"engine_ends_early", r.engineFault(emulator.Faults{EndAfterTokens: 5})},
		{"engine_without_end_mark", r.engineFault(emulator.Faults{NoEndMark: true})},
		{"resumption_refused", r.resumptionFault(http.StatusInternalServerError)},
		{"resumption_garbled", r.resumptionFault(http.StatusOK)},
		{"resumption_rejected", r.resumptionFault(http.StatusBadRequest)},
		{"engine_refusing", r.engineFault(emulator.Faults{RefuseStatus: 503})},
		{"engine_slow", r.engineFault(emulator.Faults{Slowdown: 20})},
		{"releases_refused", r.engineFault(emulator.Faults{RefuseReleases: true})},
		{"answers_cut", r.applicationFault},
		{"store_down", r.storeFault(storeserver.Faults{Down: true})},
		{"store_answers_lost", r.storeFault(storeserver.Faults{LoseAnswers: true})},
		{"store_slow", r.storeFault(storeserver.Faults{DelayMillis: 1500})},
		{"configuration_changed", r.changeConfiguration},
	}
	kind := kinds[r.random.IntN(len(kinds))]
	r.options.Progress("%s", kind.name)
	r.mutex.Lock()
	r.report.Faults[kind.name]++
	r.mutex.Unlock()
	kind.inject(ctx)
	r.sleep(ctx, minFaultDuration+time.Duration(r.random.Int64N(int64(faultDurationSpread))))
	r.clearFaults()
	r.sleep(ctx, faultInterval)
}

func (r *run) clearFaults() {
	for _, engine := range r.system.Engines {
		engine.SetFaults(emulator.Faults{})
	}
	for _, application := range r.system.Applications {
		application.SetFaults(emulator.ApplicationFaults{})
	}
	r.system.Store.SetFaults(storeserver.Faults{})
}

// replaceNode kills a node and starts another one. It waits until each partition has all its replicas
// again, since the loss of a second replica could cost a partition its quorum.
func (r *run) replaceNode(ctx context.Context) {
	r.mutex.Lock()
	r.lastNodeNumber++
	victim := r.random.IntN(len(r.system.Nodes))
	zone := r.system.Nodes[victim].Settings().Zone
	err := r.system.Kill(victim)
	if err == nil {
		_, err = r.system.AddNode(fmt.Sprintf("node-%d", r.lastNodeNumber), zone)
	}
	r.mutex.Unlock()
	if err != nil {
		r.addNote("replacing a node failed: %s", err)
		return
	}
	repairContext, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	for !r.partitionsRepaired() && repairContext.Err() == nil {
		r.sleep(repairContext, faultInterval/4)
	}
	if repairContext.Err() != nil && ctx.Err() == nil {
		r.addNote("partitions not repaired before the timeout")
	}
}

// partitionsRepaired reports whether every partition has a leader and only live voters, as many as
// the number of nodes allows.
func (r *run) partitionsRepaired() bool {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	alive := make(map[string]bool)
	votersByGroup := make(map[uint32][]string)
	for _, running := range r.system.Nodes {
		alive[running.Plane().Membership.View().Self.ReplicaID] = true
		for _, status := range running.Plane().Host.Statuses() {
			if status.IsLeader && len(status.Members.Learners) == 0 {
				votersByGroup[status.Group] = status.Members.Voters
			}
		}
	}
	for _, placement := range r.system.Nodes[0].Plane().Partitions.Placements() {
		voters := votersByGroup[placement.ID]
		dead := slices.ContainsFunc(voters, func(id string) bool { return !alive[id] })
		if dead || len(voters) != min(3, len(r.system.Nodes)) {
			return false
		}
	}
	return true
}

func (r *run) engineFault(faults emulator.Faults) func(context.Context) {
	return func(context.Context) {
		name := fmt.Sprintf("m%d", r.random.IntN(r.options.Engines)+1)
		r.system.Engines[name].SetFaults(faults)
	}
}

// minEnginesForResumption leaves one engine to resume a call: one truncates its answer, one fails to resume it, and the
// circuit breaker of one may still be open after the previous fault.
const minEnginesForResumption = 4

// resumptionFault makes one engine truncate its answers, and another one respond to resumptions with an error body and
// the given status.
func (r *run) resumptionFault(status int) func(context.Context) {
	return func(context.Context) {
		if r.options.Engines < minEnginesForResumption {
			return
		}
		cut := r.random.IntN(r.options.Engines)
		failing := (cut + 1 + r.random.IntN(r.options.Engines-1)) % r.options.Engines
		r.system.Engines[fmt.Sprintf("m%d", failing+1)].SetFaults(emulator.Faults{ResumeStatus: status})
		r.system.Engines[fmt.Sprintf("m%d", cut+1)].SetFaults(emulator.Faults{CutAfterTokens: 5})
	}
}

func (r *run) applicationFault(context.Context) {
	name := fmt.Sprintf("b%d", r.random.IntN(2)+1)
	r.system.Applications[name].SetFaults(emulator.ApplicationFaults{CutBeforeAnswer: true})
}

func (r *run) storeFault(faults storeserver.Faults) func(context.Context) {
	return func(ctx context.Context) {
		r.system.Store.SetFaults(faults)
		r.changeConfiguration(ctx)
	}
}

// changeConfiguration publishes a new weight for an unused tenant. It may fail while the store is faulty.
func (r *run) changeConfiguration(ctx context.Context) {
	weight := float64(1 + r.random.IntN(100))
	content, err := resource.Encode([]resource.Resource{{Kind: resource.KindTenant, Name: "guest", Tenant: &resource.Tenant{Weight: weight}}})
	if err != nil {
		r.addNote("encoding a configuration change failed: %s", err)
		return
	}
	r.mutex.RLock()
	admin := r.system.Admin
	r.mutex.RUnlock()
	if _, err := admin.Apply(ctx, content, adminclient.Change{}); err == nil {
		r.report.Changes++
	}
}

func (r *run) addNote(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.report.Notes) < maxNotes {
		r.report.Notes = append(r.report.Notes, fmt.Sprintf(format, args...))
	}
}

// recordViolation increments a counter of Violations and adds a note.
func (r *run) recordViolation(counter *int, format string, args ...any) {
	r.mutex.Lock()
	*counter++
	r.mutex.Unlock()
	r.addNote(format, args...)
}
