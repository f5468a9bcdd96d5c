package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	callerHost   = "tutors.example"
	modelService = "tutor-llm"
	plainService = "school-api"
	// programBudget is the token budget of a program, turnTokens the most that one of its turns generates.
	programBudget = 2304
	turnTokens    = eventCount * tokensPerEvent
	turnCount     = 3
	// turnTries is how often a program sends a failed turn, with retries attempts at each.
	turnTries    = 3
	attemptCount = 2
	// essayShare is the share of programs whose turns may be resumed, and bring their whole prompt.
	essayShare = 0.25
	// sharedTokens and turnInput are the sizes of a prompt's shared part and of a turn's new input, in tokens of tokenBytes.
	sharedTokens = 512
	turnInput    = 327
	tokenBytes   = 2
	// programTime is how long a program may take.
	programTime = 20 * time.Second
)

// result is the end of one client attempt.
type result struct {
	id, kind string
	gateway  *process
	sentAt   time.Time
	endedAt  time.Time
	// status is 0 if there was no answer; whole is set if the body was complete.
	status int
	whole  bool
	// reused is set if the attempt used a kept connection.
	reused bool
	body   string
	// wait is the answer's Retry-After.
	wait time.Duration
	err  error
}

// served reports whether the attempt succeeded.
func (r result) served() bool { return r.status == http.StatusOK && r.whole }

// clients are agent programs. Each takes turns and calls tools between them.
type clients struct {
	fleet  *fleet
	record *record

	mutex      sync.Mutex
	results    []result
	transports map[*process]*http.Transport
	running    sync.WaitGroup
	programs   int
}

func newClients(served *fleet) *clients {
	return &clients{fleet: served, record: served.record, transports: make(map[*process]*http.Transport)}
}

// transport returns the kept connections to a gateway. A request is given to the transport once only.
func (c *clients) transport(gateway *process) *http.Transport {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.transports[gateway] == nil {
		c.transports[gateway] = &http.Transport{
			DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
			MaxIdleConnsPerHost: 64, IdleConnTimeout: 12 * time.Second, DisableCompression: true,
		}
	}
	return c.transports[gateway]
}

// run starts programs at a rate until the time is over, and waits for them.
func (c *clients) run(perSecond float64, duration time.Duration) {
	end := time.Now().Add(duration)
	for time.Now().Before(end) {
		c.mutex.Lock()
		c.programs++
		c.mutex.Unlock()
		c.running.Add(1)
		go func() {
			defer c.running.Done()
			c.runProgram()
		}()
		time.Sleep(time.Duration(float64(time.Second) / perSecond))
	}
	c.running.Wait()
}

// program is an agent program. history is what was said so far.
type program struct {
	id      string
	kind    string
	endsAt  time.Time
	turn    int
	last    string
	history []byte
}

// runProgram takes the turns of a program, with calls of tools in between.
func (c *clients) runProgram() {
	running := &program{id: newID(), kind: "dialogue", endsAt: time.Now().Add(programTime)}
	if rand.Float64() < essayShare {
		running.kind = "essay"
	}
	for running.turn = range turnCount {
		if !c.takeTurn(running) {
			return
		}
		tools := []string{"gradebook"}
		if rand.Float64() < 0.4 {
			tools = append(tools, "task")
		}
		if rand.Float64() < 0.2 {
			tools = append(tools, "progress")
		}
		var calls sync.WaitGroup
		for _, tool := range tools {
			calls.Add(1)
			go func() {
				defer calls.Done()
				c.try(running, tool, nil)
			}()
		}
		calls.Wait()
		time.Sleep(150 * time.Millisecond)
	}
}

// takeTurn sends a turn, again from its start if it fails, and reports whether it was served.
func (c *clients) takeTurn(running *program) bool {
	input := bytes.Repeat([]byte(running.id[:tokenBytes]), turnInput)
	body := input
	if running.kind != "dialogue" {
		body = append(append([]byte(nil), running.history...), input...)
	}
	for try := range turnTries {
		ended := c.try(running, running.kind, body)
		switch {
		case ended.served():
			running.last = ended.id
			running.history = append(append(running.history, input...), ended.body...)
			return true
		case final(ended.status):
			return false
		}
		if try+1 < turnTries {
			time.Sleep(time.Duration(100+rand.IntN(300)) * time.Millisecond)
		}
	}
	return false
}

// final reports whether a program ends on a status.
func final(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusPaymentRequired, http.StatusForbidden, http.StatusNotFound, http.StatusRequestEntityTooLarge:
		return true
	}
	return false
}

// promises reports whether a status says that the request has not run.
func promises(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// try sends a request with the retries that the protocol allows, each with an ID of its own and on a new connection. There is none
// after a 2xx, also if its body broke off.
func (c *clients) try(running *program, kind string, body []byte) result {
	deadline := time.Now().Add(deadlines[kind])
	repeatable := kind == "gradebook" || kind == "essay"
	var last result
	for attempt := range attemptCount {
		last = c.send(running, kind, body, time.Until(deadline), attempt > 0)
		success := last.status >= 200 && last.status < 300
		if success || final(last.status) || (!promises(last.status) && !repeatable) || time.Until(deadline) < 200*time.Millisecond {
			break
		}
		time.Sleep(min(last.wait, time.Until(deadline)/3))
	}
	return last
}

var deadlines = map[string]time.Duration{
	"dialogue": 4 * time.Second, "essay": 4 * time.Second, "gradebook": 1200 * time.Millisecond, "task": 3 * time.Second, "progress": 2 * time.Second,
}

func newID() string { return strconv.FormatUint(rand.Uint64()|1<<63, 16) }

// send makes one attempt.
func (c *clients) send(running *program, kind string, body []byte, limit time.Duration, fresh bool) result {
	gateway := c.fleet.entry()
	sent := result{id: newID(), kind: kind, gateway: gateway, sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), limit+50*time.Millisecond)
	defer cancel()
	method := http.MethodPost
	if kind == "gradebook" {
		method = http.MethodGet
	}
	if kind == "task" || kind == "progress" {
		body = []byte("mark " + sent.id)
	}
	// A body that can't be read twice keeps the transport from sending a request again by itself.
	request, err := http.NewRequestWithContext(ctx, method, "http://"+gateway.front+"/"+kind+"/1", io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		panic(err)
	}
	if method == http.MethodPost {
		request.ContentLength = int64(len(body))
	}
	request.Host = callerHost
	request.Header.Set("Request-Id", sent.id)
	request.Header.Set("Program-Id", running.id)
	request.Header.Set("Session-Id", running.id)
	request.Header.Set("Program-Deadline-Ms", strconv.FormatInt(max(time.Until(running.endsAt).Milliseconds(), 0), 10))
	request.Header.Set("Deadline-Ms", strconv.FormatInt(limit.Milliseconds(), 10))
	if kind == "dialogue" || kind == "essay" {
		request.Header.Set("Model", "m")
		own := running.turn*(turnInput+turnTokens) + turnInput
		request.Header.Set("Token-Usage", fmt.Sprintf("%d,%d", sharedTokens+own, turnTokens))
		request.Header.Set("Token-Budget", strconv.Itoa(programBudget))
		request.Header.Set("Prompt-Prefix", fmt.Sprintf("5c1e07a%c:%d,%s:%d", running.id[len(running.id)-1], sharedTokens, running.id[:8], own))
		if kind == "dialogue" && running.last != "" {
			request.Header.Set("Previous-Turn", running.last)
		}
	}
	c.record.write("client: sends %s %s of program %s to %s", kind, sent.id, running.id, gateway.name)
	transport := c.transport(gateway)
	if fresh {
		transport = &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableKeepAlives: true, DisableCompression: true}
	}
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { sent.reused = info.Reused }}
	request = request.WithContext(httptrace.WithClientTrace(ctx, trace))
	response, err := transport.RoundTrip(request)
	if err == nil {
		sent.status = response.StatusCode
		seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		sent.wait = time.Duration(seconds * float64(time.Second))
		var content []byte
		content, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		sent.body, sent.whole = string(content), err == nil
	}
	sent.err, sent.endedAt = err, time.Now()
	c.record.write("client: %s from %s: status %d, whole %t, %d bytes, %.0f ms, %s", sent.id, gateway.name,
		sent.status, sent.whole, len(sent.body), float64(sent.endedAt.Sub(sent.sentAt).Microseconds())/1000, errorText(err))
	c.mutex.Lock()
	c.results = append(c.results, sent)
	c.mutex.Unlock()
	return sent
}

func errorText(err error) string {
	if err == nil {
		return "ok"
	}
	return strings.ReplaceAll(err.Error(), "\n", " ")
}

// count returns how many attempts that were sent between two times were made and served.
func (c *clients) count(from, until time.Time) (sent, served int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, attempt := range c.results {
		if attempt.sentAt.Before(from) || !attempt.sentAt.Before(until) {
			continue
		}
		sent++
		if attempt.served() {
			served++
		}
	}
	return sent, served
}
