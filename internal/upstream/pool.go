// Package upstream keeps connections to engines and carries requests over them, one at a time on
// each. It is not net/http's transport, for that one may send a request again by itself, adds
// headers, and takes what arrives next for the answer. Here a request is written once, byte for
// byte, and the caller learns whether any of it may have reached the engine.
//
// Usage:
//
//	pool := upstream.NewPool("10.0.0.7:8000", 20, upstream.Dialer(time.Second, 2*time.Second))
//	exchange, err := pool.Send(ctx, request)
//	if err != nil { ... var failed *upstream.ErrExchange; errors.As(err, &failed); failed.Sent ... }
//	... read exchange.Response().Body ...
//	exchange.Finish()   // or Abort, if it was not read to its end
package upstream

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// idleLimit is how long a connection of an engine that names no time is kept.
	idleLimit = 4 * time.Second
	// lateWriteWait is how long the rest of a request may take to leave after an early answer.
	lateWriteWait = 50 * time.Millisecond
)

// ErrExchange means that no head of an answer came.
type ErrExchange struct {
	// Sent tells whether the engine may have got the request.
	Sent  bool
	cause error
}

// Error implements error.
func (e *ErrExchange) Error() string {
	if e.Sent {
		return "the engine may have got the request: " + e.cause.Error()
	}
	return "the request was not sent: " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *ErrExchange) Unwrap() error { return e.cause }

// ErrConnectionLimit means that all connections that this node may have to the engine are in use.
type ErrConnectionLimit struct{ Limit int }

// Error implements error.
func (*ErrConnectionLimit) Error() string { return "all connections to the engine are in use" }

// ErrProtocolSwitched means that an engine switched protocols on the connection.
type ErrProtocolSwitched struct{}

// Error implements error.
func (*ErrProtocolSwitched) Error() string { return "the engine switched protocols" }

// Pool holds the connections to one engine. All methods may be called concurrently.
type Pool struct {
	address string
	dial    func(ctx context.Context, address string) (net.Conn, error)

	mutex  sync.Mutex
	limit  int
	idle   []*Connection
	open   int
	opened int64
	closed bool
}

// NewPool returns a Pool that opens at most limit connections.
func NewPool(address string, limit int, dial func(ctx context.Context, address string) (net.Conn, error)) *Pool {
	return &Pool{address: address, limit: max(limit, 1), dial: dial}
}

// Opened is how many connections were opened so far.
func (p *Pool) Opened() int64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.opened
}

// Idle tells whether a connection is open and free, and the engine will not close it by the time of a request.
func (p *Pool) HasIdle() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.idle) > 0 && !p.idle[len(p.idle)-1].expired(time.Now())
}

// SetLimit changes how many connections may be open; those over it end when they are free.
func (p *Pool) SetLimit(limit int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.limit = max(limit, 1)
}

// Close closes idle connections; those in use end with their exchange.
func (p *Pool) Close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.closed = true
	for _, connection := range p.idle {
		connection.close()
	}
	p.open -= len(p.idle)
	p.idle = nil
}

// get returns the connection that was used last, or opens one.
func (p *Pool) get(ctx context.Context) (*Connection, error) {
	if connection := p.takeIdle(); connection != nil {
		return connection, nil
	}
	p.mutex.Lock()
	if p.open >= p.limit {
		limit := p.limit
		p.mutex.Unlock()
		return nil, errors.WithStack(&ErrConnectionLimit{Limit: limit})
	}
	p.open++
	p.opened++
	p.mutex.Unlock()
	raw, err := p.dial(ctx, p.address)
	if err != nil {
		p.discard(nil)
		return nil, err
	}
	return newConnection(raw), nil
}

func (p *Pool) takeIdle() *Connection {
	now := time.Now()
	for {
		p.mutex.Lock()
		if len(p.idle) == 0 {
			p.mutex.Unlock()
			return nil
		}
		last := len(p.idle) - 1
		connection := p.idle[last]
		p.idle = p.idle[:last]
		p.mutex.Unlock()
		if !connection.expired(now) && connection.quiet() {
			return connection
		}
		connection.close()
		p.discard(connection)
	}
}

func (p *Pool) put(connection *Connection) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed || p.open > p.limit {
		connection.close()
		p.open--
		return
	}
	p.idle = append(p.idle, connection)
}

// discard counts a connection that was closed.
func (p *Pool) discard(*Connection) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.open--
}
