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
)

// errConnectionClosed means that the connection was closed before the reply arrived.
var errConnectionClosed = &connectionClosed{}

type connectionClosed struct{}

// Error implements error.
func (*connectionClosed) Error() string { return "connection closed" }

type outgoingLine struct {
	kind string
	line []byte
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
	closeOnce    sync.Once
	// lastReceived is when the last line arrived, in nanoseconds since processStart; initially the time at
	// which the connection was created.
	lastReceived atomic.Int64
	openedAt     time.Time

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
		_ = c.raw.Close()
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

func (c *connection) removePending(id uint64) {
	c.mutex.Lock()
	delete(c.pending, id)
	c.mutex.Unlock()
}

func encodeLine(outgoing frame) (outgoingLine, error) {
	line, err := json.Marshal(outgoing)
	if err != nil {
		return outgoingLine{}, err
	}
	kind := outgoing.Kind
	return outgoingLine{kind: kind, line: append(line, '\n')}, nil
}

func (c *connection) enqueue(ctx context.Context, outgoing frame) error {
	line, err := encodeLine(outgoing)
	if err != nil {
		return err
	}
	select {
	case c.queue <- line:
		return nil
	case <-c.done:
		return errConnectionClosed
	case <-ctx.Done():
		return ctx.Err()
	}
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
		if _, err := writer.Write(line.line); err != nil {
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
		line, err := readLine(c.reader, MaxLineBytes)
		if err != nil {
			c.reportReadError(err)
			return
		}
		c.markReceived()
		incoming, err := decodeFrame(line)
		if err != nil {
			c.transport.options.Logger.Emit(events.PeerRejected, events.F("peer", c.peer.Address), events.F("error", err))
			return
		}
		c.transport.traffic.countReceived(incoming.Kind, len(line))
		if incoming.Kind == helloKind {
			if err := c.handleHello(incoming); err != nil {
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
	if errors.As(err, &tooLong) {
		c.transport.options.Logger.Emit(events.PeerLineTooLong, events.F("peer", c.peer.Address))
	}
}

func (c *connection) dispatch(incoming frame) {
	switch {
	case incoming.Kind == livenessKind:
		c.handleLiveness(incoming)
		return
	case incoming.Reply:
		c.deliverReply(incoming)
		return
	}
	if err := c.transport.checkRecipient(incoming); err != nil {
		c.refuse(incoming, err)
		return
	}
	if incoming.ID != 0 {
		c.serveRequest(incoming)
		return
	}
	if handler := c.transport.oneWay[incoming.Kind]; handler != nil {
		handler(c.sender(), incoming.Payload)
	}
}

func (c *connection) deliverReply(incoming frame) {
	c.mutex.Lock()
	request := c.pending[incoming.ID]
	delete(c.pending, incoming.ID)
	c.mutex.Unlock()
	if request != nil {
		request.replies <- incoming
	}
}

// serveRequest runs a request's handler in a task. It blocks the reader while maxConcurrentHandlers are running.
func (c *connection) serveRequest(incoming frame) {
	select {
	case c.handlerSlots <- struct{}{}:
	case <-c.done:
		return
	}
	c.setServing(incoming.ID, true)
	c.transport.spawn(func() {
		defer func() { <-c.handlerSlots }()
		defer c.setServing(incoming.ID, false)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() {
			select {
			case <-c.done:
				cancel()
			case <-ctx.Done():
			}
		}()
		_ = c.enqueue(ctx, c.runHandler(ctx, incoming))
	})
}

func (c *connection) runHandler(ctx context.Context, incoming frame) frame {
	reply := frame{Kind: incoming.Kind, ID: incoming.ID, Reply: true}
	handler := c.transport.handlers[incoming.Kind]
	if handler == nil {
		reply.Error = apierr.New(apierr.NotFound, apierr.NotRun, "this node does not serve %q", incoming.Kind)
		return reply
	}
	response, err := handler(ctx, c.sender(), incoming.Payload)
	if err != nil {
		reply.Error = apierr.From(err, apierr.OutcomeUnknown)
		return reply
	}
	reply.Payload, err = json.Marshal(response)
	if err != nil {
		reply.Error = apierr.New(apierr.Internal, apierr.OutcomeUnknown, "encoding the response: %s", err)
	}
	return reply
}
