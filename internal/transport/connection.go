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

// errConnectionClosed means that the connection ended before the answer came.
var errConnectionClosed = &connectionClosed{}

type connectionClosed struct{}

// Error implements error.
func (*connectionClosed) Error() string { return "the connection was closed" }

type outgoingLine struct {
	kind string
	line []byte
}

// connection is one TCP connection; it carries requests, answers and one-way messages both ways.
type connection struct {
	transport *Transport
	raw       net.Conn
	reader    *bufio.Reader
	peer      Peer
	// relays tells that the peer has said that it passes requests on.
	relays  bool
	queue   chan outgoingLine
	running chan struct{}
	done    chan struct{}
	once    sync.Once
	// heardAt is when something came last, in nanoseconds since the transport's process began to count; it
	// begins with the connection.
	heardAt  atomic.Int64
	openedAt time.Time

	mutex sync.Mutex
	// waiting are the requests whose answers are to come.
	waiting map[uint64]*pendingRequest
	// serving are the peer's requests that run here; their answers are not queued yet.
	serving map[uint64]bool
	// askedAt is when the oldest unanswered liveness question was sent; zero if there is none.
	askedAt time.Time
}

// pendingRequest is a request of ours. Once it is queued, the peer must either run it or have
// answered it: lines arrive in order.
type pendingRequest struct {
	answers chan frame
	queued  bool
}

// processStart is where heardAt counts from.
var processStart = time.Now()

func newConnection(t *Transport, raw net.Conn, peer Peer) *connection {
	created := &connection{
		transport: t,
		raw:       raw,
		reader:    bufio.NewReaderSize(raw, readerBytes),
		peer:      peer,
		queue:     make(chan outgoingLine, queueFrames),
		running:   make(chan struct{}, maxConcurrent),
		done:      make(chan struct{}),
		waiting:   make(map[uint64]*pendingRequest),
		serving:   make(map[uint64]bool),
	}
	created.openedAt = time.Now()
	created.hear()
	return created
}

// hear notes that something came.
func (c *connection) hear() { c.heardAt.Store(int64(time.Since(processStart))) }

// silentFor is how long nothing has come.
func (c *connection) silentFor(now time.Time) time.Duration {
	return now.Sub(processStart) - time.Duration(c.heardAt.Load())
}

// start runs reader and writer; register has counted both.
func (c *connection) start() {
	go c.readLoop()
	go c.writeLoop()
}

func (c *connection) close() {
	c.once.Do(func() {
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
		return hello{}, apierr.New(apierr.InvalidRequest, apierr.NotRun, "the first line is no hello")
	}
	var greeting hello
	if err := json.Unmarshal(decoded.Payload, &greeting); err != nil {
		return hello{}, errors.Wrap(err, "decoding the hello")
	}
	return greeting, nil
}

func (c *connection) expect(id uint64) chan frame {
	answers := make(chan frame, 1)
	c.mutex.Lock()
	c.waiting[id] = &pendingRequest{answers: answers}
	c.mutex.Unlock()
	return answers
}

// markQueued notes that a request's line is in the queue.
func (c *connection) markQueued(id uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if request := c.waiting[id]; request != nil {
		request.queued = true
	}
}

func (c *connection) forget(id uint64) {
	c.mutex.Lock()
	delete(c.waiting, id)
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

// writeLoop batches what is queued into one write.
func (c *connection) writeLoop() {
	defer c.transport.tasks.Done()
	defer c.close()
	writer := bufio.NewWriterSize(c.raw, readerBytes)
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
		c.hear()
		incoming, err := decodeFrame(line)
		if err != nil {
			c.transport.options.Logger.Emit(events.PeerRejected, events.F("peer", c.peer.Address), events.F("error", err))
			return
		}
		c.transport.traffic.countReceived(incoming.Kind, len(line))
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
	case incoming.Kind == aliveKind:
		c.handleAlive(incoming)
	case incoming.Reply:
		c.deliver(incoming)
	case incoming.ID == 0:
		if handler := c.transport.oneWay[incoming.Kind]; handler != nil {
			handler(c.peer, incoming.Payload)
		}
	default:
		c.answer(incoming)
	}
}

func (c *connection) deliver(incoming frame) {
	c.mutex.Lock()
	request := c.waiting[incoming.ID]
	delete(c.waiting, incoming.ID)
	c.mutex.Unlock()
	if request != nil {
		request.answers <- incoming
	}
}

// answer runs a request's handler; the reader waits while too many run.
func (c *connection) answer(incoming frame) {
	select {
	case c.running <- struct{}{}:
	case <-c.done:
		return
	}
	c.setServing(incoming.ID, true)
	c.transport.spawn(func() {
		defer func() { <-c.running }()
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
		_ = c.enqueue(ctx, c.run(ctx, incoming))
	})
}

func (c *connection) run(ctx context.Context, incoming frame) frame {
	reply := frame{Kind: incoming.Kind, ID: incoming.ID, Reply: true}
	handler := c.transport.handlers[incoming.Kind]
	if handler == nil {
		reply.Error = apierr.New(apierr.NotFound, apierr.NotRun, "this node does not serve %q", incoming.Kind)
		return reply
	}
	response, err := handler(ctx, c.peer, incoming.Payload)
	if err != nil {
		reply.Error = apierr.From(err, apierr.OutcomeUnknown)
		return reply
	}
	reply.Payload, err = json.Marshal(response)
	if err != nil {
		reply.Error = apierr.New(apierr.Internal, apierr.OutcomeUnknown, "encoding the answer: %s", err)
	}
	return reply
}
