package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond
	// eventCount is the number of events of a turn, tokensPerEvent that of tokens in each.
	eventCount     = 8
	tokensPerEvent = 9
	// firstEventDelay and eventInterval are the pace of a model engine.
	firstEventDelay = 40 * time.Millisecond
	eventInterval   = 28 * time.Millisecond
	// plainWork is the time of an answer of a plain engine.
	plainWork = 30 * time.Millisecond
)

// engine stands in for a server that runs requests: a model engine with event streams, or a plain one.
type engine struct {
	id, service, zone, version string
	slots                      int
	model                      bool
	address                    string
	store                      *store
	record                     *record
	// spoil may answer a request, which counts as run, in place of the engine; nil for sound answers.
	spoil func(writer http.ResponseWriter, request *http.Request) bool
	// ledger learns of each run.
	ledger *ledger

	mutex    sync.Mutex
	server   *http.Server
	busy     int
	born     int64
	sequence int64
	stopped  chan struct{}
}

// start starts the engine at its address, or at a new one of the host if it has none.
func (e *engine) start(host string) error {
	address := e.address
	if address == "" {
		address = host + ":0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.address = listener.Addr().String()
	e.busy, e.sequence = 0, 0
	e.born = time.Now().UnixMilli()
	e.stopped = make(chan struct{})
	e.server = &http.Server{Handler: e}
	go func(server *http.Server) { _ = server.Serve(listener) }(e.server)
	go e.beat(e.stopped)
	return nil
}

// beat writes the engine's entry at its start and at each heartbeat.
func (e *engine) beat(stopped chan struct{}) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		e.publish()
		select {
		case <-stopped:
			return
		case <-ticker.C:
		}
	}
}

func (e *engine) publish() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.sequence++
	e.store.put("servers/"+e.id, map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": e.version, "slots": e.slots, "state": "ready",
		"cold_left_ms": 0, "sequence": e.sequence, "born": e.born,
	})
}

// stop ends the engine. Its entry goes.
func (e *engine) stop() {
	e.mutex.Lock()
	server, stopped := e.server, e.stopped
	e.server = nil
	e.mutex.Unlock()
	if server == nil {
		return
	}
	close(stopped)
	_ = server.Close()
	e.store.remove("servers/" + e.id)
	e.record.write("engine %s: ended", e.id)
}

// takeSlot reports whether the engine may run one more request.
func (e *engine) takeSlot() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.busy >= e.slots {
		return false
	}
	e.busy++
	return true
}

func (e *engine) freeSlot() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.busy--
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path == "/healthz" {
		writer.Header().Set("Instance-Id", e.id)
		writer.WriteHeader(http.StatusOK)
		return
	}
	id := request.Header.Get("Request-Id")
	writer.Header().Set("Request-Id", id)
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != e.id {
		writer.Header().Set("Instance-Id", e.id)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	if id == "" {
		writer.Header().Set("Not-Executed", "1")
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	if !e.takeSlot() {
		writer.Header().Set("Not-Executed", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.freeSlot()
	request, cancel := withDeadline(request)
	defer cancel()
	e.record.write("engine %s: runs %s, %d bytes", e.id, id, len(body))
	e.ledger.add(id, e.id)
	if e.spoil != nil && e.spoil(writer, request) {
		return
	}
	writer.Header().Set("Server-Signature", "s."+e.id+"."+id)
	if e.model {
		e.stream(writer, request)
		return
	}
	if !pause(request, plainWork) {
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(writer, plainBody(id))
}

// withDeadline returns the request with the deadline that its caller gave, at which the engine ceases work.
func withDeadline(request *http.Request) (*http.Request, context.CancelFunc) {
	millis, err := strconv.ParseInt(request.Header.Get("Deadline-Ms"), 10, 64)
	if err != nil {
		return request, func() {}
	}
	ctx, cancel := context.WithTimeout(request.Context(), time.Duration(millis)*time.Millisecond)
	return request.WithContext(ctx), cancel
}

func plainBody(id string) string { return "the answer to " + id }

// pause waits and reports whether the caller is still there and the deadline has not passed.
func pause(request *http.Request, duration time.Duration) bool {
	select {
	case <-time.After(duration):
		return true
	case <-request.Context().Done():
		return false
	}
}

// stream sends the events after the last one that the caller has. It breaks the answer off if the caller is gone or the deadline
// has passed.
func (e *engine) stream(writer http.ResponseWriter, request *http.Request) {
	writer.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	working := pause(request, firstEventDelay)
	for number := last + 1; working && number <= eventCount; number++ {
		_, _ = fmt.Fprintf(writer, "id: %d\ndata: %s says %d\n\n", number, e.version, number)
		working = http.NewResponseController(writer).Flush() == nil && pause(request, eventInterval)
	}
	if !working {
		panic(http.ErrAbortHandler)
	}
}

// ledger holds which engines ran a request, and which runs were spoilt.
type ledger struct {
	mutex  sync.Mutex
	runs   map[string][]string
	spoilt map[string]bool
}

func newLedger() *ledger {
	return &ledger{runs: make(map[string][]string), spoilt: make(map[string]bool)}
}

func (l *ledger) add(request, engine string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.runs[request] = append(l.runs[request], engine)
}

func (l *ledger) spoil(request string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.spoilt[request] = true
}

// soundRun reports whether engines ran the request and gave sound answers.
func (l *ledger) soundRun(request string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.runs[request]) > 0 && !l.spoilt[request]
}
