package gateway

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/coordinator"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/program"
	"github.com/mountstile/mountstile/internal/transport"
)

// TestOutcomeOfUnavailablePartition checks that a call that this gateway has not sent to an engine is reported as not run, unless
// another gateway may have sent it for a repeat with the same key.
func TestOutcomeOfUnavailablePartition(t *testing.T) {
	unavailable := apierr.New(apierr.PartitionUnavailable, apierr.OutcomeUnknown, "the partition has no leader")
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	network := transport.New(transport.Options{Cluster: "c", NodeID: "n", Address: listener.Addr().String(), Logger: events.Discard()})
	defer network.Close()
	assert.NilError(t, listener.Close())
	gateway := &Gateway{options: Options{Executions: coordinator.NewExecutions(network)}}
	cases := map[string]struct {
		key      string
		sent     bool
		expected apierr.Outcome
	}{
		"never sent":               {"", false, apierr.NotRun},
		"sent":                     {"", true, apierr.OutcomeUnknown},
		"a repeat may have run it": {"key", false, apierr.OutcomeUnknown},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			call := &execution{gateway: gateway, identity: identity{idempotencyKey: test.key}}
			admit := func(context.Context) (coordinator.BeginResponse, error) {
				if test.sent {
					return coordinator.BeginResponse{CallID: "call"}, nil
				}
				return coordinator.BeginResponse{}, unavailable
			}
			attempt := func(context.Context, http.ResponseWriter, coordinator.BeginResponse, time.Time) (*program.Answer, *coordinator.RetryRequest, error) {
				return nil, nil, unavailable
			}
			_, err := call.runAttempts(t.Context(), httptest.NewRecorder(), admit, attempt)
			assert.Equal(t, apierr.From(err, apierr.Ran).Outcome, test.expected)
			assert.Equal(t, unavailable.Outcome, apierr.OutcomeUnknown, "the original error is not modified")
		})
	}
}
