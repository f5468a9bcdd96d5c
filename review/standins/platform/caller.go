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
	// usualEssayShare is the usual share of programs whose turns may be resumed.
	usualEssayShare = 0.25
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
	// limit is how long the client waits.
	limit time.Duration
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
	// essayShare is the share of programs whose turns may be resumed, and bring their whole prompt.
	essayShare float64
}

func newClients(served *fleet) *clients {
	return &clients{fleet: served, record: served.record, transports: make(map[*process]*http.Transport), essayShare: usualEssayShare}
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

// runProgram takes the turns of a program, with calls of tools in between.
func (c *clients) runProgram() {
	program := newID()
	kind := "dialogue"
	if rand.Float64() < c.essayShare {
		kind = "essay"
	}
	previous := ""
	for turn := range turnCount {
		ended, served := c.takeTurn(program, kind, previous, turn)
		if !served {
			return
		}
		previous = ended.id
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
				c.try(program, tool, "", nil)
			}()
		}
		calls.Wait()
		time.Sleep(150 * time.Millisecond)
	}
}

// takeTurn sends a turn, again from its start if it fails.
func (c *clients) takeTurn(program, kind, previous string, turn int) (last result, served bool) {
	if kind != "dialogue" {
		previous = ""
	}
	for try := range turnTries {
		last = c.try(program, kind, previous, []byte(fmt.Sprintf("turn %d of %s\n", turn, program)))
		switch {
		case last.served():
			return last, true
		case final(last.status):
			return last, false
		}
		if try+1 < turnTries {
			time.Sleep(time.Duration(100+rand.IntN(300)) * time.Millisecond)
		}
	}
	return last, false
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

// try sends a request with the retries that the protocol allows, each with an ID of its own and on a new connection.
func (c *clients) try(program, kind, previous string, body []byte) result {
	deadline := time.Now().Add(deadlines[kind])
	var last result
	for attempt := range attemptCount {
		last = c.send(program, kind, previous, body, time.Until(deadline), attempt > 0)
		repeatable := kind == "gradebook" || kind == "essay"
		if last.served() || final(last.status) || (!promises(last.status) && !repeatable) || time.Until(deadline) < 200*time.Millisecond {
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
func (c *clients) send(program, kind, previous string, body []byte, limit time.Duration, fresh bool) result {
	gateway := c.fleet.entry()
	sent := result{id: newID(), kind: kind, gateway: gateway, sentAt: time.Now(), limit: limit}
	ctx, cancel := context.WithTimeout(context.Background(), limit+50*time.Millisecond)
	defer cancel()
	method := http.MethodPost
	if kind == "gradebook" {
		method = http.MethodGet
	}
	if kind == "task" || kind == "progress" {
		body = []byte("mark " + sent.id)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+gateway.front+"/"+kind+"/1", bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	// Without this the transport might send a request again by itself.
	request.GetBody = nil
	request.Host = callerHost
	request.Header.Set("Request-Id", sent.id)
	request.Header.Set("Program-Id", program)
	request.Header.Set("Session-Id", program)
	request.Header.Set("Program-Deadline-Ms", "20000")
	request.Header.Set("Deadline-Ms", strconv.FormatInt(limit.Milliseconds(), 10))
	if kind == "dialogue" || kind == "essay" {
		request.Header.Set("Model", "m")
		request.Header.Set("Token-Usage", fmt.Sprintf("600,%d", turnTokens))
		request.Header.Set("Token-Budget", strconv.Itoa(programBudget))
		request.Header.Set("Prompt-Prefix", fmt.Sprintf("5c1e07a%c:500,%s:100", program[len(program)-1], program[:8]))
		if previous != "" {
			request.Header.Set("Previous-Turn", previous)
		}
	}
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
	c.record.write("client: %s %s program %s previous %q to %s: status %d, whole %t, %d bytes, %.0f ms, %s", kind, sent.id, program, previous, gateway.name,
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
