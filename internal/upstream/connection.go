package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const readBufferBytes = 4 << 10

// Connection is a connection to an engine. It carries one exchange at a time, and is closed if its
// next bytes may not belong to the next exchange.
type Connection struct {
	raw    net.Conn
	source source
	reader *bufio.Reader
	// writes counts the writes of the current request; 0 proves that nothing of it reached the engine.
	writes atomic.Int64
	// idleDeadline is the time after which the idle connection must not be used again. It is zero if the engine sent no
	// keep-alive timeout, in which case defaultIdleTimeout applies.
	idleDeadline time.Time
	lastUsedAt   time.Time
	openedAt     time.Time
	// responded is set once a response has begun on the connection.
	responded atomic.Bool
}

func newConnection(raw net.Conn) *Connection {
	now := time.Now()
	connection := &Connection{raw: raw, source: source{raw: raw}, lastUsedAt: now, openedAt: now}
	connection.reader = bufio.NewReaderSize(&connection.source, readBufferBytes)
	return connection
}

// write sends a request. It counts the write before it, since a part may be sent even if the write fails.
func (c *Connection) write(encoded []byte, body net.Buffers) error {
	c.writes.Add(1)
	if _, err := c.raw.Write(encoded); err != nil || len(body) == 0 {
		return err
	}
	return c.writeBody(body)
}

func (c *Connection) writeBody(parts net.Buffers) error {
	_, err := parts.WriteTo(c.raw)
	return err
}

func (c *Connection) close() { _ = c.raw.Close() }

// clean reports whether an idle connection is still open and has no unread data. Such data would be taken
// for the response to the next request.
func (c *Connection) clean() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	return openWithoutData(c.raw)
}

// Exchange is a request and its response.
type Exchange struct {
	pool       *Pool
	connection *Connection
	response   *http.Response
	// written receives the result of writing the request.
	written chan error
	// cancelCloseOnDone undoes closeOnDone; it returns false if the connection has been closed.
	cancelCloseOnDone func() bool
	finished          bool
}

// OpenedAt returns when the connection was opened.
func (e *Exchange) OpenedAt() time.Time { return e.connection.openedAt }

// HeardAt returns when the engine sent something last. It must not be called after Finish, when the connection may carry another exchange.
func (e *Exchange) HeardAt() time.Time { return time.Unix(0, e.connection.source.heardAt.Load()) }

// Response returns the response; its body is read from the connection.
func (e *Exchange) Response() *http.Response { return e.response }

// Finish ends an exchange whose body was read to its end. The connection returns to the pool if it is
// reusable, and is closed otherwise.
func (e *Exchange) Finish() {
	if e.finished {
		return
	}
	e.finished = true
	if !e.cancelCloseOnDone() || !e.reusable() {
		e.connection.close()
		e.pool.connectionClosed(e.connection)
		return
	}
	e.connection.updateIdleDeadline(e.response)
	e.pool.put(e.connection)
}

// reusable reports whether the connection can carry another request. Since an engine may respond before it has read
// the whole request, reusable waits up to writeDrainTimeout for the rest to be written.
func (e *Exchange) reusable() bool {
	if e.response.Close || e.connection.reader.Buffered() > 0 {
		return false
	}
	select {
	case err := <-e.written:
		return err == nil
	case <-time.After(writeDrainTimeout):
		return false
	}
}

// writeWasReset reports whether the write of the request failed because the peer had reset the connection. After an orderly close it fails
// otherwise. It waits up to writeDrainTimeout for the write.
func (e *Exchange) writeWasReset() bool {
	select {
	case err := <-e.written:
		// Further reads of the body ask again.
		e.written <- err
		return errors.Is(err, syscall.ECONNRESET)
	case <-time.After(writeDrainTimeout):
		return false
	}
}

// Discard ends an exchange whose body is of no use. The connection returns to the pool if the rest of the body has at most limit
// bytes and arrives within discardTimeout, and is closed otherwise.
func (e *Exchange) Discard(limit int64) {
	defer e.Abort()
	if e.response.ContentLength < 0 || e.response.ContentLength > limit || e.connection.raw.SetReadDeadline(time.Now().Add(discardTimeout)) != nil {
		return
	}
	if _, err := io.Copy(io.Discard, e.response.Body); err != nil || e.connection.raw.SetReadDeadline(time.Time{}) != nil {
		return
	}
	e.Finish()
}

// Abort ends an exchange and closes its connection, so that the engine cancels the request. It does nothing
// after Finish.
func (e *Exchange) Abort() {
	if e.finished {
		return
	}
	e.finished = true
	e.cancelCloseOnDone()
	e.connection.close()
	e.pool.connectionClosed(e.connection)
}

// closeOnDone closes the connection when the context is done, which unblocks reads and writes. The returned function
// undoes this, and returns false if the connection has been closed.
func closeOnDone(ctx context.Context, connection *Connection) func() bool {
	return context.AfterFunc(ctx, connection.close)
}
