package main

import (
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"
)

// largeBytes is the size of the inputs of the large turns, within the operator's limit of 4,194,304.
const largeBytes = 3_500_000

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

// runLarge stores turns with large inputs, and then has two storage machines lose their disks, one long after the other.
func runLarge(deployment *system, trouble bool, seen *record) ([]string, error) {
	engines, _, _, err := prepare(deployment, 5, 1)
	if err != nil {
		return nil, err
	}
	defer engines.close()
	text := make([]byte, largeBytes)
	for index := range text {
		text[index] = 'a' + byte(index%26)
	}
	var mutex sync.Mutex
	var tries []turnTry
	var over atomic.Bool
	var tasks sync.WaitGroup
	for client := range 6 {
		tasks.Go(func() {
			previous := ""
			for turn := 0; !over.Load(); turn++ {
				gateway := deployment.gateways[(client+turn)%len(deployment.gateways)]
				one := turnTry{at: time.Now(), previous: previous, got: askForTurn(gateway, previous)}
				seen.addAt(one.at, "sent     %s turn to %s previous %q", one.got.id, gateway.name, previous)
				seen.add("answered %s status %d whole %v", one.got.id, one.got.status, one.got.whole)
				mutex.Lock()
				tries = append(tries, one)
				mutex.Unlock()
				if one.got.status == http.StatusOK && one.got.whole {
					previous = one.got.id
				}
				if turn%4 == 3 && one.got.status == http.StatusOK {
					previous = ""
				}
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	time.Sleep(2 * time.Second)
	for number := range 40 {
		got := send(deployment.gateways[number%3].front, call{
			method: http.MethodPost, path: chatPath + "4b", body: text, timeLimit: 4 * time.Second,
			header: map[string]string{headerProgram: newID()[:8], headerSession: "s", headerProgramEnd: "8000", headerBudget: "2304", headerUsage: "300,288", "Model": "m"},
		})
		seen.add("answered %s large turn status %d whole %v err %v", got.id, got.status, got.whole, got.err)
		time.Sleep(50 * time.Millisecond)
	}
	if trouble {
		if err := wipe(deployment.replicas[0], time.Second, seen); err != nil {
			return nil, err
		}
	}
	time.Sleep(10 * time.Second)
	faultAt := time.Now()
	if trouble {
		if err := wipe(deployment.replicas[1], time.Second, seen); err != nil {
			return nil, err
		}
	}
	backAt := time.Now()
	time.Sleep(20 * time.Second)
	over.Store(true)
	tasks.Wait()
	return checkRecover(tries, engines.log.all(), faultAt, backAt.Add(12*time.Second), seen), nil
}
