package statebench

import (
	"net"
	"sync"
	"time"
)

// delayedConn is a connection with a fixed added delay in each direction. Writes return before the
// data is sent, so that a sender isn't slowed down by the delay.
type delayedConn struct {
	net.Conn
	delay     time.Duration
	writes    chan chunk
	reads     chan chunk
	closeOnce sync.Once
	done      chan struct{}
	unread    []byte
}

// chunk is data that was written or received, with the time at which to pass it on.
type chunk struct {
	data []byte
	due  time.Time
	err  error
}

const (
	chunkQueueLength = 4096
	readBufferBytes  = 64 << 10
)

func newDelayedConn(conn net.Conn, delay time.Duration) *delayedConn {
	delayed := &delayedConn{Conn: conn, delay: delay, writes: make(chan chunk, chunkQueueLength), reads: make(chan chunk, chunkQueueLength), done: make(chan struct{})}
	go delayed.writeLoop()
	go delayed.readLoop()
	return delayed
}

func (d *delayedConn) writeLoop() {
	for {
		select {
		case next := <-d.writes:
			sleepUntil(next.due)
			if _, err := d.Conn.Write(next.data); err != nil {
				return
			}
		case <-d.done:
			return
		}
	}
}

func (d *delayedConn) readLoop() {
	for {
		buffer := make([]byte, readBufferBytes)
		count, err := d.Conn.Read(buffer)
		select {
		case d.reads <- chunk{data: buffer[:count], due: time.Now().Add(d.delay), err: err}:
		case <-d.done:
			return
		}
		if err != nil {
			return
		}
	}
}

func sleepUntil(due time.Time) {
	timer := time.NewTimer(time.Until(due))
	<-timer.C
}

// Write implements net.Conn.
func (d *delayedConn) Write(data []byte) (int, error) {
	select {
	case d.writes <- chunk{data: append([]byte(nil), data...), due: time.Now().Add(d.delay)}:
		return len(data), nil
	case <-d.done:
		return 0, net.ErrClosed
	}
}

// Read implements net.Conn.
func (d *delayedConn) Read(data []byte) (int, error) {
	if len(d.unread) == 0 {
		select {
		case next := <-d.reads:
			sleepUntil(next.due)
			if next.err != nil {
				return 0, next.err
			}
			d.unread = next.data
		case <-d.done:
			return 0, net.ErrClosed
		}
	}
	count := copy(data, d.unread)
	d.unread = d.unread[count:]
	return count, nil
}

// SetReadDeadline implements net.Conn. It is ignored: the benchmark has no idle connections to close.
func (d *delayedConn) SetReadDeadline(time.Time) error { return nil }

// Close implements net.Conn.
func (d *delayedConn) Close() error {
	d.closeOnce.Do(func() { close(d.done) })
	return d.Conn.Close()
}
