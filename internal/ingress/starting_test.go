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

// versionSource is a store that tells one version, and is heard of until it falls silent.
type versionSource struct {
	entry  catalog.Entry
	silent atomic.Bool
}

func (s *versionSource) Run(ctx context.Context, sink catalog.Sink) {
	sink.Apply([]catalog.Entry{s.entry})
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for ctx.Err() == nil {
		if !s.silent.Load() {
			sink.Synced()
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// startFeed starts a node that serves a version of the configuration to gateways.
func startFeed(t *testing.T, source *versionSource) (address string, feed *catalog.Manager) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address = listener.Addr().String()
	network := transport.New(transport.Options{Cluster: "test", NodeID: address, Address: address, Logger: events.Discard()})
	feed = catalog.NewManager(catalog.Options{
		Peers: func() []string { return nil }, FollowAll: true, ReadsStore: func() bool { return true }, Source: source,
		StaleAfter: staleAfter, OnChange: func(catalog.Entry) {},
	}, network, events.Discard())
	ctx, stop := context.WithCancel(context.Background())
	go func() { _ = network.Serve(listener) }()
	go feed.Run(ctx)
	t.Cleanup(func() {
		stop()
		network.Close()
	})
	return address, feed
}

const (
	staleAfter = 300 * time.Millisecond
	// farAway is how much longer it takes to the feed that is up to date.
	farAway = 100 * time.Millisecond
)

// A gateway that starts hears first of a feed which is cut off from the store, and of an up-to-date one a moment later. A request that
// waits for its first routes must not be handled by the older ones: before its restart the machine may have had the newer.
func TestStartingGatewayWaitsForFreshRoutes(t *testing.T) {
	old, current := &versionSource{entry: entryOf(t, 1)}, &versionSource{entry: entryOf(t, 2)}
	near, oldFeed := startFeed(t, old)
	far, currentFeed := startFeed(t, current)
	eventually(t, "the feeds know the store", func() bool {
		return oldFeed.Age() < staleAfter && currentFeed.Age() < staleAfter
	})
	old.silent.Store(true)
	eventually(t, "one feed is stale", func() bool { return oldFeed.Age() > 2*staleAfter })

	network := transport.New(transport.Options{Cluster: "test", NodeID: "gateway", Logger: events.Discard(),
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			if address == far {
				select {
				case <-time.After(farAway):
				case <-ctx.Done():
				}
			}
			return (&net.Dialer{}).DialContext(ctx, "tcp", address)
		}})
	t.Cleanup(network.Close)
	node := NewNode(NodeOptions{
		Zone: "a", Vocabulary: testProtocol{}, Protocol: testProtocol{}, Dial: upstream.Dialer(time.Second, time.Second), CacheBytes: 1 << 20,
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
	assert.Equal(t, response.StatusCode, http.StatusNotFound, "the route of the older version was used")
}
