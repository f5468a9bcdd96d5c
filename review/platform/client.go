package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// host is the host of all routes.
const host = "xabo41.example"

// call is one client attempt.
type call struct {
	method, path string
	header       map[string]string
	body         []byte
	// timeLimit is how long the client waits.
	timeLimit time.Duration
}

// result is what a client saw of one attempt.
type result struct {
	id     string
	status int
	header http.Header
	body   []byte
	// events holds the data of each whole event by its number.
	events map[int]string
	// lastEvent is the ID of the last whole event; empty if there is none.
	lastEvent string
	// whole is set if the answer ended as its framing says.
	whole bool
	err   error
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send makes one attempt on a new connection.
func send(address string, attempt call) result {
	id := newID()
	connection, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return result{id: id, err: err}
	}
	defer connection.Close()
	return exchange(connection, bufio.NewReader(connection), id, attempt)
}

// exchange makes one attempt on an open connection.
func exchange(connection net.Conn, reader *bufio.Reader, id string, attempt call) result {
	seen := result{id: id, events: make(map[int]string)}
	_ = connection.SetDeadline(time.Now().Add(attempt.timeLimit + 500*time.Millisecond))
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", attempt.method, attempt.path, host, headerID, id, headerDeadline, attempt.timeLimit.Milliseconds())
	for name, value := range attempt.header {
		fmt.Fprintf(&head, "%s: %s\r\n", name, value)
	}
	if attempt.method != http.MethodGet {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(attempt.body))
	}
	head.WriteString("\r\n")
	if _, err := connection.Write(append(head.Bytes(), attempt.body...)); err != nil {
		seen.err = err
		return seen
	}
	response, err := http.ReadResponse(reader, &http.Request{Method: attempt.method})
	if err != nil {
		seen.err = err
		return seen
	}
	seen.status, seen.header = response.StatusCode, response.Header
	seen.body, seen.err = io.ReadAll(response.Body)
	seen.whole = seen.err == nil
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		seen.parseEvents()
	}
	return seen
}

// parseEvents reads the whole events of the body.
func (r *result) parseEvents() {
	blocks := strings.Split(string(r.body), "\n\n")
	for _, block := range blocks[:len(blocks)-1] {
		id, data := "", ""
		for line := range strings.SplitSeq(block, "\n") {
			if text, found := strings.CutPrefix(line, "id: "); found {
				id = text
			}
			if text, found := strings.CutPrefix(line, "data: "); found {
				data = text
			}
		}
		if number, err := strconv.Atoi(id); err == nil {
			r.events[number] = data
			r.lastEvent = id
		}
	}
}
