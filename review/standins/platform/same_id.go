package main

import "time"

const (
	calmTime = 15 * time.Second
	// drainTime is how long an engine serves on after the store has taken that it drains; downTime is how long it is down.
	drainTime = 2200 * time.Millisecond
	downTime  = 500 * time.Millisecond
	// restartGap is the pause between two engines.
	restartGap = time.Second
	// wipeTime is how long a machine is down that loses its disk.
	wipeTime = time.Second
	// recoveryTime is recovery_s; the requests of judgedTime after it count.
	recoveryTime = 12 * time.Second
	judgedTime   = 15 * time.Second
)

// playSameID restarts the engines one after the other under their IDs, as planned work; later a machine loses its disk as the final fault.
func playSameID(played *fleet, binary string, trouble bool) (bool, error) {
	if err := deploy(played, binary, 6, 4); err != nil {
		return false, err
	}
	if err := played.startAll(); err != nil {
		return false, err
	}
	time.Sleep(leadTime)
	callers := newClients(played)
	startedAt := time.Now()
	finished := make(chan struct{})
	total := calmTime + time.Duration(len(played.engines))*(drainTime+downTime+restartGap) + time.Second + recoveryTime + judgedTime
	go func() {
		defer close(finished)
		callers.run(programsPerSecond, total)
	}()
	time.Sleep(calmTime)
	for _, target := range played.engines {
		if trouble {
			if err := restartEngine(target); err != nil {
				return false, err
			}
		} else {
			time.Sleep(drainTime + downTime)
		}
		time.Sleep(restartGap)
	}
	faultAt := time.Now()
	if err := wipe(played); err != nil {
		return false, err
	}
	judgedFrom := time.Now().Add(recoveryTime)
	<-finished
	sentBefore, servedBefore := callers.count(startedAt, faultAt)
	sentAfter, servedAfter := callers.count(judgedFrom, time.Now())
	for _, target := range played.engines {
		played.record.conclude("engine %s has run %d requests", target.id, target.runCount())
	}
	played.record.conclude("before the final fault %d of %d attempts served; from recovery_s after it %d of %d", servedBefore, sentBefore, servedAfter, sentAfter)
	return 4*servedBefore >= sentBefore && 4*servedAfter < sentAfter, nil
}

// restartEngine restarts an engine in place as planned.
func restartEngine(target *engine) error {
	target.drain()
	time.Sleep(drainTime)
	target.stop()
	time.Sleep(downTime)
	if err := target.start(""); err != nil {
		return err
	}
	target.record.write("engine %s: started again under its ID, born %d", target.id, target.born)
	return nil
}

// wipe lets one counted machine lose its disk.
func wipe(played *fleet) error {
	target := played.withRole(replicaRole)[0]
	played.configure()
	played.kill([]*process{target})
	if err := clearFolder(target.folder); err != nil {
		return err
	}
	target.record.write("%s: its disk is lost", target.name)
	time.Sleep(wipeTime)
	return played.start(target)
}
