package transport

import (
	"encoding/json"
	"time"

	"github.com/mountstile/mountstile/internal/apierr"
)

// aliveQuestion asks for a sign of life, and lists the requests that the asker waits for.
type aliveQuestion struct {
	Waiting []uint64 `json:"w"`
}

// aliveAnswer lists those of them that the peer does not run. Lines arrive in order: their answers
// must have come before, or they, or the requests, were lost.
type aliveAnswer struct {
	Lost []uint64 `json:"l,omitempty"`
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

// checkAlive finds out whether a connection with unanswered requests still works in both
// directions, and whether the peer knows of them. A path that is broken one way, or that lost a
// line, would otherwise keep them waiting for ever, while other messages make it look well.
func (c *connection) checkAlive(now time.Time) {
	c.mutex.Lock()
	var question aliveQuestion
	for id, request := range c.waiting {
		if request.queued {
			question.Waiting = append(question.Waiting, id)
		}
	}
	pending := len(c.waiting) > 0
	askedAt := c.askedAt
	if pending && askedAt.IsZero() {
		c.askedAt = now
	}
	c.mutex.Unlock()
	switch {
	case pending && askedAt.IsZero():
		c.sendAlive(question, false)
	case !askedAt.IsZero() && now.Sub(askedAt) > aliveTimeout:
		c.close()
	}
}

func (c *connection) sendAlive(message any, reply bool) {
	payload, err := json.Marshal(message)
	if err == nil {
		c.tryEnqueue(frame{Kind: aliveKind, Reply: reply, Payload: payload})
	}
}

func (c *connection) handleAlive(incoming frame) {
	if !incoming.Reply {
		c.answerAlive(incoming)
		return
	}
	c.mutex.Lock()
	c.askedAt = time.Time{}
	c.mutex.Unlock()
	var answer aliveAnswer
	if json.Unmarshal(incoming.Payload, &answer) != nil {
		return
	}
	for _, id := range answer.Lost {
		c.deliver(frame{ID: id, Reply: true, Error: apierr.New(apierr.PeerUnreachable, apierr.OutcomeUnknown, "node at %s does not know the request; it or its answer was lost on the way", c.peer.Address)})
	}
}

func (c *connection) answerAlive(incoming frame) {
	var question aliveQuestion
	if json.Unmarshal(incoming.Payload, &question) != nil {
		return
	}
	var answer aliveAnswer
	c.mutex.Lock()
	for _, id := range question.Waiting {
		if !c.serving[id] {
			answer.Lost = append(answer.Lost, id)
		}
	}
	c.mutex.Unlock()
	c.sendAlive(answer, true)
}
