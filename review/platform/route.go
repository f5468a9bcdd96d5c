package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// runRoute writes the entry of a page engine as another writer: its service is that of the models, and its state none that the pages name.
func runRoute(deployment *system, trouble bool, seen *record) ([]string, error) {
	engines, _, pages, err := prepare(deployment, 4, 3)
	if err != nil {
		return nil, err
	}
	defer engines.close()
	stop := time.Now().Add(8 * time.Second)
	var tasks sync.WaitGroup
	for client := range 30 {
		tasks.Go(func() {
			time.Sleep(time.Duration(client) * 60 * time.Millisecond)
			for turn := 0; time.Now().Before(stop); turn++ {
				askForStream(deployment, client+turn, seen)
			}
		})
	}
	time.Sleep(3 * time.Second)
	if trouble {
		victim := pages[0]
		forged := entry{
			Service: modelService, Address: victim.address(), Zone: victim.zone, Version: victim.version, Slots: 12, State: "unknown", Born: victim.born,
		}
		deployment.store.put(victim.key(), forged)
		seen.add("trouble  another writer writes %s: service %s, state %q", victim.key(), forged.Service, forged.State)
	}
	tasks.Wait()
	engines.writeRuns(seen)
	var broken []string
	for _, one := range engines.log.all() {
		if one.service == pageService && strings.HasPrefix(one.path, planPath) {
			broken = append(broken, fmt.Sprintf("ROUTE: request %s on %s ran at %s of service %s", one.id, one.path, one.engine, one.service))
		}
	}
	return broken, nil
}
