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

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/events"
)

// Peer identifies the other end of a connection.
type Peer struct {
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
	// disconnected is called when the last connection to a peer has closed; it may be nil.
	disconnected func(Peer)
	tasks        sync.WaitGroup
	nextID       atomic.Uint64
	relayRoutes  relayRoutes
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

		stopped: make(chan struct{}),
	}
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

// Call sends a request and waits for the response. A failure to reach the peer has the code
// PeerUnreachable; its outcome is NotRun only if nothing was sent.
func Call[Response any](ctx context.Context, t *Transport, address, kind string, request any) (Response, error) {
	var response Response
	payload, err := json.Marshal(request)
	if err != nil {
		return response, errors.Wrapf(err, "encoding %s", kind)
	}
	reply, err := t.call(ctx, address, kind, payload)
	if err != nil {
		return response, err
	}
	if err := json.Unmarshal(reply, &response); err != nil {
		return response, apierr.New(apierr.Internal, apierr.OutcomeUnknown, "decoding the response to %s: %s", kind, err)
	}
	return response, nil
}

func unreachable(address string, outcome apierr.Outcome, err error) error {
	return apierr.New(apierr.PeerUnreachable, outcome, "node at %s: %s", address, err)
}

func (t *Transport) call(ctx context.Context, address, kind string, payload json.RawMessage) (json.RawMessage, error) {
	conn, err := t.connect(ctx, address)
	if err != nil {
		return nil, unreachable(address, apierr.NotRun, err)
	}
	id := t.nextID.Add(1)
	replies := conn.addPending(id)
	defer conn.removePending(id)
	if err := conn.enqueue(ctx, frame{Kind: kind, ID: id, Payload: payload}); err != nil {
		return nil, unreachable(address, apierr.NotRun, err)
	}
	conn.markQueued(id)
	select {
	case reply := <-replies:
		if reply.Error != nil {
			return nil, reply.Error
		}
		return reply.Payload, nil
	case <-conn.done:
		return nil, unreachable(address, apierr.OutcomeUnknown, errConnectionClosed)
	case <-ctx.Done():
		return nil, unreachable(address, apierr.OutcomeUnknown, ctx.Err())
	}
}

// Send queues a one-way message without blocking. The message is dropped if the peer can't be reached or its queue
// is full.
func (t *Transport) Send(address, kind string, message any) {
	payload, err := json.Marshal(message)
	if err != nil {
		return
	}
	outgoing := frame{Kind: kind, Payload: payload}
	if conn := t.connectionTo(address); conn != nil {
		conn.tryEnqueue(outgoing)
		return
	}
	t.spawn(func() {
		ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
		defer cancel()
		if conn, err := t.connect(ctx, address); err == nil {
			conn.tryEnqueue(outgoing)
		}
	})
}

// spawn runs a task in a goroutine that Close waits for. It does nothing once the transport is closed.
func (t *Transport) spawn(task func()) {
	t.mutex.Lock()
	if t.closed {
		t.mutex.Unlock()
		return
	}
	t.tasks.Add(1)
	t.mutex.Unlock()
	go func() {
		defer t.tasks.Done()
		task()
	}()
}

func (t *Transport) connectionTo(address string) *connection {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.peers[address]
}

// connect returns the connection to address, dialling if there is none. Concurrent callers share one dial.
func (t *Transport) connect(ctx context.Context, address string) (*connection, error) {
	t.mutex.Lock()
	if conn := t.peers[address]; conn != nil {
		t.mutex.Unlock()
		return conn, nil
	}
	if t.closed {
		t.mutex.Unlock()
		return nil, net.ErrClosed
	}
	attempt := t.dialling[address]
	if attempt == nil {
		attempt = &dialAttempt{done: make(chan struct{})}
		t.dialling[address] = attempt
		t.tasks.Add(1)
		go t.dial(address, attempt)
	}
	t.mutex.Unlock()
	select {
	case <-attempt.done:
		return attempt.result, attempt.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
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

// startDialled registers and starts a dialled connection; its first line is this node's hello.
func (t *Transport) startDialled(raw net.Conn, peer Peer, replaces bool) (*connection, error) {
	conn := newConnection(t, raw, peer)
	if !t.register(conn, replaces) {
		_ = raw.Close()
		return nil, net.ErrClosed
	}
	payload, err := json.Marshal(hello{Cluster: t.options.Cluster, NodeID: t.options.NodeID, Address: t.options.Address, Relays: t.options.Relays})
	if err != nil {
		return nil, err
	}
	conn.tryEnqueue(frame{Kind: helloKind, Payload: payload})
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

// OnDisconnect sets a function to be called when the last connection to a peer has closed. The peer's NodeID
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
	for {
		raw, err := listener.Accept()
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
	_ = raw.SetDeadline(time.Now().Add(helloTimeout))
	conn := raw
	if t.options.ServerTLS != nil {
		conn = tls.Server(raw, t.options.ServerTLS)
	}
	incoming := newConnection(t, conn, Peer{})
	peerHello, err := incoming.readHello()
	if err == nil && peerHello.Cluster != t.options.Cluster {
		err = apierr.New(apierr.Forbidden, apierr.NotRun, "peer belongs to cluster %q", peerHello.Cluster)
	}
	if err != nil {
		t.options.Logger.Emit(events.PeerRejected, events.F("remote", raw.RemoteAddr().String()), events.F("error", err))
		_ = raw.Close()
		return
	}
	_ = raw.SetDeadline(time.Time{})
	incoming.peer = Peer{NodeID: peerHello.NodeID, Address: peerHello.Address}
	incoming.canRelay = peerHello.Relays && peerHello.Address != ""
	if !t.register(incoming, false) {
		_ = raw.Close()
		return
	}
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
