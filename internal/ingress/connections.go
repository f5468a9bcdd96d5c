package ingress

import (
	"container/list"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/mountstile/mountstile/internal/membudget"
)

const (
	// minEvictionWait is how long a connection has waited for its caller before it may be closed for a new one.
	minEvictionWait = 250 * time.Millisecond
	// surplusDivisor is the fraction of the connection limit, as 1/n, that connections which are being closed may use beyond it.
	surplusDivisor = 8
	// refusedConnection is the response on a connection whose request is not read.
	refusedConnection = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

// connections bounds the number of callers' connections. At the limit, a new connection takes the place of the one that has
// waited longest for its caller: an idle one, or one whose request is incomplete.
type connections struct {
	// limit is the maximum number; 0 for none.
	limit int

	mutex sync.Mutex
	count int
	// waiting holds the callerConnections that wait for bytes of their callers, the longest first.
	waiting list.List
}

// admit counts a new connection and reports whether there is room for it.
func (c *connections) admit(connection *callerConnection) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.limit > 0 && c.count >= c.limit && (!c.evict() || c.count >= c.limit+c.limit/surplusDivisor) {
		return false
	}
	c.count++
	connection.waiting = c.waiting.PushBack(connection)
	connection.waitingSince = time.Now()
	return true
}

// evict ends the wait of a connection, which closes it, and reports whether there was one.
func (c *connections) evict() bool {
	first := c.waiting.Front()
	if first == nil {
		return false
	}
	evicted := first.Value.(*callerConnection)
	if time.Since(evicted.waitingSince) < minEvictionWait {
		return false
	}
	c.waiting.Remove(first)
	evicted.waiting = nil
	// This fails only if the connection is closed already.
	_ = evicted.Conn.SetReadDeadline(time.Now())
	return true
}

// setWaiting records whether a connection waits for bytes of its caller, from now on.
func (c *connections) setWaiting(connection *callerConnection, waiting bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if connection.waiting != nil {
		c.waiting.Remove(connection.waiting)
		connection.waiting = nil
	}
	if waiting && !connection.closed {
		connection.waiting = c.waiting.PushBack(connection)
		connection.waitingSince = time.Now()
	}
}

// remove forgets a connection.
func (c *connections) remove(connection *callerConnection) {
	c.setWaiting(connection, false)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !connection.closed {
		connection.closed = true
		c.count--
	}
}

// callerConnection is a caller's connection.
type callerConnection struct {
	net.Conn
	server *Server
	// head is reserved for the head of the current request.
	head *membudget.Reservation

	// The following fields belong to connections and are guarded by its mutex. waiting is nil unless the connection waits for
	// its caller.
	waiting      *list.Element
	waitingSince time.Time
	closed       bool

	headMutex sync.Mutex
	inHead    bool
}

// Read implements net.Conn. The bytes of a head are reserved as they arrive; without memory for them the request is refused.
func (c *callerConnection) Read(buffer []byte) (int, error) {
	read, err := c.Conn.Read(buffer)
	if read == 0 || !c.readsHead() {
		return read, err
	}
	if growErr := c.head.Grow(int64(read)); growErr != nil {
		_, _ = io.WriteString(c.Conn, refusedConnection)
		// The server closes a connection with such an error and does not respond.
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: growErr}
	}
	return read, err
}

func (c *callerConnection) readsHead() bool {
	c.headMutex.Lock()
	defer c.headMutex.Unlock()
	return c.inHead
}

func (c *callerConnection) setInHead(inHead bool) {
	c.headMutex.Lock()
	defer c.headMutex.Unlock()
	c.inHead = inHead
}

// connectionStateChanged is the http.Server.ConnState of callers' connections.
func (s *Server) connectionStateChanged(changed net.Conn, state http.ConnState) {
	connection, ok := changed.(*callerConnection)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		connection.setInHead(false)
		s.connections.setWaiting(connection, false)
	case http.StateIdle:
		connection.head.Shrink(connection.head.Held())
		connection.setInHead(true)
		s.connections.setWaiting(connection, true)
	case http.StateClosed, http.StateHijacked:
		connection.head.Release()
		s.connections.remove(connection)
	}
}
