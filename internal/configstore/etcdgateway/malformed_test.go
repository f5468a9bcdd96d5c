package etcdgateway

import (
	"context"
	"maps"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/configstore"
	"github.com/mountstile/mountstile/internal/standin/rawserver"
)

const requestTimeout = 2 * time.Second

// Guards against malformed responses that are taken for a value, a confirmed write or an event.
func TestMalformedResponseIsNoResult(t *testing.T) {
	requests := map[string]struct {
		body string
		send func(context.Context, *Client) error
	}{
		"read": {`{"kvs":[{"key":"aw==","value":"dg==","mod_revision":"7"}]}`, func(ctx context.Context, client *Client) error {
			_, err := client.Get(ctx, "k")
			return err
		}},
		"write": {`{"succeeded":true}`, func(ctx context.Context, client *Client) error {
			return client.CompareAndSwap(ctx, "k", 1, []configstore.Write{{Key: "k", Value: []byte("v")}})
		}},
		"watch": {`{"result":{"events":[{"kv":{"value":"dg==","mod_revision":"8"}}]}}`, func(ctx context.Context, client *Client) error {
			return client.Watch(ctx, "k", func(event configstore.Event) { t.Errorf("event %v", event) })
		}},
	}
	for kind, request := range requests {
		responses := rawserver.MalformedHeads("", request.body)
		maps.Copy(responses, rawserver.UnreadableHeads("", request.body))
		for name, response := range responses {
			t.Run(kind+"/"+name, func(t *testing.T) {
				server, err := rawserver.Start(func(*http.Request) string { return response })
				assert.NilError(t, err)
				defer server.Close()
				var unavailable *configstore.ErrUnavailable
				ctx, cancel := context.WithTimeout(t.Context(), requestTimeout)
				defer cancel()
				err = request.send(ctx, New(server.URL(), requestTimeout))
				assert.Assert(t, errors.As(err, &unavailable), "%v", err)
				assert.NilError(t, ctx.Err(), "the response was not rejected at once")
			})
		}
	}
}
