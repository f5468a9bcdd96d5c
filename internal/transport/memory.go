package transport

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/membudget"
)

// Messages of peers, queued lines and accepted connections count in the memory budget. A message that doesn't fit is
// discarded, and its sender is told so. Nothing waits for memory: two nodes would wait for each other.

const (
	// uncountedBytes is the size up to which lines don't count, so that heartbeats and probes need no memory of the budget.
	uncountedBytes = 1 << 10
	// connectionBytes is what an accepted connection occupies: two buffers, the queue and two goroutines.
	connectionBytes = 28 << 10
	// handlerBytes is what a running handler occupies beside its message.
	handlerBytes = 8 << 10
	// maxDoubledBytes is the size from which the buffer of a line grows by half.
	maxDoubledBytes = 1 << 20
	// bufferFactor covers the buffer of a line and the one that it is copied from.
	bufferFactor = 2
	// messageFactor covers the payload of a message, what it is decoded to and what a handler encodes of that.
	messageFactor = 3
	// responseFactor covers an encoded response and its line.
	responseFactor = 2
	// lineTimeout is how long the rest of a line may take that exceeds the connection's buffer.
	lineTimeout = 15 * time.Second

	// Places of the memory budget.
	linePlace       = "line of a node"
	replyPlace      = "reply of a node"
	requestPlace    = "request to a node"
	connectionPlace = "connection of a node"
)

// decodeHead returns the kind and the ID of a message from the first bytes of its line; zero if they aren't there.
func decodeHead(part []byte) frame {
	end := bytes.Index(part[:min(len(part), connectionBufferBytes)], payloadField)
	if end < 0 {
		return frame{}
	}
	head, err := decodeHeadFields(part[:end])
	if err != nil {
		return frame{}
	}
	return head
}

// readMessage returns the next message, and the size of its line, with the memory for it reserved. If there is none, the
// line is discarded, and the message has refused set and no payload.
func (c *connection) readMessage() (incoming frame, size int, err error) {
	line, err := c.reader.ReadSlice('\n')
	if err == nil {
		return c.decodeReserved(line, c.transport.options.Memory.Open(linePlace))
	}
	if !errors.Is(err, bufio.ErrBufferFull) {
		return frame{}, 0, endOfLine(err, len(line))
	}
	_ = c.raw.SetReadDeadline(time.Now().Add(lineTimeout))
	head := decodeHead(line)
	if head.Reply && head.ID != 0 && !c.awaits(head.ID) {
		return head, 0, c.discardLine(line, 0)
	}
	reservation := c.reserveFor(head)
	line, err = c.readLongLine(line, reservation)
	if err == nil {
		return c.decodeReserved(line, reservation)
	}
	reservation.Release()
	var exhausted *membudget.ErrExhausted
	if !errors.As(err, &exhausted) {
		return frame{}, 0, err
	}
	head.refused = exhausted
	return head, 0, nil
}

// reserveFor returns the reservation for a long message. Replies that this node waits for go before requests: what they
// are for holds memory, too.
func (c *connection) reserveFor(head frame) *membudget.Reservation {
	if head.Reply {
		return c.transport.options.Memory.OpenPreferred(replyPlace)
	}
	return c.transport.options.Memory.Open(linePlace)
}

// decodeReserved decodes a line and adapts the reservation to what the message occupies until it is answered.
func (c *connection) decodeReserved(line []byte, reservation *membudget.Reservation) (frame, int, error) {
	needed := messageBytes(len(line))
	var exhausted *membudget.ErrExhausted
	if err := reservation.Grow(needed - reservation.Held()); errors.As(err, &exhausted) {
		reservation.Release()
		head := decodeHead(line)
		head.refused = exhausted
		return head, len(line), nil
	}
	decoded, err := decodeFrame(line)
	if err != nil {
		reservation.Release()
		return frame{}, len(line), errors.WithStack(&errMalformedLine{cause: err})
	}
	reservation.Shrink(reservation.Held() - needed)
	decoded.reservation = reservation
	return decoded, len(line), nil
}

// messageBytes returns the memory of a message whose line has the given size.
func messageBytes(size int) int64 {
	if size <= uncountedBytes {
		return 0
	}
	return messageFactor * int64(size)
}

// readLongLine returns the line that begins with part, including its newline. After an ErrExhausted, the whole line has been
// read.
func (c *connection) readLongLine(part []byte, reservation *membudget.Reservation) ([]byte, error) {
	var line []byte
	for {
		if len(line)+len(part) > MaxLineBytes {
			return nil, &ErrLineTooLong{Limit: MaxLineBytes}
		}
		if len(line)+len(part) > cap(line) {
			larger := nextBufferSize(cap(line))
			if err := reservation.Grow(bufferFactor * int64(larger-cap(line))); err != nil {
				return nil, errors.CombineErrors(c.discardLine(part, len(line)), err)
			}
			line = append(make([]byte, 0, larger), line...)
		}
		line = append(line, part...)
		if line[len(line)-1] == '\n' {
			return line, nil
		}
		var err error
		part, err = c.reader.ReadSlice('\n')
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return nil, endOfLine(err, len(line))
		}
	}
}

func nextBufferSize(size int) int {
	if size < maxDoubledBytes {
		return max(2*size, 4*connectionBufferBytes)
	}
	return size + size/2
}

// discardLine reads the rest of a line of which part and read bytes before it have been read.
func (c *connection) discardLine(part []byte, read int) error {
	for {
		read += len(part)
		if read > MaxLineBytes {
			return &ErrLineTooLong{Limit: MaxLineBytes}
		}
		if len(part) > 0 && part[len(part)-1] == '\n' {
			return nil
		}
		var err error
		part, err = c.reader.ReadSlice('\n')
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return endOfLine(err, read)
		}
	}
}

// endOfLine returns the error of a read within a line of which some bytes have been read.
func endOfLine(err error, read int) error {
	if errors.Is(err, io.EOF) && read > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}

// refuseForMemory handles a message that was discarded for want of memory.
func (c *connection) refuseForMemory(incoming frame) {
	if c.transport.refusalLogs.Allow() {
		c.transport.options.Logger.Emit(events.PeerMessageRefused, events.F("peer", c.peer.Address), events.F("kind", incoming.Kind), events.F("error", incoming.refused))
	}
	switch {
	case incoming.ID == 0:
		c.transport.traffic.countDropped()
	case incoming.Reply:
		c.deliverReply(frame{ID: incoming.ID, Reply: true, Error: apierr.New(apierr.Overloaded, apierr.OutcomeUnknown, "%s", incoming.refused)})
	default:
		failure := overloaded(incoming.refused)
		if incoming.Kind == relayKind {
			// Overloaded would be taken for an answer of the peer.
			failure.Code = apierr.RelayFailed
		}
		c.tryEnqueue(frame{Kind: incoming.Kind, ID: incoming.ID, Reply: true, Error: failure})
	}
}

// errNotSent means that there is no memory for a request of this node. Over another route it may have been sent.
type errNotSent struct{ cause *apierr.Error }

// Error implements error.
func (e *errNotSent) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *errNotSent) Unwrap() error { return e.cause }

func overloaded(cause error) *apierr.Error {
	return apierr.New(apierr.Overloaded, apierr.NotRun, "%s", cause)
}

type reservationKey struct{}

// served is the memory of a request that a handler is running.
type served struct {
	reservation *membudget.Reservation
	// response is how much of it was reserved for the response.
	response int64
}

// ReserveResponse reserves memory for a response that holds the given number of bytes as base64, until it is sent. Handlers
// of large responses call it before they load them. The error is an apierr.Error with Overloaded and NotRun.
func ReserveResponse(ctx context.Context, bytes int64) error {
	current, found := ctx.Value(reservationKey{}).(*served)
	if !found || bytes <= uncountedBytes {
		return nil
	}
	// The bytes themselves, and their encoding, which is a third longer, once for the payload and once for the line.
	needed := bytes + responseFactor*(bytes+bytes/3)
	if err := current.reservation.Grow(needed); err != nil {
		return overloaded(err)
	}
	current.response += needed
	return nil
}

// reserveEncoded reserves memory for an encoded response unless the handler has.
func (s *served) reserveEncoded(size int) error {
	needed := responseFactor*int64(size) - s.response
	if size <= uncountedBytes || needed <= 0 {
		return nil
	}
	return s.reservation.Grow(needed)
}

// drainQueue releases the memory of lines that are queued on a closed connection.
func (c *connection) drainQueue() {
	for {
		select {
		case line := <-c.queue:
			line.reservation.Release()
		default:
			return
		}
	}
}
