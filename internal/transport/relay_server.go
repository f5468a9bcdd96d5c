package transport

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mountstile/mountstile/internal/apierr"
)

const relayKind = "relay"

// relayRequest asks a node to forward a request to a peer that the sender can't reach directly.
type relayRequest struct {
	Address string `json:"address"`
	// Node is the ID of the peer; empty if the sender doesn't know it.
	Node    string          `json:"node,omitempty"`
	Kind    string          `json:"kind"`
	Payload json.RawMessage `json:"payload"`
	// TimeoutMillis is the time left until the sender's deadline; 0 means no deadline other than the end of its
	// connection.
	TimeoutMillis int64 `json:"left_millis,omitempty"`
}

// CallVia sends a request through a relay. A relay forwards over a single hop only.
func CallVia[Response any](ctx context.Context, t *Transport, relay, to Peer, kind string, request any) (Response, error) {
	var response Response
	payload, err := json.Marshal(request)
	if err != nil {
		return response, errors.Wrapf(err, "encoding %s", kind)
	}
	return Call[Response](ctx, t, relay, relayKind, relayRequest{Address: to.Address, Node: to.NodeID, Kind: kind, Payload: payload})
}

// forwardRequest sends a relayed request to its destination and returns the reply.
func (t *Transport) forwardRequest(ctx context.Context, _ Peer, request relayRequest) (json.RawMessage, error) {
	if request.Kind == relayKind {
		return nil, apierr.New(apierr.InvalidRequest, apierr.NotRun, "a relayed request can't be relayed again")
	}
	if request.TimeoutMillis > 0 {
		limited, cancel := context.WithTimeout(ctx, time.Duration(request.TimeoutMillis)*time.Millisecond)
		defer cancel()
		ctx = limited
	}
	reply, err := t.call(ctx, Peer{NodeID: request.Node, Address: request.Address}, request.Kind, request.Payload)
	if apierr.Is(err, apierr.PeerUnreachable) {
		// With PeerUnreachable the sender would conclude that it can't reach the relay.
		failure := *apierr.From(err, apierr.OutcomeUnknown)
		failure.Code = apierr.RelayFailed
		return nil, &failure
	}
	if err != nil {
		return nil, err
	}
	defer reply.reservation.Release()
	if err := ReserveResponse(ctx, int64(len(reply.Payload))); err != nil {
		return nil, apierr.New(apierr.Overloaded, apierr.OutcomeUnknown, "%s", err)
	}
	return reply.Payload, nil
}
