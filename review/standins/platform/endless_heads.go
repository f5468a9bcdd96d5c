package main

import (
	"bytes"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// For spoilTime in each spoilPeriod, spoilShare of the engines spoil spoilAnswers of their answers.
	spoilShare   = 0.5
	spoilAnswers = 0.02
	spoilTime    = 5 * time.Second
	spoilPeriod  = 8 * time.Second
	spoilRounds  = 11
	// answerRate is how many bytes a second one spoilt answer has, 600 Mbit/s, the least link of the pages. totalRate is how
	// many all of them have together, 1,000 Mbit/s, the link of one gateway.
	answerRate = 75e6
	totalRate  = 125e6
	chunkBytes = 64 << 10
	// A process that ends by itself as often as this on as many machines breaks the rule Fault.
	faultEnds     = 3
	faultMachines = 2
)

// spoiler answers with bytes that are no answer and have no end.
type spoiler struct {
	fleet *fleet
	mutex sync.Mutex
	// active is set while engines spoil answers; total is the pace of all spoilt answers together.
	active bool
	total  pacer
	count  int
}

// pacer spreads bytes over time. It is not safe for concurrent use.
type pacer struct{ nextAt time.Time }

// reserve returns when so many bytes may be sent at a rate.
func (p *pacer) reserve(size int, rate float64) time.Time {
	now := time.Now()
	if p.nextAt.Before(now) {
		p.nextAt = now
	}
	due := p.nextAt
	p.nextAt = due.Add(time.Duration(float64(size) / rate * float64(time.Second)))
	return due
}

// answer spoils the answer of some requests.
func (s *spoiler) answer(writer http.ResponseWriter, request *http.Request) bool {
	s.mutex.Lock()
	spoilt := s.active && rand.Float64() < spoilAnswers
	if spoilt {
		s.count++
	}
	s.mutex.Unlock()
	if !spoilt {
		return false
	}
	id := request.Header.Get("Request-Id")
	s.fleet.ledger.spoil(id)
	connection, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		return false
	}
	defer connection.Close()
	chunk := bytes.Repeat([]byte("x"), chunkBytes)
	sent := 0
	var own pacer
	for {
		s.pace(&own, len(chunk))
		written, err := connection.Write(chunk)
		sent += written
		if err != nil {
			s.fleet.record.write("engine: sent %d MB that are no answer to %s, until the caller closed", sent>>20, id)
			return true
		}
	}
}

// pace waits until so many bytes of an answer may be sent.
func (s *spoiler) pace(own *pacer, size int) {
	due := own.reserve(size, answerRate)
	s.mutex.Lock()
	total := s.total.reserve(size, totalRate)
	s.mutex.Unlock()
	time.Sleep(time.Until(due))
	time.Sleep(time.Until(total))
}

func (s *spoiler) set(active bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.active = active
	s.fleet.record.write("engines spoil answers: %t", active)
}

// playEndlessHeads lets engines send bytes without end in place of some answers.
func playEndlessHeads(played *fleet, binary string, trouble bool) (bool, error) {
	if err := deploy(played, binary, 6, 4); err != nil {
		return false, err
	}
	spoilt := &spoiler{fleet: played}
	spoiling := int(spoilShare * float64(len(played.engines)))
	for _, index := range rand.Perm(len(played.engines))[:spoiling] {
		played.engines[index].spoil = spoilt.answer
		played.record.write("engine %s will spoil answers", played.engines[index].id)
	}
	if err := played.startAll(); err != nil {
		return false, err
	}
	time.Sleep(leadTime)
	callers := newClients(played)
	startedAt := time.Now()
	go func() {
		for range spoilRounds {
			time.Sleep(spoilPeriod - spoilTime)
			spoilt.set(trouble)
			time.Sleep(spoilTime)
			spoilt.set(false)
		}
	}()
	callers.run(programsPerSecond, spoilRounds*spoilPeriod+time.Second)
	sent, served := callers.count(startedAt, time.Now())
	faulty := 0
	for _, target := range played.processes {
		played.record.conclude("%s: ended by itself %d times, %d of them over its limit of %d MB; most memory seen %d MB", target.name, target.ownEnds, target.memoryKills, target.memoryMB, target.peakMB)
		if target.ownEnds >= faultEnds {
			faulty++
		}
	}
	played.record.conclude("%d of %d attempts served; %d answers spoilt; %d requests from kept connections, run by sound engines, got no answer",
		served, sent, spoilt.count, callers.lost(played.ledger))
	return faulty >= faultMachines, nil
}

// lost returns how many requests from kept connections that sound engines ran got no answer before their deadline.
func (c *clients) lost(runs *ledger) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	count := 0
	for _, attempt := range c.results {
		if attempt.reused && attempt.status == 0 && attempt.endedAt.Sub(attempt.sentAt) < deadlines[attempt.kind] && runs.soundRun(attempt.id) {
			count++
		}
	}
	return count
}
