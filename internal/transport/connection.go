package transport

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/membudget"
)

// errConnectionClosed means that the connection was closed before the reply arrived.
var errConnectionClosed = &connectionClosed{}

type connectionClosed struct{}

// Error implements error.
func (*connectionClosed) Error() string { return "connection closed" }

type outgoingLine struct {
	kind string
	line []byte
	// reservation is released once the line is written.
	reservation *membudget.Reservation
}

// connection is one TCP connection. It carries requests, replies and one-way messages in both directions.
type connection struct {
	transport *Transport
	raw       net.Conn
	reader    *bufio.Reader
	peer      Peer
	// dialled is true if this node has opened the connection.
	dialled bool
	// identity is what the peer's last hello says; nil before the first one.
	identity atomic.Pointer[identity]
	// logRefusal limits the log lines about misdirected messages to one.
	logRefusal sync.Once
	// canRelay is true if the peer's hello says that it forwards requests for other nodes.
	canRelay     bool
	queue        chan outgoingLine
	handlerSlots chan struct{}
	done         chan struct{}
	// context ends when the connection is closed.
	context   context.Context
	cancel    context.CancelFunc
	closeOnce sync.Once
	// lastReceived is when the last line arrived, in nanoseconds since processStart; initially the time at
	// which the connection was created.
	lastReceived atomic.Int64
	openedAt     time.Time
	// memory is what an accepted connection occupies; nil for others.
	memory *membudget.Reservation

	mutex sync.Mutex
	// pending holds the requests sent to the peer that have no reply yet.
	pending map[uint64]*pendingRequest
	// serving holds the IDs of the peer's requests whose replies are not queued yet.
	serving map[uint64]bool
	// probeSentAt is when the oldest unanswered liveness probe was sent; zero if there is none.
	probeSentAt time.Time
}

// pendingRequest is a request sent by this node. Lines arrive in order, so a peer that received a probe after
// the queued request must be running it or have replied to it.
type pendingRequest struct {
	replies chan frame
	queued  bool
}

// processStart is the origin of connection.lastReceived.
var processStart = time.Now()

func newConnection(t *Transport, raw net.Conn, peer Peer) *connection {
	created := &connection{
		transport:    t,
		raw:          raw,
		reader:       bufio.NewReaderSize(raw, connectionBufferBytes),
		peer:         peer,
		queue:        make(chan outgoingLine, maxQueuedLines),
		handlerSlots: make(chan struct{}, maxConcurrentHandlers),
		done:         make(chan struct{}),
		pending:      make(map[uint64]*pendingRequest),
		serving:      make(map[uint64]bool),
	}
	created.context, created.cancel = context.WithCancel(context.Background())
	created.openedAt = time.Now()
	created.markReceived()
	return created
}

func (c *connection) markReceived() { c.lastReceived.Store(int64(time.Since(processStart))) }

// sinceLastReceived returns the time since the last line arrived.
func (c *connection) sinceLastReceived(now time.Time) time.Duration {
	return now.Sub(processStart) - time.Duration(c.lastReceived.Load())
}

// start runs the reader and the writer, which register has already added to the transport's tasks.
func (c *connection) start() {
	go c.readLoop()
	go c.writeLoop()
}

func (c *connection) close() {
	c.closeOnce.Do(func() {
		close(c.done)
		c.cancel()
		_ = c.raw.Close()
		c.memory.Release()
		c.transport.unregister(c)
	})
}

func (c *connection) readHello() (hello, error) {
	line, err := readLine(c.reader, maxHelloBytes)
	if err != nil {
		return hello{}, errors.Wrap(err, "reading the first line")
	}
	decoded, err := decodeFrame(line)
	if err != nil || decoded.Kind != helloKind {
		return hello{}, apierr.New(apierr.InvalidRequest, apierr.NotRun, "the first line is not a hello")
	}
	var peerHello hello
	if err := json.Unmarshal(decoded.Payload, &peerHello); err != nil {
		return hello{}, errors.Wrap(err, "decoding the hello")
	}
	return peerHello, nil
}

func (c *connection) addPending(id uint64) chan frame {
	replies := make(chan frame, 1)
	c.mutex.Lock()
	c.pending[id] = &pendingRequest{replies: replies}
	c.mutex.Unlock()
	return replies
}

// markQueued records that a request's line is in the write queue, so that probes may list it.
func (c *connection) markQueued(id uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if request := c.pending[id]; request != nil {
		request.queued = true
	}
}

// removePending forgets a request. A reply that nobody has taken is dropped.
func (c *connection) removePending(id uint64, replies <-chan frame) {
	c.mutex.Lock()
	delete(c.pending, id)
	c.mutex.Unlock()
	select {
	case reply := <-replies:
		reply.reservation.Release()
	default:
	}
}

// awaits reports whether a request is pending.
func (c *connection) awaits(id uint64) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.pending[id] != nil
}

func encodeLine(outgoing frame) (outgoingLine, error) {
	line, err := outgoing.encode()
	if err != nil {
		return outgoingLine{}, err
	}
	if len(line) > MaxLineBytes {
		return outgoingLine{}, &ErrLineTooLong{Limit: MaxLineBytes}
	}
	return outgoingLine{kind: outgoing.Kind, line: line}, nil
}

// enqueue encodes and queues a message. The reservation is released once it is written, or after an error.
func (c *connection) enqueue(ctx context.Context, outgoing frame, reservation *membudget.Reservation) error {
	line, err := encodeLine(outgoing)
	if err == nil {
		line.reservation = reservation
		err = c.enqueueLine(ctx, line)
	}
	if err != nil {
		reservation.Release()
	}
	return err
}

func (c *connection) enqueueLine(ctx context.Context, line outgoingLine) error {
	select {
	case c.queue <- line:
	case <-c.done:
		return errConnectionClosed
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-c.done:
		c.drainQueue()
	default:
	}
	return nil
}

func (c *connection) tryEnqueue(outgoing frame) {
	line, err := encodeLine(outgoing)
	if err != nil {
		return
	}
	select {
	case c.queue <- line:
	default:
		c.transport.traffic.countDropped()
	}
}

// writeLoop writes queued lines and flushes when the queue is empty.
func (c *connection) writeLoop() {
	defer c.transport.tasks.Done()
	defer c.drainQueue()
	defer c.close()
	writer := bufio.NewWriterSize(c.raw, connectionBufferBytes)
	for {
		select {
		case line := <-c.queue:
			_ = c.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
			if !c.writeBatch(writer, line) {
				return
			}
		case <-c.done:
			return
		}
	}
}

func (c *connection) writeBatch(writer *bufio.Writer, line outgoingLine) bool {
	for {
		_, err := writer.Write(line.line)
		line.reservation.Release()
		if err != nil {
			return false
		}
		c.transport.traffic.countSent(line.kind, len(line.line))
		select {
		case line = <-c.queue:
		default:
			return writer.Flush() == nil
		}
	}
}

func (c *connection) readLoop() {
	defer c.transport.tasks.Done()
	defer c.close()
	for {
		_ = c.raw.SetReadDeadline(time.Now().Add(idleTimeout))
		incoming, size, err := c.readMessage()
		if err != nil {
			c.reportReadError(err)
			return
		}
		c.markReceived()
		c.transport.traffic.countReceived(incoming.Kind, size, c.transport.handles(incoming.Kind))
		if incoming.refused != nil {
			c.refuseForMemory(incoming)
			continue
		}
		if incoming.Kind == helloKind {
			err := c.handleHello(incoming)
			incoming.reservation.Release()
			if err != nil {
				c.transport.options.Logger.Emit(events.PeerRejected, events.F("peer", c.peer.Address), events.F("error", err))
				return
			}
			continue
		}
		c.dispatch(incoming)
	}
}

func (c *connection) reportReadError(err error) {
	var tooLong *ErrLineTooLong
	var malformed *errMalformedLine
	switch {
	case errors.As(err, &tooLong):
		c.transport.options.Logger.Emit(events.PeerLineTooLong, events.F("peer", c.peer.Address))
	case errors.As(err, &malformed):
		c.transport.options.Logger.Emit(events.PeerRejected, events.F("peer", c.peer.Address), events.F("error", err))
	}
}

func (c *connection) dispatch(incoming frame) {
	switch {
	case incoming.Kind == livenessKind:
		c.handleLiveness(incoming)
		incoming.reservation.Release()
		return
	case incoming.Reply:
		c.deliverReply(incoming)
		return
	}
	if err := c.transport.checkRecipient(incoming); err != nil {
		incoming.reservation.Release()
		c.refuse(incoming, err)
		return
	}
	if incoming.ID != 0 {
		c.serveRequest(incoming)
		return
	}
	defer incoming.reservation.Release()
	if handler := c.transport.oneWay[incoming.Kind]; handler != nil {
		handler(c.sender(), incoming.Payload)
	}
}

func (c *connection) deliverReply(incoming frame) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	request := c.pending[incoming.ID]
	if request == nil {
		incoming.reservation.Release()
		return
	}
	delete(c.pending, incoming.ID)
	// The channel has room for the only reply. Sent under the mutex, it is there for removePending.
	request.replies <- incoming
}

// serveRequest runs a request's handler in a task. It blocks the reader while maxConcurrentHandlers are running.
func (c *connection) serveRequest(incoming frame) {
	if err := incoming.reservation.Grow(handlerBytes); err != nil {
		incoming.reservation.Release()
		incoming.refused = err
		c.refuseForMemory(incoming)
		return
	}
	select {
	case c.handlerSlots <- struct{}{}:
	case <-c.done:
		incoming.reservation.Release()
		return
	}
	c.setServing(incoming.ID, true)
	c.transport.spawn(func() {
		defer func() { <-c.handlerSlots }()
		defer c.setServing(incoming.ID, false)
		// A handler may leave goroutines that its context ends.
		ctx, cancel := context.WithCancel(c.context)
		defer cancel()
		c.sendReply(ctx, c.runHandler(ctx, incoming), incoming.reservation)
	})
}

// sendReply queues a reply, or in place of one that is too long an error.
func (c *connection) sendReply(ctx context.Context, reply frame, reservation *membudget.Reservation) {
	err := c.enqueue(ctx, reply, reservation)
	var tooLong *ErrLineTooLong
	if errors.As(err, &tooLong) {
		failure := apierr.New(apierr.BodyTooLarge, apierr.OutcomeUnknown, "the response to %s exceeds %d bytes", reply.Kind, tooLong.Limit)
		_ = c.enqueue(ctx, frame{Kind: reply.Kind, ID: reply.ID, Reply: true, Error: failure}, nil)
	}
}

func (c *connection) runHandler(ctx context.Context, incoming frame) frame {
	reply := frame{Kind: incoming.Kind, ID: incoming.ID, Reply: true}
	handler := c.transport.handlers[incoming.Kind]
	if handler == nil {
		reply.Error = apierr.New(apierr.NotFound, apierr.NotRun, "this node does not serve %q", incoming.Kind)
		return reply
	}
	memory := &served{reservation: incoming.reservation}
	response, err := handler(context.WithValue(ctx, reservationKey{}, memory), c.sender(), incoming.Payload)
	if err != nil {
		reply.Error = apierr.From(err, apierr.OutcomeUnknown)
		return reply
	}
	reply.Payload, err = json.Marshal(response)
	if err != nil {
		reply.Error = apierr.New(apierr.Internal, apierr.OutcomeUnknown, "encoding the response: %s", err)
	}
	if err := memory.reserveEncoded(len(reply.Payload)); err != nil {
		reply.Payload, reply.Error = nil, apierr.New(apierr.Overloaded, apierr.OutcomeUnknown, "%s", err)
	}
	return reply
}
