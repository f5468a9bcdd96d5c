// Package membudget bounds the memory that a process uses for the bytes of other processes: requests, responses, messages
// of peers and listings. Each of these has a size limit of its own; the budget limits their sum.
//
// The budget counts bytes that are referenced. The Go runtime needs up to half as much again for garbage, so that a
// budget has to be well below the memory limit of the process.
//
// Usage:
//
//	budget := membudget.New(64<<20, membudget.NewMetrics(registerer))
//	...
//	reservation := budget.Open("request body")
//	defer reservation.Release()
//	if err := reservation.Grow(incoming.ContentLength); err != nil { ... refuse, nothing has run ... }
//	body, err := membudget.ReadAll(incoming.Body, limit, reservation)
package membudget

import (
	"fmt"
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	// SmallBytes is the size up to which a reservation may use the whole budget.
	SmallBytes = 64 << 10
	// smallShareDivisor is the fraction of the budget, as 1/n, that only small reservations may use, so that small
	// calls succeed while large ones are refused.
	smallShareDivisor = 4
)

// ErrExhausted means that the budget has no room for Bytes more.
type ErrExhausted struct {
	// Place names what was read.
	Place string
	Bytes int64
	// Used and Limit are those of the budget in bytes.
	Used, Limit int64
}

// Error implements error.
func (e *ErrExhausted) Error() string {
	return fmt.Sprintf("no memory for %d bytes of a %s: %d of %d bytes are in use", e.Bytes, e.Place, e.Used, e.Limit)
}

// Budget is a number of bytes that reservations share. A nil Budget has no limit. All methods may be called concurrently.
type Budget struct {
	limit   int64
	metrics *Metrics

	mutex sync.Mutex
	used  int64
}

// New returns a Budget of limit bytes. The metrics may be nil.
func New(limit int64, metrics *Metrics) *Budget { return &Budget{limit: limit, metrics: metrics} }

// Used returns the reserved bytes.
func (b *Budget) Used() int64 {
	if b == nil {
		return 0
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.used
}

// Open returns an empty reservation. The place names what is read, for errors and metrics.
func (b *Budget) Open(place string) *Reservation { return &Reservation{budget: b, place: place} }

// OpenPreferred returns an empty reservation that may use the whole budget at any size: for bytes that let others be
// released.
func (b *Budget) OpenPreferred(place string) *Reservation {
	return &Reservation{budget: b, place: place, preferred: true}
}

// grow takes bytes for a reservation that holds held bytes already.
func (b *Budget) grow(place string, held, bytes int64, preferred bool) error {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	limit := b.limit
	if !preferred && held+bytes > SmallBytes {
		limit -= limit / smallShareDivisor
	}
	if b.used+bytes > limit {
		b.metrics.countRefused(place)
		return errors.WithStack(&ErrExhausted{Place: place, Bytes: bytes, Used: b.used, Limit: limit})
	}
	b.used += bytes
	b.metrics.setUsed(b.used)
	return nil
}

func (b *Budget) release(bytes int64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.used -= bytes
	b.metrics.setUsed(b.used)
}

// Reservation is the part of a Budget that one call holds. It must be released once, after the last use of the bytes. It may
// be grown and released by different goroutines. A nil Reservation has no limit.
type Reservation struct {
	budget    *Budget
	place     string
	preferred bool

	mutex    sync.Mutex
	held     int64
	released bool
}

// Grow reserves more bytes. If the error is an ErrExhausted, the reservation is unchanged.
func (r *Reservation) Grow(bytes int64) error {
	if r == nil || r.budget == nil || bytes <= 0 {
		return nil
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.released {
		return errors.AssertionFailedf("a released reservation of a %s grows by %d bytes", r.place, bytes)
	}
	if err := r.budget.grow(r.place, r.held, bytes, r.preferred); err != nil {
		return err
	}
	r.held += bytes
	return nil
}

// Shrink returns bytes to the budget, but not more than the reservation holds.
func (r *Reservation) Shrink(bytes int64) {
	if r == nil || r.budget == nil || bytes <= 0 {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	bytes = min(bytes, r.held)
	r.held -= bytes
	r.budget.release(bytes)
}

// Held returns the reserved bytes.
func (r *Reservation) Held() int64 {
	if r == nil {
		return 0
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.held
}

// Release returns all bytes to the budget. Further calls have no effect.
func (r *Reservation) Release() {
	if r == nil || r.budget == nil {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.released {
		return
	}
	r.released = true
	r.budget.release(r.held)
	r.held = 0
}
