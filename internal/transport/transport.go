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

// Peer names the other end of a connection.
type Peer struct {
	NodeID  string
	Address string
}

// Handler answers a request of a peer.
type Handler func(ctx context.Context, from Peer, payload json.RawMessage) (any, error)

// OneWayHandler takes a message that has no answer. It runs on the connection's reader and must
// not block.
type OneWayHandler func(from Peer, payload json.RawMessage)

// Options configure a Transport.
type Options struct {
	Cluster string
	NodeID  string
	// Address is what other nodes dial to reach this one.
	Address string
	// ServerTLS and ClientTLS switch mutual TLS on; nil means plain TCP.
	ServerTLS *tls.Config
	ClientTLS *tls.Config
	Logger    *events.Logger
	// Relays tells that this node passes requests on for others that are cut off from a peer.
	Relays bool
	// Dial replaces the dialler, for tests.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

const (
	dialTimeout  = 2 * time.Second
	helloTimeout = 5 * time.Second
	writeTimeout = 10 * time.Second
	// idleTimeout closes a connection on which nothing arrived for so long.
	idleTimeout = 2 * time.Minute
	// aliveInterval is how often connections with unanswered requests are asked for a sign of life;
	// aliveTimeout is how long it may take.
	aliveInterval = time.Second
	aliveTimeout  = 2 * time.Second
	aliveKind     = "alive"
	// queueFrames is how many lines may wait to be written. Each connection holds room for them, and a replica
	// has connections to all gateways.
	queueFrames   = 256
	maxConcurrent = 512
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
	// renewedAt is when a peer was last dialled although a connection was open.
	renewedAt map[string]time.Time
	listener  net.Listener
	closed    bool
	stopped   chan struct{}
	// disconnected hears of each connection that ended.
	disconnected func(Peer)
	tasks        sync.WaitGroup
	nextID       atomic.Uint64
	detours      detours
}

type dialAttempt struct {
	// renews tells that the new connection is to be used in the place of one that is still open.
	renews bool
	done   chan struct{}
	result *connection
	err    error
}

// New returns a Transport. Register handlers before Serve.
func New(options Options) *Transport {
	created := &Transport{
		options:  options,
		traffic:  newTraffic(),
		handlers: make(map[string]Handler),
		oneWay:   make(map[string]OneWayHandler),
		peers:    make(map[string]*connection),
		open:     make(map[*connection]struct{}),
		dialling: make(map[string]*dialAttempt),

		renewedAt: make(map[string]time.Time),

		stopped: make(chan struct{}),
	}
	Handle(created, relayKind, created.serveRelay)
	Handle(created, relaysKind, created.serveRelays)
	return created
}

// watchConnections asks connections with unanswered requests for signs of life.
func (t *Transport) watchConnections() {
	ticker := time.NewTicker(aliveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-t.stopped:
			return
		case now := <-ticker.C:
			for _, conn := range t.openConnections() {
				conn.checkAlive(now)
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

// NodeID is the name by which peers know this node.
func (t *Transport) NodeID() string { return t.options.NodeID }

// Traffic returns the byte counters.
func (t *Transport) Traffic() *Traffic { return t.traffic }

// Handle registers a typed request handler.
func Handle[Request, Response any](t *Transport, kind string, handler func(ctx context.Context, from Peer, request Request) (Response, error)) {
	t.handlers[kind] = func(ctx context.Context, from Peer, payload json.RawMessage) (any, error) {
		var request Request
		if err := json.Unmarshal(payload, &request); err != nil {
			return nil, apierr.New(apierr.InvalidRequest, apierr.NotRun, "%s: %s", kind, err)
		}
		return handler(ctx, from, request)
	}
}

// HandleOneWay registers a typed handler of messages without answer.
func HandleOneWay[Message any](t *Transport, kind string, handler func(from Peer, message Message)) {
	t.oneWay[kind] = func(from Peer, payload json.RawMessage) {
		var message Message
		if json.Unmarshal(payload, &message) == nil {
			handler(from, message)
		}
	}
}

// Call sends a request and waits for its answer. A failure to reach the peer has the code
// PeerUnreachable; its outcome is NotRun only if nothing was sent.
func Call[Response any](ctx context.Context, t *Transport, address, kind string, request any) (Response, error) {
	var response Response
	payload, err := json.Marshal(request)
	if err != nil {
		return response, errors.Wrapf(err, "encoding %s", kind)
	}
	answer, err := t.call(ctx, address, kind, payload)
	if err != nil {
		return response, err
	}
	if err := json.Unmarshal(answer, &response); err != nil {
		return response, apierr.New(apierr.Internal, apierr.OutcomeUnknown, "decoding the answer to %s: %s", kind, err)
	}
	return response, nil
}

func unreachable(address string, outcome apierr.Outcome, err error) error {
	return apierr.New(apierr.PeerUnreachable, outcome, "node at %s: %s", address, err)
}

func (t *Transport) call(ctx context.Context, address, kind string, payload json.RawMessage) (json.RawMessage, error) {
	peer, err := t.connect(ctx, address)
	if err != nil {
		return nil, unreachable(address, apierr.NotRun, err)
	}
	id := t.nextID.Add(1)
	answers := peer.expect(id)
	defer peer.forget(id)
	if err := peer.enqueue(ctx, frame{Kind: kind, ID: id, Payload: payload}); err != nil {
		return nil, unreachable(address, apierr.NotRun, err)
	}
	peer.markQueued(id)
	select {
	case answer := <-answers:
		if answer.Error != nil {
			return nil, answer.Error
		}
		return answer.Payload, nil
	case <-peer.done:
		return nil, unreachable(address, apierr.OutcomeUnknown, errConnectionClosed)
	case <-ctx.Done():
		return nil, unreachable(address, apierr.OutcomeUnknown, ctx.Err())
	}
}

// Send queues a one-way message. It never blocks on the network; a message to a peer that can't
// be reached, or whose queue is full, is dropped.
func (t *Transport) Send(address, kind string, message any) {
	payload, err := json.Marshal(message)
	if err != nil {
		return
	}
	outgoing := frame{Kind: kind, Payload: payload}
	if peer := t.existing(address); peer != nil {
		peer.tryEnqueue(outgoing)
		return
	}
	t.spawn(func() {
		ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
		defer cancel()
		if peer, err := t.connect(ctx, address); err == nil {
			peer.tryEnqueue(outgoing)
		}
	})
}

// spawn runs a task unless the transport is closed; Close waits for it.
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

func (t *Transport) existing(address string) *connection {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.peers[address]
}

// connect returns the connection to address and dials it when there is none; concurrent callers
// share one dial.
func (t *Transport) connect(ctx context.Context, address string) (*connection, error) {
	t.mutex.Lock()
	if peer := t.peers[address]; peer != nil {
		t.mutex.Unlock()
		return peer, nil
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
		old := t.existing(address)
		attempt.result, err = t.adopt(raw, Peer{Address: address}, attempt.renews)
		if old != nil && attempt.result != nil && attempt.renews {
			time.AfterFunc(renewGrace, old.close)
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

// adopt registers a dialled connection and starts it with our hello.
func (t *Transport) adopt(raw net.Conn, peer Peer, renews bool) (*connection, error) {
	conn := newConnection(t, raw, peer)
	if !t.register(conn, renews) {
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

// register makes the connection the way to its peer, unless there is one already that it does not renew.
func (t *Transport) register(conn *connection, renews bool) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.closed {
		return false
	}
	t.open[conn] = struct{}{}
	if renews || t.peers[conn.peer.Address] == nil {
		t.peers[conn.peer.Address] = conn
	}
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
	if t.closed || t.reaches(conn.peer.Address) {
		disconnected = nil
	}
	t.mutex.Unlock()
	if disconnected != nil && conn.peer.Address != "" {
		disconnected(conn.peer)
	}
}

// reaches reports whether a connection to the address is open. The mutex is held.
func (t *Transport) reaches(address string) bool {
	for conn := range t.open {
		if conn.peer.Address == address {
			return true
		}
	}
	return false
}

// OnDisconnect registers a function that hears when the last connection to a peer has ended. The
// peer's NodeID is known only if it had dialled. The function must not block.
func (t *Transport) OnDisconnect(hear func(Peer)) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.disconnected = hear
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
	t.spawn(t.watchConnections)
	for {
		raw, err := listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			return errors.Wrap(err, "accepting connections of nodes")
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
	greeting, err := incoming.readHello()
	if err == nil && greeting.Cluster != t.options.Cluster {
		err = apierr.New(apierr.Forbidden, apierr.NotRun, "peer is of cluster %q", greeting.Cluster)
	}
	if err != nil {
		t.options.Logger.Emit(events.PeerRejected, events.F("remote", raw.RemoteAddr().String()), events.F("error", err))
		_ = raw.Close()
		return
	}
	_ = raw.SetDeadline(time.Time{})
	incoming.peer = Peer{NodeID: greeting.NodeID, Address: greeting.Address}
	incoming.relays = greeting.Relays && greeting.Address != ""
	if !t.register(incoming, false) {
		_ = raw.Close()
		return
	}
	incoming.start()
}

// Close ends all connections and waits for their tasks.
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

// Connections returns how many connections are open.
func (t *Transport) Connections() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.open)
}
