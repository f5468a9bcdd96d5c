package membudget

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// Guards against small calls that fail while large ones use the budget.
func TestLargeReservationsLeaveRoomForSmallOnes(t *testing.T) {
	budget := New(8<<20, nil)
	large := budget.Open("large")
	assert.NilError(t, large.Grow(6<<20))
	err := budget.Open("large").Grow(SmallBytes + 1)
	var exhausted *ErrExhausted
	assert.Assert(t, errors.As(err, &exhausted))
	assert.Equal(t, exhausted.Limit, int64(6<<20))
	var small []*Reservation
	for range 2 << 20 / SmallBytes {
		reservation := budget.Open("small")
		assert.NilError(t, reservation.Grow(SmallBytes))
		small = append(small, reservation)
	}
	assert.Assert(t, errors.As(budget.Open("small").Grow(1), &exhausted))
	large.Release()
	large.Release()
	for _, reservation := range small {
		reservation.Release()
	}
	assert.Equal(t, budget.Used(), int64(0))
}

// Guards against buffers that outgrow what is reserved for them.
func TestReadAllReservesItsBuffer(t *testing.T) {
	for _, size := range []int{0, 1, minReadBytes - 1, minReadBytes, minReadBytes + 1, 100_000, 1 << 20} {
		for _, announced := range []int{0, size} {
			sent := bytes.Repeat([]byte("x"), size)
			budget := New(64<<20, nil)
			reservation := budget.Open("body")
			assert.NilError(t, reservation.Grow(int64(announced)))
			read, err := ReadAll(iotest.HalfReader(bytes.NewReader(sent)), 1<<20, reservation)
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(read, sent))
			assert.Assert(t, cap(read) <= minReadBytes || int64(cap(read)) <= reservation.Held(), "%d bytes: %d of %d reserved", size, reservation.Held(), cap(read))
			if announced > minReadBytes {
				assert.Assert(t, cap(read) <= announced+1)
			}
			reservation.Release()
			assert.Equal(t, budget.Used(), int64(0))
		}
	}
}

// Guards against input without end that is read until memory is exhausted.
func TestReadAllStopsAtItsLimits(t *testing.T) {
	endless := iotest.OneByteReader(strings.NewReader(strings.Repeat("x", 3<<20)))
	var tooLarge *ErrTooLarge
	_, err := ReadAll(endless, 100_000, New(64<<20, nil).Open("body"))
	assert.Assert(t, errors.As(err, &tooLarge))
	var exhausted *ErrExhausted
	_, err = ReadAll(io.MultiReader(endless, endless), 64<<20, New(1<<20, nil).Open("body"))
	assert.Assert(t, errors.As(err, &exhausted))
	failing := iotest.ErrReader(io.ErrUnexpectedEOF)
	_, err = ReadAll(failing, 1, nil)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
}
