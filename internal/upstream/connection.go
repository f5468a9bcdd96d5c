package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const readBufferBytes = 4 << 10

// Connection is one connection to an engine. It carries one exchange at a time. After any doubt
// about what its next bytes belong to, it is closed and never used again.
type Connection struct {
	raw    net.Conn
	reader *bufio.Reader
	// sentBytes tells whether anything of the present request may have reached the engine.
	sentBytes atomic.Int64
	// idleUntil is when the engine may close the connection; zero if it didn't say.
	idleUntil time.Time
	usedAt    time.Time
}

func newConnection(raw net.Conn) *Connection {
	return &Connection{raw: raw, reader: bufio.NewReaderSize(raw, readBufferBytes), usedAt: time.Now()}
}

// Write implements io.Writer and counts what may have left.
func (c *Connection) Write(data []byte) (int, error) {
	c.sentBytes.Add(1)
	return c.raw.Write(data)
}

func (c *Connection) close() { _ = c.raw.Close() }

// quiet tells whether an idle connection is still open and has no bytes waiting. Bytes on an idle
// connection belong to no request.
func (c *Connection) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	return stillOpen(c.raw)
}

// Exchange is one request that was sent and its answer.
type Exchange struct {
	pool       *Pool
	connection *Connection
	response   *http.Response
	written    chan error
	stopWatch  func() bool
	finished   bool
}

// Response is the head of the answer, and its body.
func (e *Exchange) Response() *http.Response { return e.response }

// Finish ends an exchange whose body was read to its end; the connection may serve again if
// nothing speaks against it.
func (e *Exchange) Finish() {
	if e.finished {
		return
	}
	e.finished = true
	if !e.stopWatch() || !e.reusable() {
		e.connection.close()
		e.pool.discard(e.connection)
		return
	}
	e.connection.noteKeepAlive(e.response)
	e.pool.put(e.connection)
}

// reusable waits a little for the rest of the request to leave, for an engine may answer early.
func (e *Exchange) reusable() bool {
	if e.response.Close || e.connection.reader.Buffered() > 0 {
		return false
	}
	select {
	case err := <-e.written:
		return err == nil
	case <-time.After(lateWriteWait):
		return false
	}
}

// Abort ends an exchange at once and closes its connection, which tells the engine to stop.
func (e *Exchange) Abort() {
	if e.finished {
		return
	}
	e.finished = true
	e.stopWatch()
	e.connection.close()
	e.pool.discard(e.connection)
}

// watch closes the connection when the context ends, so that reads and writes end as well.
func watch(ctx context.Context, connection *Connection) func() bool {
	return context.AfterFunc(ctx, connection.close)
}

var _ io.Writer = (*Connection)(nil)
