package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	gatewayRole = "gateway"
	replicaRole = "replica"
	// edgeMemoryMB and storageMemoryMB are the limits of a process.
	edgeMemoryMB    = 244
	storageMemoryMB = 254
	// restartDelay is the short delay after which a process that has ended is started again.
	restartDelay = 500 * time.Millisecond
	// memoryInterval is how often the memory of processes is looked at.
	memoryInterval = 10 * time.Millisecond
	readyInterval  = time.Second
)

// process is a gateway or replica of the system. The platform's part is played here: settings, starts, limits and readiness.
type process struct {
	name, role, zone, host string
	front, readiness       string
	control                string
	folder, settings       string
	binary                 string
	record                 *record
	log                    *os.File
	memoryMB               int

	mutex   sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	started int
	// planned is set while the process is down because of a case's own signal.
	planned bool
	// ownEnds counts ends that no signal of a case caused; memoryKills counts those of them at the limit of memory, the last
	// one of which was in start number memoryKilled.
	ownEnds, memoryKills int
	memoryKilled         int
	peakMB               int
	closing              bool
	// missed counts the readiness probes in a row without a 200; in is whether the process gets new connections.
	missed int
	in     bool
}

// fleet is a small deployment with its platform.
type fleet struct {
	record    *record
	folder    string
	network   string
	hosts     int
	store     *store
	engines   []*engine
	processes []*process
	bootstrap bool
	done      chan struct{}
	version   int
	ledger    *ledger
}

// newFleet starts the platform's store in a temporary folder and a loopback network of its own.
func newFleet(recorded *record) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	created := &fleet{
		record: recorded, folder: folder, bootstrap: true, done: make(chan struct{}), ledger: newLedger(),
		network: fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250)),
	}
	created.store, err = startStore(created.host(), recorded)
	return created, err
}

// host returns a loopback address that nothing else of this fleet uses.
func (f *fleet) host() string {
	f.hosts++
	return fmt.Sprintf("%s.%d", f.network, f.hosts)
}

// freePort returns an address of a host that is free now. Hosts are not shared, so that it stays free.
func freePort(host string) (string, error) {
	listener, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// addEngine starts an engine.
func (f *fleet) addEngine(added *engine) error {
	added.store, added.record, added.ledger = f.store, f.record, f.ledger
	f.engines = append(f.engines, added)
	return added.start(f.host())
}

// addProcess prepares a process, which startAll starts.
func (f *fleet) addProcess(binary, role, zone string, number int) error {
	added := &process{role: role, zone: zone, host: f.host(), binary: binary, record: f.record, memoryMB: edgeMemoryMB}
	added.name = fmt.Sprintf("edge-%s-%d", zone, number)
	if role == replicaRole {
		added.name, added.memoryMB = fmt.Sprintf("storage-%s-%d", zone, number), storageMemoryMB
	}
	added.folder = filepath.Join(f.folder, added.name)
	added.settings = filepath.Join(f.folder, added.name+".json")
	var err error
	if role == replicaRole {
		added.control, err = freePort(added.host)
	} else {
		added.front, err = freePort(added.host)
		if err == nil {
			added.readiness, err = freePort(added.host)
		}
	}
	if err != nil {
		return err
	}
	added.log, err = os.Create(filepath.Join(f.folder, added.name+".log"))
	f.processes = append(f.processes, added)
	return err
}

// writeSettings writes the settings of a process as they are now.
func (f *fleet) writeSettings(target *process) error {
	var seeds []string
	for _, other := range f.processes {
		if other.role == replicaRole && len(seeds) < 3 {
			seeds = append(seeds, other.control)
		}
	}
	settings := map[string]any{
		"node_name": target.name, "role": target.role, "ip": target.host, "zone": target.zone, "region": "midlands",
		"port_range": []int{7380, 7395}, "seeds": seeds, "bootstrap": f.bootstrap, "discovery": "platform", "entry": "vip",
		"heartbeat_ms":    heartbeat.Milliseconds(),
		"fault_tolerance": map[string]any{"machines": 1, "zones": 0, "regions": 0},
		"contracts":       []string{"base", "drain", "config", "cost", "recover", "agent", "stream", "engine", "platform"},
		"bounds": map[string]any{
			"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4.3, "drain_ms": 2000, "grace_s": 8,
			"loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_skew_ms": 5000, "recovery_s": 12,
			"pass_ms": 120, "retry_after_s": 0, "finish_s": 10, "settle_ms": 1000,
		},
		"platform": map[string]any{
			"address": f.store.address, "form": "kv", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576, "ttl_min_ms": 1000,
		},
	}
	if target.role == replicaRole {
		settings["machine_class"], settings["serves"], settings["in_tolerance"] = "storage", []string{"storage", "control"}, true
		settings["data_dir"] = target.folder
		settings["listen"] = map[string]string{"control": target.control}
		settings["limits"] = map[string]any{"cpu_share": 0.8, "cores": 1, "memory_mb": storageMemoryMB, "max_fds": 8200, "link_mbps": 600.0, "disk_mb": 350}
	} else {
		settings["machine_class"], settings["serves"], settings["in_tolerance"] = "edge", []string{"edge"}, false
		settings["listen"] = map[string]string{"front": target.front, "readiness": target.readiness}
		settings["limits"] = map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": edgeMemoryMB, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0}
	}
	encoded, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	return os.WriteFile(target.settings, encoded, 0o600)
}

// startAll starts all processes and what the platform does for them. From then on the settings say that it is not the first start.
func (f *fleet) startAll() error {
	for _, target := range f.processes {
		if err := f.start(target); err != nil {
			return err
		}
	}
	f.bootstrap = false
	go f.probeReadiness()
	go f.watchMemory()
	return nil
}

// start starts a process that is down, with the command of the deploy file.
func (f *fleet) start(target *process) error {
	if err := f.writeSettings(target); err != nil {
		return err
	}
	command := exec.Command(target.binary, target.role)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.folder, "MOUNTSTILE_CONFIG=" + target.settings}
	command.Stdout, command.Stderr = target.log, target.log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	target.mutex.Lock()
	defer target.mutex.Unlock()
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	target.command, target.exited, target.planned = command, exited, false
	target.started++
	f.record.write("%s: started, pid %d", target.name, command.Process.Pid)
	go f.await(target, command, exited)
	return nil
}

// await waits for the end of a process, and starts it again if no signal of the case ended it.
func (f *fleet) await(target *process, command *exec.Cmd, exited chan struct{}) {
	err := command.Wait()
	target.mutex.Lock()
	own := !target.planned && !target.closing
	if own {
		target.ownEnds++
	}
	target.mutex.Unlock()
	close(exited)
	if !own {
		return
	}
	f.record.write("%s: ended by itself (%v)", target.name, err)
	select {
	case <-time.After(restartDelay):
	case <-f.done:
		return
	}
	if err := f.start(target); err != nil {
		f.record.write("%s: can't be started: %v", target.name, err)
	}
}

// kill ends processes at the same moment and waits until they are gone.
func (f *fleet) kill(targets []*process) {
	for _, target := range targets {
		target.mutex.Lock()
		target.planned = true
		_ = target.command.Process.Kill()
		target.mutex.Unlock()
		f.record.write("%s: SIGKILL", target.name)
	}
	for _, target := range targets {
		<-target.exited
	}
}

// withRole returns the processes of a role.
func (f *fleet) withRole(role string) []*process {
	var found []*process
	for _, candidate := range f.processes {
		if candidate.role == role {
			found = append(found, candidate)
		}
	}
	return found
}

// close ends everything that the fleet started. Logs go with the folder unless keep is set.
func (f *fleet) close(keep bool) {
	close(f.done)
	for _, target := range f.processes {
		target.mutex.Lock()
		target.closing = true
		if target.command != nil {
			_ = target.command.Process.Kill()
		}
		exited := target.exited
		target.mutex.Unlock()
		if exited != nil {
			<-exited
		}
		_ = target.log.Close()
	}
	for _, running := range f.engines {
		running.stop()
	}
	f.store.close()
	if keep {
		fmt.Println("logs:", f.folder)
		return
	}
	_ = os.RemoveAll(f.folder)
}

// probeReadiness asks each gateway every second whether it is ready. One that misses twice gets no new connections.
func (f *fleet) probeReadiness() {
	client := &http.Client{Timeout: readyInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		for _, target := range f.withRole(gatewayRole) {
			go target.probe(client)
		}
		select {
		case <-time.After(readyInterval):
		case <-f.done:
			return
		}
	}
}

func (p *process) probe(client *http.Client) {
	response, err := client.Get("http://" + p.readiness + "/readyz")
	ready := err == nil && response.StatusCode == http.StatusOK
	if err == nil {
		_ = response.Body.Close()
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	before := p.in
	p.missed++
	if ready {
		p.missed, p.in = 0, true
	}
	if p.missed >= 2 {
		p.in = false
	}
	if p.in != before {
		p.record.write("%s: gets new connections: %t", p.name, p.in)
	}
}

// ready returns how many gateways get new connections because they say that they are ready.
func (f *fleet) ready() int {
	count := 0
	for _, candidate := range f.withRole(gatewayRole) {
		candidate.mutex.Lock()
		if candidate.in {
			count++
		}
		candidate.mutex.Unlock()
	}
	return count
}

// entry returns the gateway for a client's new connection: one that is in, or any if none is. Each zone has one gateway.
func (f *fleet) entry() *process {
	all := f.withRole(gatewayRole)
	var in []*process
	for _, candidate := range all {
		candidate.mutex.Lock()
		if candidate.in {
			in = append(in, candidate)
		}
		candidate.mutex.Unlock()
	}
	if len(in) == 0 {
		in = all
	}
	return in[rand.IntN(len(in))]
}

// watchMemory kills processes above their limit of memory, as the platform does.
func (f *fleet) watchMemory() {
	for {
		for _, target := range f.processes {
			target.checkMemory()
		}
		select {
		case <-time.After(memoryInterval):
		case <-f.done:
			return
		}
	}
}

func (p *process) checkMemory() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	select {
	case <-p.exited:
		return
	default:
	}
	usedMB := anonymousMB(p.command.Process.Pid)
	p.peakMB = max(p.peakMB, usedMB)
	if usedMB <= p.memoryMB || p.planned || p.memoryKilled == p.started {
		return
	}
	p.memoryKilled = p.started
	p.memoryKills++
	p.record.write("%s: %d MB of memory, over its limit of %d MB: killed by the platform", p.name, usedMB, p.memoryMB)
	_ = p.command.Process.Kill()
}

// anonymousMB returns the memory of a process without the pages of its files; 0 if it is gone.
func anonymousMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if rest, found := strings.CutPrefix(line, "RssAnon:"); found {
			kilobytes, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			return kilobytes >> 10
		}
	}
	return 0
}

// configure publishes the next version of the operator's configuration.
func (f *fleet) configure() {
	f.version++
	engineTerms := map[string]any{"slots": 12, "kv_capacity": 127559, "kv_bytes": 131072, "chunk_tokens": tokensPerEvent, "most": 12, "models": []any{map[string]string{"name": "m"}}}
	route := func(name, prefix, kind, service string, timeout, target, priority int) map[string]any {
		return map[string]any{
			"name": name, "host": callerHost, "path_prefix": prefix, "type": kind, "timeout_ms": timeout, "target_ms": target,
			"priority": priority, "service": service, "max_attempts": 1,
		}
	}
	dialogue := route("hint-dialogue", "/dialogue/", "stream", modelService, 4000, 200, 1)
	dialogue["retained"], dialogue["retention_s"], dialogue["sticky"], dialogue["resumable"], dialogue["gap_target_ms"] = true, 60.0, true, false, 200
	essay := route("essay-coach", "/essay/", "stream", modelService, 4000, 200, 0)
	essay["retained"], essay["retention_s"], essay["sticky"], essay["resumable"], essay["gap_target_ms"] = false, 60.0, true, true, 200
	revision := f.store.put("op/config", map[string]any{
		"version": f.version,
		"routes": []any{
			dialogue, essay,
			route("gradebook-sync", "/gradebook/", "safe", plainService, 1200, 150, 2),
			route("task-fetch", "/task/", "unsafe", plainService, 3000, 500, 2),
			route("progress-ping", "/progress/", "unsafe", plainService, 2000, 300, 2),
		},
		"services": []any{
			map[string]any{"name": modelService, "health_path": "/healthz", "max_conns": 160, "protocol": "h1", "tls": false, "engine": engineTerms},
			map[string]any{"name": plainService, "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	f.record.write("operator: configuration %d acknowledged at revision %d", f.version, revision)
}
