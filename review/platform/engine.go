package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// The headers of clients and engines.
const (
	headerID         = "Request-Id"
	headerDeadline   = "Deadline-Ms"
	headerExpect     = "Expect-Instance"
	headerNotRun     = "Not-Executed"
	headerSignature  = "Server-Signature"
	headerLastEvent  = "Last-Event-Id"
	headerResumes    = "Resumes"
	headerProgram    = "Program-Id"
	headerSession    = "Session-Id"
	headerBudget     = "Token-Budget"
	headerUsage      = "Token-Usage"
	headerPrevious   = "Previous-Turn"
	headerProgramEnd = "Program-Deadline-Ms"
)

// heartbeat is how often an engine writes its entry.
const heartbeat = 1200 * time.Millisecond

// entry is what an engine says of itself in the store.
type entry struct {
	Service  string `json:"service"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Version  string `json:"version"`
	Slots    int    `json:"slots"`
	State    string `json:"state"`
	ColdLeft int    `json:"cold_left_ms"`
	Born     int64  `json:"born"`
	Sequence int    `json:"sequence"`
}

// run is one run of a request at an engine.
type run struct {
	engine, version, service, id, resumes, lastEvent string
	path                                             string
	at                                               time.Time
	// first and last are the numbers of the events sent.
	first, last int
}

// runLog holds all runs of all engines.
type runLog struct {
	mutex sync.Mutex
	runs  []*run
}

func (l *runLog) add(added *run) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.runs = append(l.runs, added)
}

func (l *runLog) all() []run {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	copied := make([]run, 0, len(l.runs))
	for _, one := range l.runs {
		copied = append(copied, *one)
	}
	return copied
}

// engineOptions describes an engine.
type engineOptions struct {
	id, service, zone, version string
	slots                      int
	// queue is how many requests wait beyond the slots before further ones are refused.
	queue int
	// work is how long a plain request runs; interval is the pause between the events of a stream.
	work, interval time.Duration
	// stream makes the engine answer with events.
	stream bool
}

// engine is one start of an engine: it serves its options' requests until it is stopped.
type engine struct {
	engineOptions
	store    *store
	log      *runLog
	listener net.Listener
	born     int64
	free     chan struct{}

	mutex       sync.Mutex
	state       string
	sequence    int
	inside      int
	connections map[net.Conn]bool
	stopped     context.Context
	stop        context.CancelFunc
	// Of the answers, surplus ones are copies of refusals that arrive late; see sendSurplus.
	faulty           bool
	answers, surplus int
}

// startEngine starts an engine at an address, or at a free port if it is empty.
func startEngine(options engineOptions, address string, toStore *store, log *runLog) (*engine, error) {
	if address == "" {
		var err error
		if address, _, err = freeAddress(); err != nil {
			return nil, err
		}
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	started := &engine{
		engineOptions: options, store: toStore, log: log, listener: listener, born: time.Now().UnixMilli(),
		free: make(chan struct{}, options.slots), state: "ready", connections: make(map[net.Conn]bool),
	}
	started.stopped, started.stop = context.WithCancel(context.Background())
	go started.accept()
	started.beat()
	go started.beatLoop()
	return started, nil
}

func (e *engine) address() string { return e.listener.Addr().String() }

func (e *engine) key() string { return "servers/" + e.id }

// beat writes the engine's entry and reports whether the store took it.
func (e *engine) beat() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.stopped.Err() != nil {
		return false
	}
	e.sequence++
	return e.store.put(e.key(), entry{
		Service: e.service, Address: e.address(), Zone: e.zone, Version: e.version, Slots: e.slots, State: e.state, Born: e.born, Sequence: e.sequence,
	})
}

func (e *engine) beatLoop() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-e.stopped.Done():
			return
		case <-ticker.C:
			e.beat()
		}
	}
}

// drain says that the engine leaves.
func (e *engine) drain() {
	e.mutex.Lock()
	e.state = "draining"
	e.mutex.Unlock()
	e.beat()
}

// end stops the engine at once: its connections are reset and its port is closed. Its entry stays unless the end was planned.
func (e *engine) end(planned bool) {
	e.mutex.Lock()
	e.stop()
	_ = e.listener.Close()
	for connection := range e.connections {
		if tcp, ok := connection.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = connection.Close()
	}
	e.mutex.Unlock()
	if planned {
		e.store.remove(e.key())
	}
}

func (e *engine) accept() {
	for {
		connection, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mutex.Lock()
		if e.stopped.Err() != nil {
			_ = connection.Close()
			e.mutex.Unlock()
			return
		}
		e.connections[connection] = true
		e.mutex.Unlock()
		go e.serve(connection)
	}
}

// serve serves the requests of one connection, one at a time.
func (e *engine) serve(connection net.Conn) {
	defer func() {
		e.mutex.Lock()
		delete(e.connections, connection)
		e.mutex.Unlock()
		_ = connection.Close()
	}()
	reader := bufio.NewReader(connection)
	// late is set if the next request gets a copy of the last refusal before its own answer.
	late := false
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if late {
			_, _ = io.WriteString(connection, surplusRefusal)
			late = false
		}
		refused, err := e.handle(connection, request)
		if err != nil {
			return
		}
		late = e.countAnswer(refused)
	}
}

// surplusRefusal is what a faulty engine sends once more, late: it belongs to no request. It has the form in which the users'
// examples show that an engine refuses a request.
const surplusRefusal = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"

// The largest dose of the kind of disruption: a share of the engines, a part of their answers.
const (
	surplusEngines = 0.6
	surplusAnswers = 0.03
)

// countAnswer counts an answer and reports whether a faulty engine sends a late surplus answer after it. Surplus answers stay below
// their part of all answers.
func (e *engine) countAnswer(refused bool) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if !e.faulty {
		return false
	}
	e.answers++
	if !refused || float64(e.surplus+1) > surplusAnswers*float64(e.answers) {
		return false
	}
	e.surplus++
	return true
}

func (e *engine) setFaulty(faulty bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.faulty = faulty
}

// handle answers one request and reports whether it was refused.
func (e *engine) handle(connection net.Conn, request *http.Request) (refused bool, err error) {
	id := request.Header.Get(headerID)
	if request.Header.Get(headerExpect) != "" && request.Header.Get(headerExpect) != e.id {
		_, err = fmt.Fprintf(connection, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nInstance-Id: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", headerID, id, e.id, headerNotRun)
		return true, err
	}
	if !e.enter() {
		_, err = fmt.Fprintf(connection, "HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", headerID, id, headerNotRun)
		return true, err
	}
	defer e.leave()
	arrived, deadline := time.Now(), time.Hour
	if millis, err := strconv.Atoi(request.Header.Get(headerDeadline)); err == nil {
		deadline = time.Duration(millis) * time.Millisecond
	}
	timer := time.NewTimer(deadline)
	defer timer.Stop()
	select {
	case e.free <- struct{}{}:
		defer func() { <-e.free }()
	case <-timer.C:
		_, err = fmt.Fprintf(connection, "HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", headerID, id, headerNotRun)
		return true, err
	case <-e.stopped.Done():
		return false, net.ErrClosed
	}
	begun := &run{
		engine: e.id, version: e.version, service: e.service, id: id, path: request.URL.Path, at: time.Now(),
		resumes: request.Header.Get(headerResumes), lastEvent: request.Header.Get(headerLastEvent),
	}
	e.log.add(begun)
	if e.stream {
		return false, e.sendEvents(connection, begun, arrived.Add(deadline))
	}
	if !e.pause(e.work) {
		return false, net.ErrClosed
	}
	text := "the answer to " + id
	_, err = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s.%s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s",
		headerID, id, headerSignature, e.id, id, len(text), text)
	return false, err
}

func (e *engine) enter() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.inside >= e.slots+e.queue {
		return false
	}
	e.inside++
	return true
}

func (e *engine) leave() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.inside--
}

// pause waits and reports whether the engine is still there.
func (e *engine) pause(duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-e.stopped.Done():
		return false
	}
}

// streamEvents is the number of events of each stream.
const streamEvents = 32

// sendEvents sends a stream, from the event after the request's last one on. Each event names the version of the engine's software.
func (e *engine) sendEvents(connection net.Conn, begun *run, until time.Time) error {
	_, err := fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s.%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		headerID, begun.id, headerSignature, e.id, begun.id)
	if err != nil {
		return err
	}
	last, _ := strconv.Atoi(begun.lastEvent)
	for number := last + 1; number <= streamEvents; number++ {
		if !e.pause(e.interval) || time.Now().After(until) {
			return net.ErrClosed
		}
		text := fmt.Sprintf("id: %d\ndata: %s %d\n\n", number, e.version, number)
		if _, err := fmt.Fprintf(connection, "%x\r\n%s\r\n", len(text), text); err != nil {
			return err
		}
		e.log.mutex.Lock()
		if begun.first == 0 {
			begun.first = number
		}
		begun.last = number
		e.log.mutex.Unlock()
	}
	_, err = io.WriteString(connection, "0\r\n\r\n")
	return err
}
