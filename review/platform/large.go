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

const (
	// largeBytes is the size of the inputs of large turns; the operator's limit is 4,194,304.
	largeBytes = 1_000_000
	// largeClients clients ask for largeTurns large turns each, at the start.
	largeClients, largeTurns = 6, 8
	// largeTime is how long they may take, leastLarge how many must be served at least.
	largeTime  = 30 * time.Second
	leastLarge = 40
)

// wipe kills a replica, removes its disk and starts it again.
func wipe(victim *process, away time.Duration, seen *record) error {
	victim.kill()
	if err := os.RemoveAll(filepath.Join(victim.folder, "data")); err != nil {
		return err
	}
	seen.add("trouble  %s loses its disk", victim.name)
	time.Sleep(away)
	seen.add("trouble  %s is back", victim.name)
	return victim.start()
}

// runLarge stores turns with large inputs, and then has two storage machines lose their disks, one after the other.
func runLarge(deployment *system, trouble bool, seen *record) ([]string, error) {
	engines, _, _, err := prepare(deployment, 5, 1)
	if err != nil {
		return nil, err
	}
	defer engines.close()
	small := startTurns(deployment, 6, seen)
	if err := storeLargeTurns(deployment, seen); err != nil {
		return nil, err
	}
	const away, between = time.Second, 12 * time.Second
	if trouble {
		if err := wipe(deployment.replicas[0], away, seen); err != nil {
			return nil, err
		}
	}
	time.Sleep(between)
	deployment.store.put("op/config", configuration(2))
	faultAt := time.Now()
	if trouble {
		if err := wipe(deployment.replicas[1], away, seen); err != nil {
			return nil, err
		}
	}
	recoveredAt := time.Now().Add(12 * time.Second)
	time.Sleep(20 * time.Second)
	tries := small.stop()
	engines.writeRuns(seen)
	return checkRecover(tries, engines.log.all(), faultAt, recoveredAt, seen), nil
}

// errFewServed means that fewer than leastLarge turns were served.
type errFewServed struct{ turns int64 }

func (e *errFewServed) Error() string { return fmt.Sprintf("only %d large turns were served", e.turns) }

// storeLargeTurns asks for the large turns and waits until they are answered.
func storeLargeTurns(deployment *system, seen *record) error {
	text := make([]byte, largeBytes)
	for index := range text {
		text[index] = 'a' + byte(index%26)
	}
	var served atomic.Int64
	until := time.Now().Add(largeTime)
	var tasks sync.WaitGroup
	for client := range largeClients {
		tasks.Go(func() {
			for turn, left := 0, largeTurns; left > 0 && time.Now().Before(until); turn++ {
				gateway := deployment.gateways[(client+turn)%len(deployment.gateways)]
				sentAt := time.Now()
				got := askForTurn(gateway, newID()[:8], "", text)
				seen.addAt(sentAt, "sent     %s turn with an input of %d bytes to %s", got.id, largeBytes, gateway.name)
				seen.add("answered %s turn with an input of %d bytes at %s: status %d whole %v", got.id, largeBytes, gateway.name, got.status, got.whole)
				if got.status == http.StatusOK && got.whole {
					served.Add(1)
					left--
				}
			}
		})
	}
	tasks.Wait()
	if served.Load() < leastLarge {
		return &errFewServed{turns: served.Load()}
	}
	return nil
}
