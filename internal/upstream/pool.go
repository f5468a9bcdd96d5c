// Package upstream is an HTTP/1.1 client with connection pools for engines. Unlike net/http's Transport, it
// never retries a request by itself, adds no headers, and does not reuse a connection with unexpected data.
// An error tells whether any part of the request may have reached the engine.
//
// Usage:
//
//	pool := upstream.NewPool("10.0.0.7:8000", 20, upstream.Dialer(time.Second, 2*time.Second))
//	exchange, err := pool.Send(ctx, request)
//	if err != nil { ... var failed *upstream.ErrExchange; errors.As(err, &failed); failed.Sent ... }
//	... read exchange.Response().Body ...
//	exchange.Finish()   // or Abort if the body was not read to its end
package upstream

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mountstile/mountstile/internal/membudget"
)

const (
	// defaultIdleTimeout is the idle timeout of connections whose engine sends no keep-alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// writeDrainTimeout is how long Finish waits for the rest of a request to be written after an early response.
	writeDrainTimeout = 50 * time.Millisecond
	// discardTimeout is how long Discard waits for the rest of a body.
	discardTimeout = 50 * time.Millisecond
)

// ErrExchange means that no response was received.
type ErrExchange struct {
	// Sent is set if the engine may have received the request or a part of it.
	Sent  bool
	cause error
}

// Error implements error.
func (e *ErrExchange) Error() string {
	if e.Sent {
		return "no response to a request that the engine may have received: " + e.cause.Error()
	}
	return "request was not sent: " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *ErrExchange) Unwrap() error { return e.cause }

// ErrConnectionLimit means that the pool has reached its limit and no connection is idle.
type ErrConnectionLimit struct{ Limit int }

// Error implements error.
func (*ErrConnectionLimit) Error() string { return "connection limit for the engine reached" }

// ErrProtocolSwitched means that the engine responded with 101 Switching Protocols.
type ErrProtocolSwitched struct{}

// Error implements error.
func (*ErrProtocolSwitched) Error() string { return "engine switched protocols" }

// Pool is a pool of connections to one engine. All methods may be called concurrently.
type Pool struct {
	address string
	dial    func(ctx context.Context, address string) (net.Conn, error)
	memory  *membudget.Budget

	mutex sync.Mutex
	limit int
	idle  []*Connection
	// open are all connections, those in use included.
	open map[*Connection]struct{}
	// openCount is the number of connections that are open or being dialed; openedTotal counts all dials so far.
	openCount   int
	openedTotal int64
	closed      bool
}

// NewPool returns a Pool of at most limit connections. A limit below 1 counts as 1.
func NewPool(address string, limit int, dial func(ctx context.Context, address string) (net.Conn, error)) *Pool {
	return &Pool{address: address, limit: max(limit, 1), dial: dial, open: make(map[*Connection]struct{})}
}

// SetMemory sets the budget for heads of responses. It must be called before Send.
func (p *Pool) SetMemory(memory *membudget.Budget) { p.memory = memory }

// Opened returns the number of connections dialed since the pool was created, including failed dials.
func (p *Pool) Opened() int64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.openedTotal
}

// HasIdle reports whether the most recently used idle connection has not expired. The engine may have closed it, which
// only Send checks.
func (p *Pool) HasIdle() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.idle) > 0 && !p.idle[len(p.idle)-1].expired(time.Now())
}

// SetLimit changes the connection limit. Surplus connections are closed when their exchange ends.
func (p *Pool) SetLimit(limit int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.limit = max(limit, 1)
}

// Close closes idle connections; others are closed when their exchange ends.
func (p *Pool) Close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.closed = true
	for _, connection := range p.idle {
		connection.close()
		delete(p.open, connection)
	}
	p.openCount -= len(p.idle)
	p.idle = nil
}

// get returns the most recently used idle connection, or opens one.
func (p *Pool) get(ctx context.Context) (*Connection, error) {
	if connection := p.takeIdle(); connection != nil {
		return connection, nil
	}
	p.mutex.Lock()
	if p.openCount >= p.limit {
		limit := p.limit
		p.mutex.Unlock()
		return nil, errors.WithStack(&ErrConnectionLimit{Limit: limit})
	}
	p.openCount++
	p.openedTotal++
	p.mutex.Unlock()
	raw, err := p.dial(ctx, p.address)
	if err != nil {
		p.connectionClosed(nil)
		return nil, err
	}
	connection := newConnection(raw)
	connection.source.budget = p.memory
	p.mutex.Lock()
	p.open[connection] = struct{}{}
	p.mutex.Unlock()
	return connection, nil
}

// Liveness is what a probe tells of an engine.
type Liveness int

const (
	// LivenessUnknown means that the connection limit does not allow to find out.
	LivenessUnknown Liveness = iota
	// Accepting means that the engine accepts connections. It may have started again.
	Accepting
	// Surviving means that the engine has not ended since the time that the probe is about.
	Surviving
)

// Probe finds out whether the engine has ended since a time. A connection over which it had responded before shows that it has not;
// without one, Probe opens a connection and keeps it for later exchanges. The error is that of the dial.
func (p *Pool) Probe(ctx context.Context, since time.Time) (Liveness, error) {
	if p.Survives(since) {
		return Surviving, nil
	}
	connection, err := p.get(ctx)
	var limit *ErrConnectionLimit
	if errors.As(err, &limit) {
		return LivenessUnknown, nil
	}
	if err != nil {
		return LivenessUnknown, err
	}
	p.put(connection)
	return Accepting, nil
}

// Survives reports whether a connection over which the engine had responded is still open that was opened before a time. A listening
// socket accepts connections for a process that has ended, so those without a response show nothing.
func (p *Pool) Survives(since time.Time) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for connection := range p.open {
		if connection.responded.Load() && connection.openedAt.Before(since) && isOpen(connection.raw) {
			return true
		}
	}
	return false
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
		if !connection.expired(now) && connection.clean() {
			return connection
		}
		connection.close()
		p.connectionClosed(connection)
	}
}

func (p *Pool) put(connection *Connection) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed || p.openCount > p.limit {
		connection.close()
		p.openCount--
		delete(p.open, connection)
		return
	}
	p.idle = append(p.idle, connection)
}

// connectionClosed records that a connection no longer counts towards the limit. It is nil if its dial failed.
func (p *Pool) connectionClosed(connection *Connection) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.openCount--
	delete(p.open, connection)
}
