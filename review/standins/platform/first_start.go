package main

import "time"

const (
	// killAfter is when after the first start all counted machines are killed, returnAfter how soon they are back.
	killAfter   = 500 * time.Millisecond
	returnAfter = 500 * time.Millisecond
	// firstTraffic is how long clients send programs.
	firstTraffic = 60 * time.Second
)

// playFirstStart kills all processes of the counted machines at the same moment, soon after the first start of the system.
func playFirstStart(played *fleet, binary string, trouble bool) (bool, error) {
	if err := deploy(played, binary, 6, 4); err != nil {
		return false, err
	}
	if err := played.startAll(); err != nil {
		return false, err
	}
	time.Sleep(killAfter)
	if trouble {
		replicas := played.withRole(replicaRole)
		played.kill(replicas)
		time.Sleep(returnAfter)
		for _, target := range replicas {
			if err := played.start(target); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(leadTime)
	callers := newClients(played)
	startedAt := time.Now()
	callers.run(programsPerSecond, firstTraffic)
	sent, served := callers.count(startedAt, time.Now())
	played.record.conclude("%d of %d attempts served, by %d programs; at the end %d gateways are ready; the store holds the system's replica set: %t",
		served, sent, callers.programs, played.ready(), played.store.get("mountstile/replicas") != nil)
	return sent > 0 && served == 0, nil
}
