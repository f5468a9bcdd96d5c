package main

import (
	"fmt"
	"sync"
	"time"
)

// The services and routes of the small deployment.
const (
	modelService = "jiko-lm"
	pageService  = "kurasa-app"

	chatPath   = "/cuti940/"
	planPath   = "/pufi791/"
	cardPath   = "/pule252/"
	memberPath = "/puxa403/"

	retention = 60 * time.Second
)

// configuration returns the operator's configuration.
func configuration(version int) map[string]any {
	stream := func(name, prefix string, retained, resumable bool, priority int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": prefix, "type": "stream", "timeout_ms": 4000, "target_ms": 250, "priority": priority,
			"service": modelService, "max_attempts": 1, "retained": retained, "retention_s": retention.Seconds(), "sticky": true,
			"resumable": resumable, "gap_target_ms": 200,
		}
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			stream("recipe-chat", chatPath, true, false, 1),
			stream("pantry-plan", planPath, false, true, 0),
			map[string]any{
				"name": "recipe-card", "host": host, "path_prefix": cardPath, "type": "safe", "timeout_ms": 1200, "target_ms": 150, "priority": 2,
				"service": pageService, "max_attempts": 2,
			},
			map[string]any{
				"name": "member-page", "host": host, "path_prefix": memberPath, "type": "unsafe", "timeout_ms": 2000, "target_ms": 300, "priority": 2,
				"service": pageService, "max_attempts": 1,
			},
		},
		"services": []any{
			map[string]any{
				"name": modelService, "health_path": "/healthz", "max_conns": 170, "protocol": "h1", "tls": false,
				"engine": map[string]any{"slots": 12, "kv_capacity": 139361, "kv_bytes": 131072, "link_mbps": 1100000.0, "chunk_tokens": 9},
			},
			map[string]any{"name": pageService, "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// fleet holds the engines of one case.
type fleet struct {
	store   *store
	log     *runLog
	mutex   sync.Mutex
	engines []*engine
}

// modelEngine returns the options of a model engine.
func modelEngine(number int) engineOptions {
	return engineOptions{
		id: fmt.Sprintf("i-lm%02d", number), service: modelService, zone: zones[number%len(zones)], version: "v1",
		slots: 12, queue: 36, interval: 60 * time.Millisecond, stream: true,
	}
}

// pageEngine returns the options of a page engine.
func pageEngine(number int) engineOptions {
	return engineOptions{
		id: fmt.Sprintf("i-app%02d", number), service: pageService, zone: zones[number%len(zones)], version: "v1",
		slots: 6, queue: 6, work: 70 * time.Millisecond,
	}
}

func (f *fleet) start(options engineOptions, address string) (*engine, error) {
	started, err := startEngine(options, address, f.store, f.log)
	if err != nil {
		return nil, err
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.engines = append(f.engines, started)
	return started, nil
}

func (f *fleet) close() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, one := range f.engines {
		one.end(false)
	}
}

// prepare writes the configuration, starts the engines and then the system's processes.
func prepare(deployment *system, models, pages int) (*fleet, []*engine, []*engine, error) {
	deployment.store.put("op/config", configuration(1))
	started := &fleet{store: deployment.store, log: &runLog{}}
	var modelEngines, pageEngines []*engine
	for number := range models {
		one, err := started.start(modelEngine(number+1), "")
		if err != nil {
			return started, nil, nil, err
		}
		modelEngines = append(modelEngines, one)
	}
	for number := range pages {
		one, err := started.start(pageEngine(number+1), "")
		if err != nil {
			return started, nil, nil, err
		}
		pageEngines = append(pageEngines, one)
	}
	return started, modelEngines, pageEngines, deployment.startAll()
}

// writeRuns records all runs.
func (f *fleet) writeRuns(seen *record) {
	for _, one := range f.log.all() {
		seen.addAt(one.at, "run      %s at %s (%s, %s) path %s events %d-%d", one.id, one.engine, one.service, one.version, one.path, one.first, one.last)
	}
}
