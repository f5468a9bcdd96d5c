package transport

import (
	"context"
	"time"
)

const (
	// redialInterval is the minimum time between two redials of a peer.
	redialInterval = time.Second
	// replacedConnectionGrace is how long a replaced connection stays open.
	replacedConnectionGrace = time.Second
)

// Redial replaces the open connection to a peer if nothing has arrived over it for at least silence. A peer that
// restarted after a power loss can't be reached over its old connections, which take long to time out.
// The old connection stays open for a grace period, as the peer may only be slow, and dials are limited to one per
// redialInterval so that an overloaded peer gets no burst of connections. Redial reports whether the connection
// is newer than a request sent at sentAt, so that sending the request again is worthwhile.
func (t *Transport) Redial(ctx context.Context, address string, silence time.Duration, sentAt time.Time) bool {
	attempt, isNew := t.startRedial(address, silence, sentAt)
	if attempt == nil {
		return isNew
	}
	select {
	case <-attempt.done:
		return attempt.err == nil
	case <-ctx.Done():
		return false
	}
}

// startRedial starts a dial or joins one in progress. It returns no attempt if no dial is due, and isNew if the
// connection is already newer than sentAt.
func (t *Transport) startRedial(address string, silence time.Duration, sentAt time.Time) (attempt *dialAttempt, isNew bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := time.Now()
	conn := t.peers[address]
	switch {
	case t.closed || conn == nil:
		return nil, false
	case conn.openedAt.After(sentAt):
		return nil, true
	case conn.sinceLastReceived(now) < silence:
		return nil, false
	case t.dialling[address] != nil:
		return t.dialling[address], false
	case now.Sub(t.redialledAt[address]) < redialInterval:
		return nil, false
	}
	t.redialledAt[address] = now
	return t.startDial(address, true), false
}
