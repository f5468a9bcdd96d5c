// Command review runs one case of the review: it starts the project's own programs as processes of their own, with stand-ins for the
// platform's store, engines and clients, and checks one rule of the users' pages by what these saw.
//
// Usage:
//
//	review CASE RECORD
//
// It writes what was sent, run and answered to the file RECORD. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// could not run. With TROUBLE=0 it does the same without the disruption.
package main

import (
	"bufio"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
	// caseLimit is how long a case may take.
	caseLimit = 115 * time.Second
)

// record is what a case writes down.
type record struct {
	mutex   sync.Mutex
	lines   []string
	started time.Time
}

// add writes a line with the seconds since the start of the case.
func (r *record) add(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%8.3f ", time.Since(r.started).Seconds())+fmt.Sprintf(format, args...))
}

// addAt writes a line with another time; the lines are sorted when they are saved.
func (r *record) addAt(at time.Time, format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%8.3f ", at.Sub(r.started).Seconds())+fmt.Sprintf(format, args...))
}

func (r *record) save(path string) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	slices.Sort(r.lines)
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	writer := bufio.NewWriter(file)
	for _, line := range r.lines {
		fmt.Fprintln(writer, line)
	}
	if err := writer.Flush(); err != nil {
		return err
	}
	return file.Close()
}

// reviewCase runs with trouble or without and returns what broke the rule; nothing if it held.
type reviewCase func(deployment *system, trouble bool, seen *record) (broken []string, err error)

var cases = map[string]struct {
	run                reviewCase
	gateways, replicas int
}{
	"twice":   {runTwice, 3, 3},
	"order":   {runOrder, 9, 3},
	"recover": {runRecover, 3, 3},
	"large":   {runLarge, 3, 3},
	"route":   {runRoute, 3, 3},
}

// errInterrupted means that a signal ended a case, errNotOver that it took too long.
type (
	errInterrupted struct{}
	errNotOver     struct{ limit time.Duration }
)

func (*errInterrupted) Error() string { return "interrupted" }

func (e *errNotOver) Error() string { return fmt.Sprintf("not over after %s", e.limit) }

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func runCase(name, path string, trouble bool) int {
	chosen, found := cases[name]
	if !found {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return exitNotRun
	}
	deployment, err := newSystem(chosen.gateways, chosen.replicas)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer deployment.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	seen := &record{started: time.Now()}
	type outcome struct {
		broken []string
		err    error
	}
	ended := make(chan outcome, 1)
	go func() {
		broken, err := chosen.run(deployment, trouble, seen)
		ended <- outcome{broken, err}
	}()
	var last outcome
	select {
	case last = <-ended:
	case <-interrupted:
		last.err = &errInterrupted{}
	case <-time.After(caseLimit):
		last.err = &errNotOver{limit: caseLimit}
	}
	for _, line := range last.broken {
		seen.add("BROKEN %s", line)
	}
	if err := seen.save(path); err != nil {
		last.err = err
	}
	switch {
	case last.err != nil:
		fmt.Println("not run:", last.err)
		return exitNotRun
	case len(last.broken) > 0:
		fmt.Printf("broken:\n%s\n", strings.Join(last.broken[:min(len(last.broken), 12)], "\n"))
		return exitBroken
	}
	fmt.Println("held")
	return exitHeld
}
