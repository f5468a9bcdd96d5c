// Package torture runs a whole cluster in one process, with callers, and lets things fail at random
// from a seed: nodes die and are replaced, engines are cut, garbled, slowed and refuse, the store
// goes down and loses answers, operators change the configuration. At the end it compares what
// callers were told with what the engines saw.
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

// Violations count broken promises; all must be zero.
type Violations struct {
	Lost        int `json:"lost"`
	Doubled     int `json:"doubled"`
	Mixed       int `json:"mixed"`
	Reordered   int `json:"reordered"`
	OverBudget  int `json:"over_budget"`
	Leaked      int `json:"leaked"`
	FalseNotRun int `json:"false_not_run"`
}

// Total sums them.
func (v Violations) Total() int {
	return v.Lost + v.Doubled + v.Mixed + v.Reordered + v.OverBudget + v.Leaked + v.FalseNotRun
}

// Report is the result.
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

// Options shape a run.
type Options struct {
	Duration time.Duration
	Seed     uint64
	Nodes    int
	Engines  int
	Callers  int
	Progress func(format string, args ...any)
}

const (
	startTimeout  = 60 * time.Second
	settleTimeout = 90 * time.Second
	tokenBudget   = 60000
	answerTokens  = 24
	apiKey        = "torture.k." + cluster.DemoSecret
	shortestFault = 300 * time.Millisecond
	longestFault  = 3 * time.Second
	restTime      = 700 * time.Millisecond
	mostNotes     = 20
)

// run is one torture.
type run struct {
	options Options
	random  *rand.Rand
	system  *cluster.Cluster
	// mutex guards system.Nodes, the report and what callers were told.
	mutex   sync.RWMutex
	report  Report
	marks   map[string]string
	next    int
	stopped atomic.Bool
}

// Run plays one seed and judges it.
func Run(ctx context.Context, options Options) (Report, error) {
	state := &run{
		options: options,
		random:  rand.New(rand.NewPCG(options.Seed, 3)),
		marks:   make(map[string]string),
		report:  Report{Seed: options.Seed, Faults: make(map[string]int)},
		next:    options.Nodes,
	}
	startContext, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	system, err := cluster.Start(startContext, cluster.Options{
		Nodes: options.Nodes, Zones: []string{"a", "b", "c"}, Region: "r", Partitions: 6,
		Engine: emulator.DefaultConfig(), Resources: state.resources(), LogLevel: logrus.ErrorLevel,
	})
	state.system = system
	defer func() { state.system.Stop() }()
	if err != nil {
		return state.report, err
	}
	state.play(ctx)
	state.judge(ctx)
	return state.report, nil
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

// play lets callers call and things fail for the duration, then ends all faults and lets the
// callers finish.
func (r *run) play(ctx context.Context) {
	started := time.Now()
	var callers sync.WaitGroup
	finished := make(chan struct{})
	for number := range r.options.Callers {
		item := newCaller(r, number)
		callers.Go(func() { item.play(ctx) })
	}
	go func() {
		callers.Wait()
		close(finished)
	}()
	for time.Since(started) < r.options.Duration && ctx.Err() == nil {
		r.fault(ctx)
	}
	r.endFaults()
	r.stopped.Store(true)
	<-finished
	r.report.Seconds = time.Since(started).Seconds()
}

func (r *run) pause(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// fault causes one failure, waits, ends it, and rests.
func (r *run) fault(ctx context.Context) {
	kinds := []struct {
		name  string
		begin func(ctx context.Context)
	}{
		{"node_killed", r.replaceNode},
		{"engine_cut", r.engineFault(emulator.Faults{CutAfterTokens: 5})},
		{"engine_garbled", r.engineFault(emulator.Faults{GarbleAfterTokens: 5})},
		{"engine_ends_early", r.engineFault(emulator.Faults{EndAfterTokens: 5})},
		{"engine_without_end_mark", r.engineFault(emulator.Faults{NoEndMark: true})},
		{"resumption_refused", r.resumeFault(http.StatusInternalServerError)},
		{"resumption_garbled", r.resumeFault(http.StatusOK)},
		{"resumption_rejected", r.resumeFault(http.StatusBadRequest)},
		{"engine_refusing", r.engineFault(emulator.Faults{RefuseStatus: 503})},
		{"engine_slow", r.engineFault(emulator.Faults{Slowdown: 20})},
		{"releases_refused", r.engineFault(emulator.Faults{RefuseReleases: true})},
		{"answers_cut", r.applicationFault},
		{"store_down", r.storeFault(storeserver.Faults{Down: true})},
		{"store_answers_lost", r.storeFault(storeserver.Faults{LoseAnswers: true})},
		{"store_slow", r.storeFault(storeserver.Faults{DelayMillis: 1500})},
		{"configuration_changed", r.change},
	}
	kind := kinds[r.random.IntN(len(kinds))]
	r.options.Progress("%s", kind.name)
	r.mutex.Lock()
	r.report.Faults[kind.name]++
	r.mutex.Unlock()
	kind.begin(ctx)
	r.pause(ctx, shortestFault+time.Duration(r.random.Int64N(int64(longestFault))))
	r.endFaults()
	r.pause(ctx, restTime)
}

func (r *run) endFaults() {
	for _, engine := range r.system.Engines {
		engine.SetFaults(emulator.Faults{})
	}
	for _, application := range r.system.Applications {
		application.SetFaults(emulator.ApplicationFaults{})
	}
	r.system.Store.SetFaults(storeserver.Faults{})
}

// replaceNode kills a node and starts another one. It waits until each partition has its replicas
// again: a second loss before that could take a majority, which is not what is promised.
func (r *run) replaceNode(ctx context.Context) {
	r.mutex.Lock()
	r.next++
	victim := r.random.IntN(len(r.system.Nodes))
	zone := r.system.Nodes[victim].Settings().Zone
	err := r.system.Kill(victim)
	if err == nil {
		_, err = r.system.AddNode(fmt.Sprintf("node-%d", r.next), zone)
	}
	r.mutex.Unlock()
	if err != nil {
		r.note("replacing a node: %s", err)
		return
	}
	repairContext, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	for !r.repaired() && repairContext.Err() == nil {
		r.pause(repairContext, restTime/4)
	}
	if repairContext.Err() != nil && ctx.Err() == nil {
		r.note("the partitions were not repaired in time")
	}
}

// repaired reports whether every partition has a leader and three live voters.
func (r *run) repaired() bool {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	alive := make(map[string]bool)
	led := make(map[uint32][]string)
	for _, running := range r.system.Nodes {
		alive[running.Plane().Membership.View().Self.ReplicaID] = true
		for _, status := range running.Plane().Host.Statuses() {
			if status.IsLeader && len(status.Members.Learners) == 0 {
				led[status.Group] = status.Members.Voters
			}
		}
	}
	for _, placement := range r.system.Nodes[0].Plane().Partitions.Placements() {
		voters := led[placement.ID]
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

// leastForResumes is how many engines it takes so that one goes on with what another has cut and a third one refuses, while the
// breaker of a fourth may be open yet since the fault before. With three, calls ended with no engine left.
const leastForResumes = 4

// resumeFault lets one engine cut its answers, and another one answer with a failure's body when it is asked to go on.
func (r *run) resumeFault(status int) func(context.Context) {
	return func(context.Context) {
		if r.options.Engines < leastForResumes {
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
		r.change(ctx)
	}
}

// change publishes a new weight of a tenant that nobody uses; it may fail while the store does.
func (r *run) change(ctx context.Context) {
	weight := float64(1 + r.random.IntN(100))
	content, err := resource.Encode([]resource.Resource{{Kind: resource.KindTenant, Name: "guest", Tenant: &resource.Tenant{Weight: weight}}})
	if err != nil {
		r.note("encoding a change: %s", err)
		return
	}
	r.mutex.RLock()
	admin := r.system.Admin
	r.mutex.RUnlock()
	if _, err := admin.Apply(ctx, content, adminclient.Change{}); err == nil {
		r.report.Changes++
	}
}

func (r *run) note(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.report.Notes) < mostNotes {
		r.report.Notes = append(r.report.Notes, fmt.Sprintf(format, args...))
	}
}

// violate counts a broken promise and notes what it was.
func (r *run) violate(counter *int, format string, args ...any) {
	r.mutex.Lock()
	*counter++
	r.mutex.Unlock()
	r.note(format, args...)
}
