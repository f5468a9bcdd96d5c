package turnstore

import (
	"context"
	"time"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/clock"
	"github.com/mountstile/mountstile/internal/transport"
)

const (
	// askAgainAfter is how long an answer may take before it is looked whether the replica is heard at all. Replicas
	// answer within a few sync times of their disks.
	askAgainAfter = 250 * time.Millisecond
	// askAroundAfter is how long nothing may come from a replica before it is asked through other nodes, too. In calm times
	// replicas answer in 2 to 6 ms, in bursts in up to 20.
	askAroundAfter = 100 * time.Millisecond
	// askAgainPause follows a question that failed at once.
	askAgainPause = 50 * time.Millisecond
	// mostAsks bounds how often a question is sent.
	mostAsks = 5
)

// askUntilAnswered sends a question to a replica until it is answered or the context ends. All questions may be
// asked again: records never change, and replicas know those that they have. Without that, a turn would fail
// whose question went to a replica that had just lost its power and is back a moment later. A replica that is
// merely slow is not asked again: it has the question, and more of them would make it slower.
func askUntilAnswered[Response any](ctx context.Context, network *transport.Transport, address, kind string, request any) (Response, error) {
	type reply struct {
		response Response
		err      error
	}
	replies := make(chan reply, mostAsks)
	renewed := make(chan struct{}, mostAsks)
	send := func() {
		response, err := transport.CallAround[Response](ctx, network, address, kind, request, askAroundAfter)
		replies <- reply{response, err}
	}
	wait := askAgainAfter
	again := time.NewTimer(wait)
	defer again.Stop()
	sentAt := time.Now()
	go send()
	for asked, pending := 1, 1; ; {
		select {
		case got := <-replies:
			pending--
			if got.err == nil || !apierr.Is(got.err, apierr.PeerUnreachable) || ctx.Err() != nil {
				return got.response, got.err
			}
			if asked == mostAsks && pending == 0 {
				return got.response, got.err
			}
			if asked < mostAsks {
				asked++
				pending++
				sentAt = time.Now()
				go func() {
					clock.Sleep(ctx, askAgainPause)
					send()
				}()
			}
		case <-again.C:
			before := sentAt
			go func() {
				if network.Renew(ctx, address, askAgainAfter, before) {
					renewed <- struct{}{}
				}
			}()
			wait *= 2
			again.Reset(wait)
		case <-renewed:
			if asked < mostAsks {
				asked++
				pending++
				sentAt = time.Now()
				go send()
			}
		case <-ctx.Done():
			var none Response
			return none, unavailable("node at %s: %s", address, ctx.Err())
		}
	}
}
