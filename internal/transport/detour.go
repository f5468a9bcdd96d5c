package transport

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/events"
)

// A node that is cut off from a peer, while others reach it, sends its requests through one of these. It learns of a few
// nodes that pass requests on while all is well, for nobody can tell it later.

const (
	relaysKind = "relays"
	// relaysKept is how many relays a node knows. If a third of all nodes is cut off, one time in 6,500 all of them are.
	relaysKept = 8
	// relaysInterval is how often it asks for others: relays end and are replaced like all nodes.
	relaysInterval = 5 * time.Second
	relaysTimeout  = time.Second
	// relaysAtOnce is how many relays are tried at once while none is known to work.
	relaysAtOnce = 2
	// relayLeast is how long a relay may take, at least, before the next one is tried: a few times what a request that is
	// passed on takes where links are slow, and what it takes to open a connection.
	relayLeast = 250 * time.Millisecond
)

type relaysRequest struct {
	Count int `json:"n"`
}

type relaysAnswer struct {
	Addresses []string `json:"a,omitempty"`
}

// detours are the ways round that a node knows.
type detours struct {
	mutex  sync.Mutex
	relays []string
	// working is the relay that answered last; empty if it has failed since.
	working string
	// broken are the peers that were reached through a relay last, and not directly since.
	broken map[string]bool
}

// serveRelays names some of the peers that pass requests on, by chance.
func (t *Transport) serveRelays(_ context.Context, from Peer, request relaysRequest) (relaysAnswer, error) {
	t.mutex.Lock()
	var addresses []string
	for conn := range t.open {
		if peer := conn.peer; conn.relays && peer.Address != from.Address && !slices.Contains(addresses, peer.Address) {
			addresses = append(addresses, peer.Address)
		}
	}
	t.mutex.Unlock()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return relaysAnswer{Addresses: addresses[:min(max(request.Count, 0), len(addresses), relaysKept)]}, nil
}

// RefreshRelays asks peers for relays until the context ends. Those that are known stay if nobody answers.
func (t *Transport) RefreshRelays(ctx context.Context, peers func() []string) {
	for {
		known := t.askForRelays(ctx, peers())
		wait := relaysInterval
		if !known {
			wait = relaysTimeout
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

// askForRelays asks the first peer that answers, and reports whether relays are known.
func (t *Transport) askForRelays(ctx context.Context, peers []string) bool {
	for _, address := range peers {
		askContext, cancel := context.WithTimeout(ctx, relaysTimeout)
		answer, err := Call[relaysAnswer](askContext, t, address, relaysKind, relaysRequest{Count: relaysKept})
		cancel()
		if err == nil && len(answer.Addresses) > 0 {
			t.detours.mutex.Lock()
			t.detours.relays = answer.Addresses
			t.detours.mutex.Unlock()
			return true
		}
	}
	return false
}

// CallWithRelays is Call, and sends the request through other nodes as well if nothing at all comes from the peer for the time
// of patience, or it can't be reached; at once if that was so the last time. The request may reach the peer more than
// once. Without it, gateways that were cut off from all replicas refused turns for as long as the cut took: with a third of 83
// gateways cut off for 12 s, 487 tries of callers.
func CallWithRelays[Response any](ctx context.Context, t *Transport, address, kind string, request any, patience time.Duration) (Response, error) {
	var response Response
	payload, err := json.Marshal(request)
	if err != nil {
		return response, errors.Wrapf(err, "encoding %s", kind)
	}
	answer, err := t.callAround(ctx, address, kind, payload, patience)
	if err != nil {
		return response, err
	}
	if err := json.Unmarshal(answer, &response); err != nil {
		return response, apierr.New(apierr.Internal, apierr.OutcomeUnknown, "decoding the answer to %s: %s", kind, err)
	}
	return response, nil
}

// wayAnswer is what came over one way.
type wayAnswer struct {
	// relay is empty for the direct way.
	relay   string
	payload json.RawMessage
	err     error
}

// reached tells whether the peer itself has answered, be it with a failure.
func (a wayAnswer) reached() bool {
	return a.err == nil || (!apierr.Is(a.err, apierr.PeerUnreachable) && !apierr.Is(a.err, apierr.RelayFailed))
}

func (t *Transport) callAround(ctx context.Context, address, kind string, payload json.RawMessage, patience time.Duration) (json.RawMessage, error) {
	relays, broken := t.detours.waysTo(address)
	if len(relays) == 0 {
		return t.call(ctx, address, kind, payload)
	}
	callContext, stop := context.WithCancel(ctx)
	defer stop()
	search := &waySearch{
		transport: t, ctx: callContext, address: address, kind: kind, payload: payload, relays: relays,
		startedAt: time.Now(), answers: make(chan wayAnswer, len(relays)+1),
	}
	search.tryDirectly()
	if broken {
		search.goAround()
	}
	return search.wait(patience)
}

// waySearch is one request that may go several ways at once.
type waySearch struct {
	transport *Transport
	ctx       context.Context
	address   string
	kind      string
	payload   json.RawMessage
	startedAt time.Time
	// relays are those that were not tried yet; around tells that some were.
	relays []string
	around bool
	// answers has room for those of all ways; pending are still to come.
	answers chan wayAnswer
	pending int
}

// wait returns the first answer of the peer, or the last failure once all ways have failed.
func (s *waySearch) wait(patience time.Duration) (json.RawMessage, error) {
	timer := time.NewTimer(patience)
	defer timer.Stop()
	var last error
	for s.pending > 0 {
		select {
		case answer := <-s.answers:
			s.pending--
			if answer.reached() {
				s.transport.noteWay(s.address, answer.relay, s.kind)
				return answer.payload, answer.err
			}
			last = answer.err
			s.failed(answer)
		case <-timer.C:
			s.overdue()
			timer.Reset(max(patience, relayLeast))
		case <-s.ctx.Done():
			return nil, unreachable(s.address, apierr.OutcomeUnknown, s.ctx.Err())
		}
	}
	if s.around {
		return nil, unreachable(s.address, apierr.OutcomeUnknown, last)
	}
	return nil, last
}

// failed goes on after a way has failed.
func (s *waySearch) failed(answer wayAnswer) {
	switch {
	case answer.relay != "":
		s.transport.detours.failed(answer.relay)
		s.tryRelay()
	case !s.around:
		s.goAround()
	}
}

// overdue goes on after nothing has come for a while. A peer that is heard has the request, and is merely slow.
func (s *waySearch) overdue() {
	switch {
	case s.around:
		s.tryRelay()
	case s.transport.silentSince(s.address, s.startedAt):
		s.goAround()
	}
}

func (s *waySearch) goAround() {
	s.around = true
	for range s.transport.detours.atOnce() {
		s.tryRelay()
	}
}

func (s *waySearch) tryDirectly() {
	s.pending++
	go func() {
		answer, err := s.transport.call(s.ctx, s.address, s.kind, s.payload)
		s.answers <- wayAnswer{payload: answer, err: err}
	}()
}

// tryRelay sends the request through the next relay, if there is one left.
func (s *waySearch) tryRelay() {
	if len(s.relays) == 0 {
		return
	}
	relay := s.relays[0]
	s.relays = s.relays[1:]
	s.pending++
	go func() { s.answers <- s.transport.callVia(s.ctx, relay, s.address, s.kind, s.payload) }()
}

// callVia sends a request through a relay.
func (t *Transport) callVia(ctx context.Context, relay, address, kind string, payload json.RawMessage) wayAnswer {
	request := relayRequest{Address: address, Kind: kind, Payload: payload}
	if deadline, limited := ctx.Deadline(); limited {
		request.LeftMillis = max(time.Until(deadline).Milliseconds(), 1)
	}
	answer, err := Call[json.RawMessage](ctx, t, relay, relayKind, request)
	return wayAnswer{relay: relay, payload: answer, err: err}
}

// silentSince tells whether nothing has come from a peer since a moment, not even on another request.
func (t *Transport) silentSince(address string, since time.Time) bool {
	peer := t.existing(address)
	return peer == nil || peer.silentFor(time.Now()) >= time.Since(since)
}

// noteWay learns over which way a peer was reached.
func (t *Transport) noteWay(address, relay, kind string) {
	if t.detours.note(address, relay) {
		t.options.Logger.Emit(events.PeerWayChanged, events.F("peer", address), events.F("relay", relay), events.F("kind", kind))
	}
}

// waysTo returns the relays in the order in which they are to be tried, and whether the direct way was broken last.
func (d *detours) waysTo(address string) (relays []string, broken bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, relay := range d.relays {
		switch relay {
		case address:
		case d.working:
			relays = slices.Insert(relays, 0, relay)
		default:
			relays = append(relays, relay)
		}
	}
	return relays, d.broken[address]
}

// atOnce is how many relays are to be tried at once.
func (d *detours) atOnce() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.working != "" {
		return 1
	}
	return relaysAtOnce
}

func (d *detours) failed(relay string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.working == relay {
		d.working = ""
	}
}

// note reports whether the way to the peer is another one than the last time.
func (d *detours) note(address, relay string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if relay == "" {
		changed := d.broken[address]
		delete(d.broken, address)
		return changed
	}
	d.working = relay
	changed := !d.broken[address]
	if d.broken == nil {
		d.broken = make(map[string]bool)
	}
	d.broken[address] = true
	return changed
}

// Relays is how many nodes this one knows that pass requests on.
func (t *Transport) Relays() int {
	t.detours.mutex.Lock()
	defer t.detours.mutex.Unlock()
	return len(t.detours.relays)
}
