package main

import (
	"fmt"
	"runtime"
	"sync"

	"github.com/mountstile/mountstile/internal/simulate"
)

type simulateCommand struct {
	Seeds  uint64 `long:"seeds" default:"100" description:"how many seeds to play"`
	Start  uint64 `long:"start" default:"1" description:"first seed"`
	Steps  int    `long:"steps" default:"1500" description:"steps of each run with faults"`
	Nodes  int    `long:"nodes" default:"3" description:"replicas"`
	Faults string `long:"faults" default:"all" description:"kinds of fault: drop,delay,duplicate,partition,pause,crash,transfer,members,compact"`
}

// errSeedsFailed reports how many seeds violated an invariant.
type errSeedsFailed struct{ Count int }

// Error implements error.
func (e *errSeedsFailed) Error() string {
	return fmt.Sprintf("%d seeds violated an invariant", e.Count)
}

const seedsPerProgressLine = 500

// Execute implements flags.Commander.
func (c *simulateCommand) Execute([]string) error {
	faults, err := simulate.ParseFaults(c.Faults)
	if err != nil {
		return err
	}
	var mutex sync.Mutex
	var total simulate.Report
	failed, done := 0, uint64(0)
	seeds := make(chan uint64)
	var tasks sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		tasks.Go(func() {
			for seed := range seeds {
				options := simulate.Options{Seed: seed, Steps: c.Steps, Nodes: c.Nodes, Faults: faults}
				report, violation := simulate.Run(options)
				if violation != nil {
					options, violation = simulate.Shrink(options)
				}
				mutex.Lock()
				total = total.Add(report)
				done++
				if done%seedsPerProgressLine == 0 {
					fmt.Printf("%d of %d seeds\n", done, c.Seeds)
				}
				if violation != nil {
					failed++
					fmt.Printf("%s\n  again: mountstile-lab simulate --seeds 1 --start %d --steps %d --nodes %d --faults %s\n",
						violation, options.Seed, options.Steps, options.Nodes, options.Faults)
				}
				mutex.Unlock()
			}
		})
	}
	for seed := c.Start; seed < c.Start+c.Seeds; seed++ {
		seeds <- seed
	}
	close(seeds)
	tasks.Wait()
	fmt.Printf("%d seeds, %d failed: %+v\n", c.Seeds, failed, total)
	if failed > 0 {
		return &errSeedsFailed{Count: failed}
	}
	return nil
}
