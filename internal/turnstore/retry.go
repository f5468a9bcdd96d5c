package turnstore

import (
	"context"
	"time"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/clock"
	"github.com/mountstile/mountstile/internal/transport"
)

const (
	// connectionCheckDelay is how long a response may take before the connection is checked and, if it is dead,
	// replaced. It is a few times the sync time of a replica's disk.
	connectionCheckDelay = 250 * time.Millisecond
	// relayDelay is how long a replica may stay silent before the request is also sent through other nodes. Replicas that are
	// up answer in 2 to 6 ms, in bursts in up to 20.
	relayDelay = 100 * time.Millisecond
	// retryDelay precedes a retry after an attempt that failed at once.
	retryDelay  = 50 * time.Millisecond
	maxAttempts = 5
)

// callWithRetry sends a request to a replica until it is answered, attempts run out or the context ends, so that a turn
// survives the restart of a replica. Retries are safe because records are immutable and replicas ignore those that they
// already hold. The request is sent again only after a failure or over a renewed connection: a replica that is merely
// slow already has it, and duplicates would slow it down further.
func callWithRetry[Response any](ctx context.Context, network *transport.Transport, to transport.Peer, kind string, request any) (Response, error) {
	type reply struct {
		response Response
		err      error
	}
	replies := make(chan reply, maxAttempts)
	renewed := make(chan struct{}, maxAttempts)
	send := func() {
		response, err := transport.CallWithRelays[Response](ctx, network, to, kind, request, relayDelay)
		replies <- reply{response, err}
	}
	delay := connectionCheckDelay
	timer := time.NewTimer(delay)
	defer timer.Stop()
	sentAt := time.Now()
	network.Go(send)
	for attempts, pending := 1, 1; ; {
		select {
		case result := <-replies:
			pending--
			if result.err == nil || !apierr.Is(result.err, apierr.PeerUnreachable) || ctx.Err() != nil {
				return result.response, result.err
			}
			if attempts == maxAttempts && pending == 0 {
				return result.response, result.err
			}
			if attempts < maxAttempts {
				attempts++
				pending++
				sentAt = time.Now()
				go func() {
					clock.Sleep(ctx, retryDelay)
					send()
				}()
			}
		case <-timer.C:
			since := sentAt
			go func() {
				if network.Redial(ctx, to.Address, connectionCheckDelay, since) {
					renewed <- struct{}{}
				}
			}()
			delay *= 2
			timer.Reset(delay)
		case <-renewed:
			if attempts < maxAttempts {
				attempts++
				pending++
				sentAt = time.Now()
				go send()
			}
		case <-ctx.Done():
			var zero Response
			return zero, unavailable("no response from node %s at %s: %s", to.NodeID, to.Address, ctx.Err())
		}
	}
}
