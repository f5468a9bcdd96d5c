package transport

import (
	"context"
	"time"
)

const (
	// renewInterval is the least time between two dials of a peer to which a connection is open; renewGrace
	// is how long the old connection is kept.
	renewInterval = time.Second
	renewGrace    = time.Second
)

// Redial dials a peer from which nothing has come for the length of silence, although a connection is open, and
// uses the new connection from then on. A peer that lost its power says nothing on old connections when it is
// back, until they are noticed to be dead; a new one reaches it at once. The old one stays open for a moment,
// for the peer may just be slow; and it is dialled once a second at most, so that a peer with too much to do
// isn't given connections on top. Redial reports whether the way to the peer is newer than a question that was
// sent at the time given, so that it is worth asking again.
func (t *Transport) Redial(ctx context.Context, address string, silence time.Duration, sentAt time.Time) bool {
	attempt, renewed := t.renewal(address, silence, sentAt)
	if attempt == nil {
		return renewed
	}
	select {
	case <-attempt.done:
		return attempt.err == nil
	case <-ctx.Done():
		return false
	}
}

// renewal begins a dial or joins one; without a dial it reports whether the way is new already.
func (t *Transport) renewal(address string, silence time.Duration, sentAt time.Time) (attempt *dialAttempt, renewed bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := time.Now()
	peer := t.peers[address]
	switch {
	case t.closed || peer == nil:
		return nil, false
	case peer.openedAt.After(sentAt):
		return nil, true
	case peer.silentFor(now) < silence:
		return nil, false
	case t.dialling[address] != nil:
		return t.dialling[address], false
	case now.Sub(t.renewedAt[address]) < renewInterval:
		return nil, false
	}
	t.renewedAt[address] = now
	attempt = &dialAttempt{renews: true, done: make(chan struct{})}
	t.dialling[address] = attempt
	t.tasks.Add(1)
	go t.dial(address, attempt)
	return attempt, false
}
