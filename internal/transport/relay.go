package transport

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mountstile/mountstile/internal/apierr"
)

const relayKind = "relay"

// relayRequest asks a node to pass a request on, where the direct way is broken.
type relayRequest struct {
	Address string          `json:"address"`
	Kind    string          `json:"kind"`
	Payload json.RawMessage `json:"payload"`
	// LeftMillis is how long the asker still waits; 0 stands for as long as its connection lasts.
	LeftMillis int64 `json:"left_millis,omitempty"`
}

// CallVia sends a request through another node. A relay passes on one hop only.
func CallVia[Response any](ctx context.Context, t *Transport, relay, address, kind string, request any) (Response, error) {
	var response Response
	payload, err := json.Marshal(request)
	if err != nil {
		return response, errors.Wrapf(err, "encoding %s", kind)
	}
	return Call[Response](ctx, t, relay, relayKind, relayRequest{Address: address, Kind: kind, Payload: payload})
}

// serveRelay passes a request on.
func (t *Transport) serveRelay(ctx context.Context, _ Peer, request relayRequest) (json.RawMessage, error) {
	if request.Kind == relayKind {
		return nil, apierr.New(apierr.InvalidRequest, apierr.NotRun, "a relayed request can't be relayed again")
	}
	if request.LeftMillis > 0 {
		limited, cancel := context.WithTimeout(ctx, time.Duration(request.LeftMillis)*time.Millisecond)
		defer cancel()
		ctx = limited
	}
	answer, err := t.call(ctx, request.Address, request.Kind, request.Payload)
	if apierr.Is(err, apierr.PeerUnreachable) {
		// The asking node must not take this for a fault of its way to the relay.
		failure := *apierr.From(err, apierr.OutcomeUnknown)
		failure.Code = apierr.RelayFailed
		return nil, &failure
	}
	return answer, err
}
