package main

import (
	"fmt"
	"math/rand/v2"
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

// turnClients are clients that run programs of up to four turns, one after the other, until they are stopped.
type turnClients struct {
	over  atomic.Bool
	tasks sync.WaitGroup
	mutex sync.Mutex
	tries []turnTry
}

const (
	programTurns = 4
	// turnTries is how often a turn is sent: a failed one is sent again at most twice.
	turnTries = 3
)

func startTurns(deployment *system, clients int, seen *record) *turnClients {
	started := &turnClients{}
	for client := range clients {
		started.tasks.Go(func() { started.run(deployment, client, seen) })
	}
	return started
}

// run runs programs. Every other one goes on from the last whole turn of the one before.
func (c *turnClients) run(deployment *system, client int, seen *record) {
	last := ""
	for number := 0; !c.over.Load(); number++ {
		previous := ""
		if number%2 == 1 {
			previous = last
		}
		program := newID()[:8]
		for turn := 0; turn < programTurns && !c.over.Load(); turn++ {
			got := c.askTurn(deployment, client+number+turn, program, previous, seen)
			if got.status != http.StatusOK || !got.whole {
				break
			}
			previous, last = got.id, got.id
			time.Sleep(20*time.Millisecond + rand.N(60*time.Millisecond))
		}
	}
}

// askTurn asks for one turn, again after a failure.
func (c *turnClients) askTurn(deployment *system, number int, program, previous string, seen *record) result {
	var got result
	for try := range turnTries {
		gateway := deployment.gateways[(number+try)%len(deployment.gateways)]
		one := turnTry{at: time.Now(), previous: previous}
		got = askForTurn(gateway, program, previous, []byte("and then"))
		one.got = got
		seen.addAt(one.at, "sent     %s turn of program %s to %s previous %q", got.id, program, gateway.name, previous)
		seen.add("answered %s status %d whole %v", got.id, got.status, got.whole)
		c.mutex.Lock()
		c.tries = append(c.tries, one)
		c.mutex.Unlock()
		if got.status == http.StatusOK && got.whole || got.status == http.StatusPaymentRequired || got.status == http.StatusNotFound || c.over.Load() {
			return got
		}
		time.Sleep(100*time.Millisecond + rand.N(300*time.Millisecond))
	}
	return got
}

// stop ends the clients and returns all their attempts.
func (c *turnClients) stop() []turnTry {
	c.over.Store(true)
	c.tasks.Wait()
	return c.tries
}

func askForTurn(gateway *process, program, previous string, input []byte) result {
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
	var before, beforeServed, after, afterServed, first, afterRun int
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
			if one.previous == "" {
				first++
			}
			if ran[one.got.id] {
				afterRun++
			}
		}
	}
	seen.add("checked  before the final fault %d of %d served; after the recovery %d of %d (%d got to an engine, %d were first turns)",
		beforeServed, before, afterServed, after, afterRun, first)
	if 4*beforeServed >= before && 4*afterServed < after {
		return []string{fmt.Sprintf("RECOVER: %d of %d requests served before the final fault, %d of %d after the recovery", beforeServed, before, afterServed, after)}
	}
	return nil
}
