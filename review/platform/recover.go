package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"
)

// turnTry is one attempt at a turn.
type turnTry struct {
	at       time.Time
	previous string
	got      result
}

// runRecover restarts all engines of a service in place, one after the other: each says that it drains, serves on, ends, and starts
// again under its ID. Then one storage machine loses its disk, which is the final fault.
func runRecover(deployment *system, trouble bool, seen *record) ([]string, error) {
	engines, models, _, err := prepare(deployment, 5, 1)
	if err != nil {
		return nil, err
	}
	defer engines.close()
	turns := startTurns(deployment, 9, seen)
	time.Sleep(8 * time.Second)
	if trouble {
		if err := restartInPlace(engines, models, seen); err != nil {
			return nil, err
		}
	} else {
		time.Sleep(time.Duration(len(models)) * restartTime)
	}
	time.Sleep(2 * time.Second)
	deployment.store.put("op/config", configuration(2))
	victim := deployment.replicas[0]
	faultAt := time.Now()
	victim.kill()
	if err := os.RemoveAll(filepath.Join(victim.folder, "data")); err != nil {
		return nil, err
	}
	seen.add("final    %s loses its disk", victim.name)
	time.Sleep(time.Second)
	if err := victim.start(); err != nil {
		return nil, err
	}
	backAt := time.Now()
	seen.add("final    %s is back", victim.name)
	const recovery, measured = 12 * time.Second, 8 * time.Second
	time.Sleep(recovery + measured)
	tries := turns.stop()
	engines.writeRuns(seen)
	return checkRecover(tries, engines.log.all(), faultAt, backAt.Add(recovery), seen), nil
}

// restartTime is how long the restart of one engine takes: it serves on for drain_ms and a little longer, and is away for a moment.
const restartTime = 3500 * time.Millisecond

func restartInPlace(engines *fleet, models []*engine, seen *record) error {
	for _, one := range models {
		beganAt := time.Now()
		one.drain()
		seen.add("trouble  %s drains", one.id)
		time.Sleep(2500 * time.Millisecond)
		one.end(true)
		seen.add("trouble  %s has ended", one.id)
		time.Sleep(300 * time.Millisecond)
		started, err := engines.start(one.engineOptions, one.address())
		if err != nil {
			return err
		}
		seen.add("trouble  %s starts again, born %d", started.id, started.born)
		time.Sleep(time.Until(beganAt.Add(restartTime)))
	}
	return nil
}

// turnClients are clients that ask for turns, four in a line, until they are stopped.
type turnClients struct {
	over  atomic.Bool
	tasks sync.WaitGroup
	mutex sync.Mutex
	tries []turnTry
}

func startTurns(deployment *system, clients int, seen *record) *turnClients {
	started := &turnClients{}
	for client := range clients {
		started.tasks.Go(func() { started.run(deployment, client, seen) })
	}
	return started
}

func (c *turnClients) run(deployment *system, client int, seen *record) {
	previous := ""
	for turn := 0; !c.over.Load(); turn++ {
		gateway := deployment.gateways[(client+turn)%len(deployment.gateways)]
		one := turnTry{at: time.Now(), previous: previous, got: askForTurn(gateway, previous, []byte("and then"))}
		seen.addAt(one.at, "sent     %s turn to %s previous %q", one.got.id, gateway.name, previous)
		seen.add("answered %s status %d whole %v", one.got.id, one.got.status, one.got.whole)
		c.mutex.Lock()
		c.tries = append(c.tries, one)
		c.mutex.Unlock()
		if one.got.status == http.StatusOK && one.got.whole {
			previous = one.got.id
			if turn%4 == 3 {
				previous = ""
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// stop ends the clients and returns all their attempts.
func (c *turnClients) stop() []turnTry {
	c.over.Store(true)
	c.tasks.Wait()
	return c.tries
}

func askForTurn(gateway *process, previous string, input []byte) result {
	program := newID()[:8]
	attempt := call{
		method: http.MethodPost, path: chatPath + "4b", body: input, timeLimit: 4 * time.Second,
		header: map[string]string{
			headerProgram: program, headerSession: program, headerProgramEnd: "8000", headerBudget: "2304", headerUsage: "300,288", "Model": "m",
		},
	}
	if previous != "" {
		attempt.header[headerPrevious] = previous
	}
	return send(gateway.front, attempt)
}

// checkRecover compares the share of served requests before the final fault and after the recovery.
func checkRecover(tries []turnTry, runs []run, faultAt, recoveredAt time.Time, seen *record) []string {
	ran := make(map[string]bool)
	for _, one := range runs {
		ran[one.id] = true
	}
	var before, beforeServed, after, afterServed, turns, turnsRun int
	for _, one := range tries {
		served := one.got.status == http.StatusOK && one.got.whole
		switch {
		case one.at.Before(faultAt):
			before++
			if served {
				beforeServed++
			}
		case one.at.After(recoveredAt):
			after++
			if served {
				afterServed++
			}
			if one.previous != "" {
				turns++
				if ran[one.got.id] {
					turnsRun++
				}
			}
		}
	}
	seen.add("checked  before the final fault %d of %d served; after the recovery %d of %d; of the turns that go on %d of %d got to an engine",
		beforeServed, before, afterServed, after, turnsRun, turns)
	var broken []string
	if 4*beforeServed >= before && 4*afterServed < after {
		broken = append(broken, fmt.Sprintf("RECOVER: %d of %d requests served before the final fault, %d of %d after the recovery", beforeServed, before, afterServed, after))
	}
	if turns > 0 && turnsRun == 0 {
		broken = append(broken, fmt.Sprintf("LOST: none of %d turns that go on from a kept one got to an engine in the last seconds, though the engines are idle", turns))
	}
	return broken
}
