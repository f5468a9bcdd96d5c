package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// runTwice sends more unsafe requests than the engines take, so that they refuse some. For five seconds, faulty engines send a refusal
// once more, late: it arrives in the place of the answer due next on that connection.
func runTwice(deployment *system, trouble bool, seen *record) ([]string, error) {
	engines, _, pages, err := prepare(deployment, 1, 5)
	if err != nil {
		return nil, err
	}
	defer engines.close()
	const (
		clients = 150
		before  = 3 * time.Second
		during  = 5 * time.Second
		after   = 2 * time.Second
	)
	var mutex sync.Mutex
	results := make(map[string]result)
	stop := time.Now().Add(before + during + after)
	var tasks sync.WaitGroup
	for client := range clients {
		tasks.Go(func() {
			gateway := deployment.gateways[client%len(deployment.gateways)]
			for time.Now().Before(stop) {
				sentAt := time.Now()
				got := send(gateway.front, call{method: http.MethodPost, path: memberPath + "2f", body: []byte("page"), timeLimit: 2 * time.Second})
				seen.addAt(sentAt, "sent     %s unsafe to %s", got.id, gateway.name)
				seen.add("answered %s status %d", got.id, got.status)
				mutex.Lock()
				results[got.id] = got
				mutex.Unlock()
				if got.status != http.StatusOK {
					time.Sleep(50 * time.Millisecond)
				}
			}
		})
	}
	time.Sleep(before)
	if trouble {
		faulty := pages[:int(surplusEngines*float64(len(pages)))]
		for _, one := range faulty {
			one.setFaulty(true)
		}
		seen.add("trouble  %d of %d engines send up to %.0f%% surplus answers", len(faulty), len(pages), 100*surplusAnswers)
		time.Sleep(during)
		for _, one := range faulty {
			one.setFaulty(false)
			seen.add("trouble  %s gave %d answers and %d surplus ones", one.id, one.answers, one.surplus)
		}
	}
	tasks.Wait()
	engines.writeRuns(seen)
	return checkTwice(engines.log.all(), results), nil
}

// checkTwice returns the unsafe requests that ran more than once, and those that were refused though they ran.
func checkTwice(runs []run, results map[string]result) []string {
	var broken []string
	ranAt := make(map[string][]string)
	for _, one := range runs {
		ranAt[one.id] = append(ranAt[one.id], one.engine)
	}
	for id, at := range ranAt {
		status := results[id].status
		if len(at) > 1 {
			broken = append(broken, fmt.Sprintf("TWICE: unsafe request %s ran at %v, answered %d", id, at, status))
		}
		if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
			broken = append(broken, fmt.Sprintf("REFUSED: unsafe request %s ran at %v, answered %d", id, at, status))
		}
	}
	return broken
}
