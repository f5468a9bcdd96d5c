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
	"sync"
	"syscall"
	"time"
)

// zones are those of the small deployment whose settings the processes get.
var zones = []string{"dar-kariakoo", "dar-msasani", "dar-ubungo"}

// program is the program of the deploy file, relative to the root of the repository.
const program = "target/mountstile-platform"

// process is a process of the system.
type process struct {
	name, role, folder string
	settings           map[string]any
	front, readiness   string
	command            *exec.Cmd
	output             *os.File
}

// system is a small deployment: gateways and replicas as processes of their own, and the store.
type system struct {
	folder    string
	store     *store
	gateways  []*process
	replicas  []*process
	processes []*process
}

// Ports are drawn below the range from which the kernel takes those of outgoing connections, so that none of these takes one before
// its process listens.
const firstPort, ports = 12_000, 18_000

// given holds the ports that freeAddress has returned: they may not be in use yet.
var given sync.Map

// freeAddress returns a loopback address with a free port.
func freeAddress() (string, int, error) {
	var last error
	for range 100 {
		port := firstPort + rand.IntN(ports)
		if _, taken := given.LoadOrStore(port, true); taken {
			continue
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			last = err
			continue
		}
		return address, port, listener.Close()
	}
	return "", 0, last
}

// newSystem prepares a store and the settings of all processes.
func newSystem(gateways, replicas int) (*system, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	created := &system{folder: folder}
	if created.store, err = newStore(); err != nil {
		return nil, err
	}
	var seeds []string
	controls := make([]string, replicas)
	for index := range controls {
		if controls[index], _, err = freeAddress(); err != nil {
			return nil, err
		}
		if len(seeds) < 3 {
			seeds = append(seeds, controls[index])
		}
	}
	for index := range replicas {
		one := created.newProcess(fmt.Sprintf("storage-%d", index+1), "replica", zones[index%len(zones)], seeds)
		one.settings["listen"] = map[string]any{"control": controls[index]}
		one.settings["data_dir"] = filepath.Join(one.folder, "data")
		one.settings["limits"] = map[string]any{"cpu_share": 0.8, "cores": 1, "memory_mb": 304, "max_fds": 8200, "link_mbps": 600.0, "disk_mb": 380}
		created.replicas = append(created.replicas, one)
	}
	for index := range gateways {
		one := created.newProcess(fmt.Sprintf("edge-%d", index+1), "gateway", zones[index%len(zones)], seeds)
		if one.front, _, err = freeAddress(); err != nil {
			return nil, err
		}
		if one.readiness, _, err = freeAddress(); err != nil {
			return nil, err
		}
		_, port, err := freeAddress()
		if err != nil {
			return nil, err
		}
		one.settings["port_range"] = []int{port, port}
		one.settings["listen"] = map[string]any{"front": one.front, "readiness": one.readiness}
		one.settings["limits"] = map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0}
		created.gateways = append(created.gateways, one)
	}
	created.processes = append(append(created.processes, created.replicas...), created.gateways...)
	return created, nil
}

func (s *system) newProcess(name, role, zone string, seeds []string) *process {
	return &process{name: name, role: role, folder: filepath.Join(s.folder, name), settings: map[string]any{
		"node_name": name, "role": role, "zone": zone, "region": "dar", "ip": "127.0.0.1", "seeds": seeds, "bootstrap": true,
		"in_tolerance": role == "replica", "discovery": "platform", "entry": "vip", "heartbeat_ms": 1200,
		"fault_tolerance": map[string]any{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4.4, "drain_ms": 2000, "grace_s": 8,
			"loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_skew_ms": 5000, "recovery_s": 12, "pass_ms": 120,
			"retry_after_s": 0, "finish_s": 10, "settle_ms": 1000,
		},
		"platform": map[string]any{
			"address": s.store.address(), "form": "kv", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576, "ttl_min_ms": 1000,
		},
	}}
}

// start starts a process with its current settings.
func (p *process) start() error {
	if err := os.MkdirAll(p.folder, 0o700); err != nil {
		return err
	}
	encoded, err := json.MarshalIndent(p.settings, "", "  ")
	if err != nil {
		return err
	}
	settingsPath := filepath.Join(p.folder, "settings.json")
	if err := os.WriteFile(settingsPath, encoded, 0o600); err != nil {
		return err
	}
	p.output, err = os.OpenFile(filepath.Join(p.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p.command = exec.Command(program, p.role)
	p.command.Env = []string{"MOUNTSTILE_CONFIG=" + settingsPath, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C"}
	p.command.Stdout, p.command.Stderr = p.output, p.output
	// The process ends with this one, however this one ends.
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	err = p.command.Start()
	p.settings["bootstrap"] = false
	return err
}

// kill ends a process at once.
func (p *process) kill() {
	if p.command == nil || p.command.Process == nil {
		return
	}
	_ = p.command.Process.Kill()
	_ = p.command.Wait()
	p.command = nil
	_ = p.output.Close()
}

// startAll starts all processes and waits until all gateways are ready.
func (s *system) startAll() error {
	for _, one := range s.processes {
		if err := one.start(); err != nil {
			return err
		}
	}
	return s.awaitReady(30 * time.Second)
}

// errNotReady means that a process was not ready in time.
type errNotReady struct {
	process string
	limit   time.Duration
}

func (e *errNotReady) Error() string {
	return fmt.Sprintf("%s isn't ready after %s", e.process, e.limit)
}

func (s *system) awaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, gateway := range s.gateways {
		for !gateway.ready() {
			if time.Now().After(deadline) {
				return &errNotReady{process: gateway.name, limit: limit}
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (p *process) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + p.readiness + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// close ends all processes. Their logs are removed unless REVIEW_KEEP is set.
func (s *system) close() {
	for _, one := range s.processes {
		one.kill()
	}
	if os.Getenv("REVIEW_KEEP") != "" {
		fmt.Fprintln(os.Stderr, "kept", s.folder)
		return
	}
	_ = os.RemoveAll(s.folder)
}
