package statebench

import (
	"net"
	"sync"
	"time"
)

// delayed holds back what passes a connection, in both directions, by a fixed time.
type delayed struct {
	net.Conn
	distance time.Duration
	writes   chan parcel
	arrived  chan parcel
	once     sync.Once
	done     chan struct{}
	rest     []byte
}

type parcel struct {
	data []byte
	due  time.Time
	err  error
}

const (
	parcelsHeld = 4096
	parcelBytes = 64 << 10
)

func newDelayed(raw net.Conn, distance time.Duration) *delayed {
	created := &delayed{Conn: raw, distance: distance, writes: make(chan parcel, parcelsHeld), arrived: make(chan parcel, parcelsHeld), done: make(chan struct{})}
	go created.writeLoop()
	go created.readLoop()
	return created
}

func (d *delayed) writeLoop() {
	for {
		select {
		case next := <-d.writes:
			waitUntil(next.due)
			if _, err := d.Conn.Write(next.data); err != nil {
				return
			}
		case <-d.done:
			return
		}
	}
}

func (d *delayed) readLoop() {
	for {
		buffer := make([]byte, parcelBytes)
		count, err := d.Conn.Read(buffer)
		select {
		case d.arrived <- parcel{data: buffer[:count], due: time.Now().Add(d.distance), err: err}:
		case <-d.done:
			return
		}
		if err != nil {
			return
		}
	}
}

func waitUntil(due time.Time) {
	timer := time.NewTimer(time.Until(due))
	<-timer.C
}

// Write implements net.Conn.
func (d *delayed) Write(data []byte) (int, error) {
	select {
	case d.writes <- parcel{data: append([]byte(nil), data...), due: time.Now().Add(d.distance)}:
		return len(data), nil
	case <-d.done:
		return 0, net.ErrClosed
	}
}

// Read implements net.Conn.
func (d *delayed) Read(data []byte) (int, error) {
	if len(d.rest) == 0 {
		select {
		case next := <-d.arrived:
			waitUntil(next.due)
			if next.err != nil {
				return 0, next.err
			}
			d.rest = next.data
		case <-d.done:
			return 0, net.ErrClosed
		}
	}
	count := copy(data, d.rest)
	d.rest = d.rest[count:]
	return count, nil
}

// SetReadDeadline implements net.Conn; the bench has no idle connections to close.
func (d *delayed) SetReadDeadline(time.Time) error { return nil }

// Close implements net.Conn.
func (d *delayed) Close() error {
	d.once.Do(func() { close(d.done) })
	return d.Conn.Close()
}
