package ingress

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/catalog"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/transport"
	"github.com/mountstile/mountstile/internal/upstream"
)

// fakeSource is a store with one version of the configuration; contact with it ends once
// disconnected is set.
type fakeSource struct {
	entry        catalog.Entry
	disconnected atomic.Bool
}

func (s *fakeSource) Run(ctx context.Context, sink catalog.Sink) {
	sink.Apply([]catalog.Entry{s.entry})
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for ctx.Err() == nil {
		if !s.disconnected.Load() {
			sink.Synced()
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// startCatalogPeer starts a node that serves the source's configuration to gateways.
func startCatalogPeer(t *testing.T, source *fakeSource) (address string, peer *catalog.Manager) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address = listener.Addr().String()
	network := transport.New(transport.Options{Cluster: "test", NodeID: address, Address: address, Logger: events.Discard()})
	peer = catalog.NewManager(catalog.Options{
		Peers: func() []transport.Peer { return nil }, FollowAll: true, ReadsStore: func() bool { return true }, Source: source,
		StaleAfter: staleAfter, OnChange: func(catalog.Entry) {},
	}, network, events.Discard())
	ctx, stop := context.WithCancel(context.Background())
	go func() { _ = network.Serve(listener) }()
	go peer.Run(ctx)
	t.Cleanup(func() {
		stop()
		network.Close()
	})
	return address, peer
}

const (
	staleAfter = 300 * time.Millisecond
	// slowDialDelay delays connections to the peer that is up to date.
	slowDialDelay = 100 * time.Millisecond
)

// A starting gateway first reaches a peer that is disconnected from the store, and a current one a
// moment later. A waiting request must not use the older routes: before its restart the gateway may
// have had the newer ones.
func TestStartingGatewayWaitsForCurrentRoutes(t *testing.T) {
	old, current := &fakeSource{entry: entryOf(t, 1)}, &fakeSource{entry: entryOf(t, 2)}
	near, stalePeer := startCatalogPeer(t, old)
	far, currentPeer := startCatalogPeer(t, current)
	eventually(t, "the peers are in contact with the store", func() bool {
		return stalePeer.Age() < staleAfter && currentPeer.Age() < staleAfter
	})
	old.disconnected.Store(true)
	eventually(t, "one peer is stale", func() bool { return stalePeer.Age() > 2*staleAfter })

	network := transport.New(transport.Options{Cluster: "test", NodeID: "gateway", Logger: events.Discard(),
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			if address == far {
				select {
				case <-time.After(slowDialDelay):
				case <-ctx.Done():
				}
			}
			return (&net.Dialer{}).DialContext(ctx, "tcp", address)
		}})
	t.Cleanup(network.Close)
	node := NewNode(NodeOptions{
		Zone: "a", CallerProtocol: testProtocol{}, Protocol: testProtocol{}, Dial: upstream.Dialer(time.Second, time.Second), CacheBytes: 1 << 20,
		Seeds: func() []string { return []string{near, far} }, Network: network, Logger: events.Discard(), StaleAfter: staleAfter,
	})
	server := httptest.NewUnstartedServer(nil)
	server.Config = node.NewHTTPServer()
	server.Start()
	t.Cleanup(server.Close)
	ctx, stop := context.WithCancel(t.Context())
	t.Cleanup(stop)
	go node.Run(ctx)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+"/v1/x", strings.NewReader("b"))
	assert.NilError(t, err)
	request.Host = "h"
	request.Header.Set("Call", "r1")
	response, err := http.DefaultTransport.RoundTrip(request)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.StatusCode, http.StatusNotFound, "the older configuration was used")
}
