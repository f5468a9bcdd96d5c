package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/mountstile/mountstile/internal/membership"
	"github.com/mountstile/mountstile/internal/transport"
)

const (
	answerReadKind = "live_read"
	// longPollTimeout is how long a read waits for more of an answer.
	longPollTimeout = 5 * time.Second
)

type answerReadRequest struct {
	CallID string `json:"call"`
	// Offset is the number of bytes of the answer that the reader has.
	Offset int `json:"offset"`
	// Answer is the ID of the answer that Offset refers to; 0 before the first response.
	Answer uint64 `json:"answer,omitempty"`
}

type answerReadResponse struct {
	Found bool `json:"found"`
	// Answer is the ID of the answer. If a call is executed again, its answer has another ID, since its content may differ.
	Answer  uint64 `json:"answer,omitempty"`
	Content string `json:"content,omitempty"`
	// Deltas is the number of deltas that the engine has sent so far. Each has at least one token.
	Deltas int64 `json:"pieces,omitempty"`
	// Software is the software version of the engines that wrote the answer; nil before its first content.
	Software *string `json:"software,omitempty"`
	// Ended is set if the answer will not grow at this gateway.
	Ended bool `json:"ended,omitempty"`
}

// runningAnswer holds the content of a running answer, from its start. AnswerRelay's mutex guards it.
type runningAnswer struct {
	id      uint64
	content []byte
	deltas  int64
	// software is the software version of the engines that wrote the content; nil if there is none.
	software *string
	ended    bool
	changed  chan struct{}
}

// AnswerRelay streams the answer of a running call to repeats of the call at any gateway, from the start of the answer. It is safe
// for concurrent use.
type AnswerRelay struct {
	network    *transport.Transport
	membership *membership.Manager

	mutex   sync.Mutex
	answers map[string]*runningAnswer
	// lastID is the ID of the latest answer. It starts at a random number, so that IDs are not reused after a restart.
	lastID uint64
}

// NewAnswerRelay returns an AnswerRelay and registers its message handler.
func NewAnswerRelay(network *transport.Transport, members *membership.Manager) *AnswerRelay {
	relay := &AnswerRelay{network: network, membership: members, answers: make(map[string]*runningAnswer), lastID: rand.Uint64() >> 1}
	transport.Handle(network, answerReadKind, func(ctx context.Context, _ transport.Peer, request answerReadRequest) (answerReadResponse, error) {
		return relay.read(ctx, request), nil
	})
	return relay
}

// answerPublisher publishes the answer of the request that executes a call. The methods of a nil publisher do nothing.
type answerPublisher struct {
	relay  *AnswerRelay
	callID string
	answer *runningAnswer
}

// publish starts the answer of a call with the content, deltas and software version of its lost attempts, and ends the answer of
// an earlier execution of the call.
func (r *AnswerRelay) publish(callID, content string, deltas int64, software *string) *answerPublisher {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if earlier := r.answers[callID]; earlier != nil {
		earlier.end()
	}
	r.lastID++
	answer := &runningAnswer{id: r.lastID, content: []byte(content), deltas: deltas, software: software, changed: make(chan struct{})}
	r.answers[callID] = answer
	return &answerPublisher{relay: r, callID: callID, answer: answer}
}

// end marks the answer as ended and wakes its readers. The caller must hold AnswerRelay's mutex.
func (a *runningAnswer) end() {
	if !a.ended {
		a.ended = true
		close(a.changed)
	}
}

// add appends the content of a delta from an engine of a software version and wakes the readers. It has no effect on an ended
// answer.
func (p *answerPublisher) add(content string, software *string) {
	if p == nil {
		return
	}
	p.relay.mutex.Lock()
	defer p.relay.mutex.Unlock()
	if p.answer.ended {
		return
	}
	p.answer.content = append(p.answer.content, content...)
	p.answer.deltas++
	p.answer.software = software
	close(p.answer.changed)
	p.answer.changed = make(chan struct{})
}

// close ends and removes the answer. Its readers then get the result from the coordinator.
func (p *answerPublisher) close() {
	if p == nil {
		return
	}
	p.relay.mutex.Lock()
	defer p.relay.mutex.Unlock()
	p.answer.end()
	if p.relay.answers[p.callID] == p.answer {
		delete(p.relay.answers, p.callID)
	}
}

// read returns the content after the reader's offset, and waits for it up to longPollTimeout.
func (r *AnswerRelay) read(ctx context.Context, request answerReadRequest) answerReadResponse {
	timer := time.NewTimer(longPollTimeout)
	defer timer.Stop()
	r.mutex.Lock()
	answer := r.answers[request.CallID]
	r.mutex.Unlock()
	if answer == nil || request.Answer != 0 && request.Answer != answer.id {
		return answerReadResponse{}
	}
	for {
		r.mutex.Lock()
		response := answerReadResponse{Found: true, Answer: answer.id, Ended: answer.ended, Deltas: answer.deltas, Software: answer.software}
		if request.Offset >= 0 && request.Offset < len(answer.content) {
			response.Content = string(answer.content[request.Offset:])
		}
		changed := answer.changed
		r.mutex.Unlock()
		if response.Content != "" || response.Ended {
			return response
		}
		select {
		case <-changed:
		case <-timer.C:
			return response
		case <-ctx.Done():
			return response
		}
	}
}

// follow reads a call's answer from the gateway that executes it, from the start, and calls deliver with each part. It returns
// when the answer has ended, the gateway doesn't have it any more, the read fails, or deliver returns false.
func (r *AnswerRelay) follow(ctx context.Context, gatewayID, callID string, deliver func(part answerReadResponse) bool) {
	request := answerReadRequest{CallID: callID}
	for ctx.Err() == nil {
		response, err := r.fetch(ctx, gatewayID, request)
		if err != nil || !response.Found {
			return
		}
		if response.Content != "" && !deliver(response) {
			return
		}
		request.Answer = response.Answer
		request.Offset += len(response.Content)
		if response.Ended {
			return
		}
	}
}

func (r *AnswerRelay) fetch(ctx context.Context, gatewayID string, request answerReadRequest) (answerReadResponse, error) {
	view := r.membership.View()
	if gatewayID == view.Self.ID {
		return r.read(ctx, request), nil
	}
	member, known := view.Get(gatewayID)
	if !known || !member.Usable() {
		return answerReadResponse{}, nil
	}
	return transport.Call[answerReadResponse](ctx, r.network, member.Peer(), answerReadKind, request)
}
