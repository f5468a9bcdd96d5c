package transport

import (
	"encoding/json"
	"time"

	"github.com/mountstile/mountstile/internal/apierr"
)

// livenessProbe asks the peer for a livenessReply and lists the sender's pending requests.
type livenessProbe struct {
	Pending []uint64 `json:"w"`
}

// livenessReply lists those requests of a livenessProbe that the peer is not running. Lines arrive in order, so either
// their replies arrived before this one, or the request or its reply was lost.
type livenessReply struct {
	Unknown []uint64 `json:"l,omitempty"`
}

func (c *connection) setServing(id uint64, runs bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if runs {
		c.serving[id] = true
		return
	}
	delete(c.serving, id)
}

// checkLiveness probes a connection that has pending requests and closes it if the reply is overdue. Without
// the probe, a connection that is broken in one direction or lost a line could leave requests pending
// forever while other messages still arrive.
func (c *connection) checkLiveness(now time.Time) {
	c.mutex.Lock()
	var probe livenessProbe
	for id, request := range c.pending {
		if request.queued {
			probe.Pending = append(probe.Pending, id)
		}
	}
	hasPending := len(c.pending) > 0
	probeSentAt := c.probeSentAt
	if hasPending && probeSentAt.IsZero() {
		c.probeSentAt = now
	}
	c.mutex.Unlock()
	switch {
	case hasPending && probeSentAt.IsZero():
		c.sendLiveness(probe, false)
	case !probeSentAt.IsZero() && now.Sub(probeSentAt) > livenessTimeout:
		c.close()
	}
}

func (c *connection) sendLiveness(message any, reply bool) {
	payload, err := json.Marshal(message)
	if err == nil {
		c.tryEnqueue(frame{Kind: livenessKind, Reply: reply, Payload: payload})
	}
}

func (c *connection) handleLiveness(incoming frame) {
	if !incoming.Reply {
		c.replyToProbe(incoming)
		return
	}
	c.mutex.Lock()
	c.probeSentAt = time.Time{}
	c.mutex.Unlock()
	var reply livenessReply
	if json.Unmarshal(incoming.Payload, &reply) != nil {
		return
	}
	for _, id := range reply.Unknown {
		c.deliverReply(frame{ID: id, Reply: true, Error: apierr.New(apierr.PeerUnreachable, apierr.OutcomeUnknown, "node at %s is not running the request; the request or its reply was lost", c.peer.Address)})
	}
}

func (c *connection) replyToProbe(incoming frame) {
	var probe livenessProbe
	if json.Unmarshal(incoming.Payload, &probe) != nil {
		return
	}
	var reply livenessReply
	c.mutex.Lock()
	for _, id := range probe.Pending {
		if !c.serving[id] {
			reply.Unknown = append(reply.Unknown, id)
		}
	}
	c.mutex.Unlock()
	c.sendLiveness(reply, true)
}
