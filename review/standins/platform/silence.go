package main

import (
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"
)

const (
	// While engines are out of memory, preemptedShare of the streams are preempted after every preemptedEvents events, and go on
	// after preemptedTime: less than the two seconds after which clients give a silent stream up.
	preemptedShare  = 0.5
	preemptedEvents = 3
	preemptedTime   = 900 * time.Millisecond
	// graceTime is grace_s. Cuts in its last sixth don't count here, since an engine may still be at work then.
	graceTime = 8 * time.Second
	// stops is how many gateways are stopped, one after the other, stopGap apart; beforeStops is the time before the first one.
	stops       = 3
	stopGap     = 12 * time.Second
	beforeStops = 12 * time.Second
)

// preempt pauses a stream if its engine is out of memory. It reports whether the caller is still there.
func (e *engine) preempt(request *http.Request, number int) bool {
	if !e.full.Load() || number%preemptedEvents != 0 || number == eventCount || rand.Float64() >= preemptedShare {
		return true
	}
	e.record.write("engine %s: %s is preempted for %d ms", e.id, request.Header.Get("Request-Id"), preemptedTime.Milliseconds())
	return pause(request, preemptedTime)
}

// stoppedGateway is a gateway that was stopped as planned.
type stoppedGateway struct {
	gateway *process
	at      time.Time
}

// playSilence stops gateways as planned while engines that are out of memory preempt streams.
func playSilence(played *fleet, binary string, trouble bool) (bool, error) {
	if err := deploy(played, binary, 6, 4); err != nil {
		return false, err
	}
	if err := played.startAll(); err != nil {
		return false, err
	}
	time.Sleep(leadTime)
	for _, candidate := range played.engines {
		candidate.full.Store(trouble && candidate.model)
	}
	callers := newClients(played)
	callers.essayShare = 1
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		callers.run(programsPerSecond, beforeStops+stops*stopGap)
	}()
	time.Sleep(beforeStops)
	var stopped []stoppedGateway
	for index, target := range played.withRole(gatewayRole)[:stops] {
		stopped = append(stopped, stoppedGateway{gateway: target, at: time.Now()})
		if err := played.stopPlanned(target); err != nil {
			return false, err
		}
		if index+1 < stops {
			time.Sleep(time.Until(stopped[index].at.Add(stopGap)))
		}
	}
	<-finished
	cut := callers.cutByStops(stopped, played.ledger)
	sent, served := callers.count(played.record.startedAt, time.Now())
	played.record.conclude("%d of %d attempts served; %d streams cut at gateways that were stopped as planned", served, sent, cut)
	return cut > 0, nil
}

// stopPlanned sends SIGTERM, and starts the process again once it has ended.
func (f *fleet) stopPlanned(target *process) error {
	target.mutex.Lock()
	target.planned = true
	_ = target.command.Process.Signal(syscall.SIGTERM)
	exited := target.exited
	target.mutex.Unlock()
	f.record.write("%s: SIGTERM", target.name)
	select {
	case <-exited:
	case <-time.After(graceTime):
		f.kill([]*process{target})
	}
	f.record.write("%s: ended after SIGTERM", target.name)
	return f.start(target)
}

// cutByStops returns how many streams that an engine ran ended without a complete answer at a stopped gateway, before their deadline
// and with their engine still there.
func (c *clients) cutByStops(stopped []stoppedGateway, runs *ledger) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	count := 0
	for _, attempt := range c.results {
		for _, stop := range stopped {
			since := attempt.endedAt.Sub(stop.at)
			if attempt.gateway != stop.gateway || attempt.whole || since < 0 || since > graceTime*5/6 {
				continue
			}
			if attempt.status != http.StatusOK || attempt.endedAt.Sub(attempt.sentAt) > attempt.limit-100*time.Millisecond || !runs.soundRun(attempt.id) {
				continue
			}
			c.record.write("cut: %s at %s, %.1f s after its SIGTERM, %d ms after it was sent, %d bytes: %s", attempt.id, attempt.gateway.name,
				since.Seconds(), attempt.endedAt.Sub(attempt.sentAt).Milliseconds(), len(attempt.body), errorText(attempt.err))
			count++
		}
	}
	return count
}
