package transport

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/membudget"
	"github.com/mountstile/mountstile/internal/startup"
)

// Peer identifies the other end of a connection, or the recipient of a message.
type Peer struct {
	// NodeID is empty if only the address is known, as of a seed. Any node at the address may then answer.
	NodeID  string
	Address string
}

// Handler serves a peer's request; its result is sent back as JSON.
type Handler func(ctx context.Context, from Peer, payload json.RawMessage) (any, error)

// OneWayHandler handles a message that has no reply. It runs on the connection's reader goroutine and must
// not block.
type OneWayHandler func(from Peer, payload json.RawMessage)

// Options configures a Transport.
type Options struct {
	Cluster string
	NodeID  string
	// Address is what other nodes dial to reach this one.
	Address string
	// ServerTLS and ClientTLS enable mutual TLS; nil means plain TCP.
	ServerTLS *tls.Config
	ClientTLS *tls.Config
	Logger    *events.Logger
	// Memory bounds the messages of all peers together; nil means no limit.
	Memory *membudget.Budget
	// Relays announces to peers that this node forwards requests for nodes that can't reach a peer directly.
	Relays bool
	// Dial replaces the TCP dialler if it is set.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

const (
	dialTimeout  = 2 * time.Second
	helloTimeout = 5 * time.Second
	writeTimeout = 10 * time.Second
	// idleTimeout is how long a connection may go without receiving a line before it is closed.
	idleTimeout = 2 * time.Minute
	// livenessInterval is the interval at which connections with pending requests are probed; livenessTimeout is how
	// long the reply may take.
	livenessInterval = time.Second
	livenessTimeout  = 2 * time.Second
	livenessKind     = "alive"
	// maxQueuedLines limits the write queue of a connection. Each connection allocates it in full, and a replica has
	// connections to all gateways, so it must stay small.
	maxQueuedLines        = 256
	maxConcurrentHandlers = 512
)

// Transport sends and receives messages between nodes. All methods may be called concurrently.
type Transport struct {
	options  Options
	traffic  *Traffic
	handlers map[string]Handler
	oneWay   map[string]OneWayHandler

	mutex    sync.Mutex
	peers    map[string]*connection
	open     map[*connection]struct{}
	dialling map[string]*dialAttempt
	// redialledAt is when Redial last dialled each address.
	redialledAt map[string]time.Time
	listener    net.Listener
	closed      bool
	stopped     chan struct{}
	workers     *workers
	// disconnected is called when the last connection to a peer has closed; it may be nil.
	disconnected func(Peer)
	tasks        sync.WaitGroup
	nextID       atomic.Uint64
	// clusterID is nil while it is unknown.
	clusterID   atomic.Pointer[string]
	relayRoutes relayRoutes
	// refusalLogs limits the log lines about messages refused for want of memory.
	refusalLogs *rate.Limiter
}

type dialAttempt struct {
	// replaces is true if the new connection takes the place of one that is still open.
	replaces bool
	done     chan struct{}
	result   *connection
	err      error
}

// New returns a Transport. All handlers must be registered before Serve is called.
func New(options Options) *Transport {
	created := &Transport{
		options:  options,
		traffic:  newTraffic(),
		handlers: make(map[string]Handler),
		oneWay:   make(map[string]OneWayHandler),
		peers:    make(map[string]*connection),
		open:     make(map[*connection]struct{}),
		dialling: make(map[string]*dialAttempt),

		redialledAt: make(map[string]time.Time),

		stopped:     make(chan struct{}),
		refusalLogs: rate.NewLimiter(rate.Every(time.Second), 1),
	}
	created.workers = newWorkers(created.stopped)
	Handle(created, relayKind, created.forwardRequest)
	Handle(created, relaysKind, created.listRelays)
	return created
}

// runLivenessChecks checks all open connections once per livenessInterval.
func (t *Transport) runLivenessChecks() {
	ticker := time.NewTicker(livenessInterval)
	defer ticker.Stop()
	for {
		select {
		case <-t.stopped:
			return
		case now := <-ticker.C:
			for _, conn := range t.openConnections() {
				conn.checkLiveness(now)
			}
		}
	}
}

func (t *Transport) openConnections() []*connection {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	open := make([]*connection, 0, len(t.open))
	for conn := range t.open {
		open = append(open, conn)
	}
	return open
}

// NodeID returns the ID that this node sends to its peers.
func (t *Transport) NodeID() string { return t.options.NodeID }

// Address returns the address at which other nodes reach this one.
func (t *Transport) Address() string { return t.options.Address }

// Traffic returns the message and byte counters.
func (t *Transport) Traffic() *Traffic { return t.traffic }

// Handle registers a handler of requests of a kind, which decodes them from JSON. A request that can't be decoded
// fails with InvalidRequest.
func Handle[Request, Response any](t *Transport, kind string, handler func(ctx context.Context, from Peer, request Request) (Response, error)) {
	t.handlers[kind] = func(ctx context.Context, from Peer, payload json.RawMessage) (any, error) {
		var request Request
		if err := json.Unmarshal(payload, &request); err != nil {
			return nil, apierr.New(apierr.InvalidRequest, apierr.NotRun, "decoding a request of kind %s: %s", kind, err)
		}
		return handler(ctx, from, request)
	}
}

// HandleOneWay registers a handler of one-way messages of a kind. Messages that can't be decoded are dropped.
func HandleOneWay[Message any](t *Transport, kind string, handler func(from Peer, message Message)) {
	t.oneWay[kind] = func(from Peer, payload json.RawMessage) {
		var message Message
		if json.Unmarshal(payload, &message) == nil {
			handler(from, message)
		}
	}
}

// handles reports whether this node handles messages of a kind.
func (t *Transport) handles(kind string) bool {
	return kind == helloKind || kind == livenessKind || t.handlers[kind] != nil || t.oneWay[kind] != nil
}

// Call sends a request and waits for the response, which is from the given peer: a node that has another ID refuses the
// request. A failure to reach the peer has the code PeerUnreachable; its outcome is NotRun only if the peer can't have
// received the request.
func Call[Response any](ctx context.Context, t *Transport, to Peer, kind string, request any) (Response, error) {
	var response Response
	payload, err := json.Marshal(request)
	if err != nil {
		return response, errors.Wrapf(err, "encoding %s", kind)
	}
	reply, err := t.call(ctx, to, kind, payload)
	if err != nil {
		return response, err
	}
	return decodeReply[Response](reply, kind)
}

// decodeReply decodes a reply and releases its memory.
func decodeReply[Response any](reply frame, kind string) (Response, error) {
	defer reply.reservation.Release()
	var response Response
	if err := json.Unmarshal(reply.Payload, &response); err != nil {
		return response, apierr.New(apierr.Internal, apierr.OutcomeUnknown, "decoding the response to %s: %s", kind, err)
	}
	return response, nil
}

func unreachable(address string, outcome apierr.Outcome, err error) error {
	return apierr.New(apierr.PeerUnreachable, outcome, "node at %s: %s", address, err)
}

// call sends a request and returns the reply, whose reservation the caller releases.
func (t *Transport) call(ctx context.Context, to Peer, kind string, payload json.RawMessage) (frame, error) {
	address := to.Address
	conn, err := t.connect(ctx, to)
	if err != nil {
		return frame{}, unreachable(address, apierr.NotRun, err)
	}
	reservation, err := t.reserveRequest(len(payload))
	if err != nil {
		return frame{}, err
	}
	id := t.nextID.Add(1)
	replies := conn.addPending(id)
	defer conn.removePending(id, replies)
	err = conn.enqueue(ctx, conn.addressed(to, frame{Kind: kind, ID: id, Payload: payload}), reservation)
	var tooLong *ErrLineTooLong
	switch {
	case errors.As(err, &tooLong):
		return frame{}, apierr.New(apierr.BodyTooLarge, apierr.NotRun, "the request %s to %s exceeds %d bytes", kind, address, tooLong.Limit)
	case err != nil:
		return frame{}, unreachable(address, apierr.NotRun, err)
	}
	conn.markQueued(id)
	select {
	case reply := <-replies:
		err := conn.checkPeer(to)
		switch {
		case reply.Error != nil:
			err = reply.Error
		case err != nil:
			err = unreachable(address, apierr.OutcomeUnknown, err)
		default:
			return reply, nil
		}
		reply.reservation.Release()
		return frame{}, err
	case <-conn.done:
		return frame{}, unreachable(address, apierr.OutcomeUnknown, errConnectionClosed)
	case <-ctx.Done():
		return frame{}, unreachable(address, apierr.OutcomeUnknown, ctx.Err())
	}
}

// reserveRequest reserves memory for a request's line until it is written.
func (t *Transport) reserveRequest(size int) (*membudget.Reservation, error) {
	if size <= uncountedBytes {
		return nil, nil
	}
	reservation := t.options.Memory.Open(requestPlace)
	if err := reservation.Grow(responseFactor * int64(size)); err != nil {
		return nil, errors.WithStack(&errNotSent{cause: overloaded(err)})
	}
	return reservation, nil
}

// Send queues a one-way message without blocking. The message is dropped if the peer can't be reached or its queue
// is full.
func (t *Transport) Send(to Peer, kind string, message any) {
	payload, err := json.Marshal(message)
	if err != nil {
		return
	}
	outgoing := frame{Kind: kind, Payload: payload}
	if conn := t.connectionTo(to.Address); conn != nil && conn.checkPeer(to) == nil {
		conn.tryEnqueue(conn.addressed(to, outgoing))
		return
	}
	t.spawn(func() {
		ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
		defer cancel()
		if conn, err := t.connect(ctx, to); err == nil {
			conn.tryEnqueue(conn.addressed(to, outgoing))
		}
	})
}

// Go runs a short task that sends messages. It is cheaper than a new goroutine.
func (t *Transport) Go(task func()) { t.workers.run(task) }

// spawn runs a task in a goroutine that Close waits for. It does nothing once the transport is closed.
func (t *Transport) spawn(task func()) {
	t.mutex.Lock()
	if t.closed {
		t.mutex.Unlock()
		return
	}
	t.tasks.Add(1)
	t.mutex.Unlock()
	t.workers.run(func() {
		defer t.tasks.Done()
		task()
	})
}

func (t *Transport) connectionTo(address string) *connection {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.peers[address]
}

// connect returns the connection to a peer, dialling if there is none or if it leads to another node. Concurrent callers
// share one dial.
func (t *Transport) connect(ctx context.Context, to Peer) (*connection, error) {
	conn, attempt, err := t.findOrDial(to)
	if conn != nil || err != nil {
		return conn, err
	}
	select {
	case <-attempt.done:
		return attempt.result, attempt.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// findOrDial returns the open connection to a peer, or else a dial in progress.
func (t *Transport) findOrDial(to Peer) (*connection, *dialAttempt, error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.closed {
		return nil, nil, net.ErrClosed
	}
	conn := t.peers[to.Address]
	var otherNode error
	if conn != nil {
		otherNode = conn.checkPeer(to)
		if otherNode == nil {
			return conn, nil, nil
		}
	}
	if attempt := t.dialling[to.Address]; attempt != nil {
		return nil, attempt, nil
	}
	now := time.Now()
	if otherNode != nil && !t.mayRedialOther(conn, now) {
		return nil, nil, otherNode
	}
	if otherNode != nil {
		t.redialledAt[to.Address] = now
	}
	return nil, t.startDial(to.Address, otherNode != nil), nil
}

// startDial starts a dial. The caller holds the mutex.
func (t *Transport) startDial(address string, replaces bool) *dialAttempt {
	attempt := &dialAttempt{replaces: replaces, done: make(chan struct{})}
	t.dialling[address] = attempt
	t.tasks.Add(1)
	go t.dial(address, attempt)
	return attempt
}

func (t *Transport) dial(address string, attempt *dialAttempt) {
	defer t.tasks.Done()
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	raw, err := t.dialRaw(ctx, address)
	if err == nil {
		old := t.connectionTo(address)
		attempt.result, err = t.startDialled(raw, Peer{Address: address}, attempt.replaces)
		if old != nil && attempt.result != nil && attempt.replaces {
			time.AfterFunc(replacedConnectionGrace, old.close)
		}
	}
	attempt.err = err
	t.mutex.Lock()
	delete(t.dialling, address)
	t.mutex.Unlock()
	close(attempt.done)
}

func (t *Transport) dialRaw(ctx context.Context, address string) (net.Conn, error) {
	dial := t.options.Dial
	if dial == nil {
		dial = func(ctx context.Context, address string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", address)
		}
	}
	raw, err := dial(ctx, address)
	if err != nil || t.options.ClientTLS == nil {
		return raw, err
	}
	secured := tls.Client(raw, t.options.ClientTLS)
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, err
	}
	return secured, nil
}

// startDialled registers and starts a dialled connection. Its hello is queued before other tasks can use the connection,
// because the peer closes connections whose first line is something else.
func (t *Transport) startDialled(raw net.Conn, peer Peer, replaces bool) (*connection, error) {
	conn := newConnection(t, raw, peer)
	conn.dialled = true
	sent := t.self()
	conn.sendHello()
	if !t.register(conn, replaces) {
		_ = raw.Close()
		return nil, net.ErrClosed
	}
	if t.self() != sent {
		conn.sendHello()
	}
	conn.start()
	return conn, nil
}

// register adds an open connection. It is used for messages to its peer if there is no other connection, or if it
// replaces the other one. It returns false if the transport is closed.
func (t *Transport) register(conn *connection, replaces bool) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.closed {
		return false
	}
	t.open[conn] = struct{}{}
	if replaces || t.peers[conn.peer.Address] == nil {
		t.peers[conn.peer.Address] = conn
	}
	// The connection's reader and writer.
	t.tasks.Add(2)
	return true
}

func (t *Transport) unregister(conn *connection) {
	t.mutex.Lock()
	delete(t.open, conn)
	if t.peers[conn.peer.Address] == conn {
		delete(t.peers, conn.peer.Address)
	}
	disconnected := t.disconnected
	if t.closed || t.hasConnection(conn.peer.Address) {
		disconnected = nil
	}
	t.mutex.Unlock()
	if disconnected != nil && conn.peer.Address != "" {
		disconnected(conn.peer)
	}
}

// hasConnection reports whether a connection to the address is open. The caller holds the mutex.
func (t *Transport) hasConnection(address string) bool {
	for conn := range t.open {
		if conn.peer.Address == address {
			return true
		}
	}
	return false
}

// OnDisconnect sets a function to be called when the last connection to an address has closed. The peer's NodeID
// is set only if the peer had dialled. The function must not block.
func (t *Transport) OnDisconnect(callback func(Peer)) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.disconnected = callback
}

// Serve accepts connections until the transport is closed.
func (t *Transport) Serve(listener net.Listener) error {
	t.mutex.Lock()
	t.listener = listener
	closed := t.closed
	t.mutex.Unlock()
	if closed {
		return listener.Close()
	}
	t.spawn(t.runLivenessChecks)
	connections := startup.Persistent(listener, t.options.Logger)
	for {
		raw, err := connections.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			return errors.Wrap(err, "accepting connections from nodes")
		}
		t.spawn(func() { t.accept(raw) })
	}
}

func (t *Transport) accept(raw net.Conn) {
	memory := t.options.Memory.Open(connectionPlace)
	if err := memory.Grow(connectionBytes); err != nil {
		_ = raw.Close()
		return
	}
	_ = raw.SetDeadline(time.Now().Add(helloTimeout))
	conn := raw
	if t.options.ServerTLS != nil {
		conn = tls.Server(raw, t.options.ServerTLS)
	}
	incoming := newConnection(t, conn, Peer{})
	incoming.memory = memory
	peerHello, err := incoming.readHello()
	if err == nil {
		err = incoming.identify(peerHello)
	}
	if err != nil {
		t.options.Logger.Emit(events.PeerRejected, events.F("remote", raw.RemoteAddr().String()), events.F("error", err))
		_ = raw.Close()
		memory.Release()
		return
	}
	_ = raw.SetDeadline(time.Time{})
	incoming.peer = Peer{NodeID: peerHello.NodeID, Address: peerHello.Address}
	incoming.canRelay = peerHello.Relays && peerHello.Address != ""
	if !t.register(incoming, false) {
		_ = raw.Close()
		memory.Release()
		return
	}
	incoming.sendHello()
	incoming.start()
}

// Close closes all connections and waits for their tasks.
func (t *Transport) Close() {
	t.mutex.Lock()
	if t.closed {
		t.mutex.Unlock()
		return
	}
	t.closed = true
	close(t.stopped)
	listener := t.listener
	t.mutex.Unlock()
	if listener != nil {
		_ = listener.Close()
	}
	for _, conn := range t.openConnections() {
		conn.close()
	}
	t.tasks.Wait()
}

// Connections returns the number of open connections, inbound and outbound.
func (t *Transport) Connections() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.open)
}
