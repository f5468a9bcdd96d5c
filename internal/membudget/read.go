package membudget

import (
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
)

// minReadBytes is the size of the first buffer of ReadAll.
const minReadBytes = 4 << 10

// maxDoubledBytes is the size up to which a buffer for expected bytes is doubled.
const maxDoubledBytes = 64 << 10

// ErrTooLarge means that a reader has more than Limit bytes.
type ErrTooLarge struct{ Limit int64 }

// Error implements error.
func (e *ErrTooLarge) Error() string { return fmt.Sprintf("more than %d bytes", e.Limit) }

// ReadAll reads to the end, up to limit bytes. What the reservation holds at the call is taken for the bytes to come; it
// grows if there are more. The buffer grows with the bytes that arrive, and from maxDoubledBytes on to the whole reservation at once, since
// each larger buffer leaves a copy for the garbage collector. Where more arrives than was expected, the copy is reserved as well. The error is an ErrTooLarge, an ErrExhausted or one of the reader.
func ReadAll(reader io.Reader, limit int64, reservation *Reservation) ([]byte, error) {
	expected := reservation.Held()
	reserved := expected
	buffer := make([]byte, 0, minReadBytes)
	for {
		if len(buffer) == cap(buffer) {
			size := growTo(int64(cap(buffer)), expected, limit)
			needed := size
			if size > expected+1 {
				needed += int64(cap(buffer))
			}
			if err := reservation.Grow(needed - reserved); err != nil {
				return nil, err
			}
			reserved = max(reserved, needed)
			larger := make([]byte, len(buffer), size)
			copy(larger, buffer)
			buffer = larger
		}
		read, err := reader.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+read]
		if int64(len(buffer)) > limit {
			return nil, errors.WithStack(&ErrTooLarge{Limit: limit})
		}
		if errors.Is(err, io.EOF) {
			return buffer, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// growTo returns the next size of a buffer: twice as large or the expected size, but no larger than what is expected or allowed, with a
// byte more in which the reader tells its end.
func growTo(size, expected, limit int64) int64 {
	next := 2 * size
	if size <= expected && (next > expected || next > maxDoubledBytes) {
		next = expected + 1
	}
	return min(next, limit+1)
}
