package transport

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"sync"
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
	queue     chan outgoingLine
	running   chan struct{}
	done      chan struct{}
	once      sync.Once

	mutex   sync.Mutex
	waiting map[uint64]chan frame
	// askedAt is when the oldest unanswered liveness question was sent; zero if there is none.
	askedAt time.Time
}

func newConnection(t *Transport, raw net.Conn, peer Peer) *connection {
	return &connection{
		transport: t,
		raw:       raw,
		reader:    bufio.NewReaderSize(raw, readerBytes),
		peer:      peer,
		queue:     make(chan outgoingLine, queueFrames),
		running:   make(chan struct{}, maxConcurrent),
		done:      make(chan struct{}),
		waiting:   make(map[uint64]chan frame),
	}
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
	c.waiting[id] = answers
	c.mutex.Unlock()
	return answers
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
	answers := c.waiting[incoming.ID]
	delete(c.waiting, incoming.ID)
	c.mutex.Unlock()
	if answers != nil {
		answers <- incoming
	}
}

// answer runs a request's handler; the reader waits while too many run.
func (c *connection) answer(incoming frame) {
	select {
	case c.running <- struct{}{}:
	case <-c.done:
		return
	}
	c.transport.spawn(func() {
		defer func() { <-c.running }()
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

// checkAlive finds out whether a connection with unanswered requests still works in both
// directions. A path that is broken one way would otherwise keep them waiting for ever, while
// messages the other way make the connection look well.
func (c *connection) checkAlive(now time.Time) {
	c.mutex.Lock()
	pending := len(c.waiting) > 0
	askedAt := c.askedAt
	if pending && askedAt.IsZero() {
		c.askedAt = now
	}
	c.mutex.Unlock()
	switch {
	case pending && askedAt.IsZero():
		c.tryEnqueue(frame{Kind: aliveKind})
	case !askedAt.IsZero() && now.Sub(askedAt) > aliveTimeout:
		c.close()
	}
}

func (c *connection) handleAlive(incoming frame) {
	if !incoming.Reply {
		c.tryEnqueue(frame{Kind: aliveKind, Reply: true})
		return
	}
	c.mutex.Lock()
	c.askedAt = time.Time{}
	c.mutex.Unlock()
}
