package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// streamCall is a stream that a client asks for and takes up after an interruption.
type streamCall struct {
	attempts []result
	versions []string
}

// runOrder ends two of 14 engines twice while the store is down. They start again under their IDs, with another version of their
// software.
func runOrder(deployment *system, trouble bool, seen *record) ([]string, error) {
	engines, models, _, err := prepare(deployment, 14, 1)
	if err != nil {
		return nil, err
	}
	defer engines.close()
	const (
		clients = 96
		length  = 13 * time.Second
	)
	stop := time.Now().Add(length)
	var mutex sync.Mutex
	var streams []streamCall
	var tasks sync.WaitGroup
	for client := range clients {
		tasks.Go(func() {
			time.Sleep(rand.N(time.Second))
			for turn := 0; time.Now().Before(stop); turn++ {
				one := askForStream(deployment, client+turn, seen)
				mutex.Lock()
				streams = append(streams, one)
				mutex.Unlock()
				time.Sleep(20*time.Millisecond + rand.N(200*time.Millisecond))
			}
		})
	}
	if trouble {
		upgradeInOutage(deployment, engines, models[:2], seen)
	}
	tasks.Wait()
	engines.writeRuns(seen)
	return checkOrder(streams), nil
}

// upgradeInOutage takes the store down for 4.5 s. Meanwhile engines crash, are back 0.3 s later with other software, and crash once
// more.
func upgradeInOutage(deployment *system, engines *fleet, victims []*engine, seen *record) {
	time.Sleep(4 * time.Second)
	seen.add("trouble  the store is down")
	deployment.store.setDown(true)
	downAt := time.Now()
	current := victims
	for _, endAt := range []time.Duration{500 * time.Millisecond, 4 * time.Second} {
		time.Sleep(time.Until(downAt.Add(endAt)))
		current = restartWithOtherSoftware(engines, current, seen)
	}
	time.Sleep(time.Until(downAt.Add(4500 * time.Millisecond)))
	deployment.store.setDown(false)
	seen.add("trouble  the store is back")
	for _, one := range current {
		one.beat()
	}
}

func restartWithOtherSoftware(engines *fleet, victims []*engine, seen *record) []*engine {
	for _, one := range victims {
		one.end(false)
		seen.add("trouble  %s (%s) crashes", one.id, one.version)
	}
	time.Sleep(300 * time.Millisecond)
	var started []*engine
	for _, one := range victims {
		options := one.engineOptions
		options.version = "v2"
		next, err := engines.start(options, one.address())
		if err != nil {
			seen.add("trouble  %s can't start again: %s", one.id, err)
			continue
		}
		started = append(started, next)
		seen.add("trouble  %s starts again with software %s", next.id, next.version)
	}
	return started
}

// askForStream asks for a stream and takes it up once after an interruption, through the next gateway.
func askForStream(deployment *system, number int, seen *record) streamCall {
	program := newID()[:8]
	attempt := call{
		method: http.MethodPost, path: planPath + "2f", body: []byte("what can I cook"), timeLimit: 4 * time.Second,
		header: map[string]string{
			headerProgram: program, headerSession: program, headerProgramEnd: "8000", headerBudget: "2304", headerUsage: "300,288", "Model": "m",
		},
	}
	begun := time.Now()
	var all streamCall
	for try := range 2 {
		gateway := deployment.gateways[(number+try)%len(deployment.gateways)]
		sentAt := time.Now()
		got := send(gateway.front, attempt)
		seen.addAt(sentAt, "sent     %s stream to %s last event %q", got.id, gateway.name, attempt.header[headerLastEvent])
		all.attempts = append(all.attempts, got)
		for _, number := range slices.Sorted(func(yield func(int) bool) {
			for number := range got.events {
				if !yield(number) {
					return
				}
			}
		}) {
			version, _, _ := strings.Cut(got.events[number], " ")
			if !slices.Contains(all.versions, version) {
				all.versions = append(all.versions, version)
			}
		}
		seen.add("answered %s status %d whole %v last event %s versions %v", got.id, got.status, got.whole, got.lastEvent, all.versions)
		if got.whole && got.status == http.StatusOK {
			break
		}
		if got.lastEvent != "" {
			attempt.header[headerLastEvent] = got.lastEvent
			if attempt.header[headerResumes] == "" {
				attempt.header[headerResumes] = got.id
			}
		}
		attempt.timeLimit = 4*time.Second - time.Since(begun)
		if attempt.timeLimit < 100*time.Millisecond {
			break
		}
		if wait, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64); err == nil {
			time.Sleep(min(time.Duration(wait*float64(time.Second)), attempt.timeLimit/3))
		}
	}
	return all
}

// allowedJoined is how many streams may hold events of two versions.
const allowedJoined = 2

// checkOrder returns the streams that hold events of two versions, if there are more than the rule allows.
func checkOrder(streams []streamCall) []string {
	var joined []string
	for _, one := range streams {
		if len(one.versions) > 1 {
			ids := make([]string, 0, len(one.attempts))
			for _, attempt := range one.attempts {
				ids = append(ids, attempt.id)
			}
			joined = append(joined, fmt.Sprintf("ORDER: stream of attempts %v holds events of versions %v", ids, one.versions))
		}
	}
	if len(joined) <= allowedJoined {
		return nil
	}
	return joined
}
