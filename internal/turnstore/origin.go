package turnstore

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/mountstile/mountstile/internal/clock"
	"github.com/mountstile/mountstile/internal/conversation"
)

// StreamOrigin records which Writer generates a stream. That must be done before the first event is sent: a caller that
// resumes the stream at another gateway can be told only what a write quorum has synced. If tokens are reserved for the turn,
// the Writer that will probably begin it is recorded along with them, and another record is needed only if another Writer
// does. All methods may be called concurrently.
type StreamOrigin struct {
	client *Client
	params OpenParams

	mutex sync.Mutex
	// revision and writer are those of the newest record. done is closed once it is written, or err is set.
	revision int
	writer   conversation.Writer
	done     chan struct{}
	err      error
}

// unrecorded precedes the first revision of an origin.
const unrecorded = -1

// Origin returns the StreamOrigin of a turn that is opened with these parameters.
func (c *Client) Origin(params OpenParams) *StreamOrigin {
	origin := &StreamOrigin{client: c, params: params, revision: unrecorded, done: make(chan struct{})}
	close(origin.done)
	if params.charged() {
		origin.revision, origin.writer = 0, params.Stream.Writer
	}
	return origin
}

// Expect notes that the next event will come from a Writer. If another one is recorded, it begins to record this one.
func (o *StreamOrigin) Expect(ctx context.Context, writer conversation.Writer) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.writer == writer && o.err == nil {
		return
	}
	o.revision++
	o.writer, o.err = writer, nil
	previous, done := o.done, make(chan struct{})
	o.done = done
	id := conversation.NewOrigin(o.params.Stream.ID, o.revision, writer).ChargeID(rand.Uint32())
	charge := conversation.Charge{Program: o.params.chargedProgram(), Turn: id, Settled: true}
	revision := o.revision
	go func() {
		<-previous
		recorded := o.write(ctx, revision, charge)
		close(done)
		for !recorded && ctx.Err() == nil {
			clock.Sleep(ctx, originRetryInterval)
			recorded = o.write(ctx, revision, charge)
		}
	}()
}

// originRetryInterval is the pause before a record that could not be written is written again, for as long as the stream runs. The
// stream may go on without the record, but its caller can't resume it at another gateway.
const originRetryInterval = time.Second

// Moved reports whether the stream was expected from more than one Writer. The record of the last one must not be missing
// then, since that of another one may be stored.
func (o *StreamOrigin) Moved() bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.revision > 0
}

// write records a revision and reports whether that succeeded, or is not needed any more since there is a newer one.
func (o *StreamOrigin) write(ctx context.Context, revision int, charge conversation.Charge) bool {
	writeContext, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	err := o.client.Put(writeContext, charge.Program, []conversation.Record{{Charge: &charge}})
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.revision != revision {
		return true
	}
	o.err = err
	return err == nil
}

// Await waits until the expected Writer is recorded or the context ends. The error is an apierr.Error with the code
// TurnsUnavailable.
func (o *StreamOrigin) Await(ctx context.Context) error {
	o.mutex.Lock()
	done := o.done
	o.mutex.Unlock()
	select {
	case <-done:
	case <-ctx.Done():
		return unavailable("the origin of the stream is not recorded yet")
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.err
}
