// Command platform plays the platform, the engines and the clients of a small deployment for the cases of the second review,
// against processes of the program that the deploy file names.
//
// Usage:
//
//	platform CASE BINARY RECORD
//
// It exits with 1 if the rule of the case was broken, with 0 if it held, and with 2 if the case couldn't run. With TROUBLE=0 it
// leaves out the disruption. With KEEP=1 it leaves the logs of the processes in a temporary folder.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenario plays a case and reports whether its rule was broken.
type scenario func(played *fleet, binary string, trouble bool) (broken bool, err error)

var scenarios = map[string]scenario{
	"endless-heads": playEndlessHeads,
	"first-start":   playFirstStart,
}

func main() {
	if len(os.Args) != 4 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: platform CASE BINARY RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(scenarios[os.Args[1]], os.Args[2], os.Args[3]))
}

func play(played scenario, binary, recordPath string) int {
	recorded, err := openRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer recorded.close()
	deployed, err := newFleet(recorded)
	if err != nil {
		recorded.conclude("not run: %v", err)
		return exitNotRun
	}
	defer deployed.close(os.Getenv("KEEP") == "1")
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	type outcome struct {
		broken bool
		err    error
	}
	ended := make(chan outcome, 1)
	go func() {
		broken, err := played(deployed, binary, os.Getenv("TROUBLE") != "0")
		ended <- outcome{broken, err}
	}()
	select {
	case <-stopped:
		recorded.conclude("not run: stopped by a signal")
		return exitNotRun
	case end := <-ended:
		switch {
		case end.err != nil:
			recorded.conclude("not run: %v", end.err)
			return exitNotRun
		case end.broken:
			recorded.conclude("the rule was broken")
			return exitBroken
		}
		recorded.conclude("the rule held")
		return exitHeld
	}
}
